"""Limits on the calls that an upstream runs at a time."""

from abc import ABC, abstractmethod

__all__ = ["AdaptiveLimit", "FixedLimit", "LimitPolicy"]


class LimitPolicy(ABC):
    """Decide how many calls may run beside each other."""

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
    """Lower the limit while latency grows with the calls that run.

    Parameters
    ----------
    n_slots : int
        Largest limit.
    n_minimum : int, default=2
        Smallest limit.
    tolerance : float, default=2.0
        Growth of latency over its floor that is put up with.
    floor_window_s : float, default=30.0
        Time after which the floor of the latency is measured anew, in seconds.

    Notes
    -----
    The floor is the smallest averaged latency of the current and the previous
    window. While the average exceeds `tolerance` times the floor, each
    completed call shrinks the limit in proportion to the excess; otherwise the
    limit grows by one per round of calls, as long as it is in use.
    """

    def __init__(
        self,
        *,
        n_slots: int,
        n_minimum: int = 2,
        tolerance: float = 2.0,
        floor_window_s: float = 30.0,
    ) -> None:
        self.n_slots = n_slots
        self.n_minimum = min(n_minimum, n_slots)
        self.tolerance = tolerance
        self.floor_window_s = floor_window_s
        self.estimate = float(n_slots)
        self.average_s: float | None = None
        self.floor_s = float("inf")
        self.previous_floor_s = float("inf")
        self.window_ends_at: float | None = None

    def limit(self) -> int:
        """Return the current limit."""
        return int(self.estimate)

    def record(
        self, *, latency_s: float, is_success: bool, n_running: int, now: float
    ) -> None:
        """Move the limit by the latency of one call."""
        if not is_success:
            return
        if self.average_s is None:
            self.average_s = latency_s
        self.average_s += (latency_s - self.average_s) / self.n_slots
        self.turn_window(now)
        self.floor_s = min(self.floor_s, self.average_s)
        allowed_s = self.tolerance * min(self.floor_s, self.previous_floor_s)
        if self.average_s > allowed_s:
            excess = max(0.5, allowed_s / self.average_s)
            self.estimate -= (1.0 - excess) * self.estimate / self.n_slots
        elif n_running * 2 >= self.estimate:
            self.estimate += 1.0 / self.estimate
        self.estimate = min(float(self.n_slots), max(self.n_minimum, self.estimate))

    def turn_window(self, now: float) -> None:
        """Start a new window for the floor when the current one ended."""
        if self.window_ends_at is None:
            self.window_ends_at = now + self.floor_window_s
        if now < self.window_ends_at:
            return
        self.previous_floor_s = self.floor_s
        self.floor_s = float("inf")
        self.window_ends_at = now + self.floor_window_s
