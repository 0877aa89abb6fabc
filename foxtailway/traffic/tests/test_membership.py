from unittest import TestCase

from foxtailway.traffic.membership import (
    MIN_RETAINED,
    REGISTRATION_GRACE_S,
    Membership,
    UpstreamState,
)
from foxtailway.traffic.tests.builders import make_upstream


class MembershipTest(TestCase):
    def setUp(self) -> None:
        self.membership = Membership()
        self.membership.put(make_upstream())

    def is_ready(self) -> bool:
        return bool(self.membership.list_ready("records"))

    def test_removal_takes_effect_at_once_while_the_registry_works(self) -> None:
        self.membership.remove("u-1", 100.0)
        self.assertFalse(self.is_ready())
        self.assertTrue(self.membership.is_leaving("u-1"))

    def test_draining_upstream_accepts_no_new_requests(self) -> None:
        self.membership.put(make_upstream(state=UpstreamState.DRAINING, sequence=2))
        self.assertFalse(self.is_ready())
        self.assertTrue(self.membership.is_leaving("u-1"))

    def test_entry_that_expired_in_an_outage_has_a_grace_period(self) -> None:
        self.membership.regained_at = 99.0
        self.membership.remove("u-1", 100.0)
        self.membership.remove_expired(99.0 + REGISTRATION_GRACE_S - 0.1)
        self.assertTrue(self.is_ready())
        self.membership.remove_expired(99.0 + REGISTRATION_GRACE_S)
        self.assertFalse(self.is_ready())

    def test_grace_period_ends_with_the_time_to_register_again(self) -> None:
        """An upstream that leaves after an outage must not be kept beyond its drain.

        Its entry is removed when all live upstreams have had the time to register.
        """
        self.membership.regained_at = 100.0 - REGISTRATION_GRACE_S
        self.membership.remove("u-1", 100.0)
        self.assertFalse(self.is_ready())

    def test_entry_registered_again_in_the_grace_period_stays(self) -> None:
        self.membership.regained_at = 99.0
        self.membership.replace_all((), 100.0)
        self.membership.put(make_upstream(sequence=5))
        self.membership.remove_expired(200.0)
        self.assertTrue(self.is_ready())

    def test_older_entry_that_arrives_late_is_ignored(self) -> None:
        self.membership.put(make_upstream(state=UpstreamState.DRAINING, sequence=7))
        self.membership.put(make_upstream(sequence=6))
        self.assertFalse(self.is_ready())

    def test_late_write_of_an_entry_does_not_undo_its_removal(self) -> None:
        """Requests reached an upstream that had left seconds before."""
        self.membership.put(make_upstream(sequence=5))
        self.membership.remove("u-1", 100.0)
        for sequence in (1, 4, 5):
            late = make_upstream(sequence=sequence, created_revision=9)
            self.membership.update((late,), (), 101.0)
            self.assertFalse(self.is_ready())
            self.assertTrue(self.membership.is_leaving("u-1"))
            # After a gap in the history, the registry is listed.
            self.membership.replace_all((late,), 102.0)
            self.assertFalse(self.is_ready())
            # The late entry expires.
            self.membership.remove("u-1", 103.0)
        self.membership.update((make_upstream(sequence=4),), (), 104.0)
        self.assertFalse(self.is_ready())
        self.membership.put(make_upstream(sequence=6))
        self.assertTrue(self.is_ready())

    def test_late_write_in_the_grace_period_is_no_registration(self) -> None:
        """An upstream that had left in an outage stayed in use for good."""
        self.membership.put(make_upstream(sequence=5))
        self.membership.regained_at = 99.0
        self.membership.remove("u-1", 100.0)
        self.membership.update((make_upstream(sequence=4),), (), 100.5)
        self.membership.remove_expired(99.0 + REGISTRATION_GRACE_S)
        self.assertFalse(self.is_ready())

    def test_late_write_shows_a_removal_that_was_not_seen(self) -> None:
        """A removal and a late write were read together, and only the write counted.

        The entry that it creates is older than the one that is known.
        """
        self.membership.put(make_upstream(sequence=5))
        overwritten = make_upstream(sequence=4)
        created = make_upstream(sequence=4, created_revision=9)
        self.membership.update((overwritten,), (), 100.0)
        self.assertTrue(self.is_ready())
        self.membership.update((created,), (), 101.0)
        self.assertFalse(self.is_ready())
        self.membership.put(make_upstream(sequence=6, created_revision=9))
        self.membership.replace_all((created,), 102.0)
        self.assertTrue(self.is_ready())

    def test_as_many_removals_are_known_as_upstreams_are_registered(self) -> None:
        """After 1,000 removals, a late write made an upstream ready again."""
        n_upstreams = 3 * MIN_RETAINED
        older = [make_upstream(f"u-{n}", port=n) for n in range(n_upstreams)]
        newer = [make_upstream(f"v-{n}", port=n) for n in range(n_upstreams)]
        self.membership.update(older, (), 0.0)
        # Each upstream is replaced by another one, as in a release.
        for old, new in zip(older, newer, strict=True):
            self.membership.record_entry(new)
            self.membership.drop(old.upstream_id)
        self.membership.update(older, (), 1.0)
        self.assertEqual(len(self.membership.upstreams), n_upstreams)
        self.assertEqual(len(self.membership.removed), n_upstreams)

    def test_new_incarnation_replaces_the_previous_one(self) -> None:
        self.membership.put(make_upstream(state=UpstreamState.DRAINING, sequence=7))
        self.membership.put(make_upstream(start_time_ms=2_000, sequence=1))
        self.assertTrue(self.is_ready())

    def test_newer_upstream_at_an_endpoint_supersedes_the_older_one(self) -> None:
        """Pattern: all hosts lose power, and old entries outlast the new ones."""
        newer = make_upstream("u-2", start_time_ms=2_000, created_revision=9)
        self.membership.update((newer,), (), 100.0)
        self.assertEqual(self.membership.list_ready("records"), (newer,))
        self.assertTrue(self.membership.is_leaving("u-1"))
        self.assertFalse(self.membership.is_leaving("u-2"))
        self.membership.remove("u-2", 100.0)
        self.assertFalse(self.is_ready())

    def test_upstream_is_superseded_only_if_both_orders_agree(self) -> None:
        for changes in (
            {"start_time_ms": 500, "created_revision": 9},
            {"start_time_ms": 2_000, "created_revision": 1},
            {"start_time_ms": 2_000, "created_revision": 0},
            {"start_time_ms": 2_000, "created_revision": 9, "service": "desk"},
            {"start_time_ms": 2_000, "created_revision": 9, "address": "127.0.0.2"},
            {"start_time_ms": 2_000, "created_revision": 9, "port": 8081},
        ):
            with self.subTest(changes):
                self.membership.put(make_upstream("u-2", **changes))
                self.assertFalse(self.membership.is_leaving("u-1"))

    def test_removed_identifier_may_be_registered_again(self) -> None:
        self.membership.remove("u-1", 100.0)
        self.membership.put(make_upstream(start_time_ms=2_000))
        self.assertFalse(self.membership.is_leaving("u-1"))

    def test_upstream_of_an_evacuated_zone_gets_no_request(self) -> None:
        self.membership.update_evacuations(("zone-a",), (), 100.0)
        self.membership.update_evacuations(("zone-a",), (), 101.0)
        self.membership.put(make_upstream(sequence=2))
        self.assertFalse(self.is_ready())
        self.assertTrue(self.membership.is_leaving("u-1"))
        self.assertEqual(self.membership.evacuation_began_at, {"zone-a": 100.0})

    def test_end_of_an_evacuation_that_was_not_seen_is_recorded(self) -> None:
        """The upstreams of the zone may be cold, although this node saw no change."""
        self.membership.update_evacuations((), ("zone-a",), 100.0)
        self.assertEqual(self.membership.evacuation_ended_at, {"zone-a": 100.0})
        self.membership.update_evacuations(("zone-a",), (), 101.0)
        self.assertEqual(self.membership.evacuation_ended_at, {})
