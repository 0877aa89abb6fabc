"""Immutable routing state compiled from a configuration and a host list."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from foxtailway.model.host import Host
from foxtailway.model.version import Version

__all__ = ["Cluster", "Listener", "Route", "Secret", "Snapshot"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Listener:
    """Limits of requests from clients of the local availability zone.

    Parameters
    ----------
    max_header_size : int
        Largest accepted request header, in bytes.
    max_body_size : int
        Largest accepted request or response body, in bytes.
    max_hops : int
        Largest number of nodes in a chain of calls.
    """

    max_header_size: int
    max_body_size: int
    max_hops: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Mapping from a path prefix and methods to a cluster.

    Parameters
    ----------
    name : str
        Name of the route.
    path_prefix : str
        Prefix of the request path; the longest match wins.
    methods : frozenset of str
        Accepted HTTP methods.
    cluster : str
        Name of the cluster that serves the route.
    is_idempotent : bool
        Whether a request may safely run twice.
    timeout_s : float
        Time to the deadline of a call without one, in seconds.
    n_retries : int
        Largest number of retries of a call that did not run.
    priority : int
        Priority under overload; 0 is the highest.
    idempotency_window_s : float
        Time for which a repeated idempotency key is detected, in seconds.
    """

    name: str
    path_prefix: str
    methods: frozenset[str]
    cluster: str
    is_idempotent: bool
    timeout_s: float
    n_retries: int
    priority: int
    idempotency_window_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Cluster:
    """Limits and policies for calls to the upstreams of one service.

    Parameters
    ----------
    name : str
        Name of the service.
    n_slots : int
        Concurrent calls of one upstream.
    n_connections : int
        Connections that one upstream accepts.
    n_queued : int
        Calls that may wait for a slot of one upstream.
    queue_timeout_s : float
        Longest wait for a slot, in seconds.
    retry_ratio : float
        Ratio of retries to calls that is allowed, between 0 and 1.
    max_ejected_ratio : float
        Fraction of the endpoints that may be ejected, between 0 and 1.
    slow_start_s : float
        Time in which a new endpoint ramps up to its full share, in seconds.
    n_crash_hosts : int
        Number of distinct hosts with a crash after which a request fingerprint
        is quarantined.
    quarantine_s : float
        Time for which requests with a quarantined fingerprint are refused, in
        seconds.
    secret : str or None
        Name of the secret that is sent to the upstream.
    """

    name: str
    n_slots: int
    n_connections: int
    n_queued: int
    queue_timeout_s: float
    retry_ratio: float
    max_ejected_ratio: float
    slow_start_s: float
    n_crash_hosts: int
    quarantine_s: float
    secret: str | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Secret:
    """Credential; its value is not part of the representation.

    Parameters
    ----------
    name : str
        Name of the secret.
    value : bytes
        Credential.
    """

    name: str
    value: bytes = field(repr=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """State by which a node routes calls.

    The cluster of each route is in `clusters`, each cluster has at least one
    endpoint in `endpoints`, and each secret of a cluster is in `secrets`.

    Parameters
    ----------
    version : Version
        Version of the configuration.
    hosts_version : Version
        Version of the host list.
    zone : str
        Availability zone for which the snapshot was compiled.
    listener : Listener
        Limits of requests from clients.
    routes : tuple of Route
        Routes, the longest path prefix first.
    clusters : Mapping of str to Cluster
        Clusters by name.
    endpoints : Mapping of str to tuple of Host
        Hosts by cluster name, without leaving hosts.
    hosts : Mapping of str to Host
        All hosts by identifier, with leaving hosts.
    secrets : Mapping of str to Secret
        Secrets by name.
    withdrawn_routes : tuple of str
        Names of routes that were omitted because their cluster has no endpoint.
    zone_regions : Mapping of str to str
        Region of each availability zone.
    """

    version: Version
    hosts_version: Version
    zone: str
    listener: Listener
    routes: tuple[Route, ...]
    clusters: Mapping[str, Cluster]
    endpoints: Mapping[str, tuple[Host, ...]]
    hosts: Mapping[str, Host]
    secrets: Mapping[str, Secret]
    withdrawn_routes: tuple[str, ...]
    zone_regions: Mapping[str, str]
