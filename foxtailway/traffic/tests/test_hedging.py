from random import Random
from unittest import TestCase

from foxtailway.traffic.hedging import compute_hedge_start

MEAN_S = 0.15
DUE_S = 0.5
DEADLINE_S = 1.2
N_REQUESTS = 20_000


def draw_run_time(random_source: Random) -> float:
    """Return a log-normal run time, in one of a hundred draws five times as long."""
    run_time_s = MEAN_S * random_source.lognormvariate(-0.045, 0.3)
    return run_time_s * 5 if random_source.random() < 0.01 else run_time_s


class HedgeTest(TestCase):
    """Hedged attempts under light load with a long tail of run times."""

    def test_few_hedged_attempts_avoid_most_late_responses(self) -> None:
        random_source = Random(7)
        start_at = compute_hedge_start(
            started_at=0.0, due_at=DUE_S, deadline=DEADLINE_S, run_time_s=MEAN_S
        )
        n_late = n_late_hedged = n_hedged = 0
        for _ in range(N_REQUESTS):
            first_s = draw_run_time(random_source)
            end_s = first_s
            if first_s > start_at:
                n_hedged += 1
                end_s = min(first_s, start_at + draw_run_time(random_source))
            n_late += first_s > DUE_S
            n_late_hedged += end_s > DUE_S
        self.assertGreater(n_late, 100)
        self.assertLess(n_late_hedged, n_late / 3)
        self.assertLess(n_hedged, N_REQUESTS * 0.05)

    def test_hedged_attempt_starts_only_when_the_first_is_slow(self) -> None:
        start_at = compute_hedge_start(
            started_at=1.0, due_at=1.1, deadline=3.0, run_time_s=0.2
        )
        self.assertGreaterEqual(start_at, 1.4)

    def test_hedged_attempt_that_would_miss_the_deadline_is_omitted(self) -> None:
        start_at = compute_hedge_start(
            started_at=0.0, due_at=0.5, deadline=0.55, run_time_s=0.2
        )
        self.assertEqual(start_at, float("inf"))
