import unittest
from dataclasses import replace

from foxtailway.common import FailureKind
from foxtailway.distribution.action import CloseLink, Collect, Dial
from foxtailway.distribution.delta import encode_update
from foxtailway.distribution.event import DialSucceeded, UpdateSent
from foxtailway.distribution.history import VersionHistory
from foxtailway.distribution.message import (
    ControlGoAway,
    ControlHello,
    ControlHelloAck,
    Encoding,
    HeldReport,
    Purpose,
    SubscriptionRefused,
)
from foxtailway.distribution.tests.harness import (
    CoreHarness,
    make_held_versions,
    make_hello,
)
from foxtailway.distribution.tests.support import (
    make_config,
    make_host_list,
)
from foxtailway.model import BundleKind
from foxtailway.settings import SeedAddress

SEEDS = (
    SeedAddress(address="127.0.1.1", port=7000),
    SeedAddress(address="127.0.1.2", port=7000),
)


class OlderVersionTest(unittest.TestCase):
    """Versions that are older or conflicting are refused.

    They come from a stale replica, a restored store or a peer with an older version.
    """

    def setUp(self) -> None:
        self.harness = CoreHarness()
        self.harness.start()
        self.harness.collect(make_config(5))

    def check_refused(self, kind: FailureKind) -> None:
        self.assertEqual(self.harness.offered, [make_config(5)])
        self.assertEqual(self.harness.list_failures(), [kind])
        self.assertEqual(self.harness.core.context.n_refused_older, 1)

    def test_platform_with_an_older_version(self) -> None:
        self.harness.collect(make_config(4))
        self.check_refused(FailureKind.STALE_VERSION)

    def test_platform_with_another_version_of_the_same_number(self) -> None:
        self.harness.collect(make_config(5, text="other"))
        self.check_refused(FailureKind.VERSION_CONFLICT)

    def test_peer_with_an_older_version(self) -> None:
        self.harness.accept(make_hello())
        link_id = self.harness.core.links.find_child("child").link_id
        self.harness.push(link_id, make_config(4))
        self.check_refused(FailureKind.STALE_VERSION)

    def test_peer_with_another_version_of_the_same_number(self) -> None:
        self.harness.accept(make_hello())
        link_id = self.harness.core.links.find_child("child").link_id
        self.harness.push(link_id, make_config(5, text="other"))
        self.check_refused(FailureKind.VERSION_CONFLICT)

    def test_generation_comes_before_revision(self) -> None:
        restored = make_config(1, generation=2)
        self.harness.collect(restored)
        self.assertEqual(self.harness.offered[-1], restored)

    def test_an_older_platform_confirms_nothing(self) -> None:
        self.harness.collect(make_host_list(5))
        self.harness.now = 1.0
        self.harness.collect(make_host_list(5))
        self.harness.collect(make_config(4))
        self.assertEqual(self.harness.core.context.freshness.age_s(1.0), 1.0)


class RejectionTest(unittest.TestCase):
    """A version that the sink rejects is neither offered again nor relayed."""

    def setUp(self) -> None:
        self.harness = CoreHarness()
        self.harness.start()
        self.harness.collect(make_config(1))
        self.harness.accept(make_hello(held=make_held_versions(make_config(1))))
        self.link_id = self.harness.core.links.find_child("child").link_id
        self.bad = make_config(2, text="bad")
        self.harness.rejected.append(self.bad)

    def test_a_rejected_version_is_offered_once_and_not_relayed(self) -> None:
        actions = self.harness.collect(self.bad)
        actions += self.harness.collect(self.bad)
        self.harness.push(self.link_id, self.bad)
        self.assertEqual(self.harness.offered.count(self.bad), 1)
        self.assertEqual(self.harness.list_updates(actions), [])
        self.assertEqual(self.harness.list_failures(), [FailureKind.INVALID])

    def test_the_next_version_may_build_on_a_rejected_one(self) -> None:
        good = make_config(3)
        self.harness.push(self.link_id, self.bad, base=make_config(1))
        self.harness.push(self.link_id, good, base=self.bad)
        self.assertEqual(self.harness.offered[-1], good)


