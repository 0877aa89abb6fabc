"""Attempts to get one request answered."""

import asyncio
from collections.abc import Callable

from foxtailway.routing.outcome import Outcome, RefusalReason
from foxtailway.sidecar.attempt_sender import AttemptSender
from foxtailway.sidecar.call import CallRefusal, CallResult, UpstreamResponse
from foxtailway.sidecar.routed_request import RoutedRequest
from foxtailway.traffic.hedging import HEDGE_BUDGET_SHARE, hedge_at
from foxtailway.traffic.selection import UpstreamView

__all__ = ["RequestAttempts", "make_refusal"]

# Hosts that a request may be offered to while none of them ran it.
MAX_ATTEMPTED_UPSTREAMS = 4
# Failures of an upstream that another one may not share; 504 leaves no time.
RETRYABLE_STATUSES = frozenset({500, 502, 503})


class RequestAttempts:
    """Offer one request to upstreams until it is answered or given up.

    Parameters
    ----------
    routed : RoutedRequest
        The request.
    head : bytes
        Header lines for the upstreams.
    sender : AttemptSender
        Chooses upstreams and sends offers.
    consume_retry_budget : callable
        Takes a repeat from the budget of the service, of which the part given
        may be used; returns whether there was one.

    Attributes
    ----------
    attempted_ids : set of str
        Upstreams that the request was offered to.
    n_counted_attempts : int
        Ended attempts that reached an upstream.
    possibly_run_result : CallResult or None
        Last result of an attempt that may have run. Once there is one, no later
        refusal makes the whole not run.

    Notes
    -----
    An idempotent request whose attempt is slow, or whose node falls silent, is
    sent to a second upstream with a free slot; the first answer counts.
    """

    def __init__(
        self,
        *,
        routed: RoutedRequest,
        head: bytes,
        sender: AttemptSender,
        consume_retry_budget: Callable[[float], bool],
    ) -> None:
        self.routed = routed
        self.head = head
        self.sender = sender
        self.consume_retry_budget = consume_retry_budget
        self.loop = asyncio.get_running_loop()
        self.attempted_ids: set[str] = set()
        self.n_counted_attempts = 0
        self.possibly_run_result: CallResult | None = None

    async def run(self) -> CallResult:
        """Return the answer of an upstream or the last refusal."""
        result: CallResult = make_refusal(RefusalReason.NO_ENDPOINT)
        for _ in range(MAX_ATTEMPTED_UPSTREAMS):
            view = self.sender.choose(self.routed, frozenset(self.attempted_ids))
            if view is None:
                break
            n_counted_attempts = self.n_counted_attempts
            if self.routed.route.is_idempotent:
                result = await self.run_hedged(view)
            else:
                result = await self.make_attempt(view)
                self.record_result(result)
            if self.is_final(result):
                return result
            if (
                self.n_counted_attempts > n_counted_attempts
                and not self.can_attempt_again(self.n_counted_attempts, 1.0)
            ):
                break
            if self.loop.time() >= self.routed.deadline:
                break
        return result if self.possibly_run_result is None else self.possibly_run_result

    async def make_attempt(
        self,
        view: UpstreamView,
        *,
        can_wait: bool = True,
        on_silence: Callable[[], None] | None = None,
    ) -> CallResult:
        """Make one attempt."""
        self.attempted_ids.add(view.upstream.upstream_id)
        return await self.sender.send(
            self.routed,
            view,
            self.head,
            can_wait=can_wait,
            on_silence=on_silence,
        )

    async def run_hedged(self, view: UpstreamView) -> CallResult:
        """Make an attempt, and a second one beside it if the first is slow."""
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
        """Return when a second attempt is made, at the deadline if never."""
        routed = self.routed
        hedge_time = hedge_at(
            started_at=self.loop.time(),
            due_at=routed.due_at,
            deadline=routed.deadline,
            run_time_s=self.sender.selector.mean_run_time(routed.route.name),
        )
        return min(hedge_time, routed.deadline)

    def choose_hedge_upstream(self) -> UpstreamView | None:
        """Return the upstream of a second attempt, or None if there is none."""
        if self.loop.time() >= self.routed.deadline:
            return None
        view = self.sender.choose_free(self.routed, frozenset(self.attempted_ids))
        if view is None or not self.can_attempt_again(
            self.n_counted_attempts + 1, HEDGE_BUDGET_SHARE
        ):
            return None
        return view

    def log_hedged_attempt(
        self, first: UpstreamView, hedge_view: UpstreamView, started_at: float
    ) -> None:
        """Log why a second attempt is made beside the first."""
        now = self.loop.time()
        run_time_s = self.sender.selector.mean_run_time(self.routed.route.name)
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
        """Return the first final result, or the last one if none is final."""
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
        """Remember what an ended attempt means for the whole."""
        if isinstance(result, UpstreamResponse) or result.is_offered:
            self.n_counted_attempts += 1
        if isinstance(result, UpstreamResponse) or result.outcome is Outcome.UNKNOWN:
            self.possibly_run_result = result

    def is_final(self, result: CallResult) -> bool:
        """Whether a result is the answer, or allows no further attempt."""
        is_idempotent = self.routed.route.is_idempotent
        if isinstance(result, UpstreamResponse):
            return not is_idempotent or result.response.status not in RETRYABLE_STATUSES
        return result.outcome is Outcome.UNKNOWN and not is_idempotent

    def can_attempt_again(self, n_counted_attempts: int, budget_share: float) -> bool:
        """Whether one more upstream may get the request after some attempts."""
        if n_counted_attempts >= self.routed.route.max_attempts:
            return False
        if self.loop.time() >= self.routed.deadline:
            return False
        return self.consume_retry_budget(budget_share)


def make_refusal(reason: RefusalReason) -> CallRefusal:
    """Return the refusal of a request that was not offered to any upstream."""
    return CallRefusal(outcome=Outcome.NOT_RUN, reason=reason)
