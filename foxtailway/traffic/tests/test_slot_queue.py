from dataclasses import dataclass
from heapq import heapify, heappop, heappush
from random import Random
from unittest import TestCase

from foxtailway.traffic.slot_queue import QueuedRequest, SlotQueue


def make_request(**changes: object) -> QueuedRequest:
    fields = {
        "priority": 1,
        "due_at": 0.25,
        "deadline": 0.6,
        "kind": "lookup",
        "can_wait": True,
    }
    return QueuedRequest(**(fields | changes))


@dataclass(frozen=True, kw_only=True)
class RequestKind:
    """Load of one kind of request; rate per second, times in seconds."""

    name: str
    rate: float
    run_time_s: float
    due_s: float
    deadline_s: float


@dataclass(kw_only=True)
class ResponseCounts:
    """Numbers of requests of one kind by outcome."""

    n_requests: int = 0
    n_answered: int = 0
    n_in_time: int = 0


class SlotQueueTest(TestCase):
    def make_full(self, n_slots: int = 1) -> SlotQueue:
        queue = SlotQueue(n_slots=n_slots)
        for _ in range(n_slots):
            self.assertTrue(queue.offer(make_request(), 0.0))
        return queue

    def test_higher_priority_is_served_first(self) -> None:
        queue = self.make_full()
        queue.offer(make_request(), 0.0)
        urgent = make_request(priority=0)
        queue.offer(urgent, 0.01)
        queue.release()
        self.assertIs(queue.admit_next(), urgent)

    def test_request_that_is_due_first_is_served_first(self) -> None:
        queue = self.make_full()
        queue.offer(make_request(), 0.0)
        due_first = make_request(due_at=0.15, deadline=0.5)
        queue.offer(due_first, 0.0)
        queue.release()
        self.assertIs(queue.admit_next(), due_first)

    def test_late_request_is_served_after_timely_ones(self) -> None:
        queue = self.make_full()
        queue.offer(make_request(priority=0, due_at=0.01), 0.0)
        timely = make_request(priority=2)
        queue.offer(timely, 0.0)
        queue.release()
        self.assertIs(queue.admit_next(), timely)

    def test_responses_are_timely_under_sustained_overload(self) -> None:
        """Sustained overload must not make responses late.

        Requests arrive at 1.5 times the rate that the slots can run, for 20 s.
        """
        n_slots, run_time_s, load = 12, 0.06, 1.5
        random_source = Random(7)
        queue = SlotQueue(n_slots=n_slots)
        lookup_kind = RequestKind(
            name="lookup",
            rate=load * n_slots / run_time_s,
            run_time_s=run_time_s,
            due_s=0.25,
            deadline_s=0.6,
        )
        counts = self.simulate(queue, (lookup_kind,), 20.0, random_source)["lookup"]
        capacity = 20.0 * n_slots / run_time_s
        self.assertGreater(counts.n_answered, 0.97 * capacity)
        self.assertGreater(counts.n_in_time, 0.97 * counts.n_answered)

    def test_responses_are_timely_beside_rare_long_requests(self) -> None:
        """A rare kind of request must not make all others count as short.

        Lookups arrive at 1.5 times the rate that the slots can run, and once in a
        second a request that runs 20 times as long.
        """
        lookup_kind = RequestKind(
            name="lookup", rate=300.0, run_time_s=0.06, due_s=0.25, deadline_s=0.6
        )
        probe_kind = RequestKind(
            name="probe", rate=1.0, run_time_s=1.2, due_s=2.0, deadline_s=3.0
        )
        counts = self.simulate(
            SlotQueue(n_slots=12), (lookup_kind, probe_kind), 20.0, Random(7)
        )["lookup"]
        self.assertGreater(counts.n_answered, 0.6 * counts.n_requests)
        self.assertGreater(counts.n_in_time, 0.95 * counts.n_answered)

    def test_short_calls_are_served_alongside_long_requests(self) -> None:
        """Long requests must not cause refusals of short calls between upstreams.

        The slots are 90 percent busy, and half of the requests are short.
        """
        queue = SlotQueue(n_slots=5)
        long_kind = RequestKind(
            name="hold", rate=13.0, run_time_s=0.29, due_s=0.8, deadline_s=2.0
        )
        short_kind = RequestKind(
            name="call", rate=13.0, run_time_s=0.05, due_s=0.2, deadline_s=0.6
        )
        counts = self.simulate(queue, (long_kind, short_kind), 60.0, Random(7))
        self.assertGreater(counts["call"].n_answered, 0.97 * counts["call"].n_requests)
        self.assertGreater(counts["hold"].n_answered, 0.95 * counts["hold"].n_requests)

    def simulate(
        self,
        queue: SlotQueue,
        kinds: tuple[RequestKind, ...],
        duration_s: float,
        random_source: Random,
    ) -> dict[str, ResponseCounts]:
        """Simulate the queue under random load and return the outcomes by kind."""
        events = []
        for kind in kinds:
            now = 0.0
            while now < duration_s:
                now += random_source.expovariate(kind.rate)
                events.append((now, len(events), kind, None))
        counts = {kind.name: ResponseCounts() for kind in kinds}
        event_number = len(events)
        heapify(events)

        def start(request: QueuedRequest, kind: RequestKind, now: float) -> None:
            nonlocal event_number
            event_number += 1
            duration_s = kind.run_time_s * random_source.uniform(0.5, 1.5)
            finish_event = (now + duration_s, event_number, kind, (request, duration_s))
            heappush(events, finish_event)

        by_name = {kind.name: kind for kind in kinds}
        while events:
            now, _, kind, finished_run = heappop(events)
            if finished_run is None:
                counts[kind.name].n_requests += 1
                request = make_request(
                    kind=kind.name,
                    due_at=now + kind.due_s,
                    deadline=now + kind.deadline_s,
                )
                if queue.offer(request, now):
                    start(request, kind, now)
                continue
            request, duration_s = finished_run
            counts[kind.name].n_answered += now <= request.deadline
            counts[kind.name].n_in_time += now <= request.due_at
            queue.run_times.record(request.kind, duration_s)
            queue.release()
            queue.drop_infeasible(now)
            next_request = queue.admit_next()
            if next_request is not None:
                start(next_request, by_name[next_request.kind], now)
        return counts

    def test_request_that_cannot_wait_is_refused_without_a_slot(self) -> None:
        queue = SlotQueue(n_slots=1)
        self.assertTrue(queue.offer(make_request(can_wait=False), 0.0))
        self.assertIs(queue.offer(make_request(can_wait=False), 0.0), False)

    def test_burst_beyond_the_slots_is_refused_when_it_cannot_finish(self) -> None:
        queue = self.make_full(n_slots=2)
        results = [queue.offer(make_request(), 0.0) for _ in range(100)]
        self.assertIn(None, results)
        self.assertIs(results[-1], False)
        self.assertLessEqual(len(queue.waiting) * queue.run_times.mean_s / 2, 0.25)

    def test_waiting_request_that_cannot_finish_is_dropped(self) -> None:
        queue = self.make_full()
        request = make_request()
        queue.offer(request, 0.0)
        self.assertEqual(queue.drop_infeasible(0.1), [])
        self.assertEqual(queue.drop_infeasible(0.59), [request])
        self.assertEqual(queue.waiting, [])

    def test_slots_are_never_exceeded(self) -> None:
        queue = self.make_full(n_slots=3)
        queue.offer(make_request(), 0.0)
        self.assertIsNone(queue.admit_next())
        queue.release()
        self.assertIsNotNone(queue.admit_next())
        self.assertEqual(queue.n_running, 3)
