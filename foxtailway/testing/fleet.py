"""Deployment whose parts run as separate processes on loopback addresses."""

import asyncio
import json
import time
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError

from foxtailway.testing.audit_check import rank_version
from foxtailway.testing.deployment import (
    LINK_CONTROL_PORT,
    LINK_NAIVE_PORT,
    LINK_PLATFORM_PORT,
    LINK_PORT,
    PLATFORM_PORT,
    UPSTREAM_PORT,
    Deployment,
    HostPlan,
)
from foxtailway.testing.process import ProcessGroup

__all__ = ["Fleet", "NodeView", "rank_version"]

# Interval between two checks of an awaited condition.
POLL_INTERVAL_S = 0.05
# Timeout of a request to an admin or control port.
REQUEST_TIMEOUT_S = 3.0
# Process name of the platform.
PLATFORM_NAME = "platform"
# Process name of the link.
LINK_NAME = "link"


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeView:
    """State of a node at one time.

    Parameters
    ----------
    host : HostPlan
        Host of the node.
    status : dict or None
        Response of the admin port; None if there was no response.
    """

    host: HostPlan
    status: dict[str, Any] | None

    @property
    def revision(self) -> int:
        """Return the revision of the configuration in force; 0 if there is none."""
        text = (self.status or {}).get("config_version")
        return rank_version(text)[1] if text else 0

    @property
    def is_ready(self) -> bool:
        """Return whether the node accepts calls."""
        return bool(self.status and self.status["is_ready"])


