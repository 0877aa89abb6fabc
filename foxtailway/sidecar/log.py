"""Event log of the sidecar in JSON lines."""

import json
import os
import time
from collections import deque
from traceback import format_exception

__all__ = ["EventLog"]

# Lines buffered for a slow reader; further lines are dropped and counted.
MAX_PENDING_LINES = 2_000
# Rate limit for lines that belong to requests; lines about the process are exempt.
MAX_REQUEST_LINES_PER_S = 50
# Bound of one traceback, in characters; its end names the failed statement.
MAX_TRACEBACK_LENGTH = 4_000


class EventLog:
    """Write one JSON line for each event without blocking.

    Parameters
    ----------
    host_id : str
        Identifier of the host, written as ``host`` in every line.
    descriptor : int, default=1
        File descriptor to write to.

    Attributes
    ----------
    n_dropped : int
        Lines dropped because of the rate limit or of a slow reader.
    n_errors : int
        Unexpected errors that were written.
    """

    def __init__(self, *, host_id: str, descriptor: int = 1) -> None:
        self.host_id = host_id
        self.descriptor = descriptor
        self.pending_lines: deque[bytes] = deque()
        self.n_dropped = 0
        self.n_errors = 0
        self.current_second = 0
        self.n_request_lines = 0

    def open(self) -> None:
        """Make the descriptor non-blocking."""
        os.set_blocking(self.descriptor, False)

    def write(self, event: str, request_id: str = "", **fields: object) -> None:
        """Write an event; never blocks and never raises for a write failure.

        Parameters
        ----------
        event : str
            Name of the event.
        request_id : str, default=""
            Identifier of the request that the event belongs to; a line with one
            is subject to `MAX_REQUEST_LINES_PER_S`.
        **fields : object
            Further members of the line.
        """
        now = time.time()
        if request_id and not self.admit_request_line(int(now)):
            self.n_dropped += 1
            return
        line: dict[str, object] = {
            "time": round(now, 3),
            "host": self.host_id,
            "event": event,
        }
        if request_id:
            line["request_id"] = request_id
        line.update(fields)
        self.write_line(json.dumps(line, default=str).encode() + b"\n")

    def write_error(
        self, step: str, error: BaseException, request_id: str = "", **fields: object
    ) -> None:
        """Write an unexpected error with its traceback, and count it.

        Parameters
        ----------
        step : str
            What failed.
        error : BaseException
            Error that was raised.
        request_id : str, default=""
            Identifier of the request that failed, if it was one.
        **fields : object
            Further members of the line, such as the peer.
        """
        self.n_errors += 1
        self.write(
            "unexpected_error",
            request_id,
            step=step,
            error=repr(error),
            traceback="".join(format_exception(error))[-MAX_TRACEBACK_LENGTH:],
            **fields,
        )

    def admit_request_line(self, current_second: int) -> bool:
        """Count a line of a request and return whether the rate limit admits it."""
        if current_second != self.current_second:
            self.current_second = current_second
            self.n_request_lines = 0
        self.n_request_lines += 1
        return self.n_request_lines <= MAX_REQUEST_LINES_PER_S

    def write_line(self, line: bytes) -> None:
        """Write as much as the descriptor accepts and buffer the rest."""
        if len(self.pending_lines) >= MAX_PENDING_LINES:
            self.n_dropped += 1
            return
        self.pending_lines.append(line)
        while self.pending_lines:
            try:
                n_written = os.write(self.descriptor, self.pending_lines[0])
            except BlockingIOError:
                return
            except OSError:
                self.n_dropped += len(self.pending_lines)
                self.pending_lines.clear()
                return
            if n_written < len(self.pending_lines[0]):
                self.pending_lines[0] = self.pending_lines[0][n_written:]
                return
            self.pending_lines.popleft()
