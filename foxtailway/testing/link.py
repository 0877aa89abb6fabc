"""Simulation of the network link between two regions.

The process forwards TCP connections with a delay and with a bandwidth that all
connections share, counts the bytes that the network bills, and can interrupt the
link. A node reaches hosts of the other region through `LinkDialer`.
"""

import asyncio
import json
from argparse import ArgumentParser
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import asdict, dataclass
from enum import Enum

from expression import Error, Result
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer
from tornado.web import Application, RequestHandler

from foxtailway.common.failure import Failure, FailureKind, Step
from foxtailway.transport.stream import Dialer, MessageStream, TcpDialer

__all__ = ["Link", "LinkCounters", "LinkDialer", "LinkMode"]

# Largest chunk that is read at once.
CHUNK_BYTES = 65_536
# Payload of a full TCP segment with an MTU of 1500 bytes and TCP timestamps.
SEGMENT_BYTES = 1_448
# IP header, TCP header and TCP timestamps of a segment.
HEADER_BYTES = 52
# Chunks in transit in one direction of a connection; at this limit reading pauses.
MAX_QUEUED_CHUNKS = 64
# Longest line that names the target of a connection.
MAX_TARGET_BYTES = 256


class LinkMode(Enum):
    """State of the link.

    ``OPEN`` forwards bytes, ``CUT`` closes and refuses connections, ``SILENT`` keeps
    connections open but drops all bytes.
    """

    OPEN = "open"
    CUT = "cut"
    SILENT = "silent"


@dataclass(slots=True, kw_only=True)
class LinkCounters:
    """Connections, and bytes billed per label with headers and acknowledgements."""

    control: int = 0
    calls: int = 0
    platform: int = 0
    naive: int = 0
    n_connections: int = 0


