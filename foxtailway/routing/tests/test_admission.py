import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from foxtailway.routing import (
    AdaptiveLimit,
    AdmissionDecision,
    AdmissionQueue,
    Admitted,
    FixedLimit,
    NewestFirstUnderOverload,
    OldestFirst,
    Outcome,
    PendingCall,
    QueueOrder,
    RefusalReason,
    make_admission_queue,
)
from foxtailway.routing.tests.builders import make_cluster

N_SLOTS = 2
N_QUEUED = 3
QUEUE_TIMEOUT_S = 4.0
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["offer", "offer", "offer", "release", "cancel", "wait"]),
        st.integers(0, 5),
        st.sampled_from(["loud", "quiet"]),
        st.integers(0, 1),
    ),
    min_size=15,
    max_size=40,
)


def make_queue(order: QueueOrder | None = None) -> AdmissionQueue:
    return AdmissionQueue(
        host_id="host",
        limit_policy=FixedLimit(n_slots=N_SLOTS),
        n_queued=N_QUEUED,
        queue_timeout_s=QUEUE_TIMEOUT_S,
        queue_order=order or OldestFirst(),
    )


def make_call(
    call_id: str, caller: str = "caller", priority: int = 0, deadline: float = 100.0
) -> PendingCall:
    return PendingCall(
        call_id=call_id, caller=caller, priority=priority, deadline=deadline
    )


def summarise(decisions: tuple[AdmissionDecision, ...]) -> list[str]:
    return [
        decision.call_id
        if isinstance(decision, Admitted)
        else f"{decision.call_id}:{decision.refusal.reason.value}"
        for decision in decisions
    ]


class ReferenceQueue:
    """Reference that recomputes each decision from lists of (call, expiry)."""

    def __init__(self) -> None:
        self.running: list[PendingCall] = []
        self.waiting: list[tuple[PendingCall, float]] = []

    def step(self, now: float) -> list[str]:
        log = []
        for call, expiry in list(self.waiting):
            if expiry <= now:
                self.waiting.remove((call, expiry))
                reason = "expired" if call.deadline <= now else "overloaded"
                log.append(f"{call.call_id}:{reason}")
        while self.waiting and len(self.running) < N_SLOTS:
            callers = Counter(call.caller for call in self.running)
            ranks = [(call.priority, callers[call.caller]) for call, _ in self.waiting]
            call, _ = self.waiting.pop(ranks.index(min(ranks)))
            self.running.append(call)
            log.append(call.call_id)
        if len(self.waiting) > N_QUEUED:
            callers = Counter(call.caller for call, _ in self.waiting)
            ranks = [(call.priority, callers[call.caller]) for call, _ in self.waiting]
            worst = max(index for index, rank in enumerate(ranks) if rank == max(ranks))
            log.append(f"{self.waiting.pop(worst)[0].call_id}:overloaded")
        return log


