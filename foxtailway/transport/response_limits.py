"""Bounds on what a server may send in one HTTP exchange."""

from collections.abc import Callable
from dataclasses import dataclass

__all__ = [
    "DEFAULT_RESPONSE_LIMITS",
    "FREE_BODY_SIZE",
    "BufferBudget",
    "HeadMeter",
    "HeldBytes",
    "ResponseLimits",
]

# Bytes of framing allowed for each byte of body beyond the bound of the header section.
# Chunks of fewer than six bytes exceed it; each costs as much time as a large one.
MAX_FRAMING_RATIO = 1
# Bytes of each response that are accepted however many others are received.
FREE_BODY_SIZE = 16_384


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseLimits:
    """Bounds of the responses that one connection accepts.

    Parameters
    ----------
    max_head_size : int, default=65536
        Largest header section, and largest sum of all other bytes that belong to no
        body, such as interim responses, trailers and chunk extensions, in bytes.
    max_n_headers : int, default=256
        Largest number of headers and trailers. Each takes far more memory than its
        bytes on the wire.
    max_n_skipped : int, default=16
        Largest number of interim (1xx) responses, and of responses to other
        requests, that are skipped in one exchange.
    max_body_size : int, default=4194304
        Largest body of one response, in bytes.
    """

    max_head_size: int = 65_536
    max_n_headers: int = 256
    max_n_skipped: int = 16
    max_body_size: int = 4_194_304


DEFAULT_RESPONSE_LIMITS = ResponseLimits()


class HeadMeter:
    """Count the bytes of HTTP messages that belong to no body.

    A parser passes on a header only when it is complete, so that an endless one can
    be noticed by the received bytes alone.
    """

    def __init__(self) -> None:
        self.n_received = 0
        self.n_body = 0

    def reset(self) -> None:
        """Start to count for the next message."""
        self.n_received = 0
        self.n_body = 0

    def is_exceeded(self, max_head_size: int) -> bool:
        """Return whether more bytes than allowed came beside those of bodies."""
        n_framing = self.n_received - self.n_body
        return n_framing > max_head_size + MAX_FRAMING_RATIO * self.n_body


def always(_n_bytes: int) -> bool:
    """Return True."""
    return True


class HeldBytes:
    """Bytes of a body that count as held for as long as this object lives.

    A body passes through several owners, any of which may drop it.

    Parameters
    ----------
    hold : callable
        Called with the bytes that are no longer held, as a negative number.
    n_bytes : int
        Bytes, which the caller has counted.
    """

    __slots__ = ("hold", "n_bytes")

    def __init__(self, *, hold: Callable[[int], object], n_bytes: int) -> None:
        self.hold = hold
        self.n_bytes = n_bytes

    def __del__(self) -> None:
        """Give the bytes back."""
        self.hold(-self.n_bytes)


class BufferBudget:
    """Bytes that the incomplete responses of several connections may take together.

    Parameters
    ----------
    max_size : int
        Largest sum of the bodies, in bytes.
    try_hold : callable, default=always
        Called with the bytes of a long response; returns whether the process may hold
        them and if so, counts them.
    hold : callable, default=always
        Called with bytes that are counted in any case, or no longer held if negative.

    Attributes
    ----------
    size : int
        Bytes that are taken.
    """

    def __init__(
        self,
        *,
        max_size: int,
        try_hold: Callable[[int], bool] = always,
        hold: Callable[[int], object] = always,
    ) -> None:
        self.max_size = max_size
        self.try_hold = try_hold
        self.hold = hold
        self.size = 0

    def try_acquire(self, n_bytes: int, n_before: int = 0, n_held: int = 0) -> bool:
        """Take some bytes; return False if too many are taken already.

        Parameters
        ----------
        n_bytes : int
            Bytes to take.
        n_before : int, default=0
            Bytes that the same response has taken before. Without the first
            `FREE_BODY_SIZE` of each response, long ones would keep out short ones.
        n_held : int, default=0
            Bytes of `n_bytes` that are held already.
        """
        if n_before + n_bytes <= FREE_BODY_SIZE:
            self.hold(n_bytes - n_held)
        elif self.is_exceeded_by(n_bytes) or not self.try_hold(n_bytes - n_held):
            return False
        self.size += n_bytes
        return True

    def is_exceeded_by(self, n_bytes: int) -> bool:
        """Return whether more bytes fit only after others have been given back."""
        return self.size + n_bytes > self.max_size

    def release(self, n_bytes: int) -> None:
        """Give bytes back, which may go on to be held."""
        self.size -= n_bytes
