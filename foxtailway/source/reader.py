"""Interface of clients of the platform's read-only configuration service."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from expression import Result

from foxtailway.common.failure import Failure

__all__ = ["ChangeSet", "KeyRevision", "SourceReader", "SourceValue"]


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyRevision:
    """Revision at which a key was last written or deleted."""

    key: str
    revision: int
    is_deleted: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeSet:
    """Keys that changed after a revision.

    Parameters
    ----------
    revision : int
        Revision of the whole store at the time of the response.
    changes : tuple of KeyRevision
        Newest change of each changed key.
    is_complete : bool
        Whether `changes` lists every existing key. The store does so for
        revision 0, for revisions after which it no longer has all deletions,
        and for revisions higher than its own.
    """

    revision: int
    changes: tuple[KeyRevision, ...]
    is_complete: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class SourceValue:
    """Value of a key with the revision at which it was written."""

    key: str
    revision: int
    content: bytes


class SourceReader(ABC):
    """Read and watch the platform's store, without writes.

    Each call counts against the platform's rate limit; a watch is one call.
    """

    @abstractmethod
    async def list_changes(
        self, *, prefix: str, since: int, wait_s: float
    ) -> Result[ChangeSet, Failure]:
        """Return the keys with a prefix that changed after revision `since`.

        Parameters
        ----------
        prefix : str
            Key prefix, for example ``hosts/``; empty for all keys of the mesh.
        since : int
            Revision that the caller already has; 0 lists all keys.
        wait_s : float
            Longest wait for a change, in seconds; 0 returns at once.

        Returns
        -------
        Result
            Changes, empty if there was none within `wait_s`; or a failure.
        """

    @abstractmethod
    async def read_value(self, *, key: str) -> Result[SourceValue | None, Failure]:
        """Return the newest value of `key`; None if the key does not exist."""
