"""Metrics of a node."""

from enum import Enum

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from foxtailway.model.bundle import BundleKind
from foxtailway.observe.audit import AuditAction
from foxtailway.observe.status import NodeStatus
from foxtailway.routing.outcome import Outcome, RefusalReason

__all__ = ["Direction", "NodeMetrics", "PeerReach", "Transfer"]

DURATION_BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.5, 2.5, 10.0)
SIZE_BUCKETS_BYTES = (100, 1_000, 10_000, 100_000, 1_000_000, 10_000_000)
INFINITY = float("inf")


class Direction(Enum):
    """Direction of traffic, seen from the node."""

    SENT = "sent"
    RECEIVED = "received"


class PeerReach(Enum):
    """What traffic between two nodes crosses."""

    ZONE = "zone"
    REGION = "region"
    LINK = "link"
    PLATFORM = "platform"


class Transfer(Enum):
    """Form in which a version is transferred."""

    DELTA = "delta"
    WHOLE = "whole"


class NodeMetrics:
    """Count what a node does.

    Parameters
    ----------
    host_id : str
        Host identifier, a label of every metric.

    Examples
    --------
    >>> metrics = NodeMetrics(host_id="accra-a-1")
    >>> metrics.count_retry()
    >>> metrics.retries.get({})
    1
    """

    def __init__(self, *, host_id: str) -> None:
        self.registry = Registry()
        self.labels = {"host": host_id}
        self.calls = self.make(Counter, "calls_total", "Calls by outcome and reason.")
        self.call_duration = self.make_histogram(
            "call_duration_seconds", "Duration of calls.", DURATION_BUCKETS_S
        )
        self.retries = self.make(Counter, "retries_total", "Retries of calls.")
        self.in_flight = self.make(Gauge, "calls_in_flight", "Calls carried now.")
        self.versions = self.make(
            Counter, "versions_total", "Versions applied, rejected and refused."
        )
        self.control_bytes = self.make(
            Counter, "control_bytes_total", "Bytes of configuration traffic."
        )
        self.platform_calls = self.make(
            Counter, "platform_calls_total", "Calls to the platform by result."
        )
        self.transfer_size = self.make_histogram(
            "transfer_bytes", "Size of transferred versions.", SIZE_BUCKETS_BYTES
        )
        self.confirmed_age = self.make(
            Gauge, "confirmed_age_seconds", "Age of the platform's confirmation."
        )
        self.children = self.make(Gauge, "children", "Children fed now.")
        self.hops = self.make(Gauge, "hops", "Nodes between platform and node.")
        self.ready = self.make(Gauge, "ready", "1 while the node takes calls.")
        self.withdrawn_routes = self.make(
            Gauge, "withdrawn_routes", "Routes whose cluster has no endpoint."
        )
        self.revision = self.make(Gauge, "version_revision", "Revision in force.")
        self.generation = self.make(Gauge, "version_generation", "Generation in force.")

    def make(self, kind: type, name: str, doc: str) -> Counter | Gauge:
        """Return a registered counter or gauge."""
        return kind(f"foxtailway_{name}", doc, self.labels, self.registry)

    def make_histogram(
        self, name: str, doc: str, buckets: tuple[float, ...]
    ) -> Histogram:
        """Return a registered histogram."""
        return Histogram(
            f"foxtailway_{name}",
            doc,
            self.labels,
            self.registry,
            buckets=(*buckets, INFINITY),
        )

    def count_call(
        self, *, outcome: Outcome, reason: RefusalReason | None, duration_s: float
    ) -> None:
        """Count a finished call; `reason` is None for an upstream's answer."""
        text = reason.value if reason is not None else ""
        self.calls.inc({"outcome": outcome.value, "reason": text})
        self.call_duration.add({}, float(duration_s))

    def count_retry(self) -> None:
        """Count a retry."""
        self.retries.inc({})

    def set_in_flight(self, n_calls: int) -> None:
        """Set the number of calls carried now."""
        self.in_flight.set({}, n_calls)

    def count_version(self, *, kind: BundleKind, action: AuditAction) -> None:
        """Count what was done with a version."""
        self.versions.inc({"kind": kind.value, "action": action.value})

    def count_control_bytes(
        self, n_bytes: int, *, direction: Direction, reach: PeerReach
    ) -> None:
        """Count configuration traffic."""
        labels = {"direction": direction.value, "reach": reach.value}
        self.control_bytes.add(labels, n_bytes)

    def count_platform_call(self, *, result: str) -> None:
        """Count a call to the platform by ``ok`` or its kind of failure."""
        self.platform_calls.inc({"result": result})

    def observe_transfer(self, n_bytes: int, *, transfer: Transfer) -> None:
        """Record the size of a transferred version."""
        self.transfer_size.add({"transfer": transfer.value}, n_bytes)

    def update(self, status: NodeStatus) -> None:
        """Set the gauges that follow from the state of the node."""
        if status.confirmed_age_s is not None:
            self.confirmed_age.set({}, status.confirmed_age_s)
        if status.n_hops is not None:
            self.hops.set({}, status.n_hops)
        self.children.set({}, status.n_children)
        self.ready.set({}, int(status.is_ready and not status.is_stopping))
        self.withdrawn_routes.set({}, len(status.withdrawn_routes))
        versions = {
            BundleKind.CONFIG: status.config_version,
            BundleKind.HOSTS: status.hosts_version,
        }
        for kind, version in versions.items():
            if version is not None:
                self.revision.set({"kind": kind.value}, version.revision)
                self.generation.set({"kind": kind.value}, version.generation)

    def render(self, accept: str = "") -> tuple[bytes, dict[str, str]]:
        """Return the metrics in a format that the caller accepts."""
        return render(self.registry, [accept] if accept else [])
