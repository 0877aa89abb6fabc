"""Processes of the platform and of measured nodes at the design size."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError

from benchmarks.design_fleet import DesignFleet, DesignSize, MeasuredNode
from foxtailway.testing.process import ProcessGroup
from foxtailway.testing.usage import ProcessUsage, read_usage

__all__ = ["DesignProcesses"]

PLATFORM_ADDRESS = "127.127.0.1"
PLATFORM_OFFSET = 10
COUNTED_OFFSET = 11
COUNTERS_OFFSET = 12
LINK_OFFSET = 13
REQUEST_TIMEOUT_S = 10.0
START_TIMEOUT_S = 90.0
POLL_S = 0.5


class DesignProcesses:
    """Start and ask the platform's stand-in and real nodes.

    Parameters
    ----------
    size : DesignSize
        Size of the fleet.
    folder : Path
        Folder for settings and logs.
    stack : AsyncExitStack
        Owner of the processes.

    Attributes
    ----------
    fleet : DesignFleet
        Layout of the hosts.
    """

    def __init__(
        self, *, size: DesignSize, folder: Path, stack: AsyncExitStack
    ) -> None:
        self.size = size
        self.folder = folder
        self.processes = ProcessGroup(log_folder=folder)
        stack.callback(self.processes.close)
        self.client = CurlAsyncHTTPClient(force_instance=True)
        stack.callback(self.client.close)
        self.platform_url = self.make_url(PLATFORM_OFFSET)
        self.fleet = DesignFleet(size=size, platform_url=self.make_url(COUNTED_OFFSET))

    def make_url(self, offset: int) -> str:
        """Return a URL of the platform's address."""
        return f"http://{PLATFORM_ADDRESS}:{self.size.first_port + offset}"

    async def request(self, url: str, *, body: bytes | None = None) -> Any:
        """Return a decoded JSON answer, or None on failure."""
        try:
            response = await self.client.fetch(
                url,
                method="GET" if body is None else "PUT",
                body=body,
                request_timeout=REQUEST_TIMEOUT_S,
            )
        except (HTTPClientError, OSError):
            return None
        return json.loads(response.body)

    async def publish(self, key: str, content: bytes) -> None:
        """Have the platform accept a value."""
        url = f"{self.platform_url}/control/values/{key}"
        if await self.request(url, body=content) is None:
            raise RuntimeError(f"the platform refused {key}")

    async def read_status(self, node: MeasuredNode) -> dict[str, Any] | None:
        """Return what a node's admin port answers."""
        return await self.request(f"{self.fleet.find_admin_url(node.host)}/status")

    async def wait_until(self, check: Callable[[], Awaitable[bool]], what: str) -> None:
        """Wait until an asynchronous check returns True."""
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while not await check():
            if time.monotonic() > deadline_s:
                raise TimeoutError(what)
            await asyncio.sleep(POLL_S)

    async def start_platform(self) -> None:
        """Start the platform behind a forwarder that counts its bytes."""
        port = self.size.first_port
        self.processes.start(
            "platform",
            "foxtailway.testing.platform",
            ["--address", PLATFORM_ADDRESS, "--port", str(port + PLATFORM_OFFSET)],
        )
        target = f"platform {PLATFORM_ADDRESS} {port + PLATFORM_OFFSET}"
        arguments = {
            "address": PLATFORM_ADDRESS,
            "port": port + LINK_OFFSET,
            "control-port": port + COUNTERS_OFFSET,
            "forward": f"{port + COUNTED_OFFSET}={target}",
            "delay-ms": 1,
            "mbit-per-s": 1000,
        }
        self.processes.start(
            "forwarder",
            "foxtailway.testing.link",
            [f"--{name}={value}" for name, value in arguments.items()],
        )

        async def is_up() -> bool:
            urls = (f"{self.platform_url}/control/counters", self.counters_url)
            return None not in [await self.request(url) for url in urls]

        await self.wait_until(is_up, "platform")
        for key, content in self.fleet.list_values().items():
            await self.publish(key, content)

    @property
    def counters_url(self) -> str:
        """Return the URL of the forwarder's counters."""
        return f"{self.make_url(COUNTERS_OFFSET)}/"

    def start_node(self, node: MeasuredNode) -> None:
        """Start one node."""
        path = self.folder / f"{node.host.host_id}.ini"
        path.write_text(self.fleet.render_settings(node.host))
        self.processes.start(
            node.host.host_id, "foxtailway.node.main", ["--settings", str(path)]
        )

    async def is_ready(self, node: MeasuredNode) -> bool:
        """Tell whether a node has a snapshot in force."""
        status = await self.read_status(node)
        return status is not None and status["is_ready"]

    def read_usage(self, node: MeasuredNode) -> ProcessUsage:
        """Return processor time and memory of a node."""
        return read_usage(self.processes.processes[node.host.host_id].pid)

    async def count_platform_calls(self) -> int:
        """Return the calls of the read API so far."""
        counters = await self.request(f"{self.platform_url}/control/counters")
        return counters["n_changes"] + counters["n_values"]

    async def count_platform_bytes(self) -> int:
        """Return the bytes exchanged with the platform so far."""
        return (await self.request(self.counters_url))["platform"]

    async def find_revision(self) -> int:
        """Return the newest revision of the platform."""
        counters = await self.request(f"{self.platform_url}/control/counters")
        return counters["revision"]
