import asyncio
import socket
from dataclasses import replace
from random import Random
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

from foxtailway.routing.outcome import Outcome, RefusalReason
from foxtailway.sidecar import node as node_module
from foxtailway.sidecar import peer_pool, upstream_pool
from foxtailway.sidecar.gauges import read_gauges
from foxtailway.sidecar.log import EventLog
from foxtailway.sidecar.node import (
    IDLE_POLL_INTERVAL_S,
    SidecarNode,
    StopTimes,
    wait_until_idle,
)
from foxtailway.sidecar.settings import Endpoint, SidecarSettings
from foxtailway.sidecar.tests.support import (
    LONG_TIMEOUT_S,
    NAMES,
    ScriptedUpstream,
    make_call,
    make_log,
    respond,
    respond_after,
    wait_until,
)
from foxtailway.traffic.configuration import ClientLimits, TrafficConfiguration
from foxtailway.traffic.reader_roles import HostCapacity
from foxtailway.traffic.tests.builders import make_route, make_upstream

REQUEST = (
    b"GET /x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r-1\r\n"
    b"X-Remaining-Ms: 60000\r\n\r\n"
)
# Endpoint on which nothing listens.
NO_UPSTREAM = Endpoint(address="127.0.0.1", port=1)
STOP_TIMES = StopTimes(go_away_s=0.0, close_idle_s=0.0, end_s=2 * LONG_TIMEOUT_S)

# Upstream on the host of the entry node; it gets no requests in these tests.
ENTRY_UPSTREAM = make_upstream("u-0", service="desk", address="127.0.0.1")


def make_settings(address: str, upstream: Endpoint) -> SidecarSettings:
    """Return settings with ports that the operating system chooses."""
    free = Endpoint(address=address, port=0)
    return SidecarSettings(
        host_id=address,
        zone="zone-a",
        service="desk",
        zone_regions={"zone-a": "east"},
        client_listener=free,
        peer_listener=free,
        ready_listener=free,
        upstream=upstream,
        store=free,
        capacity=HostCapacity(link_mbps=1000.0, n_cores=1.0),
        apply_s=2.0,
        grace_s=6.0,
        retry_ratio=0.2,
        retry_slack=50.0,
        retry_window_s=10.0,
        max_response_size=4_000_000,
        max_buffered_size=16_000_000,
    )


def make_node(
    address: str,
    log: EventLog,
    upstream: Endpoint = NO_UPSTREAM,
) -> SidecarNode:
    """Return a node that is not started."""
    return SidecarNode(
        settings=make_settings(address, upstream),
        names=NAMES,
        ready_path="/ready",
        log=log,
        random_source=Random(1),
    )


