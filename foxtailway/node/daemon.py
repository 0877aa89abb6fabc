"""Construction, start and shutdown of a node."""

import asyncio
import gc
from contextlib import AsyncExitStack
from random import Random

from tornado.ioloop import PeriodicCallback

from foxtailway.common.clock import Clock
from foxtailway.config.compiler import SnapshotCompiler
from foxtailway.distribution.agent import DistributionAgent
from foxtailway.distribution.message import CONTROL_MESSAGE_TYPES
from foxtailway.distribution.placement import Topology
from foxtailway.model.host import HostState
from foxtailway.model.snapshot import Snapshot
from foxtailway.node.acceptor import NodeAcceptor
from foxtailway.node.applier import SnapshotApplier, SnapshotObserver
from foxtailway.node.observer import NodeObserver
from foxtailway.node.status import NodeStatusReader
from foxtailway.observe.admin import AdminServer
from foxtailway.proxy.channel_pool import ChannelPool
from foxtailway.proxy.dispatcher import CallDispatcher
from foxtailway.proxy.ingress import HttpIngress
from foxtailway.proxy.limiter import ConcurrencyLimiter
from foxtailway.proxy.local_transport import LocalTransport
from foxtailway.proxy.message import CALL_MESSAGE_TYPES
from foxtailway.proxy.responder import CallResponder
from foxtailway.proxy.routing_state import RoutingState
from foxtailway.proxy.runner import RequestRunner
from foxtailway.proxy.upstream import CurlUpstreamClient
from foxtailway.routing.admission import AdmissionQueue
from foxtailway.routing.deadline import PauseDetector
from foxtailway.routing.limit import AdaptiveLimit
from foxtailway.settings.model import NodeSettings
from foxtailway.source.collector import BundleCollector
from foxtailway.transport.codec import MessageCodec
from foxtailway.transport.listener import MeshListener
from foxtailway.transport.stream import Dialer

__all__ = ["NodeDaemon", "make_codec"]

# Interval at which the node checks that its process was not paused.
TICK_INTERVAL_S = 0.25
# Delay of a tick above which the process counts as paused.
PAUSE_TOLERANCE_S = 0.5
# Slots of the local upstream until the first snapshot gives their number.
INITIAL_N_SLOTS = 1


def make_codec() -> MessageCodec:
    """Return the codec for all messages on the mesh port."""
    return MessageCodec(message_types=CONTROL_MESSAGE_TYPES + CALL_MESSAGE_TYPES)