class Fleet:
    """Processes of a deployment.

    Parameters
    ----------
    deployment : Deployment
        Layout of the hosts.
    folder : Path
        Folder for settings and logs.
    """

    def __init__(self, *, deployment: Deployment, folder: Path) -> None:
        self.deployment = deployment
        self.folder = folder
        self.processes = ProcessGroup(log_folder=folder)
        self.client = CurlAsyncHTTPClient(force_instance=True, max_clients=64)

    def start_platform(self) -> None:
        """Start the platform and the link between the regions."""
        address = self.deployment.platform_address
        self.processes.start(
            PLATFORM_NAME,
            "foxtailway.testing.platform",
            ["--address", address, "--port", str(PLATFORM_PORT)],
        )
        forwards = []
        for port, label in (
            (LINK_PLATFORM_PORT, "platform"),
            (LINK_NAIVE_PORT, "naive"),
        ):
            target = f"{port}={label} {address} {PLATFORM_PORT}"
            forwards += ["--forward", target]
        self.processes.start(
            LINK_NAME,
            "foxtailway.testing.link",
            [
                "--address",
                address,
                "--port",
                str(LINK_PORT),
                "--control-port",
                str(LINK_CONTROL_PORT),
                *forwards,
            ],
        )

    def start_upstream(self, host: HostPlan) -> None:
        """Start the upstream of a host."""
        self.processes.start(
            f"upstream-{host.host_id}",
            "foxtailway.testing.upstream",
            ["--address", host.address, "--port", str(UPSTREAM_PORT)],
        )

    def start_node(self, host: HostPlan) -> None:
        """Start the node of a host."""
        self.start_nodes(f"node-{host.host_id}", (host,))

    def start_nodes(self, name: str, hosts: Iterable[HostPlan]) -> None:
        """Start the nodes of several hosts in one process.

        Parameters
        ----------
        name : str
            Name of the process.
        hosts : iterable of HostPlan
            Hosts of the nodes.
        """
        arguments = ["--link-address", self.deployment.platform_address]
        for host in hosts:
            path = self.folder / f"{host.host_id}.ini"
            path.write_text(self.deployment.render_settings(host))
            arguments += ["--settings", str(path)]
        self.processes.start(name, "foxtailway.testing.linked_node", arguments)

    def start_hosts(self) -> None:
        """Start the upstream and the node of every host."""
        for host in self.deployment.hosts:
            self.start_upstream(host)
            self.start_node(host)

    async def request(
        self, url: str, *, method: str = "GET", body: bytes | None = None
    ) -> Any:
        """Make a request and return the decoded JSON response; None on failure."""
        try:
            response = await self.client.fetch(
                url,
                method=method,
                body=body,
                request_timeout=REQUEST_TIMEOUT_S,
                allow_nonstandard_methods=True,
            )
        except (HTTPClientError, OSError):
            return None
        return json.loads(response.body) if response.body else {}

    async def publish(self, key: str, content: bytes) -> int:
        """Write a value to the platform and return its revision.

        Raises
        ------
        RuntimeError
            If the platform does not accept the value.
        """
        url = f"{self.deployment.platform_url}/control/values/{key}"
        response = await self.request(url, method="PUT", body=content)
        if response is None:
            raise RuntimeError(f"the platform did not accept a value for {key}")
        return response["revision"]

    async def publish_hosts(self, *, leaving: frozenset[str] = frozenset()) -> None:
        """Write the host lists of all zones to the platform."""
        for zone in dict.fromkeys(host.zone for host in self.deployment.hosts):
            content = self.deployment.render_hosts(zone, leaving=leaving)
            await self.publish(f"hosts/{zone}", content)

    async def set_faults(self, **faults: object) -> None:
        """Set faults of the platform; the keywords are fields of `PlatformFaults`."""
        url = f"{self.deployment.platform_url}/control/faults"
        await self.request(url, method="POST", body=json.dumps(faults).encode())

    async def read_platform_counters(self) -> dict[str, int]:
        """Return the counters of the platform."""
        return await self.request(f"{self.deployment.platform_url}/control/counters")

    async def read_link_counters(self) -> dict[str, int]:
        """Return the counters of the link."""
        return await self.request(self.deployment.link_control_url)

    async def set_link_mode(self, mode: str) -> None:
        """Set the state of the link to the value of a `LinkMode`."""
        body = json.dumps({"mode": mode}).encode()
        await self.request(self.deployment.link_control_url, method="POST", body=body)

    async def view(self, host: HostPlan) -> NodeView:
        """Return the state of a node."""
        status = await self.request(f"http://{host.admin_address}/status")
        return NodeView(host=host, status=status)

    async def view_all(self) -> list[NodeView]:
        """Return the state of every node."""
        return await asyncio.gather(*map(self.view, self.deployment.hosts))

    async def read_audit(self, host: HostPlan) -> list[dict[str, Any]]:
        """Return the audit trail of a node; empty if the node does not respond."""
        response = await self.request(f"http://{host.admin_address}/audit?since=0")
        return response["entries"] if response else []

    async def wait_until(
        self, check: Any, *, timeout_s: float, description: str
    ) -> None:
        """Wait until an asynchronous check returns True.

        Raises
        ------
        TimeoutError
            If the check returns False for `timeout_s` seconds; the message contains
            the description.
        """
        deadline = time.monotonic() + timeout_s
        while not await check():
            if time.monotonic() > deadline:
                raise TimeoutError(f"{description} not within {timeout_s} s")
            await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_platform(self) -> None:
        """Wait until the platform and the link respond.

        Raises
        ------
        RuntimeError
            If one of the processes has exited.
        """

        async def is_up() -> bool:
            names = (PLATFORM_NAME, LINK_NAME)
            if not all(self.processes.is_running(name) for name in names):
                raise RuntimeError(
                    "the platform or link process has exited; check for ports in use"
                )
            platform = await self.read_platform_counters()
            link = await self.read_link_counters()
            return platform is not None and link is not None

        await self.wait_until(is_up, timeout_s=10.0, description="platform")

    async def wait_ready(self, *, timeout_s: float = 30.0) -> None:
        """Wait until every node accepts calls."""

        async def is_ready() -> bool:
            return all(view.is_ready for view in await self.view_all())

        await self.wait_until(is_ready, timeout_s=timeout_s, description="readiness")

    async def wait_revision(
        self,
        revision: int,
        *,
        timeout_s: float = 15.0,
        hosts: tuple[HostPlan, ...] | None = None,
    ) -> None:
        """Wait until a revision is in force on some hosts, by default on all."""
        expected = hosts or self.deployment.hosts

        async def is_applied() -> bool:
            views = await asyncio.gather(*map(self.view, expected))
            return all(view.revision >= revision for view in views)

        await self.wait_until(
            is_applied, timeout_s=timeout_s, description=f"revision {revision}"
        )

    def close(self) -> None:
        """Stop all processes and close the client."""
        self.processes.close()
        self.client.close()
