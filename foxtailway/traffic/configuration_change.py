"""Deltas between versions of a configuration."""

from dataclasses import dataclass

from foxtailway.traffic.configuration import (
    ClientLimits,
    ServiceSettings,
    TrafficConfiguration,
    TrafficRoute,
)

__all__ = [
    "NO_VERSION",
    "ConfigurationChange",
    "RouteKey",
    "apply_change",
    "compare_configurations",
]

# Base version of a change that contains the complete configuration.
NO_VERSION = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteKey:
    """Key of a route in a configuration.

    Parameters
    ----------
    host, prefix : str
        Host and path prefix of the route.
    """

    host: str
    prefix: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationChange:
    """Delta from one version of a configuration to another.

    Parameters
    ----------
    base_version : int
        Version that the change applies to; `NO_VERSION` if it contains all routes.
    version : int
        Version that results from the change.
    routes : tuple of TrafficRoute
        Routes that are added or changed.
    removed : tuple of RouteKey
        Keys of the routes that are removed.
    limits : ClientLimits
        Limits of client connections in the resulting version.
    services : tuple of ServiceSettings, default=()
        Properties of all services in the resulting version.
    """

    base_version: int
    version: int
    routes: tuple[TrafficRoute, ...]
    removed: tuple[RouteKey, ...]
    limits: ClientLimits
    services: tuple[ServiceSettings, ...] = ()


def compare_configurations(
    base: TrafficConfiguration | None, target: TrafficConfiguration
) -> ConfigurationChange:
    """Return the change that turns one configuration into another.

    Parameters
    ----------
    base : TrafficConfiguration or None
        Configuration that the receiver has, or None if it has none.
    target : TrafficConfiguration
        Configuration that results from the change.
    """
    base_routes = {} if base is None else index_routes(base)
    target_routes = index_routes(target)
    return ConfigurationChange(
        base_version=NO_VERSION if base is None else base.version,
        version=target.version,
        routes=tuple(
            route
            for key, route in target_routes.items()
            if base_routes.get(key) != route
        ),
        removed=tuple(
            RouteKey(host=host, prefix=prefix)
            for host, prefix in sorted(base_routes.keys() - target_routes.keys())
        ),
        limits=target.limits,
        services=target.services,
    )


def apply_change(
    base: TrafficConfiguration | None, change: ConfigurationChange
) -> TrafficConfiguration | None:
    """Return the configuration that results from a change.

    Parameters
    ----------
    base : TrafficConfiguration or None
        Configuration in force, or None if there is none.
    change : ConfigurationChange
        Change received from a peer.

    Returns
    -------
    TrafficConfiguration or None
        The resulting configuration; None if the change applies to a version other
        than that of `base`.
    """
    if change.base_version == NO_VERSION:
        routes = {}
    elif base is not None and base.version == change.base_version:
        routes = index_routes(base)
    else:
        return None
    for key in change.removed:
        routes.pop((key.host, key.prefix), None)
    for route in change.routes:
        routes[route.host, route.prefix] = route
    return TrafficConfiguration(
        version=change.version,
        routes=tuple(routes.values()),
        limits=change.limits,
        services=change.services,
    )


def index_routes(
    configuration: TrafficConfiguration,
) -> dict[tuple[str, str], TrafficRoute]:
    """Return the routes by host and prefix; a later route replaces an equal key."""
    return {(route.host, route.prefix): route for route in configuration.routes}
