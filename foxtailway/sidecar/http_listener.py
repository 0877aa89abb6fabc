"""HTTP/1.1 server for clients of the sidecar."""

import asyncio
import socket
from abc import ABC, abstractmethod
from collections import deque
from contextlib import suppress

import httptools

from foxtailway.sidecar.http_message import (
    CONNECTION_HEADERS,
    ClientRequest,
    HeaderNames,
    Response,
    encode_headers,
    encode_response,
    select_end_to_end,
)
from foxtailway.sidecar.log import EventLog
from foxtailway.traffic.configuration import ClientLimits
from foxtailway.transport.response_limits import HeadMeter

__all__ = ["HttpListener", "RequestHandler"]

# Interval at which connections are checked for expired timeouts.
TIMEOUT_CHECK_INTERVAL_S = 0.25
# Pipelined requests queued on one connection; beyond that, reading is paused.
MAX_PIPELINED_REQUESTS = 8
# Margin added to the idle timeout, so that a client which observes the timeout does
# not send a request on a connection that is being closed.
IDLE_MARGIN_S = 1.0
# Time after which a new connection without a request counts as idle. The request of a
# client that has just connected is on its way.
NEW_CONNECTION_S = 0.3
# Bytes of chunk framing and trailers allowed beside the header section of a request.
MAX_FRAMING_BYTES = 65_536
# Connections that the operating system queues before they are accepted.
LISTEN_BACKLOG = 1024
RESPONSE_BAD_REQUEST = Response(status=400)
# Response without a result. The request may have run.
RESPONSE_ERROR = Response(status=502)
RESPONSE_TIMEOUT = Response(status=408)
RESPONSE_BODY_TOO_LARGE = Response(status=413)
RESPONSE_HEADERS_TOO_LARGE = Response(status=431)


class RequestHandler(ABC):
    """Handler of the requests of one listener."""

    @abstractmethod
    async def handle(self, request: ClientRequest) -> Response:
        """Return the response; cancelled when the client disconnects."""


