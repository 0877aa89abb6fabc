"""Load pattern: uploads to a few hosts exceed the bandwidth of their links."""

from random import Random
from unittest import TestCase

from foxtailway.traffic.transfer_queue import (
    BYTES_PER_MEGABIT,
    MAX_GRANT_SIZE,
    WINDOW_S,
    BodyTransfer,
    TransferQueue,
)

LINK_MBPS = 10.0
STEP_S = 0.005


def make_transfer(now: float = 0.0, **changes: object) -> BodyTransfer:
    fields = {
        "size": 60_000,
        "priority": 1,
        "due_at": now + 1.4,
        "deadline": now + 4.0,
        "run_time_s": 0.3,
    }
    return BodyTransfer(**(fields | changes))


class SimulatedLink:
    """Link that delivers granted bytes in order of their grants."""

    def __init__(self, queue: TransferQueue) -> None:
        self.queue = queue
        self.in_flight: list[list] = []
        self.max_delay_s = 0.0

    def send_grants(self) -> None:
        self.in_flight.extend(list(grant) for grant in self.queue.make_grants())
        n_bytes = sum(n for _, n in self.in_flight)
        delay_s = n_bytes / (LINK_MBPS * BYTES_PER_MEGABIT)
        self.max_delay_s = max(self.max_delay_s, delay_s)

    def step(self) -> list[BodyTransfer]:
        """Deliver the bytes of one step and return the completed transfers."""
        n_left = int(STEP_S * LINK_MBPS * BYTES_PER_MEGABIT)
        completed = []
        while self.in_flight and n_left:
            transfer, n_bytes = self.in_flight[0]
            n_delivered = min(n_left, n_bytes)
            n_left -= n_delivered
            self.in_flight[0][1] -= n_delivered
            if not self.in_flight[0][1]:
                self.in_flight.pop(0)
            self.queue.record_received(transfer, n_delivered)
            if transfer.is_complete:
                completed.append(transfer)
        return completed


