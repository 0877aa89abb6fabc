"""Comparison of admission policies in simulated time.

Calls arrive at random times at one upstream with ten slots. Each scenario changes
the run time of the calls or their rate. The capacity is the rate that the healthy
upstream serves with all slots busy. A call that finishes before its deadline counts
towards the goodput; any other running call is cancelled at its deadline.
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

# Slots of the upstream.
N_SLOTS = 10
# Capacity of the queue.
N_QUEUED = 20
# Longest wait in the queue.
QUEUE_TIMEOUT_S = 0.1
# Mean run time of a call at the healthy upstream.
SERVICE_S = 0.02
# Shortest and longest time from the arrival of a call to its deadline.
DEADLINES_S = (0.1, 0.5)
# Simulated time during which calls arrive.
DURATION_S = 10.0
# Offered loads as multiples of the capacity.
LOADS = (0.5, 1.0, 2.0, 5.0)
# Calls per second that the healthy upstream serves.
CAPACITY_PER_S = N_SLOTS / SERVICE_S
# Seed of the simulation.
SEED = 11

Slowdown = Callable[[float, int], float]
Rate = Callable[[float], float]


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """Behaviour of an upstream and of its load over time.

    Parameters
    ----------
    name : str
        Name in the output.
    slowdown : callable
        Returns the factor of the run time for a time in seconds and a number of
        running calls.
    rate : callable
        Returns the factor of the offered load for a time in seconds.
    """

    name: str
    slowdown: Slowdown
    rate: Rate


@dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """Scheduled event of the simulation.

    Parameters
    ----------
    kind : str
        ``arrive``, ``expire``, ``finish`` or ``cancel``.
    call_id : str
        Identifier of the call; empty for an arrival or an expiry.
    """

    kind: str
    call_id: str


class Simulation:
    """Simulation of one scenario with one policy.

    Parameters
    ----------
    queue : AdmissionQueue
        Queue of the upstream.
    scenario : Scenario
        Behaviour of the upstream and of its load.
    load : float
        Offered load as a multiple of the capacity.
    """

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
        self.started_at_by_call: dict[str, float] = {}
        self.latencies_s: list[float] = []
        self.n_wasted = 0

    def schedule(self, at: float, kind: str, call_id: str = "") -> None:
        """Schedule an event at a simulated time in seconds."""
        self.n_events += 1
        heappush(self.events, (at, self.n_events, Event(kind=kind, call_id=call_id)))

    def run(self) -> None:
        """Simulate until no events are left."""
        self.schedule(0.0, "arrive")
        while self.events:
            now, _, event = heappop(self.events)
            if event.kind == "arrive":
                self.arrive(now)
            elif event.kind == "expire":
                self.apply(self.queue.expire(now), now)
            elif event.call_id in self.started_at_by_call:
                self.end(event, now)

    def arrive(self, now: float) -> None:
        """Offer one call to the queue and schedule the next arrival."""
        rate = CAPACITY_PER_S * self.load * self.scenario.rate(now)
        next_arrival_at = now + self.random_source.expovariate(rate)
        if next_arrival_at < DURATION_S:
            self.schedule(next_arrival_at, "arrive")
        call_id = str(len(self.calls))
        deadline = now + self.random_source.uniform(*DEADLINES_S)
        self.calls[call_id] = (now, deadline)
        call = PendingCall(
            call_id=call_id,
            caller=self.choose_caller(call_id),
            priority=0,
            deadline=deadline,
        )
        self.apply(self.queue.offer(call, now), now)
        if call_id in self.queue.waiting:
            self.schedule(self.queue.waiting[call_id].expires_at, "expire")

    def choose_caller(self, call_id: str) -> str:
        """Return the caller of a call."""
        return "caller"

    def apply(self, decisions: tuple[AdmissionDecision, ...], now: float) -> None:
        """Start the admitted calls and schedule how they end."""
        for decision in decisions:
            if not isinstance(decision, Admitted):
                continue
            call_id = decision.call_id
            self.started_at_by_call[call_id] = now
            slowdown = self.scenario.slowdown(now, len(self.started_at_by_call))
            service_s = self.random_source.gammavariate(4.0, SERVICE_S / 4.0)
            self.schedule(now + service_s * slowdown, "finish", call_id)
            self.schedule(self.calls[call_id][1], "cancel", call_id)

    def end(self, event: Event, now: float) -> None:
        """Finish or cancel a running call."""
        started_at = self.started_at_by_call.pop(event.call_id)
        if event.kind == "cancel":
            self.n_wasted += 1
            self.apply(self.queue.cancel(event.call_id, now), now)
            return
        self.latencies_s.append(now - self.calls[event.call_id][0])
        decisions = self.queue.release(event.call_id, now, now - started_at, True)
        self.apply(decisions, now)


def make_queue(policy: str) -> AdmissionQueue:
    """Return the queue of a policy.

    Parameters
    ----------
    policy : str
        Limit policy ``fixed`` or ``adaptive``, optionally followed by ``+newest`` for
        the newest call first under overload and by ``+breaker`` for a circuit breaker.
    """
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


# Compared policies, in the notation of `make_queue`.
POLICIES = (
    "fixed",
    "fixed+newest",
    "fixed+breaker",
    "adaptive",
    "adaptive+newest",
)
# Compared scenarios.
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


def find_quantile_ms(times_s: list[float], quantile: float) -> float:
    """Return a quantile of sorted times, in milliseconds; NaN if there are none.

    Parameters
    ----------
    times_s : list of float
        Sorted times in seconds.
    quantile : float
        Quantile from 0 to 1.
    """
    if not times_s:
        return float("nan")
    return round(times_s[int(quantile * (len(times_s) - 1))] * 1e3, 1)


def measure(policy: str, scenario: Scenario, load: float) -> dict[str, object]:
    """Return the figures of one simulation."""
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
        "p50_ms": find_quantile_ms(latencies_s, 0.5),
        "p99_ms": find_quantile_ms(latencies_s, 0.99),
    }


def main() -> None:
    """Print one JSON object for each scenario, load and policy."""
    for scenario in SCENARIOS:
        for load in LOADS:
            for policy in POLICIES:
                print(json.dumps(measure(policy, scenario, load)))


if __name__ == "__main__":
    main()
