"""Layout of a small deployment on loopback addresses."""

from collections.abc import Sequence
from dataclasses import dataclass, field

import orjson

from foxtailway.model.host import HostState

__all__ = ["Deployment", "HostPlan", "ZonePlan", "plan_deployment"]

# Port of a node for other nodes.
MESH_PORT = 7000
# Port of a node for clients.
CLIENT_PORT = 7001
# Port of a node for the calls of its local upstream.
LOCAL_PORT = 7002
# Port of a node for operators and metrics.
ADMIN_PORT = 7003
# Port of the upstream.
UPSTREAM_PORT = 7004
# Port of the platform.
PLATFORM_PORT = 6000
# Port of the link that expects a line with the target.
LINK_PORT = 6100
# Port of the link's counters and state.
LINK_CONTROL_PORT = 6101
# Port of the link that leads to the platform for nodes of remote regions.
LINK_PLATFORM_PORT = 6102
# Port of the link that leads to the platform for naive pollers.
LINK_NAIVE_PORT = 6103
# Second octets reserved for a subnet: one for the platform, one for each region.
N_SUBNET_REGIONS = 8


@dataclass(frozen=True, slots=True, kw_only=True)
class ZonePlan:
    """Availability zone and its region."""

    zone: str
    region: str


@dataclass(frozen=True, slots=True, kw_only=True)
class HostPlan:
    """Host of a deployment."""

    host_id: str
    address: str
    zone: str
    region: str
    service: str

    @property
    def admin_address(self) -> str:
        """Return address and admin port as ``address:port``."""
        return f"{self.address}:{ADMIN_PORT}"

    @property
    def client_url(self) -> str:
        """Return the base URL for clients."""
        return f"http://{self.address}:{CLIENT_PORT}"

    @property
    def local_url(self) -> str:
        """Return the base URL for the calls of the local upstream."""
        return f"http://{self.address}:{LOCAL_PORT}"

    @property
    def upstream_url(self) -> str:
        """Return the base URL of the upstream."""
        return f"http://{self.address}:{UPSTREAM_PORT}"


@dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """Hosts and external systems of a deployment.

    Parameters
    ----------
    mesh : str
        Name of the mesh.
    store_region : str
        Region of the platform.
    subnet : int
        Subnet of the loopback network, 0 to 31; deployments that run at the same
        time need different ones.
    hosts : tuple of HostPlan
        All hosts.
    overrides : dict, default={}
        Settings by section that replace those of every node.
    """

    mesh: str
    store_region: str
    subnet: int
    hosts: tuple[HostPlan, ...]
    overrides: dict[str, dict[str, str]] = field(default_factory=dict)

    @property
    def platform_address(self) -> str:
        """Return the IP address of the platform and of the link."""
        return f"127.{self.subnet * N_SUBNET_REGIONS}.0.1"

    @property
    def platform_url(self) -> str:
        """Return the base URL of the platform in the store's region."""
        return f"http://{self.platform_address}:{PLATFORM_PORT}"

    @property
    def link_control_url(self) -> str:
        """Return the URL of the link's counters and state."""
        return f"http://{self.platform_address}:{LINK_CONTROL_PORT}/"

    def find(self, host_id: str) -> HostPlan:
        """Return the host with an identifier; raises StopIteration if there is none."""
        return next(host for host in self.hosts if host.host_id == host_id)

    def list_zone(self, zone: str) -> tuple[HostPlan, ...]:
        """Return the hosts of an availability zone."""
        return tuple(host for host in self.hosts if host.zone == zone)

    def list_region(self, region: str) -> tuple[HostPlan, ...]:
        """Return the hosts of a region."""
        return tuple(host for host in self.hosts if host.region == region)

    def render_hosts(
        self, zone: str, *, leaving: frozenset[str] = frozenset()
    ) -> bytes:
        """Return the host list of an availability zone, one JSON array per line.

        Parameters
        ----------
        zone : str
            Availability zone.
        leaving : frozenset of str, default=frozenset()
            Identifiers of the hosts that are listed as leaving.
        """
        lines = []
        for host in self.list_zone(zone):
            state = HostState.LEAVING if host.host_id in leaving else HostState.LIVE
            fields = [
                host.host_id,
                host.address,
                MESH_PORT,
                host.service,
                state.value,
            ]
            lines.append(orjson.dumps(fields))
        return b"\n".join(lines) + b"\n"

    def render_settings(self, host: HostPlan) -> str:
        """Return the settings file of the node of a host."""
        seeds = [other for other in self.hosts if other.region == host.region][:3]
        is_store_region = host.region == self.store_region
        platform_port = PLATFORM_PORT if is_store_region else LINK_PLATFORM_PORT
        sections: dict[str, dict[str, str]] = {
            "host": {
                "host_id": host.host_id,
                "address": host.address,
                "zone": host.zone,
                "region": host.region,
                "mesh": self.mesh,
            },
            "listen": {
                "mesh_port": str(MESH_PORT),
                "client_port": str(CLIENT_PORT),
                "local_port": str(LOCAL_PORT),
                "admin_port": str(ADMIN_PORT),
            },
            "upstream": {
                "service": host.service,
                "address": host.address,
                "port": str(UPSTREAM_PORT),
            },
            "platform": {
                "url": f"http://{self.platform_address}:{platform_port}",
                "store_region": self.store_region,
            },
            "distribution": {
                "seeds": " ".join(f"{seed.address}:{MESH_PORT}" for seed in seeds)
            },
        }
        for section, values in self.overrides.items():
            sections.setdefault(section, {}).update(values)
        return "\n".join(
            render_section(name, values) for name, values in sections.items()
        )


def render_section(name: str, values: dict[str, str]) -> str:
    """Return one INI section."""
    lines = [f"[{name}]", *(f"{key} = {value}" for key, value in values.items())]
    return "\n".join(lines) + "\n"


def plan_deployment(
    *,
    mesh: str,
    store_region: str,
    subnet: int,
    zones: Sequence[ZonePlan],
    services: Sequence[str],
    n_extra_upstreams: int = 0,
    overrides: dict[str, dict[str, str]] | None = None,
) -> Deployment:
    """Return a deployment with one upstream of each service in each availability zone.

    Parameters
    ----------
    mesh, store_region, subnet
        See `Deployment`.
    zones : sequence of ZonePlan
        Availability zones.
    services : sequence of str
        Names of the services; each host runs one of them.
    n_extra_upstreams : int, default=0
        Additional upstreams of the first service in the first zone.
    overrides : dict, default=None
        Settings by section that replace those of every node.

    Returns
    -------
    Deployment
        Layout of the hosts; the second octet of an address identifies the region.
    """
    regions = list(dict.fromkeys(zone.region for zone in zones))
    hosts = []
    for zone_index, zone in enumerate(zones):
        zone_services = list(services)
        if zone_index == 0:
            zone_services += [services[0]] * n_extra_upstreams
        octet = subnet * N_SUBNET_REGIONS + 1 + regions.index(zone.region)
        for host_index, service in enumerate(zone_services):
            hosts.append(
                HostPlan(
                    host_id=f"{zone.zone}-{host_index + 1}",
                    address=f"127.{octet}.{zone_index + 1}.{host_index + 1}",
                    zone=zone.zone,
                    region=zone.region,
                    service=service,
                )
            )
    return Deployment(
        mesh=mesh,
        store_region=store_region,
        subnet=subnet,
        hosts=tuple(hosts),
        overrides=overrides or {},
    )
