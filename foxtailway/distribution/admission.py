"""Admission control for control streams that other nodes open."""

from foxtailway.common.failure import FailureKind
from foxtailway.distribution.link import Link, LinkRole, LinkTable
from foxtailway.distribution.message import (
    PROTOCOL_VERSION,
    ControlHello,
    RefusedReason,
)
from foxtailway.settings.model import NodeSettings

__all__ = ["REFUSAL_FAILURES", "Admission"]

# Full transfers that a node sends at a time. Deltas are not limited, so children that
# hold a base are served while others receive whole documents.
MAX_FULL_TRANSFERS = 4
# Capacity kept for relays beyond the fan-out: the fan-out divided by this, at least 1.
RELAY_RESERVE_DIVISOR = 4
# Inbound probe streams accepted at a time, for each child of the fan-out.
INBOUND_PROBES_PER_CHILD = 4

# Refusals that show a configuration error and are therefore reported as failures.
REFUSAL_FAILURES = {
    RefusedReason.WRONG_MESH: FailureKind.WRONG_MESH,
    RefusedReason.WRONG_PROTOCOL: FailureKind.WRONG_PROTOCOL,
}


class Admission:
    """Check hellos against the identity and the limits of a node.

    Parameters
    ----------
    settings : NodeSettings
        Identity and fan-out.
    links : LinkTable
        Streams of the node.
    """

    def __init__(self, *, settings: NodeSettings, links: LinkTable) -> None:
        self.host = settings.host
        self.fan_out = settings.distribution.fan_out
        self.links = links

    def find_mismatch(self, hello: ControlHello) -> RefusedReason | None:
        """Return a refusal if mesh or protocol version differ, or None."""
        if hello.mesh != self.host.mesh:
            return RefusedReason.WRONG_MESH
        if hello.protocol_version != PROTOCOL_VERSION:
            return RefusedReason.WRONG_PROTOCOL
        return None

    def find_probe_refusal(self) -> RefusedReason | None:
        """Return a refusal if too many inbound probes are open, or None."""
        n_inbound_probes = len(self.links.list_by_role(LinkRole.INBOUND_PROBE))
        if n_inbound_probes >= INBOUND_PROBES_PER_CHILD * self.fan_out:
            return RefusedReason.BUSY
        return None

    def find_child_refusal(
        self, hello: ControlHello, *, needs_full_transfer: bool
    ) -> RefusedReason | None:
        """Return why the node cannot become a child, or None.

        Checks in this order for a loop, the number of children and the number of
        full transfers.
        """
        if hello.host_id in self.list_loop_host_ids():
            return RefusedReason.LOOP
        if self.is_full(hello) and self.find_displaceable_child(hello) is None:
            return RefusedReason.FULL
        n_full_transfers = self.links.count_full_transfers()
        if needs_full_transfer and n_full_transfers >= MAX_FULL_TRANSFERS:
            return RefusedReason.BUSY
        return None

    def is_full(self, hello: ControlHello) -> bool:
        """Return whether the node has its maximum number of other children.

        The limit is higher for relays, since other nodes depend on them.
        """
        others = [
            link
            for link in self.links.list_by_role(LinkRole.CHILD)
            if link.host_id != hello.host_id
        ]
        capacity = self.fan_out
        if hello.is_relay:
            capacity += max(1, self.fan_out // RELAY_RESERVE_DIVISOR)
        return len(others) >= capacity

    def find_displaceable_child(self, hello: ControlHello) -> Link | None:
        """Return a child to disconnect in favor of the sender, or None.

        A sender whose preferred parent is this node displaces a child that
        prefers another one. Children that moved to other parents while this
        node was unavailable can thus return when the node is full.
        """
        if not hello.is_preferred:
            return None
        for link in self.links.list_by_role(LinkRole.CHILD):
            if not link.is_preferred and link.host_id != hello.host_id:
                return link
        return None

    def list_loop_host_ids(self) -> set[str | None]:
        """Return the hosts that cannot become children without a loop.

        These are this host and the hosts of its parent and trial streams.
        """
        host_ids = {self.host.host_id}
        for role in (LinkRole.PARENT, LinkRole.TRIAL):
            host_ids.update(link.host_id for link in self.links.list_by_role(role))
        return host_ids
