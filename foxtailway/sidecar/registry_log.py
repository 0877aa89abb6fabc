"""Log of the changes of the registry that a sidecar applies."""

from collections.abc import Iterable

from foxtailway.sidecar.log import EventLog
from foxtailway.traffic.membership import Membership
from foxtailway.traffic.registry_change import RegistryChange, StorePosition

__all__ = ["RegistryLog"]


class RegistryLog:
    """Write the changes of the registry to the event log before they are applied.

    Parameters
    ----------
    membership : Membership
        State before the changes.
    log : EventLog
        Event log.
    """

    def __init__(self, *, membership: Membership, log: EventLog) -> None:
        self.membership = membership
        self.log = log

    def write_restore(
        self,
        listing: RegistryChange,
        admitted: RegistryChange,
        previous: StorePosition,
    ) -> None:
        """Log that the store was restored from an older copy.

        Parameters
        ----------
        listing : RegistryChange
            First listing of the new epoch.
        admitted : RegistryChange
            Part of it that is applied.
        previous : StorePosition
            Position before the restore.
        """
        listed = {upstream.upstream_id for upstream in listing.upstreams}
        missing = self.membership.upstreams.keys() - listed
        n_withheld = sum(
            len(before) - len(after)
            for before, after in (
                (listing.upstreams, admitted.upstreams),
                (listing.evacuated, admitted.evacuated),
            )
        )
        self.log.write(
            "store_restored",
            epoch=listing.epoch,
            revision=listing.revision,
            previous_epoch=previous.epoch,
            previous_revision=previous.revision,
            n_missing=len(missing) + len(self.membership.held_evacuations),
            n_withheld=n_withheld,
        )

    def write_outdated(self, change: RegistryChange) -> None:
        """Log the entries of a change that were written before what is known."""
        for upstream in change.upstreams:
            resolved = self.membership.resolve(upstream)
            if resolved is not upstream:
                self.log.write(
                    "entry_outdated",
                    upstream=upstream.upstream_id,
                    sequence=upstream.sequence,
                    has_left=resolved is None,
                    revision=change.revision,
                )

    def write_evacuations(
        self, change: RegistryChange, returned: Iterable[str]
    ) -> None:
        """Log the evacuations that begin or end.

        Parameters
        ----------
        change : RegistryChange
            Change that is about to be applied.
        returned : iterable of str
            Zones whose evacuation it ends.
        """
        known = self.membership.evacuated_zones
        for zone in change.evacuated:
            if zone not in known:
                self.log.write("evacuation_began", zone=zone, revision=change.revision)
        for zone in returned:
            self.log.write("evacuation_ended", zone=zone, revision=change.revision)

    def write_upstreams(
        self, change: RegistryChange, removed: Iterable[str], now: float
    ) -> None:
        """Log the upstreams that are added, removed or in a new state.

        A removal is logged with the time for which the upstream stays available.

        Parameters
        ----------
        change : RegistryChange
            Change that is about to be applied.
        removed : iterable of str
            Identifiers of the upstreams that it removes.
        now : float
            Monotonic time in seconds.
        """
        grace_s = max(0.0, self.membership.grace_ends_at - now)
        known = self.membership.upstreams
        for upstream in change.upstreams:
            registered = known.get(upstream.upstream_id)
            if registered is not None and registered.state is upstream.state:
                continue
            self.log.write(
                "upstream_changed",
                upstream=upstream.upstream_id,
                state=upstream.state.value,
                address=upstream.address,
                revision=change.revision,
            )
        for upstream_id in removed:
            self.log.write(
                "upstream_removed",
                upstream=upstream_id,
                revision=change.revision,
                grace_s=round(grace_s, 3),
            )
