import unittest

from hypothesis import given
from hypothesis import strategies as st

from foxtailway.routing import PauseDetector, compute_deadline, compute_hop_remaining_s

DURATIONS = st.floats(0.0, 10.0)


class DeadlineTest(unittest.TestCase):
    @given(DURATIONS, st.lists(st.tuples(st.floats(0, 1e6), DURATIONS), max_size=12))
    def test_hop_deadline_ends_before_the_callers(
        self, total_s: float, hops: list[tuple[float, float]]
    ) -> None:
        remaining_s, elapsed_s = total_s, 0.0
        for clock_offset_s, work_s in hops:
            deadline = compute_deadline(remaining_s=remaining_s, now=clock_offset_s)
            elapsed_s += work_s
            sent_s = compute_hop_remaining_s(
                deadline=deadline, now=clock_offset_s + work_s
            )
            if sent_s is None:
                return
            self.assertLess(sent_s, remaining_s)
            self.assertLess(elapsed_s + sent_s, total_s)
            remaining_s = sent_s

    def test_invalid_duration_is_expired_and_length_is_bounded(self) -> None:
        for remaining_s in (float("nan"), float("-inf"), -1.0, 0.0):
            self.assertEqual(compute_deadline(remaining_s=remaining_s, now=5.0), 5.0)
        deadline = compute_deadline(remaining_s=float("inf"), now=5.0)
        self.assertEqual(deadline, 3605.0)


class PauseDetectorTest(unittest.TestCase):
    def test_pause_discounts_what_is_read_after_it(self) -> None:
        detector = PauseDetector(
            interval_s=0.5, tolerance_s=0.5, settle_s=0.25, now=0.0
        )
        for now in (0.5, 1.0, 2.0):
            self.assertEqual(detector.observe(now), 0.0)
        self.assertEqual(detector.discount_s(2.0), 0.0)
        self.assertEqual(detector.observe(10.0), 8.0)
        self.assertEqual(detector.discount_s(10.25), 8.0)
        self.assertEqual(detector.discount_s(10.5), 0.0)
