"""Server for requests of other sidecars to the upstream on this host."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

from foxtailway.routing.outcome import RefusalReason
from foxtailway.sidecar.body_receiver import BodyReceiver
from foxtailway.sidecar.call import CallRefusal, CallResult, UpstreamCall
from foxtailway.sidecar.log import EventLog
from foxtailway.sidecar.memory_account import MemoryAccount, MemoryShare
from foxtailway.sidecar.peer_message import (
    PeerBodyPart,
    PeerCancel,
    PeerCrash,
    PeerGoAway,
    PeerListingRequest,
    PeerPing,
    PeerPong,
    PeerReaderAnnouncement,
    PeerRefusal,
    PeerRequest,
    PeerResponse,
    PeerUpdate,
)
from foxtailway.sidecar.peer_stream import PeerStream, PeerStreamHandler
from foxtailway.sidecar.upstream_runner import UpstreamRunner
from foxtailway.transport.message_schema import MessageSchemas

__all__ = ["PeerListener"]

# Connections that the operating system queues before they are accepted.
LISTEN_BACKLOG = 512


class PeerListener(PeerStreamHandler):
    """Accept streams from other sidecars and run their requests.

    Parameters
    ----------
    runner : UpstreamRunner
        Runs requests at the local upstream.
    codec : MessageSchemas
        Codec of the messages.
    address : str
        Address of this host, on which it listens and which it sends in go-aways.
    link_mbps : float
        Bandwidth of the host's link, in Mbit/s.
    on_update : callable
        Called with each update of a reader and a function that sends a message
        back to it.
    on_reader_announcement : callable
        Called with each announcement of a reader of another region.
    on_listing_request : callable
        Called with the request of a peer for a listing.
    on_crash : callable
        Called with each crash notice of a peer.
    list_crashes : callable
        Returns the crash notices that a peer gets on a new stream.
    log : EventLog
        Event log.
    account : MemoryAccount or None, default=None
        Account of the memory that is held for others; None for one with default
        limits.
    """

    def __init__(
        self,
        *,
        runner: UpstreamRunner,
        codec: MessageSchemas,
        address: str,
        link_mbps: float,
        on_update: Callable[[PeerUpdate, Callable[[object], None]], None],
        on_reader_announcement: Callable[[PeerReaderAnnouncement], None],
        on_listing_request: Callable[[PeerListingRequest], None],
        on_crash: Callable[[PeerCrash], None],
        list_crashes: Callable[[], Iterable[PeerCrash]],
        log: EventLog,
        account: MemoryAccount | None = None,
    ) -> None:
        self.account = MemoryAccount() if account is None else account
        self.on_update = on_update
        self.on_reader_announcement = on_reader_announcement
        self.on_listing_request = on_listing_request
        self.on_crash = on_crash
        self.list_crashes = list_crashes
        self.log = log
        self.runner = runner
        self.codec = codec
        self.address = address
        self.loop = asyncio.get_running_loop()
        self.bodies = BodyReceiver(link_mbps=link_mbps)
        self.streams: dict[PeerStream, dict[int, asyncio.Task]] = {}
        self.server: asyncio.Server | None = None
        self.is_leaving = False

    async def listen(self, *, port: int) -> None:
        """Start to accept streams; raise `OSError` if the port is unavailable."""
        self.server = await self.loop.create_server(
            lambda: PeerStream(
                handler=self, codec=self.codec, log=self.log, account=self.account
            ),
            self.address,
            port,
            backlog=LISTEN_BACKLOG,
        )

    @property
    def n_running(self) -> int:
        """Number of requests of peers that are queued or running."""
        return sum(len(tasks) for tasks in self.streams.values())

    @property
    def n_sending(self) -> int:
        """Number of streams with bytes that wait for the peer to read."""
        return sum(stream.is_sending for stream in self.streams)

    def stream_opened(self, stream: PeerStream) -> None:
        """Register the stream and send the crash notices and go-away in force."""
        self.streams[stream] = {}
        for notice in self.list_crashes():
            stream.send(notice)
        if self.is_leaving:
            stream.send(PeerGoAway(address=self.address))

    def stream_lost(self, stream: PeerStream) -> None:
        """Cancel the requests of the stream, since no result can be sent."""
        for task in self.streams.pop(stream, {}).values():
            task.cancel()

    def message_received(self, stream: PeerStream, message: Any) -> None:
        """Handle one message; an unexpected type closes the stream."""
        match message:
            case PeerRequest():
                self.start_call(stream, message)
            case PeerCancel():
                task = self.streams.get(stream, {}).pop(message.call_id, None)
                if task is not None:
                    task.cancel()
            case PeerBodyPart():
                if not self.bodies.receive_part(stream, message):
                    stream.close()
            case PeerUpdate():
                self.on_update(message, stream.send)
            case PeerReaderAnnouncement():
                self.on_reader_announcement(message)
            case PeerListingRequest():
                self.on_listing_request(message)
            case PeerCrash():
                self.on_crash(message)
            case PeerPing():
                stream.send(PeerPong(sequence=message.sequence))
            case _:
                stream.close()

    def start_call(self, stream: PeerStream, message: PeerRequest) -> None:
        """Start a task that runs a request."""
        call = decode_call(message, self.loop.time())
        task = self.loop.create_task(self.run_call(stream, message, call))
        self.streams[stream][message.call_id] = task

    async def run_call(
        self, stream: PeerStream, message: PeerRequest, call: UpstreamCall
    ) -> None:
        """Run a request and send its result; after an error, it may have run."""
        try:
            if self.account.is_exhausted:
                self.account.count("n_refused")
                result = self.runner.make_refusal(RefusalReason.OVERLOADED)
            elif message.body_size:
                result = await self.run_with_body(stream, message, call)
            else:
                result = await self.run_inline(message, call)
        except Exception as error:
            self.log.write_error("run", error, call.request_id, peer=stream.peer)
            result = self.runner.make_refusal(RefusalReason.LOST, is_offered=True)
        stream.send(encode_result(message.call_id, result))
        self.streams.get(stream, {}).pop(message.call_id, None)

    async def run_inline(self, message: PeerRequest, call: UpstreamCall) -> CallResult:
        """Run a request that came with its body."""
        n_held = len(message.head) + len(message.body)
        self.account.n_held += n_held
        try:
            return await self.runner.run(call)
        finally:
            self.account.n_held -= n_held

    async def run_with_body(
        self, stream: PeerStream, message: PeerRequest, call: UpstreamCall
    ) -> CallResult:
        """Receive the body of a request and run it.

        A request that would be refused now is refused before its body is sent.
        """
        runner = self.runner
        refusal = runner.find_refusal(call)
        if refusal is not None:
            return refusal
        share = self.account.open_share(None)
        try:
            if not share.try_reserve(message.body_size):
                self.account.count("n_refused")
                return runner.make_refusal(RefusalReason.OVERLOADED)
            return await self.run_with_share(stream, message, call, share)
        finally:
            share.release()

    async def run_with_share(
        self,
        stream: PeerStream,
        message: PeerRequest,
        call: UpstreamCall,
        share: MemoryShare,
    ) -> CallResult:
        """Receive the body of a request, for which there is memory, and run it."""
        runner = self.runner
        runner.n_receiving += 1
        try:
            body = await self.bodies.receive(
                stream,
                message.call_id,
                call,
                size=message.body_size,
                run_time_s=runner.queue.run_times.estimate(call.route),
                share=share,
            )
        finally:
            runner.n_receiving -= 1
        if body is None:
            return runner.make_refusal(RefusalReason.OVERLOADED)
        return await runner.run(replace(call, body=body))

    def send_go_away(self) -> None:
        """Send a go-away to all peers that are connected or connect from now on."""
        self.is_leaving = True
        self.broadcast(PeerGoAway(address=self.address))

    def broadcast(self, message: object) -> None:
        """Send a message to all connected peers."""
        for stream in self.streams:
            stream.send(message)

    def close(self) -> None:
        """Stop listening and close all streams after the buffered data was sent."""
        if self.server is not None:
            self.server.close()
        for stream in list(self.streams):
            stream.close_after_flush()


def decode_call(message: PeerRequest, now: float) -> UpstreamCall:
    """Return the call of a message; `now` is the monotonic time in seconds."""
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
        is_call=message.is_call,
        target_s=message.target_ms / 1000,
        held_s=max(0, message.held_ms) / 1000,
    )


def encode_result(call_id: int, result: CallResult) -> PeerResponse | PeerRefusal:
    """Return the message for the result of a call."""
    if isinstance(result, CallRefusal):
        return PeerRefusal(
            call_id=call_id,
            outcome=result.outcome,
            reason=result.reason,
            is_offered=result.is_offered,
            load=result.load,
            retry_after_ms=int(result.retry_after_s * 1000),
        )
    return PeerResponse(
        call_id=call_id,
        status=result.response.status,
        head=result.response.head,
        body=memoryview(result.response.body),
        run_time_us=int(result.run_time_s * 1e6),
        load=result.load,
    )
