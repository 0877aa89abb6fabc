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
        self.assertIs(queue.take_next(), urgent)

    def test_request_that_is_due_first_goes_first(self) -> None:
        queue = self.make_full()
        queue.offer(make_request(), 0.0)
        returned = make_request(due_at=0.15, deadline=0.5)
        queue.offer(returned, 0.0)
        queue.release()
        self.assertIs(queue.take_next(), returned)

    def test_request_that_is_late_anyway_lets_others_pass(self) -> None:
        queue = self.make_full()
        queue.offer(make_request(priority=0, due_at=0.01), 0.0)
        timely = make_request(priority=2)
        queue.offer(timely, 0.0)
        queue.release()
        self.assertIs(queue.take_next(), timely)

    def test_lasting_overload_is_answered_in_time(self) -> None:
        """Sustained overload: 1.5 times what the slots can run, for 20 s."""
        n_slots, run_time_s, load = 12, 0.06, 1.5
        random_source = Random(7)
        queue = SlotQueue(n_slots=n_slots)
        arrivals: list[float] = []
        now = 0.0
        while now < 20.0:
            now += random_source.expovariate(load * n_slots / run_time_s)
            arrivals.append(now)
        n_in_time, n_answered = self.play(queue, arrivals, run_time_s, random_source)
        capacity = 20.0 * n_slots / run_time_s
        self.assertGreater(n_answered, 0.97 * capacity)
        self.assertGreater(n_in_time, 0.97 * n_answered)

    def play(
        self,
        queue: SlotQueue,
        arrivals: list[float],
        run_time_s: float,
        random_source: Random,
    ) -> tuple[int, int]:
        """Return how many requests were answered in time and at all."""
        events = [(time, number, None) for number, time in enumerate(arrivals)]
        n_in_time = n_answered = 0
        serial = len(events)
        heapify(events)

        def start(request: QueuedRequest, now: float) -> None:
            nonlocal serial
            serial += 1
            duration_s = run_time_s * random_source.uniform(0.5, 1.5)
            heappush(events, (now + duration_s, serial, (request, duration_s)))

        while events:
            now, _, finished = heappop(events)
            if finished is None:
                request = make_request(due_at=now + 0.25, deadline=now + 0.6)
                if queue.offer(request, now):
                    start(request, now)
                continue
            request, duration_s = finished
            n_answered += now <= request.deadline
            n_in_time += now <= request.due_at
            queue.record_run_time(request.kind, duration_s)
            queue.release()
            following = queue.take_next()
            if following is not None:
                start(following, now)
        return n_in_time, n_answered

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
        self.assertEqual(queue.drop_hopeless(0.1), [])
        self.assertEqual(queue.drop_hopeless(0.59), [request])
        self.assertEqual(queue.waiting, [])

    def test_slots_are_never_exceeded(self) -> None:
        queue = self.make_full(n_slots=3)
        queue.offer(make_request(), 0.0)
        self.assertIsNone(queue.take_next())
        queue.release()
        self.assertIsNotNone(queue.take_next())
        self.assertEqual(queue.n_running, 3)
