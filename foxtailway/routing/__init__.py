"""Routing decisions: balancing, limits, retries and idempotency."""

from foxtailway.routing.admission import (
    AdmissionDecision,
    AdmissionQueue,
    Admitted,
    PendingCall,
    Rejected,
)
from foxtailway.routing.balancer import CallObservation, LoadBalancer, ObservationKind
from foxtailway.routing.limit import AdaptiveLimit, FixedLimit, LimitPolicy
from foxtailway.routing.outcome import Outcome, Refusal, RefusalReason
from foxtailway.routing.queue_policy import (
    NeverShed,
    NewestFirstUnderOverload,
    OldestFirst,
    QueueOrder,
    SaturationBreaker,
    ShedPolicy,
)
from foxtailway.routing.retry import RetryBudget, RetryDecision, RetryPolicy
from foxtailway.routing.route_table import RouteTable
from foxtailway.routing.zone_balancer import ZoneAwareBalancer

__all__ = [
    "AdaptiveLimit",
    "AdmissionDecision",
    "AdmissionQueue",
    "Admitted",
    "CallObservation",
    "FixedLimit",
    "LimitPolicy",
    "LoadBalancer",
    "NeverShed",
    "NewestFirstUnderOverload",
    "ObservationKind",
    "OldestFirst",
    "Outcome",
    "PendingCall",
    "QueueOrder",
    "Refusal",
    "RefusalReason",
    "Rejected",
    "RetryBudget",
    "RetryDecision",
    "RetryPolicy",
    "RouteTable",
    "SaturationBreaker",
    "ShedPolicy",
    "ZoneAwareBalancer",
]
