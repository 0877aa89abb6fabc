"""Message streams between nodes."""

from foxtailway.common.lazy_import import make_getattr

# Lazy imports: a process loads only the modules that it uses.
MODULE_BY_NAME = {
    "Dialer": "foxtailway.transport.stream",
    "MeshListener": "foxtailway.transport.listener",
    "MessageCodec": "foxtailway.transport.codec",
    "MessageStream": "foxtailway.transport.stream",
    "StreamAcceptor": "foxtailway.transport.listener",
    "TcpDialer": "foxtailway.transport.stream",
    "TcpMessageStream": "foxtailway.transport.stream",
}

__all__ = sorted(MODULE_BY_NAME)
__getattr__ = make_getattr(__name__, MODULE_BY_NAME)
