"""Unexpected errors in tasks and callbacks end at most their own request."""

import asyncio
import json
import os
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

from foxtailway.routing.outcome import Outcome
from foxtailway.sidecar import http_listener, peer_pool, slot_waiters, upstream_pool
from foxtailway.sidecar import node as node_module
from foxtailway.sidecar.call import CallRefusal, UpstreamResponse
from foxtailway.sidecar.client_connection import ClientConnection
from foxtailway.sidecar.dispatcher import RequestDispatcher
from foxtailway.sidecar.gauges import read_gauges
from foxtailway.sidecar.http_message import ClientRequest, Response
from foxtailway.sidecar.log import EventLog
from foxtailway.sidecar.node import SidecarNode, StopTimes
from foxtailway.sidecar.peer_message import PeerPing
from foxtailway.sidecar.request_pipeline import RequestPipeline
from foxtailway.sidecar.tests.support import (
    LONG_TIMEOUT_S,
    ScriptedUpstream,
    make_call,
    respond,
    wait_until,
)
from foxtailway.sidecar.tests.test_end_to_end import make_node
from foxtailway.sidecar.upstream_runner import UpstreamRunner

REQUEST = b"GET /x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r-1\r\n\r\n"
STOP_TIMES = StopTimes(go_away_s=0.0, close_idle_s=0.0, end_s=0.0)
# Interval of the periodic callbacks in these tests.
SHORT_INTERVAL_S = 0.001


class InjectedError(Exception):
    """Error that no code of the sidecar expects."""


class Failures:
    """Callable that raises an error on its first calls and then succeeds.

    Parameters
    ----------
    n_failures : int, default=1
        Calls that raise.
    result : object, default=None
        Result of the later calls.
    """

    def __init__(self, *, n_failures: int = 1, result: object = None) -> None:
        self.n_left = n_failures
        self.result = result
        self.n_calls = 0

    def __call__(self, *arguments: object, **fields: object) -> object:
        self.n_calls += 1
        if self.n_left:
            self.n_left -= 1
            raise InjectedError("injected")
        return self.result

    async def run(self, *arguments: object, **fields: object) -> object:
        """Do the same as a coroutine function."""
        return self(*arguments, **fields)


class UnexpectedErrorTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        for module, name, value in (
            (http_listener, "TIMEOUT_CHECK_INTERVAL_S", SHORT_INTERVAL_S),
            (node_module, "TICK_INTERVAL_S", SHORT_INTERVAL_S),
            (peer_pool, "CONNECT_TIMEOUT_S", LONG_TIMEOUT_S),
            (upstream_pool, "CONNECT_TIMEOUT_S", LONG_TIMEOUT_S),
        ):
            patcher = patch.object(module, name, value)
            patcher.start()
            self.addCleanup(patcher.stop)
        self.reading_end, writing_end = os.pipe()
        self.addCleanup(os.close, self.reading_end)
        self.addCleanup(os.close, writing_end)
        self.log = EventLog(host_id="host-1", descriptor=writing_end)
        self.log.open()
        self.node = await self.start_node("127.0.0.1")

    async def start_node(self, address: str) -> SidecarNode:
        node = make_node(address, self.log)
        await node.start()
        self.addAsyncCleanup(node.stop, STOP_TIMES)
        return node

    async def connect_client(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        server = self.node.client_listener.server
        host, port = server.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(host, port)
        self.addCleanup(writer.close)
        return reader, writer

    async def fetch(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes:
        writer.write(REQUEST)
        async with asyncio.timeout(LONG_TIMEOUT_S):
            head = await reader.readuntil(b"\r\n\r\n")
        return head.split(b"\r\n")[0]

    def assert_logged(self, step: str) -> None:
        os.set_blocking(self.reading_end, False)
        lines = os.read(self.reading_end, 1_000_000).decode().splitlines()
        errors = [
            line
            for line in map(json.loads, lines)
            if line["event"] == "unexpected_error" and line["step"] == step
        ]
        self.assertTrue(errors, lines)
        self.assertIn("InjectedError", errors[0]["error"])
        self.assertIn("Traceback", errors[0]["traceback"])
        self.assertEqual(read_gauges(self.node)["unexpected_errors"], self.log.n_errors)

    async def test_failed_request_is_answered_and_the_connection_goes_on(self) -> None:
        failures = Failures(result=Response(status=204))
        reader, writer = await self.connect_client()
        with patch.object(RequestDispatcher, "handle", failures.run):
            self.assertIn(b"502", await self.fetch(reader, writer))
            self.assertIn(b"204", await self.fetch(reader, writer))
        self.assert_logged("handle")

    async def test_response_that_cannot_be_written_ends_its_connection(self) -> None:
        async def respond(handler: object, request: ClientRequest) -> Response:
            return Response(status=200)

        reader, writer = await self.connect_client()
        with (
            patch.object(RequestDispatcher, "handle", respond),
            patch.object(RequestPipeline, "write", Failures()),
        ):
            writer.write(REQUEST)
            async with asyncio.timeout(LONG_TIMEOUT_S):
                self.assertEqual(await reader.read(), b"")
        self.assert_logged("respond")

    async def test_failed_run_is_reported_to_the_peer_as_unknown(self) -> None:
        entry_node = await self.start_node("127.0.0.2")
        server = self.node.peer_listener.server
        entry_node.peers.port = server.sockets[0].getsockname()[1]
        with patch.object(UpstreamRunner, "run", Failures().run):
            async with asyncio.timeout(LONG_TIMEOUT_S / 2):
                result = await entry_node.peers.call(
                    "127.0.0.1", make_call(self.node.loop.time())
                )
        self.assertIsInstance(result, CallRefusal)
        self.assertIs(result.outcome, Outcome.UNKNOWN)
        self.assertEqual(self.node.peer_listener.n_running, 0)
        self.assert_logged("run")

    async def test_failed_message_ends_its_stream_only(self) -> None:
        entry_node = await self.start_node("127.0.0.2")
        server = self.node.peer_listener.server
        entry_node.peers.port = server.sockets[0].getsockname()[1]
        link = entry_node.peers.get_link("127.0.0.1")
        with patch.object(self.node.peer_listener, "message_received", Failures()):
            entry_node.peers.send("127.0.0.1", PeerPing(sequence=0))
            await wait_until(lambda: self.log.n_errors)
            await wait_until(lambda: not link.streams)
        self.assert_logged("event loop")
        stream = await link.acquire_stream()
        self.assertIsNotNone(stream)

    async def test_failed_end_of_an_exchange_frees_its_slot(self) -> None:
        async with ScriptedUpstream(respond(), respond()) as upstream:
            runner = self.node.runner
            runner.pool.port = upstream.port
            failures = Failures()
            with patch.object(runner, "record_exchange", failures):
                for _ in range(2):
                    async with asyncio.timeout(LONG_TIMEOUT_S / 2):
                        result = await runner.run(make_call(runner.loop.time()))
                    self.assertIsInstance(result, UpstreamResponse)
            await asyncio.sleep(0)
            self.assertEqual(runner.queue.n_busy, 0)
        self.assert_logged("event loop")

    async def test_checks_of_the_slot_queue_go_on_after_an_error(self) -> None:
        runner = self.node.runner
        runner.queue.n_running = runner.queue.n_slots
        failures = Failures(n_failures=2, result=[])
        call = make_call(runner.loop.time())
        with (
            patch.object(slot_waiters, "QUEUE_CHECK_INTERVAL_S", SHORT_INTERVAL_S),
            patch.object(runner.queue, "drop_infeasible", failures),
        ):
            task = asyncio.create_task(runner.run(call))
            await self.wait_for_calls(failures)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def test_periodic_tasks_of_the_node_go_on_after_an_error(self) -> None:
        failures = Failures(n_failures=2, result=())
        with patch.object(self.node.membership, "remove_expired", failures):
            await self.wait_for_calls(failures)

    async def test_timeout_checks_of_clients_go_on_after_an_error(self) -> None:
        failures = Failures(n_failures=2)
        await self.connect_client()
        with patch.object(ClientConnection, "close_expired", failures):
            await self.wait_for_calls(failures)

    async def wait_for_calls(self, failures: Failures) -> None:
        async with asyncio.timeout(LONG_TIMEOUT_S):
            await wait_until(lambda: failures.n_calls > 3)
        self.assert_logged("event loop")
