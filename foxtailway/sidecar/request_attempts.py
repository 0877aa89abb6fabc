"""Attempts, retries and hedged attempts of one request."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from foxtailway.routing.outcome import Outcome, RefusalReason
from foxtailway.sidecar.attempt_sender import AttemptSender
from foxtailway.sidecar.call import CallRefusal, CallResult, UpstreamResponse
from foxtailway.sidecar.routed_request import RoutedRequest
from foxtailway.traffic.contended_slot_queue import compute_free_hold
from foxtailway.traffic.hedging import HEDGE_BUDGET_SHARE, compute_hedge_start
from foxtailway.traffic.selection import UpstreamView

__all__ = ["RequestAttempts", "make_refusal"]

# Number of upstreams tried for one request, apart from hedged attempts. Attempts that
# did not reach an upstream count here, but not against the limit of the route.
MAX_ATTEMPTED_UPSTREAMS = 4
# Statuses after which another upstream may succeed. 504 is none of them, since it
# leaves no time for a retry.
RETRYABLE_STATUSES = frozenset({500, 502, 503})


class RequestAttempts:
    """Attempts to obtain a response for one request.

    Parameters
    ----------
    routed : RoutedRequest
        Request to send.
    head : bytes
        Header lines that are sent to the upstreams.
    sender : AttemptSender
        Chooses upstreams and sends the attempts.
    consume_retry_budget : callable
        Called with the share of the budget that may be used. Consumes one retry
        from the budget of the service and returns whether one was available.
    is_hold_bounded : bool, default=True
        Whether a request that upstreams have held for long is refused.

    Attributes
    ----------
    attempted_ids : set of str
        Identifiers of the upstreams that were chosen so far.
    n_counted_attempts : int
        Ended attempts that reached an upstream.
    retry_after_s : float
        Shortest `Retry-After` of the queues that refused, in seconds; 0 for none.
    held_s : float
        Time that attempts took which did not reach an upstream, in seconds.
    possibly_run_result : CallResult or None
        Last result of an attempt that may have run. Once there is one, the final
        result is never "not run", whatever later attempts return.

    Notes
    -----
    When the attempt of an idempotent request is slow, or its peer stops sending,
    a hedged attempt is made at a second upstream with a free slot. The first
    final result is used.
    """

    def __init__(
        self,
        *,
        routed: RoutedRequest,
        head: bytes,
        sender: AttemptSender,
        consume_retry_budget: Callable[[float], bool],
        is_hold_bounded: bool = True,
    ) -> None:
        self.is_hold_bounded = is_hold_bounded
        self.routed = routed
        self.head = head
        self.sender = sender
        self.consume_retry_budget = consume_retry_budget
        self.loop = asyncio.get_running_loop()
        self.attempted_ids: set[str] = set()
        self.n_counted_attempts = 0
        self.possibly_run_result: CallResult | None = None
        self.retry_after_s = 0.0
        self.held_s = 0.0

    async def run(self) -> CallResult:
        """Return the response of an upstream, or the last refusal.

        The refusal states the shortest `Retry-After` of the queues that refused.
        Without one, it is the time until an upstream is reachable and warm.
        """
        result = await self.run_attempts()
        if not isinstance(result, CallRefusal) or result.outcome is Outcome.UNKNOWN:
            return result
        retry_after_s = self.retry_after_s or self.sender.find_available_in(self.routed)
        return replace(result, retry_after_s=retry_after_s)

    async def run_attempts(self) -> CallResult:
        """Return the response of an upstream, or the last refusal."""
        result: CallResult = make_refusal(RefusalReason.NO_ENDPOINT)
        for _ in range(MAX_ATTEMPTED_UPSTREAMS):
            view = self.choose_next()
            if view is None:
                break
            started_at = self.loop.time()
            n_counted_attempts = self.n_counted_attempts
            if self.routed.route.is_idempotent:
                result = await self.run_hedged(view)
            else:
                result = await self.make_attempt(view)
                self.record_result(result)
            if self.is_final(result):
                return result
            if isinstance(result, CallRefusal) and not result.is_offered:
                self.held_s += self.loop.time() - started_at
            if (
                self.n_counted_attempts > n_counted_attempts
                and not self.try_acquire_attempt(self.n_counted_attempts, 1.0)
            ):
                break
            if self.loop.time() >= self.routed.deadline:
                break
        return result if self.possibly_run_result is None else self.possibly_run_result

    def choose_next(self) -> UpstreamView | None:
        """Return the upstream of the next attempt, or None to make no more.

        A request that upstreams have held for longer than is free of cost only goes to
        one that probably has a free slot. A call goes on, since its refusal costs the
        run that makes it.
        """
        excluded = frozenset(self.attempted_ids)
        routed = self.routed
        if (
            self.is_hold_bounded
            and routed.parent is None
            and self.held_s >= compute_free_hold(routed.route.target_latency_s)
        ):
            return self.sender.choose_free(routed, excluded)
        return self.sender.choose(routed, excluded)

    async def make_attempt(
        self,
        view: UpstreamView,
        *,
        can_wait: bool = True,
        on_silence: Callable[[], None] | None = None,
    ) -> CallResult:
        """Make one attempt and return its result."""
        n_refused = len(self.attempted_ids)
        self.attempted_ids.add(view.upstream.upstream_id)
        return await self.sender.send(
            self.routed,
            view,
            self.head,
            can_wait=can_wait,
            n_refused=n_refused,
            held_s=self.held_s,
            on_silence=on_silence,
        )

    async def run_hedged(self, view: UpstreamView) -> CallResult:
        """Make an attempt, and a hedged one while the first is slow."""
        started_at = self.loop.time()
        hedge_requested = self.loop.create_future()

        def request_hedge() -> None:
            if not hedge_requested.done():
                hedge_requested.set_result(None)

        attempts = [
            self.loop.create_task(self.make_attempt(view, on_silence=request_hedge))
        ]
        hedge_timer = self.loop.call_at(self.compute_hedge_time(), request_hedge)
        try:
            await asyncio.wait(
                (attempts[0], hedge_requested), return_when=asyncio.FIRST_COMPLETED
            )
            if not attempts[0].done():
                hedge_view = self.choose_hedge_upstream()
                if hedge_view is not None:
                    self.log_hedged_attempt(view, hedge_view, started_at)
                    attempts.append(
                        self.loop.create_task(
                            self.make_attempt(hedge_view, can_wait=False)
                        )
                    )
            return await self.wait_for_final_result(attempts)
        finally:
            hedge_timer.cancel()
            for attempt in attempts:
                attempt.cancel()

    def compute_hedge_time(self) -> float:
        """Return the monotonic time in seconds at which a hedged attempt starts.

        Without one, it is the deadline.
        """
        routed = self.routed
        hedge_time = compute_hedge_start(
            started_at=self.loop.time(),
            due_at=routed.due_at,
            deadline=routed.deadline,
            run_time_s=self.sender.selector.get_mean_run_time(routed.route.name),
        )
        return min(hedge_time, routed.deadline)

    def choose_hedge_upstream(self) -> UpstreamView | None:
        """Return the upstream of a hedged attempt, or None if it is not possible."""
        if self.loop.time() >= self.routed.deadline:
            return None
        view = self.sender.choose_free(self.routed, frozenset(self.attempted_ids))
        if view is None or not self.try_acquire_attempt(
            self.n_counted_attempts + 1, HEDGE_BUDGET_SHARE
        ):
            return None
        return view

    def log_hedged_attempt(
        self, first: UpstreamView, hedge_view: UpstreamView, started_at: float
    ) -> None:
        """Log the times that led to a hedged attempt."""
        now = self.loop.time()
        run_time_s = self.sender.selector.get_mean_run_time(self.routed.route.name)
        self.sender.log.write(
            "second_attempt",
            self.routed.request.request_id or "-",
            upstream=hedge_view.upstream.upstream_id,
            first=first.upstream.upstream_id,
            elapsed_s=round(now - started_at, 4),
            run_time_s=round(run_time_s, 4),
            remaining_s=round(self.routed.deadline - now, 4),
        )

    async def wait_for_final_result(
        self, attempts: list["asyncio.Task[CallResult]"]
    ) -> CallResult:
        """Return the first final result, or the last result if none is final."""
        result: CallResult = make_refusal(RefusalReason.NO_ENDPOINT)
        waiting = set(attempts)
        while waiting:
            done, waiting = await asyncio.wait(
                waiting, return_when=asyncio.FIRST_COMPLETED
            )
            for attempt in done:
                result = attempt.result()
                self.record_result(result)
                if self.is_final(result):
                    return result
        return result

    def record_result(self, result: CallResult) -> None:
        """Record whether an ended attempt reached an upstream or may have run."""
        if isinstance(result, CallRefusal) and result.retry_after_s:
            known_s = self.retry_after_s or result.retry_after_s
            self.retry_after_s = min(known_s, result.retry_after_s)
        if isinstance(result, UpstreamResponse) or result.is_offered:
            self.n_counted_attempts += 1
        if isinstance(result, UpstreamResponse) or result.outcome is Outcome.UNKNOWN:
            self.possibly_run_result = result

    def is_final(self, result: CallResult) -> bool:
        """Return whether a result rules out any further attempt."""
        is_idempotent = self.routed.route.is_idempotent
        if isinstance(result, UpstreamResponse):
            return not is_idempotent or result.response.status not in RETRYABLE_STATUSES
        return result.outcome is Outcome.UNKNOWN and not is_idempotent

    def try_acquire_attempt(self, n_counted_attempts: int, budget_share: float) -> bool:
        """Consume a retry for one more attempt; return whether the attempt is allowed.

        Parameters
        ----------
        n_counted_attempts : int
            Attempts that count against the limit of the route.
        budget_share : float
            Share of the retry budget that may be used.
        """
        if n_counted_attempts >= self.routed.route.max_attempts:
            return False
        if self.loop.time() >= self.routed.deadline:
            return False
        return self.consume_retry_budget(budget_share)


def make_refusal(
    reason: RefusalReason, outcome: Outcome = Outcome.NOT_RUN
) -> CallRefusal:
    """Return the refusal of a request; one that may have run was offered."""
    return CallRefusal(
        outcome=outcome, reason=reason, is_offered=outcome is not Outcome.NOT_RUN
    )
