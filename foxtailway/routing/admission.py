"""Admission of calls to the upstream beside the node."""

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
    """Hold a call in the queue."""

    call: PendingCall
    sequence: int
    expires_at: float


class AdmissionQueue:
    """Guard the slots of one upstream with a limit and a short queue.

    Parameters
    ----------
    host_id : str
        Host of the upstream, named in refusals.
    limit_policy : LimitPolicy
        Number of calls that may run.
    n_queued : int
        Calls that may wait.
    queue_timeout_s : float
        Longest wait, in seconds.
    queue_order : QueueOrder, optional
        Order of calls of the same priority and caller; by default newest
        first under overload.

    Notes
    -----
    Freed slots go to the lowest priority value, then to the caller that has
    the fewest calls running. A full queue drops a call of the highest priority
    value and, within it, of the caller that has the most calls waiting; this
    may be the new call itself. Every rejected call truly did not run. All
    methods that change the queue return decisions, possibly about other calls
    than the one they were called for.
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
        self.n_offered = 0
        self.is_draining = False

    def reconfigure(self, cluster: Cluster) -> None:
        """Take over changed settings; waiting calls keep their time limit."""
        self.n_queued = cluster.n_queued
        self.queue_timeout_s = cluster.queue_timeout_s
        if self.limit_policy.n_slots != cluster.n_slots:
            self.limit_policy = AdaptiveLimit(n_slots=cluster.n_slots)

    def start_draining(self) -> None:
        """Refuse new calls from now on; waiting and running ones go on."""
        self.is_draining = True

    def offer(self, call: PendingCall, now: float) -> tuple[AdmissionDecision, ...]:
        """Ask for a slot.

        Parameters
        ----------
        call : PendingCall
            Call that is neither waiting nor running.
        now : float
            Time in seconds.

        Returns
        -------
        tuple of AdmissionDecision
            Decisions made at once; none about `call` while it waits.
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
            decisions.append(self.drop_one(now))
        return tuple(decisions)

    def release(
        self, call_id: str, now: float, latency_s: float, is_success: bool
    ) -> tuple[AdmissionDecision, ...]:
        """Return the slot of a call that ended and hand it on.

        Parameters
        ----------
        call_id : str
            Admitted call; unknown ones are ignored.
        now : float
            Time in seconds.
        latency_s : float
            Time that the upstream took, in seconds.
        is_success : bool
            Whether the upstream answered.

        Returns
        -------
        tuple of AdmissionDecision
            Decisions about waiting calls.
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
        """Forget a call whose caller went away, waiting or running.

        A running call gives up its slot, so it must have been stopped first.
        """
        waiting = self.waiting.get(call_id)
        if waiting is not None:
            self.remove_waiting(waiting)
            return ()
        return self.release(call_id, now, 0.0, False)

    def expire(self, now: float) -> tuple[AdmissionDecision, ...]:
        """Reject the calls that waited too long."""
        if not self.waiting:
            return ()
        late = [entry for entry in self.waiting.values() if entry.expires_at <= now]
        return tuple(self.reject_late(entry, now) for entry in late)

    def next_expiry(self) -> float | None:
        """Return the time at which `expire` has work, or None."""
        return min((entry.expires_at for entry in self.waiting.values()), default=None)

    def enqueue(self, call: PendingCall, now: float) -> None:
        """Append a call to the queue."""
        self.n_offered += 1
        self.waiting[call.call_id] = WaitingCall(
            call=call,
            sequence=self.n_offered,
            expires_at=min(call.deadline, now + self.queue_timeout_s),
        )
        self.n_waiting_by_caller[call.caller] += 1

    def fill_slots(self, now: float) -> list[AdmissionDecision]:
        """Admit waiting calls while slots are free."""
        decisions: list[AdmissionDecision] = []
        while self.waiting and len(self.running) < self.limit_policy.limit():
            entry = self.select_next(now)
            self.remove_waiting(entry)
            decisions.append(self.admit(entry.call, now))
        return decisions

    def admit(self, call: PendingCall, now: float) -> Admitted:
        """Give a slot to a call."""
        self.running[call.call_id] = call
        self.n_running_by_caller[call.caller] += 1
        return Admitted(call_id=call.call_id)

    def select_next(self, now: float) -> WaitingCall:
        """Return the waiting call that gets the next slot."""
        sign = self.sequence_sign(now)
        return min(
            self.waiting.values(),
            key=lambda entry: (
                entry.call.priority,
                self.n_running_by_caller[entry.call.caller],
                sign * entry.sequence,
            ),
        )

    def drop_one(self, now: float) -> Refused:
        """Reject the waiting call that the queue can best do without."""
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
        """Return 1 when older calls are served first, otherwise -1."""
        return -1 if self.queue_order.is_newest_first(now) else 1

    def reject_late(self, entry: WaitingCall, now: float) -> Refused:
        """Reject a call whose wait is over."""
        self.remove_waiting(entry)
        if entry.call.deadline <= now:
            return self.refuse(entry.call, RefusalReason.EXPIRED, 0.0)
        return self.refuse(entry.call, RefusalReason.OVERLOADED, self.queue_timeout_s)

    def remove_waiting(self, entry: WaitingCall) -> None:
        """Remove a call from the queue."""
        del self.waiting[entry.call.call_id]
        decrement(self.n_waiting_by_caller, entry.call.caller)

    def remove_running(self, call: PendingCall) -> None:
        """Give back the slot of a call."""
        del self.running[call.call_id]
        decrement(self.n_running_by_caller, call.caller)

    def refuse(
        self, call: PendingCall, reason: RefusalReason, retry_after_s: float
    ) -> Refused:
        """Return the rejection of a call."""
        refusal = Refusal(
            outcome=Outcome.NOT_RUN,
            reason=reason,
            retry_after_s=retry_after_s,
            host_id=self.host_id,
        )
        return Refused(call_id=call.call_id, refusal=refusal)


def decrement(counter: Counter[str], name: str) -> None:
    """Count down and forget names that reach zero."""
    counter[name] -= 1
    if counter[name] <= 0:
        del counter[name]


def make_admission_queue(*, host_id: str, cluster: Cluster) -> AdmissionQueue:
    """Return a queue with the default policies for an upstream of a cluster."""
    return AdmissionQueue(
        host_id=host_id,
        limit_policy=AdaptiveLimit(n_slots=cluster.n_slots),
        n_queued=cluster.n_queued,
        queue_timeout_s=cluster.queue_timeout_s,
    )
