"""Roles of the nodes of a region in reading the store."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from foxtailway.routing.rendezvous import choose_names
from foxtailway.traffic.membership import Upstream

__all__ = ["FeedRoles", "FeedTimes", "HostCapacity"]

# Least capacity of a host that reads for others while another can. Changes of the
# configuration come in bursts and pass through its link and processor.
MIN_READER_LINK_MBPS = 15.0
MIN_READER_CORES = 0.5
# Parts of the time within which a configuration has to be in force: longest wait
# of a reader for news, ages of the last confirmation from which the first and
# the last node in rank take over, and from which any node reads the store itself.
CONFIRM_SHARE = 0.3
FIRST_TAKE_OVER_SHARE = 0.45
LAST_TAKE_OVER_SHARE = 0.65
UNFED_SHARE = 0.7


@dataclass(frozen=True, slots=True, kw_only=True)
class HostCapacity:
    """Describe the host of a node.

    Parameters
    ----------
    link_mbps : float
        Bandwidth of its link, in Mbit/s.
    n_cores : float
        Processor time that it gives in a second, in core-seconds.
    """

    link_mbps: float
    n_cores: float

    @property
    def can_feed(self) -> bool:
        """Whether the host is preferred for reading the store for others."""
        return (
            self.link_mbps >= MIN_READER_LINK_MBPS and self.n_cores >= MIN_READER_CORES
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class FeedTimes:
    """Hold the times that follow from how soon a configuration has to apply.

    Parameters
    ----------
    apply_s : float
        Time within which a configuration has to be in force, in seconds.
    """

    apply_s: float

    @property
    def confirm_s(self) -> float:
        """Longest wait of a reader for news, in seconds."""
        return CONFIRM_SHARE * self.apply_s

    @property
    def unfed_s(self) -> float:
        """Age of a confirmation from which a node reads the store itself."""
        return UNFED_SHARE * self.apply_s

    def take_over_s(self, place: float) -> float:
        """Return the age of a confirmation from which a node takes over.

        Parameters
        ----------
        place : float
            Place among the nodes that may take over; 0 for the first and 1
            behind the last.
        """
        shares = LAST_TAKE_OVER_SHARE - FIRST_TAKE_OVER_SHARE
        return (FIRST_TAKE_OVER_SHARE + place * shares) * self.apply_s


class FeedRoles:
    """Decide who reads the store and whether this node is up to date without it.

    Parameters
    ----------
    address : str
        IP address of this host.
    capacity : HostCapacity
        What this host can carry.
    times : FeedTimes
        When a confirmation is too old.

    Attributes
    ----------
    rank : int or None
        Place of this node in the order in which nodes become readers, 0 for the
        first; None while its host is not registered.
    peers : tuple of str
        Addresses of the region's other hosts.
    confirmed_at : float
        Time for which a reader last confirmed what this node knows, in seconds.
    deferred_at : float
        The same, confirmed by a node that ranks before this one.

    Notes
    -----
    Nodes are ranked by rendezvous hashing over the hosts of the region, those
    on weak hosts behind all others. A node reads for the others when those
    ranked before it have been silent for some time, which grows with its rank,
    and gives way when one of them is heard again. Nodes that disagree read too
    often, which costs calls only.
    """

    def __init__(
        self, *, address: str, capacity: HostCapacity, times: FeedTimes
    ) -> None:
        self.address = address
        self.capacity = capacity
        self.times = times
        self.rank: int | None = None
        self.peers: tuple[str, ...] = ()
        self.confirmed_at = float("-inf")
        self.deferred_at = float("-inf")

    def update(
        self, upstreams: Iterable[Upstream], zone: str, zone_regions: Mapping[str, str]
    ) -> None:
        """Choose the rank anew after the membership changed."""
        region = zone_regions.get(zone)
        addresses = {
            upstream.address
            for upstream in upstreams
            if zone_regions.get(upstream.zone) == region
        }
        order = choose_names(f"readers of {region}", addresses, len(addresses))
        self.peers = tuple(address for address in order if address != self.address)
        self.rank = None
        if self.address in addresses:
            n_before = 0 if self.capacity.can_feed else len(order)
            self.rank = n_before + order.index(self.address)

    def is_reader(self, now: float) -> bool:
        """Whether this node follows the store for others."""
        if self.rank is None:
            return False
        if self.rank == 0:
            return True
        place = self.rank / (2 * (len(self.peers) + 1))
        return now - self.deferred_at >= self.times.take_over_s(place)

    def confirm(self, at: float) -> None:
        """Note that this node listed the store at a time (in seconds).

        Nodes that rank before this one have some time to take up their role.
        """
        self.confirmed_at = max(self.confirmed_at, at)
        self.deferred_at = max(self.deferred_at, at)

    def confirm_by(self, at: float, reader: str, rank: int) -> None:
        """Note that a reader confirmed that this node knows all changes.

        Parameters
        ----------
        at : float
            Time up to which all changes are known, in seconds.
        reader : str
            Address of the reader.
        rank : int
            Rank of the reader.
        """
        self.confirmed_at = max(self.confirmed_at, at)
        if self.rank is not None and (rank, reader) < (self.rank, self.address):
            self.deferred_at = max(self.deferred_at, at)

    def is_fed(self, now: float) -> bool:
        """Whether a reader confirmed recently what this node knows."""
        if self.is_reader(now):
            return False
        return now - self.confirmed_at < self.times.unfed_s
