"""Children that take updates without applying them, to load a real parent."""

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

__all__ = ["LightChild", "LinkTraffic"]

TIMEOUT_S = 5.0
MAX_MESSAGE_BYTES = 2_000_000
MAX_TRIES = 200
TCP_INFO_BYTES = 192
SEGMENTS_OFFSET = 136


@dataclass(frozen=True, slots=True, kw_only=True)
class LinkTraffic:
    """Hold what passed over one control stream so far.

    Parameters
    ----------
    n_messages_down, n_messages_up : int
        Messages from and to the parent.
    n_segments : int
        TCP segments in both directions, acknowledgements included.
    n_losses : int
        Times that the stream ended.
    """

    n_messages_down: int
    n_messages_up: int
    n_segments: int
    n_losses: int


class LightChild:
    """Speak a child's side of a control stream.

    Parameters
    ----------
    host : Host
        Host whose node it stands for.
    parent : Host
        Parent.
    mesh : str
        Name of the mesh.
    heartbeat_s : float
        Interval of heartbeats.
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
        self.n_past_segments = 0
        self.n_losses = 0
        self.sent_s = 0.0
        self.held: dict[BundleKind, Version] = {}

    async def start(self) -> None:
        """Connect until welcomed, then follow in the background."""
        await self.attach()
        self.task = asyncio.ensure_future(self.run())

    async def run(self) -> None:
        """Follow, and attach again when the stream ends."""
        while True:
            failure = await self.follow()
            self.n_losses += 1
            print(f"{self.host.host_id} lost its parent: {failure}", file=sys.stderr)
            self.stream.close()
            self.n_past_segments += self.n_segments
            self.n_segments = 0
            await self.attach()

    async def attach(self) -> None:
        """Connect until welcomed."""
        for _ in range(MAX_TRIES):
            retry_s = await self.connect()
            if retry_s is None:
                return
            await asyncio.sleep(retry_s)
        raise RuntimeError(f"{self.host.host_id} was not welcomed")

    async def connect(self) -> float | None:
        """Return None once welcomed, else the time to the next try."""
        dialed = await self.dialer.dial(
            address=self.parent.address,
            port=self.parent.mesh_port,
            timeout_s=TIMEOUT_S,
        )
        if dialed.is_error():
            return 1.0
        self.stream = dialed.ok
        await self.send(self.make_hello())
        answer = await self.stream.receive()
        if answer.is_error():
            return 1.0
        if isinstance(answer.ok, SubscriptionRefused):
            self.stream.close()
            return min(answer.ok.retry_after_s, 1.0)
        return None

    def make_hello(self) -> ControlHello:
        """Return the hello of a node that holds what was sent to it."""
        held = tuple(
            HeldVersion(kind=kind, version=version)
            for kind, version in self.held.items()
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
            held=held,
            staged=(),
        )

    async def send(self, message: object) -> None:
        """Send a message and count it."""
        await self.stream.send(message)
        self.n_messages_up += 1
        self.sent_s = time.monotonic()

    async def follow(self) -> Failure:
        """Take messages and answer heartbeats until the stream ends."""
        while True:
            received = await self.stream.receive()
            if received.is_error():
                return received.error
            self.n_messages_down += 1
            self.count_segments()
            if isinstance(received.ok, UpdatePart):
                self.held[received.ok.kind] = received.ok.version
            is_due = time.monotonic() - self.sent_s >= self.heartbeat_s / 2
            if isinstance(received.ok, Heartbeat) and is_due:
                await self.send(
                    Heartbeat(confirmation=Confirmation(age_ms=0, n_hops=1))
                )
            elif time.monotonic() - self.sent_s >= self.heartbeat_s:
                await self.send(
                    Heartbeat(confirmation=Confirmation(age_ms=0, n_hops=1))
                )

    def count_segments(self) -> None:
        """Read the stream's segments; see tcp(7) for the layout."""
        if self.stream.stream.closed():
            return
        info = self.stream.stream.socket.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
        )
        self.n_segments = sum(struct.unpack_from("II", info, SEGMENTS_OFFSET))

    def read_traffic(self) -> LinkTraffic:
        """Return what passed so far."""
        return LinkTraffic(
            n_messages_down=self.n_messages_down,
            n_messages_up=self.n_messages_up,
            n_segments=self.n_past_segments + self.n_segments,
            n_losses=self.n_losses,
        )

    def close(self) -> None:
        """End the stream."""
        if self.task is not None:
            self.task.cancel()
        if self.stream is not None:
            self.stream.close()
