"""Order and flow control of the request bodies that one host receives."""

from dataclasses import dataclass

__all__ = ["BodyTransfer", "TransferQueue"]

# Largest part of a body that is granted at once, in bytes. Messages on the same stream
# wait for at most one part.
MAX_GRANT_SIZE = 32_768
# Time that the granted parts may take on the link, in seconds; other traffic of the
# host waits for at most this time.
WINDOW_S = 0.1
# Share of the link's bandwidth that bodies are expected to get; responses, updates and
# small requests take the rest.
BODY_BANDWIDTH_SHARE = 0.7
BYTES_PER_MEGABIT = 125_000


@dataclass(slots=True, kw_only=True, eq=False)
class BodyTransfer:
    """Body of one request that is to be received.

    Parameters
    ----------
    size : int
        Size of the body, in bytes.
    priority : int
        Priority of the request; 0 is the highest.
    due_at : float
        Monotonic time after which a response is late, in seconds.
    deadline : float
        Monotonic time at which the caller stops waiting, in seconds.
    run_time_s : float
        Expected run time of the request, in seconds.
    n_granted, n_received : int, default=0
        Bytes that the sender may send, and those that arrived.
    is_late : bool, default=False
        Whether the response would be late even without other transfers; set by
        `TransferQueue.offer`.
    """

    size: int
    priority: int
    due_at: float
    deadline: float
    run_time_s: float
    n_granted: int = 0
    n_received: int = 0
    is_late: bool = False

    @property
    def is_complete(self) -> bool:
        """Whether all bytes have arrived."""
        return self.n_received >= self.size


class TransferQueue:
    """Bodies that wait for the link of a host, and those on their way.

    Parameters
    ----------
    link_mbps : float
        Bandwidth of the link, in Mbit/s.

    Attributes
    ----------
    transfers : list of BodyTransfer
        Incomplete transfers, in no particular order.

    Notes
    -----
    Senders wait for a grant before they send a part of a body. The parts that are
    granted and have not arrived never exceed what the link carries in `WINDOW_S`, so
    that bodies do not delay other traffic by more, however many are on offer. A body
    that has begun is finished first; then bodies are ordered by priority and due time,
    those whose response would be late in any case behind all others.
    A body that can't arrive early enough for its request is refused before any of it
    is sent. The argument `now` of the methods is the monotonic time in seconds.
    """

    def __init__(self, *, link_mbps: float) -> None:
        self.link_mbps = link_mbps
        self.transfers: list[BodyTransfer] = []

    @property
    def bandwidth(self) -> float:
        """Bandwidth for bodies, in bytes per second."""
        return BODY_BANDWIDTH_SHARE * self.link_mbps * BYTES_PER_MEGABIT

    @property
    def window_size(self) -> int:
        """Largest sum of granted bytes that have not arrived, in bytes."""
        return max(MAX_GRANT_SIZE, int(WINDOW_S * self.link_mbps * BYTES_PER_MEGABIT))

    def offer(self, transfer: BodyTransfer, now: float) -> bool:
        """Add a transfer; return False if it can't be finished in time.

        A request that could be answered in time without other transfers has to be
        answered in time, any other one before its deadline.
        """
        transfer_s = transfer.size / self.bandwidth
        transfer.is_late = now + transfer_s + transfer.run_time_s > transfer.due_at
        latest_end = transfer.deadline if transfer.is_late else transfer.due_at
        if self.estimate_end(transfer, now) > latest_end:
            return False
        self.transfers.append(transfer)
        return True

    def estimate_end(self, transfer: BodyTransfer, now: float) -> float:
        """Return the time at which the request of a transfer is expected to finish."""
        n_bytes = self.count_bytes_until_end(transfer)
        return now + n_bytes / self.bandwidth + transfer.run_time_s

    def count_bytes_until_end(self, transfer: BodyTransfer) -> int:
        """Return the number of bytes that arrive until a transfer is complete."""
        sort_key = self.get_sort_key(transfer)
        n_ahead = sum(
            other.size - other.n_received
            for other in self.transfers
            if other is not transfer and self.get_sort_key(other) <= sort_key
        )
        return n_ahead + transfer.size - transfer.n_received

    def drop_infeasible(self, now: float) -> list[BodyTransfer]:
        """Remove and return the waiting transfers that can't finish in any case.

        Such a request would miss its deadline even if bodies had the whole link.
        """
        link_bandwidth = self.link_mbps * BYTES_PER_MEGABIT
        dropped = [
            transfer
            for transfer in self.transfers
            if transfer.n_granted == 0
            and now
            + self.count_bytes_until_end(transfer) / link_bandwidth
            + transfer.run_time_s
            > transfer.deadline
        ]
        for transfer in dropped:
            self.transfers.remove(transfer)
        return dropped

    def get_sort_key(self, transfer: BodyTransfer) -> tuple[bool, bool, int, float]:
        """Return the sort key of a transfer; the smallest is granted next."""
        return (
            transfer.n_granted == 0,
            transfer.is_late,
            transfer.priority,
            transfer.due_at,
        )

    def make_grants(self) -> list[tuple[BodyTransfer, int]]:
        """Grant the next parts within the window.

        Returns
        -------
        list of tuple of BodyTransfer and int
            Transfers, each with the number of further bytes that may be sent.
        """
        n_free = self.window_size - sum(
            transfer.n_granted - transfer.n_received for transfer in self.transfers
        )
        grants: list[tuple[BodyTransfer, int]] = []
        for transfer in sorted(self.transfers, key=self.get_sort_key):
            while n_free > 0 and transfer.n_granted < transfer.size:
                n_bytes = min(MAX_GRANT_SIZE, transfer.size - transfer.n_granted)
                transfer.n_granted += n_bytes
                n_free -= n_bytes
                grants.append((transfer, n_bytes))
        return grants

    def record_received(self, transfer: BodyTransfer, n_bytes: int) -> bool:
        """Record received bytes; return False if they were not granted."""
        transfer.n_received += n_bytes
        if transfer.is_complete:
            self.discard(transfer)
        return transfer.n_received <= transfer.n_granted

    def discard(self, transfer: BodyTransfer) -> None:
        """Remove a transfer that is complete or was given up."""
        if transfer in self.transfers:
            self.transfers.remove(transfer)
