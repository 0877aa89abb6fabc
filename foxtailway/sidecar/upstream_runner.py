"""Execution of requests at the upstream on the same host."""

import asyncio
from collections.abc import Callable
from contextlib import ExitStack

from foxtailway.routing.outcome import Outcome, RefusalReason
from foxtailway.sidecar.address_owner import AddressOwner
from foxtailway.sidecar.call import (
    CallRefusal,
    CallResult,
    UpstreamCall,
    UpstreamResponse,
)
from foxtailway.sidecar.cold_start_monitor import ColdStartMonitor
from foxtailway.sidecar.crash_detector import CrashDetector, CrashLoad, UpstreamCrash
from foxtailway.sidecar.crash_guard import CrashGuard
from foxtailway.sidecar.http_connection import HttpConnection
from foxtailway.sidecar.http_exchange import (
    ExchangeError,
    ExchangeTimeoutError,
    ReceivedResponse,
    ResponseLimitError,
)
from foxtailway.sidecar.http_message import (
    HeaderNames,
    Response,
    encode_headers,
    encode_request_head,
    select_end_to_end,
)
from foxtailway.sidecar.log import EventLog
from foxtailway.sidecar.running_calls import RunningCalls
from foxtailway.sidecar.slot_waiters import SlotWaiters, make_queued_request
from foxtailway.sidecar.speed_recorder import SpeedRecorder
from foxtailway.sidecar.upstream_pool import UpstreamPool, is_lost_by_peer
from foxtailway.traffic.membership import Membership
from foxtailway.traffic.selection import LoadReport
from foxtailway.traffic.slot_queue import SlotQueue

__all__ = ["UpstreamRunner"]

# Time added to the deadline for the response with which an upstream itself reports
# that the deadline has passed.
RESPONSE_SLACK_S = 0.12
# Remaining time below which a request is refused.
MIN_REMAINING_S = 0.004
# Slots of the upstream until its registry entry is known.
DEFAULT_N_SLOTS = 8
# Status (Misdirected Request) of an upstream that is not the expected one.
STATUS_MISDIRECTED_REQUEST = 421


class ExchangeCancelledError(ExchangeError):
    """Raised when the caller of a request cancels it."""


