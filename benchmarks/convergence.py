"""Measure convergence, link bytes and platform calls of a fleet.

A fleet in two regions with a link of 10 ms and 30 Mbit/s between them takes
edits of its base file and of an overlay while other traffic uses two thirds of
the link. The same edits are then made for naive pollers, one for each host.
Nodes run with default settings, one or more to a process, without upstreams.
"""

import asyncio
import json
import time
from collections.abc import Iterable
from contextlib import AsyncExitStack
from dataclasses import asdict, dataclass
from pathlib import Path
from tempfile import TemporaryDirectory

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

from foxtailway.testing.audit_check import rank_version
from foxtailway.testing.deployment import (
    LINK_NAIVE_PORT,
    LINK_PORT,
    ZonePlan,
    plan_deployment,
)
from foxtailway.testing.fleet import Fleet
from foxtailway.testing.sample import SampleConfiguration
from foxtailway.testing.subnet import claim_subnet

__all__ = ["main"]

STORE_REGION = "north"
ZONES = (
    ZonePlan(zone="north-a", region=STORE_REGION),
    ZonePlan(zone="north-b", region=STORE_REGION),
    ZonePlan(zone="south-a", region="south"),
    ZonePlan(zone="south-b", region="south"),
)
N_ROUTES = 240
N_EDITS = 100
N_NAIVE_EDITS = 10
N_MAX_HOPS = 40
EDIT_INTERVAL_S = 0.3
NAIVE_INTERVAL_S = 3.0
SETTLE_S = 6.0
IDLE_S = 30.0
SAMPLE_S = 0.1
START_TIMEOUT_S = 60.0
S_PER_MIN = 60
MS_PER_S = 1_000
SINK_PORT = 6_200
OTHER_BYTES_PER_S = 2_500_000
OTHER_CHUNK = bytes(16_384)
CONTROL_LABELS = ("control", "platform")


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetSize:
    """Choose the number of nodes and how many share a process."""

    n_nodes: int
    n_per_process: int


