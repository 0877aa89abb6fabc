"""Convergence time, link bytes and platform calls of a fleet.

The base file and an overlay of a fleet are edited while other traffic uses two
thirds of the link between its two regions. The link has a one-way delay of 10 ms
and a bandwidth of 30 Mbit/s. The same edits are then made for naive pollers, one
for each host. Nodes run with default settings and without upstreams, one or more
in a process.
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

# Region of the platform.
STORE_REGION = "north"
# Availability zones, two in each region.
ZONES = (
    ZonePlan(zone="north-a", region=STORE_REGION),
    ZonePlan(zone="north-b", region=STORE_REGION),
    ZonePlan(zone="south-a", region="south"),
    ZonePlan(zone="south-b", region="south"),
)
# Routes of all services together.
N_ROUTES = 240
# Edits while the fleet is measured.
N_EDITS = 100
# Edits while the naive pollers are measured.
N_NAIVE_EDITS = 10
# Number of different hop limits that edits of the base file use.
N_MAX_HOPS = 40
# Time between two edits for the fleet.
EDIT_INTERVAL_S = 0.3
# Time between two edits for the naive pollers.
NAIVE_EDIT_INTERVAL_S = 3.0
# Wait before and after a measurement, so that earlier updates are complete.
SETTLE_S = 6.0
# Duration of the measurement without edits.
IDLE_S = 30.0
# Interval between two samples of the platform calls.
SAMPLE_INTERVAL_S = 0.1
# Time until all nodes must be ready.
START_TIMEOUT_S = 60.0
S_PER_MIN = 60
MS_PER_S = 1_000
# Port of the server that sends back the other traffic.
ECHO_PORT = 6_200
# Rate of the other traffic in each direction, two thirds of the link.
OTHER_BYTES_PER_S = 2_500_000
# Bytes of the other traffic that are sent at once.
OTHER_CHUNK = bytes(16_384)
# Labels of the link's counters for configuration traffic.
CONTROL_LABELS = ("control", "platform")


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetSize:
    """Number of nodes, and number of nodes in a process."""

    n_nodes: int
    n_per_process: int


# Sizes of the measured fleets.
SIZES = (
    FleetSize(n_nodes=8, n_per_process=1),
    FleetSize(n_nodes=32, n_per_process=2),
    FleetSize(n_nodes=64, n_per_process=4),
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Edit:
    """Revision of an edit, and the time at which it was made or applied.

    Parameters
    ----------
    revision : int
        Revision of the platform.
    made_s : float
        Unix time in seconds.
    """

    revision: int
    made_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Usage:
    """Counters of the link and of the platform at one time.

    Parameters
    ----------
    time_s : float
        Monotonic time in seconds.
    link : dict of str to int
        Billed bytes by label.
    n_calls : int
        Calls of the platform's read API since its start.
    """

    time_s: float
    link: dict[str, int]
    n_calls: int

    def count_link_bytes(self, labels: Iterable[str]) -> int:
        """Return the sum of the billed bytes of some labels."""
        return sum(self.link[label] for label in labels)


class EchoServer(TCPServer):
    """Server that sends back the other traffic, to load both directions."""

    async def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Send back received bytes until the stream closes."""
        try:
            while True:
                chunk = await stream.read_bytes(len(OTHER_CHUNK), partial=True)
                await stream.write(chunk)
        except StreamClosedError:
            return


class OtherTraffic:
    """Generator of a constant stream of bytes over the link.

    Parameters
    ----------
    address : str
        IP address of the link process.
    """

    def __init__(self, *, address: str) -> None:
        self.address = address

    async def run(self) -> None:
        """Send until cancelled."""
        server = EchoServer()
        server.listen(ECHO_PORT, self.address)
        stream = await TCPClient().connect(self.address, LINK_PORT)
        reader = asyncio.ensure_future(self.drain(stream))
        interval_s = len(OTHER_CHUNK) / OTHER_BYTES_PER_S
        try:
            await stream.write(f"calls {self.address} {ECHO_PORT}\n".encode())
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
        """Read and discard the bytes that the server sends back."""
        while True:
            await stream.read_bytes(len(OTHER_CHUNK), partial=True)


