from unittest import TestCase

from foxtailway.traffic.registry_access import RegistryAccess

NEVER = float("-inf")


class RegistryAccessTest(TestCase):
    """What tells an upstream that left from one whose entry expired in an outage."""

    def setUp(self) -> None:
        self.access = RegistryAccess(heartbeat_s=1.5)

    def test_failed_call_is_no_outage(self) -> None:
        """Pattern: one watch of the reader is cut, then an upstream leaves."""
        self.access.record_gap(100.0, 100.55)
        for now in (100.55, 101.0, 102.7, 103.0):
            self.assertEqual(self.access.find_recovery(now), NEVER)

    def test_nothing_expires_before_three_heartbeats_of_silence(self) -> None:
        """Pattern: the reader fails twice, then an upstream leaves."""
        self.access.record_gap(100.0, 101.2)
        self.assertEqual(self.access.find_recovery(101.3), NEVER)
        self.assertEqual(self.access.find_recovery(103.0), 101.2)

    def test_entries_may_be_missing_after_an_outage(self) -> None:
        """Pattern: the store is down for longer than entries live."""
        self.access.record_gap(100.0, 104.5)
        self.assertEqual(self.access.find_recovery(104.5), 104.5)

    def test_outage_that_lasts_grows(self) -> None:
        for ended_at in (100.2, 101.0, 103.0, 108.0):
            self.access.record_gap(100.0, ended_at)
        self.assertEqual(self.access.lost_at, 100.0)
        self.assertEqual(self.access.find_recovery(108.0), 108.0)

    def test_outages_without_time_to_renew_in_between_are_one(self) -> None:
        """Pattern: the store fails again as soon as it has returned."""
        self.access.record_gap(100.0, 102.0)
        self.access.record_gap(102.3, 103.3)
        self.assertEqual(self.access.lost_at, 100.0)
        self.assertEqual(self.access.find_recovery(103.3), 103.3)

    def test_outages_with_time_to_renew_in_between_are_apart(self) -> None:
        self.access.record_gap(100.0, 101.0)
        self.access.record_gap(104.0, 105.0)
        self.assertEqual(self.access.lost_at, 104.0)
        self.assertEqual(self.access.find_recovery(105.0), NEVER)

    def test_series_of_broken_connections_is_no_outage(self) -> None:
        """Pattern: connections of the reader are reset every second."""
        for second in range(100, 120):
            self.access.record_gap(float(second), second + 0.5)
            self.assertEqual(self.access.find_recovery(second + 0.5), NEVER)

    def test_series_of_reader_changes_is_no_outage(self) -> None:
        """Pattern: readers are slow in a storm of versions and take over in turn.

        The gaps between their confirmations were joined to an outage, after which an
        upstream that had left was kept beyond its drain.
        """
        confirmed_at = 100.0
        for second in range(101, 110):
            self.access.record_success(confirmed_at, float(second))
            self.access.record_following()
            self.access.record_confirmation(float(second), second + 0.1)
            confirmed_at = second + 0.1
            self.assertEqual(self.access.find_recovery(float(second)), NEVER)

    def test_outage_is_known_from_the_gap_between_confirmations(self) -> None:
        """Pattern: another node reaches the registry first after an outage."""
        self.access.record_success(99.0, 100.0)
        self.access.record_failure()
        self.access.record_confirmation(100.0, 104.5)
        self.access.record_success(104.5, 104.6)
        self.assertEqual(self.access.find_recovery(104.6), 104.5)

    def test_slower_heartbeats_need_a_longer_outage(self) -> None:
        slow = RegistryAccess(heartbeat_s=4.0)
        slow.record_gap(100.0, 104.5)
        self.assertEqual(slow.find_recovery(106.0), NEVER)

    def test_reported_outage_counts_if_nobody_read_the_registry(self) -> None:
        """Each report: its time, its outage's end, confirmation, and what holds."""
        interval_s = 0.75
        for reports in (
            # The store is down for 1.2 s; the first entries may expire later.
            ((100.0, NEVER, 100.0, NEVER), (101.2, NEVER, 101.2, NEVER))
            + ((102.7, 101.2, 102.7, 101.2), (103.0, 101.2, 103.0, 101.2)),
            # It stays down, and the reader says so.
            ((100.0, NEVER, 100.0, NEVER), (102.8, 102.8, 100.1, 102.8))
            + ((103.6, 103.6, 100.1, 103.6), (104.0, 104.0, 104.0, 104.0)),
            # The reader was cut off while another one read, and returns.
            ((100.0, NEVER, 100.0, NEVER), (101.1, NEVER, 101.1, NEVER))
            + ((105.3, NEVER, 105.3, NEVER), (105.5, 105.5, 105.5, NEVER)),
        ):
            access = RegistryAccess(heartbeat_s=1.5)
            previous_at = 99.9
            for now, regained_at, confirmed_at, expected in reports:
                if confirmed_at - previous_at > 2.0:
                    # Confirmations that are not in the list.
                    previous_at = confirmed_at - 0.3
                with self.subTest(now=now, regained_at=regained_at):
                    found = access.judge_report(
                        regained_at, previous_at, confirmed_at, interval_s
                    )
                    self.assertEqual(found, expected)
                previous_at = max(previous_at, confirmed_at)
