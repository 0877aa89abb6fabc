"""Client side of the streams to other sidecars."""

import asyncio
from collections.abc import Callable, Iterable
from itertools import count
from typing import Any

from foxtailway.routing.deadline import PauseDetector
from foxtailway.routing.outcome import Outcome, RefusalReason
from foxtailway.sidecar.body_sender import MAX_INLINE_BODY_SIZE, BodySender
from foxtailway.sidecar.call import (
    CallRefusal,
    CallResult,
    UpstreamCall,
    UpstreamResponse,
)
from foxtailway.sidecar.http_exchange import ExchangeError
from foxtailway.sidecar.http_message import Response
from foxtailway.sidecar.log import EventLog
from foxtailway.sidecar.memory_account import MemoryAccount
from foxtailway.sidecar.peer_message import (
    PeerBodyGrant,
    PeerCancel,
    PeerCrash,
    PeerGoAway,
    PeerListingRequest,
    PeerPing,
    PeerPong,
    PeerRefusal,
    PeerRequest,
    PeerResponse,
)
from foxtailway.sidecar.peer_stream import PeerStream, PeerStreamHandler
from foxtailway.transport.http_status import is_final_status
from foxtailway.transport.message_schema import MessageSchemas

__all__ = ["PeerPool"]

# Time within which a stream has to be established.
CONNECT_TIMEOUT_S = 0.3
# Delay before the second attempt to connect to an unreachable peer; it doubles with
# each failure.
INITIAL_BACKOFF_S = 0.25
# Upper bound of that delay.
MAX_BACKOFF_S = 1.0
# Number of calls in flight on every stream at which another stream is opened.
MIN_CALLS_OF_BUSY_STREAM = 12
# Maximum number of streams to one peer.
MAX_STREAMS_PER_PEER = 3
# Interval at which streams with calls in flight are checked.
PROBE_INTERVAL_S = 0.1
# Time without received data after which a ping is sent.
PING_AFTER_SILENCE_S = 0.1
# Time without received data after which callers may make a hedged attempt.
HEDGE_AFTER_SILENCE_S = 0.4
# Time without received data after which the stream is closed.
STREAM_TIMEOUT_S = 1.5
# Time for which a peer gets no calls after a stream timeout.
PEER_AVOIDANCE_S = 0.5
# Time added to the deadline for the transfer of the response.
RESPONSE_TRANSIT_SLACK_S = 0.2
# Bound of the messages that wait for the first stream to one peer, in bytes. It holds
# a listing of several thousand routes.
MAX_WAITING_BYTES = 1_000_000


