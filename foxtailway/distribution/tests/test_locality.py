import unittest

from foxtailway.distribution.action import SendUpdate
from foxtailway.distribution.message import (
    ControlGoAway,
    RefusedReason,
    SubscriptionRefused,
)
from foxtailway.distribution.tests.harness import (
    CoreHarness,
    make_held_versions,
    make_hello,
)
from foxtailway.distribution.tests.support import (
    make_config,
    make_host,
    make_host_list,
)
from foxtailway.distribution.topology import Topology, list_top_ranked_hosts

ZONE = "kumasi-a"
TOPOLOGY = Topology(
    hosts=(
        *(make_host(f"near-{index}") for index in range(9)),
        *(make_host(f"far-{index}", zone=ZONE) for index in range(9)),
    ),
    zone_regions={"accra-a": "accra", ZONE: "kumasi"},
)
N_TOP_RANKED = 4


def list_ranked() -> list[str]:
    ranked = list_top_ranked_hosts(TOPOLOGY, region="kumasi", n_hosts=9)
    return [host.host_id for host in ranked]


class LocalityTest(unittest.TestCase):
    """Whole documents cross a region link only for the top-ranked hosts of a region.

    Guards against a link overloaded by the hosts of a region that restart together.
    """

    def setUp(self) -> None:
        self.harness = CoreHarness(fan_out=9)
        self.harness.start()

    def collect_bundles(self) -> None:
        self.harness.collect(make_config(1))
        self.harness.collect(make_host_list(1))

    def send_hello(self, host_id: str, **changes: object) -> SubscriptionRefused | None:
        actions = self.harness.accept(make_hello(host_id, zone=ZONE, **changes))
        refusals = self.harness.list_sent(SubscriptionRefused, actions)
        return refusals[0] if refusals else None

    def test_an_empty_leaf_of_another_region_is_sent_to_its_gateways(self) -> None:
        self.collect_bundles()
        self.harness.update_topology(TOPOLOGY)
        refusal = self.send_hello(list_ranked()[-1])
        self.assertIs(refusal.reason, RefusedReason.REMOTE)
        named = [peer.host_id for peer in refusal.alternates]
        self.assertEqual(named[:2], list_ranked()[:2])
        self.assertGreater(len(named), 2)

    def test_top_ranked_hosts_and_nodes_that_need_deltas_are_accepted(self) -> None:
        self.collect_bundles()
        self.harness.update_topology(TOPOLOGY)
        for host_id in list_ranked()[:N_TOP_RANKED]:
            self.assertIsNone(self.send_hello(host_id))
        held = make_held_versions(make_config(1), make_host_list(1))
        self.assertIsNone(self.send_hello(list_ranked()[-1], held=held))

    def test_a_new_host_list_redirects_empty_leaves(self) -> None:
        for host_id in (list_ranked()[0], list_ranked()[-1]):
            self.assertIsNone(self.send_hello(host_id))
        self.harness.update_topology(TOPOLOGY)
        self.assertEqual(len(self.harness.list_sent(ControlGoAway)), 1)
        children = self.harness.core.links.links.values()
        self.assertEqual([link.host_id for link in children], list_ranked()[:1])

    def test_other_zones_wait_for_the_host_list(self) -> None:
        self.send_hello(list_ranked()[0])
        self.harness.accept(make_hello("near-1"))
        self.collect_bundles()
        children = {
            link.link_id: link.host_id
            for link in self.harness.core.links.links.values()
        }
        receivers = {
            children[update.link_id] for update in self.harness.find(SendUpdate)
        }
        self.assertEqual(receivers, {"near-1"})
        self.harness.update_topology(TOPOLOGY)
        receivers = {
            children[update.link_id] for update in self.harness.find(SendUpdate)
        }
        self.assertEqual(receivers, {"near-1", list_ranked()[0]})

    def test_the_wait_ends_without_a_host_list(self) -> None:
        self.collect_bundles()
        self.harness.advance(3.0)
        self.send_hello(list_ranked()[-1])
        self.assertEqual(self.harness.find(SendUpdate), [])
        self.harness.advance(1.5)
        self.assertEqual(len(self.harness.find(SendUpdate)), 2)
