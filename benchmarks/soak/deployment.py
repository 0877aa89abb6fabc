"""Hosts, settings and configurations of a soak."""

from dataclasses import dataclass

import msgpack

from foxtailway.testing.deployment import N_SUBNET_REGIONS

__all__ = [
    "APPLY_S",
    "COLD_BOUND",
    "COLD_START_S",
    "CONFIG_KEY",
    "DRAIN_S",
    "EVACUATE_S",
    "EVACUATION_PREFIX",
    "HEALTH_PATH",
    "KINDS",
    "PORTS",
    "RETRY_RATIO",
    "RETRY_SLACK",
    "RETRY_WINDOW_S",
    "RequestKind",
    "SoakHost",
    "UPSTREAM_PREFIX",
    "list_allowed_services",
    "make_configuration",
    "make_entry",
    "make_hosts",
    "make_settings",
]

CONFIG_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
UPSTREAM_PREFIX = "servers/"
SERVICES = ("records", "dispatch")
ZONES = {"zone-a": "east", "zone-b": "east", "zone-c": "west"}
ROUTED_HOST = "soak.example"
HEALTH_PATH = "/health"
# Bounds that the nodes are told and that the checks use, in seconds.
APPLY_S = 3.0
DRAIN_S = 3.0
GRACE_S = 5.0
EVACUATE_S = 5.0
# Time for which an upstream is cold after its start, in seconds, and the requests a
# second that it then sustains. They are few against the load of about 25 a second, so
# that upstreams without the limit get more than the bound.
COLD_START_S = 4
COLD_RATE_PER_S = 6
COLD_OVERAGE = 1.5
COLD_SLACK = 5
# Requests that a cold upstream may get in any second.
COLD_BOUND = COLD_RATE_PER_S * COLD_OVERAGE + COLD_SLACK
# Retry budget of all nodes together, for each service and window.
RETRY_RATIO = 0.2
RETRY_SLACK = 60.0
RETRY_WINDOW_S = 10.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Ports:
    """Ports that are the same on all hosts; each host has addresses of its own."""

    peer: int = 8300
    upstream: int = 8301
    ready: int = 8302
    client: int = 8304
    store: int = 8309
    control: int = 8310
    metrics: int = 9464


PORTS = Ports()


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestKind:
    """Kind of request that the clients send.

    Parameters
    ----------
    prefix : str
        Path prefix of its route.
    method : str
        HTTP method.
    route_type : str
        Whether it may run more than once, in the platform's words.
    body_size : int
        Size of its body, in bytes.
    share : float
        Weight among the kinds.
    """

    prefix: str
    method: str
    route_type: str
    body_size: int
    share: float

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.route_type == "safe"


KINDS = (
    RequestKind(
        prefix="/lookup/", method="GET", route_type="safe", body_size=0, share=4.0
    ),
    RequestKind(
        prefix="/order/", method="POST", route_type="unsafe", body_size=200, share=4.0
    ),
    RequestKind(
        prefix="/upload/", method="POST", route_type="upload", body_size=60_000, share=1
    ),
    RequestKind(
        prefix="/moving/", method="GET", route_type="safe", body_size=0, share=1.0
    ),
)


@dataclass(frozen=True, slots=True, kw_only=True)
class SoakHost:
    """Host with one upstream and one node.

    Parameters
    ----------
    index : int
        Number of the host, from 1.
    zone, service : str
        Availability zone, and service of its upstream.
    inner : str
        Address on which its node listens and at which its clients reach it.
    outer : str
        Address that is registered: the upstream listens there, and a proxy leads
        from it to the node.
    """

    index: int
    zone: str
    service: str
    inner: str
    outer: str

    @property
    def name(self) -> str:
        """Name of the host."""
        return f"host-{self.index}"


def make_hosts(n_hosts: int, subnet: int) -> tuple[SoakHost, ...]:
    """Return the hosts of a soak in a subnet of the loopback network."""
    base = subnet * N_SUBNET_REGIONS
    zones = tuple(ZONES)
    return tuple(
        SoakHost(
            index=index,
            zone=zones[index % len(zones)],
            service=SERVICES[index // len(zones) % len(SERVICES)],
            inner=f"127.{base}.1.{index}",
            outer=f"127.{base}.2.{index}",
        )
        for index in range(1, n_hosts + 1)
    )


def make_settings(host: SoakHost, *, is_first_start: bool) -> str:
    """Return the settings file of the node on a host."""
    fields = {
        "node_name": host.name,
        "zone": host.zone,
        "service": host.service,
        **{f"zones.{zone}": region for zone, region in ZONES.items()},
        "listen_addrs.inbound": f"{host.inner}:{PORTS.peer}",
        "listen_addrs.outbound": f"{host.inner}:{PORTS.client}",
        "listen_addrs.ready": f"{host.inner}:{PORTS.ready}",
        "app_addr": f"{host.outer}:{PORTS.upstream}",
        "platform.address": f"{host.inner}:{PORTS.store}",
        "limits.link_mbps": "100.0",
        "limits.cpu_share": "1.0",
        "limits.cpu_cores": "1",
        "limits.memory_mb": "200",
        "bounds.config_apply": str(int(APPLY_S * 1000)),
        "bounds.grace": str(GRACE_S),
        "bounds.cold_overage": str(COLD_OVERAGE),
        "bounds.cold_slack": str(COLD_SLACK),
        "bounds.retry_budget_ratio": str(RETRY_RATIO),
        "bounds.retry_window": str(RETRY_WINDOW_S),
        "bounds.retry_budget_slack": str(int(RETRY_SLACK)),
        "bootstrap": "true" if is_first_start else "false",
    }
    return "".join(f"{name}={value}\n" for name, value in fields.items())


def list_allowed_services(prefix: str) -> tuple[str, ...]:
    """Return the services to which some configuration sends a kind of request."""
    if prefix == "/moving/":
        return SERVICES
    return SERVICES[:1] if prefix == "/lookup/" else SERVICES[1:]


def make_configuration(version: int) -> bytes:
    """Return a packed configuration; each version moves one route."""
    rows = []
    for kind in KINDS:
        services = list_allowed_services(kind.prefix)
        rows.append(
            [
                f"route{kind.prefix.replace('/', '-')}",
                ROUTED_HOST,
                kind.prefix,
                kind.route_type,
                1_500,
                500,
                1,
                services[version % len(services)],
                3,
            ]
        )
    columns = (
        "name host prefix route_type timeout target_latency priority service"
        " max_attempts"
    )
    return msgpack.packb(
        {
            "version": version,
            "limits": {"idle_timeout": 15_000, "max_body_bytes": 1_000_000},
            "routes": {"columns": columns.split(), "rows": rows},
            "services": {
                "columns": ["name", "health_path", "cold_start", "cold_per_s"],
                "rows": [
                    [service, HEALTH_PATH, COLD_START_S, COLD_RATE_PER_S]
                    for service in SERVICES
                ],
            },
        }
    )


def make_entry(
    host: SoakHost,
    *,
    state: str,
    n_slots: int,
    start_time_ms: int,
    sequence: int,
    cold_remaining_ms: int,
) -> bytes:
    """Return the packed registry entry of the upstream on a host."""
    return msgpack.packb(
        {
            "address": f"{host.outer}:{PORTS.upstream}",
            "born": start_time_ms,
            "info": {
                "service": host.service,
                "version": "v1",
                "zone": host.zone,
                "slots": n_slots,
            },
            "status": {
                "state": state,
                "sequence": sequence,
                "cold_remaining": cold_remaining_ms,
            },
        }
    )
