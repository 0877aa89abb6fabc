"""Hosts, settings and documents of a fleet of the design size on loopback addresses."""

from dataclasses import dataclass

import orjson

from benchmarks.compile_snapshot import (
    N_REGIONS,
    N_ZONES,
    build_base,
    build_overlay,
)
from foxtailway.distribution.placement import Placement, compute_placement
from foxtailway.distribution.topology import Topology, list_top_ranked_hosts
from foxtailway.model import Host, HostState
from foxtailway.settings import NodeSettings, parse_settings
from foxtailway.testing.deployment import render_section

__all__ = ["MESH", "DesignFleet", "DesignSize", "MeasuredNode", "build_edited_overlay"]

# Name of the mesh.
MESH = "large"
# Region of the platform.
STORE_REGION = "region-0"
# Region of the measured nodes outside the store's region.
MEASURED_REGION = "region-1"
# Zone of the measured heads, relay and leaf.
MEASURED_ZONE = "zone-1"
# Second octet of the addresses of the first zone.
FIRST_ZONE_OCTET = 128
# Hosts of a zone for each value of the third octet.
HOSTS_PER_OCTET = 250
# Hosts at the top of the measured zone's tree that are considered.
N_RANKED = 50
# Offset of the admin port from the first port.
ADMIN_OFFSET = 3
# Port of the discard service, for nodes without an upstream.
DISCARD_PORT = "9"
# Timeout that the overlays set for all but the edited key.
DEFAULT_TIMEOUT_MS = 900


@dataclass(frozen=True, slots=True, kw_only=True)
class DesignSize:
    """Size of the configuration and of the host list, and the first port.

    Parameters
    ----------
    n_hosts, n_services : int
        Hosts of the host list and services of the base file.
    first_port : int
        First of the ports that are used on every address.
    """

    n_hosts: int = 28_000
    n_services: int = 910
    first_port: int = 17_600


@dataclass(frozen=True, slots=True, kw_only=True)
class MeasuredNode:
    """Host whose node runs as a real process, and its role.

    Parameters
    ----------
    label : str
        Role of the node in the output.
    host : Host
        Host of the node.
    """

    label: str
    host: Host


