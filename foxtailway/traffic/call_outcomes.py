"""Outcomes of the calls that the requests of each route make while they run."""

from dataclasses import dataclass
from math import exp

__all__ = ["CallOutcomes"]

# Time constant with which counts decay, in seconds, like those of `Demand`.
DECAY_TIME_S = 3.0
# Share of the started requests with a failed call up to which all requests start. Some
# calls fail at any time, and a few wasted runs cost less than refusing good requests:
# with 0.1, loads in which 2 in 100 calls failed lost a hundredth of their utility.
MAX_FAILED_SHARE = 0.2
# Smallest share of the requests that start: without any, it would not be seen that
# calls succeed again.
MIN_ADMITTED_SHARE = 0.1
# Requests without a failed call that are assumed beside the observed ones, so that the
# first failures are not taken for the usual outcome. With 5, over half of the requests
# of a route started whose calls all failed.
N_ASSUMED = 2.0
# Largest number of routes that are counted.
MAX_ROUTES = 1_024


@dataclass(slots=True, kw_only=True)
class RouteOutcomes:
    """Decaying counts of the requests of one route.

    Parameters
    ----------
    n_started : float, default=0.0
        Requests that got a slot.
    n_failed : float, default=0.0
        Calls that were refused or failed.
    updated_at : float, default=0.0
        Monotonic time of the counts, in seconds.
    """

    n_started: float = 0.0
    n_failed: float = 0.0
    updated_at: float = 0.0

    def decay(self, now: float) -> None:
        """Reduce all counts by the time since the last update."""
        factor = exp(min(0.0, self.updated_at - now) / DECAY_TIME_S)
        self.updated_at = now
        self.n_started *= factor
        self.n_failed *= factor

    @property
    def admitted_share(self) -> float:
        """Share of the requests that start."""
        failed_share = self.n_failed / (self.n_started + N_ASSUMED)
        if failed_share <= MAX_FAILED_SHARE:
            return 1.0
        return max(MIN_ADMITTED_SHARE, 1.0 - failed_share)


class CallOutcomes:
    """Decide which share of the requests of each route starts.

    Notes
    -----
    A request whose call is refused or fails ends with an error, and its run is wasted.
    As many requests of a route are admitted as are expected to end well, judged by the
    recent share of those with a failed call. It counts started requests, not calls: a
    route that seldom calls a service is little affected when that service is lost. The
    argument `now` of the methods is the monotonic time in seconds.
    """

    def __init__(self) -> None:
        self.routes: dict[str, RouteOutcomes] = {}

    def record_failed_call(self, route: str, now: float) -> None:
        """Count a call, made by a request of a route, that was refused or failed."""
        self.get_outcomes(route, now).n_failed += 1.0

    def record_start(self, route: str, now: float) -> None:
        """Count a request that got a slot."""
        self.get_outcomes(route, now).n_started += 1.0

    def get_outcomes(self, route: str, now: float) -> RouteOutcomes:
        """Return the present counts of a route; create them on first use."""
        outcomes = self.routes.get(route)
        if outcomes is None:
            if len(self.routes) >= MAX_ROUTES:
                del self.routes[next(iter(self.routes))]
            outcomes = self.routes[route] = RouteOutcomes(updated_at=now)
        outcomes.decay(now)
        return outcomes

    def admits(self, route: str, draw: float, now: float) -> bool:
        """Return whether a request of a route may start.

        Parameters
        ----------
        route : str
            Route of the request.
        draw : float
            Number from 0 to 1 that is the same at all upstreams that are asked to run
            the request. Otherwise, the share of the requests that start would grow
            with the number of upstreams that are asked.
        now : float
            Monotonic time, in seconds.
        """
        return draw <= self.get_admitted_share(route, now)

    def get_admitted_share(self, route: str, now: float) -> float:
        """Return the share of the requests of a route that start."""
        outcomes = self.routes.get(route)
        if outcomes is None:
            return 1.0
        outcomes.decay(now)
        return outcomes.admitted_share

    def count_limited(self, now: float) -> int:
        """Return the number of routes of which some requests are refused."""
        return sum(self.get_admitted_share(route, now) < 1.0 for route in self.routes)
