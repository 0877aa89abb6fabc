"""Queue of messages to be sent over one stream."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result

from foxtailway.common.failure import Failure
from foxtailway.distribution.message import Heartbeat, UpdatePart
from foxtailway.model.bundle import BundleKind
from foxtailway.transport import MessageStream

__all__ = ["Outbox"]

# Queue length at which the stream of a slow peer is closed.
MAX_QUEUED_MESSAGES = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class QueuedUpdate:
    """Parts of one update, queued as a single item."""

    kind: BundleKind
    parts: tuple[UpdatePart, ...]


class Outbox:
    """Send messages over one stream in order, without blocking the sender.

    The queue of a slow peer stays bounded: at most one update of each kind is
    queued, since the core starts the next one only after the previous one was
    sent, and a heartbeat replaces an older one in the queue.

    Parameters
    ----------
    stream : MessageStream
        Stream to send over.
    on_update_sent : callable
        Called with the kind once all parts of an update were sent.
    """

    def __init__(
        self,
        *,
        stream: MessageStream,
        on_update_sent: Callable[[BundleKind], None],
    ) -> None:
        self.stream = stream
        self.on_update_sent = on_update_sent
        self.queue: deque[Any] = deque()
        self.wake = asyncio.Event()
        self.is_closing = False

    def put(self, message: Any) -> None:
        """Queue a message, or close the stream if the queue is full."""
        if isinstance(message, Heartbeat):
            self.queue = deque(
                item for item in self.queue if not isinstance(item, Heartbeat)
            )
        if len(self.queue) >= MAX_QUEUED_MESSAGES:
            self.stream.close()
            return
        self.queue.append(message)
        self.wake.set()

    def put_update(self, kind: BundleKind, parts: tuple[UpdatePart, ...]) -> None:
        """Queue all parts of an update as one item."""
        self.put(QueuedUpdate(kind=kind, parts=parts))

    def close(self) -> None:
        """Close the stream once the queue is empty."""
        self.is_closing = True
        self.wake.set()

    async def run(self) -> Result[None, Failure]:
        """Send queued messages until closed, or return the failure of the stream."""
        while True:
            while self.queue:
                sent = await self.send(self.queue.popleft())
                if sent.is_error():
                    return Error(sent.error)
            if self.is_closing:
                self.stream.close()
                return Ok(None)
            self.wake.clear()
            await self.wake.wait()

    async def send(self, item: Any) -> Result[None, Failure]:
        """Send one queued item, all parts of it for an update."""
        if not isinstance(item, QueuedUpdate):
            return await self.stream.send(item)
        for part in item.parts:
            sent = await self.stream.send(part)
            if sent.is_error():
                return sent
        self.on_update_sent(item.kind)
        return Ok(None)