class AdmissionQueueTest(unittest.TestCase):
    @settings(max_examples=60)
    @given(STEPS)
    def test_equals_a_recomputed_queue(self, steps: list[tuple]) -> None:
        queue, reference = make_queue(), ReferenceQueue()
        now = 0.0
        for index, (action, number, caller, priority) in enumerate(steps):
            known = reference.running + [call for call, _ in reference.waiting]
            target = known[number % len(known)].call_id if known else "none"
            if action == "offer":
                call = make_call(str(index), caller, priority, now + 1.0 + number)
                reference.waiting.append(
                    (call, min(call.deadline, now + QUEUE_TIMEOUT_S))
                )
                decisions = queue.offer(call, now)
            elif action == "release":
                n_running = len(reference.running)
                reference.running = [
                    c for c in reference.running if c.call_id != target
                ]
                decisions = queue.release(target, now, 0.1, True)
                if len(reference.running) == n_running:
                    self.assertEqual(decisions, ())
                    continue
            elif action == "cancel":
                n_running = len(reference.running)
                reference.running = [
                    c for c in reference.running if c.call_id != target
                ]
                reference.waiting = [
                    w for w in reference.waiting if w[0].call_id != target
                ]
                decisions = queue.cancel(target, now)
                if len(reference.running) == n_running:
                    self.assertEqual(decisions, ())
                    continue
            else:
                now += number
                decisions = queue.expire(now)
            self.assertEqual(summarise(decisions), reference.step(now))
            expiries = [expiry for _, expiry in reference.waiting]
            self.assertEqual(queue.next_expiry(), min(expiries, default=None))

    def test_deadline_is_checked_again_at_admission(self) -> None:
        queue = make_queue()
        for name in "ab":
            queue.offer(make_call(name), 0.0)
        queue.offer(make_call("late", deadline=1.0), 0.0)
        decisions = queue.release("a", 2.0, 2.0, True)
        self.assertEqual(summarise(decisions), ["late:expired"])
        self.assertIs(decisions[0].refusal.outcome, Outcome.NOT_RUN)
        self.assertEqual(len(queue.running), 1)

    def test_late_call_is_refused_at_once(self) -> None:
        (decision,) = make_queue().offer(make_call("late", deadline=1.0), 1.0)
        self.assertIs(decision.refusal.reason, RefusalReason.EXPIRED)

    def test_caller_with_few_calls_is_served_under_load(self) -> None:
        queue = make_queue()
        for index in range(50):
            queue.offer(make_call(f"loud-{index}", "loud"), 0.0)
        self.assertEqual(
            queue.offer(make_call("quiet", "quiet"), 0.0)[0].call_id[:4], "loud"
        )
        decisions = queue.release("loud-0", 0.1, 0.1, True)
        self.assertEqual(summarise(decisions), ["quiet"])

    def test_draining_refuses_new_calls_and_admits_queued_ones(self) -> None:
        queue = make_queue()
        for name in "abc":
            queue.offer(make_call(name), 0.0)
        queue.start_draining()
        (decision,) = queue.offer(make_call("d"), 0.0)
        self.assertIs(decision.refusal.reason, RefusalReason.DRAINING)
        self.assertEqual(summarise(queue.release("a", 0.1, 0.1, True)), ["c"])

    def test_newest_is_first_only_under_overload(self) -> None:
        queue = make_queue(NewestFirstUnderOverload(interval_s=1.0))
        for index in range(5):
            queue.offer(make_call(str(index)), 0.0)
        self.assertEqual(summarise(queue.release("0", 0.5, 0.5, True)), ["2"])
        queue.offer(make_call("new"), 0.6)
        self.assertEqual(summarise(queue.release("1", 1.5, 0.5, True)), ["new"])

    def test_reconfiguration_keeps_the_adaptive_limit(self) -> None:
        queue = make_admission_queue(host_id="host", cluster=make_cluster())
        policy = queue.limit_policy
        queue.reconfigure(make_cluster(n_queued=3))
        self.assertIs(queue.limit_policy, policy)
        self.assertEqual(queue.n_queued, 3)
        queue.reconfigure(make_cluster(n_slots=4))
        self.assertEqual(queue.limit_policy.limit(), 4)


def run_upstream(
    policy: AdaptiveLimit, capacities_per_s: list[float], n_calls: int
) -> Counter[int]:
    """Return how often each limit was in use with an upstream under full load.

    `capacities_per_s` holds its responses per second, by the running calls.
    """
    now, limits = 0.0, Counter()
    for _ in range(n_calls):
        n_running = policy.limit()
        limits[n_running] += 1
        now += 1.0 / capacities_per_s[n_running]
        policy.record(latency_s=0.1, is_success=True, n_running=n_running, now=now)
    return limits


class AdaptiveLimitTest(unittest.TestCase):
    @given(
        st.lists(
            st.tuples(st.floats(0.0, 1.0), st.booleans(), st.integers(1, 10)),
            max_size=200,
        )
    )
    def test_stays_between_its_bounds(self, calls: list[tuple]) -> None:
        policy = AdaptiveLimit(n_slots=10, n_samples=2)
        now = 0.0
        for duration_s, is_success, n_running in calls:
            now += duration_s
            policy.record(
                latency_s=0.1, is_success=is_success, n_running=n_running, now=now
            )
            self.assertTrue(2 <= policy.limit() <= 10)

    def test_keeps_all_slots_of_an_upstream_that_scales(self) -> None:
        scaling = [0.0] + [10.0 * n_running for n_running in range(1, 11)]
        limits = run_upstream(AdaptiveLimit(n_slots=10), scaling, 20_000)
        self.assertGreater(limits[10], 18_000)

    def test_finds_the_best_limit_and_returns(self) -> None:
        contended = [0.0] + [100.0 - 10.0 * abs(4 - n) for n in range(1, 11)]
        policy = AdaptiveLimit(n_slots=10)
        run_upstream(policy, contended, 5_000)
        self.assertIn(policy.baseline_limit, (3, 4))
        scaling = [0.0] + [10.0 * n_running for n_running in range(1, 11)]
        run_upstream(policy, scaling, 5_000)
        self.assertEqual(policy.baseline_limit, 10)

    def test_calls_below_the_limit_are_not_measured(self) -> None:
        policy = AdaptiveLimit(n_slots=10)
        now = 0.0
        for index in range(5_000):
            now += 1.0 / (index + 1)
            policy.record(latency_s=0.1, is_success=True, n_running=index % 10, now=now)
        self.assertEqual(policy.limit(), 10)

    def test_stops_at_the_smallest_limit(self) -> None:
        falling = [0.0] + [100.0 / n_running for n_running in range(1, 11)]
        policy = AdaptiveLimit(n_slots=10)
        limits = run_upstream(policy, falling, 5_000)
        self.assertEqual(min(limits), 2)
        self.assertEqual(policy.baseline_limit, 2)
