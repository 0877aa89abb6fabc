"""Faults of servers that operators of similar systems reported."""

import asyncio
import resource
from unittest import IsolatedAsyncioTestCase

from foxtailway.cli.admin_client import AdminAddress, AdminClient
from foxtailway.settings.model import PlatformSettings
from foxtailway.source.http_reader import HttpSourceReader
from foxtailway.testing.faulty_upstream import FAULTS, FaultyUpstream

ADDRESS = "127.0.0.1"
# Timeout of a call, which the bounds of the response end long before.
TIMEOUT_S = 30.0
# Largest growth of the resident memory while bytes without end arrive: a response of
# the largest size, copied once.
MAX_GROWTH_KB = 48_000
ENDLESS_FAULTS = tuple(name for name in FAULTS if name.startswith("endless-"))


class ReportedFaultTest(IsolatedAsyncioTestCase):
    """A server that sent bytes without end kept its client busy until the timeout."""

    def make_reader(self, port: int) -> HttpSourceReader:
        settings = PlatformSettings(
            url=f"http://{ADDRESS}:{port}",
            store_region="east",
            watch_s=1.0,
            timeout_s=TIMEOUT_S,
            calls_per_s=1.0,
        )
        reader = HttpSourceReader(settings=settings)
        self.addCleanup(reader.close)
        return reader

    async def test_bytes_without_end_from_the_platform_end_the_call(self) -> None:
        for name in ENDLESS_FAULTS:
            with self.subTest(name):
                async with FaultyUpstream(fault=FAULTS[name]) as server:
                    reader = self.make_reader(server.port)
                    await self.check_bounded(reader.read_value(key="base"))

    async def test_bytes_without_end_from_an_admin_port_end_the_command(self) -> None:
        for name in ENDLESS_FAULTS:
            with self.subTest(name):
                async with FaultyUpstream(fault=FAULTS[name]) as server:
                    client = AdminClient(timeout_s=TIMEOUT_S)
                    self.addCleanup(client.close)
                    address = AdminAddress(host=ADDRESS, port=server.port)
                    await self.check_bounded(client.fetch(address, "/status"))

    async def check_bounded(self, call) -> None:
        """Check that a call fails, before its timeout and in little memory."""
        before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        async with asyncio.timeout(TIMEOUT_S / 2):
            result = await call
        peak_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        self.assertTrue(result.is_error(), result)
        self.assertLess(peak_kb - before_kb, MAX_GROWTH_KB)
