"""Admission of registry changes, of which a part may be outdated."""

from dataclasses import replace

from foxtailway.traffic.membership import Membership, Upstream, UpstreamState
from foxtailway.traffic.registry_change import EvacuationWrite, RegistryChange

__all__ = ["RestoreGuard"]

# Time for which an evacuation that is missing from a copy stays in force, so that the
# operator can request it again. It equals the time within which an evacuation has to
# be in force everywhere.
EVACUATION_GRACE_S = 5.0
# Bound of the known writes of evacuations. A copy is seconds old, so only the last
# ones may return.
MAX_EVACUATION_WRITES = 64


class RestoreGuard:
    """Keeps what has left from returning with a late write or a restored copy.

    Parameters
    ----------
    membership : Membership
        State to which the admitted changes are applied.

    Attributes
    ----------
    left : dict of str to Upstream
        Last known entry, by identifier, of each upstream that was draining or removed
        when the current epoch began and has no newer entry.
    writes : dict of EvacuationWrite to None
        Known writes of evacuations, the last one of each zone after the others.
    ended_writes : frozenset of EvacuationWrite
        Those of them that had ended when the current epoch began and may be in the
        copy.

    Notes
    -----
    A listing does not tell entries of the copy from those written since the restore.
    An upstream that had left returns with a later start time or sequence. All changes
    after a listing of the epoch were written after the restore, so of their entries
    only those are replaced that are outdated (`Membership.resolve`).
    """

    def __init__(self, *, membership: Membership) -> None:
        self.membership = membership
        self.left: dict[str, Upstream] = {}
        self.writes: dict[EvacuationWrite, None] = {}
        self.ended_writes: frozenset[EvacuationWrite] = frozenset()

    def begin_epoch(self, change: RegistryChange, now: float) -> None:
        """Prepare for the first listing of a new epoch.

        Parameters
        ----------
        change : RegistryChange
            The listing.
        now : float
            Monotonic time in seconds.
        """
        membership = self.membership
        draining = {
            upstream_id: upstream
            for upstream_id, upstream in membership.upstreams.items()
            if upstream.state is UpstreamState.DRAINING
        }
        self.left = membership.removed | draining
        # A write that is newer than the listing is not in the copy. If its revision
        # occurs again, it is that of another write.
        self.ended_writes = frozenset(
            write
            for write in self.writes
            if write.revision <= change.revision
            and not membership.is_evacuated(write.zone)
        )
        membership.begin_recovery(now)
        missing = membership.evacuated_zones.difference(change.evacuated)
        membership.hold_evacuations(missing, now + EVACUATION_GRACE_S)

    def admit(self, change: RegistryChange) -> RegistryChange:
        """Return the part of a change of the current epoch that may be applied."""
        if change.base_revision is None:
            change = self.filter_listing(change)
        else:
            self.record_newer_entries(change)
        for write in change.evacuation_writes:
            self.writes.pop(write, None)
            self.writes[write] = None
        while len(self.writes) > MAX_EVACUATION_WRITES:
            del self.writes[next(iter(self.writes))]
        return self.replace_outdated(change)

    def replace_outdated(self, change: RegistryChange) -> RegistryChange:
        """Return a change with what is known in place of its outdated entries.

        That is a newer entry or a removal, so that a node to which the change is
        forwarded, and which lacks the newer state, does not use the outdated entry.
        """
        resolved = {
            upstream.upstream_id: self.membership.resolve(upstream)
            for upstream in change.upstreams
        }
        upstreams = tuple(item for item in resolved.values() if item is not None)
        removed = change.removed
        if change.base_revision is not None:
            removed += tuple(key for key, item in resolved.items() if item is None)
        return replace(change, upstreams=upstreams, removed=removed)

    def filter_listing(self, change: RegistryChange) -> RegistryChange:
        """Return a listing without the entries that had left before the epoch.

        An upstream that is known to be draining keeps its known entry.
        """
        upstreams: list[Upstream] = []
        for upstream in change.upstreams:
            left = self.left.get(upstream.upstream_id)
            if left is None or left.is_older_than(upstream):
                self.left.pop(upstream.upstream_id, None)
                upstreams.append(upstream)
                continue
            known = self.membership.upstreams.get(upstream.upstream_id)
            if known is not None:
                upstreams.append(known)
        last_writes = {write.zone: write for write in change.evacuation_writes}
        evacuated = tuple(
            zone
            for zone in change.evacuated
            if last_writes.get(zone) not in self.ended_writes
        )
        return replace(change, upstreams=tuple(upstreams), evacuated=evacuated)

    def record_newer_entries(self, change: RegistryChange) -> None:
        """Record that the entries of a change were written after the restore."""
        for upstream in change.upstreams:
            self.left.pop(upstream.upstream_id, None)
        for upstream_id in change.removed:
            self.left.pop(upstream_id, None)
        zones = {*change.evacuated, *change.returned}
        if self.ended_writes and zones:
            self.ended_writes = frozenset(
                write for write in self.ended_writes if write.zone not in zones
            )
