"""Generator of client traffic that counts failed calls."""

import asyncio
from dataclasses import dataclass

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest

__all__ = ["Traffic", "TrafficCounts"]

REQUEST_TIMEOUT_S = 10.0


@dataclass(slots=True, kw_only=True)
class TrafficCounts:
    """Counts of finished calls.

    Parameters
    ----------
    n_calls : int
        Finished calls.
    n_failed : int
        Calls that ended with another status than 200.
    first_failure : str
        URL, status and refusal reason of the first failed call; empty if none
        failed.
    """

    n_calls: int = 0
    n_failed: int = 0
    first_failure: str = ""


class Traffic:
    """Generator of calls at a constant rate.

    Parameters
    ----------
    calls : sequence of HTTPRequest
        Calls to make, in round-robin order.
    interval_s : float
        Time between the starts of two calls, in seconds.
    """

    def __init__(self, *, calls: list[HTTPRequest], interval_s: float) -> None:
        self.calls = calls
        self.interval_s = interval_s
        self.counts = TrafficCounts()
        self.client = CurlAsyncHTTPClient(force_instance=True, max_clients=64)
        self.tasks: set[asyncio.Task] = set()
        self.is_stopping = False

    async def run(self) -> None:
        """Start calls until `stop` is called."""
        position = 0
        while not self.is_stopping:
            call = self.calls[position % len(self.calls)]
            position += 1
            task = asyncio.ensure_future(self.make_call(call))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(self.interval_s)

    async def make_call(self, call: HTTPRequest) -> None:
        """Make one call and count its result."""
        response = await self.client.fetch(call, raise_error=False)
        self.counts.n_calls += 1
        if response.code == 200:
            return
        self.counts.n_failed += 1
        if not self.counts.first_failure:
            reason = response.headers.get("X-Foxtailway-Reason", "")
            self.counts.first_failure = f"{call.url}: {response.code} {reason}"

    async def stop(self) -> None:
        """Stop making calls and wait for those in flight."""
        self.is_stopping = True
        while self.tasks:
            await asyncio.wait(list(self.tasks))
        self.client.close()
