"""Check of audit trails against what operators published."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from foxtailway.config.generation import read_generation
from foxtailway.model.bundle import (
    BASE_KEY,
    HOSTS_PREFIX,
    BundleKind,
    make_bundle,
    make_document,
)

__all__ = ["PublishedStates", "PublishedWrite", "find_violations", "rank_version"]


def rank_version(text: str) -> tuple[int, int]:
    """Return generation and revision of a printed version.

    Examples
    --------
    >>> rank_version("2.17-a1b2c3d4")
    (2, 17)
    """
    numbers, _, _ = text.partition("-")
    generation, _, revision = numbers.partition(".")
    return int(generation), int(revision)


@dataclass(frozen=True, slots=True, kw_only=True)
class PublishedWrite:
    """Record a value that the platform accepted.

    Parameters
    ----------
    revision : int
        Revision that the platform answered.
    key : str
        Key of the value.
    content : bytes
        The value.
    is_valid : bool
        Whether nodes may apply a version that holds the value.
    """

    revision: int
    key: str
    content: bytes
    is_valid: bool


class PublishedStates:
    """Follow the store, to know every version that a node may apply."""

    def __init__(self) -> None:
        self.writes: list[PublishedWrite] = []
        self.restored_digests: set[tuple[str, str]] = set()

    def record(self, write: PublishedWrite) -> None:
        """Add an accepted write; writes may be noted out of order."""
        self.writes.append(write)
        self.writes.sort(key=lambda noted: noted.revision)

    def restore(self, revision: int) -> None:
        """Follow the store back to an older revision."""
        self.restored_digests = self.list_valid_states()
        self.writes = [write for write in self.writes if write.revision <= revision]

    def list_valid_states(self) -> set[tuple[str, str]]:
        """Return kind and digest of each state without an invalid value."""
        digests = set(self.restored_digests)
        values: dict[str, PublishedWrite] = {}
        for write in self.writes:
            values[write.key] = write
            for kind in BundleKind:
                held = select(values, kind)
                if held and all(item.is_valid for item in held):
                    digests.add((kind.value, digest(kind, held)))
        return digests

    def find_newest_digest(self, kind: BundleKind) -> str:
        """Return the digest of the newest state of a kind."""
        values = {write.key: write for write in self.writes}
        return digest(kind, select(values, kind))

    @property
    def generation(self) -> int:
        """Return the generation of the newest base file."""
        bases = [write for write in self.writes if write.key == BASE_KEY]
        return read_generation(bases[-1].content).ok


def select(values: dict[str, PublishedWrite], kind: BundleKind) -> list[PublishedWrite]:
    """Return the writes that belong to a kind."""
    is_hosts = kind is BundleKind.HOSTS
    return [
        write
        for key, write in values.items()
        if key.startswith(HOSTS_PREFIX) is is_hosts
    ]


def digest(kind: BundleKind, writes: Iterable[PublishedWrite]) -> str:
    """Return the digest of a state in hexadecimal."""
    documents = [make_document(key=item.key, content=item.content) for item in writes]
    bundle = make_bundle(kind=kind, generation=0, revision=0, documents=documents)
    return bundle.version.digest.hex()


def find_violations(
    entries: Iterable[dict[str, Any]], *, valid: set[tuple[str, str]]
) -> list[str]:
    """Return what one process applied against the rules, in words.

    Parameters
    ----------
    entries : iterable of dict
        Audit trail of the process, oldest first.
    valid : set of tuple
        Kind and digest of each state that may be applied.

    Returns
    -------
    list of str
        A line for each version that is not newer than the one before it, or
        that is not a whole, valid state of the store.
    """
    breaches = []
    newest: dict[str, tuple[int, int]] = {}
    for entry in entries:
        if entry["action"] != "applied":
            continue
        kind, version = entry["kind"], entry["version"]
        rank = rank_version(version)
        if rank <= newest.get(kind, (-1, -1)):
            breaches.append(f"{kind} {version} applied after {newest[kind]}")
        newest[kind] = rank
        if (kind, entry["digest"]) not in valid:
            breaches.append(f"{kind} {version} is no valid state of the store")
    return breaches
