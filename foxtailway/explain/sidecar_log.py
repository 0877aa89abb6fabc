"""Parsing of the logs of sidecars."""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

__all__ = [
    "LogEvent",
    "ParsedLog",
    "read_events",
    "select_request",
    "select_window",
]

# Fields of a log line that are attributes of `LogEvent`.
COMMON_FIELDS = frozenset({"time", "host", "event", "request_id"})
# Errors of a line that holds no event; too deep nesting raises RecursionError.
LINE_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class LogEvent:
    """Event of one log line.

    Parameters
    ----------
    time_s : float
        Unix time by the clock of the host that wrote the line, in seconds.
    host, event, request_id : str
        Host, name of the event and request identifier, which is empty for events
        of the process.
    fields : dict of str to object
        Further fields of the event, by name.
    """

    time_s: float
    host: str
    event: str
    request_id: str
    fields: dict[str, object] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class ParsedLog:
    """Events of log lines.

    Parameters
    ----------
    events : tuple of LogEvent
        Events, sorted by time.
    n_unreadable : int
        Number of non-empty lines without a valid event.
    """

    events: tuple[LogEvent, ...]
    n_unreadable: int


def read_events(lines: Iterable[str]) -> ParsedLog:
    """Return the events of log lines, sorted by time.

    Text before the first brace of a line, such as the name of a process, is
    ignored.
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
    """Return the event of a log line; None if it has no valid event."""
    json_start = line.find("{")
    if json_start < 0:
        return None
    try:
        record = json.loads(line[json_start:])
        return LogEvent(
            time_s=float(record["time"]),
            host=str(record["host"]),
            event=str(record["event"]),
            request_id=str(record.get("request_id", "")),
            fields={
                name: value
                for name, value in record.items()
                if name not in COMMON_FIELDS
            },
        )
    except LINE_ERRORS:
        return None


def select_window(parsed_log: ParsedLog, since: float, until: float) -> ParsedLog:
    """Return a log without the events before `since`, and from `until` on.

    Parameters
    ----------
    parsed_log : ParsedLog
        Log to select from.
    since, until : float
        Unix times in seconds.
    """
    events = tuple(
        event for event in parsed_log.events if since <= event.time_s < until
    )
    return replace(parsed_log, events=events)


def select_request(events: Iterable[LogEvent], request_id: str) -> tuple[LogEvent, ...]:
    """Return the events of the request with the given identifier."""
    return tuple(event for event in events if event.request_id == request_id)
