"""Roles and candidate parents, which every node derives independently."""

from dataclasses import dataclass
from enum import IntEnum

from xxhash import xxh3_64_intdigest

from foxtailway.distribution.message import PeerAddress
from foxtailway.distribution.topology import (
    Topology,
    list_region_hosts,
    make_peer_addresses,
    remove_duplicates,
    rotate,
    score_hosts,
    select_top_ranked,
    sort_hosts,
)
from foxtailway.model.host import Host
from foxtailway.settings.model import NodeSettings, SeedAddress

__all__ = ["Placement", "Role", "compute_placement"]

# Hosts of the zone that a member may dial besides its tree parent.
N_ALTERNATES = 4


class Role(IntEnum):
    """Level of a host between the platform and the members, nearest first.

    Readers query the platform. Gateways, one set for each other region, connect to
    readers, and heads, one set for each zone, to the gateways of their region or,
    in the region of the store, to readers. Members form a tree below the heads.
    """

    READER = 0
    GATEWAY = 1
    HEAD = 2
    MEMBER = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class Placement:
    """Role and possible parents of one host.

    Parameters
    ----------
    role : Role
        Role of the host, the one nearest to the platform if several apply.
    candidates : tuple of PeerAddress
        Possible parents, the preferred one first. Each ranks strictly higher,
        so that parents form no loop.
    comparison_peers : tuple of PeerAddress
        Nodes probed when the parent is stale, selected so that no node is
        probed by many others.
    backup_parents : tuple of PeerAddress
        Lower-ranked nodes of the same role, dialed only when the host can reach
        neither the platform nor a candidate.
    fallback_rank : int
        Position in the order in which hosts fall back to the platform.
    n_hosts : int
        Number of hosts in the topology, at least 1.
    is_relay : bool
        Whether other hosts may have this one as preferred parent.
    listed_seeds : frozenset of SeedAddress
        Seeds that the topology lists in the region of the host or of the store.
    """

    role: Role
    candidates: tuple[PeerAddress, ...]
    comparison_peers: tuple[PeerAddress, ...]
    backup_parents: tuple[PeerAddress, ...]
    fallback_rank: int
    n_hosts: int
    is_relay: bool
    listed_seeds: frozenset[SeedAddress]


def compute_placement(topology: Topology, *, settings: NodeSettings) -> Placement:
    """Return the placement of the host of `settings`.

    Only hosts in the regions of this host and of the store are hashed, and only
    those of its zone are sorted, so that the cost stays low in large fleets.

    Parameters
    ----------
    topology : Topology
        Current hosts; the host itself may be missing.
    settings : NodeSettings
        Identity of the host and the sizes of the roles.

    Returns
    -------
    Placement
        Role, candidate parents and fallback rank.
    """
    return PlacementCalculator(topology, settings=settings).compute()


