"""Calls on their way from the entry to an upstream, and what comes back."""

from collections.abc import Callable
from dataclasses import dataclass, field

from foxtailway.routing.outcome import Outcome, RefusalReason
from foxtailway.sidecar.http_message import Response
from foxtailway.traffic.selection import LoadReport

__all__ = ["CallRefusal", "CallResult", "UpstreamResponse", "UpstreamCall"]


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamCall:
    """Describe a request for one upstream.

    Parameters
    ----------
    upstream_id : str
        The only upstream that may run the request.
    route : str
        Route of the request.
    is_idempotent : bool
        Whether it may be broken off and run again.
    priority : int
        Rank; 0 is served first.
    can_wait : bool
        Whether it may queue for a slot.
    due_at, deadline : float
        Loop times at which an answer is late and at which the caller gives up,
        in seconds.
    method, target, request_id : str
        Start of the request and its identifier.
    head, body : bytes
        End-to-end header lines and whole body.
    on_silence : callable or None, default=None
        Called when the node beside the upstream has been silent for a while.
    """

    upstream_id: str
    route: str
    is_idempotent: bool
    priority: int
    can_wait: bool
    due_at: float
    deadline: float
    method: str
    target: str
    request_id: str
    head: bytes = field(repr=False)
    body: bytes = field(repr=False)
    on_silence: Callable[[], None] | None = field(default=None, repr=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamResponse:
    """Hold an answer that an upstream made.

    Parameters
    ----------
    response : Response
        The answer.
    run_time_s : float
        Time that the upstream took, in seconds.
    load : LoadReport or None
        Load of the upstream, if it is known.
    """

    response: Response
    run_time_s: float
    load: LoadReport | None


@dataclass(frozen=True, slots=True, kw_only=True)
class CallRefusal:
    """Tell that a call brought no answer of an upstream.

    Parameters
    ----------
    outcome : Outcome
        ``NOT_RUN`` only when the upstream did not run it and never will.
    reason : RefusalReason
        Reason of the refusal.
    is_offered : bool
        Whether the request reached an upstream.
    load : LoadReport or None
        Load of the upstream, if it is known.
    """

    outcome: Outcome
    reason: RefusalReason
    is_offered: bool = False
    load: LoadReport | None = None


CallResult = UpstreamResponse | CallRefusal
