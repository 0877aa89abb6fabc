"""Configuration of routes by host and path prefix."""

from dataclasses import dataclass

__all__ = [
    "ClientLimits",
    "ServiceSettings",
    "TrafficConfiguration",
    "TrafficRoute",
    "WeightedService",
]


@dataclass(frozen=True, slots=True, kw_only=True)
class WeightedService:
    """Destination of a route with its weight.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Share of the requests relative to the route's other services; at least 0.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class TrafficRoute:
    """Route of the requests with one host and path prefix.

    Parameters
    ----------
    name : str
        Name of the route, unique in a configuration.
    host : str
        Host of the requests, in lower case and without a port.
    prefix : str
        Path prefix; begins and ends with a slash.
    destinations : tuple of WeightedService
        Services that share the requests by weight; at least one.
    is_idempotent : bool
        Whether a request may be executed more than once.
    priority : int
        Priority of the requests; 0 is the highest.
    timeout_s : float
        Longest time until the final response, in seconds.
    target_latency_s : float
        Latency up to which a response has its full utility, in seconds.
    max_attempts : int
        Largest number of attempts of one request, each at another upstream.
    allowed_regions : tuple of str, default=()
        Regions in which requests may run and through whose hosts their bodies may
        pass; empty for all regions.
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
    allowed_regions: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceSettings:
    """Properties that all upstreams of a service share.

    Parameters
    ----------
    name : str
        Name of the service.
    health_path : str, default=""
        Path of the upstreams' health check; empty if unknown.
    cold_start_s : float, default=0.0
        Time for which an upstream is cold after its start, in seconds.
    cold_rate_per_s : float, default=0.0
        Requests per second that a cold upstream sustains; 0 for no limit.
    """

    name: str
    health_path: str = ""
    cold_start_s: float = 0.0
    cold_rate_per_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ClientLimits:
    """Limits of the size and duration of client requests.

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
    """One version of the complete configuration.

    Parameters
    ----------
    version : int
        Version number; a larger number is newer.
    routes : tuple of TrafficRoute
        All routes.
    limits : ClientLimits
        Limits of client connections.
    services : tuple of ServiceSettings, default=()
        Properties of the services.
    """

    version: int
    routes: tuple[TrafficRoute, ...]
    limits: ClientLimits
    services: tuple[ServiceSettings, ...] = ()

    def get_service(self, name: str) -> ServiceSettings:
        """Return the properties of a service; the defaults if it has none."""
        for service in self.services:
            if service.name == name:
                return service
        return ServiceSettings(name=name)
