"""Streams that other nodes open: children, and guests that only ask."""

from collections.abc import Mapping

from foxtailway.common.failure import Step
from foxtailway.distribution.action import CloseLink, Send
from foxtailway.distribution.admission import REFUSAL_FAILURES, Admission
from foxtailway.distribution.context import CoreContext
from foxtailway.distribution.exchange import VersionExchange
from foxtailway.distribution.link import Link, LinkRole
from foxtailway.distribution.locality import Locality
from foxtailway.distribution.message import (
    ControlHello,
    Goodbye,
    PeerAddress,
    Purpose,
    RefusedReason,
    SubscriptionRefused,
    Welcome,
)
from foxtailway.distribution.topology import Topology
from foxtailway.model.bundle import BundleKind
from foxtailway.model.version import Version

__all__ = ["Downlink"]

N_ALTERNATES = 4
BUSY_RETRY_S = 1.0
SHORT_REFUSALS = (
    RefusedReason.BUSY,
    RefusedReason.REMOTE,
    RefusedReason.UNCONFIRMED,
)


class Downlink:
    """Welcome or refuse the nodes that open a control stream.

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
        self.admission = Admission(settings=context.settings, links=context.links)
        self.locality = Locality(settings=context.settings)
        self.is_stopping = False
        self.topology: Topology | None = None
        self.zone_peers: dict[str, list[PeerAddress]] | None = None
        self.unconfirmed_until_s = 0.0

    def place(self, topology: Topology) -> None:
        """Name hosts of a new topology, and send misplaced children away."""
        self.topology = topology
        self.zone_peers = None
        self.locality.place(topology)
        for link in self.context.links.list_role(LinkRole.CHILD):
            if self.is_misplaced(link.known, host_id=link.host_id, zone=link.zone):
                self.send_away(link)

    def accept(self, link_id: int, hello: ControlHello) -> None:
        """Answer a hello."""
        reason = self.find_refusal(hello)
        if reason is not None:
            self.refuse(link_id, hello, reason)
            return
        role = LinkRole.CHILD
        if hello.purpose is Purpose.PROBE:
            role = LinkRole.GUEST
        self.welcome(link_id, hello, role=role)

    def find_refusal(self, hello: ControlHello) -> RefusedReason | None:
        """Return why the node is not welcome, or None."""
        reason = self.admission.find_mismatch(hello)
        if reason is not None:
            return reason
        if self.is_stopping:
            return RefusedReason.STOPPING
        if hello.purpose is Purpose.PROBE:
            return self.admission.find_guest_refusal()
        if self.is_unconfirmed():
            return RefusedReason.UNCONFIRMED
        known = {item.kind: item.version for item in hello.held}
        if self.is_misplaced(known, host_id=hello.host_id, zone=hello.zone):
            return RefusedReason.REMOTE
        needs_full_transfer = self.exchange.needs_full_transfer(known)
        return self.admission.find_child_refusal(
            hello, needs_full_transfer=needs_full_transfer
        )

    def is_misplaced(
        self, known: Mapping[BundleKind, Version], *, host_id: str, zone: str
    ) -> bool:
        """Tell whether a child should get whole documents in its own region."""
        is_empty = len(known) < len(BundleKind)
        if not is_empty and not self.exchange.needs_full_transfer(known):
            return False
        return self.locality.is_remote_leaf(host_id=host_id, zone=zone)

    def is_unconfirmed(self) -> bool:
        """Tell whether the node woke up and has not confirmed its view yet."""
        if self.context.now >= self.unconfirmed_until_s:
            return False
        return self.context.freshness.confirmed_s is None

    def welcome(self, link_id: int, hello: ControlHello, *, role: LinkRole) -> None:
        """Take in a stream, in place of an older one of the same child."""
        if role is LinkRole.CHILD:
            self.make_room(hello)
        now = self.context.now
        link = Link(
            link_id=link_id,
            role=role,
            target=None,
            host_id=hello.host_id,
            is_welcome=True,
            opened_s=now,
            heard_s=now,
            sent_s=now,
            zone=hello.zone,
            listener=PeerAddress(
                host_id=hello.host_id, address=hello.address, port=hello.port
            ),
            is_preferred=hello.is_preferred,
            staged=frozenset(hello.staged),
        )
        link.replace_known(hello.held)
        self.context.links.links[link_id] = link
        message = Welcome(
            host_id=self.context.settings.host.host_id,
            held=self.exchange.list_held(),
            confirmation=self.context.freshness.confirmation(now),
        )
        self.context.send(link, message)
        self.exchange.feed(link)

    def make_room(self, hello: ControlHello) -> None:
        """Close the child's older stream, or that of the child it displaces."""
        previous = self.context.links.find_child(hello.host_id)
        if previous is not None:
            self.context.close(previous)
        if self.admission.is_full(hello):
            self.send_away(self.admission.find_displaced(hello))

    def send_away(self, link: Link) -> None:
        """Let a child look for another parent."""
        self.context.send(link, Goodbye(alternates=()))
        self.context.close(link)

    def refuse(self, link_id: int, hello: ControlHello, reason: RefusedReason) -> None:
        """Refuse a hello early and name other nodes to try."""
        if reason in REFUSAL_FAILURES:
            self.context.fail(
                Step.HELLO,
                REFUSAL_FAILURES[reason],
                peer=hello.host_id,
                detail=f"mesh {hello.mesh}, protocol {hello.protocol_version}",
            )
        refusal = SubscriptionRefused(
            reason=reason,
            retry_after_s=self.draw_retry_after_s(reason),
            alternates=self.list_alternates(hello),
        )
        self.context.actions.append(Send(link_id=link_id, message=refusal))
        self.context.actions.append(CloseLink(link_id=link_id))

    def draw_retry_after_s(self, reason: RefusedReason) -> float:
        """Return the time after which a refused node may come again."""
        longest_s = self.context.settings.distribution.retry_max_s
        if reason in SHORT_REFUSALS:
            longest_s = min(BUSY_RETRY_S, longest_s)
        return longest_s * self.context.random_source.uniform(0.5, 1.0)

    def list_alternates(self, hello: ControlHello) -> tuple[PeerAddress, ...]:
        """Return some hosts of the refused node's zone, or the own children."""
        if hello.mesh != self.context.settings.host.mesh:
            return ()
        peers = self.group_peers().get(hello.zone) or self.list_children()
        own_id = self.context.settings.host.host_id
        chosen = self.context.random_source.sample(
            peers, k=min(len(peers), N_ALTERNATES)
        )
        if self.locality.is_remote_leaf(host_id=hello.host_id, zone=hello.zone):
            chosen = [*self.locality.list_gateways(hello.zone), *chosen]
        return tuple(
            peer for peer in chosen if peer.host_id not in (own_id, hello.host_id)
        )

    def list_children(self) -> list[PeerAddress]:
        """Return the mesh addresses of the children."""
        children = self.context.links.list_role(LinkRole.CHILD)
        return [link.listener for link in children if link.listener]

    def group_peers(self) -> dict[str, list[PeerAddress]]:
        """Return the hosts of the topology by zone, grouped on first use."""
        if self.zone_peers is None:
            self.zone_peers = {}
            for host in self.topology.hosts if self.topology else ():
                peer = PeerAddress(
                    host_id=host.host_id, address=host.address, port=host.mesh_port
                )
                self.zone_peers.setdefault(host.zone, []).append(peer)
        return self.zone_peers
