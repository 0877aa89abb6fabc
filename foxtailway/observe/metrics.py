"""Prometheus metrics of a node."""

from enum import Enum

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from foxtailway.common.failure import Failure
from foxtailway.model.bundle import BundleKind
from foxtailway.observe.audit import AuditAction
from foxtailway.observe.status import NodeStatus
from foxtailway.routing.outcome import Outcome, RefusalReason

__all__ = ["CallSide", "NodeMetrics"]

# Upper bounds of the histogram of call durations.
DURATION_BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.5, 2.5, 10.0)
INFINITY = float("inf")


class CallSide(Enum):
    """Value of the label ``side``: where in the mesh a call is counted."""

    ENTRY = "entry"
    UPSTREAM = "upstream"


class NodeMetrics:
    """Metrics of a node, in a separate registry for each node.

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
        self.calls = self.make_metric(
            Counter, "calls_total", "Calls by outcome and reason."
        )
        self.call_duration = self.make_histogram(
            "call_duration_seconds", "Duration of calls.", DURATION_BUCKETS_S
        )
        self.retries = self.make_metric(Counter, "retries_total", "Retries of calls.")
        self.versions = self.make_metric(
            Counter, "versions_total", "Versions applied, rejected and refused."
        )
        self.failures = self.make_metric(
            Counter, "failures_total", "Failures by step and kind."
        )
        self.confirmed_age = self.make_metric(
            Gauge, "confirmed_age_seconds", "Age of the platform's confirmation."
        )
        self.children = self.make_metric(Gauge, "children", "Children fed now.")
        self.hops = self.make_metric(Gauge, "hops", "Nodes between platform and node.")
        self.ready = self.make_metric(Gauge, "ready", "1 while the node takes calls.")
        self.withdrawn_routes = self.make_metric(
            Gauge, "withdrawn_routes", "Routes whose cluster has no endpoint."
        )
        self.revision = self.make_metric(
            Gauge, "version_revision", "Revision in force."
        )
        self.generation = self.make_metric(
            Gauge, "version_generation", "Generation in force."
        )
        self.status_gauges: dict[str, Gauge] = {}

    def make_metric(self, kind: type, name: str, doc: str) -> Counter | Gauge:
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
        self,
        *,
        side: CallSide,
        outcome: Outcome,
        reason: RefusalReason | None,
        duration_s: float,
    ) -> None:
        """Count a finished call and record its duration.

        Parameters
        ----------
        side : CallSide
            Whether the call entered the mesh here or was for the local upstream.
        outcome : Outcome
            Whether an upstream ran the call.
        reason : RefusalReason or None
            Reason of a refusal; None for a response of the upstream.
        duration_s : float
            Time from the request to the response, in seconds.
        """
        text = reason.value if reason is not None else ""
        labels = {"side": side.value}
        self.calls.inc({**labels, "outcome": outcome.value, "reason": text})
        self.call_duration.add(labels, float(duration_s))

    def count_retry(self) -> None:
        """Count a retry of a call."""
        self.retries.inc({})

    def count_version(self, *, kind: BundleKind, action: AuditAction) -> None:
        """Count a version by its kind and the action on it."""
        self.versions.inc({"kind": kind.value, "action": action.value})

    def count_failure(self, failure: Failure) -> None:
        """Count a failure by step and kind."""
        labels = {"step": failure.step.value, "kind": failure.kind.value}
        self.failures.inc(labels)

    def update(self, status: NodeStatus) -> None:
        """Set the gauges to the values of the node status.

        A gauge whose value is unknown is left unchanged.
        """
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
        for name, value in status.counters.items():
            self.get_status_gauge(name).set({}, value)

    def get_status_gauge(self, name: str) -> Gauge:
        """Return the gauge of a counter in the node status, created on first use."""
        gauge = self.status_gauges.get(name)
        if gauge is None:
            gauge = self.make_metric(
                Gauge, f"node_{name}", f"Counter {name} of the node."
            )
            self.status_gauges[name] = gauge
        return gauge

    def render(self, accept: str = "") -> tuple[bytes, dict[str, str]]:
        """Return the metrics in a format that the caller accepts.

        Parameters
        ----------
        accept : str, default=""
            Value of the request header ``Accept``.

        Returns
        -------
        tuple
            The body and the response headers.
        """
        return render(self.registry, [accept] if accept else [])
