"""Latency that the mesh adds to a call, and the rate that a node carries."""

import asyncio
import json
import tempfile
import time
from contextlib import AsyncExitStack
from dataclasses import asdict, dataclass
from pathlib import Path

from hdrh.histogram import HdrHistogram
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from foxtailway.testing.deployment import ZonePlan, plan_deployment
from foxtailway.testing.fleet import Fleet
from foxtailway.testing.usage import read_usage

__all__ = ["main"]

BASE = b"""
[mesh]
name = latency
generation = 1

[overlays]
route.timeout = 100ms .. 10s

[site one-a]
region = one

[service front]
slots = 10
connections = 100

[service back]
slots = 10
connections = 100

[route back]
path = /back
methods = GET POST
cluster = back
idempotent = yes
timeout = 5s

[route order]
path = /order
methods = POST
cluster = back
idempotent = no
timeout = 5s
idempotency_window = 10s
"""
SUBNET = 20
DESIGN_CALLS_PER_S = 82
RATES_CALLS_PER_S = (82, 164, 328)
DURATION_S = 6.0
LIMIT_MS = 1.5
MAX_LATENCY_US = 10_000_000
LOWEST_LATENCY_US = 1
N_SIGNIFICANT_DIGITS = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class LatencyReport:
    """Latency of direct calls and of calls through the mesh, in milliseconds.

    Parameters
    ----------
    front_cpu_ms, back_cpu_ms : float
        Processor time of a call at the node where it enters and at the node
        beside the upstream, in milliseconds.
    """

    measure: str
    calls_per_s: int
    n_calls: int
    n_failed: int
    direct_p50_ms: float
    direct_p99_ms: float
    mesh_p50_ms: float
    mesh_p99_ms: float
    added_p50_ms: float
    added_p99_ms: float
    limit_ms: float
    front_cpu_ms: float
    back_cpu_ms: float


class Probe:
    """Make calls at a steady rate and record their latency.

    Parameters
    ----------
    client : SimpleAsyncHTTPClient
        Client that keeps no connections, used alike for both ways.
    request : HTTPRequest
        Call to make.
    """

    def __init__(self, *, client: SimpleAsyncHTTPClient, request: HTTPRequest) -> None:
        self.client = client
        self.request = request
        self.n_failed = 0
        self.histogram = HdrHistogram(
            LOWEST_LATENCY_US, MAX_LATENCY_US, N_SIGNIFICANT_DIGITS
        )

    async def call(self) -> None:
        """Make one call."""
        started = time.perf_counter()
        response = await self.client.fetch(self.request, raise_error=False)
        elapsed_us = (time.perf_counter() - started) * 1_000_000
        self.histogram.record_value(int(elapsed_us))
        self.n_failed += response.code != 200

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile in milliseconds."""
        return self.histogram.get_value_at_percentile(percentile) / 1000


async def measure(
    direct: Probe, mesh: Probe, calls_per_s: int, pids: tuple[int, int]
) -> LatencyReport:
    """Make direct calls and calls through the mesh in turn."""
    before = [read_usage(pid).cpu_s for pid in pids]
    n_calls = int(calls_per_s * DURATION_S)
    started = time.perf_counter()
    tasks = []
    for index in range(n_calls):
        due = started + index / calls_per_s
        await asyncio.sleep(max(0.0, due - time.perf_counter()))
        tasks.append(asyncio.ensure_future(mesh.call()))
        if index % max(1, calls_per_s // DESIGN_CALLS_PER_S) == 0:
            await asyncio.sleep(0.4 / calls_per_s)
            tasks.append(asyncio.ensure_future(direct.call()))
    await asyncio.gather(*tasks)
    after = [read_usage(pid).cpu_s for pid in pids]
    front_cpu_ms, back_cpu_ms = (
        round((end - start) * 1000 / n_calls, 3)
        for start, end in zip(before, after, strict=True)
    )
    return LatencyReport(
        measure="call_latency",
        calls_per_s=calls_per_s,
        n_calls=n_calls,
        n_failed=direct.n_failed + mesh.n_failed,
        direct_p50_ms=direct.percentile_ms(50),
        direct_p99_ms=direct.percentile_ms(99),
        mesh_p50_ms=mesh.percentile_ms(50),
        mesh_p99_ms=mesh.percentile_ms(99),
        added_p50_ms=round(mesh.percentile_ms(50) - direct.percentile_ms(50), 3),
        added_p99_ms=round(mesh.percentile_ms(99) - direct.percentile_ms(99), 3),
        limit_ms=LIMIT_MS,
        front_cpu_ms=front_cpu_ms,
        back_cpu_ms=back_cpu_ms,
    )


async def run() -> None:
    """Start two hosts and measure at each rate."""
    async with AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        deployment = plan_deployment(
            mesh="latency",
            store_region="one",
            subnet=SUBNET,
            zones=(ZonePlan(zone="one-a", region="one"),),
            services=("front", "back"),
        )
        fleet = Fleet(deployment=deployment, folder=Path(folder))
        stack.callback(fleet.close)
        fleet.start_platform()
        await fleet.wait_platform()
        await fleet.publish("overlay/one-a", b"# as the base\n")
        await fleet.publish_hosts()
        await fleet.publish("base", BASE)
        fleet.start_hosts()
        await fleet.wait_ready()
        client = SimpleAsyncHTTPClient(force_instance=True, max_clients=1000)
        stack.callback(client.close)
        front, back = deployment.hosts
        pids = tuple(
            fleet.processes.processes[f"node-{host.host_id}"].pid
            for host in deployment.hosts
        )
        for path, method in (("/back", "GET"), ("/order", "POST")):
            body = b"{}" if method == "POST" else None
            for calls_per_s in RATES_CALLS_PER_S:
                probes = [
                    Probe(
                        client=client,
                        request=HTTPRequest(base + path, method=method, body=body),
                    )
                    for base in (back.upstream_url, front.client_url)
                ]
                report = await measure(*probes, calls_per_s, pids)
                print(json.dumps({"path": path, **asdict(report)}), flush=True)


def main() -> None:
    """Print one JSON object for each rate and kind of call."""
    asyncio.run(run())


if __name__ == "__main__":
    main()
