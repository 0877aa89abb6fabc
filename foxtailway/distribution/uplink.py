"""Outbound control streams to the parent and to probed peers."""

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
    ControlHelloAck,
    PeerAddress,
    Purpose,
    SubscriptionRefused,
)
from foxtailway.distribution.parent_selector import ParentSelector

__all__ = ["Uplink"]

# Hops from the platform at which a node assumes that its parents form a loop.
MAX_HOPS = 32


class Uplink:
    """Keep the node connected to the best available parent.

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
        self.distribution_settings = context.settings.distribution
        self.is_relay = False
        self.fresher_peer: PeerAddress | None = None
        self.selector = ParentSelector(
            settings=context.settings, random_source=context.random_source
        )
        self.comparison = StaleComparison(context=context, selector=self.selector)

    @property
    def parent(self) -> Link | None:
        """Return the stream to the parent, or None."""
        return self.context.links.find_by_role(LinkRole.PARENT)

    def probe_seeds(self) -> None:
        """Probe some seeds for the versions that they hold."""
        for target in self.selector.unlisted_seeds[
            : self.distribution_settings.n_bootstrap_peers
        ]:
            link = self.dial(target, role=LinkRole.PROBE)
            self.exchange.bootstrap.add_probe(link.link_id)

    def dial(self, target: PeerAddress, *, role: LinkRole) -> Link:
        """Open a stream and return its state."""
        now = self.context.now
        link = Link(
            link_id=next(self.context.link_ids),
            role=role,
            target=target,
            host_id=target.host_id,
            is_established=False,
            opened_s=now,
            last_received_s=now,
            last_sent_s=now,
        )
        self.context.links.links[link.link_id] = link
        self.context.actions.append(Dial(link_id=link.link_id, target=target))
        return link

    def send_hello(self, link: Link) -> None:
        """Send the hello over a connected stream."""
        link.opened_s = self.context.now
        link.last_received_s = self.context.now
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
            is_preferred=link.target in self.selector.candidates[:1],
            held=self.exchange.list_held(),
            staged=() if is_probe else tuple(self.exchange.staging.documents),
        )
        self.context.send(link, hello)

    def receive_hello_ack(self, link: Link, hello_ack: ControlHelloAck) -> None:
        """Process the acknowledgement of a hello.

        The peer becomes the parent, in place of the previous one, if it is better.
        """
        link.host_id = hello_ack.host_id
        if link.role is LinkRole.PROBE:
            self.finish_probe(link, hello_ack)
            return
        if not self.is_acceptable(hello_ack):
            self.close_trial(link)
            return
        previous = self.parent
        if previous is not None:
            self.context.close(previous)
        link.is_established = True
        link.role = LinkRole.PARENT
        link.replace_peer_versions(hello_ack.held)
        self.receive_confirmation(hello_ack.confirmation)
        self.selector.record_parent(now=self.context.now)
        self.exchange.push_updates(link)

    def finish_probe(self, link: Link, hello_ack: ControlHelloAck) -> None:
        """Process the answer to a probe, and dial the peer next if it is ahead."""
        self.context.close(link)
        bootstrap = self.exchange.bootstrap
        if bootstrap.is_over:
            freshness = self.context.freshness
            if freshness.is_clearly_ahead(hello_ack.confirmation, self.context.now):
                self.fresher_peer = link.target
            return
        if bootstrap.record_answer(link.link_id, hello_ack.held):
            self.selector.hints.appendleft(link.target)
        self.exchange.release()

    def is_acceptable(self, hello_ack: ControlHelloAck) -> bool:
        """Return whether a peer may replace the current parent.

        The node itself, a child and a peer at the hop limit are not accepted. A
        peer that suits the topology better must not be clearly staler than this
        node; any other peer must be clearly fresher.
        """
        own_id = self.context.settings.host.host_id
        if hello_ack.host_id == own_id or hello_ack.confirmation.n_hops >= MAX_HOPS:
            return False
        if self.context.links.find_child(hello_ack.host_id) is not None:
            return False
        if self.parent is None:
            return True
        freshness = self.context.freshness
        now = self.context.now
        if self.selector.is_better_placed(
            hello_ack.host_id, current_host_id=self.parent.host_id
        ):
            return not freshness.is_clearly_behind(hello_ack.confirmation, now)
        return freshness.is_clearly_ahead(hello_ack.confirmation, now)

    def receive_confirmation(self, confirmation: Confirmation) -> None:
        """Process a confirmation of the parent; leave the parent at the hop limit.

        Parents in a loop forward a confirmation to each other, which raises the
        number of hops each time.
        """
        if confirmation.n_hops < MAX_HOPS:
            self.context.freshness.update(confirmation, now=self.context.now)
            return
        parent = self.parent
        self.context.report_failure(
            Step.RECEIVE,
            FailureKind.INVALID,
            peer=parent.peer,
            detail=f"at least {MAX_HOPS} hops from the platform",
        )
        self.context.freshness.reset()
        self.close_parent(parent, blocked_s=self.distribution_settings.retry_max_s)

    def close_parent(self, parent: Link, *, blocked_s: float) -> None:
        """Close the stream to the parent and schedule another peer."""
        self.context.close(parent)
        self.selector.record_failure(
            parent.target, now=self.context.now, blocked_s=blocked_s
        )

    def close_trial(self, link: Link) -> None:
        """Close a trial stream whose peer is no better than the current parent."""
        self.context.close(link)
        self.selector.record_failure(
            link.target,
            now=self.context.now,
            blocked_s=self.distribution_settings.retry_max_s,
        )

    def receive_refusal(self, link: Link, refusal: SubscriptionRefused) -> None:
        """Process a refusal and schedule another peer, named alternates first."""
        self.context.close(link)
        if refusal.reason in REFUSAL_FAILURES:
            self.context.report_failure(
                Step.HELLO,
                REFUSAL_FAILURES[refusal.reason],
                peer=link.peer,
                detail="hello was refused by the peer",
            )
        if link.role is LinkRole.PROBE:
            self.exchange.bootstrap.record_answer(link.link_id)
            self.exchange.release()
            return
        self.selector.record_failure(
            link.target,
            now=self.context.now,
            blocked_s=refusal.retry_after_s,
            hints=refusal.alternates,
        )

    def handle_link_closed(
        self, link: Link, failure: Failure | None, *, blocked_s: float
    ) -> None:
        """Process the end of a dialed stream that was removed from the table."""
        if failure is not None:
            self.context.report(failure)
        if link.role is LinkRole.PROBE:
            self.exchange.bootstrap.record_answer(link.link_id)
            self.exchange.release()
            return
        self.selector.record_failure(
            link.target, now=self.context.now, blocked_s=blocked_s
        )

    def tick(self, *, is_isolated: bool) -> None:
        """Dial the next possible parent or probe a peer, if that is due."""
        now = self.context.now
        self.close_backup_parent(is_isolated=is_isolated)
        self.compare_stale_parent()
        if self.context.links.find_by_role(LinkRole.TRIAL) is not None:
            return
        if now < self.selector.retry_at_s:
            return
        target = self.choose_target(is_isolated=is_isolated)
        if target is not None:
            self.dial(target, role=LinkRole.TRIAL)

    def compare_stale_parent(self) -> None:
        """Probe another node from time to time while the parent is stale."""
        is_stale = self.context.freshness.is_stale(self.context.now)
        if self.parent is None or not is_stale or not self.exchange.bootstrap.is_over:
            self.comparison.cancel()
            return
        target = self.comparison.choose(excluded=self.list_excluded())
        if target is not None:
            self.dial(target, role=LinkRole.PROBE)

    def close_backup_parent(self, *, is_isolated: bool) -> None:
        """Close the stream to a lower-ranked parent once the platform answers."""
        parent = self.parent
        if parent is None or is_isolated or not self.selector.has_placement:
            return
        if not self.selector.candidates and self.context.freshness.n_hops == 0:
            self.context.close(parent)

    def choose_target(self, *, is_isolated: bool) -> PeerAddress | None:
        """Return the peer to dial now, or None if there is no reason to dial."""
        now = self.context.now
        selector = self.selector
        parent = self.parent
        if self.fresher_peer is not None:
            target = self.fresher_peer
            self.fresher_peer = None
            return target
        if parent is None or not selector.is_candidate(parent.host_id):
            target = selector.choose(
                now=now, excluded=self.list_excluded(), is_isolated=is_isolated
            )
            if target is None:
                selector.postpone(now=now)
            return target
        if now < selector.preferred_retry_at_s:
            return None
        selector.schedule_preferred_retry(now=now)
        if selector.is_preferred(parent.host_id):
            return None
        return selector.candidates[0]

    def list_excluded(self) -> frozenset[str]:
        """Return the hosts of the current parent and children."""
        return frozenset(
            link.host_id
            for link in self.context.links.links.values()
            if link.host_id and link.role in (LinkRole.PARENT, LinkRole.CHILD)
        )