class ConvergenceBenchmark:
    """Benchmark of one fleet.

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
        """Return the number of services; each zone runs one upstream of each."""
        return self.size.n_nodes // len(ZONES)

    def list_groups(self) -> dict[str, tuple]:
        """Return the hosts whose nodes share a process, by the name of the process."""
        step = self.size.n_per_process
        groups = [
            self.hosts[start : start + step]
            for start in range(0, len(self.hosts), step)
        ]
        return {f"nodes-{group[0].host_id}": group for group in groups}

    async def start(self) -> None:
        """Start the processes, publish all values and wait until nodes are ready."""
        self.fleet.start_platform()
        await self.fleet.wait_platform()
        for key, content in self.sample.list_values().items():
            await self.fleet.publish(key, content)
        self.start_nodes()
        await self.fleet.wait_ready(timeout_s=START_TIMEOUT_S)

    def start_nodes(self) -> None:
        """Start the processes of all nodes."""
        for name, hosts in self.list_groups().items():
            self.fleet.start_nodes(name, hosts)

    async def measure_usage(self) -> Usage:
        """Return the current counters of the link and of the platform."""
        calls = await self.fleet.read_platform_counters()
        return Usage(
            time_s=time.monotonic(),
            link=await self.fleet.read_link_counters(),
            n_calls=sum(calls[key] for key in ("n_changes", "n_values", "n_rejected")),
        )

    async def make_edits(self, n_edits: int, interval_s: float) -> list[Edit]:
        """Edit the overlay and the base file alternately and return the edits.

        Parameters
        ----------
        n_edits : int
            Number of edits.
        interval_s : float
            Time between two edits, in seconds.
        """
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
        """Return the revisions that each node applied, by host identifier."""
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
        """Return the revisions that each naive poller copied, by poller."""
        copies: dict[str, list[Edit]] = {}
        for name in names:
            for line in self.fleet.processes.read_log(name).splitlines():
                entry = json.loads(line)
                copy = Edit(revision=entry["revision"], made_s=entry["time_s"])
                copies.setdefault(f"{name}-{entry['poller']}", []).append(copy)
        return copies

    def start_naive_pollers(self) -> tuple[str, ...]:
        """Start one naive poller for each host and return the process names."""
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
        """Print one measurement as a JSON line."""
        line = {"measure": measure, **asdict(self.size), **values}
        print(json.dumps(line), flush=True)

    async def measure_idle(self) -> float:
        """Measure a fleet without edits and return its link bytes per second."""
        before = await self.measure_usage()
        await asyncio.sleep(IDLE_S)
        after = await self.measure_usage()
        elapsed_s = after.time_s - before.time_s
        n_bytes = count_new_bytes(before, after, CONTROL_LABELS)
        n_calls = after.n_calls - before.n_calls
        self.report(
            "idle",
            window_s=round(elapsed_s, 1),
            link_bytes_per_min=round(n_bytes / elapsed_s * S_PER_MIN),
            platform_calls_per_s=round(n_calls / elapsed_s, 2),
        )
        return n_bytes / elapsed_s

    async def measure_edits(self, idle_bytes_per_s: float) -> None:
        """Measure edits while other traffic uses the link.

        Parameters
        ----------
        idle_bytes_per_s : float
            Link bytes per second without edits.
        """
        address = self.fleet.deployment.platform_address
        other_task = asyncio.ensure_future(OtherTraffic(address=address).run())
        await asyncio.sleep(SETTLE_S)
        before = await self.measure_usage()
        edits = await self.make_edits(N_EDITS, EDIT_INTERVAL_S)
        after = await self.measure_usage()
        await asyncio.sleep(SETTLE_S)
        elapsed_s = after.time_s - before.time_s
        n_bytes = count_new_bytes(before, after, CONTROL_LABELS)
        n_bytes_above_idle = n_bytes - idle_bytes_per_s * elapsed_s
        self.report(
            "convergence",
            **summarize(edits, await self.read_applied(), self.size.n_nodes),
            link_bytes_per_change=round(n_bytes / N_EDITS),
            link_bytes_per_change_above_idle=round(n_bytes_above_idle / N_EDITS),
            platform_calls_per_change=round(
                (after.n_calls - before.n_calls) / N_EDITS, 1
            ),
            other_mbit_per_s=round(
                count_new_bytes(before, after, ("calls",)) * 8e-6 / elapsed_s / 2, 1
            ),
        )
        names = self.start_naive_pollers()
        await asyncio.sleep(SETTLE_S)
        before = await self.measure_usage()
        edits = await self.make_edits(N_NAIVE_EDITS, NAIVE_EDIT_INTERVAL_S)
        after = await self.measure_usage()
        await asyncio.sleep(SETTLE_S)
        n_naive_bytes = count_new_bytes(before, after, ("naive",))
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
        await cancel_task(other_task)

    async def measure_restart(self) -> None:
        """Kill all nodes, start them at the same time and count platform calls."""
        for name in self.list_groups():
            self.fleet.processes.kill(name)
        before = await self.measure_usage()
        counting_task = asyncio.ensure_future(self.record_busiest_second())
        self.start_nodes()
        await self.fleet.wait_ready(timeout_s=START_TIMEOUT_S)
        ready = await self.measure_usage()
        await asyncio.sleep(SETTLE_S)
        after = await self.measure_usage()
        await cancel_task(counting_task)
        n_values = len(self.sample.list_values())
        self.report(
            "storm",
            ready_s=round(ready.time_s - before.time_s, 2),
            platform_calls=ready.n_calls - before.n_calls,
            platform_calls_settled=after.n_calls - before.n_calls,
            platform_calls_busiest_s=self.n_busiest_s,
            platform_calls_naive=self.size.n_nodes * (n_values + 2),
            link_bytes=count_new_bytes(before, after, CONTROL_LABELS),
        )

    async def record_busiest_second(self) -> None:
        """Record the most platform calls within a second, until cancelled."""
        self.n_busiest_s = 0
        samples: list[Usage] = []
        while True:
            samples.append(await self.measure_usage())
            recent = [
                item for item in samples if item.time_s >= samples[-1].time_s - 1.0
            ]
            n_calls = recent[-1].n_calls - recent[0].n_calls
            self.n_busiest_s = max(self.n_busiest_s, n_calls)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def run(self) -> None:
        """Start the fleet and run all measurements."""
        await self.start()
        await asyncio.sleep(SETTLE_S)
        idle_bytes_per_s = await self.measure_idle()
        await self.measure_edits(idle_bytes_per_s)
        await self.measure_restart()


async def cancel_task(task: asyncio.Task) -> None:
    """Cancel a task and wait until it ends."""
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


def count_new_bytes(before: Usage, after: Usage, labels: Iterable[str]) -> int:
    """Return the bytes billed for some labels between two measurements."""
    return after.count_link_bytes(labels) - before.count_link_bytes(labels)


def summarize(
    edits: list[Edit], applied: dict[str, list[Edit]], n_nodes: int
) -> dict[str, object]:
    """Return counts of edits and median, 99th percentile and maximum convergence time.

    Parameters
    ----------
    edits : list of Edit
        Edits in the order in which they were made.
    applied : dict of str to list of Edit
        Revisions applied by each node.
    n_nodes : int
        Number of nodes; an edit converges once all of them applied it.
    """
    times_s = []
    for edit in edits:
        delays_s = [compute_delay(edit, copies) for copies in applied.values()]
        if len(delays_s) == n_nodes and None not in delays_s:
            times_s.append(max(delays_s))
    times_s.sort()
    return {
        "n_edits": len(edits),
        "n_converged": len(times_s),
        "median_ms": find_percentile_ms(times_s, 0.5),
        "p99_ms": find_percentile_ms(times_s, 0.99),
        "max_ms": find_percentile_ms(times_s, 1.0),
    }


def compute_delay(edit: Edit, copies: list[Edit]) -> float | None:
    """Return the seconds until a node applied an edit; None if it did not."""
    times_s = [copy.made_s for copy in copies if copy.revision >= edit.revision]
    return min(times_s) - edit.made_s if times_s else None


def find_percentile_ms(times_s: list[float], share: float) -> float | None:
    """Return the value below which a share of sorted times lies, in milliseconds.

    Returns None if there are no times.
    """
    if not times_s:
        return None
    index = min(len(times_s) - 1, int(share * len(times_s)))
    return round(times_s[index] * MS_PER_S, 1)


async def measure(size: FleetSize) -> None:
    """Run the benchmark for one size of fleet."""
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
    """Measure all sizes and print one JSON object for each measurement."""
    for size in SIZES:
        asyncio.run(measure(size))


if __name__ == "__main__":
    main()
