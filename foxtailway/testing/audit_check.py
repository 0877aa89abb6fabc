"""Check of audit trails against the published values."""

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
    """Return generation and revision of a version in text form, to compare versions.

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
    """Write of a value that the platform accepted.

    Parameters
    ----------
    revision : int
        Revision that the platform returned.
    key : str
        Key of the value.
    content : bytes
        The value.
    is_valid : bool
        Whether nodes may apply a version that contains the value.
    """

    revision: int
    key: str
    content: bytes
    is_valid: bool


class PublishedStates:
    """Model of the store that knows every state that a node may apply."""

    def __init__(self) -> None:
        self.writes: list[PublishedWrite] = []
        self.restored_digests: set[tuple[str, str]] = set()

    def record(self, write: PublishedWrite) -> None:
        """Add an accepted write; writes may be added in any order."""
        self.writes.append(write)
        self.writes.sort(key=lambda recorded: recorded.revision)

    def restore(self, revision: int) -> None:
        """Discard the writes after an older revision, like a restored store.

        States that were valid before the restore remain valid.
        """
        self.restored_digests = self.list_valid_states()
        self.writes = [write for write in self.writes if write.revision <= revision]

    def list_valid_states(self) -> set[tuple[str, str]]:
        """Return kind and digest of each state that contains no invalid value."""
        digests = set(self.restored_digests)
        values: dict[str, PublishedWrite] = {}
        for write in self.writes:
            values[write.key] = write
            for kind in BundleKind:
                selected = select_writes(values, kind)
                if selected and all(item.is_valid for item in selected):
                    digests.add((kind.value, compute_digest(kind, selected)))
        return digests

    def find_newest_digest(self, kind: BundleKind) -> str:
        """Return the digest of the newest state of a kind, in hexadecimal."""
        values = {write.key: write for write in self.writes}
        return compute_digest(kind, select_writes(values, kind))

    @property
    def generation(self) -> int:
        """Return the generation of the newest base file."""
        bases = [write for write in self.writes if write.key == BASE_KEY]
        return read_generation(bases[-1].content).ok


def select_writes(
    values: dict[str, PublishedWrite], kind: BundleKind
) -> list[PublishedWrite]:
    """Return the writes whose keys belong to a kind of bundle."""
    is_hosts = kind is BundleKind.HOSTS
    return [
        write
        for key, write in values.items()
        if key.startswith(HOSTS_PREFIX) is is_hosts
    ]


def compute_digest(kind: BundleKind, writes: Iterable[PublishedWrite]) -> str:
    """Return the digest of a state, in hexadecimal."""
    documents = [make_document(key=item.key, content=item.content) for item in writes]
    bundle = make_bundle(kind=kind, generation=0, revision=0, documents=documents)
    return bundle.version.digest.hex()


def find_violations(
    entries: Iterable[dict[str, Any]], *, valid: set[tuple[str, str]]
) -> list[str]:
    """Return a description of each version that a process must not have applied.

    Parameters
    ----------
    entries : iterable of dict
        Audit trail of the process, oldest first.
    valid : set of tuple
        Kind and digest of each state that may be applied.

    Returns
    -------
    list of str
        One line for each version that is not newer than the version applied before
        it, and one for each that is not a complete, valid state of the store.
    """
    violations = []
    newest: dict[str, tuple[int, int]] = {}
    for entry in entries:
        if entry["action"] != "applied":
            continue
        kind, version = entry["kind"], entry["version"]
        rank = rank_version(version)
        if rank <= newest.get(kind, (-1, -1)):
            violations.append(f"{kind} {version} applied after {newest[kind]}")
        newest[kind] = rank
        if (kind, entry["digest"]) not in valid:
            violations.append(f"{kind} {version} is not a valid state of the store")
    return violations
