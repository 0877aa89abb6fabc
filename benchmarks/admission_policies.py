"""Compare admission policies in simulated time.

One upstream with ten slots is offered calls at random times. Each scenario
changes how long it takes to serve them; capacity is what the healthy upstream
serves with all slots busy. A call counts as good when it ends before its
deadline; a call that does not is cancelled at the deadline.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush
from random import Random

from benchmarks.saturation_breaker import BreakerQueue
from foxtailway.routing import (
    AdaptiveLimit,
    AdmissionDecision,
    AdmissionQueue,
    Admitted,
    FixedLimit,
    NewestFirstUnderOverload,
    OldestFirst,
    PendingCall,
)

__all__ = ["main"]

N_SLOTS = 10
N_QUEUED = 20
QUEUE_TIMEOUT_S = 0.1
SERVICE_S = 0.02
DEADLINES_S = (0.1, 0.5)
DURATION_S = 10.0
LOADS = (0.5, 1.0, 2.0, 5.0)
CAPACITY_PER_S = N_SLOTS / SERVICE_S
SEED = 11

Slowdown = Callable[[float, int], float]
Rate = Callable[[float], float]


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """Describe an upstream and the shape of its load.

    Parameters
    ----------
    name : str
        Name in the report.
    slowdown : callable
        Factor of the service time, by time and calls running.
    rate : callable
        Factor of the offered load, by time.
    """

    name: str
    slowdown: Slowdown
    rate: Rate


@dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """Hold a planned event of the simulation."""

    kind: str
    call_id: str


class Simulation:
    """Run one scenario under one policy."""

    def __init__(
        self, *, queue: AdmissionQueue, scenario: Scenario, load: float
    ) -> None:
        self.queue = queue
        self.scenario = scenario
        self.load = load
        self.random_source = Random(SEED)
        self.events: list[tuple[float, int, Event]] = []
        self.n_events = 0
        self.calls: dict[str, tuple[float, float]] = {}
        self.started: dict[str, float] = {}
        self.latencies_s: list[float] = []
        self.n_wasted = 0

    def plan(self, at: float, kind: str, call_id: str = "") -> None:
        """Plan an event."""
        self.n_events += 1
        heappush(self.events, (at, self.n_events, Event(kind=kind, call_id=call_id)))

    def run(self) -> None:
        """Simulate until the end of the load."""
        self.plan(0.0, "arrive")
        while self.events:
            now, _, event = heappop(self.events)
            if event.kind == "arrive":
                self.arrive(now)
            elif event.kind == "expire":
                self.apply(self.queue.expire(now), now)
            elif event.call_id in self.started:
                self.end(event, now)

    def arrive(self, now: float) -> None:
        """Offer one call and plan the next."""
        rate = CAPACITY_PER_S * self.load * self.scenario.rate(now)
        following = now + self.random_source.expovariate(rate)
        if following < DURATION_S:
            self.plan(following, "arrive")
        call_id = str(len(self.calls))
        deadline = now + self.random_source.uniform(*DEADLINES_S)
        self.calls[call_id] = (now, deadline)
        call = PendingCall(
            call_id=call_id,
            caller=self.draw_caller(call_id),
            priority=0,
            deadline=deadline,
        )
        self.apply(self.queue.offer(call, now), now)
        if call_id in self.queue.waiting:
            self.plan(self.queue.waiting[call_id].expires_at, "expire")

    def draw_caller(self, call_id: str) -> str:
        """Return the caller of a call."""
        return "caller"

    def apply(self, decisions: tuple[AdmissionDecision, ...], now: float) -> None:
        """Start the admitted calls."""
        for decision in decisions:
            if not isinstance(decision, Admitted):
                continue
            call_id = decision.call_id
            self.started[call_id] = now
            slowdown = self.scenario.slowdown(now, len(self.started))
            service_s = self.random_source.gammavariate(4.0, SERVICE_S / 4.0)
            self.plan(now + service_s * slowdown, "finish", call_id)
            self.plan(self.calls[call_id][1], "cancel", call_id)

    def end(self, event: Event, now: float) -> None:
        """Finish or cancel a call that runs."""
        started_at = self.started.pop(event.call_id)
        if event.kind == "cancel":
            self.n_wasted += 1
            self.apply(self.queue.cancel(event.call_id, now), now)
            return
        self.latencies_s.append(now - self.calls[event.call_id][0])
        decisions = self.queue.release(event.call_id, now, now - started_at, True)
        self.apply(decisions, now)


def make_queue(policy: str) -> AdmissionQueue:
    """Return the queue of a policy, named by its parts."""
    parts = policy.split("+")
    limits = {"fixed": FixedLimit, "adaptive": AdaptiveLimit}
    orders = {True: NewestFirstUnderOverload, False: OldestFirst}
    queues = {True: BreakerQueue, False: AdmissionQueue}
    return queues["breaker" in parts](
        host_id="host",
        limit_policy=limits[parts[0]](n_slots=N_SLOTS),
        n_queued=N_QUEUED,
        queue_timeout_s=QUEUE_TIMEOUT_S,
        queue_order=orders["newest" in parts](),
    )


POLICIES = (
    "fixed",
    "fixed+newest",
    "fixed+breaker",
    "adaptive",
    "adaptive+newest",
)
SCENARIOS = (
    Scenario(name="steady", slowdown=lambda now, n_running: 1.0, rate=lambda now: 1.0),
    Scenario(
        name="burst",
        slowdown=lambda now, n_running: 1.0,
        rate=lambda now: 4.0 if now % 1.0 < 0.2 else 0.25,
    ),
    Scenario(
        name="slow upstream",
        slowdown=lambda now, n_running: 5.0 if 3.0 <= now < 7.0 else 1.0,
        rate=lambda now: 1.0,
    ),
    Scenario(
        name="contended upstream",
        slowdown=lambda now, n_running: max(1.0, (n_running / 4.0) ** 2),
        rate=lambda now: 1.0,
    ),
    Scenario(
        name="cold start",
        slowdown=lambda now, n_running: 1.0 + max(0.0, 7.0 - 3.5 * now),
        rate=lambda now: 1.0,
    ),
)


def find_quantile(values: list[float], quantile: float) -> float:
    """Return a quantile of sorted values in milliseconds."""
    if not values:
        return float("nan")
    return round(values[int(quantile * (len(values) - 1))] * 1e3, 1)


def measure(policy: str, scenario: Scenario, load: float) -> dict[str, object]:
    """Return the figures of one run."""
    simulation = Simulation(queue=make_queue(policy), scenario=scenario, load=load)
    simulation.run()
    latencies_s = sorted(simulation.latencies_s)
    return {
        "measure": "admission_policies",
        "scenario": scenario.name,
        "load": load,
        "policy": policy,
        "goodput_per_s": round(len(latencies_s) / DURATION_S),
        "wasted_per_s": round(simulation.n_wasted / DURATION_S, 1),
        "p50_ms": find_quantile(latencies_s, 0.5),
        "p99_ms": find_quantile(latencies_s, 0.99),
    }


def main() -> None:
    """Print one JSON object per scenario, load and policy."""
    for scenario in SCENARIOS:
        for load in LOADS:
            for policy in POLICIES:
                print(json.dumps(measure(policy, scenario, load)))


if __name__ == "__main__":
    main()
