"""Differences between versions of a configuration."""

from dataclasses import dataclass

from foxtailway.traffic.configuration import (
    ClientLimits,
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

# Base of a change that contains the whole configuration.
NO_VERSION = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteKey:
    """Identify a route of a configuration.

    Parameters
    ----------
    host, prefix : str
        Host and path prefix of the route.
    """

    host: str
    prefix: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationChange:
    """Hold what turns one version of a configuration into a later one.

    Parameters
    ----------
    base_version : int
        Version that the change applies to; `NO_VERSION` if it holds all routes.
    version : int
        Version that it leads to.
    routes : tuple of TrafficRoute
        Routes that are new or changed.
    removed : tuple of RouteKey
        Routes that are gone.
    limits : ClientLimits
        Limits of client connections in the later version.
    """

    base_version: int
    version: int
    routes: tuple[TrafficRoute, ...]
    removed: tuple[RouteKey, ...]
    limits: ClientLimits


def compare_configurations(
    base: TrafficConfiguration | None, target: TrafficConfiguration
) -> ConfigurationChange:
    """Return the change from one configuration to another.

    Parameters
    ----------
    base : TrafficConfiguration or None
        Configuration that the receiver has; None if it has none.
    target : TrafficConfiguration
        Configuration that the change leads to.
    """
    known = {} if base is None else index_routes(base)
    wanted = index_routes(target)
    return ConfigurationChange(
        base_version=NO_VERSION if base is None else base.version,
        version=target.version,
        routes=tuple(route for key, route in wanted.items() if known.get(key) != route),
        removed=tuple(
            RouteKey(host=host, prefix=prefix)
            for host, prefix in sorted(known.keys() - wanted.keys())
        ),
        limits=target.limits,
    )


def apply_change(
    base: TrafficConfiguration | None, change: ConfigurationChange
) -> TrafficConfiguration | None:
    """Return the configuration that a change leads to.

    Parameters
    ----------
    base : TrafficConfiguration or None
        Configuration in force.
    change : ConfigurationChange
        Change that a peer sent.

    Returns
    -------
    TrafficConfiguration or None
        None if the change applies to another version than `base`.
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
        version=change.version, routes=tuple(routes.values()), limits=change.limits
    )


def index_routes(
    configuration: TrafficConfiguration,
) -> dict[tuple[str, str], TrafficRoute]:
    """Return the routes by host and prefix; the last of equal keys counts."""
    return {(route.host, route.prefix): route for route in configuration.routes}
