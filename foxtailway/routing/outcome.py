"""Outcomes of calls and reasons for refusals."""

from dataclasses import dataclass
from enum import Enum

__all__ = ["Outcome", "Refusal", "RefusalReason"]


class Outcome(Enum):
    """Whether an upstream ran a request."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RefusalReason(Enum):
    """Reason why a call got no response from an upstream."""

    OVERLOADED = "overloaded"
    DRAINING = "draining"
    EXPIRED = "expired"
    CANCELLED = "cancelled"
    NO_ROUTE = "no-route"
    NO_ENDPOINT = "no-endpoint"
    NOT_READY = "not-ready"
    REPLACED = "replaced"
    HOP_LIMIT = "hop-limit"
    TOO_LARGE = "too-large"
    MALFORMED = "malformed"
    QUARANTINED = "quarantined"
    REPEATED = "repeated"
    LOST = "lost"


@dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """Result of a call that got no response from an upstream.

    Parameters
    ----------
    outcome : Outcome
        ``NOT_RUN`` only if no byte of the request has reached or will reach an
        upstream; otherwise ``UNKNOWN``.
    reason : RefusalReason
        Reason for the refusal.
    retry_after_s : float
        Time after which the caller may retry, in seconds.
    host_id : str
        Host that refused the call, or at which it was lost.
    """

    outcome: Outcome
    reason: RefusalReason
    retry_after_s: float
    host_id: str

    @property
    def is_lost(self) -> bool:
        """Whether the response was lost and the request may have run."""
        is_unknown = self.outcome is Outcome.UNKNOWN
        return is_unknown and self.reason is RefusalReason.LOST
