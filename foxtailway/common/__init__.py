"""Failures and clocks that all packages share."""

from foxtailway.common.clock import Clock, ManualClock, MonotonicClock
from foxtailway.common.failure import Failure, FailureKind, Step

__all__ = ["Clock", "Failure", "FailureKind", "ManualClock", "MonotonicClock", "Step"]
