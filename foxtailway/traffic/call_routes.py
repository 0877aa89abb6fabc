"""Recognition of the routes of calls that the upstream on the same host makes."""

from collections.abc import Sequence
from dataclasses import dataclass

__all__ = ["PARENT_TOLERANCE_S", "CallRoutes"]

# Largest difference between the deadline of a request and that of the calls which the
# upstream makes for it. Both pass through the upstream in whole milliseconds, and their
# transit on a slow processor takes some time.
PARENT_TOLERANCE_S = 0.03
# A match counts as evidence only if no other request ends within this multiple of the
# tolerance. At most a fifth of the observations with independent deadlines match then,
# whatever the load; all of those of calls do.
CLEAR_RATIO = 3.0
# Smallest share of the observations that match a parent on a route of calls.
MIN_MATCHED_SHARE = 0.9
# Largest share of the requests whose remaining time equals that of the one before, in
# whole milliseconds. Clients state the same time with nearly each first attempt; that
# of calls differs by the time that their parents have run.
MAX_REPEATED_SHARE = 0.8
# Observations before which no route is one of calls.
MIN_OBSERVATIONS = 20
# Weight of a new observation in the shares, once there are enough of them.
SHARE_GAIN = 0.02
# Largest number of routes that are observed.
MAX_ROUTES = 1_024


@dataclass(slots=True, kw_only=True)
class RouteRecord:
    """Observed requests of one route that came from this host.

    Parameters
    ----------
    n_observations : int, default=0
        Requests that matched a parent clearly, or none.
    matched_share : float, default=0.0
        Share of them that matched one.
    n_requests : int, default=0
        All requests.
    repeated_share : float, default=0.0
        Share of them with the remaining time of the one before.
    remaining_ms : int, default=-1
        Remaining time of the last request, in milliseconds.
    """

    n_observations: int = 0
    matched_share: float = 0.0
    n_requests: int = 0
    repeated_share: float = 0.0
    remaining_ms: int = -1

    @property
    def is_of_calls(self) -> bool:
        """Whether nearly all requests are calls."""
        return (
            self.n_observations >= MIN_OBSERVATIONS
            and self.matched_share >= MIN_MATCHED_SHARE
            and self.repeated_share <= MAX_REPEATED_SHARE
        )


class CallRoutes:
    """Shares of the requests of each route that match a running request.

    Notes
    -----
    A call has the deadline of the request that makes it, its parent, which runs at the
    upstream on this host. An ordinary request may have such a deadline by chance. Only
    a route of which nearly all requests from this host match a parent of another route
    is one of calls.
    """

    def __init__(self) -> None:
        self.routes: dict[str, RouteRecord] = {}

    def find_parent(
        self,
        route: str,
        *,
        remaining_ms: int,
        deadline: float,
        parents: Sequence[tuple[float, str]],
    ) -> int | None:
        """Return the position of the parent of a request, and learn from the request.

        Parameters
        ----------
        route : str
            Route of the request.
        remaining_ms : int
            Time for which its sender waits, in milliseconds.
        deadline : float
            Monotonic time at which its sender stops waiting, in seconds.
        parents : sequence of tuple of float and str
            Deadlines and routes of the requests that run at the upstream.

        Returns
        -------
        int or None
            None for an ordinary request.
        """
        distances = sorted(
            (abs(parent_deadline - deadline), position)
            for position, (parent_deadline, parent_route) in enumerate(parents)
            if parent_route != route
        )
        is_matched = bool(distances) and distances[0][0] <= PARENT_TOLERANCE_S
        clear_s = CLEAR_RATIO * PARENT_TOLERANCE_S
        is_clear = not any(
            PARENT_TOLERANCE_S < distance_s <= clear_s for distance_s, _ in distances
        )
        record = self.get_record(route)
        if is_clear or not is_matched:
            record.n_observations += 1
            record.matched_share = update_share(
                record.matched_share, record.n_observations, is_matched
            )
        record.n_requests += 1
        record.repeated_share = update_share(
            record.repeated_share,
            record.n_requests,
            remaining_ms == record.remaining_ms,
        )
        record.remaining_ms = remaining_ms
        return distances[0][1] if is_matched and record.is_of_calls else None

    def get_record(self, route: str) -> RouteRecord:
        """Return the record of a route; create it on first use."""
        record = self.routes.get(route)
        if record is None:
            if len(self.routes) >= MAX_ROUTES:
                del self.routes[next(iter(self.routes))]
            record = self.routes[route] = RouteRecord()
        return record


def update_share(share: float, n_observations: int, is_met: bool) -> float:
    """Return the share after one more observation: a mean first, then a moving one."""
    gain = max(SHARE_GAIN, 1.0 / n_observations)
    return share + gain * (is_met - share)
