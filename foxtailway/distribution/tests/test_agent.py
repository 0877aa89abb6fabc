import asyncio
import unittest
from contextlib import AsyncExitStack
from random import Random

from expression import Ok, Result
from tornado.testing import bind_unused_port

from foxtailway.common import Failure, MonotonicClock
from foxtailway.distribution import (
    CONTROL_MESSAGE_TYPES,
    BundleSink,
    DistributionAgent,
    DistributionObserver,
    Topology,
)
from foxtailway.distribution.tests.support import (
    make_config,
    make_host,
    make_host_list,
    make_settings,
)
from foxtailway.model import Bundle, BundleKind
from foxtailway.settings import SeedAddress
from foxtailway.source import BundleCollector
from foxtailway.transport import (
    MeshListener,
    MessageCodec,
    MessageStream,
    StreamAcceptor,
    TcpDialer,
)

MAX_MESSAGE_SIZE = 4_194_304
DEADLINE_S = 10.0


class QueueCollector(BundleCollector):
    def __init__(self) -> None:
        self.bundles = {kind: asyncio.Queue() for kind in BundleKind}

    async def collect(
        self, kind: BundleKind, *, wait_s: float
    ) -> Result[Bundle | None, Failure]:
        if not self.bundles[kind].empty():
            return Ok(self.bundles[kind].get_nowait())
        try:
            bundle = await asyncio.wait_for(self.bundles[kind].get(), wait_s)
        except TimeoutError:
            bundle = None
        return Ok(bundle)


class RecordingSink(BundleSink):
    def __init__(self) -> None:
        self.held: dict[BundleKind, Bundle] = {}
        self.changed = asyncio.Event()
        self.topology: Topology | None = None
        self.agent: DistributionAgent | None = None

    def offer(self, bundle: Bundle, *, delivered_by: str) -> Result[None, Failure]:
        self.held[bundle.kind] = bundle
        self.changed.set()
        if bundle.kind is BundleKind.HOSTS:
            self.agent.update_topology(self.topology)
        return Ok(None)

    async def wait_for(self, bundle: Bundle) -> None:
        while self.held.get(bundle.kind) != bundle:
            self.changed.clear()
            await asyncio.wait_for(self.changed.wait(), DEADLINE_S)


class SilentObserver(DistributionObserver):
    def on_applied(self, bundle: Bundle, *, delivered_by: str) -> None:
        pass

    def on_rejected(
        self, bundle: Bundle, *, delivered_by: str, failure: Failure
    ) -> None:
        pass

    def on_failure(self, failure: Failure) -> None:
        pass


class Node(StreamAcceptor):
    def __init__(self, host_id: str, *, seed: SeedAddress, socket: object) -> None:
        port = socket.getsockname()[1]
        settings = make_settings(host_id, mesh_port=port, seeds=(seed,))
        codec = MessageCodec(message_types=CONTROL_MESSAGE_TYPES)
        self.sink = RecordingSink()
        self.collector = QueueCollector()
        self.agent = DistributionAgent(
            settings=settings,
            clock=MonotonicClock(),
            random_source=Random(1),
            dialer=TcpDialer(
                codec=codec,
                max_message_size=MAX_MESSAGE_SIZE,
                source_address="127.0.0.1",
            ),
            collector=self.collector,
            sink=self.sink,
            observer=SilentObserver(),
        )
        self.sink.agent = self.agent
        self.listen_address = MeshListener(
            codec=codec, max_message_size=MAX_MESSAGE_SIZE, acceptor=self
        )
        self.listen_address.add_sockets([socket])

    async def accept(self, stream: MessageStream) -> None:
        hello = await stream.receive()
        if hello.is_ok():
            await self.agent.accept(stream, hello.ok)


class DistributionAgentTest(unittest.IsolatedAsyncioTestCase):
    """Two agents over TCP: updates reach the child, exceptions stop neither."""

    async def asyncSetUp(self) -> None:
        self.stack = AsyncExitStack()
        self.errors = asyncio.Queue()
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: self.errors.put_nowait(context)
        )
        sockets = [bind_unused_port(address="127.0.0.1") for _ in range(2)]
        seed = SeedAddress(address="127.0.0.1", port=sockets[0][1])
        self.reader, self.member = (
            Node(host_id, seed=seed, socket=socket)
            for host_id, (socket, _) in zip(("first", "second"), sockets, strict=True)
        )
        topology = Topology(
            hosts=tuple(
                make_host(host_id, port=port)
                for host_id, (_, port) in zip(("first", "second"), sockets, strict=True)
            ),
            zone_regions={"accra-a": "accra"},
        )
        for node in (self.reader, self.member):
            node.sink.topology = topology
            node.agent.start()
            self.stack.push_async_callback(node.agent.stop)
            self.stack.callback(node.listen_address.stop)

    async def asyncTearDown(self) -> None:
        await self.stack.aclose()
        self.assertTrue(self.errors.empty())

    async def test_a_raising_sink_does_not_stop_the_agent(self) -> None:
        bundles = self.reader.collector.bundles[BundleKind.CONFIG]
        offer = self.reader.sink.offer
        self.reader.sink.offer = None
        bundles.put_nowait(make_config(1))
        await self.errors.get()
        self.reader.sink.offer = offer
        bundles.put_nowait(make_config(2))
        await self.member.sink.wait_for(make_config(2))

    async def test_a_raising_collector_does_not_stop_the_agent(self) -> None:
        collector = self.reader.collector
        collect = collector.collect
        collector.collect = None
        collector.bundles[BundleKind.CONFIG].put_nowait(make_config(1))
        await self.errors.get()
        collector.collect = collect
        collector.bundles[BundleKind.CONFIG].put_nowait(make_config(2))
        await self.member.sink.wait_for(make_config(2))
        while not self.errors.empty():
            self.errors.get_nowait()

    async def test_updates_reach_the_child(self) -> None:
        bundles = [make_config(1), make_host_list(1), make_config(2)]
        for bundle in bundles:
            self.reader.collector.bundles[bundle.kind].put_nowait(bundle)
            await self.member.sink.wait_for(bundle)
            await self.reader.sink.wait_for(bundle)
        status = self.member.agent.status()
        self.assertEqual(len(status.held), 2)
        self.assertGreater(status.n_bytes_received, 0)
