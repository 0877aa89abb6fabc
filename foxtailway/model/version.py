"""Versions of bundles and their order."""

from dataclasses import dataclass
from enum import Enum

__all__ = ["Version", "VersionOrder", "compare_versions"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Version:
    """Version of a set of documents.

    Parameters
    ----------
    generation : int
        Counter that operators raise in the base file, for example after the
        store was restored from a backup. Takes precedence over `revision`.
    revision : int
        Revision of the platform's store at which it held the set.
    digest : bytes
        BLAKE2b digest of the set, 16 bytes.
    """

    generation: int
    revision: int
    digest: bytes

    def __str__(self) -> str:
        """Return ``generation.revision-digest`` with a short digest."""
        return f"{self.generation}.{self.revision}-{self.digest.hex()[:8]}"


class VersionOrder(Enum):
    """Order of an offered version relative to the held one."""

    NEWER = "newer"
    SAME = "same"
    OLDER = "older"
    CONFLICT = "conflict"


def compare_versions(*, held: Version | None, offered: Version) -> VersionOrder:
    """Return the order of an offered version relative to the held one.

    Parameters
    ----------
    held : Version or None
        Newest version that the node has; None if it has none yet.
    offered : Version
        Version from a peer or from the platform.

    Returns
    -------
    VersionOrder
        ``CONFLICT`` if generation and revision are equal but the digests differ.

    Examples
    --------
    >>> old = Version(generation=1, revision=9, digest=b"a")
    >>> new = Version(generation=2, revision=3, digest=b"b")
    >>> compare_versions(held=old, offered=new)
    <VersionOrder.NEWER: 'newer'>
    """
    if held is None:
        return VersionOrder.NEWER
    held_rank = (held.generation, held.revision)
    offered_rank = (offered.generation, offered.revision)
    if offered_rank > held_rank:
        return VersionOrder.NEWER
    if offered_rank < held_rank:
        return VersionOrder.OLDER
    if offered.digest == held.digest:
        return VersionOrder.SAME
    return VersionOrder.CONFLICT
