"""Account of the memory and the connections that a process spends on others."""

import ctypes
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from resource import getpagesize

from foxtailway.transport.response_limits import HeldBytes

__all__ = [
    "AccountLimits",
    "MemoryAccount",
    "MemoryShare",
    "ResourceEvents",
    "limit_heap_retention",
    "read_resident_size",
]

# Bodies up to this size take no share of their own; they are held from the reserve for
# short requests, in bytes.
SHORT_BODY_SIZE = 16_384
# Size of a freed block, and of free memory at the end of the heap, that returns to the
# operating system at once, in bytes.
MAX_RETAINED_SIZE = 1_048_576
# Parameters of `mallopt` in glibc.
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
PAGE_SIZE = getpagesize()


@dataclass(frozen=True, slots=True, kw_only=True)
class AccountLimits:
    """Limits of what a process holds for others.

    Parameters
    ----------
    memory_size : int, default=256_000_000
        Memory that the process may use, in bytes.
    memory_margin : float, default=0.1
        Share of it that is never given away: copies while one message is encoded, and
        what the heap does not give back.
    memory_reserve : float, default=0.0625
        Share of it that only short requests and their responses may use.
    min_rate : float, default=1_000.0
        Rate in bytes per second below which a body or a reader of a response may lose
        its share while others need it. A link of 3.5 Mbit/s that 400 clients share
        carries more for each.
    min_rate_window_s : float, default=5.0
        Time over which that rate is measured, in seconds. It allows for pauses.
    max_n_descriptors : int, default=1_024
        Descriptors that the process may open.
    descriptor_reserve : float, default=0.25
        Share of them that is kept for the store, peers and the upstream.
    """

    memory_size: int = 256_000_000
    memory_margin: float = 0.1
    memory_reserve: float = 0.0625
    min_rate: float = 1_000.0
    min_rate_window_s: float = 5.0
    max_n_descriptors: int = 1_024
    descriptor_reserve: float = 0.25

    @property
    def max_n_clients(self) -> int:
        """Connections of clients that may be open."""
        return max(1, int(self.max_n_descriptors * (1 - self.descriptor_reserve)))

    @property
    def max_n_checks(self) -> int:
        """Connections for readiness checks, and for metrics, that may be open."""
        return max(1, int(self.max_n_descriptors * self.descriptor_reserve / 4))


@dataclass(slots=True, kw_only=True)
class ResourceEvents:
    """Numbers of what was refused or closed, since the start or the last log line.

    Parameters
    ----------
    n_refused, n_evicted, n_dropped, n_closed : int, default=0
        Requests refused for lack of memory, slow bodies and readers that lost their
        share, ready responses that found no room, and connections closed for lack of
        descriptors.
    """

    n_refused: int = 0
    n_evicted: int = 0
    n_dropped: int = 0
    n_closed: int = 0


class MemoryShare:
    """Part of the account that one body or one slow reader takes.

    Parameters
    ----------
    account : MemoryAccount
        Account that the share belongs to.
    evict : callable or None
        Called when the share is taken back, since its bytes make no progress; it
        has to release the share. None for shares that are never taken back.

    Attributes
    ----------
    n_reserved : int
        Bytes that are taken from the account.
    n_unfilled : int
        Bytes of these that do not take memory yet.
    n_moved : int
        Bytes that were received, or read by a client, so far.
    rate : float
        Bytes per second in the last complete window; infinite before.
    """

    __slots__ = (
        "account",
        "evict",
        "n_at_window_start",
        "n_moved",
        "n_reserved",
        "n_unfilled",
        "rate",
        "window_started_at",
    )

    def __init__(
        self, *, account: "MemoryAccount", evict: Callable[[], None] | None
    ) -> None:
        self.account = account
        self.evict = evict
        self.n_reserved = 0
        self.n_unfilled = 0
        self.n_moved = 0
        self.n_at_window_start = 0
        self.window_started_at = account.checked_at
        self.rate = float("inf")

    def try_reserve(self, n_bytes: int) -> bool:
        """Take more bytes, which do not take memory yet; return False if too many."""
        if not self.account.make_room(n_bytes):
            return False
        self.n_reserved += n_bytes
        self.n_unfilled += n_bytes
        self.account.n_held += n_bytes
        self.account.n_unfilled += n_bytes
        return True

    def record_received(self, n_bytes: int) -> None:
        """Record bytes that were received and fill the share."""
        self.n_moved += n_bytes
        n_filled = min(n_bytes, self.n_unfilled)
        self.n_unfilled -= n_filled
        self.account.n_unfilled -= n_filled

    def set_held(self, n_bytes: int) -> None:
        """Set the size to bytes that are held in any case."""
        self.account.n_held += n_bytes - self.n_reserved
        self.n_reserved = n_bytes

    def release(self) -> None:
        """Give all bytes back; idempotent."""
        account = self.account
        account.n_held -= self.n_reserved
        account.n_unfilled -= self.n_unfilled
        self.n_reserved = self.n_unfilled = 0
        account.shares.discard(self)


