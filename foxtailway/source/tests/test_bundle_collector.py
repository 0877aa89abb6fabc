import asyncio
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from foxtailway.common import FailureKind
from foxtailway.model import Bundle, BundleKind, Version, make_bundle, make_document
from foxtailway.source import SourceBundleCollector
from foxtailway.source.tests.fake_reader import (
    FakeSourceReader,
    order_key,
    read_generation,
)
from foxtailway.testing.platform_store import PlatformStore

KEYS = ["base", "overlay/a", "secret/s", "hosts/a", "hosts/b", "unrelated"]
WRITES = st.tuples(
    st.sampled_from(KEYS[:4]), st.none() | st.sampled_from([b"1:x", b"1:y"])
)
ACTIONS = st.none() | WRITES.map(lambda write: lambda store: store.write(*write))
CONFIG = BundleKind.CONFIG
HOSTS = BundleKind.HOSTS


def read_state(store: PlatformStore, kind: BundleKind, at: int) -> dict[str, bytes]:
    """Return the contents of a kind by key as of one revision of the store."""
    is_hosts = kind is HOSTS
    values = {}
    for key in KEYS[:-1]:
        stored = store.read(key, at=at)
        if stored is not None and key.startswith("hosts/") == is_hosts:
            values[key] = stored.content
    return values


def contents(bundle: Bundle) -> dict[str, bytes]:
    return {document.key: document.content for document in bundle.documents}


class CollectorCase(unittest.TestCase):
    def setUp(self) -> None:
        self.runner = asyncio.Runner()
        self.addCleanup(self.runner.close)
        self.reset()

    def reset(self) -> None:
        self.reader = FakeSourceReader()
        self.store = self.reader.store
        self.held: dict[BundleKind, Version] = {}
        self.collector = self.make_collector()

    def make_collector(self, **arguments: object) -> SourceBundleCollector:
        return SourceBundleCollector(
            reader=self.reader,
            clock=self.reader.clock,
            read_generation=read_generation,
            pause_s=0.0,
            **arguments,
        )

    def collect(self, kind: BundleKind = CONFIG, wait_s: float = 0.0) -> object:
        return self.runner.run(self.collector.collect(kind, wait_s=wait_s))

    def collect_version(self, kind: BundleKind = CONFIG) -> tuple[int, int]:
        return order_key(self.collect(kind).ok.version)


class DifferentialTest(CollectorCase):
    @settings(max_examples=200)
    @given(
        st.lists(ACTIONS, max_size=14),
        st.lists(st.sampled_from(BundleKind), max_size=6),
    )
    def test_each_bundle_is_a_state_of_the_store(
        self, script: list, kinds: list
    ) -> None:
        self.reset()
        self.collector = self.make_collector(held_version=self.held.get)
        self.reader.script = script
        newest: dict[BundleKind, Bundle] = {}
        for kind in [*kinds, *BundleKind, *BundleKind, *BundleKind]:
            bundle = self.collect(kind).default_value(None)
            if bundle is None:
                continue
            states = [
                read_state(self.store, kind, at)
                for at in range(bundle.version.revision, self.store.revision + 1)
            ]
            self.assertIn(contents(bundle), states)
            if kind in newest:
                self.assertGreater(
                    order_key(bundle.version), order_key(self.held[kind])
                )
            newest[kind] = bundle
            self.held[kind] = bundle.version
        self.reader.script = []
        for kind in BundleKind:
            bundle = self.collect(kind).ok or newest.get(kind)
            expected = read_state(self.store, kind, self.store.revision)
            self.assertEqual(contents(bundle) if bundle else {}, expected)


