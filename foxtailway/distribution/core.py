"""State machine of the distribution of versions, without I/O."""

from random import Random

from foxtailway.common.failure import FailureKind, Step
from foxtailway.distribution.action import Action, WakeAt
from foxtailway.distribution.bootstrap import Bootstrap
from foxtailway.distribution.context import CoreContext
from foxtailway.distribution.dispatcher import MessageDispatcher
from foxtailway.distribution.downlink import Downlink
from foxtailway.distribution.event import (
    Collected,
    DialFailed,
    DialSucceeded,
    Event,
    LinkAccepted,
    LinkClosed,
    MessageReceived,
    OfferDecided,
    Started,
    Stopped,
    TimerFired,
    TopologyUpdated,
    UpdateSent,
)
from foxtailway.distribution.exchange import VersionExchange
from foxtailway.distribution.link import LinkRole
from foxtailway.distribution.liveness import Liveness
from foxtailway.distribution.message import ControlGoAway
from foxtailway.distribution.placement import Placement, compute_placement
from foxtailway.distribution.platform import PlatformHandler
from foxtailway.distribution.uplink import Uplink
from foxtailway.settings.model import NodeSettings

__all__ = ["DistributionCore"]

# Least number of timer events per heartbeat interval.
TICKS_PER_HEARTBEAT = 4


