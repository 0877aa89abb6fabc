"""Events that drive the distribution core."""

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
    """The node starts."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Stopped:
    """The node is about to stop."""


@dataclass(frozen=True, slots=True, kw_only=True)
class TimerFired:
    """The time of the last ``WakeAt`` was reached."""


@dataclass(frozen=True, slots=True, kw_only=True)
class DialSucceeded:
    """A dialed stream is connected."""

    link_id: int


@dataclass(frozen=True, slots=True, kw_only=True)
class DialFailed:
    """A dialed stream could not be connected."""

    link_id: int
    failure: Failure


@dataclass(frozen=True, slots=True, kw_only=True)
class LinkAccepted:
    """Another node opened a control stream."""

    link_id: int
    hello: ControlHello


@dataclass(frozen=True, slots=True, kw_only=True)
class LinkClosed:
    """A stream ended."""

    link_id: int
    failure: Failure


@dataclass(frozen=True, slots=True, kw_only=True)
class MessageReceived:
    """A message arrived; it may be of any registered type."""

    link_id: int
    message: Any


@dataclass(frozen=True, slots=True, kw_only=True)
class UpdateSent:
    """The last part of an update left the node."""

    link_id: int
    kind: BundleKind


@dataclass(frozen=True, slots=True, kw_only=True)
class Collected:
    """The platform answered, or failed to.

    Parameters
    ----------
    kind : BundleKind
        Collected sequence.
    epoch : int
        Epoch of the ``Collect`` action; an answer of an earlier epoch confirms
        nothing.
    result : Result
        Newest bundle, None when nothing changed, or the failure.
    """

    kind: BundleKind
    epoch: int
    result: Result[Bundle | None, Failure]


@dataclass(frozen=True, slots=True, kw_only=True)
class OfferDecided:
    """The sink applied or rejected an offered bundle."""

    bundle: Bundle
    delivered_by: str
    result: Result[None, Failure]


@dataclass(frozen=True, slots=True, kw_only=True)
class TopologyUpdated:
    """The list of hosts in force changed."""

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
