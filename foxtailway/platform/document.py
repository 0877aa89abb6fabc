"""Decoding of the documents in the platform's store."""

from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any

import msgpack

from foxtailway.platform.quantity import milliseconds, require_count, require_text
from foxtailway.traffic.configuration import (
    ClientLimits,
    TrafficConfiguration,
    TrafficRoute,
    WeightedService,
)
from foxtailway.traffic.membership import Upstream, UpstreamState
from foxtailway.traffic.route_index import normalize_host

__all__ = ["ConfigurationDecoder", "DocumentError", "decode_upstream"]

STATES = {"ready": UpstreamState.READY, "draining": UpstreamState.DRAINING}
ROUTE_TYPE_IDEMPOTENT = "safe"
LOWEST_PRIORITY = 9
DEFAULT_MAX_ATTEMPTS = 1
DECODE_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    msgpack.UnpackException,
)

Destinations = tuple[WeightedService, ...]


class DocumentError(Exception):
    """Report a document that cannot be used.

    Parameters
    ----------
    key : str
        Key of the document in the store.
    detail : str
        What is wrong.
    """

    def __init__(self, *, key: str, detail: str) -> None:
        super().__init__(f"decode {key}: {detail}")
        self.key = key
        self.detail = detail


class ConfigurationDecoder:
    """Decode configurations that mostly repeat the one before.

    Attributes
    ----------
    routes : dict of bytes to TrafficRoute
        Routes of the last configuration by their packed row. Equal rows of the next
        one become the same objects, which saves time here and in comparisons.
    """

    def __init__(self) -> None:
        self.columns: list[str] = []
        self.services: set[str] = set()
        self.routes: dict[bytes, TrafficRoute] = {}

    def decode(self, key: str, content: bytes) -> TrafficConfiguration:
        """Return a whole configuration, or raise `DocumentError`."""
        try:
            document = msgpack.unpackb(content, use_list=False)
            services = {row["name"] for row in read_table(document["services"])}
            return TrafficConfiguration(
                version=require_count(document["version"]),
                routes=self.read_routes(document["routes"], services),
                limits=read_limits(document.get("limits", {})),
            )
        except DECODE_ERRORS as error:
            raise DocumentError(key=key, detail=repr(error)) from error

    def read_routes(
        self, table: Mapping[str, Any], services: set[str]
    ) -> tuple[TrafficRoute, ...]:
        """Return the routes of a table."""
        columns = [require_text(name) for name in table["columns"]]
        if columns != self.columns or services != self.services:
            self.columns, self.services, self.routes = columns, services, {}
        reader = RouteReader(services=services)
        routes = []
        by_row = {}
        for row in table["rows"]:
            mark = msgpack.packb(row)
            route = self.routes.get(mark)
            if route is None:
                route = reader.read_route(read_row(columns, row))
            by_row[mark] = route
            routes.append(route)
        self.routes = by_row
        return tuple(routes)


def read_table(table: Mapping[str, Any]) -> Iterator[dict[str, Any]]:
    """Yield the rows of a table with the fields that they have."""
    names = [require_text(name) for name in table["columns"]]
    for row in table["rows"]:
        yield read_row(names, row)


def read_row(names: Sequence[str], row: Sequence[Any]) -> dict[str, Any]:
    """Return a row by field; trailing fields and those without value are absent."""
    if type(row) is not tuple or len(row) > len(names):
        raise ValueError(f"row {row!r}")
    return {
        name: value
        for name, value in zip(names, row, strict=False)
        if value is not None
    }


class RouteReader:
    """Read the routes of a configuration.

    Parameters
    ----------
    services : set of str
        Services that the configuration defines.

    Notes
    -----
    Equal destinations share one object, since most routes of a configuration
    lead to one of few services.
    """

    def __init__(self, *, services: set[str]) -> None:
        self.services = services
        self.single: dict[str, Destinations] = {}

    def read_route(self, row: Mapping[str, Any]) -> TrafficRoute:
        """Return one route."""
        prefix = row["prefix"]
        if not prefix.startswith("/") or not prefix.endswith("/"):
            raise ValueError(f"prefix {prefix!r}")
        timeout_s = milliseconds(row["timeout"])
        target = row.get("target_latency")
        return TrafficRoute(
            name=require_text(row["name"]),
            host=normalize_host(require_text(row["host"])),
            prefix=prefix,
            destinations=self.read_destinations(row),
            is_idempotent=row["route_type"] == ROUTE_TYPE_IDEMPOTENT,
            priority=require_count(row.get("priority", LOWEST_PRIORITY)),
            timeout_s=timeout_s,
            target_latency_s=timeout_s if target is None else milliseconds(target),
            max_attempts=require_count(row.get("max_attempts", DEFAULT_MAX_ATTEMPTS)),
        )

    def read_destinations(self, row: Mapping[str, Any]) -> Destinations:
        """Return the services that share a route's requests."""
        split = row.get("traffic_split")
        if split is None:
            return self.find_single(row["service"])
        destinations = tuple(
            WeightedService(
                service=self.check_service(part["service"]),
                weight=float(part["weight"]),
            )
            for part in split
            if float(part["weight"]) > 0
        )
        if not destinations:
            raise ValueError("traffic_split without weight")
        return destinations

    def find_single(self, service: str) -> Destinations:
        """Return the destinations of a route that leads to one service."""
        found = self.single.get(service)
        if found is None:
            found = (WeightedService(service=self.check_service(service), weight=1.0),)
            self.single[service] = found
        return found

    def check_service(self, service: str) -> str:
        """Return the name of a service that is defined, or raise ValueError."""
        if service not in self.services:
            raise ValueError(f"unknown service {service!r}")
        return service


def read_limits(limits: Mapping[str, Any]) -> ClientLimits:
    """Return the limits of client connections."""
    defaults = ClientLimits()

    def read(name: str, convert: Callable[[object], Any], default: Any) -> Any:
        return convert(limits[name]) if name in limits else default

    return ClientLimits(
        max_header_size=read(
            "max_header_bytes", require_count, defaults.max_header_size
        ),
        max_body_size=read("max_body_bytes", require_count, defaults.max_body_size),
        header_timeout_s=read(
            "header_timeout", milliseconds, defaults.header_timeout_s
        ),
        idle_timeout_s=read("idle_timeout", milliseconds, defaults.idle_timeout_s),
    )


def decode_upstream(key: str, upstream_id: str, content: bytes) -> Upstream:
    """Return the upstream that an entry describes, or raise `DocumentError`."""
    try:
        entry = msgpack.unpackb(content)
        info = entry["info"]
        status = entry["status"]
        address, _, port = entry["address"].rpartition(":")
        return Upstream(
            upstream_id=upstream_id,
            service=require_text(info["service"]),
            address=require_text(address),
            port=int(port),
            zone=require_text(info["zone"]),
            n_slots=require_count(info["slots"]),
            state=STATES[status["state"]],
            warm_up_s=milliseconds(status.get("cold_remaining", 0)),
            start_time_ms=require_count(entry.get("born", 0)),
            sequence=require_count(status["sequence"]),
        )
    except DECODE_ERRORS as error:
        raise DocumentError(key=key, detail=repr(error)) from error
