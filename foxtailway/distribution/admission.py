"""Which nodes may open a control stream, and what refused ones are told."""

from foxtailway.common.failure import FailureKind
from foxtailway.distribution.link import Link, LinkRole, LinkTable
from foxtailway.distribution.message import (
    PROTOCOL_VERSION,
    ControlHello,
    RefusedReason,
)
from foxtailway.settings.model import NodeSettings

__all__ = ["REFUSAL_FAILURES", "Admission"]

MAX_FULL_TRANSFERS = 4
RELAY_RESERVE_DIVISOR = 4
INBOUND_PROBES_PER_CHILD = 4

REFUSAL_FAILURES = {
    RefusedReason.WRONG_MESH: FailureKind.WRONG_MESH,
    RefusedReason.WRONG_PROTOCOL: FailureKind.WRONG_PROTOCOL,
}


class Admission:
    """Judge hellos against the identity and the limits of a node.

    Parameters
    ----------
    settings : NodeSettings
        Identity and fan-out.
    links : LinkTable
        Present streams.
    """

    def __init__(self, *, settings: NodeSettings, links: LinkTable) -> None:
        self.host = settings.host
        self.fan_out = settings.distribution.fan_out
        self.links = links

    def find_mismatch(self, hello: ControlHello) -> RefusedReason | None:
        """Tell whether a node belongs to another mesh or protocol."""
        if hello.mesh != self.host.mesh:
            return RefusedReason.WRONG_MESH
        if hello.protocol_version != PROTOCOL_VERSION:
            return RefusedReason.WRONG_PROTOCOL
        return None

    def find_probe_refusal(self) -> RefusedReason | None:
        """Bound the number of probing nodes."""
        n_inbound_probes = len(self.links.list_by_role(LinkRole.INBOUND_PROBE))
        if n_inbound_probes >= INBOUND_PROBES_PER_CHILD * self.fan_out:
            return RefusedReason.BUSY
        return None

    def find_child_refusal(
        self, hello: ControlHello, *, needs_full_transfer: bool
    ) -> RefusedReason | None:
        """Bound the number of children and of full transfers."""
        if hello.host_id in self.list_loop_host_ids():
            return RefusedReason.LOOP
        if self.is_full(hello) and self.find_displaceable_child(hello) is None:
            return RefusedReason.FULL
        n_full_transfers = self.links.count_full_transfers()
        if needs_full_transfer and n_full_transfers >= MAX_FULL_TRANSFERS:
            return RefusedReason.BUSY
        return None

    def is_full(self, hello: ControlHello) -> bool:
        """Tell whether there is no place left for a child."""
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
        """Return the child that makes room for one that belongs here.

        Children that took refuge elsewhere while their parent was away thus
        find their place free when they come back.
        """
        if not hello.is_preferred:
            return None
        for link in self.links.list_by_role(LinkRole.CHILD):
            if not link.is_preferred and link.host_id != hello.host_id:
                return link
        return None

    def list_loop_host_ids(self) -> set[str | None]:
        """Return the own host and those that are or may become its parent."""
        host_ids = {self.host.host_id}
        for role in (LinkRole.PARENT, LinkRole.TRIAL):
            host_ids.update(link.host_id for link in self.links.list_by_role(role))
        return host_ids
