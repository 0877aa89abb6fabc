"""CPU time and memory of the compilation of snapshots of the design size."""

import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from statistics import median

import orjson

from foxtailway.config import SnapshotCompiler
from foxtailway.model import Bundle, BundleKind, make_bundle, make_document

# Services of the design size.
N_SERVICES = 910
# Availability zones of the design size.
N_ZONES = 32
# Regions of the design size.
N_REGIONS = 9
# Hosts of the design size.
N_HOSTS = 28_000
# Routes whose timeout the overlay of a site overrides.
N_OVERRIDES_PER_SITE = 20
# Compilations for each kind of change.
N_REPEATS = 15
MS_PER_S = 1000.0
BYTES_PER_MB = 1_000_000
BYTES_PER_KB = 1024


@dataclass(frozen=True, slots=True, kw_only=True)
class Measure:
    """Measurement of the compilations for one kind of change.

    Parameters
    ----------
    measure : str
        Kind of change.
    n_compilations : int
        Number of compilations.
    median_cpu_ms, max_cpu_ms : float
        CPU time of one compilation, in milliseconds.
    resident_mb : float
        Resident memory of the process, in megabytes.
    added_mb : float
        Growth of the resident memory since the documents were built, in megabytes.
    """

    measure: str
    n_compilations: int
    median_cpu_ms: float
    max_cpu_ms: float
    resident_mb: float
    added_mb: float


def build_base(timeout_ms: int, *, n_services: int = N_SERVICES) -> bytes:
    """Return a base file; `timeout_ms` is the timeout of the routes of one service."""
    sections = ["[mesh]\nname = large\ngeneration = 1\n"]
    sections.append("[overlays]\nroute.timeout = 1ms .. 10s\nservice.queue = 0 .. 99\n")
    for zone in range(N_ZONES):
        sections.append(f"[site zone-{zone}]\nregion = region-{zone % N_REGIONS}\n")
    for service in range(n_services):
        sections.append(
            f"[service s{service}]\nslots = 10\nconnections = 130\nqueue = 20\n"
        )
        for name, methods, idempotent in (("read", "GET", "yes"), ("do", "POST", "no")):
            timeout_text = timeout_ms if service == n_services // 2 else 800
            sections.append(
                f"[route s{service}-{name}]\npath = /s{service}\nmethods = {methods}\n"
                f"cluster = s{service}\nidempotent = {idempotent}\n"
                f"timeout = {timeout_text}ms\n"
            )
    return "\n".join(sections).encode()


def build_overlay(zone: int, timeout_ms: int) -> bytes:
    """Return the overlay of a site, which overrides the timeout of some routes."""
    sections = [
        f"[route s{(zone * N_OVERRIDES_PER_SITE + index) % N_SERVICES}-do]\n"
        f"timeout = {timeout_ms}ms\n"
        for index in range(N_OVERRIDES_PER_SITE)
    ]
    return "\n".join(sections).encode()


def build_config(revision: int, *, head: str = "", tail: str = "") -> Bundle:
    """Return a configuration; each revision has another timeout of one service.

    Parameters
    ----------
    revision : int
        Revision of the bundle.
    head, tail : str, default=""
        Text before and after the sections of the base file.
    """
    base = head.encode() + build_base(1000 + revision) + tail.encode()
    documents = [make_document(key="base", content=base)]
    for zone in range(N_ZONES):
        content = build_overlay(zone, 900)
        documents.append(make_document(key=f"overlay/zone-{zone}", content=content))
    return make_bundle(
        kind=BundleKind.CONFIG, generation=1, revision=revision, documents=documents
    )


