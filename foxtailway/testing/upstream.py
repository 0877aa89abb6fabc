"""Stand-in of an upstream, over HTTP, that counts every run."""

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

N_SLOTS = 10
N_CONNECTIONS = 100
MAX_BODY_SIZE_BYTES = 10_000_000


class FakeUpstreamServer(UpstreamState):
    """Serve any path and count its runs.

    A request with the header ``X-Call-Url`` makes an outgoing call while it
    runs. A path that ends with ``/crash`` kills the process.

    Parameters
    ----------
    address : str
        IP address to listen on.
    port : int, default=0
        TCP port; 0 takes a free one.
    name : str, default="upstream"
        Name told in every answer.
    n_slots : int, default=10
        Requests that run at a time.
    n_connections : int, default=100
        Requests that run or wait at a time; further ones are refused.
    delay_s : float, default=0.0
        Initial time for which a run holds its slot, in seconds.
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
        """Start to accept connections."""
        self.server.add_sockets(self.sockets)

    async def stop(self) -> None:
        """Close the port and all connections."""
        self.server.stop()
        await self.server.close_all_connections()
        self.client.close()


async def serve(stand_in_arguments: dict) -> None:
    """Serve until SIGTERM or SIGINT; print the port when ready."""
    stand_in = FakeUpstreamServer(**stand_in_arguments)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    stand_in.start()
    print(json.dumps({"name": stand_in.name, "port": stand_in.port}), flush=True)
    await stopped.wait()
    await stand_in.stop()


def main() -> None:
    """Run the stand-in as a process."""
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
