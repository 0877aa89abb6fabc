"""Heartbeats, and peers that have gone silent."""

from foxtailway.common.failure import FailureKind, Step
from foxtailway.distribution.context import CoreContext
from foxtailway.distribution.link import Link
from foxtailway.distribution.message import Heartbeat
from foxtailway.distribution.uplink import Uplink

__all__ = ["Liveness"]


class Liveness:
    """Show peers that the node is alive, and leave those that are not.

    Parameters
    ----------
    context : CoreContext
        State shared by the parts of the core.
    uplink : Uplink
        Replaces lost streams.
    """

    def __init__(self, *, context: CoreContext, uplink: Uplink) -> None:
        self.context = context
        self.uplink = uplink
        self.sizes = context.settings.distribution

    def tick(self) -> None:
        """Drop silent streams and send the heartbeats that are due."""
        for link in list(self.context.links.links.values()):
            if self.context.now - link.heard_s > self.silence_limit_s(link):
                self.drop(link)
        self.send_heartbeats(interval_s=self.sizes.heartbeat_s)

    def silence_limit_s(self, link: Link) -> float:
        """Return how long a stream may be silent, in seconds."""
        if link.is_welcome:
            return self.sizes.silence_s
        return 2 * self.sizes.connect_timeout_s

    def drop(self, link: Link) -> None:
        """Close a silent stream."""
        self.context.close(link)
        self.context.fail(
            Step.RECEIVE,
            FailureKind.TIMEOUT,
            peer=link.peer,
            detail=f"silent for {self.context.now - link.heard_s:.1f} s",
        )
        if link.is_dialed:
            self.uplink.lose(link, None, blocked_s=self.sizes.silence_s)

    def send_heartbeats(self, *, interval_s: float) -> None:
        """Send a heartbeat on streams that were quiet for `interval_s`."""
        now = self.context.now
        confirmation = self.context.freshness.confirmation(now)
        for link in self.context.links.links.values():
            if link.exchanges_updates and now - link.sent_s >= interval_s:
                self.context.send(link, Heartbeat(confirmation=confirmation))

    def pass_on(self) -> None:
        """Send heartbeats right after the parent's, so that ages stay low."""
        self.send_heartbeats(interval_s=self.sizes.heartbeat_s / 2)
