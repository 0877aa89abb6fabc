"""Upstreams that are registered, with tolerance of registry outages."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

__all__ = ["Membership", "Upstream", "UpstreamState"]

# Time after the end of an outage of the registry in which missing entries count as
# expired; upstreams register again within about two seconds.
REGISTRATION_GRACE_S = 2.3
# Least number of removed upstreams whose last entries are retained. Otherwise it is the
# number of registered upstreams, so that one is forgotten only after as many others
# have left: replacing all of them takes longer than the delay of a write.
MIN_RETAINED = 1_000


class UpstreamState(Enum):
    """State that tells whether an upstream accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True, kw_only=True)
class Upstream:
    """Registry entry of one incarnation of an upstream.

    Parameters
    ----------
    upstream_id : str
        Identifier of the upstream.
    service : str
        Service that the upstream belongs to.
    address : str
        IP address of its host.
    port : int
        TCP port of the upstream itself.
    zone : str
        Availability zone.
    n_slots : int
        Requests that the upstream runs at once.
    state : UpstreamState
        Whether the upstream accepts new requests.
    warm_up_s : float
        Time for which the upstream is slow after its start, in seconds.
    start_time_ms : int
        Start of the incarnation, Unix time in milliseconds; 0 if unknown.
    sequence : int
        Number of the entry within the incarnation; a larger number is newer.
    created_revision : int
        Revision of the registry at which the entry was created; 0 if unknown.
    created_epoch : int, default=0
        Epoch of the registry to which that revision belongs.
    """

    upstream_id: str
    service: str
    address: str
    port: int
    zone: str
    n_slots: int
    state: UpstreamState
    warm_up_s: float
    start_time_ms: int
    sequence: int
    created_revision: int
    created_epoch: int = 0

    @property
    def endpoint(self) -> tuple[str, str, int]:
        """Service, address and port, which at most one running upstream has."""
        return (self.service, self.address, self.port)

    def is_superseded_by(self, other: "Upstream") -> bool:
        """Return whether another upstream of the same endpoint has replaced this one.

        Start times are wall-clock times of several hosts, and an entry may be written
        late, so that both orders have to agree.
        """
        return 0 < self.start_time_ms < other.start_time_ms and other.is_created_after(
            self
        )

    def is_created_after(self, other: "Upstream") -> bool:
        """Return whether the registry created this entry after another one.

        Revisions of two epochs of the registry have no order.
        """
        return (
            self.created_epoch == other.created_epoch
            and 0 < other.created_revision < self.created_revision
        )

    def is_older_than(self, other: "Upstream") -> bool:
        """Return whether this entry precedes another one of the same upstream.

        Entries without a start time have no order; the result is then False.
        """
        if not self.has_order or not other.has_order:
            return False
        return (self.start_time_ms, self.sequence) < (
            other.start_time_ms,
            other.sequence,
        )

    @property
    def has_order(self) -> bool:
        """Whether the entry can be compared with others of the same upstream."""
        return self.start_time_ms > 0


