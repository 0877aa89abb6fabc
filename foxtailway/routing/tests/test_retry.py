import unittest
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from foxtailway.routing import (
    Outcome,
    Refusal,
    RefusalReason,
    RetryBudget,
    RetryDecision,
    RetryPolicy,
)
from foxtailway.routing.tests.builders import make_route


def decide(
    outcome: Outcome = Outcome.NOT_RUN,
    reason: RefusalReason = RefusalReason.OVERLOADED,
    n_attempts: int = 1,
    deadline: float = 10.0,
    n_initial: int = 3,
) -> RetryDecision:
    refusal = Refusal(outcome=outcome, reason=reason, retry_after_s=0.0, host_id="host")
    return RetryPolicy(random_source=Random(3)).decide(
        refusal=refusal,
        route=make_route("/", n_retries=2),
        n_attempts=n_attempts,
        deadline=deadline,
        budget=RetryBudget(ratio=0.1, n_initial=n_initial),
        now=0.0,
    )


class RetryBudgetTest(unittest.TestCase):
    @given(st.lists(st.booleans(), max_size=300), st.sampled_from([0.0, 0.125, 0.5]))
    def test_never_exceeds_its_share(self, steps: list[bool], ratio: float) -> None:
        budget = RetryBudget(ratio=ratio, n_initial=2, max_available=5)
        n_calls = n_retries = 0
        n_available = 2.0
        for is_call in steps:
            if is_call:
                budget.record_call(0.0)
                n_calls += 1
                n_available = min(5.0, n_available + ratio)
                continue
            is_allowed = budget.try_withdraw(0.0)
            self.assertEqual(is_allowed, n_available >= 1.0)
            n_retries += is_allowed
            n_available -= is_allowed
        self.assertLessEqual(n_retries, ratio * n_calls + 2)


class RetryPolicyTest(unittest.TestCase):
    def test_only_what_did_not_run_is_retried(self) -> None:
        self.assertTrue(decide().is_retried)
        for outcome in (Outcome.UNKNOWN, Outcome.RAN):
            for reason in RefusalReason:
                self.assertFalse(decide(outcome=outcome, reason=reason).is_retried)

    def test_no_retry_beyond_any_bound(self) -> None:
        self.assertFalse(decide(n_attempts=3).is_retried)
        self.assertFalse(decide(deadline=0.0).is_retried)
        self.assertFalse(decide(n_initial=0).is_retried)
        self.assertFalse(decide(reason=RefusalReason.EXPIRED).is_retried)

    def test_other_host_is_tried_at_once_after_draining(self) -> None:
        self.assertEqual(decide(reason=RefusalReason.DRAINING).delay_s, 0.0)
        self.assertGreater(decide().delay_s, 0.0)

    def test_draining_refusal_is_not_charged_to_the_budget(self) -> None:
        refused = decide(reason=RefusalReason.DRAINING, n_initial=0)
        self.assertTrue(refused.is_retried)
        self.assertFalse(decide(n_initial=0).is_retried)
