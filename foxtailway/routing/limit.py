"""Limits on the calls that an upstream runs at a time."""

from abc import ABC, abstractmethod

__all__ = ["AdaptiveLimit", "FixedLimit", "LimitPolicy"]

STEP = 0.7
GAIN = 0.05
N_REST_MINIMUM = 3


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
    n_minimum : int, default=2
        Smallest limit.
    n_samples : int, default=40
        Calls that end within one measurement.
    n_rest_maximum : int, default=16
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
        n_minimum: int = 2,
        n_samples: int = 40,
        n_rest_maximum: int = 16,
    ) -> None:
        self.n_slots = n_slots
        self.n_minimum = min(n_minimum, n_slots)
        self.n_samples = n_samples
        self.n_rest_maximum = n_rest_maximum
        self.rest_limit = n_slots
        self.current_limit = n_slots
        self.rest_rate = 0.0
        self.is_lowering = True
        self.n_rest = N_REST_MINIMUM
        self.n_until_trial = N_REST_MINIMUM
        self.n_ended = 0
        self.n_answered = 0
        self.measured_since: float | None = None

    def limit(self) -> int:
        """Return the current limit."""
        return self.current_limit

    def record(
        self, *, latency_s: float, is_success: bool, n_running: int, now: float
    ) -> None:
        """Count a call and move the limit after enough of them."""
        if n_running != self.current_limit:
            self.measured_since = None
            return
        if self.measured_since is None:
            self.measured_since = now
            self.n_ended = -self.current_limit
            self.n_answered = 0
            return
        self.n_ended += 1
        if self.n_ended <= 0:
            self.measured_since = now
            return
        self.n_answered += is_success
        if self.n_ended < self.n_samples or now <= self.measured_since:
            return
        rate = self.n_answered / (now - self.measured_since)
        self.measured_since = None
        self.turn(rate)

    def turn(self, rate: float) -> None:
        """Use the rate of one whole measurement."""
        if self.current_limit == self.rest_limit:
            self.rest_rate = rate
            self.n_until_trial -= 1
        elif rate > self.rest_rate * (1.0 + GAIN):
            self.rest_limit = self.current_limit
            self.rest_rate = rate
            self.n_rest = N_REST_MINIMUM
            self.n_until_trial = 0
        else:
            self.current_limit = self.rest_limit
            self.is_lowering = not self.is_lowering
            self.n_until_trial = self.n_rest
            self.n_rest = min(self.n_rest_maximum, self.n_rest * 2)
        if self.n_until_trial <= 0:
            self.start_trial()

    def start_trial(self) -> None:
        """Try the next limit in the current direction, or else in the other."""
        for _ in range(2):
            self.current_limit = self.next_limit()
            if self.current_limit != self.rest_limit:
                return
            self.is_lowering = not self.is_lowering

    def next_limit(self) -> int:
        """Return the limit one step away from the one at rest."""
        if self.is_lowering:
            return max(self.n_minimum, int(self.rest_limit * STEP))
        return min(self.n_slots, int(self.rest_limit / STEP) + 1)
