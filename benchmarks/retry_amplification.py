"""Measure how retries multiply along a chain of calls with a sick service.

Service 0 calls service 1, and so on; each has several hosts. Some hosts of one
service refuse every call. Attempts are counted at every layer and compared with
the calls that a chain without retries would make.
"""

import json
from dataclasses import dataclass
from enum import Enum
from random import Random

from foxtailway.model import Route
from foxtailway.routing import (
    Outcome,
    Refusal,
    RefusalReason,
    RetryBudget,
    RetryPolicy,
)

__all__ = ["main"]

N_LAYERS = 12
N_HOSTS = 4
N_CALLS = 2_000
N_RETRIES = 2
RETRY_RATIO = 0.1
SEED = 17


class Strategy(Enum):
    """How a caller treats a call that failed."""

    NONE = "none"
    EVERY_LAYER = "every layer, any failure"
    BUDGET = "budget, not run only"


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """Tell whether a call succeeded, and how it is known to have failed."""

    is_success: bool
    outcome: Outcome


class Chain:
    """Simulate calls along the chain under one strategy."""

    def __init__(
        self, *, strategy: Strategy, sick_layer: int, n_sick_hosts: int
    ) -> None:
        self.strategy = strategy
        self.sick_layer = sick_layer
        self.n_sick_hosts = n_sick_hosts
        self.random_source = Random(SEED)
        self.policy = RetryPolicy(random_source=self.random_source)
        self.budgets = [RetryBudget(ratio=RETRY_RATIO) for _ in range(N_LAYERS)]
        self.n_attempts = [0] * N_LAYERS

    def call(self, layer: int, now: float) -> Answer:
        """Call the service of a layer, with retries."""
        self.budgets[layer].record_call(now)
        excluded: set[int] = set()
        n_attempts = 0
        while True:
            n_attempts += 1
            hosts = [host for host in range(N_HOSTS) if host not in excluded]
            host = self.random_source.choice(hosts)
            answer = self.attempt(layer, host, now)
            if answer.is_success or not self.is_retried(layer, answer, n_attempts, now):
                return answer
            excluded.add(host)

    def attempt(self, layer: int, host: int, now: float) -> Answer:
        """Send the call to one host, which calls the next layer."""
        self.n_attempts[layer] += 1
        if layer == self.sick_layer and host < self.n_sick_hosts:
            return Answer(is_success=False, outcome=Outcome.NOT_RUN)
        if layer + 1 == N_LAYERS:
            return Answer(is_success=True, outcome=Outcome.RAN)
        inner = self.call(layer + 1, now)
        return Answer(is_success=inner.is_success, outcome=Outcome.RAN)

    def is_retried(
        self, layer: int, answer: Answer, n_attempts: int, now: float
    ) -> bool:
        """Decide about one more attempt."""
        if self.strategy is Strategy.NONE:
            return False
        if self.strategy is Strategy.EVERY_LAYER:
            return n_attempts <= N_RETRIES
        refusal = Refusal(
            outcome=answer.outcome,
            reason=RefusalReason.OVERLOADED,
            retry_after_s=0.0,
            host_id="host",
        )
        decision = self.policy.decide(
            refusal=refusal,
            route=ROUTE,
            n_attempts=n_attempts,
            deadline=now + 10.0,
            budget=self.budgets[layer],
            now=now,
        )
        return decision.is_retried


ROUTE = Route(
    name="route",
    path_prefix="/",
    methods=frozenset(("GET",)),
    cluster="cluster",
    is_idempotent=True,
    timeout_s=1.0,
    n_retries=N_RETRIES,
    priority=0,
    idempotency_window_s=60.0,
)


def measure(
    strategy: Strategy, sick_layer: int, n_sick_hosts: int
) -> dict[str, object]:
    """Return the figures of one run."""
    chain = Chain(strategy=strategy, sick_layer=sick_layer, n_sick_hosts=n_sick_hosts)
    n_calls = 50 if strategy is Strategy.EVERY_LAYER else N_CALLS
    answers = [chain.call(0, float(index)) for index in range(n_calls)]
    n_failed = sum(not answer.is_success for answer in answers)
    n_depths = [sick_layer + 1, N_LAYERS]
    n_expected = n_calls * n_depths[n_sick_hosts < N_HOSTS]
    return {
        "measure": "retry_amplification",
        "strategy": strategy.value,
        "sick_layer": sick_layer + 1,
        "sick_hosts": f"{n_sick_hosts} of {N_HOSTS}",
        "calls": n_calls,
        "failed_ratio": round(n_failed / n_calls, 4),
        "total_amplification": round(sum(chain.n_attempts) / n_expected, 3),
        "sick_layer_amplification": round(chain.n_attempts[sick_layer] / n_calls, 3),
    }


def main() -> None:
    """Print one JSON object per strategy and sickness."""
    for sick_layer in (0, 5, 11):
        for n_sick_hosts in (1, 4):
            for strategy in Strategy:
                if strategy is Strategy.EVERY_LAYER and sick_layer > 5:
                    continue
                print(json.dumps(measure(strategy, sick_layer, n_sick_hosts)))


if __name__ == "__main__":
    main()
