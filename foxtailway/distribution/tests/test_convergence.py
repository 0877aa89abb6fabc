"""Differential tests of a fleet with faults against one node without faults."""

import unittest
from dataclasses import dataclass
from enum import Enum

from expression import Ok
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from foxtailway.distribution.event import Collected
from foxtailway.distribution.tests.network import FakeNetwork, is_invalid
from foxtailway.distribution.tests.support import (
    make_config,
    make_host,
    make_host_list,
    make_settings,
)
from foxtailway.distribution.topology import Topology
from foxtailway.model import Bundle, BundleKind, VersionOrder, compare_versions
from foxtailway.settings import SeedAddress

ZONE_REGIONS = {
    "accra-a": "accra",
    "accra-b": "accra",
    "kumasi-a": "kumasi",
    "kumasi-b": "kumasi",
}
N_HOSTS = 8
SETTLE_S = 60.0


class StepKind(Enum):
    PUBLISH = "publish"
    PUBLISH_INVALID = "publish_bad"
    PUBLISH_HOSTS = "publish_hosts"
    CUT = "cut"
    HEAL = "heal"
    KILL = "kill"
    KILL_ALL = "kill_all"
    RESTART = "restart"
    PAUSE = "pause"
    OUTAGE = "outage"
    RECOVERY = "recovery"
    RESTORE = "restore"
    STALE_REPLICA = "stale_replica"
    WAIT = "wait"


@dataclass(frozen=True, slots=True, kw_only=True)
class FaultStep:
    kind: StepKind
    target: int
    duration_s: float


STEPS = st.builds(
    FaultStep,
    kind=st.sampled_from(StepKind),
    target=st.integers(0, N_HOSTS - 1),
    duration_s=st.sampled_from([0.0, 0.02, 0.3, 2.0, 8.0]),
)


class Scenario:
    def __init__(self, seed: int) -> None:
        self.zones = sorted(ZONE_REGIONS)
        hosts = tuple(
            make_host(
                f"host-{index}",
                zone=self.zones[index % len(self.zones)],
                address=f"127.0.1.{index}",
            )
            for index in range(N_HOSTS)
        )
        seeds = tuple(SeedAddress(address=hosts[i].address, port=7000) for i in (0, 5))
        self.settings = [
            make_settings(
                host.host_id,
                address=host.address,
                zone=host.zone,
                region=ZONE_REGIONS[host.zone],
                seeds=seeds,
                n_readers=2,
                n_gateways=1,
                n_heads=1,
                fan_out=2,
            )
            for host in hosts
        ]
        topology = Topology(hosts=hosts, zone_regions=ZONE_REGIONS)
        self.network = FakeNetwork(seed=seed, topology=topology)
        self.platform = self.network.platform
        self.revision = 0
        self.generation = 1
        self.is_restored = False
        self.publish()
        self.publish_hosts()
        for item in self.settings:
            self.network.start(item)

    def publish(self, text: str = "") -> None:
        self.revision += 1
        self.platform.publish(
            make_config(self.revision, generation=self.generation, text=text)
        )

    def publish_hosts(self) -> None:
        self.revision += 1
        self.platform.publish(make_host_list(self.revision))

    def restore(self) -> None:
        self.is_restored = True
        kind = BundleKind.CONFIG
        self.platform.current[kind] = self.platform.published[kind][0]

    def restart(self, index: int) -> None:
        settings = self.settings[index]
        if not self.network.nodes[settings.host.host_id].is_alive:
            self.network.start(settings)

    def apply(self, step: FaultStep) -> None:
        network = self.network
        host_id = self.settings[step.target].host.host_id
        match step.kind:
            case StepKind.PUBLISH:
                self.publish()
            case StepKind.PUBLISH_INVALID:
                self.publish(text="bad")
            case StepKind.PUBLISH_HOSTS:
                self.publish_hosts()
            case StepKind.CUT:
                network.cut_zones.add(self.zones[step.target % len(self.zones)])
            case StepKind.HEAL:
                network.cut_zones.clear()
            case StepKind.KILL:
                network.kill(host_id)
            case StepKind.KILL_ALL:
                for known in list(network.nodes):
                    network.kill(known)
            case StepKind.RESTART:
                self.restart(step.target)
            case StepKind.PAUSE:
                until_s = network.now + 4 * step.duration_s
                network.nodes[host_id].paused_until_s = until_s
            case StepKind.OUTAGE:
                self.platform.is_up = False
            case StepKind.RECOVERY:
                self.platform.is_up = True
            case StepKind.RESTORE:
                self.restore()
            case StepKind.STALE_REPLICA:
                self.platform.stale_hosts = {host_id}
        network.run(step.duration_s)

    def settle(self) -> None:
        """End all faults and let the fleet converge.

        An invalid or restored version is replaced by a new one, as operators do.
        """
        self.network.cut_zones.clear()
        self.platform.is_up = True
        self.platform.stale_hosts.clear()
        for index in range(N_HOSTS):
            self.restart(index)
        if self.is_restored:
            self.generation += 1
        if self.is_restored or is_invalid(
            self.platform.published[BundleKind.CONFIG][-1]
        ):
            self.publish()
        self.network.run(SETTLE_S)

    def apply_to_single_node(self, kind: BundleKind) -> Bundle | None:
        held = None
        for bundle in self.platform.published[kind]:
            version = held.version if held else None
            order = compare_versions(held=version, offered=bundle.version)
            if order is VersionOrder.NEWER and not is_invalid(bundle):
                held = bundle
        return held