class BundleCollectorTest(CollectorCase):
    def test_only_changed_keys_are_read(self) -> None:
        for key in KEYS:
            self.store.write(key, b"1:x")
        self.assertEqual(self.collect_version(), (1, 6))
        self.reader.read_keys.clear()
        self.store.write("overlay/a", b"1:y")
        self.store.write("hosts/a", b"1:y")
        self.assertEqual(self.collect_version(), (1, 7))
        self.assertEqual(self.reader.read_keys, ["overlay/a"])

    def test_unrelated_writes_make_no_version(self) -> None:
        self.store.write("base", b"1:x")
        self.collect()
        self.store.write("hosts/a", b"x")
        self.assertIsNone(self.collect(wait_s=9.0).ok)
        self.assertEqual(self.reader.listed_since, [0, 1, 2])

    def test_value_written_after_the_listing_is_read_with_its_set(self) -> None:
        self.store.write("base", b"1:x")
        self.store.write("overlay/a", b"1:x")

        def edit_both(store: PlatformStore) -> None:
            store.write("base", b"1:y")
            store.write("overlay/a", b"1:y")

        self.reader.script = [lambda store: None, edit_both]
        bundle = self.collect().ok
        self.assertEqual(contents(bundle), {"base": b"1:y", "overlay/a": b"1:y"})

    def test_collection_fails_if_values_keep_changing(self) -> None:
        self.store.write("base", b"1:x")
        self.reader.script = [lambda store: store.write("base", b"1:y")] * 99
        self.assertEqual(self.collect().error.kind, FailureKind.UNAVAILABLE)
        self.reader.script = []
        self.assertEqual(self.collect().ok.version.revision, self.store.revision)

    def test_deletion_makes_a_version(self) -> None:
        self.store.write("base", b"1:x")
        self.store.write("secret/s", b"x")
        self.collect()
        self.store.write("secret/s", None)
        bundle = self.collect().ok
        self.assertEqual(contents(bundle), {"base": b"1:x"})
        self.assertEqual(order_key(bundle.version), (1, 3))

    def test_outage_without_change_is_confirmed(self) -> None:
        self.store.write("base", b"1:x")
        self.store.write("overlay/a", b"x")
        self.collect()
        self.reader.script = [None]
        self.assertEqual(self.collect().error.kind, FailureKind.UNREACHABLE)
        self.reader.read_keys.clear()
        self.assertIsNone(self.collect().ok)
        self.assertEqual(self.reader.listed_since, [0, 0])
        self.assertEqual(self.reader.read_keys, ["base"])

    def test_deletion_during_an_outage_is_found(self) -> None:
        self.store.write("base", b"1:x")
        self.store.write("overlay/a", b"x")
        self.collect()
        self.reader.script = [None]
        self.collect()
        self.store.write("overlay/a", None)
        self.assertEqual(contents(self.collect().ok), {"base": b"1:x"})

    def test_deletion_of_the_last_document_during_an_outage_is_found(self) -> None:
        self.store.write("base", b"1:x")
        self.collect()
        self.reader.script = [None, None]
        self.collect()
        self.collect()
        self.store.write("base", None)
        bundle = self.collect().ok
        self.assertEqual(contents(bundle), {})
        self.assertEqual(order_key(bundle.version), (1, 2))
        self.assertIsNone(self.collect().ok)

    def test_failed_read_changes_nothing(self) -> None:
        self.store.write("base", b"1:x")
        self.collect()
        self.store.write("base", b"1:y")
        self.store.write("overlay/a", b"1:y")
        self.reader.script = [lambda store: None, lambda store: None, None]
        self.assertEqual(self.collect().error.kind, FailureKind.UNREACHABLE)
        bundle = self.collect().ok
        self.assertEqual(contents(bundle), {"base": b"1:y", "overlay/a": b"1:y"})

    def test_stale_platform_confirms_nothing(self) -> None:
        self.store.write("base", b"1:x")
        self.store.write("base", b"1:y")
        self.collect()
        self.reader.served_revision = 1
        self.assertEqual(self.collect_version(), (1, 1))
        self.assertEqual(self.collect().error.kind, FailureKind.STALE_VERSION)
        self.reader.served_revision = None
        self.assertEqual(self.collect_version(), (1, 2))
        self.assertIsNone(self.collect().ok)

    def test_older_answer_with_the_same_set_confirms_nothing(self) -> None:
        self.store.write("base", b"1:x")
        self.store.write("unrelated", b"")
        self.collect()
        self.reader.served_revision = 1
        self.assertEqual(self.collect().error.kind, FailureKind.STALE_VERSION)
        self.assertEqual(self.collect().error.kind, FailureKind.STALE_VERSION)
        self.reader.served_revision = None
        self.assertIsNone(self.collect().ok)

    def test_raised_generation_reads_all_documents_again(self) -> None:
        for key in KEYS:
            self.store.write(key, b"1:old")
        self.collect()
        self.assertEqual(self.collect_version(HOSTS), (1, 6))
        self.store.restore(0)
        self.reader.script = [None]
        self.collect()
        self.store.write("base", b"2:new")
        for key in KEYS[1:4]:
            self.store.write(key, b"new")
        bundle = self.collect().ok
        self.assertEqual(order_key(bundle.version), (2, 4))
        self.assertEqual(contents(bundle)["secret/s"], b"new")
        hosts = self.collect(HOSTS).ok
        self.assertEqual(order_key(hosts.version), (2, 4))
        self.assertEqual(contents(hosts), {"hosts/a": b"new"})
        self.assertIsNone(self.collect().ok)

    def test_set_dropped_during_a_watch_is_listed_completely(self) -> None:
        self.store.write("base", b"1:x")
        self.store.write("hosts/a", b"x")
        self.collect(HOSTS)

        def drop_set_and_write(store: PlatformStore) -> None:
            self.collector.reset()
            store.write("hosts/b", b"x")

        self.reader.script = [drop_set_and_write]
        bundle = self.collect(HOSTS).ok
        self.assertEqual(contents(bundle), {"hosts/a": b"x", "hosts/b": b"x"})

    def test_unreadable_base_is_delivered_under_the_known_generation(self) -> None:
        self.store.write("base", b"4:x")
        self.collect()
        self.store.write("base", b"broken")
        self.assertEqual(self.collect_version(), (4, 2))

    def test_hosts_bundle_has_the_generation_of_the_base_file(self) -> None:
        self.store.write("base", b"7:x")
        self.store.write("hosts/a", b"x")
        self.assertEqual(self.collect_version(HOSTS), (7, 2))

    def test_empty_platform_has_no_bundle(self) -> None:
        self.assertIsNone(self.collect().ok)
        self.assertIsNone(self.collect(HOSTS).ok)


