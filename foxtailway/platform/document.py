"""Decoding of the configuration and registry entries in the platform's store."""

from collections.abc import Callable, Container, Iterator, Mapping, Sequence
from typing import Any

import msgpack

from foxtailway.platform.quantity import (
    parse_ip_endpoint,
    parse_milliseconds,
    parse_seconds,
    require_count,
    require_header_text,
    require_rate,
    require_text,
)
from foxtailway.traffic.configuration import (
    ClientLimits,
    ServiceSettings,
    TrafficConfiguration,
    TrafficRoute,
    WeightedService,
)
from foxtailway.traffic.membership import Upstream, UpstreamState
from foxtailway.traffic.route_index import normalize_host

__all__ = [
    "ConfigurationDecoder",
    "DocumentError",
    "decode_evacuated_zone",
    "decode_upstream",
]

UPSTREAM_STATES = {"ready": UpstreamState.READY, "draining": UpstreamState.DRAINING}
ROUTE_TYPE_IDEMPOTENT = "safe"
# Lowest priority, for routes without one.
DEFAULT_PRIORITY = 9
DEFAULT_MAX_ATTEMPTS = 1
# Largest number of slots of an upstream that is accepted.
MAX_SLOTS = 65_535
# Length of a detail in characters; the document may be large.
MAX_DETAIL_CHARS = 200
DECODE_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
    msgpack.UnpackException,
)

Destinations = tuple[WeightedService, ...]


class DocumentError(Exception):
    """Raised if a document is invalid.

    Parameters
    ----------
    key : str
        Key of the document in the store.
    detail : str
        Description of the error.
    """

    def __init__(self, *, key: str, detail: str) -> None:
        detail = detail[:MAX_DETAIL_CHARS]
        super().__init__(f"decode {key}: {detail}")
        self.key = key
        self.detail = detail


class ConfigurationDecoder:
    """Decoder of successive versions of the configuration.

    Attributes
    ----------
    routes : dict of bytes to TrafficRoute
        Routes of the previous configuration by packed row. Equal rows of the next
        version yield the same objects, which saves time in decoding and in comparisons.
    """

    def __init__(self) -> None:
        self.columns: list[str] = []
        self.services: set[str] = set()
        self.routes: dict[bytes, TrafficRoute] = {}

    def decode(self, key: str, content: bytes) -> TrafficConfiguration:
        """Return the configuration in a document, or raise `DocumentError`."""
        try:
            document = msgpack.unpackb(content, use_list=False)
            services = tuple(
                decode_service(row) for row in decode_table(document["services"])
            )
            names = {service.name for service in services}
            return TrafficConfiguration(
                version=require_count(document["version"]),
                routes=self.decode_routes(document["routes"], names),
                limits=decode_limits(document.get("limits", {})),
                services=services,
            )
        except DECODE_ERRORS as error:
            raise DocumentError(key=key, detail=repr(error)) from error

    def decode_routes(
        self, table: Mapping[str, Any], services: set[str]
    ) -> tuple[TrafficRoute, ...]:
        """Return the routes of a table."""
        columns = [require_text(name) for name in table["columns"]]
        if columns != self.columns or services != self.services:
            self.columns, self.services, self.routes = columns, services, {}
        decoder = RouteDecoder(services=services)
        routes = []
        routes_by_row = {}
        for row in table["rows"]:
            packed_row = msgpack.packb(row)
            route = self.routes.get(packed_row)
            if route is None:
                route = decoder.decode_route(decode_row(columns, row))
            routes_by_row[packed_row] = route
            routes.append(route)
        self.routes = routes_by_row
        return tuple(routes)


def decode_table(table: Mapping[str, Any]) -> Iterator[dict[str, Any]]:
    """Yield the rows of a table as fields by name."""
    names = [require_text(name) for name in table["columns"]]
    for row in table["rows"]:
        yield decode_row(names, row)


def decode_row(names: Sequence[str], row: Sequence[Any]) -> dict[str, Any]:
    """Return the fields of a row by name, without those that are missing or None."""
    if type(row) is not tuple or len(row) > len(names):
        raise ValueError(
            f"row must be a list with at most one field per column: {row!r}"
        )
    return {
        name: value
        for name, value in zip(names, row, strict=False)
        if value is not None
    }


