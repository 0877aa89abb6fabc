"""Limits on the calls that run concurrently at an upstream."""

from abc import ABC, abstractmethod

__all__ = ["AdaptiveLimit", "FixedLimit", "LimitPolicy"]

# Ratio of two successive limits that the search compares.
LIMIT_STEP_RATIO = 0.7
# Relative gain in responses per second by which a trial limit is adopted.
MIN_RATE_GAIN = 0.05
# Initial number of measurements at the baseline limit between two trials.
MIN_BETWEEN_TRIALS = 3


class LimitPolicy(ABC):
    """Policy that limits the number of concurrent calls.

    Attributes
    ----------
    n_slots : int
        Upper bound of the limit.
    """

    n_slots: int

    @abstractmethod
    def limit(self) -> int:
        """Return the number of calls that may run concurrently now, at least 1."""

    @abstractmethod
    def record(
        self, *, latency_s: float, is_success: bool, n_running: int, now: float
    ) -> None:
        """Record a call that ended.

        Parameters
        ----------
        latency_s : float
            Run time of the call at the upstream, in seconds.
        is_success : bool
            Whether the upstream responded.
        n_running : int
            Calls that were running when this one ended, including it.
        now : float
            Time in seconds.
        """


class FixedLimit(LimitPolicy):
    """Limit equal to the number of slots.

    Parameters
    ----------
    n_slots : int
        Calls that the upstream can run concurrently.
    """

    def __init__(self, *, n_slots: int) -> None:
        self.n_slots = n_slots

    def limit(self) -> int:
        """Return the number of slots."""
        return self.n_slots

    def record(
        self, *, latency_s: float, is_success: bool, n_running: int, now: float
    ) -> None:
        """Do nothing, since the limit is fixed."""


class AdaptiveLimit(LimitPolicy):
    """Limit that approaches the smallest one with the highest response rate.

    Parameters
    ----------
    n_slots : int
        Upper bound of the limit and its initial value.
    min_limit : int, default=2
        Lower bound of the limit.
    n_samples : int, default=40
        Calls per measurement.
    max_between_trials : int, default=16
        Largest number of measurements between two trials.

    Notes
    -----
    The responses per second are measured while the number of running calls
    equals the limit. Periodically a smaller or larger limit is tried for one
    measurement and becomes the baseline if the response rate rises by more than
    `MIN_RATE_GAIN`. An upstream that is slow at any load responds in proportion
    to the limit and keeps all its slots; the limit of one that slows down with
    concurrency is reduced. After each trial without a gain, the number of
    measurements until the next trial doubles, up to `max_between_trials`.
    """

    def __init__(
        self,
        *,
        n_slots: int,
        min_limit: int = 2,
        n_samples: int = 40,
        max_between_trials: int = 16,
    ) -> None:
        self.n_slots = n_slots
        self.min_limit = min(min_limit, n_slots)
        self.n_samples = n_samples
        self.max_between_trials = max_between_trials
        self.baseline_limit = n_slots
        self.current_limit = n_slots
        self.baseline_rate_per_s = 0.0
        self.is_lowering = True
        self.n_between_trials = MIN_BETWEEN_TRIALS
        self.n_until_trial = MIN_BETWEEN_TRIALS
        self.n_ended = 0
        self.n_responses = 0
        self.measurement_started_at: float | None = None

    def limit(self) -> int:
        """Return the current limit."""
        return self.current_limit

    def record(
        self, *, latency_s: float, is_success: bool, n_running: int, now: float
    ) -> None:
        """Count a call and process the measurement after `n_samples` calls.

        The first calls to end, at least one for each slot, are not counted,
        since they may have started before the measurement.
        """
        if n_running != self.current_limit:
            self.measurement_started_at = None
            return
        if self.measurement_started_at is None:
            self.measurement_started_at = now
            self.n_ended = -self.current_limit
            self.n_responses = 0
            return
        self.n_ended += 1
        if self.n_ended <= 0:
            self.measurement_started_at = now
            return
        self.n_responses += is_success
        if self.n_ended < self.n_samples or now <= self.measurement_started_at:
            return
        rate_per_s = self.n_responses / (now - self.measurement_started_at)
        self.measurement_started_at = None
        self.process_measurement(rate_per_s)

    def process_measurement(self, rate_per_s: float) -> None:
        """Update the baseline and the limit with the rate of a full measurement."""
        if self.current_limit == self.baseline_limit:
            self.baseline_rate_per_s = rate_per_s
            self.n_until_trial -= 1
        elif rate_per_s > self.baseline_rate_per_s * (1.0 + MIN_RATE_GAIN):
            self.baseline_limit = self.current_limit
            self.baseline_rate_per_s = rate_per_s
            self.n_between_trials = MIN_BETWEEN_TRIALS
            self.n_until_trial = 0
        else:
            self.current_limit = self.baseline_limit
            self.is_lowering = not self.is_lowering
            self.n_until_trial = self.n_between_trials
            self.n_between_trials = min(
                self.max_between_trials, self.n_between_trials * 2
            )
        if self.n_until_trial <= 0:
            self.start_trial()

    def start_trial(self) -> None:
        """Set the limit one step away, in the current or else the other direction."""
        for _ in range(2):
            self.current_limit = self.next_limit()
            if self.current_limit != self.baseline_limit:
                return
            self.is_lowering = not self.is_lowering

    def next_limit(self) -> int:
        """Return the limit one step away from the baseline, within the bounds."""
        if self.is_lowering:
            return max(self.min_limit, int(self.baseline_limit * LIMIT_STEP_RATIO))
        return min(self.n_slots, int(self.baseline_limit / LIMIT_STEP_RATIO) + 1)
