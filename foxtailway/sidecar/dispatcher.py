"""Carriage of clients' requests to chosen upstreams."""

import asyncio
from dataclasses import dataclass
from random import Random

from foxtailway.routing.outcome import Outcome, RefusalReason
from foxtailway.sidecar.call import (
    CallRefusal,
    CallResult,
    UpstreamAnswer,
    UpstreamCall,
)
from foxtailway.sidecar.crash_guard import CrashGuard
from foxtailway.sidecar.http_listener import RequestHandler
from foxtailway.sidecar.http_message import Answer, ClientRequest, HeaderNames
from foxtailway.sidecar.log import EventLog
from foxtailway.sidecar.metrics import SidecarMetrics
from foxtailway.sidecar.peer_pool import PeerPool
from foxtailway.sidecar.upstream_runner import UpstreamRunner
from foxtailway.traffic.configuration import TrafficConfiguration, TrafficRoute
from foxtailway.traffic.membership import Membership, Upstream
from foxtailway.traffic.retry_budget import RetryBudget
from foxtailway.traffic.route_index import RouteIndex
from foxtailway.traffic.selection import UpstreamSelector, UpstreamView
from foxtailway.traffic.split import SplitChooser

__all__ = ["RequestDispatcher"]

# Hosts that a request may be offered to while none of them ran it.
N_OFFERS = 4
# Time a caller is asked to stay away, in seconds.
RETRY_AFTER_OVERLOADED_S = 0.1
RETRY_AFTER_UNAVAILABLE_S = 0.3
# Statuses of refusals that did not run, beside 503, and of those that may have
# run, beside 502.
NOT_RUN_STATUSES = {
    RefusalReason.NO_ROUTE: 404,
    RefusalReason.MALFORMED: 400,
}
UNKNOWN_STATUSES = {RefusalReason.EXPIRED: 504}
LOWEST_FAILURE_STATUS = 500
# Failures of an upstream that another one may not share; 504 leaves no time.
REPEATABLE_STATUSES = frozenset({500, 502, 503})
ANSWER_BAD_GATEWAY = 502
ANSWER_UNAVAILABLE = 503


@dataclass(frozen=True, slots=True, kw_only=True)
class PlannedRequest:
    """Hold a request, its route and its deadlines.

    Parameters
    ----------
    request : ClientRequest
        Request of the client.
    route : TrafficRoute
        Route that it takes.
    service : str
        Service that runs it.
    due_at, deadline : float
        Loop times at which an answer is late and at which the client or the
        route gives up, in seconds.
    """

    request: ClientRequest
    route: TrafficRoute
    service: str
    due_at: float
    deadline: float


