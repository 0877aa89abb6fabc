import asyncio
from unittest import IsolatedAsyncioTestCase

from foxtailway.sidecar.client_connection import NEW_CONNECTION_S
from foxtailway.sidecar.connection_table import ADMISSION_INTERVAL_S
from foxtailway.sidecar.http_listener import HttpListener, RequestHandler
from foxtailway.sidecar.http_message import ClientRequest, Response
from foxtailway.sidecar.memory_account import AccountLimits
from foxtailway.sidecar.tests.support import (
    LONG_TIMEOUT_S,
    NAMES,
    make_log,
    wait_until,
)
from foxtailway.traffic.configuration import ClientLimits

REQUEST = (
    b"POST /x?y=1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r-1\r\n"
    b"X-Remaining-Ms: 250\r\nX-Caller: forged\r\nConnection: X-Hop\r\n"
    b"X-Hop: 1\r\nContent-Length: 4\r\n\r\nbody"
)


class RecordingHandler(RequestHandler):
    def __init__(self) -> None:
        self.requests: list[ClientRequest] = []
        self.released = asyncio.Event()
        self.released.set()
        self.n_cancelled = 0
        self.body_size = 0

    async def handle(self, request: ClientRequest) -> Response:
        self.requests.append(request)
        try:
            await self.released.wait()
        except asyncio.CancelledError:
            self.n_cancelled += 1
            raise
        body = bytes(self.body_size) or request.target.encode()
        return Response(status=200, body=body)


class HttpListenerTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.handler = RecordingHandler()
        self.listener = HttpListener(handler=self.handler, names=NAMES, log=make_log())
        await self.listener.listen(address="127.0.0.1", port=0)
        self.addCleanup(self.listener.close)
        port = self.listener.server.sockets[0].getsockname()[1]
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.addCleanup(self.writer.close)

    async def read_response(self) -> tuple[bytes, bytes]:
        head = await self.reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        return head, await self.reader.readexactly(length)

    async def test_request_is_forwarded_without_hop_by_hop_headers(self) -> None:
        self.writer.write(REQUEST)
        _, body = await self.read_response()
        self.assertEqual(body, b"/x?y=1")
        request = self.handler.requests[0]
        self.assertEqual(request.method, "POST")
        self.assertEqual(request.body, b"body")
        self.assertEqual(request.remaining_ms, 250)
        self.assertEqual(request.request_id, "r-1")
        self.assertEqual(request.head, b"Host: a.example\r\nX-Request-Id: r-1\r\n")
        self.assertTrue(request.is_from_host)

    async def test_chunked_body_is_joined(self) -> None:
        self.writer.write(
            b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n"
        )
        await self.read_response()
        self.assertEqual(self.handler.requests[0].body, b"body")

    async def test_pipelined_requests_are_answered_in_order(self) -> None:
        for number in range(20):
            self.writer.write(b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n" % number)
        for number in range(20):
            _, body = await self.read_response()
            self.assertEqual(body, b"/%d" % number)

    async def test_client_disconnect_cancels_its_request(self) -> None:
        self.handler.released.clear()
        self.writer.write(REQUEST)
        await wait_until(lambda: bool(self.handler.requests))
        self.writer.close()
        await wait_until(lambda: bool(self.handler.n_cancelled))

    async def test_duplicate_content_length_is_rejected(self) -> None:
        self.writer.write(
            b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        )
        head, _ = await self.read_response()
        self.assertIn(b" 400 ", head)
        self.assertEqual(self.handler.requests, [])

    async def test_body_over_the_limit_is_rejected_at_its_first_part(self) -> None:
        size = self.listener.limits.max_body_size + 1
        self.writer.write(b"PUT /x HTTP/1.1\r\nContent-Length: %d\r\n\r\nb" % size)
        head, _ = await self.read_response()
        self.assertIn(b" 413 ", head)

    async def test_body_without_room_is_refused_at_its_first_part(self) -> None:
        """The client sends on, and still gets the response."""
        account = self.listener.account
        account.n_held += account.size
        for framing in (b"Content-Length: 9000000", b"Transfer-Encoding: chunked"):
            port = self.listener.server.sockets[0].getsockname()[1]
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"PUT /x HTTP/1.1\r\nHost: a\r\n%b\r\n\r\n" % framing)
            for _ in range(100):
                writer.write(b"10000\r\n" + bytes(65_536) + b"\r\n")
            self.assertIn(b" 503 ", await reader.readline())
            writer.close()
        self.assertEqual(self.handler.requests, [])
        await wait_until(lambda: account.n_held == account.size)

    async def test_stalled_body_gives_way_to_another_one(self) -> None:
        account = self.listener.account
        size = self.listener.limits.max_body_size
        account.apply_limits(AccountLimits(memory_size=size * 3 // 2))
        self.writer.write(b"PUT /x HTTP/1.1\r\nContent-Length: %d\r\n\r\nb" % size)
        await wait_until(lambda: bool(account.shares))
        account.check(1e9, 0)
        self.assertTrue(account.make_room(size // 2))
        head, _ = await self.read_response()
        self.assertIn(b" 408 ", head)
        self.assertEqual((account.n_held, account.shares), (0, set()))

    async def test_memory_of_requests_and_responses_is_given_back(self) -> None:
        for body in (b"", bytes(100), bytes(300_000)):
            self.writer.write(b"PUT /x HTTP/1.1\r\nContent-Length: %d\r\n" % len(body))
            self.writer.write(b"\r\n" + body)
            await self.read_response()
            self.assertEqual(bytes(self.handler.requests[-1].body[:]), body)
        self.assertEqual(self.listener.account.n_held, 0)
        self.assertEqual(self.listener.account.shares, set())

    async def test_minimum_rate_of_zero_closes_no_slow_client(self) -> None:
        """It is a legal setting, and each request with it ended its connection."""
        self.listener.account.apply_limits(AccountLimits(min_rate=0.0))
        self.writer.write(REQUEST)
        head, _ = await self.read_response()
        self.assertIn(b" 200 ", head)
        self.writer.write(REQUEST[:-1])
        connection = next(iter(self.listener.connections))
        await wait_until(lambda: connection.receiving_since is not None)
        later = connection.loop.time() + 100.0
        self.assertIsNone(connection.compute_stale_time(later))

    async def test_connection_of_no_use_gives_way_to_a_new_one(self) -> None:
        self.listener.table.max_n_connections = 1
        self.writer.write(REQUEST)
        await self.read_response()
        port = self.listener.server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(REQUEST)
        self.assertIn(b" 200 ", await reader.readline())
        self.assertEqual(len(self.listener.connections), 1)
        writer.close()

    async def test_stuck_clients_keep_no_new_one_out(self) -> None:
        """Bodies that stopped one byte short filled the table for 40 s.

        So did clients that read nothing, with a request and a part of one behind.
        """
        size = 40_000
        body = b"PUT /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % size
        body += bytes(size - 1)
        pipeline = REQUEST + REQUEST + REQUEST[:20]
        for sent in (body, pipeline):
            with self.subTest(sent[:30]):
                self.listener.table.max_n_connections = 32
                self.handler.body_size = 8_000_000
                crowd = [await self.connect() for _ in range(40)]
                for _, writer in crowd:
                    writer.transport.pause_reading()
                    writer.write(sent)
                await asyncio.sleep(0.2)
                self.handler.body_size = 0
                async with asyncio.timeout(LONG_TIMEOUT_S / 4):
                    reader, writer = await self.connect()
                    writer.write(REQUEST)
                    self.assertIn(b" 200 ", await reader.readline())
                self.assertLessEqual(len(self.listener.connections), 30)
                for _, writer in crowd:
                    writer.close()

    async def test_admitted_connection_is_not_closed_before_it_is_read(self) -> None:
        """It had been idle for as long as it had waited, longer than the others."""
        self.handler.released.clear()
        self.listener.table.max_n_connections = 32
        running = [await self.connect() for _ in range(29)]
        for _, writer in ((self.reader, self.writer), *running):
            writer.write(REQUEST)
        await wait_until(lambda: len(self.handler.requests) == 30)
        waiting = [await self.connect() for _ in range(2)]
        for _, writer in waiting:
            writer.write(REQUEST)
        await asyncio.sleep(2 * NEW_CONNECTION_S)
        self.writer.close()
        await wait_until(lambda: len(self.handler.requests) == 31)
        await asyncio.sleep(2 * ADMISSION_INTERVAL_S)
        self.handler.released.set()
        async with asyncio.timeout(LONG_TIMEOUT_S / 4):
            for reader, _ in waiting:
                self.assertIn(b" 200 ", await reader.readline())

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        port = self.listener.server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        self.addCleanup(writer.close)
        return reader, writer

    async def test_requests_before_an_unreadable_one_are_answered(self) -> None:
        self.handler.released.clear()
        self.writer.write(REQUEST + REQUEST)
        await wait_until(lambda: bool(self.handler.requests))
        self.writer.write(b"\x00\x01\r\n\r\n")
        connection = next(iter(self.listener.connections))
        await wait_until(lambda: connection.pipeline.is_ended)
        self.handler.released.set()
        for status in (b" 200 ", b" 200 ", b" 400 "):
            head, _ = await self.read_response()
            self.assertIn(status, head)
        self.assertEqual(await self.reader.read(), b"")

    async def test_request_to_change_the_protocol_gets_one_response(self) -> None:
        """A second response, 400, followed, and the connection was closed."""
        upgrade = b"GET /1 HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: h2c"
        after = b"\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n"
        for parts in ((upgrade + after,), (upgrade, after[:4], after[4:])):
            for part in parts:
                self.writer.write(part)
                await self.writer.drain()
                await asyncio.sleep(0.01)
            for target in (b"/1", b"/2"):
                head, body = await self.read_response()
                self.assertIn(b" 200 ", head)
                self.assertEqual(body, target)

    async def test_headers_named_by_any_connection_header_are_dropped(self) -> None:
        self.writer.write(
            b"GET /x HTTP/1.1\r\nHost: a\r\nConnection: X-One\r\n"
            b"Connection: keep-alive, X-Two, Host\r\nX-One: 1\r\nX-Two: 2\r\n\r\n"
        )
        await self.read_response()
        self.assertEqual(self.handler.requests[0].head, b"Host: a\r\n")

    async def test_large_headers_are_rejected(self) -> None:
        self.listener.limits = ClientLimits(max_header_size=100)
        self.writer.write(b"GET /x HTTP/1.1\r\nA: " + b"b" * 200)
        head, _ = await self.read_response()
        self.assertIn(b" 431 ", head)

    async def test_trailers_without_end_are_rejected(self) -> None:
        for block in (b"a: b\r\n", b"a"):
            with self.subTest(block):
                _, port = self.listener.server.sockets[0].getsockname()
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                self.addCleanup(writer.close)
                writer.write(
                    b"POST /x HTTP/1.1\r\nHost: a\r\n"
                    b"Transfer-Encoding: chunked\r\n\r\n0\r\n"
                )
                with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
                    for _ in range(10_000):
                        writer.write(block * 10_000)
                        await writer.drain()
                    await reader.readexactly(10_000)
                self.assertEqual(self.handler.requests, [])

    async def test_trailers_do_not_replace_headers(self) -> None:
        self.writer.write(
            b"POST /x HTTP/1.1\r\nHost: a\r\nX-Request-Id: r-1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\nHost: b\r\n"
            b"X-Request-Id: r-2\r\n\r\n"
        )
        await self.read_response()
        request = self.handler.requests[0]
        self.assertEqual((request.host, request.request_id), ("a", "r-1"))

    async def test_large_body_is_rejected(self) -> None:
        self.listener.limits = ClientLimits(max_body_size=3)
        self.writer.write(REQUEST)
        head, _ = await self.read_response()
        self.assertIn(b" 413 ", head)
        self.assertEqual(self.handler.requests, [])

    async def test_headers_that_do_not_end_time_out(self) -> None:
        self.listener.limits = ClientLimits(header_timeout_s=0.0)
        self.writer.write(b"GET /x HTTP/1.1\r\nA: b")
        head, _ = await self.read_response()
        self.assertIn(b" 408 ", head)

    async def test_idle_connection_is_closed(self) -> None:
        await wait_until(lambda: bool(self.listener.connections))
        connection = next(iter(self.listener.connections))
        idle_s = self.listener.limits.idle_timeout_s
        connection.close_expired(connection.pipeline.idle_since + idle_s)
        self.assertFalse(connection.transport.is_closing())
        connection.close_expired(connection.pipeline.idle_since + idle_s + 2.0)
        self.assertTrue(connection.transport.is_closing())

    async def test_stop_lets_the_running_request_finish(self) -> None:
        self.handler.released.clear()
        self.writer.write(REQUEST)
        await wait_until(lambda: bool(self.handler.requests))
        self.listener.close_idle()
        self.handler.released.set()
        head, body = await self.read_response()
        self.assertEqual(body, b"/x?y=1")
        self.assertIn(b"Connection: close", head)
