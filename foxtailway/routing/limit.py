"""Limits on the calls that an upstream runs at a time."""

from abc import ABC, abstractmethod

__all__ = ["AdaptiveLimit", "FixedLimit", "LimitPolicy"]

LIMIT_STEP_RATIO = 0.7
MIN_RATE_GAIN = 0.05
MIN_BETWEEN_TRIALS = 3


class LimitPolicy(ABC):
    """Decide how many calls may run beside each other.

    Attributes
    ----------
    n_slots : int
        Largest limit.
    """

    n_slots: int

    @abstractmethod
    def limit(self) -> int:
        """Return the number of calls that may run now, at least 1."""

    @abstractmethod
    def record(
        self, *, latency_s: float, is_success: bool, n_running: int, now: float
    ) -> None:
        """Learn from a call that ended.

        Parameters
        ----------
        latency_s : float
            Time that the upstream took, in seconds.
        is_success : bool
            Whether the upstream answered.
        n_running : int
            Calls that ran while this one ended, itself included.
        now : float
            Time in seconds.
        """


class FixedLimit(LimitPolicy):
    """Allow the upstream's number of slots.

    Parameters
    ----------
    n_slots : int
        Calls that the upstream runs at a time.
    """

    def __init__(self, *, n_slots: int) -> None:
        self.n_slots = n_slots

    def limit(self) -> int:
        """Return the number of slots."""
        return self.n_slots

    def record(
        self, *, latency_s: float, is_success: bool, n_running: int, now: float
    ) -> None:
        """Ignore the call."""


class AdaptiveLimit(LimitPolicy):
    """Look for the smallest limit at which the upstream answers the most calls.

    Parameters
    ----------
    n_slots : int
        Largest limit, from which the search starts.
    min_limit : int, default=2
        Smallest limit.
    n_samples : int, default=40
        Calls that end within one measurement.
    max_between_trials : int, default=16
        Measurements between two trials after many in vain.

    Notes
    -----
    While the limit is in use, the answers per second are measured. Now and
    then a smaller or a larger limit is tried for one measurement, and kept when
    it brought more answers. An upstream that is slow at any load answers in
    proportion to the limit and keeps all its slots; one that slows down with
    the calls it runs loses some. Trials become rarer while they bring nothing.
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
        self.n_answered = 0
        self.measurement_started_at: float | None = None

    def limit(self) -> int:
        """Return the current limit."""
        return self.current_limit

    def record(
        self, *, latency_s: float, is_success: bool, n_running: int, now: float
    ) -> None:
        """Count a call and move the limit after enough of them."""
        if n_running != self.current_limit:
            self.measurement_started_at = None
            return
        if self.measurement_started_at is None:
            self.measurement_started_at = now
            self.n_ended = -self.current_limit
            self.n_answered = 0
            return
        self.n_ended += 1
        if self.n_ended <= 0:
            self.measurement_started_at = now
            return
        self.n_answered += is_success
        if self.n_ended < self.n_samples or now <= self.measurement_started_at:
            return
        rate_per_s = self.n_answered / (now - self.measurement_started_at)
        self.measurement_started_at = None
        self.process_measurement(rate_per_s)

    def process_measurement(self, rate_per_s: float) -> None:
        """Use the rate of one whole measurement."""
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
        """Try the next limit in the current direction, or else in the other."""
        for _ in range(2):
            self.current_limit = self.next_limit()
            if self.current_limit != self.baseline_limit:
                return
            self.is_lowering = not self.is_lowering

    def next_limit(self) -> int:
        """Return the limit one step away from the one at rest."""
        if self.is_lowering:
            return max(self.min_limit, int(self.baseline_limit * LIMIT_STEP_RATIO))
        return min(self.n_slots, int(self.baseline_limit / LIMIT_STEP_RATIO) + 1)
