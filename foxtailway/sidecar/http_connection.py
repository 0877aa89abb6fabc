"""HTTP/1.1 client connection."""

import asyncio
from dataclasses import dataclass, field

import httptools

__all__ = ["ExchangeError", "HttpConnection", "ReceivedResponse", "connect_http"]

# Bound of the body of a response.
MAX_RESPONSE_BYTES = 80_000_000
CONNECTION_HEADER = b"connection"
KEEP_ALIVE_HEADER = b"keep-alive"
# Share of the server's idle timeout after which a connection is not reused, so that
# a request does not race with the server's close.
IDLE_TIMEOUT_SHARE = 0.7


class ExchangeError(Exception):
    """Raised when an exchange ends without a complete response.

    Parameters
    ----------
    step : str
        Step of the exchange: ``connect``, ``receive`` or ``decode``.
    peer : str
        ``address:port`` of the server.
    detail : str
        Cause in plain text.
    """

    def __init__(self, *, step: str, peer: str, detail: str) -> None:
        super().__init__(f"{step} {peer}: {detail}")
        self.step = step
        self.peer = peer
        self.detail = detail


@dataclass(slots=True, kw_only=True)
class ReceivedResponse:
    """Response as received from a server.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : list of tuple of bytes
        Pairs of name, as received, and value.
    body : bytes
        Complete body.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes = field(repr=False)

    def find_header(self, name: bytes) -> bytes | None:
        """Return the value of the first header called `name` (lower case), or None."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