class ClientConnection(asyncio.Protocol):
    """Connection of one client; responses are written in the order of the requests.

    Parameters
    ----------
    listener : HttpListener
        Listener that accepted the connection.

    Attributes
    ----------
    is_ended : bool
        Whether further data of the client is ignored.
    rejection : Response or None
        Response to an unreadable request, written after those to earlier ones.
    receiving_since : float or None
        Monotonic time in seconds at which the first byte of an incomplete request
        was received; None when there is no incomplete request.
    idle_since : float
        Monotonic time in seconds at which the connection was opened or the last
        response was written.
    """

    def __init__(self, *, listener: "HttpListener") -> None:
        self.listener = listener
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.queue: deque[tuple[ClientRequest, bool]] = deque()
        self.response_task: asyncio.Task | None = None
        self.is_ended = False
        self.rejection: Response | None = None
        self.n_header_bytes = 0
        self.meter = HeadMeter()
        self.n_requests_read = 0
        self.idle_since = self.loop.time()
        self.receiving_since: float | None = None
        self.reset_message()

    def reset_message(self) -> None:
        """Discard the state of the request that is being parsed."""
        self.url = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.chunks: list[bytes] = []
        self.n_body_bytes = 0
        self.is_header_complete = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport and register the connection."""
        self.transport = transport
        self.listener.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress and discard the queued ones."""
        self.listener.connections.discard(self)
        self.is_ended = True
        self.queue.clear()
        if self.response_task is not None:
            self.response_task.cancel()

    def eof_received(self) -> bool:
        """Close the connection; a half-closed client counts as disconnected."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; respond with 400 or 431 to invalid ones."""
        if self.is_ended:
            return
        if self.receiving_since is None:
            self.receiving_since = self.loop.time()
        n_requests_read = self.n_requests_read
        self.meter.n_received += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self.reject(RESPONSE_BAD_REQUEST)
        if not self.is_header_complete and self.n_requests_read == n_requests_read:
            self.n_header_bytes += len(data)
            if self.n_header_bytes > self.listener.limits.max_header_size:
                self.reject(RESPONSE_HEADERS_TOO_LARGE)
        elif self.meter.is_exceeded(
            self.listener.limits.max_header_size + MAX_FRAMING_BYTES
        ):
            self.reject(RESPONSE_HEADERS_TOO_LARGE)

    def on_message_begin(self) -> None:
        """Prepare for the next request (parser callback)."""
        self.reset_message()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target (parser callback)."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append one header; trailers are dropped (parser callback)."""
        if not self.is_header_complete:
            self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the size of the header section (parser callback)."""
        self.is_header_complete = True
        size = sum(len(name) + len(value) + 4 for name, value in self.headers)
        if size > self.listener.limits.max_header_size:
            self.reject(RESPONSE_HEADERS_TOO_LARGE)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body after a size check (parser callback)."""
        self.n_body_bytes += len(body)
        self.meter.n_body += len(body)
        if self.n_body_bytes > self.listener.limits.max_body_size:
            self.reject(RESPONSE_BODY_TOO_LARGE)
        elif not self.is_ended:
            self.chunks.append(body)

    def on_message_complete(self) -> None:
        """Queue the request and start its processing (parser callback)."""
        if self.is_ended:
            return
        self.receiving_since = None
        self.n_header_bytes = 0
        self.meter.reset()
        self.n_requests_read += 1
        request = self.build_request()
        self.queue.append((request, self.parser.should_keep_alive()))
        if len(self.queue) > MAX_PIPELINED_REQUESTS:
            self.transport.pause_reading()
        if self.response_task is None:
            self.response_task = self.loop.create_task(self.process_queue())

    def build_request(self) -> ClientRequest:
        """Return the parsed request without its hop-by-hop headers."""
        names = self.listener.names
        host = request_id = b""
        remaining_ms_value: bytes | None = None
        for name, value in self.headers:
            lower_name = name.lower()
            if lower_name == names.remaining_ms:
                remaining_ms_value = value
            elif lower_name == b"host":
                host = value
            elif lower_name == names.request_id:
                request_id = value
        forwarded = select_end_to_end(
            self.headers,
            excluded=self.listener.excluded_headers,
            kept=self.listener.kept_headers,
        )
        return ClientRequest(
            method=self.parser.get_method().decode("latin-1"),
            target=self.url.decode("latin-1"),
            host=host.decode("latin-1"),
            request_id=request_id.decode("latin-1"),
            remaining_ms=parse_remaining_ms(remaining_ms_value),
            head=encode_headers(forwarded),
            body=self.chunks[0] if len(self.chunks) == 1 else b"".join(self.chunks),
        )

    async def process_queue(self) -> None:
        """Handle the queued requests one after another."""
        try:
            while self.queue:
                request, is_keep_alive = self.queue.popleft()
                response = await self.handle(request)
                is_last = not is_keep_alive or self.listener.is_closing
                self.write(response, request.method == "HEAD", is_last)
                if is_last:
                    self.queue.clear()
                    return
                self.transport.resume_reading()
            if self.rejection is not None:
                self.write(self.rejection, False, True)
        except Exception as error:
            self.listener.log.write_error("respond", error)
            self.is_ended = True
            self.transport.abort()
        finally:
            self.response_task = None
            self.idle_since = self.loop.time()

    async def handle(self, request: ClientRequest) -> Response:
        """Return the response of the handler, or 502 if there is none.

        That is so after an unexpected error, and at the end of the process.
        """
        try:
            return await self.listener.handler.handle(request)
        except asyncio.CancelledError:
            if not self.listener.is_ending:
                raise
            return RESPONSE_ERROR
        except Exception as error:
            self.listener.log.write_error("handle", error, request.request_id)
            return RESPONSE_ERROR

    def write(self, response: Response, is_head_request: bool, is_last: bool) -> None:
        """Write a response and close the connection after the last one."""
        if self.transport.is_closing():
            return
        self.transport.write(
            encode_response(response, is_head_request=is_head_request, is_last=is_last)
        )
        if is_last:
            self.is_ended = True
            self.transport.close()

    def reject(self, response: Response) -> None:
        """Respond to an unreadable request and close the connection.

        The requests that were read before it are answered first.
        """
        if self.is_ended:
            return
        self.is_ended = True
        if self.response_task is None:
            self.write(response, False, True)
        else:
            self.rejection = response

    def close_expired(self, now: float) -> None:
        """Close the connection if its header or idle timeout has expired."""
        limits = self.listener.limits
        if self.receiving_since is not None:
            is_late = now - self.receiving_since > limits.header_timeout_s
            if is_late and not self.is_header_complete and self.response_task is None:
                self.reject(RESPONSE_TIMEOUT)
            return
        idle_s = now - self.idle_since
        if (
            self.response_task is None
            and idle_s > limits.idle_timeout_s + IDLE_MARGIN_S
        ):
            self.is_ended = True
            self.transport.close()

    @property
    def is_active(self) -> bool:
        """Whether a request is received, processed, answered or probably on its way.

        A request is in progress until the last byte of its response has left the
        process, also after the connection was closed for further requests.
        """
        if self.response_task is not None or self.receiving_since is not None:
            return True
        if self.is_sending:
            return True
        age_s = self.loop.time() - self.idle_since
        return not self.n_requests_read and age_s < NEW_CONNECTION_S

    @property
    def is_sending(self) -> bool:
        """Whether bytes of a response wait for the client to read."""
        return self.transport.get_write_buffer_size() > 0

    def close_if_idle(self) -> None:
        """Close the connection unless it is active."""
        if not self.is_active:
            self.is_ended = True
            self.transport.close()


class HttpListener:
    """HTTP server on one port.

    Parameters
    ----------
    handler : RequestHandler
        Handler of the requests.
    names : HeaderNames
        Names of the headers that the mesh interprets.
    log : EventLog
        Event log.

    Attributes
    ----------
    limits : ClientLimits
        Limits in force; they may be replaced while the server runs.
    is_closing : bool
        Whether each response closes its connection.
    is_ending : bool
        Whether the requests in progress are answered without a result.
    """

    def __init__(
        self, *, handler: RequestHandler, names: HeaderNames, log: EventLog
    ) -> None:
        self.handler = handler
        self.log = log
        self.names = names
        self.limits = ClientLimits()
        self.excluded_headers = CONNECTION_HEADERS | {
            names.caller,
            names.expected_upstream,
            names.remaining_ms,
        }
        self.kept_headers = frozenset({b"host", names.request_id})
        self.connections: set[ClientConnection] = set()
        self.is_closing = False
        self.is_ending = False
        self.server: asyncio.Server | None = None
        self.socket: socket.socket | None = None
        self.timeout_timer: asyncio.TimerHandle | None = None

    async def listen(self, *, address: str, port: int) -> None:
        """Start to accept connections; raise `OSError` if the port is unavailable."""
        self.socket = socket.create_server((address, port), backlog=LISTEN_BACKLOG)
        self.socket.setblocking(False)
        self.server = await asyncio.get_running_loop().create_server(
            self.make_connection, sock=self.socket, backlog=LISTEN_BACKLOG
        )
        self.schedule_timeout_check()

    def make_connection(self) -> ClientConnection:
        """Return the protocol of a new connection."""
        return ClientConnection(listener=self)

    async def stop_accepting(self) -> None:
        """Accept what the operating system has queued, then close the port.

        Closing the port resets the connections in the queue, whose clients may have
        sent requests.
        """
        accepted: list[socket.socket] = []
        with suppress(BlockingIOError):
            while True:
                accepted.append(self.socket.accept()[0])
        self.server.close()
        loop = asyncio.get_running_loop()
        for sock in accepted:
            sock.setblocking(False)
            await loop.connect_accepted_socket(self.make_connection, sock)

    def schedule_timeout_check(self) -> None:
        """Schedule the next timeout check."""
        self.timeout_timer = asyncio.get_running_loop().call_later(
            TIMEOUT_CHECK_INTERVAL_S, self.close_expired
        )

    def close_expired(self) -> None:
        """Close the connections whose timeouts have expired.

        The next check is scheduled first, so that an error does not end the checks.
        """
        self.schedule_timeout_check()
        now = asyncio.get_running_loop().time()
        for connection in list(self.connections):
            connection.close_expired(now)

    @property
    def n_active_connections(self) -> int:
        """Number of active connections."""
        return sum(connection.is_active for connection in self.connections)

    def close_idle(self) -> None:
        """Close idle connections, and each other one after its next response."""
        self.is_closing = True
        for connection in list(self.connections):
            connection.close_if_idle()

    def answer_all(self) -> None:
        """Answer the requests in progress with 502, since the process ends.

        Their clients then need not guess whether a connection was lost on the way.
        """
        self.is_ending = True
        for connection in list(self.connections):
            if connection.response_task is not None:
                connection.response_task.cancel()

    def close(self) -> None:
        """Stop accepting connections and close those that remain."""
        if self.timeout_timer is not None:
            self.timeout_timer.cancel()
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.transport.close()


def parse_remaining_ms(value: bytes | None) -> int | None:
    """Return a header value in milliseconds, or None unless it has 1 to 9 digits.

    Examples
    --------
    >>> parse_remaining_ms(b"250")
    250
    >>> parse_remaining_ms(b"-1") is None
    True
    """
    if value is None or not value.isdigit() or len(value) > 9:
        return None
    return int(value)
