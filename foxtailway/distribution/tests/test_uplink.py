import unittest

from foxtailway.common import Failure, FailureKind, Step
from foxtailway.distribution.action import CloseLink, Collect, Dial
from foxtailway.distribution.event import DialFailed, LinkClosed, TimerFired
from foxtailway.distribution.message import (
    Confirmation,
    ControlGoAway,
    Heartbeat,
    PeerAddress,
    RefusedReason,
    SubscriptionRefused,
)
from foxtailway.distribution.placement import Role, compute_placement
from foxtailway.distribution.tests.harness import FRESH, CoreHarness, make_hello
from foxtailway.distribution.tests.support import (
    make_config,
    make_host,
    make_host_list,
    make_settings,
)
from foxtailway.distribution.topology import Topology

N_HOSTS = 30
ZONE_REGIONS = {"accra-a": "accra", "kumasi-a": "kumasi"}


def make_topology() -> Topology:
    return Topology(
        hosts=tuple(
            make_host(
                f"host-{index}",
                zone=("accra-a", "kumasi-a")[index % 2],
                address=f"127.0.1.{index}",
            )
            for index in range(N_HOSTS)
        ),
        zone_regions=ZONE_REGIONS,
    )


def find_host_with_role(role: Role) -> str:
    topology = make_topology()
    for host in topology.hosts:
        region = ZONE_REGIONS[host.zone]
        settings = make_settings(host.host_id, zone=host.zone, region=region)
        if (
            region == "kumasi"
            and compute_placement(topology, settings=settings).role is role
        ):
            return host.host_id
    raise AssertionError(role)


class AttachedTestCase(unittest.TestCase):
    """Member or head of the remote region, connected to its preferred parent."""

    role = Role.MEMBER

    def setUp(self) -> None:
        self.harness = CoreHarness(
            find_host_with_role(self.role), zone="kumasi-a", region="kumasi"
        )
        self.harness.start()
        self.harness.fail_collections()
        self.harness.update_topology(make_topology())
        self.parent = self.harness.next_dial()
        self.link_id = self.harness.acknowledge_hello(
            self.parent, host_id=self.parent.target.host_id
        )

    def find_parent_id(self) -> str | None:
        parent = self.harness.core.uplink.parent
        return parent.host_id if parent else None

    def find_trial(self) -> Dial:
        """Let the parent become stale until the core dials another node."""
        for second in range(60):
            confirmation = Confirmation(age_ms=1000 * second, n_hops=1)
            self.harness.receive(self.link_id, Heartbeat(confirmation=confirmation))
            trials = self.harness.find(Dial, self.harness.advance(1.0))
            if trials:
                return trials[0]
        raise AssertionError("no trial")

    def send_fresh_heartbeats(self, duration_s: int) -> list:
        """Send one fresh heartbeat from the parent per second."""
        actions = []
        for _ in range(duration_s):
            actions += self.harness.receive(self.link_id, Heartbeat(confirmation=FRESH))
            actions += self.harness.advance(1.0)
        return actions


