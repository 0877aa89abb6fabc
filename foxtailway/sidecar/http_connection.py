"""HTTP/1.1 client connection."""

import asyncio

import httptools

from foxtailway.sidecar.body_buffer import Body
from foxtailway.sidecar.http_exchange import (
    ExchangeError,
    ReceivedResponse,
    ResponseLimitError,
)
from foxtailway.sidecar.received_body import ReceivedBody
from foxtailway.transport.http_status import is_final_status, is_interim_status
from foxtailway.transport.response_limits import (
    DEFAULT_RESPONSE_LIMITS,
    BufferBudget,
    HeadMeter,
    HeldBytes,
    ResponseLimits,
)

__all__ = [
    "HttpConnection",
    "connect_http",
]

CONNECTION_HEADER = b"connection"
KEEP_ALIVE_HEADER = b"keep-alive"
# Share of the server's idle timeout after which a connection is not reused, so that
# a request does not race with the server's close.
IDLE_TIMEOUT_SHARE = 0.7
# Bytes of a request that are given to the transport at once. The transport moves all
# bytes in its buffer after each partial write.
MAX_WRITE_BYTES = 65_536
# Longest time for which a body waits for room, in seconds. Meanwhile its request holds
# a slot of the server.
MAX_ROOM_WAIT_S = 1.0
# Interval at which a body that waits looks for room.
ROOM_CHECK_INTERVAL_S = 0.01
NO_BYTES = memoryview(b"")


