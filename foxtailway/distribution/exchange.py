"""Exchange of versions: receiving, checking, offering and pushing them."""

from collections.abc import Mapping
from dataclasses import replace

from foxtailway.common.failure import FailureKind, Step
from foxtailway.distribution.action import Offer, SendUpdate
from foxtailway.distribution.assembly import Staging, UpdateAssembly
from foxtailway.distribution.bootstrap import Bootstrap
from foxtailway.distribution.context import CoreContext
from foxtailway.distribution.delta import UpdateEncoder
from foxtailway.distribution.event import OfferDecided
from foxtailway.distribution.history import VersionHistory, VersionVerdict
from foxtailway.distribution.link import Link
from foxtailway.distribution.message import HeldReport, HeldVersion, UpdatePart
from foxtailway.model.bundle import Bundle, BundleKind
from foxtailway.model.version import Version, VersionOrder, compare_versions

__all__ = ["PLATFORM_PEER", "VersionExchange"]

# Name of the platform where failures and versions name a peer.
PLATFORM_PEER = "platform"
# Held reports accepted over one stream; a peer that sends more can use no update.
MAX_HELD_REPORTS = 4


class VersionExchange:
    """Decide which versions are offered to the sink and pushed to peers.

    Parameters
    ----------
    context : CoreContext
        State shared by the parts of the core.
    bootstrap : Bootstrap
        Holds back bundles while the node starts.
    """

    def __init__(self, *, context: CoreContext, bootstrap: Bootstrap) -> None:
        self.context = context
        self.bootstrap = bootstrap
        self.histories = {kind: VersionHistory(kind=kind) for kind in BundleKind}
        self.encoder = UpdateEncoder()
        self.staging = Staging()
        self.offered: dict[BundleKind, Bundle] = {}
        self.queued: dict[BundleKind, tuple[Bundle, str]] = {}
        self.zone = context.settings.host.zone
        self.is_deferring_full_transfers = True

    def list_held(self) -> tuple[HeldVersion, ...]:
        """Return the held version of each kind."""
        return tuple(
            item for history in self.histories.values() for item in history.list_held()
        )

    def count_documents(self) -> int:
        """Return the number of documents in the held bundles."""
        bundles = [history.held for history in self.histories.values()]
        return sum(len(bundle.documents) for bundle in bundles if bundle)

    def receive_part(self, link: Link, part: UpdatePart) -> None:
        """Process a part of an update from a peer.

        Closes the stream if the part is invalid.
        """
        link.record_peer_version(part.kind, part.version)
        if not self.check_is_newer(part.kind, part.version, peer=link.peer):
            link.assemblies.pop(part.kind, None)
            self.push_updates(link)
            return
        assembly = link.assemblies.get(part.kind)
        if assembly is None or not assembly.matches(part):
            assembly = self.start_assembly(link, part)
            if assembly is None:
                return
            link.assemblies[part.kind] = assembly
        result = assembly.add(part, self.staging)
        if result.is_error():
            self.context.report(result.error)
            self.staging.clear()
            self.context.close(link)
        elif result.ok is not None:
            del link.assemblies[part.kind]
            self.encoder.store(tuple(assembly.parts))
            self.receive_bundle(result.ok, delivered_by=link.peer)

    def start_assembly(self, link: Link, part: UpdatePart) -> UpdateAssembly | None:
        """Return a new assembly, or None after reporting an unknown base."""
        base = None
        if part.base_digest is not None:
            base = self.histories[part.kind].find(part.base_digest)
            if base is None:
                self.request_other_base(link, part)
                return None
        return UpdateAssembly(part, base=base, peer=link.peer)

    def request_other_base(self, link: Link, part: UpdatePart) -> None:
        """Send the held versions, once for each unusable update."""
        update = (part.version, part.base_digest)
        if link.unusable_update == update:
            return
        link.unusable_update = update
        self.context.send(link, HeldReport(held=self.list_held()))

    def receive_report(self, link: Link, report: HeldReport) -> None:
        """Replace the recorded versions of the peer and push updates based on them.

        Closes the stream after `MAX_HELD_REPORTS` reports.
        """
        link.n_held_reports += 1
        if link.n_held_reports > MAX_HELD_REPORTS:
            self.context.report_failure(
                Step.TRANSFER,
                FailureKind.INVALID,
                peer=link.peer,
                detail="peer reported too many updates as unusable",
            )
            self.context.close(link)
            return
        link.replace_peer_versions(report.held)
        self.push_updates(link)

    def check_is_newer(self, kind: BundleKind, version: Version, *, peer: str) -> bool:
        """Return whether a version is newer, and report an older or conflicting one."""
        verdict = self.histories[kind].evaluate(version)
        if verdict is VersionVerdict.NEWER:
            return True
        if verdict in (VersionVerdict.OLDER, VersionVerdict.CONFLICT):
            self.context.n_refused_older += 1
            failure_kind = FailureKind.STALE_VERSION
            if verdict is VersionVerdict.CONFLICT:
                failure_kind = FailureKind.VERSION_CONFLICT
            self.context.report_failure(
                Step.RECEIVE,
                failure_kind,
                peer=peer,
                detail=f"{kind.value} {version} offered, "
                f"held {self.histories[kind].version}",
            )
        return False

    def receive_bundle(self, bundle: Bundle, *, delivered_by: str) -> None:
        """Offer a verified bundle, or hold it back until the bootstrap is over."""
        if not self.check_is_newer(bundle.kind, bundle.version, peer=delivered_by):
            return
        if not self.bootstrap.is_over:
            self.bootstrap.hold_back(bundle, delivered_by=delivered_by)
            self.release()
            return
        self.offer(bundle, delivered_by=delivered_by)

    def release(self) -> None:
        """Offer the bundles that the bootstrap releases."""
        if self.bootstrap.is_over:
            return
        for bundle, delivered_by in self.bootstrap.release(now=self.context.now):
            self.offer(bundle, delivered_by=delivered_by)

    def offer(self, bundle: Bundle, *, delivered_by: str) -> None:
        """Offer a bundle, or queue it while another of its kind is undecided.

        Only the newest queued bundle of a kind is kept.
        """
        pending = self.offered.get(bundle.kind)
        if pending is None:
            self.offered[bundle.kind] = bundle
            action = Offer(bundle=bundle, delivered_by=delivered_by)
            self.context.actions.append(action)
            return
        queued = self.queued.get(bundle.kind)
        newest = queued[0] if queued else pending
        order = compare_versions(held=newest.version, offered=bundle.version)
        if order is VersionOrder.NEWER:
            self.queued[bundle.kind] = (bundle, delivered_by)

    def handle_decision(self, event: OfferDecided) -> None:
        """Record the decision of the sink and push an applied version to peers."""
        bundle = event.bundle
        self.offered.pop(bundle.kind, None)
        history = self.histories[bundle.kind]
        if event.result.is_ok():
            history.accept(bundle)
            self.staging.clear()
            self.push_updates_to_all()
        else:
            history.reject(bundle)
            self.context.report(event.result.error)
        queued = self.queued.pop(bundle.kind, None)
        if queued is not None:
            self.receive_bundle(queued[0], delivered_by=queued[1])

    def push_updates_to_all(self) -> None:
        """Push the held versions to every peer that holds older ones."""
        for link in list(self.context.links.links.values()):
            self.push_updates(link)

    def push_updates(self, link: Link) -> None:
        """Push the held versions to a peer that holds older ones.

        At most one update of each kind is sent at a time; see `UpdateSent`.
        """
        if not link.can_exchange_updates:
            return
        for kind, history in self.histories.items():
            if history.held is None or kind in link.sending:
                continue
            known = link.peer_versions.get(kind)
            if known is None and self.is_deferred(link):
                continue
            order = compare_versions(held=known, offered=history.held.version)
            if order is VersionOrder.NEWER:
                self.send_update(link, history)

    def is_deferred(self, link: Link) -> bool:
        """Return whether whole documents for a child are deferred.

        Before the host list is known, a child of another zone may belong to
        another region and should then receive them from a parent there.
        """
        return self.is_deferring_full_transfers and link.zone not in ("", self.zone)

    def end_deferral(self) -> None:
        """Push whole documents to the children for which they were deferred."""
        if self.is_deferring_full_transfers:
            self.is_deferring_full_transfers = False
            self.push_updates_to_all()

    def send_update(self, link: Link, history: VersionHistory) -> None:
        """Send the held version, as a delta if the history has the peer's version."""
        known = link.peer_versions.get(history.kind)
        base = history.find(known.digest) if known else None
        staged = frozenset() if base else link.staged
        parts = self.encoder.encode(history.held, base=base, staged=staged)
        confirmation = self.context.freshness.make_confirmation(self.context.now)
        link.sending[history.kind] = base is None
        link.peer_versions[history.kind] = history.held.version
        link.last_sent_s = self.context.now
        self.context.actions.append(
            SendUpdate(
                link_id=link.link_id,
                kind=history.kind,
                parts=tuple(replace(part, confirmation=confirmation) for part in parts),
            )
        )

    def needs_full_transfer(self, known: Mapping[BundleKind, Version]) -> bool:
        """Return whether a peer that holds `known` needs all documents of a kind."""
        for kind, history in self.histories.items():
            if history.held is None:
                continue
            if kind not in known or history.find(known[kind].digest) is None:
                return True
        return False
