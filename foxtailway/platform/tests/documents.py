"""Documents of the platform for tests."""

import json


def make_configuration(version: int, **rule: object) -> bytes:
    """Return a configuration with one route."""
    fields = {
        "name": "lookup",
        "route_type": "safe",
        "target_latency": "250ms",
        "priority": 2,
        "match": {"prefix": "/x/"},
        "action": {"service": "records", "timeout": "600ms", "max_attempts": 2},
    }
    return json.dumps(
        {
            "version": f"r{version}",
            "limits": {"max_header_bytes": 16384, "idle_timeout": "15000ms"},
            "listeners": [{"host": "a.example", "rules": [fields | rule]}],
            "clusters": [{"name": "records"}, {"name": "dispatch"}],
        }
    ).encode()


def make_entry(**changes: object) -> bytes:
    """Return the entry of an upstream, with some fields changed."""
    entry = {
        "address": "10.0.0.9:8080",
        "born": 1_700_000_000_000,
        "info": {
            "service": "records",
            "version": "v1",
            "zone": "zone-a",
            "slots": 12,
        },
        "status": {"state": "ready", "sequence": 4, "cold_remaining": "1500ms"},
    }
    return json.dumps(entry | changes).encode()
