"""Versioned key-value store behind the stand-in of the platform."""

from bisect import bisect_right
from dataclasses import dataclass

__all__ = ["PlatformStore", "StoredValue"]


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredValue:
    """Hold what was written to a key at a revision; None for a deletion."""

    key: str
    revision: int
    content: bytes | None


class PlatformStore:
    """Keep every write of every key, so that older revisions can be answered.

    Attributes
    ----------
    revision : int
        Revision of the newest write; 0 for an empty store.
    compacted_revision : int
        Deletions up to this revision are forgotten.

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
        """Return the last write of `key` up to revision `at`."""
        writes = self.history.get(key, [])
        index = bisect_right(writes, at, key=lambda stored: stored.revision)
        return writes[index - 1] if index else None

    def read(self, key: str, *, at: int) -> StoredValue | None:
        """Return the value of `key` at a revision; None when there is none."""
        stored = self.find(key, at=at)
        return None if stored is None or stored.content is None else stored

    def is_full_listing(self, *, since: int, at: int) -> bool:
        """Tell whether the changes after `since` can't be listed one by one."""
        return since == 0 or since < self.compacted_revision or since > at

    def list_changes(
        self, *, prefix: str, since: int, at: int
    ) -> tuple[StoredValue, ...]:
        """Return the newest write of each key that changed after `since`.

        Parameters
        ----------
        prefix : str
            Prefix of the listed keys.
        since : int
            Revision known to the caller.
        at : int
            Revision at which the store is looked at.

        Returns
        -------
        tuple of StoredValue
            Existing keys only when `is_full_listing` holds, else deletions as well.
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
        """Forget every write after `revision`, as a restored backup does."""
        self.revision = min(revision, self.revision)
        self.compacted_revision = min(self.compacted_revision, self.revision)
        for key, writes in list(self.history.items()):
            kept = [stored for stored in writes if stored.revision <= self.revision]
            if kept:
                self.history[key] = kept
            else:
                del self.history[key]
