"""Outgoing call streams to other nodes."""

import asyncio
from abc import ABC, abstractmethod
from dataclasses import replace
from itertools import count

from expression import Error, Ok, Result

from foxtailway.common.clock import Clock
from foxtailway.common.failure import Failure, FailureKind, Step
from foxtailway.proxy.message import (
    CallCancel,
    CallGoAway,
    CallHeartbeat,
    CallRefusal,
    CallRequest,
    CallResponse,
    KeyAnswer,
    KeyQuery,
)
from foxtailway.routing.outcome import Outcome, Refusal, RefusalReason
from foxtailway.routing.session import AnswerVerdict, CallSession
from foxtailway.settings.model import NodeSettings
from foxtailway.transport.stream import MessageStream

__all__ = ["CallChannel", "CallTransport", "ChannelObserver"]

GENERATION = 1
ANSWER_MARGIN_S = 0.05
MAX_RETRY_AFTER_S = 3600.0
UNSENT_REASONS = {
    FailureKind.TOO_LARGE: RefusalReason.TOO_LARGE,
    FailureKind.INVALID: RefusalReason.MALFORMED,
    FailureKind.UNAVAILABLE: RefusalReason.OVERLOADED,
}


class CallTransport(ABC):
    """Carry requests to the node beside an upstream."""

    @abstractmethod
    async def call(self, request: CallRequest) -> Result[CallResponse, Refusal]:
        """Have a request run; its ``call_id`` is assigned by the transport."""

    @abstractmethod
    async def query_key(self, *, key: str, window_s: float) -> bool:
        """Return whether the node gave up `key`; False when unsure."""


class ChannelObserver(ABC):
    """Learn what happens on call streams."""

    @abstractmethod
    def peer_started_draining(self, host_id: str) -> None:
        """Note that a host takes no new work."""

    @abstractmethod
    def stream_failed(self, failure: Failure) -> None:
        """Note that a stream ended with a failure."""

    @abstractmethod
    def reply_dropped(self, host_id: str) -> None:
        """Note an answer that no call waits for."""


