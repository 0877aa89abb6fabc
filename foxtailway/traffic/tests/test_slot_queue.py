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
class Kind:
    """Describe the requests of one kind; rates per second, times in seconds."""

    name: str
    rate: float
    run_time_s: float
    due_s: float
    deadline_s: float


@dataclass(kw_only=True)
class Counts:
    """Count what became of the requests of one kind."""

    n_requests: int = 0
    n_answered: int = 0
    n_in_time: int = 0


class SlotQueueTest(TestCase):
    def make_full(self, n_slots: int = 1) -> SlotQueue:
        queue = SlotQueue(n_slots=n_slots)
        for _ in range(n_slots):
            self.assertTrue(queue.offer(make_request(), 0.0))
        return queue

    def test_urgent_request_overtakes(self) -> None:
        queue = self.make_full()
        queue.offer(make_request(), 0.0)
        urgent = make_request(priority=0)
        queue.offer(urgent, 0.01)
        queue.release()
        self.assertIs(queue.admit_next(), urgent)

    def test_request_that_is_due_first_goes_first(self) -> None:
        queue = self.make_full()
        queue.offer(make_request(), 0.0)
        returned = make_request(due_at=0.15, deadline=0.5)
        queue.offer(returned, 0.0)
        queue.release()
        self.assertIs(queue.admit_next(), returned)

    def test_request_that_is_late_anyway_lets_others_pass(self) -> None:
        queue = self.make_full()
        queue.offer(make_request(priority=0, due_at=0.01), 0.0)
        timely = make_request(priority=2)
        queue.offer(timely, 0.0)
        queue.release()
        self.assertIs(queue.admit_next(), timely)

    def test_lasting_overload_is_answered_in_time(self) -> None:
        """Sustained overload: 1.5 times what the slots can run, for 20 s."""
        n_slots, run_time_s, load = 12, 0.06, 1.5
        random_source = Random(7)
        queue = SlotQueue(n_slots=n_slots)
        lookup = Kind(
            name="lookup",
            rate=load * n_slots / run_time_s,
            run_time_s=run_time_s,
            due_s=0.25,
            deadline_s=0.6,
        )
        counts = self.play(queue, (lookup,), 20.0, random_source)["lookup"]
        capacity = 20.0 * n_slots / run_time_s
        self.assertGreater(counts.n_answered, 0.97 * capacity)
        self.assertGreater(counts.n_in_time, 0.97 * counts.n_answered)

    def test_short_calls_are_answered_beside_long_requests(self) -> None:
        """Slots at 90 percent, a third of the requests are short internal calls."""
        queue = SlotQueue(n_slots=5)
        hold = Kind(name="hold", rate=13.0, run_time_s=0.29, due_s=0.8, deadline_s=2.0)
        call = Kind(name="call", rate=13.0, run_time_s=0.05, due_s=0.2, deadline_s=0.6)
        counts = self.play(queue, (hold, call), 60.0, Random(7))
        self.assertGreater(counts["call"].n_answered, 0.97 * counts["call"].n_requests)
        self.assertGreater(counts["hold"].n_answered, 0.95 * counts["hold"].n_requests)

    def play(
        self,
        queue: SlotQueue,
        kinds: tuple[Kind, ...],
        duration_s: float,
        random_source: Random,
    ) -> dict[str, Counts]:
        """Return what became of the requests of each kind."""
        events = []
        for kind in kinds:
            now = 0.0
            while now < duration_s:
                now += random_source.expovariate(kind.rate)
                events.append((now, len(events), kind, None))
        counts = {kind.name: Counts() for kind in kinds}
        serial = len(events)
        heapify(events)

        def start(request: QueuedRequest, kind: Kind, now: float) -> None:
            nonlocal serial
            serial += 1
            duration_s = kind.run_time_s * random_source.uniform(0.5, 1.5)
            end = (now + duration_s, serial, kind, (request, duration_s))
            heappush(events, end)

        by_name = {kind.name: kind for kind in kinds}
        while events:
            now, _, kind, finished = heappop(events)
            if finished is None:
                counts[kind.name].n_requests += 1
                request = make_request(
                    kind=kind.name,
                    due_at=now + kind.due_s,
                    deadline=now + kind.deadline_s,
                )
                if queue.offer(request, now):
                    start(request, kind, now)
                continue
            request, duration_s = finished
            counts[kind.name].n_answered += now <= request.deadline
            counts[kind.name].n_in_time += now <= request.due_at
            queue.record_run_time(request.kind, duration_s)
            queue.release()
            queue.drop_infeasible(now)
            following = queue.admit_next()
            if following is not None:
                start(following, by_name[following.kind], now)
        return counts

    def test_request_that_may_not_wait_takes_a_free_slot_or_none(self) -> None:
        queue = SlotQueue(n_slots=1)
        self.assertTrue(queue.offer(make_request(can_wait=False), 0.0))
        self.assertIs(queue.offer(make_request(can_wait=False), 0.0), False)

    def test_burst_beyond_the_slots_is_refused_when_it_cannot_finish(self) -> None:
        queue = self.make_full(n_slots=2)
        fates = [queue.offer(make_request(), 0.0) for _ in range(100)]
        self.assertIn(None, fates)
        self.assertIs(fates[-1], False)
        self.assertLessEqual(len(queue.waiting) * queue.mean_run_time_s / 2, 0.25)

    def test_waiting_request_that_became_hopeless_is_dropped(self) -> None:
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
