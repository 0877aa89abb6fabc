"""Header sections of responses that libcurl receives."""

import pycurl

from foxtailway.transport.http_status import (
    is_final_status,
    is_interim_status,
    parse_status_line,
)

__all__ = ["CurlResponseHead"]

STATUS_LINE_START = b"HTTP/"


class CurlResponseHead:
    """Tell whether the header section of a response is valid and arrived as a whole.

    libcurl takes the end of a connection within a header section for the end of the
    response, and reports a success with an empty body. It also accepts statuses that
    HTTP does not define, and reads the first three of four digits.

    Attributes
    ----------
    is_complete : bool
        Whether the header section of a final response has ended.
    is_invalid : bool
        Whether a status line had a status that HTTP does not define.
    """

    def __init__(self) -> None:
        self.is_complete = False
        self.is_invalid = False
        self.is_final = False
        self.line = bytearray()

    def attach(self, curl: pycurl.Curl) -> None:
        """Let a curl handle report the bytes of header sections to this object."""
        curl.setopt(pycurl.VERBOSE, 1)
        curl.setopt(pycurl.DEBUGFUNCTION, self.handle_debug)

    def handle_debug(self, kind: int, data: bytes) -> None:
        """Record received bytes of a header section (callback of curl)."""
        if kind == pycurl.INFOTYPE_HEADER_IN:
            self.record(data)

    def record(self, data: bytes) -> None:
        """Record the next bytes of header sections, which may be parts of lines."""
        for part in data.splitlines(keepends=True):
            self.line += part
            if part.endswith(b"\n"):
                self.record_line(bytes(self.line).rstrip(b"\r\n"))
                self.line.clear()

    def record_line(self, line: bytes) -> None:
        """Record a whole line; trailers after the body change nothing."""
        if self.is_complete:
            return
        if line.startswith(STATUS_LINE_START):
            status = parse_status_line(line)
            self.is_final = is_final_status(status)
            if not self.is_final and not is_interim_status(status):
                self.is_invalid = True
        elif not line:
            self.is_complete = self.is_final and not self.is_invalid
