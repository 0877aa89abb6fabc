"""Audit trail, status, metrics, logs and the admin port."""

from foxtailway.observe.admin import AdminServer
from foxtailway.observe.audit import AuditAction, AuditEntry, AuditTrail
from foxtailway.observe.document import encode_json
from foxtailway.observe.log import (
    log_failure,
    make_log_handler,
    make_logging_bridge,
)
from foxtailway.observe.metrics import Direction, NodeMetrics, PeerReach, Transfer
from foxtailway.observe.status import NodeStatus, Rejection, StatusProvider

__all__ = [
    "AdminServer",
    "AuditAction",
    "AuditEntry",
    "AuditTrail",
    "Direction",
    "NodeMetrics",
    "NodeStatus",
    "PeerReach",
    "Rejection",
    "StatusProvider",
    "Transfer",
    "encode_json",
    "log_failure",
    "make_log_handler",
    "make_logging_bridge",
]
