"""CPU time, memory and traffic of a node by role, at the design size."""

import asyncio
import sys
import tempfile
import time
from argparse import ArgumentParser
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import replace
from pathlib import Path
from statistics import median

from benchmarks.compile_snapshot import N_ZONES, build_base
from benchmarks.design_fleet import (
    MESH,
    DesignSize,
    MeasuredNode,
    build_edited_overlay,
)
from benchmarks.design_processes import DesignProcesses
from benchmarks.light_child import LightChild
from benchmarks.scale_figures import (
    Convergence,
    Measure,
    Phase,
    Sample,
    Slope,
    print_figure,
)
from benchmarks.tree_depth import Tree
from foxtailway.testing.audit_check import rank_version

__all__ = ["main"]

SECONDS_PER_DAY = 86_400
# Configuration changes at the design size.
CONFIG_CHANGES_PER_DAY = 16_000
# Changes of the host list at the design size: 6,500 restarts, with two changes each.
HOST_CHANGES_PER_DAY = 2 * 6_500
# Number of configuration changes among which one edits the base file.
CHANGES_PER_BASE_EDIT = 10
# IP header, TCP header and TCP timestamps of a segment.
HEADER_BYTES = 52
BYTES_PER_MB = 1_000_000
# Limit of the CPU time of a node, as a share of one core.
CPU_LIMIT_PERCENT = 3.1
# Limit of the resident memory of a node.
MEMORY_LIMIT_MB = 128
# Limit of the traffic of a node.
BYTES_LIMIT_PER_S = 3_000
# Wait after the start and after each phase, so that updates are complete.
SETTLE_S = 5.0
MS_PER_S = 1_000
# Factor of the rate of configuration changes in the phase that gives a slope.
RATE_FACTOR = 10
# Edits whose time to the leaf is measured.
N_TIMED_CHANGES = 21
# Interval between two requests for the status of the leaf.
LEAF_POLL_INTERVAL_S = 0.02
# Interval of host changes in the phase that gives a slope; longer than the time over
# which a reader collects host changes, so that each change is a separate update.
HOSTS_INTERVAL_S = 1.5


