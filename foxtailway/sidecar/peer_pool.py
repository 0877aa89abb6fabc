"""Streams to the sidecars beside other upstreams."""

import asyncio
from collections.abc import Callable, Iterable
from itertools import count
from typing import Any

from foxtailway.routing.deadline import PauseDetector
from foxtailway.routing.outcome import Outcome, RefusalReason
from foxtailway.sidecar.call import (
    CallRefusal,
    CallResult,
    UpstreamAnswer,
    UpstreamCall,
)
from foxtailway.sidecar.crash_guard import CrashGuard
from foxtailway.sidecar.http_message import Response
from foxtailway.sidecar.log import EventLog
from foxtailway.sidecar.peer_message import (
    PeerAnswer,
    PeerCancel,
    PeerCrash,
    PeerFeedRequest,
    PeerGoodbye,
    PeerPing,
    PeerPong,
    PeerRefusal,
    PeerRequest,
)
from foxtailway.sidecar.peer_stream import PeerStream, StreamOwner
from foxtailway.transport.message_schema import MessageSchemas

__all__ = ["PeerPool"]

CONNECT_TIMEOUT_S = 0.3
# Pauses between attempts to connect to a peer that cannot be reached, in seconds.
FIRST_PAUSE_S = 0.25
MAX_PAUSE_S = 1.0
# Requests in flight on each stream before another stream is opened.
N_CALLS_PER_STREAM = 12
N_STREAMS = 3
PROBE_INTERVAL_S = 0.1
# Silence after which a peer is asked for a sign of life, in seconds.
PING_AFTER_S = 0.1
# Silence after which a second attempt is suggested to the callers, in seconds.
SUSPECT_AFTER_S = 0.4
# Silence after which the stream is given up, in seconds.
LOST_AFTER_S = 1.5
# Time for which a peer that said goodbye is passed over, in seconds.
GOODBYE_S = 0.5
# Time added to the deadline for the answer's way back, in seconds.
RETURN_SLACK_S = 0.2


