"""Order of waiting calls and shedding of load."""

from abc import ABC, abstractmethod
from collections import deque

__all__ = [
    "NeverShed",
    "NewestFirstUnderOverload",
    "OldestFirst",
    "QueueOrder",
    "SaturationBreaker",
    "ShedPolicy",
]


class QueueOrder(ABC):
    """Decide which of two otherwise equal calls is served first."""

    @abstractmethod
    def is_newest_first(self, *, n_waiting: int, now: float) -> bool:
        """Whether the newest call is served first, given the queue's length."""


class OldestFirst(QueueOrder):
    """Serve calls in the order of their arrival."""

    def is_newest_first(self, *, n_waiting: int, now: float) -> bool:
        """Return False."""
        return False


class NewestFirstUnderOverload(QueueOrder):
    """Serve the newest call first while the queue does not become empty.

    Parameters
    ----------
    interval_s : float, default=0.1
        Time without an empty queue after which it counts as overload.
    """

    def __init__(self, *, interval_s: float = 0.1) -> None:
        self.interval_s = interval_s
        self.empty_at: float | None = None

    def is_newest_first(self, *, n_waiting: int, now: float) -> bool:
        """Whether the queue has been in use for the whole interval."""
        if n_waiting == 0 or self.empty_at is None:
            self.empty_at = now
        return now - self.empty_at > self.interval_s


class ShedPolicy(ABC):
    """Decide when all new calls are refused at once."""

    @abstractmethod
    def refuse_for_s(self, now: float) -> float:
        """Return the time for which calls are refused; 0 when they are taken."""

    @abstractmethod
    def record_admission(self, now: float) -> None:
        """Learn that a call got a slot."""

    @abstractmethod
    def record_timeout(self, now: float) -> bool:
        """Learn that a call waited in vain; True when the queue is to be shed."""


class NeverShed(ShedPolicy):
    """Refuse no call beyond the limits of the queue."""

    def refuse_for_s(self, now: float) -> float:
        """Return 0."""
        return 0.0

    def record_admission(self, now: float) -> None:
        """Ignore the call."""

    def record_timeout(self, now: float) -> bool:
        """Return False."""
        return False


class SaturationBreaker(ShedPolicy):
    """Refuse all calls for a while when too many waited in vain.

    Parameters
    ----------
    threshold : float, default=0.5
        Share of waits in vain that opens the breaker.
    window_s : float, default=1.0
        Time over which waits are counted, in seconds.
    cooldown_s : float, default=0.5
        Time for which calls are refused, in seconds.
    n_minimum : int, default=20
        Calls in the window below which the breaker stays closed.

    Notes
    -----
    After the cooldown one call is let through; the breaker closes when it gets
    a slot and opens again when it does not.
    """

    def __init__(
        self,
        *,
        threshold: float = 0.5,
        window_s: float = 1.0,
        cooldown_s: float = 0.5,
        n_minimum: int = 20,
    ) -> None:
        self.threshold = threshold
        self.window_s = window_s
        self.cooldown_s = cooldown_s
        self.n_minimum = n_minimum
        self.admissions: deque[float] = deque()
        self.timeouts: deque[float] = deque()
        self.open_until: float | None = None
        self.is_probing = False

    def refuse_for_s(self, now: float) -> float:
        """Return the rest of the cooldown, or 0 for calls that are taken."""
        if self.open_until is None:
            return 0.0
        if self.is_probing:
            return self.cooldown_s
        if now < self.open_until:
            return self.open_until - now
        self.is_probing = True
        return 0.0

    def record_admission(self, now: float) -> None:
        """Count the call and close the breaker after a probe."""
        self.admissions.append(now)
        if self.is_probing:
            self.is_probing = False
            self.open_until = None
            self.timeouts.clear()

    def record_timeout(self, now: float) -> bool:
        """Count the call and open the breaker when too many waited in vain."""
        self.timeouts.append(now)
        for times in (self.admissions, self.timeouts):
            while times and times[0] < now - self.window_s:
                times.popleft()
        n_calls = len(self.admissions) + len(self.timeouts)
        is_saturated = (
            n_calls >= self.n_minimum and len(self.timeouts) >= self.threshold * n_calls
        )
        if not is_saturated and not self.is_probing:
            return False
        self.is_probing = False
        self.open_until = now + self.cooldown_s
        return True
