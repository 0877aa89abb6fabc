import asyncio
from contextlib import closing
from random import Random
from socket import socket

import msgpack

from foxtailway.distribution.message import Confirmation, Heartbeat
from foxtailway.distribution.tests.harness import make_hello
from foxtailway.node.daemon import make_codec
from foxtailway.node.tests.control_case import (
    CONVERGENCE_TIMEOUT_S,
    MESH,
    ControlFailureCase,
)
from foxtailway.testing.deployment import MESH_PORT

SEED = 7
N_RANDOM_BYTES = 65_536
READ_BYTES = 65_536
HUGE_BIN_HEADER = b"\x92\x00\xc6\xff\xff\xff\xff"
HUGE_ARRAY_HEADER = b"\xdd\xff\xff\xff\xff"
DEEP_ARRAYS = b"\x91" * 100_000


class InvalidPeerTest(ControlFailureCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.target = self.hosts[0]
        self.codec = make_codec()

    def make_hello(self, **changes: object) -> bytes:
        fields = {"mesh": MESH, "zone": self.target.zone, **changes}
        return self.codec.encode(make_hello("intruder", **fields))

    def list_payloads(self) -> dict[str, bytes]:
        """Return the invalid input that peers send after connecting, by name."""
        heartbeat = Heartbeat(confirmation=Confirmation(age_ms=None, n_hops=0))
        return {
            "random bytes": Random(SEED).randbytes(N_RANDOM_BYTES),
            "HTTP": b"GET / HTTP/1.1\r\nHost: mesh\r\n\r\n",
            "huge byte string": HUGE_BIN_HEADER + b"x" * READ_BYTES,
            "huge array": HUGE_ARRAY_HEADER + b"x" * READ_BYTES,
            "deep arrays": DEEP_ARRAYS,
            "unknown tag": msgpack.packb([99, "x"]),
            "wrong field": msgpack.packb([0, "one", 2, 3]),
            "no hello first": self.codec.encode(heartbeat),
            "wrong mesh": self.make_hello(mesh="other"),
            "wrong protocol": self.make_hello(protocol_version=99),
            "silence": b"",
            "random bytes after a hello": self.make_hello() + b"\xc1" * READ_BYTES,
            "second hello": self.make_hello() * 2,
        }

    async def send_payload(self, payload: bytes):
        """Send a payload and return when the node has closed the connection."""
        loop = asyncio.get_running_loop()
        with closing(socket()) as peer:
            peer.setblocking(False)
            await loop.sock_connect(peer, (self.target.address, MESH_PORT))
            async with asyncio.timeout(CONVERGENCE_TIMEOUT_S):
                try:
                    await loop.sock_sendall(peer, payload)
                    while await loop.sock_recv(peer, READ_BYTES):
                        pass
                except ConnectionError:
                    return

    async def count_refused(self) -> dict[str, int]:
        views = await self.fleet.view_all()
        return {
            view.host.host_id: view.status["counters"]["refused_peers"]
            for view in views
        }

    async def test_invalid_peers_are_disconnected_and_counted(self):
        for name, payload in self.list_payloads().items():
            with self.subTest(name):
                before = await self.count_refused()
                await self.send_payload(payload)
                expected = {**before, self.target.host_id: 1}
                expected[self.target.host_id] += before[self.target.host_id]
                self.assertEqual(await self.count_refused(), expected)
        await self.assert_ready(self.hosts)
        await self.publish_overlay("3s")
        await self.wait_until_newest()
        await self.assert_trails_valid()

    async def test_invalid_peers_at_once(self):
        """Concurrent streams of invalid peers must not delay other nodes.

        Peers that send nothing and peers that send invalid input are connected
        while a configuration is published.
        """
        payloads = list(self.list_payloads().values()) * 8
        sending = asyncio.gather(*map(self.send_payload, payloads))
        await self.publish_overlay("3s")
        await self.wait_until_newest()
        await self.assert_ready(self.hosts)
        await sending
        await self.publish_overlay("4s")
        await self.wait_until_newest()
        await self.assert_trails_valid()