class DesignFleet:
    """Layout of the hosts and the distribution tree derived from it.

    Parameters
    ----------
    size : DesignSize
        Size of the fleet.
    platform_url : str
        Base URL of the platform.
    """

    def __init__(self, *, size: DesignSize, platform_url: str) -> None:
        self.size = size
        self.platform_url = platform_url
        self.zone_regions = {
            f"zone-{zone}": f"region-{zone % N_REGIONS}" for zone in range(N_ZONES)
        }
        hosts = [self.make_host(index) for index in range(size.n_hosts)]
        self.hosts = {host.host_id: host for host in hosts}
        self.topology = self.make_topology(hosts)
        self.first_hosts: dict[str, list[Host]] = {}
        self.sizes = self.make_settings(hosts[0]).distribution
        self.first_hosts = {
            region: self.rank_region(region)
            for region in sorted(set(self.zone_regions.values()))
        }

    def rank_region(self, region: str) -> list[Host]:
        """Return the readers or the gateways of a region."""
        n_hosts = self.sizes.n_gateways
        if region == STORE_REGION:
            n_hosts = self.sizes.n_readers
        return list_top_ranked_hosts(self.topology, region=region, n_hosts=n_hosts)

    def make_topology(self, hosts: list[Host]) -> Topology:
        """Return the topology of some hosts."""
        return Topology(hosts=tuple(hosts), zone_regions=self.zone_regions)

    def make_host(self, index: int) -> Host:
        """Return the host with an index."""
        zone = index % N_ZONES
        octet, offset = divmod(index // N_ZONES, HOSTS_PER_OCTET)
        return Host(
            host_id=f"host-{index}",
            address=f"127.{FIRST_ZONE_OCTET + zone}.{octet}.{offset + 1}",
            mesh_port=self.size.first_port,
            zone=f"zone-{zone}",
            service=f"s{index % self.size.n_services}",
            state=HostState.LIVE,
        )

    def render_settings(self, host: Host) -> str:
        """Return the settings file of the node of a host, with default sizes."""
        region = self.zone_regions[host.zone]
        first_hosts = self.first_hosts
        seeds = [*first_hosts.get(region, ()), *first_hosts.get(STORE_REGION, ())]
        names = ("mesh_port", "client_port", "local_port", "admin_port")
        sections = {
            "host": {
                "host_id": host.host_id,
                "address": host.address,
                "zone": host.zone,
                "region": region,
                "mesh": MESH,
            },
            "listen": {
                name: str(self.size.first_port + offset)
                for offset, name in enumerate(names)
            },
            "upstream": {"service": host.service, "port": DISCARD_PORT},
            "platform": {"url": self.platform_url, "store_region": STORE_REGION},
            "distribution": {
                "seeds": " ".join(
                    dict.fromkeys(f"{seed.address}:{seed.mesh_port}" for seed in seeds)
                )
            },
        }
        return "\n".join(
            render_section(name, values) for name, values in sections.items()
        )

    def find_admin_url(self, host: Host) -> str:
        """Return the base URL of the admin port of a node."""
        return f"http://{host.address}:{host.mesh_port + ADMIN_OFFSET}"

    def make_settings(self, host: Host) -> NodeSettings:
        """Return the settings of the node of a host.

        Raises
        ------
        RuntimeError
            If the settings are invalid.
        """
        content = self.render_settings(host).encode()
        result = parse_settings(content, source=host.host_id)
        if result.is_error():
            raise RuntimeError(str(result.error))
        return result.ok

    def compute_host_placement(self, host: Host) -> Placement:
        """Return the placement of a host in the distribution tree."""
        return compute_placement(self.topology, settings=self.make_settings(host))

    def rank_zone(self, zone: str, *, n_hosts: int) -> list[Host]:
        """Return the top-ranked hosts of a zone, starting with the heads."""
        region = self.zone_regions[zone]
        hosts = [
            host
            for host in self.hosts.values()
            if host.zone == zone and host not in self.first_hosts[region]
        ]
        topology = self.make_topology(hosts)
        return list_top_ranked_hosts(topology, region=region, n_hosts=n_hosts)

    def list_measured(self) -> tuple[MeasuredNode, ...]:
        """Return the hosts on one path from the platform to a leaf."""
        zone_hosts = self.rank_zone(MEASURED_ZONE, n_hosts=N_RANKED)
        heads = zone_hosts[: self.sizes.n_heads]
        members = zone_hosts[self.sizes.n_heads :]
        relay = members[0]
        leaf = next(
            host
            for host in members
            if self.compute_host_placement(host).candidates[0].host_id == relay.host_id
        )
        groups = {
            "reader": self.first_hosts[STORE_REGION],
            "gateway": self.first_hosts[MEASURED_REGION],
            "head": heads,
            "member with children": [relay],
            "leaf": [leaf],
        }
        return tuple(
            MeasuredNode(label=label, host=host)
            for label, hosts in groups.items()
            for host in hosts
        )

    def list_children(self, measured: tuple[MeasuredNode, ...]) -> dict[str, str]:
        """Return the other hosts whose preferred parent is a measured host.

        Returns
        -------
        dict of str to str
            Identifier of the preferred parent by identifier of the child.
        """
        measured_ids = {node.host.host_id for node in measured}
        hosts = self.rank_zone(MEASURED_ZONE, n_hosts=N_RANKED)
        for region_hosts in self.first_hosts.values():
            hosts += region_hosts
        for zone, region in self.zone_regions.items():
            if region in (STORE_REGION, MEASURED_REGION):
                hosts += self.rank_zone(zone, n_hosts=self.sizes.n_heads)
        parents = {}
        for host in hosts:
            candidates = self.compute_host_placement(host).candidates
            if host.host_id in measured_ids or not candidates:
                continue
            if candidates[0].host_id in measured_ids:
                parents[host.host_id] = candidates[0].host_id
        return parents

    def render_hosts(self, zone: str, *, leaving: frozenset[str]) -> bytes:
        """Return the host list of a zone, one JSON array per line.

        Parameters
        ----------
        zone : str
            Availability zone.
        leaving : frozenset of str
            Identifiers of the hosts that are listed as leaving.
        """
        lines = []
        for host in self.hosts.values():
            if host.zone != zone:
                continue
            is_leaving = host.host_id in leaving
            state = HostState.LEAVING if is_leaving else HostState.LIVE
            fields = [
                host.host_id,
                host.address,
                host.mesh_port,
                host.service,
                state.value,
            ]
            lines.append(orjson.dumps(fields))
        return b"\n".join(lines)

    def list_values(self) -> dict[str, bytes]:
        """Return the published values by key; the base file is the last one."""
        values = {}
        for zone in range(N_ZONES):
            values[f"overlay/zone-{zone}"] = build_edited_overlay(zone, 0)
            values[f"hosts/zone-{zone}"] = self.render_hosts(
                f"zone-{zone}", leaving=frozenset()
            )
        values["base"] = build_base(1000, n_services=self.size.n_services)
        return values


def build_edited_overlay(zone: int, number: int) -> bytes:
    """Return the overlay of a site; the number is added to one timeout."""
    overlay = build_overlay(zone, DEFAULT_TIMEOUT_MS)
    default = f"timeout = {DEFAULT_TIMEOUT_MS}ms".encode()
    edited = f"timeout = {DEFAULT_TIMEOUT_MS + number}ms".encode()
    return overlay.replace(default, edited, 1)
