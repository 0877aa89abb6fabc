"""Versioned key-value store of the fake platform."""

from bisect import bisect_right
from dataclasses import dataclass

__all__ = ["PlatformStore", "StoredValue"]


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredValue:
    """One write of a key.

    Parameters
    ----------
    key : str
        Key of the value.
    revision : int
        Revision of the store after the write.
    content : bytes or None
        The value; None for a deletion.
    """

    key: str
    revision: int
    content: bytes | None


class PlatformStore:
    """Store that retains every write, so that older revisions can be read.

    Attributes
    ----------
    revision : int
        Revision of the newest write; 0 for an empty store.
    compacted_revision : int
        Deletions up to this revision are no longer listed.

    Examples
    --------
    >>> store = PlatformStore()
    >>> store.write("base", b"[mesh]")
    1
    >>> store.read("base", at=1).content
    b'[mesh]'
    """

    def __init__(self) -> None:
        self.revision = 0
        self.compacted_revision = 0
        self.history: dict[str, list[StoredValue]] = {}

    def write(self, key: str, content: bytes | None) -> int:
        """Write or delete a key and return the new revision."""
        self.revision += 1
        stored = StoredValue(key=key, revision=self.revision, content=content)
        self.history.setdefault(key, []).append(stored)
        return self.revision

    def find(self, key: str, *, at: int) -> StoredValue | None:
        """Return the last write of `key` up to revision `at`; None if there is none."""
        writes = self.history.get(key, [])
        index = bisect_right(writes, at, key=lambda stored: stored.revision)
        return writes[index - 1] if index else None

    def read(self, key: str, *, at: int) -> StoredValue | None:
        """Return the value of `key` at revision `at`; None if there is none."""
        stored = self.find(key, at=at)
        return None if stored is None or stored.content is None else stored

    def is_full_listing(self, *, since: int, at: int) -> bool:
        """Return whether all keys are listed instead of the changes after `since`.

        This is the case for a first listing, and for a revision that is compacted
        or newer than the store.
        """
        return since == 0 or since < self.compacted_revision or since > at

    def list_changes(
        self, *, prefix: str, since: int, at: int
    ) -> tuple[StoredValue, ...]:
        """Return the last write of each key that changed after `since`.

        Parameters
        ----------
        prefix : str
            Prefix of the keys to list.
        since : int
            Last revision known to the caller; 0 for none.
        at : int
            Revision of the store to list.

        Returns
        -------
        tuple of StoredValue
            Sorted by key; only existing keys if `is_full_listing` returns True, else
            deletions as well.
        """
        is_full = self.is_full_listing(since=since, at=at)
        changes = []
        for key in sorted(self.history):
            stored = self.find(key, at=at) if key.startswith(prefix) else None
            if stored is None:
                continue
            if stored.content is not None if is_full else stored.revision > since:
                changes.append(stored)
        return tuple(changes)

    def restore(self, revision: int) -> None:
        """Discard every write after `revision`, like a restore from a backup."""
        self.revision = min(revision, self.revision)
        self.compacted_revision = min(self.compacted_revision, self.revision)
        for key, writes in list(self.history.items()):
            remaining = [
                stored for stored in writes if stored.revision <= self.revision
            ]
            if remaining:
                self.history[key] = remaining
            else:
                del self.history[key]
