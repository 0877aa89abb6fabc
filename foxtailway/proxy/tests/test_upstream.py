import asyncio
import socket
import unittest
from dataclasses import replace

from foxtailway.common.clock import Clock, ManualClock, MonotonicClock
from foxtailway.proxy.message import CallRequest, Header
from foxtailway.proxy.upstream import CancelToken, CurlUpstreamClient
from foxtailway.routing.outcome import Outcome, RefusalReason


def make_request(*, is_idempotent: bool) -> CallRequest:
    return CallRequest(
        call_id=1,
        route="holds",
        cluster="regatta-holds",
        method="GET" if is_idempotent else "POST",
        target="/holds",
        headers=(),
        body=b"" if is_idempotent else b"hold",
        remaining_s=2.0,
        n_hops=1,
        caller="client",
        priority=0,
        is_idempotent=is_idempotent,
        idempotency_key="" if is_idempotent else "key",
        is_key_generated=True,
        window_s=30.0,
        fingerprint="",
    )


class ScriptedUpstream:
    """Send raw responses in turn; close the connection for None."""

    def __init__(self, responses: list[bytes | None]) -> None:
        self.responses = responses
        self.n_requests = 0
        self.n_connections = 0

    async def start(self) -> int:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.n_connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"Content-Length: 4" in head:
                    await reader.readexactly(4)
                response = self.responses[min(self.n_requests, len(self.responses) - 1)]
                self.n_requests += 1
                if response is None:
                    return
                writer.write(response)
                await writer.drain()
                if b"Connection: close" in response:
                    return
        except (asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            writer.close()


OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
TRUNCATED_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\nok"
)


