"""Data classes of the settings of one node, one for each section."""

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
    """Section ``host``: identity of the host.

    Parameters
    ----------
    host_id : str
        Identifier, unique in the mesh.
    address : str
        IP address that the node listens on and connects from.
    zone, region : str
        Availability zone of the host, and the region of that zone.
    mesh : str
        Name of the mesh; peers of another mesh are refused.
    """

    host_id: str
    address: str
    zone: str
    region: str
    mesh: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ListenSettings:
    """Section ``listen``: TCP ports of the node.

    Parameters
    ----------
    mesh_port : int
        Port for other nodes.
    client_port : int
        Port for clients; mesh headers are removed from their requests.
    local_port : int
        Port for calls made by the local upstream.
    admin_port : int
        Port for operators and metrics.
    """

    mesh_port: int
    client_port: int
    local_port: int
    admin_port: int


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamSettings:
    """Section ``upstream``: the local upstream.

    Parameters
    ----------
    service : str
        Service to which the upstream belongs.
    address : str
        IP address of the upstream.
    port : int
        TCP port of the upstream's HTTP server.
    connect_timeout_s : float
        Timeout of a connection attempt, in seconds.
    """

    service: str
    address: str
    port: int
    connect_timeout_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSettings:
    """Section ``platform``: the platform's configuration service.

    Parameters
    ----------
    url : str
        Base URL of the service.
    store_region : str
        Region in which the service runs.
    watch_s : float
        Maximum duration of one watch (long poll), in seconds.
    timeout_s : float
        Timeout of a call that is not a watch, in seconds.
    calls_per_s : float
        Maximum rate of calls by all nodes that fall back to the platform, in calls
        per second.
    """

    url: str
    store_region: str
    watch_s: float
    timeout_s: float
    calls_per_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class SeedAddress:
    """Mesh address of a seed, a node to contact before a host list is known."""

    address: str
    port: int


@dataclass(frozen=True, slots=True, kw_only=True)
class DistributionSettings:
    """Section ``distribution``: exchange of versions between nodes.

    Parameters
    ----------
    seeds : tuple of SeedAddress
        Nodes to contact before a host list is known.
    fan_out : int
        Maximum number of children that a node updates at a time.
    n_readers : int
        Number of readers: nodes of the store's region that watch the platform.
    n_gateways : int
        Number of gateways in every other region: nodes that are updated over the
        link between regions.
    n_heads : int
        Number of heads in every availability zone: nodes that are updated from
        outside the zone.
    heartbeat_s : float
        Interval of heartbeats, in seconds.
    silence_s : float
        Time without a message after which a peer is disconnected, in seconds.
    stale_s : float
        Age of the platform's last confirmation above which a node compares its
        parent with other candidates, in seconds.
    bootstrap_timeout_s : float
        Time for which a node without a version queries its peers before it
        applies the newest version found, in seconds.
    n_bootstrap_peers : int
        Number of peers that a node without a version queries.
    retry_base_s, retry_max_s : float
        Initial and maximum interval between reconnects, in seconds.
    connect_timeout_s : float
        Timeout of a connection attempt to a peer, in seconds.
    hosts_coalesce_s : float
        Time for which a reader coalesces changes of the host lists, in seconds.
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
    """Section ``calls``: calls between nodes.

    Parameters
    ----------
    connect_timeout_s : float
        Timeout of a connection attempt to another node, in seconds.
    heartbeat_s : float
        Interval of heartbeats on open streams, in seconds.
    silence_s : float
        Time without a message after which a stream is closed, in seconds.
    stop_timeout_s : float
        Maximum time that a graceful shutdown waits for calls, in seconds.
    max_in_flight : int
        Maximum number of calls in flight in the node.
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
        Maximum number of entries of the audit trail.
    """

    host: HostSettings
    listen: ListenSettings
    upstream: UpstreamSettings
    platform: PlatformSettings
    distribution: DistributionSettings
    calls: CallSettings
    log_level: str
    audit_size: int
