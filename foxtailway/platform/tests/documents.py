"""Builders of documents of the platform for tests."""

import msgpack


def make_configuration(version: int, **changes: object) -> bytes:
    """Return a packed configuration with one route, with the given fields."""
    return msgpack.packb(make_document(version, [make_route_row(**changes)]))


def make_document(version: object, rows: list[dict]) -> dict:
    """Return a configuration with the given rows of routes, not packed."""
    columns = list(dict.fromkeys(name for row in rows for name in row))
    return {
        "version": version,
        "limits": {"max_header_bytes": 16384, "idle_timeout": 15000},
        "routes": {
            "columns": columns,
            "rows": [[row.get(name) for name in columns] for row in rows],
        },
        "services": {
            "columns": ["name", "health_path"],
            "rows": [["records", "/health"], ["dispatch", "/health"]],
        },
    }


def make_route_row(**changes: object) -> dict:
    """Return default fields of a route, replaced by the given ones."""
    fields = {
        "name": "lookup",
        "host": "a.example",
        "prefix": "/x/",
        "route_type": "safe",
        "timeout": 600,
        "target_latency": 250,
        "priority": 2,
        "service": "records",
        "max_attempts": 2,
    }
    return fields | changes


def make_entry(**changes: object) -> bytes:
    """Return a packed registry entry with default fields, replaced by the given."""
    entry = {
        "address": "10.0.0.9:8080",
        "born": 1_700_000_000_000,
        "info": {
            "service": "records",
            "version": "v1",
            "zone": "zone-a",
            "slots": 12,
        },
        "status": {"state": "ready", "sequence": 4, "cold_remaining": 1500},
    }
    return msgpack.packb(entry | changes)
