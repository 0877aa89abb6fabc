"""Execution of requests at the local upstream."""

from itertools import count

from expression import Error, Result

from foxtailway.common.clock import Clock
from foxtailway.model.host import Host
from foxtailway.proxy.channel_pool import ChannelPool
from foxtailway.proxy.limiter import ConcurrencyLimiter
from foxtailway.proxy.message import CallRequest, CallResponse
from foxtailway.proxy.observer import CallObserver
from foxtailway.proxy.routing_state import RoutingState
from foxtailway.proxy.upstream import CancelToken, UpstreamClient
from foxtailway.routing.admission import PendingCall
from foxtailway.routing.deadline import PauseDetector, compute_deadline
from foxtailway.routing.home import HomeGuard, HomeVerdict
from foxtailway.routing.ledger import RequestLedger, digest_request_key
from foxtailway.routing.outcome import Outcome, Refusal, RefusalReason
from foxtailway.routing.quarantine import CrashContainment
from foxtailway.settings.model import NodeSettings

__all__ = ["RequestRunner"]

# Bound of the memory that the keys of requests take.
MAX_LEDGER_ENTRIES = 200_000

# One loss of the local upstream quarantines a request at this node; other hosts
# may still run the request until as many are lost as the cluster allows.
N_LOSSES_TO_QUARANTINE = 1


