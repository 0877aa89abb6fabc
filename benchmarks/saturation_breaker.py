"""Admission queue with a circuit breaker for overload, as a benchmark candidate.

The measurements do not support it, so the system does not use it.
"""

from collections import deque
from typing import Any

from foxtailway.routing import (
    AdmissionDecision,
    AdmissionQueue,
    Admitted,
    PendingCall,
    RefusalReason,
    Refused,
)

__all__ = ["BreakerQueue"]

# Share of calls that time out in the queue at which the breaker opens.
TIMEOUT_RATIO_THRESHOLD = 0.5
# Length of the sliding window of the counts.
WINDOW_S = 1.0
# Time that the breaker stays open before it admits a probe.
COOLDOWN_S = 0.5
# Calls in the window below which the breaker stays closed.
MIN_CALLS = 20


class BreakerQueue(AdmissionQueue):
    """Queue that refuses all calls for some time when too many calls time out.

    After the cooldown the breaker is half open and admits one call as a probe. It
    closes if the probe gets a slot and opens again if the probe times out.
    """

    def __init__(self, **settings: Any) -> None:
        super().__init__(**settings)
        self.admissions: deque[float] = deque()
        self.timeouts: deque[float] = deque()
        self.open_until: float | None = None
        self.is_probing = False

    def offer(self, call: PendingCall, now: float) -> tuple[AdmissionDecision, ...]:
        """Refuse the call while the breaker is open."""
        if self.open_until is not None:
            if self.is_probing or now < self.open_until:
                return (self.refuse(call, RefusalReason.OVERLOADED, COOLDOWN_S),)
            self.is_probing = True
        return super().offer(call, now)

    def admit(self, call: PendingCall, now: float) -> Admitted:
        """Count the call; close the breaker if the call is a probe."""
        self.admissions.append(now)
        if self.is_probing:
            self.is_probing = False
            self.open_until = None
            self.timeouts.clear()
        return super().admit(call, now)

    def expire(self, now: float) -> tuple[AdmissionDecision, ...]:
        """Count the calls that time out; open the breaker at the threshold."""
        timed_out = super().expire(now)
        self.timeouts.extend(now for _ in timed_out)
        for times in (self.admissions, self.timeouts):
            while times and times[0] < now - WINDOW_S:
                times.popleft()
        n_calls = len(self.admissions) + len(self.timeouts)
        is_saturated = (
            n_calls >= MIN_CALLS
            and len(self.timeouts) >= TIMEOUT_RATIO_THRESHOLD * n_calls
        )
        if not timed_out or not (is_saturated or self.is_probing):
            return timed_out
        self.is_probing = False
        self.open_until = now + COOLDOWN_S
        return (*timed_out, *self.refuse_waiting(now))

    def refuse_waiting(self, now: float) -> list[Refused]:
        """Refuse all waiting calls."""
        entries = list(self.waiting.values())
        for entry in entries:
            self.remove_waiting(entry)
        return [
            self.refuse(entry.call, RefusalReason.OVERLOADED, COOLDOWN_S)
            for entry in entries
        ]
