"""Typed failures carried by ``expression.Result`` values."""

from dataclasses import dataclass
from enum import Enum

__all__ = ["Failure", "FailureKind", "Step"]


class Step(Enum):
    """Processing step at which a failure occurred."""

    SETTINGS = "settings"
    LISTEN = "listen"
    CONFIG_PARSE = "config_parse"
    CONFIG_VALIDATE = "config_validate"
    COMPILE = "compile"
    SOURCE_READ = "source_read"
    SOURCE_WATCH = "source_watch"
    CONNECT = "connect"
    HELLO = "hello"
    DECODE = "decode"
    RECEIVE = "receive"
    SEND = "send"
    TRANSFER = "transfer"
    VERIFY = "verify"
    ROUTE = "route"
    ADMIT = "admit"
    UPSTREAM = "upstream"
    RESPOND = "respond"


class FailureKind(Enum):
    """Category of a failure, independent of the step."""

    INVALID = "invalid"
    TOO_LARGE = "too_large"
    TIMEOUT = "timeout"
    CLOSED = "closed"
    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    STALE_VERSION = "stale_version"
    VERSION_CONFLICT = "version_conflict"
    DIGEST_MISMATCH = "digest_mismatch"
    WRONG_MESH = "wrong_mesh"
    WRONG_PROTOCOL = "wrong_protocol"
    RATE_LIMITED = "rate_limited"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True, kw_only=True)
class Failure:
    """Failure of one processing step, with its category and the peer concerned.

    Parameters
    ----------
    step : Step
        Processing step at which the failure occurred.
    kind : FailureKind
        Category of the failure.
    peer : str
        Host identifier, ``address:port`` or file name of the peer or source.
    detail : str
        Explanation for an operator; never contains a secret.

    Examples
    --------
    >>> failure = Failure(
    ...     step=Step.CONNECT,
    ...     kind=FailureKind.TIMEOUT,
    ...     peer="127.0.0.1:7000",
    ...     detail="no response within 2 s",
    ... )
    >>> str(failure)
    'connect 127.0.0.1:7000: timeout: no response within 2 s'
    """

    step: Step
    kind: FailureKind
    peer: str
    detail: str

    def __str__(self) -> str:
        """Return the failure as one line of text."""
        return f"{self.step.value} {self.peer}: {self.kind.value}: {self.detail}"
