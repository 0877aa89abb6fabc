"""Calls that request a slot of an upstream, and the decisions about them."""

from dataclasses import dataclass

from foxtailway.routing.outcome import Refusal

__all__ = ["AdmissionDecision", "Admitted", "PendingCall", "Refused"]


@dataclass(frozen=True, slots=True, kw_only=True)
class PendingCall:
    """Call that requests a slot of the local upstream.

    Parameters
    ----------
    call_id : str
        Identifier, unique among the calls at the node.
    caller : str
        Service or client that makes the call.
    priority : int
        Priority; 0 is the highest.
    deadline : float
        Deadline of the caller, as a monotonic time in seconds.
    """

    call_id: str
    caller: str
    priority: int
    deadline: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Admitted:
    """Decision that a call may run; it holds its slot until it is released."""

    call_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """Decision that a call is refused; it did not run."""

    call_id: str
    refusal: Refusal


AdmissionDecision = Admitted | Refused
