from foxtailway.model.bundle import BundleKind
from foxtailway.node.tests.control_case import (
    N_READERS,
    REMOTE_REGION,
    STALE_S,
    START_S,
    STORE_REGION,
    TARGET_S,
    ControlFailureCase,
)

WATCHES_PER_STALE = 3


class HerdTest(ControlFailureCase):
    services = ("catalogue", "payments", "holds", "lookups", "exports", "reports")

    async def test_fleet_returns_at_once(self):
        """Kill every node, start all at once and count the platform's calls."""
        await self.edit("3s")
        await self.wait_newest()
        await self.keep_trails(self.hosts)
        self.kill(self.hosts)
        before = await self.count_platform_calls()
        loop = self.fleet.client.io_loop
        started_s = loop.time()
        self.restart(self.hosts)
        await self.fleet.wait_until(
            self.is_listening, timeout_s=START_S, description="admin ports"
        )
        await self.fleet.wait_ready(timeout_s=TARGET_S)
        await self.wait_newest()
        n_calls = await self.count_platform_calls() - before
        self.assertLessEqual(n_calls, self.find_budget(loop.time() - started_s))
        await self.assert_sound()

    async def is_listening(self) -> bool:
        return all(view.status for view in await self.fleet.view_all())

    def find_budget(self, elapsed_s: float) -> float:
        """Return the calls of the nodes that may read, whatever the fleet's size.

        Until a node knows the host list, the first seeds of each region read,
        and after that the readers, which may be others. Each of them lists and
        reads everything, the base file once more for the generation of the
        host list, and then watches.
        """
        n_regions = len({STORE_REGION, REMOTE_REGION})
        n_reading = (n_regions + 1) * N_READERS
        self.assertGreater(len(self.hosts), 2 * n_reading)
        n_collected = len(self.sample.list_values()) + len(BundleKind) + 1
        n_watches = len(BundleKind) * (1 + elapsed_s * WATCHES_PER_STALE / STALE_S)
        return n_reading * (n_collected + n_watches)
