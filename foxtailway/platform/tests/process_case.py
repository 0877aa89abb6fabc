"""A sidecar process with lowered limits, and clients that nobody controls."""

import asyncio
import os
import re
import resource
import socket
import subprocess
import sys
from collections.abc import Iterable
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import IsolatedAsyncioTestCase

import msgpack

from foxtailway.platform.tests.documents import (
    make_document,
    make_entry,
    make_route_row,
)
from foxtailway.platform.tests.fake_store import FakeStore
from foxtailway.platform.tests.test_settings import SETTINGS_TEXT
from foxtailway.sidecar.settings import Endpoint
from foxtailway.sidecar.tests.support import LONG_TIMEOUT_S

__all__ = [
    "ADDRESS",
    "BLOCK_SIZE",
    "MAX_BODY_SIZE",
    "STALL_S",
    "Client",
    "SidecarProcessCase",
]

ADDRESS = "127.0.0.1"
# Memory of the host. A process without clients takes about 40 MB.
MEMORY_MB = 100
# Descriptors of the host.
MAX_N_DESCRIPTORS = 160
# Limit of bodies in the configuration of the tests.
MAX_BODY_SIZE = 32_000_000
# Body of the response to `/x/long/`; the limit is a 32nd of the memory.
LONG_BODY = b"r" * 3_000_000
# Time without progress after which a client stops sending and stays open.
STALL_S = 1.0
BLOCK_SIZE = 65_536
# Receive buffer of a client, small so that what it does not read stays in the process.
RECEIVE_BUFFER_SIZE = 65_536


class StandInUpstream:
    """Upstream that keeps the protocol and discards the bodies of its requests."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.port = 0
        self.body_sizes: list[int] = []

    async def start(self, address: str = ADDRESS, port: int = 0) -> None:
        """Start to accept connections."""
        self.server = await asyncio.start_server(self.serve, address, port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Respond to the requests of one connection."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"(?i)\r\ncontent-length: (\d+)", head)
                size = n_missing = int(length[1]) if length else 0
                while n_missing:
                    part = await reader.read(min(n_missing, BLOCK_SIZE))
                    if not part:
                        return
                    n_missing -= len(part)
                self.body_sizes.append(size)
                request_id = re.search(rb"(?i)\r\nattempt-id: (\S+)", head)
                body = LONG_BODY if b"/long/" in head else b"done"
                echo = b"Attempt-Id: %b\r\n" % request_id[1] if request_id else b""
                writer.write(
                    b"HTTP/1.1 200 OK\r\nResponse-Seal: s\r\n%bContent-Length: %d\r\n"
                    b"\r\n%b" % (echo, len(body), body)
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Client:
    """Client on one connection.

    Parameters
    ----------
    endpoint : Endpoint
        Endpoint of the sidecar for clients.
    """

    def __init__(self, *, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Open the connection."""
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_SIZE)
        address = (self.endpoint.address, self.endpoint.port)
        await asyncio.get_running_loop().sock_connect(sock, address)
        self.reader, self.writer = await asyncio.open_connection(
            sock=sock, limit=BLOCK_SIZE
        )

    async def send(self, parts: Iterable[bytes]) -> None:
        """Send parts until the server closes or stops to read; stay open."""
        try:
            if self.writer is None:
                await self.connect()
            for part in parts:
                self.writer.write(part)
                async with asyncio.timeout(STALL_S):
                    await self.writer.drain()
        except (ConnectionError, TimeoutError):
            pass

    async def request(
        self, target: str = "/x/1", method: str = "GET", size: int = 0
    ) -> int:
        """Send a request and return the status of its response."""
        head = (
            f"{method} {target} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: r-1\r\n"
            f"Content-Length: {size}\r\n\r\n"
        )
        async with asyncio.timeout(LONG_TIMEOUT_S):
            await self.connect()
            self.writer.write(head.encode())
            for start in range(0, size, BLOCK_SIZE):
                self.writer.write(bytes(min(BLOCK_SIZE, size - start)))
                await self.writer.drain()
            head = await self.reader.readuntil(b"\r\n\r\n")
            length = re.search(rb"(?i)\r\ncontent-length: (\d+)", head)
            await self.reader.readexactly(int(length[1]) if length else 0)
        self.close()
        return int(head.split(b" ")[1])

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.transport.abort()


