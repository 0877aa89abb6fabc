"""Listener for message streams that other nodes open."""

from abc import ABC, abstractmethod

from tornado.iostream import IOStream
from tornado.tcpserver import TCPServer

from foxtailway.transport.codec import MessageCodec
from foxtailway.transport.stream import (
    MessageStream,
    TcpMessageStream,
    configure_socket,
)

__all__ = ["MeshListener", "StreamAcceptor"]


class StreamAcceptor(ABC):
    """Serve streams that other nodes opened."""

    @abstractmethod
    async def accept(self, stream: MessageStream) -> None:
        """Serve a stream until it ends; the listener then closes it."""


class MeshListener(TCPServer):
    """Accept message streams on the mesh port.

    Parameters
    ----------
    codec : MessageCodec
        Codec of the messages.
    max_message_size : int
        Largest message that is sent or accepted, in bytes.
    acceptor : StreamAcceptor
        Called with each accepted stream.
    """

    def __init__(
        self, *, codec: MessageCodec, max_message_size: int, acceptor: StreamAcceptor
    ) -> None:
        super().__init__(max_buffer_size=max_message_size * 2)
        self.codec = codec
        self.max_message_size = max_message_size
        self.acceptor = acceptor

    async def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Serve an accepted connection; called by Tornado."""
        configure_socket(stream)
        message_stream = TcpMessageStream(
            stream=stream,
            codec=self.codec,
            peer=f"{address[0]}:{address[1]}",
            max_message_size=self.max_message_size,
        )
        try:
            await self.acceptor.accept(message_stream)
        finally:
            message_stream.close()
