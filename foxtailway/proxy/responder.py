"""Inbound call streams from other nodes."""

import asyncio
from dataclasses import replace
from math import isfinite

from expression import Result

from foxtailway.common.clock import Clock
from foxtailway.common.failure import Failure, FailureKind, Step
from foxtailway.proxy.message import (
    CALL_PROTOCOL,
    CallCancel,
    CallGoAway,
    CallHeartbeat,
    CallHello,
    CallHelloAck,
    CallRefusal,
    CallRequest,
    CallResponse,
    KeyQuery,
    KeyReply,
)
from foxtailway.proxy.observer import CallObserver
from foxtailway.proxy.runner import RequestRunner
from foxtailway.proxy.upstream import CancelToken
from foxtailway.routing.deadline import PauseDetector
from foxtailway.routing.outcome import Outcome, Refusal, RefusalReason
from foxtailway.settings.model import NodeSettings
from foxtailway.transport.stream import MessageStream

__all__ = ["CallResponder", "refusal_message"]

# Time for the peers to receive the last responses before streams are closed.
GO_AWAY_LINGER_S = 0.05


class InboundStream:
    """Hold one accepted call stream and the requests that run for it.

    Parameters
    ----------
    stream : MessageStream
        Stream; the listener closes it.
    host_id : str
        Host of the peer.
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, *, stream: MessageStream, host_id: str, now: float) -> None:
        self.stream = stream
        self.host_id = host_id
        self.last_received_at = now
        self.cancel_tokens: dict[int, CancelToken] = {}
        self.is_reply_pending = False


class CallResponder:
    """Serve the requests of other nodes at the local upstream.

    Parameters
    ----------
    settings : NodeSettings
        Settings of this node.
    clock : Clock
        Source of time.
    runner : RequestRunner
        Runs the requests.
    pause_detector : PauseDetector
        Informed of each message that is read.
    observer : CallObserver
        Receiver of events.
    """

    def __init__(
        self,
        *,
        settings: NodeSettings,
        clock: Clock,
        runner: RequestRunner,
        pause_detector: PauseDetector,
        observer: CallObserver,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.runner = runner
        self.pause_detector = pause_detector
        self.observer = observer
        self.inbound_streams: set[InboundStream] = set()
        self.tasks: set[asyncio.Task] = set()
        self.is_leaving = False
        self.is_stopping = False

    @property
    def is_draining(self) -> bool:
        """Return whether new requests are refused."""
        return self.is_leaving or self.is_stopping

    async def accept(self, stream: MessageStream, hello: CallHello) -> None:
        """Serve a stream until it ends.

        Parameters
        ----------
        stream : MessageStream
            Stream whose first message was `hello`.
        hello : CallHello
            Hello of the peer.
        """
        failure = self.check_hello(stream, hello)
        if failure is not None:
            self.observer.peer_refused(failure)
            return
        await stream.send(CallHelloAck(host_id=self.settings.host.host_id))
        inbound = InboundStream(
            stream=stream, host_id=hello.host_id, now=self.clock.now()
        )
        self.inbound_streams.add(inbound)
        watchdog = asyncio.ensure_future(self.close_when_silent(inbound))
        try:
            if self.is_draining:
                self.spawn(self.send_go_away(inbound))
            await self.read_messages(inbound)
        finally:
            watchdog.cancel()
            self.inbound_streams.discard(inbound)
            for token in inbound.cancel_tokens.values():
                token.cancel()

    def check_hello(self, stream: MessageStream, hello: CallHello) -> Failure | None:
        """Return why a peer is refused, or None."""
        if hello.protocol != CALL_PROTOCOL:
            kind = FailureKind.WRONG_PROTOCOL
            detail = f"protocol {hello.protocol}, expected {CALL_PROTOCOL}"
        elif hello.mesh != self.settings.host.mesh:
            kind = FailureKind.WRONG_MESH
            detail = f"mesh must be that of this node, not {hello.mesh!r}"
        else:
            return None
        return Failure(step=Step.HELLO, kind=kind, peer=stream.peer, detail=detail)

    async def read_messages(self, inbound: InboundStream) -> None:
        """Handle messages until the stream ends."""
        while True:
            received = await inbound.stream.receive()
            if received.is_error():
                if received.error.kind is not FailureKind.CLOSED:
                    self.observer.peer_refused(received.error)
                return
            inbound.last_received_at = self.clock.now()
            self.pause_detector.observe(inbound.last_received_at)
            failure = self.handle(inbound, received.ok)
            if failure is not None:
                self.observer.peer_refused(failure)
                return

    def handle(self, inbound: InboundStream, message: object) -> Failure | None:
        """Handle one message; return a violation of the protocol, or None.

        The method does not wait for the peer, so that a peer that reads slowly
        does not delay the cancellations that it sends.
        """
        match message:
            case CallRequest():
                return self.handle_request(inbound, message)
            case CallCancel():
                token = inbound.cancel_tokens.get(message.call_id)
                if token is not None:
                    token.cancel()
            case CallHeartbeat():
                if not inbound.is_reply_pending:
                    inbound.is_reply_pending = True
                    self.spawn(self.reply_heartbeat(inbound, message.sequence))
            case KeyQuery():
                if not isfinite(message.window_s):
                    return self.make_protocol_failure(
                        inbound, "window_s of a KeyQuery, not finite"
                    )
                self.spawn(self.reply_to_key_query(inbound, message))
            case _:
                return self.make_protocol_failure(inbound, type(message).__name__)
        return None

    async def reply_heartbeat(self, inbound: InboundStream, sequence: int) -> None:
        """Echo a heartbeat; at most one reply per stream waits for the peer."""
        await inbound.stream.send(CallHeartbeat(sequence=sequence, is_reply=True))
        inbound.is_reply_pending = False

    def handle_request(
        self, inbound: InboundStream, request: CallRequest
    ) -> Failure | None:
        """Start a task that serves a request, or refuse it when too many run."""
        if request.call_id in inbound.cancel_tokens:
            return self.make_protocol_failure(
                inbound, "CallRequest with a call_id in use"
            )
        if not isfinite(request.window_s):
            return self.make_protocol_failure(
                inbound, "window_s of a CallRequest, not finite"
            )
        if len(inbound.cancel_tokens) >= self.settings.calls.max_in_flight:
            refusal = self.refuse(RefusalReason.OVERLOADED)
            self.spawn(self.send_refusal(inbound, request, refusal))
            return None
        token = CancelToken()
        inbound.cancel_tokens[request.call_id] = token
        self.spawn(self.serve(inbound, request, token))
        return None

    async def serve(
        self, inbound: InboundStream, request: CallRequest, token: CancelToken
    ) -> None:
        """Run a request and send its response.

        The request counts as open until its response is written, which bounds
        the number of responses that wait for a slow peer.
        """
        try:
            if self.is_draining:
                refusal = self.refuse(RefusalReason.DRAINING)
                await self.send_refusal(inbound, request, refusal)
                return
            result = await self.runner.run(request, token=token)
            await self.send_result(inbound, request, result)
        finally:
            inbound.cancel_tokens.pop(request.call_id, None)

    async def send_result(
        self,
        inbound: InboundStream,
        request: CallRequest,
        result: Result[CallResponse, Refusal],
    ) -> None:
        """Send the result of a request.

        A response that the stream cannot send is replaced by a refusal with an
        unknown outcome.
        """
        if result.is_error():
            await self.send_refusal(inbound, request, result.error)
            return
        sent = await inbound.stream.send(result.ok)
        if sent.is_ok() or sent.error.kind is FailureKind.CLOSED:
            return
        reason = RefusalReason.MALFORMED
        if sent.error.kind is FailureKind.TOO_LARGE:
            reason = RefusalReason.TOO_LARGE
        refusal = replace(self.refuse(reason), outcome=Outcome.UNKNOWN)
        await self.send_refusal(inbound, request, refusal)

    async def send_refusal(
        self, inbound: InboundStream, request: CallRequest, refusal: Refusal
    ) -> None:
        """Send a refusal; close the stream if it cannot be sent."""
        sent = await inbound.stream.send(refusal_message(request.call_id, refusal))
        if sent.is_error():
            inbound.stream.close()

    async def reply_to_key_query(self, inbound: InboundStream, query: KeyQuery) -> None:
        """Relinquish a key unless a request with it may have run at this host."""
        is_relinquished = self.runner.relinquish_key(
            query.idempotency_key, window_s=query.window_s
        )
        await inbound.stream.send(
            KeyReply(call_id=query.call_id, is_relinquished=is_relinquished)
        )

    async def close_when_silent(self, inbound: InboundStream) -> None:
        """Close a stream on which no message arrives within the silence limit."""
        calls = self.settings.calls
        while True:
            await asyncio.sleep(calls.heartbeat_s)
            silence_s = self.clock.now() - inbound.last_received_at
            if silence_s > calls.silence_s:
                inbound.stream.close()
                return

    def set_leaving(self, is_leaving: bool) -> None:
        """Refuse new requests while the host list marks the host as leaving."""
        if is_leaving and not self.is_leaving:
            for inbound in list(self.inbound_streams):
                self.spawn(self.send_go_away(inbound))
        self.is_leaving = is_leaving

    async def drain(self, timeout_s: float) -> None:
        """Refuse new requests and wait for those in flight.

        Waits at most `timeout_s` seconds, and then lingers for the last
        responses.
        """
        self.is_stopping = True
        for inbound in list(self.inbound_streams):
            self.spawn(self.send_go_away(inbound))
        running = [task for task in self.tasks if not task.done()]
        if running:
            await asyncio.wait(running, timeout=timeout_s)
        await asyncio.sleep(GO_AWAY_LINGER_S)

    async def send_go_away(self, inbound: InboundStream) -> None:
        """Tell the peer that this node accepts no new requests."""
        await inbound.stream.send(CallGoAway(host_id=self.settings.host.host_id))

    def spawn(self, coroutine: object) -> None:
        """Run a coroutine as a task for which `drain` waits."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def refuse(self, reason: RefusalReason) -> Refusal:
        """Return a refusal of a request that did not run."""
        return Refusal(
            outcome=Outcome.NOT_RUN,
            reason=reason,
            retry_after_s=1.0,
            host_id=self.settings.host.host_id,
        )

    def make_protocol_failure(self, inbound: InboundStream, detail: str) -> Failure:
        """Return the failure of a peer that violated the protocol."""
        return Failure(
            step=Step.RECEIVE,
            kind=FailureKind.INVALID,
            peer=inbound.stream.peer,
            detail=f"unexpected {detail}",
        )


def refusal_message(call_id: int, refusal: Refusal) -> CallRefusal:
    """Return the message for a refusal of a call."""
    return CallRefusal(
        call_id=call_id,
        outcome=refusal.outcome,
        reason=refusal.reason,
        retry_after_s=refusal.retry_after_s,
        host_id=refusal.host_id,
    )
