from unittest import TestCase

from foxtailway.traffic.slot_queue import QueuedRequest, SlotQueue


def make_request(**changes: object) -> QueuedRequest:
    fields = {
        "priority": 1,
        "due_at": 0.25,
        "deadline": 0.6,
        "kind": "lookup",
        "arrived_at": 0.0,
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
        self.assertIs(queue.take_next(0.02), urgent)

    def test_request_that_is_late_anyway_lets_others_pass(self) -> None:
        queue = self.make_full()
        late = make_request(priority=0, due_at=0.01)
        queue.offer(late, 0.0)
        timely = make_request(priority=2)
        queue.offer(timely, 0.0)
        queue.release()
        self.assertIs(queue.take_next(0.02), timely)

    def test_burst_beyond_the_slots_is_refused_when_it_cannot_finish(self) -> None:
        queue = self.make_full(n_slots=2)
        fates = [queue.offer(make_request(), 0.0) for _ in range(100)]
        self.assertIn(None, fates)
        self.assertIs(fates[-1], False)
        self.assertLessEqual(len(queue.waiting) * queue.mean_run_time_s / 2, 0.6)

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
        self.assertIsNone(queue.take_next(0.0))
        queue.release()
        self.assertIsNotNone(queue.take_next(0.0))
        self.assertEqual(queue.n_running, 3)
