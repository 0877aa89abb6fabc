"""Builders of routes and upstreams with defaults for tests."""

from foxtailway.traffic.configuration import TrafficRoute, WeightedService
from foxtailway.traffic.membership import Upstream, UpstreamState


def make_route(**changes: object) -> TrafficRoute:
    """Return a route with default fields, replaced by the given ones."""
    fields = {
        "name": "lookup",
        "host": "a.example",
        "prefix": "/",
        "destinations": (WeightedService(service="records", weight=1.0),),
        "is_idempotent": True,
        "priority": 1,
        "timeout_s": 0.6,
        "target_latency_s": 0.25,
        "max_attempts": 2,
    }
    return TrafficRoute(**(fields | changes))


def make_upstream(upstream_id: str = "u-1", **changes: object) -> Upstream:
    """Return an upstream with default fields, replaced by the given ones."""
    fields = {
        "upstream_id": upstream_id,
        "service": "records",
        "address": "127.0.0.1",
        "port": 8080,
        "zone": "zone-a",
        "n_slots": 4,
        "state": UpstreamState.READY,
        "warm_up_s": 0.0,
        "start_time_ms": 1_000,
        "sequence": 1,
        "created_revision": 1,
    }
    return Upstream(**(fields | changes))
