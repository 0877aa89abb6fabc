"""Recognition of requests that clients send again after a failure."""

from dataclasses import dataclass

__all__ = ["FailedRequests"]

# Largest difference of the deadlines of two attempts of one request. A deadline is
# derived from a header in whole milliseconds; the rest covers the network's jitter.
DEADLINE_TOLERANCE_S = 0.03
# Largest number of requests that are remembered.
MAX_REQUESTS = 4_096


@dataclass(frozen=True, slots=True, kw_only=True)
class FailedRequest:
    """Request that got no usable response.

    Parameters
    ----------
    due_at : float
        Monotonic time after which a response to its first attempt was late, in
        seconds.
    deadline : float
        Monotonic time at which its client stops waiting, in seconds.
    """

    due_at: float
    deadline: float


class FailedRequests:
    """Requests that were refused or failed lately.

    Notes
    -----
    A client that tries again sends a new identifier, but the same target and the same
    deadline. Its objective counts from its first attempt. Without that knowledge, the
    requests that return during an overload take the place of new ones, so that nearly
    all responses are late. The argument `now` of the methods is the monotonic time in
    seconds.
    """

    def __init__(self) -> None:
        self.requests: dict[tuple[str, str], FailedRequest] = {}

    def record(
        self, route: str, target: str, *, due_at: float, deadline: float, now: float
    ) -> None:
        """Remember a request that got no usable response until its deadline.

        Parameters
        ----------
        route : str
            Name of the route.
        target : str
            Request target.
        due_at, deadline : float
            Monotonic times after which a response is late and at which the client
            stops waiting, in seconds.
        now : float
            Monotonic time of the call, in seconds.
        """
        key = (route, target)
        self.requests.pop(key, None)
        self.discard_oldest(now)
        self.requests[key] = FailedRequest(due_at=due_at, deadline=deadline)

    def pop_due(self, route: str, target: str, deadline: float) -> float | None:
        """Return when a request was due that has failed before, and forget it.

        Returns
        -------
        float or None
            Monotonic time in seconds; None for a request that has not failed before.
        """
        failed = self.requests.get((route, target))
        if failed is None or abs(failed.deadline - deadline) > DEADLINE_TOLERANCE_S:
            return None
        del self.requests[route, target]
        return failed.due_at

    def discard_oldest(self, now: float) -> None:
        """Forget the oldest requests if they have expired or are too many."""
        while self.requests:
            key = next(iter(self.requests))
            if (
                len(self.requests) < MAX_REQUESTS
                and self.requests[key].deadline + DEADLINE_TOLERANCE_S > now
            ):
                return
            del self.requests[key]
