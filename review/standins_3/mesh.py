"""A small deployment on loopback addresses: store, upstreams, sidecar processes."""

import asyncio
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from base64 import b64encode
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit
from zlib import crc32

import msgpack

__all__ = [
    "GRACE_S",
    "DRAIN_S",
    "HOST",
    "PORT_CLIENT",
    "Message",
    "Mesh",
    "ProtocolError",
    "Record",
    "Route",
    "Sidecar",
    "Upstream",
    "encode",
    "is_trouble",
    "play",
    "read_head",
    "read_message",
    "seal",
]

REPOSITORY = Path(__file__).resolve().parents[2]
HOST = "review.example"
ZONES = {"tln-a": "tallinn", "trt-a": "tartu"}
# Bounds and limits of kaevu-mesh, as the settings file and the configuration of
# `fleetbench wire` show them.
GRACE_S = 6.0
DRAIN_S = 2.0
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 67_108_864,
    "header_timeout": 3_000,
    "idle_timeout": 15_000,
}
PORT_PEER, PORT_APP, PORT_READY, PORT_CLIENT, PORT_STORE = 8300, 8301, 8302, 8304, 8309
START_TIMEOUT_S = 20.0


class ProtocolError(Exception):
    """Raised if a connection ends or sends bytes that are no whole message."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Message:
    """HTTP request or response."""

    start: list[str]
    headers: dict[str, str]
    body: bytes = field(repr=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Route of the configuration; times are in milliseconds."""

    prefix: str
    service: str
    route_type: str = "safe"
    timeout: int = 600
    target_latency: int = 250
    priority: int = 1
    max_attempts: int = 2


def is_trouble() -> bool:
    """Return whether the disruption of the case is played."""
    return os.environ.get("TROUBLE", "1") != "0"


def seal(body: bytes) -> str:
    """Return the seal that an upstream puts on a body."""
    return f"{len(body):x}.{crc32(body):08x}"


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message with its length."""
    lines = [start, *(f"{key}: {value}" for key, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def read_head(reader: asyncio.StreamReader) -> tuple[list[str], dict[str, str]]:
    """Return start line and headers of the next message."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError) as error:
        raise ProtocolError(repr(error)[:200]) from error
    lines = head.split("\r\n")
    pairs = (line.partition(":") for line in lines[1:-2])
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    return lines[0].split(" ", 2), headers


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Return the next message with a length; raise `ProtocolError` without one."""
    start, headers = await read_head(reader)
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ValueError) as error:
        raise ProtocolError(repr(error)[:200]) from error
    return Message(start=start, headers=headers, body=body)


class Record:
    """File that says what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the time since the start."""
        at = time.monotonic() - self.started_at
        self.file.write(f"{at:8.3f} {text}\n")
        self.file.flush()

    def finish(self, text: str) -> None:
        """Write and print the result."""
        self.write(text)
        print(text)


class Store:
    """Platform's store: range, key and watch calls, sound unless told otherwise."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.revision = 100
        self.changed = asyncio.Event()
        self.era = 1
        self.is_up = True
        self.is_silent = False
        self.silent: set[int] = set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to listen."""
        self.server = await asyncio.start_server(self.serve, self.address, PORT_STORE)

    def put(self, key: str, content: object) -> float:
        """Write a key; return the time of the acknowledgement."""
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        value = b64encode(msgpack.packb(content)).decode()
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": created,
            "lease": 0,
        }
        self.items[key] = item
        return self.notify(item)

    def remove(self, key: str) -> float:
        """Remove a key; return the time of the acknowledgement."""
        self.revision += 1
        self.items.pop(key, None)
        return self.notify({"key": key, "revision": self.revision, "tombstone": True})

    def notify(self, event: dict) -> float:
        """Add an event to the history and wake the watches."""
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()
        return time.monotonic()

    def set_up(self, is_up: bool) -> None:
        """Begin or end an outage in which connections are reset."""
        self.is_up = is_up
        if not is_up:
            for writer in list(self.writers):
                writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls of one connection."""
        if not self.is_up:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                status, body = await self.answer(request.start[1])
                if self.is_silent or id(writer) in self.silent:
                    # A connection on which a response is lost returns nothing further.
                    self.silent.add(id(writer))
                    await asyncio.Event().wait()
                headers = {
                    "Content-Type": "application/msgpack",
                    "Store-Era": str(self.era),
                }
                writer.write(encode(f"HTTP/1.1 {status}", headers, body))
                await writer.drain()
        except (ProtocolError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, target: str) -> tuple[str, bytes]:
        """Return status and body for a call."""
        parts = urlsplit(target)
        query = {
            name: values[0]
            for name, values in parse_qs(parts.query, keep_blank_values=True).items()
        }
        if parts.path == "/v1/kv-watch":
            return await self.watch(int(query["after"]), int(query["wait_ms"]))
        if parts.path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return ("404 Not Found", b"") if item is None else self.pack(**item)
        after = query.get("after", "")
        keys = [key for key in self.items if key.startswith(query["prefix"])]
        items = [self.items[key] for key in sorted(keys) if key > after]
        return self.pack(items=items[:500], has_more=len(items) > 500)

    async def watch(self, after: int, wait_ms: int) -> tuple[str, bytes]:
        """Return the events after a revision."""
        ends_at = time.monotonic() + wait_ms / 1000
        while True:
            if after > self.revision:
                return "410 Gone", b""
            events = [event for event in self.events if event["revision"] > after]
            wait_s = ends_at - time.monotonic()
            if events or wait_s <= 0:
                return self.pack(events=events)
            with suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), wait_s)

    def pack(self, **fields: object) -> tuple[str, bytes]:
        """Return a success with fields and the store's revision."""
        return "200 OK", msgpack.packb(fields | {"store_revision": self.revision})


