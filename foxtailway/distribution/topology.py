"""Hosts of the mesh and their rendezvous order."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from heapq import nsmallest

from xxhash import xxh3_64_intdigest

from foxtailway.distribution.message import PeerAddress
from foxtailway.model.host import Host, HostState

__all__ = [
    "Topology",
    "list_top_ranked_hosts",
    "list_region_hosts",
    "rotate",
    "score_hosts",
    "sort_hosts",
    "take_first",
    "to_peers",
    "unique",
]


ScoredHost = tuple[int, str, Host]


@dataclass(frozen=True, slots=True, kw_only=True)
class Topology:
    """List the hosts of the mesh and the region of each zone.

    Parameters
    ----------
    hosts : tuple of Host
        Hosts in any order, leaving ones included.
    zone_regions : Mapping of str to str
        Region of each availability zone.
    """

    hosts: tuple[Host, ...]
    zone_regions: Mapping[str, str]


def list_region_hosts(topology: Topology, region: str) -> list[Host]:
    """Return the hosts of a region that are not about to leave."""
    regions = topology.zone_regions
    zones = {zone for zone, name in regions.items() if name == region}
    return [
        host
        for host in topology.hosts
        if host.zone in zones and host.state is HostState.LIVE
    ]


def list_top_ranked_hosts(
    topology: Topology, *, region: str, n_hosts: int
) -> list[Host]:
    """Return the `n_hosts` hosts of a region that rank first."""
    return take_first(n_hosts, score_hosts(list_region_hosts(topology, region)))


def score_hosts(hosts: Iterable[Host]) -> list[ScoredHost]:
    """Return the rendezvous scores of hosts; the lowest one ranks first."""
    return [
        (xxh3_64_intdigest(host.host_id.encode()), host.host_id, host) for host in hosts
    ]


def take_first(n_hosts: int, scored: Iterable[ScoredHost]) -> list[Host]:
    """Return the `n_hosts` hosts that rank first."""
    return [host for _, _, host in nsmallest(n_hosts, scored)]


def sort_hosts(scored: Iterable[ScoredHost]) -> list[Host]:
    """Return hosts in the order of their rank."""
    return [host for _, _, host in sorted(scored)]


def to_peers(hosts: Iterable[Host]) -> tuple[PeerAddress, ...]:
    """Return the mesh addresses of `hosts`."""
    return tuple(
        PeerAddress(host_id=host.host_id, address=host.address, port=host.mesh_port)
        for host in hosts
    )


def rotate(hosts: list[Host], offset: int) -> list[Host]:
    """Return `hosts` starting at `offset`, so that load spreads over them."""
    if not hosts:
        return []
    start = offset % len(hosts)
    return hosts[start:] + hosts[:start]


def unique(hosts: list[Host]) -> list[Host]:
    """Return `hosts` without repetitions, in order."""
    return list({host.host_id: host for host in hosts}.values())
