"""Statuses that HTTP defines (RFC 9110, section 15)."""

import re

__all__ = ["is_final_status", "is_interim_status", "parse_status_line"]

# Smallest status of a response that is not interim.
MIN_FINAL_STATUS = 200
MAX_STATUS = 599
MIN_INTERIM_STATUS = 100
# It switches the protocol, which no request here asks for.
STATUS_SWITCHING_PROTOCOLS = 101
STATUS_LINE = re.compile(rb"HTTP/\d(?:\.\d)? (\d{3})(?: .*)?", re.DOTALL)


def is_final_status(status: int) -> bool:
    """Return whether a status is that of a final response.

    Examples
    --------
    >>> [is_final_status(status) for status in (0, 100, 200, 599, 600)]
    [False, False, True, True, False]
    """
    return MIN_FINAL_STATUS <= status <= MAX_STATUS


def is_interim_status(status: int) -> bool:
    """Return whether a status is that of an interim response to a plain request.

    Examples
    --------
    >>> [is_interim_status(status) for status in (99, 100, 101, 103, 200)]
    [False, True, False, True, False]
    """
    return (
        MIN_INTERIM_STATUS <= status < MIN_FINAL_STATUS
        and status != STATUS_SWITCHING_PROTOCOLS
    )


def parse_status_line(line: bytes) -> int:
    """Return the status in a status line, or 0 unless it has three digits.

    Examples
    --------
    >>> parse_status_line(b"HTTP/1.1 404 Not Found"), parse_status_line(b"HTTP/2 200")
    (404, 200)
    >>> parse_status_line(b"HTTP/1.1 2000 OK"), parse_status_line(b"HTTP/1.1")
    (0, 0)
    """
    match = STATUS_LINE.fullmatch(line)
    return int(match[1]) if match else 0
