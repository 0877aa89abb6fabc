"""Loopback proxy that delays, resets, silences or cuts connections."""

import asyncio
from contextlib import suppress

__all__ = ["LoopbackProxy"]

# Bytes that are read at once.
CHUNK_SIZE_BYTES = 65_536


class LoopbackProxy:
    """Proxy from one address to another.

    Parameters
    ----------
    address, port : str, int
        Where the proxy listens.
    target : tuple of str and int
        Address and port to which it connects.

    Attributes
    ----------
    delay_s : float
        Delay of each chunk, in seconds.
    drops_requests, drops_responses : bool
        Whether the bytes of one direction vanish; both for a silent link.
    is_refusing : bool
        Whether new connections are closed at once.
    """

    def __init__(self, *, address: str, port: int, target: tuple[str, int]) -> None:
        self.address = address
        self.port = port
        self.target = target
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.restore()

    def restore(self) -> None:
        """Forward all bytes at once again."""
        self.delay_s = 0.0
        self.drops_requests = False
        self.drops_responses = False
        self.is_refusing = False

    async def start(self) -> None:
        """Start to accept connections."""
        self.server = await asyncio.start_server(self.serve, self.address, self.port)

    def close(self) -> None:
        """Stop accepting connections and reset those that are open."""
        if self.server is not None:
            self.server.close()
        self.reset()

    def reset(self) -> None:
        """Abort all connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection."""
        if self.is_refusing:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, target_writer}
        self.writers |= pair
        try:
            await asyncio.gather(
                self.forward(reader, target_writer, is_request=True),
                self.forward(target_reader, writer, is_request=False),
            )
        finally:
            self.writers -= pair

    async def forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_request: bool,
    ) -> None:
        """Forward one direction until it ends, then close the other side."""
        with suppress(OSError):
            while chunk := await reader.read(CHUNK_SIZE_BYTES):
                if self.drops_requests if is_request else self.drops_responses:
                    continue
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                writer.write(chunk)
                await writer.drain()
        writer.close()
