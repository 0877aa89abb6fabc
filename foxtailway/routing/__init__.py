"""Routing decisions: balancing, limits, retries and idempotency."""

from foxtailway.routing.outcome import Outcome, Refusal, RefusalReason

__all__ = ["Outcome", "Refusal", "RefusalReason"]
