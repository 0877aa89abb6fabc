"""Carriage of clients' requests to chosen upstreams."""

import asyncio
from random import Random

from foxtailway.routing.outcome import Outcome, RefusalReason
from foxtailway.sidecar.call import CallRefusal, CallResult
from foxtailway.sidecar.carriage import Carriage, refuse
from foxtailway.sidecar.crash_guard import CrashGuard
from foxtailway.sidecar.http_listener import RequestHandler
from foxtailway.sidecar.http_message import ClientRequest, HeaderNames, Response
from foxtailway.sidecar.log import EventLog
from foxtailway.sidecar.metrics import SidecarMetrics
from foxtailway.sidecar.offer import OfferDesk
from foxtailway.sidecar.planned_request import PlannedRequest
from foxtailway.traffic.configuration import TrafficConfiguration
from foxtailway.traffic.retry_budget import RetryBudget
from foxtailway.traffic.route_index import RouteIndex
from foxtailway.traffic.split import SplitChooser

__all__ = ["RequestDispatcher"]

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
ANSWER_BAD_GATEWAY = 502
ANSWER_UNAVAILABLE = 503


class RequestDispatcher(RequestHandler):
    """Choose upstreams for requests and repeat those that may be repeated.

    Parameters
    ----------
    names : HeaderNames
        Headers that carry meaning for the mesh.
    service : str
        Service on this host, told to the upstreams as the caller.
    desk : OfferDesk
        Sends requests to upstreams.
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
        desk: OfferDesk,
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
        self.desk = desk
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

    async def handle(self, request: ClientRequest) -> Response:
        """Return the final answer to a request."""
        started = self.loop.time()
        planned = self.plan(request)
        if isinstance(planned, CallRefusal):
            return self.conclude(request, "", planned, started)
        result = await self.carry(planned)
        if isinstance(result, CallRefusal):
            return self.conclude(request, planned.service, result, started)
        status = result.answer.status
        self.metrics.count_response(planned.service, status, self.loop.time() - started)
        if result.answer.is_server_error:
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
        """Offer a request to upstreams until it is answered or given up."""
        budget = self.find_budget(planned.service)
        budget.record_request(self.loop.time())

        def take_repeat(share: float) -> bool:
            n_nodes = max(1, len(self.desk.membership.upstreams))
            is_taken = budget.try_acquire(n_nodes, self.loop.time(), share)
            if is_taken:
                self.metrics.count_repeat(planned.service)
            return is_taken

        head = b"%b%b: %b\r\n" % (
            planned.request.head,
            self.names.caller,
            self.service.encode("latin-1"),
        )
        carriage = Carriage(
            planned=planned, head=head, desk=self.desk, take_repeat=take_repeat
        )
        return await carriage.run()

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
    ) -> Response:
        """Return the answer that tells a client of a refusal."""
        status = choose_status(refusal)
        latency_s = self.loop.time() - started
        self.metrics.count_response(service, status, latency_s)
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
            n_ready=len(self.desk.membership.list_ready(service)),
            version=self.configuration.version if self.configuration else None,
        )
        if status != ANSWER_UNAVAILABLE:
            return Response(status=status)
        delay_s = RETRY_AFTER_UNAVAILABLE_S
        if refusal.reason is RefusalReason.OVERLOADED:
            delay_s = RETRY_AFTER_OVERLOADED_S
        delay_s *= 0.5 + self.random_source.random()
        return Response(status=status, head=b"Retry-After: %.3f\r\n" % delay_s)


def choose_status(refusal: CallRefusal) -> int:
    """Return the HTTP status of a refusal.

    Only 503 promises that the request did not run.
    """
    if refusal.outcome is Outcome.NOT_RUN:
        return NOT_RUN_STATUSES.get(refusal.reason, ANSWER_UNAVAILABLE)
    return UNKNOWN_STATUSES.get(refusal.reason, ANSWER_BAD_GATEWAY)
