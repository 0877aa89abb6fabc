import asyncio
from unittest import IsolatedAsyncioTestCase

from foxtailway.common.clock import ManualClock
from foxtailway.routing.outcome import Outcome, RefusalReason
from foxtailway.sidecar.call import CallResult, UpstreamResponse
from foxtailway.sidecar.crash_guard import CrashGuard
from foxtailway.sidecar.tests.support import (
    NAMES,
    ScriptedUpstream,
    make_call,
    make_log,
    respond,
    respond_after,
    wait_until,
)
from foxtailway.sidecar.tests.update_network import (
    ADDRESSES,
    UPSTREAMS,
    Network,
    Node,
    apply_without_broadcast,
    make_change,
)
from foxtailway.sidecar.upstream_pool import UpstreamPool
from foxtailway.sidecar.upstream_runner import UpstreamRunner
from foxtailway.traffic.membership import Membership
from foxtailway.traffic.tests.builders import make_upstream

ZONE = "zone-a"


class EvacuationExchangeTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.network = Network()
        west = [f"10.9.0.{number}" for number in range(3)]
        for address in west:
            self.network.nodes[address] = Node(address, self.network, "zone-w")
        self.upstreams = UPSTREAMS + tuple(
            make_upstream(f"w-{number}", address=address, zone="zone-w")
            for number, address in enumerate(west)
        )
        self.nodes = list(self.network.nodes.values())
        for node in self.nodes:
            change = make_change(None, 10, upstreams=self.upstreams, version=1)
            apply_without_broadcast(node, change)
            node.roles.record_listing(node.exchange.loop.time())
            node.roles.store_delay_s = 0.026 if node.zone == "zone-w" else 0.003
        self.readers = [node for node in self.nodes if node.roles.rank == 0]
        for reader in self.readers:
            reader.exchange.announce_reader()
        self.reader = next(node for node in self.readers if node.zone == ZONE)

    def assert_evacuated(self, *zones: str) -> None:
        known = {node.membership.evacuated_zones for node in self.nodes}
        self.assertEqual(known, {frozenset(zones)})

    async def test_evacuation_and_return_reach_all_regions(self) -> None:
        self.reader.exchange.publish_change(make_change(10, 11, evacuated=(ZONE,)), 0.0)
        self.assert_evacuated(ZONE)
        self.reader.exchange.publish_change(make_change(11, 12, returned=(ZONE,)), 0.0)
        self.assert_evacuated()
        self.assertEqual(self.network.requests, [])

    async def test_listing_of_the_store_ends_an_evacuation(self) -> None:
        """The removal may be among changes that the store no longer has."""
        self.reader.exchange.publish_change(make_change(10, 11, evacuated=(ZONE,)), 0.0)
        listing = make_change(None, 12, upstreams=self.upstreams)
        self.reader.exchange.publish_change(listing, 0.0)
        self.assert_evacuated()

    async def test_new_node_learns_of_evacuations_with_its_first_state(self) -> None:
        self.reader.exchange.publish_change(make_change(10, 11, evacuated=(ZONE,)), 0.0)
        known_at_apply: list[frozenset[str]] = []
        new_node = Node(ADDRESSES[0], self.network)
        new_node.exchange.apply = lambda _configuration: known_at_apply.append(
            new_node.membership.evacuated_zones
        )
        self.network.nodes[new_node.address] = new_node
        self.reader.exchange.send_listing(new_node.address)
        self.assertEqual(known_at_apply, [{ZONE}])

    async def test_overtaken_listing_reverts_no_evacuation(self) -> None:
        change = make_change(10, 14, evacuated=(ZONE,), returned=("zone-w",))
        self.reader.exchange.publish_change(change, 0.0)
        listing = make_change(
            None, 12, upstreams=self.upstreams, evacuated=("zone-w",), version=2
        )
        self.reader.exchange.publish_change(listing, 0.0)
        self.assert_evacuated(ZONE)
        self.assertEqual(self.reader.exchange.version, 2)


class EvacuatedUpstreamTest(IsolatedAsyncioTestCase):
    def make_runner(self, upstream: ScriptedUpstream) -> UpstreamRunner:
        runner = UpstreamRunner(
            names=NAMES,
            pool=UpstreamPool(
                address="127.0.0.1",
                port=upstream.port,
                request_id_header=NAMES.request_id,
            ),
            membership=Membership(),
            guard=CrashGuard(host_id="host-1", clock=ManualClock()),
            on_crash=lambda *_crash: None,
            log=make_log(),
            zone=ZONE,
        )
        runner.queue.n_slots = 1
        self.addCleanup(runner.close)
        return runner

    async def start(self, runner: UpstreamRunner) -> "asyncio.Task[CallResult]":
        task = asyncio.create_task(runner.run(make_call(runner.loop.time())))
        await asyncio.sleep(0)
        return task

    async def test_only_running_requests_end_during_an_evacuation(self) -> None:
        """A sender that does not know the evacuation must not get work done.

        The sidecar refuses also without the registry entry of its upstream.
        """
        released = asyncio.Event()
        async with ScriptedUpstream(respond_after(released), respond()) as upstream:
            runner = self.make_runner(upstream)
            running = await self.start(runner)
            await wait_until(lambda: len(upstream.requests) == 1)
            queued = await self.start(runner)
            self.assertEqual(len(runner.queue.waiting), 1)
            runner.membership.update_evacuations((ZONE,), (), 0.0)
            for task in (queued, await self.start(runner)):
                result = await task
                self.assertIs(result.reason, RefusalReason.DRAINING)
                self.assertIs(result.outcome, Outcome.NOT_RUN)
                self.assertFalse(result.is_offered)
            released.set()
            self.assertIsInstance(await running, UpstreamResponse)
            runner.membership.update_evacuations((), (ZONE,), 0.0)
            self.assertIsInstance(await (await self.start(runner)), UpstreamResponse)
        self.assertEqual(len(upstream.requests), 2)
