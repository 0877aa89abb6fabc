"""Messages of the call streams between nodes.

The order of the types in `CALL_MESSAGE_TYPES`, and the order and types of the
fields of each class, are the wire format.
"""

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
    "KeyReply",
    "KeyQuery",
]

# Version of the call protocol; a peer with another version is refused.
CALL_PROTOCOL = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class CallHello:
    """Start the handshake of a call stream; the first message of the opener.

    Parameters
    ----------
    protocol : int
        Protocol version, `CALL_PROTOCOL`.
    mesh : str
        Name of the mesh.
    host_id : str
        Host of the node that opens the stream.
    """

    protocol: int
    mesh: str
    host_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class CallHelloAck:
    """Acknowledge a `CallHello`; the first message of the accepting node.

    Parameters
    ----------
    host_id : str
        Host of the accepting node.
    """

    host_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Header:
    """Hold the name and the value of one HTTP header."""

    name: str
    value: str


@dataclass(frozen=True, slots=True, kw_only=True)
class CallRequest:
    """Request a run at the upstream on the host of the receiving node.

    Parameters
    ----------
    call_id : int
        Identifier of the call, unique on the stream.
    route : str
        Name of the route at the ingress node.
    cluster : str
        Name of the service.
    method, target : str
        HTTP method and request target.
    headers : tuple of Header
        End-to-end request headers without those of the mesh.
    body : bytes
        Whole request body.
    remaining_s : float
        Remaining time until the deadline, in seconds.
    n_hops : int
        Number of nodes on the path of the call, including the sender.
    caller : str
        Identity of the caller for fair sharing of the upstream.
    priority : int
        Priority under overload; 0 is served first.
    is_idempotent : bool
        Whether the request may safely run more than once.
    idempotency_key : str
        Key of a request that is not idempotent; empty otherwise.
    is_key_generated : bool
        Whether the caller sent no key; the ingress node then generates the key
        of a request that is not idempotent.
    window_s : float
        Time for which the key is kept, in seconds.
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
    is_key_generated: bool
    window_s: float
    fingerprint: str


@dataclass(frozen=True, slots=True, kw_only=True)
class CallResponse:
    """Return the complete response of an upstream.

    Parameters
    ----------
    call_id : int
        Identifier of the request.
    status : int
        HTTP status.
    headers : tuple of Header
        End-to-end response headers.
    body : bytes
        Whole response body.
    """

    call_id: int
    status: int
    headers: tuple[Header, ...]
    body: bytes = field(repr=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class CallRefusal:
    """Report that there is no response, and whether the request ran.

    Parameters
    ----------
    call_id : int
        Identifier of the request.
    outcome : Outcome
        Whether the request ran.
    reason : RefusalReason
        Reason of the refusal.
    retry_after_s : float
        Time after which a retry may succeed, in seconds; 0 when not known.
    host_id : str
        Host at which the refusal arose.
    """

    call_id: int
    outcome: Outcome
    reason: RefusalReason
    retry_after_s: float
    host_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class CallCancel:
    """Cancel a request whose caller no longer waits for the response."""

    call_id: int


@dataclass(frozen=True, slots=True, kw_only=True)
class CallHeartbeat:
    """Show that a stream is alive; the receiver echoes it with `is_reply` set."""

    sequence: int
    is_reply: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class CallGoAway:
    """Announce that the sender accepts no new requests."""

    host_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyQuery:
    """Ask the previous home of an idempotency key to relinquish the key.

    A previous home that did not run a request with the key relinquishes it: it
    refuses requests with the key for `window_s` seconds.
    """

    call_id: int
    idempotency_key: str
    window_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyReply:
    """Reply to a `KeyQuery`; `is_relinquished` is False if the key may have run."""

    call_id: int
    is_relinquished: bool


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
    KeyReply,
)
