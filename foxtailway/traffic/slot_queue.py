"""Admission control and queueing for the slots of one upstream."""

from dataclasses import dataclass

from foxtailway.traffic.cold_start import ColdStartLimiter
from foxtailway.traffic.run_times import RunTimes

__all__ = ["QueuedRequest", "SlotQueue"]

# Share of the time until a request is due within which it is expected to finish; the
# rest covers the variance of run times.
ON_TIME_SHARE = 0.8
# Share of the longest mean run time of a common kind up to which a kind is short. The
# utility of a late response is commonly three tenths of that of a timely one; the
# share is slightly larger.
SHORT_RUN_SHARE = 0.4


@dataclass(slots=True, kw_only=True, eq=False)
class QueuedRequest:
    """Request for a slot of the upstream.

    Parameters
    ----------
    priority : int
        Priority; 0 is the highest.
    due_at : float
        Monotonic time after which a response is late, in seconds.
    deadline : float
        Monotonic time at which the caller stops waiting, in seconds.
    kind : str
        Name of the group by which run times are averaged, such as the route.
    can_wait : bool
        Whether the request may be queued; otherwise it is refused if no slot is free.
    is_late : bool, default=False
        Whether a response would be late even without a queue; set by
        `SlotQueue.can_take`.
    is_call : bool, default=False
        Whether a request that runs at another upstream waits for the response.
    target_s : float, default=0.0
        Target latency of the route, in seconds; 0 if unknown.
    held_s : float, default=0.0
        Time for which other upstreams held the request before they refused it, in
        seconds.
    draw : float, default=0.0
        Random number from 0 to 1 that is the same at all upstreams that are asked to
        run the request; those with a large number are refused first.
    offered_at : float, default=0.0
        Monotonic time at which the request was offered, less `held_s`, in seconds; set
        by the queue.
    is_confirmed : bool, default=False
        Whether the queue has decided to keep the request beyond the time within which
        a refusal is immediate; set by the queue.
    """

    priority: int
    due_at: float
    deadline: float
    kind: str
    can_wait: bool
    is_late: bool = False
    is_call: bool = False
    target_s: float = 0.0
    held_s: float = 0.0
    draw: float = 0.0
    offered_at: float = 0.0
    is_confirmed: bool = False


