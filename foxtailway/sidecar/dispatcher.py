"""Routing of client requests and mapping of results to responses."""

import asyncio
from collections.abc import Callable
from random import Random

from foxtailway.routing.outcome import Outcome, RefusalReason
from foxtailway.sidecar.attempt_sender import AttemptSender
from foxtailway.sidecar.call import CallRefusal, CallResult, UpstreamResponse
from foxtailway.sidecar.call_recognizer import CallRecognizer
from foxtailway.sidecar.crash_guard import CrashGuard
from foxtailway.sidecar.http_listener import RequestHandler
from foxtailway.sidecar.http_message import ClientRequest, HeaderNames, Response
from foxtailway.sidecar.log import EventLog
from foxtailway.sidecar.metrics import SidecarMetrics
from foxtailway.sidecar.request_attempts import RequestAttempts, make_refusal
from foxtailway.sidecar.routed_request import RoutedRequest
from foxtailway.traffic.configuration import TrafficConfiguration, TrafficRoute
from foxtailway.traffic.failed_requests import FailedRequests
from foxtailway.traffic.first_attempts import FirstAttempts
from foxtailway.traffic.retry_budget import RetryBudget
from foxtailway.traffic.route_index import RouteIndex
from foxtailway.traffic.split import SplitChooser

__all__ = ["RequestDispatcher"]

# Mean `Retry-After` when all upstreams are overloaded and their queues state none, in
# seconds.
RETRY_AFTER_OVERLOADED_S = 0.1
# Mean `Retry-After` for all other refusals with status 503, in seconds.
RETRY_AFTER_UNAVAILABLE_S = 0.3
# Statuses of requests that did not run; 503 for all other reasons.
NOT_RUN_STATUSES = {
    RefusalReason.NO_ROUTE: 404,
    RefusalReason.MALFORMED: 400,
}
# Statuses of requests that may have run; 502 for all other reasons.
UNKNOWN_STATUSES = {RefusalReason.EXPIRED: 504}
# Statuses after which clients repeat any request: they promise that it didn't run.
PROMISE_STATUSES = frozenset({408, 421, 429, 503})
# Longest time from the deadline of a request to its final answer. The sidecar beside
# the upstream reports a missed deadline itself, over the network.
LAST_ANSWER_S = 0.2
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503


