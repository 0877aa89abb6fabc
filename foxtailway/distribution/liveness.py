"""Heartbeats and detection of silent peers."""

from foxtailway.common.failure import FailureKind, Step
from foxtailway.distribution.context import CoreContext
from foxtailway.distribution.link import Link
from foxtailway.distribution.message import Heartbeat
from foxtailway.distribution.uplink import Uplink

__all__ = ["Liveness"]


class Liveness:
    """Send heartbeats and close the streams of silent peers.

    Parameters
    ----------
    context : CoreContext
        State shared by the parts of the core.
    uplink : Uplink
        Informed of closed streams that the node dialed.
    """

    def __init__(self, *, context: CoreContext, uplink: Uplink) -> None:
        self.context = context
        self.uplink = uplink
        self.distribution_settings = context.settings.distribution

    def tick(self) -> None:
        """Close silent streams and send the heartbeats that are due."""
        for link in list(self.context.links.links.values()):
            if self.context.now - link.last_received_s > self.silence_limit_s(link):
                self.close_silent(link)
        self.send_heartbeats(interval_s=self.distribution_settings.heartbeat_s)

    def silence_limit_s(self, link: Link) -> float:
        """Return how long a stream may be silent, in seconds.

        Until the hello is acknowledged, this is twice the connect timeout.
        """
        if link.is_established:
            return self.distribution_settings.silence_s
        return 2 * self.distribution_settings.connect_timeout_s

    def close_silent(self, link: Link) -> None:
        """Close a silent stream and report a timeout."""
        self.context.close(link)
        self.context.report_failure(
            Step.RECEIVE,
            FailureKind.TIMEOUT,
            peer=link.peer,
            detail=f"no message for {self.context.now - link.last_received_s:.1f} s",
        )
        if link.is_dialed:
            self.uplink.handle_link_closed(
                link, None, blocked_s=self.distribution_settings.silence_s
            )

    def send_heartbeats(self, *, interval_s: float) -> None:
        """Send a heartbeat over streams that sent nothing for `interval_s`."""
        now = self.context.now
        confirmation = self.context.freshness.make_confirmation(now)
        for link in self.context.links.links.values():
            if link.can_exchange_updates and now - link.last_sent_s >= interval_s:
                self.context.send(link, Heartbeat(confirmation=confirmation))

    def relay_heartbeat(self) -> None:
        """Send heartbeats right after that of the parent.

        Confirmations then reach the lower nodes without waiting for the heartbeat
        interval at each hop, so that ages stay low.
        """
        self.send_heartbeats(interval_s=self.distribution_settings.heartbeat_s / 2)
