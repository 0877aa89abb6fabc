"""Children that receive updates without applying them, to load a parent node."""

import asyncio
import socket
import struct
import sys
import time
from dataclasses import dataclass

from foxtailway.common import Failure
from foxtailway.distribution.message import (
    PROTOCOL_VERSION,
    Confirmation,
    ControlHello,
    Heartbeat,
    HeldVersion,
    Purpose,
    SubscriptionRefused,
    UpdatePart,
)
from foxtailway.model import BundleKind, Host, Version
from foxtailway.node.daemon import make_codec
from foxtailway.transport import TcpDialer

__all__ = ["LightChild", "StreamTraffic"]

# Timeout of a connection attempt.
TIMEOUT_S = 5.0
# Largest message in either direction.
MAX_MESSAGE_BYTES = 2_000_000
# Connection attempts until a parent must have acknowledged the hello.
MAX_ATTEMPTS = 200
# Number of bytes of TCP_INFO that are read.
TCP_INFO_BYTES = 192
# Byte offset of the counters of sent and received segments in TCP_INFO.
SEGMENTS_OFFSET = 136


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamTraffic:
    """Traffic of one child with its parent since the start.

    Parameters
    ----------
    n_messages_down, n_messages_up : int
        Messages from the parent and messages to it.
    n_segments : int
        TCP segments in both directions, acknowledgements included.
    n_losses : int
        Number of times that the stream closed.
    """

    n_messages_down: int
    n_messages_up: int
    n_segments: int
    n_losses: int


class LightChild:
    """Child side of a control stream.

    Parameters
    ----------
    host : Host
        Host whose node is simulated.
    parent : Host
        Host of the parent.
    mesh : str
        Name of the mesh.
    heartbeat_s : float
        Interval of heartbeats, in seconds.
    """

    def __init__(
        self, *, host: Host, parent: Host, mesh: str, heartbeat_s: float
    ) -> None:
        self.host = host
        self.parent = parent
        self.mesh = mesh
        self.heartbeat_s = heartbeat_s
        self.dialer = TcpDialer(
            codec=make_codec(),
            max_message_size=MAX_MESSAGE_BYTES,
            source_address=host.address,
        )
        self.stream = None
        self.task: asyncio.Task | None = None
        self.n_messages_down = 0
        self.n_messages_up = 0
        self.n_segments = 0
        self.n_closed_segments = 0
        self.n_losses = 0
        self.sent_at = 0.0
        self.held_versions: dict[BundleKind, Version] = {}

    async def start(self) -> None:
        """Connect to the parent, then receive updates in a background task."""
        await self.connect_with_retries()
        self.task = asyncio.ensure_future(self.run())

    async def run(self) -> None:
        """Receive updates, and reconnect when the stream closes."""
        while True:
            failure = await self.receive_updates()
            self.n_losses += 1
            print(
                f"{self.host.host_id} lost the stream to its parent: {failure}",
                file=sys.stderr,
            )
            self.stream.close()
            self.n_closed_segments += self.n_segments
            self.n_segments = 0
            await self.connect_with_retries()

    async def connect_with_retries(self) -> None:
        """Connect, with retries until the parent acknowledges the hello.

        Raises
        ------
        RuntimeError
            If no attempt succeeds.
        """
        for _ in range(MAX_ATTEMPTS):
            retry_delay_s = await self.connect()
            if retry_delay_s is None:
                return
            await asyncio.sleep(retry_delay_s)
        raise RuntimeError(f"{self.host.host_id} received no hello acknowledgement")

    async def connect(self) -> float | None:
        """Make one connection attempt.

        Returns
        -------
        float or None
            Delay before the next attempt, in seconds; None if the parent
            acknowledged the hello.
        """
        dialed = await self.dialer.dial(
            address=self.parent.address,
            port=self.parent.mesh_port,
            timeout_s=TIMEOUT_S,
        )
        if dialed.is_error():
            return 1.0
        self.stream = dialed.ok
        await self.send(self.make_hello())
        response = await self.stream.receive()
        if response.is_error():
            return 1.0
        if isinstance(response.ok, SubscriptionRefused):
            self.stream.close()
            return min(response.ok.retry_after_s, 1.0)
        return None

    def make_hello(self) -> ControlHello:
        """Return the hello of a node that holds the received versions."""
        held_versions = tuple(
            HeldVersion(kind=kind, version=version)
            for kind, version in self.held_versions.items()
        )
        return ControlHello(
            protocol_version=PROTOCOL_VERSION,
            mesh=self.mesh,
            host_id=self.host.host_id,
            zone=self.host.zone,
            address=self.host.address,
            port=self.host.mesh_port,
            purpose=Purpose.SUBSCRIBE,
            is_relay=True,
            is_preferred=True,
            held=held_versions,
            staged=(),
        )

    async def send(self, message: object) -> None:
        """Send a message and count it."""
        await self.stream.send(message)
        self.n_messages_up += 1
        self.sent_at = time.monotonic()

    async def receive_updates(self) -> Failure:
        """Receive messages and respond to heartbeats until the stream closes.

        Returns
        -------
        Failure
            Failure that closed the stream.
        """
        while True:
            received = await self.stream.receive()
            if received.is_error():
                return received.error
            self.n_messages_down += 1
            self.count_segments()
            if isinstance(received.ok, UpdatePart):
                self.held_versions[received.ok.kind] = received.ok.version
            is_heartbeat_due = time.monotonic() - self.sent_at >= self.heartbeat_s / 2
            if isinstance(received.ok, Heartbeat) and is_heartbeat_due:
                await self.send(
                    Heartbeat(confirmation=Confirmation(age_ms=0, n_hops=1))
                )
            elif time.monotonic() - self.sent_at >= self.heartbeat_s:
                await self.send(
                    Heartbeat(confirmation=Confirmation(age_ms=0, n_hops=1))
                )

    def count_segments(self) -> None:
        """Read the number of TCP segments; see tcp(7) for the layout of TCP_INFO."""
        if self.stream.stream.closed():
            return
        info = self.stream.stream.socket.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
        )
        self.n_segments = sum(struct.unpack_from("II", info, SEGMENTS_OFFSET))

    def read_traffic(self) -> StreamTraffic:
        """Return the traffic since the start."""
        return StreamTraffic(
            n_messages_down=self.n_messages_down,
            n_messages_up=self.n_messages_up,
            n_segments=self.n_closed_segments + self.n_segments,
            n_losses=self.n_losses,
        )

    def close(self) -> None:
        """Close the stream and stop the background task."""
        if self.task is not None:
            self.task.cancel()
        if self.stream is not None:
            self.stream.close()
