"""Messages of the call streams between nodes."""

from dataclasses import dataclass, field

from foxtailway.routing.outcome import Outcome, RefusalReason

__all__ = [
    "CALL_MESSAGE_TYPES",
    "CALL_PROTOCOL",
    "CallCancel",
    "CallGoAway",
    "CallHeartbeat",
    "CallHello",
    "CallHelloAck",
    "CallRefusal",
    "CallRequest",
    "CallResponse",
    "Header",
    "KeyAnswer",
    "KeyQuery",
]

CALL_PROTOCOL = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class CallHello:
    """Open a call stream; the first message of the caller.

    Parameters
    ----------
    protocol : int
        Protocol version, `CALL_PROTOCOL`.
    mesh : str
        Name of the mesh.
    host_id : str
        Host of the caller.
    """

    protocol: int
    mesh: str
    host_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class CallHelloAck:
    """Accept a call stream."""

    host_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Header:
    """Hold one HTTP header."""

    name: str
    value: str


@dataclass(frozen=True, slots=True, kw_only=True)
class CallRequest:
    """Ask the node beside an upstream to run a request.

    Parameters
    ----------
    call_id : int
        Identifier, unique on the stream.
    route : str
        Name of the route at the ingress node.
    cluster : str
        Name of the service.
    method, target : str
        HTTP method and request target.
    headers : tuple of Header
        Request headers without those of the mesh.
    body : bytes
        Whole request body.
    remaining_s : float
        Time left until the deadline, in seconds.
    n_hops : int
        Nodes that the chain of calls has passed, this call's included.
    caller : str
        Key by which callers share the upstream fairly.
    priority : int
        Priority under overload; 0 is served first.
    is_idempotent : bool
        Whether running the request twice is harmless.
    idempotency_key : str
        Key of a request that is not idempotent; empty otherwise.
    is_key_fresh : bool
        True when the ingress node minted the key for this very call.
    window_s : float
        Time for which the key is remembered, in seconds.
    fingerprint : str
        Fingerprint of the request for crash containment.
    """

    call_id: int
    route: str
    cluster: str
    method: str
    target: str
    headers: tuple[Header, ...]
    body: bytes = field(repr=False)
    remaining_s: float
    n_hops: int
    caller: str
    priority: int
    is_idempotent: bool
    idempotency_key: str
    is_key_fresh: bool
    window_s: float
    fingerprint: str


@dataclass(frozen=True, slots=True, kw_only=True)
class CallResponse:
    """Return the whole answer of an upstream."""

    call_id: int
    status: int
    headers: tuple[Header, ...]
    body: bytes = field(repr=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class CallRefusal:
    """Tell that there is no answer, and whether the request ran."""

    call_id: int
    outcome: Outcome
    reason: RefusalReason
    retry_after_s: float
    host_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class CallCancel:
    """Tell that the caller no longer waits for an answer."""

    call_id: int


@dataclass(frozen=True, slots=True, kw_only=True)
class CallHeartbeat:
    """Show that a stream is alive; echoed with `is_reply` set."""

    sequence: int
    is_reply: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class CallGoAway:
    """Announce that the sender takes no new work."""

    host_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyQuery:
    """Ask the former home of an idempotency key whether it ran the key.

    A former home that did not run the key refuses it from then on.
    """

    call_id: int
    idempotency_key: str
    window_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyAnswer:
    """Answer a `KeyQuery`: whether the key did not run and will not."""

    call_id: int
    is_surrendered: bool


CALL_MESSAGE_TYPES: tuple[type, ...] = (
    CallHello,
    CallHelloAck,
    CallRequest,
    CallResponse,
    CallRefusal,
    CallCancel,
    CallHeartbeat,
    CallGoAway,
    KeyQuery,
    KeyAnswer,
)
