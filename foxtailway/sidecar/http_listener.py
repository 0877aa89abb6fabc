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

SWEEP_S = 0.25
# Requests that a client may send ahead on one connection.
N_PIPELINED = 8
# Connections outlive the announced idle limit a little, so that a client that
# keeps to it never meets the close.
IDLE_MARGIN_S = 1.0
BACKLOG = 1024
ANSWER_BAD_REQUEST = Response(status=400)
ANSWER_TIMEOUT = Response(status=408)
ANSWER_BODY_TOO_LARGE = Response(status=413)
ANSWER_HEADERS_TOO_LARGE = Response(status=431)


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
        self.task: asyncio.Task | None = None
        self.is_broken = False
        self.n_header_bytes = 0
        self.n_completed = 0
        self.changed_at = self.loop.time()
        self.started_at: float | None = None
        self.reset_message()

    def reset_message(self) -> None:
        """Forget the request read so far."""
        self.url = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.chunks: list[bytes] = []
        self.n_body_bytes = 0
        self.is_head_complete = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the connection."""
        self.transport = transport
        self.listener.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Give up the request that is being answered."""
        self.listener.connections.discard(self)
        self.is_broken = True
        self.queue.clear()
        if self.task is not None:
            self.task.cancel()

    def eof_received(self) -> bool:
        """Treat the end of the client's data as its leaving."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self.is_broken:
            return
        if self.started_at is None:
            self.started_at = self.loop.time()
        n_completed = self.n_completed
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self.reject(ANSWER_BAD_REQUEST)
        if not self.is_head_complete and self.n_completed == n_completed:
            self.n_header_bytes += len(data)
            if self.n_header_bytes > self.listener.limits.max_header_size:
                self.reject(ANSWER_HEADERS_TOO_LARGE)

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
        self.is_head_complete = True
        size = sum(len(name) + len(value) + 4 for name, value in self.headers)
        if size > self.listener.limits.max_header_size:
            self.reject(ANSWER_HEADERS_TOO_LARGE)

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self.n_body_bytes += len(body)
        if self.n_body_bytes > self.listener.limits.max_body_size:
            self.reject(ANSWER_BODY_TOO_LARGE)
        elif not self.is_broken:
            self.chunks.append(body)

    def on_message_complete(self) -> None:
        """Queue the request and start to answer it."""
        if self.is_broken:
            return
        self.started_at = None
        self.n_header_bytes = 0
        self.n_completed += 1
        request = self.build_request()
        self.queue.append((request, self.parser.should_keep_alive()))
        if len(self.queue) > N_PIPELINED:
            self.transport.pause_reading()
        if self.task is None:
            self.task = self.loop.create_task(self.answer_queue())

    def build_request(self) -> ClientRequest:
        """Return the request read from the parser."""
        names = self.listener.names
        dropped = self.listener.dropped_names
        host = request_id = b""
        remaining: bytes | None = None
        forwarded: list[tuple[bytes, bytes]] = []
        named: list[bytes] = []
        for pair in self.headers:
            lowered = pair[0].lower()
            if lowered == names.remaining_ms:
                remaining = pair[1]
            elif lowered in dropped:
                if lowered == b"connection":
                    named = [token.strip() for token in pair[1].lower().split(b",")]
            else:
                if lowered == b"host":
                    host = pair[1]
                elif lowered == names.request_id:
                    request_id = pair[1]
                forwarded.append(pair)
        if named and named != [b"keep-alive"] and named != [b"close"]:
            forwarded = [pair for pair in forwarded if pair[0].lower() not in named]
        return ClientRequest(
            method=self.parser.get_method().decode("latin-1"),
            target=self.url.decode("latin-1"),
            host=host.decode("latin-1"),
            request_id=request_id.decode("latin-1"),
            remaining_ms=parse_milliseconds(remaining),
            head=encode_headers(forwarded),
            body=self.chunks[0] if len(self.chunks) == 1 else b"".join(self.chunks),
        )

    async def answer_queue(self) -> None:
        """Answer the queued requests in order."""
        try:
            while self.queue:
                request, is_kept = self.queue.popleft()
                answer = await self.listener.handler.handle(request)
                is_last = not is_kept or self.listener.is_closing
                self.write(answer, request.method == "HEAD", is_last)
                if is_last:
                    self.queue.clear()
                    return
                self.transport.resume_reading()
        finally:
            self.task = None
            self.changed_at = self.loop.time()

    def write(self, answer: Response, is_head: bool, is_last: bool) -> None:
        """Write an answer and close behind the last one."""
        if self.transport.is_closing():
            return
        self.transport.write(encode_response(answer, is_head=is_head, is_last=is_last))
        if is_last:
            self.is_broken = True
            self.transport.close()

    def reject(self, answer: Response) -> None:
        """Answer a request that cannot be read and close."""
        if self.is_broken:
            return
        self.is_broken = True
        if self.task is None:
            self.write(answer, False, True)
        else:
            self.transport.close()

    def sweep(self, now: float) -> None:
        """Close a connection that takes too long or is idle for too long."""
        limits = self.listener.limits
        if self.started_at is not None:
            is_late = now - self.started_at > limits.header_timeout_s
            if is_late and not self.is_head_complete and self.task is None:
                self.reject(ANSWER_TIMEOUT)
            return
        idle_s = now - self.changed_at
        if self.task is None and idle_s > limits.idle_timeout_s + IDLE_MARGIN_S:
            self.is_broken = True
            self.transport.close()

    def close_if_idle(self) -> None:
        """Close a connection on which nothing is asked or answered."""
        if self.task is None and self.started_at is None:
            self.is_broken = True
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
        self.dropped_names = CONNECTION_HEADERS | {
            names.caller,
            names.expected_upstream,
        }
        self.connections: set[ClientConnection] = set()
        self.is_closing = False
        self.server: asyncio.Server | None = None
        self.sweeper: asyncio.TimerHandle | None = None

    async def listen(self, *, address: str, port: int) -> None:
        """Start to accept connections."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: ClientConnection(listener=self), address, port, backlog=BACKLOG
        )
        self.schedule_sweep(loop.call_later)

    def schedule_sweep(self, call_later: Callable) -> None:
        """Arrange the next look at all connections."""
        self.sweeper = call_later(SWEEP_S, self.sweep)

    def sweep(self) -> None:
        """Close the connections that are over their limits."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        for connection in list(self.connections):
            connection.sweep(now)
        self.schedule_sweep(loop.call_later)

    @property
    def n_answering(self) -> int:
        """Connections on which a request is being read or answered."""
        return sum(
            connection.task is not None or connection.started_at is not None
            for connection in self.connections
        )

    def close_idle(self) -> None:
        """Close idle connections and let each answer be the last."""
        self.is_closing = True
        for connection in list(self.connections):
            connection.close_if_idle()

    def close(self) -> None:
        """Accept no more connections and drop those that remain."""
        if self.sweeper is not None:
            self.sweeper.cancel()
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
