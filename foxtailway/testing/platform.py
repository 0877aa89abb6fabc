"""Fake of the platform's configuration service, with HTTP and an in-memory store."""

import asyncio
import json
import signal
from argparse import ArgumentParser

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from foxtailway.testing.platform_handlers import (
    MAX_VALUE_SIZE_BYTES,
    make_platform_application,
)
from foxtailway.testing.platform_state import CALLS_PER_S, PlatformState

__all__ = ["FakePlatformServer", "main"]


class FakePlatformServer(PlatformState):
    """Server of the read API and of the control API of tests, on one port.

    Parameters
    ----------
    address : str
        IP address to listen on.
    port : int, default=0
        TCP port; 0 selects a free one.
    calls_per_s : int, default=2000
        Calls of the read API allowed within each second.
    """

    def __init__(
        self, *, address: str, port: int = 0, calls_per_s: int = CALLS_PER_S
    ) -> None:
        super().__init__(calls_per_s=calls_per_s)
        self.sockets = bind_sockets(port, address)
        self.port = self.sockets[0].getsockname()[1]
        self.url = f"http://{address}:{self.port}"
        self.server = HTTPServer(
            make_platform_application(self), max_body_size=2 * MAX_VALUE_SIZE_BYTES
        )

    def start(self) -> None:
        """Start accepting connections."""
        self.server.add_sockets(self.sockets)

    async def stop(self) -> None:
        """Close the port and all connections; watches end without a response."""
        self.server.stop()
        self.faults.is_down = True
        self.notify()
        await self.server.close_all_connections()


async def serve(*, address: str, port: int, calls_per_s: int) -> None:
    """Serve until SIGTERM or SIGINT; print address and port as JSON at the start."""
    platform = FakePlatformServer(address=address, port=port, calls_per_s=calls_per_s)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    platform.start()
    print(json.dumps({"address": address, "port": platform.port}), flush=True)
    await stopped.wait()
    await platform.stop()


def main() -> None:
    """Run the fake platform as a process."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--calls-per-s", type=int, default=CALLS_PER_S)
    arguments = parser.parse_args()
    asyncio.run(
        serve(
            address=arguments.address,
            port=arguments.port,
            calls_per_s=arguments.calls_per_s,
        )
    )


if __name__ == "__main__":
    main()
