"""Audit trail, metrics and log entries of the events in a node."""

from expression import Result
from logbook import Logger

from foxtailway.common.failure import Failure, FailureKind, Step
from foxtailway.distribution.observer import DistributionObserver
from foxtailway.model.bundle import Bundle, BundleKind
from foxtailway.model.snapshot import Route, Snapshot
from foxtailway.model.version import Version
from foxtailway.observe.audit import AuditAction, AuditTrail
from foxtailway.observe.log import log_failure
from foxtailway.observe.metrics import CallSide, NodeMetrics
from foxtailway.observe.status import Rejection
from foxtailway.proxy.message import CallResponse
from foxtailway.proxy.observer import CallObserver
from foxtailway.routing.outcome import Outcome, Refusal

__all__ = ["NodeObserver"]

# Audit action for each kind of failure that refuses a version.
REFUSAL_ACTIONS = {
    FailureKind.STALE_VERSION: AuditAction.REFUSED_OLDER,
    FailureKind.VERSION_CONFLICT: AuditAction.REFUSED_CONFLICT,
}
# Steps in which a failure can be the fault of a peer.
PEER_FAILURE_STEPS = frozenset(
    {Step.HELLO, Step.DECODE, Step.RECEIVE, Step.TRANSFER, Step.VERIFY}
)
# Kinds of failure that count as a refused peer in one of these steps.
PEER_FAILURE_KINDS = frozenset(
    {
        FailureKind.INVALID,
        FailureKind.TOO_LARGE,
        FailureKind.WRONG_MESH,
        FailureKind.WRONG_PROTOCOL,
        FailureKind.DIGEST_MISMATCH,
    }
)


