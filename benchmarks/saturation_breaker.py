"""Saturation breaker, a candidate that the measurements did not support."""

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

THRESHOLD = 0.5
WINDOW_S = 1.0
COOLDOWN_S = 0.5
N_MINIMUM = 20


class BreakerQueue(AdmissionQueue):
    """Refuse all calls for a while when too many waited in vain.

    After the cooldown one call is let through; the breaker closes when it gets
    a slot and opens again when it waits in vain.
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
        """Count the call and close the breaker after a probe."""
        self.admissions.append(now)
        if self.is_probing:
            self.is_probing = False
            self.open_until = None
            self.timeouts.clear()
        return super().admit(call, now)

    def expire(self, now: float) -> tuple[AdmissionDecision, ...]:
        """Count the waits in vain and open the breaker when they are many."""
        late = super().expire(now)
        self.timeouts.extend(now for _ in late)
        for times in (self.admissions, self.timeouts):
            while times and times[0] < now - WINDOW_S:
                times.popleft()
        n_calls = len(self.admissions) + len(self.timeouts)
        is_saturated = (
            n_calls >= N_MINIMUM and len(self.timeouts) >= THRESHOLD * n_calls
        )
        if not late or not (is_saturated or self.is_probing):
            return late
        self.is_probing = False
        self.open_until = now + COOLDOWN_S
        return (*late, *self.shed(now))

    def shed(self, now: float) -> list[Refused]:
        """Reject all waiting calls."""
        entries = list(self.waiting.values())
        for entry in entries:
            self.remove_waiting(entry)
        return [
            self.refuse(entry.call, RefusalReason.OVERLOADED, COOLDOWN_S)
            for entry in entries
        ]
