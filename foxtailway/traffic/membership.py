"""Upstreams that exist, as told by a registry that may fail."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

__all__ = ["Membership", "Upstream", "UpstreamState"]

# Entries that lapsed during an outage are registered again within this time.
REGISTRATION_GRACE_S = 2.3
# Identifiers of departed upstreams that are remembered.
MAX_DEPARTED = 1_000
# A removal this soon after the registry failed may come from the failure.
RECOVERY_PERIOD_S = 3.0


class UpstreamState(Enum):
    """Whether an upstream takes new work."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True, kw_only=True)
class Upstream:
    """Describe one incarnation of an upstream.

    Parameters
    ----------
    upstream_id : str
        Identifier of the upstream.
    service : str
        Service that it belongs to.
    address : str
        IP address of its host.
    port : int
        TCP port of the upstream itself.
    zone : str
        Availability zone.
    n_slots : int
        Requests that it runs at once.
    state : UpstreamState
        Whether it takes new work.
    warm_up_s : float
        Time for which it stays slow after its start, in seconds.
    start_time_ms : int
        Start of the incarnation, Unix time in milliseconds; 0 if unknown.
    sequence : int
        Count of the incarnation's own reports.
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

    def is_older_than(self, other: "Upstream") -> bool:
        """Whether this report was made before another one of the same upstream."""
        if not self.start_time_ms or not other.start_time_ms:
            return False
        return (self.start_time_ms, self.sequence) < (
            other.start_time_ms,
            other.sequence,
        )


class Membership:
    """Decide which upstreams may receive work.

    Attributes
    ----------
    upstreams : dict of str to Upstream
        Registered upstreams by identifier, lapsed ones in their grace included.
    expired : dict of str to float
        Time at which a lapsed upstream is given up, in seconds, by identifier.
    departed : dict of str to None
        Identifiers of upstreams that are gone, the oldest first.

    Notes
    -----
    A removal is believed at once while the registry works. Right after the
    registry failed, an upstream whose entry vanished is kept until
    `REGISTRATION_GRACE_S` after the registry answered again, since it may only
    have been unable to renew its entry.
    """

    def __init__(self) -> None:
        self.upstreams: dict[str, Upstream] = {}
        self.expired: dict[str, float] = {}
        self.departed: dict[str, None] = {}
        self.by_service: dict[str, tuple[Upstream, ...]] = {}
        self.failed_at = float("-inf")

    def record_registry_failure(self, now: float) -> None:
        """Note that the registry could not be read at a time (in seconds)."""
        self.failed_at = max(self.failed_at, now)

    def is_recovering(self, now: float) -> bool:
        """Whether entries may be missing because the registry failed."""
        return now - self.failed_at < RECOVERY_PERIOD_S

    def list_registered(self) -> tuple[Upstream, ...]:
        """Return the upstreams whose entry exists."""
        return tuple(
            upstream
            for upstream_id, upstream in self.upstreams.items()
            if upstream_id not in self.expired
        )

    def put(self, upstream: Upstream) -> None:
        """Add an upstream or replace what was known of it."""
        self.store(upstream)
        self.rebuild()

    def store(self, upstream: Upstream) -> None:
        """Take over a report, unless it is older than the known one."""
        self.expired.pop(upstream.upstream_id, None)
        self.departed.pop(upstream.upstream_id, None)
        known = self.upstreams.get(upstream.upstream_id)
        if known is None or not upstream.is_older_than(known):
            self.upstreams[upstream.upstream_id] = upstream

    def update(
        self, upstreams: Iterable[Upstream], removed: Iterable[str], now: float
    ) -> None:
        """Take over reports and removals of entries."""
        for upstream in upstreams:
            self.store(upstream)
        for upstream_id in removed:
            self.remove(upstream_id, now)
        self.rebuild()

    def remove(self, upstream_id: str, now: float) -> None:
        """Remove an upstream whose entry is gone."""
        if upstream_id not in self.upstreams:
            return
        if self.is_recovering(now):
            self.expired.setdefault(upstream_id, now + REGISTRATION_GRACE_S)
            return
        self.forget(upstream_id)
        self.rebuild()

    def replace_all(self, upstreams: tuple[Upstream, ...], now: float) -> None:
        """Take over a complete listing."""
        listed = {upstream.upstream_id: upstream for upstream in upstreams}
        for upstream_id in self.upstreams.keys() - listed.keys():
            self.remove(upstream_id, now)
        for upstream in upstreams:
            self.store(upstream)
        self.rebuild()

    def remove_expired(self, now: float) -> None:
        """Give up the lapsed upstreams whose grace is over."""
        due = [key for key, until in self.expired.items() if until <= now]
        for upstream_id in due:
            self.forget(upstream_id)
        if due:
            self.rebuild()

    def forget(self, upstream_id: str) -> None:
        """Drop an upstream."""
        self.expired.pop(upstream_id, None)
        self.upstreams.pop(upstream_id, None)
        self.departed[upstream_id] = None
        if len(self.departed) > MAX_DEPARTED:
            del self.departed[next(iter(self.departed))]

    def rebuild(self) -> None:
        """Index the upstreams that take new work by service."""
        by_service: dict[str, list[Upstream]] = {}
        for upstream in self.upstreams.values():
            if upstream.state is UpstreamState.READY:
                by_service.setdefault(upstream.service, []).append(upstream)
        self.by_service = {
            service: tuple(upstreams) for service, upstreams in by_service.items()
        }

    def list_ready(self, service: str) -> tuple[Upstream, ...]:
        """Return the upstreams of a service that take new work."""
        return self.by_service.get(service, ())

    def is_leaving(self, upstream_id: str) -> bool:
        """Whether an upstream is known to leave or to be gone."""
        if upstream_id in self.departed:
            return True
        upstream = self.upstreams.get(upstream_id)
        return upstream is not None and upstream.state is UpstreamState.DRAINING
