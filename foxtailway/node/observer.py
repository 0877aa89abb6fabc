"""Audit, metrics and logs of what the node does."""

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

REFUSAL_ACTIONS = {
    FailureKind.STALE_VERSION: AuditAction.REFUSED_OLDER,
    FailureKind.VERSION_CONFLICT: AuditAction.REFUSED_CONFLICT,
}
PEER_FAILURE_STEPS = frozenset(
    {Step.HELLO, Step.DECODE, Step.RECEIVE, Step.TRANSFER, Step.VERIFY}
)
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
    """Record events in the audit trail, the metrics and the log.

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
        self.n_dropped_answers = 0
        self.n_refused_peers = 0
        self.n_quarantined = 0
        self.n_failed_streams = 0

    def find_version(self, kind: BundleKind) -> Version | None:
        """Return the version in force of a kind."""
        bundle = self.applied.get(kind)
        return bundle.version if bundle is not None else None

    def update_routes(self, snapshot: Snapshot) -> None:
        """Note which routes differ from those of the snapshot before."""
        routes = {route.name: route for route in snapshot.routes}
        names = self.routes.keys() | routes.keys()
        self.changed_routes = tuple(
            sorted(name for name in names if self.routes.get(name) != routes.get(name))
        )
        self.routes = routes

    def on_applied(self, bundle: Bundle, *, delivered_by: str) -> None:
        """Note that the sink applied a bundle."""
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
        """Note that the sink rejected a bundle."""
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
        """Note a failure with a peer or the platform."""
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
        """Note the result of a call that entered the mesh here."""
        self.count_call(result, side=CallSide.ENTRY, latency_s=latency_s)

    def call_retried(self, cluster: str) -> None:
        """Note a further attempt of a call that did not run."""
        self.metrics.count_retry()

    def request_served(
        self, result: Result[CallResponse, Refusal], *, latency_s: float
    ) -> None:
        """Note the result of a request for this host's upstream."""
        self.count_call(result, side=CallSide.UPSTREAM, latency_s=latency_s)

    def count_call(
        self,
        result: Result[CallResponse, Refusal],
        *,
        side: CallSide,
        latency_s: float,
    ) -> None:
        """Count an answer or a refusal."""
        refusal = result.error if result.is_error() else None
        self.metrics.count_call(
            side=side,
            outcome=refusal.outcome if refusal is not None else Outcome.RAN,
            reason=refusal.reason if refusal is not None else None,
            duration_s=latency_s,
        )

    def request_quarantined(self, route: str, request_fingerprint: str) -> None:
        """Note a request that is refused since upstreams were lost with it."""
        self.n_quarantined += 1
        reason = f"route {route}: request {request_fingerprint} lost its upstream"
        self.trail.record(
            action=AuditAction.QUARANTINED, delivered_by="", reason=reason
        )
        self.logger.warning("request quarantined", extra={"detail": reason})

    def peer_refused(self, failure: Failure) -> None:
        """Note a peer that was cut off."""
        self.n_refused_peers += 1
        self.record_failure(failure, action="peer refused")

    def peer_started_draining(self, host_id: str) -> None:
        """Note that a host takes no new work."""
        self.logger.info("peer is draining", extra={"peer": host_id})

    def stream_failed(self, failure: Failure) -> None:
        """Note that a stream ended with a failure."""
        self.n_failed_streams += 1
        self.record_failure(failure, action="stream closed")

    def record_failure(self, failure: Failure, *, action: str) -> None:
        """Count and log a failure."""
        self.metrics.count_failure(failure)
        log_failure(self.logger, failure, action=action)

    def reply_dropped(self, host_id: str) -> None:
        """Note an answer that no call waits for."""
        self.n_dropped_answers += 1


def list_changed_keys(previous: Bundle | None, bundle: Bundle) -> tuple[str, ...]:
    """Return the keys that differ between two bundles."""
    before = {}
    if previous is not None:
        before = {item.key: item.digest for item in previous.documents}
    after = {item.key: item.digest for item in bundle.documents}
    keys = before.keys() | after.keys()
    return tuple(sorted(key for key in keys if before.get(key) != after.get(key)))
