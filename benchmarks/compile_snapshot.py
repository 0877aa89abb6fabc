"""Cost of compiling snapshots at the design size, in full and by change."""

import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from statistics import median

import orjson

from foxtailway.config import SnapshotCompiler
from foxtailway.model import Bundle, BundleKind, make_bundle, make_document

N_SERVICES = 910
N_ZONES = 32
N_REGIONS = 9
N_HOSTS = 28_000
N_OVERRIDES_PER_SITE = 20
N_REPEATS = 15
MS_PER_S = 1000.0
BYTES_PER_MB = 1_000_000
BYTES_PER_KB = 1024


@dataclass(frozen=True, slots=True, kw_only=True)
class Measure:
    """Hold one printed figure.

    Parameters
    ----------
    measure : str
        Kind of change.
    n_compilations : int
        Compilations measured.
    median_cpu_ms, max_cpu_ms : float
        Processor time of one compilation, in milliseconds.
    resident_mb : float
        Resident memory of the process, in megabytes.
    added_mb : float
        Part of it added since the documents were built, in megabytes.
    """

    measure: str
    n_compilations: int
    median_cpu_ms: float
    max_cpu_ms: float
    resident_mb: float
    added_mb: float


def build_base(timeout_ms: int, *, n_services: int = N_SERVICES) -> bytes:
    """Return a base file of the design size; `timeout_ms` is the edited key."""
    blocks = ["[mesh]\nname = large\ngeneration = 1\n"]
    blocks.append("[overlays]\nroute.timeout = 1ms .. 10s\nservice.queue = 0 .. 99\n")
    for zone in range(N_ZONES):
        blocks.append(f"[site zone-{zone}]\nregion = region-{zone % N_REGIONS}\n")
    for service in range(n_services):
        blocks.append(
            f"[service s{service}]\nslots = 10\nconnections = 130\nqueue = 20\n"
        )
        for name, methods, idempotent in (("read", "GET", "yes"), ("do", "POST", "no")):
            timeout_text = timeout_ms if service == n_services // 2 else 800
            blocks.append(
                f"[route s{service}-{name}]\npath = /s{service}\nmethods = {methods}\n"
                f"cluster = s{service}\nidempotent = {idempotent}\n"
                f"timeout = {timeout_text}ms\n"
            )
    return "\n".join(blocks).encode()


def build_overlay(zone: int, timeout_ms: int) -> bytes:
    """Return the overlay of one site."""
    blocks = [
        f"[route s{(zone * N_OVERRIDES_PER_SITE + index) % N_SERVICES}-do]\n"
        f"timeout = {timeout_ms}ms\n"
        for index in range(N_OVERRIDES_PER_SITE)
    ]
    return "\n".join(blocks).encode()


def build_config(revision: int, *, head: str = "", tail: str = "") -> Bundle:
    """Return the configuration; each revision differs in one key of a route."""
    base = head.encode() + build_base(1000 + revision) + tail.encode()
    documents = [make_document(key="base", content=base)]
    for zone in range(N_ZONES):
        content = build_overlay(zone, 900)
        documents.append(make_document(key=f"overlay/zone-{zone}", content=content))
    return make_bundle(
        kind=BundleKind.CONFIG, generation=1, revision=revision, documents=documents
    )


def build_hosts(revision: int) -> Bundle:
    """Return the host list; each revision differs in the state of one host."""
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
    """Return the resident memory of this process."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * BYTES_PER_KB / BYTES_PER_MB
    return 0.0


def time_compile(compiler: SnapshotCompiler, *, config: Bundle, hosts: Bundle) -> float:
    """Compile once and return the processor time in milliseconds."""
    started = time.process_time()
    result = compiler.compile(config=config, hosts=hosts)
    elapsed_ms = (time.process_time() - started) * MS_PER_S
    if result.is_error():
        raise RuntimeError(result.error.failure)
    return elapsed_ms


class CompileBenchmark:
    """Compile sequences of versions and print what each kind of change costs."""

    def __init__(self) -> None:
        self.config = build_config(1)
        self.hosts = build_hosts(1)
        self.documents_mb = read_resident_mb()

    def run(self) -> None:
        """Print one JSON line for each measure."""
        compiler = SnapshotCompiler(site="zone-0")
        self.report("compile_full", [self.compile(compiler)])
        self.report_changes("compile_one_key", compiler, self.edit_key)
        self.report_changes("compile_shifted_lines", compiler, self.shift_lines)
        self.report_changes("compile_new_service", compiler, self.add_service)
        self.report_changes("compile_one_host", compiler, self.edit_host)

    def compile(self, compiler: SnapshotCompiler) -> float:
        """Compile the current version."""
        return time_compile(compiler, config=self.config, hosts=self.hosts)

    def report_changes(
        self, name: str, compiler: SnapshotCompiler, edit: Callable[[int], None]
    ) -> None:
        """Apply one kind of change repeatedly and print its cost."""
        times_ms = []
        for revision in range(2, N_REPEATS + 2):
            edit(revision)
            times_ms.append(self.compile(compiler))
        self.report(name, times_ms)

    def edit_key(self, revision: int) -> None:
        """Change one key of one route."""
        self.config = build_config(revision)

    def shift_lines(self, revision: int) -> None:
        """Add comment lines ahead of all sections."""
        self.config = build_config(revision, head="# note\n" * revision)

    def add_service(self, revision: int) -> None:
        """Add one service and its route."""
        tail = "".join(
            f"\n[service x{index}]\n\n[route x{index}]\npath = /x{index}\n"
            f"methods = GET\ncluster = x{index}\nidempotent = yes\n"
            for index in range(revision)
        )
        self.config = build_config(1, tail=tail)

    def edit_host(self, revision: int) -> None:
        """Mark one host as leaving and the last one as live."""
        self.hosts = build_hosts(revision)

    def report(self, name: str, times_ms: list[float]) -> None:
        """Print one measure as a JSON line."""
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
    """Print one JSON line for each measure."""
    CompileBenchmark().run()


if __name__ == "__main__":
    main()