class UpdateTest(unittest.TestCase):
    """Updates are sent as deltas where possible and recover from unknown bases."""

    def setUp(self) -> None:
        self.harness = CoreHarness()
        self.harness.start()

    def test_children_receive_deltas_against_their_version(self) -> None:
        self.harness.collect(make_config(1))
        self.harness.accept(make_hello(held=make_held_versions(make_config(1))))
        update = self.harness.list_updates(self.harness.collect(make_config(2)))[0]
        self.assertEqual(update.base_digest, make_config(1).version.digest)
        encodings = [document.encoding for document in update.documents]
        self.assertEqual(encodings, [Encoding.PATCH, Encoding.PATCH])

    def test_an_empty_child_gets_whole_documents(self) -> None:
        self.harness.collect(make_config(1))
        update = self.harness.list_updates(self.harness.accept(make_hello()))[0]
        self.assertIsNone(update.base_digest)
        self.assertEqual(update.n_documents, 3)

    def test_a_newer_child_sends_updates_to_its_parent(self) -> None:
        self.harness.accept(make_hello())
        link_id = self.harness.core.links.find_child("child").link_id
        self.harness.push(link_id, make_config(1))
        self.assertEqual(self.harness.offered, [make_config(1)])

    def test_an_unknown_base_is_reported_and_answered_by_whole_documents(self) -> None:
        self.harness.accept(make_hello())
        link_id = self.harness.core.links.find_child("child").link_id
        self.harness.push(link_id, make_config(2), base=make_config(1))
        self.assertEqual(self.harness.list_sent(HeldReport), [HeldReport(held=())])
        self.harness.collect(make_config(3))
        self.harness.core.links.find(link_id).sending.clear()
        actions = self.harness.receive(link_id, HeldReport(held=()))
        self.assertIsNone(self.harness.list_updates(actions)[0].base_digest)

    def test_a_peer_that_can_use_no_update_is_disconnected(self) -> None:
        self.harness.accept(make_hello())
        link_id = self.harness.core.links.find_child("child").link_id
        for _ in range(5):
            actions = self.harness.receive(link_id, HeldReport(held=()))
        self.assertIn(CloseLink(link_id=link_id), actions)

    def test_a_broken_transfer_resumes_with_what_was_staged(self) -> None:
        harness = CoreHarness("other", seeds=SEEDS)
        harness.start()
        link_id = harness.acknowledge_hello(harness.next_dial())
        part = encode_update(make_config(2), base=None)[0]
        harness.receive(link_id, replace(part, documents=part.documents[:2]))
        harness.receive(link_id, ControlGoAway(alternates=()))
        harness.handle(DialSucceeded(link_id=harness.next_dial().link_id))
        hello = harness.list_sent(ControlHello)[-1]
        self.assertEqual(
            hello.staged, tuple(document.digest for document in part.documents[:2])
        )
        self.harness.collect(make_config(2))
        update = self.harness.list_updates(self.harness.accept(hello))[0]
        encodings = [document.encoding for document in update.documents]
        self.assertEqual(encodings, [Encoding.STAGED, Encoding.STAGED, Encoding.FULL])

    def test_only_the_latest_version_waits_for_a_slow_child(self) -> None:
        self.harness.collect(make_config(1))
        self.harness.accept(make_hello(held=make_held_versions(make_config(1))))
        link = self.harness.core.links.find_child("child")
        for revision in range(2, 6):
            self.harness.collect(make_config(revision))
        self.assertEqual(link.peer_versions[BundleKind.CONFIG], make_config(2).version)
        sent = UpdateSent(link_id=link.link_id, kind=BundleKind.CONFIG)
        update = self.harness.list_updates(self.harness.handle(sent))[0]
        self.assertEqual(update.version, make_config(5).version)

    def test_an_unexpected_message_closes_the_stream(self) -> None:
        self.harness.accept(make_hello())
        link_id = self.harness.core.links.find_child("child").link_id
        actions = self.harness.receive(link_id, make_hello())
        self.assertIn(CloseLink(link_id=link_id), actions)
        self.assertEqual(self.harness.list_failures(), [FailureKind.INVALID])

    def test_a_foreign_mesh_is_refused(self) -> None:
        actions = self.harness.accept(make_hello(mesh="other"))
        self.assertEqual(len(self.harness.list_sent(SubscriptionRefused, actions)), 1)
        self.assertEqual(self.harness.list_failures(), [FailureKind.WRONG_MESH])

    def test_the_host_list_is_collected_no_more_often_than_asked(self) -> None:
        actions = self.harness.collect(make_host_list(1))
        self.assertEqual(self.harness.find(Collect, actions), [])
        actions = self.harness.advance(0.6)
        kinds = [action.kind for action in self.harness.find(Collect, actions)]
        self.assertEqual(kinds, [BundleKind.HOSTS])


