"""Carriage of inbound calls to a chosen upstream."""

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

MAX_KEY_LENGTH = 200
OBSERVATIONS = {
    RefusalReason.OVERLOADED: ObservationKind.REFUSED_OVERLOAD,
    RefusalReason.DRAINING: ObservationKind.REFUSED_DRAINING,
    RefusalReason.LOST: ObservationKind.LOST,
    RefusalReason.EXPIRED: ObservationKind.TIMED_OUT,
    RefusalReason.NOT_READY: ObservationKind.FAILED,
    RefusalReason.NO_ENDPOINT: ObservationKind.FAILED,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class PlannedCall:
    """Hold a call, its route and the request made of it."""

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
        This host's own upstream.
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
        """Return the whole answer or a typed refusal."""
        started = self.clock.now()
        self.n_in_flight += 1
        self.idle.clear()
        try:
            planned = self.plan(call, started)
            if planned.is_error():
                result = planned
            else:
                result = await self.carry(planned.ok)
        finally:
            self.n_in_flight -= 1
            if not self.n_in_flight:
                self.idle.set()
        result = qualify(call, result)
        self.observer.call_finished(result, latency_s=self.clock.now() - started)
        return result

    async def drain(self, timeout_s: float) -> None:
        """Wait until no call is in flight."""
        try:
            async with asyncio.timeout(timeout_s):
                await self.idle.wait()
        except TimeoutError:
            return

    def plan(self, call: InboundCall, now: float) -> Result[PlannedCall, Refusal]:
        """Check a call and turn it into a request."""
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
        if len(call.idempotency_key) > MAX_KEY_LENGTH:
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

    async def carry(self, planned: PlannedCall) -> Result[CallResponse, Refusal]:
        """Attempt a call until it ran, may have run or is given up."""
        self.state.record_call(planned.route.cluster, self.clock.now())
        tried: frozenset[str] = frozenset()
        n_attempts = 0
        result: Result[CallResponse, Refusal] | None = None
        while True:
            host = self.choose(planned, tried)
            if host.is_error():
                return host if result is None else result
            n_attempts += 1
            result = await self.attempt(planned, host.ok)
            if result.is_ok() or result.error.outcome is not Outcome.NOT_RUN:
                return result
            tried = tried | {host.ok.host_id}
            delay_s = self.state.retry_delay(
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

    def choose(
        self, planned: PlannedCall, tried: frozenset[str]
    ) -> Result[Host, Refusal]:
        """Choose the host for the next attempt."""
        now = self.clock.now()
        request = planned.request
        endpoints = planned.snapshot.endpoints[request.cluster]
        if request.idempotency_key and not request.is_key_fresh:
            key = digest_request_key(
                cluster_name=request.cluster, value=request.idempotency_key
            )
            host = choose_home(key, endpoints)
            return self.refuse_no_endpoint() if host is None else Ok(host)
        quarantined = self.containment.check_quarantine(request.fingerprint, now)
        if quarantined is not None:
            return Error(quarantined)
        near = self.state.list_region_endpoints(request.cluster)
        for confined in (near, endpoints):
            host = self.choose_confined(planned, confined, tried, now)
            if host is not None:
                return Ok(host)
        return self.refuse_no_endpoint()

    def choose_confined(
        self,
        planned: PlannedCall,
        endpoints: tuple[Host, ...],
        tried: frozenset[str],
        now: float,
    ) -> Host | None:
        """Choose among the hosts to which the request is confined."""
        request = planned.request
        candidates = self.containment.list_candidates(
            request.fingerprint,
            endpoints,
            planned.snapshot.clusters[request.cluster].n_crash_hosts,
            now,
        )
        return self.state.balancer.choose(request.cluster, tried, candidates, now)

    async def attempt(
        self, planned: PlannedCall, host: Host
    ) -> Result[CallResponse, Refusal]:
        """Send a request to one host and record what it teaches."""
        cluster = planned.route.cluster
        started = self.clock.now()
        self.state.balancer.begin(cluster, host.host_id, started)
        kind = ObservationKind.CANCELLED
        try:
            result = await self.send(planned, host)
            kind = observation_of(result)
        finally:
            finished = self.clock.now()
            observation = CallObservation(kind=kind, latency_s=finished - started)
            self.state.balancer.finish(cluster, host.host_id, finished, observation)
        self.learn(planned, host, result, finished)
        return result

    def learn(
        self,
        planned: PlannedCall,
        host: Host,
        result: Result[CallResponse, Refusal],
        now: float,
    ) -> None:
        """Record lost and draining hosts."""
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

    async def send(
        self, planned: PlannedCall, host: Host
    ) -> Result[CallResponse, Refusal]:
        """Send a request with the time that is left."""
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
        """Return a stream to a host, or None when there is none in time."""
        try:
            async with asyncio.timeout(planned.deadline - self.clock.now()):
                opened = await self.pool.channel(host)
        except TimeoutError:
            return None
        return None if opened.is_error() else opened.ok

    def refuse_unreachable(
        self, request: CallRequest, host: Host
    ) -> Result[CallResponse, Refusal]:
        """Refuse a call whose host cannot be reached.

        The home of a caller's key may have run an earlier request with the
        same key, so that the outcome of the key is unknown.
        """
        is_home = bool(request.idempotency_key) and not request.is_key_fresh
        return Error(
            Refusal(
                outcome=Outcome.UNKNOWN if is_home else Outcome.NOT_RUN,
                reason=RefusalReason.LOST,
                retry_after_s=1.0,
                host_id=host.host_id,
            )
        )

    def refuse_no_endpoint(self) -> Result[Host, Refusal]:
        """Refuse a call for which no host may take work."""
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


def qualify(
    call: InboundCall, result: Result[CallResponse, Refusal]
) -> Result[CallResponse, Refusal]:
    """Return a result that is true of all calls with the caller's key.

    A refusal as not run speaks of one attempt. An earlier call with the same
    key may have run, possibly at a home that is lost by now. Only a malformed
    call is malformed at every node.
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
        is_key_fresh=not call.idempotency_key,
        window_s=route.idempotency_window_s,
        fingerprint=compute_fingerprint(
            method=call.method, path=call.target, body=call.body
        ),
    )


def observation_of(result: Result[CallResponse, Refusal]) -> ObservationKind:
    """Return what a result tells about its host."""
    if result.is_ok():
        return ObservationKind.SUCCESS
    refusal = result.error
    if refusal.reason is RefusalReason.EXPIRED and refusal.outcome is Outcome.NOT_RUN:
        return ObservationKind.CANCELLED
    return OBSERVATIONS.get(refusal.reason, ObservationKind.CANCELLED)
