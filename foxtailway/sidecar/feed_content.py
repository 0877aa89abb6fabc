"""Packed form of what readers of the store pass on."""

import zlib
from dataclasses import dataclass
from typing import Any

import msgpack

from foxtailway.traffic.configuration_change import ConfigurationChange
from foxtailway.traffic.membership import Upstream
from foxtailway.transport.message_plan import FieldError, MessagePlans

__all__ = ["FeedContentError", "MembershipChange", "pack", "unpack"]

# Fast compression; names repeat within the routes and little else is gained.
COMPRESSION_LEVEL = 3
MAX_CONTENT_BYTES = 64_000_000


class FeedContentError(Exception):
    """Report content that cannot be unpacked."""


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipChange:
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


CODEC = MessagePlans(message_types=(MembershipChange, ConfigurationChange))


def pack(content: MembershipChange | ConfigurationChange) -> bytes:
    """Return the compressed msgpack encoding of `content`."""
    return zlib.compress(CODEC.encode(content), COMPRESSION_LEVEL)


def unpack(data: bytes, content_type: type) -> Any:
    """Return the unpacked content; raise `FeedContentError` if it is invalid."""
    try:
        packed = zlib.decompressobj().decompress(data, MAX_CONTENT_BYTES)
        content = CODEC.build(msgpack.unpackb(packed))
    except (zlib.error, FieldError, msgpack.UnpackException, ValueError) as error:
        raise FeedContentError(f"unpack: {error!r}") from error
    if not isinstance(content, content_type):
        raise FeedContentError(f"unpack: {type(content).__name__} is not expected")
    return content
