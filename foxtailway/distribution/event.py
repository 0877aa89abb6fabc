"""Input events of the distribution core."""

from dataclasses import dataclass
from typing import Any

from expression import Result

from foxtailway.common.failure import Failure
from foxtailway.distribution.message import ControlHello
from foxtailway.distribution.topology import Topology
from foxtailway.model.bundle import Bundle, BundleKind

__all__ = [
    "Collected",
    "DialFailed",
    "DialSucceeded",
    "Event",
    "LinkAccepted",
    "LinkClosed",
    "MessageReceived",
    "OfferDecided",
    "Started",
    "Stopped",
    "TimerFired",
    "TopologyUpdated",
    "UpdateSent",
]


@dataclass(frozen=True, slots=True, kw_only=True)
class Started:
    """The node has started."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Stopped:
    """The node is stopping; inbound streams are refused from now on."""


@dataclass(frozen=True, slots=True, kw_only=True)
class TimerFired:
    """The time of the latest ``WakeAt`` has been reached."""


@dataclass(frozen=True, slots=True, kw_only=True)
class DialSucceeded:
    """A dialed stream has connected."""

    link_id: int


@dataclass(frozen=True, slots=True, kw_only=True)
class DialFailed:
    """A dialed stream failed to connect."""

    link_id: int
    failure: Failure


@dataclass(frozen=True, slots=True, kw_only=True)
class LinkAccepted:
    """Another node has opened a control stream and sent its hello."""

    link_id: int
    hello: ControlHello


@dataclass(frozen=True, slots=True, kw_only=True)
class LinkClosed:
    """A stream was closed by the peer or failed."""

    link_id: int
    failure: Failure


@dataclass(frozen=True, slots=True, kw_only=True)
class MessageReceived:
    """A message of any registered type was received."""

    link_id: int
    message: Any


@dataclass(frozen=True, slots=True, kw_only=True)
class UpdateSent:
    """The last part of an update was sent."""

    link_id: int
    kind: BundleKind


@dataclass(frozen=True, slots=True, kw_only=True)
class Collected:
    """The platform answered a query, or the query failed.

    Parameters
    ----------
    kind : BundleKind
        Sequence of versions that was queried.
    epoch : int
        Epoch of the ``Collect`` action. An answer of an earlier epoch started
        before a pause of the process and confirms no version.
    result : Result
        Newest bundle, None when nothing changed, or the failure.
    """

    kind: BundleKind
    epoch: int
    result: Result[Bundle | None, Failure]


@dataclass(frozen=True, slots=True, kw_only=True)
class OfferDecided:
    """The sink has applied or rejected an offered bundle."""

    bundle: Bundle
    delivered_by: str
    result: Result[None, Failure]


@dataclass(frozen=True, slots=True, kw_only=True)
class TopologyUpdated:
    """The host list in force has changed."""

    topology: Topology


Event = (
    Started
    | Stopped
    | TimerFired
    | DialSucceeded
    | DialFailed
    | LinkAccepted
    | LinkClosed
    | MessageReceived
    | UpdateSent
    | Collected
    | OfferDecided
    | TopologyUpdated
)
