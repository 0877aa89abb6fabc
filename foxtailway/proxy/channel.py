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
    KeyQuery,
    KeyReply,
)
from foxtailway.routing.outcome import Outcome, Refusal, RefusalReason
from foxtailway.routing.session import CallSession, ResponseVerdict
from foxtailway.settings.model import NodeSettings
from foxtailway.transport.http_status import is_final_status
from foxtailway.transport.stream import MessageStream

__all__ = ["CallChannel", "CallTransport", "ChannelObserver"]

# A channel never reopens its stream, so its session has a single generation.
SESSION_GENERATION = 1

# Added to the remaining time of a request, so that the refusal of a peer that
# observes the deadline arrives before the local timeout.
REPLY_MARGIN_S = 0.05

# Upper bound of the retry time that a peer may demand.
MAX_RETRY_AFTER_S = 3600.0

# Failures of a send after which no byte has left and the stream is intact.
UNSENT_REASONS = {
    FailureKind.TOO_LARGE: RefusalReason.TOO_LARGE,
    FailureKind.INVALID: RefusalReason.MALFORMED,
    FailureKind.UNAVAILABLE: RefusalReason.OVERLOADED,
}


class CallTransport(ABC):
    """Interface to the node on the host of an upstream."""

    @abstractmethod
    async def call(self, request: CallRequest) -> Result[CallResponse, Refusal]:
        """Send a request and return its response or a refusal.

        The transport assigns ``call_id``.
        """

    @abstractmethod
    async def query_key(self, *, key: str, window_s: float) -> bool:
        """Return whether the node relinquished `key`.

        Parameters
        ----------
        key : str
            Key of requests whose home has changed.
        window_s : float
            Idempotency window of the key, in seconds.

        Returns
        -------
        bool
            False also when the node did not reply.
        """


class ChannelObserver(ABC):
    """Receive the events of call streams."""

    @abstractmethod
    def peer_started_draining(self, host_id: str) -> None:
        """Handle the announcement of a host that it accepts no new requests."""

    @abstractmethod
    def stream_failed(self, failure: Failure) -> None:
        """Handle a stream that ended with a failure."""

    @abstractmethod
    def reply_dropped(self, host_id: str) -> None:
        """Handle a reply that no call waits for."""


