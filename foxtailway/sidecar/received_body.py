"""Body of a response while it is received."""

from foxtailway.sidecar.body_buffer import Body, BodyBuffer
from foxtailway.transport.response_limits import (
    FREE_BODY_SIZE,
    BufferBudget,
    HeldBytes,
)

__all__ = ["ReceivedBody"]


class ReceivedBody:
    """Body with its part of a budget; a body of known size reserves it at once.

    Two bodies can therefore not wait for room that the other one has reserved. What
    arrives before there is room is held, but takes nothing from the budget.

    Parameters
    ----------
    budget : BufferBudget or None
        Bound of the bodies that are received at a time; None for none.
    size : int or None
        Size of the body, in bytes; None if it is not known.

    Attributes
    ----------
    n_reserved : int
        Bytes of the budget that the body takes; they are held as well.
    n_held : int
        Bytes that are held for the body.
    """

    __slots__ = ("buffer", "budget", "n_held", "n_reserved", "size")

    def __init__(self, *, budget: BufferBudget | None, size: int | None) -> None:
        self.budget = budget
        self.size = size
        self.buffer = BodyBuffer(size=size)
        self.n_reserved = 0
        self.n_held = 0

    @property
    def n_bytes(self) -> int:
        """Number of bytes that were received."""
        return self.buffer.n_bytes

    def try_reserve(self) -> bool:
        """Return whether there is room for the body, as far as its size is known."""
        n_missing = self.count_missing()
        if self.budget is None or n_missing <= 0:
            return True
        has_room = self.budget.try_acquire(
            n_missing, self.n_reserved, self.n_held - self.n_reserved
        )
        if has_room:
            self.n_reserved += n_missing
            self.n_held = self.n_reserved
        else:
            self.hold(max(self.n_held, self.n_bytes))
        return has_room

    def count_missing(self) -> int:
        """Return how many bytes the body lacks from the budget."""
        return max(self.n_bytes, self.size or 0) - self.n_reserved

    @property
    def is_behind_others(self) -> bool:
        """Whether there is room as soon as other bodies have been received."""
        return self.budget is not None and self.budget.is_exceeded_by(
            self.count_missing()
        )

    def hold(self, n_bytes: int) -> None:
        """Hold this number of bytes, whatever room there is."""
        if self.budget is not None:
            self.budget.hold(n_bytes - self.n_held)
            self.n_held = n_bytes

    def finish(self) -> tuple[Body, HeldBytes | None]:
        """Return the complete body, and what keeps a long one counted, or None."""
        holding = None
        if self.budget is not None and self.n_bytes > FREE_BODY_SIZE:
            self.hold(self.n_bytes)
            holding = HeldBytes(hold=self.budget.hold, n_bytes=self.n_bytes)
            self.n_held = 0
        self.discard()
        return self.buffer.finish(), holding

    def discard(self) -> None:
        """Give the reserved and held bytes back; idempotent."""
        if self.budget is not None:
            self.budget.release(self.n_reserved)
            self.n_reserved = 0
            self.hold(0)
