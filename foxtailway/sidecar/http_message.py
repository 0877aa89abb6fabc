"""HTTP messages as the sidecar forwards them."""

from collections.abc import Iterable, Sequence, Set
from dataclasses import dataclass, field
from http import HTTPStatus

from foxtailway.common.hop_by_hop import HOP_BY_HOP_HEADERS
from foxtailway.sidecar.body_buffer import Body
from foxtailway.transport.response_limits import HeldBytes

__all__ = [
    "BODILESS_STATUSES",
    "CONNECTION_HEADERS",
    "ClientRequest",
    "HeaderNames",
    "Response",
    "encode_headers",
    "encode_request_head",
    "encode_response_head",
    "select_end_to_end",
]

# Hop-by-hop header names in bytes, since the sidecar does not decode header names.
CONNECTION_HEADERS = frozenset(name.encode() for name in HOP_BY_HOP_HEADERS)
# Statuses whose responses have neither a body nor a Content-Length.
BODILESS_STATUSES = frozenset({204, 304})
STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode()
    for status in HTTPStatus
}
MIN_SERVER_ERROR_STATUS = 500


@dataclass(frozen=True, slots=True, kw_only=True)
class HeaderNames:
    """Lower-case names of the headers that the mesh interprets.

    Parameters
    ----------
    request_id : bytes
        Identifier of one attempt of a client; upstreams echo it.
    remaining_ms : bytes
        Time for which the sender waits, in milliseconds.
    seal : bytes
        Signature of an upstream, present on each of its successful responses.
    expected_upstream : bytes
        Identifier of the only upstream that may run the request.
    upstream_id : bytes
        Identifier of the upstream itself, on its refusal of a request for another one.
    not_run : bytes
        Present on responses of an upstream that did not run the request.
    caller : bytes
        Service on the host from which the request was sent.
    warm_in_ms : bytes
        Time for which the upstream is cold, in milliseconds, on its health responses.
    """

    request_id: bytes
    remaining_ms: bytes
    seal: bytes
    expected_upstream: bytes
    upstream_id: bytes
    not_run: bytes
    caller: bytes
    warm_in_ms: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class ClientRequest:
    """Complete request of a client.

    Parameters
    ----------
    method, target, host : str
        Method, request target and value of the ``Host`` header.
    request_id : str
        Identifier of the attempt; empty when the client sent none.
    remaining_ms : int or None
        Time for which the client waits, in milliseconds; None when not given.
    head : bytes
        End-to-end header lines including ``Host``, each ending with CR LF.
    body : bytes or mmap
        Complete body.
    is_from_host : bool, default=False
        Whether it was sent by a process on this host, such as its upstream.
    """

    method: str
    target: str
    host: str
    request_id: str
    remaining_ms: int | None
    head: bytes = field(repr=False)
    body: Body = field(repr=False)
    is_from_host: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """Complete response.

    Parameters
    ----------
    status : int
        HTTP status.
    head : bytes
        End-to-end header lines, each ending with CR LF.
    body : bytes or mmap
        Complete body.
    holding : HeldBytes or None, default=None
        Counts a long body in the account until the response is dropped; None if it is
        not counted.
    """

    status: int
    head: bytes = field(default=b"", repr=False)
    body: Body = field(default=b"", repr=False)
    holding: HeldBytes | None = field(default=None, repr=False, compare=False)

    @property
    def is_server_error(self) -> bool:
        """Whether the status is a server error (5xx)."""
        return self.status >= MIN_SERVER_ERROR_STATUS


def encode_headers(headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    r"""Return header lines for (name, value) pairs.

    Examples
    --------
    >>> encode_headers([(b"A", b"1")])
    b'A: 1\r\n'
    """
    return b"".join([b"%b: %b\r\n" % pair for pair in headers])


def select_end_to_end(
    headers: Sequence[tuple[bytes, bytes]],
    *,
    excluded: Set[bytes] = CONNECTION_HEADERS,
    kept: Set[bytes] = frozenset(),
) -> list[tuple[bytes, bytes]]:
    """Return the headers that are forwarded.

    Parameters
    ----------
    headers : sequence of tuple of bytes
        Pairs of name and value.
    excluded : set of bytes, default=CONNECTION_HEADERS
        Lower-case names of headers that are not forwarded.
    kept : set of bytes, default=frozenset()
        Lower-case names of headers that are forwarded even if a ``Connection`` header
        names them, since the mesh relies on them.

    Examples
    --------
    >>> select_end_to_end([(b"Connection", b"A"), (b"A", b"1"), (b"B", b"2")])
    [(b'B', b'2')]
    """
    selected = []
    dropped: set[bytes] = set()
    for pair in headers:
        name = pair[0].lower()
        if name == b"connection":
            dropped.update(token.strip() for token in pair[1].lower().split(b","))
        elif name not in excluded:
            selected.append(pair)
    dropped -= kept
    if not dropped:
        return selected
    return [pair for pair in selected if pair[0].lower() not in dropped]


def encode_request_head(method: str, target: str, head: bytes, body_size: int) -> bytes:
    """Return a request up to its body; ``Content-Length`` is added where required."""
    start_line = f"{method} {target} HTTP/1.1\r\n".encode("latin-1")
    if body_size or method in ("POST", "PUT", "PATCH"):
        return b"%b%bContent-Length: %d\r\n\r\n" % (start_line, head, body_size)
    return b"%b%b\r\n" % (start_line, head)


def encode_response_head(response: Response, *, is_last: bool) -> bytes:
    """Return a response up to its body; ``Content-Length`` is added where allowed.

    Parameters
    ----------
    response : Response
        Response to send.
    is_last : bool
        Whether the connection is closed after it.
    """
    start_line = STATUS_LINES.get(response.status)
    if start_line is None:
        start_line = b"HTTP/1.1 %d Unknown\r\n" % response.status
    connection_header = b"Connection: close\r\n" if is_last else b""
    if response.status in BODILESS_STATUSES:
        return b"%b%b%b\r\n" % (start_line, response.head, connection_header)
    return b"%b%b%bContent-Length: %d\r\n\r\n" % (
        start_line,
        response.head,
        connection_header,
        len(response.body),
    )
