"""State machine that distributes versions; it does no I/O."""

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
from foxtailway.distribution.message import Goodbye
from foxtailway.distribution.placement import Placement, compute_placement
from foxtailway.distribution.platform import PlatformSide
from foxtailway.distribution.uplink import Uplink
from foxtailway.settings.model import NodeSettings

__all__ = ["DistributionCore"]

TICKS_PER_HEARTBEAT = 4


class DistributionCore:
    """Turn events into actions.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the node.
    random_source : Random
        Source of jitter.
    now : float
        Current time in seconds.
    """

    def __init__(
        self, *, settings: NodeSettings, random_source: Random, now: float
    ) -> None:
        self.settings = settings
        self.sizes = settings.distribution
        self.context = CoreContext(
            settings=settings, random_source=random_source, now=now
        )
        self.links = self.context.links
        self.bootstrap = Bootstrap(deadline_s=now + self.sizes.bootstrap_timeout_s)
        self.exchange = VersionExchange(context=self.context, bootstrap=self.bootstrap)
        self.uplink = Uplink(context=self.context, exchange=self.exchange)
        self.downlink = Downlink(context=self.context, exchange=self.exchange)
        self.platform = PlatformSide(context=self.context, exchange=self.exchange)
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
        """Return the identifier of a stream that is about to be accepted."""
        return next(self.context.link_ids)

    def handle(self, event: Event, *, now: float) -> tuple[Action, ...]:
        """Advance to `now`, handle an event and return what is to be done.

        Parameters
        ----------
        event : Event
            What happened.
        now : float
            Current time in seconds; never decreases.

        Returns
        -------
        tuple of Action
            Actions in the order in which they are to be carried out.
        """
        paused_s = now - self.context.now
        self.context.now = now
        if self.is_running and paused_s > self.sizes.silence_s:
            self.recover_from_pause(paused_s)
        self.handlers[type(event)](event)
        if self.is_running:
            self.tick()
        actions = tuple(self.context.actions)
        self.context.actions.clear()
        return actions

    def recover_from_pause(self, paused_s: float) -> None:
        """Drop a view of the world that may be long out of date."""
        self.context.fail(
            Step.RECEIVE,
            FailureKind.TIMEOUT,
            peer=self.settings.host.host_id,
            detail=f"paused for {paused_s:.1f} s",
        )
        for link in list(self.links.links.values()):
            self.context.close(link)
            if link.role is LinkRole.PROBE:
                self.bootstrap.answer(link.link_id)
        self.context.freshness.forget()
        self.platform.poller.epoch += 1
        self.uplink.seeker.postpone(now=self.context.now)
        self.downlink.unconfirmed_until_s = (
            self.context.now + self.sizes.bootstrap_timeout_s
        )

    def tick(self) -> None:
        """Do what is due and choose when to wake up."""
        now = self.context.now
        if not self.bootstrap.is_over and now >= self.bootstrap.deadline_s:
            self.exchange.release()
        if now >= self.bootstrap.deadline_s + self.sizes.bootstrap_timeout_s:
            self.exchange.end_deferral()
        self.liveness.tick()
        is_lost = self.is_lost()
        self.try_parent_before_platform()
        self.platform.tick(is_lost=is_lost)
        self.uplink.tick(is_lost=is_lost)
        self.context.actions.append(WakeAt(time_s=self.next_deadline_s()))

    def try_parent_before_platform(self) -> None:
        """Look for a parent at once when an orphan's fallback is due."""
        if self.uplink.parent is not None:
            return
        wait_s = 2 * self.sizes.connect_timeout_s
        now = self.context.now
        if self.platform.poller.grant_last_try(now=now, wait_s=wait_s):
            self.uplink.seeker.retry_at_s = now

    def next_deadline_s(self) -> float:
        """Return when the next decision may be due, in seconds."""
        now = self.context.now
        deadlines = [
            self.platform.poller.next_deadline_s(),
            self.uplink.seeker.retry_at_s,
            self.bootstrap.deadline_s,
        ]
        latest_s = now + self.sizes.heartbeat_s / TICKS_PER_HEARTBEAT
        coming = [time_s for time_s in deadlines if time_s and time_s > now]
        return min([latest_s, *coming])

    def is_lost(self) -> bool:
        """Tell whether the node lacks a fresh way to the platform."""
        if self.context.freshness.is_stale(self.context.now):
            return True
        return self.uplink.parent is None and not self.platform.poller.is_reader

    def on_started(self, event: Started) -> None:
        """Ask the seeds, and look for a parent soon after."""
        self.is_running = True
        self.uplink.probe_seeds()
        self.uplink.seeker.postpone(now=self.context.now)
        self.exchange.release()

    def on_stopped(self, event: Stopped) -> None:
        """Say goodbye to all peers."""
        self.is_running = False
        self.downlink.is_stopping = True
        for link in list(self.links.links.values()):
            self.context.send(link, Goodbye(alternates=()))
            self.context.close(link)

    def on_timer_fired(self, event: TimerFired) -> None:
        """Leave the work to `tick`."""

    def on_dial_succeeded(self, event: DialSucceeded) -> None:
        """Send the hello."""
        link = self.links.find(event.link_id)
        if link is not None:
            self.uplink.greet(link)

    def on_dial_failed(self, event: DialFailed) -> None:
        """Try another peer."""
        link = self.links.links.pop(event.link_id, None)
        if link is not None:
            self.uplink.lose(link, event.failure, blocked_s=0.0)

    def on_link_accepted(self, event: LinkAccepted) -> None:
        """Answer a hello."""
        self.downlink.accept(event.link_id, event.hello)

    def on_link_closed(self, event: LinkClosed) -> None:
        """Forget a stream and replace it if it led to the parent."""
        link = self.links.links.pop(event.link_id, None)
        if link is None:
            return
        if link.is_dialed:
            self.uplink.lose(link, event.failure, blocked_s=0.0)
        elif event.failure.kind is not FailureKind.CLOSED:
            self.context.report(event.failure)

    def on_update_sent(self, event: UpdateSent) -> None:
        """Send the next version if one came up meanwhile."""
        link = self.links.find(event.link_id)
        if link is not None:
            link.sending.pop(event.kind, None)
            self.exchange.feed(link)

    def on_collected(self, event: Collected) -> None:
        """Use the platform's answer."""
        self.platform.receive(event)

    def on_offer_decided(self, event: OfferDecided) -> None:
        """Push an applied version on."""
        self.exchange.decide(event)
        self.platform.poller.n_documents = self.exchange.count_documents()

    def on_topology_updated(self, event: TopologyUpdated) -> None:
        """Take the place that the topology gives."""
        placement = compute_placement(event.topology, settings=self.settings)
        self.placement = placement
        self.platform.poller.place(placement)
        self.downlink.place(event.topology)
        self.exchange.end_deferral()
        self.uplink.is_relay = placement.is_relay
        self.uplink.seeker.place(
            candidates=placement.candidates,
            nearby=placement.nearby,
            rescuers=placement.rescuers,
            listed_seeds=placement.listed_seeds,
            now=self.context.now,
        )

    def on_message_received(self, event: MessageReceived) -> None:
        """Handle a message of a known stream."""
        link = self.links.find(event.link_id)
        if link is not None:
            self.dispatcher.receive(link, event.message)
