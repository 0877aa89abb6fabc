"""Results of HTTP exchanges with a server."""

from dataclasses import dataclass, field

from foxtailway.sidecar.body_buffer import Body
from foxtailway.transport.response_limits import HeldBytes

__all__ = [
    "ExchangeError",
    "ExchangeTimeoutError",
    "ReceivedResponse",
    "ResponseLimitError",
]


class ExchangeError(Exception):
    """Raised when an exchange ends without a complete response.

    Parameters
    ----------
    step : str
        Step of the exchange: ``connect``, ``receive`` or ``decode``.
    peer : str
        ``address:port`` of the server.
    detail : str
        Cause in plain text.
    """

    def __init__(self, *, step: str, peer: str, detail: str) -> None:
        super().__init__(f"{step} {peer}: {detail}")
        self.step = step
        self.peer = peer
        self.detail = detail


class ExchangeTimeoutError(ExchangeError):
    """Raised when an exchange has no complete response at its deadline."""


class ResponseLimitError(ExchangeError):
    """Raised when a server sends more than `ResponseLimits` allows."""


@dataclass(slots=True, kw_only=True)
class ReceivedResponse:
    """Response as received from a server.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : list of tuple of bytes
        Pairs of name, as received, and value.
    body : bytes or mmap
        Complete body.
    holding : HeldBytes or None, default=None
        Counts a long body in the budget until the response is dropped.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: Body = field(repr=False)
    holding: HeldBytes | None = field(default=None, repr=False, compare=False)

    def find_header(self, name: bytes) -> bytes | None:
        """Return the value of the first header called `name` (lower case), or None."""
        values = self.find_headers(name)
        return values[0] if values else None

    def find_headers(self, name: bytes) -> list[bytes]:
        """Return the values of all headers called `name` (lower case)."""
        return [value for key, value in self.headers if key.lower() == name]