class RequestDispatcher(RequestHandler):
    """Choose upstreams for requests and repeat those that may be repeated.

    Parameters
    ----------
    names : HeaderNames
        Headers that carry meaning for the mesh.
    service : str
        Service on this host, told to the upstreams as the caller.
    address : str
        IP address of this host.
    membership : Membership
        Upstreams that exist.
    selector : UpstreamSelector
        Chooses among them.
    peers : PeerPool
        Streams to other hosts.
    runner : UpstreamRunner
        Runs requests for the upstream on this host.
    guard : CrashGuard
        Knows the requests that crash upstreams.
    retry_ratio, retry_slack, retry_window_s : float
        Retry budget of the fleet for each service.
    metrics : SidecarMetrics
        Counts answers, refusals and repeats.
    log : EventLog
        Receiver of decisions.
    random_source : Random
        Source of jitter.

    Attributes
    ----------
    ends_at : float
        Loop time at which the process ends, in seconds. Requests that may still
        run then are refused.
    """

    def __init__(
        self,
        *,
        names: HeaderNames,
        service: str,
        address: str,
        membership: Membership,
        selector: UpstreamSelector,
        peers: PeerPool,
        runner: UpstreamRunner,
        guard: CrashGuard,
        retry_ratio: float,
        retry_slack: float,
        retry_window_s: float,
        metrics: SidecarMetrics,
        log: EventLog,
        random_source: Random,
    ) -> None:
        self.metrics = metrics
        self.names = names
        self.service = service
        self.address = address
        self.membership = membership
        self.selector = selector
        self.peers = peers
        self.runner = runner
        self.guard = guard
        self.retry_ratio = retry_ratio
        self.retry_slack = retry_slack
        self.retry_window_s = retry_window_s
        self.log = log
        self.random_source = random_source
        self.loop = asyncio.get_running_loop()
        self.configuration: TrafficConfiguration | None = None
        self.index = RouteIndex()
        self.splits = SplitChooser(random_source=random_source)
        self.budgets: dict[str, RetryBudget] = {}
        self.ends_at = float("inf")

    def apply(self, configuration: TrafficConfiguration) -> None:
        """Put a version in force for all requests that come after it."""
        self.configuration = configuration
        self.index = RouteIndex(routes=configuration.routes)
        self.splits.retain(configuration.routes)

    def reconfigure(
        self,
        *,
        service: str,
        retry_ratio: float,
        retry_slack: float,
        retry_window_s: float,
    ) -> None:
        """Take over changed settings; what budgets have counted is kept."""
        self.service = service
        self.retry_ratio = retry_ratio
        self.retry_slack = retry_slack
        self.retry_window_s = retry_window_s
        for budget in self.budgets.values():
            budget.ratio = retry_ratio
            budget.slack = retry_slack
            budget.window_s = retry_window_s

    async def handle(self, request: ClientRequest) -> Answer:
        """Return the final answer to a request."""
        started = self.loop.time()
        planned = self.plan(request)
        if isinstance(planned, CallRefusal):
            return self.conclude(request, "", planned, started)
        result = await self.carry(planned)
        if isinstance(result, CallRefusal):
            return self.conclude(request, planned.service, result, started)
        status = result.answer.status
        self.metrics.count_answer(planned.service, status, self.loop.time() - started)
        if status >= LOWEST_FAILURE_STATUS:
            self.log.write(
                "upstream_failed",
                request.request_id,
                service=planned.service,
                route=planned.route.name,
                status=status,
                run_time_s=round(result.run_time_s, 4),
            )
        return result.answer

    def plan(self, request: ClientRequest) -> PlannedRequest | CallRefusal:
        """Find the route, the service and the deadline of a request."""
        if self.configuration is None:
            return refuse(RefusalReason.NOT_READY)
        if not request.target.startswith("/"):
            return refuse(RefusalReason.MALFORMED)
        route = self.index.find(request.host, request.target)
        if route is None:
            return refuse(RefusalReason.NO_ROUTE)
        if self.guard.is_quarantined(request.method, request.target, request.body):
            return refuse(RefusalReason.QUARANTINED)
        now = self.loop.time()
        remaining_s = route.timeout_s
        if request.remaining_ms is not None:
            remaining_s = min(remaining_s, request.remaining_ms / 1000)
        deadline = now + remaining_s
        if deadline > self.ends_at:
            return refuse(RefusalReason.DRAINING)
        return PlannedRequest(
            request=request,
            route=route,
            service=self.splits.choose(route),
            due_at=now + route.target_latency_s,
            deadline=deadline,
        )

    async def carry(self, planned: PlannedRequest) -> CallResult:
        """Offer a request until it ran, may have run or is given up.

        Once an attempt may have run, no later refusal makes the whole not run.
        """
        budget = self.find_budget(planned.service)
        budget.record_request(self.loop.time())
        head = b"%b%b: %b\r\n" % (
            planned.request.head,
            self.names.caller,
            self.service.encode("latin-1"),
        )
        refused: set[str] = set()
        n_runs = 0
        result: CallResult = refuse(RefusalReason.NO_ENDPOINT)
        maybe_run: CallResult | None = None
        for _ in range(N_OFFERS):
            view = self.choose(planned, frozenset(refused))
            if view is None:
                break
            result = await self.offer(planned, view, head)
            if may_have_run(result):
                maybe_run = result
            if isinstance(result, UpstreamAnswer):
                if not self.is_worth_repeating(planned, result):
                    return result
            elif result.outcome is Outcome.UNKNOWN and not planned.route.is_idempotent:
                return result
            refused.add(view.upstream.upstream_id)
            if isinstance(result, UpstreamAnswer) or result.is_offered:
                n_runs += 1
                if not self.may_repeat(planned, n_runs, budget):
                    break
            if self.loop.time() >= planned.deadline:
                break
        return result if maybe_run is None else maybe_run

    def choose(
        self, planned: PlannedRequest, refused: frozenset[str]
    ) -> UpstreamView | None:
        """Return the upstream for the next offer."""
        return self.selector.choose(
            route=planned.route,
            upstreams=self.membership.list_ready(planned.service),
            excluded=refused,
            due_at=planned.due_at,
            deadline=planned.deadline,
            now=self.loop.time(),
        )

    async def offer(
        self, planned: PlannedRequest, view: UpstreamView, head: bytes
    ) -> CallResult:
        """Send a request to the node beside an upstream."""
        call = make_call(
            planned,
            view.upstream,
            head,
            can_wait=self.selector.is_in_region(view.upstream.zone),
        )
        self.selector.sent(view)
        try:
            if view.upstream.address == self.address:
                result = await self.runner.run(call)
            else:
                result = await self.peers.call(view.upstream.address, call)
        finally:
            self.selector.finished(view)
        self.learn(planned, view, result)
        if isinstance(result, CallRefusal):
            self.log_offer(planned, view, result)
        return result

    def log_offer(
        self, planned: PlannedRequest, view: UpstreamView, refusal: CallRefusal
    ) -> None:
        """Log why an upstream brought no answer, and what was known of it."""
        now = self.loop.time()
        load = view.report
        self.log.write(
            "not_answered",
            planned.request.request_id or "-",
            upstream=view.upstream.upstream_id,
            peer=view.upstream.address,
            zone=view.upstream.zone,
            outcome=refusal.outcome.value,
            reason=refusal.reason.value,
            is_offered=refusal.is_offered,
            n_busy=None if load is None else load.n_busy,
            n_slots=None if load is None else load.n_slots,
            report_age_s=None if load is None else round(now - view.reported_at, 3),
            remaining_s=round(planned.deadline - now, 4),
        )

    def learn(
        self, planned: PlannedRequest, view: UpstreamView, result: CallResult
    ) -> None:
        """Record what a result tells of the upstream."""
        now = self.loop.time()
        self.selector.record_report(view, result.load, now)
        if isinstance(result, UpstreamAnswer):
            request = planned.request
            self.guard.record_success(request.method, request.target, request.body)
            if result.answer.status < LOWEST_FAILURE_STATUS:
                self.selector.record_run(
                    view, planned.route.name, result.run_time_s, now
                )
            else:
                self.selector.record_failure(view, now)
            return
        if result.reason in (
            RefusalReason.NO_ENDPOINT,
            RefusalReason.NOT_READY,
            RefusalReason.DRAINING,
        ):
            self.selector.record_unreachable(view, now)
        elif result.is_offered:
            self.selector.record_failure(view, now)

    def is_worth_repeating(
        self, planned: PlannedRequest, result: UpstreamAnswer
    ) -> bool:
        """Whether an upstream's own failure may be answered by another one."""
        return (
            planned.route.is_idempotent and result.answer.status in REPEATABLE_STATUSES
        )

    def may_repeat(
        self, planned: PlannedRequest, n_runs: int, budget: RetryBudget
    ) -> bool:
        """Whether a request may reach one more upstream."""
        if n_runs >= planned.route.max_attempts:
            return False
        now = self.loop.time()
        if now >= planned.deadline:
            return False
        if not budget.try_repeat(max(1, len(self.membership.upstreams)), now):
            return False
        self.metrics.count_repeat(planned.service)
        return True

    def find_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                ratio=self.retry_ratio,
                slack=self.retry_slack,
                window_s=self.retry_window_s,
            )
            self.budgets[service] = budget
        return budget

    def conclude(
        self,
        request: ClientRequest,
        service: str,
        refusal: CallRefusal,
        started: float,
    ) -> Answer:
        """Return the answer that tells a client of a refusal."""
        status = choose_status(refusal)
        latency_s = self.loop.time() - started
        self.metrics.count_answer(service, status, latency_s)
        self.metrics.count_refusal(service, refusal.reason.value)
        self.log.write(
            "refused",
            request.request_id or "-",
            service=service,
            host_header=request.host,
            target=request.target,
            status=status,
            outcome=refusal.outcome.value,
            reason=refusal.reason.value,
            is_offered=refusal.is_offered,
            remaining_ms=request.remaining_ms,
            latency_s=round(latency_s, 4),
            n_ready=len(self.membership.list_ready(service)),
            version=self.configuration.version if self.configuration else None,
        )
        if status != ANSWER_UNAVAILABLE:
            return Answer(status=status)
        delay_s = RETRY_AFTER_UNAVAILABLE_S
        if refusal.reason is RefusalReason.OVERLOADED:
            delay_s = RETRY_AFTER_OVERLOADED_S
        delay_s *= 0.5 + self.random_source.random()
        return Answer(status=status, head=b"Retry-After: %.3f\r\n" % delay_s)