class ParentTest(AttachedTestCase):
    """Selection, replacement and freshness of the parent."""

    def test_the_first_candidate_is_tried_first(self) -> None:
        candidates = self.harness.core.placement.candidates
        self.assertEqual(self.parent.target, candidates[0])
        self.assertEqual(self.find_parent_id(), candidates[0].host_id)

    def test_a_fresh_parent_is_kept(self) -> None:
        actions = self.send_fresh_heartbeats(30)
        self.assertEqual(self.harness.find(CloseLink, actions), [])
        self.assertEqual(self.harness.find(Collect, actions), [])

    def test_a_silent_parent_is_disconnected(self) -> None:
        actions = self.harness.advance(3.2)
        self.assertIn(CloseLink(link_id=self.link_id), actions)
        self.assertIn(FailureKind.TIMEOUT, self.harness.list_failures())
        target = self.harness.next_dial().target
        self.assertNotEqual(target, self.parent.target)

    def test_a_lost_parent_is_replaced(self) -> None:
        failure = Failure(
            step=Step.RECEIVE, kind=FailureKind.CLOSED, peer="parent", detail="reset"
        )
        self.harness.handle(LinkClosed(link_id=self.link_id, failure=failure))
        self.harness.acknowledge_hello(self.harness.next_dial(), host_id="other")
        self.assertEqual(self.find_parent_id(), "other")

    def test_a_leaving_parent_is_replaced_by_another(self) -> None:
        self.harness.receive(self.link_id, ControlGoAway(alternates=()))
        target = self.harness.next_dial().target
        self.assertNotEqual(target, self.parent.target)

    def test_a_stale_parent_is_replaced_by_a_clearly_fresher_one(self) -> None:
        self.harness.acknowledge_hello(
            self.find_trial(), host_id="fresher", confirmation=FRESH
        )
        trial = self.harness.next_dial()
        self.harness.acknowledge_hello(trial, host_id="fresher", confirmation=FRESH)
        self.assertEqual(self.find_parent_id(), "fresher")

    def test_a_stale_parent_is_kept_if_others_are_no_fresher(self) -> None:
        trial = self.find_trial()
        old = Confirmation(age_ms=11_000, n_hops=1)
        n_actions = len(self.harness.actions)
        self.harness.acknowledge_hello(trial, host_id="other", confirmation=old)
        self.harness.advance(1.0)
        dials = self.harness.find(Dial, self.harness.actions[n_actions:])
        self.assertEqual(dials, [])
        self.assertEqual(self.find_parent_id(), self.parent.target.host_id)

    def test_the_preferred_parent_is_selected_again_even_if_all_are_stale(self) -> None:
        self.harness.receive(self.link_id, ControlGoAway(alternates=()))
        self.link_id = self.harness.acknowledge_hello(
            self.harness.next_dial(),
            host_id=self.harness.core.placement.candidates[1].host_id,
        )
        old = Confirmation(age_ms=60_000, n_hops=1)
        self.harness.core.context.freshness.reset()
        for _ in range(40):
            self.harness.receive(self.link_id, Heartbeat(confirmation=old))
            for dial in self.harness.find(Dial, self.harness.advance(1.0)):
                host_id = dial.target.host_id
                self.harness.acknowledge_hello(dial, host_id=host_id, confirmation=old)
        self.assertEqual(self.find_parent_id(), self.parent.target.host_id)

    def test_a_loop_is_detected_by_its_hops(self) -> None:
        looping = Confirmation(age_ms=0, n_hops=32)
        actions = self.harness.receive(self.link_id, Heartbeat(confirmation=looping))
        self.assertIn(CloseLink(link_id=self.link_id), actions)
        self.assertIsNone(self.harness.core.context.freshness.age_s(self.harness.now))

    def test_ages_accumulate_over_hops(self) -> None:
        confirmation = Confirmation(age_ms=4000, n_hops=2)
        self.harness.core.context.freshness.reset()
        self.harness.receive(self.link_id, Heartbeat(confirmation=confirmation))
        self.harness.accept(make_hello(zone="kumasi-a"))
        actions = self.harness.advance(1.0)
        sent = self.harness.list_sent(Heartbeat, actions)[0].confirmation
        self.assertGreater(sent.age_ms, 4900)
        self.assertEqual(sent.n_hops, 3)

    def test_confirmations_are_relayed_at_once(self) -> None:
        self.harness.accept(make_hello(zone="kumasi-a"))
        self.harness.advance(0.6)
        actions = self.harness.receive(self.link_id, Heartbeat(confirmation=FRESH))
        self.assertEqual(len(self.harness.list_sent(Heartbeat, actions)), 2)

    def test_retries_back_off_to_a_cap(self) -> None:
        self.harness.receive(self.link_id, ControlGoAway(alternates=()))
        times_s = []
        while self.harness.now < 200.0:
            for dial in self.harness.find(Dial, self.harness.advance(0.1)):
                times_s.append(self.harness.now)
                failure = Failure(
                    step=Step.CONNECT,
                    kind=FailureKind.UNREACHABLE,
                    peer="peer",
                    detail="refused",
                )
                event = DialFailed(link_id=dial.link_id, failure=failure)
                self.harness.handle(event)
        early = [time_s for time_s in times_s if time_s < 2.0]
        late = [time_s for time_s in times_s if time_s > 100.0]
        self.assertGreater(len(early), 4)
        self.assertTrue(20 <= len(late) <= 80, len(late))

    def test_a_refusal_is_respected(self) -> None:
        self.harness.receive(self.link_id, ControlGoAway(alternates=()))
        refused = self.harness.next_dial()
        message = SubscriptionRefused(
            reason=RefusedReason.FULL, retry_after_s=60.0, alternates=()
        )
        self.harness.receive(refused.link_id, message)
        dials = self.harness.find(Dial, self.harness.advance(30.0))
        self.assertNotIn(refused.target, [dial.target for dial in dials])


class NoTopologyTest(unittest.TestCase):
    def test_alternates_are_tried_before_a_host_list_is_known(self) -> None:
        harness = CoreHarness(seeds=CoreHarness().core.distribution_settings.seeds)
        alternate = PeerAddress(host_id="named", address="127.0.1.9", port=7000)
        selector = harness.core.uplink.selector
        selector.record_failure(alternate, now=0.0, hints=(alternate,))
        chosen = selector.choose(now=0.0, excluded=frozenset(), is_isolated=True)
        self.assertEqual(chosen, alternate)


