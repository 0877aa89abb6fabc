"""Configuration of host-and-prefix routes."""

from dataclasses import dataclass

__all__ = [
    "ClientLimits",
    "TrafficConfiguration",
    "TrafficRoute",
    "WeightedService",
]


@dataclass(frozen=True, slots=True, kw_only=True)
class WeightedService:
    """Name a service and its share of a route's requests.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Share relative to the other services of the route, not negative.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class TrafficRoute:
    """Describe where the requests of a host and a path prefix go.

    Parameters
    ----------
    name : str
        Name of the route, unique in a configuration.
    host : str
        Host of the requests, in lower case and without a port.
    prefix : str
        Path prefix; begins and ends with a slash.
    destinations : tuple of WeightedService
        Services that share the requests; at least one.
    is_idempotent : bool
        Whether a request may run more than once.
    priority : int
        Rank of the requests; 0 is served first.
    timeout_s : float
        Longest time until a final answer, in seconds.
    target_latency_s : float
        Time within which an answer is worth most, in seconds.
    max_attempts : int
        Largest number of upstreams that may run one request.
    """

    name: str
    host: str
    prefix: str
    destinations: tuple[WeightedService, ...]
    is_idempotent: bool
    priority: int
    timeout_s: float
    target_latency_s: float
    max_attempts: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ClientLimits:
    """Bound what a client may send and how long it may take.

    Parameters
    ----------
    max_header_size : int
        Largest size of a request's headers, in bytes.
    max_body_size : int
        Largest size of a request's body, in bytes.
    header_timeout_s : float
        Longest time from the first byte of a request to the end of its
        headers, in seconds.
    idle_timeout_s : float
        Time after which an idle connection is closed, in seconds.
    """

    max_header_size: int = 65_536
    max_body_size: int = 67_108_864
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclass(frozen=True, slots=True, kw_only=True)
class TrafficConfiguration:
    """Hold one whole version of the routes.

    Parameters
    ----------
    version : int
        Number of the version; larger is newer.
    routes : tuple of TrafficRoute
        All routes.
    limits : ClientLimits
        Limits of client connections.
    """

    version: int
    routes: tuple[TrafficRoute, ...]
    limits: ClientLimits
