"""Stand-in of an upstream, over HTTP, that counts every run."""

import asyncio
import json
import os
import signal
import time
from argparse import ArgumentParser
from collections import Counter
from dataclasses import asdict, dataclass
from hashlib import blake2b

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, Finish, HTTPError, RequestHandler

__all__ = ["UpstreamCounters", "UpstreamFaults", "UpstreamStandIn", "main"]

KEY_HEADER = "Idempotency-Key"
CALLED_URL_HEADER = "X-Call-Url"
CRASH_SUFFIX = "/crash"
CRASH_EXIT_CODE = 70
N_SLOTS = 10
N_CONNECTIONS = 100
CALL_TIMEOUT_S = 30.0
MAX_BODY_SIZE_BYTES = 10_000_000
MAX_PADDING_BYTES = 10_000_000
HOP_HEADERS = frozenset(
    ["Host", "Connection", "Content-Length", "Transfer-Encoding", CALLED_URL_HEADER]
)


@dataclass(slots=True, kw_only=True)
class UpstreamFaults:
    """Behaviour that tests change while the stand-in runs.

    Parameters
    ----------
    delay_s : float
        Time for which a run holds its slot, in seconds.
    cold_start_s : float
        Time after the start during which runs take ten times as long.
    is_draining : bool
        Whether new requests are refused with status 503.
    is_reported_healthy : bool
        What ``/health`` tells, whether it is true or not.
    """

    delay_s: float = 0.0
    cold_start_s: float = 0.0
    is_draining: bool = False
    is_reported_healthy: bool = True


@dataclass(slots=True, kw_only=True)
class UpstreamCounters:
    """What the stand-in did since its start.

    Parameters
    ----------
    n_runs : int
        Requests that got a slot and ran.
    n_running : int
        Requests that hold a slot now.
    n_most_running : int
        Largest number of requests that held a slot at a time.
    n_shed : int
        Requests refused with status 503 without a run.
    n_abandoned : int
        Requests whose caller hung up.
    """

    n_runs: int = 0
    n_running: int = 0
    n_most_running: int = 0
    n_shed: int = 0
    n_abandoned: int = 0


class UpstreamStandIn:
    """Serve any path and count its runs.

    A request with the header ``X-Call-Url`` makes an outgoing call while it
    runs. A path that ends with ``/crash`` kills the process.

    Parameters
    ----------
    address : str
        IP address to listen on.
    port : int, default=0
        TCP port; 0 takes a free one.
    name : str, default="upstream"
        Name told in every answer.
    n_slots : int, default=10
        Requests that run at a time.
    n_connections : int, default=100
        Requests that run or wait at a time; further ones are refused.
    delay_s : float, default=0.0
        Initial time for which a run holds its slot, in seconds.
    """

    def __init__(
        self,
        *,
        address: str,
        port: int = 0,
        name: str = "upstream",
        n_slots: int = N_SLOTS,
        n_connections: int = N_CONNECTIONS,
        delay_s: float = 0.0,
    ) -> None:
        self.name = name
        self.n_connections = n_connections
        self.n_open = 0
        self.slots = asyncio.Semaphore(n_slots)
        self.faults = UpstreamFaults(delay_s=delay_s)
        self.counters = UpstreamCounters()
        self.runs_by_key: Counter[str] = Counter()
        self.runs_by_path: Counter[str] = Counter()
        self.start_s = time.monotonic()
        self.client = CurlAsyncHTTPClient(
            force_instance=True, max_clients=n_connections
        )
        self.sockets = bind_sockets(port, address)
        self.port = self.sockets[0].getsockname()[1]
        self.url = f"http://{address}:{self.port}"
        arguments = {"stand_in": self}
        application = Application(
            [
                (r"/control/counters", CountersHandler, arguments),
                (r"/control/faults", FaultsHandler, arguments),
                (r"/health", HealthHandler, arguments),
                (r"/.*", RunHandler, arguments),
            ],
            log_function=lambda handler: None,
        )
        self.server = HTTPServer(application, max_body_size=MAX_BODY_SIZE_BYTES)

    def start(self) -> None:
        """Start to accept connections."""
        self.server.add_sockets(self.sockets)

    async def stop(self) -> None:
        """Close the port and all connections."""
        self.server.stop()
        await self.server.close_all_connections()
        self.client.close()

    def find_delay(self) -> float:
        """Return the time that a run takes now, in seconds."""
        age_s = time.monotonic() - self.start_s
        factor = 10.0 if age_s < self.faults.cold_start_s else 1.0
        return self.faults.delay_s * factor

    def count_run(self, *, path: str, key: str) -> None:
        """Count the start of a run."""
        self.counters.n_runs += 1
        self.runs_by_path[path] += 1
        if key:
            self.runs_by_key[key] += 1


