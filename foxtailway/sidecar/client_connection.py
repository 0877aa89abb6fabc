"""Connections of clients to the sidecar: parsing and limits of their requests."""

import asyncio
import select
import socket
from ipaddress import ip_address

import httptools

from foxtailway.sidecar.body_buffer import BodyBuffer
from foxtailway.sidecar.http_message import (
    ClientRequest,
    Response,
    encode_headers,
    select_end_to_end,
)
from foxtailway.sidecar.listener_state import ListenerState
from foxtailway.sidecar.memory_account import SHORT_BODY_SIZE, MemoryShare
from foxtailway.sidecar.progress_meter import ProgressMeter
from foxtailway.sidecar.request_pipeline import (
    RESPONSE_NO_MEMORY,
    RequestPipeline,
)
from foxtailway.transport.response_limits import HeadMeter

__all__ = ["ClientConnection"]

# Margin added to the idle timeout, so that a client which observes the timeout does
# not send a request on a connection that is being closed.
IDLE_MARGIN_S = 1.0
# Time after which a new connection without a request counts as idle. The request of a
# client that has just connected is on its way.
NEW_CONNECTION_S = 0.3
# Longest pause in a request whose connection is kept while others find no room, in
# seconds.
RECEIVE_ALLOWANCE_S = 0.25
# Bytes of chunk framing and trailers allowed beside the header section of a request.
MAX_FRAMING_BYTES = 65_536
# Bytes given to the parser at once outside of a body of known size. A read may hold
# thousands of small requests, and the parser can't stop before its end.
PARSE_SIZE = 2_048
# Growth of the share of a body of unknown size, in bytes.
CHUNKED_SHARE_SIZE = 262_144
# Memory that a parsed header takes beside its bytes, in bytes.
HEADER_OVERHEAD_SIZE = 160
# Events of a connection that its peer has closed or reset.
CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
RESPONSE_BAD_REQUEST = Response(status=400)
RESPONSE_TIMEOUT = Response(status=408)
RESPONSE_BODY_TOO_LARGE = Response(status=413)
RESPONSE_HEADERS_TOO_LARGE = Response(status=431)


