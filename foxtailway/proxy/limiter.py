"""Waiting for slots of the host's own upstream."""

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
    """Wake callers when the admission queue decides about them.

    Parameters
    ----------
    queue : AdmissionQueue
        Decides who runs.
    clock : Clock
        Source of time.
    """

    def __init__(self, *, queue: AdmissionQueue, clock: Clock) -> None:
        self.queue = queue
        self.clock = clock
        self.waiting: dict[str, asyncio.Future] = {}
        self.timer: asyncio.TimerHandle | None = None

    def configure(self, cluster: Cluster) -> None:
        """Take over the limits of the upstream's cluster."""
        self.queue.reconfigure(cluster)

    async def acquire(
        self, call: PendingCall, token: CancelToken
    ) -> Result[None, Refusal]:
        """Wait until a call may run; the slot is held until `release`.

        A call whose token is cancelled leaves the queue at once.
        """
        if token.is_cancelled:
            return Error(self.refuse(RefusalReason.CANCELLED))
        future = asyncio.get_running_loop().create_future()
        self.waiting[call.call_id] = future
        leave = partial(self.leave, call.call_id)
        token.callbacks.append(leave)
        self.settle(self.queue.offer(call, self.clock.now()))
        try:
            return await future
        except asyncio.CancelledError:
            self.settle(self.queue.cancel(call.call_id, self.clock.now()))
            raise
        finally:
            token.callbacks.remove(leave)
            self.waiting.pop(call.call_id, None)

    def leave(self, call_id: str) -> None:
        """Take a call whose caller is gone out of the queue."""
        future = self.waiting[call_id]
        if future.done():
            return
        self.settle(self.queue.cancel(call_id, self.clock.now()))
        future.set_result(Error(self.refuse(RefusalReason.CANCELLED)))

    def release(self, call: PendingCall, *, latency_s: float, is_success: bool) -> None:
        """Return the slot of a call that ended."""
        now = self.clock.now()
        self.settle(self.queue.release(call.call_id, now, latency_s, is_success))

    def settle(self, decisions: tuple[AdmissionDecision, ...]) -> None:
        """Wake the callers about whom the queue decided."""
        for decision in decisions:
            future = self.waiting.get(decision.call_id)
            if future is None or future.done():
                continue
            if isinstance(decision, Admitted):
                future.set_result(Ok(None))
            else:
                future.set_result(Error(decision.refusal))
        self.schedule()

    def schedule(self) -> None:
        """Set the timer to the next expiry in the queue."""
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
        """Reject the calls that waited too long."""
        self.timer = None
        self.settle(self.queue.expire(self.clock.now()))

    def close(self) -> None:
        """Stop the timer and refuse the calls that wait."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        for future in self.waiting.values():
            if not future.done():
                future.set_result(Error(self.refuse(RefusalReason.DRAINING)))

    def refuse(self, reason: RefusalReason) -> Refusal:
        """Return the refusal of a call that got no slot."""
        return Refusal(
            outcome=Outcome.NOT_RUN,
            reason=reason,
            retry_after_s=1.0 if reason is RefusalReason.DRAINING else 0.0,
            host_id=self.queue.host_id,
        )
