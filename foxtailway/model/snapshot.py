"""Immutable routing state compiled from a configuration and a host list."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from foxtailway.model.host import Host
from foxtailway.model.version import Version

__all__ = ["Cluster", "Listener", "Route", "Secret", "Snapshot"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Listener:
    """Describe what the node accepts from callers of this site.

    Parameters
    ----------
    max_header_size : int
        Largest accepted request header, in bytes.
    max_body_size : int
        Largest accepted request or response body, in bytes.
    max_hops : int
        Largest number of nodes that a chain of calls may pass.
    """

    max_header_size: int
    max_body_size: int
    max_hops: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Map a path prefix and methods to a cluster.

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
        Whether running a request twice is harmless.
    timeout_s : float
        Deadline given to a call that brings none, in seconds.
    n_retries : int
        Largest number of retries of a call that did not run.
    priority : int
        Priority under overload; 0 is served first.
    idempotency_window_s : float
        Time for which repeats of an idempotency key are recognised, in seconds.
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
    """Describe how upstreams of one service are called.

    Parameters
    ----------
    name : str
        Name of the service.
    n_slots : int
        Calls that one upstream runs at a time.
    n_connections : int
        Connections that one upstream accepts.
    n_queued : int
        Calls that may wait for a slot beside one upstream.
    queue_timeout_s : float
        Longest wait for a slot, in seconds.
    retry_ratio : float
        Retries allowed per call, between 0 and 1.
    max_ejected_ratio : float
        Share of the endpoints that may be ejected, between 0 and 1.
    slow_start_s : float
        Time over which a new endpoint reaches its full share, in seconds.
    n_crash_hosts : int
        Distinct hosts on which one request fingerprint may fail with a crash.
    quarantine_s : float
        Time for which such a fingerprint is refused, in seconds.
    secret : str or None
        Name of the secret presented to the upstream.
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
    """Hold a credential; its value never shows in text.

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
    """Hold everything that a node needs to route a call.

    Every route names a cluster of `clusters`, every cluster has at least one
    entry in `endpoints`, and every named secret is in `secrets`.

    Parameters
    ----------
    version : Version
        Version of the configuration.
    hosts_version : Version
        Version of the host list.
    zone : str
        Availability zone for which the snapshot was compiled.
    listener : Listener
        Limits towards callers.
    routes : tuple of Route
        Routes, the longest path prefix first.
    clusters : Mapping of str to Cluster
        Clusters by name.
    endpoints : Mapping of str to tuple of Host
        Hosts by cluster name; leaving hosts are kept out.
    hosts : Mapping of str to Host
        All hosts by identifier, leaving ones included.
    secrets : Mapping of str to Secret
        Secrets by name.
    withdrawn_routes : tuple of str
        Names of routes that were left out since their cluster has no endpoint.
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