class NodeObserver(CallObserver, DistributionObserver):
    """Observer that records events in the audit trail, the metrics and the log.

    Parameters
    ----------
    trail : AuditTrail
        Audit trail of the node.
    metrics : NodeMetrics
        Metrics of the node.
    logger : Logger
        Logger of the node.
    """

    def __init__(
        self, *, trail: AuditTrail, metrics: NodeMetrics, logger: Logger
    ) -> None:
        self.trail = trail
        self.metrics = metrics
        self.logger = logger
        self.applied: dict[BundleKind, Bundle] = {}
        self.routes: dict[str, Route] = {}
        self.changed_routes: tuple[str, ...] = ()
        self.last_rejection: Rejection | None = None
        self.n_dropped_replies = 0
        self.n_refused_peers = 0
        self.n_quarantined = 0
        self.n_failed_streams = 0

    def find_version(self, kind: BundleKind) -> Version | None:
        """Return the version of a kind in force; None before the first one."""
        bundle = self.applied.get(kind)
        return bundle.version if bundle is not None else None

    def update_routes(self, snapshot: Snapshot) -> None:
        """Determine which routes differ from those of the previous snapshot."""
        routes = {route.name: route for route in snapshot.routes}
        names = self.routes.keys() | routes.keys()
        self.changed_routes = tuple(
            sorted(name for name in names if self.routes.get(name) != routes.get(name))
        )
        self.routes = routes

    def on_applied(self, bundle: Bundle, *, delivered_by: str) -> None:
        """Record that the sink applied a bundle, with the documents that changed."""
        previous = self.applied.get(bundle.kind)
        self.applied[bundle.kind] = bundle
        self.trail.record(
            action=AuditAction.APPLIED,
            delivered_by=delivered_by,
            kind=bundle.kind,
            version=bundle.version,
            changed_keys=list_changed_keys(previous, bundle),
            changed_routes=self.changed_routes,
        )
        self.changed_routes = ()
        self.metrics.count_version(kind=bundle.kind, action=AuditAction.APPLIED)
        self.logger.info(
            "version applied",
            extra={
                "kind": bundle.kind.value,
                "version": str(bundle.version),
                "delivered_by": delivered_by,
            },
        )

    def on_rejected(
        self, bundle: Bundle, *, delivered_by: str, failure: Failure
    ) -> None:
        """Record that the sink rejected a bundle, with the reason."""
        reason = str(failure)
        self.last_rejection = Rejection(version=bundle.version, reason=reason)
        self.trail.record(
            action=AuditAction.REJECTED,
            delivered_by=delivered_by,
            kind=bundle.kind,
            version=bundle.version,
            reason=reason,
        )
        self.metrics.count_version(kind=bundle.kind, action=AuditAction.REJECTED)
        self.record_failure(failure, action="version rejected")

    def on_failure(self, failure: Failure) -> None:
        """Record a failure in the exchange with a peer or the platform.

        A refused version is also recorded in the audit trail.
        """
        if failure.step in PEER_FAILURE_STEPS and failure.kind in PEER_FAILURE_KINDS:
            self.n_refused_peers += 1
        action = REFUSAL_ACTIONS.get(failure.kind)
        if action is not None:
            self.trail.record(
                action=action, delivered_by=failure.peer, reason=str(failure)
            )
        self.record_failure(failure, action="distribution failed")

    def call_finished(
        self, result: Result[CallResponse, Refusal], *, latency_s: float
    ) -> None:
        """Count a call that entered the mesh at this node."""
        self.count_call(result, side=CallSide.ENTRY, latency_s=latency_s)

    def call_retried(self, cluster: str) -> None:
        """Count a retry of a call that did not run."""
        self.metrics.count_retry()

    def request_served(
        self, result: Result[CallResponse, Refusal], *, latency_s: float
    ) -> None:
        """Count a request to the local upstream."""
        self.count_call(result, side=CallSide.UPSTREAM, latency_s=latency_s)

    def count_call(
        self,
        result: Result[CallResponse, Refusal],
        *,
        side: CallSide,
        latency_s: float,
    ) -> None:
        """Count a response or a refusal by outcome and duration."""
        refusal = result.error if result.is_error() else None
        self.metrics.count_call(
            side=side,
            outcome=refusal.outcome if refusal is not None else Outcome.RAN,
            reason=refusal.reason if refusal is not None else None,
            duration_s=latency_s,
        )

    def request_quarantined(self, route: str, request_fingerprint: str) -> None:
        """Record that a request is quarantined because its upstream was lost."""
        self.n_quarantined += 1
        reason = (
            f"route {route}: request {request_fingerprint} was running when its"
            " upstream was lost"
        )
        self.trail.record(
            action=AuditAction.QUARANTINED, delivered_by="", reason=reason
        )
        self.logger.warning("request quarantined", extra={"detail": reason})

    def peer_refused(self, failure: Failure) -> None:
        """Record that a peer was refused because of its hello or its messages."""
        self.n_refused_peers += 1
        self.record_failure(failure, action="peer refused")

    def peer_started_draining(self, host_id: str) -> None:
        """Log that a peer accepts no new requests."""
        self.logger.info("peer is draining", extra={"peer": host_id})

    def stream_failed(self, failure: Failure) -> None:
        """Record that a stream ended with a failure."""
        self.n_failed_streams += 1
        self.record_failure(failure, action="stream closed")

    def record_failure(self, failure: Failure, *, action: str) -> None:
        """Count a failure by step and kind, and log it."""
        self.metrics.count_failure(failure)
        log_failure(self.logger, failure, action=action)

    def reply_dropped(self, host_id: str) -> None:
        """Count a reply that no call waits for."""
        self.n_dropped_replies += 1


def list_changed_keys(previous: Bundle | None, bundle: Bundle) -> tuple[str, ...]:
    """Return the sorted keys of the documents that differ between two bundles."""
    before = {}
    if previous is not None:
        before = {document.key: document.digest for document in previous.documents}
    after = {document.key: document.digest for document in bundle.documents}
    keys = before.keys() | after.keys()
    return tuple(sorted(key for key in keys if before.get(key) != after.get(key)))