class NodeDaemon(SnapshotObserver):
    """Node of the mesh, which starts and stops its components in order.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the node.
    clock : Clock
        Clock for deadlines and timers.
    random_source : Random
        Source of random choices and of jitter.
    control_dialer, call_dialer : Dialer
        Dialers of the streams to other nodes, for distribution and for calls.
    collector : BundleCollector
        Collector that reads bundles from the platform.
    observer : NodeObserver
        Receiver of events for audit trail, metrics and log.
    """

    def __init__(
        self,
        *,
        settings: NodeSettings,
        clock: Clock,
        random_source: Random,
        control_dialer: Dialer,
        call_dialer: Dialer,
        collector: BundleCollector,
        observer: NodeObserver,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.observer = observer
        self.exit_stack = AsyncExitStack()
        self.state = RoutingState(
            zone=settings.host.zone, clock=clock, random_source=random_source
        )
        self.pause_detector = PauseDetector(
            interval_s=TICK_INTERVAL_S,
            tolerance_s=PAUSE_TOLERANCE_S,
            settle_s=TICK_INTERVAL_S,
            now=clock.now(),
        )
        self.limiter = make_limiter(settings, clock)
        self.upstream_client = make_upstream_client(settings, clock)
        self.channel_pool = ChannelPool(
            settings=settings, dialer=call_dialer, clock=clock, observer=observer
        )
        self.runner = RequestRunner(
            settings=settings,
            clock=clock,
            state=self.state,
            limiter=self.limiter,
            client=self.upstream_client,
            pool=self.channel_pool,
            pause_detector=self.pause_detector,
            observer=observer,
        )
        self.responder = CallResponder(
            settings=settings,
            clock=clock,
            runner=self.runner,
            pause_detector=self.pause_detector,
            observer=observer,
        )
        self.dispatcher = CallDispatcher(
            settings=settings,
            clock=clock,
            state=self.state,
            pool=self.channel_pool,
            local_transport=LocalTransport(runner=self.runner),
            observer=observer,
            random_source=random_source,
        )
        self.agent = DistributionAgent(
            settings=settings,
            clock=clock,
            random_source=random_source,
            dialer=control_dialer,
            collector=collector,
            sink=SnapshotApplier(
                compiler=SnapshotCompiler(site=settings.host.zone), observer=self
            ),
            observer=observer,
        )
        self.ingresses = tuple(
            HttpIngress(
                handler=self.dispatcher,
                is_trusted=is_trusted,
                service=settings.upstream.service if is_trusted else None,
                max_body_size=settings.calls.max_message_size,
            )
            for is_trusted in (False, True)
        )

    async def start(self) -> None:
        """Listen on all ports and start to obtain versions.

        Raises
        ------
        OSError
            When one of the ports cannot be bound.
        """
        settings = self.settings
        self.exit_stack.callback(self.upstream_client.close)
        self.exit_stack.callback(self.limiter.close)
        tick_timer = PeriodicCallback(self.tick, TICK_INTERVAL_S * 1000)
        tick_timer.start()
        self.exit_stack.callback(tick_timer.stop)
        listener = MeshListener(
            codec=make_codec(),
            max_message_size=settings.calls.max_message_size,
            acceptor=NodeAcceptor(
                agent=self.agent, responder=self.responder, observer=self.observer
            ),
        )
        listener.listen(settings.listen.mesh_port, settings.host.address)
        self.exit_stack.callback(listener.stop)
        self.exit_stack.callback(self.channel_pool.close)
        ports = (settings.listen.client_port, settings.listen.local_port)
        for ingress, port in zip(self.ingresses, ports, strict=True):
            ingress.listen(address=settings.host.address, port=port)
            self.exit_stack.push_async_callback(ingress.close)
        self.agent.start()
        self.exit_stack.push_async_callback(self.agent.stop)
        self.start_admin()

    def tick(self) -> None:
        """Detect pauses of the process and record the last confirmation.

        Called every `TICK_INTERVAL_S` seconds.
        """
        now = self.clock.now()
        self.pause_detector.observe(now)
        age_s = self.agent.core.context.freshness.age_s(now)
        if age_s is not None:
            self.runner.home_guard.confirm(now - age_s)

    def start_admin(self) -> None:
        """Start the HTTP server of the admin port."""
        admin = AdminServer(
            address=self.settings.host.address,
            port=self.settings.listen.admin_port,
            provider=NodeStatusReader(
                host=self.settings.host,
                state=self.state,
                agent=self.agent,
                dispatcher=self.dispatcher,
                observer=self.observer,
            ),
            trail=self.observer.trail,
            metrics=self.observer.metrics,
        )
        admin.start()
        self.exit_stack.push_async_callback(admin.stop)

    def snapshot_applied(self, snapshot: Snapshot) -> None:
        """Put a snapshot in force in all components of the node."""
        previous = self.state.snapshot
        self.state.apply(snapshot)
        self.observer.update_routes(snapshot)
        local_cluster = snapshot.clusters.get(self.settings.upstream.service)
        if local_cluster is not None:
            self.limiter.configure(local_cluster)
        self.runner.home_guard.update(
            snapshot.endpoints.get(self.settings.upstream.service, ()),
            snapshot.hosts,
            snapshot.hosts_version,
            self.clock.now(),
        )
        self.channel_pool.retain(frozenset(snapshot.hosts))
        self.update_topology(previous, snapshot)
        local_host = snapshot.hosts.get(self.settings.host.host_id)
        is_leaving = local_host is not None and local_host.state is HostState.LEAVING
        self.responder.set_leaving(is_leaving)
        if previous is None:
            freeze_heap()

    def update_topology(self, previous: Snapshot | None, snapshot: Snapshot) -> None:
        """Pass hosts and zones to distribution if they changed.

        Any other change of the snapshot skips the update.
        """
        if (
            previous is not None
            and previous.hosts_version == snapshot.hosts_version
            and previous.zone_regions == snapshot.zone_regions
        ):
            return
        self.agent.update_topology(
            Topology(
                hosts=tuple(snapshot.hosts.values()),
                zone_regions=snapshot.zone_regions,
            )
        )

    async def stop(self) -> None:
        """Refuse new requests, wait for the running ones, then close all ports.

        Calls from the local upstream are still accepted until its last request
        has ended. The wait is limited by the setting ``calls.stop_timeout``.
        """
        self.dispatcher.is_stopping = True
        for ingress in self.ingresses:
            ingress.is_stopping = True
        timeout_s = self.settings.calls.stop_timeout_s
        await asyncio.gather(
            self.responder.drain(timeout_s), self.dispatcher.drain(timeout_s)
        )
        await self.exit_stack.aclose()


def freeze_heap() -> None:
    """Exempt all existing objects from cyclic garbage collection.

    The compiled configuration lives as long as the process. Without the freeze,
    each full collection traverses it and blocks calls for tens of milliseconds.
    Objects that are replaced later are still freed by reference counting.
    """
    gc.collect()
    gc.freeze()


def make_limiter(settings: NodeSettings, clock: Clock) -> ConcurrencyLimiter:
    """Return the limiter of the local upstream before the first snapshot.

    The queue has length 0 until a snapshot configures its limits.
    """
    queue = AdmissionQueue(
        host_id=settings.host.host_id,
        limit_policy=AdaptiveLimit(n_slots=INITIAL_N_SLOTS),
        n_queued=0,
        queue_timeout_s=0.0,
    )
    return ConcurrencyLimiter(queue=queue, clock=clock)


def make_upstream_client(settings: NodeSettings, clock: Clock) -> CurlUpstreamClient:
    """Return the HTTP client of the local upstream."""
    return CurlUpstreamClient(
        clock=clock,
        host_id=settings.host.host_id,
        address=settings.upstream.address,
        port=settings.upstream.port,
        connect_timeout_s=settings.upstream.connect_timeout_s,
        n_connections=settings.calls.max_in_flight,
        max_body_size=settings.calls.max_message_size,
    )
