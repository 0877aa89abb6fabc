import asyncio
from contextlib import closing
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

import msgpack

from foxtailway.platform import store as store_module
from foxtailway.platform.store import StoreClient, StoreError
from foxtailway.sidecar.settings import Endpoint
from foxtailway.sidecar.tests.support import LONG_TIMEOUT_S
from foxtailway.testing.faulty_upstream import FAULTS, FaultyUpstream

SILENCE_S = 0.2
# Largest response, and what the buffers of two sockets may hold besides.
MAX_ENDLESS_BYTES = 24_000_000
BODY = msgpack.packb({"items": [], "store_revision": 7, "has_more": False})


class SlowStore:
    """Store whose link passes on a few bytes at a time.

    Parameters
    ----------
    pause_s : float
        Time between two parts of a response, in seconds.
    padding : int
        Bytes of a header that makes the response longer.
    """

    def __init__(self, *, pause_s: float, padding: int) -> None:
        self.pause_s = pause_s
        self.padding = padding

    async def start(self) -> Endpoint:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return Endpoint(
            address="127.0.0.1", port=self.server.sockets[0].getsockname()[1]
        )

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with closing(writer):
            await self.respond(reader, writer)

    async def respond(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        head = b"HTTP/1.1 200 OK\r\nX-Padding: %b\r\nContent-Length: %d\r\n\r\n"
        response = head % (b"x" * self.padding, len(BODY)) + BODY
        size = len(response) // 10
        for start in range(0, len(response), size):
            await asyncio.sleep(self.pause_s)
            writer.write(response[start : start + size])


class StoreTransferTest(IsolatedAsyncioTestCase):
    async def list_from(self, store: SlowStore):
        client = StoreClient(endpoint=await store.start())
        self.addCleanup(store.server.close)
        self.addCleanup(client.close)
        with patch.object(store_module, "READ_TIMEOUT_S", SILENCE_S):
            return await client.list_page("", "")

    async def test_long_transfer_on_a_narrow_link_is_not_given_up(self) -> None:
        """A large configuration must get through although it takes long."""
        page = await self.list_from(SlowStore(pause_s=0.3 * SILENCE_S, padding=500))
        self.assertEqual(page.revision, 7)

    async def test_silent_store_fails_the_call(self) -> None:
        with self.assertRaises(StoreError) as caught:
            await self.list_from(SlowStore(pause_s=60.0, padding=0))
        self.assertEqual(caught.exception.step, "kv-range")

    async def test_trickled_response_ends(self) -> None:
        with (
            patch.object(store_module, "TRANSFER_TIMEOUT_S", SILENCE_S),
            self.assertRaises(StoreError),
        ):
            await self.list_from(SlowStore(pause_s=0.9 * SILENCE_S, padding=500))

    async def test_bytes_without_end_end_the_call(self) -> None:
        """A faulty server filled the memory of its caller, as operators reported."""
        for name, fault in FAULTS.items():
            if not name.startswith("endless-"):
                continue
            with self.subTest(name):
                async with FaultyUpstream(fault=fault) as server:
                    endpoint = Endpoint(address="127.0.0.1", port=server.port)
                    client = StoreClient(endpoint=endpoint)
                    async with asyncio.timeout(LONG_TIMEOUT_S):
                        with self.assertRaises(StoreError):
                            await client.list_page("", "")
                    # The bytes that were sent filled the buffers of the sockets.
                    self.assertLess(server.n_endless_bytes, MAX_ENDLESS_BYTES)