class SidecarProcessCase(IsolatedAsyncioTestCase):
    """Case with one sidecar process, its upstream and its store."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().slow_callback_duration = LONG_TIMEOUT_S
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.clients: list[Client] = []
        self.addCleanup(self.close_clients)
        self.store = FakeStore()
        await self.store.start()
        self.addCleanup(self.store.listener.close)
        self.upstream = StandInUpstream()
        await self.upstream.start()
        self.addCleanup(self.upstream.server.close)
        routes = [
            make_route_row(timeout=60_000, target_latency=60_000, service=service)
            | {"name": service, "prefix": prefix}
            for service, prefix in (("records", "/x/"), ("dispatch", "/y/"))
        ]
        document = make_document(1, routes)
        document["limits"] |= {"max_body_bytes": MAX_BODY_SIZE, "idle_timeout": 60_000}
        self.store.put("op/config", msgpack.packb(document))
        self.processes: dict[str, subprocess.Popen] = {}
        self.ports = find_free_ports(3)
        self.endpoint = await self.start_host(ADDRESS, "records", self.upstream)

    async def start_host(
        self, address: str, service: str, upstream: StandInUpstream
    ) -> Endpoint:
        """Start a process, wait until it is ready, return its client endpoint."""
        inbound, outbound, ready = self.ports
        store = self.store.listener.server.sockets[0].getsockname()
        settings = SETTINGS_TEXT
        for name, value in (
            ("node_name", address),
            ("service", service),
            ("listen_addrs.inbound", f"{address}:{inbound}"),
            ("listen_addrs.outbound", f"{address}:{outbound}"),
            ("listen_addrs.ready", f"{address}:{ready}"),
            ("app_addr", f"{address}:{upstream.port}"),
            ("platform.address", f"{store[0]}:{store[1]}"),
            ("limits.memory_mb", str(MEMORY_MB)),
            ("limits.max_fds", str(MAX_N_DESCRIPTORS)),
            ("limits.link_mbps", "1000"),
        ):
            settings = re.sub(rf"(?m)^{re.escape(name)}=.*\n", "", settings)
            settings += f"{name}={value}\n"
        path = self.folder / f"{address}.conf"
        path.write_text(settings)
        self.processes[address] = spawn_process(path, self.folder / f"{address}.log")
        self.addCleanup(self.processes[address].wait)
        self.addCleanup(self.processes[address].kill)
        info = {"service": service, "version": "v1", "zone": "zone-a", "slots": 12}
        self.store.put(
            f"servers/u-{address}",
            make_entry(address=f"{address}:{upstream.port}", info=info),
        )
        ready_client = Client(endpoint=Endpoint(address=address, port=ready))
        async with asyncio.timeout(LONG_TIMEOUT_S):
            while not await is_ready(ready_client):  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        return Endpoint(address=address, port=outbound)

    async def start_other_host(self, address: str = "127.0.0.2") -> None:
        """Start another process; its upstream serves `/y/`."""
        upstream = StandInUpstream()
        await upstream.start(address)
        self.addCleanup(upstream.server.close)
        await self.start_host(address, "dispatch", upstream)
        async with asyncio.timeout(LONG_TIMEOUT_S):
            while await Client(endpoint=self.endpoint).request("/y/1") != 200:  # noqa: ASYNC110
                await asyncio.sleep(0.05)

    def close_clients(self) -> None:
        """Close the connections of all clients."""
        for client in self.clients:
            client.close()

    def make_clients(self, n_clients: int) -> list[Client]:
        """Return clients that are closed at the end of the test."""
        clients = [Client(endpoint=self.endpoint) for _ in range(n_clients)]
        self.clients += clients
        return clients

    async def send_ordinary_request(self) -> int | str:
        """Return the status of a request, or the error without one.

        A request that was refused, so that it has not run, is sent again: the
        requests of the crowd may fill the slots of the upstream.
        """
        answer: int | str = ""
        try:
            async with asyncio.timeout(LONG_TIMEOUT_S):
                while answer in ("", 503):
                    answer = await Client(endpoint=self.endpoint).request()
                    await asyncio.sleep(0.1)
        except (OSError, TimeoutError, EOFError) as error:
            answer = f"{answer} {error!r}"
        return answer

    async def check_processes(self) -> None:
        """Check that all live, kept their limits, and that a request is answered."""
        answer = await self.send_ordinary_request()
        for address, process in self.processes.items():
            log = (self.folder / f"{address}.log").read_text()
            self.assertIsNone(process.poll(), log[-2_000:])
            peak = read_peak_memory(process.pid)
            n_descriptors = len(os.listdir(f"/proc/{process.pid}/fd"))
            found = f"{peak} bytes, {n_descriptors} descriptors, answer {answer}"
            if os.environ.get("SHOW_PEAKS"):
                print(self.id().rsplit(".")[-1], address, found, file=sys.stderr)
            self.assertLess(peak, MEMORY_MB * 1_000_000, found)
            self.assertLess(n_descriptors, MAX_N_DESCRIPTORS, found)
        self.assertEqual(answer, 200)


def spawn_process(settings_path: Path, log_path: Path) -> subprocess.Popen:
    """Start a sidecar with the limit of descriptors of its host."""
    command = (sys.executable, "-m", "foxtailway.platform", "--settings")
    with log_path.open("wb") as log:
        process = subprocess.Popen(
            [*command, str(settings_path)], stdout=log, stderr=log
        )
    limits = (MAX_N_DESCRIPTORS, MAX_N_DESCRIPTORS)
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, limits)
    return process


def read_peak_memory(pid: int) -> int:
    """Return the largest resident memory that a process had, in bytes."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+)", status)[1]) * 1024


async def is_ready(client: Client) -> bool:
    """Return whether the readiness check of a process succeeds."""
    try:
        return await client.request("/v1/ready") == 200
    except (OSError, EOFError):
        return False


def find_free_ports(n_ports: int) -> list[int]:
    """Return ports that are free now."""
    sockets = [socket.create_server((ADDRESS, 0)) for _ in range(n_ports)]
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports
