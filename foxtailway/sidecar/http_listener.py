"""Server side of client connections."""

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable

import httptools

from foxtailway.sidecar.http_message import (
    CONNECTION_HEADERS,
    ClientRequest,
    HeaderNames,
    Response,
    encode_headers,
    encode_response,
)
from foxtailway.traffic.configuration import ClientLimits

__all__ = ["HttpListener", "RequestHandler"]

TIMEOUT_CHECK_INTERVAL_S = 0.25
# Requests that a client may send ahead on one connection.
MAX_PIPELINED_REQUESTS = 8
# Connections outlive the announced idle limit a little, so that a client that
# keeps to it never meets the close.
IDLE_MARGIN_S = 1.0
LISTEN_BACKLOG = 1024
RESPONSE_BAD_REQUEST = Response(status=400)
RESPONSE_TIMEOUT = Response(status=408)
RESPONSE_BODY_TOO_LARGE = Response(status=413)
RESPONSE_HEADERS_TOO_LARGE = Response(status=431)


class RequestHandler(ABC):
    """Answer the requests of one listener."""

    @abstractmethod
    async def handle(self, request: ClientRequest) -> Response:
        """Return the final answer; cancelled when the client has left."""


class ClientConnection(asyncio.Protocol):
    """Read requests of one client and write their answers in order.

    Parameters
    ----------
    listener : HttpListener
        Listener that accepted the connection.
    """

    def __init__(self, *, listener: "HttpListener") -> None:
        self.listener = listener
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.queue: deque[tuple[ClientRequest, bool]] = deque()
        self.response_task: asyncio.Task | None = None
        self.is_ended = False
        self.n_header_bytes = 0
        self.n_requests_read = 0
        self.idle_since = self.loop.time()
        self.receiving_since: float | None = None
        self.reset_message()

    def reset_message(self) -> None:
        """Forget the request read so far."""
        self.url = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.chunks: list[bytes] = []
        self.n_body_bytes = 0
        self.is_header_complete = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the connection."""
        self.transport = transport
        self.listener.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Give up the request that is being answered."""
        self.listener.connections.discard(self)
        self.is_ended = True
        self.queue.clear()
        if self.response_task is not None:
            self.response_task.cancel()

    def eof_received(self) -> bool:
        """Treat the end of the client's data as its leaving."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self.is_ended:
            return
        if self.receiving_since is None:
            self.receiving_since = self.loop.time()
        n_requests_read = self.n_requests_read
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self.reject(RESPONSE_BAD_REQUEST)
        if not self.is_header_complete and self.n_requests_read == n_requests_read:
            self.n_header_bytes += len(data)
            if self.n_header_bytes > self.listener.limits.max_header_size:
                self.reject(RESPONSE_HEADERS_TOO_LARGE)

    def on_message_begin(self) -> None:
        """Start a request."""
        self.reset_message()

    def on_url(self, url: bytes) -> None:
        """Take a part of the request target."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the size of the headers."""
        self.is_header_complete = True
        size = sum(len(name) + len(value) + 4 for name, value in self.headers)
        if size > self.listener.limits.max_header_size:
            self.reject(RESPONSE_HEADERS_TOO_LARGE)

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self.n_body_bytes += len(body)
        if self.n_body_bytes > self.listener.limits.max_body_size:
            self.reject(RESPONSE_BODY_TOO_LARGE)
        elif not self.is_ended:
            self.chunks.append(body)

    def on_message_complete(self) -> None:
        """Queue the request and start to answer it."""
        if self.is_ended:
            return
        self.receiving_since = None
        self.n_header_bytes = 0
        self.n_requests_read += 1
        request = self.build_request()
        self.queue.append((request, self.parser.should_keep_alive()))
        if len(self.queue) > MAX_PIPELINED_REQUESTS:
            self.transport.pause_reading()
        if self.response_task is None:
            self.response_task = self.loop.create_task(self.process_queue())

    def build_request(self) -> ClientRequest:
        """Return the request read from the parser."""
        names = self.listener.names
        excluded = self.listener.excluded_headers
        host = request_id = b""
        remaining_ms_value: bytes | None = None
        forwarded: list[tuple[bytes, bytes]] = []
        connection_tokens: list[bytes] = []
        for pair in self.headers:
            lower_name = pair[0].lower()
            if lower_name == names.remaining_ms:
                remaining_ms_value = pair[1]
            elif lower_name in excluded:
                if lower_name == b"connection":
                    connection_tokens = [
                        token.strip() for token in pair[1].lower().split(b",")
                    ]
            else:
                if lower_name == b"host":
                    host = pair[1]
                elif lower_name == names.request_id:
                    request_id = pair[1]
                forwarded.append(pair)
        if (
            connection_tokens
            and connection_tokens != [b"keep-alive"]
            and connection_tokens != [b"close"]
        ):
            forwarded = [
                pair for pair in forwarded if pair[0].lower() not in connection_tokens
            ]
        return ClientRequest(
            method=self.parser.get_method().decode("latin-1"),
            target=self.url.decode("latin-1"),
            host=host.decode("latin-1"),
            request_id=request_id.decode("latin-1"),
            remaining_ms=parse_milliseconds(remaining_ms_value),
            head=encode_headers(forwarded),
            body=self.chunks[0] if len(self.chunks) == 1 else b"".join(self.chunks),
        )

    async def process_queue(self) -> None:
        """Answer the queued requests in order."""
        try:
            while self.queue:
                request, is_keep_alive = self.queue.popleft()
                response = await self.listener.handler.handle(request)
                is_last = not is_keep_alive or self.listener.is_closing
                self.write(response, request.method == "HEAD", is_last)
                if is_last:
                    self.queue.clear()
                    return
                self.transport.resume_reading()
        finally:
            self.response_task = None
            self.idle_since = self.loop.time()

    def write(self, response: Response, is_head_request: bool, is_last: bool) -> None:
        """Write an answer and close behind the last one."""
        if self.transport.is_closing():
            return
        self.transport.write(
            encode_response(response, is_head_request=is_head_request, is_last=is_last)
        )
        if is_last:
            self.is_ended = True
            self.transport.close()

    def reject(self, response: Response) -> None:
        """Answer a request that cannot be read and close."""
        if self.is_ended:
            return
        self.is_ended = True
        if self.response_task is None:
            self.write(response, False, True)
        else:
            self.transport.close()

    def close_expired(self, now: float) -> None:
        """Close a connection that takes too long or is idle for too long."""
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

    def close_if_idle(self) -> None:
        """Close a connection on which nothing is asked or answered."""
        if self.response_task is None and self.receiving_since is None:
            self.is_ended = True
            self.transport.close()


class HttpListener:
    """Accept client connections on one port.

    Parameters
    ----------
    handler : RequestHandler
        Answers the requests.
    names : HeaderNames
        Headers that carry meaning for the mesh.

    Attributes
    ----------
    limits : ClientLimits
        Limits in force.
    is_closing : bool
        Whether each answer closes its connection.
    """

    def __init__(self, *, handler: RequestHandler, names: HeaderNames) -> None:
        self.handler = handler
        self.names = names
        self.limits = ClientLimits()
        self.excluded_headers = CONNECTION_HEADERS | {
            names.caller,
            names.expected_upstream,
        }
        self.connections: set[ClientConnection] = set()
        self.is_closing = False
        self.server: asyncio.Server | None = None
        self.timeout_timer: asyncio.TimerHandle | None = None

    async def listen(self, *, address: str, port: int) -> None:
        """Start to accept connections."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: ClientConnection(listener=self),
            address,
            port,
            backlog=LISTEN_BACKLOG,
        )
        self.schedule_timeout_check(loop.call_later)

    def schedule_timeout_check(self, call_later: Callable) -> None:
        """Arrange the next look at all connections."""
        self.timeout_timer = call_later(TIMEOUT_CHECK_INTERVAL_S, self.close_expired)

    def close_expired(self) -> None:
        """Close the connections that are over their limits."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        for connection in list(self.connections):
            connection.close_expired(now)
        self.schedule_timeout_check(loop.call_later)

    @property
    def n_active_connections(self) -> int:
        """Connections on which a request is being read or answered."""
        return sum(
            connection.response_task is not None
            or connection.receiving_since is not None
            for connection in self.connections
        )

    def close_idle(self) -> None:
        """Close idle connections and let each answer be the last."""
        self.is_closing = True
        for connection in list(self.connections):
            connection.close_if_idle()

    def close(self) -> None:
        """Accept no more connections and drop those that remain."""
        if self.timeout_timer is not None:
            self.timeout_timer.cancel()
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.transport.close()


def parse_milliseconds(value: bytes | None) -> int | None:
    """Return a decimal number of milliseconds, or None for anything else.

    Examples
    --------
    >>> parse_milliseconds(b"250")
    250
    >>> parse_milliseconds(b"-1") is None
    True
    """
    if value is None or not value.isdigit() or len(value) > 9:
        return None
    return int(value)
