"""CPU time of a request with different HTTP server and client libraries."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

from foxtailway.sidecar.http_connection import connect_http
from foxtailway.sidecar.http_listener import HttpListener, RequestHandler
from foxtailway.sidecar.http_message import ClientRequest, HeaderNames, Response
from foxtailway.sidecar.tests.support import make_log

__all__ = ["main"]

# Requests in a round.
N_REQUESTS = 3_000
# Rounds of a measurement; the fastest one counts.
N_ROUNDS = 5
# Request that every client sends.
REQUEST = b"GET /x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r-1\r\n\r\n"
# Response of the raw server.
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
# Header names that the sidecar's listener reads.
HEADER_NAMES = HeaderNames(
    request_id=b"x-request-id",
    remaining_ms=b"x-remaining-ms",
    seal=b"x-seal",
    expected_upstream=b"x-expected",
    upstream_id=b"x-upstream",
    not_run=b"x-not-run",
    caller=b"x-caller",
    warm_in_ms=b"x-warm-in",
)


class FixedHandler(RequestHandler):
    """Handler that returns the same response to every request."""

    async def handle(self, request: ClientRequest) -> Response:
        """Return the response."""
        return Response(status=200, body=b"hello")


def respond_with_tornado(request: HTTPServerRequest) -> None:
    """Respond to a request at the Tornado server."""
    request.connection.write_headers(
        ResponseStartLine("HTTP/1.1", 200, "OK"),
        HTTPHeaders({"Content-Length": "5"}),
        b"hello",
    )
    request.connection.finish()


async def measure(send: Callable[[], Awaitable[object]]) -> float:
    """Return the CPU time of a request in the fastest round, in milliseconds."""
    rounds = []
    for _ in range(N_ROUNDS):
        started = time.process_time()
        for _ in range(N_REQUESTS):
            await send()
        rounds.append((time.process_time() - started) / N_REQUESTS * 1000)
    return round(min(rounds), 4)


async def measure_server(port: int) -> float:
    """Return the CPU time of a request to a server in milliseconds.

    The client writes the same bytes for each request and does not parse responses.
    """
    reader, writer = await asyncio.open_connection("127.0.0.1", port)

    async def send() -> None:
        writer.write(REQUEST)
        await reader.readuntil(b"hello")

    cpu_ms = await measure(send)
    writer.close()
    return cpu_ms


async def serve_raw(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send the same bytes in response to every request until the stream closes."""
    try:
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(RESPONSE)
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
        writer.close()


async def measure_servers() -> dict[str, float]:
    """Return the CPU time of a request to each server, in milliseconds."""
    tornado_server = HTTPServer(respond_with_tornado)
    tornado_server.listen(0, "127.0.0.1")
    (sock,) = tornado_server._sockets.values()
    listener = HttpListener(handler=FixedHandler(), names=HEADER_NAMES, log=make_log())
    await listener.listen(address="127.0.0.1", port=0)
    listener_port = listener.server.sockets[0].getsockname()[1]
    cpu_ms_by_library = {
        "tornado": await measure_server(sock.getsockname()[1]),
        "httptools": await measure_server(listener_port),
    }
    tornado_server.stop()
    listener.close()
    return cpu_ms_by_library


async def measure_clients() -> dict[str, float]:
    """Return the CPU time of a request by each client, in milliseconds."""
    server = await asyncio.start_server(serve_raw, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    curl = CurlAsyncHTTPClient(force_instance=True)
    connection = await connect_http(address="127.0.0.1", port=port, timeout_s=5.0)
    cpu_ms_by_library = {
        "curl": await measure(lambda: curl.fetch(f"http://127.0.0.1:{port}/x")),
        "httptools": await measure(lambda: connection.request(REQUEST)),
    }
    connection.close()
    curl.close()
    server.close()
    return cpu_ms_by_library


async def compare() -> dict[str, object]:
    """Return the CPU time of a request for each library, in milliseconds."""
    return {
        "measure": "processor time of a request, peer included",
        "unit": "ms",
        "server": await measure_servers(),
        "client": await measure_clients(),
    }


def main() -> None:
    """Print one JSON object with the CPU time for each library."""
    print(json.dumps(asyncio.run(compare())))


if __name__ == "__main__":
    main()
