"""Estimation of when the clients of a route made their first attempts."""

from dataclasses import dataclass

__all__ = ["FirstAttempts"]

# Smallest share of the requests with the usual remaining time of their route for which
# others are compared with it. In overload, up to half of the requests may be returning
# ones.
MIN_USUAL_SHARE = 0.5
# Requests of a route before which none is taken for a returning one.
MIN_REQUESTS = 20
# Weight of a new request in the share, once there are enough of them.
SHARE_GAIN = 0.02
# Largest elapsed time that is not told from the deviations of clients, in milliseconds.
TOLERANCE_MS = 5
# Largest share of the requests with another remaining time that repeat that of the one
# before. Above it, some clients of the route have another timeout.
MAX_REPEATED_SHARE = 0.3
# Largest number of routes that are counted.
MAX_ROUTES = 1_024


@dataclass(slots=True, kw_only=True)
class RouteTimes:
    """Remaining times of the requests of one route.

    Parameters
    ----------
    usual_ms : int, default=0
        Most common remaining time, in milliseconds.
    n_requests : int, default=0
        Number of requests.
    usual_share : float, default=0.0
        Share of the requests with the usual remaining time.
    other_ms : int, default=0
        Remaining time of the last request with another one, in milliseconds.
    n_others : int, default=0
        Number of requests with another one.
    repeated_share : float, default=0.0
        Share of them with nearly the time of the one before.
    """

    usual_ms: int = 0
    n_requests: int = 0
    usual_share: float = 0.0
    other_ms: int = 0
    n_others: int = 0
    repeated_share: float = 0.0

    def record(self, remaining_ms: int) -> None:
        """Count a request; the most common time is found by majority vote."""
        self.n_requests += 1
        gain = max(SHARE_GAIN, 1.0 / self.n_requests)
        is_usual = abs(remaining_ms - self.usual_ms) <= TOLERANCE_MS
        self.usual_share += gain * (is_usual - self.usual_share)
        if is_usual:
            return
        self.n_others += 1
        gain_of_others = max(SHARE_GAIN, 1.0 / self.n_others)
        is_repeated = abs(remaining_ms - self.other_ms) <= TOLERANCE_MS
        self.repeated_share += gain_of_others * (is_repeated - self.repeated_share)
        self.other_ms = remaining_ms
        if self.usual_share < gain:
            self.usual_ms = remaining_ms
            self.n_others = 0
            self.repeated_share = 0.0


class FirstAttempts:
    """Usual remaining times of the requests of each route.

    Notes
    -----
    A client that tries again may do so at another host, to which its first attempt is
    unknown. Clients state their full timeout with the first attempt, and what is left
    of it with the next one. Where most requests of a route state the same time, a
    shorter one tells when the first attempt was made.
    """

    def __init__(self) -> None:
        self.routes: dict[str, RouteTimes] = {}

    def estimate_elapsed(self, route: str, remaining_ms: int) -> float:
        """Return the time since the first attempt of a request, in seconds.

        Parameters
        ----------
        route : str
            Route of the request.
        remaining_ms : int
            Time for which its client waits, in milliseconds.

        Returns
        -------
        float
            0 for a first attempt, and if it is unknown.
        """
        times = self.routes.get(route)
        if times is None:
            if len(self.routes) >= MAX_ROUTES:
                del self.routes[next(iter(self.routes))]
            times = self.routes[route] = RouteTimes(usual_ms=remaining_ms)
        times.record(remaining_ms)
        elapsed_ms = times.usual_ms - remaining_ms
        if (
            elapsed_ms <= TOLERANCE_MS
            or times.n_requests < MIN_REQUESTS
            or times.usual_share < MIN_USUAL_SHARE
            or times.repeated_share > MAX_REPEATED_SHARE
        ):
            return 0.0
        return elapsed_ms / 1000
