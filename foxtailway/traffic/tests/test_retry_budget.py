from random import Random
from unittest import TestCase

from foxtailway.traffic.retry_budget import RetryBudget


class RetryBudgetTest(TestCase):
    def test_all_nodes_together_stay_within_the_limit(self) -> None:
        random_source = Random(3)
        n_nodes = 16
        budgets = [
            RetryBudget(ratio=0.2, slack=56.0, window_s=10.0) for _ in range(n_nodes)
        ]
        request_times: list[float] = []
        attempt_times: list[float] = []
        now = 0.0
        while now < 40.0:
            now += random_source.expovariate(500.0)
            budget = random_source.choice(budgets)
            budget.record_request(now)
            request_times.append(now)
            if 15.0 < now < 25.0 and budget.try_acquire(n_nodes, now):
                attempt_times.append(now)
        self.assertTrue(attempt_times)
        for end in range(10, 41):
            n_requests = sum(end - 10 <= time < end for time in request_times)
            n_further_attempts = sum(end - 10 <= time < end for time in attempt_times)
            self.assertLessEqual(n_further_attempts, 0.2 * n_requests + 56.0)

    def test_idle_node_may_use_its_part_of_the_slack(self) -> None:
        budget = RetryBudget(ratio=0.2, slack=56.0, window_s=10.0)
        granted = [budget.try_acquire(16, 1.0) for _ in range(10)]
        self.assertEqual(sum(granted), 2)

    def test_exhausted_budget_recovers_after_the_window(self) -> None:
        budget = RetryBudget(ratio=0.0, slack=2.0, window_s=10.0)
        self.assertTrue(budget.try_acquire(1, 0.0))
        self.assertFalse(budget.try_acquire(1, 9.0))
        self.assertTrue(budget.try_acquire(1, 10.5))
