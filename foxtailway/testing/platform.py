"""Stand-in of the platform's configuration service, over HTTP and in memory."""

import asyncio
import json
import signal
import time
from argparse import ArgumentParser
from dataclasses import asdict, dataclass

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, Finish, HTTPError, RequestHandler

from foxtailway.testing.platform_store import PlatformStore

__all__ = ["PlatformCounters", "PlatformFaults", "PlatformStandIn", "main"]

CALLS_PER_S = 2_000
MAX_VALUE_SIZE_BYTES = 1_048_576
MAX_WAIT_S = 60.0


@dataclass(slots=True, kw_only=True)
class PlatformFaults:
    """Faults that the stand-in shows on its read API.

    Parameters
    ----------
    is_down : bool
        Whether connections are closed without an answer.
    delay_s : float
        Delay of every answer, in seconds.
    stale_revision : int or None
        Revision from which answers are given; None for the newest.
    """

    is_down: bool = False
    delay_s: float = 0.0
    stale_revision: int | None = None


@dataclass(slots=True, kw_only=True)
class PlatformCounters:
    """Calls of the read API since the start.

    Parameters
    ----------
    n_changes, n_values : int
        Answered calls by kind; a waiting watch counts once.
    n_rejected : int
        Calls above the rate limit.
    n_dropped : int
        Calls cut off by an outage.
    n_waiting : int
        Watches that wait now.
    """

    n_changes: int = 0
    n_values: int = 0
    n_rejected: int = 0
    n_dropped: int = 0
    n_waiting: int = 0


class PlatformStandIn:
    """Serve a store's read API and the test controls on one port.

    Parameters
    ----------
    address : str
        IP address to listen on.
    port : int, default=0
        TCP port; 0 takes a free one.
    calls_per_s : int, default=2000
        Calls of the read API answered within each second.
    """

    def __init__(
        self, *, address: str, port: int = 0, calls_per_s: int = CALLS_PER_S
    ) -> None:
        self.store = PlatformStore()
        self.faults = PlatformFaults()
        self.counters = PlatformCounters()
        self.calls_per_s = calls_per_s
        self.window = 0
        self.n_window_calls = 0
        self.changed = asyncio.Event()
        self.sockets = bind_sockets(port, address)
        self.port = self.sockets[0].getsockname()[1]
        self.url = f"http://{address}:{self.port}"
        self.server = HTTPServer(
            self.make_application(), max_body_size=2 * MAX_VALUE_SIZE_BYTES
        )

    def make_application(self) -> Application:
        """Return the application of both APIs."""
        arguments = {"stand_in": self}
        return Application(
            [
                (r"/v1/changes", ChangesHandler, arguments),
                (r"/v1/values/(.+)", ValueHandler, arguments),
                (r"/control/values/(.+)", ControlValueHandler, arguments),
                (r"/control/faults", FaultsHandler, arguments),
                (r"/control/counters", CountersHandler, arguments),
            ],
            compress_response=True,
            log_function=lambda handler: None,
        )

    def start(self) -> None:
        """Start to accept connections."""
        self.server.add_sockets(self.sockets)

    async def stop(self) -> None:
        """Close the port and all connections."""
        self.server.stop()
        self.faults.is_down = True
        self.notify()
        await self.server.close_all_connections()

    def notify(self) -> None:
        """Wake all waiting watches."""
        self.changed.set()
        self.changed = asyncio.Event()

    def write(self, key: str, content: bytes | None) -> int:
        """Write or delete a value as the operators do."""
        revision = self.store.write(key, content)
        self.notify()
        return revision

    def admit(self) -> bool:
        """Count a call against the rate limit."""
        window = int(time.monotonic())
        if window != self.window:
            self.window = window
            self.n_window_calls = 0
        self.n_window_calls += 1
        return self.n_window_calls <= self.calls_per_s

    def find_revision(self) -> int:
        """Return the revision from which answers are given now."""
        if self.faults.stale_revision is None:
            return self.store.revision
        return min(self.faults.stale_revision, self.store.revision)


class StandInHandler(RequestHandler):
    """Share the stand-in between the handlers."""

    def initialize(self, *, stand_in: PlatformStandIn) -> None:
        """Keep the stand-in."""
        self.stand_in = stand_in

    def compute_etag(self) -> None:
        """Send no entity tag."""

    def write_json(self, value: object) -> None:
        """Finish with a JSON body."""
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(value))


