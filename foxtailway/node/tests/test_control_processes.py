import asyncio

from foxtailway.node.tests.control_case import SILENCE_S, ControlFailureCase

N_ROUNDS = 2
ROUND_DELAY_S = 0.2
SLOW_ANSWER_S = 0.15


class ProcessFailureTest(ControlFailureCase):
    async def test_killed_readers_and_parent(self):
        """An edit must not be lost when all readers are killed during it.

        A remote parent is killed as well. The platform responds slowly, so that
        the readers are killed before they have read the edit, and in a later
        round shortly before or after they send it to their children.
        """
        await self.fleet.set_faults(delay_s=SLOW_ANSWER_S)
        for index in range(N_ROUNDS):
            readers = await self.list_hosts_with_role("reader")
            remote = [host for host in self.hosts if host.region == "south"]
            parents = await self.find_parents(remote)
            killed = readers + parents[:1]
            self.assertGreaterEqual(len(killed), 3)
            await self.save_trails(killed)
            await self.publish_overlay(f"{3 + index}s")
            await asyncio.sleep(index * ROUND_DELAY_S)
            self.kill(killed)
            await self.wait_until_newest(self.list_others(killed))
            self.restart(killed)
            await self.fleet.wait_ready()
            await self.wait_until_newest()
        await self.assert_trails_valid()

    async def test_frozen_reader_and_gateway(self):
        """Suspended processes must not restore an old version when they resume.

        A reader and the gateway in use are suspended while an edit is published
        and reaches the other nodes.
        """
        readers = await self.list_hosts_with_role("reader")
        remote = [host for host in self.hosts if host.region == "south"]
        frozen = readers[:1] + (await self.find_parents(remote))[:1]
        self.assertEqual(len(frozen), 2)
        self.freeze(frozen)
        await asyncio.sleep(2 * SILENCE_S)
        await self.publish_overlay("3s")
        await self.wait_until_newest(self.list_others(frozen))
        self.resume(frozen)
        await self.wait_until_newest()
        await self.assert_trails_valid()
