"""Settings of one node."""

from dataclasses import dataclass

__all__ = [
    "CallSettings",
    "DistributionSettings",
    "HostSettings",
    "ListenSettings",
    "NodeSettings",
    "PlatformSettings",
    "SeedAddress",
    "UpstreamSettings",
]


@dataclass(frozen=True, slots=True, kw_only=True)
class HostSettings:
    """Identity of the host: section ``host``.

    Parameters
    ----------
    host_id : str
        Identifier, unique in the mesh.
    address : str
        IP address on which the node listens and from which it connects.
    zone, region : str
        Availability zone of the host and the region of that zone.
    mesh : str
        Name of the mesh; nodes of other meshes are refused.
    """

    host_id: str
    address: str
    zone: str
    region: str
    mesh: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ListenSettings:
    """TCP ports of the node: section ``listen``.

    Parameters
    ----------
    mesh_port : int
        Port for other nodes.
    client_port : int
        Port for clients, whose mesh headers are removed.
    local_port : int
        Port for calls made by this host's own upstream.
    admin_port : int
        Port for operators and metrics.
    """

    mesh_port: int
    client_port: int
    local_port: int
    admin_port: int


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamSettings:
    """The host's own upstream: section ``upstream``.

    Parameters
    ----------
    service : str
        Service to which the upstream belongs.
    address : str
        IP address of the upstream.
    port : int
        TCP port of the upstream's HTTP server.
    connect_timeout_s : float
        Longest time to connect, in seconds.
    """

    service: str
    address: str
    port: int
    connect_timeout_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSettings:
    """The platform's configuration service: section ``platform``.

    Parameters
    ----------
    url : str
        Base URL of the service.
    store_region : str
        Region in which the service runs.
    watch_s : float
        Longest wait of one watch, in seconds.
    timeout_s : float
        Time after which a call that does not wait has failed, in seconds.
    calls_per_s : float
        Budget of calls per second shared by all nodes that fall back.
    """

    url: str
    store_region: str
    watch_s: float
    timeout_s: float
    calls_per_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class SeedAddress:
    """Mesh address of a node that is asked before a host list is known."""

    address: str
    port: int


@dataclass(frozen=True, slots=True, kw_only=True)
class DistributionSettings:
    """Exchange of versions between nodes: section ``distribution``.

    Parameters
    ----------
    seeds : tuple of SeedAddress
        Nodes that are asked before a host list is known.
    fan_out : int
        Children that a node feeds at a time.
    n_readers : int
        Nodes of the store's region that watch the platform.
    n_gateways : int
        Nodes of every other region that are fed over the link.
    n_heads : int
        Nodes of every zone that are fed from outside the zone.
    heartbeat_s : float
        Interval of heartbeats, in seconds.
    silence_s : float
        Silence after which a peer is left, in seconds.
    stale_s : float
        Age of the platform's last confirmation above which a parent is
        compared with others, in seconds.
    bootstrap_timeout_s : float
        Time for which a node without a version asks its peers before it
        takes the newest version found, in seconds.
    n_bootstrap_peers : int
        Peers that a node without a version asks.
    retry_base_s, retry_max_s : float
        First and largest interval of reconnects, in seconds.
    connect_timeout_s : float
        Longest time to connect to a peer, in seconds.
    hosts_coalesce_s : float
        Time over which a reader collects changes of the host list, in seconds.
    """

    seeds: tuple[SeedAddress, ...]
    fan_out: int
    n_readers: int
    n_gateways: int
    n_heads: int
    heartbeat_s: float
    silence_s: float
    stale_s: float
    bootstrap_timeout_s: float
    n_bootstrap_peers: int
    retry_base_s: float
    retry_max_s: float
    connect_timeout_s: float
    hosts_coalesce_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class CallSettings:
    """Calls between nodes: section ``calls``.

    Parameters
    ----------
    connect_timeout_s : float
        Longest time to connect to another node, in seconds.
    heartbeat_s : float
        Interval of heartbeats on open streams, in seconds.
    silence_s : float
        Silence after which a stream is left, in seconds.
    stop_timeout_s : float
        Longest time that a graceful shutdown waits for calls, in seconds.
    max_in_flight : int
        Calls that the node carries at a time.
    max_message_size : int
        Largest message between nodes, in bytes.
    """

    connect_timeout_s: float
    heartbeat_s: float
    silence_s: float
    stop_timeout_s: float
    max_in_flight: int
    max_message_size: int


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeSettings:
    """All settings of a node.

    Parameters
    ----------
    host, listen, upstream, platform, distribution, calls
        Sections of the settings file.
    log_level : str
        Least severe level that is logged, for example ``INFO``.
    audit_size : int
        Entries kept in the audit trail.
    """

    host: HostSettings
    listen: ListenSettings
    upstream: UpstreamSettings
    platform: PlatformSettings
    distribution: DistributionSettings
    calls: CallSettings
    log_level: str
    audit_size: int
