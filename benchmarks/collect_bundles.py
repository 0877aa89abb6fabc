"""Calls and CPU time of a reader that collects bundles of the design size."""

import asyncio
import json
import subprocess
import sys
import time
from contextlib import ExitStack
from dataclasses import asdict, dataclass
from statistics import median

from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from benchmarks.compile_snapshot import build_config, build_hosts
from foxtailway.common import MonotonicClock
from foxtailway.config.generation import read_generation
from foxtailway.model import Bundle, BundleKind
from foxtailway.settings import PlatformSettings
from foxtailway.source import HttpSourceReader, SourceBundleCollector

# Collections for each measurement.
N_REPEATS = 15
# Longest time that a watch waits, and timeout of a call.
WAIT_S = 5.0
MS_PER_S = 1000.0
# Key of the overlay that is changed.
OVERLAY_KEY = "overlay/zone-3"
# Key of the host list that is changed.
HOSTS_KEY = "hosts/zone-1"


@dataclass(frozen=True, slots=True, kw_only=True)
class Measure:
    """Measurement of one kind of collection.

    Parameters
    ----------
    measure : str
        Kind of collection.
    n_collections : int
        Number of collections.
    calls_per_collection : float
        Mean number of calls to the platform; a waiting watch counts as one.
    median_cpu_ms, max_cpu_ms : float
        CPU time of the reader, in milliseconds.
    median_ms : float
        Median duration of a collection, in milliseconds.
    """

    measure: str
    n_collections: int
    calls_per_collection: float
    median_cpu_ms: float
    max_cpu_ms: float
    median_ms: float


class CollectBenchmark:
    """Benchmark that collects bundles from a fake platform in another process.

    Parameters
    ----------
    url : str
        Base URL of the fake platform.
    stack : ExitStack
        Stack that closes the connections.
    """

    def __init__(self, *, url: str, stack: ExitStack) -> None:
        self.url = url
        self.client = AsyncHTTPClient()
        self.reader = HttpSourceReader(
            settings=PlatformSettings(
                url=url,
                store_region="region-0",
                watch_s=WAIT_S,
                timeout_s=WAIT_S,
                calls_per_s=200.0,
            )
        )
        stack.callback(self.reader.close)
        self.collector = self.make_collector()

    def make_collector(self) -> SourceBundleCollector:
        """Return a collector that holds no bundle."""
        return SourceBundleCollector(
            reader=self.reader, clock=MonotonicClock(), read_generation=read_generation
        )

    async def write(self, key: str, content: bytes) -> None:
        """Write a value to the platform."""
        url = f"{self.url}/control/values/{key}"
        await self.client.fetch(HTTPRequest(url, method="PUT", body=content))

    async def write_bundle(self, bundle: Bundle) -> None:
        """Write all documents of a bundle to the platform."""
        for document in bundle.documents:
            await self.write(document.key, document.content)

    async def run(self) -> None:
        """Run and print all measurements."""
        config = build_config(1)
        hosts = build_hosts(1)
        await self.write_bundle(config)
        await self.write_bundle(hosts)
        await self.measure_first(BundleKind.CONFIG)
        await self.measure_first(BundleKind.HOSTS)
        overlay = config.find(OVERLAY_KEY).content
        base = config.find("base").content
        zone_hosts = hosts.find(HOSTS_KEY).content
        await self.measure_changes(BundleKind.CONFIG, OVERLAY_KEY, overlay)
        await self.measure_changes(BundleKind.CONFIG, "base", base)
        await self.measure_changes(BundleKind.HOSTS, HOSTS_KEY, zone_hosts)
        await self.measure_unchanged(BundleKind.CONFIG)

    async def measure_first(self, kind: BundleKind) -> None:
        """Measure collections by collectors that hold no bundle."""
        times = []
        for _ in range(N_REPEATS):
            self.collector = self.make_collector()
            times.append(await self.time_collection(kind))
        self.report(f"first {kind.value}", times)

    async def measure_changes(self, kind: BundleKind, key: str, content: bytes) -> None:
        """Measure collections after a write to one key."""
        await self.collector.collect(kind, wait_s=0.0)
        times = []
        for number in range(N_REPEATS):
            await self.write(key, content + b"\n" * (number + 1))
            times.append(await self.time_collection(kind))
        self.report(f"change of {key}", times)

    async def measure_unchanged(self, kind: BundleKind) -> None:
        """Measure collections that find no change."""
        times = [await self.time_collection(kind) for _ in range(N_REPEATS)]
        self.report(f"unchanged {kind.value}", times)

    async def time_collection(self, kind: BundleKind) -> tuple[int, float, float]:
        """Return calls, CPU time in ms and duration in ms of one collection.

        Raises
        ------
        RuntimeError
            If the collection fails.
        """
        n_calls = self.reader.n_calls
        cpu_s = time.process_time()
        started_s = time.monotonic()
        collected = await self.collector.collect(kind, wait_s=0.0)
        if collected.is_error():
            raise RuntimeError(str(collected.error))
        return (
            self.reader.n_calls - n_calls,
            (time.process_time() - cpu_s) * MS_PER_S,
            (time.monotonic() - started_s) * MS_PER_S,
        )

    def report(self, measure: str, times: list[tuple[int, float, float]]) -> None:
        """Print one measurement as a JSON line."""
        calls, cpu_ms, elapsed_ms = zip(*times, strict=True)
        figures = Measure(
            measure=measure,
            n_collections=len(times),
            calls_per_collection=sum(calls) / len(calls),
            median_cpu_ms=round(median(cpu_ms), 3),
            max_cpu_ms=round(max(cpu_ms), 3),
            median_ms=round(median(elapsed_ms), 3),
        )
        print(json.dumps(asdict(figures)), flush=True)


def main() -> None:
    """Print one JSON object for each kind of collection."""
    with ExitStack() as stack:
        process = subprocess.Popen(
            [sys.executable, "-m", "foxtailway.testing.platform"],
            stdout=subprocess.PIPE,
            text=True,
        )
        stack.callback(process.wait)
        stack.callback(process.terminate)
        port = json.loads(process.stdout.readline())["port"]

        async def run() -> None:
            url = f"http://127.0.0.1:{port}"
            await CollectBenchmark(url=url, stack=stack).run()

        asyncio.run(run())


if __name__ == "__main__":
    main()