class RequestRunner:
    """Decide whether a request may run at the local upstream, and run it.

    All requests to the upstream are sent here, so that the runner knows
    whether a request ran.

    Parameters
    ----------
    settings : NodeSettings
        Settings of this node.
    clock : Clock
        Source of time.
    state : RoutingState
        Snapshot in force and the decisions that depend on it.
    limiter : ConcurrencyLimiter
        Slots of the upstream.
    client : UpstreamClient
        Client of the upstream.
    pool : ChannelPool
        Call streams to the previous homes of keys.
    pause_detector : PauseDetector
        Measures how long a request may have waited while the process paused.
    observer : CallObserver
        Receiver of results.
    """

    def __init__(
        self,
        *,
        settings: NodeSettings,
        clock: Clock,
        state: RoutingState,
        limiter: ConcurrencyLimiter,
        client: UpstreamClient,
        pool: ChannelPool,
        pause_detector: PauseDetector,
        observer: CallObserver,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.state = state
        self.limiter = limiter
        self.client = client
        self.pool = pool
        self.pause_detector = pause_detector
        self.observer = observer
        self.call_ids = count(1)
        host_id = settings.host.host_id
        self.ledger = RequestLedger(host_id=host_id, max_entries=MAX_LEDGER_ENTRIES)
        self.home_guard = HomeGuard(host_id=host_id, started_at=clock.now())
        self.containment = CrashContainment(host_id=host_id)

    async def run(
        self, request: CallRequest, *, token: CancelToken
    ) -> Result[CallResponse, Refusal]:
        """Run a request once, or refuse it.

        Parameters
        ----------
        request : CallRequest
            Request for the local upstream.
        token : CancelToken
            Cancelled when the caller no longer waits.

        Returns
        -------
        Result
            The complete response or a refusal.
        """
        started_at = self.clock.now()
        deadline = compute_deadline(
            remaining_s=request.remaining_s
            - self.pause_detector.discount_s(started_at),
            now=started_at,
        )
        result = await self.run_if_allowed(request, deadline, token)
        self.observer.request_served(result, latency_s=self.clock.now() - started_at)
        return result

    async def run_if_allowed(
        self, request: CallRequest, deadline: float, token: CancelToken
    ) -> Result[CallResponse, Refusal]:
        """Run a request, or refuse it if it may not run at this host."""
        reason = self.find_refusal_reason(request, deadline)
        if reason is not None:
            return self.refuse(reason)
        quarantined = self.containment.check_quarantine(
            request.fingerprint, self.clock.now()
        )
        if quarantined is not None:
            return Error(quarantined)
        if request.is_idempotent:
            return await self.run_in_slot(request, deadline, token)
        return await self.run_at_most_once(request, deadline, token)

    async def run_at_most_once(
        self, request: CallRequest, deadline: float, token: CancelToken
    ) -> Result[CallResponse, Refusal]:
        """Run a request if none with its key ran before; record the outcome."""
        key = digest_request_key(
            cluster_name=request.cluster, value=request.idempotency_key
        )
        decision = self.ledger.begin(key, request.window_s, self.clock.now())
        if decision.refusal is not None:
            return Error(decision.refusal)
        outcome = Outcome.NOT_RUN
        try:
            refusal = await self.check_home(request, key)
            if refusal is not None:
                return Error(refusal)
            outcome = Outcome.UNKNOWN
            result = await self.run_in_slot(request, deadline, token)
            outcome = Outcome.RAN if result.is_ok() else result.error.outcome
            return result
        finally:
            self.ledger.finish(key, outcome, self.clock.now())

    async def check_home(self, request: CallRequest, key: str) -> Refusal | None:
        """Return the refusal if this host may not run a caller's key, or None."""
        if request.is_key_generated:
            return None
        decision = self.home_guard.decide(key, request.window_s, self.clock.now())
        if decision.verdict is HomeVerdict.RUN:
            return None
        if decision.verdict is HomeVerdict.REFUSE:
            return decision.refusal
        for host in decision.previous_homes:
            if not await self.query_previous_home(host, key, request.window_s):
                return decision.refusal
        return None

    async def query_previous_home(self, host: Host, key: str, window_s: float) -> bool:
        """Return whether a previous home relinquished a key."""
        opened = await self.pool.get_channel(host)
        if opened.is_error():
            return False
        return await opened.ok.query_key(key=key, window_s=window_s)

    def relinquish_key(self, key: str, *, window_s: float) -> bool:
        """Relinquish a key to its new home; False if it may have run here."""
        return self.home_guard.relinquish(self.ledger, key, window_s, self.clock.now())

    def find_refusal_reason(
        self, request: CallRequest, deadline: float
    ) -> RefusalReason | None:
        """Return the reason why a request cannot run at this host, or None."""
        snapshot = self.state.snapshot
        if snapshot is None:
            return RefusalReason.NOT_READY
        if request.cluster != self.settings.upstream.service:
            return RefusalReason.NOT_READY
        if request.cluster not in snapshot.clusters:
            return RefusalReason.NOT_READY
        if request.n_hops > snapshot.listener.max_hops:
            return RefusalReason.HOP_LIMIT
        if deadline <= self.clock.now():
            return RefusalReason.EXPIRED
        return None

    async def run_in_slot(
        self, request: CallRequest, deadline: float, token: CancelToken
    ) -> Result[CallResponse, Refusal]:
        """Wait for a slot of the upstream and run a request in it."""
        call = PendingCall(
            call_id=f"{next(self.call_ids)}",
            caller=request.caller,
            priority=request.priority,
            deadline=deadline,
        )
        admitted = await self.limiter.acquire(call, token)
        if admitted.is_error():
            return Error(admitted.error)
        started_at = self.clock.now()
        is_success = False
        try:
            result = await self.run_admitted(request, deadline, token)
            is_success = result.is_ok()
        finally:
            latency_s = self.clock.now() - started_at
            self.limiter.release(call, latency_s=latency_s, is_success=is_success)
        return result

    async def run_admitted(
        self, request: CallRequest, deadline: float, token: CancelToken
    ) -> Result[CallResponse, Refusal]:
        """Check cancellation and deadline again and call the upstream.

        Both may have changed while the request waited for its slot.
        """
        remaining_s = deadline - self.clock.now()
        if token.is_cancelled:
            return self.refuse(RefusalReason.CANCELLED)
        if remaining_s <= 0:
            return self.refuse(RefusalReason.EXPIRED)
        result = await self.client.run(
            request,
            timeout_s=remaining_s,
            credential=self.state.find_credential(request.cluster),
            token=token,
        )
        self.record_result(request, result)
        return result

    def record_result(
        self, request: CallRequest, result: Result[CallResponse, Refusal]
    ) -> None:
        """Record for crash containment whether the upstream was lost."""
        now = self.clock.now()
        if result.is_ok():
            self.containment.record_success(request.fingerprint, now)
            return
        cluster = self.state.find_cluster(request.cluster)
        if not result.error.is_lost or cluster is None:
            return
        is_quarantined = self.containment.record_loss(
            request.fingerprint,
            self.settings.host.host_id,
            n_crash_hosts=N_LOSSES_TO_QUARANTINE,
            quarantine_s=cluster.quarantine_s,
            now=now,
        )
        if is_quarantined:
            self.observer.request_quarantined(request.route, request.fingerprint)

    def refuse(self, reason: RefusalReason) -> Result[CallResponse, Refusal]:
        """Refuse a request that did not run."""
        return Error(
            Refusal(
                outcome=Outcome.NOT_RUN,
                reason=reason,
                retry_after_s=0.0,
                host_id=self.settings.host.host_id,
            )
        )
