"""HTTP handlers of the stand-in of an upstream."""

import asyncio
import json
import os
from dataclasses import asdict
from hashlib import blake2b

from tornado.httpclient import AsyncHTTPClient, HTTPRequest
from tornado.web import Application, Finish, HTTPError, RequestHandler

from foxtailway.testing.upstream_state import UpstreamState

__all__ = ["CRASH_EXIT_CODE", "make_upstream_application"]

KEY_HEADER = "Idempotency-Key"
CALLED_URL_HEADER = "X-Call-Url"
CRASH_SUFFIX = "/crash"
CRASH_EXIT_CODE = 70
CALL_TIMEOUT_S = 30.0
MAX_PADDING_BYTES = 10_000_000
HOP_HEADERS = frozenset(
    ["Host", "Connection", "Content-Length", "Transfer-Encoding", CALLED_URL_HEADER]
)


class StateHandler(RequestHandler):
    """Share the state between the handlers."""

    def initialize(self, *, state: UpstreamState, client: AsyncHTTPClient) -> None:
        """Keep the state and the client of outgoing calls."""
        self.state = state
        self.client = client

    def compute_etag(self) -> None:
        """Send no entity tag."""

    def write_json(self, value: object) -> None:
        """Finish with a JSON body."""
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(value))


class RunHandler(StateHandler):
    """Run a request in a slot."""

    async def run(self) -> None:
        """Answer any method and path."""
        state = self.state
        is_full = state.n_open >= state.n_connections
        if is_full or state.faults.is_draining:
            state.counters.n_shed += 1
            raise HTTPError(503)
        self.is_abandoned = False
        state.n_open += 1
        try:
            async with state.slots:
                await self.run_in_slot()
        finally:
            state.n_open -= 1

    get = post = put = delete = patch = run

    def on_connection_close(self) -> None:
        """Note that the caller hung up."""
        self.is_abandoned = True
        self.state.counters.n_abandoned += 1

    async def run_in_slot(self) -> None:
        """Count the run, take its time and answer."""
        if self.is_abandoned:
            raise Finish
        state = self.state
        path = self.request.path
        key = self.request.headers.get(KEY_HEADER, "")
        state.count_run(path=path, key=key)
        if path.endswith(CRASH_SUFFIX):
            os._exit(CRASH_EXIT_CODE)
        counters = state.counters
        counters.n_running += 1
        counters.n_most_running = max(counters.n_most_running, counters.n_running)
        try:
            await asyncio.sleep(state.find_delay())
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
            "name": self.state.name,
            "method": self.request.method,
            "path": path,
            "key": key,
            "n_runs": self.state.runs_by_key[key],
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
            response = await self.client.fetch(request, raise_error=False)
        except Exception as error:
            return {"status": 0, "error": type(error).__name__}
        body = response.body.decode(errors="replace")
        return {"status": response.code, "body": body}


class HealthHandler(StateHandler):
    """Tell what the stand-in claims about its health."""

    def get(self) -> None:
        """Answer ``GET /health``."""
        is_healthy = self.state.faults.is_reported_healthy
        self.set_status(200 if is_healthy else 503)
        self.write_json({"healthy": is_healthy})


class FaultsHandler(StateHandler):
    """Set faults; members that are left out stay as they are."""

    def post(self) -> None:
        """Answer ``POST /control/faults``."""
        faults = self.state.faults
        changes = json.loads(self.request.body)
        if not set(changes) <= set(asdict(faults)):
            raise HTTPError(400)
        for name, value in changes.items():
            setattr(faults, name, value)
        self.write_json(asdict(faults))


class CountersHandler(StateHandler):
    """Show the counters."""

    def get(self) -> None:
        """Answer ``GET /control/counters``."""
        self.write_json(
            {
                **asdict(self.state.counters),
                "runs_by_key": self.state.runs_by_key,
                "runs_by_path": self.state.runs_by_path,
            }
        )


def make_upstream_application(
    state: UpstreamState, client: AsyncHTTPClient
) -> Application:
    """Return the application that runs requests and shows the counters."""
    arguments = {"state": state, "client": client}
    return Application(
        [
            (r"/control/counters", CountersHandler, arguments),
            (r"/control/faults", FaultsHandler, arguments),
            (r"/health", HealthHandler, arguments),
            (r"/.*", RunHandler, arguments),
        ],
        log_function=lambda handler: None,
    )