class HttpConnection(asyncio.Protocol):
    """Connection on which one request at a time is in progress.

    Parameters
    ----------
    peer : str
        ``address:port`` of the server, named in errors.
    request_id_header : bytes or None, default=None
        Lower-case name of the header in which the server echoes the identifier
        of the request. A response with another identifier is discarded.

    Attributes
    ----------
    is_reusable : bool
        Whether another request may be sent on the connection.
    idle_since : float
        Monotonic time at which the last exchange ended, in seconds.
    idle_timeout_s : float
        Time after which the server closes an idle connection, in seconds; 4 until
        the server announces one in ``Keep-Alive``.

    Notes
    -----
    This class never retries a request.
    """

    def __init__(self, *, peer: str, request_id_header: bytes | None = None) -> None:
        self.peer = peer
        self.request_id_header = request_id_header
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.exchange: asyncio.Future[ReceivedResponse] | None = None
        self.expected_request_id: bytes | None = None
        self.is_head_request = False
        self.is_reusable = True
        self.idle_since = self.loop.time()
        self.idle_timeout_s = 4.0
        self.reset_message()

    def reset_message(self) -> None:
        """Discard the state of the response that is being parsed."""
        self.headers: list[tuple[bytes, bytes]] = []
        self.chunks: list[bytes] = []
        self.n_bytes = 0
        self.is_header_complete = False
        self.is_framed = False
        self.is_closing = False

    def request(
        self,
        data: bytes,
        *,
        expected_request_id: bytes | None = None,
        is_head_request: bool = False,
    ) -> "asyncio.Future[ReceivedResponse]":
        """Send a request; no other one may be in progress.

        Parameters
        ----------
        data : bytes
            Encoded request.
        expected_request_id : bytes or None, default=None
            Identifier that the server echoes in `request_id_header`; None for no
            check. A response without the header is accepted.
        is_head_request : bool, default=False
            Whether the method is ``HEAD``, so that the response has no body.

        Returns
        -------
        asyncio.Future of ReceivedResponse
            Fails with `ExchangeError` when there is no complete response.
        """
        self.exchange = self.loop.create_future()
        self.expected_request_id = expected_request_id
        self.is_head_request = is_head_request
        self.transport.write(data)
        return self.exchange

    def close(self) -> None:
        """Close the connection at once; idempotent."""
        self.is_reusable = False
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; unsolicited ones close the connection."""
        if self.exchange is None:
            self.close()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.fail("decode", str(error))

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange; a body that is delimited by the close is then complete."""
        self.is_reusable = False
        is_delimited_by_close = self.is_header_complete and not self.is_framed
        if exc is None and is_delimited_by_close and self.exchange is not None:
            self.complete()
            return
        self.fail("receive", "connection lost" if exc is None else str(exc))

    def on_message_begin(self) -> None:
        """Prepare for the next response (parser callback)."""
        if self.exchange is None:
            self.is_reusable = False
        self.reset_message()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append one header and evaluate framing and keep-alive (parser callback)."""
        self.headers.append((name, value))
        lower_name = name.lower()
        if lower_name in (b"content-length", b"transfer-encoding"):
            self.is_framed = True
        elif lower_name == CONNECTION_HEADER and b"close" in value.lower():
            self.is_closing = True
        elif lower_name == KEEP_ALIVE_HEADER:
            self.idle_timeout_s = parse_keep_alive_timeout(value, self.idle_timeout_s)

    def on_headers_complete(self) -> None:
        """Record the end of the header section (parser callback)."""
        status = self.parser.get_status_code()
        if status < 200:
            return
        self.is_header_complete = True
        if self.is_head_request:
            self.is_closing = True
            self.complete()

    def on_body(self, body: bytes) -> None:
        """Append a part of the body after a size check (parser callback)."""
        self.n_bytes += len(body)
        if self.n_bytes > MAX_RESPONSE_BYTES:
            self.fail("receive", "response too large")
            return
        self.chunks.append(body)

    def on_message_complete(self) -> None:
        """Complete the exchange unless the response is informational (1xx)."""
        if self.parser.get_status_code() >= 200:
            self.complete()

    def complete(self) -> None:
        """Deliver the response unless it belongs to another request."""
        if self.exchange is None or self.exchange.done():
            self.is_reusable = False
            return
        response = ReceivedResponse(
            status=self.parser.get_status_code(),
            headers=self.headers,
            body=self.chunks[0] if len(self.chunks) == 1 else b"".join(self.chunks),
        )
        if self.has_other_request_id(response):
            self.is_reusable = False
            return
        if self.is_closing or not self.is_framed:
            self.is_reusable = False
        if self.transport.get_write_buffer_size():
            self.is_reusable = False
        exchange = self.exchange
        self.exchange = None
        self.idle_since = self.loop.time()
        exchange.set_result(response)

    def has_other_request_id(self, response: ReceivedResponse) -> bool:
        """Return whether a response carries another identifier than expected."""
        if self.request_id_header is None or self.expected_request_id is None:
            return False
        received_id = response.find_header(self.request_id_header)
        return received_id is not None and received_id != self.expected_request_id

    def fail(self, step: str, detail: str) -> None:
        """Fail the exchange with `ExchangeError` and close the connection."""
        exchange = self.exchange
        self.exchange = None
        self.close()
        if exchange is not None and not exchange.done():
            exchange.set_exception(
                ExchangeError(step=step, peer=self.peer, detail=detail)
            )

    def can_reuse(self, now: float, max_idle_s: float) -> bool:
        """Return whether the connection may be reused after its idle time."""
        idle_s = now - self.idle_since
        limit_s = min(max_idle_s, self.idle_timeout_s * IDLE_TIMEOUT_SHARE)
        return self.is_reusable and self.exchange is None and idle_s < limit_s


def parse_keep_alive_timeout(value: bytes, default_s: float) -> float:
    """Return the timeout of a ``Keep-Alive`` header in seconds, or `default_s`.

    Examples
    --------
    >>> parse_keep_alive_timeout(b"timeout=5, max=10", 1.0)
    5.0
    """
    for part in value.split(b","):
        name, _, text = part.strip().partition(b"=")
        if name.lower() == b"timeout" and text.isdigit():
            return float(text)
    return default_s


async def connect_http(
    *,
    address: str,
    port: int,
    timeout_s: float,
    request_id_header: bytes | None = None,
) -> HttpConnection:
    """Return a new connection, or raise `ExchangeError` of step ``connect``."""
    peer = f"{address}:{port}"
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: HttpConnection(peer=peer, request_id_header=request_id_header),
                address,
                port,
            )
    except (OSError, TimeoutError) as error:
        detail = str(error) or "timeout"
        raise ExchangeError(step="connect", peer=peer, detail=detail) from error
    return connection