SIZES = (
    FleetSize(n_nodes=8, n_per_process=1),
    FleetSize(n_nodes=32, n_per_process=2),
    FleetSize(n_nodes=64, n_per_process=4),
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Edit:
    """Record when an edit was made and the revision it got."""

    revision: int
    made_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Usage:
    """Count link bytes and platform calls at a moment."""

    time_s: float
    link: dict[str, int]
    n_calls: int

    def count_link_bytes(self, labels: Iterable[str]) -> int:
        """Return the billed bytes of some labels."""
        return sum(self.link[label] for label in labels)


class EchoServer(TCPServer):
    """Send back what other traffic sends, to load both directions."""

    async def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Echo until the stream ends."""
        try:
            while True:
                chunk = await stream.read_bytes(len(OTHER_CHUNK), partial=True)
                await stream.write(chunk)
        except StreamClosedError:
            return


class OtherTraffic:
    """Load the link with a steady stream of bytes.

    Parameters
    ----------
    address : str
        Address of the link's process.
    """

    def __init__(self, *, address: str) -> None:
        self.address = address

    async def run(self) -> None:
        """Send until cancelled."""
        server = EchoServer()
        server.listen(SINK_PORT, self.address)
        stream = await TCPClient().connect(self.address, LINK_PORT)
        reader = asyncio.ensure_future(self.drain(stream))
        interval_s = len(OTHER_CHUNK) / OTHER_BYTES_PER_S
        try:
            await stream.write(f"calls {self.address} {SINK_PORT}\n".encode())
            due_s = time.monotonic()
            while True:
                await stream.write(OTHER_CHUNK)
                due_s += interval_s
                await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        finally:
            reader.cancel()
            stream.close()
            server.stop()

    async def drain(self, stream: IOStream) -> None:
        """Read and drop what comes back."""
        while True:
            await stream.read_bytes(len(OTHER_CHUNK), partial=True)


class ConvergenceBenchmark:
    """Run one fleet and measure it.

    Parameters
    ----------
    size : FleetSize
        Size of the fleet.
    fleet : Fleet
        Processes of the fleet.
    """

    def __init__(self, *, size: FleetSize, fleet: Fleet) -> None:
        self.size = size
        self.fleet = fleet
        self.hosts = fleet.deployment.hosts
        self.sample = SampleConfiguration(
            deployment=fleet.deployment, n_routes=N_ROUTES // self.count_services()
        )

    def count_services(self) -> int:
        return self.size.n_nodes // len(ZONES)

    def list_groups(self) -> dict[str, tuple]:
        """Return the hosts that share a process, by its name."""
        step = self.size.n_per_process
        groups = [self.hosts[at : at + step] for at in range(0, len(self.hosts), step)]
        return {f"nodes-{group[0].host_id}": group for group in groups}

    async def start(self) -> None:
        self.fleet.start_platform()
        await self.fleet.wait_platform()
        for key, content in self.sample.list_values().items():
            await self.fleet.publish(key, content)
        self.start_nodes()
        await self.fleet.wait_ready(timeout_s=START_TIMEOUT_S)

    def start_nodes(self) -> None:
        for name, hosts in self.list_groups().items():
            self.fleet.start_nodes(name, hosts)

    async def measure_usage(self) -> Usage:
        calls = await self.fleet.read_platform_counters()
        return Usage(
            time_s=time.monotonic(),
            link=await self.fleet.read_link_counters(),
            n_calls=sum(calls[key] for key in ("n_changes", "n_values", "n_rejected")),
        )

    async def make_edits(self, n_edits: int, interval_s: float) -> list[Edit]:
        """Edit overlay and base file in turn."""
        edits = []
        for index in range(n_edits):
            key = f"overlay/{ZONES[-1].zone}"
            content = self.sample.render_overlay(timeout=f"{1000 + index}ms")
            if index % 2:
                key = "base"
                content = self.sample.render_base(max_hops=17 + index % N_MAX_HOPS)
            made_s = time.time()
            revision = await self.fleet.publish(key, content)
            edits.append(Edit(revision=revision, made_s=made_s))
            await asyncio.sleep(max(0.0, made_s + interval_s - time.time()))
        return edits

    async def read_applied(self) -> dict[str, list[Edit]]:
        """Return revisions and times at which each node applied them."""
        applied = {}
        for host in self.hosts:
            trail = await self.fleet.read_audit(host)
            applied[host.host_id] = [
                Edit(revision=rank_version(entry["version"])[1], made_s=entry["time_s"])
                for entry in trail
                if entry["action"] == "applied" and entry["kind"] == "config"
            ]
        return applied

    def read_copies(self, names: Iterable[str]) -> dict[str, list[Edit]]:
        """Return revisions and times at which each naive poller had a copy."""
        copies: dict[str, list[Edit]] = {}
        for name in names:
            for line in self.fleet.processes.read_log(name).splitlines():
                entry = json.loads(line)
                copy = Edit(revision=entry["revision"], made_s=entry["time_s"])
                copies.setdefault(f"{name}-{entry['poller']}", []).append(copy)
        return copies

    def start_naive(self) -> tuple[str, ...]:
        """Start one naive poller for each host."""
        deployment = self.fleet.deployment
        n_remote = self.size.n_nodes // 2
        remote_url = f"http://{deployment.platform_address}:{LINK_NAIVE_PORT}"
        urls = {"naive-near": deployment.platform_url, "naive-remote": remote_url}
        for name, url in urls.items():
            self.fleet.processes.start(
                name,
                "foxtailway.testing.naive_poller",
                ["--url", url, "--n-pollers", str(n_remote)],
            )
        return tuple(urls)

    def report(self, measure: str, **values: object) -> None:
        """Print one measure."""
        line = {"measure": measure, **asdict(self.size), **values}
        print(json.dumps(line), flush=True)

    async def measure_idle(self) -> float:
        """Measure an idle fleet and return its link bytes per second."""
        before = await self.measure_usage()
        await asyncio.sleep(IDLE_S)
        after = await self.measure_usage()
        elapsed_s = after.time_s - before.time_s
        n_bytes = count_growth(before, after, CONTROL_LABELS)
        n_calls = after.n_calls - before.n_calls
        self.report(
            "idle",
            window_s=round(elapsed_s, 1),
            link_bytes_per_min=round(n_bytes / elapsed_s * S_PER_MIN),
            platform_calls_per_s=round(n_calls / elapsed_s, 2),
        )
        return n_bytes / elapsed_s

    async def measure_edits(self, idle_bytes_per_s: float) -> None:
        """Measure edits while other traffic uses the link."""
        address = self.fleet.deployment.platform_address
        other = asyncio.ensure_future(OtherTraffic(address=address).run())
        await asyncio.sleep(SETTLE_S)
        before = await self.measure_usage()
        edits = await self.make_edits(N_EDITS, EDIT_INTERVAL_S)
        after = await self.measure_usage()
        await asyncio.sleep(SETTLE_S)
        elapsed_s = after.time_s - before.time_s
        n_bytes = count_growth(before, after, CONTROL_LABELS)
        n_extra = n_bytes - idle_bytes_per_s * elapsed_s
        self.report(
            "convergence",
            **summarize(edits, await self.read_applied(), self.size.n_nodes),
            link_bytes_per_change=round(n_bytes / N_EDITS),
            link_bytes_per_change_above_idle=round(n_extra / N_EDITS),
            platform_calls_per_change=round(
                (after.n_calls - before.n_calls) / N_EDITS, 1
            ),
            other_mbit_per_s=round(
                count_growth(before, after, ("calls",)) * 8e-6 / elapsed_s / 2, 1
            ),
        )
        names = self.start_naive()
        await asyncio.sleep(SETTLE_S)
        before = await self.measure_usage()
        edits = await self.make_edits(N_NAIVE_EDITS, NAIVE_INTERVAL_S)
        after = await self.measure_usage()
        await asyncio.sleep(SETTLE_S)
        n_naive_bytes = count_growth(before, after, ("naive",))
        self.report(
            "convergence_naive",
            **summarize(edits, self.read_copies(names), self.size.n_nodes),
            link_bytes_per_change=round(n_naive_bytes / N_NAIVE_EDITS),
            platform_calls_per_change=round(
                (after.n_calls - before.n_calls) / N_NAIVE_EDITS, 1
            ),
        )
        for name in names:
            self.fleet.processes.kill(name)
        await end_task(other)

    async def measure_storm(self) -> None:
        """Kill every node, start all at once and count platform calls."""
        for name in self.list_groups():
            self.fleet.processes.kill(name)
        before = await self.measure_usage()
        counting = asyncio.ensure_future(self.find_busiest_second())
        self.start_nodes()
        await self.fleet.wait_ready(timeout_s=START_TIMEOUT_S)
        ready = await self.measure_usage()
        await asyncio.sleep(SETTLE_S)
        after = await self.measure_usage()
        await end_task(counting)
        n_values = len(self.sample.list_values())
        self.report(
            "storm",
            ready_s=round(ready.time_s - before.time_s, 2),
            platform_calls=ready.n_calls - before.n_calls,
            platform_calls_settled=after.n_calls - before.n_calls,
            platform_calls_busiest_s=self.n_busiest_s,
            platform_calls_naive=self.size.n_nodes * (n_values + 2),
            link_bytes=count_growth(before, after, CONTROL_LABELS),
        )

    async def find_busiest_second(self) -> None:
        """Note the largest number of platform calls within a second."""
        self.n_busiest_s = 0
        samples: list[Usage] = []
        while True:
            samples.append(await self.measure_usage())
            recent = [
                item for item in samples if item.time_s >= samples[-1].time_s - 1.0
            ]
            n_calls = recent[-1].n_calls - recent[0].n_calls
            self.n_busiest_s = max(self.n_busiest_s, n_calls)
            await asyncio.sleep(SAMPLE_S)

    async def run(self) -> None:
        """Measure everything."""
        await self.start()
        await asyncio.sleep(SETTLE_S)
        idle_bytes_per_s = await self.measure_idle()
        await self.measure_edits(idle_bytes_per_s)
        await self.measure_storm()


async def end_task(task: asyncio.Task) -> None:
    """Cancel a task and wait until it has ended."""
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


def count_growth(before: Usage, after: Usage, labels: Iterable[str]) -> int:
    """Return the bytes billed between two moments."""
    return after.count_link_bytes(labels) - before.count_link_bytes(labels)


def summarize(
    edits: list[Edit], applied: dict[str, list[Edit]], n_nodes: int
) -> dict[str, object]:
    """Return median, 99th percentile and maximum of the time to convergence."""
    times_s = []
    for edit in edits:
        firsts = [find_first(edit, copies) for copies in applied.values()]
        if len(firsts) == n_nodes and None not in firsts:
            times_s.append(max(firsts))
    times_s.sort()
    return {
        "n_edits": len(edits),
        "n_converged": len(times_s),
        "median_ms": pick(times_s, 0.5),
        "p99_ms": pick(times_s, 0.99),
        "max_ms": pick(times_s, 1.0),
    }


def find_first(edit: Edit, copies: list[Edit]) -> float | None:
    """Return the time until a node held the edit, or None if it never did."""
    times_s = [copy.made_s for copy in copies if copy.revision >= edit.revision]
    return min(times_s) - edit.made_s if times_s else None


def pick(times_s: list[float], share: float) -> float | None:
    """Return a percentile of sorted times, in milliseconds."""
    if not times_s:
        return None
    index = min(len(times_s) - 1, int(share * len(times_s)))
    return round(times_s[index] * MS_PER_S, 1)


async def measure(size: FleetSize) -> None:
    """Measure one size of fleet."""
    async with AsyncExitStack() as stack:
        folder = stack.enter_context(TemporaryDirectory())
        deployment = plan_deployment(
            mesh="bench",
            store_region=STORE_REGION,
            subnet=stack.enter_context(claim_subnet()),
            zones=ZONES,
            services=[f"svc-{index}" for index in range(size.n_nodes // len(ZONES))],
        )
        fleet = Fleet(deployment=deployment, folder=Path(folder))
        stack.callback(fleet.close)
        await ConvergenceBenchmark(size=size, fleet=fleet).run()


def main() -> None:
    """Measure all sizes and print one JSON object for each measure."""
    for size in SIZES:
        asyncio.run(measure(size))


if __name__ == "__main__":
    main()