class PeerLink(StreamOwner):
    """Hold the streams to one peer and the calls that wait on them.

    Parameters
    ----------
    address : str
        IP address of the peer.
    pool : PeerPool
        Pool of the link.
    """

    def __init__(self, *, address: str, pool: "PeerPool") -> None:
        self.address = address
        self.pool = pool
        self.log = pool.log
        self.loop = asyncio.get_running_loop()
        self.call_ids = count(1)
        self.streams: dict[PeerStream, dict[int, PendingCall]] = {}
        self.connecting: asyncio.Task | None = None
        self.blocked_until = float("-inf")
        self.n_failures = 0
        self.prober: asyncio.TimerHandle | None = None
        self.pauses = PauseDetector(
            interval_s=PROBE_INTERVAL_S,
            tolerance_s=PROBE_INTERVAL_S,
            settle_s=0.0,
            now=self.loop.time(),
        )

    async def call(self, call: UpstreamCall) -> CallResult:
        """Send a call and wait for its result."""
        stream = await self.find_stream()
        if stream is None:
            return CallRefusal(
                outcome=Outcome.NOT_RUN, reason=RefusalReason.NO_ENDPOINT
            )
        now = self.loop.time()
        if call.deadline <= now:
            return CallRefusal(outcome=Outcome.NOT_RUN, reason=RefusalReason.EXPIRED)
        call_id = next(self.call_ids)
        pending = PendingCall(future=self.loop.create_future(), call=call)
        calls = self.streams[stream]
        calls[call_id] = pending
        stream.send(make_request(call_id, call, now))
        self.start_prober()
        try:
            async with asyncio.timeout_at(call.deadline + RETURN_SLACK_S):
                return await pending.future
        except TimeoutError:
            stream.send(PeerCancel(call_id=call_id))
            return CallRefusal(
                outcome=Outcome.UNKNOWN, reason=RefusalReason.EXPIRED, is_offered=True
            )
        except asyncio.CancelledError:
            stream.send(PeerCancel(call_id=call_id))
            raise
        finally:
            calls.pop(call_id, None)

    def write(self, encoded: bytes) -> None:
        """Send a message on an open stream, or open one for the next message."""
        stream = next(iter(self.streams), None)
        if stream is not None:
            stream.write(encoded)
        elif self.blocked_until <= self.loop.time():
            self.start_connecting()

    async def find_stream(self) -> PeerStream | None:
        """Return an open stream, or None when the peer cannot be reached.

        A peer that could not be reached is tried again without a request that
        waits for it.
        """
        now = self.loop.time()
        if self.blocked_until > now:
            return None
        stream = min(
            self.streams, key=lambda item: len(self.streams[item]), default=None
        )
        if stream is not None:
            is_crowded = len(self.streams[stream]) >= N_CALLS_PER_STREAM
            if is_crowded and len(self.streams) < N_STREAMS:
                self.start_connecting()
            return stream
        self.start_connecting()
        if self.n_failures:
            return None
        await asyncio.wait((self.connecting,), timeout=CONNECT_TIMEOUT_S)
        return next(iter(self.streams), None)

    def start_connecting(self) -> None:
        """Open one more stream, unless one is being opened."""
        if self.connecting is None or self.connecting.done():
            self.connecting = self.loop.create_task(self.connect())

    async def connect(self) -> None:
        """Open a stream."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self.loop.create_connection(
                    lambda: PeerStream(owner=self, codec=self.pool.codec, log=self.log),
                    self.address,
                    self.pool.port,
                )
        except (OSError, TimeoutError) as error:
            if not self.streams:
                self.blocked_until = self.loop.time() + self.find_pause()
                self.n_failures += 1
                self.log.write(
                    "peer_unreachable",
                    peer=self.address,
                    error=str(error) or "timeout",
                )

    def find_pause(self) -> float:
        """Return the time until the next attempt to connect, in seconds."""
        return min(MAX_PAUSE_S, FIRST_PAUSE_S * 2**self.n_failures)

    def stream_opened(self, stream: PeerStream) -> None:
        """Use the stream."""
        self.streams[stream] = {}
        self.n_failures = 0

    def message_received(self, stream: PeerStream, message: Any) -> None:
        """Hand a result to the call that waits for it."""
        match message:
            case PeerAnswer() | PeerRefusal():
                pending = self.streams.get(stream, {}).pop(message.call_id, None)
                if pending is not None and not pending.future.done():
                    pending.future.set_result(read_result(message))
            case PeerGoodbye():
                self.blocked_until = self.loop.time() + GOODBYE_S
            case PeerCrash():
                self.pool.guard.record_crash(message.fingerprint, message.upstream_id)
            case PeerFeedRequest():
                self.pool.on_feed_request(self.address)
            case PeerPong():
                return
            case _:
                stream.close()

    def stream_lost(self, stream: PeerStream) -> None:
        """End the calls of a stream; each may have run."""
        calls = self.streams.pop(stream, {})
        if calls:
            self.log.write("peer_stream_lost", peer=self.address, n_calls=len(calls))
        for pending in calls.values():
            pending.fail()

    def start_prober(self) -> None:
        """Watch the streams while calls wait."""
        if self.prober is None:
            self.pauses.observed_at = self.loop.time()
            self.prober = self.loop.call_later(PROBE_INTERVAL_S, self.probe)

    def probe(self) -> None:
        """Ask silent peers for a sign of life and give up dead streams.

        After this process was held up, answers may wait unread, so silence is
        measured anew from then on.
        """
        self.prober = None
        now = self.loop.time()
        self.pauses.observe(now)
        for stream, calls in list(self.streams.items()):
            if not calls:
                continue
            self.start_prober()
            oldest = min(pending.sent_at for pending in calls.values())
            silence_s = now - max(stream.heard_at, oldest, self.pauses.resumed_at)
            if silence_s > LOST_AFTER_S:
                self.blocked_until = now + GOODBYE_S
                stream.close()
                self.stream_lost(stream)
            elif silence_s > PING_AFTER_S:
                stream.send(PeerPing(sequence=0))
            if silence_s > SUSPECT_AFTER_S:
                self.blocked_until = now + 2 * PROBE_INTERVAL_S
                for pending in calls.values():
                    if pending.call.on_suspicion is not None:
                        pending.call.on_suspicion()

    def close(self) -> None:
        """Close all streams behind what was sent."""
        if self.prober is not None:
            self.prober.cancel()
        if self.connecting is not None:
            self.connecting.cancel()
        for stream in list(self.streams):
            stream.finish()


class PendingCall:
    """Hold a call that waits for its result.

    Parameters
    ----------
    future : asyncio.Future
        Receives the result.
    call : UpstreamCall
        The call.
    """

    def __init__(
        self, *, future: "asyncio.Future[CallResult]", call: UpstreamCall
    ) -> None:
        self.future = future
        self.call = call
        self.sent_at = future.get_loop().time()

    def fail(self) -> None:
        """End the call without knowing whether it ran."""
        if not self.future.done():
            self.future.set_result(
                CallRefusal(
                    outcome=Outcome.UNKNOWN, reason=RefusalReason.LOST, is_offered=True
                )
            )


class PeerPool:
    """Hold the links to all peers.

    Parameters
    ----------
    port : int
        Port on which every sidecar takes streams.
    codec : MessageSchemas
        Codec of the streams.
    guard : CrashGuard
        Learns of requests that crash upstreams.
    on_feed_request : callable
        Called with the address of a peer that asks for a listing.
    log : EventLog
        Receiver of events.
    """

    def __init__(
        self,
        *,
        port: int,
        codec: MessageSchemas,
        guard: CrashGuard,
        on_feed_request: Callable[[str], None],
        log: EventLog,
    ) -> None:
        self.guard = guard
        self.on_feed_request = on_feed_request
        self.port = port
        self.codec = codec
        self.log = log
        self.links: dict[str, PeerLink] = {}

    async def call(self, address: str, call: UpstreamCall) -> CallResult:
        """Send a call to the sidecar at an address and wait for its result."""
        return await self.find_link(address).call(call)

    def send(self, address: str, message: object) -> None:
        """Send a message to the sidecar at an address, if it can be reached."""
        self.broadcast((address,), message)

    def broadcast(self, addresses: Iterable[str], message: object) -> None:
        """Send a message to the sidecars that can be reached."""
        encoded = self.codec.encode(message)
        for address in addresses:
            self.find_link(address).write(encoded)

    def find_link(self, address: str) -> PeerLink:
        """Return the link to an address."""
        link = self.links.get(address)
        if link is None:
            link = PeerLink(address=address, pool=self)
            self.links[address] = link
        return link

    def retain(self, addresses: frozenset[str]) -> None:
        """Close the links to hosts that are gone and on which nothing waits."""
        for address in self.links.keys() - addresses:
            link = self.links[address]
            if not any(link.streams.values()):
                link.close()
                del self.links[address]

    def close(self) -> None:
        """Close all links."""
        for link in self.links.values():
            link.close()


def make_request(call_id: int, call: UpstreamCall, now: float) -> PeerRequest:
    """Return the message that carries a call."""
    return PeerRequest(
        call_id=call_id,
        upstream_id=call.upstream_id,
        route=call.route,
        is_idempotent=call.is_idempotent,
        priority=call.priority,
        can_wait=call.can_wait,
        due_ms=int((call.due_at - now) * 1000),
        remaining_ms=int((call.deadline - now) * 1000),
        method=call.method,
        target=call.target,
        request_id=call.request_id,
        head=call.head,
        body=call.body,
    )


def read_result(message: PeerAnswer | PeerRefusal) -> CallResult:
    """Return the result that a message carries."""
    if isinstance(message, PeerAnswer):
        return UpstreamAnswer(
            answer=Response(
                status=message.status, head=message.head, body=message.body
            ),
            run_time_s=message.run_time_us / 1e6,
            load=message.load,
        )
    return CallRefusal(
        outcome=message.outcome,
        reason=message.reason,
        is_offered=message.is_offered,
        load=message.load,
    )