class SlotQueue:
    """Queue of the requests for the slots of one upstream.

    Parameters
    ----------
    n_slots : int
        Requests that the upstream runs at once.
    limiter : ColdStartLimiter or None, default=None
        Limits the requests while the upstream is cold; None for no limit.

    Attributes
    ----------
    n_running : int
        Requests that occupy a slot.
    waiting : list of QueuedRequest
        Queued requests, in no particular order.
    n_held_refusals : int
        Requests that were refused after they had waited.
    run_times : RunTimes
        Mean run times of the requests.

    Notes
    -----
    Requests are served by priority and then by the time at which they are due. A
    request is queued only if it is expected to finish in time behind those ahead of
    it, so that under sustained overload the slots run requests with a timely
    response. A request that runs much shorter than others may wait until its deadline.
    A request that would be late even without a queue waits behind all others, at most
    until its deadline. A waiting request that is no longer expected to finish before
    its deadline is refused at once. The argument `now` of the methods is the monotonic
    time in seconds.
    """

    def __init__(
        self, *, n_slots: int, limiter: ColdStartLimiter | None = None
    ) -> None:
        self.n_slots = n_slots
        self.limiter = limiter
        self.n_running = 0
        self.waiting: list[QueuedRequest] = []
        self.run_times = RunTimes()
        self.n_held_refusals = 0

    @property
    def n_busy(self) -> int:
        """Number of requests that run or wait."""
        return self.n_running + len(self.waiting)

    def offer(self, request: QueuedRequest, now: float) -> bool | None:
        """Admit, queue or refuse a request.

        Returns
        -------
        bool or None
            True if the request occupies a slot, None if it is queued, and False if it
            is refused.
        """
        if self.can_start(now):
            self.n_running += 1
            return True
        if not self.can_take(request, now):
            return False
        self.waiting.append(request)
        return None

    @property
    def has_free_slot(self) -> bool:
        """Whether a slot is free and no request waits for it."""
        return self.n_running < self.n_slots and not self.waiting

    def can_start(self, now: float) -> bool:
        """Return whether a request would be run at once."""
        return self.has_free_slot and self.find_start_delay(0, now) <= 0

    def find_start_delay(self, n_ahead: int, now: float) -> float:
        """Return for how long a cold upstream may not get a request, in seconds."""
        return 0.0 if self.limiter is None else self.limiter.find_delay(n_ahead, now)

    def can_take(self, request: QueuedRequest, now: float) -> bool:
        """Return whether `offer` would not refuse a request."""
        if self.can_start(now):
            return True
        if not request.can_wait:
            return False
        run_time_s = self.run_times.estimate(request.kind)
        request.is_late = now + run_time_s > request.due_at
        return self.is_admissible(request, self.count_ahead(request), now)

    def count_ahead(self, request: QueuedRequest) -> int:
        """Return the number of waiting requests that are served before this one."""
        sort_key = self.get_sort_key(request)
        return sum(self.get_sort_key(other) <= sort_key for other in self.waiting)

    def is_admissible(self, request: QueuedRequest, n_ahead: int, now: float) -> bool:
        """Return whether the request is expected to finish in time if it is queued."""
        latest_end = request.deadline
        if not request.is_late and not self.is_short(request):
            latest_end = now + ON_TIME_SHARE * (request.due_at - now)
        return self.estimate_end(request, n_ahead, now) <= latest_end

    def is_short(self, request: QueuedRequest) -> bool:
        """Return whether a request is short compared with the upstream's longest kind.

        Even a late response to a short request has a higher utility per second of slot
        time than a timely response to the others. Calls between upstreams are short,
        and refusing one wastes the run that made it.
        """
        run_time_s = self.run_times.estimate(request.kind)
        return run_time_s <= SHORT_RUN_SHARE * self.run_times.longest_common_s

    def estimate_end(self, request: QueuedRequest, n_ahead: int, now: float) -> float:
        """Return the monotonic time at which a queued request is expected to finish."""
        wait_s = (n_ahead + 1) * self.run_times.mean_s / max(1, self.n_slots)
        wait_s = max(wait_s, self.find_start_delay(n_ahead, now))
        return now + wait_s + self.run_times.estimate(request.kind)

    def get_sort_key(self, request: QueuedRequest) -> tuple[bool, int, float]:
        """Return the sort key of a waiting request; the smallest is served next."""
        return (request.is_late, request.priority, request.due_at)

    def release(self) -> None:
        """Release the slot of a finished request."""
        self.n_running -= 1

    def admit_next(self) -> QueuedRequest | None:
        """Move the next waiting request to a free slot and return it.

        Returns
        -------
        QueuedRequest or None
            None if no request waits or no slot is free.
        """
        if not self.waiting or self.n_running >= self.n_slots:
            return None
        chosen = min(self.waiting, key=self.get_sort_key)
        self.waiting.remove(chosen)
        self.n_running += 1
        return chosen

    def estimate_retry_after(self) -> float:
        """Return when a refused request may return, in seconds; 0 if unknown."""
        return 0.0

    def discard(self, request: QueuedRequest) -> None:
        """Remove a request from the queue if it waits there."""
        if request in self.waiting:
            self.waiting.remove(request)

    def drop_infeasible(self, now: float) -> list[QueuedRequest]:
        """Remove and return the requests that cannot finish before their deadline."""
        feasible: list[QueuedRequest] = []
        dropped: list[QueuedRequest] = []
        for request in sorted(self.waiting, key=self.get_sort_key):
            if self.estimate_end(request, len(feasible), now) <= request.deadline:
                feasible.append(request)
            else:
                dropped.append(request)
        self.n_held_refusals += len(dropped)
        self.waiting = feasible
        return dropped