class BootstrapTest(unittest.TestCase):
    """A restarted node applies nothing older than its peers hold.

    Guards against a node that applies the first version that it receives.
    """

    def setUp(self) -> None:
        self.harness = CoreHarness(seeds=SEEDS)
        self.probes = self.harness.find(Dial, self.harness.start())

    def answer(self, index: int, *held: object) -> None:
        self.harness.acknowledge_hello(
            self.probes[index], host_id=f"seed-{index}", held=held
        )

    def test_nothing_older_than_a_peer_holds_is_offered(self) -> None:
        self.answer(0, make_config(4))
        self.answer(1)
        parent_id = self.harness.acknowledge_hello(self.harness.next_dial())
        self.harness.push(parent_id, make_config(3))
        self.assertEqual(self.harness.offered, [])
        self.harness.push(parent_id, make_config(4), base=None)
        self.assertEqual(self.harness.offered, [make_config(4)])

    def test_answers_are_awaited(self) -> None:
        self.answer(0)
        parent_id = self.harness.acknowledge_hello(self.harness.next_dial())
        self.harness.push(parent_id, make_config(3))
        self.assertEqual(self.harness.offered, [])
        self.answer(1)
        self.assertEqual(self.harness.offered, [make_config(3)])

    def test_the_newest_received_version_is_taken_at_the_deadline(self) -> None:
        self.answer(0, make_config(9))
        self.answer(1)
        parent_id = self.harness.acknowledge_hello(self.harness.next_dial())
        self.harness.push(parent_id, make_config(3))
        self.harness.advance(2.1)
        self.assertEqual(self.harness.offered, [make_config(3)])

    def test_a_first_start_does_not_wait(self) -> None:
        self.answer(0)
        self.answer(1)
        self.harness.collect(make_config(1))
        self.assertEqual(self.harness.offered, [make_config(1)])

    def test_the_peer_with_the_newest_version_is_preferred(self) -> None:
        self.answer(0)
        self.answer(1, make_config(4))
        self.assertEqual(self.harness.next_dial().target, self.probes[1].target)

    def test_probing_nodes_receive_an_answer_but_no_updates(self) -> None:
        node = CoreHarness()
        node.start()
        node.collect(make_config(1))
        actions = node.accept(make_hello(purpose=Purpose.PROBE))
        self.assertEqual(
            node.list_sent(ControlHelloAck, actions)[0].held,
            make_held_versions(make_config(1)),
        )
        self.assertEqual(node.list_updates(actions), [])


class VersionHistoryTest(unittest.TestCase):
    def test_old_bundles_are_dropped_beyond_the_bound(self) -> None:
        history = VersionHistory(kind=BundleKind.CONFIG, max_bytes=600)
        bundles = [make_config(revision, text="x" * 100) for revision in range(9)]
        for bundle in bundles:
            history.accept(bundle)
        self.assertIsNone(history.find(bundles[0].version.digest))
        self.assertEqual(history.find(bundles[-2].version.digest), bundles[-2])
        self.assertLess(len(history.recent), 5)