class StandInHandler(RequestHandler):
    """Share the stand-in between the handlers."""

    def initialize(self, *, stand_in: UpstreamStandIn) -> None:
        """Keep the stand-in."""
        self.stand_in = stand_in

    def compute_etag(self) -> None:
        """Send no entity tag."""

    def write_json(self, value: object) -> None:
        """Finish with a JSON body."""
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(value))


class RunHandler(StandInHandler):
    """Run a request in a slot."""

    async def run(self) -> None:
        """Answer any method and path."""
        stand_in = self.stand_in
        is_full = stand_in.n_open >= stand_in.n_connections
        if is_full or stand_in.faults.is_draining:
            stand_in.counters.n_shed += 1
            raise HTTPError(503)
        self.is_abandoned = False
        stand_in.n_open += 1
        try:
            async with stand_in.slots:
                await self.run_in_slot()
        finally:
            stand_in.n_open -= 1

    get = post = put = delete = patch = run

    def on_connection_close(self) -> None:
        """Note that the caller hung up."""
        self.is_abandoned = True
        self.stand_in.counters.n_abandoned += 1

    async def run_in_slot(self) -> None:
        """Count the run, take its time and answer."""
        if self.is_abandoned:
            raise Finish
        stand_in = self.stand_in
        path = self.request.path
        key = self.request.headers.get(KEY_HEADER, "")
        stand_in.count_run(path=path, key=key)
        if path.endswith(CRASH_SUFFIX):
            os._exit(CRASH_EXIT_CODE)
        counters = stand_in.counters
        counters.n_running += 1
        counters.n_most_running = max(counters.n_most_running, counters.n_running)
        try:
            await asyncio.sleep(stand_in.find_delay())
            called = await self.call_onwards()
        finally:
            counters.n_running -= 1
        if self.is_abandoned:
            raise Finish
        self.write_json(self.describe_run(path, key, called))

    def describe_run(self, path: str, key: str, called: object) -> dict:
        """Return the answer of a run."""
        size = min(int(self.get_query_argument("size", "0")), MAX_PADDING_BYTES)
        return {
            "name": self.stand_in.name,
            "method": self.request.method,
            "path": path,
            "key": key,
            "n_runs": self.stand_in.runs_by_key[key],
            "body_digest": blake2b(self.request.body, digest_size=16).hexdigest(),
            "called": called,
            "padding": "x" * size,
        }

    async def call_onwards(self) -> object:
        """Make the outgoing call that the request asks for.

        The first URL of ``X-Call-Url`` is called, the rest is passed on. The
        other headers are passed on as well, as instrumented services do.
        """
        urls = self.request.headers.get(CALLED_URL_HEADER, "").split()
        if not urls:
            return None
        headers = {
            name: value
            for name, value in self.request.headers.get_all()
            if name not in HOP_HEADERS and name != KEY_HEADER
        }
        if urls[1:]:
            headers[CALLED_URL_HEADER] = " ".join(urls[1:])
        request = HTTPRequest(urls[0], headers=headers, request_timeout=CALL_TIMEOUT_S)
        try:
            response = await self.stand_in.client.fetch(request, raise_error=False)
        except Exception as error:
            return {"status": 0, "error": type(error).__name__}
        body = response.body.decode(errors="replace")
        return {"status": response.code, "body": body}


class HealthHandler(StandInHandler):
    """Tell what the stand-in claims about its health."""

    def get(self) -> None:
        """Answer ``GET /health``."""
        is_healthy = self.stand_in.faults.is_reported_healthy
        self.set_status(200 if is_healthy else 503)
        self.write_json({"healthy": is_healthy})


class FaultsHandler(StandInHandler):
    """Set faults; members that are left out stay as they are."""

    def post(self) -> None:
        """Answer ``POST /control/faults``."""
        faults = self.stand_in.faults
        changes = json.loads(self.request.body)
        if not set(changes) <= set(asdict(faults)):
            raise HTTPError(400)
        for name, value in changes.items():
            setattr(faults, name, value)
        self.write_json(asdict(faults))


class CountersHandler(StandInHandler):
    """Show the counters."""

    def get(self) -> None:
        """Answer ``GET /control/counters``."""
        self.write_json(
            {
                **asdict(self.stand_in.counters),
                "runs_by_key": self.stand_in.runs_by_key,
                "runs_by_path": self.stand_in.runs_by_path,
            }
        )


async def serve(stand_in_arguments: dict) -> None:
    """Serve until SIGTERM or SIGINT; print the port when ready."""
    stand_in = UpstreamStandIn(**stand_in_arguments)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    stand_in.start()
    print(json.dumps({"name": stand_in.name, "port": stand_in.port}), flush=True)
    await stopped.wait()
    await stand_in.stop()


def main() -> None:
    """Run the stand-in as a process."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--name", default="upstream")
    parser.add_argument("--n-slots", type=int, default=N_SLOTS)
    parser.add_argument("--n-connections", type=int, default=N_CONNECTIONS)
    parser.add_argument("--delay-s", type=float, default=0.0)
    asyncio.run(serve(vars(parser.parse_args())))


if __name__ == "__main__":
    main()
