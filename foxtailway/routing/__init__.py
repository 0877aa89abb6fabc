"""Routing decisions: balancing, limits, retries and idempotency."""

from foxtailway.routing.admission import AdmissionQueue, make_admission_queue
from foxtailway.routing.admission_decision import (
    AdmissionDecision,
    Admitted,
    PendingCall,
    Rejected,
)
from foxtailway.routing.balancer import CallObservation, LoadBalancer, ObservationKind
from foxtailway.routing.deadline import (
    PauseDetector,
    receive_deadline,
    remaining_for_hop,
)
from foxtailway.routing.home import HomeDecision, HomeGuard, HomeVerdict, choose_home
from foxtailway.routing.ledger import (
    LedgerDecision,
    LedgerVerdict,
    RequestLedger,
    digest_request_key,
)
from foxtailway.routing.limit import AdaptiveLimit, FixedLimit, LimitPolicy
from foxtailway.routing.outcome import Outcome, Refusal, RefusalReason
from foxtailway.routing.quarantine import CrashContainment, fingerprint
from foxtailway.routing.queue_order import (
    NewestFirstUnderOverload,
    OldestFirst,
    QueueOrder,
)
from foxtailway.routing.rendezvous import choose_host, choose_hosts
from foxtailway.routing.retry import RetryBudget, RetryDecision, RetryPolicy
from foxtailway.routing.route_table import RouteTable
from foxtailway.routing.session import AnswerVerdict, CallSession, EndedCall
from foxtailway.routing.zone_balancer import ZoneAwareBalancer

__all__ = [
    "AdaptiveLimit",
    "AdmissionDecision",
    "AdmissionQueue",
    "Admitted",
    "AnswerVerdict",
    "CallObservation",
    "CallSession",
    "CrashContainment",
    "EndedCall",
    "FixedLimit",
    "HomeDecision",
    "HomeGuard",
    "HomeVerdict",
    "LedgerDecision",
    "LedgerVerdict",
    "LimitPolicy",
    "LoadBalancer",
    "NewestFirstUnderOverload",
    "ObservationKind",
    "OldestFirst",
    "Outcome",
    "PauseDetector",
    "PendingCall",
    "QueueOrder",
    "Refusal",
    "RefusalReason",
    "Rejected",
    "RequestLedger",
    "RetryBudget",
    "RetryDecision",
    "RetryPolicy",
    "RouteTable",
    "ZoneAwareBalancer",
    "choose_home",
    "choose_host",
    "choose_hosts",
    "digest_request_key",
    "fingerprint",
    "make_admission_queue",
    "receive_deadline",
    "remaining_for_hop",
]
