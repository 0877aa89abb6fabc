"""Reader and follower roles of the nodes of a region."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import ceil, log2, sqrt

from foxtailway.routing.rendezvous import rank_names
from foxtailway.traffic.membership import Upstream, UpstreamState

__all__ = [
    "ANNOUNCE_INTERVAL_S",
    "HostCapacity",
    "ReaderRoles",
    "ReaderTimings",
    "RemoteReader",
]

# Smallest link bandwidth of a preferred reader, in Mbit/s. Changes of the
# configuration come in bursts and pass through this link.
MIN_READER_LINK_MBPS = 15.0
# Smallest processor time of a preferred reader, in core-seconds per second. The host
# processes the bursts of changes.
MIN_READER_CORES = 0.5
# Longest time between two confirmations of a reader, as a share of the time to apply.
CONFIRM_SHARE = 0.25
# Age of the last confirmation by the nearest reader at which the reader of another
# region reads the store itself, as a share of the time to apply. It has to do so before
# the first of its followers becomes the reader.
REMOTE_TIMEOUT_SHARE = 0.4
# Age of the last confirmation at which the first node in rank becomes the reader, as
# a share of the time to apply.
FIRST_FAIL_OVER_SHARE = 0.45
# Age of the last confirmation at which the last node in rank becomes the reader, as a
# share of the time to apply.
LAST_FAIL_OVER_SHARE = 0.65
# Age of the last confirmation at which a follower reads the store itself, as a share of
# the time to apply.
FOLLOWER_TIMEOUT_SHARE = 0.7
# Mean of the longest pause between calls to a failing store, as a share of the time to
# apply. With jitter a pause is up to half as long again.
MAX_BACKOFF_SHARE = 0.6
# Number of groups in the ranking: preferred hosts, then all other hosts and those with
# a draining upstream.
N_RANK_GROUPS = 2
# Number of times that the nodes which may have become the reader double between the
# first and the last share.
N_FAIL_OVER_DOUBLINGS = 8
# Interval at which a reader announces itself to other regions.
ANNOUNCE_INTERVAL_S = 2.0
# Time after an announcement at which any other reader of the region takes precedence.
ANNOUNCEMENT_TIMEOUT_S = 2.5
# Time after which an announcement expires.
ANNOUNCEMENT_TTL_S = 7.0
# Smallest difference of two readers' delays to the store at which the nearer one
# updates the other. The delays of hosts of one region differ by less.
DELAY_MARGIN_S = 0.005


@dataclass(frozen=True, slots=True, kw_only=True)
class HostCapacity:
    """Capacity of the host of a node.

    Parameters
    ----------
    link_mbps : float
        Bandwidth of the host's link, in Mbit/s.
    n_cores : float
        Processor time that the host provides per second, in core-seconds.
    """

    link_mbps: float
    n_cores: float

    @property
    def is_preferred_reader(self) -> bool:
        """Whether the host is preferred as reader."""
        return (
            self.link_mbps >= MIN_READER_LINK_MBPS and self.n_cores >= MIN_READER_CORES
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class ReaderTimings:
    """Timings of readers and followers, derived from the time to apply.

    Parameters
    ----------
    apply_s : float
        Time to apply: the longest time until a configuration is in force, in
        seconds.
    """

    apply_s: float

    @property
    def confirm_interval_s(self) -> float:
        """Longest time between two confirmations of a reader, in seconds."""
        return CONFIRM_SHARE * self.apply_s

    @property
    def max_confirmation_gap_s(self) -> float:
        """Longest time between two confirmations that followers notice, in seconds."""
        return 1.5 * self.confirm_interval_s

    @property
    def remote_timeout_s(self) -> float:
        """Age of a confirmation at which a far reader reads the store, in seconds."""
        return REMOTE_TIMEOUT_SHARE * self.apply_s

    @property
    def follower_timeout_s(self) -> float:
        """Age of a confirmation at which a follower reads the store, in seconds."""
        return FOLLOWER_TIMEOUT_SHARE * self.apply_s

    @property
    def max_backoff_s(self) -> float:
        """Mean of the longest pause between calls to a failing store, in seconds.

        It is short enough that a node without a reader that was disconnected from the
        store applies changes within the time to apply once the connection is back.
        """
        return MAX_BACKOFF_SHARE * self.apply_s

    def fail_over_s(self, position: float) -> float:
        """Return the age of the last confirmation at which a node becomes the reader.

        Parameters
        ----------
        position : float
            Relative position in the ranking, from 0 for the first node to 1, which
            is after the last one.

        Returns
        -------
        float
            Age in seconds.
        """
        share_range = LAST_FAIL_OVER_SHARE - FIRST_FAIL_OVER_SHARE
        return (FIRST_FAIL_OVER_SHARE + position * share_range) * self.apply_s


@dataclass(frozen=True, slots=True, kw_only=True)
class RemoteReader:
    """Reader of another region.

    Parameters
    ----------
    address : str
        IP address of its host.
    rank : int
        Rank of the reader in its region.
    store_delay_s : float
        Time that the reader needs to connect to the store, in seconds.
    announced_at : float
        Monotonic time of its last announcement, in seconds.
    """

    address: str
    rank: int
    store_delay_s: float
    announced_at: float


class ReaderRoles:
    """Role of this node as reader or follower, and its followers.

    Parameters
    ----------
    address : str
        IP address of this host.
    capacity : HostCapacity
        Capacity of this host.
    timings : ReaderTimings
        Timings of readers and followers.

    Attributes
    ----------
    rank : int or None
        Position of this node in the order in which nodes become the reader, 0 for the
        first; None while its host is not registered, unless it still is the reader.
    peers : tuple of str
        Addresses of the region's other hosts, in the order of the ranking.
    position : int or None
        Position of this host in that order, whatever its capacity and state; None if
        it is not registered.
    confirmed_at : float
        Monotonic time up to which the state of this node is confirmed, by its own
        listing or by a reader, in seconds.
    preferred_confirmed_at : float
        Monotonic time up to which the state is confirmed by a node ranked before this
        one, in seconds; a listing by this node counts as well.
    remote_confirmed_at : float
        Monotonic time up to which the state is confirmed by the reader of another
        region, in seconds.
    region : str or None
        Region of this node; None if its availability zone is not configured.
    remote_peers : frozenset of str
        Addresses of the hosts of other regions.
    remote_readers : dict of str to RemoteReader
        Known reader of each other region.
    store_delay_s : float
        Time that this node needs to connect to the store, in seconds.
    seeds : tuple of str
        Addresses of the region's hosts whose nodes read their first configuration
        from the store, in the order in which this node asks them for it; empty if
        this node is one of them.

    Notes
    -----
    Nodes are ranked by rendezvous hashing over the hosts of the region; nodes on hosts
    that are not preferred and nodes whose upstream drains come after all others. A
    node becomes the reader when no node ranked before it has sent a confirmation for a
    time that grows with its rank, and becomes a follower when one of them sends a
    confirmation again. A reader whose host is no longer registered continues, ranked
    after all others, until another node is the reader. If nodes disagree about the
    reader, several of them read the store, which only costs additional calls.

    The reader that is nearest to the store also updates the readers of the other
    regions. These relay its updates instead of reading the store, so that a change
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
        self.position: int | None = None
        self.confirmed_at = float("-inf")
        self.preferred_confirmed_at = float("-inf")
        self.remote_confirmed_at = float("-inf")
        self.region: str | None = None
        self.remote_peers: frozenset[str] = frozenset()
        self.remote_readers: dict[str, RemoteReader] = {}
        self.store_delay_s = float("inf")
        self.seeds: tuple[str, ...] = ()

    def update(
        self,
        upstreams: Iterable[Upstream],
        zone: str,
        zone_regions: Mapping[str, str],
        now: float,
    ) -> None:
        """Update the rank and the peers after the membership changed.

        Parameters
        ----------
        upstreams : iterable of Upstream
            Registered upstreams.
        zone : str
            Availability zone of this node.
        zone_regions : Mapping of str to str
            Region of each availability zone.
        now : float
            Monotonic time in seconds.
        """
        was_reader = self.is_reader(now)
        region = zone_regions.get(zone)
        addresses: set[str] = set()
        remote_addresses: set[str] = set()
        is_leaving = False
        for upstream in upstreams:
            if upstream.address == self.address:
                is_leaving = upstream.state is UpstreamState.DRAINING
            is_in_region = zone_regions.get(upstream.zone) == region
            (addresses if is_in_region else remote_addresses).add(upstream.address)
        self.region = region
        self.remote_peers = frozenset(remote_addresses - addresses)
        ranking = rank_names(f"readers of {region}", addresses)
        self.peers = tuple(address for address in ranking if address != self.address)
        # The link between regions carries a configuration for each seed, and the link
        # of a seed one for each node that it serves.
        seeds = ranking[: ceil(sqrt(len(ranking)))]
        self.seeds = ()
        if self.address not in seeds:
            self.seeds = rank_names(self.address, seeds)
        self.position = None
        if self.address not in addresses:
            self.rank = N_RANK_GROUPS * len(ranking) if was_reader else None
            return
        is_fallback = not self.capacity.is_preferred_reader or is_leaving
        rank_offset = len(ranking) if is_fallback else 0
        self.position = ranking.index(self.address)
        self.rank = rank_offset + self.position

    def is_reader(self, now: float) -> bool:
        """Return whether this node is the reader of its region."""
        if self.rank is None:
            return False
        return (
            self.rank == 0
            or now - self.preferred_confirmed_at >= self.compute_fail_over_delay_s()
        )

    def compute_fail_over_delay_s(self) -> float:
        """Return the age of a confirmation at which this node becomes the reader.

        It grows with the logarithm of the rank: in a region of any size, only a few
        nodes become the reader before the first of them has read the store and
        confirmed the state of the others.
        """
        position = log2(1 + self.rank) / N_FAIL_OVER_DOUBLINGS
        return self.timings.fail_over_s(min(1.0, position))

    def record_listing(self, listed_at: float) -> None:
        """Record that this node listed the store at a monotonic time in seconds.

        The listing also counts as a confirmation by a node ranked before this one, so
        that those nodes have time to become the reader.
        """
        self.confirmed_at = max(self.confirmed_at, listed_at)
        self.preferred_confirmed_at = max(self.preferred_confirmed_at, listed_at)

    def record_confirmation(self, confirmed_at: float, reader: str, rank: int) -> None:
        """Record that a reader confirmed that this node has received all changes.

        Parameters
        ----------
        confirmed_at : float
            Monotonic time up to which all changes are received, in seconds.
        reader : str
            Address of the reader.
        rank : int
            Rank of the reader.
        """
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        if reader in self.remote_peers:
            self.remote_confirmed_at = max(self.remote_confirmed_at, confirmed_at)
        elif self.rank is not None and (rank, reader) < (self.rank, self.address):
            self.preferred_confirmed_at = max(self.preferred_confirmed_at, confirmed_at)

    def is_following(self, now: float) -> bool:
        """Return whether a reader has recently confirmed the state of this node.

        If it is False, the node has to read the store itself. For the reader of a
        region only the reader of another region counts.
        """
        if self.is_reader(now):
            return now - self.remote_confirmed_at < self.timings.remote_timeout_s
        return now - self.confirmed_at < self.timings.follower_timeout_s

    def record_remote_reader(self, region: str, reader: RemoteReader) -> bool:
        """Record the reader of another region and return whether it is a new one.

        The first in rank has precedence unless it misses its announcements or its host
        is no longer registered.
        """
        if reader.address not in self.remote_peers:
            return False
        current = self.remote_readers.get(region)
        if (
            current is None
            or current.address not in self.remote_peers
            or current.address == reader.address
            or reader.rank < current.rank
            or reader.announced_at - current.announced_at > ANNOUNCEMENT_TIMEOUT_S
        ):
            self.remote_readers[region] = reader
            return current is None or current.address != reader.address
        return False

    def list_remote_readers(self) -> tuple[RemoteReader, ...]:
        """Return the last known readers of other regions whose host is registered."""
        return tuple(
            reader
            for reader in self.remote_readers.values()
            if reader.address in self.remote_peers
        )

    def list_followers(self, now: float) -> tuple[str, ...]:
        """Return the addresses that this node updates while it is the reader."""
        remote_followers = tuple(
            reader.address
            for reader in self.list_remote_readers()
            if now - reader.announced_at < ANNOUNCEMENT_TTL_S
            and reader.store_delay_s - self.store_delay_s > DELAY_MARGIN_S
        )
        return self.peers + remote_followers
