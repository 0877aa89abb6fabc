"""Simulated network of distribution cores on a virtual clock."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random

from expression import Error, Ok, Result

from foxtailway.common import Failure, FailureKind, Step
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
    LinkClosed,
    MessageReceived,
    OfferDecided,
    Started,
    TimerFired,
    TopologyUpdated,
    UpdateSent,
)
from foxtailway.distribution.topology import Topology
from foxtailway.model import (
    Bundle,
    BundleKind,
    Host,
    Version,
    VersionOrder,
    compare_versions,
)
from foxtailway.settings import NodeSettings

INVALID_MARK = b"bad"


def fail(step: Step, kind: FailureKind) -> Failure:
    return Failure(step=step, kind=kind, peer="peer", detail="fake")


def is_invalid(bundle: Bundle) -> bool:
    return any(INVALID_MARK in document.content for document in bundle.documents)


class FakePlatform:
    def __init__(self) -> None:
        self.published: dict[BundleKind, list[Bundle]] = {
            kind: [] for kind in BundleKind
        }
        self.current: dict[BundleKind, Bundle] = {}
        self.is_up = True
        self.stale_hosts: set[str] = set()
        self.n_calls = 0

    def publish(self, bundle: Bundle) -> None:
        self.published[bundle.kind].append(bundle)
        self.current[bundle.kind] = bundle

    def read(self, kind: BundleKind, host_id: str) -> Bundle | None:
        published = self.published[kind]
        if host_id in self.stale_hosts and len(published) > 1:
            return published[-2]
        return self.current.get(kind)


class FakeNode:
    """One core with its sink and the remote ends of its streams.

    The sink fails the test if a bundle moves the node back to an older version or
    was never published as a whole.
    """

    def __init__(self, network: "FakeNetwork", settings: NodeSettings) -> None:
        self.network = network
        self.settings = settings
        self.host_id = settings.host.host_id
        self.core = DistributionCore(
            settings=settings,
            random_source=Random(network.random_source.random()),
            now=network.now,
        )
        self.applied: dict[BundleKind, Bundle] = {}
        self.collected: dict[BundleKind, Version] = {}
        self.failures: list[Failure] = []
        self.remote_ends: dict[int, tuple[FakeNode, int]] = {}
        self.is_alive = True
        self.wake_s = 0.0
        self.paused_until_s = 0.0

    def handle(self, event: Event) -> None:
        if not self.is_alive:
            return
        if self.network.now < self.paused_until_s:
            self.network.call_at(self.paused_until_s, lambda: self.handle(event))
            return
        for action in self.core.handle(event, now=self.network.now):
            self.execute(action)

    def execute(self, action: Action) -> None:
        network = self.network
        match action:
            case Dial():
                network.dial(self, action)
            case Send():
                network.transmit(self, action.link_id, action.message)
            case SendUpdate():
                network.record_update(self, action.link_id)
                for part in action.parts:
                    network.transmit(self, action.link_id, part)
                sent = UpdateSent(link_id=action.link_id, kind=action.kind)
                network.call_later(0.001, lambda: self.handle(sent))
            case CloseLink():
                network.close_stream(self, action.link_id)
            case Collect():
                network.collect(self, action, deadline_s=network.now + action.wait_s)
            case Offer():
                result = self.offer(action.bundle)
                self.handle(
                    OfferDecided(
                        bundle=action.bundle,
                        delivered_by=action.delivered_by,
                        result=result,
                    )
                )
            case ReportFailure():
                self.failures.append(action.failure)
            case WakeAt():
                self.wake_s = action.time_s
                network.call_at(action.time_s, lambda: self.fire_timer(action.time_s))

    def fire_timer(self, time_s: float) -> None:
        if time_s == self.wake_s:
            self.handle(TimerFired())

    def offer(self, bundle: Bundle) -> Result[None, Failure]:
        held = self.applied.get(bundle.kind)
        order = compare_versions(
            held=held.version if held else None, offered=bundle.version
        )
        if order is not VersionOrder.NEWER:
            raise AssertionError(f"{self.host_id} moved back to {bundle.version}")
        if bundle not in self.network.platform.published[bundle.kind]:
            raise AssertionError(f"{self.host_id} holds part of {bundle.version}")
        if is_invalid(bundle):
            return Error(fail(Step.CONFIG_VALIDATE, FailureKind.INVALID))
        self.applied[bundle.kind] = bundle
        if bundle.kind is BundleKind.HOSTS:
            self.handle(TopologyUpdated(topology=self.network.topology))
        return Ok(None)


class FakeNetwork:
    """Deliver messages with random delays, in order only within a stream."""

    def __init__(self, *, seed: int, topology: Topology) -> None:
        self.random_source = Random(seed)
        self.topology = topology
        self.platform = FakePlatform()
        self.nodes: dict[str, FakeNode] = {}
        self.now = 0.0
        self.sequence = count()
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.cut_zones: set[str] = set()
        self.delivered_s: dict[tuple[str, int], float] = {}
        self.updates: list[tuple[str, str]] = []

    def call_at(self, time_s: float, run: Callable[[], None]) -> None:
        heappush(self.queue, (max(time_s, self.now), next(self.sequence), run))

    def call_later(self, delay_s: float, run: Callable[[], None]) -> None:
        self.call_at(self.now + delay_s, run)

    def run(self, duration_s: float) -> None:
        end_s = self.now + duration_s
        while self.queue and self.queue[0][0] <= end_s:
            self.now, _, run = heappop(self.queue)
            run()
        self.now = end_s

    def start(self, settings: NodeSettings) -> FakeNode:
        node = FakeNode(self, settings)
        self.nodes[node.host_id] = node
        node.handle(Started())
        return node

    def kill(self, host_id: str) -> None:
        node = self.nodes[host_id]
        node.is_alive = False
        for link_id in list(node.remote_ends):
            self.close_stream(node, link_id)

    def is_cut(self, first: str, second: str) -> bool:
        if first == second:
            return False
        return bool({first, second} & self.cut_zones)

    def is_separated(self, node: FakeNode, peer: FakeNode) -> bool:
        return self.is_cut(node.settings.host.zone, peer.settings.host.zone)

    def find_host(self, address: str) -> Host | None:
        for host in self.topology.hosts:
            if host.address == address:
                return host
        return None

    def dial(self, node: FakeNode, action: Dial) -> None:
        host = self.find_host(action.target.address)
        peer = self.nodes.get(host.host_id) if host else None
        refused = DialFailed(
            link_id=action.link_id,
            failure=fail(Step.CONNECT, FailureKind.UNREACHABLE),
        )
        if peer is None or not peer.is_alive:
            self.call_later(0.01, lambda: node.handle(refused))
        elif self.is_separated(node, peer):
            self.call_later(1.0, lambda: node.handle(refused))
        else:
            connected = DialSucceeded(link_id=action.link_id)
            peer_link_id = peer.core.allocate_link_id()
            node.remote_ends[action.link_id] = (peer, peer_link_id)
            peer.remote_ends[peer_link_id] = (node, action.link_id)
            self.call_later(0.002, lambda: node.handle(connected))

    def transmit(self, node: FakeNode, link_id: int, message: object) -> None:
        end = node.remote_ends.get(link_id)
        if end is None:
            return
        peer, peer_link_id = end
        event = MessageReceived(link_id=peer_link_id, message=message)
        if type(message).__name__ == "ControlHello":
            event = LinkAccepted(link_id=peer_link_id, hello=message)
        self.schedule(node, peer, peer_link_id, event)

    def record_update(self, node: FakeNode, link_id: int) -> None:
        """Record the zones of the sender and the receiver of an update."""
        if link_id in node.remote_ends:
            peer = node.remote_ends[link_id][0]
            zones = (node.settings.host.zone, peer.settings.host.zone)
            self.updates.append(zones)

    def schedule(
        self, node: FakeNode, peer: FakeNode, peer_link_id: int, event: Event
    ) -> None:
        """Deliver an event after a random delay.

        A stream that is cut in the meantime becomes silent without an event.
        """
        key = (peer.host_id, peer_link_id)
        time_s = self.now + self.random_source.uniform(0.001, 0.05)
        time_s = max(time_s, self.delivered_s.get(key, 0.0))
        self.delivered_s[key] = time_s

        def deliver() -> None:
            if self.is_separated(node, peer):
                peer.remote_ends.pop(peer_link_id, None)
            elif peer_link_id in peer.remote_ends:
                if isinstance(event, LinkClosed):
                    del peer.remote_ends[peer_link_id]
                peer.handle(event)

        self.call_at(time_s, deliver)

    def close_stream(self, node: FakeNode, link_id: int) -> None:
        end = node.remote_ends.pop(link_id, None)
        if end is not None:
            peer, peer_link_id = end
            failure = fail(Step.RECEIVE, FailureKind.CLOSED)
            closed = LinkClosed(link_id=peer_link_id, failure=failure)
            self.schedule(node, peer, peer_link_id, closed)

    def collect(self, node: FakeNode, action: Collect, *, deadline_s: float) -> None:
        platform = self.platform
        platform.n_calls += 1

        def answer(result: Result) -> None:
            event = Collected(kind=action.kind, epoch=action.epoch, result=result)
            self.call_later(0.005, lambda: node.handle(event))

        def poll() -> None:
            if not platform.is_up or node.settings.host.zone in self.cut_zones:
                answer(Error(fail(Step.SOURCE_WATCH, FailureKind.UNAVAILABLE)))
                return
            bundle = platform.read(action.kind, node.host_id)
            if bundle and node.collected.get(action.kind) != bundle.version:
                node.collected[action.kind] = bundle.version
                answer(Ok(bundle))
            elif self.now >= deadline_s:
                answer(Ok(None))
            else:
                self.call_later(0.1, poll)

        poll()