class Membership:
    """Set of the upstreams that may receive requests.

    Attributes
    ----------
    upstreams : dict of str to Upstream
        Registered upstreams by identifier, including expired ones in their grace
        period.
    expired : dict of str to float
        End of the grace period of each expired upstream by identifier, as monotonic
        time in seconds.
    removed : dict of str to Upstream
        Last known entries of removed upstreams by identifier, in order of removal. No
        upstream is in `upstreams` as well.
    regained_at : float
        Monotonic time in seconds at which the registry was regained after an outage
        in which entries may have expired; minus infinity for none.
    evacuated_zones : frozenset of str
        Zones whose upstreams get no requests.
    evacuation_began_at : dict of str to float
        Monotonic time in seconds at which this node learned of the evacuation of each
        of them.
    evacuation_ended_at : dict of str to float
        Monotonic time in seconds at which this node learned of the end of the last
        evacuation of each other zone that was evacuated.
    held_evacuations : dict of str to float
        End of the grace period of each evacuation that is missing after a restore of
        the registry, as monotonic time in seconds.

    Notes
    -----
    A removal takes effect at once while the registry works. An upstream whose entry
    is removed after an outage stays available until `REGISTRATION_GRACE_S` after its
    end, since it may only have been unable to renew its entry. `RegistryAccess` tells
    an outage from a failed call. The entry of an upstream that ended without notice
    stays for several heartbeats; it is dropped as soon as a newer upstream registers
    at its endpoint. An entry may be written late, even after a newer one was removed;
    `resolve` decides what holds. An evacuation is in force until it is known to have
    ended, also while the registry is unavailable. The argument `now` of the methods is
    the monotonic time in seconds.
    """

    def __init__(self) -> None:
        self.upstreams: dict[str, Upstream] = {}
        self.expired: dict[str, float] = {}
        self.removed: dict[str, Upstream] = {}
        self.by_service: dict[str, tuple[Upstream, ...]] = {}
        self.regained_at = float("-inf")
        self.evacuated_zones: frozenset[str] = frozenset()
        self.evacuation_began_at: dict[str, float] = {}
        self.evacuation_ended_at: dict[str, float] = {}
        self.held_evacuations: dict[str, float] = {}

    @property
    def grace_ends_at(self) -> float:
        """Monotonic time until which upstreams without an entry stay available."""
        return self.regained_at + REGISTRATION_GRACE_S

    def is_recovering(self, now: float) -> bool:
        """Return whether entries may be missing because of an outage."""
        return now < self.grace_ends_at

    def begin_recovery(self, now: float) -> None:
        """Start the grace period of the entries that a restored registry lacks."""
        self.regained_at = now
        for upstream_id in self.expired:
            self.expired[upstream_id] = self.grace_ends_at

    def list_registered(self) -> tuple[Upstream, ...]:
        """Return the upstreams whose registry entry has not expired."""
        return tuple(
            upstream
            for upstream_id, upstream in self.upstreams.items()
            if upstream_id not in self.expired
        )

    def put(self, upstream: Upstream) -> None:
        """Add an upstream or replace its entry, unless the given entry is older."""
        self.record_entry(upstream)
        self.rebuild_index()

    def resolve(self, upstream: Upstream) -> Upstream | None:
        """Return what holds for an upstream of which the registry has an entry.

        Parameters
        ----------
        upstream : Upstream
            Entry, which may have been written late.

        Returns
        -------
        Upstream or None
            The entry, or the known one if that is newer. None if the upstream has left
            since it wrote the entry: its removal is known, or shows in the entry, which
            is older than the known one and was created after it.

        Notes
        -----
        All entries pass through here, whoever brings them. An upstream that registers
        again writes a newer entry than the last one before its removal. An entry
        without an order is taken as it is.
        """
        known = self.upstreams.get(upstream.upstream_id)
        if known is not None:
            if not upstream.is_older_than(known):
                return upstream
            return None if upstream.is_created_after(known) else known
        left = self.removed.get(upstream.upstream_id)
        if left is None or not left.has_order or not upstream.has_order:
            return upstream
        return upstream if left.is_older_than(upstream) else None

    def record_entry(self, upstream: Upstream) -> bool:
        """Store an entry unless a newer state of its upstream is known.

        The caller has to rebuild the index.

        Returns
        -------
        bool
            Whether the upstream is registered; False if it has left.
        """
        resolved = self.resolve(upstream)
        if resolved is upstream:
            self.expired.pop(upstream.upstream_id, None)
            self.removed.pop(upstream.upstream_id, None)
            self.upstreams[upstream.upstream_id] = upstream
        return resolved is not None

    def update(
        self, upstreams: Iterable[Upstream], removed: Iterable[str], now: float
    ) -> None:
        """Apply added, changed and removed registry entries."""
        left = [
            upstream.upstream_id
            for upstream in upstreams
            if not self.record_entry(upstream)
        ]
        for upstream_id in (*removed, *left):
            self.remove(upstream_id, now)
        self.rebuild_index()

    def remove(self, upstream_id: str, now: float) -> None:
        """Remove an upstream, or start its grace period after an outage."""
        if upstream_id not in self.upstreams:
            return
        if self.is_recovering(now):
            self.expired.setdefault(upstream_id, self.grace_ends_at)
            return
        self.drop(upstream_id)
        self.rebuild_index()

    def replace_all(self, upstreams: tuple[Upstream, ...], now: float) -> None:
        """Apply a full listing of the registry."""
        listed = {
            upstream.upstream_id
            for upstream in upstreams
            if self.record_entry(upstream)
        }
        for upstream_id in self.upstreams.keys() - listed:
            self.remove(upstream_id, now)
        self.rebuild_index()

    def update_evacuations(
        self, evacuated: Iterable[str], returned: Iterable[str], now: float
    ) -> None:
        """Apply evacuations that began or ended.

        The end of an evacuation that this node never learned of is recorded as well,
        since it may have been in force at other nodes.

        Parameters
        ----------
        evacuated, returned : iterable of str
            Zones whose evacuation began or ended.
        now : float
            Monotonic time in seconds.
        """
        for zone in returned:
            self.evacuation_began_at.pop(zone, None)
            self.held_evacuations.pop(zone, None)
            self.evacuation_ended_at[zone] = now
        for zone in evacuated:
            self.evacuation_ended_at.pop(zone, None)
            self.held_evacuations.pop(zone, None)
            self.evacuation_began_at.setdefault(zone, now)
        self.evacuated_zones = frozenset(self.evacuation_began_at)
        self.rebuild_index()

    def is_evacuated(self, zone: str) -> bool:
        """Return whether the upstreams of a zone get no requests."""
        return zone in self.evacuated_zones

    def hold_evacuations(self, zones: Iterable[str], until: float) -> None:
        """Keep evacuations in force that are missing from a restored registry.

        Parameters
        ----------
        zones : iterable of str
            Evacuated zones.
        until : float
            End of the grace period as monotonic time in seconds.
        """
        self.held_evacuations = dict.fromkeys(zones, until)

    def list_evacuated(self) -> tuple[str, ...]:
        """Return the evacuated zones that the registry has."""
        return tuple(sorted(self.evacuated_zones - self.held_evacuations.keys()))

    def remove_expired(self, confirmed_at: float) -> tuple[str, ...]:
        """Remove the upstreams and evacuations missing after their grace period.

        Parameters
        ----------
        confirmed_at : float
            Monotonic time up to which all registry changes are known, in seconds. An
            upstream may have registered again since.

        Returns
        -------
        tuple of str
            Zones whose evacuation ended.
        """
        returned = tuple(
            zone
            for zone, grace_ends_at in self.held_evacuations.items()
            if grace_ends_at <= confirmed_at
        )
        if returned:
            self.update_evacuations((), returned, confirmed_at)
        expired_ids = [
            key
            for key, grace_ends_at in self.expired.items()
            if grace_ends_at <= confirmed_at
        ]
        for upstream_id in expired_ids:
            self.drop(upstream_id)
        if expired_ids:
            self.rebuild_index()
        return returned

    def drop(self, upstream_id: str) -> None:
        """Delete an upstream and retain its entry.

        The caller has to rebuild the index.
        """
        self.expired.pop(upstream_id, None)
        self.removed[upstream_id] = self.upstreams.pop(upstream_id)
        if len(self.removed) > max(MIN_RETAINED, len(self.upstreams)):
            del self.removed[next(iter(self.removed))]

    def rebuild_index(self) -> None:
        """Drop superseded upstreams and index those that accept new requests."""
        for upstream_id in find_superseded(self.upstreams.values()):
            self.drop(upstream_id)
        by_service: dict[str, list[Upstream]] = {}
        for upstream in self.upstreams.values():
            if upstream.state is UpstreamState.READY and not self.is_evacuated(
                upstream.zone
            ):
                by_service.setdefault(upstream.service, []).append(upstream)
        self.by_service = {
            service: tuple(upstreams) for service, upstreams in by_service.items()
        }

    def list_ready(self, service: str) -> tuple[Upstream, ...]:
        """Return the upstreams of a service that accept new requests.

        Those in evacuated zones are not among them.
        """
        return self.by_service.get(service, ())

    def is_leaving(self, upstream_id: str) -> bool:
        """Return whether an upstream is draining, removed or in an evacuated zone."""
        if upstream_id in self.removed:
            return True
        upstream = self.upstreams.get(upstream_id)
        return upstream is not None and (
            upstream.state is UpstreamState.DRAINING or self.is_evacuated(upstream.zone)
        )


def find_superseded(upstreams: Iterable[Upstream]) -> list[str]:
    """Return the identifiers of upstreams whose endpoint a newer upstream has."""
    by_endpoint: dict[tuple[str, str, int], list[Upstream]] = {}
    for upstream in upstreams:
        by_endpoint.setdefault(upstream.endpoint, []).append(upstream)
    return [
        upstream.upstream_id
        for group in by_endpoint.values()
        if len(group) > 1
        for upstream in group
        if any(upstream.is_superseded_by(other) for other in group)
    ]
