"""Actions that the distribution core asks of its surroundings."""

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
    """Connect to a peer; answered by ``DialSucceeded`` or ``DialFailed``."""

    link_id: int
    target: PeerAddress


@dataclass(frozen=True, slots=True, kw_only=True)
class Send:
    """Send one message."""

    link_id: int
    message: Any


@dataclass(frozen=True, slots=True, kw_only=True)
class SendUpdate:
    """Send all parts of an update; answered by ``UpdateSent``."""

    link_id: int
    kind: BundleKind
    parts: tuple[UpdatePart, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class CloseLink:
    """Close a stream after what was sent before; no event follows."""

    link_id: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Collect:
    """Ask the platform; answered by ``Collected``."""

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
    """Record a failure."""

    failure: Failure


@dataclass(frozen=True, slots=True, kw_only=True)
class WakeAt:
    """Fire the timer at `time_s`; replaces the earlier time."""

    time_s: float


Action = Dial | Send | SendUpdate | CloseLink | Collect | Offer | ReportFailure | WakeAt
