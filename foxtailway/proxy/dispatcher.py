"""Routing of inbound calls to upstreams, with retries."""

import asyncio
from dataclasses import dataclass, replace
from random import Random
from uuid import uuid4

from expression import Error, Ok, Result

from foxtailway.common.clock import Clock
from foxtailway.model.host import Host
from foxtailway.model.snapshot import Route, Snapshot
from foxtailway.proxy.channel import CallTransport
from foxtailway.proxy.channel_pool import ChannelPool
from foxtailway.proxy.ingress import CallHandler, InboundCall
from foxtailway.proxy.message import CallRequest, CallResponse
from foxtailway.proxy.observer import CallObserver
from foxtailway.proxy.routing_state import RoutingState
from foxtailway.routing.balancer import CallObservation, ObservationKind
from foxtailway.routing.deadline import compute_hop_remaining_s
from foxtailway.routing.home import choose_home
from foxtailway.routing.ledger import digest_request_key
from foxtailway.routing.outcome import Outcome, Refusal, RefusalReason
from foxtailway.routing.quarantine import CrashContainment, compute_fingerprint
from foxtailway.settings.model import NodeSettings

__all__ = ["CallDispatcher"]

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})

# Largest length of an idempotency key that a caller sends.
MAX_KEY_CHARACTERS = 200

