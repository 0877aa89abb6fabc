import unittest

from foxtailway.distribution.event import Stopped, UpdateSent
from foxtailway.distribution.message import (
    Confirmation,
    ControlGoAway,
    Heartbeat,
    Purpose,
    RefusedReason,
    SubscriptionRefused,
)
from foxtailway.distribution.tests.harness import (
    CoreHarness,
    make_held_versions,
    make_hello,
)
from foxtailway.distribution.tests.support import make_config, make_host
from foxtailway.distribution.topology import Topology
from foxtailway.settings import SeedAddress

FAN_OUT = 4


class AdmissionTest(unittest.TestCase):
    """Limits on children, full transfers and probes.

    Guards against nodes that overload when many others connect at once, and against
    children that cannot return to their preferred parent.
    """

    def setUp(self) -> None:
        self.harness = CoreHarness(fan_out=FAN_OUT)
        self.harness.start()
        self.config = make_config(1)
        self.harness.collect(self.config)

    def send_hello(self, host_id: str, **changes: object) -> SubscriptionRefused | None:
        changes = {"held": make_held_versions(self.config), **changes}
        actions = self.harness.accept(make_hello(host_id, **changes))
        refusals = self.harness.list_sent(SubscriptionRefused, actions)
        return refusals[0] if refusals else None

    def test_children_are_bounded_and_relays_have_a_reserve(self) -> None:
        for index in range(FAN_OUT):
            self.assertIsNone(self.send_hello(f"leaf-{index}"))
        self.assertIs(self.send_hello("leaf-x").reason, RefusedReason.FULL)
        self.assertIsNone(self.send_hello("relay", is_relay=True))
        refusal = self.send_hello("relay-x", is_relay=True)
        self.assertIs(refusal.reason, RefusedReason.FULL)

    def test_refusals_name_hosts_of_the_zone_and_a_time(self) -> None:
        hosts = (
            *(make_host(f"a-{index}") for index in range(9)),
            *(make_host(f"b-{index}", zone="accra-b") for index in range(9)),
        )
        zone_regions = {"accra-a": "accra", "accra-b": "accra"}
        self.harness.update_topology(Topology(hosts=hosts, zone_regions=zone_regions))
        refusals = [
            self.send_hello(f"b-{index}", zone="accra-b")
            for index in range(FAN_OUT + 1)
        ]
        alternates = refusals[-1].alternates
        self.assertGreater(len(alternates), 2)
        self.assertTrue(all(peer.host_id.startswith("b-") for peer in alternates))
        self.assertGreater(refusals[-1].retry_after_s, 1.0)

    def test_without_a_host_list_refusals_name_children(self) -> None:
        refusals = [self.send_hello(f"leaf-{index}") for index in range(FAN_OUT + 1)]
        names = {peer.host_id for peer in refusals[-1].alternates}
        self.assertEqual(names, {f"leaf-{index}" for index in range(FAN_OUT)})

    def test_full_transfers_are_bounded_and_do_not_starve_the_others(self) -> None:
        harness = self.harness
        for index in range(3):
            self.assertIsNone(self.send_hello(f"empty-{index}", held=()))
        harness.core.downlink.admission.fan_out = 10
        self.assertIsNone(self.send_hello("empty-3", held=()))
        refusal = self.send_hello("empty-x", held=())
        self.assertIs(refusal.reason, RefusedReason.BUSY)
        self.assertIsNone(self.send_hello("current"))
        link = harness.core.links.find_child("empty-0")
        harness.handle(UpdateSent(link_id=link.link_id, kind=self.config.kind))
        self.assertIsNone(self.send_hello("empty-x", held=()))

    def test_a_preferring_child_displaces_a_non_preferring_one(self) -> None:
        for index in range(FAN_OUT - 1):
            self.send_hello(f"own-{index}", is_preferred=True)
        self.send_hello("refugee")
        self.assertIsNone(self.send_hello("own-x", is_preferred=True))
        links = self.harness.core.links
        self.assertIsNone(links.find_child("refugee"))
        self.assertEqual(len(self.harness.list_sent(ControlGoAway)), 1)
        refusal = self.send_hello("own-y", is_preferred=True)
        self.assertIs(refusal.reason, RefusedReason.FULL)

    def test_a_reconnecting_child_replaces_its_stream(self) -> None:
        for index in range(FAN_OUT):
            self.send_hello(f"leaf-{index}")
        self.assertIsNone(self.send_hello("leaf-0"))
        self.assertEqual(len(self.harness.core.links.links), FAN_OUT)

    def test_the_parent_cannot_become_a_child(self) -> None:
        seeds = (SeedAddress(address="127.0.1.1", port=7000),)
        self.harness = CoreHarness(seeds=seeds)
        self.harness.start()
        self.harness.acknowledge_hello(self.harness.next_dial(), host_id="parent")
        self.assertIs(self.send_hello("parent").reason, RefusedReason.LOOP)
        self.assertIs(self.send_hello("own").reason, RefusedReason.LOOP)

    def test_probes_do_not_count_as_children(self) -> None:
        for index in range(2 * FAN_OUT):
            self.assertIsNone(self.send_hello(f"guest-{index}", purpose=Purpose.PROBE))
        self.assertIsNone(self.send_hello("leaf"))
        for index in range(2 * FAN_OUT):
            self.send_hello(f"guest-x-{index}", purpose=Purpose.PROBE)
        refusal = self.send_hello("guest-y", purpose=Purpose.PROBE)
        self.assertIs(refusal.reason, RefusedReason.BUSY)

    def test_another_protocol_is_refused(self) -> None:
        refusal = self.send_hello("leaf", protocol_version=2)
        self.assertIs(refusal.reason, RefusedReason.WRONG_PROTOCOL)

    def test_silent_children_free_their_capacity(self) -> None:
        for index in range(FAN_OUT):
            self.send_hello(f"leaf-{index}")
        self.harness.advance(3.2)
        self.assertIsNone(self.send_hello("leaf-x"))

    def test_a_stopping_node_sends_go_away_and_refuses(self) -> None:
        self.send_hello("leaf")
        actions = self.harness.handle(Stopped())
        self.assertEqual(len(self.harness.list_sent(ControlGoAway, actions)), 1)
        self.assertIs(self.send_hello("leaf-x").reason, RefusedReason.STOPPING)

    def test_heartbeats_are_sent_only_on_quiet_streams(self) -> None:
        self.send_hello("leaf")
        link_id = self.harness.core.links.find_child("leaf").link_id
        confirmation = Confirmation(age_ms=None, n_hops=0)
        sent = []
        for _ in range(10):
            self.harness.receive(link_id, Heartbeat(confirmation=confirmation))
            sent += self.harness.list_sent(Heartbeat, self.harness.advance(1.0))
        self.assertTrue(8 <= len(sent) <= 10, len(sent))
