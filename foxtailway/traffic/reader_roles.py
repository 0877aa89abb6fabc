"""Roles of the nodes of a region in reading the store."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from foxtailway.routing.rendezvous import rank_names
from foxtailway.traffic.membership import Upstream, UpstreamState

__all__ = [
    "ANNOUNCE_INTERVAL_S",
    "ReaderRoles",
    "ReaderTimings",
    "RemoteReader",
    "HostCapacity",
]

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
# Part of that time for the mean of the longest pauses between calls to a store
# that fails; with jitter they are half as long again.
RETRY_SHARE = 0.6
# Groups of the ranking: strong hosts, then weak hosts and those that leave.
N_GROUPS = 2
# Interval at which a reader makes itself known to other regions, and time for
# which it is believed, in seconds.
ANNOUNCE_INTERVAL_S = 2.0
ANNOUNCEMENT_LIFE_S = 7.0
# Least difference of the readers' delays to the store from which the nearer one
# feeds the other, in seconds; hosts of one region differ by less.
DELAY_MARGIN_S = 0.005


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
    def is_preferred_reader(self) -> bool:
        """Whether the host is preferred for reading the store for others."""
        return (
            self.link_mbps >= MIN_READER_LINK_MBPS and self.n_cores >= MIN_READER_CORES
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class ReaderTimings:
    """Hold the times that follow from how soon a configuration has to apply.

    Parameters
    ----------
    apply_s : float
        Time within which a configuration has to be in force, in seconds.
    """

    apply_s: float

    @property
    def confirm_interval_s(self) -> float:
        """Longest wait of a reader for news, in seconds."""
        return CONFIRM_SHARE * self.apply_s

    @property
    def follower_timeout_s(self) -> float:
        """Age of a confirmation from which a node reads the store itself."""
        return UNFED_SHARE * self.apply_s

    @property
    def max_backoff_s(self) -> float:
        """Longest mean pause between calls to a store that fails, in seconds.

        A node that was cut off, and that nobody feeds, is back in time.
        """
        return RETRY_SHARE * self.apply_s

    def fail_over_s(self, place: float) -> float:
        """Return the age of a confirmation from which a node takes over.

        Parameters
        ----------
        place : float
            Place among the nodes that may take over; 0 for the first and 1
            behind the last.
        """
        shares = LAST_TAKE_OVER_SHARE - FIRST_TAKE_OVER_SHARE
        return (FIRST_TAKE_OVER_SHARE + place * shares) * self.apply_s


@dataclass(frozen=True, slots=True, kw_only=True)
class RemoteReader:
    """Describe the reader of another region.

    Parameters
    ----------
    address : str
        Its address.
    rank : int
        Its rank among those of its region.
    store_delay_s : float
        Time that it takes to connect to the store, in seconds.
    announced_at : float
        When it was last heard of, in seconds.
    """

    address: str
    rank: int
    store_delay_s: float
    announced_at: float


class ReaderRoles:
    """Decide who reads the store and whether this node is up to date without it.

    Parameters
    ----------
    address : str
        IP address of this host.
    capacity : HostCapacity
        What this host can carry.
    timings : ReaderTimings
        When a confirmation is too old.

    Attributes
    ----------
    rank : int or None
        Place of this node in the order in which nodes become readers, 0 for the
        first; None while its host is not registered, unless it still reads.
    peers : tuple of str
        Addresses of the region's other hosts.
    confirmed_at : float
        Time for which a reader last confirmed what this node knows, in seconds.
    preferred_confirmed_at : float
        The same, confirmed by a node that ranks before this one.
    remote_confirmed_at : float
        The same, confirmed by the reader of another region.
    region : str or None
        Region of this node.
    remote_peers : frozenset of str
        Addresses of the hosts of other regions.
    remote_readers : dict of str to RemoteReader
        Reader of each other region, as far as known.
    store_delay_s : float
        Time that this node takes to connect to the store, in seconds.

    Notes
    -----
    Nodes are ranked by rendezvous hashing over the hosts of the region, those
    on weak hosts and those whose upstream leaves behind all others. A node
    reads for the others when those ranked before it have been silent for some
    time, which grows with its rank, and gives way when one of them is heard
    again. A reader whose host is no longer registered goes on, behind all
    others, until another one has taken over. Nodes that disagree read too
    often, which costs calls only.

    The reader that is nearest to the store also feeds the readers of the other
    regions, which then pass its updates on instead of reading, so that a change
    crosses the link between two regions once.
    """

    def __init__(
        self, *, address: str, capacity: HostCapacity, timings: ReaderTimings
    ) -> None:
        self.address = address
        self.capacity = capacity
        self.timings = timings
        self.rank: int | None = None
        self.peers: tuple[str, ...] = ()
        self.confirmed_at = float("-inf")
        self.preferred_confirmed_at = float("-inf")
        self.remote_confirmed_at = float("-inf")
        self.region: str | None = None
        self.remote_peers: frozenset[str] = frozenset()
        self.remote_readers: dict[str, RemoteReader] = {}
        self.store_delay_s = float("inf")

    def update(
        self,
        upstreams: Iterable[Upstream],
        zone: str,
        zone_regions: Mapping[str, str],
        now: float,
    ) -> None:
        """Choose the rank anew after the membership changed.

        Parameters
        ----------
        upstreams : iterable of Upstream
            Upstreams that exist.
        zone : str
            Availability zone of this node.
        zone_regions : Mapping of str to str
            Region of each availability zone.
        now : float
            Time in seconds.
        """
        was_reader = self.is_reader(now)
        region = zone_regions.get(zone)
        addresses: set[str] = set()
        foreign: set[str] = set()
        is_leaving = False
        for upstream in upstreams:
            if upstream.address == self.address:
                is_leaving = upstream.state is UpstreamState.DRAINING
            is_near = zone_regions.get(upstream.zone) == region
            (addresses if is_near else foreign).add(upstream.address)
        self.region = region
        self.remote_peers = frozenset(foreign - addresses)
        order = rank_names(f"readers of {region}", addresses)
        self.peers = tuple(address for address in order if address != self.address)
        if self.address not in addresses:
            self.rank = N_GROUPS * len(order) if was_reader else None
            return
        is_last = not self.capacity.is_preferred_reader or is_leaving
        n_before = len(order) if is_last else 0
        self.rank = n_before + order.index(self.address)

    def is_reader(self, now: float) -> bool:
        """Whether this node follows the store for others."""
        if self.rank is None:
            return False
        return (
            self.rank == 0 or now - self.preferred_confirmed_at >= self.find_patience()
        )

    def find_patience(self) -> float:
        """Return the silence after which this node takes over, in seconds."""
        place = self.rank / (N_GROUPS * (len(self.peers) + 1))
        return self.timings.fail_over_s(min(1.0, place))

    def record_listing(self, at: float) -> None:
        """Note that this node listed the store at a time (in seconds).

        Nodes that rank before this one have some time to take up their role.
        """
        self.confirmed_at = max(self.confirmed_at, at)
        self.preferred_confirmed_at = max(self.preferred_confirmed_at, at)

    def record_confirmation(self, at: float, reader: str, rank: int) -> None:
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
        if reader in self.remote_peers:
            self.remote_confirmed_at = max(self.remote_confirmed_at, at)
        elif self.rank is not None and (rank, reader) < (self.rank, self.address):
            self.preferred_confirmed_at = max(self.preferred_confirmed_at, at)

    def is_following(self, now: float) -> bool:
        """Whether a reader confirmed recently what this node knows."""
        if self.is_reader(now):
            return now - self.remote_confirmed_at < self.timings.fail_over_s(0.0)
        return now - self.confirmed_at < self.timings.follower_timeout_s

    def record_remote_reader(self, region: str, reader: RemoteReader) -> None:
        """Take note of a reader of another region; the first in rank counts."""
        known = self.remote_readers.get(region)
        if (
            known is None
            or known.address == reader.address
            or reader.rank < known.rank
            or reader.announced_at - known.announced_at > ANNOUNCEMENT_LIFE_S
        ):
            self.remote_readers[region] = reader

    def list_followers(self, now: float) -> tuple[str, ...]:
        """Return the addresses to which this node sends updates as a reader."""
        farther = tuple(
            reader.address
            for reader in self.remote_readers.values()
            if reader.address in self.remote_peers
            and now - reader.announced_at < ANNOUNCEMENT_LIFE_S
            and reader.store_delay_s - self.store_delay_s > DELAY_MARGIN_S
        )
        return self.peers + farther