class CallChannel(CallTransport):
    """Multiplex calls over one stream to one host.

    A stream that ended is never used again, so that answers cannot cross from
    an older stream to a newer one.

    Parameters
    ----------
    host_id : str
        Host at the other end.
    stream : MessageStream
        Greeted stream; owned by the channel.
    settings : NodeSettings
        Settings of this node.
    clock : Clock
        Source of time.
    observer : ChannelObserver
        Receiver of events.
    """

    def __init__(
        self,
        *,
        host_id: str,
        stream: MessageStream,
        settings: NodeSettings,
        clock: Clock,
        observer: ChannelObserver,
    ) -> None:
        self.host_id = host_id
        self.stream = stream
        self.settings = settings
        self.clock = clock
        self.observer = observer
        self.session = CallSession(
            peer_host_id=host_id,
            generation=GENERATION,
            max_open_calls=settings.calls.max_in_flight,
        )
        self.futures: dict[int, asyncio.Future] = {}
        self.is_draining = False
        self.heard_at = clock.now()
        self.tasks = (
            asyncio.ensure_future(self.read_answers()),
            asyncio.ensure_future(self.keep_alive()),
        )

    @property
    def is_closed(self) -> bool:
        """Whether the stream has ended."""
        return self.session.is_closed

    async def call(self, request: CallRequest) -> Result[CallResponse, Refusal]:
        """Send a request and wait for its answer until its deadline."""
        call_id = self.session.open()
        if call_id is None:
            return Error(self.refuse_unsent())
        answer = await self.exchange(
            call_id,
            replace(request, call_id=call_id),
            request.remaining_s + ANSWER_MARGIN_S,
        )
        if isinstance(answer, CallResponse):
            return Ok(answer)
        if isinstance(answer, CallRefusal):
            return Error(refusal_of(answer))
        if isinstance(answer, Refusal):
            return Error(answer)
        return Error(self.refuse(Outcome.UNKNOWN, RefusalReason.LOST))

    async def query_key(self, *, key: str, window_s: float) -> bool:
        """Return whether the node gave up `key`; False when unsure."""
        call_id = self.session.open()
        if call_id is None:
            return False
        query = KeyQuery(call_id=call_id, idempotency_key=key, window_s=window_s)
        answer = await self.exchange(call_id, query, self.settings.calls.silence_s)
        return isinstance(answer, KeyAnswer) and answer.is_surrendered

    async def exchange(
        self, call_id: int, message: object, timeout_s: float
    ) -> CallResponse | CallRefusal | KeyAnswer | Refusal:
        """Send a message and wait for the answer of the same identifier."""
        future = asyncio.get_running_loop().create_future()
        self.futures[call_id] = future
        try:
            async with asyncio.timeout(timeout_s):
                self.session.mark_sent(call_id)
                sent = await self.stream.send(message)
                if sent.is_error() and sent.error.kind in UNSENT_REASONS:
                    self.session.abandon(call_id)
                    reason = UNSENT_REASONS[sent.error.kind]
                    return self.refuse(Outcome.NOT_RUN, reason)
                if sent.is_error():
                    self.close(sent.error)
                return await future
        except TimeoutError:
            outcome = self.abandon(call_id) or Outcome.UNKNOWN
            return self.refuse(outcome, RefusalReason.EXPIRED)
        except asyncio.CancelledError:
            self.abandon(call_id)
            raise
        finally:
            self.futures.pop(call_id, None)

    def abandon(self, call_id: int) -> Outcome | None:
        """Give up a call and tell the other end."""
        outcome = self.session.abandon(call_id)
        if outcome is not None and not self.is_closed:
            asyncio.ensure_future(self.stream.send(CallCancel(call_id=call_id)))
        return outcome

    async def read_answers(self) -> None:
        """Hand answers to their calls until the stream ends."""
        while not self.is_closed:
            received = await self.stream.receive()
            if received.is_error():
                self.close(received.error)
                return
            self.heard_at = self.clock.now()
            self.handle(received.ok)

    def handle(self, message: object) -> None:
        """Handle one message of the other end."""
        match message:
            case CallResponse() | CallRefusal() | KeyAnswer():
                self.settle(message.call_id, message)
            case CallGoAway():
                self.is_draining = True
                self.observer.peer_started_draining(self.host_id)
            case CallHeartbeat():
                pass
            case _:
                detail = f"unexpected {type(message).__name__}"
                self.close(self.fail(FailureKind.INVALID, detail))

    def settle(self, call_id: int, answer: object) -> None:
        """Complete the call of an answer, or drop a late or foreign one."""
        verdict = self.session.accept(generation=GENERATION, call_id=call_id)
        future = self.futures.get(call_id)
        if verdict is not AnswerVerdict.DELIVER or future is None or future.done():
            self.observer.reply_dropped(self.host_id)
            return
        future.set_result(answer)

    async def keep_alive(self) -> None:
        """Send heartbeats and leave a silent stream."""
        for sequence in count():
            await asyncio.sleep(self.settings.calls.heartbeat_s)
            if self.is_closed:
                return
            if self.clock.now() - self.heard_at > self.settings.calls.silence_s:
                self.close(self.fail(FailureKind.TIMEOUT, "stream is silent"))
                return
            heartbeat = CallHeartbeat(sequence=sequence, is_reply=False)
            asyncio.ensure_future(self.stream.send(heartbeat))

    def close(self, failure: Failure | None = None) -> None:
        """Close the stream and settle its calls; idempotent."""
        if self.is_closed:
            return
        ended = self.session.close()
        self.stream.close()
        if failure is not None:
            self.observer.stream_failed(failure)
        for call in ended:
            future = self.futures.get(call.call_id)
            if future is not None and not future.done():
                future.set_result(call.refusal)
        for task in self.tasks:
            if task is not asyncio.current_task():
                task.cancel()

    def refuse_unsent(self) -> Refusal:
        """Return the refusal of a call for which the stream has no room."""
        reason = RefusalReason.OVERLOADED
        if self.is_closed:
            reason = RefusalReason.NOT_READY
        return self.refuse(Outcome.NOT_RUN, reason)

    def refuse(self, outcome: Outcome, reason: RefusalReason) -> Refusal:
        """Return a refusal that names the other end."""
        return Refusal(
            outcome=outcome, reason=reason, retry_after_s=0.0, host_id=self.host_id
        )

    def fail(self, kind: FailureKind, detail: str) -> Failure:
        """Return a failure of this stream."""
        return Failure(
            step=Step.RECEIVE, kind=kind, peer=self.stream.peer, detail=detail
        )


def refusal_of(message: CallRefusal) -> Refusal:
    """Return the refusal described by a message, with a sensible retry time."""
    retry_after_s = message.retry_after_s
    if not retry_after_s > 0.0:
        retry_after_s = 0.0
    return Refusal(
        outcome=message.outcome,
        reason=message.reason,
        retry_after_s=min(retry_after_s, MAX_RETRY_AFTER_S),
        host_id=message.host_id,
    )
