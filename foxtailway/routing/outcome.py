"""Outcomes of calls and reasons of refusals."""

from dataclasses import dataclass
from enum import Enum

__all__ = ["Outcome", "Refusal", "RefusalReason"]


class Outcome(Enum):
    """Tell whether an upstream ran a request."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RefusalReason(Enum):
    """Reason for which a call brought no answer of an upstream."""

    OVERLOADED = "overloaded"
    DRAINING = "draining"
    EXPIRED = "expired"
    CANCELLED = "cancelled"
    NO_ROUTE = "no-route"
    NO_ENDPOINT = "no-endpoint"
    NOT_READY = "not-ready"
    HOP_LIMIT = "hop-limit"
    TOO_LARGE = "too-large"
    MALFORMED = "malformed"
    QUARANTINED = "quarantined"
    REPEATED = "repeated"
    LOST = "lost"


@dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """Describe a call that brought no answer of an upstream.

    Parameters
    ----------
    outcome : Outcome
        ``NOT_RUN`` only when no byte of the request reached an upstream and
        none will; otherwise ``UNKNOWN``.
    reason : RefusalReason
        Reason of the refusal.
    retry_after_s : float
        Time after which the caller may try again, in seconds.
    host_id : str
        Host at which the refusal arose.
    """

    outcome: Outcome
    reason: RefusalReason
    retry_after_s: float
    host_id: str

    @property
    def is_lost(self) -> bool:
        """Whether the request may have run when its answer was lost."""
        is_unknown = self.outcome is Outcome.UNKNOWN
        return is_unknown and self.reason is RefusalReason.LOST
