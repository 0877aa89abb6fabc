"""Upstream that breaks the protocol in one named way at a time."""

import asyncio
import json
import signal
from argparse import ArgumentParser
from contextlib import suppress

from foxtailway.sidecar.http_message import HeaderNames
from foxtailway.testing.upstream_faults import (
    DEFAULT_HEADER_NAMES,
    FAULTS,
    Fault,
    PartialHead,
    PlayedRequest,
)

__all__ = [
    "FAULTS",
    "Fault",
    "FaultyUpstream",
    "PartialHead",
    "PlayedRequest",
    "main",
]


class FaultyUpstream:
    """HTTP server that plays one fault on each request.

    Parameters
    ----------
    fault : Fault
        Fault to play.
    names : HeaderNames, default=DEFAULT_HEADER_NAMES
        Names of the headers of the mesh.
    split_at : tuple of int, default=()
        Increasing positions at which repeated responses are split into segments.

    Attributes
    ----------
    runs : list of bytes
        Identifiers of the requests that were run, one for each run.
    n_connections : int
        Accepted connections.
    n_endless_bytes : int
        Bytes of responses without end that were written.
    """

    def __init__(
        self,
        *,
        fault: Fault,
        names: HeaderNames = DEFAULT_HEADER_NAMES,
        split_at: tuple[int, ...] = (),
    ) -> None:
        self.fault = fault
        self.names = names
        self.split_at = split_at
        self.runs: list[bytes] = []
        self.n_connections = 0
        self.n_endless_bytes = 0
        self.tasks: set[asyncio.Task] = set()
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self, *, address: str = "127.0.0.1", port: int = 0) -> None:
        """Start to accept connections."""
        self.server = await asyncio.start_server(self.serve, address, port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def __aenter__(self) -> "FaultyUpstream":
        """Start to accept connections on a free port of the loopback address."""
        await self.start()
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Stop."""
        await self.stop()

    async def stop(self) -> None:
        """Close the port and all connections."""
        self.server.close()
        for task in tuple(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Play the fault on each request of a connection."""
        task = asyncio.current_task()
        self.tasks.add(task)
        self.n_connections += 1
        earlier_ids: list[bytes] = []
        try:
            while not writer.is_closing():
                head = await reader.readuntil(b"\r\n\r\n")
                headers = parse_headers(head)
                await reader.readexactly(int(headers.get(b"content-length", b"0")))
                request_id = headers.get(self.names.request_id, b"")
                await self.fault.play(
                    PlayedRequest(
                        upstream=self,
                        writer=writer,
                        method=head.split(b" ", 1)[0].decode("latin-1"),
                        request_id=request_id,
                        earlier_ids=list(earlier_ids),
                    )
                )
                earlier_ids.append(request_id)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()


def parse_headers(head: bytes) -> dict[bytes, bytes]:
    """Return the values of a header section by lower-case name."""
    headers = {}
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        headers[name.strip().lower()] = value.strip()
    return headers


async def serve(*, fault: Fault, address: str, port: int) -> None:
    """Serve until SIGTERM or SIGINT; print the port as JSON at the start."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    upstream = FaultyUpstream(fault=fault)
    await upstream.start(address=address, port=port)
    print(json.dumps({"port": upstream.port}), flush=True)
    await stopped.wait()
    await upstream.stop()


def main() -> None:
    """Run the faulty upstream as a process."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--fault", choices=sorted(FAULTS), required=True)
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    options = parser.parse_args()
    with suppress(KeyboardInterrupt):
        asyncio.run(
            serve(
                fault=FAULTS[options.fault], address=options.address, port=options.port
            )
        )


if __name__ == "__main__":
    main()
