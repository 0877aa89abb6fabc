"""Decoding of the documents in the platform's store."""

import json
from collections.abc import Iterator
from typing import Any

from foxtailway.platform.quantity import parse_duration, parse_version
from foxtailway.traffic.configuration import (
    ClientLimits,
    TrafficConfiguration,
    TrafficRoute,
    WeightedService,
)
from foxtailway.traffic.membership import Upstream, UpstreamState
from foxtailway.traffic.route_index import normalize_host

__all__ = ["DocumentError", "decode_configuration", "decode_upstream"]

STATES = {"ready": UpstreamState.READY, "draining": UpstreamState.DRAINING}
ROUTE_TYPE_IDEMPOTENT = "safe"
LOWEST_PRIORITY = 9
DEFAULT_MAX_ATTEMPTS = 1


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


def decode_configuration(key: str, content: bytes) -> TrafficConfiguration:
    """Return a whole configuration, or raise `DocumentError`."""
    try:
        document = json.loads(content)
        names = {cluster["name"] for cluster in document["clusters"]}
        return TrafficConfiguration(
            version=parse_version(document["version"]),
            routes=tuple(read_routes(document, names)),
            limits=read_limits(document.get("limits", {})),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise DocumentError(key=key, detail=repr(error)) from error


def read_routes(document: dict[str, Any], services: set[str]) -> Iterator[TrafficRoute]:
    """Yield the routes of all hosts."""
    for listener in document["listeners"]:
        host = listener["host"]
        if not host:
            raise ValueError("listener without host")
        for rule in listener["rules"]:
            yield read_route(normalize_host(host), rule, services)


def read_route(host: str, rule: dict[str, Any], services: set[str]) -> TrafficRoute:
    """Return one route."""
    action = rule["action"]
    prefix = rule["match"]["prefix"]
    if not prefix.startswith("/") or not prefix.endswith("/"):
        raise ValueError(f"prefix {prefix!r}")
    destinations = read_destinations(action)
    unknown = {item.service for item in destinations} - services
    if unknown:
        raise ValueError(f"unknown services {sorted(unknown)}")
    timeout_s = parse_duration(action["timeout"])
    target = rule.get("target_latency")
    return TrafficRoute(
        name=rule["name"],
        host=host,
        prefix=prefix,
        destinations=destinations,
        is_idempotent=rule["route_type"] == ROUTE_TYPE_IDEMPOTENT,
        priority=int(rule.get("priority", LOWEST_PRIORITY)),
        timeout_s=timeout_s,
        target_latency_s=timeout_s if target is None else parse_duration(target),
        max_attempts=int(action.get("max_attempts", DEFAULT_MAX_ATTEMPTS)),
    )


def read_destinations(action: dict[str, Any]) -> tuple[WeightedService, ...]:
    """Return the services that share a route's requests."""
    split = action.get("traffic_split")
    if split is None:
        return (WeightedService(service=action["service"], weight=1.0),)
    destinations = tuple(
        WeightedService(service=part["service"], weight=float(part["weight"]))
        for part in split
        if float(part["weight"]) > 0
    )
    if not destinations:
        raise ValueError("traffic_split without weight")
    return destinations


def read_limits(limits: dict[str, Any]) -> ClientLimits:
    """Return the limits of client connections."""
    defaults = ClientLimits()
    return ClientLimits(
        max_header_size=int(limits.get("max_header_bytes", defaults.max_header_size)),
        max_body_size=int(limits.get("max_body_bytes", defaults.max_body_size)),
        header_timeout_s=read_duration(
            limits, "header_timeout", defaults.header_timeout_s
        ),
        idle_timeout_s=read_duration(limits, "idle_timeout", defaults.idle_timeout_s),
    )


def read_duration(fields: dict[str, Any], name: str, default_s: float) -> float:
    """Return a field's duration in seconds."""
    return parse_duration(fields[name]) if name in fields else default_s


def decode_upstream(key: str, upstream_id: str, content: bytes) -> Upstream:
    """Return the upstream that an entry describes, or raise `DocumentError`."""
    try:
        entry = json.loads(content)
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
            cold_s=parse_duration(status.get("cold_remaining", "0ms")),
            born_ms=require_count(entry.get("born", 0)),
            sequence=require_count(status["sequence"]),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise DocumentError(key=key, detail=repr(error)) from error


def require_text(value: object) -> str:
    """Return a non-empty text, or raise ValueError."""
    if not isinstance(value, str) or not value:
        raise ValueError(f"not a name: {value!r}")
    return value


def require_count(value: object) -> int:
    """Return a whole number that is not negative, or raise ValueError."""
    if type(value) is not int or value < 0:
        raise ValueError(f"not a count: {value!r}")
    return value
