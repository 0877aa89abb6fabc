import asyncio
import unittest
from typing import Any

from expression import Ok, Result

from foxtailway.common import Failure
from foxtailway.distribution.message import Confirmation, Goodbye, Heartbeat
from foxtailway.distribution.outbox import MAX_QUEUED
from foxtailway.distribution.stream_pool import StreamPool, TaskGroup
from foxtailway.transport import MessageStream

HEARTBEAT = Heartbeat(confirmation=Confirmation(age_ms=0, n_hops=0))
GOODBYE = Goodbye(alternates=())


class GatedStream(MessageStream):
    """Sends only while its gate is open."""

    def __init__(self, *, is_open: bool) -> None:
        self.peer = "peer"
        self.n_bytes_sent = 0
        self.n_bytes_received = 0
        self.gate = asyncio.Event()
        if is_open:
            self.gate.set()
        self.sent: list[Any] = []
        self.is_closed = False

    async def send(self, message: object) -> Result[None, Failure]:
        await self.gate.wait()
        self.sent.append(message)
        return Ok(None)

    async def receive(self) -> Result[Any, Failure]:
        await asyncio.Event().wait()

    def close(self) -> None:
        self.is_closed = True


class SlowPeerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.tasks = TaskGroup()
        self.pool = StreamPool(tasks=self.tasks, handle=lambda event: None)
        self.slow = GatedStream(is_open=False)
        self.quick = GatedStream(is_open=True)
        self.pool.attach(1, self.slow)
        self.pool.attach(2, self.quick)

    async def asyncTearDown(self) -> None:
        await self.tasks.cancel()

    async def let_run(self) -> None:
        for _ in range(5):
            await asyncio.sleep(0)

    async def test_a_slow_peer_does_not_hold_up_another(self) -> None:
        for outbox in self.pool.outboxes.values():
            outbox.put(GOODBYE)
        await self.let_run()
        self.assertEqual(self.slow.sent, [])
        self.assertEqual(self.quick.sent, [GOODBYE])

    async def test_heartbeats_do_not_pile_up(self) -> None:
        for _ in range(10 * MAX_QUEUED):
            self.pool.outboxes[1].put(HEARTBEAT)
        await self.let_run()
        self.assertFalse(self.slow.is_closed)
        self.slow.gate.set()
        await self.let_run()
        self.assertEqual(self.slow.sent, [HEARTBEAT])

    async def test_a_peer_that_is_far_too_slow_is_left(self) -> None:
        for _ in range(MAX_QUEUED + 1):
            self.pool.outboxes[1].put(GOODBYE)
        self.assertTrue(self.slow.is_closed)

    async def test_a_stream_is_closed_after_its_last_message(self) -> None:
        self.pool.outboxes[1].put(GOODBYE)
        self.pool.outboxes[1].close()
        await self.let_run()
        self.assertFalse(self.slow.is_closed)
        self.slow.gate.set()
        await self.let_run()
        self.assertTrue(self.slow.is_closed)
        self.assertEqual(self.slow.sent, [GOODBYE])
