from foxtailway.model.bundle import BundleKind
from foxtailway.node.tests.control_case import (
    CONVERGENCE_TIMEOUT_S,
    N_READERS,
    REMOTE_REGION,
    STALE_S,
    START_TIMEOUT_S,
    STORE_REGION,
    ControlFailureCase,
)

# Watch calls of a reader for one kind in a period of `STALE_S`.
WATCHES_PER_STALE = 3


class MassRestartTest(ControlFailureCase):
    services = ("catalogue", "payments", "holds", "lookups", "exports", "reports")

    async def test_whole_fleet_restarts_at_once(self):
        """A simultaneous restart of all nodes must not overload the platform.

        All nodes are killed and started at once, and the calls that the platform
        receives must not depend on the size of the fleet.
        """
        await self.publish_overlay("3s")
        await self.wait_until_newest()
        await self.save_trails(self.hosts)
        self.kill(self.hosts)
        before = await self.count_platform_calls()
        loop = self.fleet.client.io_loop
        started_s = loop.time()
        self.restart(self.hosts)
        await self.fleet.wait_until(
            self.is_listening, timeout_s=START_TIMEOUT_S, description="admin ports"
        )
        await self.fleet.wait_ready(timeout_s=CONVERGENCE_TIMEOUT_S)
        await self.wait_until_newest()
        n_calls = await self.count_platform_calls() - before
        self.assertLessEqual(n_calls, self.compute_max_calls(loop.time() - started_s))
        await self.assert_trails_valid()

    async def is_listening(self) -> bool:
        return all(view.status for view in await self.fleet.view_all())

    def compute_max_calls(self, elapsed_s: float) -> float:
        """Return the maximum number of platform calls, for any size of the fleet.

        Before a node knows the host list, the first seeds of each region read
        the platform, and afterwards the readers, which may be other hosts. Each
        of them lists and reads all values, reads the base file once more for
        the generation of the host list, and then watches.
        """
        n_regions = len({STORE_REGION, REMOTE_REGION})
        n_reading = (n_regions + 1) * N_READERS
        self.assertGreater(len(self.hosts), 2 * n_reading)
        n_collected = len(self.sample.list_values()) + len(BundleKind) + 1
        n_watches = len(BundleKind) * (1 + elapsed_s * WATCHES_PER_STALE / STALE_S)
        return n_reading * (n_collected + n_watches)