class ClientConnection(asyncio.BufferedProtocol):
    """Connection of one client.

    All connections of a listener read into one buffer, so that a connection holds only
    what is parsed and `unparsed`.

    Parameters
    ----------
    listener : ListenerState
        State of the listener that accepted the connection.

    Attributes
    ----------
    pipeline : RequestPipeline or None
        Requests that have been read; None before the connection is made.
    receiving_since : float or None
        Monotonic time in seconds at which the first byte of an incomplete request
        was received; None when there is no incomplete request.
    unparsed : bytes
        Received bytes that wait until earlier requests have been answered; the socket
        is not read meanwhile.
    share : MemoryShare or None
        Share of the body that is being received; None for a short one.
    receiving : ProgressMeter
        Progress of the request that is being received.
    is_from_host : bool
        Whether the client is on this host.
    """

    def __init__(self, *, listener: ListenerState) -> None:
        self.listener = listener
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.pipeline: RequestPipeline | None = None
        self.n_header_bytes = 0
        self.meter = HeadMeter()
        self.n_requests_read = 0
        self.receiving_since: float | None = None
        self.receiving = ProgressMeter(allowance_s=RECEIVE_ALLOWANCE_S)
        self.unparsed = b""
        self.n_incomplete = 0
        self.share: MemoryShare | None = None
        self.is_from_host = False
        self.reset_message()

    def reset_message(self) -> None:
        """Discard the state of the request that is being parsed."""
        self.url = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.n_decoded_bytes = 0
        self.body: BodyBuffer | None = None
        self.body_size: int | None = None
        self.is_header_complete = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport and register the connection."""
        self.transport = transport
        self.is_from_host = is_from_host(
            transport.get_extra_info("peername"), transport.get_extra_info("sockname")
        )
        self.pipeline = RequestPipeline(
            listener=self.listener, transport=transport, on_room=self.continue_reading
        )
        self.listener.add_connection(self)

    def start_reading(self) -> None:
        """Read a connection that has waited; it counts as new from now on."""
        self.pipeline.idle_since = self.loop.time()
        self.transport.resume_reading()

    def abort(self) -> None:
        """Close the connection at once; what it holds is given back soon after."""
        self.pipeline.is_ended = True
        self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests in progress and discard those that wait."""
        self.listener.discard_connection(self)
        self.pipeline.is_ended = True
        self.pipeline.discard_requests()
        self.pipeline.close_write_share()
        self.discard_received()

    def pause_writing(self) -> None:
        """Start no further requests until the client has read its responses."""
        self.pipeline.set_writing_paused(True)

    def resume_writing(self) -> None:
        """Write and start what waited for the client to read."""
        self.pipeline.set_writing_paused(False)
        self.pipeline.update_write_share()

    def eof_received(self) -> bool:
        """Close the connection; a half-closed client counts as disconnected."""
        return False

    def get_buffer(self, sizehint: int) -> bytearray | memoryview:
        """Return the buffer of the listener, which is parsed after each read.

        While memory is scarce, a read takes little beyond the first request.
        """
        if self.listener.account.is_scarce and not self.count_missing():
            return self.listener.read_view[:PARSE_SIZE]
        return self.listener.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the bytes that were read."""
        if not self.pipeline.is_ended:
            self.receive(self.listener.read_view[:nbytes])

    def receive(self, data: memoryview) -> None:
        """Parse received bytes until they end or too many requests wait."""
        now = self.loop.time()
        min_rate = self.listener.account.limits.min_rate
        if self.receiving_since is None:
            self.receiving_since = now
            self.receiving.restart(min_rate, now)
        n_bytes = len(data)
        self.receiving.record(n_bytes, min_rate, now)
        if n_bytes <= PARSE_SIZE:
            self.parse(data)
        else:
            start = 0
            while start < n_bytes and not self.pipeline.is_ended:
                if self.pipeline.is_full:
                    self.unparsed = bytes(data[start:])
                    break
                end = start + max(PARSE_SIZE, self.count_missing())
                self.parse(data[start:end])
                start = end
        if self.receiving_since is not None or self.n_incomplete:
            self.hold_incomplete()

    def count_missing(self) -> int:
        """Return the number of bytes that a body of known size lacks, or 0."""
        if self.body is None or self.body_size is None:
            return 0
        return self.body_size - self.body.n_bytes

    def continue_reading(self) -> None:
        """Parse the bytes that waited and read further ones."""
        if self.unparsed:
            data = memoryview(self.unparsed)
            self.unparsed = b""
            self.receive(data)
        if not self.unparsed and not self.pipeline.is_full:
            min_rate = self.listener.account.limits.min_rate
            self.receiving.restart(min_rate, self.loop.time())
            self.transport.resume_reading()

    def hold_incomplete(self) -> None:
        """Count an incomplete request in the account; reject it if that is exhausted.

        A body with a share is counted there. A request that follows others is not read
        on while memory is scarce.
        """
        n_bytes = len(self.unparsed)
        if self.receiving_since is not None:
            n_bytes += self.n_decoded_bytes + len(self.url)
            n_bytes += HEADER_OVERHEAD_SIZE * len(self.headers)
            if self.body is not None and self.share is None:
                n_bytes += self.body.n_bytes
        account = self.listener.account
        account.n_held += n_bytes - self.n_incomplete
        is_growing = n_bytes > self.n_incomplete
        self.n_incomplete = n_bytes
        if self.pipeline.is_full:
            self.transport.pause_reading()
        elif is_growing and not self.pipeline.requests and account.is_exhausted:
            self.refuse()

    def discard_received(self) -> None:
        """Discard an incomplete request and give its memory back."""
        self.listener.account.n_held -= self.n_incomplete
        self.n_incomplete = 0
        self.receiving_since = None
        self.unparsed = b""
        self.reset_message()
        if self.share is not None:
            self.share.release()
            self.share = None

    def refuse(self) -> None:
        """Refuse the request that is being received for lack of memory."""
        self.listener.account.count("n_refused")
        self.reject(RESPONSE_NO_MEMORY)

    def evict_body(self) -> None:
        """End a request whose body makes no progress while others need its memory."""
        self.reject(RESPONSE_TIMEOUT)

    def reject(self, response: Response) -> None:
        """Respond to a request that is not accepted, discard it and what follows."""
        self.pipeline.reject(response)
        self.discard_received()

    def parse(self, data: memoryview) -> None:
        """Parse received bytes; respond with 400 or 431 to invalid ones."""
        n_requests_read = self.n_requests_read
        self.meter.n_received += len(data)
        try:
            self.feed_parser(data)
        except httptools.HttpParserError:
            self.reject(RESPONSE_BAD_REQUEST)
        if not self.is_header_complete and self.n_requests_read == n_requests_read:
            self.n_header_bytes += len(data)
            if self.n_header_bytes > self.listener.limits.max_header_size:
                self.reject(RESPONSE_HEADERS_TOO_LARGE)
        elif self.meter.is_exceeded(
            self.listener.limits.max_header_size + MAX_FRAMING_BYTES
        ):
            self.reject(RESPONSE_HEADERS_TOO_LARGE)

    def feed_parser(self, data: memoryview) -> None:
        """Give bytes to the parser; raise `HttpParserError` if they are invalid.

        The parser stops behind a request to change the protocol. That is never done, so
        that the next bytes belong to another request.
        """
        while data:
            try:
                self.parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as upgrade:
                data = data[upgrade.args[0] :]

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
            self.n_decoded_bytes += len(name) + len(value) + 4

    def on_headers_complete(self) -> None:
        """Check the size of the header section (parser callback)."""
        self.is_header_complete = True
        if self.n_decoded_bytes > self.listener.limits.max_header_size:
            self.reject(RESPONSE_HEADERS_TOO_LARGE)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body after checks of its size (parser callback)."""
        if self.pipeline.is_ended:
            return
        self.meter.n_body += len(body)
        if self.body is None:
            self.body_size = find_body_size(self.headers)
            self.body = BodyBuffer(size=self.body_size)
        n_bytes = self.body.n_bytes + len(body)
        if max(n_bytes, self.body_size or 0) > self.listener.limits.max_body_size:
            self.reject(RESPONSE_BODY_TOO_LARGE)
        elif not self.reserve_body(n_bytes):
            self.refuse()
        else:
            self.body.append(body)
            if self.share is not None:
                self.share.record_received(len(body))

    def reserve_body(self, n_bytes: int) -> bool:
        """Return whether the account has room for the body; `n_bytes` of it are here.

        The whole size is reserved at the first part. A body of unknown size reserves
        as it grows.
        """
        share = self.share
        if share is None:
            if max(n_bytes, self.body_size or 0) <= SHORT_BODY_SIZE:
                return True
            share = self.share = self.listener.account.open_share(self.evict_body)
        if n_bytes <= share.n_reserved:
            return True
        size = self.body_size or max(n_bytes, share.n_reserved + CHUNKED_SHARE_SIZE)
        return share.try_reserve(size - share.n_reserved)

    def on_message_complete(self) -> None:
        """Queue the request and start its processing (parser callback)."""
        if self.pipeline.is_ended:
            return
        self.receiving_since = None
        self.n_header_bytes = 0
        self.meter.reset()
        self.n_requests_read += 1
        self.is_header_complete = False
        share, self.share = self.share, None
        self.pipeline.append(
            self.build_request(),
            is_keep_alive=self.parser.should_keep_alive(),
            share=share,
        )

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
            body=b"" if self.body is None else self.body.finish(),
            is_from_host=self.is_from_host,
        )

    def close_expired(self, now: float) -> None:
        """Close the connection if a timeout has expired or its client has left."""
        limits = self.listener.limits
        if self.pipeline.write_share is not None:
            self.pipeline.update_write_share()
        if self.pipeline.requests and not self.transport.is_reading():
            self.close_if_client_left()
        if self.receiving_since is not None:
            is_late = now - self.receiving_since > limits.header_timeout_s
            if is_late and not self.is_header_complete and not self.pipeline.requests:
                self.reject(RESPONSE_TIMEOUT)
            return
        idle_s = now - self.pipeline.idle_since
        if (
            not self.pipeline.requests
            and idle_s > limits.idle_timeout_s + IDLE_MARGIN_S
        ):
            self.pipeline.is_ended = True
            self.transport.close()

    def close_if_client_left(self) -> None:
        """Close the connection if its client did, which is not seen without reading."""
        if is_closed_by_peer(self.transport.get_extra_info("socket")):
            self.abort()

    def compute_stale_time(self, now: float) -> float | None:
        """Return for how long the connection has been of no use, or None if it is.

        That is so while it is idle, and while its client sends a request or reads a
        response too slowly, also if further requests wait behind that response. A
        connection is of use while requests run and their client reads. The time is in
        seconds.
        """
        pipeline = self.pipeline
        if pipeline.is_sending:
            pipeline.update_write_share()
            return pipeline.reading.get_stalled_s(now) or None
        if pipeline.requests:
            return None
        if self.receiving_since is not None:
            return self.receiving.get_stalled_s(now) or None
        return None if self.is_active else now - pipeline.idle_since

    @property
    def is_active(self) -> bool:
        """Whether a request is received, processed, answered or probably on its way.

        A request is in progress until the last byte of its response has left the
        process, also after the connection was closed for further requests.
        """
        if self.pipeline.requests or self.receiving_since is not None:
            return True
        if self.is_sending:
            return True
        age_s = self.loop.time() - self.pipeline.idle_since
        return not self.n_requests_read and age_s < NEW_CONNECTION_S

    @property
    def is_sending(self) -> bool:
        """Whether bytes of a response wait for the client to read."""
        return self.pipeline.is_sending

    def close_if_idle(self) -> None:
        """Close the connection unless it is active."""
        if not self.is_active:
            self.pipeline.is_ended = True
            self.transport.close()


def is_closed_by_peer(sock: socket.socket) -> bool:
    """Return whether the peer has closed a connection, also behind unread bytes."""
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLRDHUP)
    return any(events & CLOSED_EVENTS for _, events in poller.poll(0))


def find_body_size(headers: list[tuple[bytes, bytes]]) -> int | None:
    """Return the size that a request states for its body, or None.

    The parser has checked the value.
    """
    for name, value in headers:
        if name.lower() == b"content-length":
            return int(value)
    return None


def is_from_host(peer: tuple[str, int] | None, local: tuple[str, int] | None) -> bool:
    """Return whether the peer of a connection is on this host.

    Parameters
    ----------
    peer, local : tuple of str and int, or None
        Address and port of both ends; None if unknown.

    Examples
    --------
    >>> is_from_host(("10.2.0.16", 40312), ("10.2.0.16", 15001))
    True
    >>> is_from_host(("10.2.0.17", 40312), ("10.2.0.16", 15001))
    False
    """
    if not peer or not local:
        return False
    return peer[0] == local[0] or ip_address(peer[0]).is_loopback


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