class DistributionCore:
    """Translate events into actions.

    The caller passes every event to `handle` and executes the returned actions.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the node.
    random_source : Random
        Source of jitter.
    now : float
        Current monotonic time in seconds.
    """

    def __init__(
        self, *, settings: NodeSettings, random_source: Random, now: float
    ) -> None:
        self.settings = settings
        self.distribution_settings = settings.distribution
        self.context = CoreContext(
            settings=settings, random_source=random_source, now=now
        )
        self.links = self.context.links
        self.bootstrap = Bootstrap(
            deadline_s=now + self.distribution_settings.bootstrap_timeout_s
        )
        self.exchange = VersionExchange(context=self.context, bootstrap=self.bootstrap)
        self.uplink = Uplink(context=self.context, exchange=self.exchange)
        self.downlink = Downlink(context=self.context, exchange=self.exchange)
        self.platform = PlatformHandler(context=self.context, exchange=self.exchange)
        self.liveness = Liveness(context=self.context, uplink=self.uplink)
        self.dispatcher = MessageDispatcher(
            context=self.context,
            exchange=self.exchange,
            uplink=self.uplink,
            liveness=self.liveness,
        )
        self.placement: Placement | None = None
        self.is_running = False
        self.handlers = {
            Started: self.on_started,
            Stopped: self.on_stopped,
            TimerFired: self.on_timer_fired,
            DialSucceeded: self.on_dial_succeeded,
            DialFailed: self.on_dial_failed,
            LinkAccepted: self.on_link_accepted,
            LinkClosed: self.on_link_closed,
            MessageReceived: self.on_message_received,
            UpdateSent: self.on_update_sent,
            Collected: self.on_collected,
            OfferDecided: self.on_offer_decided,
            TopologyUpdated: self.on_topology_updated,
        }

    def allocate_link_id(self) -> int:
        """Return a new identifier for an inbound stream."""
        return next(self.context.link_ids)

    def handle(self, event: Event, *, now: float) -> tuple[Action, ...]:
        """Handle an event at the time `now` and return the resulting actions.

        Parameters
        ----------
        event : Event
            Event to handle.
        now : float
            Current monotonic time in seconds; must not decrease.

        Returns
        -------
        tuple of Action
            Actions in the order in which they must be executed.
        """
        paused_s = now - self.context.now
        self.context.now = now
        if self.is_running and paused_s > self.distribution_settings.silence_s:
            self.recover_from_pause(paused_s)
        self.handlers[type(event)](event)
        if self.is_running:
            self.tick()
        actions = tuple(self.context.actions)
        self.context.actions.clear()
        return actions

    def recover_from_pause(self, paused_s: float) -> None:
        """Close all streams and reset state that may be outdated after a pause.

        Called when no event was handled for longer than the silence limit, for
        example because the process was stopped. Peers have closed their streams
        by then, and the held versions may be outdated. Queries to the platform that
        were started before the pause confirm nothing.
        """
        self.context.report_failure(
            Step.RECEIVE,
            FailureKind.TIMEOUT,
            peer=self.settings.host.host_id,
            detail=f"process paused for {paused_s:.1f} s",
        )
        for link in list(self.links.links.values()):
            self.context.close(link)
            if link.role is LinkRole.PROBE:
                self.bootstrap.record_answer(link.link_id)
        self.context.freshness.reset()
        self.platform.poller.epoch += 1
        self.uplink.selector.postpone(now=self.context.now)
        self.downlink.unconfirmed_until_s = (
            self.context.now + self.distribution_settings.bootstrap_timeout_s
        )

    def tick(self) -> None:
        """Perform what is due and set the timer."""
        now = self.context.now
        if not self.bootstrap.is_over and now >= self.bootstrap.deadline_s:
            self.exchange.release()
        if (
            now
            >= self.bootstrap.deadline_s
            + self.distribution_settings.bootstrap_timeout_s
        ):
            self.exchange.end_deferral()
        self.liveness.tick()
        is_isolated = self.is_isolated()
        self.try_parent_before_platform()
        self.platform.tick(is_isolated=is_isolated)
        self.uplink.tick(is_isolated=is_isolated)
        self.context.actions.append(WakeAt(time_s=self.next_deadline_s()))

    def try_parent_before_platform(self) -> None:
        """Dial a parent at once when the platform fallback of an orphan is due.

        The fallback is deferred once, by enough time to connect.
        """
        if self.uplink.parent is not None:
            return
        wait_s = 2 * self.distribution_settings.connect_timeout_s
        now = self.context.now
        if self.platform.poller.defer_due_fallback(now=now, wait_s=wait_s):
            self.uplink.selector.retry_at_s = now

    def next_deadline_s(self) -> float:
        """Return the time at which the timer must fire next, in seconds."""
        now = self.context.now
        deadlines = [
            self.platform.poller.next_deadline_s(),
            self.uplink.selector.retry_at_s,
            self.bootstrap.deadline_s,
        ]
        latest_s = now + self.distribution_settings.heartbeat_s / TICKS_PER_HEARTBEAT
        future_deadlines = [time_s for time_s in deadlines if time_s and time_s > now]
        return min([latest_s, *future_deadlines])

    def is_isolated(self) -> bool:
        """Return whether the node has no fresh path to the platform."""
        if self.context.freshness.is_stale(self.context.now):
            return True
        return self.uplink.parent is None and not self.platform.poller.is_reader

    def on_started(self, event: Started) -> None:
        """Probe the seeds and schedule the search for a parent."""
        self.is_running = True
        self.uplink.probe_seeds()
        self.uplink.selector.postpone(now=self.context.now)
        self.exchange.release()

    def on_stopped(self, event: Stopped) -> None:
        """Send go-away to all peers and close their streams."""
        self.is_running = False
        self.downlink.is_stopping = True
        for link in list(self.links.links.values()):
            self.context.send(link, ControlGoAway(alternates=()))
            self.context.close(link)

    def on_timer_fired(self, event: TimerFired) -> None:
        """Do nothing; `handle` calls `tick` after every event."""

    def on_dial_succeeded(self, event: DialSucceeded) -> None:
        """Send the hello over the connected stream."""
        link = self.links.find(event.link_id)
        if link is not None:
            self.uplink.send_hello(link)

    def on_dial_failed(self, event: DialFailed) -> None:
        """Record the failure and schedule another peer."""
        link = self.links.links.pop(event.link_id, None)
        if link is not None:
            self.uplink.handle_link_closed(link, event.failure, blocked_s=0.0)

    def on_link_accepted(self, event: LinkAccepted) -> None:
        """Accept or refuse an inbound stream."""
        self.downlink.accept(event.link_id, event.hello)

    def on_link_closed(self, event: LinkClosed) -> None:
        """Remove a stream, and schedule another peer if the node dialed it."""
        link = self.links.links.pop(event.link_id, None)
        if link is None:
            return
        if link.is_dialed:
            self.uplink.handle_link_closed(link, event.failure, blocked_s=0.0)
        elif event.failure.kind is not FailureKind.CLOSED:
            self.context.report(event.failure)

    def on_update_sent(self, event: UpdateSent) -> None:
        """Send a newer version that was applied while the update was sent."""
        link = self.links.find(event.link_id)
        if link is not None:
            link.sending.pop(event.kind, None)
            self.exchange.push_updates(link)

    def on_collected(self, event: Collected) -> None:
        """Handle the answer of the platform."""
        self.platform.receive(event)

    def on_offer_decided(self, event: OfferDecided) -> None:
        """Push an applied version to the peers."""
        self.exchange.handle_decision(event)
        self.platform.poller.n_documents = self.exchange.count_documents()

    def on_topology_updated(self, event: TopologyUpdated) -> None:
        """Recompute the placement and pass the topology to the parts."""
        placement = compute_placement(event.topology, settings=self.settings)
        self.placement = placement
        self.platform.poller.update_placement(placement)
        self.downlink.update_topology(event.topology)
        self.exchange.end_deferral()
        self.uplink.is_relay = placement.is_relay
        self.uplink.selector.update_candidates(
            candidates=placement.candidates,
            comparison_peers=placement.comparison_peers,
            backup_parents=placement.backup_parents,
            listed_seeds=placement.listed_seeds,
            now=self.context.now,
        )

    def on_message_received(self, event: MessageReceived) -> None:
        """Handle a message unless its stream was closed."""
        link = self.links.find(event.link_id)
        if link is not None:
            self.dispatcher.receive(link, event.message)
