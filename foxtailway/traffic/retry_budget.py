"""Budget of repeated requests, divided among the nodes."""

from collections import deque

__all__ = ["RetryBudget"]

# Share of the fleet's allowance that the nodes use among themselves. The rest
# covers calls made by repeated runs and repeats of nodes that restarted.
SAFETY_RATIO = 0.6


class RetryBudget:
    """Bound the repeats that one node sends to one service.

    Parameters
    ----------
    ratio : float
        Repeats allowed to the fleet for each request.
    slack : float
        Repeats allowed to the fleet in a window besides.
    window_s : float
        Length of the sliding window, in seconds.

    Notes
    -----
    Each node holds its own repeats in any window to its own requests times the
    ratio plus its part of the slack. The sums over all nodes then hold for the
    fleet, whatever the number of nodes, as long as no node counts fewer nodes
    than there are.
    """

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self.requests: deque[float] = deque()
        self.repeats: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a request that a client sent."""
        self.requests.append(now)
        self.trim(self.requests, now)

    def try_acquire(self, n_nodes: int, now: float, share: float = 1.0) -> bool:
        """Take one repeat from the budget, or return False.

        Parameters
        ----------
        n_nodes : int
            Nodes that share the slack; at least one.
        now : float
            Time in seconds.
        share : float, default=1.0
            Part of the budget that may be used up to now and by this repeat.
        """
        self.trim(self.requests, now)
        self.trim(self.repeats, now)
        allowance = self.ratio * len(self.requests) + self.slack / max(1, n_nodes)
        if len(self.repeats) + 1 > allowance * SAFETY_RATIO * share:
            return False
        self.repeats.append(now)
        return True

    def trim(self, times: deque[float], now: float) -> None:
        """Drop the times that have left the window."""
        while times and times[0] <= now - self.window_s:
            times.popleft()
