"""HTTP handlers of the fake upstream."""

import asyncio
import json
import os
from dataclasses import asdict
from hashlib import blake2b

from tornado.httpclient import AsyncHTTPClient, HTTPRequest
from tornado.web import Application, Finish, HTTPError, RequestHandler

from foxtailway.testing.upstream_state import UpstreamState

__all__ = ["CRASH_EXIT_CODE", "make_upstream_application"]

# Header of the idempotency key.
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
# Header of the URLs of a chain of outgoing calls, separated by spaces.
CALL_URL_HEADER = "X-Call-Url"
# End of a path whose request exits the process.
CRASH_SUFFIX = "/crash"
# Exit code of a process that such a request exits.
CRASH_EXIT_CODE = 70
# Timeout of an outgoing call.
CALL_TIMEOUT_S = 30.0
# Largest padding that a request may ask for.
MAX_PADDING_BYTES = 10_000_000
# Headers of the request that an outgoing call does not forward.
UNFORWARDED_HEADERS = frozenset(
    ["Host", "Connection", "Content-Length", "Transfer-Encoding", CALL_URL_HEADER]
)


class StateHandler(RequestHandler):
    """Base class of handlers with access to the state."""

    def initialize(self, *, state: UpstreamState, client: AsyncHTTPClient) -> None:
        """Set the state and the client of outgoing calls."""
        self.state = state
        self.client = client

    def compute_etag(self) -> None:
        """Return None, so that responses have no entity tag."""

    def write_json(self, value: object) -> None:
        """Finish the response with a JSON body."""
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(value))


class RunHandler(StateHandler):
    """Handler that runs a request in a slot."""

    async def run(self) -> None:
        """Handle any method and path; refuse the request if draining or full."""
        state = self.state
        is_full = state.n_accepted >= state.n_connections
        if is_full or state.faults.is_draining:
            state.counters.n_shed += 1
            raise HTTPError(503)
        self.is_abandoned = False
        state.n_accepted += 1
        try:
            async with state.slots:
                await self.run_in_slot()
        finally:
            state.n_accepted -= 1

    get = post = put = delete = patch = run

    def on_connection_close(self) -> None:
        """Mark the request as abandoned when the client closes the connection."""
        self.is_abandoned = True
        self.state.counters.n_abandoned += 1

    async def run_in_slot(self) -> None:
        """Count the run, wait for its run time and respond.

        An abandoned request does not run.
        """
        if self.is_abandoned:
            raise Finish
        state = self.state
        path = self.request.path
        key = self.request.headers.get(IDEMPOTENCY_KEY_HEADER, "")
        state.count_run(path=path, key=key)
        if path.endswith(CRASH_SUFFIX):
            os._exit(CRASH_EXIT_CODE)
        counters = state.counters
        counters.n_running += 1
        counters.n_most_running = max(counters.n_most_running, counters.n_running)
        try:
            await asyncio.sleep(state.compute_run_time())
            called = await self.make_outgoing_call()
        finally:
            counters.n_running -= 1
        if self.is_abandoned:
            raise Finish
        self.write_json(self.describe_run(path, key, called))

    def describe_run(self, path: str, key: str, called: object) -> dict:
        """Return the response body of a run.

        Parameters
        ----------
        path : str
            Path of the request.
        key : str
            Idempotency key of the request.
        called : object
            Result of the outgoing call.
        """
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

    async def make_outgoing_call(self) -> object:
        """Make the outgoing call that the request asks for and return its result.

        The first URL of ``X-Call-Url`` is called and the remaining URLs are
        forwarded in the header. Other headers are forwarded as well, as by services
        with tracing.

        Returns
        -------
        dict or None
            Status and body, or status 0 and the name of the exception; None if the
            request asks for no call.
        """
        urls = self.request.headers.get(CALL_URL_HEADER, "").split()
        if not urls:
            return None
        headers = {
            name: value
            for name, value in self.request.headers.get_all()
            if name not in UNFORWARDED_HEADERS and name != IDEMPOTENCY_KEY_HEADER
        }
        if urls[1:]:
            headers[CALL_URL_HEADER] = " ".join(urls[1:])
        request = HTTPRequest(urls[0], headers=headers, request_timeout=CALL_TIMEOUT_S)
        try:
            response = await self.client.fetch(request, raise_error=False)
        except Exception as error:
            return {"status": 0, "error": type(error).__name__}
        body = response.body.decode(errors="replace")
        return {"status": response.code, "body": body}


class HealthHandler(StateHandler):
    """Health check whose result a test controls."""

    def get(self) -> None:
        """Handle ``GET /health``."""
        is_healthy = self.state.faults.is_reported_healthy
        self.set_status(200 if is_healthy else 503)
        self.write_json({"healthy": is_healthy})


class FaultsHandler(StateHandler):
    """Set faults; fields missing from the body remain unchanged."""

    def post(self) -> None:
        """Handle ``POST /control/faults``."""
        faults = self.state.faults
        changes = json.loads(self.request.body)
        if not set(changes) <= set(asdict(faults)):
            raise HTTPError(400)
        for name, value in changes.items():
            setattr(faults, name, value)
        self.write_json(asdict(faults))


class CountersHandler(StateHandler):
    """Return the counters."""

    def get(self) -> None:
        """Handle ``GET /control/counters``."""
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
    """Return the application that runs requests, with the control API of tests."""
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