class PeerLink(PeerStreamHandler):
    """Streams to one peer and the calls in flight on them.

    Parameters
    ----------
    address : str
        IP address of the peer.
    pool : PeerPool
        Pool that the link belongs to.

    Attributes
    ----------
    unavailable_until : float
        Monotonic time in seconds until which the peer gets no calls.
    waiting : list of bytes
        Encoded messages that are sent when a stream is open.
    leaving : set of PeerStream
        Streams on which the peer sent a go-away. They carry no new calls, and no
        stream is opened before the process of the peer has ended.
    """

    def __init__(self, *, address: str, pool: "PeerPool") -> None:
        self.address = address
        self.pool = pool
        self.log = pool.log
        self.loop = asyncio.get_running_loop()
        self.call_ids = count(1)
        self.streams: dict[PeerStream, dict[int, PendingCall]] = {}
        self.connect_task: asyncio.Task | None = None
        self.unavailable_until = float("-inf")
        self.waiting: list[bytes] = []
        self.leaving: set[PeerStream] = set()
        self.n_connect_failures = 0
        self.probe_timer: asyncio.TimerHandle | None = None
        self.pause_detector = PauseDetector(
            interval_s=PROBE_INTERVAL_S,
            tolerance_s=PROBE_INTERVAL_S,
            settle_s=0.0,
            now=self.loop.time(),
        )

    async def call(self, call: UpstreamCall) -> CallResult:
        """Send a call and return its result; a cancellation is sent to the peer."""
        stream = await self.acquire_stream()
        if stream is None:
            return CallRefusal(
                outcome=Outcome.NOT_RUN, reason=RefusalReason.NO_ENDPOINT
            )
        now = self.loop.time()
        if call.deadline <= now:
            return CallRefusal(outcome=Outcome.NOT_RUN, reason=RefusalReason.EXPIRED)
        call_id = next(self.call_ids)
        body = BodySender(call_id=call_id, content=call.body, send=stream.send)
        pending = PendingCall(future=self.loop.create_future(), call=call, body=body)
        calls = self.streams[stream]
        calls[call_id] = pending
        stream.send(make_request(call_id, call, now))
        self.schedule_probe()
        try:
            async with asyncio.timeout_at(call.deadline + RESPONSE_TRANSIT_SLACK_S):
                return await pending.future
        except TimeoutError:
            stream.send(PeerCancel(call_id=call_id))
            return pending.make_refusal(RefusalReason.EXPIRED)
        except asyncio.CancelledError:
            stream.send(PeerCancel(call_id=call_id))
            raise
        finally:
            calls.pop(call_id, None)

    def write(self, encoded: bytes) -> None:
        """Send an encoded message, if necessary after a stream was opened.

        The message is dropped while the peer is unavailable.
        """
        stream = next(iter(self.streams), None)
        if stream is not None:
            stream.write(encoded)
        elif self.unavailable_until <= self.loop.time():
            n_waiting_bytes = sum(map(len, self.waiting))
            if n_waiting_bytes + len(encoded) <= MAX_WAITING_BYTES:
                self.waiting.append(encoded)
            self.start_connecting()

    async def acquire_stream(self) -> PeerStream | None:
        """Return an open stream, or None when the peer is unavailable.

        After a failure to connect, the next attempt runs in the background, so
        that no further call waits for an unreachable peer.
        """
        now = self.loop.time()
        if self.unavailable_until > now or self.leaving:
            return None
        stream = min(
            self.streams, key=lambda item: len(self.streams[item]), default=None
        )
        if stream is not None:
            is_busy = len(self.streams[stream]) >= MIN_CALLS_OF_BUSY_STREAM
            if is_busy and len(self.streams) < MAX_STREAMS_PER_PEER:
                self.start_connecting()
            return stream
        self.start_connecting()
        if self.n_connect_failures:
            return None
        await asyncio.wait((self.connect_task,), timeout=CONNECT_TIMEOUT_S)
        return next(iter(self.streams), None)

    def start_connecting(self) -> None:
        """Start to open one more stream, unless one is being opened."""
        if self.connect_task is None or self.connect_task.done():
            self.connect_task = self.loop.create_task(self.connect())

    async def connect(self) -> None:
        """Open a stream; after a failure, back off if no other one is open."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self.loop.create_connection(
                    lambda: PeerStream(
                        handler=self,
                        codec=self.pool.codec,
                        log=self.log,
                        account=self.pool.account,
                    ),
                    self.address,
                    self.pool.port,
                )
        except (OSError, ValueError) as error:
            # An entry of the registry may hold an address that can't be resolved.
            if not self.streams:
                self.waiting.clear()
                self.unavailable_until = self.loop.time() + self.compute_backoff()
                self.n_connect_failures += 1
                self.log.write(
                    "peer_unreachable",
                    peer=self.address,
                    error=str(error) or "timeout",
                )

    def compute_backoff(self) -> float:
        """Return the delay before the next attempt to connect, in seconds."""
        return min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**self.n_connect_failures)

    def stream_opened(self, stream: PeerStream) -> None:
        """Register the stream, reset the backoff and send the waiting messages.

        On the first stream to a peer, the recent crash notices go before them.
        """
        self.streams[stream] = {}
        self.n_connect_failures = 0
        if len(self.streams) == 1:
            for notice in self.pool.list_crashes():
                stream.send(notice)
        for encoded in self.waiting:
            stream.write(encoded)
        self.waiting.clear()

    def message_received(self, stream: PeerStream, message: Any) -> None:
        """Handle one message; an unexpected type closes the stream."""
        match message:
            case PeerResponse() | PeerRefusal():
                pending = self.streams.get(stream, {}).pop(message.call_id, None)
                if pending is None or pending.future.done():
                    return
                if isinstance(message, PeerResponse) and not is_final_status(
                    message.status
                ):
                    error = ExchangeError(
                        step="decode",
                        peer=self.address,
                        detail=f"status {message.status} is not that of a response",
                    )
                    self.log.write(
                        "peer_stream_malformed", peer=self.address, error=error
                    )
                    pending.fail()
                else:
                    pending.future.set_result(decode_result(message, self.pool.account))
            case PeerBodyGrant():
                pending = self.streams.get(stream, {}).get(message.call_id)
                if pending is not None:
                    pending.body.send_part(message.n_bytes)
            case PeerGoAway():
                self.leaving.add(stream)
            case PeerCrash():
                self.pool.on_crash(message)
            case PeerListingRequest():
                self.pool.on_listing_request(message)
            case PeerPong():
                return
            case _:
                stream.close()

    def stream_lost(self, stream: PeerStream) -> None:
        """Fail the calls of a stream; those whose body was sent may have run."""
        calls = self.streams.pop(stream, {})
        self.leaving.discard(stream)
        if calls:
            self.log.write("peer_stream_lost", peer=self.address, n_calls=len(calls))
        for pending in calls.values():
            pending.fail()

    def schedule_probe(self) -> None:
        """Schedule the next probe unless one is scheduled."""
        if self.probe_timer is None:
            self.pause_detector.observed_at = self.loop.time()
            self.probe_timer = self.loop.call_later(PROBE_INTERVAL_S, self.probe)

    def probe(self) -> None:
        """Check the streams with calls in flight for received data.

        Depending on the time without received data, the peer is pinged, hedged
        attempts are requested or the stream is closed. After a pause of this
        process, responses may be waiting unread, so the time is measured from
        the end of the pause.
        """
        self.probe_timer = None
        now = self.loop.time()
        self.pause_detector.observe(now)
        for stream, calls in list(self.streams.items()):
            if not calls:
                continue
            self.schedule_probe()
            oldest_sent_at = min(pending.sent_at for pending in calls.values())
            if stream.is_waiting_for_room:
                continue
            silence_s = now - max(
                stream.received_at, oldest_sent_at, self.pause_detector.resumed_at
            )
            if silence_s > STREAM_TIMEOUT_S:
                self.unavailable_until = now + PEER_AVOIDANCE_S
                stream.close()
                self.stream_lost(stream)
            elif silence_s > PING_AFTER_SILENCE_S:
                stream.send(PeerPing(sequence=0))
            if silence_s > HEDGE_AFTER_SILENCE_S:
                self.unavailable_until = now + 2 * PROBE_INTERVAL_S
                for pending in calls.values():
                    if pending.call.on_silence is not None:
                        pending.call.on_silence()

    def close(self) -> None:
        """Close all streams after the buffered data was sent."""
        if self.probe_timer is not None:
            self.probe_timer.cancel()
        if self.connect_task is not None:
            self.connect_task.cancel()
        for stream in list(self.streams):
            stream.close_after_flush()


class PendingCall:
    """Call that waits for its result.

    Parameters
    ----------
    future : asyncio.Future
        Future of the result.
    call : UpstreamCall
        Call that was sent.
    body : BodySender
        Sends the body of the call.
    """

    def __init__(
        self,
        *,
        future: "asyncio.Future[CallResult]",
        call: UpstreamCall,
        body: BodySender,
    ) -> None:
        self.future = future
        self.call = call
        self.body = body
        self.sent_at = future.get_loop().time()

    def fail(self) -> None:
        """Set a refusal as the result, unless there is a result."""
        if not self.future.done():
            self.future.set_result(self.make_refusal(RefusalReason.LOST))

    def make_refusal(self, reason: RefusalReason) -> CallRefusal:
        """Return the refusal of a call that got no response.

        Without the whole body, the peer can't have run the request and never will.
        """
        return CallRefusal(
            outcome=Outcome.UNKNOWN if self.body.is_complete else Outcome.NOT_RUN,
            reason=reason,
            is_offered=self.body.is_complete,
        )


class PeerPool:
    """Links to all peers.

    Parameters
    ----------
    port : int
        Port on which every sidecar accepts streams.
    codec : MessageSchemas
        Codec of the messages.
    on_crash : callable
        Called with each crash notice of a peer.
    list_crashes : callable
        Returns the crash notices that a peer gets on its first stream.
    on_listing_request : callable
        Called with the request of a peer for a listing.
    log : EventLog
        Event log.
    account : MemoryAccount or None, default=None
        Account of the memory that is held for others; None for one with default
        limits.
    """

    def __init__(
        self,
        *,
        port: int,
        codec: MessageSchemas,
        on_crash: Callable[[PeerCrash], None],
        list_crashes: Callable[[], Iterable[PeerCrash]],
        on_listing_request: Callable[[PeerListingRequest], None],
        log: EventLog,
        account: MemoryAccount | None = None,
    ) -> None:
        self.account = MemoryAccount() if account is None else account
        self.on_crash = on_crash
        self.list_crashes = list_crashes
        self.on_listing_request = on_listing_request
        self.port = port
        self.codec = codec
        self.log = log
        self.links: dict[str, PeerLink] = {}

    async def call(self, address: str, call: UpstreamCall) -> CallResult:
        """Send a call to the sidecar at an address and return its result."""
        return await self.get_link(address).call(call)

    def send(self, address: str, message: object) -> None:
        """Send a message to a sidecar; it is dropped while the peer is unavailable."""
        self.broadcast((address,), message)

    def broadcast(self, addresses: Iterable[str], message: object) -> None:
        """Send a message to all sidecars of `addresses` that are available."""
        encoded = self.codec.encode(message)
        for address in addresses:
            self.get_link(address).write(encoded)

    def get_link(self, address: str) -> PeerLink:
        """Return the link to an address; create it on first use."""
        link = self.links.get(address)
        if link is None:
            link = PeerLink(address=address, pool=self)
            self.links[address] = link
        return link

    def retain(self, addresses: frozenset[str]) -> None:
        """Close the links to other addresses that have no calls in flight."""
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
    """Return the message for a call; `now` is the monotonic time in seconds."""
    is_inline = len(call.body) <= MAX_INLINE_BODY_SIZE
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
        body=call.body if is_inline else b"",
        body_size=0 if is_inline else len(call.body),
        is_call=call.is_call,
        target_ms=int(call.target_s * 1000),
        held_ms=int(call.held_s * 1000),
    )


def decode_result(
    message: PeerResponse | PeerRefusal, account: MemoryAccount
) -> CallResult:
    """Return the result of a call from a message; the account counts a long body."""
    if isinstance(message, PeerResponse):
        return UpstreamResponse(
            response=Response(
                status=message.status,
                head=message.head,
                body=message.body,
                holding=account.hold_body(len(message.body)),
            ),
            run_time_s=message.run_time_us / 1e6,
            load=message.load,
        )
    return CallRefusal(
        outcome=message.outcome,
        reason=message.reason,
        is_offered=message.is_offered,
        load=message.load,
        retry_after_s=max(0, message.retry_after_ms) / 1000,
    )
