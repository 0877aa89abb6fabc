"""Message streams between nodes."""

import socket
from abc import ABC, abstractmethod
from datetime import timedelta
from typing import Any

import msgpack
from expression import Error, Ok, Result
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError
from tornado.tcpclient import TCPClient

from foxtailway.common.failure import Failure, FailureKind, Step
from foxtailway.transport.codec import MessageCodec

__all__ = ["Dialer", "MessageStream", "TcpDialer", "TcpMessageStream"]

# Largest read from the socket.
READ_CHUNK_BYTES = 65_536
# Messages of the largest size that fit into the write buffer of a stream.
N_BUFFERED_MESSAGES = 4
# Largest number of items in a received array.
MAX_ARRAY_LENGTH = 65_536
# Time without an acknowledgement after which the kernel closes a connection.
TCP_USER_TIMEOUT_MS = 5_000


class MessageStream(ABC):
    """Exchange messages with one peer, in order.

    Attributes
    ----------
    peer : str
        ``address:port`` of the peer.
    n_bytes_sent, n_bytes_received : int
        Number of payload bytes sent and received.
    """

    peer: str
    n_bytes_sent: int
    n_bytes_received: int

    @abstractmethod
    async def send(self, message: object) -> Result[None, Failure]:
        """Send a message; wait until it is written to the socket.

        Returns
        -------
        Result
            A failure of kind ``CLOSED`` if the stream has ended; a part of the
            message may have been sent. With any other kind nothing was sent and
            the stream remains usable: ``TOO_LARGE`` above the maximum message
            size, ``INVALID`` for a message that cannot be encoded, and
            ``UNAVAILABLE`` if the write buffer is full because the peer is slow.
        """

    @abstractmethod
    async def receive(self) -> Result[Any, Failure]:
        """Wait for the next message.

        Returns
        -------
        Result
            The message, or a failure: step ``RECEIVE`` if the stream has ended,
            step ``DECODE`` if the received data is invalid or too large.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the stream; idempotent."""


class Dialer(ABC):
    """Open message streams to other nodes."""

    @abstractmethod
    async def dial(
        self, *, address: str, port: int, timeout_s: float
    ) -> Result[MessageStream, Failure]:
        """Connect to the mesh listener of a node.

        Parameters
        ----------
        address : str
            IP address of the node.
        port : int
            Port of the listener.
        timeout_s : float
            Longest time to connect, in seconds.

        Returns
        -------
        Result
            The stream, or a failure of step ``CONNECT``.
        """


class TcpMessageStream(MessageStream):
    """Exchange msgpack messages over a TCP connection.

    Parameters
    ----------
    stream : IOStream
        Connected stream; closed by `close`.
    codec : MessageCodec
        Codec of the messages.
    peer : str
        ``address:port`` of the peer.
    max_message_size : int
        Largest message that is sent or accepted, in bytes.
    """

    def __init__(
        self,
        *,
        stream: IOStream,
        codec: MessageCodec,
        peer: str,
        max_message_size: int,
    ) -> None:
        self.stream = stream
        self.codec = codec
        self.peer = peer
        self.n_bytes_sent = 0
        self.n_bytes_received = 0
        self.max_message_size = max_message_size
        self.unpacker = msgpack.Unpacker(
            max_buffer_size=max_message_size + READ_CHUNK_BYTES,
            max_str_len=max_message_size,
            max_bin_len=max_message_size,
            max_array_len=MAX_ARRAY_LENGTH,
            max_map_len=0,
            max_ext_len=0,
        )
        stream.max_write_buffer_size = N_BUFFERED_MESSAGES * max_message_size

    async def send(self, message: object) -> Result[None, Failure]:
        """Send a message; wait until it is written to the socket."""
        try:
            encoded = self.codec.encode(message)
        except (UnicodeEncodeError, OverflowError) as error:
            return Error(self.make_failure(Step.SEND, FailureKind.INVALID, error))
        if len(encoded) > self.max_message_size:
            error = ValueError(
                f"message of {len(encoded)} bytes is above the maximum size"
            )
            return Error(self.make_failure(Step.SEND, FailureKind.TOO_LARGE, error))
        try:
            await self.stream.write(encoded)
        except StreamBufferFullError as error:
            return Error(self.make_failure(Step.SEND, FailureKind.UNAVAILABLE, error))
        except (StreamClosedError, OSError) as error:
            return Error(self.make_failure(Step.SEND, FailureKind.CLOSED, error))
        self.n_bytes_sent += len(encoded)
        return Ok(None)

    async def receive(self) -> Result[Any, Failure]:
        """Wait for the next message."""
        while True:
            try:
                value = next(self.unpacker)
                return self.codec.unpack(value, peer=self.peer)
            except StopIteration:
                pass
            except (ValueError, msgpack.UnpackException, RecursionError) as error:
                return Error(self.make_failure(Step.DECODE, FailureKind.INVALID, error))
            n_pending = self.n_bytes_received - self.unpacker.tell()
            if n_pending > self.max_message_size:
                error = ValueError(
                    f"incomplete message of {n_pending} bytes is above the maximum size"
                )
                return Error(
                    self.make_failure(Step.DECODE, FailureKind.TOO_LARGE, error)
                )
            try:
                chunk = await self.stream.read_bytes(READ_CHUNK_BYTES, partial=True)
            except (StreamClosedError, OSError) as error:
                return Error(self.make_failure(Step.RECEIVE, FailureKind.CLOSED, error))
            self.n_bytes_received += len(chunk)
            try:
                self.unpacker.feed(chunk)
            except msgpack.BufferFull as error:
                return Error(
                    self.make_failure(Step.DECODE, FailureKind.TOO_LARGE, error)
                )

    def close(self) -> None:
        """Close the stream; idempotent."""
        self.stream.close()

    def make_failure(self, step: Step, kind: FailureKind, error: Exception) -> Failure:
        """Return a failure with the peer of this stream."""
        detail = f"{type(error).__name__}: {error}"
        return Failure(step=step, kind=kind, peer=self.peer, detail=detail)


class TcpDialer(Dialer):
    """Open message streams over TCP connections.

    Parameters
    ----------
    codec : MessageCodec
        Codec of the messages.
    max_message_size : int
        Largest message that is sent or accepted, in bytes.
    source_address : str
        Local IP address to which connections are bound.
    """

    def __init__(
        self, *, codec: MessageCodec, max_message_size: int, source_address: str
    ) -> None:
        self.codec = codec
        self.max_message_size = max_message_size
        self.source_address = source_address
        self.client = TCPClient()

    async def dial(
        self, *, address: str, port: int, timeout_s: float
    ) -> Result[MessageStream, Failure]:
        """Connect to the mesh listener of a node."""
        peer = f"{address}:{port}"
        try:
            stream = await self.client.connect(
                address,
                port,
                max_buffer_size=self.max_message_size * 2,
                source_ip=self.source_address,
                timeout=timedelta(seconds=timeout_s),
            )
        except (TimeoutError, OSError, StreamClosedError) as error:
            return Error(
                Failure(
                    step=Step.CONNECT,
                    kind=FailureKind.UNREACHABLE,
                    peer=peer,
                    detail=f"{type(error).__name__}: {error}",
                )
            )
        configure_socket(stream)
        return Ok(
            TcpMessageStream(
                stream=stream,
                codec=self.codec,
                peer=peer,
                max_message_size=self.max_message_size,
            )
        )


def configure_socket(stream: IOStream) -> None:
    """Disable Nagle's algorithm and limit the time of unacknowledged data."""
    stream.set_nodelay(True)
    stream.socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )
