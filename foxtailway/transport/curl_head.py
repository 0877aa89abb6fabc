"""Header sections of responses that libcurl receives."""

import pycurl

__all__ = ["CurlResponseHead"]

STATUS_LINE_START = b"HTTP/"
# Smallest status of a response that is not informational.
MIN_FINAL_STATUS = 200


class CurlResponseHead:
    """Tell whether the header section of a response arrived as a whole.

    libcurl takes the end of a connection within a header section for the end of the
    response, and reports a success with an empty body.

    Attributes
    ----------
    is_complete : bool
        Whether the header section of a final response has ended.
    """

    def __init__(self) -> None:
        self.is_complete = False
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
            self.is_final = find_status(line) >= MIN_FINAL_STATUS
        elif not line:
            self.is_complete = self.is_final


def find_status(line: bytes) -> int:
    """Return the status in a status line, or 0 if there is none."""
    status = line.split(b" ", 2)[1:2]
    return int(status[0]) if status and status[0].isdigit() else 0
