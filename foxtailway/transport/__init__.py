"""Typed message streams between nodes."""

from importlib import import_module
from typing import Any

# Modules load when a name is first used, so that a process pays for what it needs.
MODULE_BY_NAME = {
    "Dialer": "foxtailway.transport.stream",
    "MeshListener": "foxtailway.transport.listener",
    "MessageCodec": "foxtailway.transport.codec",
    "MessageStream": "foxtailway.transport.stream",
    "StreamAcceptor": "foxtailway.transport.listener",
    "TcpDialer": "foxtailway.transport.stream",
    "TcpMessageStream": "foxtailway.transport.stream",
}

__all__ = sorted(MODULE_BY_NAME)


def __getattr__(name: str) -> Any:
    """Return a public name from the module that defines it."""
    module_name = MODULE_BY_NAME.get(name)
    if module_name is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(module_name), name)
