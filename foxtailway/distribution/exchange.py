"""Versions passing through a node: received, judged, offered and pushed on."""

from collections.abc import Mapping
from dataclasses import replace

from foxtailway.common.failure import FailureKind, Step
from foxtailway.distribution.action import Offer, SendUpdate
from foxtailway.distribution.assembly import Staging, UpdateAssembly
from foxtailway.distribution.bootstrap import Bootstrap
from foxtailway.distribution.context import CoreContext
from foxtailway.distribution.delta import UpdateEncoder
from foxtailway.distribution.event import OfferDecided
from foxtailway.distribution.history import Judgement, VersionHistory
from foxtailway.distribution.link import Link
from foxtailway.distribution.message import HeldReport, HeldVersion, UpdatePart
from foxtailway.model.bundle import Bundle, BundleKind
from foxtailway.model.version import Version, VersionOrder, compare_versions

__all__ = ["PLATFORM_PEER", "VersionExchange"]

PLATFORM_PEER = "platform"
MAX_HELD_REPORTS = 4


class VersionExchange:
    """Decide which versions are offered to the sink and pushed to peers.

    Parameters
    ----------
    context : CoreContext
        State shared by the parts of the core.
    bootstrap : Bootstrap
        Holds bundles back while the node starts.
    """

    def __init__(self, *, context: CoreContext, bootstrap: Bootstrap) -> None:
        self.context = context
        self.bootstrap = bootstrap
        self.histories = {kind: VersionHistory(kind=kind) for kind in BundleKind}
        self.encoder = UpdateEncoder()
        self.staging = Staging()
        self.offered: dict[BundleKind, Bundle] = {}
        self.waiting: dict[BundleKind, tuple[Bundle, str]] = {}
        self.zone = context.settings.host.zone
        self.defers_whole = True

    def list_held(self) -> tuple[HeldVersion, ...]:
        """Return the held versions of all kinds."""
        return tuple(
            item for history in self.histories.values() for item in history.list_held()
        )

    def count_documents(self) -> int:
        """Return the number of documents of the held bundles."""
        bundles = [history.held for history in self.histories.values()]
        return sum(len(bundle.documents) for bundle in bundles if bundle)

    def receive_part(self, link: Link, part: UpdatePart) -> None:
        """Take in a part of an update that a peer pushed."""
        link.learn(part.kind, part.version)
        if not self.is_wanted(part.kind, part.version, peer=link.peer):
            link.assemblies.pop(part.kind, None)
            self.feed(link)
            return
        assembly = link.assemblies.get(part.kind)
        if assembly is None or not assembly.fits(part):
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
        """Begin an update, or tell the peer that its base is unknown here."""
        base = None
        if part.base_digest is not None:
            base = self.histories[part.kind].find(part.base_digest)
            if base is None:
                self.request_other_base(link, part)
                return None
        return UpdateAssembly(part, base=base, peer=link.peer)

    def request_other_base(self, link: Link, part: UpdatePart) -> None:
        """Report the held versions once per unusable update."""
        update = (part.version, part.base_digest)
        if link.unusable_update == update:
            return
        link.unusable_update = update
        self.context.send(link, HeldReport(held=self.list_held()))

    def receive_report(self, link: Link, report: HeldReport) -> None:
        """Note what the peer really holds, and feed it from there."""
        link.n_reports += 1
        if link.n_reports > MAX_HELD_REPORTS:
            self.context.fail(
                Step.TRANSFER,
                FailureKind.INVALID,
                peer=link.peer,
                detail="too many reports of unusable updates",
            )
            self.context.close(link)
            return
        link.replace_known(report.held)
        self.feed(link)

    def is_wanted(self, kind: BundleKind, version: Version, *, peer: str) -> bool:
        """Judge an offered version, and report an older or conflicting one."""
        judgement = self.histories[kind].judge(version)
        if judgement is Judgement.NEWER:
            return True
        if judgement in (Judgement.OLDER, Judgement.CONFLICT):
            self.context.n_refused_older += 1
            failure_kind = FailureKind.STALE_VERSION
            if judgement is Judgement.CONFLICT:
                failure_kind = FailureKind.VERSION_CONFLICT
            self.context.fail(
                Step.RECEIVE,
                failure_kind,
                peer=peer,
                detail=f"{kind.value} {version}, held {self.histories[kind].version}",
            )
        return False

    def receive_bundle(self, bundle: Bundle, *, delivered_by: str) -> None:
        """Offer a verified bundle, or keep it until the bootstrap is over."""
        if not self.is_wanted(bundle.kind, bundle.version, peer=delivered_by):
            return
        if not self.bootstrap.is_over:
            self.bootstrap.keep(bundle, delivered_by=delivered_by)
            self.release()
            return
        self.offer(bundle, delivered_by=delivered_by)

    def release(self) -> None:
        """Offer what the bootstrap held back, once it may be."""
        if self.bootstrap.is_over:
            return
        for bundle, delivered_by in self.bootstrap.release(now=self.context.now):
            self.offer(bundle, delivered_by=delivered_by)

    def offer(self, bundle: Bundle, *, delivered_by: str) -> None:
        """Offer a bundle, or line it up behind the one being decided."""
        pending = self.offered.get(bundle.kind)
        if pending is None:
            self.offered[bundle.kind] = bundle
            action = Offer(bundle=bundle, delivered_by=delivered_by)
            self.context.actions.append(action)
            return
        waiting = self.waiting.get(bundle.kind)
        newest = waiting[0] if waiting else pending
        order = compare_versions(held=newest.version, offered=bundle.version)
        if order is VersionOrder.NEWER:
            self.waiting[bundle.kind] = (bundle, delivered_by)

    def decide(self, event: OfferDecided) -> None:
        """Take over the sink's verdict and push an applied version on."""
        bundle = event.bundle
        self.offered.pop(bundle.kind, None)
        history = self.histories[bundle.kind]
        if event.result.is_ok():
            history.accept(bundle)
            self.staging.clear()
            self.feed_all()
        else:
            history.reject(bundle)
            self.context.report(event.result.error)
        waiting = self.waiting.pop(bundle.kind, None)
        if waiting is not None:
            self.receive_bundle(waiting[0], delivered_by=waiting[1])

    def feed_all(self) -> None:
        """Push the held versions to every peer that lacks them."""
        for link in list(self.context.links.links.values()):
            self.feed(link)

    def feed(self, link: Link) -> None:
        """Push the held versions to a peer that lacks them."""
        if not link.exchanges_updates:
            return
        for kind, history in self.histories.items():
            if history.held is None or kind in link.sending:
                continue
            known = link.known.get(kind)
            if known is None and self.is_deferred(link):
                continue
            order = compare_versions(held=known, offered=history.held.version)
            if order is VersionOrder.NEWER:
                self.push(link, history)

    def is_deferred(self, link: Link) -> bool:
        """Tell whether a child has to wait for whole documents.

        Before the host list is known, a child of another zone may belong to
        another region, where it should be fed.
        """
        return self.defers_whole and link.zone not in ("", self.zone)

    def end_deferral(self) -> None:
        """Feed the children that waited for whole documents."""
        if self.defers_whole:
            self.defers_whole = False
            self.feed_all()

    def push(self, link: Link, history: VersionHistory) -> None:
        """Send the held version, as a delta if the peer holds a known base."""
        known = link.known.get(history.kind)
        base = history.find(known.digest) if known else None
        staged = frozenset() if base else link.staged
        parts = self.encoder.encode(history.held, base=base, staged=staged)
        confirmation = self.context.freshness.confirmation(self.context.now)
        link.sending[history.kind] = base is None
        link.known[history.kind] = history.held.version
        link.sent_s = self.context.now
        self.context.actions.append(
            SendUpdate(
                link_id=link.link_id,
                kind=history.kind,
                parts=tuple(replace(part, confirmation=confirmation) for part in parts),
            )
        )

    def needs_full_transfer(self, known: Mapping[BundleKind, Version]) -> bool:
        """Tell whether a peer holding `known` lacks every base of some kind."""
        for kind, history in self.histories.items():
            if history.held is None:
                continue
            if kind not in known or history.find(known[kind].digest) is None:
                return True
        return False
