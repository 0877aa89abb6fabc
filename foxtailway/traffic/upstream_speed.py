"""Speed and capacity of an upstream, measured by the sidecar beside it."""

from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["CapacityEstimate", "UpstreamSpeed"]

# Samples with the value 1 with which the lasting ratio starts.
N_PRIOR_SAMPLES = 20
# Number of samples over which the lasting ratio averages. With run times that spread
# by 0.8 of their mean, its error is then about 0.05.
N_LASTING_SAMPLES = 250
# Exponent of the reported ratio. Each side of the estimate is relative to the other
# one; without this pull towards 1, their common factor would drift.
RATIO_EXPONENT = 0.95
# Bounds of the reported ratio. Upstreams differ by a factor of 0.5 to 1.7.
MIN_RATIO = 0.25
MAX_RATIO = 4.0
# Largest sample, as a multiple of the lasting ratio.
MAX_SAMPLE = 6.0
# Weights of a sample in the recent ratio: a slow upstream is told after a few runs,
# and two or three good ones end it.
SLOWER_GAIN = 0.15
FASTER_GAIN = 0.4
# Recent ratio, in relation to the lasting one, from which an upstream counts as slow
# and below which it no longer does. Run times that spread by 0.8 of their mean, with 2
# in 100 four times as long, rarely reach it.
SLOW_SLOWDOWN = 2.2
RECOVERED_SLOWDOWN = 1.4
# Longest time in a row for which samples are left out of the lasting ratio since the
# upstream is slow.
MAX_SLOW_S = 20.0
# Weight of a result in the share of failed requests.
FAILURE_GAIN = 0.1
# Share of failed requests below which none is reported.
MIN_FAILURE_RATIO = 0.2
# Weight of a sample in the ratios at high and at medium concurrency.
CAPACITY_GAIN = 1 / 64
# Runs at high and at medium concurrency after which they are compared.
N_COMPARED_RUNS = 80
# Ratio of the throughputs at medium and at high concurrency from which fewer slots are
# used. The ratios have an error of about 0.12 each; without any loss at high
# concurrency, the ratio of the throughputs is about 0.67.
MIN_THROUGHPUT_GAIN = 1.2
# Time after which a slot that was taken away is tried again, the first time and at
# most. Each further failed trial doubles it.
MIN_TRIAL_INTERVAL_S = 5.0
MAX_TRIAL_INTERVAL_S = 80.0


@dataclass(slots=True, kw_only=True)
class ConcurrencyLevel:
    """Average concurrency and ratio of the runs of one range of concurrency."""

    n_running: float = 0.0
    ratio: float = 0.0
    n_runs: int = 0

    def record(self, n_running: int, ratio: float) -> None:
        """Update the averages after a run."""
        self.n_runs += 1
        gain = max(CAPACITY_GAIN, 1 / self.n_runs)
        self.n_running += gain * (n_running - self.n_running)
        self.ratio += gain * (ratio - self.ratio)

    @property
    def throughput(self) -> float:
        """Work done per unit of time, in relation to an upstream of mean speed."""
        return self.n_running / self.ratio


