"""Asyncio runtime of the distribution core: streams, tasks and the timer."""

import asyncio
from collections import deque
from random import Random

from expression import Error

from foxtailway.common.clock import Clock
from foxtailway.common.failure import Failure, FailureKind, Step
from foxtailway.distribution.action import (
    Action,
    CloseLink,
    Collect,
    Dial,
    Offer,
    ReportFailure,
    Send,
    SendUpdate,
    WakeAt,
)
from foxtailway.distribution.core import DistributionCore
from foxtailway.distribution.event import (
    Collected,
    DialFailed,
    DialSucceeded,
    Event,
    LinkAccepted,
    OfferDecided,
    Started,
    Stopped,
    TimerFired,
    TopologyUpdated,
)
from foxtailway.distribution.exchange import PLATFORM_PEER
from foxtailway.distribution.message import ControlHello
from foxtailway.distribution.observer import DistributionObserver
from foxtailway.distribution.sink import BundleSink
from foxtailway.distribution.status import DistributionStatus, make_status
from foxtailway.distribution.stream_pool import StreamPool, TaskGroup
from foxtailway.distribution.topology import Topology
from foxtailway.model.bundle import BundleKind
from foxtailway.settings.model import NodeSettings
from foxtailway.source.collector import BundleCollector
from foxtailway.transport import Dialer, MessageStream

__all__ = ["DistributionAgent"]

# Longest wait at stop for the go-away messages to be sent.
GO_AWAY_TIMEOUT_S = 1.0


