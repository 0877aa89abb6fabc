"""Replication of the registry and the configuration between sidecars."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from foxtailway.sidecar.configuration_history import ConfigurationHistory
from foxtailway.sidecar.log import EventLog
from foxtailway.sidecar.peer_message import (
    PeerListingRequest,
    PeerReaderAnnouncement,
    PeerUpdate,
)
from foxtailway.sidecar.peer_pool import PeerPool
from foxtailway.sidecar.registry_log import RegistryLog
from foxtailway.sidecar.update_content import (
    NO_MEMBERSHIP_CHANGE,
    PACK_ERRORS,
    MembershipChange,
    UpdateContentError,
    is_packable,
    pack,
    unpack_update,
)
from foxtailway.traffic.configuration import TrafficConfiguration
from foxtailway.traffic.configuration_change import (
    NO_VERSION,
    compare_configurations,
)
from foxtailway.traffic.membership import Membership
from foxtailway.traffic.reader_roles import ReaderRoles, RemoteReader
from foxtailway.traffic.registry_access import RegistryAccess
from foxtailway.traffic.registry_change import RegistryChange, StorePosition
from foxtailway.traffic.restore_guard import RestoreGuard

__all__ = ["UpdateExchange"]

# Minimum time between two requests for a listing.
MIN_LISTING_INTERVAL_S = 0.5
# Upper bound of the ages in updates. A state that is older is not confirmed anyway.
MAX_AGE_S = 3_600.0
# Upper bound of the announced delay to the store, also announced while the delay is
# unknown.
MAX_STORE_DELAY_S = 60.0
# Rank of a reader whose host is not registered, after all other ranks.
UNREGISTERED_RANK = 1_000_000
# Time for which a new node waits for its own listing of the store before it requests
# one from a reader.
INITIAL_LISTING_DELAY_S = 1.0
# Largest number of nodes that wait for the first configuration of a node.
MAX_WAITING = 1_000


class UpdateExchange:
    """Apply changes of the store and replicate them to other sidecars.

    Parameters
    ----------
    address : str
        IP address of this host.
    membership : Membership
        Known upstreams.
    access : RegistryAccess
        Times in which this node did not reach the store. What another node reads is
        judged by the access of that node, of which its updates tell.
    roles : ReaderRoles
        Decides which node is a reader and which nodes follow it.
    peers : PeerPool
        Streams to the sidecars on other hosts.
    apply : callable
        Applies a configuration to new requests.
    on_membership_change : callable
        Called after upstreams may have changed.
    log : EventLog
        Event log.

    Attributes
    ----------
    revision : int or None
        Revision of the store up to which all changes are known; None before the
        first listing.
    epoch : int
        Epoch of the store to which that revision belongs; 0 for none.
    n_restores : int
        Changes of the epoch that this node has noticed.
    history : ConfigurationHistory
        Last known configurations.
    up_to_date_at : float
        Monotonic time in seconds at which this state was last known to equal the
        state of the store.
    n_ignored_entries : int
        Invalid registry entries that this node has read.
    n_unsent_upstreams : int
        Upstreams that could not be packed into an update.
    waiting : set of str
        Addresses of the nodes that requested a listing before this node had a
        configuration.
    """

    def __init__(
        self,
        *,
        address: str,
        membership: Membership,
        access: RegistryAccess,
        roles: ReaderRoles,
        peers: PeerPool,
        apply: Callable[[TrafficConfiguration], None],
        on_membership_change: Callable[[], None],
        log: EventLog,
    ) -> None:
        self.address = address
        self.membership = membership
        self.access = access
        self.roles = roles
        self.peers = peers
        self.apply = apply
        self.on_membership_change = on_membership_change
        self.log = log
        self.loop = asyncio.get_running_loop()
        self.revision: int | None = None
        self.epoch = 0
        self.n_restores = 0
        self.guard = RestoreGuard(membership=membership)
        self.up_to_date_at = float("-inf")
        self.listing_requested_at = (
            self.loop.time() + INITIAL_LISTING_DELAY_S - MIN_LISTING_INTERVAL_S
        )
        self.history = ConfigurationHistory()
        self.registry_log = RegistryLog(membership=membership, log=log)
        self.n_ignored_entries = 0
        self.n_unsent_upstreams = 0
        self.waiting: set[str] = set()

    @property
    def configuration(self) -> TrafficConfiguration | None:
        """Newest known configuration."""
        return self.history.configuration

    @property
    def version(self) -> int:
        """Version of the newest known configuration; `NO_VERSION` for none."""
        return self.history.version

    @property
    def position(self) -> StorePosition:
        """Position in the store up to which all changes are known."""
        return StorePosition(epoch=self.epoch, revision=self.revision or 0)

    def publish_change(self, change: RegistryChange, age_s: float) -> None:
        """Apply a change read from the store and, as a reader, send it to followers.

        Parameters
        ----------
        change : RegistryChange
            Change or full listing that was read.
        age_s : float
            Time since the store was known to have no further change, in seconds.
        """
        if change.base_revision is None and change.position < self.position:
            # An update overtook the listing, so its upstreams and evacuations are
            # outdated.
            change = RegistryChange(
                base_revision=self.revision,
                revision=self.revision,
                epoch=self.epoch,
                configuration=change.configuration,
            )
        previous = self.configuration
        followers = self.list_followers()
        self.membership.regained_at = self.access.find_recovery(self.loop.time())
        change = self.admit(change)
        is_changed = self.apply_locally(change)
        self.up_to_date_at = self.loop.time() - age_s
        update = None
        if followers:
            # Hosts that this change removes get it before their links are closed.
            update = self.make_change_update(change, previous)
            self.peers.broadcast(followers, update)
        if is_changed:
            self.on_membership_change()
        new_followers = tuple(set(self.list_followers()).difference(followers))
        if new_followers:
            update = update or self.make_change_update(change, previous)
            self.peers.broadcast(new_followers, update)

    def make_change_update(
        self, change: RegistryChange, previous: TrafficConfiguration | None
    ) -> PeerUpdate:
        """Return the update for a change that was applied.

        The first state of a node is not sent, since most nodes already have it:
        after a power loss, many nodes read the store at once, and those that consider
        themselves readers would fill the links. A node that lacks it requests it.
        """
        if previous is None:
            return self.make_update(base_revision=self.revision)
        packed = b""
        if self.configuration is not previous:
            packed = pack(compare_configurations(previous, self.configuration))
        return self.make_update(
            base_revision=change.base_revision,
            members=MembershipChange(
                upstreams=change.upstreams,
                removed=change.removed,
                evacuated=change.evacuated,
                returned=change.returned,
                evacuation_writes=change.evacuation_writes,
            ),
            change=packed,
        )

    def list_followers(self) -> tuple[str, ...]:
        """Return the addresses of the followers; none unless this node is a reader."""
        now = self.loop.time()
        return self.roles.list_followers(now) if self.roles.is_reader(now) else ()

    def record_failed_call(self) -> None:
        """Record that the store was not reached, and tell the followers."""
        self.access.record_failure()
        self.membership.regained_at = self.access.find_ongoing(
            self.up_to_date_at, self.loop.time()
        )
        self.broadcast_age()

    def broadcast_age(self) -> None:
        """Send the followers the current age of this node's state."""
        followers = self.list_followers()
        if self.revision is not None and followers:
            update = self.make_update(base_revision=self.revision)
            self.peers.broadcast(followers, update)

    def announce_reader(self) -> None:
        """Announce this node to the other regions if it is the reader of its region."""
        roles = self.roles
        if roles.is_reader(self.loop.time()) and roles.remote_peers:
            self.peers.broadcast(roles.remote_peers, self.make_announcement())

    def make_announcement(self) -> PeerReaderAnnouncement:
        """Return the announcement of this node as the reader of its region."""
        roles = self.roles
        return PeerReaderAnnouncement(
            address=self.address,
            region=roles.region,
            rank=roles.rank,
            store_delay_us=int(min(MAX_STORE_DELAY_S, roles.store_delay_s) * 1e6),
        )

    def receive_announcement(self, message: PeerReaderAnnouncement) -> None:
        """Record the reader of another region.

        A reader replies with its own announcement to a new one. Otherwise the new one
        would learn of it only with its next periodic announcement.
        """
        now = self.loop.time()
        reader = RemoteReader(
            address=message.address,
            rank=message.rank,
            store_delay_s=message.store_delay_us / 1e6,
            announced_at=now,
        )
        is_new = self.roles.record_remote_reader(message.region, reader)
        if is_new and self.roles.is_reader(now):
            self.peers.send(message.address, self.make_announcement())

    def relay(self, update: PeerUpdate) -> None:
        """Forward an update from a reader of another region to this region."""
        now = self.loop.time()
        relayed = replace(
            update,
            reader=self.address,
            rank=self.roles.rank,
            age_ms=measure_age_ms(self.up_to_date_at, now),
        )
        self.peers.broadcast(self.roles.peers, relayed)

    def make_update(
        self,
        *,
        base_revision: int | None,
        members: MembershipChange = NO_MEMBERSHIP_CHANGE,
        change: bytes = b"",
    ) -> PeerUpdate:
        """Return an update up to the current revision.

        Parameters
        ----------
        base_revision : int or None
            Revision after which the changes start; None for a full listing.
        members : MembershipChange, default=NO_MEMBERSHIP_CHANGE
            Changes of upstreams.
        change : bytes, default=b""
            Packed `ConfigurationChange`; empty for none.
        """
        now = self.loop.time()
        return PeerUpdate(
            reader=self.address,
            rank=UNREGISTERED_RANK if self.roles.rank is None else self.roles.rank,
            base_revision=0 if base_revision is None else base_revision,
            revision=self.revision,
            epoch=self.epoch,
            is_listing=base_revision is None,
            version=self.version,
            age_ms=measure_age_ms(self.up_to_date_at, now),
            failure_age_ms=measure_age_ms(self.membership.regained_at, now),
            members=self.pack_members(members),
            change=change,
        )

    def pack_members(self, members: MembershipChange) -> bytes:
        """Return packed changes of upstreams; empty for none.

        An upstream that can't be packed is left out, so that it doesn't stop the
        updates of all others.
        """
        if members == NO_MEMBERSHIP_CHANGE:
            return b""
        try:
            return pack(members)
        except PACK_ERRORS as error:
            packable = tuple(item for item in members.upstreams if is_packable(item))
            n_unsent = len(members.upstreams) - len(packable)
            if not n_unsent:
                raise
            self.n_unsent_upstreams += n_unsent
            self.log.write_error("pack update", error, detail=f"{n_unsent} left out")
            return pack(replace(members, upstreams=packable))

    def send_listing(self, address: str, version: int = NO_VERSION) -> None:
        """Send a listing to a sidecar; no-op before the first listing of this node.

        Parameters
        ----------
        address : str
            Address of the sidecar.
        version : int, default=NO_VERSION
            Version of its configuration. If this node still has that version, it sends
            the routes that differ, otherwise all.
        """
        if self.revision is None:
            return
        update = self.make_update(
            base_revision=None,
            members=MembershipChange(
                upstreams=self.membership.list_registered(),
                evacuated=self.membership.list_evacuated(),
                evacuation_writes=tuple(self.guard.writes),
            ),
            change=self.history.pack_change_since(version),
        )
        self.peers.send(address, update)

    def receive_update(
        self, update: PeerUpdate, send_reply: Callable[[PeerListingRequest], None]
    ) -> None:
        """Apply an update of a reader; request a listing if changes are missing.

        Parameters
        ----------
        update : PeerUpdate
            Message of the reader.
        send_reply : callable
            Sends a message back to the reader.
        """
        now = self.loop.time()
        self.membership.regained_at = self.access.judge_report(
            now - update.failure_age_ms / 1000,
            self.up_to_date_at,
            now - update.age_ms / 1000,
            self.roles.timings.max_confirmation_gap_s,
        )
        change = self.decode_update(update)
        is_changed = change is not None and self.apply_locally(self.admit(change))
        is_complete = change is not None and update.version <= self.version
        if update.epoch < self.epoch:
            # Its reader has not noticed a restore of the store: it confirms nothing.
            return
        if is_complete:
            self.confirm_update(update)
        if is_changed:
            self.on_membership_change()
        if not is_complete:
            self.request_listing(send_reply)

    def confirm_update(self, update: PeerUpdate) -> None:
        """Record that an update is fully applied; a regional reader forwards it."""
        now = self.loop.time()
        up_to_date_at = now - update.age_ms / 1000
        self.access.record_confirmation(self.up_to_date_at, up_to_date_at)
        self.up_to_date_at = max(self.up_to_date_at, up_to_date_at)
        self.roles.record_confirmation(up_to_date_at, update.reader, update.rank)
        if update.reader in self.roles.remote_peers and self.roles.is_reader(now):
            self.relay(update)

    def decode_update(self, update: PeerUpdate) -> RegistryChange | None:
        """Return the changes of an update, or None if some are missing or malformed."""
        position = None if self.revision is None else self.position
        try:
            return unpack_update(update, position, self.configuration)
        except UpdateContentError as error:
            self.log.write("update_malformed", peer=update.reader, error=error)
            return None

    def request_listing(self, send_reply: Callable[[PeerListingRequest], None]) -> None:
        """Request a listing, at most once in `MIN_LISTING_INTERVAL_S`."""
        now = self.loop.time()
        if now - self.listing_requested_at < MIN_LISTING_INTERVAL_S:
            return
        self.listing_requested_at = now
        send_reply(self.make_listing_request())

    def request_first_listing(self, seed: str) -> None:
        """Request the first listing of this node from its seed."""
        self.peers.send(seed, self.make_listing_request())

    def make_listing_request(self) -> PeerListingRequest:
        """Return the request of this node for a listing."""
        return PeerListingRequest(address=self.address, version=self.version)

    def receive_listing_request(self, request: PeerListingRequest) -> None:
        """Send a listing, as soon as this node has a configuration."""
        if self.configuration is None:
            if len(self.waiting) < MAX_WAITING:
                self.waiting.add(request.address)
        else:
            self.send_listing(request.address, request.version)

    def admit(self, change: RegistryChange) -> RegistryChange:
        """Return the part of a change to apply; notice a new epoch of the store."""
        if change.epoch < self.epoch:
            return change
        now = self.loop.time()
        is_restored = self.revision is not None and change.epoch > self.epoch
        if is_restored:
            self.n_restores += 1
            self.access.record_restore(now)
            self.guard.begin_epoch(change, now)
        self.registry_log.write_outdated(change)
        admitted = self.guard.admit(change)
        if is_restored:
            self.registry_log.write_restore(change, admitted, self.position)
        return admitted

    def remove_expired(self) -> None:
        """Remove what is missing after its grace period; log ended evacuations."""
        for zone in self.membership.remove_expired(self.up_to_date_at):
            self.log.write("evacuation_ended", zone=zone, revision=self.revision)

    def apply_locally(self, change: RegistryChange) -> bool:
        """Apply an admitted change; return whether upstreams may have changed.

        In that case the caller has to call `on_membership_change` after it has
        sent the change to the followers.
        """
        now = self.loop.time()
        is_listing = change.base_revision is None
        has_members = is_listing or bool(change.upstreams or change.removed)
        membership = self.membership
        if is_listing:
            listed = {upstream.upstream_id for upstream in change.upstreams}
            removed = membership.upstreams.keys() - listed - membership.expired.keys()
            self.registry_log.write_upstreams(change, sorted(removed), now)
            membership.replace_all(change.upstreams, now)
        elif has_members:
            self.registry_log.write_upstreams(change, change.removed, now)
            membership.update(change.upstreams, change.removed, now)
        is_evacuation_changed = self.apply_evacuations(change, now)
        position = max(self.position, change.position)
        self.epoch, self.revision = position.epoch, position.revision
        if change.configuration is not None:
            self.apply_configuration(change.configuration)
        return has_members or is_evacuation_changed

    def apply_evacuations(self, change: RegistryChange, now: float) -> bool:
        """Apply the evacuations of a change; return whether there are any changes."""
        returned = change.returned
        if change.base_revision is None:
            listed = set(self.membership.list_evacuated())
            returned = tuple(sorted(listed.difference(change.evacuated)))
        if not change.evacuated and not returned:
            return False
        self.registry_log.write_evacuations(change, returned)
        self.membership.update_evacuations(change.evacuated, returned, now)
        return True

    def apply_configuration(self, configuration: TrafficConfiguration) -> None:
        """Apply a configuration if it is newer than the current one."""
        if configuration.version <= self.version:
            return
        # A version that can't be applied is not known, so that it is applied again.
        self.apply(configuration)
        self.history.record(configuration, self.loop.time())
        while self.waiting:
            self.send_listing(self.waiting.pop())


def measure_age_ms(since: float, now: float) -> int:
    """Return the time since `since` in milliseconds, at most `MAX_AGE_S`."""
    return int(min(MAX_AGE_S, now - since) * 1000)
