"""Attempts to get one request answered."""

import asyncio
from collections.abc import Callable

from foxtailway.routing.outcome import Outcome, RefusalReason
from foxtailway.sidecar.call import CallRefusal, CallResult, UpstreamAnswer
from foxtailway.sidecar.offer import OfferDesk
from foxtailway.sidecar.planned_request import PlannedRequest
from foxtailway.traffic.hedging import HEDGE_BUDGET_SHARE, hedge_at
from foxtailway.traffic.selection import UpstreamView

__all__ = ["Carriage", "refuse"]

# Hosts that a request may be offered to while none of them ran it.
N_OFFERS = 4
# Failures of an upstream that another one may not share; 504 leaves no time.
REPEATABLE_STATUSES = frozenset({500, 502, 503})


class Carriage:
    """Offer one request to upstreams until it is answered or given up.

    Parameters
    ----------
    planned : PlannedRequest
        The request.
    head : bytes
        Header lines for the upstreams.
    desk : OfferDesk
        Chooses upstreams and sends offers.
    take_repeat : callable
        Takes a repeat from the budget of the service, of which the part given
        may be used; returns whether there was one.

    Attributes
    ----------
    tried : set of str
        Upstreams that the request was offered to.
    n_runs : int
        Ended attempts that reached an upstream.
    maybe_run : CallResult or None
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
        planned: PlannedRequest,
        head: bytes,
        desk: OfferDesk,
        take_repeat: Callable[[float], bool],
    ) -> None:
        self.planned = planned
        self.head = head
        self.desk = desk
        self.take_repeat = take_repeat
        self.loop = asyncio.get_running_loop()
        self.tried: set[str] = set()
        self.n_runs = 0
        self.maybe_run: CallResult | None = None

    async def run(self) -> CallResult:
        """Return the answer of an upstream or the last refusal."""
        result: CallResult = refuse(RefusalReason.NO_ENDPOINT)
        for _ in range(N_OFFERS):
            view = self.desk.choose(self.planned, frozenset(self.tried))
            if view is None:
                break
            n_runs = self.n_runs
            if self.planned.route.is_idempotent:
                result = await self.race(view)
            else:
                result = await self.start(view)
                self.note(result)
            if self.is_final(result):
                return result
            if self.n_runs > n_runs and not self.may_repeat(self.n_runs, 1.0):
                break
            if self.loop.time() >= self.planned.deadline:
                break
        return result if self.maybe_run is None else self.maybe_run

    async def start(
        self,
        view: UpstreamView,
        *,
        can_wait: bool = True,
        on_suspicion: Callable[[], None] | None = None,
    ) -> CallResult:
        """Make one attempt."""
        self.tried.add(view.upstream.upstream_id)
        return await self.desk.offer(
            self.planned,
            view,
            self.head,
            can_wait=can_wait,
            on_suspicion=on_suspicion,
        )

    async def race(self, view: UpstreamView) -> CallResult:
        """Make an attempt, and a second one beside it if the first is slow."""
        started = self.loop.time()
        slow = self.loop.create_future()

        def suspect() -> None:
            if not slow.done():
                slow.set_result(None)

        attempts = [self.loop.create_task(self.start(view, on_suspicion=suspect))]
        timer = self.loop.call_at(self.find_hedge_time(), suspect)
        try:
            await asyncio.wait((attempts[0], slow), return_when=asyncio.FIRST_COMPLETED)
            if not attempts[0].done():
                second = self.choose_second()
                if second is not None:
                    self.log_second(view, second, started)
                    attempts.append(
                        self.loop.create_task(self.start(second, can_wait=False))
                    )
            return await self.await_first(attempts)
        finally:
            timer.cancel()
            for attempt in attempts:
                attempt.cancel()

    def find_hedge_time(self) -> float:
        """Return when a second attempt is made, at the deadline if never."""
        planned = self.planned
        at = hedge_at(
            started_at=self.loop.time(),
            due_at=planned.due_at,
            deadline=planned.deadline,
            run_time_s=self.desk.selector.mean_run_time(planned.route.name),
        )
        return min(at, planned.deadline)

    def choose_second(self) -> UpstreamView | None:
        """Return the upstream of a second attempt, or None if there is none."""
        if self.loop.time() >= self.planned.deadline:
            return None
        view = self.desk.choose_free(self.planned, frozenset(self.tried))
        if view is None or not self.may_repeat(self.n_runs + 1, HEDGE_BUDGET_SHARE):
            return None
        return view

    def log_second(
        self, first: UpstreamView, second: UpstreamView, started: float
    ) -> None:
        """Log why a second attempt is made beside the first."""
        now = self.loop.time()
        run_time_s = self.desk.selector.mean_run_time(self.planned.route.name)
        self.desk.log.write(
            "second_attempt",
            self.planned.request.request_id or "-",
            upstream=second.upstream.upstream_id,
            first=first.upstream.upstream_id,
            elapsed_s=round(now - started, 4),
            run_time_s=round(run_time_s, 4),
            remaining_s=round(self.planned.deadline - now, 4),
        )

    async def await_first(
        self, attempts: list["asyncio.Task[CallResult]"]
    ) -> CallResult:
        """Return the first final result, or the last one if none is final."""
        result: CallResult = refuse(RefusalReason.NO_ENDPOINT)
        waiting = set(attempts)
        while waiting:
            done, waiting = await asyncio.wait(
                waiting, return_when=asyncio.FIRST_COMPLETED
            )
            for attempt in done:
                result = attempt.result()
                self.note(result)
                if self.is_final(result):
                    return result
        return result

    def note(self, result: CallResult) -> None:
        """Remember what an ended attempt means for the whole."""
        if isinstance(result, UpstreamAnswer) or result.is_offered:
            self.n_runs += 1
        if isinstance(result, UpstreamAnswer) or result.outcome is Outcome.UNKNOWN:
            self.maybe_run = result

    def is_final(self, result: CallResult) -> bool:
        """Whether a result is the answer, or allows no further attempt."""
        is_idempotent = self.planned.route.is_idempotent
        if isinstance(result, UpstreamAnswer):
            return not is_idempotent or result.answer.status not in REPEATABLE_STATUSES
        return result.outcome is Outcome.UNKNOWN and not is_idempotent

    def may_repeat(self, n_runs: int, share: float) -> bool:
        """Whether one more upstream may get the request after `n_runs` attempts."""
        if n_runs >= self.planned.route.max_attempts:
            return False
        if self.loop.time() >= self.planned.deadline:
            return False
        return self.take_repeat(share)


def refuse(reason: RefusalReason) -> CallRefusal:
    """Return the refusal of a request that was not offered to any upstream."""
    return CallRefusal(outcome=Outcome.NOT_RUN, reason=reason)
