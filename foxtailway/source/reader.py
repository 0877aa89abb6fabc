"""Interface to the platform's read-only configuration service."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from expression import Result

from foxtailway.common.failure import Failure

__all__ = ["ChangeSet", "KeyRevision", "SourceReader", "SourceValue"]


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyRevision:
    """Tell at which revision a key was last written or deleted."""

    key: str
    revision: int
    is_deleted: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeSet:
    """List the keys that changed after a revision.

    Parameters
    ----------
    revision : int
        Revision of the whole store at the time of the answer.
    changes : tuple of KeyRevision
        Newest change of each changed key.
    is_complete : bool
        True when `changes` lists every existing key, which the store answers
        for revision 0 and for revisions whose deletions it has forgotten or
        which lie in its future.
    """

    revision: int
    changes: tuple[KeyRevision, ...]
    is_complete: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class SourceValue:
    """Hold a value read from the store."""

    key: str
    revision: int
    content: bytes


class SourceReader(ABC):
    """Read and watch the platform's store; nothing is ever written.

    Every call counts against the platform's budget, a waiting watch as one.
    """

    @abstractmethod
    async def list_changes(
        self, *, prefix: str, since: int, wait_s: float
    ) -> Result[ChangeSet, Failure]:
        """List the keys below `prefix` that changed after revision `since`.

        Parameters
        ----------
        prefix : str
            Key prefix, for example ``hosts/``; empty for all keys of the mesh.
        since : int
            Revision known to the caller; 0 lists all keys.
        wait_s : float
            Longest time to wait for a change, in seconds; 0 answers at once.

        Returns
        -------
        Result
            Changes, possibly none after `wait_s`.
        """

    @abstractmethod
    async def read_value(self, *, key: str) -> Result[SourceValue | None, Failure]:
        """Read the newest value of `key`; None when there is none."""
