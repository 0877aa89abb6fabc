"""Clocks: the only source of time for the core."""

import time
from abc import ABC, abstractmethod

__all__ = ["Clock", "ManualClock", "MonotonicClock"]


class Clock(ABC):
    """Tell the time elapsed since an arbitrary origin."""

    @abstractmethod
    def now(self) -> float:
        """Return the time in seconds; never decreases."""


class MonotonicClock(Clock):
    """Read the operating system's monotonic clock."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()


class ManualClock(Clock):
    """Stand still until advanced, for tests and simulations.

    Parameters
    ----------
    start_s : float, default=0.0
        Initial time in seconds.
    """

    def __init__(self, *, start_s: float = 0.0) -> None:
        self.time_s = start_s

    def now(self) -> float:
        """Return the manually set time in seconds."""
        return self.time_s

    def advance(self, duration_s: float) -> None:
        """Move the clock forward by ``duration_s`` seconds."""
        self.time_s += duration_s
