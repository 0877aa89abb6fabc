import asyncio
from collections.abc import Awaitable, Iterable

from zstandard import ZstdCompressor

from foxtailway.node.tests.control_case import (
    REMOTE_REGION,
    SILENCE_S,
    STALE_S,
    STORE_REGION,
    ControlFailureCase,
)
from foxtailway.testing.deployment import LINK_NAIVE_PORT, HostPlan

# Compression level for the size of the base file: the strongest standard one.
BEST_LEVEL = 19
# Configurations that are published during a partition.
N_CUT_EDITS = 3


class PartitionTest(ControlFailureCase):
    has_upstreams = True
    n_routes = 300

    async def asyncSetUp(self):
        await super().asyncSetUp()
        deployment = self.fleet.deployment
        self.near = deployment.list_region(STORE_REGION)
        self.remote = deployment.list_region(REMOTE_REGION)

    async def test_cut_link(self):
        await self.partition_and_restore("cut")

    async def test_silent_link(self):
        await self.partition_and_restore("silent")

    async def partition_and_restore(self, mode: str):
        """Publish during a partition and check that the newest version prevails.

        During the partition, nodes in the other region keep their version and
        serve calls; afterwards all nodes apply the newest version.
        """
        views = await self.view(self.remote)
        known = {view.status["config_version"] for view in views}
        await self.fleet.set_link_mode(mode)
        for index in range(N_CUT_EDITS):
            await self.publish_overlay(f"{3 + index}s")
            await self.wait_until_newest(self.near)
        await asyncio.sleep(STALE_S + SILENCE_S)
        views = await self.view(self.remote)
        self.assertEqual({view.status["config_version"] for view in views}, known)
        await self.assert_ready(self.hosts)
        await self.assert_calls_succeed(self.remote)
        await self.assert_link_bytes(self.fleet.set_link_mode("open"))
        await self.assert_link_bytes(self.publish_overlay("7s"))
        await self.assert_trails_valid()

    async def assert_link_bytes(self, action: Awaitable):
        """Assert that an action costs less than full copies over the link.

        Control traffic must be smaller than one compressed base file, and all
        traffic smaller than one full copy for each remote host.
        """
        before = await self.fleet.read_link_counters()
        await action
        await self.wait_until_newest()
        await asyncio.sleep(SILENCE_S)
        after = await self.fleet.read_link_counters()
        whole = ZstdCompressor(level=BEST_LEVEL).compress(self.sample.render_base())
        self.assertLess(after["control"] - before["control"], len(whole))
        n_bytes = sum(after[key] - before[key] for key in ("control", "platform"))
        self.assertLess(n_bytes, len(self.remote) * await self.count_full_copy_bytes())

    async def count_full_copy_bytes(self) -> int:
        """Return the billed bytes of reading one full copy over the link."""
        address = self.fleet.deployment.platform_address
        url = f"http://{address}:{LINK_NAIVE_PORT}"
        before = await self.fleet.read_link_counters()
        for key in self.sample.list_values():
            await self.fleet.client.fetch(f"{url}/v1/values/{key}")
        after = await self.fleet.read_link_counters()
        return after["naive"] - before["naive"]

    async def assert_calls_succeed(self, hosts: Iterable[HostPlan]):
        """Assert that calls of every service through every host succeed."""
        urls = [
            f"{host.client_url}/{service}/0"
            for host in hosts
            for service in self.services
        ]
        client = self.fleet.client
        responses = await asyncio.gather(
            *(client.fetch(url, raise_error=False) for url in urls)
        )
        codes = {response.effective_url: response.code for response in responses}
        self.assertEqual(codes, dict.fromkeys(urls, 200))