class TransferQueueTest(TestCase):
    def setUp(self) -> None:
        self.queue = TransferQueue(link_mbps=LINK_MBPS)

    def grant(self) -> list[tuple[BodyTransfer, int]]:
        return self.queue.make_grants()

    def test_granted_bytes_stay_within_the_window(self) -> None:
        for _ in range(10):
            self.assertTrue(self.queue.offer(make_transfer(due_at=9.0), 0.0))
        n_granted = sum(n_bytes for _, n_bytes in self.grant())
        self.assertGreaterEqual(n_granted, self.queue.window_size - MAX_GRANT_SIZE)
        self.assertLess(n_granted, self.queue.window_size + MAX_GRANT_SIZE)
        self.assertEqual(self.grant(), [])

    def test_window_of_a_narrow_link_takes_one_part(self) -> None:
        queue = TransferQueue(link_mbps=0.1)
        queue.offer(make_transfer(due_at=99.0, deadline=99.0), 0.0)
        self.assertEqual([n for _, n in queue.make_grants()], [MAX_GRANT_SIZE])

    def test_started_transfer_is_finished_before_a_more_urgent_one(self) -> None:
        first = make_transfer(size=300_000, priority=2)
        self.queue.offer(first, 0.0)
        self.grant()
        second = make_transfer(priority=0)
        self.queue.offer(second, 0.0)
        self.queue.record_received(first, MAX_GRANT_SIZE)
        self.assertEqual(self.grant(), [(first, MAX_GRANT_SIZE)])

    def test_waiting_transfers_are_ordered_by_priority_and_due_time(self) -> None:
        running = make_transfer(size=200_000)
        low = make_transfer(priority=2, due_at=1.4)
        late = make_transfer(priority=1, due_at=1.6)
        early = make_transfer(priority=1, due_at=1.5)
        self.queue.offer(running, 0.0)
        self.grant()
        for transfer in (low, late, early):
            self.assertTrue(self.queue.offer(transfer, 0.0))
        self.queue.record_received(running, running.n_granted)
        granted = [transfer for transfer, _ in self.grant()]
        self.queue.record_received(running, running.n_granted - running.n_received)
        granted += [transfer for transfer, _ in self.grant()]
        self.assertEqual([item for item in granted if item is not running][0], early)

    def test_transfer_that_would_be_late_is_refused_at_once(self) -> None:
        n_accepted = 0
        while self.queue.offer(make_transfer(), 0.0):
            n_accepted += 1
        expected_s = n_accepted * 60_000 / self.queue.bandwidth
        self.assertLessEqual(expected_s + 0.3, 1.4)
        self.assertGreater(expected_s + 0.3 + 60_000 / self.queue.bandwidth, 1.4)

    def test_large_body_that_is_late_in_any_case_may_take_until_its_deadline(
        self,
    ) -> None:
        self.assertTrue(self.queue.offer(make_transfer(size=2_000_000), 0.0))
        self.assertFalse(self.queue.offer(make_transfer(size=2_000_000), 0.0))

    def test_waiting_transfer_that_cannot_finish_is_dropped(self) -> None:
        running = make_transfer(size=1_000_000, deadline=9.0)
        waiting = make_transfer(size=1_000_000)
        for transfer in (running, waiting):
            self.assertTrue(self.queue.offer(transfer, 0.0))
            self.grant()
        self.assertEqual(self.queue.drop_infeasible(2.0), [])
        self.assertEqual(self.queue.drop_infeasible(2.2), [waiting])
        self.assertEqual(self.queue.transfers, [running])

    def test_bytes_that_were_not_granted_are_reported(self) -> None:
        transfer = make_transfer()
        self.queue.offer(transfer, 0.0)
        self.grant()
        self.assertFalse(self.queue.record_received(transfer, 60_001))

    def test_discarded_transfer_frees_the_window(self) -> None:
        transfers = [make_transfer(size=100_000, due_at=9.0) for _ in range(3)]
        for transfer in transfers:
            self.queue.offer(transfer, 0.0)
        self.grant()
        self.queue.discard(transfers[0])
        self.assertTrue(self.grant())

    def test_uploads_beyond_the_link_delay_other_traffic_little(self) -> None:
        """At 1.5 times the link's bandwidth, what is accepted arrives in time."""
        random_source = Random(3)
        link = SimulatedLink(self.queue)
        n_offered = n_refused = n_late = 0
        now = 0.0
        while now < 20.0:
            if random_source.random() < STEP_S * 31.0:
                transfer = make_transfer(
                    now, size=int(random_source.expovariate(1 / 60_000)) + 1
                )
                n_offered += 1
                n_refused += not self.queue.offer(transfer, now)
                link.send_grants()
            for transfer in link.step():
                n_late += now + transfer.run_time_s > transfer.due_at
            link.send_grants()
            now += STEP_S
        self.assertLess(link.max_delay_s, 2 * WINDOW_S)
        self.assertLess(n_late, 0.02 * n_offered)
        self.assertLess(n_refused, 0.6 * n_offered)

    def test_uploads_that_return_late_wait_behind_timely_ones(self) -> None:
        """At 1.2 times the bandwidth; clients return 0.2 s after a refusal."""
        random_source = Random(3)
        link = SimulatedLink(self.queue)
        returning: list[tuple[float, BodyTransfer]] = []
        n_offered = n_timely = 0
        now = 0.0
        while now < 20.0:
            offered = [item for at, item in returning if at <= now]
            returning = [(at, item) for at, item in returning if at > now]
            if random_source.random() < STEP_S * 25.0:
                size = int(random_source.expovariate(1 / 60_000)) + 1
                offered.append(make_transfer(now, size=size))
                n_offered += 1
            for transfer in offered:
                is_taken = self.queue.offer(transfer, now)
                if not is_taken and not transfer.is_late:
                    transfer.due_at -= 1.0
                    returning.append((now + 0.2, transfer))
            link.send_grants()
            for transfer in link.step():
                is_in_time = now + transfer.run_time_s <= transfer.due_at
                n_timely += is_in_time and not transfer.is_late
            link.send_grants()
            now += STEP_S
        self.assertGreater(n_timely, 0.6 * n_offered)
