"""Message streams between sidecars over TCP."""

import asyncio
import socket
from abc import ABC, abstractmethod
from collections import deque
from typing import Any

import msgpack

from foxtailway.sidecar.log import EventLog
from foxtailway.sidecar.memory_account import MemoryAccount
from foxtailway.sidecar.peer_message import PEER_MESSAGE_TYPES
from foxtailway.transport.message_schema import FieldError, MessageSchemas

__all__ = ["PeerStream", "PeerStreamHandler", "make_peer_codec"]

# Bound of one encoded message; a larger one closes the stream.
MAX_MESSAGE_BYTES = 80_000_000
# Receive buffer of an unpacker, which grows with the messages.
INITIAL_BUFFER_BYTES = 1_024
# Idle time before the first TCP keep-alive probe. A dead peer is detected within about
# three seconds.
KEEPALIVE_IDLE_S = 2
# Interval between keep-alive probes.
KEEPALIVE_INTERVAL_S = 1
# Unanswered keep-alive probes after which the connection is closed.
N_KEEPALIVE_PROBES = 2
# Time for which sent data may stay unacknowledged.
USER_TIMEOUT_MS = 3_000
# Size from which an incomplete message needs room to be received further, in bytes.
LARGE_MESSAGE_SIZE = 65_536
# Interval at which a stream that waits for room looks for it.
ROOM_CHECK_INTERVAL_S = 0.01
# Errors of bytes that are no messages. msgpack raises TypeError for a map whose key is
# an array or a map.
STREAM_ERRORS = (FieldError, msgpack.UnpackException, TypeError, ValueError)


def make_peer_codec() -> MessageSchemas:
    """Return the codec of the messages between sidecars."""
    return MessageSchemas(message_types=PEER_MESSAGE_TYPES)


class PeerStreamHandler(ABC):
    """Callbacks of a stream."""

    @abstractmethod
    def message_received(self, stream: "PeerStream", message: Any) -> None:
        """Handle one message."""

    @abstractmethod
    def stream_opened(self, stream: "PeerStream") -> None:
        """Handle a new connected stream."""

    @abstractmethod
    def stream_lost(self, stream: "PeerStream") -> None:
        """Handle the end of a stream."""


