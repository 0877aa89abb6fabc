"""Open streams of an agent with their reading and writing tasks."""

import asyncio
from collections.abc import Callable, Coroutine

from foxtailway.distribution.event import (
    Event,
    LinkClosed,
    MessageReceived,
    UpdateSent,
)
from foxtailway.distribution.outbox import Outbox
from foxtailway.transport import MessageStream

__all__ = ["StreamPool", "TaskGroup"]


class TaskGroup:
    """Background tasks of an agent, cancelled together."""

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task] = set()

    def spawn(self, work: Coroutine) -> asyncio.Task:
        """Start a task that runs a coroutine."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.finish)
        return task

    def finish(self, task: asyncio.Task) -> None:
        """Remove a finished task and report its exception to the loop's handler."""
        self.tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        asyncio.get_running_loop().call_exception_handler(
            {
                "message": "exception in a task of the distribution agent",
                "exception": task.exception(),
            }
        )

    async def cancel(self) -> None:
        """Cancel all tasks and wait for their end."""
        remaining = list(self.tasks)
        for task in remaining:
            task.cancel()
        await asyncio.gather(*remaining, return_exceptions=True)


class StreamPool:
    """Send and receive over the open streams and report events.

    Parameters
    ----------
    tasks : TaskGroup
        Group in which the writing tasks run.
    handle : callable
        Called with each event.

    Attributes
    ----------
    outboxes : dict of int to Outbox
        Outbox of each open stream, by link identifier.
    """

    def __init__(self, *, tasks: TaskGroup, handle: Callable[[Event], None]) -> None:
        self.tasks = tasks
        self.handle = handle
        self.outboxes: dict[int, Outbox] = {}
        self.writers: dict[int, asyncio.Task] = {}
        self.n_closed_bytes_sent = 0
        self.n_closed_bytes_received = 0

    @property
    def n_bytes_sent(self) -> int:
        """Return the payload bytes sent over all streams so far."""
        streams = (outbox.stream for outbox in self.outboxes.values())
        return self.n_closed_bytes_sent + sum(item.n_bytes_sent for item in streams)

    @property
    def n_bytes_received(self) -> int:
        """Return the payload bytes received over all streams so far."""
        streams = (outbox.stream for outbox in self.outboxes.values())
        n_bytes = sum(item.n_bytes_received for item in streams)
        return self.n_closed_bytes_received + n_bytes

    def attach(self, link_id: int, stream: MessageStream) -> None:
        """Register a connected stream and start its writing task."""
        outbox = Outbox(
            stream=stream,
            on_update_sent=lambda kind: self.handle(
                UpdateSent(link_id=link_id, kind=kind)
            ),
        )
        self.outboxes[link_id] = outbox
        self.writers[link_id] = self.tasks.spawn(self.write(link_id, outbox))

    async def write(self, link_id: int, outbox: Outbox) -> None:
        """Send queued messages until the stream ends."""
        result = await outbox.run()
        outbox.stream.close()
        if result.is_error():
            self.handle(LinkClosed(link_id=link_id, failure=result.error))

    async def read(self, link_id: int) -> None:
        """Pass received messages to `handle` until the stream ends."""
        outbox = self.outboxes[link_id]
        try:
            while True:
                received = await outbox.stream.receive()
                if received.is_error():
                    break
                self.handle(MessageReceived(link_id=link_id, message=received.ok))
            self.handle(LinkClosed(link_id=link_id, failure=received.error))
        finally:
            self.detach(link_id)

    def detach(self, link_id: int) -> None:
        """Close a stream and remove it from the pool."""
        outbox = self.outboxes.pop(link_id)
        self.writers.pop(link_id).cancel()
        outbox.stream.close()
        self.n_closed_bytes_sent += outbox.stream.n_bytes_sent
        self.n_closed_bytes_received += outbox.stream.n_bytes_received

    async def drain(self, *, timeout_s: float) -> None:
        """Wait until closing streams have sent their queues, or for `timeout_s`."""
        if self.writers:
            await asyncio.wait(list(self.writers.values()), timeout=timeout_s)
