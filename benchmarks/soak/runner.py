"""Run of a soak: starts the processes, injects faults and collects what was seen."""

import asyncio
import json
import os
import signal
import time
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from random import Random

from benchmarks.soak.checks import (
    Disturbance,
    Evacuation,
    SoakRecord,
    UpstreamEvent,
    Violation,
    check_all,
)
from benchmarks.soak.clients import LISTENING_S, Attempt, SoakClient
from benchmarks.soak.deployment import (
    CONFIG_KEY,
    DRAIN_S,
    GRACE_S,
    PORTS,
    ZONES,
    SoakHost,
    make_configuration,
    make_hosts,
    make_settings,
)
from benchmarks.soak.faults import FAULTS, Fault
from benchmarks.soak.http import ProtocolError, call, encode, read_message
from benchmarks.soak.pipelining import PipeliningClient
from benchmarks.soak.proxy import LoopbackProxy
from benchmarks.soak.stalls import StallMonitor
from foxtailway.testing.process import ProcessGroup
from foxtailway.testing.subnet import claim_subnet

__all__ = ["Soak", "SoakOptions", "SoakResult", "run_soak"]

NODE_MODULE = "foxtailway.platform"
STORE_NAME = "store"
# Clients of each node, and the one of them that sends pipelines.
N_CLIENTS = 4
PIPELINING_CLIENT = 3
# Zones that are evacuated at a time at most, so that one is left.
MAX_EVACUATED_ZONES = len(ZONES) - 1
# Pause before a command is sent to the store again, in seconds.
RETRY_PAUSE_S = 0.1
# Time in which the connections of the proxies end after the processes, in seconds.
CLOSE_PAUSE_S = 0.1
# Pause between the starts of two faults, in seconds; several may last at a time.
MAX_FAULT_PAUSE_S = 2.0
# Time before the first fault and longest time until all nodes are ready, in seconds.
WARM_UP_S = 3.0
START_TIMEOUT_S = 60.0
# Interval at which versions and processes are checked, in seconds.
WATCH_INTERVAL_S = 0.25
# Time without faults at the end, in seconds; longer than the bound of the recovery.
QUIET_S = 20.0
VERSION_METRIC = "foxtailway_sidecar_configuration_version "


@dataclass(frozen=True, slots=True, kw_only=True)
class SoakOptions:
    """Options of one soak.

    Parameters
    ----------
    seed : int
        Seed of faults and load.
    duration_s : float
        Time with faults, in seconds.
    n_hosts : int
        Number of hosts.
    folder : Path
        Folder for logs and settings.
    node_module : str, default=NODE_MODULE
        Module that is run as node.
    node_arguments : tuple of str, default=()
        Further arguments of the nodes.
    faults : tuple of str, default=()
        Names of the faults that are played; empty for all.
    quiet_s : float, default=QUIET_S
        Time without faults at the end, in seconds.
    has_time_bounds : bool, default=True
        Whether promises with a time bound are checked.
    """

    seed: int
    duration_s: float
    n_hosts: int
    folder: Path
    node_module: str = NODE_MODULE
    node_arguments: tuple[str, ...] = ()
    faults: tuple[str, ...] = ()
    quiet_s: float = QUIET_S
    has_time_bounds: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class SoakResult:
    """Outcome of one soak.

    Parameters
    ----------
    seed : int
        Its seed.
    record : SoakRecord
        What was seen.
    violations : list of Violation
        Promises that were broken.
    """

    seed: int
    record: SoakRecord
    violations: list[Violation]

    def summarize(self) -> dict[str, object]:
        """Return counts for one line of a report."""
        attempts = self.record.attempts
        return {
            "seed": self.seed,
            "n_attempts": len(attempts),
            "n_served": sum(attempt.is_served for attempt in attempts),
            "n_promised": sum(attempt.is_promised for attempt in attempts),
            "n_stalls": len(self.record.stalls),
            "max_stall_s": round(
                max((item.wait_s for item in self.record.stalls), default=0.0), 2
            ),
            "faults": dict(Counter(item.name for item in self.record.disturbances)),
            "violations": [
                f"{item.rule}: {item.detail}" for item in self.violations[:20]
            ],
        }


