"""Audit trail of a node, kept in memory with a bounded size."""

import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum

from foxtailway.common.clock import Clock
from foxtailway.model.bundle import BundleKind
from foxtailway.model.version import Version

__all__ = ["AuditAction", "AuditEntry", "AuditTrail"]


# Number of newest entries that are compared with a new one to detect a repetition.
N_COMPARED_ENTRIES = 8


class AuditAction(Enum):
    """Action of a node on a version or on a request."""

    APPLIED = "applied"
    REJECTED = "rejected"
    REFUSED_OLDER = "refused-older"
    REFUSED_CONFLICT = "refused-conflict"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True, kw_only=True)
class AuditEntry:
    """Action of a node, as recorded in the audit trail.

    Parameters
    ----------
    sequence : int
        Sequence number, which starts at 1 when the node starts.
    time_s : float
        Time of the system clock, in seconds since 1970.
    monotonic_s : float
        Time of the monotonic clock, in seconds.
    action : AuditAction
        Action that was performed.
    kind : BundleKind or None
        Kind of the version; None if the action concerns no bundle.
    version : Version or None
        Version concerned; None if unknown.
    digest : str
        Full digest of the version in hexadecimal; empty without a version.
    delivered_by : str
        Peer that sent the version, or ``platform``; empty if there is none.
    changed_keys : tuple of str
        Keys whose documents differ from the version previously in force.
    changed_routes : tuple of str
        Routes that were added, removed or changed.
    reason : str
        Reason for the action; never contains a secret.
    n_times : int
        Number of occurrences of the action.
    last_time_s : float
        Time of the system clock at the last occurrence, in seconds since 1970.
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
        """Return whether another entry records a repetition of the same action."""
        return other == replace(
            self,
            sequence=other.sequence,
            time_s=other.time_s,
            monotonic_s=other.monotonic_s,
            n_times=other.n_times,
            last_time_s=other.last_time_s,
        )


class AuditTrail:
    """Bounded list of the newest audit entries.

    A rejection or refusal that repeats one of the newest entries is counted in
    that entry, so that a persistent fault does not displace all other entries.

    Parameters
    ----------
    size : int
        Maximum number of stored entries.
    clock : Clock
        Monotonic clock.
    read_system_time : callable, default=time.time
        Function that returns the time of the system clock in seconds.

    Attributes
    ----------
    n_recorded : int
        Entries appended since the start, including those already dropped.
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
        """Append an entry, or count a repetition in an existing one.

        A full trail drops its oldest entry.

        Parameters
        ----------
        action : AuditAction
            Action that was performed.
        delivered_by : str
            Peer that sent the version, or ``platform``; empty if there is none.
        kind : BundleKind or None, default=None
            Kind of the version.
        version : Version or None, default=None
            Version concerned.
        changed_keys, changed_routes : tuple of str, default=()
            Documents and routes that the version changed.
        reason : str, default=""
            Reason for the action; never contains a secret.

        Returns
        -------
        AuditEntry
            The appended entry, or the existing entry with its new count.
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
        """Append an entry and count it in `n_recorded`."""
        self.n_recorded += 1
        self.entries.append(entry)
        return entry

    def count_repeat(self, entry: AuditEntry) -> AuditEntry | None:
        """Return the updated entry that `entry` repeats, or None.

        Applied versions are never merged, so that the trail shows the order in
        which versions were in force.
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
        """Return the stored entries after `sequence`, oldest first."""
        return tuple(entry for entry in self.entries if entry.sequence > sequence)

    def find_last(self, action: AuditAction) -> AuditEntry | None:
        """Return the newest stored entry of an action, or None."""
        for entry in reversed(self.entries):
            if entry.action is action:
                return entry
        return None
