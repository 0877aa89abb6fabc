"""Roles and candidate parents, derived alike by every node."""

from dataclasses import dataclass
from enum import IntEnum

from xxhash import xxh3_64_intdigest

from foxtailway.distribution.message import PeerAddress
from foxtailway.distribution.topology import (
    Topology,
    list_region_hosts,
    rotate,
    score_hosts,
    sort_hosts,
    take_first,
    to_peers,
    unique,
)
from foxtailway.model.host import Host
from foxtailway.settings.model import NodeSettings, SeedAddress

__all__ = ["Placement", "Role", "compute_placement"]

N_ALTERNATES = 4


class Role(IntEnum):
    """Place of a host on the way from the platform; lower is nearer."""

    READER = 0
    GATEWAY = 1
    HEAD = 2
    MEMBER = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class Placement:
    """Describe one host's place.

    Parameters
    ----------
    role : Role
        Highest role of the host.
    candidates : tuple of PeerAddress
        Possible parents, the preferred one first; each ranks strictly higher.
    nearby : tuple of PeerAddress
        Nodes whose freshness is compared when the parent is stale; chosen so
        that nobody is asked by many.
    rescuers : tuple of PeerAddress
        Lower-ranked nodes of the same role, asked only when the host has lost
        the platform and every candidate.
    fallback_rank : int
        Position in the order in which hosts turn to the platform.
    n_hosts : int
        Hosts in the topology.
    is_relay : bool
        Whether other hosts have this one as preferred parent.
    listed_seeds : frozenset of SeedAddress
        Seeds that the topology lists in the own or the store's region.
    """

    role: Role
    candidates: tuple[PeerAddress, ...]
    nearby: tuple[PeerAddress, ...]
    rescuers: tuple[PeerAddress, ...]
    fallback_rank: int
    n_hosts: int
    is_relay: bool
    listed_seeds: frozenset[SeedAddress]


def compute_placement(topology: Topology, *, settings: NodeSettings) -> Placement:
    """Derive the place of the settings' own host.

    Only hosts of the own and of the store's region are hashed, and only the
    own zone is sorted, so that the cost stays low in large fleets.

    Parameters
    ----------
    topology : Topology
        Current hosts; the own host may be missing from it.
    settings : NodeSettings
        Identity of the host and the sizes of the roles.

    Returns
    -------
    Placement
        Role, candidate parents and fallback rank.
    """
    return Placer(topology, settings=settings).place()


