"""Typed message streams between nodes."""

from foxtailway.transport.codec import MessageCodec
from foxtailway.transport.listener import MeshListener, StreamAcceptor
from foxtailway.transport.stream import (
    Dialer,
    MessageStream,
    TcpDialer,
    TcpMessageStream,
)

__all__ = [
    "Dialer",
    "MeshListener",
    "MessageCodec",
    "MessageStream",
    "StreamAcceptor",
    "TcpDialer",
    "TcpMessageStream",
]