class ConvergenceTest(unittest.TestCase):
    """Every node ends with the versions that a node without faults applies.

    Guards against updates lost through partitions, restarts, pauses, outages of the
    platform and restored or stale stores.
    """

    @settings(max_examples=12, deadline=None, suppress_health_check=list(HealthCheck))
    @given(seed=st.integers(0, 2**16), steps=st.lists(STEPS, min_size=5, max_size=25))
    def test_every_node_converges_to_the_versions_of_a_single_one(
        self, seed: int, steps: list[FaultStep]
    ) -> None:
        scenario = Scenario(seed)
        for step in steps:
            scenario.apply(step)
        scenario.settle()
        for kind in BundleKind:
            expected = scenario.apply_to_single_node(kind)
            for node in scenario.network.nodes.values():
                self.assertEqual(node.applied.get(kind), expected, node.host_id)


class FaultFreeTest(unittest.TestCase):
    """Without faults an update crosses each region link and reaches each node once."""

    def test_a_change_crosses_the_link_once_and_reaches_each_node_once(self) -> None:
        scenario = Scenario(seed=2)
        scenario.network.run(60.0)
        scenario.network.updates.clear()
        scenario.publish()
        scenario.network.run(2.0)
        crossings = [
            zones
            for zones in scenario.network.updates
            if len({ZONE_REGIONS[zone] for zone in zones}) == 2
        ]
        newest = scenario.platform.current[BundleKind.CONFIG]
        for node in scenario.network.nodes.values():
            self.assertEqual(node.applied[BundleKind.CONFIG], newest)
        self.assertEqual(len(crossings), 1)
        self.assertLessEqual(len(scenario.network.updates), N_HOSTS)


class PartitionTest(unittest.TestCase):
    """The newest version spreads without the platform, whichever node receives it.

    Guards against nodes that keep an older version after a partition heals.
    """

    def setUp(self) -> None:
        self.scenario = Scenario(seed=1)
        self.network = self.scenario.network
        self.network.run(20.0)
        self.network.platform.is_up = False

    def list_holders(self, bundle: Bundle) -> set[str]:
        return {
            node.settings.host.zone
            for node in self.network.nodes.values()
            if node.applied.get(bundle.kind) == bundle
        }

    def count_holders(self, bundle: Bundle) -> int:
        held = [node.applied.get(bundle.kind) for node in self.network.nodes.values()]
        return held.count(bundle)

    def test_a_cut_off_zone_converges_and_healing_spreads_the_newest(self) -> None:
        for index in range(N_HOSTS):
            with self.subTest(index=index):
                newest = make_config(99 + index)
                self.network.platform.published[newest.kind].append(newest)
                node = self.network.nodes[f"host-{index}"]
                zone = node.settings.host.zone
                self.network.cut_zones.add(zone)
                self.network.run(20.0)
                event = Collected(kind=newest.kind, epoch=0, result=Ok(newest))
                node.handle(event)
                self.network.run(5.0)
                self.assertEqual(self.list_holders(newest), {zone})
                self.assertEqual(self.count_holders(newest), N_HOSTS // 4)
                self.network.cut_zones.clear()
                self.network.run(15.0)
                self.assertEqual(self.count_holders(newest), N_HOSTS)