class Placer:
    """Compute the place of one host within one topology.

    Parameters
    ----------
    topology : Topology
        Current hosts.
    settings : NodeSettings
        Identity of the host and the sizes of the roles.
    """

    def __init__(self, topology: Topology, *, settings: NodeSettings) -> None:
        self.topology = topology
        self.sizes = settings.distribution
        self.host_id = settings.host.host_id
        self.zone = settings.host.zone
        self.region = settings.host.region
        self.store_region = settings.platform.store_region
        regions = topology.zone_regions
        self.zones = sorted(regions)
        self.regions = sorted(set(regions.values()) | {self.region})
        store_hosts = list_region_hosts(topology, self.store_region)
        region_hosts = store_hosts
        self.readers = take_first(self.sizes.n_readers, score_hosts(store_hosts))
        self.gateways = self.readers
        if self.region != self.store_region:
            region_hosts = list_region_hosts(topology, self.region)
            self.gateways = take_first(self.sizes.n_gateways, score_hosts(region_hosts))
        upper_ids = {host.host_id for host in self.gateways}
        self.zone_order = sort_hosts(
            score_hosts(
                host
                for host in region_hosts
                if host.zone == self.zone and host.host_id not in upper_ids
            )
        )
        self.zone_rank = self.find_rank(self.zone_order)
        self.listed_seeds = self.find_listed_seeds(store_hosts, region_hosts)

    def find_listed_seeds(
        self, store_hosts: list[Host], region_hosts: list[Host]
    ) -> frozenset[SeedAddress]:
        """Return the seeds among the given hosts."""
        seed_addresses = {seed.address for seed in self.sizes.seeds}
        listed = {
            SeedAddress(address=host.address, port=host.mesh_port)
            for hosts in (store_hosts, region_hosts)
            for host in hosts
            if host.address in seed_addresses
        }
        return frozenset(listed.intersection(self.sizes.seeds))

    def find_rank(self, hosts: list[Host]) -> int:
        """Return the own position in `hosts`, or their number if absent."""
        for rank, host in enumerate(hosts):
            if host.host_id == self.host_id:
                return rank
        return len(hosts)

    def place(self) -> Placement:
        """Return the place of the host."""
        role = self.find_role()
        candidates = self.list_candidates(role)
        rescuers = self.list_rescuers(role)
        nearby = candidates + rescuers
        if role is Role.MEMBER:
            nearby = unique(self.list_tree_parents())
        return Placement(
            role=role,
            candidates=to_peers(candidates),
            nearby=to_peers(nearby),
            rescuers=to_peers(rescuers),
            fallback_rank=self.find_fallback_rank(role),
            n_hosts=max(1, len(self.topology.hosts)),
            is_relay=role is not Role.MEMBER or self.has_tree_children(),
            listed_seeds=self.listed_seeds,
        )

    def find_role(self) -> Role:
        """Return the highest role of the host."""
        if self.find_rank(self.gateways) < len(self.gateways):
            if self.region == self.store_region:
                return Role.READER
            return Role.GATEWAY
        if self.zone_rank < self.sizes.n_heads:
            return Role.HEAD
        return Role.MEMBER

    def has_tree_children(self) -> bool:
        """Tell whether a host of the zone has this one as tree parent."""
        first_child = self.sizes.n_heads + self.zone_rank * self.sizes.fan_out
        return first_child < len(self.zone_order)

    def list_candidates(self, role: Role) -> list[Host]:
        """Return the possible parents in order of preference."""
        peers = self.gateways[: self.find_rank(self.gateways)]
        region_offset = self.regions.index(self.region)
        if role is Role.READER:
            return peers
        if role is Role.GATEWAY:
            return peers + rotate(self.readers, region_offset)
        zone_offset = self.zones.index(self.zone) if self.zone in self.zones else 0
        upper = rotate(self.gateways, zone_offset + self.zone_rank)
        if role is Role.HEAD:
            if self.region != self.store_region:
                upper = upper + rotate(self.readers, region_offset)
            return unique(upper + self.zone_order[: self.zone_rank])
        heads = rotate(self.zone_order[: self.sizes.n_heads], self.zone_rank)
        return unique(self.list_tree_parents() + heads + upper)

    def list_tree_parents(self) -> list[Host]:
        """Return the tree parent and a few other hosts above the own one."""
        tree_rank = (self.zone_rank - self.sizes.n_heads) // self.sizes.fan_out
        chosen = [self.zone_order[tree_rank]] if self.zone_order else []
        for index in range(N_ALTERNATES):
            score = xxh3_64_intdigest(self.host_id.encode(), seed=index + 1)
            chosen.append(self.zone_order[score % self.zone_rank])
        return chosen

    def list_rescuers(self, role: Role) -> list[Host]:
        """Return lower-ranked hosts of the same role."""
        if role in (Role.READER, Role.GATEWAY):
            return self.gateways[self.find_rank(self.gateways) + 1 :]
        return []

    def find_fallback_rank(self, role: Role) -> int:
        """Return the position in the fleet-wide order of platform fallback.

        Hosts of one role are interleaved over their zones or regions, so that
        the order needs no ranking of other zones.
        """
        if role is Role.READER:
            return self.find_rank(self.readers)
        n_regions = len(self.regions)
        above = self.sizes.n_readers
        if role is Role.GATEWAY:
            region_rank = self.find_rank(self.gateways)
            return above + region_rank * n_regions + self.regions.index(self.region)
        above += self.sizes.n_gateways * n_regions
        n_zones = max(1, len(self.zones))
        zone_index = self.zones.index(self.zone) if self.zone in self.zones else 0
        return above + self.zone_rank * n_zones + zone_index