class CallChannel(CallTransport):
    """Multiplex calls over one stream to one host.

    A channel is not reused after its stream has ended, so that a reply on an
    older stream cannot be matched to a call on a newer one.

    Parameters
    ----------
    host_id : str
        Host of the peer.
    stream : MessageStream
        Stream after the handshake; the channel closes it.
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
            generation=SESSION_GENERATION,
            max_open_calls=settings.calls.max_in_flight,
        )
        self.futures: dict[int, asyncio.Future] = {}
        self.is_draining = False
        self.last_received_at = clock.now()
        self.tasks = (
            asyncio.ensure_future(self.read_replies()),
            asyncio.ensure_future(self.keep_alive()),
        )

    @property
    def is_closed(self) -> bool:
        """Return whether the stream has ended."""
        return self.session.is_closed

    async def call(self, request: CallRequest) -> Result[CallResponse, Refusal]:
        """Send a request and wait for its reply until its deadline."""
        call_id = self.session.open()
        if call_id is None:
            return Error(self.refuse_unsent())
        reply = await self.exchange(
            call_id,
            replace(request, call_id=call_id),
            request.remaining_s + REPLY_MARGIN_S,
        )
        if isinstance(reply, CallResponse) and is_final_status(reply.status):
            return Ok(reply)
        if isinstance(reply, CallRefusal):
            return Error(parse_refusal(reply))
        if isinstance(reply, Refusal):
            return Error(reply)
        return Error(self.refuse(Outcome.UNKNOWN, RefusalReason.LOST))

    async def query_key(self, *, key: str, window_s: float) -> bool:
        """Return whether the node relinquished `key`; False without a reply."""
        call_id = self.session.open()
        if call_id is None:
            return False
        query = KeyQuery(call_id=call_id, idempotency_key=key, window_s=window_s)
        reply = await self.exchange(call_id, query, self.settings.calls.silence_s)
        return isinstance(reply, KeyReply) and reply.is_relinquished

    async def exchange(
        self, call_id: int, message: object, timeout_s: float
    ) -> CallResponse | CallRefusal | KeyReply | Refusal:
        """Send a message and wait for the reply with the same identifier.

        A message that was not sent, a timeout after `timeout_s` seconds and the
        end of the stream give a refusal.
        """
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
            outcome = self.cancel_call(call_id) or Outcome.UNKNOWN
            return self.refuse(outcome, RefusalReason.EXPIRED)
        except asyncio.CancelledError:
            self.cancel_call(call_id)
            raise
        finally:
            self.futures.pop(call_id, None)

    def cancel_call(self, call_id: int) -> Outcome | None:
        """Cancel an open call, also at the peer; None if the call is not open."""
        outcome = self.session.abandon(call_id)
        if outcome is not None and not self.is_closed:
            asyncio.ensure_future(self.stream.send(CallCancel(call_id=call_id)))
        return outcome

    async def read_replies(self) -> None:
        """Deliver replies to their calls until the stream ends."""
        while not self.is_closed:
            received = await self.stream.receive()
            if received.is_error():
                self.close(received.error)
                return
            self.last_received_at = self.clock.now()
            self.handle(received.ok)

    def handle(self, message: object) -> None:
        """Handle one message of the peer."""
        match message:
            case CallResponse() | CallRefusal() | KeyReply():
                self.deliver_reply(message.call_id, message)
            case CallGoAway():
                self.is_draining = True
                self.observer.peer_started_draining(self.host_id)
            case CallHeartbeat():
                pass
            case _:
                detail = f"unexpected {type(message).__name__}"
                self.close(self.make_failure(FailureKind.INVALID, detail))

    def deliver_reply(self, call_id: int, reply: object) -> None:
        """Complete the call of a reply; drop a late, repeated or foreign reply."""
        verdict = self.session.accept(generation=SESSION_GENERATION, call_id=call_id)
        future = self.futures.get(call_id)
        if verdict is not ResponseVerdict.DELIVER or future is None or future.done():
            self.observer.reply_dropped(self.host_id)
            return
        future.set_result(reply)

    async def keep_alive(self) -> None:
        """Send heartbeats and close the stream when the peer is silent."""
        for sequence in count():
            await asyncio.sleep(self.settings.calls.heartbeat_s)
            if self.is_closed:
                return
            if self.clock.now() - self.last_received_at > self.settings.calls.silence_s:
                self.close(
                    self.make_failure(
                        FailureKind.TIMEOUT, "no message within the silence limit"
                    )
                )
                return
            heartbeat = CallHeartbeat(sequence=sequence, is_reply=False)
            asyncio.ensure_future(self.stream.send(heartbeat))

    def close(self, failure: Failure | None = None) -> None:
        """Close the stream and refuse its open calls; idempotent."""
        if self.is_closed:
            return
        ended_calls = self.session.close()
        self.stream.close()
        if failure is not None:
            self.observer.stream_failed(failure)
        for call in ended_calls:
            future = self.futures.get(call.call_id)
            if future is not None and not future.done():
                future.set_result(call.refusal)
        for task in self.tasks:
            if task is not asyncio.current_task():
                task.cancel()

    def refuse_unsent(self) -> Refusal:
        """Return the refusal of a call that the closed or full session rejects."""
        reason = RefusalReason.OVERLOADED
        if self.is_closed:
            reason = RefusalReason.NOT_READY
        return self.refuse(Outcome.NOT_RUN, reason)

    def refuse(self, outcome: Outcome, reason: RefusalReason) -> Refusal:
        """Return a refusal that names the peer."""
        return Refusal(
            outcome=outcome, reason=reason, retry_after_s=0.0, host_id=self.host_id
        )

    def make_failure(self, kind: FailureKind, detail: str) -> Failure:
        """Return a failure of the stream."""
        return Failure(
            step=Step.RECEIVE, kind=kind, peer=self.stream.peer, detail=detail
        )


def parse_refusal(message: CallRefusal) -> Refusal:
    """Return the refusal of a message, with its retry time bounded.

    A retry time that is negative or NaN becomes 0.
    """
    retry_after_s = message.retry_after_s
    if not retry_after_s > 0.0:
        retry_after_s = 0.0
    return Refusal(
        outcome=message.outcome,
        reason=message.reason,
        retry_after_s=min(retry_after_s, MAX_RETRY_AFTER_S),
        host_id=message.host_id,
    )
