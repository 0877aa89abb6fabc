"""Immutable data shared by the core and the layers around it."""

from importlib import import_module
from typing import Any

# Modules load when a name is first used, so that a process pays for what it needs.
MODULE_BY_NAME = {
    "BASE_KEY": "foxtailway.model.bundle",
    "Bundle": "foxtailway.model.bundle",
    "BundleKind": "foxtailway.model.bundle",
    "Cluster": "foxtailway.model.snapshot",
    "Document": "foxtailway.model.bundle",
    "HOSTS_PREFIX": "foxtailway.model.bundle",
    "Host": "foxtailway.model.host",
    "HostState": "foxtailway.model.host",
    "Listener": "foxtailway.model.snapshot",
    "OVERLAY_PREFIX": "foxtailway.model.bundle",
    "Route": "foxtailway.model.snapshot",
    "SECRET_PREFIX": "foxtailway.model.bundle",
    "Secret": "foxtailway.model.snapshot",
    "Snapshot": "foxtailway.model.snapshot",
    "Version": "foxtailway.model.version",
    "VersionOrder": "foxtailway.model.version",
    "compare_versions": "foxtailway.model.version",
    "digest_content": "foxtailway.model.bundle",
    "make_bundle": "foxtailway.model.bundle",
    "make_document": "foxtailway.model.bundle",
}

__all__ = sorted(MODULE_BY_NAME)


def __getattr__(name: str) -> Any:
    """Return a public name from the module that defines it."""
    module_name = MODULE_BY_NAME.get(name)
    if module_name is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(module_name), name)
