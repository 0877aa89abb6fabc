"""HTTP handlers of the fake platform."""

import asyncio
import json
import time
from dataclasses import asdict

from tornado.web import Application, Finish, HTTPError, RequestHandler

from foxtailway.testing.platform_state import PlatformState

__all__ = ["MAX_VALUE_SIZE_BYTES", "make_platform_application"]

# Largest value that the platform accepts.
MAX_VALUE_SIZE_BYTES = 1_048_576
# Longest wait that a watch may ask for.
MAX_WAIT_S = 60.0


class StateHandler(RequestHandler):
    """Base class of handlers with access to the state."""

    def initialize(self, *, state: PlatformState) -> None:
        """Set the state."""
        self.state = state

    def compute_etag(self) -> None:
        """Return None, so that responses have no entity tag."""

    def write_json(self, value: object) -> None:
        """Finish the response with a JSON body."""
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(value))


class ReadHandler(StateHandler):
    """Base class of the read API that applies the faults and the rate limit."""

    async def prepare(self) -> None:
        """Delay the call, close its connection or refuse it with status 429."""
        if not self.state.admit():
            self.state.counters.n_rejected += 1
            raise HTTPError(429)
        if self.state.faults.delay_s:
            await asyncio.sleep(self.state.faults.delay_s)
        self.close_if_down()

    def close_if_down(self) -> None:
        """Close the connection without a response during an outage."""
        if self.state.faults.is_down:
            self.state.counters.n_dropped += 1
            self.request.connection.stream.close()
            raise Finish

    def read_number(self, name: str, maximum: float) -> float:
        """Return a query argument between 0 and `maximum`.

        Raises
        ------
        HTTPError
            With status 400 if the argument is not a number or out of range.
        """
        try:
            number = float(self.get_query_argument(name, "0"))
        except ValueError:
            raise HTTPError(400) from None
        if not 0 <= number <= maximum:
            raise HTTPError(400)
        return number


class ChangesHandler(ReadHandler):
    """List changes below a prefix and optionally wait for the first one."""

    async def get(self) -> None:
        """Handle ``GET /v1/changes``."""
        prefix = self.get_query_argument("prefix", "")
        since = int(self.read_number("since", 2**53))
        deadline = time.monotonic() + self.read_number("wait", MAX_WAIT_S)
        self.state.counters.n_changes += 1
        await self.wait_for_change(prefix, since, deadline)
        self.close_if_down()
        at = self.state.find_served_revision()
        store = self.state.store
        changes = store.list_changes(prefix=prefix, since=since, at=at)
        self.write_json(
            {
                "revision": at,
                "complete": store.is_full_listing(since=since, at=at),
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
        """Return when there is a change, during an outage or at the deadline."""
        store = self.state.store
        self.state.counters.n_waiting += 1
        try:
            while not self.state.faults.is_down:
                at = self.state.find_served_revision()
                if store.is_full_listing(since=since, at=at):
                    return
                if store.list_changes(prefix=prefix, since=since, at=at):
                    return
                remaining_s = deadline - time.monotonic()
                await asyncio.wait_for(self.state.changed.wait(), max(remaining_s, 0))
        except TimeoutError:
            return
        finally:
            self.state.counters.n_waiting -= 1


class ValueHandler(ReadHandler):
    """Read one value."""

    def get(self, key: str) -> None:
        """Handle ``GET /v1/values/KEY``."""
        self.state.counters.n_values += 1
        stored = self.state.store.read(key, at=self.state.find_served_revision())
        if stored is None:
            raise HTTPError(404)
        self.set_header("Content-Type", "text/plain; charset=utf-8")
        self.set_header("X-Revision", str(stored.revision))
        self.finish(stored.content)


class ControlValueHandler(StateHandler):
    """Write and delete values, in the role of the operators."""

    def put(self, key: str) -> None:
        """Handle ``PUT /control/values/KEY``."""
        if len(self.request.body) > MAX_VALUE_SIZE_BYTES:
            raise HTTPError(413)
        self.write_json({"revision": self.state.write(key, self.request.body)})

    def delete(self, key: str) -> None:
        """Handle ``DELETE /control/values/KEY``."""
        self.write_json({"revision": self.state.write(key, None)})


class FaultsHandler(StateHandler):
    """Set faults; fields missing from the body remain unchanged."""

    def post(self) -> None:
        """Handle ``POST /control/faults``."""
        state = self.state
        changes = json.loads(self.request.body)
        restore_revision = changes.pop("restore_revision", None)
        forget_revision = changes.pop("forget_revision", None)
        if not set(changes) <= set(asdict(state.faults)):
            raise HTTPError(400)
        for name, value in changes.items():
            setattr(state.faults, name, value)
        if restore_revision is not None:
            state.store.restore(restore_revision)
        if forget_revision is not None:
            state.store.compacted_revision = forget_revision
        state.notify()
        self.write_json(asdict(state.faults))


class CountersHandler(StateHandler):
    """Return the revision and the counters."""

    def get(self) -> None:
        """Handle ``GET /control/counters``."""
        counters = asdict(self.state.counters)
        self.write_json({"revision": self.state.store.revision, **counters})


def make_platform_application(state: PlatformState) -> Application:
    """Return the application with the read API and the control API of tests."""
    arguments = {"state": state}
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
