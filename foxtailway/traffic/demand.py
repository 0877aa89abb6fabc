"""Recent demand for the slots of one upstream, by urgency."""

from dataclasses import dataclass
from math import exp

__all__ = ["CALL_URGENCY", "Demand"]

# Urgency of calls of other upstreams; priorities are at least 0.
CALL_URGENCY = -1
# Time constant with which counts decay, in seconds. Bursts of a kind last for 3 to 7 s.
DECAY_TIME_S = 3.0
# Smallest share of the recent requests that makes an urgency common.
MIN_COMMON_SHARE = 0.05
# Ratio of the served share of an urgency to that of all requests below which the
# urgency is starved. A quarter is required of the requests; here, each refusal of a
# request counts, which may be several at each of several upstreams. With 0.4, long
# requests took the slots reserved for urgent ones.
STARVED_RATIO = 0.1
# Weight of a new sample in the mean slack of an urgency.
SLACK_GAIN = 0.1
# Largest number of urgencies that are counted; configurations use fewer than ten.
MAX_URGENCIES = 32


@dataclass(slots=True, kw_only=True)
class UrgencyDemand:
    """Decaying counts of the requests of one urgency.

    Parameters
    ----------
    n_served, n_refused : float
        Requests that got a slot, and those that were refused.
    slack_s : float, default=inf
        Mean time that a request could wait for a slot when it was offered, in seconds.
    """

    n_served: float = 0.0
    n_refused: float = 0.0
    slack_s: float = float("inf")

    @property
    def n_ended(self) -> float:
        """Number of requests that were served or refused."""
        return self.n_served + self.n_refused

    @property
    def served_share(self) -> float:
        """Share of the requests that got a slot."""
        n_ended = self.n_ended
        return self.n_served / n_ended if n_ended > 0.0 else 1.0


class Demand:
    """Decaying counts of served and refused requests by urgency.

    Notes
    -----
    The urgency of a request is its priority, or `CALL_URGENCY` for a call; a smaller
    number is more urgent. The argument `now` of the methods is the monotonic time in
    seconds.
    """

    def __init__(self) -> None:
        self.urgencies: dict[int, UrgencyDemand] = {}
        self.total = UrgencyDemand()
        self.updated_at = float("-inf")

    def record(self, urgency: int, *, is_served: bool, now: float) -> None:
        """Count a request that got a slot or was refused."""
        self.decay(now)
        demand = self.urgencies.get(urgency)
        if demand is None:
            if len(self.urgencies) >= MAX_URGENCIES:
                self.urgencies.clear()
            demand = self.urgencies[urgency] = UrgencyDemand()
        for counts in (demand, self.total):
            if is_served:
                counts.n_served += 1.0
            else:
                counts.n_refused += 1.0

    def record_slack(self, urgency: int, slack_s: float) -> None:
        """Update the mean time that the requests of an urgency can wait, in seconds."""
        demand = self.urgencies.get(urgency)
        if demand is None:
            return
        if demand.slack_s == float("inf"):
            demand.slack_s = slack_s
        demand.slack_s += SLACK_GAIN * (slack_s - demand.slack_s)

    def decay(self, now: float) -> None:
        """Reduce all counts by the time since the last update."""
        factor = exp((self.updated_at - now) / DECAY_TIME_S)
        self.updated_at = now
        for counts in (*self.urgencies.values(), self.total):
            counts.n_served *= factor
            counts.n_refused *= factor

    def is_starved(self, urgency: int) -> bool:
        """Return whether an urgency is served much less often than all requests."""
        demand = self.urgencies.get(urgency)
        if demand is None or demand.n_ended < 1.0:
            return False
        return demand.served_share < STARVED_RATIO * self.total.served_share

    def list_more_urgent(self, urgency: int) -> list[UrgencyDemand]:
        """Return the counts of the common urgencies before the given one."""
        min_n_ended = max(1.0, MIN_COMMON_SHARE * self.total.n_ended)
        return [
            demand
            for other, demand in self.urgencies.items()
            if other < urgency and demand.n_ended >= min_n_ended
        ]
