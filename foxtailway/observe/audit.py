"""Audit trail of versions, bounded in memory."""

import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from foxtailway.common.clock import Clock
from foxtailway.model.bundle import BundleKind
from foxtailway.model.version import Version

__all__ = ["AuditAction", "AuditEntry", "AuditTrail"]


class AuditAction(Enum):
    """What a node did with a version or with a request."""

    APPLIED = "applied"
    REJECTED = "rejected"
    REFUSED_OLDER = "refused-older"
    REFUSED_CONFLICT = "refused-conflict"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True, kw_only=True)
class AuditEntry:
    """Record one action.

    Parameters
    ----------
    sequence : int
        Position in the trail, counted from 1 since the start of the node.
    time_s : float
        Time of the system clock, in seconds since 1970.
    monotonic_s : float
        Time of the monotonic clock, in seconds.
    action : AuditAction
        What was done.
    kind : BundleKind or None
        Sequence of the version.
    version : Version or None
        Version concerned.
    digest : str
        Whole digest of the version in hexadecimal.
    delivered_by : str
        Host identifier of the parent, or ``platform``.
    changed_keys : tuple of str
        Keys whose documents differ from the version in force before.
    changed_routes : tuple of str
        Routes that were added, removed or changed.
    reason : str
        Why the action was taken; never holds a secret.
    """

    sequence: int
    time_s: float
    monotonic_s: float
    action: AuditAction
    kind: BundleKind | None
    version: Version | None
    digest: str
    delivered_by: str
    changed_keys: tuple[str, ...]
    changed_routes: tuple[str, ...]
    reason: str


class AuditTrail:
    """Keep the newest entries.

    Parameters
    ----------
    size : int
        Entries kept.
    clock : Clock
        Monotonic clock.
    read_system_time : callable, default=time.time
        Function that returns the time of the system clock in seconds.

    Attributes
    ----------
    n_recorded : int
        Entries recorded since the start, dropped ones included.
    """

    def __init__(
        self,
        *,
        size: int,
        clock: Clock,
        read_system_time: Callable[[], float] = time.time,
    ) -> None:
        self.clock = clock
        self.read_system_time = read_system_time
        self.entries: deque[AuditEntry] = deque(maxlen=size)
        self.n_recorded = 0

    def record(
        self,
        *,
        action: AuditAction,
        delivered_by: str,
        kind: BundleKind | None = None,
        version: Version | None = None,
        changed_keys: tuple[str, ...] = (),
        changed_routes: tuple[str, ...] = (),
        reason: str = "",
    ) -> AuditEntry:
        """Append an entry, dropping the oldest one when the trail is full.

        Parameters
        ----------
        action : AuditAction
            What was done.
        delivered_by : str
            Host identifier of the parent, or ``platform``.
        kind : BundleKind or None, default=None
            Sequence of the version.
        version : Version or None, default=None
            Version concerned.
        changed_keys, changed_routes : tuple of str, default=()
            What the version changed.
        reason : str, default=""
            Why the action was taken; never holds a secret.

        Returns
        -------
        AuditEntry
            The appended entry.
        """
        self.n_recorded += 1
        entry = AuditEntry(
            sequence=self.n_recorded,
            time_s=self.read_system_time(),
            monotonic_s=self.clock.now(),
            action=action,
            kind=kind,
            version=version,
            digest=version.digest.hex() if version is not None else "",
            delivered_by=delivered_by,
            changed_keys=changed_keys,
            changed_routes=changed_routes,
            reason=reason,
        )
        self.entries.append(entry)
        return entry

    def list_since(self, sequence: int) -> tuple[AuditEntry, ...]:
        """Return the kept entries after `sequence`, oldest first."""
        return tuple(entry for entry in self.entries if entry.sequence > sequence)

    def find_last(self, action: AuditAction) -> AuditEntry | None:
        """Return the newest kept entry of an action."""
        for entry in reversed(self.entries):
            if entry.action is action:
                return entry
        return None