class DistributionAgent:
    """Run the distribution core of one node on an asyncio loop.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the node.
    clock : Clock
        Monotonic clock.
    random_source : Random
        Source of jitter.
    dialer : Dialer
        Opener of streams to other nodes.
    collector : BundleCollector
        Client of the platform.
    sink : BundleSink
        Receiver of verified bundles.
    observer : DistributionObserver
        Receiver of applied and rejected versions and of failures.
    """

    def __init__(
        self,
        *,
        settings: NodeSettings,
        clock: Clock,
        random_source: Random,
        dialer: Dialer,
        collector: BundleCollector,
        sink: BundleSink,
        observer: DistributionObserver,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.dialer = dialer
        self.collector = collector
        self.sink = sink
        self.observer = observer
        self.core = DistributionCore(
            settings=settings, random_source=random_source, now=clock.now()
        )
        self.tasks = TaskGroup()
        self.pool = StreamPool(tasks=self.tasks, handle=self.handle)
        self.events: deque[Event] = deque()
        self.is_handling = False
        self.timer: asyncio.TimerHandle | None = None
        self.executors = {
            Dial: self.execute_dial,
            Send: self.execute_send,
            SendUpdate: self.execute_send_update,
            CloseLink: self.execute_close_link,
            Collect: self.execute_collect,
            Offer: self.execute_offer,
            ReportFailure: self.execute_report_failure,
            WakeAt: self.execute_wake_at,
        }

    def start(self) -> None:
        """Start the core; must be called on the running loop."""
        self.handle(Started())

    async def accept(self, stream: MessageStream, hello: ControlHello) -> None:
        """Serve an inbound control stream until it ends.

        Parameters
        ----------
        stream : MessageStream
            Stream whose first message was received.
        hello : ControlHello
            First message of the stream.
        """
        link_id = self.core.allocate_link_id()
        self.pool.attach(link_id, stream)
        self.handle(LinkAccepted(link_id=link_id, hello=hello))
        await self.pool.read(link_id)

    def update_topology(self, topology: Topology) -> None:
        """Pass the hosts of the snapshot in force to the core."""
        self.handle(TopologyUpdated(topology=topology))

    def status(self) -> DistributionStatus:
        """Return the distribution state of the node."""
        return make_status(
            self.core,
            now=self.clock.now(),
            n_bytes_sent=self.pool.n_bytes_sent,
            n_bytes_received=self.pool.n_bytes_received,
        )

    async def stop(self) -> None:
        """Send go-away to all peers, close the streams and cancel all tasks.

        Returns after at most `GO_AWAY_TIMEOUT_S` plus the end of the tasks.
        """
        self.handle(Stopped())
        if self.timer is not None:
            self.timer.cancel()
        await self.pool.drain(timeout_s=GO_AWAY_TIMEOUT_S)
        await self.tasks.cancel()

    def handle(self, event: Event) -> None:
        """Pass an event to the core and execute the resulting actions in order.

        Events that arise while an action is executed are queued until the actions
        of the current event are done.
        """
        self.events.append(event)
        if self.is_handling:
            return
        self.is_handling = True
        try:
            while self.events:
                next_event = self.events.popleft()
                for action in self.core.handle(next_event, now=self.clock.now()):
                    self.execute(action)
        finally:
            self.is_handling = False

    def execute(self, action: Action) -> None:
        """Execute one action."""
        self.executors[type(action)](action)

    def execute_dial(self, action: Dial) -> None:
        """Dial the target in a task."""
        self.tasks.spawn(self.dial(action))

    def execute_send(self, action: Send) -> None:
        """Queue a message unless the stream is gone."""
        outbox = self.pool.outboxes.get(action.link_id)
        if outbox is not None:
            outbox.put(action.message)

    def execute_send_update(self, action: SendUpdate) -> None:
        """Queue the parts of an update unless the stream is gone."""
        outbox = self.pool.outboxes.get(action.link_id)
        if outbox is not None:
            outbox.put_update(action.kind, action.parts)

    def execute_close_link(self, action: CloseLink) -> None:
        """Close a stream once its queue is empty."""
        outbox = self.pool.outboxes.get(action.link_id)
        if outbox is not None:
            outbox.close()

    def execute_collect(self, action: Collect) -> None:
        """Query the platform in a task."""
        self.tasks.spawn(self.collect(action))

    def execute_offer(self, action: Offer) -> None:
        """Offer a bundle to the sink and queue its decision as an event.

        An exception of the sink counts as a rejection.
        """
        bundle = action.bundle
        sender = action.delivered_by
        try:
            result = self.sink.offer(bundle, delivered_by=sender)
        except Exception as error:
            result = Error(self.report_exception(error, step=Step.COMPILE, peer=sender))
        if result.is_ok():
            self.observer.on_applied(bundle, delivered_by=sender)
        else:
            self.observer.on_rejected(bundle, delivered_by=sender, failure=result.error)
        self.events.append(
            OfferDecided(bundle=bundle, delivered_by=sender, result=result)
        )

    def execute_report_failure(self, action: ReportFailure) -> None:
        """Report a failure to the observer."""
        self.observer.on_failure(action.failure)

    def execute_wake_at(self, action: WakeAt) -> None:
        """Set the timer, in place of an earlier setting."""
        if self.timer is not None:
            self.timer.cancel()
        delay_s = max(0.0, action.time_s - self.clock.now())
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(delay_s, self.fire_timer)

    def fire_timer(self) -> None:
        """Wake the core.

        The timer is set again first, so that it still fires if the core raises.
        """
        retry_at_s = self.clock.now() + self.settings.distribution.heartbeat_s
        self.execute_wake_at(WakeAt(time_s=retry_at_s))
        self.handle(TimerFired())

    def report_exception(self, error: Exception, *, step: Step, peer: str) -> Failure:
        """Pass an exception to the loop's handler and return it as a failure."""
        asyncio.get_running_loop().call_exception_handler(
            {"message": f"{step.value} raised an exception", "exception": error}
        )
        detail = f"{type(error).__name__}: {error}"
        return Failure(step=step, kind=FailureKind.INVALID, peer=peer, detail=detail)

    async def dial(self, action: Dial) -> None:
        """Dial a peer, then read from the stream until it ends."""
        dialed = await self.dialer.dial(
            address=action.target.address,
            port=action.target.port,
            timeout_s=self.settings.distribution.connect_timeout_s,
        )
        link_id = action.link_id
        if dialed.is_error():
            self.handle(DialFailed(link_id=link_id, failure=dialed.error))
            return
        stream = dialed.ok
        if self.core.links.find(link_id) is None:
            stream.close()
            return
        self.pool.attach(link_id, stream)
        self.handle(DialSucceeded(link_id=link_id))
        await self.pool.read(link_id)

    async def collect(self, action: Collect) -> None:
        """Query the platform and pass the result to the core."""
        kind: BundleKind = action.kind
        try:
            result = await self.collector.collect(kind, wait_s=action.wait_s)
        except Exception as error:
            failure = self.report_exception(
                error, step=Step.SOURCE_WATCH, peer=PLATFORM_PEER
            )
            result = Error(failure)
        self.handle(Collected(kind=kind, epoch=action.epoch, result=result))
