"""Encoding of the changes that readers of the store send to other nodes."""

import zlib
from dataclasses import dataclass
from typing import Any

import msgpack

from foxtailway.sidecar.peer_message import PeerUpdate
from foxtailway.traffic.configuration import TrafficConfiguration
from foxtailway.traffic.configuration_change import (
    NO_VERSION,
    ConfigurationChange,
    apply_change,
)
from foxtailway.traffic.membership import Upstream
from foxtailway.traffic.registry_change import (
    EvacuationWrite,
    RegistryChange,
    StorePosition,
)
from foxtailway.transport.message_schema import FieldError, MessageSchemas

__all__ = [
    "NO_MEMBERSHIP_CHANGE",
    "PACK_ERRORS",
    "UpdateContentError",
    "MembershipChange",
    "is_packable",
    "pack",
    "unpack",
    "unpack_update",
]

# A fast level: the gain comes from names that repeat within the routes, and higher
# levels add little.
COMPRESSION_LEVEL = 3
# Bound of the decompressed size, which protects against decompression bombs.
MAX_CONTENT_BYTES = 64_000_000
# Errors for values that have no msgpack encoding.
PACK_ERRORS = (OverflowError, TypeError, ValueError)


class UpdateContentError(Exception):
    """Raised for content that cannot be unpacked."""


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipChange:
    """Changes of registered upstreams and of evacuated zones.

    Parameters
    ----------
    upstreams : tuple of Upstream
        Upstreams that were added or changed; all upstreams in a listing.
    removed : tuple of str
        Identifiers of upstreams whose registry entry was removed.
    evacuated : tuple of str
        Zones whose evacuation began; all evacuated zones in a listing.
    returned : tuple of str
        Zones whose evacuation ended.
    evacuation_writes : tuple of EvacuationWrite
        Writes of evacuations among the changes; all known ones in a listing.
    """

    upstreams: tuple[Upstream, ...] = ()
    removed: tuple[str, ...] = ()
    evacuated: tuple[str, ...] = ()
    returned: tuple[str, ...] = ()
    evacuation_writes: tuple[EvacuationWrite, ...] = ()


NO_MEMBERSHIP_CHANGE = MembershipChange()
CODEC = MessageSchemas(message_types=(MembershipChange, ConfigurationChange))


def pack(content: MembershipChange | ConfigurationChange) -> bytes:
    """Return the compressed msgpack encoding of `content`."""
    return zlib.compress(CODEC.encode(content), COMPRESSION_LEVEL)


def is_packable(upstream: Upstream) -> bool:
    """Return whether an upstream can be packed into an update."""
    try:
        pack(MembershipChange(upstreams=(upstream,)))
    except PACK_ERRORS:
        return False
    return True


def unpack(data: bytes, content_type: type) -> Any:
    """Return the content of packed data.

    Parameters
    ----------
    data : bytes
        Result of `pack`.
    content_type : type
        Expected type of the content.

    Raises
    ------
    UpdateContentError
        When the data is malformed, too large or of another type.
    """
    try:
        packed = zlib.decompressobj().decompress(data, MAX_CONTENT_BYTES)
        content = CODEC.build(msgpack.unpackb(packed))
    except (zlib.error, FieldError, msgpack.UnpackException, ValueError) as error:
        raise UpdateContentError(f"malformed content: {error!r}") from error
    if not isinstance(content, content_type):
        raise UpdateContentError(
            f"content of type {type(content).__name__} is not expected"
        )
    return content


def unpack_update(
    update: PeerUpdate,
    known: StorePosition | None,
    configuration: TrafficConfiguration | None,
) -> RegistryChange | None:
    """Return the changes of an update, or None if changes before it are missing.

    Of an update of an earlier position only a newer configuration is returned.

    Parameters
    ----------
    update : PeerUpdate
        Update of a reader.
    known : StorePosition or None
        Position up to which all changes are known; None before the first listing.
    configuration : TrafficConfiguration or None
        Newest known configuration.

    Raises
    ------
    UpdateContentError
        If the content is malformed.
    """
    base = StorePosition(epoch=update.epoch, revision=update.base_revision)
    if not update.is_listing and (known is None or base > known):
        return None
    position = StorePosition(epoch=update.epoch, revision=update.revision)
    is_newer = known is None or position > known
    members = NO_MEMBERSHIP_CHANGE
    if update.members and is_newer:
        members = unpack(update.members, MembershipChange)
    version = NO_VERSION if configuration is None else configuration.version
    newer = None
    if update.change and update.version > version:
        newer = apply_change(configuration, unpack(update.change, ConfigurationChange))
        if newer is None:
            return None
    return RegistryChange(
        base_revision=(
            None if update.is_listing and is_newer else update.base_revision
        ),
        revision=update.revision,
        upstreams=members.upstreams,
        removed=members.removed,
        configuration=newer,
        evacuated=members.evacuated,
        returned=members.returned,
        epoch=update.epoch,
        evacuation_writes=members.evacuation_writes,
    )
