"""Admission of requests to the slots of one upstream."""

from dataclasses import dataclass

__all__ = ["QueuedRequest", "SlotQueue"]

# Run time assumed before any was measured, in seconds.
INITIAL_RUN_TIME_S = 0.05
RUN_TIME_GAIN = 0.1


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
    arrived_at : float
        Time of arrival, in seconds.
    """

    priority: int
    due_at: float
    deadline: float
    kind: str
    arrived_at: float


class SlotQueue:
    """Order requests for the slots of an upstream and refuse hopeless ones.

    Parameters
    ----------
    n_slots : int
        Requests that the upstream runs at once.

    Notes
    -----
    Requests that can still be answered in time go first, by rank and then by
    the time at which they are due; the others run with what is left. A request
    is refused as soon as the requests ahead of it leave no time to run it.
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
        if not self.is_servable(request, len(self.list_ahead(request, now)), now):
            return False
        self.waiting.append(request)
        return None

    def list_ahead(self, request: QueuedRequest, now: float) -> list[QueuedRequest]:
        """Return the waiting requests that are served before a request."""
        rank = self.rank(request, now)
        return [other for other in self.waiting if self.rank(other, now) <= rank]

    def is_servable(self, request: QueuedRequest, n_ahead: int, now: float) -> bool:
        """Whether the request can finish before its deadline."""
        wait_s = (n_ahead + 1) * self.mean_run_time_s / max(1, self.n_slots)
        run_time_s = self.estimate_run_time(request.kind)
        return now + wait_s + run_time_s <= request.deadline

    def rank(self, request: QueuedRequest, now: float) -> tuple[bool, int, float]:
        """Return the sort key of a waiting request; the least is served next."""
        is_late = now + self.estimate_run_time(request.kind) > request.due_at
        return (is_late, request.priority, request.due_at)

    def release(self) -> None:
        """Give a slot back."""
        self.n_running -= 1

    def take_next(self, now: float) -> QueuedRequest | None:
        """Give a free slot to the next waiting request, if there is one."""
        if not self.waiting or self.n_running >= self.n_slots:
            return None
        chosen = min(self.waiting, key=lambda request: self.rank(request, now))
        self.waiting.remove(chosen)
        self.n_running += 1
        return chosen

    def withdraw(self, request: QueuedRequest) -> None:
        """Forget a waiting request."""
        if request in self.waiting:
            self.waiting.remove(request)

    def drop_hopeless(self, now: float) -> list[QueuedRequest]:
        """Remove and return the waiting requests that cannot finish in time."""
        kept: list[QueuedRequest] = []
        dropped: list[QueuedRequest] = []
        for request in sorted(self.waiting, key=lambda item: self.rank(item, now)):
            if self.is_servable(request, len(kept), now):
                kept.append(request)
            else:
                dropped.append(request)
        self.waiting = kept
        return dropped