class ScaleBenchmark:
    """Benchmark of the nodes on one path from the platform to a leaf.

    Parameters
    ----------
    size : DesignSize
        Size of the fleet.
    folder : Path
        Folder for settings and logs.
    stack : AsyncExitStack
        Stack that stops the processes and closes the streams.
    """

    def __init__(
        self, *, size: DesignSize, folder: Path, stack: AsyncExitStack
    ) -> None:
        self.size = size
        self.stack = stack
        self.processes = DesignProcesses(size=size, folder=folder, stack=stack)
        self.fleet = self.processes.fleet
        self.measured = self.fleet.list_measured()
        parents = self.fleet.list_children(self.measured)
        self.children = [
            LightChild(
                host=self.fleet.hosts[child],
                parent=self.fleet.hosts[parent],
                mesh=MESH,
                heartbeat_s=self.fleet.sizes.heartbeat_s,
            )
            for child, parent in parents.items()
        ]
        self.restartable_ids = [
            host_id
            for host_id in self.fleet.hosts
            if host_id not in parents and host_id not in parents.values()
        ]
        self.n_config_changes = 0
        self.n_host_changes = 0
        self.n_edits = 0

    async def start(self) -> None:
        """Start the platform, the nodes from reader to leaf, and the children."""
        await self.processes.start_platform()
        for node in self.measured:
            self.processes.start_node(node)
            await self.processes.wait_until(
                lambda node=node: self.processes.is_ready(node), node.label
            )
        for child in self.children:
            self.stack.callback(child.close)
            await child.start()
        await self.processes.wait_until(self.is_settled, "preferred parents")
        await asyncio.sleep(SETTLE_S)

    async def is_settled(self) -> bool:
        """Return whether every node has its preferred parent."""
        for node in self.measured:
            status = await self.processes.read_status(node)
            candidates = self.fleet.compute_host_placement(node.host).candidates
            is_reader = status["role"] == "reader"
            if not is_reader and status["parent"] != candidates[0].host_id:
                return False
        return True

    async def sample(self, node: MeasuredNode) -> Sample:
        """Return the counters of a node.

        Segments and messages are averages over the streams of the node's light
        children. For a node without light children they are averages over all
        light children.
        """
        status = await self.processes.read_status(node)
        node_children = [child for child in self.children if child.parent == node.host]
        traffic = [child.read_traffic() for child in node_children or self.children]
        n_messages = sum(item.n_messages_down + item.n_messages_up for item in traffic)
        is_reader = status["role"] == "reader"
        n_readers = self.fleet.sizes.n_readers
        n_platform_bytes = await self.processes.count_platform_bytes()
        n_calls = await self.processes.count_platform_calls()
        usage = self.processes.read_usage(node)
        counters = status["counters"]
        n_bytes = counters["control_bytes_sent"] + counters["control_bytes_received"]
        return Sample(
            parent=status["parent"],
            n_children=status["n_children"],
            cpu_s=usage.cpu_s,
            resident_mb=usage.resident_bytes / BYTES_PER_MB,
            n_payload_bytes=n_bytes,
            n_segments=sum(item.n_segments for item in traffic) / len(traffic),
            n_messages=n_messages / len(traffic),
            n_losses=sum(item.n_losses for item in traffic),
            n_platform_bytes=n_platform_bytes / n_readers if is_reader else 0,
            n_platform_calls=n_calls / n_readers if is_reader else 0,
        )

    async def sample_all(self) -> list[Sample]:
        """Return the counters of every node."""
        return [await self.sample(node) for node in self.measured]

    async def run_phase(self, phase: Phase) -> list[Measure]:
        """Make the changes of a phase and print the figures of every node."""
        self.n_config_changes = self.n_host_changes = 0
        started_s = time.monotonic()
        before = await self.sample_all()
        await asyncio.gather(
            asyncio.sleep(phase.duration_s),
            self.repeat(phase.config_interval_s, phase.duration_s, self.edit_config),
            self.repeat(phase.hosts_interval_s, phase.duration_s, self.restart_host),
        )
        after = await self.sample_all()
        duration_s = time.monotonic() - started_s
        measures = [
            self.compute_measure(phase, node, *samples, duration_s=duration_s)
            for node, *samples in zip(self.measured, before, after, strict=True)
        ]
        for measure in measures:
            print_figure(measure)
        await asyncio.sleep(SETTLE_S)
        return measures

    async def repeat(
        self,
        interval_s: float | None,
        duration_s: float,
        make_change: Callable[[], Awaitable[None]],
    ) -> None:
        """Make changes at regular times.

        Parameters
        ----------
        interval_s : float or None
            Time between two changes, in seconds; None for no changes.
        duration_s : float
            Time during which changes are made, in seconds.
        make_change : callable
            Makes one change.
        """
        if interval_s is None:
            return
        started_s = time.monotonic()
        for number in range(int(duration_s / interval_s)):
            due_s = started_s + number * interval_s
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            await make_change()

    async def edit_config(self) -> None:
        """Edit one key of an overlay, and every tenth time one of the base file."""
        self.n_edits += 1
        self.n_config_changes += 1
        number, zone = self.n_edits, self.n_edits % N_ZONES
        if number % CHANGES_PER_BASE_EDIT:
            key = f"overlay/zone-{zone}"
            await self.processes.publish(key, build_edited_overlay(zone, number))
            return
        content = build_base(1000 + number, n_services=self.size.n_services)
        await self.processes.publish("base", content)

    async def restart_host(self) -> None:
        """Mark a host as leaving, or at every second call as live again."""
        number, is_restarted = divmod(self.n_host_changes, 2)
        self.n_host_changes += 1
        host = self.fleet.hosts[
            self.restartable_ids[number % len(self.restartable_ids)]
        ]
        leaving = frozenset() if is_restarted else frozenset((host.host_id,))
        content = self.fleet.render_hosts(host.zone, leaving=leaving)
        await self.processes.publish(f"hosts/{host.zone}", content)

    async def measure_convergence(self) -> None:
        """Print the time from an edit until the leaf applied it; the leaf is polled."""
        leaf = self.measured[-1]
        status = await self.processes.read_status(leaf)
        times_s = []
        for _ in range(N_TIMED_CHANGES):
            await asyncio.sleep(1.0)
            started_s = time.monotonic()
            await self.edit_config()
            revision = await self.processes.find_revision()
            while rank_version(status["config_version"])[1] < revision:
                await asyncio.sleep(LEAF_POLL_INTERVAL_S)
                status = await self.processes.read_status(leaf)
            times_s.append(time.monotonic() - started_s)
        print_figure(
            Convergence(
                measure="convergence_at_scale",
                n_hosts=self.size.n_hosts,
                n_services=self.size.n_services,
                n_levels=Tree(self.fleet).find_level(leaf.host),
                n_changes=len(times_s),
                median_s=round(median(times_s), 3),
                max_s=round(max(times_s), 3),
            )
        )

    def compute_measure(
        self,
        phase: Phase,
        node: MeasuredNode,
        before: Sample,
        after: Sample,
        *,
        duration_s: float,
    ) -> Measure:
        """Return the figures of a node between two samples.

        Parameters
        ----------
        phase : Phase
            Phase that was measured.
        node : MeasuredNode
            Node of the samples.
        before, after : Sample
            Samples at the start and at the end of the phase.
        duration_s : float
            Time between the samples, in seconds.
        """
        has_parent = after.parent in self.fleet.hosts
        n_streams = after.n_children + has_parent
        n_payload_bytes = after.n_payload_bytes - before.n_payload_bytes
        n_segments = (after.n_segments - before.n_segments) * n_streams
        n_platform_bytes = after.n_platform_bytes - before.n_platform_bytes
        n_wire_bytes = n_payload_bytes + n_segments * HEADER_BYTES + n_platform_bytes
        n_calls = after.n_platform_calls - before.n_platform_calls
        cpu_s = after.cpu_s - before.cpu_s
        n_messages = after.n_messages - before.n_messages
        return Measure(
            measure="node_at_scale",
            phase=phase.name,
            role=node.label,
            parent=after.parent,
            n_hosts=self.size.n_hosts,
            n_services=self.size.n_services,
            n_children=after.n_children,
            duration_s=round(duration_s, 1),
            n_config_changes=self.n_config_changes,
            n_host_changes=self.n_host_changes,
            cpu_percent=round(cpu_s / duration_s * 100, 2),
            cpu_limit_percent=CPU_LIMIT_PERCENT,
            resident_mb=round(after.resident_mb, 1),
            resident_limit_mb=MEMORY_LIMIT_MB,
            payload_bytes_per_s=round(n_payload_bytes / duration_s),
            wire_bytes_per_s=round(n_wire_bytes / duration_s),
            platform_bytes_per_s=round(n_platform_bytes / duration_s),
            bytes_limit_per_s=BYTES_LIMIT_PER_S,
            messages_per_s_and_child=round(n_messages / duration_s, 3),
            n_lost_children=after.n_losses - before.n_losses,
            platform_calls_per_s=round(n_calls / duration_s, 3),
        )

    def report_slopes(
        self, kind: str, idle: list[Measure], loaded: list[Measure]
    ) -> None:
        """Print the cost of a change, from a loaded phase and the idle phase.

        Parameters
        ----------
        kind : str
            Kind of the changes in the loaded phase.
        idle, loaded : list of Measure
            Figures of the nodes in the two phases, in the same order.
        """
        for idle_measure, measure in zip(idle, loaded, strict=True):
            n_changes = measure.n_config_changes + measure.n_host_changes
            interval_s = measure.duration_s / n_changes

            def compute_rise(
                name: str,
                idle_measure=idle_measure,
                measure=measure,
                interval_s=interval_s,
            ):
                return (
                    getattr(measure, name) - getattr(idle_measure, name)
                ) * interval_s

            slope = Slope(
                measure="node_at_scale_slope",
                role=measure.role,
                kind=kind,
                n_hosts=self.size.n_hosts,
                n_services=self.size.n_services,
                cpu_ms_per_change=round(
                    compute_rise("cpu_percent") * MS_PER_S / 100, 1
                ),
                payload_bytes_per_change=round(compute_rise("payload_bytes_per_s")),
                wire_bytes_per_change=round(compute_rise("wire_bytes_per_s")),
                platform_bytes_per_change=round(compute_rise("platform_bytes_per_s")),
            )
            print_figure(slope)


