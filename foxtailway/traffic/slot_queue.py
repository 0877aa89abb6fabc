"""Admission of requests to the slots of one upstream."""

from dataclasses import dataclass

__all__ = ["QueuedRequest", "SlotQueue"]

# Run time assumed before any was measured, in seconds.
INITIAL_RUN_TIME_S = 0.05
RUN_TIME_GAIN = 0.1
# Part of the time until a request is due that its expected end may use; the
# rest covers the spread of run times.
ON_TIME_SHARE = 0.8
# Part of the longest mean run time up to which a kind of request is short. A late
# answer is commonly worth three tenths of a timely one; a little is added.
SHORT_SHARE = 0.4


@dataclass(slots=True, kw_only=True, eq=False)
class QueuedRequest:
    """Describe a request that wants a slot.

    Parameters
    ----------
    priority : int
        Rank; 0 is served first.
    due_at : float
        Time until which an answer is worth most, in seconds.
    deadline : float
        Time at which the caller gives up, in seconds.
    kind : str
        Name under which run times are averaged, such as the route.
    can_wait : bool
        Whether it may queue; otherwise it takes a free slot or none.
    is_late : bool, default=False
        Whether an answer would be late even without a queue; set on arrival.
    """

    priority: int
    due_at: float
    deadline: float
    kind: str
    can_wait: bool
    is_late: bool = False


class SlotQueue:
    """Order requests for the slots of an upstream and refuse hopeless ones.

    Parameters
    ----------
    n_slots : int
        Requests that the upstream runs at once.

    Notes
    -----
    Requests run by rank and then by the time at which they are due. One is
    queued only if those ahead of it leave time to answer it in time, so that
    under lasting overload the slots work for answers that are worth most. Kinds
    that run much shorter than others may wait until their deadline. One that
    would be late even without a queue waits behind all others, until its
    deadline at the longest. A waiting request that can no longer finish is
    refused at once.
    """

    def __init__(self, *, n_slots: int) -> None:
        self.n_slots = n_slots
        self.n_running = 0
        self.waiting: list[QueuedRequest] = []
        self.run_times_s: dict[str, float] = {}
        self.mean_run_time_s = INITIAL_RUN_TIME_S

    @property
    def n_busy(self) -> int:
        """Requests that run or wait."""
        return self.n_running + len(self.waiting)

    def estimate_run_time(self, kind: str) -> float:
        """Return the expected run time of a kind of request, in seconds."""
        return self.run_times_s.get(kind, self.mean_run_time_s)

    def record_run_time(self, kind: str, run_time_s: float) -> None:
        """Learn from a finished run."""
        known = self.run_times_s.get(kind)
        self.run_times_s[kind] = (
            run_time_s
            if known is None
            else known + RUN_TIME_GAIN * (run_time_s - known)
        )
        self.mean_run_time_s += RUN_TIME_GAIN * (run_time_s - self.mean_run_time_s)

    def offer(self, request: QueuedRequest, now: float) -> bool | None:
        """Admit, queue or refuse a request.

        Returns
        -------
        bool or None
            True when a slot is taken, None when the request waits and False
            when it is refused.
        """
        if self.n_running < self.n_slots and not self.waiting:
            self.n_running += 1
            return True
        if not request.can_wait:
            return False
        run_time_s = self.estimate_run_time(request.kind)
        request.is_late = now + run_time_s > request.due_at
        if not self.is_servable(request, self.count_ahead(request), now):
            return False
        self.waiting.append(request)
        return None

    def count_ahead(self, request: QueuedRequest) -> int:
        """Return the number of waiting requests that are served before one."""
        rank = self.rank(request)
        return sum(self.rank(other) <= rank for other in self.waiting)

    def is_servable(self, request: QueuedRequest, n_ahead: int, now: float) -> bool:
        """Whether the request can finish while its answer is worth the slot."""
        limit = request.deadline
        if not request.is_late and not self.is_short(request):
            limit = now + ON_TIME_SHARE * (request.due_at - now)
        return self.estimate_end(request, n_ahead, now) <= limit

    def is_short(self, request: QueuedRequest) -> bool:
        """Whether a request takes little time beside the others of the upstream.

        Even a late answer then pays more for its time in a slot than a timely
        one of the others. Calls that upstreams make of one another are short,
        and a call that is refused wastes the run that made it.
        """
        longest_s = max(self.run_times_s.values(), default=0.0)
        return self.estimate_run_time(request.kind) <= SHORT_SHARE * longest_s

    def estimate_end(self, request: QueuedRequest, n_ahead: int, now: float) -> float:
        """Return when a waiting request is expected to finish, in seconds."""
        wait_s = (n_ahead + 1) * self.mean_run_time_s / max(1, self.n_slots)
        return now + wait_s + self.estimate_run_time(request.kind)

    def rank(self, request: QueuedRequest) -> tuple[bool, int, float]:
        """Return the sort key of a waiting request; the least is served next."""
        return (request.is_late, request.priority, request.due_at)

    def release(self) -> None:
        """Give a slot back."""
        self.n_running -= 1

    def admit_next(self) -> QueuedRequest | None:
        """Give a free slot to the next waiting request, if there is one."""
        if not self.waiting or self.n_running >= self.n_slots:
            return None
        chosen = min(self.waiting, key=self.rank)
        self.waiting.remove(chosen)
        self.n_running += 1
        return chosen

    def discard(self, request: QueuedRequest) -> None:
        """Forget a waiting request."""
        if request in self.waiting:
            self.waiting.remove(request)

    def drop_infeasible(self, now: float) -> list[QueuedRequest]:
        """Remove and return the waiting requests that cannot finish in time."""
        kept: list[QueuedRequest] = []
        dropped: list[QueuedRequest] = []
        for request in sorted(self.waiting, key=self.rank):
            if self.estimate_end(request, len(kept), now) <= request.deadline:
                kept.append(request)
            else:
                dropped.append(request)
        self.waiting = kept
        return dropped