class HeldVersionTest(CollectorCase):
    def setUp(self) -> None:
        super().setUp()
        self.collector = self.make_collector(held_version=self.held.get)
        self.store.write("base", b"1:x")
        self.store.write("overlay/a", b"x")
        self.store.write("overlay/a", None)
        self.store.write("unrelated", b"")

    def set_held_version(self, revision: int, content: bytes) -> Version:
        document = make_document(key="base", content=content)
        bundle = make_bundle(
            kind=CONFIG, generation=1, revision=revision, documents=[document]
        )
        self.held[CONFIG] = bundle.version
        return bundle.version

    def test_equal_set_keeps_its_version(self) -> None:
        held = self.set_held_version(3, b"1:x")
        self.assertEqual(self.collect().ok.version, held)
        self.assertIsNone(self.collect().ok)

    def test_deletion_that_is_no_longer_listed_replaces_the_held_set(self) -> None:
        self.set_held_version(2, b"1:with overlay")
        self.assertEqual(self.collect_version(), (1, 4))

    def test_first_set_has_a_higher_version_than_older_sets(self) -> None:
        self.assertEqual(self.collect_version(), (1, 4))
        self.set_held_version(2, b"1:with overlay")
        self.assertIsNone(self.collect().ok)

    def test_other_set_learned_later_is_replaced(self) -> None:
        self.assertEqual(self.collect_version(), (1, 4))
        self.set_held_version(5, b"1:other")
        for _ in range(2):
            self.store.write("unrelated", b"")
        self.assertEqual(self.collect_version(), (1, 6))

    def test_rejected_set_is_returned_once(self) -> None:
        self.set_held_version(2, b"1:with overlay")
        self.collect()
        self.store.write("unrelated", b"")
        self.assertIsNone(self.collect().ok)

    def test_platform_behind_the_held_set_confirms_nothing(self) -> None:
        self.set_held_version(9, b"1:newer")
        self.assertEqual(self.collect_version(), (1, 4))
        self.assertEqual(self.collect().error.kind, FailureKind.STALE_VERSION)
