"""Mean run times of the requests of one upstream."""

from dataclasses import dataclass

__all__ = ["RunTimes"]

# Run time assumed before the first measurement.
INITIAL_RUN_TIME_S = 0.05
# Weight of a new sample in the mean run times.
RUN_TIME_GAIN = 0.1
# Largest sample, as a multiple of the mean of its group. A single run that lasted until
# its deadline would otherwise double the expected wait of all requests.
MAX_SAMPLE_RATIO = 3.0
# Smallest share of the recent requests that a common kind has.
MIN_COMMON_SHARE = 0.05
# Number of requests after which the counts of recent requests are halved.
HALVING_PERIOD = 256


@dataclass(slots=True, kw_only=True)
class KindRunTime:
    """Mean run time of one kind of request.

    Parameters
    ----------
    mean_s : float
        Mean run time, in seconds.
    n_recent : float
        Number of recent requests, of which older ones count less.
    """

    mean_s: float
    n_recent: float = 0.0


class RunTimes:
    """Moving averages of run times, of all requests and by kind.

    Attributes
    ----------
    mean_s : float
        Mean run time of all requests, in seconds.
    kinds : dict of str to KindRunTime
        Mean run time of each kind of request that was seen recently.
    """

    def __init__(self) -> None:
        self.mean_s = INITIAL_RUN_TIME_S
        self.kinds: dict[str, KindRunTime] = {}
        self.n_recent = 0.0

    def record(self, kind: str, run_time_s: float) -> None:
        """Update the averages after a request that ran for `run_time_s` seconds."""
        known = self.kinds.get(kind)
        if known is None:
            known = self.kinds[kind] = KindRunTime(mean_s=run_time_s)
        if not self.n_recent:
            self.mean_s = run_time_s
        known.mean_s = move_average(known.mean_s, run_time_s)
        self.mean_s = move_average(self.mean_s, run_time_s)
        known.n_recent += 1.0
        self.n_recent += 1.0
        if self.n_recent >= HALVING_PERIOD:
            self.halve_counts()

    def halve_counts(self) -> None:
        """Halve the counts of recent requests; kinds that fade are forgotten."""
        for known in self.kinds.values():
            known.n_recent /= 2
        self.kinds = {
            kind: known for kind, known in self.kinds.items() if known.n_recent >= 0.25
        }
        self.n_recent /= 2

    def estimate(self, kind: str) -> float:
        """Return the expected run time of a kind of request, in seconds."""
        known = self.kinds.get(kind)
        return self.mean_s if known is None else known.mean_s

    @property
    def mean_in_slot_s(self) -> float:
        """Mean run time of the request in a slot at a random time, in seconds.

        Long requests hold slots for longer, so it exceeds `mean_s` when run times
        of the kinds differ.
        """
        total_s = sum(kind.n_recent * kind.mean_s for kind in self.kinds.values())
        if total_s <= 0.0:
            return self.mean_s
        squares = sum(kind.n_recent * kind.mean_s**2 for kind in self.kinds.values())
        return squares / total_s

    @property
    def longest_common_s(self) -> float:
        """Longest mean run time of a common kind of request, in seconds."""
        min_n_recent = MIN_COMMON_SHARE * self.n_recent
        return max(
            (
                known.mean_s
                for known in self.kinds.values()
                if known.n_recent >= min_n_recent
            ),
            default=0.0,
        )


def move_average(mean_s: float, sample_s: float) -> float:
    """Return a moving average after a sample, which counts up to a limit."""
    sample_s = min(sample_s, MAX_SAMPLE_RATIO * mean_s)
    return mean_s + RUN_TIME_GAIN * (sample_s - mean_s)
