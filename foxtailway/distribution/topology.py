"""Hosts of the mesh and their order by rendezvous hashing."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from heapq import nsmallest

from xxhash import xxh3_64_intdigest

from foxtailway.distribution.message import PeerAddress
from foxtailway.model.host import Host, HostState

__all__ = [
    "Topology",
    "list_region_hosts",
    "list_top_ranked_hosts",
    "make_peer_addresses",
    "remove_duplicates",
    "rotate",
    "score_hosts",
    "select_top_ranked",
    "sort_hosts",
]


ScoredHost = tuple[int, str, Host]


@dataclass(frozen=True, slots=True, kw_only=True)
class Topology:
    """Hosts of the mesh and the region of each zone.

    Parameters
    ----------
    hosts : tuple of Host
        Hosts in any order, including those that are leaving.
    zone_regions : Mapping of str to str
        Region of each availability zone.
    """

    hosts: tuple[Host, ...]
    zone_regions: Mapping[str, str]


def list_region_hosts(topology: Topology, region: str) -> list[Host]:
    """Return the live hosts of a region, without those that are leaving."""
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
    """Return the `n_hosts` top-ranked hosts of a region."""
    return select_top_ranked(n_hosts, score_hosts(list_region_hosts(topology, region)))


def score_hosts(hosts: Iterable[Host]) -> list[ScoredHost]:
    """Return the rendezvous scores of hosts; the lowest score ranks first."""
    return [
        (xxh3_64_intdigest(host.host_id.encode()), host.host_id, host) for host in hosts
    ]


def select_top_ranked(n_hosts: int, scored: Iterable[ScoredHost]) -> list[Host]:
    """Return the `n_hosts` top-ranked hosts in order."""
    return [host for _, _, host in nsmallest(n_hosts, scored)]


def sort_hosts(scored: Iterable[ScoredHost]) -> list[Host]:
    """Return all hosts in order of their rank."""
    return [host for _, _, host in sorted(scored)]


def make_peer_addresses(hosts: Iterable[Host]) -> tuple[PeerAddress, ...]:
    """Return the addresses of the mesh listeners of `hosts`."""
    return tuple(
        PeerAddress(host_id=host.host_id, address=host.address, port=host.mesh_port)
        for host in hosts
    )


def rotate(hosts: list[Host], offset: int) -> list[Host]:
    """Return `hosts` rotated by `offset`, so that load spreads over them."""
    if not hosts:
        return []
    start = offset % len(hosts)
    return hosts[start:] + hosts[:start]


def remove_duplicates(hosts: list[Host]) -> list[Host]:
    """Return `hosts` without duplicates, in order of first occurrence."""
    return list({host.host_id: host for host in hosts}.values())
