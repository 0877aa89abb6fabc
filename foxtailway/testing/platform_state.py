"""State of the stand-in of the platform."""

import asyncio
import time
from dataclasses import dataclass

from foxtailway.testing.platform_store import PlatformStore

__all__ = ["CALLS_PER_S", "PlatformCounters", "PlatformFaults", "PlatformState"]

CALLS_PER_S = 2_000


@dataclass(slots=True, kw_only=True)
class PlatformFaults:
    """Faults that the stand-in shows on its read API.

    Parameters
    ----------
    is_down : bool
        Whether connections are closed without an answer.
    delay_s : float
        Delay of every answer, in seconds.
    stale_revision : int or None
        Revision from which answers are given; None for the newest.
    """

    is_down: bool = False
    delay_s: float = 0.0
    stale_revision: int | None = None


@dataclass(slots=True, kw_only=True)
class PlatformCounters:
    """Calls of the read API since the start.

    Parameters
    ----------
    n_changes, n_values : int
        Answered calls by kind; a waiting watch counts once.
    n_rejected : int
        Calls above the rate limit.
    n_dropped : int
        Calls cut off by an outage.
    n_waiting : int
        Watches that wait now.
    """

    n_changes: int = 0
    n_values: int = 0
    n_rejected: int = 0
    n_dropped: int = 0
    n_waiting: int = 0


class PlatformState:
    """Hold the store, the faults and the counters.

    Parameters
    ----------
    calls_per_s : int
        Calls of the read API answered within each second.
    """

    def __init__(self, *, calls_per_s: int) -> None:
        self.store = PlatformStore()
        self.faults = PlatformFaults()
        self.counters = PlatformCounters()
        self.calls_per_s = calls_per_s
        self.window = 0
        self.n_window_calls = 0
        self.changed = asyncio.Event()

    def notify(self) -> None:
        """Wake all waiting watches."""
        self.changed.set()
        self.changed = asyncio.Event()

    def write(self, key: str, content: bytes | None) -> int:
        """Write or delete a value as the operators do."""
        revision = self.store.write(key, content)
        self.notify()
        return revision

    def admit(self) -> bool:
        """Count a call against the rate limit."""
        window = int(time.monotonic())
        if window != self.window:
            self.window = window
            self.n_window_calls = 0
        self.n_window_calls += 1
        return self.n_window_calls <= self.calls_per_s

    def find_revision(self) -> int:
        """Return the revision from which answers are given now."""
        if self.faults.stale_revision is None:
            return self.store.revision
        return min(self.faults.stale_revision, self.store.revision)
