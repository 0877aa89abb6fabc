"""Waiting of requests for a slot of the upstream."""

import asyncio
from collections.abc import Callable
from zlib import crc32

from foxtailway.sidecar.call import UpstreamCall
from foxtailway.traffic.cold_start import ColdStartLimiter
from foxtailway.traffic.slot_queue import QueuedRequest, SlotQueue

__all__ = ["SlotWaiters", "make_queued_request"]

# Interval at which queued requests are checked for refusal, and for admission by a
# cold upstream.
QUEUE_CHECK_INTERVAL_S = 0.02
# Largest value of `crc32`.
MAX_CHECKSUM = 0xFFFF_FFFF
# Longest `Retry-After` of a cold upstream. Clients honour it up to a third of the time
# that they have left, so that a longer one makes no difference.
MAX_COLD_RETRY_AFTER_S = 5.0


class SlotWaiters:
    """Tasks that wait for their requests to be admitted by a slot queue.

    Parameters
    ----------
    queue : SlotQueue
        Decides which requests are admitted.
    limiter : ColdStartLimiter
        Counts the requests that have been admitted and not been sent.
    is_closed : callable
        Tells whether all queued requests are refused, as in an evacuation of the zone.

    Attributes
    ----------
    waiters : dict of QueuedRequest to asyncio.Future
        Futures of the queued requests; the result tells whether one is admitted.
    """

    def __init__(
        self,
        *,
        queue: SlotQueue,
        limiter: ColdStartLimiter,
        is_closed: Callable[[], bool],
    ) -> None:
        self.queue = queue
        self.limiter = limiter
        self.is_closed = is_closed
        self.loop = asyncio.get_running_loop()
        self.waiters: dict[QueuedRequest, asyncio.Future[bool]] = {}
        self.timer: asyncio.TimerHandle | None = None

    async def wait(self, request: QueuedRequest) -> bool:
        """Wait for a slot; return False if the request is refused instead."""
        admitted = self.queue.offer(request, self.loop.time())
        if admitted is not None:
            if admitted:
                self.limiter.reserve()
            return admitted
        waiter = self.loop.create_future()
        self.waiters[request] = waiter
        self.schedule_check()
        try:
            return await waiter
        except asyncio.CancelledError:
            self.waiters.pop(request, None)
            if waiter.done() and not waiter.cancelled() and waiter.result():
                self.release_unused()
            else:
                self.queue.discard(request)
            raise

    def schedule_check(self) -> None:
        """Schedule a check of the queued requests unless one is scheduled."""
        if self.timer is None:
            self.timer = self.loop.call_later(QUEUE_CHECK_INTERVAL_S, self.check)

    def check(self) -> None:
        """Admit the queued requests that may start, and refuse those that can't finish.

        A request may wait for a cold upstream while no other one ends.
        The next check is scheduled first, so that an error does not end the checks.
        """
        self.timer = None
        if self.queue.waiting:
            self.schedule_check()
        dropped = self.queue.drop_infeasible(self.loop.time())
        if self.is_closed():
            dropped += self.queue.waiting
            self.queue.waiting = []
        for request in dropped:
            self.notify(request, False)
        self.admit_waiting()

    def notify(self, request: QueuedRequest, is_admitted: bool) -> None:
        """Admit or refuse a queued request.

        The slot is released if the caller of the request no longer waits.
        """
        waiter = self.waiters.pop(request, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(is_admitted)
        elif is_admitted:
            self.release_unused()

    def release_unused(self) -> None:
        """Release the slot of a request that is not sent."""
        self.limiter.cancel_reservation()
        self.release()

    def release(self) -> None:
        """Release a slot and admit the next queued request."""
        self.queue.release()
        self.admit_waiting()

    def admit_waiting(self) -> None:
        """Admit queued requests while slots and permits of a cold upstream are free."""
        while self.queue.find_start_delay(0, self.loop.time()) <= 0:
            request = self.queue.admit_next()
            if request is None:
                return
            self.limiter.reserve()
            self.notify(request, True)

    def estimate_retry_after(self) -> float:
        """Return when a refused request may return, in seconds; 0 if unknown.

        At a cold upstream, that is when those that wait have got their permits, or when
        it is warm.
        """
        cold_s = self.queue.find_start_delay(len(self.queue.waiting), self.loop.time())
        return max(
            self.queue.estimate_retry_after(), min(cold_s, MAX_COLD_RETRY_AFTER_S)
        )

    def close(self) -> None:
        """Stop the checks of the queue."""
        if self.timer is not None:
            self.timer.cancel()


def make_queued_request(call: UpstreamCall) -> QueuedRequest:
    """Return the request for a slot that a call makes."""
    return QueuedRequest(
        priority=call.priority,
        due_at=call.due_at,
        deadline=call.deadline,
        kind=call.route,
        can_wait=call.can_wait,
        is_call=call.is_call,
        target_s=call.target_s,
        held_s=call.held_s,
        draw=crc32(call.request_id.encode()) / MAX_CHECKSUM,
    )
