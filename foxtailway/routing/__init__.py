"""Routing decisions: load balancing, admission, retries and idempotency."""

from foxtailway.common.lazy_import import make_getattr

# Lazy imports: a process loads only the modules that it uses.
MODULE_BY_NAME = {
    "AdaptiveLimit": "foxtailway.routing.limit",
    "AdmissionDecision": "foxtailway.routing.admission_decision",
    "AdmissionQueue": "foxtailway.routing.admission",
    "Admitted": "foxtailway.routing.admission_decision",
    "CallObservation": "foxtailway.routing.balancer",
    "CallSession": "foxtailway.routing.session",
    "CrashContainment": "foxtailway.routing.quarantine",
    "EndedCall": "foxtailway.routing.session",
    "FixedLimit": "foxtailway.routing.limit",
    "HomeDecision": "foxtailway.routing.home",
    "HomeGuard": "foxtailway.routing.home",
    "HomeVerdict": "foxtailway.routing.home",
    "LedgerDecision": "foxtailway.routing.ledger",
    "LedgerVerdict": "foxtailway.routing.ledger",
    "LimitPolicy": "foxtailway.routing.limit",
    "LoadBalancer": "foxtailway.routing.balancer",
    "NewestFirstUnderOverload": "foxtailway.routing.queue_order",
    "ObservationKind": "foxtailway.routing.balancer",
    "OldestFirst": "foxtailway.routing.queue_order",
    "Outcome": "foxtailway.routing.outcome",
    "PauseDetector": "foxtailway.routing.deadline",
    "PendingCall": "foxtailway.routing.admission_decision",
    "QueueOrder": "foxtailway.routing.queue_order",
    "Refusal": "foxtailway.routing.outcome",
    "RefusalReason": "foxtailway.routing.outcome",
    "Refused": "foxtailway.routing.admission_decision",
    "RequestLedger": "foxtailway.routing.ledger",
    "ResponseVerdict": "foxtailway.routing.session",
    "RetryBudget": "foxtailway.routing.retry",
    "RetryDecision": "foxtailway.routing.retry",
    "RetryPolicy": "foxtailway.routing.retry",
    "RouteTable": "foxtailway.routing.route_table",
    "ZoneAwareBalancer": "foxtailway.routing.zone_balancer",
    "choose_home": "foxtailway.routing.home",
    "choose_host": "foxtailway.routing.rendezvous",
    "choose_hosts": "foxtailway.routing.rendezvous",
    "compute_deadline": "foxtailway.routing.deadline",
    "compute_fingerprint": "foxtailway.routing.quarantine",
    "compute_hop_remaining_s": "foxtailway.routing.deadline",
    "digest_request_key": "foxtailway.routing.ledger",
    "make_admission_queue": "foxtailway.routing.admission",
}

__all__ = sorted(MODULE_BY_NAME)
__getattr__ = make_getattr(__name__, MODULE_BY_NAME)
