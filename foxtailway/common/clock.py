"""Clocks from which time-dependent code reads the time."""

import time
from abc import ABC, abstractmethod

__all__ = ["Clock", "ManualClock", "MonotonicClock"]


class Clock(ABC):
    """Source of the time elapsed since an arbitrary origin."""

    @abstractmethod
    def now(self) -> float:
        """Return the time in seconds, which never decreases."""


class MonotonicClock(Clock):
    """Clock that reads the monotonic clock of the operating system."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()


class ManualClock(Clock):
    """Clock that changes only through `advance`, for tests and simulations.

    Parameters
    ----------
    start_s : float, default=0.0
        Initial time in seconds.
    """

    def __init__(self, *, start_s: float = 0.0) -> None:
        self.time_s = start_s

    def now(self) -> float:
        """Return the time that was set, in seconds."""
        return self.time_s

    def advance(self, duration_s: float) -> None:
        """Move the clock forward by ``duration_s`` seconds."""
        self.time_s += duration_s
