"""Processes of the platform and of the measured nodes at the design size."""

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

# IP address of the platform and of the forwarder.
PLATFORM_ADDRESS = "127.127.0.1"
# Offset of the platform's port from the first port.
PLATFORM_OFFSET = 10
# Offset of the forwarder's port that leads to the platform.
FORWARDER_OFFSET = 11
# Offset of the port of the forwarder's counters.
COUNTERS_OFFSET = 12
# Offset of the forwarder's port that expects a line with the target; not used.
LINK_OFFSET = 13
# Timeout of a request to the platform or to an admin port.
REQUEST_TIMEOUT_S = 10.0
# Time until an awaited condition must hold.
START_TIMEOUT_S = 90.0
# Interval between two checks of an awaited condition.
POLL_INTERVAL_S = 0.5


class DesignProcesses:
    """Processes of the fake platform, of its forwarder and of real nodes.

    Parameters
    ----------
    size : DesignSize
        Size of the fleet.
    folder : Path
        Folder for settings and logs.
    stack : AsyncExitStack
        Stack that stops the processes.

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
        self.fleet = DesignFleet(
            size=size, platform_url=self.make_url(FORWARDER_OFFSET)
        )

    def make_url(self, offset: int) -> str:
        """Return the base URL of a port of the platform's address."""
        return f"http://{PLATFORM_ADDRESS}:{self.size.first_port + offset}"

    async def request(self, url: str, *, body: bytes | None = None) -> Any:
        """Return the decoded JSON response; None on failure.

        Parameters
        ----------
        url : str
            URL of the request.
        body : bytes, default=None
            Body of a PUT request; None for a GET request.
        """
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
        """Write a value to the platform.

        Raises
        ------
        RuntimeError
            If the platform does not accept the value.
        """
        url = f"{self.platform_url}/control/values/{key}"
        if await self.request(url, body=content) is None:
            raise RuntimeError(f"the platform did not accept a value for {key}")

    async def read_status(self, node: MeasuredNode) -> dict[str, Any] | None:
        """Return the status of a node; None if the node does not respond."""
        return await self.request(f"{self.fleet.find_admin_url(node.host)}/status")

    async def wait_until(
        self, check: Callable[[], Awaitable[bool]], description: str
    ) -> None:
        """Wait until an asynchronous check returns True.

        Raises
        ------
        TimeoutError
            With the description as message, if the check returns False for 90 s.
        """
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while not await check():
            if time.monotonic() > deadline_s:
                raise TimeoutError(description)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def start_platform(self) -> None:
        """Start the platform with a forwarder that counts bytes; publish all values."""
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
            "forward": f"{port + FORWARDER_OFFSET}={target}",
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
        """Return whether a node has a snapshot in force."""
        status = await self.read_status(node)
        return status is not None and status["is_ready"]

    def read_usage(self, node: MeasuredNode) -> ProcessUsage:
        """Return the CPU time and memory of a node."""
        return read_usage(self.processes.processes[node.host.host_id].pid)

    async def count_platform_calls(self) -> int:
        """Return the number of calls of the read API since the start."""
        counters = await self.request(f"{self.platform_url}/control/counters")
        return counters["n_changes"] + counters["n_values"]

    async def count_platform_bytes(self) -> int:
        """Return the bytes exchanged with the platform since the start."""
        return (await self.request(self.counters_url))["platform"]

    async def find_revision(self) -> int:
        """Return the newest revision of the platform."""
        counters = await self.request(f"{self.platform_url}/control/counters")
        return counters["revision"]
