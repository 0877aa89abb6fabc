"""Fake HTTP upstream that counts every run of a request."""

import asyncio
import json
import signal
from argparse import ArgumentParser

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from foxtailway.testing.upstream_handlers import make_upstream_application
from foxtailway.testing.upstream_state import UpstreamState

__all__ = ["FakeUpstreamServer", "main"]

# Default number of requests that run at the same time.
N_SLOTS = 10
# Default number of requests that run or wait at the same time.
N_CONNECTIONS = 100
# Largest body of a request.
MAX_BODY_SIZE_BYTES = 10_000_000


class FakeUpstreamServer(UpstreamState):
    """Server that responds to any path and counts the runs.

    A request with the header ``X-Call-Url`` makes an outgoing call while it
    runs. A path that ends with ``/crash`` exits the process.

    Parameters
    ----------
    address : str
        IP address to listen on.
    port : int, default=0
        TCP port; 0 selects a free one.
    name : str, default="upstream"
        Name in the body of every response.
    n_slots : int, default=10
        Maximum number of requests that run at the same time.
    n_connections : int, default=100
        Maximum number of requests that run or wait at the same time; further
        requests are refused.
    delay_s : float, default=0.0
        Initial run time of a request, in seconds.
    """

    def __init__(
        self,
        *,
        address: str,
        port: int = 0,
        name: str = "upstream",
        n_slots: int = N_SLOTS,
        n_connections: int = N_CONNECTIONS,
        delay_s: float = 0.0,
    ) -> None:
        super().__init__(
            name=name,
            n_slots=n_slots,
            n_connections=n_connections,
            delay_s=delay_s,
        )
        self.client = CurlAsyncHTTPClient(
            force_instance=True, max_clients=n_connections
        )
        self.sockets = bind_sockets(port, address)
        self.port = self.sockets[0].getsockname()[1]
        self.url = f"http://{address}:{self.port}"
        application = make_upstream_application(self, self.client)
        self.server = HTTPServer(application, max_body_size=MAX_BODY_SIZE_BYTES)

    def start(self) -> None:
        """Start accepting connections."""
        self.server.add_sockets(self.sockets)

    async def stop(self) -> None:
        """Close the port, all connections and the client."""
        self.server.stop()
        await self.server.close_all_connections()
        self.client.close()


async def serve(upstream_arguments: dict) -> None:
    """Serve until SIGTERM or SIGINT; print name and port as JSON at the start."""
    upstream = FakeUpstreamServer(**upstream_arguments)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    upstream.start()
    print(json.dumps({"name": upstream.name, "port": upstream.port}), flush=True)
    await stopped.wait()
    await upstream.stop()


def main() -> None:
    """Run the fake upstream as a process."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--name", default="upstream")
    parser.add_argument("--n-slots", type=int, default=N_SLOTS)
    parser.add_argument("--n-connections", type=int, default=N_CONNECTIONS)
    parser.add_argument("--delay-s", type=float, default=0.0)
    asyncio.run(serve(vars(parser.parse_args())))


if __name__ == "__main__":
    main()
