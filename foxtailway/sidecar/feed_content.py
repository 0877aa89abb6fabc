"""Packed form of what readers of the store pass on."""

import zlib
from dataclasses import dataclass
from typing import Any

import msgpack

from foxtailway.traffic.configuration_change import ConfigurationChange
from foxtailway.traffic.membership import Upstream
from foxtailway.transport.message_schema import FieldError, MessageSchemas

__all__ = ["FeedContentError", "MemberChange", "pack", "unpack"]

# Fast compression; names repeat within the routes and little else is gained.
COMPRESSION_LEVEL = 3
MAX_CONTENT_SIZE = 64_000_000


class FeedContentError(Exception):
    """Report content that cannot be unpacked."""


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberChange:
    """Hold changes of upstreams.

    Parameters
    ----------
    upstreams : tuple of Upstream
        Upstreams that are new or changed; all of them in a listing.
    removed : tuple of str
        Identifiers of upstreams whose entry is gone.
    """

    upstreams: tuple[Upstream, ...] = ()
    removed: tuple[str, ...] = ()


PLANS = MessageSchemas(message_types=(MemberChange, ConfigurationChange))


def pack(content: MemberChange | ConfigurationChange) -> bytes:
    """Return the compressed msgpack encoding of `content`."""
    return zlib.compress(PLANS.encode(content), COMPRESSION_LEVEL)


def unpack(data: bytes, kind: type) -> Any:
    """Return the content of type `kind` in `data`, or raise `FeedContentError`."""
    try:
        packed = zlib.decompressobj().decompress(data, MAX_CONTENT_SIZE)
        content = PLANS.build(msgpack.unpackb(packed))
    except (zlib.error, FieldError, msgpack.UnpackException, ValueError) as error:
        raise FeedContentError(f"unpack: {error!r}") from error
    if not isinstance(content, kind):
        raise FeedContentError(f"unpack: {type(content).__name__} is not expected")
    return content