class MemoryAccount:
    """Decide who may hold how many bytes; does no I/O.

    Parameters
    ----------
    limits : AccountLimits, default=AccountLimits()
        Limits in force.

    Attributes
    ----------
    size : int
        Bytes that may be held for others.
    reserve_size : int
        Bytes of these that only short requests and responses may take.
    n_held : int
        Bytes that are held or reserved for others.
    n_unfilled : int
        Bytes of these that are reserved and do not take memory yet.
    own_size : int
        Memory of the process without what it holds for others, as measured last, in
        bytes.
    receivers : dict of object to None
        Receivers of incomplete large messages, in the order in which they began.
    checked_at : float
        Monotonic time of the last check, in seconds.
    events, unlogged : ResourceEvents
        What was refused or closed since the start and since the last log line.

    Notes
    -----
    Small things that come and go with each request (heads, short bodies, held
    responses) are added to `n_held` by their owner. Large ones have a `MemoryShare`.
    """

    def __init__(self, *, limits: AccountLimits | None = None) -> None:
        self.n_held = 0
        self.n_unfilled = 0
        self.own_size = 0
        self.apply_limits(AccountLimits() if limits is None else limits)
        self.first_own_size = 0
        self.checked_at = 0.0
        self.n_slow = 0
        self.shares: set[MemoryShare] = set()
        self.receivers: dict[object, None] = {}
        self.events = ResourceEvents()
        self.unlogged = ResourceEvents()

    def apply_limits(self, limits: AccountLimits) -> None:
        """Apply changed limits."""
        self.limits = limits
        usable_size = int(limits.memory_size * (1 - limits.memory_margin))
        self.size = usable_size - self.own_size
        self.reserve_size = int(limits.memory_size * limits.memory_reserve)

    @property
    def is_exhausted(self) -> bool:
        """Whether not even a short request may be held."""
        return self.n_held > self.size and not self.reclaim(self.n_held - self.size)

    @property
    def is_scarce(self) -> bool:
        """Whether more than half of the bytes are held."""
        return 2 * self.n_held > self.size

    def open_share(self, evict: Callable[[], None] | None) -> MemoryShare:
        """Return a new share without bytes."""
        share = MemoryShare(account=self, evict=evict)
        self.shares.add(share)
        return share

    def make_room(self, n_bytes: int) -> bool:
        """Return whether a large thing may be held, if necessary in place of slow ones.

        What can't fit even into the empty account takes nothing from others.
        """
        n_available = self.size - self.reserve_size
        if n_bytes > n_available:
            return False
        n_missing = self.n_held + n_bytes - n_available
        return n_missing <= 0 or self.reclaim(n_missing)

    def try_hold(self, n_bytes: int) -> bool:
        """Hold more bytes; return False if they are too many."""
        is_allowed = self.make_room(n_bytes)
        if is_allowed:
            self.n_held += n_bytes
        return is_allowed

    def hold(self, n_bytes: int) -> None:
        """Hold more or fewer bytes in any case."""
        self.n_held += n_bytes

    def hold_body(self, n_bytes: int) -> HeldBytes | None:
        """Hold a body in any case, and return what counts it; None for a short one."""
        if n_bytes <= SHORT_BODY_SIZE:
            return None
        self.hold(n_bytes)
        return HeldBytes(hold=self.hold, n_bytes=n_bytes)

    def may_receive(self, receiver: object) -> bool:
        """Return whether one of `receivers` may go on with its message.

        Without room, only the one that began first may, so that its message ends.
        """
        return next(iter(self.receivers), None) is receiver or self.make_room(0)

    def reclaim(self, n_bytes: int) -> bool:
        """Take shares back, the slowest first; return whether that was enough."""
        if not self.n_slow:
            return False
        n_wanted = self.n_held - n_bytes
        slow = [
            share
            for share in self.shares
            if share.evict is not None
            and share.rate < self.limits.min_rate
            and share.n_reserved
        ]
        for share in sorted(slow, key=get_rate):
            if self.n_held <= n_wanted:
                break
            self.n_slow -= 1
            self.count("n_evicted")
            share.evict()
            share.release()
        return self.n_held <= n_wanted

    def check(self, now: float, resident_size: int) -> None:
        """Measure the rates and what the process itself takes.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        resident_size : int
            Resident memory of the process, in bytes.
        """
        self.checked_at = now
        own_size = resident_size - self.n_held + self.n_unfilled
        if not self.first_own_size:
            self.first_own_size = own_size
        self.own_size = max(self.first_own_size, own_size)
        self.apply_limits(self.limits)
        self.n_slow = 0
        for share in self.shares:
            if share.evict is None:
                continue
            elapsed_s = now - share.window_started_at
            if elapsed_s >= self.limits.min_rate_window_s:
                n_moved = share.n_moved - share.n_at_window_start
                share.rate = n_moved / elapsed_s
                share.n_at_window_start = share.n_moved
                share.window_started_at = now
            self.n_slow += share.rate < self.limits.min_rate

    def count(self, name: str) -> None:
        """Count an event of `ResourceEvents`."""
        for events in (self.events, self.unlogged):
            setattr(events, name, getattr(events, name) + 1)

    def take_unlogged(self) -> ResourceEvents | None:
        """Return what happened since the last call; None for nothing."""
        if self.unlogged == ResourceEvents():
            return None
        unlogged, self.unlogged = self.unlogged, ResourceEvents()
        return unlogged


def get_rate(share: MemoryShare) -> float:
    """Return the rate of a share."""
    return share.rate


def limit_heap_retention() -> None:
    """Make the C library give large blocks back to the operating system at once.

    By default it keeps blocks of a size that was freed once, up to 32 MB, so that
    bodies and responses leave holes in the heap. The limit stays above the 256 KiB that
    asyncio allocates for each read.
    """
    # Other C libraries than glibc have no such function and keep less.
    with suppress(AttributeError, OSError):
        mallopt = ctypes.CDLL(None).mallopt
        for parameter in (M_MMAP_THRESHOLD, M_TRIM_THRESHOLD):
            mallopt(parameter, MAX_RETAINED_SIZE)


def read_resident_size() -> int:
    """Return the resident memory of this process, in bytes."""
    with open("/proc/self/statm", encoding="ascii") as stream:
        return int(stream.read().split(" ")[1]) * PAGE_SIZE
