from random import Random
from unittest import TestCase

from foxtailway.traffic.retry_budget import RetryBudget


class RetryBudgetTest(TestCase):
    def test_fleet_keeps_its_bound_in_every_window(self) -> None:
        random_source = Random(3)
        n_nodes = 16
        budgets = [
            RetryBudget(ratio=0.2, slack=56.0, window_s=10.0) for _ in range(n_nodes)
        ]
        requests: list[float] = []
        repeats: list[float] = []
        now = 0.0
        while now < 40.0:
            now += random_source.expovariate(500.0)
            budget = random_source.choice(budgets)
            budget.record_request(now)
            requests.append(now)
            if 15.0 < now < 25.0 and budget.try_acquire(n_nodes, now):
                repeats.append(now)
        self.assertTrue(repeats)
        for end in range(10, 41):
            n_requests = sum(end - 10 <= time < end for time in requests)
            n_repeats = sum(end - 10 <= time < end for time in repeats)
            self.assertLessEqual(n_repeats, 0.2 * n_requests + 56.0)

    def test_idle_node_may_repeat_a_little(self) -> None:
        budget = RetryBudget(ratio=0.2, slack=56.0, window_s=10.0)
        granted = [budget.try_acquire(16, 1.0) for _ in range(10)]
        self.assertEqual(sum(granted), 2)

    def test_spent_budget_returns_with_time(self) -> None:
        budget = RetryBudget(ratio=0.0, slack=2.0, window_s=10.0)
        self.assertTrue(budget.try_acquire(1, 0.0))
        self.assertFalse(budget.try_acquire(1, 9.0))
        self.assertTrue(budget.try_acquire(1, 10.5))
