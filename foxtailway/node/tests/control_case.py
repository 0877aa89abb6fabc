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

__all__ = ["MESH", "N_READERS", "TARGET_S", "ControlFailureCase"]

TARGET_S = 14.0
START_S = 30.0
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
    """Run a fleet as processes and check all audit trails at the end."""

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
        await self.fleet.wait_ready(timeout_s=START_S)
        await self.wait_newest(timeout_s=START_S)

    async def publish(self, key: str, content: bytes, *, is_valid: bool = True):
        revision = await self.fleet.publish(key, content)
        write = PublishedWrite(
            revision=revision, key=key, content=content, is_valid=is_valid
        )
        self.states.record(write)
        return revision

    async def edit(self, value: str, *, is_valid: bool = True):
        content = self.sample.render_overlay(timeout=value)
        return await self.publish(EDITED_KEY, content, is_valid=is_valid)

    async def wait_newest(self, hosts=None, *, timeout_s: float = TARGET_S):
        """Wait until the newest state of the store is in force."""
        expected = {kind: self.states.find_newest_digest(kind) for kind in BundleKind}
        generation = self.states.generation
        chosen = tuple(hosts or self.hosts)

        async def is_in_force() -> bool:
            views = await self.view(chosen)
            return all(
                shows(view, "config_version", expected[BundleKind.CONFIG], generation)
                and shows(view, "hosts_version", expected[BundleKind.HOSTS], generation)
                for view in views
            )

        await self.fleet.wait_until(
            is_in_force,
            timeout_s=timeout_s,
            description="the newest state on every node",
        )

    async def view(self, hosts: Iterable[HostPlan]) -> list[NodeView]:
        return await asyncio.gather(*map(self.fleet.view, hosts))

    async def list_role(self, role: str) -> tuple[HostPlan, ...]:
        views = await self.fleet.view_all()
        return tuple(view.host for view in views if view.status["role"] == role)

    async def find_parents(self, hosts: Iterable[HostPlan]) -> tuple[HostPlan, ...]:
        """Return the hosts that feed others of the given ones."""
        parents = {view.status["parent"] for view in await self.view(hosts)}
        return tuple(host for host in hosts if host.host_id in parents)

    def list_others(self, hosts: Iterable[HostPlan]) -> tuple[HostPlan, ...]:
        chosen = set(hosts)
        return tuple(host for host in self.hosts if host not in chosen)

    async def keep_trails(self, hosts: Iterable[HostPlan]):
        """Keep the trails of processes that are about to end."""
        for host in hosts:
            trail = await self.fleet.read_audit(host)
            self.ended_trails.append((host.host_id, trail))

    def kill(self, hosts: Iterable[HostPlan]):
        for host in hosts:
            self.fleet.processes.kill(f"node-{host.host_id}")

    def freeze(self, hosts: Iterable[HostPlan]):
        for host in hosts:
            self.fleet.processes.signal(f"node-{host.host_id}", SIGSTOP)

    def wake(self, hosts: Iterable[HostPlan]):
        for host in hosts:
            self.fleet.processes.signal(f"node-{host.host_id}", SIGCONT)

    def restart(self, hosts: Iterable[HostPlan]):
        for host in hosts:
            self.fleet.start_node(host)

    async def assert_ready(self, hosts: Iterable[HostPlan]):
        views = await self.view(hosts)
        unready = [view.host.host_id for view in views if not view.is_ready]
        self.assertEqual(unready, [])

    async def assert_sound(self):
        """Assert over all trails that no version broke a promise."""
        await self.keep_trails(self.hosts)
        valid = self.states.list_valid_states()
        breaches = [
            f"{host_id}: {breach}"
            for host_id, trail in self.ended_trails
            for breach in find_violations(trail, valid=valid)
        ]
        self.assertEqual(breaches, [])
        newest = dict(self.ended_trails)
        unheard = [host.host_id for host in self.hosts if not newest[host.host_id]]
        self.assertEqual(unheard, [])

    async def count_platform_calls(self) -> int:
        counters = await self.fleet.read_platform_counters()
        return counters["n_changes"] + counters["n_values"] + counters["n_rejected"]


def shows(view: NodeView, name: str, digest: str, generation: int) -> bool:
    """Tell whether a node answers with that version in force."""
    version = (view.status or {}).get(name)
    if not version:
        return False
    numbers, _, short_digest = version.partition("-")
    return digest.startswith(short_digest) and numbers.startswith(f"{generation}.")