def refuse(reason: RefusalReason) -> CallRefusal:
    """Return the refusal of a request that was not offered to any upstream."""
    return CallRefusal(outcome=Outcome.NOT_RUN, reason=reason)


def may_have_run(result: CallResult) -> bool:
    """Whether an upstream ran the request of a result, or may have."""
    return isinstance(result, UpstreamAnswer) or result.outcome is Outcome.UNKNOWN


def choose_status(refusal: CallRefusal) -> int:
    """Return the HTTP status of a refusal.

    Only 503 promises that the request did not run.
    """
    if refusal.outcome is Outcome.NOT_RUN:
        return NOT_RUN_STATUSES.get(refusal.reason, ANSWER_UNAVAILABLE)
    return UNKNOWN_STATUSES.get(refusal.reason, ANSWER_BAD_GATEWAY)


def make_call(
    planned: PlannedRequest, upstream: Upstream, head: bytes, *, can_wait: bool
) -> UpstreamCall:
    """Return the call that offers a request to an upstream."""
    request = planned.request
    return UpstreamCall(
        upstream_id=upstream.upstream_id,
        route=planned.route.name,
        is_idempotent=planned.route.is_idempotent,
        priority=planned.route.priority,
        can_wait=can_wait,
        due_at=planned.due_at,
        deadline=planned.deadline,
        method=request.method,
        target=request.target,
        request_id=request.request_id,
        head=head,
        body=request.body,
    )
