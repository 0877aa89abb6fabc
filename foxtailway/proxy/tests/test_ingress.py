import asyncio
import unittest

from expression import Error, Ok
from tornado.testing import bind_unused_port

from foxtailway.proxy.ingress import CallHandler, HttpIngress, InboundCall
from foxtailway.proxy.message import Header
from foxtailway.proxy.tests.fakes import make_response
from foxtailway.routing.outcome import Outcome, Refusal, RefusalReason

HEADERS = (
    b"X-Foxtailway-Hops: 3\r\nX-Foxtailway-Deadline-Ms: 250\r\n"
    b"X-Foxtailway-Outcome: ran\r\nConnection: X-Private\r\nX-Private: 1\r\n"
    b"Accept: text/html\r\n"
)


class RecordingHandler(CallHandler):
    """Record calls and return a prepared result once `released` is set."""

    def __init__(self) -> None:
        self.calls: list[InboundCall] = []
        self.result = Ok(make_response())
        self.started = asyncio.Event()
        self.released = asyncio.Event()
        self.released.set()
        self.cancelled = asyncio.Event()
        self.n_cancelled = 0

    async def handle(self, call):
        self.calls.append(call)
        self.started.set()
        try:
            await self.released.wait()
        except asyncio.CancelledError:
            self.n_cancelled += 1
            self.cancelled.set()
            raise
        if isinstance(self.result, Exception):
            raise self.result
        return self.result


class HttpIngressTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.handler = RecordingHandler()
        self.ingress, self.port = self.listen(is_trusted=False)

    def listen(self, *, is_trusted: bool) -> tuple[HttpIngress, int]:
        ingress = HttpIngress(
            handler=self.handler,
            is_trusted=is_trusted,
            service="slots" if is_trusted else None,
            max_body_size=1000,
        )
        socket, port = bind_unused_port()
        ingress.server.add_socket(socket)
        self.addAsyncCleanup(ingress.close)
        return ingress, port

    async def send(self, content: bytes, *, port: int | None = None) -> bytes:
        address = "127.0.0.1", port or self.port
        reader, writer = await asyncio.open_connection(*address)
        writer.write(content)
        try:
            return await asyncio.wait_for(reader.read(), 5.0)
        except ConnectionResetError:
            return b""
        finally:
            writer.close()

    async def get(self, headers: bytes = b"", *, port: int | None = None) -> bytes:
        content = b"GET /slots HTTP/1.1\r\nHost: a\r\n%s\r\n" % headers
        reader, writer = await asyncio.open_connection("127.0.0.1", port or self.port)
        writer.write(content)
        try:
            return await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5.0)
        finally:
            writer.close()

    async def test_client_headers_of_the_mesh_are_ignored(self) -> None:
        """Guard against clients that set hop counts or deadlines."""
        await self.get(HEADERS)
        (call,) = self.handler.calls
        self.assertEqual((call.n_hops, call.remaining_s), (0, None))
        self.assertEqual(call.headers, (Header(name="Accept", value="text/html"),))
        self.assertEqual((call.caller, call.is_local), ("127.0.0.1", False))

    async def test_upstream_headers_of_the_mesh_are_trusted(self) -> None:
        _, port = self.listen(is_trusted=True)
        await self.get(HEADERS, port=port)
        (call,) = self.handler.calls
        self.assertEqual((call.n_hops, call.remaining_s), (3, 0.25))
        self.assertEqual(call.headers, (Header(name="Accept", value="text/html"),))
        self.assertEqual((call.caller, call.is_local), ("slots", True))

    async def test_long_keys_stay_different(self) -> None:
        """Guard against keys that become equal by truncation."""
        for end in (b"1", b"2"):
            await self.get(b"Idempotency-Key: " + b"k" * 300 + end + b"\r\n")
        first, second = self.handler.calls
        self.assertNotEqual(first.idempotency_key, second.idempotency_key)

    async def test_response_invalid_in_http_becomes_a_refusal(self) -> None:
        """Guard against header injection by an upstream."""
        for response in (
            make_response(headers=(Header(name="X", value="a\r\nSet-Cookie: b"),)),
            make_response(headers=(Header(name="X\r\nY", value="a"),)),
            make_response(headers=(Header(name="X", value="\u20ac"),)),
            make_response(status=-1),
            make_response(status=101),
            make_response(status=1000),
        ):
            self.handler.result = Ok(response)
            head = await self.get()
            self.assertIn(b"HTTP/1.1 502", head)
            self.assertIn(b"X-Foxtailway-Outcome: unknown", head)
            self.assertNotIn(b"Set-Cookie", head)

    async def test_header_of_any_byte_passes_unchanged(self) -> None:
        self.handler.result = Ok(
            make_response(headers=(Header(name="X-Name", value="P\xe4rnu"),))
        )
        head = await self.get(b"X-City: K\xe4ina\r\n")
        self.assertIn(b"X-Name: P\xe4rnu\r\n", head)
        header = self.handler.calls[0].headers[0]
        self.assertEqual(header, Header(name="X-City", value="K\xe4ina"))

    async def test_handler_that_fails_does_not_leave_the_client_waiting(self) -> None:
        """Guard against a connection that stays open after an exception."""
        self.handler.result = ValueError("broken")
        with self.assertRaises(asyncio.IncompleteReadError):
            await self.get()

    async def test_refusal_reports_the_outcome_of_the_request(self) -> None:
        self.handler.result = Error(
            Refusal(
                outcome=Outcome.NOT_RUN,
                reason=RefusalReason.OVERLOADED,
                retry_after_s=2.4,
                host_id="accra-a-2",
            )
        )
        head = await self.get()
        self.assertTrue(head.startswith(b"HTTP/1.1 503"))
        self.assertIn(b"X-Foxtailway-Outcome: not-run", head)
        self.assertIn(b"X-Foxtailway-Reason: overloaded", head)
        self.assertIn(b"Retry-After: 2", head)

    async def test_client_that_disconnects_cancels_only_its_call(self) -> None:
        """Guard against a disconnect that cancels calls of other clients."""
        self.handler.released.clear()
        address = "127.0.0.1", self.port
        _, writer = await asyncio.open_connection(*address)
        writer.write(b"GET /slots HTTP/1.1\r\nHost: a\r\n\r\n")
        await self.handler.started.wait()
        other = asyncio.ensure_future(self.get())
        writer.close()
        await self.handler.cancelled.wait()
        self.handler.released.set()
        self.assertIn(b"200 OK", await other)
        self.assertEqual(self.handler.n_cancelled, 1)
        self.assertEqual(self.ingress.tasks, set())

    async def test_bad_input_ends_its_own_connection_only(self) -> None:
        """Guard against malformed input that affects other connections."""
        address = "127.0.0.1", self.port
        slow_reader, slow = await asyncio.open_connection(*address)
        slow.write(b"POST /slots HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\na")
        for content in (
            b"nonsense\r\n\r\n",
            b"GET /slots HTTP/1.1\r\nHost: a\r\nBad Header\r\n\r\n",
            b"GET /slots HTTP/1.1\r\nHost: a\r\nX: a\rb\r\n\r\n",
            b"POST /slots HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n",
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n",
        ):
            response = await self.send(content)
            self.assertTrue(response.startswith(b"HTTP/1.1 400"), response)
        oversized = b"GET / HTTP/1.1\r\nX: " + b"x" * 100_000 + b"\r\n\r\n"
        self.assertEqual(await self.send(oversized), b"")
        self.assertEqual(self.handler.calls, [])
        slow.write(b"bcd")
        response = await slow_reader.readuntil(b"\r\n\r\n")
        self.assertIn(b"200 OK", response)
        self.assertEqual(self.handler.calls[0].body, b"abcd")
        slow.close()

    async def test_last_answers_are_written_while_stopping(self) -> None:
        """Guard against responses that are lost when the listener closes."""
        self.handler.released.clear()
        call = asyncio.ensure_future(self.get())
        await self.handler.started.wait()
        closing = asyncio.ensure_future(self.ingress.close())
        await asyncio.sleep(0)
        self.handler.released.set()
        head = await call
        self.assertIn(b"200 OK", head)
        self.assertIn(b"Connection: close", head)
        await closing
