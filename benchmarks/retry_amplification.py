"""Retry amplification along a chain of calls with a faulty service.

Service 0 calls service 1, and so on; each service has several hosts. Some hosts of
one service refuse every call. The attempts at every layer are compared with the
calls that a chain without retries makes.
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

# Services in the chain.
N_LAYERS = 12
# Hosts of a service.
N_HOSTS = 4
# Calls to the first service.
N_CALLS = 2_000
# Largest number of retries of a call at one layer.
N_RETRIES = 2
# Retries allowed by the budget for each call.
RETRY_RATIO = 0.1
# Seed of the simulation.
SEED = 17


class Strategy(Enum):
    """Strategy of retries for a call that failed."""

    NONE = "none"
    EVERY_LAYER = "every layer, any failure"
    BUDGET = "budget, not run only"


@dataclass(frozen=True, slots=True, kw_only=True)
class CallResult:
    """Result of a call: whether it succeeded, and whether the request ran."""

    is_success: bool
    outcome: Outcome


class Chain:
    """Chain of services whose callers use one strategy.

    Parameters
    ----------
    strategy : Strategy
        Strategy of retries.
    faulty_layer : int
        Index of the service with faulty hosts.
    n_faulty_hosts : int
        Hosts of that service that refuse every call.
    """

    def __init__(
        self, *, strategy: Strategy, faulty_layer: int, n_faulty_hosts: int
    ) -> None:
        self.strategy = strategy
        self.faulty_layer = faulty_layer
        self.n_faulty_hosts = n_faulty_hosts
        self.random_source = Random(SEED)
        self.policy = RetryPolicy(random_source=self.random_source)
        self.budgets = [RetryBudget(ratio=RETRY_RATIO) for _ in range(N_LAYERS)]
        self.n_attempts = [0] * N_LAYERS

    def call(self, layer: int, now: float) -> CallResult:
        """Call the service of a layer, with retries, and return the last result."""
        self.budgets[layer].record_call(now)
        excluded: set[int] = set()
        n_attempts = 0
        while True:
            n_attempts += 1
            hosts = [host for host in range(N_HOSTS) if host not in excluded]
            host = self.random_source.choice(hosts)
            result = self.attempt(layer, host, now)
            if result.is_success or not self.is_retried(layer, result, n_attempts, now):
                return result
            excluded.add(host)

    def attempt(self, layer: int, host: int, now: float) -> CallResult:
        """Make one attempt at a host, which calls the next layer."""
        self.n_attempts[layer] += 1
        if layer == self.faulty_layer and host < self.n_faulty_hosts:
            return CallResult(is_success=False, outcome=Outcome.NOT_RUN)
        if layer + 1 == N_LAYERS:
            return CallResult(is_success=True, outcome=Outcome.RAN)
        next_result = self.call(layer + 1, now)
        return CallResult(is_success=next_result.is_success, outcome=Outcome.RAN)

    def is_retried(
        self, layer: int, result: CallResult, n_attempts: int, now: float
    ) -> bool:
        """Return whether the call is retried."""
        if self.strategy is Strategy.NONE:
            return False
        if self.strategy is Strategy.EVERY_LAYER:
            return n_attempts <= N_RETRIES
        refusal = Refusal(
            outcome=result.outcome,
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


# Route of every call.
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
    strategy: Strategy, faulty_layer: int, n_faulty_hosts: int
) -> dict[str, object]:
    """Return the figures of one simulation."""
    chain = Chain(
        strategy=strategy, faulty_layer=faulty_layer, n_faulty_hosts=n_faulty_hosts
    )
    n_calls = 50 if strategy is Strategy.EVERY_LAYER else N_CALLS
    results = [chain.call(0, float(index)) for index in range(n_calls)]
    n_failed = sum(not result.is_success for result in results)
    n_layers_reached = [faulty_layer + 1, N_LAYERS]
    n_expected = n_calls * n_layers_reached[n_faulty_hosts < N_HOSTS]
    return {
        "measure": "retry_amplification",
        "strategy": strategy.value,
        "sick_layer": faulty_layer + 1,
        "sick_hosts": f"{n_faulty_hosts} of {N_HOSTS}",
        "calls": n_calls,
        "failed_ratio": round(n_failed / n_calls, 4),
        "total_amplification": round(sum(chain.n_attempts) / n_expected, 3),
        "sick_layer_amplification": round(chain.n_attempts[faulty_layer] / n_calls, 3),
    }


def main() -> None:
    """Print one JSON object for each faulty layer, number of hosts and strategy."""
    for faulty_layer in (0, 5, 11):
        for n_faulty_hosts in (1, 4):
            for strategy in Strategy:
                if strategy is Strategy.EVERY_LAYER and faulty_layer > 5:
                    continue
                print(json.dumps(measure(strategy, faulty_layer, n_faulty_hosts)))


if __name__ == "__main__":
    main()
