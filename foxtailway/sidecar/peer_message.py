"""Messages between sidecars."""

from dataclasses import dataclass, field

from foxtailway.routing.outcome import Outcome, RefusalReason
from foxtailway.traffic.selection import LoadReport

__all__ = [
    "PEER_MESSAGE_TYPES",
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
    """Ask the sidecar beside an upstream to run a request.

    Parameters
    ----------
    call_id : int
        Identifier, unique on the stream.
    upstream_id : str
        The only upstream that may run the request.
    route : str
        Route of the request, under which run times are averaged.
    is_idempotent : bool
        Whether it may be broken off and run again.
    priority : int
        Rank; 0 is served first.
    can_wait : bool
        Whether it may queue for a slot.
    due_ms : int
        Time until an answer is late, in milliseconds; may be negative.
    remaining_ms : int
        Time until the caller gives up, in milliseconds.
    method, target, request_id : str
        Start of the request and its identifier.
    head : bytes
        End-to-end header lines.
    body : bytes
        Whole body.
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


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerResponse:
    """Return the upstream's answer.

    Parameters
    ----------
    call_id : int
        Identifier of the request.
    status : int
        HTTP status of the upstream.
    head, body : bytes
        End-to-end header lines and whole body.
    run_time_us : int
        Time that the upstream took, in microseconds.
    load : LoadReport or None
        Load of the upstream.
    """

    call_id: int
    status: int
    head: bytes = field(repr=False)
    body: bytes = field(repr=False)
    run_time_us: int
    load: LoadReport | None


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerRefusal:
    """Tell that a request brought no answer of the upstream.

    Parameters
    ----------
    call_id : int
        Identifier of the request.
    outcome : Outcome
        ``NOT_RUN`` only when the upstream did not run it and never will.
    reason : RefusalReason
        Reason of the refusal.
    is_offered : bool
        Whether the request reached the upstream.
    load : LoadReport or None
        Load of the upstream, if it is known.
    """

    call_id: int
    outcome: Outcome
    reason: RefusalReason
    is_offered: bool
    load: LoadReport | None


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerCancel:
    """Tell that the caller of a request has left."""

    call_id: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerPing:
    """Ask for a sign of life."""

    sequence: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerPong:
    """Answer a ping."""

    sequence: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerGoAway:
    """Tell that the sender stops and takes no new requests."""

    address: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerCrash:
    """Tell that the sender's upstream crashed while it ran a request.

    Parameters
    ----------
    fingerprint : str
        Fingerprint of the request.
    upstream_id : str
        Upstream that crashed.
    """

    fingerprint: str
    upstream_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerUpdate:
    """Pass on what a reader learned from the store.

    Parameters
    ----------
    reader : str
        Address of the reader.
    rank : int
        Rank of the reader among those of its region.
    base_revision, revision : int
        The update holds all changes behind the first up to the second revision.
    is_listing : bool
        Whether the update holds everything up to `revision` instead.
    version : int
        Version of the configuration that the reader has; 0 for none.
    age_ms : int
        Time since the store was known to have nothing newer, in milliseconds.
    failure_age_ms : int
        Time since the store last failed for the reader, in milliseconds. Soon
        after a failure entries may be missing from the store.
    members, change : bytes
        `MembershipChange` and `ConfigurationChange` as packed by
        `foxtailway.sidecar.feed_content`; empty when nothing has changed.
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


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerListingRequest:
    """Ask a reader for a listing, since changes are missing.

    Parameters
    ----------
    version : int
        Version of the configuration that the sender has; 0 for none.
    """

    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerReaderAnnouncement:
    """Tell other regions that the sender reads the store for its region.

    Parameters
    ----------
    address, region : str
        Address and region of the sender.
    rank : int
        Rank of the sender among those of its region.
    store_delay_us : int
        Time that a connection to the store takes, in microseconds.
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
)
