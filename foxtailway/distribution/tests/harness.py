"""Harness that drives one distribution core event by event."""

from random import Random
from typing import Any, TypeVar

from expression import Error, Ok

from foxtailway.common import Failure, FailureKind, Step
from foxtailway.distribution.action import (
    Action,
    Dial,
    Offer,
    ReportFailure,
    Send,
    SendUpdate,
)
from foxtailway.distribution.core import DistributionCore
from foxtailway.distribution.delta import encode_update
from foxtailway.distribution.event import (
    Collected,
    DialSucceeded,
    Event,
    LinkAccepted,
    MessageReceived,
    OfferDecided,
    Started,
    TimerFired,
    TopologyUpdated,
)
from foxtailway.distribution.message import (
    PROTOCOL_VERSION,
    Confirmation,
    ControlHello,
    ControlHelloAck,
    HeldVersion,
    Purpose,
    UpdatePart,
)
from foxtailway.distribution.tests.support import MESH, make_settings
from foxtailway.distribution.topology import Topology
from foxtailway.model import Bundle, BundleKind

ActionType = TypeVar("ActionType")
FRESH = Confirmation(age_ms=0, n_hops=1)
INVALID = Failure(
    step=Step.CONFIG_VALIDATE, kind=FailureKind.INVALID, peer="sink", detail="bad"
)


def make_held_versions(*bundles: Bundle) -> tuple[HeldVersion, ...]:
    return tuple(
        HeldVersion(kind=bundle.kind, version=bundle.version) for bundle in bundles
    )


def make_hello(host_id: str = "child", **changes: Any) -> ControlHello:
    fields = {
        "protocol_version": PROTOCOL_VERSION,
        "mesh": MESH,
        "host_id": host_id,
        "zone": "accra-a",
        "address": "127.0.2.1",
        "port": 7000,
        "purpose": Purpose.SUBSCRIBE,
        "is_relay": False,
        "is_preferred": False,
        "held": (),
        "staged": (),
        **changes,
    }
    return ControlHello(**fields)


class CoreHarness:
    """One core with a sink that applies all but the bundles in `rejected`."""

    def __init__(self, host_id: str = "own", **changes: Any) -> None:
        self.now = 0.0
        self.core = DistributionCore(
            settings=make_settings(host_id, **changes),
            random_source=Random(1),
            now=0.0,
        )
        self.actions: list[Action] = []
        self.rejected: list[Bundle] = []
        self.offered: list[Bundle] = []

    def handle(self, event: Event) -> list[Action]:
        """Handle an event, decide the resulting offers and return all new actions."""
        start = len(self.actions)
        pending = [event]
        while pending:
            for action in self.core.handle(pending.pop(0), now=self.now):
                self.actions.append(action)
                if isinstance(action, Offer):
                    self.offered.append(action.bundle)
                    pending.append(self.decide(action))
        return self.actions[start:]

    def decide(self, action: Offer) -> OfferDecided:
        is_rejected = action.bundle in self.rejected
        return OfferDecided(
            bundle=action.bundle,
            delivered_by=action.delivered_by,
            result=Error(INVALID) if is_rejected else Ok(None),
        )

    def start(self) -> list[Action]:
        return self.handle(Started())

    def advance(self, duration_s: float) -> list[Action]:
        """Advance the clock in steps of 0.1 s, with a timer event after each."""
        start = len(self.actions)
        end_s = self.now + duration_s
        while self.now < end_s:
            self.now = min(end_s, self.now + 0.1)
            self.handle(TimerFired())
        return self.actions[start:]

    def update_topology(self, topology: Topology) -> None:
        self.handle(TopologyUpdated(topology=topology))

    def find(self, kind: type[ActionType], actions: list | None = None) -> list:
        chosen = self.actions if actions is None else actions
        return [action for action in chosen if isinstance(action, kind)]

    def list_sent(self, kind: type, actions: list | None = None) -> list[Any]:
        sent = self.find(Send, actions)
        return [item.message for item in sent if isinstance(item.message, kind)]

    def list_failures(self) -> list[FailureKind]:
        return [report.failure.kind for report in self.find(ReportFailure)]

    def receive(self, link_id: int, message: Any) -> list[Action]:
        return self.handle(MessageReceived(link_id=link_id, message=message))

    def collect(self, bundle: Bundle, *, epoch: int = 0) -> list[Action]:
        event = Collected(kind=bundle.kind, epoch=epoch, result=Ok(bundle))
        return self.handle(event)

    def fail_collections(self) -> None:
        """Answer the first queries of a node without seeds with a failure."""
        for kind in BundleKind:
            self.handle(Collected(kind=kind, epoch=0, result=Error(INVALID)))

    def accept(self, hello: ControlHello) -> list[Action]:
        link_id = self.core.allocate_link_id()
        return self.handle(LinkAccepted(link_id=link_id, hello=hello))

    def acknowledge_hello(
        self,
        dial: Dial,
        *,
        host_id: str = "parent",
        held: tuple[Bundle, ...] = (),
        confirmation: Confirmation = FRESH,
    ) -> int:
        """Connect a dialed stream, acknowledge the hello and return the link id."""
        self.handle(DialSucceeded(link_id=dial.link_id))
        message = ControlHelloAck(
            host_id=host_id, held=make_held_versions(*held), confirmation=confirmation
        )
        self.receive(dial.link_id, message)
        return dial.link_id

    def next_dial(self) -> Dial:
        """Advance the clock until the core dials, and return the dial."""
        for _ in range(200):
            dials = self.find(Dial, self.advance(0.1))
            if dials:
                return dials[0]
        raise AssertionError("no dial")

    def push(self, link_id: int, bundle: Bundle, base: Bundle | None = None) -> None:
        """Pass all parts of an update to the core."""
        for part in encode_update(bundle, base=base):
            self.receive(link_id, part)

    def list_updates(self, actions: list[Action]) -> list[UpdatePart]:
        return [update.parts[0] for update in self.find(SendUpdate, actions)]
