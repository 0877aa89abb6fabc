"""Calls that ask for a slot of an upstream, and the answers they get."""

from dataclasses import dataclass

from foxtailway.routing.outcome import Refusal

__all__ = ["AdmissionDecision", "Admitted", "PendingCall", "Refused"]


@dataclass(frozen=True, slots=True, kw_only=True)
class PendingCall:
    """Describe a call that asks for a slot of the upstream.

    Parameters
    ----------
    call_id : str
        Identifier, unique among the calls at the node.
    caller : str
        Service or client on whose behalf the call is made.
    priority : int
        Priority; 0 is served first.
    deadline : float
        Time at which the caller gives up, in seconds.
    """

    call_id: str
    caller: str
    priority: int
    deadline: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Admitted:
    """Let a call run; the slot is held until its release."""

    call_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """Refuse a call that did not run."""

    call_id: str
    refusal: Refusal


AdmissionDecision = Admitted | Refused
