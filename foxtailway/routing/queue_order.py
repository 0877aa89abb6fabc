"""Order in which the calls in a queue are served."""

from abc import ABC, abstractmethod

__all__ = ["NewestFirstUnderOverload", "OldestFirst", "QueueOrder"]


class QueueOrder(ABC):
    """Policy for the order of calls of the same priority and caller."""

    @abstractmethod
    def observe(self, *, n_waiting: int, now: float) -> None:
        """Record the length of the queue before a call is added."""

    @abstractmethod
    def is_newest_first(self, now: float) -> bool:
        """Return whether the newest call is served first."""


class OldestFirst(QueueOrder):
    """First-in, first-out order."""

    def observe(self, *, n_waiting: int, now: float) -> None:
        """Do nothing, since the order is fixed."""

    def is_newest_first(self, now: float) -> bool:
        """Return False."""
        return False


class NewestFirstUnderOverload(QueueOrder):
    """Last-in, first-out order under overload, otherwise first-in, first-out.

    Parameters
    ----------
    interval_s : float, default=0.1
        Time without an empty queue that counts as overload, in seconds.

    Notes
    -----
    Under sustained overload a first-in, first-out queue adds its full waiting
    time to every response. A last-in, first-out queue serves some calls without
    delay and lets the others time out.
    """

    def __init__(self, *, interval_s: float = 0.1) -> None:
        self.interval_s = interval_s
        self.last_empty_at = float("-inf")

    def observe(self, *, n_waiting: int, now: float) -> None:
        """Record the time when the queue is empty."""
        if n_waiting == 0:
            self.last_empty_at = now

    def is_newest_first(self, now: float) -> bool:
        """Return whether the queue has not been empty for over the interval."""
        return now - self.last_empty_at > self.interval_s