class UpstreamRunner:
    """Run requests in the slots of the upstream on this host.

    All requests for the upstream pass through this object, whichever node received
    them, so it knows the number of running requests and can refuse further ones.

    Parameters
    ----------
    names : HeaderNames
        Names of the headers that the mesh interprets.
    pool : UpstreamPool
        Connections to the upstream.
    membership : Membership
        Known upstreams.
    guard : CrashGuard
        Tells which requests are quarantined; records those that are answered.
    on_crash : callable
        Called with each crash of the upstream.
    log : EventLog
        Event log.
    zone : str, default=""
        Zone of the upstream on this host.
    cold_starts : ColdStartMonitor or None, default=None
        Limits the requests while the upstream is cold; None for no limit.
    queue_type : type, default=SlotQueue
        Class of the queue for the slots of the upstream.
    find_mean_run_time : callable
        Returns the mean run time of a route at all upstreams in seconds, or None.

    Attributes
    ----------
    n_limit_errors : int
        Responses of the upstream that exceeded a limit.
    n_receiving : int
        Requests whose bodies are being received; they count as load.
    owner : AddressOwner
        Tells which upstreams no longer have the address.
    ends_at : float
        Monotonic time at which the process ends, in seconds. Requests that may run
        longer are refused.
    """

    def __init__(
        self,
        *,
        names: HeaderNames,
        pool: UpstreamPool,
        membership: Membership,
        guard: CrashGuard,
        on_crash: Callable[[UpstreamCrash], None],
        log: EventLog,
        zone: str = "",
        cold_starts: ColdStartMonitor | None = None,
        queue_type: type[SlotQueue] = SlotQueue,
        find_mean_run_time: Callable[[str], float | None] = lambda route: None,
    ) -> None:
        self.speeds = SpeedRecorder(find_mean_run_time=find_mean_run_time, log=log)
        self.zone = zone
        self.guard = guard
        self.crashes = CrashDetector(pool=pool, on_crash=on_crash)
        self.owner = AddressOwner()
        self.names = names
        self.kept_headers = frozenset({names.request_id, names.seal})
        self.pool = pool
        self.membership = membership
        self.log = log
        self.loop = asyncio.get_running_loop()
        self.cold_starts = cold_starts or ColdStartMonitor(
            pool=pool, names=names, membership=membership, log=log
        )
        self.limiter = self.cold_starts.limiter
        self.queue = queue_type(n_slots=DEFAULT_N_SLOTS, limiter=self.limiter)
        self.running = RunningCalls()
        self.slots = SlotWaiters(
            queue=self.queue, limiter=self.limiter, is_closed=self.is_evacuated
        )
        self.is_stopping = False
        self.ends_at = float("inf")
        self.n_limit_errors = 0
        self.n_receiving = 0

    def report_load(self) -> LoadReport:
        """Return the current load of the upstream."""
        now = self.loop.time()
        is_cold = self.limiter.is_cold(now)
        return LoadReport(
            n_busy=self.queue.n_busy + self.n_receiving,
            n_slots=self.queue.n_slots,
            run_time_s=self.queue.run_times.mean_s,
            warm_in_s=self.limiter.get_warm_in(now) if is_cold else 0.0,
            n_cold_permits=self.limiter.count_permits(now) if is_cold else 0,
            speed_ratio=self.speeds.speed.speed_ratio,
            slowdown=self.speeds.speed.slowdown,
            failure_ratio=self.speeds.speed.failure_ratio,
        )

    def measure_load(self) -> CrashLoad:
        """Return the load of the upstream when the first of its connections is lost.

        A connection that was refused just before may belong to the same crash.
        """
        return CrashLoad(
            n_in_flight=self.queue.n_running,
            is_cold=self.limiter.is_starting(self.loop.time()),
            is_overloaded=bool(self.queue.waiting),
        )

    async def run(self, call: UpstreamCall) -> CallResult:
        """Run a request at most once and return its result; waits for a slot."""
        self.cold_starts.update()
        refusal_reason = self.find_refusal_reason(call)
        if refusal_reason is not None:
            return self.make_refusal(refusal_reason)
        if not await self.slots.wait(make_queued_request(call)):
            return self.make_refusal(
                RefusalReason.DRAINING
                if self.is_evacuated()
                else RefusalReason.OVERLOADED
            )
        return await self.run_in_slot(call)

    def find_refusal(self, call: UpstreamCall) -> CallRefusal | None:
        """Return the refusal of a call that would not be run or queued now, or None."""
        reason = self.find_refusal_reason(call)
        if reason is None and not self.queue.can_take(
            make_queued_request(call), self.loop.time()
        ):
            reason = RefusalReason.OVERLOADED
        return None if reason is None else self.make_refusal(reason)

    def find_refusal_reason(self, call: UpstreamCall) -> RefusalReason | None:
        """Return why a request must not be started now, or None if it may.

        Also updates the number of slots from the registry entry of the upstream.
        """
        if self.is_stopping or call.deadline + RESPONSE_SLACK_S > self.ends_at:
            return RefusalReason.DRAINING
        upstream = self.membership.upstreams.get(call.upstream_id)
        if upstream is not None:
            self.queue.n_slots = self.speeds.limit_slots(max(1, upstream.n_slots))
        if self.is_evacuated() or self.membership.is_leaving(call.upstream_id):
            return RefusalReason.DRAINING
        if self.owner.is_replaced(call.upstream_id, self.loop.time()):
            return RefusalReason.REPLACED
        if self.guard.is_quarantined(call.method, call.target, call.body):
            return RefusalReason.QUARANTINED
        if call.deadline - self.loop.time() < MIN_REMAINING_S:
            return RefusalReason.EXPIRED
        return None

    def is_evacuated(self) -> bool:
        """Return whether the upstreams of this zone get no requests."""
        return self.membership.is_evacuated(self.zone)

    async def run_in_slot(self, call: UpstreamCall) -> CallResult:
        """Run a request that holds a slot."""
        is_sent = False
        try:
            refusal_reason = self.find_refusal_reason(call)
            if refusal_reason is not None:
                return self.make_refusal(refusal_reason)
            try:
                connection = await self.pool.acquire(
                    is_idempotent=call.is_idempotent,
                    request_id=call.request_id.encode("latin-1"),
                )
            except ExchangeError as error:
                self.cold_starts.record_unreachable()
                self.log.write("upstream_unreachable", call.request_id, error=error)
                return self.make_refusal(RefusalReason.NOT_READY)
            self.crashes.record_connected(connection)
            self.cold_starts.record_connected()
            refusal_reason = self.find_refusal_reason(call)
            if refusal_reason is None and not self.limiter.can_send(self.loop.time()):
                refusal_reason = RefusalReason.OVERLOADED
            if refusal_reason is not None:
                self.pool.release(connection)
                return self.make_refusal(refusal_reason)
            try:
                exchange = self.send(connection, call)
            except ValueError:
                self.pool.release(connection)
                raise
            is_sent = True
            return await self.wait_for_response(call, connection, exchange)
        finally:
            if not is_sent:
                self.slots.release_unused()

    def send(
        self, connection: HttpConnection, call: UpstreamCall
    ) -> "asyncio.Future[ReceivedResponse]":
        """Send a request; its slot is released when the exchange ends.

        Raises `ValueError` if it cannot be encoded; nothing is sent or counted then.
        The exchange ends at the deadline at the latest, also when nobody waits for it
        any more: its answer may be lost, and its connection silent.
        """
        names = self.names
        started_at = self.loop.time()
        n_running = self.queue.n_running
        remaining_ms = max(1, int((call.deadline - started_at) * 1000))
        head = b"%b%b: %d\r\n%b: %b\r\n" % (
            call.head,
            names.remaining_ms,
            remaining_ms,
            names.expected_upstream,
            call.upstream_id.encode("latin-1"),
        )
        request_head = encode_request_head(
            call.method, call.target, head, len(call.body)
        )
        request_id = call.request_id.encode("latin-1")
        self.limiter.record_sent(started_at)
        exchange = connection.request(
            request_head,
            body=call.body,
            expected_request_id=request_id or None,
            is_head_request=call.method == "HEAD",
        )

        timeout = ExchangeTimeoutError(
            step="receive", peer=connection.peer, detail="no response at the deadline"
        )
        timer = self.loop.call_at(
            call.deadline + RESPONSE_SLACK_S, connection.abort, exchange, timeout
        )

        def end_exchange(done: "asyncio.Future[ReceivedResponse]") -> None:
            with ExitStack() as stack:
                self.running.discard(exchange)
                stack.callback(timer.cancel)
                stack.callback(self.slots.release)
                stack.callback(self.pool.release, connection)
                if done.cancelled():
                    return
                error = done.exception()
                if error is None:
                    run_time_s = self.loop.time() - started_at
                    self.record_exchange(
                        call, connection, done.result(), run_time_s, n_running
                    )
                    if done.result().status == STATUS_MISDIRECTED_REQUEST:
                        self.limiter.record_misdirected(started_at)
                elif isinstance(error, ExchangeError) and not isinstance(
                    error, (ExchangeTimeoutError, ExchangeCancelledError)
                ):
                    self.crashes.start_check(call, self.measure_load())
                    if is_lost_by_peer(error):
                        self.pool.record_loss()

        self.running.add(exchange, call, started_at + remaining_ms / 1000)
        exchange.add_done_callback(end_exchange)
        return exchange

    def record_exchange(
        self,
        call: UpstreamCall,
        connection: HttpConnection,
        received: ReceivedResponse,
        run_time_s: float,
        n_running: int,
    ) -> None:
        """Record the run time, or on its connection that the request was refused."""
        if self.is_refusal(received):
            connection.refused_ids.add(call.request_id.encode("latin-1"))
        else:
            self.queue.run_times.record(call.route, run_time_s)
            self.speeds.record(
                call.route,
                received.status,
                run_time_s,
                n_running=n_running,
                is_cold=self.report_load().warm_in_s > 0.0,
            )

    async def wait_for_response(
        self,
        call: UpstreamCall,
        connection: HttpConnection,
        exchange: "asyncio.Future[ReceivedResponse]",
    ) -> CallResult:
        """Wait for the response, at most `RESPONSE_SLACK_S` beyond the deadline.

        On cancellation, only an idempotent request is aborted; any other one runs
        to its end.
        """
        started_at = self.loop.time()
        try:
            received = await asyncio.shield(exchange)
        except asyncio.CancelledError:
            if call.is_idempotent:
                connection.abort(
                    exchange,
                    ExchangeCancelledError(
                        step="receive",
                        peer=connection.peer,
                        detail="the caller cancelled the request",
                    ),
                )
            raise
        except ExchangeTimeoutError:
            return self.make_refusal(RefusalReason.EXPIRED, is_offered=True)
        except ExchangeError as error:
            if isinstance(error, ResponseLimitError):
                self.n_limit_errors += 1
            self.log.write("upstream_lost", call.request_id, error=error)
            return self.make_refusal(RefusalReason.LOST, is_offered=True)
        return self.interpret_response(call, received, self.loop.time() - started_at)

    def is_refusal(self, received: ReceivedResponse) -> bool:
        """Return whether a response says that its request was not run.

        The connection has made sure that it is the response to this request.
        """
        return (
            received.status == STATUS_MISDIRECTED_REQUEST
            or received.find_header(self.names.not_run) is not None
        )

    def interpret_response(
        self, call: UpstreamCall, received: ReceivedResponse, run_time_s: float
    ) -> CallResult:
        """Return the result of a call from the response of the upstream.

        A success without the upstream's signature is treated as lost, since it may
        not come from the upstream.
        """
        if received.status == STATUS_MISDIRECTED_REQUEST:
            self.record_replacement(call, received)
            return CallRefusal(
                outcome=Outcome.NOT_RUN,
                reason=RefusalReason.REPLACED,
                is_offered=True,
                load=self.report_load(),
            )
        if self.is_refusal(received):
            return CallRefusal(
                outcome=Outcome.NOT_RUN,
                reason=RefusalReason.OVERLOADED,
                is_offered=True,
                load=self.report_load(),
            )
        is_success = 200 <= received.status < 300
        if is_success and received.find_header(self.names.seal) is None:
            self.log.write(
                "answer_without_seal", call.request_id, status=received.status
            )
            return self.make_refusal(RefusalReason.LOST, is_offered=True)
        self.guard.record_success(call.method, call.target, call.body)
        headers = select_end_to_end(received.headers, kept=self.kept_headers)
        head = encode_headers(headers)
        return UpstreamResponse(
            response=Response(
                status=received.status,
                head=head,
                body=received.body,
                holding=received.holding,
            ),
            run_time_s=run_time_s,
            load=self.report_load(),
        )

    def record_replacement(
        self, call: UpstreamCall, received: ReceivedResponse
    ) -> None:
        """Record which upstream has the address, from its refusal of a call."""
        named_id = received.find_header(self.names.upstream_id)
        running_id = None if named_id is None else named_id.decode("latin-1")
        self.cold_starts.record_replaced(self.owner.running_id, running_id)
        self.owner.record_refusal(call.upstream_id, running_id, self.loop.time())
        self.log.write(
            "upstream_replaced",
            call.request_id,
            upstream=call.upstream_id,
            running=running_id,
        )

    def make_refusal(
        self, reason: RefusalReason, *, is_offered: bool = False
    ) -> CallRefusal:
        """Return a refusal; a request that was sent to the upstream may have run."""
        return CallRefusal(
            outcome=Outcome.UNKNOWN if is_offered else Outcome.NOT_RUN,
            reason=reason,
            is_offered=is_offered,
            load=self.report_load(),
            retry_after_s=self.slots.estimate_retry_after()
            if reason is RefusalReason.OVERLOADED
            else 0.0,
        )

    def close(self) -> None:
        """Stop timers and crash checks and close the idle connections."""
        self.slots.close()
        self.crashes.close()
        self.cold_starts.close()
        self.pool.close()
