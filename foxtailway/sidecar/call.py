"""Calls to upstreams from the sidecar that received a request, and their results."""

from collections.abc import Callable
from dataclasses import dataclass, field

from foxtailway.routing.outcome import Outcome, RefusalReason
from foxtailway.sidecar.body_buffer import Body
from foxtailway.sidecar.http_message import Response
from foxtailway.traffic.selection import LoadReport

__all__ = ["CallRefusal", "CallResult", "UpstreamResponse", "UpstreamCall"]


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamCall:
    """Request addressed to one upstream.

    Parameters
    ----------
    upstream_id : str
        The only upstream that may run the request.
    route : str
        Name of the route of the request.
    is_idempotent : bool
        Whether it may be aborted and run again.
    priority : int
        Priority class; 0 is served first.
    can_wait : bool
        Whether it may queue for a slot.
    due_at, deadline : float
        Monotonic times in seconds: after `due_at` a response is late; at
        `deadline` the caller stops waiting.
    method, target, request_id : str
        Method, request target and identifier of the request.
    head : bytes
        End-to-end header lines.
    body : bytes or mmap
        Complete body.
    on_silence : callable or None, default=None
        Called, possibly several times, while the sidecar of the upstream has
        sent nothing for a while.
    is_call : bool, default=False
        Whether a request that runs at another upstream waits for the response.
    target_s : float, default=0.0
        Target latency of the route, in seconds; 0 if unknown.
    held_s : float, default=0.0
        Time for which other upstreams held the request before they refused it, in
        seconds.
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
    body: Body = field(repr=False)
    on_silence: Callable[[], None] | None = field(default=None, repr=False)
    is_call: bool = False
    target_s: float = 0.0
    held_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamResponse:
    """Response of an upstream with its run time.

    Parameters
    ----------
    response : Response
        Status, header lines and body.
    run_time_s : float
        Time from sending the request to the complete response, in seconds.
    load : LoadReport or None
        Load of the upstream; None when unknown.
    """

    response: Response
    run_time_s: float
    load: LoadReport | None


@dataclass(frozen=True, slots=True, kw_only=True)
class CallRefusal:
    """Result of a call for which there is no usable response of an upstream.

    Parameters
    ----------
    outcome : Outcome
        ``NOT_RUN`` only when the upstream did not run the request and never
        will.
    reason : RefusalReason
        Reason of the refusal.
    is_offered : bool
        Whether the request was sent to an upstream.
    load : LoadReport or None
        Load of the upstream; None when unknown.
    retry_after_s : float, default=0.0
        Time after which the queue that refused the request has room, in seconds; 0 if
        unknown.
    """

    outcome: Outcome
    reason: RefusalReason
    is_offered: bool = False
    load: LoadReport | None = None
    retry_after_s: float = 0.0


CallResult = UpstreamResponse | CallRefusal
