"""Reading of sidecar logs."""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = ["LogEvent", "ParsedLog", "read_events", "select_request"]

COMMON_FIELDS = frozenset({"time", "host", "event", "request_id"})


@dataclass(frozen=True, slots=True, kw_only=True)
class LogEvent:
    """Hold one line of a log.

    Parameters
    ----------
    time_s : float
        Unix time at the host that wrote the line, in seconds.
    host, event, request_id : str
        Host, kind of event and request; no request for events of the process.
    fields : dict of str to object
        What decided the event.
    """

    time_s: float
    host: str
    event: str
    request_id: str
    fields: dict[str, object] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class ParsedLog:
    """Hold the events of logs and the number of lines that hold none."""

    events: tuple[LogEvent, ...]
    n_unreadable: int


def read_events(lines: Iterable[str]) -> ParsedLog:
    """Return the events of lines, in order of time.

    Text before the first brace of a line, such as the name of a process, is
    passed over.
    """
    events = []
    n_unreadable = 0
    for line in lines:
        event = parse_line(line)
        if event is None:
            n_unreadable += bool(line.strip())
        else:
            events.append(event)
    events.sort(key=lambda event: event.time_s)
    return ParsedLog(events=tuple(events), n_unreadable=n_unreadable)


def parse_line(line: str) -> LogEvent | None:
    """Return the event of a line, or None if it holds none."""
    start = line.find("{")
    if start < 0:
        return None
    try:
        members = json.loads(line[start:])
        return LogEvent(
            time_s=float(members["time"]),
            host=str(members["host"]),
            event=str(members["event"]),
            request_id=str(members.get("request_id", "")),
            fields={
                name: value
                for name, value in members.items()
                if name not in COMMON_FIELDS
            },
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def select_request(events: Iterable[LogEvent], request_id: str) -> tuple[LogEvent, ...]:
    """Return the events of one request."""
    return tuple(event for event in events if event.request_id == request_id)