def build_hosts(revision: int) -> Bundle:
    """Return a host list; in each revision another host is leaving."""
    lines: list[list[bytes]] = [[] for _ in range(N_ZONES)]
    for index in range(N_HOSTS):
        is_leaving = index == revision % N_HOSTS
        fields = [
            f"host-{index}",
            f"10.{index >> 16}.{index >> 8 & 255}.{index & 255}",
            7000,
            f"s{index % N_SERVICES}",
            "leaving" if is_leaving else "live",
        ]
        lines[index % N_ZONES].append(orjson.dumps(fields))
    documents = [
        make_document(key=f"hosts/zone-{zone}", content=b"\n".join(zone_lines))
        for zone, zone_lines in enumerate(lines)
    ]
    return make_bundle(
        kind=BundleKind.HOSTS, generation=1, revision=revision, documents=documents
    )


def read_resident_mb() -> float:
    """Return the resident memory of this process, in megabytes."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * BYTES_PER_KB / BYTES_PER_MB
    return 0.0


def time_compile(compiler: SnapshotCompiler, *, config: Bundle, hosts: Bundle) -> float:
    """Compile a snapshot and return the CPU time in milliseconds.

    Raises
    ------
    RuntimeError
        If the compilation fails.
    """
    started = time.process_time()
    result = compiler.compile(config=config, hosts=hosts)
    elapsed_ms = (time.process_time() - started) * MS_PER_S
    if result.is_error():
        raise RuntimeError(result.error.failure)
    return elapsed_ms


class CompileBenchmark:
    """Benchmark that compiles sequences of versions, one for each kind of change."""

    def __init__(self) -> None:
        self.config = build_config(1)
        self.hosts = build_hosts(1)
        self.documents_mb = read_resident_mb()

    def run(self) -> None:
        """Print one JSON line for each measurement."""
        compiler = SnapshotCompiler(site="zone-0")
        self.report("compile_full", [self.compile(compiler)])
        self.report_changes("compile_one_key", compiler, self.edit_key)
        self.report_changes("compile_shifted_lines", compiler, self.shift_lines)
        self.report_changes("compile_new_service", compiler, self.add_service)
        self.report_changes("compile_one_host", compiler, self.edit_host)

    def compile(self, compiler: SnapshotCompiler) -> float:
        """Compile the current version and return the CPU time in milliseconds."""
        return time_compile(compiler, config=self.config, hosts=self.hosts)

    def report_changes(
        self, name: str, compiler: SnapshotCompiler, edit: Callable[[int], None]
    ) -> None:
        """Apply one kind of change repeatedly and print the measurement."""
        times_ms = []
        for revision in range(2, N_REPEATS + 2):
            edit(revision)
            times_ms.append(self.compile(compiler))
        self.report(name, times_ms)

    def edit_key(self, revision: int) -> None:
        """Change the timeout of one service."""
        self.config = build_config(revision)

    def shift_lines(self, revision: int) -> None:
        """Add comment lines before all sections."""
        self.config = build_config(revision, head="# note\n" * revision)

    def add_service(self, revision: int) -> None:
        """Add a service and its route."""
        tail = "".join(
            f"\n[service x{index}]\n\n[route x{index}]\npath = /x{index}\n"
            f"methods = GET\ncluster = x{index}\nidempotent = yes\n"
            for index in range(revision)
        )
        self.config = build_config(1, tail=tail)

    def edit_host(self, revision: int) -> None:
        """Mark another host as leaving and the previous one as live."""
        self.hosts = build_hosts(revision)

    def report(self, name: str, times_ms: list[float]) -> None:
        """Print one measurement as a JSON line."""
        resident_mb = read_resident_mb()
        measure = Measure(
            measure=name,
            n_compilations=len(times_ms),
            median_cpu_ms=round(median(times_ms), 2),
            max_cpu_ms=round(max(times_ms), 2),
            resident_mb=round(resident_mb, 1),
            added_mb=round(resident_mb - self.documents_mb, 1),
        )
        print(orjson.dumps(asdict(measure)).decode(), flush=True)


def main() -> None:
    """Print one JSON line for each measurement."""
    CompileBenchmark().run()


if __name__ == "__main__":
    main()
