import unittest

from foxtailway.model.bundle import BundleKind
from foxtailway.testing.audit_check import (
    PublishedStates,
    PublishedWrite,
    find_violations,
)

BASE = b"[mesh]\nname = pond\ngeneration = 1\n"


def make_entry(version: str, digest: str):
    return {
        "action": "applied",
        "kind": "config",
        "version": version,
        "digest": digest,
    }


class AuditCheckTest(unittest.TestCase):
    def setUp(self):
        self.states = PublishedStates()
        self.record(1, "base", BASE)
        self.first = self.states.find_newest_digest(BundleKind.CONFIG)
        self.record(3, "overlay/b", b"3")
        self.newest = self.states.find_newest_digest(BundleKind.CONFIG)

    def record(self, revision, key, content, *, is_valid=True):
        self.states.record(
            PublishedWrite(
                revision=revision, key=key, content=content, is_valid=is_valid
            )
        )

    def count_violations(self, *entries):
        return len(find_violations(entries, valid=self.states.list_valid_states()))

    def test_published_states_in_order_are_accepted(self):
        entries = [make_entry("1.1-a", self.first), make_entry("1.3-b", self.newest)]
        self.assertEqual(self.count_violations(*entries), 0)

    def test_older_and_equal_versions_are_violations(self):
        newest = make_entry("1.3-b", self.newest)
        self.assertEqual(
            self.count_violations(newest, make_entry("1.1-a", self.first)), 1
        )
        self.assertEqual(self.count_violations(newest, newest), 1)

    def test_mixed_state_is_a_violation(self):
        mixed = self.newest
        self.record(2, "overlay/a", b"2")
        self.assertEqual(self.count_violations(make_entry("1.3-b", mixed)), 1)

    def test_state_with_an_invalid_value_is_a_violation(self):
        self.record(4, "overlay/a", b"bad", is_valid=False)
        bad = self.states.find_newest_digest(BundleKind.CONFIG)
        self.assertEqual(self.count_violations(make_entry("1.4-c", bad)), 1)

    def test_states_before_a_restore_stay_valid(self):
        self.states.restore(1)
        self.assertEqual(self.states.find_newest_digest(BundleKind.CONFIG), self.first)
        self.assertEqual(self.count_violations(make_entry("1.3-b", self.newest)), 0)