async def run(*, size: DesignSize, phase_s: float, design_s: float) -> None:
    """Run the idle phase, a phase for each kind of change and the design phase.

    Parameters
    ----------
    size : DesignSize
        Size of the fleet.
    phase_s : float
        Duration of the idle phase and of each phase that gives a slope, in seconds.
    design_s : float
        Duration of the phase at the rates of the design size, in seconds; 0 skips it.

    Notes
    -----
    The phase that gives the slope of configuration changes has ten times their rate
    at the design size.
    """
    config_s = SECONDS_PER_DAY / CONFIG_CHANGES_PER_DAY
    hosts_s = SECONDS_PER_DAY / HOST_CHANGES_PER_DAY
    idle = Phase(
        name="idle", duration_s=phase_s, config_interval_s=None, hosts_interval_s=None
    )
    config = replace(idle, name="config", config_interval_s=config_s / RATE_FACTOR)
    hosts = replace(idle, name="hosts", hosts_interval_s=HOSTS_INTERVAL_S)
    design = replace(
        idle,
        name="design rate",
        duration_s=design_s,
        config_interval_s=config_s,
        hosts_interval_s=hosts_s,
    )
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        benchmark = ScaleBenchmark(size=size, folder=folder, stack=stack)
        await benchmark.start()
        idle_measures = await benchmark.run_phase(idle)
        for kind, phase in (("config", config), ("hosts", hosts)):
            measures = await benchmark.run_phase(phase)
            benchmark.report_slopes(kind, idle_measures, measures)
        await benchmark.measure_convergence()
        if design_s:
            await benchmark.run_phase(design)


def main(arguments: list[str] | None = None) -> None:
    """Print one JSON line for each node and phase."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--n-hosts", type=int, default=28_000)
    parser.add_argument("--n-services", type=int, default=910)
    parser.add_argument("--first-port", type=int, default=17_600)
    parser.add_argument("--phase-s", type=float, default=60.0)
    parser.add_argument("--design-s", type=float, default=120.0)
    options = parser.parse_args(arguments or [])
    size = DesignSize(
        n_hosts=options.n_hosts,
        n_services=options.n_services,
        first_port=options.first_port,
    )
    asyncio.run(run(size=size, phase_s=options.phase_s, design_s=options.design_s))


if __name__ == "__main__":
    main(sys.argv[1:])
