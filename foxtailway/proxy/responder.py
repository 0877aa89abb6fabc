"""Call streams that other nodes opened."""

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
    KeyAnswer,
    KeyQuery,
)
from foxtailway.proxy.observer import CallObserver
from foxtailway.proxy.runner import RequestRunner
from foxtailway.proxy.upstream import CancelToken
from foxtailway.routing.deadline import PauseDetector
from foxtailway.routing.outcome import Outcome, Refusal, RefusalReason
from foxtailway.settings.model import NodeSettings
from foxtailway.transport.stream import MessageStream

__all__ = ["CallResponder", "refusal_message"]

GOODBYE_LINGER_S = 0.05


class ServedStream:
    """Hold one accepted call stream and the requests that run for it.

    Parameters
    ----------
    stream : MessageStream
        Stream, owned by the listener.
    host_id : str
        Host at the other end.
    now : float
        Time in seconds.
    """

    def __init__(self, *, stream: MessageStream, host_id: str, now: float) -> None:
        self.stream = stream
        self.host_id = host_id
        self.heard_at = now
        self.tokens: dict[int, CancelToken] = {}
        self.is_replying = False


class CallResponder:
    """Serve the requests of other nodes at the own upstream.

    Parameters
    ----------
    settings : NodeSettings
        Settings of this node.
    clock : Clock
        Source of time.
    runner : RequestRunner
        Runs requests.
    pause_detector : PauseDetector
        Learns that messages are read.
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
        self.served: set[ServedStream] = set()
        self.tasks: set[asyncio.Task] = set()
        self.is_leaving = False
        self.is_stopping = False

    @property
    def is_draining(self) -> bool:
        """Whether new requests are refused."""
        return self.is_leaving or self.is_stopping

    async def accept(self, stream: MessageStream, hello: CallHello) -> None:
        """Serve a stream until it ends.

        Parameters
        ----------
        stream : MessageStream
            Stream whose first message was `hello`.
        hello : CallHello
            Greeting of the other end.
        """
        failure = self.check_hello(stream, hello)
        if failure is not None:
            self.observer.peer_refused(failure)
            return
        await stream.send(CallHelloAck(host_id=self.settings.host.host_id))
        served = ServedStream(
            stream=stream, host_id=hello.host_id, now=self.clock.now()
        )
        self.served.add(served)
        watchdog = asyncio.ensure_future(self.watch(served))
        try:
            if self.is_draining:
                self.spawn(self.say_goodbye(served))
            await self.read(served)
        finally:
            watchdog.cancel()
            self.served.discard(served)
            for token in served.tokens.values():
                token.cancel()

    def check_hello(self, stream: MessageStream, hello: CallHello) -> Failure | None:
        """Return why a peer is refused, or None."""
        if hello.protocol != CALL_PROTOCOL:
            kind = FailureKind.WRONG_PROTOCOL
            detail = f"protocol {hello.protocol}, expected {CALL_PROTOCOL}"
        elif hello.mesh != self.settings.host.mesh:
            kind = FailureKind.WRONG_MESH
            detail = f"mesh {hello.mesh!r}"
        else:
            return None
        return Failure(step=Step.HELLO, kind=kind, peer=stream.peer, detail=detail)

    async def read(self, served: ServedStream) -> None:
        """Handle messages until the stream ends."""
        while True:
            received = await served.stream.receive()
            if received.is_error():
                if received.error.kind is not FailureKind.CLOSED:
                    self.observer.peer_refused(received.error)
                return
            served.heard_at = self.clock.now()
            self.pause_detector.observe(served.heard_at)
            failure = self.handle(served, received.ok)
            if failure is not None:
                self.observer.peer_refused(failure)
                return

    def handle(self, served: ServedStream, message: object) -> Failure | None:
        """Handle one message and return a failure of the protocol, if any.

        Nothing is awaited here: a peer that reads slowly must not keep its own
        cancellations from being read.
        """
        match message:
            case CallRequest():
                return self.handle_request(served, message)
            case CallCancel():
                token = served.tokens.get(message.call_id)
                if token is not None:
                    token.cancel()
            case CallHeartbeat():
                if not served.is_replying:
                    served.is_replying = True
                    self.spawn(self.reply_heartbeat(served, message.sequence))
            case KeyQuery():
                if not isfinite(message.window_s):
                    return self.protocol_failure(served, "window of a KeyQuery")
                self.spawn(self.answer_query(served, message))
            case _:
                return self.protocol_failure(served, type(message).__name__)
        return None

    async def reply_heartbeat(self, served: ServedStream, sequence: int) -> None:
        """Echo a heartbeat; only one reply at a time waits for the peer."""
        await served.stream.send(CallHeartbeat(sequence=sequence, is_reply=True))
        served.is_replying = False

    def handle_request(
        self, served: ServedStream, request: CallRequest
    ) -> Failure | None:
        """Start to serve a request, within the bounds of the stream."""
        if request.call_id in served.tokens:
            return self.protocol_failure(served, "CallRequest with a used identifier")
        if not isfinite(request.window_s):
            return self.protocol_failure(served, "window of a CallRequest")
        if len(served.tokens) >= self.settings.calls.max_in_flight:
            refusal = self.refuse(RefusalReason.OVERLOADED)
            self.spawn(self.answer_refusal(served, request, refusal))
            return None
        token = CancelToken()
        served.tokens[request.call_id] = token
        self.spawn(self.serve(served, request, token))
        return None

    async def serve(
        self, served: ServedStream, request: CallRequest, token: CancelToken
    ) -> None:
        """Run a request and send its answer.

        The request counts as open until its answer is written, which bounds
        the answers that wait for a slow peer.
        """
        try:
            if self.is_draining:
                refusal = self.refuse(RefusalReason.DRAINING)
                await self.answer_refusal(served, request, refusal)
                return
            result = await self.runner.run(request, token=token)
            await self.answer(served, request, result)
        finally:
            served.tokens.pop(request.call_id, None)

    async def answer(
        self,
        served: ServedStream,
        request: CallRequest,
        result: Result[CallResponse, Refusal],
    ) -> None:
        """Send the result of a request."""
        if result.is_error():
            await self.answer_refusal(served, request, result.error)
            return
        sent = await served.stream.send(result.ok)
        if sent.is_ok() or sent.error.kind is FailureKind.CLOSED:
            return
        reason = RefusalReason.MALFORMED
        if sent.error.kind is FailureKind.TOO_LARGE:
            reason = RefusalReason.TOO_LARGE
        refusal = replace(self.refuse(reason), outcome=Outcome.UNKNOWN)
        await self.answer_refusal(served, request, refusal)

    async def answer_refusal(
        self, served: ServedStream, request: CallRequest, refusal: Refusal
    ) -> None:
        """Send a refusal; a peer that leaves no room for it is left."""
        sent = await served.stream.send(refusal_message(request.call_id, refusal))
        if sent.is_error():
            served.stream.close()

    async def answer_query(self, served: ServedStream, query: KeyQuery) -> None:
        """Give up a key, unless it may have run here."""
        is_surrendered = self.runner.surrender_key(
            query.idempotency_key, window_s=query.window_s
        )
        await served.stream.send(
            KeyAnswer(call_id=query.call_id, is_surrendered=is_surrendered)
        )

    async def watch(self, served: ServedStream) -> None:
        """Leave a stream that has gone silent."""
        calls = self.settings.calls
        while True:
            await asyncio.sleep(calls.heartbeat_s)
            silence_s = self.clock.now() - served.heard_at
            if silence_s > calls.silence_s:
                served.stream.close()
                return

    def set_leaving(self, is_leaving: bool) -> None:
        """Refuse new requests while the host list says that the host leaves."""
        if is_leaving and not self.is_leaving:
            for served in list(self.served):
                self.spawn(self.say_goodbye(served))
        self.is_leaving = is_leaving

    async def drain(self, timeout_s: float) -> None:
        """Refuse new requests and wait for those that run."""
        self.is_stopping = True
        for served in list(self.served):
            self.spawn(self.say_goodbye(served))
        running = [task for task in self.tasks if not task.done()]
        if running:
            await asyncio.wait(running, timeout=timeout_s)
        await asyncio.sleep(GOODBYE_LINGER_S)

    async def say_goodbye(self, served: ServedStream) -> None:
        """Tell the other end to send no new work."""
        await served.stream.send(CallGoAway(host_id=self.settings.host.host_id))

    def spawn(self, coroutine: object) -> None:
        """Run a coroutine as a task of the responder."""
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

    def protocol_failure(self, served: ServedStream, detail: str) -> Failure:
        """Return the failure of a peer that broke the protocol."""
        return Failure(
            step=Step.RECEIVE,
            kind=FailureKind.INVALID,
            peer=served.stream.peer,
            detail=f"unexpected {detail}",
        )


def refusal_message(call_id: int, refusal: Refusal) -> CallRefusal:
    """Return the message that carries a refusal."""
    return CallRefusal(
        call_id=call_id,
        outcome=refusal.outcome,
        reason=refusal.reason,
        retry_after_s=refusal.retry_after_s,
        host_id=refusal.host_id,
    )
