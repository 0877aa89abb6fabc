"""State of the fake platform."""

import asyncio
import time
from dataclasses import dataclass

from foxtailway.testing.platform_store import PlatformStore

__all__ = ["CALLS_PER_S", "PlatformCounters", "PlatformFaults", "PlatformState"]

# Default rate limit of the read API.
CALLS_PER_S = 2_000


@dataclass(slots=True, kw_only=True)
class PlatformFaults:
    """Faults that the fake platform injects into its read API.

    Parameters
    ----------
    is_down : bool
        Whether connections are closed without a response.
    delay_s : float
        Delay of every response, in seconds.
    stale_revision : int or None
        Revision that is served; None for the newest.
    """

    is_down: bool = False
    delay_s: float = 0.0
    stale_revision: int | None = None


@dataclass(slots=True, kw_only=True)
class PlatformCounters:
    """Counters of the calls of the read API since the start.

    Parameters
    ----------
    n_changes, n_values : int
        Handled calls by kind; a watch counts once.
    n_rejected : int
        Calls refused by the rate limit.
    n_dropped : int
        Calls whose connection was closed by an outage.
    n_waiting : int
        Watches that are currently waiting.
    """

    n_changes: int = 0
    n_values: int = 0
    n_rejected: int = 0
    n_dropped: int = 0
    n_waiting: int = 0


class PlatformState:
    """Store, faults and counters of a fake platform.

    Parameters
    ----------
    calls_per_s : int
        Calls of the read API allowed within each second.
    """

    def __init__(self, *, calls_per_s: int) -> None:
        self.store = PlatformStore()
        self.faults = PlatformFaults()
        self.counters = PlatformCounters()
        self.calls_per_s = calls_per_s
        self.window_index = 0
        self.n_window_calls = 0
        self.changed = asyncio.Event()

    def notify(self) -> None:
        """Wake up all waiting watches."""
        self.changed.set()
        self.changed = asyncio.Event()

    def write(self, key: str, content: bytes | None) -> int:
        """Write or delete a value and return the new revision."""
        revision = self.store.write(key, content)
        self.notify()
        return revision

    def admit(self) -> bool:
        """Count a call and return whether it is within the rate limit."""
        window_index = int(time.monotonic())
        if window_index != self.window_index:
            self.window_index = window_index
            self.n_window_calls = 0
        self.n_window_calls += 1
        return self.n_window_calls <= self.calls_per_s

    def find_served_revision(self) -> int:
        """Return the revision that is currently served."""
        if self.faults.stale_revision is None:
            return self.store.revision
        return min(self.faults.stale_revision, self.store.revision)
