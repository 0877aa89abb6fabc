"""Sending of attempts to upstreams."""

import asyncio
from collections.abc import Callable

from foxtailway.routing.outcome import RefusalReason
from foxtailway.sidecar.call import (
    CallRefusal,
    CallResult,
    UpstreamCall,
    UpstreamResponse,
)
from foxtailway.sidecar.crash_guard import CrashGuard
from foxtailway.sidecar.log import EventLog
from foxtailway.sidecar.peer_pool import PeerPool
from foxtailway.sidecar.refusal_log import RefusalLog
from foxtailway.sidecar.routed_request import RoutedRequest
from foxtailway.sidecar.upstream_runner import UpstreamRunner
from foxtailway.traffic.membership import Membership, Upstream
from foxtailway.traffic.selection import (
    MAX_REFUSALS,
    UpstreamSelector,
    UpstreamView,
)

__all__ = ["AttemptSender"]


class AttemptSender:
    """Choose an upstream, send it an attempt and record the result.

    Parameters
    ----------
    address : str
        IP address of this host.
    membership : Membership
        Known upstreams.
    selector : UpstreamSelector
        Load balancer over the known upstreams.
    peers : PeerPool
        Streams to the sidecars on other hosts.
    runner : UpstreamRunner
        Runs requests for the upstream on this host.
    guard : CrashGuard
        Records that an upstream responded to a request.
    log : EventLog
        Event log.
    """

    def __init__(
        self,
        *,
        address: str,
        membership: Membership,
        selector: UpstreamSelector,
        peers: PeerPool,
        runner: UpstreamRunner,
        guard: CrashGuard,
        log: EventLog,
    ) -> None:
        self.address = address
        self.membership = membership
        self.selector = selector
        self.peers = peers
        self.runner = runner
        self.guard = guard
        self.log = log
        self.refusals = RefusalLog(log=log)
        self.loop = asyncio.get_running_loop()

    def list_candidates(self, routed: RoutedRequest) -> tuple[Upstream, ...]:
        """Return the ready upstreams in the regions that the route allows.

        A zone without a configured region belongs to none of them.
        """
        upstreams = self.membership.list_ready(routed.service)
        allowed_regions = routed.route.allowed_regions
        if not allowed_regions:
            return upstreams
        zone_regions = self.selector.zones.zone_regions
        return tuple(
            upstream
            for upstream in upstreams
            if zone_regions.get(upstream.zone) in allowed_regions
        )

    def find_available_in(self, routed: RoutedRequest) -> float:
        """Return the shortest time until an upstream is reachable and warm, in seconds.

        It is 0 if one is, or if none is known.
        """
        now = self.loop.time()
        views = [
            self.selector.get_view(upstream, now)
            for upstream in self.list_candidates(routed)
        ]
        return min((view.get_available_in(now) for view in views), default=0.0)

    def choose(
        self, routed: RoutedRequest, excluded: frozenset[str]
    ) -> UpstreamView | None:
        """Return the best upstream for the next attempt, or None."""
        now = self.loop.time()
        upstreams = self.list_candidates(routed)
        for upstream in upstreams:
            if upstream.address == self.address:
                self.selector.record_local(upstream, self.runner.report_load(), now)
        return self.selector.choose(
            route=routed.route,
            upstreams=upstreams,
            excluded=excluded,
            due_at=routed.due_at,
            deadline=routed.deadline,
            now=now,
            body_size=len(routed.request.body),
        )

    def choose_free(
        self, routed: RoutedRequest, excluded: frozenset[str]
    ) -> UpstreamView | None:
        """Return the best warm upstream if it has a free slot, or None."""
        now = self.loop.time()
        cold = self.selector.list_cold(self.list_candidates(routed), now)
        view = self.choose(routed, excluded | cold)
        if view is None or not self.selector.has_free_slot(view, now):
            return None
        return view

    async def send(
        self,
        routed: RoutedRequest,
        view: UpstreamView,
        head: bytes,
        *,
        can_wait: bool = True,
        n_refused: int = MAX_REFUSALS,
        held_s: float = 0.0,
        on_silence: Callable[[], None] | None = None,
    ) -> CallResult:
        """Send a request to the sidecar of an upstream and return its result.

        Parameters
        ----------
        routed : RoutedRequest
            Request to send.
        view : UpstreamView
            State of the upstream.
        head : bytes
            Header lines that are sent to the upstream.
        can_wait : bool, default=True
            Whether the request may queue for a slot.
        n_refused : int, default=MAX_REFUSALS
            Upstreams that were chosen for the request before.
        held_s : float, default=0.0
            Time for which they held it before they refused it, in seconds.
        on_silence : callable or None, default=None
            Called, possibly several times, while the sidecar of the upstream has
            sent nothing for a while.
        """
        call = make_call(
            routed,
            view.upstream,
            head,
            can_wait=can_wait and self.can_queue(routed, view, n_refused),
            held_s=held_s,
            on_silence=on_silence,
        )
        started_at = self.loop.time()
        self.selector.record_sent(view)
        try:
            if view.upstream.address == self.address:
                result = await self.runner.run(call)
            else:
                result = await self.peers.call(view.upstream.address, call)
        except asyncio.CancelledError:
            self.record_slow_attempt(routed, view, started_at)
            raise
        finally:
            self.selector.record_finished(view)
        self.record_result(routed, view, result)
        if isinstance(result, CallRefusal):
            self.log_refusal(routed, view, result)
        return result

    def can_queue(
        self, routed: RoutedRequest, view: UpstreamView, n_refused: int
    ) -> bool:
        """Return whether a request may queue for a slot of an upstream.

        Requests queue in another region only when this region has no ready upstream
        of the service that the route allows, and not while another upstream nearby may
        have a free slot.
        """
        upstreams = self.list_candidates(routed)
        return self.selector.can_queue(view, upstreams, n_refused, self.loop.time())

    def record_result(
        self, routed: RoutedRequest, view: UpstreamView, result: CallResult
    ) -> None:
        """Update the statistics of an upstream from a result."""
        now = self.loop.time()
        self.selector.record_report(view, result.load, now)
        if isinstance(result, UpstreamResponse):
            request = routed.request
            self.guard.record_success(request.method, request.target, request.body)
            if not result.response.is_server_error:
                self.selector.record_run(
                    view, routed.route.name, result.run_time_s, now
                )
            else:
                self.selector.record_failure(view, now)
            return
        if result.reason is RefusalReason.REPLACED:
            self.selector.record_replaced(view, now)
        elif result.reason in (
            RefusalReason.NO_ENDPOINT,
            RefusalReason.NOT_READY,
            RefusalReason.DRAINING,
        ):
            self.selector.record_unreachable(view, now)
        elif result.is_offered:
            self.selector.record_failure(view, now)

    def record_slow_attempt(
        self, routed: RoutedRequest, view: UpstreamView, started_at: float
    ) -> None:
        """Record the run time so far of a cancelled attempt that was slow."""
        now = self.loop.time()
        elapsed_s = now - started_at
        if elapsed_s > self.selector.estimate_run_time(view, routed.route.name, now):
            self.selector.record_upstream_run_time(
                view, routed.route.name, elapsed_s, now
            )

    def log_refusal(
        self, routed: RoutedRequest, view: UpstreamView, refusal: CallRefusal
    ) -> None:
        """Log a refusal with the last known load of the upstream."""
        now = self.loop.time()
        load_report = view.report
        self.refusals.write(
            routed.request.request_id,
            view.upstream.upstream_id,
            refusal.reason.value,
            now,
            peer=view.upstream.address,
            zone=view.upstream.zone,
            outcome=refusal.outcome.value,
            is_offered=refusal.is_offered,
            n_busy=None if load_report is None else load_report.n_busy,
            n_slots=None if load_report is None else load_report.n_slots,
            report_age_s=None
            if load_report is None
            else round(now - view.reported_at, 3),
            remaining_s=round(routed.deadline - now, 4),
        )

    def log_failed_request(self, request_id: str) -> None:
        """Write the lines of a request's attempts that were left out so far."""
        self.refusals.write_withheld(request_id, self.loop.time())


def make_call(
    routed: RoutedRequest,
    upstream: Upstream,
    head: bytes,
    *,
    can_wait: bool,
    held_s: float,
    on_silence: Callable[[], None] | None,
) -> UpstreamCall:
    """Return the call that carries a request to an upstream."""
    request = routed.request
    return UpstreamCall(
        upstream_id=upstream.upstream_id,
        route=routed.route.name,
        is_idempotent=routed.route.is_idempotent,
        priority=routed.priority,
        can_wait=can_wait,
        due_at=routed.due_at,
        deadline=routed.deadline,
        method=request.method,
        target=request.target,
        request_id=request.request_id,
        head=head,
        body=request.body,
        on_silence=on_silence,
        is_call=routed.parent is not None,
        held_s=held_s,
        target_s=routed.route.target_latency_s,
    )