class RouteDecoder:
    """Decoder of the routes of one configuration.

    Parameters
    ----------
    services : set of str
        Services that the configuration defines.

    Notes
    -----
    Routes to the same single service share one object for their destinations, since
    most routes of a configuration lead to one of few services.
    """

    def __init__(self, *, services: set[str]) -> None:
        self.services = services
        self.single_destinations: dict[str, Destinations] = {}

    def decode_route(self, row: Mapping[str, Any]) -> TrafficRoute:
        """Return the route in the fields of a row."""
        prefix = row["prefix"]
        if not prefix.startswith("/") or not prefix.endswith("/"):
            raise ValueError(f"prefix must begin and end with a slash: {prefix!r}")
        timeout_s = parse_milliseconds(row["timeout"])
        target = row.get("target_latency")
        return TrafficRoute(
            name=require_text(row["name"]),
            host=normalize_host(require_text(row["host"])),
            prefix=prefix,
            destinations=self.decode_destinations(row),
            is_idempotent=row["route_type"] == ROUTE_TYPE_IDEMPOTENT,
            priority=require_count(row.get("priority", DEFAULT_PRIORITY)),
            timeout_s=timeout_s,
            target_latency_s=timeout_s
            if target is None
            else parse_milliseconds(target),
            max_attempts=require_count(row.get("max_attempts", DEFAULT_MAX_ATTEMPTS)),
            allowed_regions=tuple(
                sorted(require_text(name) for name in row.get("allowed_regions", ()))
            ),
        )

    def decode_destinations(self, row: Mapping[str, Any]) -> Destinations:
        """Return the services that share a route's requests."""
        split = row.get("traffic_split")
        if split is None:
            return self.get_single_destination(row["service"])
        destinations = tuple(
            WeightedService(
                service=self.require_service(destination["service"]),
                weight=float(destination["weight"]),
            )
            for destination in split
            if float(destination["weight"]) > 0
        )
        if not destinations:
            raise ValueError(
                "traffic_split must contain a service with a positive weight"
            )
        return destinations

    def get_single_destination(self, service: str) -> Destinations:
        """Return the destinations of a route to one service."""
        destinations = self.single_destinations.get(service)
        if destinations is None:
            destinations = (
                WeightedService(service=self.require_service(service), weight=1.0),
            )
            self.single_destinations[service] = destinations
        return destinations

    def require_service(self, service: str) -> str:
        """Return the service if it is defined, or raise ValueError."""
        if service not in self.services:
            raise ValueError(
                f"service is not defined in the configuration: {service!r}"
            )
        return service


def decode_service(row: Mapping[str, Any]) -> ServiceSettings:
    """Return the properties of a service in the fields of a row."""
    return ServiceSettings(
        name=require_text(row["name"]),
        health_path=str(row.get("health_path", "")),
        cold_start_s=parse_seconds(row.get("cold_start", 0)),
        cold_rate_per_s=require_rate(row.get("cold_per_s", 0)),
    )


def decode_limits(limits: Mapping[str, Any]) -> ClientLimits:
    """Return the limits of client connections; missing fields have their defaults."""
    defaults = ClientLimits()

    def get_limit(name: str, convert: Callable[[object], Any], default: Any) -> Any:
        return convert(limits[name]) if name in limits else default

    return ClientLimits(
        max_header_size=get_limit(
            "max_header_bytes", require_count, defaults.max_header_size
        ),
        max_body_size=get_limit(
            "max_body_bytes", require_count, defaults.max_body_size
        ),
        header_timeout_s=get_limit(
            "header_timeout", parse_milliseconds, defaults.header_timeout_s
        ),
        idle_timeout_s=get_limit(
            "idle_timeout", parse_milliseconds, defaults.idle_timeout_s
        ),
    )


def decode_upstream(
    key: str,
    upstream_id: str,
    content: bytes,
    *,
    created_revision: int = 0,
    created_epoch: int = 0,
) -> Upstream:
    """Return the upstream in a registry entry, or raise `DocumentError`.

    Any writer may leave an entry. Values that no upstream can have, and numbers that
    don't fit into messages, make it invalid.

    Parameters
    ----------
    key : str
        Key of the entry.
    upstream_id : str
        Identifier of the upstream.
    content : bytes
        Packed entry.
    created_revision : int, default=0
        Revision of the store at which the key was created; 0 if unknown.
    created_epoch : int, default=0
        Epoch of the store to which that revision belongs.
    """
    try:
        entry = msgpack.unpackb(content)
        info = entry["info"]
        status = entry["status"]
        address, port = parse_ip_endpoint(entry["address"])
        return Upstream(
            upstream_id=require_header_text(upstream_id),
            service=require_text(info["service"]),
            address=address,
            port=port,
            zone=require_text(info["zone"]),
            n_slots=require_count(info["slots"], min_count=1, max_count=MAX_SLOTS),
            state=UPSTREAM_STATES[status["state"]],
            warm_up_s=parse_milliseconds(status.get("cold_remaining", 0)),
            start_time_ms=require_count(entry.get("born", 0)),
            sequence=require_count(status["sequence"]),
            created_revision=require_count(created_revision),
            created_epoch=created_epoch,
        )
    except DECODE_ERRORS as error:
        raise DocumentError(key=key, detail=repr(error)) from error


def decode_evacuated_zone(key: str, prefix: str, zones: Container[str]) -> str:
    """Return the zone whose evacuation a key requests, or raise `DocumentError`.

    Parameters
    ----------
    key : str
        Key of the evacuation; its value has no meaning.
    prefix : str
        Prefix of the keys of evacuations.
    zones : container of str
        Zones of the deployment.
    """
    zone = key.removeprefix(prefix)
    if zone not in zones:
        raise DocumentError(key=key, detail=f"unknown zone: {zone!r}")
    return zone
