"""Order of waiting calls."""

from abc import ABC, abstractmethod

__all__ = ["NewestFirstUnderOverload", "OldestFirst", "QueueOrder"]


class QueueOrder(ABC):
    """Decide which of two otherwise equal calls is served first."""

    @abstractmethod
    def observe(self, *, n_waiting: int, now: float) -> None:
        """Learn the length of the queue before a call is added."""

    @abstractmethod
    def is_newest_first(self, now: float) -> bool:
        """Whether the newest call is served first."""


class OldestFirst(QueueOrder):
    """Serve calls in the order of their arrival."""

    def observe(self, *, n_waiting: int, now: float) -> None:
        """Ignore the length."""

    def is_newest_first(self, now: float) -> bool:
        """Return False."""
        return False


class NewestFirstUnderOverload(QueueOrder):
    """Serve the newest call first while the queue does not become empty.

    Parameters
    ----------
    interval_s : float, default=0.1
        Time without an empty queue after which it counts as overload.

    Notes
    -----
    Under lasting overload a queue served in order of arrival only adds its
    length to every answer; served from its end it answers some calls at once
    and lets the others time out.
    """

    def __init__(self, *, interval_s: float = 0.1) -> None:
        self.interval_s = interval_s
        self.last_empty_at = float("-inf")

    def observe(self, *, n_waiting: int, now: float) -> None:
        """Note when the queue was empty."""
        if n_waiting == 0:
            self.last_empty_at = now

    def is_newest_first(self, now: float) -> bool:
        """Whether the queue has been in use for the whole interval."""
        return now - self.last_empty_at > self.interval_s
