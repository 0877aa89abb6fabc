import asyncio

from foxtailway.node.tests.control_case import (
    CONVERGENCE_TIMEOUT_S,
    SILENCE_S,
    STALE_S,
    ControlFailureCase,
)
from foxtailway.testing.audit_check import rank_version

N_CROSSING_EDITS = 24
EDIT_INTERVAL_S = 0.02
SLOW_ANSWER_S = 0.05
BAD_VALUE = "90s"


class PlatformFailureTest(ControlFailureCase):
    async def restart_node(self, host):
        """Kill a node, restart it and wait until it is up to date."""
        await self.save_trails([host])
        self.kill([host])
        self.restart([host])

        async def is_ready() -> bool:
            return (await self.fleet.view(host)).is_ready

        await self.fleet.wait_until(
            is_ready, timeout_s=CONVERGENCE_TIMEOUT_S, description="restart"
        )
        await self.wait_until_newest([host])

    async def wait_for_platform_calls(self, n_calls: int):
        """Wait until the platform has received `n_calls` further calls."""
        before = await self.count_platform_calls()

        async def is_asked() -> bool:
            return await self.count_platform_calls() >= before + n_calls

        await self.fleet.wait_until(
            is_asked, timeout_s=CONVERGENCE_TIMEOUT_S, description="calls"
        )

    async def list_first_versions(self, host):
        """Return the first version that a process applied of each kind."""
        trail = await self.fleet.read_audit(host)
        applied = [entry for entry in trail if entry["action"] == "applied"]
        return {entry["kind"]: entry["version"] for entry in reversed(applied)}

    async def test_outage(self):
        """An outage of the platform must not stop nodes that run or restart.

        Running nodes stay ready, and restarted ones obtain versions from peers.
        """
        await self.publish_overlay("3s")
        await self.wait_until_newest()
        await self.fleet.set_faults(is_down=True)
        await asyncio.sleep(STALE_S + SILENCE_S)
        await self.assert_ready(self.hosts)
        readers = await self.list_hosts_with_role("reader")
        for host in (readers[0], self.hosts[-1]):
            await self.restart_node(host)
        await self.fleet.set_faults(is_down=False)
        await self.publish_overlay("4s")
        await self.wait_until_newest()
        await self.assert_trails_valid()

    async def test_stale_answers(self):
        """A platform that returns an older state must not move nodes back.

        Readers and one other node restart while the platform returns the old
        state, so that the first version they apply must be the newer one.
        """
        old_revision = await self.publish_overlay("3s")
        await self.wait_until_newest()
        await self.publish_overlay("4s")
        await self.wait_until_newest()
        await self.fleet.set_faults(stale_revision=old_revision)
        readers = await self.list_hosts_with_role("reader")
        for host in (*readers, self.hosts[-1]):
            await self.restart_node(host)
            first = await self.list_first_versions(host)
            self.assertGreater(rank_version(first["config"])[1], old_revision)
        await self.wait_for_platform_calls(len(readers))
        await self.wait_until_newest()
        await self.assert_ready(self.hosts)
        await self.fleet.set_faults(stale_revision=None)
        await self.publish_overlay("5s")
        await self.wait_until_newest()
        await self.assert_trails_valid()

    async def test_restored_store(self):
        """A store restored from an old revision must not move nodes back.

        Nodes keep their version until the operator raises the generation.
        """
        old_revision = await self.publish_overlay("3s")
        await self.wait_until_newest()
        for value in ("4s", "5s", "6s"):
            await self.publish_overlay(value)
        await self.wait_until_newest()
        versions = await self.list_config_versions()
        await self.fleet.set_faults(restore_revision=old_revision)
        readers = await self.list_hosts_with_role("reader")
        for host in (readers[0], self.hosts[-1]):
            await self.restart_node(host)
        self.states.restore(old_revision)
        await self.publish_overlay("7s")
        await self.wait_for_platform_calls(2 * len(readers))
        self.assertEqual(await self.list_config_versions(), versions)
        await self.assert_ready(self.hosts)
        await self.publish("base", self.sample.render_base(generation=2))
        await self.wait_until_newest()
        await self.publish_overlay("8s")
        await self.wait_until_newest()
        await self.assert_trails_valid()

    async def list_config_versions(self):
        views = await self.fleet.view_all()
        return {view.status["config_version"] for view in views}


class EditTest(ControlFailureCase):
    async def test_crossing_edits(self):
        """Concurrent edits by two operators must converge on one state.

        The platform responds slowly, so that values change between a listing
        and the reading of the listed values.
        """

        async def edit_base():
            for index in range(N_CROSSING_EDITS):
                content = self.sample.render_base(max_hops=17 + index)
                await self.publish("base", content)
                await asyncio.sleep(EDIT_INTERVAL_S)

        async def edit_overlays():
            zones = tuple(self.sample.zone_regions)
            for index in range(N_CROSSING_EDITS):
                content = self.sample.render_overlay(timeout=f"{1 + index % 9}s")
                await self.publish(f"overlay/{zones[index % len(zones)]}", content)
                await asyncio.sleep(EDIT_INTERVAL_S)

        await self.fleet.set_faults(delay_s=SLOW_ANSWER_S)
        await asyncio.gather(edit_base(), edit_overlays())
        await self.fleet.set_faults(delay_s=0.0)
        await self.wait_until_newest()
        await self.assert_trails_valid()

    async def test_bad_version(self):
        """An invalid version between two valid ones must never be in force."""
        await self.publish_overlay("3s")
        await self.wait_until_newest()
        bad_revision = await self.publish_overlay(BAD_VALUE, is_valid=False)
        await self.wait_until_rejected(bad_revision)
        await self.assert_ready(self.hosts)
        await self.publish_overlay("4s")
        await self.wait_until_newest()
        await self.publish_overlay("5s")
        await self.publish_overlay(BAD_VALUE, is_valid=False)
        await self.publish_overlay("6s")
        await self.wait_until_newest()
        await self.assert_trails_valid()

    async def wait_until_rejected(self, revision: int):
        """Wait until every reader has rejected a revision."""
        readers = await self.list_hosts_with_role("reader")

        async def is_rejected() -> bool:
            views = await self.view(readers)
            rejections = [view.status["last_rejection"] for view in views]
            return all(
                rejection and rank_version(rejection["version"])[1] == revision
                for rejection in rejections
            )

        await self.fleet.wait_until(
            is_rejected, timeout_s=CONVERGENCE_TIMEOUT_S, description="rejection"
        )
