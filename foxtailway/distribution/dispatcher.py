"""Handling of received messages by their type and stream."""

from foxtailway.common.failure import FailureKind, Step
from foxtailway.distribution.context import CoreContext
from foxtailway.distribution.exchange import VersionExchange
from foxtailway.distribution.link import Link, LinkRole
from foxtailway.distribution.liveness import Liveness
from foxtailway.distribution.message import (
    Goodbye,
    Heartbeat,
    HeldReport,
    SubscriptionRefused,
    UpdatePart,
    Welcome,
)
from foxtailway.distribution.uplink import Uplink

__all__ = ["MessageDispatcher"]


class MessageDispatcher:
    """Hand each message to the part of the core that deals with it.

    Parameters
    ----------
    context : CoreContext
        State shared by the parts of the core.
    exchange : VersionExchange
        Takes updates.
    uplink : Uplink
        Takes answers to hellos and the parent's beacons.
    liveness : Liveness
        Passes beacons on.
    """

    def __init__(
        self,
        *,
        context: CoreContext,
        exchange: VersionExchange,
        uplink: Uplink,
        liveness: Liveness,
    ) -> None:
        self.context = context
        self.exchange = exchange
        self.uplink = uplink
        self.liveness = liveness

    def receive(self, link: Link, message: object) -> None:
        """Handle a message, or close a stream that sent a wrong one."""
        link.heard_s = self.context.now
        if self.dispatch(link, message):
            return
        self.context.fail(
            Step.RECEIVE,
            FailureKind.INVALID,
            peer=link.peer,
            detail=f"unexpected {type(message).__name__}",
        )
        self.leave(link)

    def dispatch(self, link: Link, message: object) -> bool:
        """Handle a message; return False if it does not belong here."""
        awaits_welcome = link.is_dialed and not link.is_welcome
        match message:
            case Welcome() if awaits_welcome:
                self.uplink.receive_welcome(link, message)
            case SubscriptionRefused() if awaits_welcome:
                self.uplink.receive_refusal(link, message)
            case Goodbye():
                self.leave(link)
            case UpdatePart() if link.exchanges_updates:
                self.hear_parent(link, message)
                self.exchange.receive_part(link, message)
            case HeldReport() if link.exchanges_updates:
                self.exchange.receive_report(link, message)
            case Heartbeat() if link.exchanges_updates:
                if self.hear_parent(link, message):
                    self.liveness.pass_on()
            case _:
                return False
        return True

    def hear_parent(self, link: Link, message: Heartbeat | UpdatePart) -> bool:
        """Take over the beacon if it is the parent's; return whether it is."""
        if link.role is not LinkRole.PARENT:
            return False
        self.uplink.hear_beacon(message.confirmation)
        return True

    def leave(self, link: Link) -> None:
        """Close a stream and avoid the peer for a while."""
        self.context.close(link)
        if link.is_dialed:
            longest_s = self.context.settings.distribution.retry_max_s
            self.uplink.lose(link, None, blocked_s=longest_s)