class ReadHandler(StandInHandler):
    """Show faults and the rate limit before every call of the read API."""

    async def prepare(self) -> None:
        """Delay, drop or reject the call."""
        if not self.stand_in.admit():
            self.stand_in.counters.n_rejected += 1
            raise HTTPError(429)
        if self.stand_in.faults.delay_s:
            await asyncio.sleep(self.stand_in.faults.delay_s)
        self.drop_when_down()

    def drop_when_down(self) -> None:
        """Close the connection without an answer during an outage."""
        if self.stand_in.faults.is_down:
            self.stand_in.counters.n_dropped += 1
            self.request.connection.stream.close()
            raise Finish

    def read_number(self, name: str, largest: float) -> float:
        """Return a query argument between 0 and `largest`."""
        try:
            number = float(self.get_query_argument(name, "0"))
        except ValueError:
            raise HTTPError(400) from None
        if not 0 <= number <= largest:
            raise HTTPError(400)
        return number


class ChangesHandler(ReadHandler):
    """List changes below a prefix, waiting for the first one when asked."""

    async def get(self) -> None:
        """Answer ``GET /v1/changes``."""
        prefix = self.get_query_argument("prefix", "")
        since = int(self.read_number("since", 2**53))
        deadline = time.monotonic() + self.read_number("wait", MAX_WAIT_S)
        self.stand_in.counters.n_changes += 1
        await self.wait_for_change(prefix, since, deadline)
        self.drop_when_down()
        at = self.stand_in.find_revision()
        store = self.stand_in.store
        changes = store.list_changes(prefix=prefix, since=since, at=at)
        self.write_json(
            {
                "revision": at,
                "complete": store.is_gap(since=since, at=at),
                "changes": [
                    {
                        "key": stored.key,
                        "revision": stored.revision,
                        "deleted": stored.content is None,
                    }
                    for stored in changes
                ],
            }
        )

    async def wait_for_change(self, prefix: str, since: int, deadline: float) -> None:
        """Return when there is something to answer or the wait has ended."""
        store = self.stand_in.store
        self.stand_in.counters.n_waiting += 1
        try:
            while not self.stand_in.faults.is_down:
                at = self.stand_in.find_revision()
                if store.is_gap(since=since, at=at):
                    return
                if store.list_changes(prefix=prefix, since=since, at=at):
                    return
                left_s = deadline - time.monotonic()
                await asyncio.wait_for(self.stand_in.changed.wait(), max(left_s, 0))
        except TimeoutError:
            return
        finally:
            self.stand_in.counters.n_waiting -= 1


class ValueHandler(ReadHandler):
    """Read one value."""

    def get(self, key: str) -> None:
        """Answer ``GET /v1/values/KEY``."""
        self.stand_in.counters.n_values += 1
        stored = self.stand_in.store.read(key, at=self.stand_in.find_revision())
        if stored is None:
            raise HTTPError(404)
        self.set_header("Content-Type", "text/plain; charset=utf-8")
        self.set_header("X-Revision", str(stored.revision))
        self.finish(stored.content)


class ControlValueHandler(StandInHandler):
    """Write values as the operators do."""

    def put(self, key: str) -> None:
        """Answer ``PUT /control/values/KEY``."""
        if len(self.request.body) > MAX_VALUE_SIZE_BYTES:
            raise HTTPError(413)
        self.write_json({"revision": self.stand_in.write(key, self.request.body)})

    def delete(self, key: str) -> None:
        """Answer ``DELETE /control/values/KEY``."""
        self.write_json({"revision": self.stand_in.write(key, None)})


class FaultsHandler(StandInHandler):
    """Set faults; members that are left out stay as they are."""

    def post(self) -> None:
        """Answer ``POST /control/faults``."""
        stand_in = self.stand_in
        changes = json.loads(self.request.body)
        restore_revision = changes.pop("restore_revision", None)
        forget_revision = changes.pop("forget_revision", None)
        if not set(changes) <= set(asdict(stand_in.faults)):
            raise HTTPError(400)
        for name, value in changes.items():
            setattr(stand_in.faults, name, value)
        if restore_revision is not None:
            stand_in.store.restore(restore_revision)
        if forget_revision is not None:
            stand_in.store.forgotten_revision = forget_revision
        stand_in.notify()
        self.write_json(asdict(stand_in.faults))


class CountersHandler(StandInHandler):
    """Show the counters."""

    def get(self) -> None:
        """Answer ``GET /control/counters``."""
        counters = asdict(self.stand_in.counters)
        self.write_json({"revision": self.stand_in.store.revision, **counters})


async def serve(*, address: str, port: int, calls_per_s: int) -> None:
    """Serve until SIGTERM or SIGINT; print the port when ready."""
    stand_in = PlatformStandIn(address=address, port=port, calls_per_s=calls_per_s)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    stand_in.start()
    print(json.dumps({"address": address, "port": stand_in.port}), flush=True)
    await stopped.wait()
    await stand_in.stop()


def main() -> None:
    """Run the stand-in as a process."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--calls-per-s", type=int, default=CALLS_PER_S)
    arguments = parser.parse_args()
    asyncio.run(
        serve(
            address=arguments.address,
            port=arguments.port,
            calls_per_s=arguments.calls_per_s,
        )
    )


if __name__ == "__main__":
    main()
