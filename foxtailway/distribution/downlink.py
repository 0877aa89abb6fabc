"""Inbound control streams of children and of probing nodes."""

from collections.abc import Mapping

from foxtailway.common.failure import Step
from foxtailway.distribution.action import CloseLink, Send
from foxtailway.distribution.admission import REFUSAL_FAILURES, Admission
from foxtailway.distribution.context import CoreContext
from foxtailway.distribution.exchange import VersionExchange
from foxtailway.distribution.link import Link, LinkRole
from foxtailway.distribution.locality import Locality
from foxtailway.distribution.message import (
    ControlGoAway,
    ControlHello,
    ControlHelloAck,
    PeerAddress,
    Purpose,
    RefusedReason,
    SubscriptionRefused,
)
from foxtailway.distribution.topology import Topology
from foxtailway.model.bundle import BundleKind
from foxtailway.model.version import Version

__all__ = ["Downlink"]

# Other nodes that a refusal names.
N_ALTERNATES = 4
# Longest retry interval after a refusal with one of `SHORT_RETRY_REASONS`.
MAX_SHORT_RETRY_S = 1.0
# Refusal reasons after which a node may retry within `MAX_SHORT_RETRY_S`.
SHORT_RETRY_REASONS = (
    RefusedReason.BUSY,
    RefusedReason.REMOTE,
    RefusedReason.UNCONFIRMED,
)


class Downlink:
    """Accept or refuse inbound control streams.

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

    def update_topology(self, topology: Topology) -> None:
        """Apply a new topology and disconnect children that it shows as misplaced."""
        self.topology = topology
        self.zone_peers = None
        self.locality.update_topology(topology)
        for link in self.context.links.list_by_role(LinkRole.CHILD):
            if self.is_misplaced(
                link.peer_versions, host_id=link.host_id, zone=link.zone
            ):
                self.send_go_away(link)

    def accept(self, link_id: int, hello: ControlHello) -> None:
        """Accept or refuse a stream by its hello."""
        reason = self.find_refusal(hello)
        if reason is not None:
            self.refuse(link_id, hello, reason)
            return
        role = LinkRole.CHILD
        if hello.purpose is Purpose.PROBE:
            role = LinkRole.INBOUND_PROBE
        self.accept_link(link_id, hello, role=role)

    def find_refusal(self, hello: ControlHello) -> RefusedReason | None:
        """Return the reason to refuse the sender of a hello, or None."""
        reason = self.admission.find_mismatch(hello)
        if reason is not None:
            return reason
        if self.is_stopping:
            return RefusedReason.STOPPING
        if hello.purpose is Purpose.PROBE:
            return self.admission.find_probe_refusal()
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
        """Return whether a child must receive whole documents in its own region.

        A child that needs only deltas is never misplaced.
        """
        is_empty = len(known) < len(BundleKind)
        if not is_empty and not self.exchange.needs_full_transfer(known):
            return False
        return self.locality.is_remote_leaf(host_id=host_id, zone=zone)

    def is_unconfirmed(self) -> bool:
        """Return whether the node resumed after a pause without a confirmation."""
        if self.context.now >= self.unconfirmed_until_s:
            return False
        return self.context.freshness.confirmed_s is None

    def accept_link(self, link_id: int, hello: ControlHello, *, role: LinkRole) -> None:
        """Accept a stream and send the hello acknowledgement and updates.

        A stream of the same child that is still open is closed.
        """
        if role is LinkRole.CHILD:
            self.free_child_capacity(hello)
        now = self.context.now
        link = Link(
            link_id=link_id,
            role=role,
            target=None,
            host_id=hello.host_id,
            is_established=True,
            opened_s=now,
            last_received_s=now,
            last_sent_s=now,
            zone=hello.zone,
            listen_address=PeerAddress(
                host_id=hello.host_id, address=hello.address, port=hello.port
            ),
            is_preferred=hello.is_preferred,
            staged=frozenset(hello.staged),
        )
        link.replace_peer_versions(hello.held)
        self.context.links.links[link_id] = link
        message = ControlHelloAck(
            host_id=self.context.settings.host.host_id,
            held=self.exchange.list_held(),
            confirmation=self.context.freshness.make_confirmation(now),
        )
        self.context.send(link, message)
        self.exchange.push_updates(link)

    def free_child_capacity(self, hello: ControlHello) -> None:
        """Close the child's older stream and, if full, that of a displaced child."""
        previous = self.context.links.find_child(hello.host_id)
        if previous is not None:
            self.context.close(previous)
        if self.admission.is_full(hello):
            self.send_go_away(self.admission.find_displaceable_child(hello))

    def send_go_away(self, link: Link) -> None:
        """Send go-away to a child, so that it selects another parent."""
        self.context.send(link, ControlGoAway(alternates=()))
        self.context.close(link)

    def refuse(self, link_id: int, hello: ControlHello, reason: RefusedReason) -> None:
        """Refuse a hello, name alternates and close the stream."""
        if reason in REFUSAL_FAILURES:
            self.context.report_failure(
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
        """Return a random retry interval for a refused node, in seconds."""
        max_wait_s = self.context.settings.distribution.retry_max_s
        if reason in SHORT_RETRY_REASONS:
            max_wait_s = min(MAX_SHORT_RETRY_S, max_wait_s)
        return max_wait_s * self.context.random_source.uniform(0.5, 1.0)

    def list_alternates(self, hello: ControlHello) -> tuple[PeerAddress, ...]:
        """Return other nodes that the refused node may dial.

        These are random hosts of its zone or, without a host list, children of
        this node. For a remote leaf the gateways of its region come first. A node
        of another mesh gets none.
        """
        if hello.mesh != self.context.settings.host.mesh:
            return ()
        peers = self.group_peers_by_zone().get(hello.zone) or self.list_children()
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
        """Return the mesh listeners of the children."""
        children = self.context.links.list_by_role(LinkRole.CHILD)
        return [link.listen_address for link in children if link.listen_address]

    def group_peers_by_zone(self) -> dict[str, list[PeerAddress]]:
        """Return the hosts of the topology by zone, grouped on first use."""
        if self.zone_peers is None:
            self.zone_peers = {}
            for host in self.topology.hosts if self.topology else ():
                peer = PeerAddress(
                    host_id=host.host_id, address=host.address, port=host.mesh_port
                )
                self.zone_peers.setdefault(host.zone, []).append(peer)
        return self.zone_peers
