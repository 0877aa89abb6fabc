"""Node status and admin server for tests."""

from foxtailway.common import ManualClock
from foxtailway.model import Version
from foxtailway.observe import (
    AdminServer,
    AuditTrail,
    NodeMetrics,
    NodeStatus,
    StatusProvider,
)


def make_version(revision: int, generation: int = 1) -> Version:
    digest = bytes([revision % 256]) * 16
    return Version(generation=generation, revision=revision, digest=digest)


def make_status(**changes: object) -> NodeStatus:
    fields = {
        "host_id": "accra-a-1",
        "zone": "accra-a",
        "region": "accra",
        "config_version": make_version(7),
        "hosts_version": make_version(9),
        "role": "reader",
        "parent": "platform",
        "n_children": 3,
        "confirmed_age_s": 0.5,
        "n_hops": 1,
        "is_ready": True,
        "is_stopping": False,
        "last_rejection": None,
        "withdrawn_routes": (),
    }
    return NodeStatus(**(fields | changes))


class FixedStatus(StatusProvider):
    """Provider of a status that tests replace."""

    def __init__(self, status: NodeStatus) -> None:
        self.status = status

    def read_status(self) -> NodeStatus:
        return self.status


class FakeNode:
    """Admin server of a node with a given status, on a free port."""

    def __init__(self, **changes: object) -> None:
        self.provider = FixedStatus(make_status(**changes))
        self.trail = AuditTrail(size=3, clock=ManualClock(), read_system_time=float)
        self.metrics = NodeMetrics(host_id="accra-a-1")
        self.server = AdminServer(
            address="127.0.0.1",
            port=0,
            provider=self.provider,
            trail=self.trail,
            metrics=self.metrics,
        )
        self.address = f"127.0.0.1:{self.server.port}"
