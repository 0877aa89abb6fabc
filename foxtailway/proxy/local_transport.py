"""Calls to the upstream of the own host."""

import asyncio

from expression import Result

from foxtailway.proxy.channel import CallTransport
from foxtailway.proxy.message import CallRequest, CallResponse
from foxtailway.proxy.runner import RequestRunner
from foxtailway.proxy.upstream import CancelToken
from foxtailway.routing.outcome import Refusal

__all__ = ["LocalTransport"]


class LocalTransport(CallTransport):
    """Run requests at the own upstream without a stream.

    Parameters
    ----------
    runner : RequestRunner
        Runs requests.
    """

    def __init__(self, *, runner: RequestRunner) -> None:
        self.runner = runner
        self.tasks: set[asyncio.Task] = set()

    async def call(self, request: CallRequest) -> Result[CallResponse, Refusal]:
        """Run a request; it ends by itself when the caller goes away.

        The request runs as a task of its own, so that its slot is held until
        the upstream's connection is really closed.
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
        """Return whether this host gave up `key`."""
        return self.runner.surrender_key(key, window_s=window_s)
