"""Requests that other sidecars send for the upstream on this host."""

import asyncio
from collections.abc import Callable
from typing import Any

from foxtailway.sidecar.call import CallRefusal, CallResult, UpstreamCall
from foxtailway.sidecar.log import EventLog
from foxtailway.sidecar.peer_message import (
    PeerAnswer,
    PeerCancel,
    PeerGoodbye,
    PeerPing,
    PeerPong,
    PeerReader,
    PeerRefusal,
    PeerRequest,
    PeerUpdate,
)
from foxtailway.sidecar.peer_stream import PeerStream, StreamOwner
from foxtailway.sidecar.upstream_runner import UpstreamRunner
from foxtailway.transport.message_schema import MessageSchemas

__all__ = ["PeerListener"]

BACKLOG = 512


class PeerListener(StreamOwner):
    """Accept streams and run their requests.

    Parameters
    ----------
    runner : UpstreamRunner
        Runs requests at the upstream.
    codec : MessageSchemas
        Codec of the streams.
    address : str
        Address of this host, named when it says goodbye.
    on_update : callable
        Called with each update of a reader and a function that answers it.
    on_reader : callable
        Called with each announcement of another region's reader.
    log : EventLog
        Receiver of events.
    """

    def __init__(
        self,
        *,
        runner: UpstreamRunner,
        codec: MessageSchemas,
        address: str,
        on_update: Callable[[PeerUpdate, Callable[[object], None]], None],
        on_reader: Callable[[PeerReader], None],
        log: EventLog,
    ) -> None:
        self.on_update = on_update
        self.on_reader = on_reader
        self.log = log
        self.runner = runner
        self.codec = codec
        self.address = address
        self.loop = asyncio.get_running_loop()
        self.streams: dict[PeerStream, dict[int, asyncio.Task]] = {}
        self.server: asyncio.Server | None = None

    async def listen(self, *, port: int) -> None:
        """Start to accept streams."""
        self.server = await self.loop.create_server(
            lambda: PeerStream(owner=self, codec=self.codec, log=self.log),
            self.address,
            port,
            backlog=BACKLOG,
        )

    @property
    def n_running(self) -> int:
        """Requests of peers that wait or run."""
        return sum(len(tasks) for tasks in self.streams.values())

    def stream_opened(self, stream: PeerStream) -> None:
        """Serve the stream."""
        self.streams[stream] = {}

    def stream_lost(self, stream: PeerStream) -> None:
        """Give up the requests of a caller that cannot be answered."""
        for task in self.streams.pop(stream, {}).values():
            task.cancel()

    def message_received(self, stream: PeerStream, message: Any) -> None:
        """Handle one message."""
        match message:
            case PeerRequest():
                self.start(stream, message)
            case PeerCancel():
                task = self.streams.get(stream, {}).pop(message.call_id, None)
                if task is not None:
                    task.cancel()
            case PeerUpdate():
                self.on_update(message, stream.send)
            case PeerReader():
                self.on_reader(message)
            case PeerPing():
                stream.send(PeerPong(sequence=message.sequence))
            case _:
                stream.close()

    def start(self, stream: PeerStream, message: PeerRequest) -> None:
        """Start to run a request."""
        call = read_call(message, self.loop.time())
        task = self.loop.create_task(self.serve(stream, message.call_id, call))
        self.streams[stream][message.call_id] = task

    async def serve(self, stream: PeerStream, call_id: int, call: UpstreamCall) -> None:
        """Run a request and send its result."""
        result = await self.runner.run(call)
        stream.send(make_reply(call_id, result))
        self.streams.get(stream, {}).pop(call_id, None)

    def say_goodbye(self) -> None:
        """Ask all peers to send no new requests."""
        self.broadcast(PeerGoodbye(address=self.address))

    def broadcast(self, message: object) -> None:
        """Send a message to all connected peers."""
        for stream in self.streams:
            stream.send(message)

    def close(self) -> None:
        """Close all streams."""
        if self.server is not None:
            self.server.close()
        for stream in list(self.streams):
            stream.finish()


def read_call(message: PeerRequest, now: float) -> UpstreamCall:
    """Return the call that a message carries."""
    return UpstreamCall(
        upstream_id=message.upstream_id,
        route=message.route,
        is_idempotent=message.is_idempotent,
        priority=message.priority,
        can_wait=message.can_wait,
        due_at=now + message.due_ms / 1000,
        deadline=now + message.remaining_ms / 1000,
        method=message.method,
        target=message.target,
        request_id=message.request_id,
        head=message.head,
        body=message.body,
    )


def make_reply(call_id: int, result: CallResult) -> PeerAnswer | PeerRefusal:
    """Return the message that carries a result."""
    if isinstance(result, CallRefusal):
        return PeerRefusal(
            call_id=call_id,
            outcome=result.outcome,
            reason=result.reason,
            is_offered=result.is_offered,
            load=result.load,
        )
    return PeerAnswer(
        call_id=call_id,
        status=result.answer.status,
        head=result.answer.head,
        body=result.answer.body,
        run_time_us=int(result.run_time_s * 1e6),
        load=result.load,
    )
