"""Dispatch of received messages by type and state of the stream."""

from foxtailway.common.failure import FailureKind, Step
from foxtailway.distribution.context import CoreContext
from foxtailway.distribution.exchange import VersionExchange
from foxtailway.distribution.link import Link, LinkRole
from foxtailway.distribution.liveness import Liveness
from foxtailway.distribution.message import (
    ControlGoAway,
    ControlHelloAck,
    Heartbeat,
    HeldReport,
    SubscriptionRefused,
    UpdatePart,
)
from foxtailway.distribution.uplink import Uplink

__all__ = ["MessageDispatcher"]


class MessageDispatcher:
    """Pass each message to the part of the core that handles it.

    Parameters
    ----------
    context : CoreContext
        State shared by the parts of the core.
    exchange : VersionExchange
        Handler of updates and held reports.
    uplink : Uplink
        Handler of answers to hellos and of the confirmations of the parent.
    liveness : Liveness
        Sender of heartbeats.
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
        """Handle a message, or close the stream if the message is not allowed."""
        link.last_received_s = self.context.now
        if self.dispatch(link, message):
            return
        self.context.report_failure(
            Step.RECEIVE,
            FailureKind.INVALID,
            peer=link.peer,
            detail=f"message not allowed in this state: {type(message).__name__}",
        )
        self.close_and_block(link)

    def dispatch(self, link: Link, message: object) -> bool:
        """Handle a message; return whether it is allowed in this state."""
        is_awaiting_hello_ack = link.is_dialed and not link.is_established
        match message:
            case ControlHelloAck() if is_awaiting_hello_ack:
                self.uplink.receive_hello_ack(link, message)
            case SubscriptionRefused() if is_awaiting_hello_ack:
                self.uplink.receive_refusal(link, message)
            case ControlGoAway():
                self.close_and_block(link)
            case UpdatePart() if link.can_exchange_updates:
                self.receive_parent_confirmation(link, message)
                self.exchange.receive_part(link, message)
            case HeldReport() if link.can_exchange_updates:
                self.exchange.receive_report(link, message)
            case Heartbeat() if link.can_exchange_updates:
                if self.receive_parent_confirmation(link, message):
                    self.liveness.relay_heartbeat()
            case _:
                return False
        return True

    def receive_parent_confirmation(
        self, link: Link, message: Heartbeat | UpdatePart
    ) -> bool:
        """Process the confirmation if the parent sent it; return whether it did."""
        if link.role is not LinkRole.PARENT:
            return False
        self.uplink.receive_confirmation(message.confirmation)
        return True

    def close_and_block(self, link: Link) -> None:
        """Close a stream and, if dialed, block its peer for `retry_max_s`."""
        self.context.close(link)
        if link.is_dialed:
            max_wait_s = self.context.settings.distribution.retry_max_s
            self.uplink.handle_link_closed(link, None, blocked_s=max_wait_s)
