"""Admission control for slots for which requests of several urgencies compete."""

from foxtailway.traffic.call_outcomes import CallOutcomes
from foxtailway.traffic.cold_start import ColdStartLimiter
from foxtailway.traffic.demand import CALL_URGENCY, Demand
from foxtailway.traffic.slot_queue import QueuedRequest, SlotQueue

__all__ = ["ContendedSlotQueue", "compute_free_hold"]

# Share of the time that a request can wait and still be in time that its expected wait
# may take; the rest covers more urgent arrivals and long runs. A share of the whole
# time until it is due left no wait to kinds that run for half of their target latency.
MAX_WAIT_SHARE = 0.6
# Share of the target latency within which a refusal counts as immediate.
IMMEDIATE_SHARE = 1 / 8
# Shortest time after which an entry asks no further upstreams that are probably full,
# in seconds. An attempt in another region takes up to 25 ms without any wait.
MIN_FREE_HOLD_S = 0.03
# Longest wait of a late request, as a share of the target latency.
LATE_WAIT_SHARE = 1 / 8
# Interval at which `drop_infeasible` is called, in seconds; a request that would be
# refused at its next check is refused at this one.
CHECK_INTERVAL_S = 0.02
# Slots reserved for more urgent requests, as a multiple of the share of these that was
# refused lately and of the number of slots. Refusals of one request at several
# upstreams count at each of them. At least one slot is reserved.
RESERVE_GAIN = 4.0
# Share of the time that more urgent requests can wait that the mean wait for a slot
# behind a longer run may take before slots are reserved. Below it, a reserve only
# leaves slots idle.
RESERVE_SLACK_SHARE = 0.5
# Difference of the served shares from which a request does not wait beside more urgent
# ones that are refused more often.
SHARE_TOLERANCE = 0.05
# Mean `Retry-After` of an empty queue, in seconds: requests that return sooner than
# the load changes are refused again.
MIN_RETRY_AFTER_S = 0.1


