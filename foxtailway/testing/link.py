"""Stand-in of the link between two regions.

The process forwards TCP connections with a delay and a bandwidth shared by
all of them, counts what the network would bill, and can be cut. A node in the
remote region reaches hosts of the other region through `LinkDialer`.
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

CHUNK_BYTES = 65_536
SEGMENT_BYTES = 1_448
HEADER_BYTES = 52
MAX_QUEUED_CHUNKS = 64
MAX_TARGET_BYTES = 256


class LinkMode(Enum):
    """Condition of the link."""

    OPEN = "open"
    CUT = "cut"
    SILENT = "silent"


@dataclass(slots=True, kw_only=True)
class LinkCounters:
    """Bytes billed on the link, headers and acknowledgements included."""

    control: int = 0
    calls: int = 0
    platform: int = 0
    naive: int = 0
    n_connections: int = 0


class Link:
    """Delay, pace and count the bytes of all connections.

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
        """Change the condition; a cut closes what is open."""
        self.mode = mode
        if mode is LinkMode.CUT:
            for stream in list(self.streams):
                stream.close()

    def schedule(self, n_bytes: int, *, is_outbound: bool) -> float:
        """Return the time at which a chunk arrives, in seconds of the loop."""
        now = asyncio.get_running_loop().time()
        started = max(now, self.busy_until[is_outbound])
        self.busy_until[is_outbound] = started + n_bytes / self.bytes_per_s
        return self.busy_until[is_outbound] + self.delay_s

    def count(self, label: str, n_bytes: int) -> None:
        """Bill a chunk: its segments and one acknowledgement for each."""
        n_segments = -(-n_bytes // SEGMENT_BYTES)
        billed = n_bytes + 2 * HEADER_BYTES * n_segments
        setattr(self.counters, label, getattr(self.counters, label) + billed)

    async def join(self, near: IOStream, far: IOStream, label: str) -> None:
        """Forward both directions until one end closes."""
        self.counters.n_connections += 1
        self.streams |= {near, far}
        try:
            await asyncio.gather(
                self.forward(near, far, label, is_outbound=True),
                self.forward(far, near, label, is_outbound=False),
            )
        finally:
            self.streams -= {near, far}

    async def forward(
        self, source: IOStream, target: IOStream, label: str, *, is_outbound: bool
    ) -> None:
        """Forward one direction."""
        queue: asyncio.Queue = asyncio.Queue(MAX_QUEUED_CHUNKS)
        writer = asyncio.ensure_future(deliver(queue, target))
        try:
            while True:
                chunk = await source.read_bytes(CHUNK_BYTES, partial=True)
                if self.mode is LinkMode.SILENT:
                    continue
                self.count(label, len(chunk))
                arrival = self.schedule(len(chunk), is_outbound=is_outbound)
                await queue.put((arrival, chunk))
        except StreamClosedError:
            await queue.put(None)
            await writer
        finally:
            source.close()
            target.close()


async def deliver(queue: asyncio.Queue, target: IOStream) -> None:
    """Write chunks at their time of arrival."""
    loop = asyncio.get_running_loop()
    while True:
        item = await queue.get()
        if item is None:
            return
        arrival, chunk = item
        await asyncio.sleep(max(0.0, arrival - loop.time()))
        try:
            await target.write(chunk)
        except StreamClosedError:
            return


class LinkServer(TCPServer):
    """Accept connections that cross the link.

    Parameters
    ----------
    link : Link
        Link that they cross.
    target : str
        Fixed target ``label address port``; empty when each connection sends
        a line of this form first.
    """

    def __init__(self, *, link: Link, target: str = "") -> None:
        super().__init__()
        self.link = link
        self.target = target
        self.client = TCPClient()

    async def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Connect to the target and forward."""
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
            far = await self.client.connect(host, int(port))
            far.set_nodelay(True)
        except (StreamClosedError, OSError, ValueError):
            stream.close()
            return
        await self.link.join(stream, far, label)


class LinkDialer(Dialer):
    """Reach hosts of other regions through the link.

    Parameters
    ----------
    inner : TcpDialer
        Opens connections within the region.
    is_remote : callable
        Tells whether an address lies in another region.
    link_address : str
        IP address of the link's process.
    link_port : int
        Port that takes a target line.
    label : str
        Counter that is billed: ``control`` or ``calls``.
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
        """Connect to a node's mesh listener, over the link if it is remote."""
        if not self.is_remote(address):
            return await self.inner.dial(
                address=address, port=port, timeout_s=timeout_s
            )
        dialled = await self.inner.dial(
            address=self.link_address, port=self.link_port, timeout_s=timeout_s
        )
        if dialled.is_error():
            return dialled
        stream = dialled.ok
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
        return dialled


class CountersHandler(RequestHandler):
    """Show the counters and change the mode."""

    def initialize(self, link: Link) -> None:
        """Take the link."""
        self.link = link

    def get(self) -> None:
        """Return the counters."""
        self.write(asdict(self.link.counters))

    def post(self) -> None:
        """Set the mode."""
        self.link.set_mode(LinkMode(json.loads(self.request.body)["mode"]))


async def serve() -> None:
    """Run the link until the process is ended."""
    parser = ArgumentParser(description="Stand-in of the link between regions.")
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
