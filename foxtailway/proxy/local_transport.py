"""Calls to the local upstream."""

import asyncio

from expression import Result

from foxtailway.proxy.channel import CallTransport
from foxtailway.proxy.message import CallRequest, CallResponse
from foxtailway.proxy.runner import RequestRunner
from foxtailway.proxy.upstream import CancelToken
from foxtailway.routing.outcome import Refusal

__all__ = ["LocalTransport"]


class LocalTransport(CallTransport):
    """Run requests at the local upstream without a stream.

    Parameters
    ----------
    runner : RequestRunner
        Runs the requests.
    """

    def __init__(self, *, runner: RequestRunner) -> None:
        self.runner = runner
        self.tasks: set[asyncio.Task] = set()

    async def call(self, request: CallRequest) -> Result[CallResponse, Refusal]:
        """Run a request; cancelling the caller cancels the request.

        The request runs in a separate task, so that it holds its slot until the
        connection to the upstream is closed.
        """
        token = CancelToken()
        task = asyncio.ensure_future(self.runner.run(request, token=token))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            token.cancel()
            raise

    async def query_key(self, *, key: str, window_s: float) -> bool:
        """Return whether the local node relinquished `key`."""
        return self.runner.relinquish_key(key, window_s=window_s)
