"""Audit trail of versions, bounded in memory."""

import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum

from foxtailway.common.clock import Clock
from foxtailway.model.bundle import BundleKind
from foxtailway.model.version import Version

__all__ = ["AuditAction", "AuditEntry", "AuditTrail"]


N_COMPARED_ENTRIES = 8


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
    n_times : int
        Times that the same was done.
    last_time_s : float
        Time of the system clock at the last of them, in seconds since 1970.
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
    n_times: int
    last_time_s: float

    def is_repeated_by(self, other: "AuditEntry") -> bool:
        """Tell whether another entry records the same once more."""
        return other == replace(
            self,
            sequence=other.sequence,
            time_s=other.time_s,
            monotonic_s=other.monotonic_s,
            n_times=other.n_times,
            last_time_s=other.last_time_s,
        )


class AuditTrail:
    """Keep the newest entries.

    A rejection or refusal that repeats one of the newest entries is counted
    there, so that a lasting fault does not push everything else out.

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
        """Append an entry or count a repeat; the oldest entry goes when full.

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
            The appended or repeated entry.
        """
        time_s = self.read_system_time()
        entry = AuditEntry(
            sequence=self.n_recorded + 1,
            time_s=time_s,
            monotonic_s=self.clock.now(),
            action=action,
            kind=kind,
            version=version,
            digest=version.digest.hex() if version is not None else "",
            delivered_by=delivered_by,
            changed_keys=changed_keys,
            changed_routes=changed_routes,
            reason=reason,
            n_times=1,
            last_time_s=time_s,
        )
        return self.count_repeat(entry) or self.append(entry)

    def append(self, entry: AuditEntry) -> AuditEntry:
        """Append an entry."""
        self.n_recorded += 1
        self.entries.append(entry)
        return entry

    def count_repeat(self, entry: AuditEntry) -> AuditEntry | None:
        """Count an entry that repeats one of the newest; None for a new one.

        Each application stands by itself, so that the order of versions in
        force can be read from the trail.
        """
        if entry.action is AuditAction.APPLIED:
            return None
        oldest = max(0, len(self.entries) - N_COMPARED_ENTRIES)
        for index in range(len(self.entries) - 1, oldest - 1, -1):
            earlier = self.entries[index]
            if earlier.is_repeated_by(entry):
                repeated = replace(
                    earlier, n_times=earlier.n_times + 1, last_time_s=entry.time_s
                )
                self.entries[index] = repeated
                return repeated
        return None

    def list_since(self, sequence: int) -> tuple[AuditEntry, ...]:
        """Return the kept entries after `sequence`, oldest first."""
        return tuple(entry for entry in self.entries if entry.sequence > sequence)

    def find_last(self, action: AuditAction) -> AuditEntry | None:
        """Return the newest kept entry of an action."""
        for entry in reversed(self.entries):
            if entry.action is action:
                return entry
        return None
