import unittest

from foxtailway.distribution.event import Stopped, UpdateSent
from foxtailway.distribution.message import (
    Confirmation,
    Goodbye,
    Heartbeat,
    Purpose,
    RefusedReason,
    SubscriptionRefused,
)
from foxtailway.distribution.tests.harness import CoreHarness, make_hello, name_held
from foxtailway.distribution.tests.support import make_config, make_host
from foxtailway.distribution.topology import Topology
from foxtailway.settings import SeedAddress

FAN_OUT = 4


class AdmissionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = CoreHarness(fan_out=FAN_OUT)
        self.harness.start()
        self.config = make_config(1)
        self.harness.collect(self.config)

    def knock(self, host_id: str, **changes: object) -> SubscriptionRefused | None:
        changes = {"held": name_held(self.config), **changes}
        actions = self.harness.accept(make_hello(host_id, **changes))
        refusals = self.harness.list_sent(SubscriptionRefused, actions)
        return refusals[0] if refusals else None

    def test_children_are_bounded_and_relays_have_a_reserve(self) -> None:
        for index in range(FAN_OUT):
            self.assertIsNone(self.knock(f"leaf-{index}"))
        self.assertIs(self.knock("leaf-x").reason, RefusedReason.FULL)
        self.assertIsNone(self.knock("relay", is_relay=True))
        refusal = self.knock("relay-x", is_relay=True)
        self.assertIs(refusal.reason, RefusedReason.FULL)

    def test_refusals_name_hosts_of_the_zone_and_a_time(self) -> None:
        hosts = (
            *(make_host(f"a-{index}") for index in range(9)),
            *(make_host(f"b-{index}", zone="accra-b") for index in range(9)),
        )
        zone_regions = {"accra-a": "accra", "accra-b": "accra"}
        self.harness.place(Topology(hosts=hosts, zone_regions=zone_regions))
        refusals = [
            self.knock(f"b-{index}", zone="accra-b") for index in range(FAN_OUT + 1)
        ]
        alternates = refusals[-1].alternates
        self.assertGreater(len(alternates), 2)
        self.assertTrue(all(peer.host_id.startswith("b-") for peer in alternates))
        self.assertGreater(refusals[-1].retry_after_s, 1.0)

    def test_without_a_host_list_refusals_name_children(self) -> None:
        refusals = [self.knock(f"leaf-{index}") for index in range(FAN_OUT + 1)]
        names = {peer.host_id for peer in refusals[-1].alternates}
        self.assertEqual(names, {f"leaf-{index}" for index in range(FAN_OUT)})

    def test_full_transfers_are_bounded_and_do_not_starve_the_others(self) -> None:
        harness = self.harness
        for index in range(3):
            self.assertIsNone(self.knock(f"empty-{index}", held=()))
        harness.core.downlink.admission.fan_out = 10
        self.assertIsNone(self.knock("empty-3", held=()))
        refusal = self.knock("empty-x", held=())
        self.assertIs(refusal.reason, RefusedReason.BUSY)
        self.assertIsNone(self.knock("current"))
        link = harness.core.links.find_child("empty-0")
        harness.handle(UpdateSent(link_id=link.link_id, kind=self.config.kind))
        self.assertIsNone(self.knock("empty-x", held=()))

    def test_a_child_that_belongs_here_displaces_one_that_does_not(self) -> None:
        for index in range(FAN_OUT - 1):
            self.knock(f"own-{index}", is_preferred=True)
        self.knock("refugee")
        self.assertIsNone(self.knock("own-x", is_preferred=True))
        links = self.harness.core.links
        self.assertIsNone(links.find_child("refugee"))
        self.assertEqual(len(self.harness.list_sent(Goodbye)), 1)
        refusal = self.knock("own-y", is_preferred=True)
        self.assertIs(refusal.reason, RefusedReason.FULL)

    def test_a_returning_child_takes_its_own_place(self) -> None:
        for index in range(FAN_OUT):
            self.knock(f"leaf-{index}")
        self.assertIsNone(self.knock("leaf-0"))
        self.assertEqual(len(self.harness.core.links.links), FAN_OUT)

    def test_the_own_parent_is_no_child(self) -> None:
        seeds = (SeedAddress(address="127.0.1.1", port=7000),)
        self.harness = CoreHarness(seeds=seeds)
        self.harness.start()
        self.harness.welcome(self.harness.next_dial(), host_id="parent")
        self.assertIs(self.knock("parent").reason, RefusedReason.LOOP)
        self.assertIs(self.knock("own").reason, RefusedReason.LOOP)

    def test_guests_take_no_place(self) -> None:
        for index in range(2 * FAN_OUT):
            self.assertIsNone(self.knock(f"guest-{index}", purpose=Purpose.PROBE))
        self.assertIsNone(self.knock("leaf"))
        for index in range(2 * FAN_OUT):
            self.knock(f"guest-x-{index}", purpose=Purpose.PROBE)
        refusal = self.knock("guest-y", purpose=Purpose.PROBE)
        self.assertIs(refusal.reason, RefusedReason.BUSY)

    def test_another_protocol_is_refused(self) -> None:
        refusal = self.knock("leaf", protocol_version=2)
        self.assertIs(refusal.reason, RefusedReason.WRONG_PROTOCOL)

    def test_silent_children_make_room(self) -> None:
        for index in range(FAN_OUT):
            self.knock(f"leaf-{index}")
        self.harness.advance(3.2)
        self.assertIsNone(self.knock("leaf-x"))

    def test_a_stopping_node_says_goodbye_and_refuses(self) -> None:
        self.knock("leaf")
        actions = self.harness.handle(Stopped())
        self.assertEqual(len(self.harness.list_sent(Goodbye, actions)), 1)
        self.assertIs(self.knock("leaf-x").reason, RefusedReason.STOPPING)

    def test_heartbeats_are_sent_only_on_quiet_streams(self) -> None:
        self.knock("leaf")
        link_id = self.harness.core.links.find_child("leaf").link_id
        confirmation = Confirmation(age_ms=None, n_hops=0)
        sent = []
        for _ in range(10):
            self.harness.receive(link_id, Heartbeat(confirmation=confirmation))
            sent += self.harness.list_sent(Heartbeat, self.harness.advance(1.0))
        self.assertTrue(8 <= len(sent) <= 10, len(sent))
