import unittest

from logbook import Logger

from foxtailway.common import ManualClock
from foxtailway.config.compiler import SnapshotCompiler
from foxtailway.model import Bundle, BundleKind, Snapshot, make_bundle, make_document
from foxtailway.node.applier import SnapshotApplier, SnapshotObserver
from foxtailway.node.observer import NodeObserver
from foxtailway.observe.audit import AuditAction, AuditTrail
from foxtailway.observe.metrics import NodeMetrics

BASE = """
[mesh]
name = small
generation = 1

[overlays]
route.timeout = 100ms .. 10s

[site one-a]
region = one

[service back]
slots = 10
connections = 100

[route back]
path = /back
methods = GET
cluster = back
idempotent = yes
timeout = 1s
"""
HOST_LINE = b'["one-a-1","127.0.0.1",7000,"back","live"]\n'


class RecordingObserver(SnapshotObserver):
    def __init__(self, observer: NodeObserver) -> None:
        self.observer = observer
        self.snapshots: list[Snapshot] = []

    def snapshot_applied(self, snapshot: Snapshot) -> None:
        self.snapshots.append(snapshot)
        self.observer.update_routes(snapshot)


def make_config(revision: int, base: str = BASE) -> Bundle:
    documents = (
        make_document(key="base", content=base.encode()),
        make_document(key="overlay/one-a", content=b"# as the base\n"),
    )
    return make_bundle(
        kind=BundleKind.CONFIG, generation=1, revision=revision, documents=documents
    )


def make_hosts(revision: int, content: bytes = HOST_LINE) -> Bundle:
    document = make_document(key="hosts/one-a", content=content)
    return make_bundle(
        kind=BundleKind.HOSTS, generation=1, revision=revision, documents=(document,)
    )


class SnapshotApplierTest(unittest.TestCase):
    def setUp(self) -> None:
        self.trail = AuditTrail(size=9, clock=ManualClock())
        self.observer = NodeObserver(
            trail=self.trail,
            metrics=NodeMetrics(host_id="one-a-1"),
            logger=Logger("test"),
        )
        self.recorder = RecordingObserver(self.observer)
        self.applier = SnapshotApplier(
            compiler=SnapshotCompiler(site="one-a"), observer=self.recorder
        )

    def offer(self, bundle: Bundle) -> bool:
        result = self.applier.offer(bundle, delivered_by="platform")
        if result.is_ok():
            self.observer.on_applied(bundle, delivered_by="platform")
        return result.is_ok()

    def test_nothing_is_in_force_before_both_kinds_are_known(self) -> None:
        """A configuration without a host list must not come into force."""
        self.assertTrue(self.offer(make_config(1)))
        self.assertEqual(self.recorder.snapshots, [])
        self.assertTrue(self.offer(make_hosts(2)))
        (snapshot,) = self.recorder.snapshots
        self.assertEqual(snapshot.version, make_config(1).version)
        self.assertEqual(snapshot.hosts_version, make_hosts(2).version)

    def test_a_rejected_bundle_changes_nothing(self) -> None:
        """A rejected bundle must not be combined with a later valid one."""
        self.offer(make_config(1))
        self.offer(make_hosts(2))
        bad = BASE.replace("cluster = back", "cluster = absent")
        self.assertFalse(self.offer(make_config(3, bad)))
        self.assertFalse(self.offer(make_hosts(4, b"[1]\n")))
        self.assertTrue(self.offer(make_hosts(5)))
        self.assertEqual(self.recorder.snapshots[-1].version, make_config(1).version)

    def test_the_audit_trail_names_changed_routes(self) -> None:
        self.offer(make_config(1))
        self.offer(make_hosts(2))
        self.offer(make_hosts(3, HOST_LINE + b'["one-a-2","127.0.0.2",1,"x","live"]\n'))
        self.offer(make_config(4, BASE.replace("timeout = 1s", "timeout = 2s")))
        entries = self.trail.list_since(0)
        self.assertEqual({entry.action for entry in entries}, {AuditAction.APPLIED})
        changed = [entry.changed_routes for entry in entries]
        self.assertEqual(changed, [(), ("back",), (), ("back",)])
