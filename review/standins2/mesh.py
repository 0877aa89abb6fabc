"""Stand-ins of the platform, upstreams and clients for the cases of this review.

They keep the published protocol. Each sidecar is a process of the project, started
with the command of the deploy file. All addresses are loopback addresses.
"""

import asyncio
import hashlib
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from base64 import b64encode
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "target" / "deps"))

import msgpack  # noqa: E402 (from the build of the deploy file)

__all__ = [
    "EXPIRY_S",
    "HEARTBEAT_S",
    "ROOT",
    "Answer",
    "Link",
    "Mesh",
    "Run",
    "Store",
    "Upstream",
    "is_trouble",
    "main",
    "send",
]

# Values of the settings example of the deployment kaevu-mesh.
HEARTBEAT_S = 1.5
EXPIRY_S = 3 * HEARTBEAT_S
GRACE_S = 6.0
SETTINGS = """\
role=sidecar
machine_class=sidecar
serves=sidecar
seed_nodes=
in_failure_budget=false
limits.cpu_share=0.86
limits.cpu_cores=1
limits.memory_mb=300
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=static
heartbeat=1500
contracts=base,drain,config,cost,retry,recover,platform
fault_tolerance.machines=1
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds.seed_lag=3
bounds.addr_reuse=2
bounds.stability=3000
bounds.ack=4000
bounds.catch_up=4
bounds.drain=2000
bounds.grace=6
bounds.loss_slack=200
bounds.config_apply=2000
bounds.rollback_slack=250
bounds.max_stretch=5000
bounds.retry_budget_ratio=0.2
bounds.retry_window=10
bounds.retry_budget_slack=56
bounds.recovery=15
platform.form=read
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history=20
platform.value_bytes=1048576
platform.min_ttl=1000
"""


def is_trouble() -> bool:
    """Return whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


@dataclass(slots=True, kw_only=True)
class Message:
    """HTTP message without its framing."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def words(self) -> list[str]:
        return self.start.split(" ", 2)


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(start=lines[0], headers=headers, body=body)


