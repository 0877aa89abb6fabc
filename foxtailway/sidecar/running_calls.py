"""Calls that run at the upstream on the same host."""

import asyncio

from foxtailway.sidecar.call import UpstreamCall
from foxtailway.traffic.call_routes import PARENT_TOLERANCE_S

__all__ = ["RunningCalls"]


class RunningCalls:
    """Calls in progress with the deadlines that were sent to the upstream."""

    def __init__(self) -> None:
        self.calls: dict[asyncio.Future, tuple[float, UpstreamCall]] = {}

    def add(
        self, exchange: asyncio.Future, call: UpstreamCall, deadline: float
    ) -> None:
        """Add the call of an exchange.

        Parameters
        ----------
        exchange : asyncio.Future
            Exchange with the upstream.
        call : UpstreamCall
            Call that the upstream runs.
        deadline : float
            Deadline that was sent to the upstream, as monotonic time in seconds.
        """
        self.calls[exchange] = (deadline, call)

    def discard(self, exchange: asyncio.Future) -> None:
        """Remove the call of an exchange that has ended."""
        self.calls.pop(exchange, None)

    def find_parent(self, deadline: float) -> UpstreamCall | None:
        """Return the running request for which the upstream makes a call, or None.

        The upstream gives its calls the deadline of the request that makes them.

        Parameters
        ----------
        deadline : float
            Deadline of the call, as monotonic time in seconds.
        """
        nearest = min(
            self.calls.values(), key=lambda item: abs(item[0] - deadline), default=None
        )
        if nearest is None or abs(nearest[0] - deadline) > PARENT_TOLERANCE_S:
            return None
        return nearest[1]
