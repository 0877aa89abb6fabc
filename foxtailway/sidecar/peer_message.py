"""Messages between sidecars.

The order of the types in `PEER_MESSAGE_TYPES` and of the fields of each type is
part of the wire format.
"""

from dataclasses import dataclass, field

from foxtailway.routing.outcome import Outcome, RefusalReason
from foxtailway.traffic.selection import LoadReport

__all__ = [
    "PEER_MESSAGE_TYPES",
    "PeerBodyGrant",
    "PeerBodyPart",
    "PeerResponse",
    "PeerCancel",
    "PeerCrash",
    "PeerListingRequest",
    "PeerGoAway",
    "PeerPing",
    "PeerPong",
    "PeerReaderAnnouncement",
    "PeerRefusal",
    "PeerRequest",
    "PeerUpdate",
]


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerRequest:
    """Request to the sidecar of an upstream to run a client request.

    Parameters
    ----------
    call_id : int
        Identifier of the call, unique on the stream.
    upstream_id : str
        The only upstream that may run the request.
    route : str
        Name of the route of the request, by which run times are averaged.
    is_idempotent : bool
        Whether it may be aborted and run again.
    priority : int
        Priority class; 0 is served first.
    can_wait : bool
        Whether it may queue for a slot.
    due_ms : int
        Time until a response is late, in milliseconds; may be negative.
    remaining_ms : int
        Time until the caller stops waiting, in milliseconds.
    method, target, request_id : str
        Method, request target and identifier of the request.
    head : bytes
        End-to-end header lines.
    body : bytes
        Complete body; empty if it is sent in parts.
    body_size : int
        Size of a body that is sent in parts, in bytes; 0 for none. The receiver grants
        each part with `PeerBodyGrant` and runs the request after the last one.
    is_call : bool
        Whether a request that runs at another upstream waits for the response.
    target_ms : int
        Target latency of the route, in milliseconds; 0 if unknown.
    held_ms : int, default=0
        Time for which other upstreams held the request before they refused it, in
        milliseconds.
    """

    call_id: int
    upstream_id: str
    route: str
    is_idempotent: bool
    priority: int
    can_wait: bool
    due_ms: int
    remaining_ms: int
    method: str
    target: str
    request_id: str
    head: bytes = field(repr=False)
    body: bytes = field(repr=False)
    body_size: int
    is_call: bool
    target_ms: int
    held_ms: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerBodyGrant:
    """Permission to send more bytes of the body of a `PeerRequest`.

    Parameters
    ----------
    call_id : int
        Identifier of the call.
    n_bytes : int
        Number of bytes that may be sent in addition to those granted before.
    """

    call_id: int
    n_bytes: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerBodyPart:
    """Next part of the body of a `PeerRequest`.

    Parameters
    ----------
    call_id : int
        Identifier of the call.
    content : bytes
        Granted bytes.
    """

    call_id: int
    content: bytes = field(repr=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerResponse:
    """Response of the upstream to a `PeerRequest`.

    Parameters
    ----------
    call_id : int
        Identifier of the call.
    status : int
        HTTP status of the upstream.
    head, body : bytes
        End-to-end header lines and complete body.
    run_time_us : int
        Time from sending the request to the complete response, in microseconds.
    load : LoadReport or None
        Load of the upstream; None when unknown.
    """

    call_id: int
    status: int
    head: bytes = field(repr=False)
    body: bytes = field(repr=False)
    run_time_us: int
    load: LoadReport | None


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerRefusal:
    """Result of a `PeerRequest` without a usable response of the upstream.

    Parameters
    ----------
    call_id : int
        Identifier of the call.
    outcome : Outcome
        ``NOT_RUN`` only when the upstream did not run the request and never
        will.
    reason : RefusalReason
        Reason of the refusal.
    is_offered : bool
        Whether the request was sent to the upstream.
    load : LoadReport or None
        Load of the upstream; None when unknown.
    retry_after_ms : int
        Time after which the queue that refused the request has room, in milliseconds;
        0 if unknown.
    """

    call_id: int
    outcome: Outcome
    reason: RefusalReason
    is_offered: bool
    load: LoadReport | None
    retry_after_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerCancel:
    """Cancellation of a `PeerRequest` by its caller."""

    call_id: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerPing:
    """Liveness check of a stream, to be followed by a `PeerPong`."""

    sequence: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerPong:
    """Reply to a `PeerPing`."""

    sequence: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerGoAway:
    """Notice that the sender shuts down and accepts no new requests."""

    address: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerCrash:
    """Notice that the upstream of the sender crashed, with the requests that it lost.

    Parameters
    ----------
    crash_id : str
        Identifier of the crash, which begins with that of the upstream. A notice
        without suspects has one of its own.
    suspects : tuple of str
        Fingerprints of the lost requests, bounded in number; empty for a notice that
        only tells of answered ones.
    answered : tuple of str, default=()
        Fingerprints of those of them, or of earlier suspects, that an upstream has
        answered since their last known crash.
    is_weak : bool, default=False
        Whether load may have caused the crash: many requests were in flight, or the
        upstream was cold or overloaded.
    """

    crash_id: str
    suspects: tuple[str, ...]
    answered: tuple[str, ...] = ()
    is_weak: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerUpdate:
    """Changes of the registry and the configuration, sent by a reader.

    Parameters
    ----------
    reader : str
        Address of the reader.
    rank : int
        Rank of the reader among the nodes of its region.
    base_revision, revision : int
        The update contains all changes after the first up to the second revision.
    is_listing : bool
        Whether it contains the full state at `revision` instead.
    version : int
        Version of the configuration of the reader; 0 for none.
    age_ms : int
        Time since the reader was known to be up to date, in milliseconds.
    failure_age_ms : int
        Time since the end of the last outage of the store, as the reader saw it, in
        which entries may have expired, in milliseconds; large for none.
    members, change : bytes
        `MembershipChange` and `ConfigurationChange`, packed by
        `foxtailway.sidecar.update_content`; empty when nothing changed.
    epoch : int, default=0
        Epoch of the store to which the revisions belong; 0 for a store without epochs.
    """

    reader: str
    rank: int
    base_revision: int
    revision: int
    is_listing: bool
    version: int
    age_ms: int
    failure_age_ms: int
    members: bytes = field(repr=False)
    change: bytes = field(repr=False)
    epoch: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerListingRequest:
    """Request for a full listing, to a reader whose changes are missing or to a seed.

    Parameters
    ----------
    address : str
        Address of the sender, to which the listing is sent.
    version : int
        Version of the configuration of the sender; 0 for none.
    """

    address: str
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerReaderAnnouncement:
    """Notice to other regions that the sender is the reader of its region.

    Parameters
    ----------
    address, region : str
        Address and region of the sender.
    rank : int
        Rank of the sender among the nodes of its region.
    store_delay_us : int
        Time that the sender takes to connect to the store, in microseconds.
    """

    address: str
    region: str
    rank: int
    store_delay_us: int


PEER_MESSAGE_TYPES = (
    PeerRequest,
    PeerResponse,
    PeerRefusal,
    PeerCancel,
    PeerPing,
    PeerPong,
    PeerGoAway,
    PeerCrash,
    PeerUpdate,
    PeerListingRequest,
    PeerReaderAnnouncement,
    PeerBodyGrant,
    PeerBodyPart,
)