class HttpConnection(asyncio.Protocol):
    """Connection on which one request at a time is in progress.

    Parameters
    ----------
    peer : str
        ``address:port`` of the server, named in errors.
    request_id_header : bytes or None, default=None
        Lower-case name of the header in which the server echoes the identifier
        of the request. A response that may belong to another request is skipped.
    limits : ResponseLimits, default=DEFAULT_RESPONSE_LIMITS
        Bounds of the responses; beyond them, the exchange fails.
    budget : BufferBudget or None, default=None
        Bound of the bodies that all connections receive at a time; None for none. A
        body that finds no room among them waits in the socket, at most
        `MAX_ROOM_WAIT_S`.

    Attributes
    ----------
    n_requests : int
        Requests that were sent on the connection.
    refused_ids : set of bytes
        Identifiers of the requests that the server refused to run on the connection;
        filled by the caller.
    is_reusable : bool
        Whether another request may be sent on the connection.
    received_at : float
        Monotonic time at which bytes were last received, in seconds; minus infinity
        before the first.
    idle_since : float
        Monotonic time at which the last exchange ended, in seconds.
    idle_timeout_s : float
        Time after which the server closes an idle connection, in seconds; 4 until
        the server announces one in ``Keep-Alive``.

    Notes
    -----
    This class never retries a request. The future of an exchange identifies it, so
    that `abort` can't end a later exchange on the same connection.
    """

    def __init__(
        self,
        *,
        peer: str,
        request_id_header: bytes | None = None,
        limits: ResponseLimits = DEFAULT_RESPONSE_LIMITS,
        budget: BufferBudget | None = None,
    ) -> None:
        self.peer = peer
        self.request_id_header = request_id_header
        self.limits = limits
        self.budget = budget
        self.meter = HeadMeter()
        self.n_requests = 0
        self.refused_ids: set[bytes] = set()
        self.n_skipped = 0
        self.body: ReceivedBody | None = None
        self.is_waiting_for_room = False
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.exchange: asyncio.Future[ReceivedResponse] | None = None
        self.expected_request_id: bytes | None = None
        self.is_head_request = False
        self.unsent = NO_BYTES
        self.is_writing_paused = False
        self.is_reusable = True
        self.received_at = float("-inf")
        self.idle_since = self.loop.time()
        self.idle_timeout_s = 4.0
        self.reset_message()

    def reset_message(self) -> None:
        """Discard the state of the response that is being parsed."""
        if self.body is not None:
            self.body.discard()
            self.body = None
        self.headers: list[tuple[bytes, bytes]] = []
        self.body_size: int | None = None
        self.is_header_complete = False
        self.is_framed = False
        self.is_closing = False

    def request(
        self,
        data: bytes,
        *,
        body: Body = b"",
        expected_request_id: bytes | None = None,
        is_head_request: bool = False,
    ) -> "asyncio.Future[ReceivedResponse]":
        """Send a request; no other one may be in progress.

        Parameters
        ----------
        data : bytes
            Encoded request, if it has no `body`, and otherwise what precedes that.
        body : bytes or mmap, default=b""
            Body, which is not copied if it is large.
        expected_request_id : bytes or None, default=None
            Identifier that the server echoes in `request_id_header`; None if the
            request has none.
        is_head_request : bool, default=False
            Whether the method is ``HEAD``, so that the response has no body.

        Returns
        -------
        asyncio.Future of ReceivedResponse
            Fails with `ExchangeError` when there is no complete response.
        """
        self.exchange = self.loop.create_future()
        self.n_requests += 1
        self.n_skipped = 0
        self.meter.reset()
        self.expected_request_id = expected_request_id
        self.is_head_request = is_head_request
        if len(data) + len(body) <= MAX_WRITE_BYTES:
            self.transport.write(data + body[:] if body else data)
        elif body:
            self.transport.write(data)
            self.unsent = memoryview(body)
            self.write_unsent()
        else:
            self.unsent = memoryview(data)
            self.write_unsent()
        return self.exchange

    def write_unsent(self) -> None:
        """Write the next parts of a large request until the transport is full."""
        while self.unsent and not self.is_writing_paused:
            part = self.unsent[:MAX_WRITE_BYTES]
            # An empty slice would keep the whole body in memory.
            self.unsent = self.unsent[MAX_WRITE_BYTES:] or NO_BYTES
            self.transport.write(part)

    def pause_writing(self) -> None:
        """Stop writing, since the buffer of the transport is full."""
        self.is_writing_paused = True

    def resume_writing(self) -> None:
        """Continue to write a large request."""
        self.is_writing_paused = False
        self.write_unsent()

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
        self.received_at = self.loop.time()
        self.meter.n_received += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            self.fail_with(find_cause(error, self.peer))
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.fail("decode", str(error))
        else:
            if self.exchange is not None and self.meter.is_exceeded(
                self.limits.max_head_size
            ):
                self.fail_with(self.make_limit_error("header section"))

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange; a body that is delimited by the close is then complete."""
        self.is_reusable = False
        is_delimited_by_close = self.is_header_complete and not self.is_framed
        if exc is None and is_delimited_by_close and self.exchange is not None:
            try:
                self.complete()
            except ResponseLimitError as error:
                self.fail_with(error)
        self.fail("receive", "connection lost" if exc is None else str(exc))

    def on_message_begin(self) -> None:
        """Prepare for the next response (parser callback)."""
        if self.exchange is None:
            self.is_reusable = False
        self.reset_message()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append one header and evaluate framing and keep-alive (parser callback).

        Trailers are dropped: a signature or a refusal is part of the header section.
        """
        if self.is_header_complete:
            return
        if len(self.headers) >= self.limits.max_n_headers:
            raise self.make_limit_error("number of headers")
        self.headers.append((name, value))
        lower_name = name.lower()
        if lower_name == b"content-length":
            self.is_framed = True
            # The parser has checked the value.
            self.body_size = min(int(value), self.limits.max_body_size)
        elif lower_name == b"transfer-encoding":
            self.is_framed = True
        elif lower_name == CONNECTION_HEADER and b"close" in value.lower():
            self.is_closing = True
        elif lower_name == KEEP_ALIVE_HEADER:
            self.idle_timeout_s = parse_keep_alive_timeout(value, self.idle_timeout_s)

    def on_headers_complete(self) -> None:
        """Check the status and record the end of the header section (callback).

        A status that HTTP does not define ends the exchange, whatever follows it.
        """
        status = self.parser.get_status_code()
        if is_interim_status(status):
            return
        if not is_final_status(status):
            raise ExchangeError(
                step="decode",
                peer=self.peer,
                detail=f"status {status:03d} is not that of a response",
            )
        self.is_header_complete = True
        if self.is_head_request:
            self.is_closing = True
            self.complete()

    def on_body(self, body: bytes) -> None:
        """Append a part of the body after a size check (parser callback)."""
        n_bytes = len(body)
        self.meter.n_body += n_bytes
        if self.body is None:
            self.body = ReceivedBody(budget=self.budget, size=self.body_size)
        if self.body.n_bytes + n_bytes > self.limits.max_body_size:
            raise self.make_limit_error("body")
        self.body.buffer.append(body)
        if self.body.try_reserve() or self.is_waiting_for_room:
            return
        if not self.body.is_behind_others:
            raise self.make_limit_error("memory")
        self.is_waiting_for_room = True
        self.transport.pause_reading()
        self.schedule_room_check(self.loop.time() + MAX_ROOM_WAIT_S)

    def schedule_room_check(self, ends_at: float) -> None:
        """Schedule the next check for room for the body that is being received."""
        self.loop.call_later(
            ROOM_CHECK_INTERVAL_S, self.check_room, self.exchange, ends_at
        )

    def check_room(
        self, exchange: "asyncio.Future[ReceivedResponse]", ends_at: float
    ) -> None:
        """Go on with the body if there is room; end the exchange if it won't be soon.

        Parameters
        ----------
        exchange : asyncio.Future of ReceivedResponse
            Exchange of the body.
        ends_at : float
            Monotonic time at which the wait ends, in seconds.
        """
        if exchange is not self.exchange or self.body is None:
            return
        if self.body.try_reserve():
            self.resume_reading()
        elif self.loop.time() >= ends_at or not self.body.is_behind_others:
            self.fail_with(self.make_limit_error("bodies of all running responses"))
        else:
            self.schedule_room_check(ends_at)

    def resume_reading(self) -> None:
        """Read on after a body has waited for room."""
        if self.is_waiting_for_room:
            self.is_waiting_for_room = False
            self.transport.resume_reading()

    def on_message_complete(self) -> None:
        """Complete the exchange unless the response is informational (1xx)."""
        if self.is_header_complete:
            self.complete()
        else:
            self.count_skipped("interim responses")

    def count_skipped(self, kind: str) -> None:
        """Count a skipped response; raise `ResponseLimitError` beyond the limit."""
        self.n_skipped += 1
        if self.n_skipped > self.limits.max_n_skipped:
            raise self.make_limit_error(kind)

    def complete(self) -> None:
        """Deliver the response unless it may belong to another request."""
        if self.exchange is None or self.exchange.done():
            self.is_reusable = False
            return
        body: Body = b""
        holding: HeldBytes | None = None
        if self.body is not None:
            body, holding = self.body.finish()
            self.body = None
        self.resume_reading()
        response = ReceivedResponse(
            status=self.parser.get_status_code(),
            headers=self.headers,
            body=body,
            holding=holding,
        )
        if not self.is_own_response(response):
            self.is_reusable = False
            self.count_skipped("responses to other requests")
            return
        if self.is_closing or not self.is_framed:
            self.is_reusable = False
        if self.unsent or self.transport.get_write_buffer_size():
            self.is_reusable = False
            self.unsent = NO_BYTES
        exchange = self.exchange
        self.exchange = None
        self.idle_since = self.loop.time()
        exchange.set_result(response)

    def is_own_response(self, response: ReceivedResponse) -> bool:
        """Return whether a response can belong only to the request in progress.

        That is so if it bears the identifier of this request and no other one, or
        if it bears none and no earlier request was sent on the connection, so that
        it can't be the copy of an earlier response.
        """
        if self.request_id_header is None:
            return True
        received_ids = response.find_headers(self.request_id_header)
        if not received_ids:
            return self.n_requests == 1
        return all(item == self.expected_request_id for item in received_ids)

    def make_limit_error(self, kind: str) -> ResponseLimitError:
        """Return the error for a response that exceeds a limit."""
        return ResponseLimitError(
            step="receive", peer=self.peer, detail=f"limit exceeded: {kind}"
        )

    def abort(
        self, exchange: "asyncio.Future[ReceivedResponse]", error: ExchangeError
    ) -> None:
        """End an exchange with an error and close its connection.

        Does nothing if the exchange has ended, since the connection may carry another
        one by then, even before whoever waits for the response has resumed.

        Parameters
        ----------
        exchange : asyncio.Future of ReceivedResponse
            Exchange, as returned by `request`.
        error : ExchangeError
            Result of the exchange.
        """
        if exchange is self.exchange:
            self.fail_with(error)

    def fail(self, step: str, detail: str) -> None:
        """Fail the exchange with `ExchangeError` and close the connection."""
        self.fail_with(ExchangeError(step=step, peer=self.peer, detail=detail))

    def fail_with(self, error: ExchangeError) -> None:
        """Fail the exchange in progress with an error and close the connection.

        It is called for faults of the connection itself. Others call `abort`.
        """
        exchange = self.exchange
        self.exchange = None
        self.unsent = NO_BYTES
        self.close()
        self.reset_message()
        if exchange is not None and not exchange.done():
            exchange.set_exception(error)

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


def find_cause(error: Exception, peer: str) -> ExchangeError:
    """Return the error that was raised in a callback of the parser.

    Its traceback is removed: it would keep the received bytes as long as the error.
    """
    cause = error.__cause__ or error.__context__
    if isinstance(cause, ExchangeError):
        return cause.with_traceback(None)
    return ExchangeError(step="decode", peer=peer, detail=repr(cause or error))


async def connect_http(
    *,
    address: str,
    port: int,
    timeout_s: float,
    request_id_header: bytes | None = None,
    limits: ResponseLimits = DEFAULT_RESPONSE_LIMITS,
    budget: BufferBudget | None = None,
) -> HttpConnection:
    """Return a new connection, or raise `ExchangeError` of step ``connect``."""
    peer = f"{address}:{port}"
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: HttpConnection(
                    peer=peer,
                    request_id_header=request_id_header,
                    limits=limits,
                    budget=budget,
                ),
                address,
                port,
            )
    except (OSError, TimeoutError) as error:
        detail = str(error) or "timeout"
        raise ExchangeError(step="connect", peer=peer, detail=detail) from error
    return connection
