"""Streams of messages between sidecars."""

import asyncio
import socket
from abc import ABC, abstractmethod
from typing import Any

import msgpack

from foxtailway.sidecar.log import EventLog
from foxtailway.sidecar.peer_message import PEER_MESSAGE_TYPES
from foxtailway.transport.message_schema import FieldError, MessageSchemas

__all__ = ["PeerStream", "StreamOwner", "make_peer_codec"]

MAX_MESSAGE_SIZE = 80_000_000
# Buffer of a new stream, in bytes; it grows with the messages. The default of the
# library, 16 KiB, adds up over the streams to all peers.
INITIAL_BUFFER_SIZE = 1_024
# Keep-alive probes that expose a dead peer within about three seconds.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
N_KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 3_000


def make_peer_codec() -> MessageSchemas:
    """Return the codec of the streams between sidecars."""
    return MessageSchemas(message_types=PEER_MESSAGE_TYPES)


class StreamOwner(ABC):
    """Receive what happens on a stream."""

    @abstractmethod
    def message_received(self, stream: "PeerStream", message: Any) -> None:
        """Handle one message."""

    @abstractmethod
    def stream_opened(self, stream: "PeerStream") -> None:
        """Note that the stream is connected."""

    @abstractmethod
    def stream_lost(self, stream: "PeerStream") -> None:
        """Note that the stream has ended."""


class PeerStream(asyncio.Protocol):
    """Exchange msgpack messages with one sidecar.

    Parameters
    ----------
    owner : StreamOwner
        Handles messages and the end of the stream.
    codec : MessageSchemas
        Codec of both sides.
    log : EventLog
        Receiver of events.

    Attributes
    ----------
    heard_at : float
        Loop time at which bytes last arrived, in seconds.
    """

    def __init__(
        self, *, owner: StreamOwner, codec: MessageSchemas, log: EventLog
    ) -> None:
        self.owner = owner
        self.log = log
        self.codec = codec
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.unpacker = msgpack.Unpacker(
            read_size=INITIAL_BUFFER_SIZE,
            max_buffer_size=MAX_MESSAGE_SIZE,
            strict_map_key=False,
        )
        self.heard_at = self.loop.time()
        self.peer = ""
        self.is_open = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Take over the transport."""
        self.transport = transport
        self.peer = "{}:{}".format(*transport.get_extra_info("peername")[:2])
        set_keepalive(transport.get_extra_info("socket"))
        self.is_open = True
        self.heard_at = self.loop.time()
        self.owner.stream_opened(self)

    def data_received(self, data: bytes) -> None:
        """Decode received bytes and hand on the messages."""
        self.heard_at = self.loop.time()
        try:
            self.unpacker.feed(data)
            for packed in self.unpacker:
                self.owner.message_received(self, self.codec.build(packed))
        except (FieldError, msgpack.UnpackException, ValueError) as error:
            self.log.write("peer_stream_malformed", peer=self.peer, error=error)
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the stream."""
        self.is_open = False
        self.owner.stream_lost(self)

    def send(self, message: object) -> None:
        """Send a message; nothing happens when the stream has ended."""
        if self.is_open:
            self.write(self.codec.encode(message))

    def write(self, encoded: bytes) -> None:
        """Send an encoded message; nothing happens when the stream has ended."""
        if self.is_open and not self.transport.is_closing():
            self.transport.write(encoded)

    def finish(self) -> None:
        """Close the stream behind what was sent; idempotent."""
        self.is_open = False
        if self.transport is not None:
            self.transport.close()

    def close(self) -> None:
        """Close the stream at once; idempotent."""
        self.is_open = False
        if self.transport is not None:
            self.transport.abort()


def set_keepalive(connected: socket.socket) -> None:
    """Expose a dead peer by probes of the operating system."""
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    options = (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, N_KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )
    for option, value in options:
        connected.setsockopt(socket.IPPROTO_TCP, option, value)