class RequestDispatcher(RequestHandler):
    """Route client requests to upstreams within the retry budget.

    Parameters
    ----------
    names : HeaderNames
        Names of the headers that the mesh interprets.
    service : str
        Service on this host, sent to the upstreams as the caller.
    sender : AttemptSender
        Sends attempts to upstreams.
    guard : CrashGuard
        Tells which requests are quarantined.
    retry_ratio, retry_slack, retry_window_s : float
        Retry budget of all sidecars together for each service: ratio of retries
        to requests, retries allowed in addition to it, and length of the sliding
        window in seconds.
    is_up_to_date : callable
        Tells whether the configuration was recently known to be the newest one.
    metrics : SidecarMetrics
        Counts responses, refusals and further attempts.
    log : EventLog
        Event log.
    random_source : Random
        Source of jitter.
    calls : CallRecognizer or None, default=None
        Recognizes the calls of the upstream on this host; None if slots are given by
        due time only, where calls are treated like other requests.

    Attributes
    ----------
    ends_at : float
        Monotonic time at which the process ends, in seconds. Requests that may get
        their final answer later are refused.
    """

    def __init__(
        self,
        *,
        names: HeaderNames,
        service: str,
        sender: AttemptSender,
        guard: CrashGuard,
        retry_ratio: float,
        retry_slack: float,
        retry_window_s: float,
        is_up_to_date: Callable[[], bool],
        metrics: SidecarMetrics,
        log: EventLog,
        random_source: Random,
        calls: CallRecognizer | None = None,
    ) -> None:
        self.calls = calls
        self.is_up_to_date = is_up_to_date
        self.metrics = metrics
        self.names = names
        self.service = service
        self.sender = sender
        self.guard = guard
        self.retry_ratio = retry_ratio
        self.retry_slack = retry_slack
        self.retry_window_s = retry_window_s
        self.log = log
        self.random_source = random_source
        self.loop = asyncio.get_running_loop()
        self.configuration: TrafficConfiguration | None = None
        self.route_index = RouteIndex()
        self.split_chooser = SplitChooser(random_source=random_source)
        self.retry_budgets: dict[str, RetryBudget] = {}
        self.failed_requests = FailedRequests()
        self.first_attempts = FirstAttempts()
        self.ends_at = float("inf")

    def apply(self, configuration: TrafficConfiguration) -> None:
        """Apply a configuration to all requests that arrive from now on."""
        self.configuration = configuration
        self.route_index = RouteIndex(routes=configuration.routes)
        self.split_chooser.retain(configuration.routes)

    def reconfigure(
        self,
        *,
        service: str,
        retry_ratio: float,
        retry_slack: float,
        retry_window_s: float,
    ) -> None:
        """Apply changed settings; the counts of the retry budgets are kept."""
        self.service = service
        self.retry_ratio = retry_ratio
        self.retry_slack = retry_slack
        self.retry_window_s = retry_window_s
        for budget in self.retry_budgets.values():
            budget.ratio = retry_ratio
            budget.slack = retry_slack
            budget.window_s = retry_window_s

    async def handle(self, request: ClientRequest) -> Response:
        """Return the response to a client request."""
        started_at = self.loop.time()
        routed = self.route_request(request)
        if isinstance(routed, CallRefusal):
            return self.respond_with_refusal(request, "", routed, started_at)
        result = await self.run_attempts(routed)
        if isinstance(result, CallRefusal) or result.response.is_server_error:
            self.record_failure(routed, result)
        if isinstance(result, CallRefusal):
            return self.respond_with_refusal(
                request, routed.service, result, started_at
            )
        status = result.response.status
        if status in PROMISE_STATUSES and not routed.route.is_idempotent:
            # Without the header that says so, the request may have run.
            lost = make_refusal(RefusalReason.LOST, Outcome.UNKNOWN)
            return self.respond_with_refusal(request, routed.service, lost, started_at)
        self.metrics.count_response(
            routed.service, status, self.loop.time() - started_at
        )
        if result.response.is_server_error:
            self.log.write(
                "upstream_failed",
                request.request_id,
                service=routed.service,
                route=routed.route.name,
                status=status,
                run_time_s=round(result.run_time_s, 4),
            )
        return result.response

    def can_run_beside(self, request: ClientRequest) -> bool:
        """Return whether the route of a request is idempotent."""
        route = self.route_index.find(request.host, request.target)
        return route is not None and route.is_idempotent

    def route_request(self, request: ClientRequest) -> RoutedRequest | CallRefusal:
        """Return the request with route, service and deadline, or a refusal."""
        if self.configuration is None:
            return make_refusal(RefusalReason.NOT_READY)
        if not request.target.startswith("/"):
            return make_refusal(RefusalReason.MALFORMED)
        route = self.route_index.find(request.host, request.target)
        if route is None:
            # A newer configuration may have a route, and clients do not repeat a
            # request that got a 404.
            reason = RefusalReason.NO_ROUTE
            if not self.is_up_to_date():
                reason = RefusalReason.NOT_READY
            return make_refusal(reason)
        if self.guard.is_quarantined(request.method, request.target, request.body):
            return make_refusal(RefusalReason.QUARANTINED)
        now = self.loop.time()
        deadline = now + route.timeout_s
        due_at = now + route.target_latency_s
        client_deadline = parent = None
        if request.remaining_ms is not None:
            client_deadline = now + request.remaining_ms / 1000
            deadline = min(deadline, client_deadline)
            if self.calls is not None:
                parent = self.calls.find_parent(request, route.name, client_deadline)
            if parent is None:
                due_at = self.find_due(request, route, client_deadline)
            else:
                due_at = parent.due_at
        if deadline + LAST_ANSWER_S > self.ends_at:
            return make_refusal(RefusalReason.DRAINING)
        return RoutedRequest(
            request=request,
            route=route,
            service=self.split_chooser.choose(route),
            due_at=due_at,
            deadline=deadline,
            client_deadline=client_deadline,
            parent=parent,
        )

    def find_due(
        self, request: ClientRequest, route: TrafficRoute, client_deadline: float
    ) -> float:
        """Return when a request is due, counted from the first attempt of its client.

        The first attempt may have been made at another host.
        """
        due_at = self.loop.time() + route.target_latency_s
        elapsed_s = self.first_attempts.estimate_elapsed(
            route.name, request.remaining_ms
        )
        first_due_at = self.failed_requests.pop_due(
            route.name, request.target, client_deadline
        )
        if first_due_at is not None:
            return first_due_at
        return due_at - (elapsed_s if self.calls is not None else 0.0)

    def record_failure(self, routed: RoutedRequest, result: CallResult) -> None:
        """Remember a failed request, which its client may send again.

        A failed call counts against the admission of the requests that make it, unless
        their time had passed.
        """
        if routed.parent is not None:
            if (
                isinstance(result, UpstreamResponse)
                or result.reason is not RefusalReason.EXPIRED
            ):
                self.calls.record_failure(routed.parent, self.loop.time())
            return
        if routed.client_deadline is not None:
            self.failed_requests.record(
                routed.route.name,
                routed.request.target,
                due_at=routed.due_at,
                deadline=routed.client_deadline,
                now=self.loop.time(),
            )

    async def run_attempts(self, routed: RoutedRequest) -> CallResult:
        """Return the final result of all attempts of a request."""
        budget = self.get_retry_budget(routed.service)
        budget.record_request(self.loop.time())

        def consume_retry_budget(budget_share: float) -> bool:
            n_nodes = max(1, len(self.sender.membership.upstreams))
            is_allowed = budget.try_acquire(n_nodes, self.loop.time(), budget_share)
            if is_allowed:
                self.metrics.count_further_attempt(routed.service)
            return is_allowed

        head = b"%b%b: %b\r\n" % (
            routed.request.head,
            self.names.caller,
            self.service.encode("latin-1"),
        )
        attempts = RequestAttempts(
            routed=routed,
            head=head,
            sender=self.sender,
            consume_retry_budget=consume_retry_budget,
            is_hold_bounded=self.calls is not None,
        )
        return await attempts.run()

    def get_retry_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service; create it on first use."""
        budget = self.retry_budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                ratio=self.retry_ratio,
                slack=self.retry_slack,
                window_s=self.retry_window_s,
            )
            self.retry_budgets[service] = budget
        return budget

    def respond_with_refusal(
        self,
        request: ClientRequest,
        service: str,
        refusal: CallRefusal,
        started_at: float,
    ) -> Response:
        """Count and log a refusal and return the response to the client."""
        status = choose_status(refusal)
        latency_s = self.loop.time() - started_at
        self.metrics.count_response(service, status, latency_s)
        self.metrics.count_refusal(service, refusal.reason.value)
        self.sender.log_failed_request(request.request_id)
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
            retry_after_s=round(refusal.retry_after_s, 4),
            n_ready=len(self.sender.membership.list_ready(service)),
            version=self.configuration.version if self.configuration else None,
        )
        if status != STATUS_UNAVAILABLE:
            return Response(status=status)
        delay_s = refusal.retry_after_s or RETRY_AFTER_UNAVAILABLE_S
        if refusal.reason is RefusalReason.OVERLOADED:
            delay_s = refusal.retry_after_s or RETRY_AFTER_OVERLOADED_S
        delay_s *= 0.5 + self.random_source.random()
        return Response(status=status, head=b"Retry-After: %.3f\r\n" % delay_s)


def choose_status(refusal: CallRefusal) -> int:
    """Return the HTTP status of a refusal.

    Of the 5xx statuses, only 503 guarantees that the request did not run.
    """
    if refusal.outcome is Outcome.NOT_RUN:
        return NOT_RUN_STATUSES.get(refusal.reason, STATUS_UNAVAILABLE)
    return UNKNOWN_STATUSES.get(refusal.reason, STATUS_BAD_GATEWAY)