class Upstream:
    """Upstream on one machine, with slots and a queue; a sound server."""

    def __init__(
        self,
        *,
        mesh: "Mesh",
        address: str,
        zone: str,
        service: str,
        n_slots: int = 12,
        n_queued: int = 48,
    ) -> None:
        self.mesh = mesh
        self.address = address
        self.zone = zone
        self.service = service
        self.n_slots = n_slots
        self.n_queued = n_queued
        self.upstream_id = f"i-{random.randrange(2**32):08x}"
        self.slots = asyncio.Semaphore(n_slots)
        self.n_waiting = 0
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs: list[tuple[float, Message]] = []
        self.finished: dict[str, float] = {}
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen and register."""
        self.server = await asyncio.start_server(
            self.serve, self.address, PORT_APP, limit=2**17
        )
        self.register()

    def crash(self) -> None:
        """End without a word: reset all connections and accept no more."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def restart(self) -> None:
        """Register again as a new incarnation with a new identifier."""
        self.upstream_id = f"i-{random.randrange(2**32):08x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.register()

    def register(self, state: str = "ready") -> float:
        """Write the registry entry; return the time of the acknowledgement."""
        self.state = state
        self.sequence += 1
        return self.mesh.store.put(f"servers/{self.upstream_id}", self.make_entry())

    def make_entry(self) -> dict:
        """Return the registry entry with the present state and sequence."""
        return {
            "address": f"{self.address}:{PORT_APP}",
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.n_slots,
            },
            "status": {
                "state": self.state,
                "sequence": self.sequence,
                "cold_remaining": 0,
            },
        }

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection, one after the other."""
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                writer.write(await self.answer(request))
                await writer.drain()
        except (ProtocolError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request: Message) -> bytes:
        """Return the answer to a request."""
        headers = {"Attempt-Id": request.headers.get("attempt-id", "")}
        if request.start[1] == "/health":
            return encode("HTTP/1.1 200 OK", {"Instance-Id": self.upstream_id})
        if request.headers.get("expect-instance", self.upstream_id) != self.upstream_id:
            headers["Instance-Id"] = self.upstream_id
            return encode("HTTP/1.1 421 Misdirected Request", headers)
        if not headers["Attempt-Id"]:
            headers["Not-Executed"] = "1"
            return encode("HTTP/1.1 400 Bad Request", headers)
        if self.n_waiting >= self.n_queued:
            headers["Not-Executed"] = "1"
            return encode("HTTP/1.1 503 Service Unavailable", headers)
        self.n_waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.n_waiting -= 1
        try:
            self.runs.append((time.monotonic(), request))
            self.mesh.record.write(
                f"run {headers['Attempt-Id']} {' '.join(request.start[:2])} "
                f"body={len(request.body)} at {self.upstream_id}"
            )
            work_s, body = self.run(request)
            await asyncio.sleep(work_s)
        finally:
            self.slots.release()
        headers["Response-Seal"] = seal(body)
        self.finished[headers["Attempt-Id"]] = time.monotonic()
        return encode("HTTP/1.1 200 OK", headers, body)

    def run(self, request: Message) -> tuple[float, bytes]:
        """Return work time and body of the answer; a case may override it."""
        return 0.02, f"{request.headers['attempt-id']} {request.start[1]}".encode()


class Sidecar:
    """Sidecar process of one machine."""

    def __init__(self, mesh: "Mesh", number: int, upstream: Upstream) -> None:
        self.mesh = mesh
        self.name = f"sidecar-{number}"
        self.upstream = upstream
        self.address = upstream.address
        self.path = mesh.folder / f"{self.name}.conf"
        self.process: subprocess.Popen | None = None
        self.is_first_start = True

    def write_settings(self) -> None:
        """Write the settings file."""
        upstream = self.upstream
        fields = {
            "node_name": self.name,
            "role": "sidecar",
            "machine_class": "sidecar",
            "serves": "sidecar",
            "ip": self.address,
            "zone": upstream.zone,
            "region": ZONES[upstream.zone],
            **{f"zones.{zone}": region for zone, region in ZONES.items()},
            "listen_addrs.inbound": f"{self.address}:{PORT_PEER}",
            "listen_addrs.outbound": f"{self.address}:{PORT_CLIENT}",
            "listen_addrs.ready": f"{self.address}:{PORT_READY}",
            "port_range": "7620,7635",
            "seed_nodes": "",
            "bootstrap": str(self.is_first_start).lower(),
            "limits.cpu_share": 0.86,
            "limits.cpu_cores": 1,
            "limits.memory_mb": self.mesh.memory_mb,
            "limits.max_fds": 4100,
            "limits.link_mbps": 1000.0,
            "heartbeat": 1500,
            "bounds.stability": 3000,
            "bounds.drain": 2000,
            "bounds.grace": 6,
            "bounds.config_apply": 2000,
            "bounds.retry_budget_ratio": 0.2,
            "bounds.retry_window": 10,
            "bounds.retry_budget_slack": 56,
            "app_addr": f"{self.address}:{PORT_APP}",
            "service": upstream.service,
            "platform.address": f"{self.mesh.store.address}:{PORT_STORE}",
        }
        text = "".join(f"{name}={value}\n" for name, value in fields.items())
        # A reader sees the old file or the new one.
        new_path = self.path.with_suffix(".new")
        new_path.write_text(text)
        new_path.replace(self.path)

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self.write_settings()
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.mesh.folder),
            "LANG": "C.UTF-8",
            "PYTHONDONTWRITEBYTECODE": "1",
            "PYTHONPATH": f"{REPOSITORY}:{REPOSITORY / 'target' / 'deps'}",
            "FOXTAILWAY_SETTINGS": str(self.path),
        }
        log = (self.mesh.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            ["python3", "-m", "foxtailway.platform", "--metrics-port", "9464"],
            cwd=REPOSITORY,
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.is_first_start = False
        self.mesh.record.write(f"start {self.name} pid {self.process.pid}")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.mesh.record.write(f"signal {number.name} to {self.name}")
        self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Return whether the readiness check succeeds."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.address, PORT_READY)
                try:
                    writer.write(encode("GET /v1/ready HTTP/1.1", {"Host": "ready"}))
                    return (await read_message(reader)).start[1] == "200"
                finally:
                    writer.close()
        except (OSError, TimeoutError, ProtocolError):
            return False

    @property
    def exit_status(self) -> int | None:
        """Exit status of the process, None while it runs."""
        return self.process.poll()


class Mesh:
    """Deployment with one sidecar process beside each upstream."""

    def __init__(self, folder: str, *, memory_mb: int = 300) -> None:
        self.record = Record(Path(folder))
        self.memory_mb = memory_mb
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self.temporary.name)
        self.subnet = find_free_subnet()
        self.store = Store(f"127.{self.subnet}.0.1")
        self.upstreams: list[Upstream] = []
        self.sidecars: list[Sidecar] = []
        self.version = 1

    def add(self, upstream_type: type[Upstream], zone: str, service: str) -> Sidecar:
        """Add a machine."""
        number = len(self.sidecars) + 1
        upstream = upstream_type(
            mesh=self,
            address=f"127.{self.subnet}.1.{number}",
            zone=zone,
            service=service,
        )
        sidecar = Sidecar(self, number, upstream)
        self.upstreams.append(upstream)
        self.sidecars.append(sidecar)
        return sidecar

    def put_configuration(self, routes: list[Route]) -> float:
        """Write a configuration; return the time of the acknowledgement."""
        columns = (
            "name host prefix route_type timeout target_latency priority service"
            " max_attempts"
        ).split()
        rows = [
            [
                f"r{route.prefix.strip('/')}",
                HOST,
                route.prefix,
                route.route_type,
                route.timeout,
                route.target_latency,
                route.priority,
                route.service,
                route.max_attempts,
            ]
            for route in routes
        ]
        services = sorted({upstream.service for upstream in self.upstreams})
        content = {
            "version": self.version,
            "routes": {"columns": columns, "rows": rows},
            "services": {
                "columns": ["name", "health_path", "max_connections"],
                "rows": [[service, "/health", 110] for service in services],
            },
            "limits": LIMITS,
        }
        self.version += 3
        return self.store.put("op/config", content)

    async def start(self, routes: list[Route]) -> None:
        """Start all; return when all sidecars are ready and calm."""
        await self.store.start()
        self.put_configuration(routes)
        for upstream in self.upstreams:
            await upstream.start()
        for sidecar in self.sidecars:
            sidecar.start()
        ends_at = time.monotonic() + START_TIMEOUT_S
        for sidecar in self.sidecars:
            while not await sidecar.is_ready():
                if time.monotonic() > ends_at:
                    raise RuntimeError(f"{sidecar.name} is not ready")
                await asyncio.sleep(0.1)
        self.record.write("all sidecars are ready")
        await asyncio.sleep(3.0)

    def stop(self) -> None:
        """End all processes and remove the temporary folder."""
        for sidecar in self.sidecars:
            if sidecar.process is not None and sidecar.process.poll() is None:
                sidecar.process.kill()
                sidecar.process.wait()
        for name in os.environ.get("KEEP_LOGS", "").split():
            for path in self.folder.glob("*.log"):
                Path(name, path.name).write_bytes(path.read_bytes())
        self.temporary.cleanup()


def find_free_subnet() -> int:
    """Return the second number of loopback addresses whose ports are free."""
    for _ in range(50):
        subnet = random.randrange(16, 250)
        with socket.socket() as sock, suppress(OSError):
            sock.bind((f"127.{subnet}.0.1", PORT_STORE))
            return subnet
    raise RuntimeError("no free loopback addresses")


def play(case: object) -> None:
    """Run a case: exit with 0 if the rule held, 1 if not, 2 if it could not run.

    Parameters
    ----------
    case : callable
        Coroutine function that returns whether the rule held.
    """

    async def run() -> bool:
        # The processes of the case are ended also if the script itself is stopped.
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await case()

    try:
        held = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
    sys.exit(0 if held else 1)