class ContendedSlotQueue(SlotQueue):
    """Queue that serves urgent requests first and refuses others early.

    Parameters
    ----------
    n_slots : int
        Requests that the upstream runs at once.
    limiter : ColdStartLimiter or None, default=None
        Limits the requests while the upstream is cold; None for no limit.

    Attributes
    ----------
    demand : Demand
        Recent demand by urgency.
    call_outcomes : CallOutcomes
        Tells which share of the requests of a route starts, by the outcomes of the
        calls that they make.
    n_held_refusals : int
        Requests that were refused after more than an eighth of their target latency.

    Notes
    -----
    Calls of other upstreams are served first: they are short, and a refused call
    wastes the run that made it. Other requests follow by priority and due time, so
    that a request that returns after a refusal, which is due earlier, precedes new
    ones of its kind. A request is queued only if it is expected to finish well before
    it is due, and it is checked once more when an eighth of its target latency has
    passed: it is then confirmed or refused, at no cost to its caller. A request that
    is already late waits for at most that time.

    Requests whose runs are long beside the time that more urgent ones can wait leave a
    slot free, and more while those are refused (trunk reservation). A request does not
    wait if more urgent ones are refused more often. A priority that is served much less
    often than the others precedes them until it has caught up.
    """

    def __init__(
        self, *, n_slots: int, limiter: ColdStartLimiter | None = None
    ) -> None:
        super().__init__(n_slots=n_slots, limiter=limiter)
        self.demand = Demand()
        self.call_outcomes = CallOutcomes()

    def offer(self, request: QueuedRequest, now: float) -> bool | None:
        """Admit, queue or refuse a request."""
        request.offered_at = now - request.held_s
        if not request.is_call and not self.call_outcomes.admits(
            request.kind, request.draw, now
        ):
            return False
        latest_end = request.deadline if request.is_call else request.due_at
        slack_s = latest_end - now - self.run_times.estimate(request.kind)
        self.demand.record_slack(get_urgency(request), max(0.0, slack_s))
        if self.can_start_before_others(request, now):
            self.start(request, now)
            return True
        if not self.can_take(request, now):
            self.demand.record(get_urgency(request), is_served=False, now=now)
            return False
        self.waiting.append(request)
        return None

    def start(self, request: QueuedRequest, now: float) -> None:
        """Take a slot for a request."""
        self.n_running += 1
        self.demand.record(get_urgency(request), is_served=True, now=now)
        self.call_outcomes.record_start(request.kind, now)

    def has_slot_for(self, request: QueuedRequest) -> bool:
        """Return whether a slot is free that is not reserved for more urgent ones."""
        n_free = self.n_slots - self.n_running
        if n_free <= 0 or n_free >= self.n_slots:
            return n_free > 0
        return n_free > self.count_reserved(request)

    def count_reserved(self, request: QueuedRequest) -> int:
        """Return the number of slots that a request leaves to more urgent ones."""
        urgency = get_urgency(request)
        wait_s = self.run_times.estimate(request.kind) / self.n_slots
        refused_shares = [
            1.0 - demand.served_share
            for demand in self.demand.list_more_urgent(urgency)
            if wait_s > RESERVE_SLACK_SHARE * demand.slack_s
        ]
        if not refused_shares or self.demand.is_starved(urgency):
            return 0
        n_reserved = round(RESERVE_GAIN * max(refused_shares) * self.n_slots)
        return min(self.n_slots - 1, max(1, n_reserved))

    def can_start_before_others(self, request: QueuedRequest, now: float) -> bool:
        """Return whether a request can start and precedes those that wait."""
        if not self.has_slot_for(request) or self.find_start_delay(0, now) > 0:
            return False
        sort_key = self.get_sort_key(request)
        return all(self.get_sort_key(other) > sort_key for other in self.waiting)

    def can_take(self, request: QueuedRequest, now: float) -> bool:
        """Return whether `offer` would not refuse a request."""
        if self.can_start_before_others(request, now):
            return True
        if not request.can_wait or self.must_yield(get_urgency(request)):
            return False
        request.offered_at = request.offered_at or now - request.held_s
        run_time_s = self.run_times.estimate(request.kind)
        request.is_late = now + run_time_s > request.due_at
        end = self.estimate_end(request, 0, now)
        return end <= self.get_latest_end(request, now)

    def must_yield(self, urgency: int) -> bool:
        """Return whether more urgent requests are refused more often."""
        demand = self.demand.urgencies.get(urgency)
        if demand is None or urgency == CALL_URGENCY:
            return False
        return any(
            demand.served_share > other.served_share + SHARE_TOLERANCE
            for other in self.demand.list_more_urgent(urgency)
        )

    def get_latest_end(self, request: QueuedRequest, now: float) -> float:
        """Return the latest expected end with which a request is queued."""
        if request.is_call:
            return request.deadline
        run_time_s = self.run_times.estimate(request.kind)
        if request.is_late:
            end = request.offered_at + LATE_WAIT_SHARE * request.target_s + run_time_s
            return min(request.deadline, end)
        slack_s = request.due_at - now - run_time_s
        return now + run_time_s + MAX_WAIT_SHARE * max(0.0, slack_s)

    def estimate_end(self, request: QueuedRequest, n_ahead: int, now: float) -> float:
        """Return the monotonic time at which a queued request is expected to finish.

        The number `n_ahead` is not used; the run times of those ahead are added.
        """
        sort_key = self.get_sort_key(request)
        ahead = [
            self.run_times.estimate(other.kind)
            for other in self.waiting
            if self.get_sort_key(other) <= sort_key
        ]
        start = self.estimate_start(sum(ahead), len(ahead), now)
        return start + self.run_times.estimate(request.kind)

    def estimate_start(self, ahead_s: float, n_ahead: int, now: float) -> float:
        """Return when a request starts behind others that run for `ahead_s` seconds."""
        wait_s = (ahead_s + self.run_times.mean_s) / max(1, self.n_slots)
        return now + max(wait_s, self.find_start_delay(n_ahead, now))

    def get_sort_key(self, request: QueuedRequest) -> tuple[bool, int, float]:
        """Return the sort key of a waiting request; the smallest is served next."""
        urgency = get_urgency(request)
        if urgency != CALL_URGENCY and self.demand.is_starved(urgency):
            urgency = CALL_URGENCY
        is_late = request.is_late and not request.is_call and not request.is_confirmed
        return (is_late, urgency, request.due_at)

    def admit_next(self) -> QueuedRequest | None:
        """Move the next waiting request to a free slot and return it."""
        if not self.waiting or self.n_running >= self.n_slots:
            return None
        chosen = min(self.waiting, key=self.get_sort_key)
        if not self.has_slot_for(chosen):
            return None
        self.waiting.remove(chosen)
        self.start(chosen, self.demand.updated_at)
        return chosen

    def drop_infeasible(self, now: float) -> list[QueuedRequest]:
        """Remove and return the requests that are refused now."""
        kept: list[QueuedRequest] = []
        dropped: list[QueuedRequest] = []
        ahead_s = 0.0
        for request in sorted(self.waiting, key=self.get_sort_key):
            run_time_s = self.run_times.estimate(request.kind)
            start = self.estimate_start(ahead_s, len(kept), now)
            if self.must_drop(request, start + run_time_s, now):
                dropped.append(request)
                self.demand.record(get_urgency(request), is_served=False, now=now)
                age_s = now - request.offered_at
                self.n_held_refusals += age_s > IMMEDIATE_SHARE * request.target_s
            else:
                kept.append(request)
                ahead_s += run_time_s
        self.waiting = kept
        return dropped

    def must_drop(self, request: QueuedRequest, end: float, now: float) -> bool:
        """Return whether a request that is expected to finish at `end` is refused."""
        if end > request.deadline:
            return True
        if request.is_call or request.is_confirmed:
            return False
        age_s = now + CHECK_INTERVAL_S - request.offered_at
        if age_s < IMMEDIATE_SHARE * request.target_s:
            return False
        request.is_confirmed = end <= self.get_latest_end(request, now)
        return not request.is_confirmed

    def estimate_retry_after(self) -> float:
        """Return the time until the queue has drained, in seconds."""
        total_s = sum(self.run_times.estimate(other.kind) for other in self.waiting)
        return max(MIN_RETRY_AFTER_S, total_s / max(1, self.n_slots))


def get_urgency(request: QueuedRequest) -> int:
    """Return the urgency of a request; the smallest is served first."""
    return CALL_URGENCY if request.is_call else request.priority


def compute_free_hold(target_s: float) -> float:
    """Return for how long a request may be held before it is refused, in seconds.

    Parameters
    ----------
    target_s : float
        Target latency of the route, in seconds.
    """
    return max(MIN_FREE_HOLD_S, IMMEDIATE_SHARE * target_s)