class PeerStream(asyncio.Protocol):
    """Stream of msgpack messages to and from one sidecar.

    Parameters
    ----------
    handler : PeerStreamHandler
        Receives messages and state changes of the stream.
    codec : MessageSchemas
        Codec of the messages.
    log : EventLog
        Event log.
    account : MemoryAccount or None, default=None
        Account of the memory that is held for others; None for one with default
        limits.

    Attributes
    ----------
    n_held : int
        Bytes of an incomplete message and of messages that the peer has not read, as
        far as they are in the account.
    queue : deque of bytes
        Encoded messages for which the transport has no room. Its buffer is copied as a
        whole when it grows after a part was sent.
    n_queued : int
        Bytes of these messages.
    is_writing_paused : bool
        Whether the buffer of the transport is full.
    is_waiting_for_room : bool
        Whether the stream is not read, since its next message finds no room.
    received_at : float
        Monotonic time at which data was last received, in seconds.
    unpacker : msgpack.Unpacker or None
        Holds a message of which only a part was received; None without one, since
        each takes 40 KiB and most streams are idle.
    """

    def __init__(
        self,
        *,
        handler: PeerStreamHandler,
        codec: MessageSchemas,
        log: EventLog,
        account: MemoryAccount | None = None,
    ) -> None:
        self.account = MemoryAccount() if account is None else account
        self.n_held = 0
        self.n_incomplete = 0
        self.handler = handler
        self.log = log
        self.codec = codec
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.unpacker: msgpack.Unpacker | None = None
        self.n_fed = 0
        self.is_waiting_for_room = False
        self.queue: deque[bytes] = deque()
        self.n_queued = 0
        self.is_writing_paused = False
        self.received_at = self.loop.time()
        self.peer = ""
        self.is_open = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport and enable TCP keep-alive."""
        self.transport = transport
        self.peer = "{}:{}".format(*transport.get_extra_info("peername")[:2])
        set_keepalive(transport.get_extra_info("socket"))
        self.is_open = True
        self.received_at = self.loop.time()
        self.handler.stream_opened(self)

    def data_received(self, data: bytes) -> None:
        """Decode and deliver received messages; malformed ones close the stream."""
        self.received_at = self.loop.time()
        if self.unpacker is None:
            self.unpacker = make_unpacker()
            self.n_fed = 0
        unpacker = self.unpacker
        self.n_fed += len(data)
        message_end = 0
        try:
            unpacker.feed(data)
            for packed in unpacker:
                message_end = unpacker.tell()
                self.handler.message_received(self, self.codec.build(packed))
            if message_end == self.n_fed:
                self.unpacker = None
            self.n_incomplete = 0
            if self.unpacker is not None:
                self.n_incomplete = self.n_fed - unpacker.tell()
            if self.n_incomplete or self.n_held:
                self.update_account()
                self.wait_for_room()
        except STREAM_ERRORS as error:
            self.log.write("peer_stream_malformed", peer=self.peer, error=error)
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the handler that the stream has ended."""
        self.is_open = False
        self.n_incomplete = 0
        self.queue.clear()
        self.n_queued = 0
        self.update_account()
        self.account.receivers.pop(self, None)
        self.handler.stream_lost(self)

    def wait_for_room(self) -> None:
        """Stop reading while a large incomplete message finds no room."""
        receivers = self.account.receivers
        if self.n_incomplete <= LARGE_MESSAGE_SIZE:
            receivers.pop(self, None)
            return
        receivers.setdefault(self)
        if not self.is_waiting_for_room and not self.account.may_receive(self):
            self.is_waiting_for_room = True
            self.transport.pause_reading()
            self.loop.call_later(ROOM_CHECK_INTERVAL_S, self.check_room)

    def check_room(self) -> None:
        """Read on if there is room."""
        if not self.is_open:
            return
        if self.account.may_receive(self):
            self.is_waiting_for_room = False
            self.received_at = self.loop.time()
            self.transport.resume_reading()
        else:
            self.loop.call_later(ROOM_CHECK_INTERVAL_S, self.check_room)

    def pause_writing(self) -> None:
        """Queue further messages, since the peer does not read as fast as they come."""
        self.is_writing_paused = True

    def resume_writing(self) -> None:
        """Give the next messages to the transport until its buffer is full."""
        self.is_writing_paused = False
        while self.queue and not self.is_writing_paused:
            self.write_next()
        self.update_account()

    def write_next(self) -> None:
        """Give the next queued message to the transport."""
        encoded = self.queue.popleft()
        self.n_queued -= len(encoded)
        # What is not sent at once is sliced, which copies bytes.
        self.transport.write(memoryview(encoded))

    def update_account(self) -> None:
        """Adjust the bytes that the stream holds."""
        # A receiving buffer grows to twice the size of its message.
        n_held = 2 * self.n_incomplete
        if self.transport is not None:
            n_held += self.transport.get_write_buffer_size() + self.n_queued
        if n_held != self.n_held:
            self.account.n_held += n_held - self.n_held
            self.n_held = n_held

    def send(self, message: object) -> None:
        """Send a message without blocking; no-op when the stream has ended."""
        if self.is_open:
            self.write(self.codec.encode(message))

    def write(self, encoded: bytes) -> None:
        """Send an encoded message; no-op when the stream has ended."""
        if self.is_open and not self.transport.is_closing():
            self.queue.append(encoded)
            self.n_queued += len(encoded)
            if not self.is_writing_paused:
                self.write_next()
            self.update_account()

    @property
    def is_sending(self) -> bool:
        """Whether bytes wait for the peer to read."""
        return self.n_queued > 0 or self.transport.get_write_buffer_size() > 0

    def close_after_flush(self) -> None:
        """Close the stream after the buffered data was sent; idempotent."""
        self.is_open = False
        if self.transport is not None:
            while self.queue and not self.transport.is_closing():
                self.write_next()
            self.transport.close()

    def close(self) -> None:
        """Close the stream at once and discard buffered data; idempotent."""
        self.is_open = False
        if self.transport is not None:
            self.transport.abort()


def make_unpacker() -> msgpack.Unpacker:
    """Return an unpacker for the messages of one stream."""
    return msgpack.Unpacker(
        read_size=INITIAL_BUFFER_BYTES,
        max_buffer_size=MAX_MESSAGE_BYTES,
        strict_map_key=False,
    )


def set_keepalive(sock: socket.socket) -> None:
    """Enable TCP keep-alive, so that a dead peer is detected."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    options = (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, N_KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )
    for option, value in options:
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
