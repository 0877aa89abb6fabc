"""Admission of calls to the local upstream."""

from collections import Counter
from dataclasses import dataclass

from foxtailway.model.snapshot import Cluster
from foxtailway.routing.admission_decision import (
    AdmissionDecision,
    Admitted,
    PendingCall,
    Refused,
)
from foxtailway.routing.limit import AdaptiveLimit, LimitPolicy
from foxtailway.routing.outcome import Outcome, Refusal, RefusalReason
from foxtailway.routing.queue_order import NewestFirstUnderOverload, QueueOrder

__all__ = ["AdmissionQueue", "make_admission_queue"]


@dataclass(frozen=True, slots=True, kw_only=True)
class WaitingCall:
    """Queued call with its sequence number and the time at which its wait ends."""

    call: PendingCall
    sequence: int
    expires_at: float


class AdmissionQueue:
    """Admission queue of one upstream: a concurrency limit and a bounded queue.

    Parameters
    ----------
    host_id : str
        Host of the upstream, reported in refusals.
    limit_policy : LimitPolicy
        Limit on the calls that run concurrently.
    n_queued : int
        Largest number of queued calls.
    queue_timeout_s : float
        Longest time that a call waits in the queue, in seconds.
    queue_order : QueueOrder, optional
        Order of calls of the same priority and caller; newest first under
        overload by default.

    Notes
    -----
    A free slot goes to a call with the lowest priority value and, among these,
    of the caller with the fewest running calls. If the queue is too long, a call
    with the highest priority value is refused and, among these, of the caller
    with the most queued calls; this may be the new call itself. A refused call
    is guaranteed not to have run. Each method that changes the queue returns its
    decisions, which may concern other calls than its argument.
    """

    def __init__(
        self,
        *,
        host_id: str,
        limit_policy: LimitPolicy,
        n_queued: int,
        queue_timeout_s: float,
        queue_order: QueueOrder | None = None,
    ) -> None:
        self.host_id = host_id
        self.limit_policy = limit_policy
        self.n_queued = n_queued
        self.queue_timeout_s = queue_timeout_s
        self.queue_order = queue_order or NewestFirstUnderOverload()
        self.running: dict[str, PendingCall] = {}
        self.waiting: dict[str, WaitingCall] = {}
        self.n_running_by_caller: Counter[str] = Counter()
        self.n_waiting_by_caller: Counter[str] = Counter()
        self.n_enqueued = 0
        self.is_draining = False

    def reconfigure(self, cluster: Cluster) -> None:
        """Apply the settings of `cluster`; queued calls keep their time limits."""
        self.n_queued = cluster.n_queued
        self.queue_timeout_s = cluster.queue_timeout_s
        if self.limit_policy.n_slots != cluster.n_slots:
            self.limit_policy = AdaptiveLimit(n_slots=cluster.n_slots)

    def start_draining(self) -> None:
        """Refuse new calls from now on; queued and running calls continue."""
        self.is_draining = True

    def offer(self, call: PendingCall, now: float) -> tuple[AdmissionDecision, ...]:
        """Request a slot for a call.

        Parameters
        ----------
        call : PendingCall
            Call that is neither queued nor running.
        now : float
            Time in seconds.

        Returns
        -------
        tuple of AdmissionDecision
            Decisions made now; none concerns `call` if it is queued.
        """
        if self.is_draining:
            return (self.refuse(call, RefusalReason.DRAINING, 0.0),)
        if call.deadline <= now:
            return (self.refuse(call, RefusalReason.EXPIRED, 0.0),)
        decisions = list(self.expire(now))
        self.queue_order.observe(n_waiting=len(self.waiting), now=now)
        if not self.waiting and len(self.running) < self.limit_policy.limit():
            return (*decisions, self.admit(call, now))
        self.enqueue(call, now)
        decisions.extend(self.fill_slots(now))
        if len(self.waiting) > self.n_queued:
            decisions.append(self.drop_excess_call(now))
        return tuple(decisions)

    def release(
        self, call_id: str, now: float, latency_s: float, is_success: bool
    ) -> tuple[AdmissionDecision, ...]:
        """Release the slot of a call that ended and admit queued calls.

        Parameters
        ----------
        call_id : str
            Admitted call; an unknown one is ignored.
        now : float
            Time in seconds.
        latency_s : float
            Run time of the call at the upstream, in seconds.
        is_success : bool
            Whether the upstream responded.

        Returns
        -------
        tuple of AdmissionDecision
            Decisions about queued calls.
        """
        call = self.running.get(call_id)
        if call is None:
            return ()
        self.limit_policy.record(
            latency_s=latency_s,
            is_success=is_success,
            n_running=len(self.running),
            now=now,
        )
        self.remove_running(call)
        return (*self.expire(now), *self.fill_slots(now))

    def cancel(self, call_id: str, now: float) -> tuple[AdmissionDecision, ...]:
        """Remove a queued or running call that its caller cancelled.

        The slot of a running call is released, so the call must be stopped first.
        """
        waiting = self.waiting.get(call_id)
        if waiting is not None:
            self.remove_waiting(waiting)
            return ()
        return self.release(call_id, now, 0.0, False)

    def expire(self, now: float) -> tuple[AdmissionDecision, ...]:
        """Refuse the queued calls whose deadline or longest wait has passed."""
        if not self.waiting:
            return ()
        late = [entry for entry in self.waiting.values() if entry.expires_at <= now]
        return tuple(self.refuse_expired(entry, now) for entry in late)

    def next_expiry(self) -> float | None:
        """Return the time at which the next queued call expires; None for none."""
        return min((entry.expires_at for entry in self.waiting.values()), default=None)

    def enqueue(self, call: PendingCall, now: float) -> None:
        """Add a call to the queue."""
        self.n_enqueued += 1
        self.waiting[call.call_id] = WaitingCall(
            call=call,
            sequence=self.n_enqueued,
            expires_at=min(call.deadline, now + self.queue_timeout_s),
        )
        self.n_waiting_by_caller[call.caller] += 1

    def fill_slots(self, now: float) -> list[AdmissionDecision]:
        """Admit queued calls while slots are free and return the decisions."""
        decisions: list[AdmissionDecision] = []
        while self.waiting and len(self.running) < self.limit_policy.limit():
            entry = self.select_next(now)
            self.remove_waiting(entry)
            decisions.append(self.admit(entry.call, now))
        return decisions

    def admit(self, call: PendingCall, now: float) -> Admitted:
        """Assign a slot to a call."""
        self.running[call.call_id] = call
        self.n_running_by_caller[call.caller] += 1
        return Admitted(call_id=call.call_id)

    def select_next(self, now: float) -> WaitingCall:
        """Return the queued call that gets the next free slot."""
        sign = self.sequence_sign(now)
        return min(
            self.waiting.values(),
            key=lambda entry: (
                entry.call.priority,
                self.n_running_by_caller[entry.call.caller],
                sign * entry.sequence,
            ),
        )

    def drop_excess_call(self, now: float) -> Refused:
        """Refuse one queued call because the queue is too long.

        It has the highest priority value and, among these, the caller with the
        most queued calls; of these it is the last in the queue order.
        """
        sign = self.sequence_sign(now)
        entry = max(
            self.waiting.values(),
            key=lambda entry: (
                entry.call.priority,
                self.n_waiting_by_caller[entry.call.caller],
                sign * entry.sequence,
            ),
        )
        self.remove_waiting(entry)
        return self.refuse(entry.call, RefusalReason.OVERLOADED, self.queue_timeout_s)

    def sequence_sign(self, now: float) -> int:
        """Return 1 if the oldest call is served first, otherwise -1."""
        return -1 if self.queue_order.is_newest_first(now) else 1

    def refuse_expired(self, entry: WaitingCall, now: float) -> Refused:
        """Refuse a queued call whose deadline or longest wait has passed."""
        self.remove_waiting(entry)
        if entry.call.deadline <= now:
            return self.refuse(entry.call, RefusalReason.EXPIRED, 0.0)
        return self.refuse(entry.call, RefusalReason.OVERLOADED, self.queue_timeout_s)

    def remove_waiting(self, entry: WaitingCall) -> None:
        """Remove a call from the queue."""
        del self.waiting[entry.call.call_id]
        decrement(self.n_waiting_by_caller, entry.call.caller)

    def remove_running(self, call: PendingCall) -> None:
        """Release the slot of a call."""
        del self.running[call.call_id]
        decrement(self.n_running_by_caller, call.caller)

    def refuse(
        self, call: PendingCall, reason: RefusalReason, retry_after_s: float
    ) -> Refused:
        """Return the decision that a call is refused as not run."""
        refusal = Refusal(
            outcome=Outcome.NOT_RUN,
            reason=reason,
            retry_after_s=retry_after_s,
            host_id=self.host_id,
        )
        return Refused(call_id=call.call_id, refusal=refusal)


def decrement(counter: Counter[str], name: str) -> None:
    """Decrement the count of a name and delete it at zero."""
    counter[name] -= 1
    if counter[name] <= 0:
        del counter[name]


def make_admission_queue(*, host_id: str, cluster: Cluster) -> AdmissionQueue:
    """Return a queue with the default policies for the upstream of a cluster."""
    return AdmissionQueue(
        host_id=host_id,
        limit_policy=AdaptiveLimit(n_slots=cluster.n_slots),
        n_queued=cluster.n_queued,
        queue_timeout_s=cluster.queue_timeout_s,
    )
