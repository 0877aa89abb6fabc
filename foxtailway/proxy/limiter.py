"""Concurrency limit of the local upstream."""

import asyncio
from functools import partial

from expression import Error, Ok, Result

from foxtailway.common.clock import Clock
from foxtailway.model.snapshot import Cluster
from foxtailway.proxy.upstream import CancelToken
from foxtailway.routing.admission import (
    AdmissionDecision,
    AdmissionQueue,
    Admitted,
    PendingCall,
)
from foxtailway.routing.outcome import Outcome, Refusal, RefusalReason

__all__ = ["ConcurrencyLimiter"]


class ConcurrencyLimiter:
    """Resume waiting calls when the admission queue decides about them.

    Parameters
    ----------
    queue : AdmissionQueue
        Decides which calls run.
    clock : Clock
        Source of time.
    """

    def __init__(self, *, queue: AdmissionQueue, clock: Clock) -> None:
        self.queue = queue
        self.clock = clock
        self.waiters: dict[str, asyncio.Future] = {}
        self.timer: asyncio.TimerHandle | None = None

    def configure(self, cluster: Cluster) -> None:
        """Apply the limits of the upstream's cluster."""
        self.queue.reconfigure(cluster)

    async def acquire(
        self, call: PendingCall, token: CancelToken
    ) -> Result[None, Refusal]:
        """Wait until a call may run; it holds the slot until `release`.

        Cancelling the token removes a waiting call from the queue at once.
        """
        if token.is_cancelled:
            return Error(self.refuse(RefusalReason.CANCELLED))
        future = asyncio.get_running_loop().create_future()
        self.waiters[call.call_id] = future
        cancel_waiting = partial(self.cancel_waiting, call.call_id)
        token.callbacks.append(cancel_waiting)
        self.resolve_waiters(self.queue.offer(call, self.clock.now()))
        try:
            return await future
        except asyncio.CancelledError:
            self.resolve_waiters(self.queue.cancel(call.call_id, self.clock.now()))
            raise
        finally:
            token.callbacks.remove(cancel_waiting)
            self.waiters.pop(call.call_id, None)

    def cancel_waiting(self, call_id: str) -> None:
        """Remove a waiting call from the queue and refuse it as cancelled."""
        future = self.waiters[call_id]
        if future.done():
            return
        self.resolve_waiters(self.queue.cancel(call_id, self.clock.now()))
        future.set_result(Error(self.refuse(RefusalReason.CANCELLED)))

    def release(self, call: PendingCall, *, latency_s: float, is_success: bool) -> None:
        """Release the slot of a call that ended.

        Parameters
        ----------
        call : PendingCall
            Call that `acquire` admitted.
        latency_s : float
            Run time of the call, in seconds.
        is_success : bool
            Whether the upstream returned a response.
        """
        now = self.clock.now()
        self.resolve_waiters(
            self.queue.release(call.call_id, now, latency_s, is_success)
        )

    def resolve_waiters(self, decisions: tuple[AdmissionDecision, ...]) -> None:
        """Resume the calls that the queue admitted or refused."""
        for decision in decisions:
            future = self.waiters.get(decision.call_id)
            if future is None or future.done():
                continue
            if isinstance(decision, Admitted):
                future.set_result(Ok(None))
            else:
                future.set_result(Error(decision.refusal))
        self.schedule_expiry()

    def schedule_expiry(self) -> None:
        """Set the timer to the next expiry in the queue, if any."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        expires_at = self.queue.next_expiry()
        if expires_at is None:
            return
        delay_s = max(0.0, expires_at - self.clock.now())
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(delay_s, self.expire)

    def expire(self) -> None:
        """Refuse the calls that waited too long."""
        self.timer = None
        self.resolve_waiters(self.queue.expire(self.clock.now()))

    def close(self) -> None:
        """Stop the timer and refuse the waiting calls."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        for future in self.waiters.values():
            if not future.done():
                future.set_result(Error(self.refuse(RefusalReason.DRAINING)))

    def refuse(self, reason: RefusalReason) -> Refusal:
        """Return the refusal of a call that has no slot."""
        return Refusal(
            outcome=Outcome.NOT_RUN,
            reason=reason,
            retry_after_s=1.0 if reason is RefusalReason.DRAINING else 0.0,
            host_id=self.queue.host_id,
        )