class CapacityEstimate:
    """Number of requests that an upstream can sustain at once.

    Notes
    -----
    The registry entry of the upstream gives the largest number. If the upstream does
    more work at two thirds of its present slots than with all of them, the slots above
    that are taken away, and later given back one by one as a trial. More than the
    registered number is never tried, since an overloaded upstream may crash.
    """

    def __init__(self) -> None:
        self.n_slots: int | None = None
        self.trial_interval_s = MIN_TRIAL_INTERVAL_S
        self.trial_at = float("inf")
        self.high = ConcurrencyLevel()
        self.medium = ConcurrencyLevel()

    def limit_slots(self, n_registered: int, now: float) -> int:
        """Return the number of slots to use, given that of the registry entry."""
        if self.n_slots is not None and now >= self.trial_at:
            self.n_slots += 1
            self.trial_at = now + self.trial_interval_s
            self.high, self.medium = ConcurrencyLevel(), ConcurrencyLevel()
        if self.n_slots is None or self.n_slots >= n_registered:
            self.n_slots = None
            return n_registered
        return self.n_slots

    def record(self, ratio: float, n_running: int, n_slots: int, now: float) -> None:
        """Compare the work done at medium and at high concurrency after a run."""
        if n_running > n_slots or n_slots < 2:
            return
        medium_slots = max(1, 2 * n_slots // 3)
        if n_running > medium_slots:
            self.high.record(n_running, ratio)
        elif 2 * n_running > medium_slots:
            self.medium.record(n_running, ratio)
        if min(self.high.n_runs, self.medium.n_runs) < N_COMPARED_RUNS:
            return
        if self.medium.throughput > MIN_THROUGHPUT_GAIN * self.high.throughput:
            self.n_slots = medium_slots
            self.trial_at = now + self.trial_interval_s
            self.trial_interval_s = min(2 * self.trial_interval_s, MAX_TRIAL_INTERVAL_S)
            self.high, self.medium = ConcurrencyLevel(), ConcurrencyLevel()


class UpstreamSpeed:
    """Ratio of the run times of one upstream to the mean of each kind of request.

    Parameters
    ----------
    find_mean_run_time : callable
        Returns the mean run time of a kind of request at an upstream of ratio 1, in
        seconds, or None if it is unknown.

    Attributes
    ----------
    lasting_ratio, recent_ratio : float
        Averages over many and over a few runs of the ratio of a run time to the mean
        of its kind. The recent one is in relation to the lasting one.
    is_slow : bool
        Whether the upstream is at present much slower than it usually is.
    capacity : CapacityEstimate
        Number of requests that the upstream can sustain at once.

    Notes
    -----
    The mean of a kind comes from the entry in the same process: it averages the run
    times of the responses that it received from all upstreams, each divided by the
    ratio that the upstream reported. The argument `now` of the methods is the
    monotonic time in seconds.
    """

    def __init__(self, *, find_mean_run_time: Callable[[str], float | None]) -> None:
        self.find_mean_run_time = find_mean_run_time
        self.lasting_ratio = 1.0
        self.n_samples = N_PRIOR_SAMPLES
        self.recent_ratio = 1.0
        self.is_slow = False
        self.slow_since = 0.0
        self.mean_failure_ratio = 0.0
        self.capacity = CapacityEstimate()
        self.n_slots = 0

    def limit_slots(self, n_registered: int, now: float) -> int:
        """Return the number of slots to use, given that of the registry entry."""
        self.n_slots = self.capacity.limit_slots(n_registered, now)
        return self.n_slots

    def record_run(
        self,
        kind: str,
        run_time_s: float,
        *,
        n_running: int,
        now: float,
        is_cold: bool = False,
    ) -> None:
        """Update the ratios after a run.

        Parameters
        ----------
        kind : str
            Kind of the request.
        run_time_s : float
            Run time of the request, in seconds.
        n_running : int
            Requests that ran when it started, with itself.
        now : float
            Monotonic time, in seconds.
        is_cold : bool, default=False
            Whether the upstream has just started. Its run times then say nothing
            about its lasting speed.
        """
        mean_s = self.find_mean_run_time(kind)
        if is_cold or not mean_s:
            return
        sample = min(run_time_s / mean_s / self.lasting_ratio, MAX_SAMPLE)
        gain = SLOWER_GAIN if sample > self.recent_ratio else FASTER_GAIN
        self.recent_ratio += gain * (sample - self.recent_ratio)
        self.update_slow(now)
        if self.is_slow and now - self.slow_since < MAX_SLOW_S:
            return
        self.n_samples = min(self.n_samples + 1, N_LASTING_SAMPLES)
        self.lasting_ratio *= 1.0 + (sample - 1.0) / self.n_samples
        self.capacity.record(sample, n_running, self.n_slots, now)

    def update_slow(self, now: float) -> None:
        """Update whether the upstream is slow, with hysteresis."""
        bound = RECOVERED_SLOWDOWN if self.is_slow else SLOW_SLOWDOWN
        is_slow = self.recent_ratio >= bound
        if is_slow and not self.is_slow:
            self.slow_since = now
        self.is_slow = is_slow

    def record_result(self, *, is_failed: bool) -> None:
        """Update the share of failed requests after a request that was sent."""
        self.mean_failure_ratio += FAILURE_GAIN * (is_failed - self.mean_failure_ratio)

    @property
    def speed_ratio(self) -> float:
        """Lasting ratio as it is reported."""
        ratio = self.lasting_ratio**RATIO_EXPONENT
        return min(max(ratio, MIN_RATIO), MAX_RATIO)

    @property
    def slowdown(self) -> float:
        """Recent ratio of a slow upstream in relation to the lasting one, or 1."""
        return self.recent_ratio if self.is_slow else 1.0

    @property
    def failure_ratio(self) -> float:
        """Share of failed requests; 0 if it is small."""
        ratio = self.mean_failure_ratio
        return ratio if ratio >= MIN_FAILURE_RATIO else 0.0
