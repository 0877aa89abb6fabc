import asyncio
import unittest
from typing import Any

from expression import Ok, Result

from foxtailway.common import Failure
from foxtailway.distribution.message import Confirmation, ControlGoAway, Heartbeat
from foxtailway.distribution.outbox import MAX_QUEUED_MESSAGES
from foxtailway.distribution.stream_pool import StreamPool, TaskGroup
from foxtailway.transport import MessageStream

HEARTBEAT = Heartbeat(confirmation=Confirmation(age_ms=0, n_hops=0))
GO_AWAY = ControlGoAway(alternates=())


class GatedStream(MessageStream):
    """Stream that sends only while `can_send` is set."""

    def __init__(self, *, is_open: bool) -> None:
        self.peer = "peer"
        self.n_bytes_sent = 0
        self.n_bytes_received = 0
        self.can_send = asyncio.Event()
        if is_open:
            self.can_send.set()
        self.sent: list[Any] = []
        self.is_closed = False

    async def send(self, message: object) -> Result[None, Failure]:
        await self.can_send.wait()
        self.sent.append(message)
        return Ok(None)

    async def receive(self) -> Result[Any, Failure]:
        await asyncio.Event().wait()

    def close(self) -> None:
        self.is_closed = True


class SlowPeerTest(unittest.IsolatedAsyncioTestCase):
    """A slow peer delays no other peer, and its queue stays bounded."""

    async def asyncSetUp(self) -> None:
        self.tasks = TaskGroup()
        self.pool = StreamPool(tasks=self.tasks, handle=lambda event: None)
        self.slow = GatedStream(is_open=False)
        self.quick = GatedStream(is_open=True)
        self.pool.attach(1, self.slow)
        self.pool.attach(2, self.quick)

    async def asyncTearDown(self) -> None:
        await self.tasks.cancel()

    async def run_pending_tasks(self) -> None:
        for _ in range(5):
            await asyncio.sleep(0)

    async def test_a_slow_peer_does_not_hold_up_another(self) -> None:
        for outbox in self.pool.outboxes.values():
            outbox.put(GO_AWAY)
        await self.run_pending_tasks()
        self.assertEqual(self.slow.sent, [])
        self.assertEqual(self.quick.sent, [GO_AWAY])

    async def test_a_heartbeat_replaces_a_queued_one(self) -> None:
        for _ in range(10 * MAX_QUEUED_MESSAGES):
            self.pool.outboxes[1].put(HEARTBEAT)
        await self.run_pending_tasks()
        self.assertFalse(self.slow.is_closed)
        self.slow.can_send.set()
        await self.run_pending_tasks()
        self.assertEqual(self.slow.sent, [HEARTBEAT])

    async def test_the_stream_of_a_peer_with_a_full_queue_is_closed(self) -> None:
        for _ in range(MAX_QUEUED_MESSAGES + 1):
            self.pool.outboxes[1].put(GO_AWAY)
        self.assertTrue(self.slow.is_closed)

    async def test_a_stream_is_closed_after_its_last_message(self) -> None:
        self.pool.outboxes[1].put(GO_AWAY)
        self.pool.outboxes[1].close()
        await self.run_pending_tasks()
        self.assertFalse(self.slow.is_closed)
        self.slow.can_send.set()
        await self.run_pending_tasks()
        self.assertTrue(self.slow.is_closed)
        self.assertEqual(self.slow.sent, [GO_AWAY])