class PlacementCalculator:
    """Compute the placement of one host within one topology.

    Parameters
    ----------
    topology : Topology
        Current hosts.
    settings : NodeSettings
        Identity of the host and the sizes of the roles.
    """

    def __init__(self, topology: Topology, *, settings: NodeSettings) -> None:
        self.topology = topology
        self.distribution_settings = settings.distribution
        self.host_id = settings.host.host_id
        self.zone = settings.host.zone
        self.region = settings.host.region
        self.store_region = settings.platform.store_region
        regions = topology.zone_regions
        self.zones = sorted(regions)
        self.regions = sorted(set(regions.values()) | {self.region})
        store_hosts = list_region_hosts(topology, self.store_region)
        region_hosts = store_hosts
        self.readers = select_top_ranked(
            self.distribution_settings.n_readers, score_hosts(store_hosts)
        )
        self.gateways = self.readers
        if self.region != self.store_region:
            region_hosts = list_region_hosts(topology, self.region)
            self.gateways = select_top_ranked(
                self.distribution_settings.n_gateways, score_hosts(region_hosts)
            )
        gateway_ids = {host.host_id for host in self.gateways}
        self.zone_order = sort_hosts(
            score_hosts(
                host
                for host in region_hosts
                if host.zone == self.zone and host.host_id not in gateway_ids
            )
        )
        self.zone_rank = self.find_rank(self.zone_order)
        self.listed_seeds = self.find_listed_seeds(store_hosts, region_hosts)

    def find_listed_seeds(
        self, store_hosts: list[Host], region_hosts: list[Host]
    ) -> frozenset[SeedAddress]:
        """Return the seeds whose addresses belong to the given hosts."""
        seed_addresses = {seed.address for seed in self.distribution_settings.seeds}
        listed = {
            SeedAddress(address=host.address, port=host.mesh_port)
            for hosts in (store_hosts, region_hosts)
            for host in hosts
            if host.address in seed_addresses
        }
        return frozenset(listed.intersection(self.distribution_settings.seeds))

    def find_rank(self, hosts: list[Host]) -> int:
        """Return the position of the host in `hosts`, or their number if absent."""
        for rank, host in enumerate(hosts):
            if host.host_id == self.host_id:
                return rank
        return len(hosts)

    def compute(self) -> Placement:
        """Return the placement of the host."""
        role = self.find_role()
        candidates = self.list_candidates(role)
        backup_parents = self.list_backup_parents(role)
        comparison_peers = candidates + backup_parents
        if role is Role.MEMBER:
            comparison_peers = remove_duplicates(self.list_tree_parents())
        return Placement(
            role=role,
            candidates=make_peer_addresses(candidates),
            comparison_peers=make_peer_addresses(comparison_peers),
            backup_parents=make_peer_addresses(backup_parents),
            fallback_rank=self.find_fallback_rank(role),
            n_hosts=max(1, len(self.topology.hosts)),
            is_relay=role is not Role.MEMBER or self.has_tree_children(),
            listed_seeds=self.listed_seeds,
        )

    def find_role(self) -> Role:
        """Return the role of the host, the nearest to the platform that applies."""
        if self.find_rank(self.gateways) < len(self.gateways):
            if self.region == self.store_region:
                return Role.READER
            return Role.GATEWAY
        if self.zone_rank < self.distribution_settings.n_heads:
            return Role.HEAD
        return Role.MEMBER

    def has_tree_children(self) -> bool:
        """Return whether a host of the zone has this one as tree parent."""
        first_child = (
            self.distribution_settings.n_heads
            + self.zone_rank * self.distribution_settings.fan_out
        )
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
        region_parents = rotate(self.gateways, zone_offset + self.zone_rank)
        if role is Role.HEAD:
            if self.region != self.store_region:
                region_parents = region_parents + rotate(self.readers, region_offset)
            return remove_duplicates(region_parents + self.zone_order[: self.zone_rank])
        heads = rotate(
            self.zone_order[: self.distribution_settings.n_heads], self.zone_rank
        )
        return remove_duplicates(self.list_tree_parents() + heads + region_parents)

    def list_tree_parents(self) -> list[Host]:
        """Return the tree parent and other hosts of the zone that rank higher.

        The other hosts are selected by a hash of the host identifier, which spreads
        them over the zone.
        """
        tree_rank = (
            self.zone_rank - self.distribution_settings.n_heads
        ) // self.distribution_settings.fan_out
        parents = [self.zone_order[tree_rank]] if self.zone_order else []
        for index in range(N_ALTERNATES):
            score = xxh3_64_intdigest(self.host_id.encode(), seed=index + 1)
            parents.append(self.zone_order[score % self.zone_rank])
        return parents

    def list_backup_parents(self, role: Role) -> list[Host]:
        """Return the lower-ranked hosts of the same role, for readers and gateways."""
        if role in (Role.READER, Role.GATEWAY):
            return self.gateways[self.find_rank(self.gateways) + 1 :]
        return []

    def find_fallback_rank(self, role: Role) -> int:
        """Return the position in the fleet-wide order of the platform fallback.

        Hosts of one role are interleaved over their zones or regions, so that a
        host does not have to rank the hosts of other zones.
        """
        if role is Role.READER:
            return self.find_rank(self.readers)
        n_regions = len(self.regions)
        n_preceding = self.distribution_settings.n_readers
        if role is Role.GATEWAY:
            region_rank = self.find_rank(self.gateways)
            return (
                n_preceding + region_rank * n_regions + self.regions.index(self.region)
            )
        n_preceding += self.distribution_settings.n_gateways * n_regions
        n_zones = max(1, len(self.zones))
        zone_index = self.zones.index(self.zone) if self.zone in self.zones else 0
        return n_preceding + self.zone_rank * n_zones + zone_index
