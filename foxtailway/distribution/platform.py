"""Queries to the platform and the handling of its answers."""

from expression import Result

from foxtailway.common.failure import Failure
from foxtailway.distribution.context import CoreContext
from foxtailway.distribution.event import Collected
from foxtailway.distribution.exchange import PLATFORM_PEER, VersionExchange
from foxtailway.distribution.history import VersionVerdict
from foxtailway.distribution.poller import PlatformPoller
from foxtailway.model.bundle import Bundle, BundleKind
from foxtailway.model.version import Version

__all__ = ["PlatformHandler"]


class PlatformHandler:
    """Schedule queries to the platform and process their answers.

    Parameters
    ----------
    context : CoreContext
        State shared by the parts of the core.
    exchange : VersionExchange
        Versions of the node.
    """

    def __init__(self, *, context: CoreContext, exchange: VersionExchange) -> None:
        self.context = context
        self.exchange = exchange
        self.distribution_settings = context.settings.distribution
        self.collected: dict[BundleKind, Version] = {}
        self.poller = PlatformPoller(
            settings=context.settings, random_source=context.random_source
        )

    def tick(self, *, is_isolated: bool) -> None:
        """Start the queries that are due."""
        now = self.context.now
        if is_isolated:
            grace_s = (
                self.distribution_settings.silence_s
                if self.poller.has_placement
                else 0.0
            )
            self.poller.schedule_fallback(now=now, grace_s=grace_s)
        else:
            self.poller.cancel_fallback()
        self.context.actions.extend(self.poller.tick(now=now))

    def receive(self, event: Collected) -> None:
        """Process an answer and record whether it confirms the held version."""
        now = self.context.now
        result: Result[Bundle | None, Failure] = event.result
        self.poller.finish(event.kind, is_ok=result.is_ok(), now=now)
        if result.is_error():
            self.context.report(result.error)
            return
        bundle = result.ok
        if bundle is not None:
            self.collected[event.kind] = bundle.version
            self.exchange.receive_bundle(bundle, delivered_by=PLATFORM_PEER)
            if event.kind is BundleKind.HOSTS:
                until_s = now + self.distribution_settings.hosts_coalesce_s
                self.poller.postpone(event.kind, until_s=until_s)
        if event.epoch == self.poller.epoch and self.is_held_confirmed(event.kind):
            self.context.freshness.confirm(event.kind, now=now)

    def is_held_confirmed(self, kind: BundleKind) -> bool:
        """Return whether the latest answer of the platform confirms the held version.

        A stale replica or a restored store answers with an older or conflicting
        version, which confirms nothing.
        """
        collected = self.collected.get(kind)
        history = self.exchange.histories[kind]
        if collected is None:
            return history.held is None
        return history.evaluate(collected) not in (
            VersionVerdict.OLDER,
            VersionVerdict.CONFLICT,
        )
