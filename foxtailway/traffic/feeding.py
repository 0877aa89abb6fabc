"""Roles of the nodes of a region in reading the store."""

from collections.abc import Iterable, Mapping

from foxtailway.routing.rendezvous import choose_names
from foxtailway.traffic.membership import Upstream

__all__ = ["FeedRoles"]

# Readers of each region. While it fails, the followers read themselves.
N_READERS = 1
# Age of the last confirmation from which a follower reads the store itself, in
# seconds. Configurations have to be in force within 2 s.
MAX_CONFIRMED_AGE_S = 1.4


class FeedRoles:
    """Decide who reads the store and whether this node is up to date without it.

    Parameters
    ----------
    address : str
        IP address of this host.

    Attributes
    ----------
    readers : tuple of str
        Addresses of the region's readers.
    followers : tuple of str
        Addresses that this node feeds; empty unless it is a reader.
    confirmed_at : float
        Time for which a reader last confirmed what this node knows, in seconds.

    Notes
    -----
    Readers are chosen by rendezvous hashing over the hosts of the region, so
    that nodes with the same view agree. Nodes that disagree read too often or
    fall back to the store after `MAX_CONFIRMED_AGE_S`; neither harms.
    """

    def __init__(self, *, address: str) -> None:
        self.address = address
        self.readers: tuple[str, ...] = ()
        self.followers: tuple[str, ...] = ()
        self.confirmed_at = float("-inf")

    def update(
        self, upstreams: Iterable[Upstream], zone: str, zone_regions: Mapping[str, str]
    ) -> None:
        """Choose the roles anew after the membership changed."""
        region = zone_regions.get(zone)
        addresses = {
            upstream.address
            for upstream in upstreams
            if zone_regions.get(upstream.zone) == region
        }
        self.readers = choose_names(f"readers of {region}", addresses, N_READERS)
        self.followers = ()
        if self.is_reader:
            self.followers = tuple(sorted(addresses - set(self.readers)))

    @property
    def is_reader(self) -> bool:
        """Whether this node follows the store for others."""
        return self.address in self.readers

    def confirm(self, at: float) -> None:
        """Note that all changes up to a time are known here."""
        self.confirmed_at = max(self.confirmed_at, at)

    def is_fed(self, now: float) -> bool:
        """Whether a reader confirmed recently what this node knows."""
        return not self.is_reader and now - self.confirmed_at < MAX_CONFIRMED_AGE_S
