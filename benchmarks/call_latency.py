"""Latency that the mesh adds to a call, and CPU time of the nodes, by call rate."""

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

# Base file with one idempotent and one non-idempotent route.
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
# Subnet of the deployment; outside those that `claim_subnet` reserves.
SUBNET = 20
# Call rate of a node at the design size.
DESIGN_CALLS_PER_S = 82
# Measured call rates: once, twice and four times the design rate.
RATES_CALLS_PER_S = (82, 164, 328)
# Duration of the measurement at each rate.
DURATION_S = 6.0
# Limit of the added latency.
LIMIT_MS = 1.5
# Largest latency that the histogram records.
MAX_LATENCY_US = 10_000_000
# Smallest latency that the histogram records.
MIN_LATENCY_US = 1
# Precision of the histogram.
N_SIGNIFICANT_DIGITS = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class LatencyReport:
    """Latency of direct calls and of calls through the mesh, at one call rate.

    Parameters
    ----------
    front_cpu_ms, back_cpu_ms : float
        CPU time of a call at the node that receives it from the client and at the
        local node of the upstream, in milliseconds.
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
    """Client that makes calls and records their latency.

    Parameters
    ----------
    client : SimpleAsyncHTTPClient
        Client without persistent connections, the same for direct and mesh calls.
    request : HTTPRequest
        Call to make.
    """

    def __init__(self, *, client: SimpleAsyncHTTPClient, request: HTTPRequest) -> None:
        self.client = client
        self.request = request
        self.n_failed = 0
        self.histogram = HdrHistogram(
            MIN_LATENCY_US, MAX_LATENCY_US, N_SIGNIFICANT_DIGITS
        )

    async def call(self) -> None:
        """Make one call and record its latency and failure."""
        started_at = time.perf_counter()
        response = await self.client.fetch(self.request, raise_error=False)
        elapsed_us = (time.perf_counter() - started_at) * 1_000_000
        self.histogram.record_value(int(elapsed_us))
        self.n_failed += response.code != 200

    def find_percentile_ms(self, percentile: float) -> float:
        """Return a percentile of the latency, in milliseconds."""
        return self.histogram.get_value_at_percentile(percentile) / 1000


async def measure(
    direct: Probe, mesh: Probe, calls_per_s: int, pids: tuple[int, int]
) -> LatencyReport:
    """Make direct calls and calls through the mesh alternately.

    Parameters
    ----------
    direct, mesh : Probe
        Clients of direct calls and of calls through the mesh.
    calls_per_s : int
        Rate of the calls through the mesh; that of direct calls is about the design
        rate.
    pids : tuple of int
        Process identifiers of the nodes front and back.

    Returns
    -------
    LatencyReport
        Latencies and CPU times.
    """
    before = [read_usage(pid).cpu_s for pid in pids]
    n_calls = int(calls_per_s * DURATION_S)
    started_at = time.perf_counter()
    tasks = []
    for index in range(n_calls):
        due_at = started_at + index / calls_per_s
        await asyncio.sleep(max(0.0, due_at - time.perf_counter()))
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
        direct_p50_ms=direct.find_percentile_ms(50),
        direct_p99_ms=direct.find_percentile_ms(99),
        mesh_p50_ms=mesh.find_percentile_ms(50),
        mesh_p99_ms=mesh.find_percentile_ms(99),
        added_p50_ms=round(
            mesh.find_percentile_ms(50) - direct.find_percentile_ms(50), 3
        ),
        added_p99_ms=round(
            mesh.find_percentile_ms(99) - direct.find_percentile_ms(99), 3
        ),
        limit_ms=LIMIT_MS,
        front_cpu_ms=front_cpu_ms,
        back_cpu_ms=back_cpu_ms,
    )


async def run() -> None:
    """Start two hosts and measure each route at each call rate."""
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
    """Print one JSON object for each route and call rate."""
    asyncio.run(run())


if __name__ == "__main__":
    main()
