import asyncio
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

from foxtailway.sidecar.http_listener import HttpListener, RequestHandler
from foxtailway.sidecar.http_message import ClientRequest, Response
from foxtailway.sidecar.tests.support import (
    LONG_TIMEOUT_S,
    NAMES,
    make_log,
    wait_until,
)

MODULE = "foxtailway.sidecar.request_pipeline"


class GatedHandler(RequestHandler):
    """Answers a request when the test releases it; `POST` must run alone."""

    def __init__(self) -> None:
        self.started: list[str] = []
        self.cancelled: list[str] = []
        self.remaining_ms: list[int | None] = []
        self.gates: dict[str, asyncio.Event] = {}
        self.body_size = 0

    def can_run_beside(self, request: ClientRequest) -> bool:
        return request.method != "POST"

    def release(self, *targets: str) -> None:
        for target in targets:
            self.gates.setdefault(target, asyncio.Event()).set()

    async def handle(self, request: ClientRequest) -> Response:
        self.started.append(request.target)
        self.remaining_ms.append(request.remaining_ms)
        try:
            await self.gates.setdefault(request.target, asyncio.Event()).wait()
        except asyncio.CancelledError:
            self.cancelled.append(request.target)
            raise
        head = b"Target: %b\r\n" % request.target.encode()
        return Response(status=200, head=head, body=bytes(self.body_size))


class RequestPipelineTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.handler = GatedHandler()
        self.listener = HttpListener(handler=self.handler, names=NAMES, log=make_log())
        await self.listener.listen(address="127.0.0.1", port=0)
        self.addCleanup(self.listener.close)
        port = self.listener.server.sockets[0].getsockname()[1]
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.addCleanup(self.writer.close)
        await wait_until(lambda: bool(self.listener.connections))
        self.connection = next(iter(self.listener.connections))

    def send(self, *requests: str, head: str = "") -> None:
        self.writer.write(
            b"".join(
                f"{request} HTTP/1.1\r\nHost: a\r\n{head}\r\n".encode()
                for request in requests
            )
        )

    async def wait_for_started(self, *targets: str) -> None:
        """Wait until just these requests have been started, in this order."""
        expected = list(targets)
        await wait_until(lambda: len(self.handler.started) >= len(expected))
        await self.settle()
        self.assertEqual(self.handler.started, expected)

    async def settle(self) -> None:
        """Let everything run that does not wait for the test."""
        for _ in range(20):
            await asyncio.sleep(0)

    async def read_responses(self, *targets: str) -> list[bytes]:
        heads = []
        for target in targets:
            head = await self.reader.readuntil(b"\r\n\r\n")
            self.assertIn(f"Target: {target}\r\n".encode(), head)
            await self.reader.readexactly(self.handler.body_size)
            heads.append(head)
        return heads

    async def test_idempotent_requests_run_at_a_time_and_are_answered_in_order(
        self,
    ) -> None:
        self.send("GET /0", "GET /1", "GET /2")
        await self.wait_for_started("/0", "/1", "/2")
        self.handler.release("/2", "/1")
        await self.settle()
        self.assertFalse(self.reader._buffer)
        self.handler.release("/0")
        await self.read_responses("/0", "/1", "/2")

    async def test_number_of_running_requests_is_bounded(self) -> None:
        """One client must not take all slots of an upstream."""
        with patch(f"{MODULE}.MAX_CONCURRENT_REQUESTS", 2):
            self.send("GET /0", "GET /1", "GET /2", "GET /3")
            await self.wait_for_started("/0", "/1")
            self.handler.release("/1")
            await self.settle()
            self.assertEqual(self.handler.started, ["/0", "/1"])
            self.handler.release("/0")
            await self.wait_for_started("/0", "/1", "/2", "/3")

    async def test_request_that_must_run_once_runs_alone(self) -> None:
        """If the connection closed earlier, the client would send it again."""
        self.send("GET /0", "GET /1", "POST /2", "GET /3")
        await self.wait_for_started("/0", "/1")
        self.handler.release("/1")
        await self.settle()
        self.assertEqual(self.handler.started, ["/0", "/1"])
        self.handler.release("/0")
        await self.wait_for_started("/0", "/1", "/2")
        self.handler.release("/2", "/3")
        await self.read_responses("/0", "/1", "/2", "/3")

    async def test_requests_behind_the_last_response_never_start(self) -> None:
        """The client takes them for unread and sends them again."""
        self.send("GET /0")
        self.send("GET /1", head="Connection: close\r\n")
        self.send("GET /2", "POST /3")
        self.handler.release("/0", "/1", "/2", "/3")
        heads = await self.read_responses("/0", "/1")
        self.assertNotIn(b"Connection: close", heads[0])
        self.assertIn(b"Connection: close", heads[1])
        self.assertEqual(await self.reader.read(), b"")
        self.assertEqual(self.handler.started, ["/0", "/1"])

    async def test_stop_answers_what_has_started_and_starts_nothing_more(self) -> None:
        self.send("GET /0", "GET /1", "POST /2")
        await self.wait_for_started("/0", "/1")
        self.listener.close_idle()
        self.handler.release("/0", "/1", "/2")
        heads = await self.read_responses("/0", "/1")
        self.assertNotIn(b"Connection: close", heads[0])
        self.assertIn(b"Connection: close", heads[1])
        self.assertEqual(await self.reader.read(), b"")
        self.assertEqual(self.handler.started, ["/0", "/1"])

    async def test_end_of_the_process_answers_all_that_has_started(self) -> None:
        self.send("GET /0", "GET /1")
        await self.wait_for_started("/0", "/1")
        self.listener.close_idle()
        self.listener.answer_all()
        received = await self.reader.read()
        self.assertEqual(received.count(b"HTTP/1.1 502 "), 2)

    async def test_disconnect_cancels_all_requests(self) -> None:
        self.send("GET /0", "GET /1", "POST /2")
        await self.wait_for_started("/0", "/1")
        self.writer.close()
        await wait_until(lambda: len(self.handler.cancelled) == 2)
        self.assertEqual(self.handler.started, ["/0", "/1"])

    async def test_held_responses_are_counted_and_bounded(self) -> None:
        """Large responses behind a slow one must not pile up."""
        self.handler.body_size = 1000
        with patch(f"{MODULE}.MAX_HELD_SIZE", 1500):
            self.send("GET /0", "GET /1", "GET /2")
            await self.wait_for_started("/0", "/1", "/2")
            self.handler.release("/1", "/2")
            await wait_until(lambda: self.listener.n_held_bytes == 2000)
            self.send("GET /3")
            await wait_until(lambda: len(self.connection.pipeline.requests) == 4)
            await self.settle()
            self.assertEqual(self.handler.started, ["/0", "/1", "/2"])
            self.handler.release("/0", "/3")
            await self.read_responses("/0", "/1", "/2", "/3")
        self.assertEqual(self.listener.n_held_bytes, 0)

    async def test_client_that_does_not_read_starts_no_further_request(self) -> None:
        """Its unread responses would take memory without bound."""
        self.connection.pause_writing()
        self.send("GET /0", "GET /1")
        await wait_until(lambda: len(self.connection.pipeline.requests) == 2)
        await self.settle()
        self.assertEqual(self.handler.started, [])
        self.connection.resume_writing()
        await self.wait_for_started("/0", "/1")

    async def test_remaining_time_is_reduced_by_the_time_in_the_pipeline(self) -> None:
        """A request that waited must not run beyond the deadline of its client."""
        self.send("POST /0", "POST /1", head="X-Remaining-Ms: 10000\r\n")
        await wait_until(lambda: len(self.connection.pipeline.requests) == 2)
        self.connection.pipeline.requests[1].waiting_since -= 4.0
        self.handler.release("/0")
        await self.wait_for_started("/0", "/1")
        self.assertLessEqual(self.handler.remaining_ms[1], 6000)

    async def test_requests_ahead_wait_in_the_socket_while_memory_is_scarce(
        self,
    ) -> None:
        """Clients that read slowly and pipelined took a process over its memory."""
        account = self.listener.account
        body = bytes(10_000)
        request = b"POST /0 HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%b"
        account.n_held += account.size // 2 - 3 * len(body)
        held_before = account.n_held
        self.writer.write(request % (len(body), body) * 30)
        await self.wait_for_started("/0")
        await self.settle()
        # What one read took may be held besides.
        self.assertLess(account.n_held - held_before, 4 * len(body) + 65_536)
        self.handler.release("/0")
        await self.read_responses(*["/0"] * 30)
        self.assertEqual(account.n_held, held_before)

    async def test_client_that_leaves_behind_a_full_pipeline_is_noticed(self) -> None:
        """Its requests ran on, and further ones started."""
        targets = [f"/{number}" for number in range(20)]
        self.send(*(f"GET {target}" for target in targets))
        await self.wait_for_started(*targets[:8])
        self.assertFalse(self.connection.transport.is_reading())
        self.writer.close()
        async with asyncio.timeout(LONG_TIMEOUT_S / 4):
            await wait_until(lambda: len(self.handler.cancelled) == 8)
        self.assertEqual(self.handler.started, targets[:8])