class CurlUpstreamClientTest(unittest.IsolatedAsyncioTestCase):
    async def make_client(
        self, port: int, *, max_body_size: int = 1000, clock: Clock | None = None
    ):
        client = CurlUpstreamClient(
            clock=clock or MonotonicClock(),
            host_id="host",
            address="127.0.0.1",
            port=port,
            connect_timeout_s=1.0,
            n_connections=4,
            max_body_size=max_body_size,
        )
        self.addCleanup(client.close)
        return client

    async def run_requests(self, responses, requests, **options):
        upstream = ScriptedUpstream(responses)
        client = await self.make_client(await upstream.start(), **options)
        self.addCleanup(upstream.server.close)
        results = [
            await client.run(
                request, timeout_s=2.0, credential=None, token=CancelToken()
            )
            for request in requests
        ]
        return upstream, results

    async def test_request_lost_on_a_reused_connection_is_not_sent_twice(self):
        """Guard against the resend of libcurl on a connection that closed."""
        posts = [make_request(is_idempotent=False)] * 2
        upstream, results = await self.run_requests([OK_RESPONSE, None], posts)
        self.assertTrue(results[0].is_ok())
        self.assertEqual(results[1].error.outcome, Outcome.UNKNOWN)
        self.assertEqual(results[1].error.reason, RefusalReason.LOST)
        self.assertEqual(upstream.n_requests, 2)

    async def test_every_request_has_a_connection_of_its_own(self):
        """Guard against a late copy of a response on a connection in use again."""
        for is_idempotent in (True, False):
            requests = [make_request(is_idempotent=is_idempotent)] * 3
            upstream, results = await self.run_requests([OK_RESPONSE], requests)
            self.assertTrue(all(result.is_ok() for result in results))
            self.assertEqual(upstream.n_connections, 3)

    async def test_truncated_body_is_not_returned_as_a_response(self):
        """Guard against a connection that closes within the body."""
        _, results = await self.run_requests(
            [TRUNCATED_RESPONSE], [make_request(is_idempotent=True)]
        )
        self.assertEqual(results[0].error.outcome, Outcome.UNKNOWN)
        self.assertEqual(results[0].error.reason, RefusalReason.LOST)

    async def test_oversized_body_is_refused(self):
        response = b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n" + b"x" * 50
        _, results = await self.run_requests(
            [response], [make_request(is_idempotent=True)], max_body_size=10
        )
        self.assertEqual(results[0].error.reason, RefusalReason.TOO_LARGE)

    async def test_closed_port_means_not_run(self):
        upstream = ScriptedUpstream([OK_RESPONSE])
        port = await upstream.start()
        upstream.server.close()
        client = await self.make_client(port)
        result = await client.run(
            make_request(is_idempotent=False),
            timeout_s=2.0,
            credential=None,
            token=CancelToken(),
        )
        self.assertEqual(result.error.outcome, Outcome.NOT_RUN)

    async def test_cancelled_request_is_aborted(self):
        started = asyncio.Event()
        closed = asyncio.Event()

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            started.set()
            while await reader.read(100):
                pass
            closed.set()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        client = await self.make_client(server.sockets[0].getsockname()[1])
        token = CancelToken()
        request = make_request(is_idempotent=True)
        task = asyncio.ensure_future(
            client.run(request, timeout_s=30.0, credential=None, token=token)
        )
        await started.wait()
        token.cancel()
        result = await task
        self.assertEqual(result.error.outcome, Outcome.UNKNOWN)
        self.assertEqual(result.error.reason, RefusalReason.CANCELLED)
        await asyncio.wait_for(closed.wait(), 5)

    async def test_request_invalid_in_http_is_not_run(self):
        """Guard against request smuggling by headers, target or method."""
        request = make_request(is_idempotent=False)
        bad_headers = (
            Header(name="X", value="a\r\nX-Foxtailway-Hops: 0"),
            Header(name="X\r\nY", value="a"),
            Header(name="X", value="\u20ac"),
            Header(name="\u20ac", value="a"),
        )
        requests = [replace(request, headers=(header,)) for header in bad_headers]
        requests.append(replace(request, target="/holds/\u20ac"))
        requests.append(replace(request, target="/holds HTTP/1.1\r\nX: y\r\n"))
        requests.append(replace(request, method="GET /other HTTP/1.1\r\nX:"))
        requests.append(replace(request, idempotency_key="a\nb"))
        upstream, results = await self.run_requests([OK_RESPONSE], requests)
        self.assertEqual(upstream.n_requests, 0)
        for result in results:
            self.assertEqual(result.error.outcome, Outcome.NOT_RUN)
            self.assertEqual(result.error.reason, RefusalReason.MALFORMED)

    async def test_credential_that_is_not_utf8_is_not_sent(self):
        upstream = ScriptedUpstream([OK_RESPONSE])
        client = await self.make_client(await upstream.start())
        self.addCleanup(upstream.server.close)
        result = await client.run(
            make_request(is_idempotent=True),
            timeout_s=2.0,
            credential=b"\xff\xfe",
            token=CancelToken(),
        )
        self.assertEqual(result.error.reason, RefusalReason.MALFORMED)
        self.assertEqual(upstream.n_requests, 0)

    async def test_header_of_any_byte_reaches_the_upstream(self):
        request = make_request(is_idempotent=True)
        request = replace(request, headers=(Header(name="X", value="P\xe4rnu"),))
        response = b"HTTP/1.1 200 OK\r\nX: K\xe4ina\r\nContent-Length: 0\r\n\r\n"
        _, results = await self.run_requests([response], [request])
        header = results[0].ok.headers[0]
        self.assertEqual(header, Header(name="X", value="K\xe4ina"))

    async def test_connection_that_times_out_means_not_run(self):
        listener = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.addCleanup(listener.close)
        waiting = [socket.socket() for _ in range(4)]
        for filler in waiting:
            self.addCleanup(filler.close)
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        client = await self.make_client(listener.getsockname()[1])
        result = await client.run(
            make_request(is_idempotent=False),
            timeout_s=0.2,
            credential=None,
            token=CancelToken(),
        )
        self.assertEqual(result.error.outcome, Outcome.NOT_RUN)
        self.assertEqual(result.error.reason, RefusalReason.EXPIRED)

    async def test_silence_on_a_reused_connection_is_unknown(self):
        n_requests = 0

        async def serve(reader, writer):
            nonlocal n_requests
            while b"GET" in await reader.readline():
                await reader.readuntil(b"\r\n\r\n")
                n_requests += 1
                if n_requests == 1:
                    writer.write(OK_RESPONSE)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        client = await self.make_client(server.sockets[0].getsockname()[1])
        for expected in (None, Outcome.UNKNOWN):
            result = await client.run(
                make_request(is_idempotent=True),
                timeout_s=0.3,
                credential=None,
                token=CancelToken(),
            )
            outcome = result.error.outcome if result.is_error() else None
            self.assertEqual(outcome, expected)
        self.assertEqual(n_requests, 2)

    async def test_any_status_of_the_upstream_is_a_response(self):
        response = b"HTTP/1.1 599 Odd\r\nContent-Length: 0\r\n\r\n"
        _, results = await self.run_requests(
            [response], [make_request(is_idempotent=True)]
        )
        self.assertEqual(results[0].ok.status, 599)

    async def test_request_cancelled_before_it_is_sent_is_not_run(self):
        upstream = ScriptedUpstream([OK_RESPONSE])
        client = await self.make_client(await upstream.start())
        self.addCleanup(upstream.server.close)
        token = CancelToken()
        token.cancel()
        result = await client.run(
            make_request(is_idempotent=False),
            timeout_s=2.0,
            credential=None,
            token=token,
        )
        self.assertEqual(result.error.outcome, Outcome.NOT_RUN)
        self.assertEqual(result.error.reason, RefusalReason.CANCELLED)
        self.assertEqual(upstream.n_requests, 0)

    async def test_deadline_that_passes_while_connecting_is_not_run(self):
        """Guard against requests that are sent late after a pause."""
        clock = ManualClock()
        upstream = ScriptedUpstream([OK_RESPONSE])
        client = await self.make_client(await upstream.start(), clock=clock)
        self.addCleanup(upstream.server.close)
        running = asyncio.ensure_future(
            client.run(
                make_request(is_idempotent=False),
                timeout_s=2.0,
                credential=None,
                token=CancelToken(),
            )
        )
        await asyncio.sleep(0)
        clock.advance(3.0)
        result = await running
        self.assertEqual(result.error.outcome, Outcome.NOT_RUN)
        self.assertEqual(result.error.reason, RefusalReason.EXPIRED)
        self.assertEqual(upstream.n_requests, 0)