class Soak:
    """Processes of one soak and the faults that hit them.

    Parameters
    ----------
    options : SoakOptions
        Options.
    subnet : int
        Subnet of the loopback network.
    """

    def __init__(self, *, options: SoakOptions, subnet: int) -> None:
        self.options = options
        self.random_source = Random(options.seed)
        self.hosts = make_hosts(options.n_hosts, subnet)
        self.processes = ProcessGroup(log_folder=options.folder)
        self.store = self.hosts[0].inner.rsplit(".", 2)[0] + ".3.1"
        self.proxies: dict[int, list[LoopbackProxy]] = {}
        self.stack = AsyncExitStack()
        self.attempts: list[Attempt] = []
        self.disturbances: list[Disturbance] = []
        self.leaving_at: dict[str, float] = {}
        self.evacuations: list[Evacuation] = []
        self.free_zones = list(ZONES)
        self.versions: dict[str, list[int]] = {}
        self.monitor = StallMonitor()
        self.exits: list[str] = []
        self.expected_exits: set[str] = set()
        self.free_hosts = list(self.hosts)
        self.reservation = asyncio.Lock()
        self.upstream_ids: dict[int, str] = {}
        self.n_starts = 0
        self.n_incarnations: dict[int, int] = {}
        self.version = 0

    async def run(self) -> SoakResult:
        """Run the soak and return what was seen."""
        async with self.stack:
            await self.start()
            clients = [
                asyncio.create_task(client.run()) for client in self.make_clients()
            ]
            watch = asyncio.create_task(self.watch())
            await asyncio.sleep(WARM_UP_S)
            await self.inject_faults()
            await asyncio.sleep(self.options.quiet_s)
            for task in (*clients, watch):
                task.cancel()
            await asyncio.gather(*clients, watch, return_exceptions=True)
            stopped_at = time.monotonic()
            await asyncio.sleep(LISTENING_S)
        await asyncio.sleep(CLOSE_PAUSE_S)
        record = SoakRecord(
            attempts=self.attempts,
            events=self.read_events(),
            disturbances=self.disturbances,
            leaving_at=self.leaving_at,
            evacuations=self.evacuations,
            versions=self.versions,
            stalls=self.monitor.stalls,
            exits=self.exits,
            stopped_at=stopped_at,
        )
        violations = check_all(record, has_time_bounds=self.options.has_time_bounds)
        return SoakResult(seed=self.options.seed, record=record, violations=violations)

    async def start(self) -> None:
        """Start store, proxies, upstreams and nodes; wait until all are ready."""
        self.stack.callback(self.processes.close)
        self.processes.start(
            STORE_NAME,
            "benchmarks.soak.store",
            ("--address", self.store, "--port", str(PORTS.store)),
        )
        async with asyncio.timeout(START_TIMEOUT_S):
            while self.version == 0:
                with suppress(OSError, ProtocolError, TimeoutError):
                    await self.write_configuration()
                await asyncio.sleep(WATCH_INTERVAL_S)
            for host in self.hosts:
                await self.start_proxies(host)
                self.start_upstream(host)
                self.start_node(host, is_first_start=True)
            for host in self.hosts:
                await self.wait_until_ready(host)

    async def wait_until_ready(self, host: SoakHost) -> None:
        """Wait until the node of a host accepts requests."""
        target = "/v1/ready"
        while not await self.fetch(  # noqa: ASYNC110 (another process)
            host.inner, PORTS.ready, target
        ):
            await asyncio.sleep(WATCH_INTERVAL_S)

    async def start_proxies(self, host: SoakHost) -> None:
        """Start the proxies to the node of a host and from it to the store."""
        proxies = [
            LoopbackProxy(
                address=host.outer,
                port=PORTS.peer,
                target=(host.inner, PORTS.peer),
            ),
            LoopbackProxy(
                address=host.inner,
                port=PORTS.store,
                target=(self.store, PORTS.store),
            ),
        ]
        for proxy in proxies:
            await proxy.start()
            self.stack.callback(proxy.close)
        self.proxies[host.index] = proxies

    def make_clients(self) -> list[SoakClient]:
        """Return the clients of all nodes."""
        return [
            (PipeliningClient if number == PIPELINING_CLIENT else SoakClient)(
                host=host,
                name=f"{host.index}-{number}",
                random_source=Random(f"{self.options.seed}-{host.index}-{number}"),
                attempts=self.attempts,
            )
            for host in self.hosts
            for number in range(N_CLIENTS)
        ]

    def start_upstream(self, host: SoakHost) -> None:
        """Start a new incarnation of the upstream of a host."""
        self.n_starts += 1
        upstream_id = f"u-{host.index}-{self.n_starts}"
        self.upstream_ids[host.index] = upstream_id
        options = {
            "index": host.index,
            "zone": host.zone,
            "service": host.service,
            "inner": host.inner,
            "outer": host.outer,
            "upstream-id": upstream_id,
            "store": self.store,
            "log": self.options.folder / f"runs-{host.index}.jsonl",
            "seed": self.options.seed * 1_000 + self.n_starts,
        }
        arguments = [
            text
            for name, value in options.items()
            for text in (f"--{name}", str(value))
        ]
        self.processes.start(upstream_id, "benchmarks.soak.upstream", arguments)

    def start_node(self, host: SoakHost, *, is_first_start: bool = False) -> None:
        """Start a new incarnation of the node of a host."""
        self.n_incarnations[host.index] = self.n_incarnations.get(host.index, 0) + 1
        path = self.options.folder / f"{host.name}.conf"
        path.write_text(make_settings(host, is_first_start=is_first_start))
        arguments = (
            *self.options.node_arguments,
            "--settings",
            str(path),
            "--metrics-port",
            str(PORTS.metrics),
        )
        name = self.get_node_name(host)
        self.processes.start(name, self.options.node_module, arguments)

    def get_node_name(self, host: SoakHost) -> str:
        """Return the name of the node process of a host."""
        return f"node-{host.index}-{self.n_incarnations[host.index]}"

    def get_upstream_name(self, host: SoakHost) -> str:
        """Return the name of the upstream process of a host."""
        return self.upstream_ids[host.index]

    @asynccontextmanager
    async def reserve_host(self) -> AsyncIterator[SoakHost]:
        """Reserve a random host, so that one fault at a time hits its processes."""
        async with self.reserve_hosts(1) as (host,):
            yield host

    @asynccontextmanager
    async def reserve_hosts(self, n_hosts: int) -> AsyncIterator[list[SoakHost]]:
        """Reserve random hosts at once; faults that need several take turns."""
        async with self.reservation:
            while len(self.free_hosts) < n_hosts:  # noqa: ASYNC110 (by another task)
                await asyncio.sleep(WATCH_INTERVAL_S)
            hosts = self.random_source.sample(self.free_hosts, n_hosts)
            for host in hosts:
                self.free_hosts.remove(host)
        try:
            yield hosts
        finally:
            self.free_hosts += hosts

    @asynccontextmanager
    async def reserve_zone(self) -> AsyncIterator[str]:
        """Reserve a random zone for an evacuation; one is always left."""
        n_left = len(ZONES) - MAX_EVACUATED_ZONES
        while len(self.free_zones) <= n_left:  # noqa: ASYNC110 (several wait)
            await asyncio.sleep(WATCH_INTERVAL_S)
        zone = self.random_source.choice(self.free_zones)
        self.free_zones.remove(zone)
        try:
            yield zone
        finally:
            self.free_zones.append(zone)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process; one that ends it is expected to."""
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.expected_exits.add(name)
        with suppress(KeyError, ProcessLookupError):
            self.processes.signal(name, number)

    async def wait_for_exit(self, name: str, timeout_s: float) -> None:
        """Wait until a process has ended, and kill it after a time in seconds."""
        ends_at = time.monotonic() + timeout_s
        while self.processes.is_running(name):
            if time.monotonic() > ends_at:
                self.signal(name, signal.SIGKILL)
            await asyncio.sleep(WATCH_INTERVAL_S / 5)

    async def restart_node(self, host: SoakHost) -> None:
        """Start the node of a host again after its process has ended."""
        await self.wait_for_exit(self.get_node_name(host), GRACE_S)
        self.start_node(host)

    async def replace_upstream(self, host: SoakHost) -> None:
        """Start another upstream on a host after the process of the last has ended."""
        await self.wait_for_exit(self.get_upstream_name(host), DRAIN_S + GRACE_S)
        self.start_upstream(host)

    async def drain_upstream(self, host: SoakHost) -> None:
        """Announce that the upstream of a host leaves."""
        name = self.get_upstream_name(host)
        self.expected_exits.add(name)
        with suppress(OSError, TimeoutError, ProtocolError):
            await call(host.outer, PORTS.control, "/soak/drain")
            self.leaving_at[name] = time.monotonic()

    async def set_mode(self, host: SoakHost, mode: str, share: float) -> None:
        """Make a share of the requests of an upstream fail in one way."""
        await self.command_upstream(host, f"mode?name={mode}&share={share}")

    async def command_upstream(self, host: SoakHost, command: str) -> None:
        """Send a command to the upstream of a host; one that fails is ignored."""
        with suppress(OSError, TimeoutError, ProtocolError):
            await call(host.outer, PORTS.control, f"/soak/{command}")

    async def command_store(self, command: str, body: bytes = b"") -> None:
        """Send a command to the control interface of the store."""
        await call(self.store, PORTS.store, f"/soak/{command}", body)

    async def insist_on(self, command: str) -> float:
        """Send a command to the store until it is acknowledged; return that time."""
        while True:
            with suppress(OSError, TimeoutError, ProtocolError):
                await self.command_store(command)
                return time.monotonic()
            await asyncio.sleep(RETRY_PAUSE_S)

    async def write_configuration(self) -> None:
        """Write the next version of the configuration."""
        version = self.version + 1
        with suppress(TimeoutError):
            await self.command_store(
                f"put?key={CONFIG_KEY}", make_configuration(version)
            )
            self.version = version

    async def inject_faults(self) -> None:
        """Start faults at random times until the end; wait for those that last."""
        ends_at = time.monotonic() + self.options.duration_s
        names = self.options.faults
        faults = [fault for fault in FAULTS if not names or fault.name in names]
        tasks = []
        while time.monotonic() < ends_at:
            fault = self.random_source.choice(faults)
            tasks.append(asyncio.create_task(self.play(fault)))
            await asyncio.sleep(self.random_source.uniform(0.1, MAX_FAULT_PAUSE_S))
        await asyncio.gather(*tasks)

    async def play(self, fault: Fault) -> None:
        """Play one fault and record it."""
        started_at = time.monotonic()
        hosts = await fault.play(self)
        self.disturbances.append(
            Disturbance(
                name=fault.name,
                hosts=hosts,
                started_at=started_at,
                ended_at=time.monotonic(),
            )
        )

    async def watch(self) -> None:
        """Record versions in force and processes that end, until cancelled."""
        while True:
            await asyncio.sleep(WATCH_INTERVAL_S)
            self.monitor.observe("clients", os.getpid(), time.monotonic())
            for name, process in list(self.processes.processes.items()):
                self.monitor.observe(name, process.pid, time.monotonic())
                if process.poll() is not None:
                    del self.processes.processes[name]
                    if name not in self.expected_exits:
                        self.exits.append(f"{name}: status {process.returncode}")
            for host in list(self.free_hosts):
                if not self.processes.is_running(self.get_upstream_name(host)):
                    self.start_upstream(host)
            for host in self.hosts:
                name = self.get_node_name(host)
                version = await self.read_version(host)
                if version and name == self.get_node_name(host):
                    self.versions.setdefault(name, []).append(version)

    async def fetch(self, address: str, port: int, target: str) -> str:
        """Return the body of a response; empty without a success."""
        with suppress(OSError, TimeoutError, ProtocolError):
            async with asyncio.timeout(WATCH_INTERVAL_S):
                reader, writer = await asyncio.open_connection(address, port)
                try:
                    headers = {"Host": "soak", "Connection": "close"}
                    writer.write(encode(f"GET {target} HTTP/1.1", headers))
                    response = await read_message(reader)
                finally:
                    writer.close()
            if response.start_line[1] == "200":
                return response.body.decode() or "ready"
        return ""

    async def read_version(self, host: SoakHost) -> int:
        """Return the version in force at a node; 0 if it does not answer."""
        for line in (await self.fetch(host.inner, PORTS.metrics, "/metrics")).split(
            "\n"
        ):
            if line.startswith(VERSION_METRIC):
                return int(float(line.removeprefix(VERSION_METRIC)))
        return 0

    def read_events(self) -> list[UpstreamEvent]:
        """Return what the upstreams wrote down."""
        events = []
        for path in sorted(self.options.folder.glob("runs-*.jsonl")):
            for line in path.read_text().splitlines():
                with suppress(ValueError):
                    events.append(UpstreamEvent(**json.loads(line)))
        return events


def run_soak(options: SoakOptions) -> SoakResult:
    """Run one soak in a subnet of its own."""
    options.folder.mkdir(parents=True, exist_ok=True)
    with claim_subnet() as subnet:

        async def run() -> SoakResult:
            return await Soak(options=options, subnet=subnet).run()

        return asyncio.run(run())
