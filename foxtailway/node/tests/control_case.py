import asyncio
from collections.abc import Iterable
from contextlib import AsyncExitStack
from pathlib import Path
from signal import SIGCONT, SIGSTOP
from tempfile import TemporaryDirectory
from typing import Any
from unittest import IsolatedAsyncioTestCase

from foxtailway.model.bundle import BundleKind
from foxtailway.testing.audit_check import (
    PublishedStates,
    PublishedWrite,
    find_violations,
)
from foxtailway.testing.deployment import HostPlan, ZonePlan, plan_deployment
from foxtailway.testing.fleet import Fleet, NodeView
from foxtailway.testing.sample import SampleConfiguration
from foxtailway.testing.subnet import claim_subnet

__all__ = ["CONVERGENCE_TIMEOUT_S", "MESH", "N_READERS", "ControlFailureCase"]

# Time in which a change must be in force on all nodes.
CONVERGENCE_TIMEOUT_S = 14.0
# Time in which all processes must be ready.
START_TIMEOUT_S = 30.0
MESH = "failures"
STORE_REGION = "north"
REMOTE_REGION = "south"
ZONES = (
    ZonePlan(zone="north-a", region=STORE_REGION),
    ZonePlan(zone="north-b", region=STORE_REGION),
    ZonePlan(zone="south-a", region=REMOTE_REGION),
    ZonePlan(zone="south-b", region=REMOTE_REGION),
)
EDITED_KEY = "overlay/south-b"
N_READERS = 2
HEARTBEAT_S = 0.5
SILENCE_S = 1.5
STALE_S = 4.0
OVERRIDES = {
    "distribution": {
        "n_readers": str(N_READERS),
        "heartbeat": f"{HEARTBEAT_S}s",
        "silence": f"{SILENCE_S}s",
        "stale": f"{STALE_S}s",
        "bootstrap_timeout": "2s",
        "retry_max": "2s",
        "hosts_coalesce": "100ms",
    },
    "platform": {"timeout": "2s"},
}


