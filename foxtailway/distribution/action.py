"""Actions that the distribution core asks its caller to execute."""

from dataclasses import dataclass
from typing import Any

from foxtailway.common.failure import Failure
from foxtailway.distribution.message import PeerAddress, UpdatePart
from foxtailway.model.bundle import Bundle, BundleKind

__all__ = [
    "Action",
    "CloseLink",
    "Collect",
    "Dial",
    "Offer",
    "ReportFailure",
    "Send",
    "SendUpdate",
    "WakeAt",
]


@dataclass(frozen=True, slots=True, kw_only=True)
class Dial:
    """Open a stream to a peer; answered by ``DialSucceeded`` or ``DialFailed``."""

    link_id: int
    target: PeerAddress


@dataclass(frozen=True, slots=True, kw_only=True)
class Send:
    """Send one message over a stream."""

    link_id: int
    message: Any


@dataclass(frozen=True, slots=True, kw_only=True)
class SendUpdate:
    """Send all parts of an update in order; answered by ``UpdateSent``."""

    link_id: int
    kind: BundleKind
    parts: tuple[UpdatePart, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class CloseLink:
    """Close a stream once its queued messages are sent; no event follows."""

    link_id: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Collect:
    """Query the platform for a newer bundle; answered by ``Collected``.

    Parameters
    ----------
    kind : BundleKind
        Sequence of versions to query.
    epoch : int
        Number that the answer repeats; see ``Collected``.
    wait_s : float
        Time for which the platform may hold the query open until a change, in
        seconds; 0 returns at once.
    """

    kind: BundleKind
    epoch: int
    wait_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Offer:
    """Offer a verified newer bundle to the sink; answered by ``OfferDecided``."""

    bundle: Bundle
    delivered_by: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportFailure:
    """Report a failure to the observer."""

    failure: Failure


@dataclass(frozen=True, slots=True, kw_only=True)
class WakeAt:
    """Set the timer to the monotonic time `time_s`; replaces an earlier setting."""

    time_s: float


Action = Dial | Send | SendUpdate | CloseLink | Collect | Offer | ReportFailure | WakeAt