# Observation of the balancer for each reason of a refused attempt.
OBSERVATION_BY_REASON = {
    RefusalReason.OVERLOADED: ObservationKind.REFUSED_OVERLOAD,
    RefusalReason.DRAINING: ObservationKind.REFUSED_DRAINING,
    RefusalReason.LOST: ObservationKind.LOST,
    RefusalReason.EXPIRED: ObservationKind.TIMED_OUT,
    RefusalReason.NOT_READY: ObservationKind.FAILED,
    RefusalReason.NO_ENDPOINT: ObservationKind.FAILED,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class PlannedCall:
    """Hold the request of a call with the snapshot and route that it uses.

    Parameters
    ----------
    snapshot : Snapshot
        Snapshot in force when the call arrived.
    route : Route
        Route of the call.
    request : CallRequest
        Request to send; the remaining time is set per attempt.
    deadline : float
        Monotonic time of the deadline, in seconds.
    """

    snapshot: Snapshot
    route: Route
    request: CallRequest
    deadline: float


class CallDispatcher(CallHandler):
    """Choose upstreams for inbound calls and retry those that did not run.

    Parameters
    ----------
    settings : NodeSettings
        Settings of this node.
    clock : Clock
        Source of time.
    state : RoutingState
        Snapshot in force and the decisions that depend on it.
    pool : ChannelPool
        Call streams to other hosts.
    local_transport : CallTransport
        Transport to the local upstream.
    observer : CallObserver
        Receiver of results.
    random_source : Random
        Source of jitter.
    """

    def __init__(
        self,
        *,
        settings: NodeSettings,
        clock: Clock,
        state: RoutingState,
        pool: ChannelPool,
        local_transport: CallTransport,
        observer: CallObserver,
        random_source: Random,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.state = state
        self.pool = pool
        self.local_transport = local_transport
        self.observer = observer
        self.random_source = random_source
        self.containment = CrashContainment(host_id=settings.host.host_id)
        self.n_in_flight = 0
        self.idle = asyncio.Event()
        self.idle.set()
        self.is_stopping = False

    async def handle(self, call: InboundCall) -> Result[CallResponse, Refusal]:
        """Return the complete response or a refusal."""
        started_at = self.clock.now()
        self.n_in_flight += 1
        self.idle.clear()
        try:
            planned = self.plan(call, started_at)
            if planned.is_error():
                result = planned
            else:
                result = await self.run_attempts(planned.ok)
        finally:
            self.n_in_flight -= 1
            if not self.n_in_flight:
                self.idle.set()
        result = downgrade_outcome(call, result)
        self.observer.call_finished(result, latency_s=self.clock.now() - started_at)
        return result

    async def drain(self, timeout_s: float) -> None:
        """Wait until no call is in flight, at most `timeout_s` seconds."""
        try:
            async with asyncio.timeout(timeout_s):
                await self.idle.wait()
        except TimeoutError:
            return

    def plan(self, call: InboundCall, now: float) -> Result[PlannedCall, Refusal]:
        """Return the request of a call with its route, or why it is refused."""
        snapshot = self.state.snapshot
        if self.is_stopping and not call.is_local:
            return self.refuse(RefusalReason.DRAINING, retry_after_s=1.0)
        if snapshot is None:
            return self.refuse(RefusalReason.NOT_READY, retry_after_s=1.0)
        if self.n_in_flight > self.settings.calls.max_in_flight:
            return self.refuse(RefusalReason.OVERLOADED, retry_after_s=1.0)
        listener = snapshot.listener
        if call.header_size > listener.max_header_size:
            return self.refuse(RefusalReason.TOO_LARGE)
        if len(call.body) > listener.max_body_size:
            return self.refuse(RefusalReason.TOO_LARGE)
        if len(call.idempotency_key) > MAX_KEY_CHARACTERS:
            return self.refuse(RefusalReason.MALFORMED)
        if call.n_hops >= listener.max_hops:
            return self.refuse(RefusalReason.HOP_LIMIT)
        route = self.state.route_table.find(call.method, call.path)
        if route is None:
            return self.refuse(RefusalReason.NO_ROUTE)
        remaining_s = route.timeout_s
        if call.remaining_s is not None:
            remaining_s = min(remaining_s, call.remaining_s)
        if remaining_s <= 0:
            return self.refuse(RefusalReason.EXPIRED)
        return Ok(
            PlannedCall(
                snapshot=snapshot,
                route=route,
                request=make_request(call, route, remaining_s),
                deadline=now + remaining_s,
            )
        )

    async def run_attempts(self, planned: PlannedCall) -> Result[CallResponse, Refusal]:
        """Return the result of the last attempt of a call.

        An attempt that did not run is retried while the retry policy allows it.
        One that ran or may have run is not retried.
        """
        self.state.record_call(planned.route.cluster, self.clock.now())
        tried_host_ids: frozenset[str] = frozenset()
        n_attempts = 0
        result: Result[CallResponse, Refusal] | None = None
        while True:
            chosen = self.choose_endpoint(planned, tried_host_ids)
            if chosen.is_error():
                return chosen if result is None else result
            n_attempts += 1
            result = await self.attempt(planned, chosen.ok)
            if result.is_ok() or result.error.outcome is not Outcome.NOT_RUN:
                return result
            tried_host_ids = tried_host_ids | {chosen.ok.host_id}
            delay_s = self.state.compute_retry_delay_s(
                route=planned.route,
                refusal=result.error,
                n_attempts=n_attempts,
                deadline=planned.deadline,
                now=self.clock.now(),
            )
            if delay_s is None:
                return result
            self.observer.call_retried(planned.route.cluster)
            await asyncio.sleep(delay_s)

    def choose_endpoint(
        self, planned: PlannedCall, tried_host_ids: frozenset[str]
    ) -> Result[Host, Refusal]:
        """Choose the host for the next attempt.

        A request with a key that its caller sent goes to the home of the key.
        Other requests prefer the region of the node.
        """
        now = self.clock.now()
        request = planned.request
        endpoints = planned.snapshot.endpoints[request.cluster]
        if request.idempotency_key and not request.is_key_generated:
            key = digest_request_key(
                cluster_name=request.cluster, value=request.idempotency_key
            )
            host = choose_home(key, endpoints)
            return self.refuse_no_endpoint() if host is None else Ok(host)
        quarantined = self.containment.check_quarantine(request.fingerprint, now)
        if quarantined is not None:
            return Error(quarantined)
        region_endpoints = self.state.list_region_endpoints(request.cluster)
        for hosts in (region_endpoints, endpoints):
            host = self.choose_candidate(planned, hosts, tried_host_ids, now)
            if host is not None:
                return Ok(host)
        return self.refuse_no_endpoint()

    def choose_candidate(
        self,
        planned: PlannedCall,
        endpoints: tuple[Host, ...],
        tried_host_ids: frozenset[str],
        now: float,
    ) -> Host | None:
        """Choose among the endpoints to which crash containment confines a request."""
        request = planned.request
        candidates = self.containment.list_candidates(
            request.fingerprint,
            endpoints,
            planned.snapshot.clusters[request.cluster].n_crash_hosts,
            now,
        )
        return self.state.balancer.choose(
            request.cluster, tried_host_ids, candidates, now
        )

    async def attempt(
        self, planned: PlannedCall, host: Host
    ) -> Result[CallResponse, Refusal]:
        """Send a request to one host and record the result."""
        cluster = planned.route.cluster
        started_at = self.clock.now()
        self.state.balancer.begin(cluster, host.host_id, started_at)
        kind = ObservationKind.CANCELLED
        try:
            result = await self.send_request(planned, host)
            kind = classify_result(result)
        finally:
            finished_at = self.clock.now()
            observation = CallObservation(kind=kind, latency_s=finished_at - started_at)
            self.state.balancer.finish(cluster, host.host_id, finished_at, observation)
        self.record_result(planned, host, result, finished_at)
        return result

    def record_result(
        self,
        planned: PlannedCall,
        host: Host,
        result: Result[CallResponse, Refusal],
        now: float,
    ) -> None:
        """Record the result for crash containment and the balancer."""
        request = planned.request
        if result.is_ok():
            self.containment.record_success(request.fingerprint, now)
            return
        refusal = result.error
        cluster = planned.snapshot.clusters[request.cluster]
        if refusal.reason is RefusalReason.QUARANTINED:
            self.containment.start_quarantine(
                request.fingerprint, quarantine_s=refusal.retry_after_s, now=now
            )
        if refusal.reason is RefusalReason.DRAINING:
            self.state.balancer.mark_draining(host.host_id, now)
        if refusal.is_lost:
            self.containment.record_loss(
                request.fingerprint,
                host.host_id,
                n_crash_hosts=cluster.n_crash_hosts,
                quarantine_s=cluster.quarantine_s,
                now=now,
            )

    async def send_request(
        self, planned: PlannedCall, host: Host
    ) -> Result[CallResponse, Refusal]:
        """Send a request with the remaining time until its deadline."""
        transport: CallTransport
        if host.host_id == self.settings.host.host_id:
            transport = self.local_transport
        else:
            channel = await self.connect(planned, host)
            if channel is None:
                return self.refuse_unreachable(planned.request, host)
            transport = channel
        remaining_s = compute_hop_remaining_s(
            deadline=planned.deadline, now=self.clock.now()
        )
        if remaining_s is None:
            return self.refuse(RefusalReason.EXPIRED)
        return await transport.call(replace(planned.request, remaining_s=remaining_s))

    async def connect(self, planned: PlannedCall, host: Host) -> CallTransport | None:
        """Return a channel to a host; None on failure or after the deadline."""
        try:
            async with asyncio.timeout(planned.deadline - self.clock.now()):
                opened = await self.pool.get_channel(host)
        except TimeoutError:
            return None
        return None if opened.is_error() else opened.ok

    def refuse_unreachable(
        self, request: CallRequest, host: Host
    ) -> Result[CallResponse, Refusal]:
        """Refuse a call whose host cannot be reached.

        For a key that the caller sent, the outcome is unknown, since the home
        of the key may have run an earlier request with the same key.
        """
        is_home = bool(request.idempotency_key) and not request.is_key_generated
        return Error(
            Refusal(
                outcome=Outcome.UNKNOWN if is_home else Outcome.NOT_RUN,
                reason=RefusalReason.LOST,
                retry_after_s=1.0,
                host_id=host.host_id,
            )
        )

    def refuse_no_endpoint(self) -> Result[Host, Refusal]:
        """Refuse a call for which no endpoint can be chosen."""
        return self.refuse(RefusalReason.NO_ENDPOINT, retry_after_s=1.0)

    def refuse(
        self, reason: RefusalReason, *, retry_after_s: float = 0.0
    ) -> Result[PlannedCall, Refusal]:
        """Refuse a call that did not run."""
        return Error(
            Refusal(
                outcome=Outcome.NOT_RUN,
                reason=reason,
                retry_after_s=retry_after_s,
                host_id=self.settings.host.host_id,
            )
        )


def downgrade_outcome(
    call: InboundCall, result: Result[CallResponse, Refusal]
) -> Result[CallResponse, Refusal]:
    """Return the result with an outcome that holds for all calls with the key.

    A refusal with the outcome not run applies to one call. For a key that the
    caller sent, an earlier call may have run, possibly at a home that is lost
    now, so that the outcome becomes unknown. Only a malformed call is refused
    by every node, so that its outcome stays.
    """
    if result.is_ok() or result.error.reason is RefusalReason.MALFORMED:
        return result
    if not call.idempotency_key or call.method in SAFE_METHODS:
        return result
    return Error(replace(result.error, outcome=Outcome.UNKNOWN))


def make_request(call: InboundCall, route: Route, remaining_s: float) -> CallRequest:
    """Return the request for a call on a route."""
    key = ""
    if not route.is_idempotent:
        key = call.idempotency_key or uuid4().hex
    return CallRequest(
        call_id=0,
        route=route.name,
        cluster=route.cluster,
        method=call.method,
        target=call.target,
        headers=call.headers,
        body=call.body,
        remaining_s=remaining_s,
        n_hops=call.n_hops + 1,
        caller=call.caller,
        priority=route.priority,
        is_idempotent=route.is_idempotent,
        idempotency_key=key,
        is_key_generated=not call.idempotency_key,
        window_s=route.idempotency_window_s,
        fingerprint=compute_fingerprint(
            method=call.method, path=call.target, body=call.body
        ),
    )


def classify_result(result: Result[CallResponse, Refusal]) -> ObservationKind:
    """Return the observation that the balancer records for a result."""
    if result.is_ok():
        return ObservationKind.SUCCESS
    refusal = result.error
    if refusal.reason is RefusalReason.EXPIRED and refusal.outcome is Outcome.NOT_RUN:
        return ObservationKind.CANCELLED
    return OBSERVATION_BY_REASON.get(refusal.reason, ObservationKind.CANCELLED)
