"""HTTP headers of requests and responses in the mesh."""

from collections.abc import Iterable

from tornado.httputil import HTTPHeaders

from foxtailway.common.hop_by_hop import HOP_BY_HOP_HEADERS
from foxtailway.proxy.message import Header
from foxtailway.routing.outcome import Outcome, Refusal, RefusalReason

__all__ = [
    "DEADLINE_HEADER",
    "HOPS_HEADER",
    "IDEMPOTENCY_HEADER",
    "MESH_PREFIX",
    "OUTCOME_HEADER",
    "REASON_HEADER",
    "forwardable_headers",
    "outcome_headers",
    "parse_non_negative",
    "get_refusal_status",
]

MESH_PREFIX = "x-foxtailway-"
DEADLINE_HEADER = "X-Foxtailway-Deadline-Ms"
HOPS_HEADER = "X-Foxtailway-Hops"
OUTCOME_HEADER = "X-Foxtailway-Outcome"
REASON_HEADER = "X-Foxtailway-Reason"
IDEMPOTENCY_HEADER = "Idempotency-Key"

# Each hop sets the Host header of the next one.
DROPPED_HEADERS = HOP_BY_HOP_HEADERS | {"host"}

REFUSAL_STATUS = {
    RefusalReason.OVERLOADED: 503,
    RefusalReason.DRAINING: 503,
    RefusalReason.EXPIRED: 504,
    RefusalReason.CANCELLED: 499,
    RefusalReason.NO_ROUTE: 404,
    RefusalReason.NO_ENDPOINT: 503,
    RefusalReason.NOT_READY: 503,
    RefusalReason.REPLACED: 503,
    RefusalReason.HOP_LIMIT: 508,
    RefusalReason.TOO_LARGE: 413,
    RefusalReason.MALFORMED: 400,
    RefusalReason.QUARANTINED: 503,
    RefusalReason.REPEATED: 409,
    RefusalReason.LOST: 502,
}
BAD_GATEWAY = 502
# Reasons that, with an unknown outcome, concern the response of the upstream.
RESPONSE_FAULTS = frozenset({RefusalReason.TOO_LARGE, RefusalReason.MALFORMED})


def forwardable_headers(headers: HTTPHeaders) -> tuple[Header, ...]:
    """Return the end-to-end headers, without those of the mesh.

    Headers listed in ``Connection`` are hop-by-hop and are removed as well.

    Parameters
    ----------
    headers : HTTPHeaders
        Headers as received.

    Returns
    -------
    tuple of Header
        Headers to forward, in the order received.

    References
    ----------
    RFC 9110, section 7.6.1.
    """
    connection_headers = {
        token.strip().lower() for token in headers.get("Connection", "").split(",")
    }
    dropped_headers = DROPPED_HEADERS | connection_headers
    return tuple(
        Header(name=name, value=value)
        for name, value in headers.get_all()
        if name.lower() not in dropped_headers
        and not name.lower().startswith(MESH_PREFIX)
    )


def outcome_headers(
    outcome: Outcome, refusal: Refusal | None = None
) -> Iterable[Header]:
    """Return the headers that report the outcome of a request to its caller."""
    yield Header(name=OUTCOME_HEADER, value=outcome.value)
    if refusal is None:
        return
    yield Header(name=REASON_HEADER, value=refusal.reason.value)
    if refusal.retry_after_s > 0:
        seconds = max(1, round(refusal.retry_after_s))
        yield Header(name="Retry-After", value=str(seconds))


def get_refusal_status(refusal: Refusal) -> int:
    """Return the HTTP status of a refusal.

    A response that is too large or malformed is an error of the upstream, so
    that its status is 502 and not one of the request.
    """
    is_unknown = refusal.outcome is Outcome.UNKNOWN
    if is_unknown and refusal.reason in RESPONSE_FAULTS:
        return BAD_GATEWAY
    return REFUSAL_STATUS[refusal.reason]


def parse_non_negative(text: str | None) -> int | None:
    """Return a header's value as an integer, or None if it is not one.

    Values are decimal ASCII digits, nine at most.

    Examples
    --------
    >>> parse_non_negative("12")
    12
    >>> parse_non_negative("-1") is None
    True
    """
    if text is None or not text.isascii() or not text.isdigit() or len(text) > 9:
        return None
    return int(text)