class PauseTest(AttachedTestCase):
    """A node that resumes after a pause does not pass on outdated state."""

    def pause(self) -> list:
        self.harness.accept(make_hello(zone="kumasi-a"))
        self.harness.now += 10.0
        return self.harness.handle(TimerFired())

    def test_a_paused_node_closes_its_streams_and_is_unconfirmed(self) -> None:
        closed = self.harness.find(CloseLink, self.pause())
        self.assertEqual(len(closed), 2)
        self.assertIsNone(self.harness.core.context.freshness.confirmed_s)

    def test_a_paused_node_accepts_no_child_before_it_has_confirmed(self) -> None:
        self.pause()
        actions = self.harness.accept(make_hello(zone="kumasi-a"))
        refusal = self.harness.list_sent(SubscriptionRefused, actions)[0]
        self.assertIs(refusal.reason, RefusedReason.UNCONFIRMED)
        self.harness.acknowledge_hello(self.harness.next_dial())
        self.harness.accept(make_hello(zone="kumasi-a"))
        self.assertIsNotNone(self.harness.core.links.find_child("child"))

    def test_a_cut_off_node_accepts_children_after_the_timeout(self) -> None:
        self.pause()
        self.harness.advance(2.1)
        self.harness.accept(make_hello(zone="kumasi-a"))
        self.assertIsNotNone(self.harness.core.links.find_child("child"))


class ReaderTest(unittest.TestCase):
    """Only answers after a pause, and of all kinds, confirm the versions."""

    def setUp(self) -> None:
        self.harness = CoreHarness()
        self.harness.start()
        self.harness.collect(make_config(1))
        self.harness.collect(make_host_list(1))

    def test_an_answer_from_before_a_pause_confirms_nothing(self) -> None:
        self.assertIsNotNone(self.harness.core.context.freshness.confirmed_s)
        self.harness.now += 10.0
        self.harness.collect(make_config(2), epoch=0)
        self.harness.collect(make_host_list(2), epoch=0)
        self.assertIsNone(self.harness.core.context.freshness.confirmed_s)
        self.assertIn(make_config(2), self.harness.offered)

    def test_both_kinds_must_be_confirmed(self) -> None:
        self.harness.now = 2.0
        self.harness.collect(make_config(2))
        self.assertEqual(self.harness.core.context.freshness.age_s(2.0), 2.0)


class CutOffReaderTest(unittest.TestCase):
    """The first reader, while only the second reader can reach the platform.

    Guards against a reader that stays without updates although a lower-ranked reader
    has them.
    """

    def setUp(self) -> None:
        hosts = tuple(
            make_host(f"host-{index}", address=f"127.0.1.{index}")
            for index in range(N_HOSTS)
        )
        topology = Topology(hosts=hosts, zone_regions={"accra-a": "accra"})
        first = next(
            host.host_id
            for host in hosts
            if not compute_placement(
                topology, settings=make_settings(host.host_id)
            ).candidates
        )
        self.harness = CoreHarness(first)
        self.harness.start()
        self.harness.update_topology(topology)
        self.second = self.harness.core.placement.backup_parents[0].host_id

    def test_the_second_reader_is_parent_until_the_platform_answers(self) -> None:
        dial = self.harness.next_dial()
        self.assertEqual(dial.target.host_id, self.second)
        self.harness.acknowledge_hello(dial, host_id=self.second)
        self.assertIsNotNone(self.harness.core.uplink.parent)
        self.harness.collect(make_config(1))
        self.harness.collect(make_host_list(1))
        self.assertIsNone(self.harness.core.uplink.parent)
        self.assertEqual(self.harness.find(Dial, self.harness.advance(5.0)), [])


class FallbackTest(AttachedTestCase):
    """A node without a parent queries the platform only after dialing a parent."""

    role = Role.HEAD

    def test_a_parent_is_tried_right_before_the_platform(self) -> None:
        self.harness.receive(self.link_id, ControlGoAway(alternates=()))
        self.harness.core.uplink.selector.retry_at_s = 1000.0
        n_actions = len(self.harness.actions)
        while not self.harness.find(Dial, self.harness.actions[n_actions:]):
            self.harness.advance(0.1)
        actions = self.harness.actions[n_actions:]
        self.assertEqual(self.harness.find(Collect, actions), [])
        self.assertLess(self.harness.now, 10.0)
        collected = self.harness.find(Collect, self.harness.advance(2.5))
        self.assertEqual(len(collected), 2)

    def test_an_orphan_falls_back_to_the_platform(self) -> None:
        self.harness.receive(self.link_id, ControlGoAway(alternates=()))
        actions = []
        while not self.harness.find(Collect, actions) and self.harness.now < 60.0:
            actions += self.harness.advance(0.1)
        self.assertEqual(len(self.harness.find(Collect, actions)), 2)
        self.harness.collect(make_config(1))
        self.harness.collect(make_host_list(1))
        self.assertEqual(self.harness.core.context.freshness.n_hops, 0)
        self.parent = self.harness.next_dial()
        self.link_id = self.harness.acknowledge_hello(self.parent, host_id="regained")
        actions = self.send_fresh_heartbeats(60)
        self.assertEqual(self.harness.find(Collect, actions), [])