class ControlFailureCase(IsolatedAsyncioTestCase):
    """Base class of tests that run a fleet of node processes.

    Each test ends with `assert_trails_valid`, which checks the audit trails of
    all processes, including those that ended during the test.
    """

    services: tuple[str, ...] = ("catalogue", "payments")
    n_routes = 4
    has_upstreams = False

    async def asyncSetUp(self):
        stack = AsyncExitStack()
        self.addAsyncCleanup(stack.aclose)
        folder = stack.enter_context(TemporaryDirectory())
        deployment = plan_deployment(
            mesh=MESH,
            store_region=STORE_REGION,
            subnet=stack.enter_context(claim_subnet()),
            zones=ZONES,
            services=self.services,
            overrides=OVERRIDES,
        )
        self.hosts = deployment.hosts
        self.sample = SampleConfiguration(deployment=deployment, n_routes=self.n_routes)
        self.fleet = Fleet(deployment=deployment, folder=Path(folder))
        stack.callback(self.fleet.close)
        self.states = PublishedStates()
        self.ended_trails: list[tuple[str, list[dict[str, Any]]]] = []
        await self.start()

    async def start(self):
        self.fleet.start_platform()
        await self.fleet.wait_platform()
        for key, content in self.sample.list_values().items():
            await self.publish(key, content)
        for host in self.hosts:
            if self.has_upstreams:
                self.fleet.start_upstream(host)
            self.fleet.start_node(host)
        await self.fleet.wait_ready(timeout_s=START_TIMEOUT_S)
        await self.wait_until_newest(timeout_s=START_TIMEOUT_S)

    async def publish(self, key: str, content: bytes, *, is_valid: bool = True):
        revision = await self.fleet.publish(key, content)
        write = PublishedWrite(
            revision=revision, key=key, content=content, is_valid=is_valid
        )
        self.states.record(write)
        return revision

    async def publish_overlay(self, value: str, *, is_valid: bool = True):
        content = self.sample.render_overlay(timeout=value)
        return await self.publish(EDITED_KEY, content, is_valid=is_valid)

    async def wait_until_newest(
        self, hosts=None, *, timeout_s: float = CONVERGENCE_TIMEOUT_S
    ):
        """Wait until the newest state of the store is in force on all `hosts`.

        The digests of both kinds and the generation are compared.
        """
        expected = {kind: self.states.find_newest_digest(kind) for kind in BundleKind}
        generation = self.states.generation
        selected_hosts = tuple(hosts or self.hosts)

        async def is_in_force() -> bool:
            views = await self.view(selected_hosts)
            return all(
                reports_version(
                    view, "config_version", expected[BundleKind.CONFIG], generation
                )
                and reports_version(
                    view, "hosts_version", expected[BundleKind.HOSTS], generation
                )
                for view in views
            )

        await self.fleet.wait_until(
            is_in_force,
            timeout_s=timeout_s,
            description="the newest state on every node",
        )

    async def view(self, hosts: Iterable[HostPlan]) -> list[NodeView]:
        return await asyncio.gather(*map(self.fleet.view, hosts))

    async def list_hosts_with_role(self, role: str) -> tuple[HostPlan, ...]:
        views = await self.fleet.view_all()
        return tuple(view.host for view in views if view.status["role"] == role)

    async def find_parents(self, hosts: Iterable[HostPlan]) -> tuple[HostPlan, ...]:
        """Return the given hosts that are parents of others among them."""
        parents = {view.status["parent"] for view in await self.view(hosts)}
        return tuple(host for host in hosts if host.host_id in parents)

    def list_others(self, hosts: Iterable[HostPlan]) -> tuple[HostPlan, ...]:
        selected_hosts = set(hosts)
        return tuple(host for host in self.hosts if host not in selected_hosts)

    async def save_trails(self, hosts: Iterable[HostPlan]):
        """Save the audit trails of processes that are about to be killed."""
        for host in hosts:
            trail = await self.fleet.read_audit(host)
            self.ended_trails.append((host.host_id, trail))

    def kill(self, hosts: Iterable[HostPlan]):
        for host in hosts:
            self.fleet.processes.kill(f"node-{host.host_id}")

    def freeze(self, hosts: Iterable[HostPlan]):
        for host in hosts:
            self.fleet.processes.signal(f"node-{host.host_id}", SIGSTOP)

    def resume(self, hosts: Iterable[HostPlan]):
        for host in hosts:
            self.fleet.processes.signal(f"node-{host.host_id}", SIGCONT)

    def restart(self, hosts: Iterable[HostPlan]):
        for host in hosts:
            self.fleet.start_node(host)

    async def assert_ready(self, hosts: Iterable[HostPlan]):
        views = await self.view(hosts)
        unready = [view.host.host_id for view in views if not view.is_ready]
        self.assertEqual(unready, [])

    async def assert_trails_valid(self):
        """Assert that all processes applied only newer, complete, valid versions."""
        await self.save_trails(self.hosts)
        valid = self.states.list_valid_states()
        breaches = [
            f"{host_id}: {breach}"
            for host_id, trail in self.ended_trails
            for breach in find_violations(trail, valid=valid)
        ]
        self.assertEqual(breaches, [])
        newest = dict(self.ended_trails)
        hosts_without_entries = [
            host.host_id for host in self.hosts if not newest[host.host_id]
        ]
        self.assertEqual(hosts_without_entries, [])

    async def count_platform_calls(self) -> int:
        counters = await self.fleet.read_platform_counters()
        return counters["n_changes"] + counters["n_values"] + counters["n_rejected"]


def reports_version(view: NodeView, name: str, digest: str, generation: int) -> bool:
    """Return whether a node reports the given version as in force."""
    version = (view.status or {}).get(name)
    if not version:
        return False
    numbers, _, short_digest = version.partition("-")
    return digest.startswith(short_digest) and numbers.startswith(f"{generation}.")