def encode_answer(status: str, headers: dict[str, str], body: bytes) -> bytes:
    """Return an HTTP response."""
    lines = [f"HTTP/1.1 {status}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Store:
    """The platform's store; one port for each machine, so that one can be cut off.

    Attributes
    ----------
    gates : dict of str to str
        Variant of the disruption for a machine: ``silent`` or ``busy``.
    answered_at : dict of str to float
        Time of the last answer to each machine.
    """

    def __init__(self) -> None:
        self.revision = 100
        self.items: dict[str, tuple[bytes, int, int]] = {}
        self.history: list[tuple[int, str, bytes | None, int]] = []
        self.changed = asyncio.Event()
        self.ports: dict[str, int] = {}
        self.gates: dict[str, str] = {}
        self.answered_at: dict[str, float] = {}
        self.servers: list[asyncio.Server] = []

    async def open_port(self, machine: str) -> int:
        """Open a port for a machine and return its number."""
        server = await asyncio.start_server(
            lambda reader, writer: self.serve(machine, reader, writer), "127.0.0.1", 0
        )
        self.servers.append(server)
        return server.sockets[0].getsockname()[1]

    def put(self, key: str, content: object) -> int:
        """Write an item; the result is its revision, as in an acknowledgement."""
        value = content if isinstance(content, bytes) else msgpack.packb(content)
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created)
        self.history.append((self.revision, key, value, created))
        self.notify()
        return self.revision

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.history.append((self.revision, key, None, 0))
        self.notify()

    def notify(self) -> None:
        """Wake the watches that wait."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(
        self, machine: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection of a machine."""
        try:
            while (message := await read_message(reader)) is not None:
                gate = self.gates.get(machine)
                if gate == "silent":
                    await asyncio.sleep(3600)
                if gate == "busy":
                    writer.write(encode_answer("503 Busy", {}, b""))
                    continue
                status, body = await self.answer(machine, message)
                if self.gates.get(machine) == "silent":
                    await asyncio.sleep(3600)
                headers = {"Content-Type": "application/msgpack"}
                await asyncio.sleep(0.004)
                writer.write(encode_answer(status, headers, msgpack.packb(body)))
                self.answered_at[machine] = time.monotonic()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, machine: str, message: Message) -> tuple[str, object]:
        """Return the status and the body of the answer to a call."""
        url = urlsplit(message.words[1])
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/v1/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(
                key for key in self.items if key.startswith(prefix) and key > after
            )
            page = [self.describe(key) for key in keys[:500]]
            return "200 OK", {
                "items": page,
                "has_more": len(keys) > 500,
                "store_revision": self.revision,
            }
        if url.path == "/v1/kv-watch":
            after = int(query["after"])
            ends_at = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
            while True:
                events = self.list_events(query.get("prefix", ""), after)
                left_s = ends_at - time.monotonic()
                if events or left_s <= 0:
                    break
                with suppress(TimeoutError):
                    async with asyncio.timeout(left_s):
                        await self.changed.wait()
            return "200 OK", {"events": events, "store_revision": self.revision}
        key = query.get("key", "")
        if key not in self.items:
            return "404 Not Found", {"store_revision": self.revision}
        return "200 OK", self.describe(key) | {"store_revision": self.revision}

    def describe(self, key: str) -> dict[str, object]:
        """Return an item as it is sent."""
        value, revision, created = self.items[key]
        return {
            "key": key,
            "value": b64encode(value).decode(),
            "revision": revision,
            "created": created,
            "lease": 0,
        }

    def list_events(self, prefix: str, after: int) -> list[dict[str, object]]:
        """Return the changes after a revision."""
        events = []
        for revision, key, value, created in self.history:
            if revision <= after or not key.startswith(prefix):
                continue
            if value is None:
                events.append({"key": key, "revision": revision, "tombstone": True})
            else:
                events.append(
                    {
                        "key": key,
                        "value": b64encode(value).decode(),
                        "revision": revision,
                        "created": created,
                        "lease": 0,
                    }
                )
        return events

    def put_config(self, version: int, routes: list[dict], services: list[str]) -> int:
        """Write a version of the configuration."""
        columns = list(routes[0])
        return self.put(
            "op/config",
            {
                "version": version,
                "routes": {
                    "columns": columns,
                    "rows": [[route[name] for name in columns] for route in routes],
                },
                "services": {
                    "columns": [
                        "name",
                        "health_path",
                        "max_connections",
                        "protocol",
                        "tls",
                    ],
                    "rows": [[name, "/health", 110, "h1", False] for name in services],
                },
                "limits": {
                    "max_header_bytes": 16384,
                    "max_body_bytes": 67108864,
                    "header_timeout": 3000,
                    "idle_timeout": 15000,
                },
            },
        )


@dataclass(slots=True, kw_only=True)
class Run:
    """Run of a request at an upstream."""

    at: float
    upstream_id: str
    service: str
    request_id: str
    method: str
    target: str
    caller: str
    body: bytes
    outcome: str = "running"
    ended_at: float = float("inf")


@dataclass(kw_only=True)
class Upstream:
    """Upstream that keeps the protocol.

    Parameters
    ----------
    mesh : Mesh
        Deployment that it belongs to.
    upstream_id, service, zone, address : str
        Identifier, service, zone and IP address.
    port : int
        Port; 0 for a free one.
    slots : int
        Requests that it runs at once.
    work : callable or None
        Coroutine function that runs one request; None for 20 ms of work.
    """

    mesh: "Mesh"
    upstream_id: str
    service: str
    zone: str
    address: str
    port: int = 0
    slots: int = 12
    work: Callable[["Upstream", Message, Run], Awaitable[None]] | None = None
    state: str = "ready"
    sequence: int = 0
    born: int = 0
    is_registered: bool = False
    server: asyncio.Server | None = None
    beat: asyncio.Task | None = None
    writers: set = field(default_factory=set)
    tasks: set = field(default_factory=set)
    is_ended: bool = False

    async def start(self) -> None:
        """Accept connections and register."""
        self.is_ended = False
        self.server = await asyncio.start_server(self.serve, self.address, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.limit = asyncio.Semaphore(self.slots)
        self.register()
        self.beat = asyncio.create_task(self.renew())
        self.mesh.note(f"upstream {self.upstream_id} ({self.service}) starts")

    def register(self) -> None:
        """Write the entry."""
        self.sequence += 1
        self.mesh.store.put(f"servers/{self.upstream_id}", self.make_entry())

    def make_entry(self) -> dict[str, object]:
        """Return the entry with the present sequence."""
        return {
            "address": f"{self.address}:{self.port}",
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": self.sequence,
                "cold_remaining": 0,
            },
        }

    async def renew(self) -> None:
        """Renew the entry with each heartbeat."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.register()

    async def crash(self) -> None:
        """End without notice: all connections break, the entry expires later."""
        self.mesh.note(f"upstream {self.upstream_id} crashes")
        self.stop_serving()
        asyncio.get_running_loop().call_later(
            EXPIRY_S, self.mesh.store.remove, f"servers/{self.upstream_id}"
        )

    def stop_serving(self) -> None:
        """Break all connections and stop to listen."""
        self.is_ended = True
        if self.beat is not None:
            self.beat.cancel()
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                await self.handle(message, reader, writer)
        except (ConnectionError, asyncio.CancelledError, asyncio.IncompleteReadError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    async def handle(
        self,
        message: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer one request: run it, or reject it."""
        method, target, _ = message.words
        request_id = message.headers.get("attempt-id", "")
        echo = {"Attempt-Id": request_id} if request_id else {}
        if target == "/health":
            writer.write(
                encode_answer("200 OK", {"Instance-Id": self.upstream_id}, b"")
            )
            return
        expected = message.headers.get("expect-instance")
        if expected not in (None, self.upstream_id):
            self.mesh.note(
                f"{self.upstream_id} answers 421 to {request_id} for {expected}"
            )
            echo["Instance-Id"] = self.upstream_id
            writer.write(encode_answer("421 Misdirected Request", echo, b""))
            return
        if not request_id:
            writer.write(encode_answer("400 Bad Request", {"Not-Executed": "1"}, b""))
            return
        async with self.limit:
            run = Run(
                at=time.monotonic(),
                upstream_id=self.upstream_id,
                service=self.service,
                request_id=request_id,
                method=method,
                target=target,
                caller=message.headers.get("caller-service", ""),
                body=message.body,
            )
            self.mesh.runs.append(run)
            await self.run(message, run, reader, writer)

    async def run(
        self,
        message: Message,
        run: Run,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run a request; it is dropped when its connection closes."""
        if self.work is None:
            work = asyncio.create_task(asyncio.sleep(0.02))
        else:
            work = asyncio.create_task(self.work(self, message, run))
        closed = asyncio.create_task(wait_closed(reader))
        try:
            await asyncio.wait((work, closed), return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                run.outcome = "dropped"
                raise ConnectionResetError
            run.outcome = "done"
            body = make_body(self.upstream_id, run.request_id, run.target)
            headers = {"Attempt-Id": run.request_id, "Response-Seal": make_seal(body)}
            writer.write(encode_answer("200 OK", headers, body))
        finally:
            run.ended_at = time.monotonic()
            work.cancel()
            closed.cancel()


async def wait_closed(reader: asyncio.StreamReader) -> None:
    """Return when the other end has closed a connection on which it sends nothing."""
    while not reader.at_eof() and reader.exception() is None:  # noqa: ASYNC110
        await asyncio.sleep(0.002)


def make_body(upstream_id: str, request_id: str, target: str) -> bytes:
    return f"{upstream_id} {request_id} {target}".encode()


def make_seal(body: bytes) -> str:
    return hashlib.sha256(body).hexdigest()[:16]


@dataclass(slots=True, kw_only=True)
class Answer:
    """What a client got for one request."""

    request_id: str
    target: str
    sent_at: float
    status: int | None
    headers: dict[str, str]
    body: bytes
    took_s: float
    error: str = ""


async def send(
    endpoint: tuple[str, int],
    method: str,
    host: str,
    target: str,
    *,
    remaining_ms: int,
    body: bytes = b"",
    request_id: str | None = None,
) -> Answer:
    """Send one request on a new connection and return its answer."""
    request_id = request_id or f"{random.getrandbits(64):016x}"
    sent_at = time.monotonic()
    status, headers, content, error = None, {}, b"", ""
    writer = None
    try:
        async with asyncio.timeout(remaining_ms / 1000 + 1.0):
            reader, writer = await asyncio.open_connection(*endpoint)
            head = (
                f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n"
                f"Attempt-Id: {request_id}\r\nDeadline-Remaining: {remaining_ms}\r\n"
            )
            if body or method in ("POST", "PUT"):
                head += f"Content-Length: {len(body)}\r\n"
            writer.write(head.encode() + b"\r\n" + body)
            message = await read_message(reader)
            if message is None:
                error = "closed"
            else:
                status = int(message.words[1])
                headers, content = message.headers, message.body
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as problem:
        error = repr(problem)
    finally:
        if writer is not None:
            writer.close()
    return Answer(
        request_id=request_id,
        target=target,
        sent_at=sent_at,
        status=status,
        headers=headers,
        body=content,
        took_s=time.monotonic() - sent_at,
        error=error,
    )


class Machine:
    """Machine with one sidecar process beside an upstream."""

    def __init__(self, *, mesh: "Mesh", name: str, address: str, zone: str) -> None:
        self.mesh = mesh
        self.name = name
        self.address = address
        self.zone = zone
        self.service = ""
        self.inbound: int | None = None
        self.process: asyncio.subprocess.Process | None = None
        self.n_starts = 0

    @property
    def outbound(self) -> tuple[str, int]:
        return (self.address, self.mesh.ports["outbound"])

    @property
    def settings_path(self) -> Path:
        return self.mesh.folder / f"{self.name}.conf"

    @property
    def log_path(self) -> Path:
        return self.mesh.folder / f"{self.name}.log"

    def write_settings(self, app: str, **changes: str) -> None:
        """Write the settings file for the upstream at `app`."""
        ports = self.mesh.ports
        inbound = self.inbound or ports["inbound"]
        fields = {
            "node_name": self.name,
            "ip": self.address,
            "zone": self.zone,
            "region": self.mesh.zones[self.zone],
            "bootstrap": "true" if self.mesh.is_first_start else "false",
            "listen_addrs.inbound": f"{self.address}:{inbound}",
            "listen_addrs.outbound": f"{self.address}:{ports['outbound']}",
            "listen_addrs.ready": f"{self.address}:{ports['ready']}",
            "port_range": f"{ports['inbound']},{ports['inbound']}",
            "app_addr": app,
            "service": self.service,
            "platform.address": f"127.0.0.1:{self.mesh.store.ports[self.name]}",
        }
        fields |= {f"zones.{zone}": region for zone, region in self.mesh.zones.items()}
        fields |= changes
        text = "".join(f"{name}={value}\n" for name, value in fields.items()) + SETTINGS
        self.settings_path.write_text(text)

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        words = role["sidecar"]["run"].split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["FOXTAILWAY_SETTINGS"] = str(self.settings_path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        self.n_starts += 1
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.mesh.processes.append(self.process)
        self.mesh.note(f"{self.name} starts")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.mesh.note(f"{self.name} gets {number.name}")
        with suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def wait_ready(self, timeout_s: float = 45.0) -> None:
        """Wait until the readiness check succeeds."""
        endpoint = (self.address, self.mesh.ports["ready"])
        async with asyncio.timeout(timeout_s):
            while not await self.is_ready(endpoint):  # noqa: ASYNC110
                await asyncio.sleep(0.05)

    async def is_ready(self, endpoint: tuple[str, int] | None = None) -> bool:
        endpoint = endpoint or (self.address, self.mesh.ports["ready"])
        answer = await send(endpoint, "GET", "x", "/v1/ready", remaining_ms=1000)
        return answer.status == 200

    def count_log(self, event: str) -> int:
        """Return how often the process has logged an event."""
        return self.log_path.read_text(errors="replace").count(f'"event": "{event}"')


class Link:
    """Proxy between one machine and another; holds all bytes while it is cut."""

    def __init__(self, *, target: tuple[str, int]) -> None:
        self.target = target
        self.passes = asyncio.Event()
        self.passes.set()
        self.server: asyncio.Server | None = None

    async def open(self, address: str, port: int) -> None:
        """Accept connections for the target."""
        self.server = await asyncio.start_server(self.serve, address, port)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Connect to the target and pass bytes in both directions."""
        try:
            await self.passes.wait()
            other_reader, other_writer = await asyncio.open_connection(*self.target)
            await asyncio.gather(
                self.forward(reader, other_writer), self.forward(other_reader, writer)
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass bytes in one direction, and the end of the connection."""
        try:
            while data := await reader.read(65_536):
                await self.passes.wait()
                writer.write(data)
                await writer.drain()
        finally:
            await self.passes.wait()
            writer.close()


class Mesh:
    """Small deployment: a store, upstreams, and a machine for each."""

    def __init__(self, *, zones: dict[str, str], record: Path) -> None:
        self.zones = zones
        self.store = Store()
        self.runs: list[Run] = []
        self.machines: dict[str, Machine] = {}
        self.upstreams: dict[str, Upstream] = {}
        self.processes: list[asyncio.subprocess.Process] = []
        self.started_at = time.monotonic()
        self.record = record.open("w")
        self.folder_owner = tempfile.TemporaryDirectory(prefix="mesh-")
        self.folder = Path(self.folder_owner.name)
        self.subnet = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        self.ports: dict[str, int] = {}
        self.is_first_start = True

    def note(self, text: str) -> None:
        """Write one line of the record."""
        self.record.write(f"{time.monotonic() - self.started_at:8.3f} {text}\n")
        self.record.flush()

    async def add(
        self,
        name: str,
        service: str,
        zone: str,
        *,
        has_other_inbound: bool = False,
        **fields: object,
    ) -> Upstream:
        """Add a machine and its upstream; start both."""
        address = f"{self.subnet}.{len(self.machines) + 10}"
        if not self.ports:
            names = ("inbound", "outbound", "ready", "other_inbound")
            self.ports = find_free_ports(address, names)
        machine = Machine(mesh=self, name=name, address=address, zone=zone)
        machine.service = service
        if has_other_inbound:
            machine.inbound = self.ports["other_inbound"]
        self.machines[name] = machine
        self.store.ports[name] = await self.store.open_port(name)
        upstream = Upstream(
            mesh=self,
            upstream_id=f"i-{name}",
            service=service,
            zone=zone,
            address=address,
            **fields,
        )
        self.upstreams[name] = upstream
        await upstream.start()
        machine.write_settings(f"{address}:{upstream.port}")
        await machine.start()
        return upstream

    async def wait_ready(self) -> None:
        """Wait until all processes are ready and know one another."""
        for machine in self.machines.values():
            await machine.wait_ready()
        self.is_first_start = False
        # All processes have to know all upstreams.
        await asyncio.sleep(3.0)

    def note_answer(self, answer: Answer) -> None:
        """Record what a client got."""
        said = answer.error or answer.status
        self.note(
            f"client {answer.request_id} {answer.target}: {said}"
            f" {answer.body[:60]!r} after {answer.took_s * 1000:.0f} ms"
        )

    def note_runs(self) -> None:
        """Record the runs of all requests."""
        for run in self.runs:
            self.note(
                f"run at {run.at - self.started_at:.3f} of {run.request_id}"
                f" {run.method} {run.target} at {run.upstream_id} ({run.service}),"
                f" caller {run.caller}: {run.outcome}"
            )

    async def close(self) -> None:
        """End all processes that were started."""
        for process in self.processes:
            if process.returncode is None:
                with suppress(ProcessLookupError):
                    process.kill()
        for process in self.processes:
            await process.wait()
        for upstream in self.upstreams.values():
            if not upstream.is_ended:
                upstream.stop_serving()
        for server in self.store.servers:
            server.close()
        if "KEEP_LOGS" in os.environ:
            for machine in self.machines.values():
                target = Path(os.environ["KEEP_LOGS"]) / machine.log_path.name
                target.write_bytes(machine.log_path.read_bytes())
        self.record.close()
        self.folder_owner.cleanup()


def find_free_ports(address: str, names: tuple[str, ...]) -> dict[str, int]:
    """Return ports that are free now."""
    sockets = [socket.create_server((address, 0)) for _ in names]
    ports = {
        name: sock.getsockname()[1] for name, sock in zip(names, sockets, strict=True)
    }
    for sock in sockets:
        sock.close()
    return ports


def main(
    play: Callable[[Mesh], Awaitable[list[str]]],
    *,
    zones: dict[str, str],
    folder: str,
    limit_s: float = 110.0,
) -> None:
    """Play a case and exit with 1 if it names broken rules, 0 if not, 2 on errors."""

    async def run() -> int:
        mesh = Mesh(zones=zones, record=Path(folder) / "record.txt")
        try:
            async with asyncio.timeout(limit_s):
                found = await play(mesh)
            mesh.note_runs()
            for line in found:
                mesh.note(f"BROKEN {line}")
                print(f"broken: {line}")
            if not found:
                mesh.note("HELD")
                print("held")
            return 1 if found else 0
        except Exception as error:
            mesh.note(f"ERROR {error!r}")
            print(f"error: {error!r}")
            return 2
        finally:
            await mesh.close()

    if not re.fullmatch(r"3\.1[1-9]", f"{sys.version_info[0]}.{sys.version_info[1]}"):
        sys.exit(2)
    sys.exit(asyncio.run(run()))
