"""Admission of client connections while descriptors are short."""

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from foxtailway.sidecar.memory_account import MemoryAccount

if TYPE_CHECKING:
    from foxtailway.sidecar.client_connection import ClientConnection

__all__ = ["ConnectionTable"]

# Part of the connections that are closed at once when there are too many, so that the
# search for them is rare, and part that may wait for one to be closed.
CLOSED_SHARE = 1 / 16
# Interval at which a connection is looked for that may be closed, while others wait.
ADMISSION_INTERVAL_S = 0.05


class ConnectionTable:
    """Open connections of one listener, and new ones that wait for room.

    A full table closes the connections that have been of no use for longest. While
    there are none, new connections wait unread; the last one is admitted first, since
    the clients of the others may have given up.

    Parameters
    ----------
    account : MemoryAccount
        Counts the connections that are closed for lack of room.
    max_n_connections : int or None
        Connections that may be open or wait; None for no limit.

    Attributes
    ----------
    open : set of ClientConnection
        Connections that are read.
    waiting : deque of ClientConnection
        Connections that wait for room, in the order in which they were made.
    """

    def __init__(
        self, *, account: MemoryAccount, max_n_connections: int | None
    ) -> None:
        self.account = account
        self.max_n_connections = max_n_connections
        self.loop = asyncio.get_running_loop()
        self.open: set[ClientConnection] = set()
        self.waiting: deque[ClientConnection] = deque()
        self.timer: asyncio.TimerHandle | None = None

    @property
    def max_n_waiting(self) -> int:
        """Number of connections that may wait."""
        return int((self.max_n_connections or 0) * CLOSED_SHARE)

    @property
    def is_full(self) -> bool:
        """Whether a connection has to be closed before another one is admitted."""
        limit = self.max_n_connections
        return limit is not None and len(self.open) >= limit - self.max_n_waiting

    def add(self, connection: "ClientConnection") -> None:
        """Admit a new connection, or let it wait for room.

        While others wait, only the timer looks for a connection that may be closed.
        """
        if not self.is_full or (not self.waiting and self.close_stale()):
            self.open.add(connection)
            return
        connection.transport.pause_reading()
        self.waiting.append(connection)
        if len(self.waiting) > self.max_n_waiting:
            self.account.count("n_closed")
            self.waiting.popleft().abort()
        if self.waiting:
            self.schedule_admission()

    def discard(self, connection: "ClientConnection") -> None:
        """Remove a connection that has ended, and admit one that waits."""
        if connection in self.open:
            self.open.discard(connection)
            if self.waiting:
                self.schedule_admission(0.0)
        elif connection in self.waiting:
            self.waiting.remove(connection)

    def schedule_admission(self, delay_s: float = ADMISSION_INTERVAL_S) -> None:
        """Schedule the next admission, at the latest after a delay in seconds."""
        when = self.loop.time() + delay_s
        if self.timer is not None:
            if self.timer.when() <= when:
                return
            self.timer.cancel()
        self.timer = self.loop.call_at(when, self.admit_waiting)

    def admit_waiting(self) -> None:
        """Admit the connections that wait, the last one first, as far as there is room.

        The next call is scheduled first, so that an error does not end the calls.
        """
        self.timer = None
        if self.waiting:
            self.schedule_admission()
        while self.waiting and (not self.is_full or self.close_stale()):
            connection = self.waiting.pop()
            self.open.add(connection)
            connection.start_reading()

    def close_stale(self) -> bool:
        """Close the connections of no use; return whether there was one."""
        now = self.loop.time()
        stale = [
            (stale_s, id(connection), connection)
            for connection in self.open
            if (stale_s := connection.compute_stale_time(now)) is not None
        ]
        stale.sort(reverse=True)
        n_closed = max(1, int(len(self.open) * CLOSED_SHARE))
        for _, _, connection in stale[:n_closed]:
            self.account.count("n_closed")
            self.open.discard(connection)
            connection.abort()
        return bool(stale)

    def close(self) -> None:
        """Close the connections that wait and stop admissions."""
        if self.timer is not None:
            self.timer.cancel()
        while self.waiting:
            self.waiting.pop().abort()
