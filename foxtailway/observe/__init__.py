"""Observability of a node: status, audit trail, metrics, logs and admin port."""

from foxtailway.observe.admin import AdminServer
from foxtailway.observe.audit import AuditAction, AuditEntry, AuditTrail
from foxtailway.observe.document import encode_json
from foxtailway.observe.log import (
    log_failure,
    make_log_handler,
    make_logging_bridge,
)
from foxtailway.observe.metrics import CallSide, NodeMetrics
from foxtailway.observe.status import NodeStatus, Rejection, StatusProvider

__all__ = [
    "AdminServer",
    "AuditAction",
    "AuditEntry",
    "AuditTrail",
    "CallSide",
    "NodeMetrics",
    "NodeStatus",
    "Rejection",
    "StatusProvider",
    "encode_json",
    "log_failure",
    "make_log_handler",
    "make_logging_bridge",
]
