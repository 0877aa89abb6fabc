"""Budget of retries and hedged attempts, divided among the nodes."""

from collections import deque

__all__ = ["RetryBudget"]

# Share of the allowance that the nodes use. The rest covers calls that upstreams make
# while they run a further attempt, and further attempts of nodes that restarted.
SAFETY_RATIO = 0.6


class RetryBudget:
    """Budget of the further attempts that one node sends to one service.

    Parameters
    ----------
    ratio : float
        Further attempts allowed to all nodes together for each request.
    slack : float
        Further attempts allowed to all nodes together in each window, in addition to
        the ratio.
    window_s : float
        Length of the sliding window, in seconds.

    Notes
    -----
    A further attempt is a retry or a hedged attempt. Each node limits its further
    attempts in any window to its own requests times the ratio plus its part of the
    slack. The sum over all nodes then stays within the limit of the mesh for any
    number of nodes, as long as no node assumes fewer nodes than there are.
    """

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self.requests: deque[float] = deque()
        self.further_attempts: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a request received at the monotonic time `now`, in seconds."""
        self.requests.append(now)
        self.trim(self.requests, now)

    def try_acquire(self, n_nodes: int, now: float, share: float = 1.0) -> bool:
        """Take one further attempt from the budget and return whether it was available.

        Parameters
        ----------
        n_nodes : int
            Nodes that share the slack; at least one.
        now : float
            Monotonic time in seconds.
        share : float, default=1.0
            Share of the budget that may be used, including this attempt.
        """
        self.trim(self.requests, now)
        self.trim(self.further_attempts, now)
        allowance = self.ratio * len(self.requests) + self.slack / max(1, n_nodes)
        if len(self.further_attempts) + 1 > allowance * SAFETY_RATIO * share:
            return False
        self.further_attempts.append(now)
        return True

    def trim(self, times: deque[float], now: float) -> None:
        """Remove the times that are before the window."""
        while times and times[0] <= now - self.window_s:
            times.popleft()
