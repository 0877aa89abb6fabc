"""Failures, clocks and text formats shared by every package."""

from foxtailway.common.clock import Clock, ManualClock, MonotonicClock
from foxtailway.common.failure import Failure, FailureKind, Step
from foxtailway.common.finding import Finding
from foxtailway.common.ini import (
    IniDocument,
    IniEntry,
    IniSection,
    parse_ini,
    read_ini,
)
from foxtailway.common.quantity import (
    format_duration,
    format_size,
    parse_duration,
    parse_size,
)

__all__ = [
    "Clock",
    "Failure",
    "FailureKind",
    "Finding",
    "IniDocument",
    "IniEntry",
    "IniSection",
    "ManualClock",
    "MonotonicClock",
    "Step",
    "format_duration",
    "format_size",
    "parse_duration",
    "parse_ini",
    "parse_size",
    "read_ini",
]