class Link:
    """Link that delays, limits and counts the bytes of all connections.

    Parameters
    ----------
    delay_s : float
        One-way delay in seconds.
    bytes_per_s : float
        Bandwidth of each direction, in bytes per second.
    """

    def __init__(self, *, delay_s: float, bytes_per_s: float) -> None:
        self.delay_s = delay_s
        self.bytes_per_s = bytes_per_s
        self.mode = LinkMode.OPEN
        self.counters = LinkCounters()
        self.busy_until = {False: 0.0, True: 0.0}
        self.streams: set[IOStream] = set()

    def set_mode(self, mode: LinkMode) -> None:
        """Set the state of the link; ``CUT`` closes all connections."""
        self.mode = mode
        if mode is LinkMode.CUT:
            for stream in list(self.streams):
                stream.close()

    def schedule(self, n_bytes: int, *, is_outbound: bool) -> float:
        """Return the arrival time of a chunk on the clock of the event loop."""
        now = asyncio.get_running_loop().time()
        starts_at = max(now, self.busy_until[is_outbound])
        self.busy_until[is_outbound] = starts_at + n_bytes / self.bytes_per_s
        return self.busy_until[is_outbound] + self.delay_s

    def count(self, label: str, n_bytes: int) -> None:
        """Add the billed bytes of a chunk to a counter.

        Each segment counts with its header and with one acknowledgement.
        """
        n_segments = -(-n_bytes // SEGMENT_BYTES)
        billed = n_bytes + 2 * HEADER_BYTES * n_segments
        setattr(self.counters, label, getattr(self.counters, label) + billed)

    async def connect_streams(
        self, client: IOStream, server: IOStream, label: str
    ) -> None:
        """Forward both directions until one side closes its stream."""
        self.counters.n_connections += 1
        self.streams |= {client, server}
        try:
            await asyncio.gather(
                self.forward(client, server, label, is_outbound=True),
                self.forward(server, client, label, is_outbound=False),
            )
        finally:
            self.streams -= {client, server}

    async def forward(
        self, source: IOStream, target: IOStream, label: str, *, is_outbound: bool
    ) -> None:
        """Forward one direction until a stream closes, then close both."""
        queue: asyncio.Queue = asyncio.Queue(MAX_QUEUED_CHUNKS)
        writer = asyncio.ensure_future(write_chunks(queue, target))
        try:
            while True:
                chunk = await source.read_bytes(CHUNK_BYTES, partial=True)
                if self.mode is LinkMode.SILENT:
                    continue
                self.count(label, len(chunk))
                arrives_at = self.schedule(len(chunk), is_outbound=is_outbound)
                await queue.put((arrives_at, chunk))
        except StreamClosedError:
            await queue.put(None)
            await writer
        finally:
            source.close()
            target.close()


async def write_chunks(queue: asyncio.Queue, target: IOStream) -> None:
    """Write each chunk at its arrival time; None ends the queue."""
    loop = asyncio.get_running_loop()
    while True:
        item = await queue.get()
        if item is None:
            return
        arrives_at, chunk = item
        await asyncio.sleep(max(0.0, arrives_at - loop.time()))
        try:
            await target.write(chunk)
        except StreamClosedError:
            return


class LinkServer(TCPServer):
    """Server of the connections that cross the link.

    Parameters
    ----------
    link : Link
        Link that the connections cross.
    target : str
        Fixed target ``label address port``; empty if each connection starts with a
        line of this form.
    """

    def __init__(self, *, link: Link, target: str = "") -> None:
        super().__init__()
        self.link = link
        self.target = target
        self.client = TCPClient()

    async def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Connect to the target of a connection and forward its bytes."""
        if self.link.mode is LinkMode.CUT:
            stream.close()
            return
        try:
            target = self.target
            if not target:
                line = await stream.read_until(b"\n", max_bytes=MAX_TARGET_BYTES)
                target = line.decode().strip()
            label, host, port = target.split(" ")
            stream.set_nodelay(True)
            server_stream = await self.client.connect(host, int(port))
            server_stream.set_nodelay(True)
        except (StreamClosedError, OSError, ValueError):
            stream.close()
            return
        await self.link.connect_streams(stream, server_stream, label)


class LinkDialer(Dialer):
    """Dialer that reaches hosts of other regions through the link.

    Parameters
    ----------
    inner : TcpDialer
        Dialer of connections within the region and to the link.
    is_remote : callable
        Returns whether an address belongs to another region.
    link_address : str
        IP address of the link process.
    link_port : int
        Port of the link that expects a line with the target.
    label : str
        Counter of the billed bytes: ``control`` or ``calls``.
    """

    def __init__(
        self,
        *,
        inner: TcpDialer,
        is_remote: Callable[[str], bool],
        link_address: str,
        link_port: int,
        label: str,
    ) -> None:
        self.inner = inner
        self.is_remote = is_remote
        self.link_address = link_address
        self.link_port = link_port
        self.label = label

    async def dial(
        self, *, address: str, port: int, timeout_s: float
    ) -> Result[MessageStream, Failure]:
        """Connect to the mesh port of a node, over the link if it is remote."""
        if not self.is_remote(address):
            return await self.inner.dial(
                address=address, port=port, timeout_s=timeout_s
            )
        dialed = await self.inner.dial(
            address=self.link_address, port=self.link_port, timeout_s=timeout_s
        )
        if dialed.is_error():
            return dialed
        stream = dialed.ok
        stream.peer = f"{address}:{port}"
        line = f"{self.label} {address} {port}\n".encode()
        try:
            await stream.stream.write(line)
        except StreamClosedError as error:
            return Error(
                Failure(
                    step=Step.CONNECT,
                    kind=FailureKind.CLOSED,
                    peer=stream.peer,
                    detail=str(error),
                )
            )
        return dialed


class CountersHandler(RequestHandler):
    """Return the counters and set the state of the link."""

    def initialize(self, link: Link) -> None:
        """Set the link."""
        self.link = link

    def get(self) -> None:
        """Return the counters."""
        self.write(asdict(self.link.counters))

    def post(self) -> None:
        """Set the state of the link."""
        self.link.set_mode(LinkMode(json.loads(self.request.body)["mode"]))


async def serve() -> None:
    """Run the link until the process ends."""
    parser = ArgumentParser(
        description="Simulation of the network link between two regions."
    )
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--control-port", type=int, required=True)
    parser.add_argument("--forward", action="append", default=[])
    parser.add_argument("--delay-ms", type=float, default=10.0)
    parser.add_argument("--mbit-per-s", type=float, default=30.0)
    arguments = parser.parse_args()
    link = Link(
        delay_s=arguments.delay_ms / 1000,
        bytes_per_s=arguments.mbit_per_s * 1_000_000 / 8,
    )
    async with AsyncExitStack() as stack:
        server = LinkServer(link=link)
        server.listen(arguments.port, arguments.address)
        stack.callback(server.stop)
        for forward in arguments.forward:
            port, _, target = forward.partition("=")
            forwarder = LinkServer(link=link, target=target)
            forwarder.listen(int(port), arguments.address)
            stack.callback(forwarder.stop)
        control = HTTPServer(Application([("/", CountersHandler, {"link": link})]))
        control.listen(arguments.control_port, arguments.address)
        stack.callback(control.stop)
        await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve())
