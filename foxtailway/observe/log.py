"""Logging as JSON lines."""

import sys
from datetime import UTC
from typing import TextIO

from logbook import Handler, Logger, LogRecord, StreamHandler
from logbook.compat import RedirectLoggingHandler

from foxtailway.common.failure import Failure
from foxtailway.observe.document import encode_json

__all__ = ["log_failure", "make_log_handler", "make_logging_bridge"]


class JsonFormatter:
    """Formatter of log records as JSON lines.

    Parameters
    ----------
    host_id : str
        Host identifier, written to every line.
    """

    def __init__(self, *, host_id: str) -> None:
        self.host_id = host_id

    def __call__(self, record: LogRecord, handler: Handler) -> str:
        """Return a record as one line of JSON."""
        line = {
            "time": record.time.replace(tzinfo=UTC),
            "level": record.level_name,
            "host": self.host_id,
            "logger": record.channel,
            "message": record.message,
            **record.extra,
        }
        if record.formatted_exception:
            line["exception"] = record.formatted_exception
        return encode_json(line).decode()


def make_log_handler(
    *, host_id: str, level: str, stream: TextIO | None = None
) -> StreamHandler:
    """Return a handler that writes log records as JSON lines.

    Parameters
    ----------
    host_id : str
        Host identifier, written to every line.
    level : str
        Lowest level that is written, for example ``INFO``.
    stream : text stream or None, default=None
        Destination; None for the standard error stream.

    Returns
    -------
    StreamHandler
        Handler to enter with ``applicationbound()``.
    """
    handler = StreamHandler(stream or sys.stderr, level=level)
    handler.formatter = JsonFormatter(host_id=host_id)
    return handler


def make_logging_bridge() -> RedirectLoggingHandler:
    """Return a handler of ``logging`` that forwards records to logbook."""
    return RedirectLoggingHandler()


def log_failure(logger: Logger, failure: Failure, *, action: str) -> None:
    """Log a failure as an error with step, peer, kind and detail.

    Parameters
    ----------
    logger : Logger
        Logger of the caller.
    failure : Failure
        Failure to log.
    action : str
        Message of the log entry: what ended or failed.
    """
    logger.error(
        action,
        extra={
            "step": failure.step.value,
            "peer": failure.peer,
            "kind": failure.kind.value,
            "detail": failure.detail,
        },
    )
