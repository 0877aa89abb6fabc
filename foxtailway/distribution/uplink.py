"""Streams that a node opens: to its parent, and to peers asked at the start."""

from foxtailway.common.failure import Failure, FailureKind, Step
from foxtailway.distribution.action import Dial
from foxtailway.distribution.admission import REFUSAL_FAILURES
from foxtailway.distribution.comparison import StaleComparison
from foxtailway.distribution.context import CoreContext
from foxtailway.distribution.exchange import VersionExchange
from foxtailway.distribution.link import Link, LinkRole
from foxtailway.distribution.message import (
    PROTOCOL_VERSION,
    Confirmation,
    ControlHello,
    PeerAddress,
    Purpose,
    SubscriptionRefused,
    Welcome,
)
from foxtailway.distribution.parent_selector import ParentSelector

__all__ = ["Uplink"]

MAX_HOPS = 32


class Uplink:
    """Keep the node attached to the best parent to be had.

    Parameters
    ----------
    context : CoreContext
        State shared by the parts of the core.
    exchange : VersionExchange
        Versions of the node.
    """

    def __init__(self, *, context: CoreContext, exchange: VersionExchange) -> None:
        self.context = context
        self.exchange = exchange
        self.sizes = context.settings.distribution
        self.is_relay = False
        self.fresher: PeerAddress | None = None
        self.seeker = ParentSelector(
            settings=context.settings, random_source=context.random_source
        )
        self.comparison = StaleComparison(context=context, seeker=self.seeker)

    @property
    def parent(self) -> Link | None:
        """Return the stream to the parent."""
        return self.context.links.find_role(LinkRole.PARENT)

    def probe_seeds(self) -> None:
        """Ask some seeds which versions they hold."""
        for target in self.seeker.last_resorts[: self.sizes.n_bootstrap_peers]:
            link = self.dial(target, role=LinkRole.PROBE)
            self.exchange.bootstrap.ask(link.link_id)

    def dial(self, target: PeerAddress, *, role: LinkRole) -> Link:
        """Open a stream."""
        now = self.context.now
        link = Link(
            link_id=next(self.context.link_ids),
            role=role,
            target=target,
            host_id=target.host_id,
            is_welcome=False,
            opened_s=now,
            heard_s=now,
            sent_s=now,
        )
        self.context.links.links[link.link_id] = link
        self.context.actions.append(Dial(link_id=link.link_id, target=target))
        return link

    def greet(self, link: Link) -> None:
        """Send the hello over a connected stream."""
        link.opened_s = self.context.now
        link.heard_s = self.context.now
        is_probe = link.role is LinkRole.PROBE
        host = self.context.settings.host
        hello = ControlHello(
            protocol_version=PROTOCOL_VERSION,
            mesh=host.mesh,
            host_id=host.host_id,
            zone=host.zone,
            address=host.address,
            port=self.context.settings.listen.mesh_port,
            purpose=Purpose.PROBE if is_probe else Purpose.SUBSCRIBE,
            is_relay=self.is_relay,
            is_preferred=link.target in self.seeker.candidates[:1],
            held=self.exchange.list_held(),
            staged=() if is_probe else tuple(self.exchange.staging.documents),
        )
        self.context.send(link, hello)

    def receive_welcome(self, link: Link, welcome: Welcome) -> None:
        """Use the answer to a hello."""
        link.host_id = welcome.host_id
        if link.role is LinkRole.PROBE:
            self.finish_probe(link, welcome)
            return
        if not self.is_acceptable(welcome):
            self.abandon_trial(link)
            return
        previous = self.parent
        if previous is not None:
            self.context.close(previous)
        link.is_welcome = True
        link.role = LinkRole.PARENT
        link.replace_known(welcome.held)
        self.hear_beacon(welcome.confirmation)
        self.seeker.note_parent(now=self.context.now)
        self.exchange.feed(link)

    def finish_probe(self, link: Link, welcome: Welcome) -> None:
        """Use a peer's answer, and prefer it as parent if it is ahead."""
        self.context.close(link)
        bootstrap = self.exchange.bootstrap
        if bootstrap.is_over:
            freshness = self.context.freshness
            if freshness.is_clearly_ahead(welcome.confirmation, self.context.now):
                self.fresher = link.target
            return
        if bootstrap.answer(link.link_id, welcome.held):
            self.seeker.hints.appendleft(link.target)
        self.exchange.release()

    def is_acceptable(self, welcome: Welcome) -> bool:
        """Tell whether the welcoming peer is better than the present parent."""
        own_id = self.context.settings.host.host_id
        if welcome.host_id == own_id or welcome.confirmation.n_hops >= MAX_HOPS:
            return False
        if self.context.links.find_child(welcome.host_id) is not None:
            return False
        if self.parent is None:
            return True
        freshness = self.context.freshness
        now = self.context.now
        if self.seeker.is_nearer_home(welcome.host_id, than=self.parent.host_id):
            return not freshness.is_clearly_behind(welcome.confirmation, now)
        return freshness.is_clearly_ahead(welcome.confirmation, now)

    def hear_beacon(self, confirmation: Confirmation) -> None:
        """Take over the parent's freshness, unless it comes round in a loop."""
        if confirmation.n_hops < MAX_HOPS:
            self.context.freshness.hear(confirmation, now=self.context.now)
            return
        parent = self.parent
        self.context.fail(
            Step.RECEIVE,
            FailureKind.INVALID,
            peer=parent.peer,
            detail=f"more than {MAX_HOPS} hops from the platform",
        )
        self.context.freshness.forget()
        self.leave_parent(parent, blocked_s=self.sizes.retry_max_s)

    def leave_parent(self, parent: Link, *, blocked_s: float) -> None:
        """Close the stream to the parent and look for another one."""
        self.context.close(parent)
        self.seeker.note_failure(
            parent.target, now=self.context.now, blocked_s=blocked_s
        )

    def abandon_trial(self, link: Link) -> None:
        """Close a stream that was not welcomed in time or is no better."""
        self.context.close(link)
        self.seeker.note_failure(
            link.target, now=self.context.now, blocked_s=self.sizes.retry_max_s
        )

    def receive_refusal(self, link: Link, refusal: SubscriptionRefused) -> None:
        """Try another peer, first the ones that the refusal names."""
        self.context.close(link)
        if refusal.reason in REFUSAL_FAILURES:
            self.context.fail(
                Step.HELLO,
                REFUSAL_FAILURES[refusal.reason],
                peer=link.peer,
                detail="refused by the peer",
            )
        if link.role is LinkRole.PROBE:
            self.exchange.bootstrap.answer(link.link_id)
            self.exchange.release()
            return
        self.seeker.note_failure(
            link.target,
            now=self.context.now,
            blocked_s=refusal.retry_after_s,
            hints=refusal.alternates,
        )

    def lose(self, link: Link, failure: Failure | None, *, blocked_s: float) -> None:
        """Note that a dialed stream ended; the link is already forgotten."""
        if failure is not None:
            self.context.report(failure)
        if link.role is LinkRole.PROBE:
            self.exchange.bootstrap.answer(link.link_id)
            self.exchange.release()
            return
        self.seeker.note_failure(link.target, now=self.context.now, blocked_s=blocked_s)

    def tick(self, *, is_lost: bool) -> None:
        """Try the next possible parent when there is reason to."""
        now = self.context.now
        self.leave_rescuer(is_lost=is_lost)
        self.compare_stale_parent()
        if self.context.links.find_role(LinkRole.TRIAL) is not None:
            return
        if now < self.seeker.retry_at_s:
            return
        target = self.choose_target(is_lost=is_lost)
        if target is not None:
            self.dial(target, role=LinkRole.TRIAL)

    def compare_stale_parent(self) -> None:
        """Ask now and then whether another node is clearly fresher."""
        is_stale = self.context.freshness.is_stale(self.context.now)
        if self.parent is None or not is_stale or not self.exchange.bootstrap.is_over:
            self.comparison.cancel()
            return
        target = self.comparison.choose(avoid=self.list_avoided())
        if target is not None:
            self.dial(target, role=LinkRole.PROBE)

    def leave_rescuer(self, *, is_lost: bool) -> None:
        """Leave a lower-ranked parent once the platform itself answers again."""
        parent = self.parent
        if parent is None or is_lost or not self.seeker.is_placed:
            return
        if not self.seeker.candidates and self.context.freshness.n_hops == 0:
            self.context.close(parent)

    def choose_target(self, *, is_lost: bool) -> PeerAddress | None:
        """Return the peer to try now, or None when all is well."""
        now = self.context.now
        seeker = self.seeker
        parent = self.parent
        if self.fresher is not None:
            target = self.fresher
            self.fresher = None
            return target
        if parent is None or not seeker.is_candidate(parent.host_id):
            target = seeker.choose(now=now, avoid=self.list_avoided(), is_lost=is_lost)
            if target is None:
                seeker.postpone(now=now)
            return target
        if now < seeker.rehome_at_s:
            return None
        seeker.schedule_rehome(now=now)
        if seeker.is_preferred(parent.host_id):
            return None
        return seeker.candidates[0]

    def list_avoided(self) -> frozenset[str]:
        """Return the hosts that are parent or child already."""
        return frozenset(
            link.host_id
            for link in self.context.links.links.values()
            if link.host_id and link.role in (LinkRole.PARENT, LinkRole.CHILD)
        )
