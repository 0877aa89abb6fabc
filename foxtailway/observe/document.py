"""JSON encoding for the admin port and the log."""

from dataclasses import fields, is_dataclass
from typing import Any

import orjson

from foxtailway.model.version import Version

__all__ = ["encode_json"]

JSON_OPTIONS = (
    orjson.OPT_PASSTHROUGH_DATACLASS | orjson.OPT_NON_STR_KEYS | orjson.OPT_UTC_Z
)


def encode_json(value: object) -> bytes:
    """Return a value as one line of JSON.

    Data classes become objects and versions become text. Byte strings are
    replaced by their length, since they may contain secrets, and fields with
    ``repr=False`` are omitted.

    Examples
    --------
    >>> encode_json({"version": Version(generation=1, revision=2, digest=b"abcd")})
    b'{"version":"1.2-61626364"}'
    >>> encode_json([b"secret"])
    b'["6 bytes"]'
    """
    return orjson.dumps(value, default=encode_object, option=JSON_OPTIONS)


def encode_object(value: Any) -> Any:
    """Return a JSON value for an object of a type that orjson does not support."""
    if isinstance(value, Version):
        return str(value)
    if isinstance(value, bytes | bytearray | memoryview):
        return f"{len(value)} bytes"
    if is_dataclass(value):
        return {
            item.name: getattr(value, item.name) for item in fields(value) if item.repr
        }
    if isinstance(value, frozenset | set):
        return sorted(value)
    return str(value)