class EndToEndTest(IsolatedAsyncioTestCase):
    """Requests through two sidecars on two loopback addresses to one upstream."""

    def setUp(self) -> None:
        for module, name in (
            (peer_pool, "CONNECT_TIMEOUT_S"),
            (peer_pool, "PROBE_INTERVAL_S"),
            (upstream_pool, "CONNECT_TIMEOUT_S"),
        ):
            patcher = patch.object(module, name, LONG_TIMEOUT_S)
            patcher.start()
            self.addCleanup(patcher.stop)

    async def start(self, upstream: ScriptedUpstream) -> None:
        upstream_endpoint = Endpoint(address="127.0.0.2", port=upstream.port)
        self.entry_node = await self.start_node("127.0.0.1", NO_UPSTREAM)
        self.upstream_node = await self.start_node("127.0.0.2", upstream_endpoint)
        self.upstream_node.runner.pool.address = "127.0.0.1"
        port = self.upstream_node.peer_listener.server.sockets[0].getsockname()[1]
        self.entry_node.peers.port = port
        configuration = TrafficConfiguration(
            version=1,
            routes=(
                make_route(timeout_s=LONG_TIMEOUT_S, target_latency_s=LONG_TIMEOUT_S),
            ),
            limits=ClientLimits(),
        )
        for node in (self.entry_node, self.upstream_node):
            node.membership.put(make_upstream("u-1", address="127.0.0.2"))
            node.membership.put(ENTRY_UPSTREAM)
            node.apply(configuration)

    async def start_node(self, address: str, upstream: Endpoint) -> SidecarNode:
        node = make_node(address, make_log(), upstream)
        await node.start()
        self.addAsyncCleanup(node.exit_stack.aclose)
        return node

    async def send(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        server = self.entry_node.client_listener.server
        port = server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        self.addCleanup(writer.close)
        writer.write(REQUEST)
        return reader, writer

    async def test_request_reaches_the_upstream_and_its_response_the_client(
        self,
    ) -> None:
        async with ScriptedUpstream(respond(body="whole")) as upstream:
            await self.start(upstream)
            reader, _ = await self.send()
            head = await reader.readuntil(b"\r\n\r\n")
            self.assertIn(b"200 OK", head)
            self.assertIn(b"X-Seal: s", head)
            self.assertEqual(await reader.readexactly(5), b"whole")
            self.assertIn("x-caller: desk", upstream.requests[0])

    async def test_crash_of_an_upstream_is_known_at_the_entry(self) -> None:
        """Requests that crash upstreams must be recognized at all nodes."""
        released = asyncio.Event()
        async with ScriptedUpstream(*[respond_after(released)] * 2) as upstream:
            await self.start(upstream)
            for _ in range(2):
                await self.send()
            await wait_until(lambda: len(upstream.requests) == 2)
            upstream.server.close()
            for writer in upstream.writers:
                writer.transport.abort()
            entry = self.entry_node
            await wait_until(lambda: read_gauges(entry)["crashes_learnt"] == 1)
            released.set()
        for node in (entry, self.upstream_node):
            self.assertEqual(read_gauges(node)["crash_suspects"], 1)
            self.assertEqual(node.guard.count_quarantined(), 0)

    async def test_configuration_without_a_recent_confirmation_may_be_outdated(
        self,
    ) -> None:
        async with ScriptedUpstream() as upstream:
            await self.start(upstream)
            node = self.entry_node
            apply_s = node.settings.apply_s
            node.exchange.up_to_date_at = node.loop.time()
            self.assertTrue(node.is_up_to_date())
            node.exchange.up_to_date_at -= apply_s
            self.assertFalse(node.is_up_to_date())

    async def test_stop_of_the_entry_node_lets_requests_finish(self) -> None:
        await self.check_stop_of(lambda: self.entry_node)

    async def test_stop_of_the_upstream_node_lets_requests_finish(self) -> None:
        await self.check_stop_of(lambda: self.upstream_node)

    async def check_stop_of(self, find_node) -> None:
        released = asyncio.Event()
        async with ScriptedUpstream(respond_after(released)) as upstream:
            await self.start(upstream)
            reader, _ = await self.send()
            await wait_until(lambda: bool(upstream.requests))
            stopping = asyncio.create_task(find_node().stop(STOP_TIMES))
            await wait_until(lambda: find_node().runner.is_stopping)
            self.assertFalse(find_node().is_ready())
            released.set()
            head = await reader.readuntil(b"\r\n\r\n")
            self.assertIn(b"200 OK", head)
            await stopping

    async def test_stop_under_load_answers_all_accepted_requests(self) -> None:
        """Load pattern: clients connect and send at any moment of a planned stop."""
        async with ScriptedUpstream(*[respond()] * 10_000) as upstream:
            await self.start(upstream)
            server = self.entry_node.client_listener.server
            port = server.sockets[0].getsockname()[1]
            clients = [
                asyncio.create_task(self.send_until_refused(port, delay_s))
                for delay_s in (0.0, 0.0, 0.001, 0.005, 0.02) * 4
            ]
            await asyncio.sleep(0.05)
            stop_times = StopTimes(go_away_s=0.05, close_idle_s=0.1, end_s=2.0)
            await self.entry_node.stop(stop_times)
            answers = [line for task in clients for line in await task]
        self.assertGreater(len(answers), len(clients))
        self.assertEqual(set(answers) - {b"HTTP/1.1 200", b"HTTP/1.1 503"}, set())

    async def send_in_stop(self, remaining_ms: int) -> bytes:
        """Send a request during a planned stop of its node; return the answer."""
        port = self.entry_node.client_listener.server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        self.addCleanup(writer.close)
        remaining = b"X-Remaining-Ms: %d" % remaining_ms
        writer.write(REQUEST.replace(b"X-Remaining-Ms: 60000", remaining))
        return await reader.read()

    async def test_request_late_in_a_stop_is_answered(self) -> None:
        """Load pattern: requests come until the end of a stop, upstreams are slow.

        Those with a deadline shortly before the end were passed on and cut off.
        """
        end_s = 1.5
        stop_times = StopTimes(go_away_s=0.0, close_idle_s=0.0, end_s=end_s)
        silent = [respond_after(asyncio.Event())] * 100
        async with ScriptedUpstream(*silent) as upstream:
            await self.start(upstream)
            # Without an upstream on its host, a node serves clients until the end.
            self.entry_node.membership.remove(ENTRY_UPSTREAM.upstream_id, 0.0)
            stop = asyncio.create_task(self.entry_node.stop(stop_times))
            await wait_until(lambda: self.entry_node.client_listener.is_closing)
            ends_at = self.entry_node.dispatcher.ends_at
            clients = []
            while (left_s := ends_at - asyncio.get_running_loop().time()) > 0.6:
                for share in (0.5, 0.9, 0.97, 0.99):
                    task = asyncio.create_task(
                        self.send_in_stop(int(left_s * share * 1000))
                    )
                    clients.append(task)
                await asyncio.sleep(0.15)
            answers = [(await task)[:12] for task in clients]
            await stop
        # On a slow machine, a deadline may be noticed after the end only.
        self.assertEqual(
            set(answers) - {b"HTTP/1.1 502"}, {b"HTTP/1.1 503", b"HTTP/1.1 504"}
        )

    async def test_unfinished_request_is_answered_at_the_end_of_a_stop(self) -> None:
        async with ScriptedUpstream(respond_after(asyncio.Event())) as upstream:
            await self.start(upstream)
            reader, _ = await self.send()
            await wait_until(lambda: bool(upstream.requests))
            stop_times = StopTimes(go_away_s=0.0, close_idle_s=0.0, end_s=0.1)
            await self.entry_node.stop(stop_times)
            answer = await reader.read()
        self.assertTrue(answer.startswith(b"HTTP/1.1 502"), answer)

    async def test_stop_waits_until_a_slow_client_has_read_its_answer(self) -> None:
        """Load pattern: large answers to clients on slow links, in a planned stop."""
        body = "x" * 9_000_000
        async with ScriptedUpstream(respond(body=body)) as upstream:
            await self.start(upstream)
            self.upstream_node.runner.pool.apply_limits(
                max_body_size=2 * len(body), max_buffered_size=4 * len(body)
            )
            port = self.entry_node.client_listener.server.sockets[0].getsockname()[1]
            sock = socket.socket()
            self.addCleanup(sock.close)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
            sock.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, ("127.0.0.1", port))
            await loop.sock_sendall(sock, REQUEST)
            connections = self.entry_node.client_listener.connections
            await wait_until(lambda: any(item.is_sending for item in connections))
            stop_times = StopTimes(go_away_s=0.0, close_idle_s=0.0, end_s=30.0)
            stop = asyncio.create_task(self.entry_node.stop(stop_times))
            await asyncio.sleep(10 * IDLE_POLL_INTERVAL_S)
            self.assertFalse(stop.done())
            n_received = 0
            while data := await loop.sock_recv(sock, 1_000_000):
                n_received += len(data)
                if n_received > len(body):
                    break
            async with asyncio.timeout(LONG_TIMEOUT_S):
                await stop
        self.assertGreater(n_received, len(body))

    async def test_call_that_outlasts_a_stop_is_refused(self) -> None:
        async with ScriptedUpstream() as upstream:
            await self.start(upstream)
            stop = asyncio.create_task(self.upstream_node.stop(STOP_TIMES))
            node = self.upstream_node
            await wait_until(lambda: node.runner.ends_at < float("inf"))
            node.runner.is_stopping = False
            call = make_call(node.loop.time(), deadline=node.runner.ends_at)
            result = await node.runner.run(call)
            self.assertIs(result.reason, RefusalReason.DRAINING)
            self.assertIs(result.outcome, Outcome.NOT_RUN)
            await stop

    async def test_node_whose_upstream_has_left_serves_clients_until_the_end(
        self,
    ) -> None:
        """Load pattern: most hosts of a zone stop, so that clients can't avoid them."""
        async with ScriptedUpstream(respond()) as upstream:
            await self.start(upstream)
            self.entry_node.membership.remove(ENTRY_UPSTREAM.upstream_id, 0.0)
            stop = asyncio.create_task(self.entry_node.stop(STOP_TIMES))
            await wait_until(lambda: self.entry_node.client_listener.is_closing)
            await asyncio.sleep(10 * IDLE_POLL_INTERVAL_S)
            self.assertEqual(await self.fetch_status(), b"HTTP/1.1 200")
            registered_again = replace(ENTRY_UPSTREAM, sequence=2)
            self.entry_node.membership.put(registered_again)
            async with asyncio.timeout(LONG_TIMEOUT_S):
                await stop

    async def fetch_status(self) -> bytes:
        """Send a request on a new connection and return the start of the answer."""
        reader, _ = await self.send()
        return (await reader.readuntil(b"\r\n\r\n"))[:12]

    async def send_until_refused(self, port: int, delay_s: float) -> list[bytes]:
        """Send one request a connection and return the starts of the answers."""
        answers = []
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
            except ConnectionError:
                return answers
            await asyncio.sleep(delay_s)
            try:
                writer.write(REQUEST.replace(b"Host", b"Connection: close\r\nHost"))
                answers.append((await reader.read())[:12])
            except ConnectionError as error:
                answers.append(repr(error).encode())
            writer.close()

    async def test_client_disconnect_frees_the_slot(self) -> None:
        async with ScriptedUpstream(respond_after(asyncio.Event())) as upstream:
            await self.start(upstream)
            _, writer = await self.send()
            await wait_until(lambda: bool(upstream.requests))
            writer.close()
            await wait_until(lambda: self.upstream_node.runner.queue.n_busy == 0)


class FakeLoop:
    """Event loop on a slow host: each sleep takes several times its delay."""

    overshoot_factor = 5.0

    def __init__(self) -> None:
        self.now = 0.0

    def time(self) -> float:
        return self.now

    async def sleep(self, delay_s: float) -> None:
        self.now += self.overshoot_factor * delay_s


class StopTest(IsolatedAsyncioTestCase):
    async def test_stop_on_a_slow_host_ends_on_time(self) -> None:
        loop = FakeLoop()
        with (
            patch.object(node_module.asyncio, "sleep", loop.sleep),
            patch.object(node_module.asyncio, "get_running_loop", lambda: loop),
        ):
            await wait_until_idle(lambda: True, 2.6)
        self.assertLess(
            loop.now,
            2.6 + loop.overshoot_factor * node_module.IDLE_POLL_INTERVAL_S + 0.001,
        )
