"""Stand-ins of the platform, the upstreams and the clients for the review scripts.

All of them run in the process of the script; the sidecars are separate processes,
started with the command of the deploy file. Every address is a loopback address.
"""

import asyncio
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from base64 import b64encode
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

import msgpack

__all__ = ["Client", "Request", "Sidecar", "Store", "Upstream", "World", "run_script"]

ROOT = Path(__file__).resolve().parents[2]
# Exit statuses of a script.
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Time that the store takes for an answer, in seconds ("4 ms an answer").
STORE_DELAY_S = 0.004
# Largest page of the store.
MAX_PAGE_ITEMS = 500
HEARTBEAT_MS = 1500
IDLE_CLOSE_S = 10


async def read_head(reader):
    """Return the start line and the headers (lower-case names), or None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


def format_endpoint(endpoint):
    """Return an endpoint as ``address:port``."""
    return f"{endpoint[0]}:{endpoint[1]}"


def read_command():
    """Return the words of the deploy file's command."""
    with open(ROOT / "deploy" / "system.toml", "rb") as stream:
        return tomllib.load(stream)["roles"]["sidecar"]["run"].split()


class Store:
    """The platform's store, as far as a sidecar reads it.

    Each sidecar gets a port of its own, so that single ones can be cut off.

    Parameters
    ----------
    world : World
        Supplies addresses and the record.
    """

    def __init__(self, world):
        self.world = world
        self.revision = 100
        self.items = {}
        self.events = []
        self.changed = asyncio.Event()
        self.cut = set()
        self.rate_limits = {}
        self.writers = {}
        self.watching = {}
        self.servers = []

    async def listen(self, name):
        """Open the port of one sidecar and return its endpoint."""

        async def serve(reader, writer):
            await self.serve(name, reader, writer)

        server = await asyncio.start_server(serve, self.world.address(250), 0)
        self.servers.append(server)
        return format_endpoint(server.sockets[0].getsockname()[:2])

    def put(self, key, document):
        """Write a key and return the revision; the answer is the acknowledgement."""
        self.revision += 1
        value = b64encode(msgpack.packb(document)).decode()
        created = self.items.get(key, {}).get("created", self.revision)
        item = {"key": key, "value": value, "revision": self.revision}
        self.items[key] = item | {"created": created, "lease": 0}
        self.publish(self.items[key])
        return self.revision

    def delete(self, key):
        """Remove a key and return the revision."""
        self.revision += 1
        self.items.pop(key, None)
        self.publish({"key": key, "revision": self.revision, "tombstone": True})
        return self.revision

    def publish(self, event):
        """Append an event and wake the watches."""
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def reset_connections(self, name):
        """Reset the open connections of one sidecar; new ones work."""
        for writer in list(self.writers.get(name, ())):
            reset(writer)

    async def serve(self, name, reader, writer):
        """Serve one connection of a sidecar."""
        writers = self.writers.setdefault(name, set())
        writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                parts = urlsplit(head[0].split(" ")[1])
                query = {key: value[0] for key, value in parse_qs(parts.query).items()}
                if name in self.cut:
                    await asyncio.Event().wait()
                is_watch = parts.path == "/v1/kv-watch"
                if is_watch:
                    self.watching[name] = time.monotonic()
                status, body = await self.answer(parts.path, query)
                if is_watch:
                    self.watching.pop(name, None)
                if name in self.cut:
                    await asyncio.Event().wait()
                data = msgpack.packb(body)
                start = f"HTTP/1.1 {status}\r\nContent-Type: application/msgpack\r\n"
                writer.write(f"{start}Content-Length: {len(data)}\r\n\r\n".encode())
                await self.send_body(name, writer, data)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.watching.pop(name, None)
            writers.discard(writer)
            writer.close()

    async def send_body(self, name, writer, data):
        """Write a body, on a narrow link in parts."""
        rate = self.rate_limits.get(name)
        if rate is None:
            writer.write(data)
            await writer.drain()
            return
        step = max(1, int(rate * 0.05))
        for start in range(0, len(data), step):
            writer.write(data[start : start + step])
            await writer.drain()
            await asyncio.sleep(0.05)

    async def answer(self, path, query):
        """Return the status and the body of a call."""
        await asyncio.sleep(STORE_DELAY_S)
        if path == "/v1/kv-range":
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query.get("prefix", ""))
                and key > query.get("after", "")
            )
            page = keys[:MAX_PAGE_ITEMS]
            return "200 OK", {
                "items": [self.items[key] for key in page],
                "has_more": len(keys) > len(page),
                "store_revision": self.revision,
            }
        if path == "/v1/kv-watch":
            return "200 OK", await self.watch(query)
        return "404 Not Found", {"store_revision": self.revision}

    async def watch(self, query):
        """Return the events after a revision as soon as there is one."""
        after = int(query["after"])
        ends_at = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [item for item in self.events if item["revision"] > after]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                continue


class Request:
    """A request as an upstream received it."""

    def __init__(self, *, line, headers, body, upstream):
        self.method, self.target, _ = line.split(" ")
        self.headers = headers
        self.body = body
        self.upstream = upstream
        self.attempt_id = headers.get("attempt-id", "")
        self.at = time.monotonic()


class Upstream:
    """One incarnation of an upstream that keeps the protocol.

    Parameters
    ----------
    world : World
        Supplies the record.
    upstream_id : str
        Its identifier.
    service : str
        Service that it belongs to.
    endpoint : tuple of str and int
        Address and port on which it listens.
    zone : str
        Availability zone.
    slots : int
        Requests that it runs at once.
    work_s : float
        Time that a request takes.
    """

    def __init__(
        self, world, *, upstream_id, service, endpoint, zone, slots=9, work_s=0.05
    ):
        self.world = world
        self.upstream_id = upstream_id
        self.service = service
        self.endpoint = endpoint
        self.zone = zone
        self.slots = asyncio.Semaphore(slots)
        self.n_slots = slots
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.received = []
        self.runs = []
        self.body = b"x" * 400
        self.loses_answer = lambda request: False
        self.crashes = None
        self.server = None
        self.writers = set()

    async def start(self):
        """Listen."""
        self.server = await asyncio.start_server(self.serve, *self.endpoint)

    def register(self):
        """Write the entry to the store and return the time of the acknowledgement."""
        self.sequence += 1
        self.world.store.put(
            f"servers/{self.upstream_id}",
            {
                "address": format_endpoint(self.endpoint),
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
                "born": self.born,
            },
        )
        return time.monotonic()

    def unregister(self):
        """Remove the entry and return the time of the acknowledgement."""
        self.world.store.delete(f"servers/{self.upstream_id}")
        return time.monotonic()

    async def serve(self, reader, writer):
        """Serve one connection, one request at a time."""
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                size = int(head[1].get("content-length", 0))
                body = await reader.readexactly(size)
                request = Request(
                    line=head[0], headers=head[1], body=body, upstream=self
                )
                self.received.append(request)
                if not await self.handle(request, writer):
                    # The answer is lost; nothing further comes on this connection.
                    await reader.read()
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, writer):
        """Run one request; return whether its answer was sent."""
        expected = request.headers.get("expect-instance")
        echo = f"Attempt-Id: {request.attempt_id}\r\n"
        if expected is not None and expected != self.upstream_id:
            self.world.note("misdirected", request, expected=expected)
            writer.write(
                f"HTTP/1.1 421 Misdirected Request\r\n{echo}"
                f"Instance-Id: {self.upstream_id}\r\nContent-Length: 0\r\n\r\n".encode()
            )
            return True
        if request.target == "/health":
            writer.write(
                f"HTTP/1.1 200 OK\r\nInstance-Id: {self.upstream_id}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return True
        async with self.slots:
            self.runs.append(request)
            self.world.note("runs", request)
            if self.crashes is not None and request.target.endswith("/crash"):
                self.crashes(request)
                return False
            await asyncio.sleep(self.work_s)
        if self.loses_answer(request):
            self.world.note("answer lost", request)
            return False
        writer.write(
            f"HTTP/1.1 200 OK\r\n{echo}Response-Seal: 3e1b.{request.attempt_id}\r\n"
            f"Keep-Alive: timeout={IDLE_CLOSE_S}\r\n"
            f"Content-Length: {len(self.body)}\r\n\r\n".encode()
            + self.body
        )
        await writer.drain()
        return True

    async def stop(self):
        """End: close the port and reset the connections."""
        self.server.close()
        for writer in list(self.writers):
            reset(writer)


def reset(writer):
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00"
        )
    writer.transport.abort()


class Client:
    """Client of one sidecar, with one kept connection.

    Parameters
    ----------
    world : World
        Supplies the record.
    sidecar : Sidecar
        Sidecar on the client's machine.
    """

    def __init__(self, world, sidecar):
        self.world = world
        self.sidecar = sidecar
        self.reader = self.writer = None
        self.n_sent = 0

    async def connect(self):
        """Open a new connection."""
        self.close()
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(*self.sidecar.outbound, limit=1 << 20), 1.0
        )
        self.n_sent = 0

    def close(self):
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def send(self, method, target, *, host, deadline_s, body=b""):
        """Send a request and return its attempt id."""
        if self.writer is None:
            await self.connect()
        attempt_id = f"{random.getrandbits(64):016x}"
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        self.writer.write(
            f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n"
            f"Attempt-Id: {attempt_id}\r\n"
            f"Deadline-Remaining: {int(deadline_s * 1000)}\r\n{length}\r\n".encode()
            + body
        )
        self.n_sent += 1
        return attempt_id

    async def read(self):
        """Return the status, headers and body of an answer."""
        head = await read_head(self.reader)
        if head is None:
            raise ConnectionError("closed without an answer")
        body = await self.reader.readexactly(int(head[1].get("content-length", 0)))
        if head[1].get("connection", "") == "close":
            self.close()
        return int(head[0].split(" ")[1]), head[1], body

    async def request(self, method, target, *, host, deadline_s, body=b""):
        """Send a request and wait for the answer until the deadline.

        Returns
        -------
        tuple
            Attempt id, and the status, or the reason why there is none.
        """
        attempt_id = ""
        try:
            async with asyncio.timeout(deadline_s):
                attempt_id = await self.send(
                    method, target, host=host, deadline_s=deadline_s, body=body
                )
                status, _, _ = await self.read()
        except TimeoutError:
            status = "gave up"
            self.close()
        except asyncio.IncompleteReadError:
            status = "cut"
            self.close()
        except (ConnectionError, OSError):
            status = "closed"
            self.close()
        self.world.log(
            f"answered {attempt_id} {method} {target} at {self.sidecar.name}: {status}"
        )
        return attempt_id, status


class Sidecar:
    """One sidecar as a separate process.

    Parameters
    ----------
    world : World
        Supplies addresses, settings and the record.
    name : str
        Name of the node.
    number : int
        Last part of its address.
    service : str
        Service of the upstream on its machine.
    zone : str
        Availability zone.
    store_endpoint : str
        Address and port of the store.
    settings : dict
        Changes of the settings.
    """

    def __init__(self, world, *, name, number, service, zone, store_endpoint, settings):
        self.world = world
        self.name = name
        self.address = world.address(number)
        self.outbound = (self.address, world.ports["outbound"])
        self.ready = (self.address, world.ports["ready"])
        self.app = (self.address, world.ports["app"])
        self.service = service
        self.zone = zone
        self.store_endpoint = store_endpoint
        self.settings = settings
        self.path = world.folder / f"{name}.conf"
        self.log_path = world.folder / f"{name}.log"
        self.process = None
        self.ended_at = None

    def write_settings(self, *, bootstrap):
        """Write the settings file as the platform does, in one step."""
        ports = self.world.ports
        fields = {
            "node_name": self.name,
            "role": "sidecar",
            "machine_class": "sidecar",
            "serves": "sidecar",
            "ip": self.address,
            "zone": self.zone,
            "region": self.world.zones[self.zone],
            **{f"zones.{zone}": name for zone, name in self.world.zones.items()},
            "listen_addrs.inbound": f"{self.address}:{ports['inbound']}",
            "listen_addrs.outbound": f"{self.address}:{ports['outbound']}",
            "listen_addrs.ready": f"{self.address}:{ports['ready']}",
            "port_range": "7620,7635",
            "seed_nodes": "",
            "bootstrap": "true" if bootstrap else "false",
            "limits.cpu_share": 0.86,
            "limits.cpu_cores": 1,
            "limits.memory_mb": 150,
            "limits.max_fds": 4100,
            "limits.link_mbps": 1000.0,
            "discovery": "platform",
            "entry": "static",
            "heartbeat": HEARTBEAT_MS,
            "contracts": "base,drain,config,cost,retry,recover,platform",
            "bounds.seed_lag": 3,
            "bounds.addr_reuse": 2,
            "bounds.stability": 3000,
            "bounds.ack": 4000,
            "bounds.catch_up": 4,
            "bounds.drain": 2000,
            "bounds.grace": 6,
            "bounds.loss_slack": 200,
            "bounds.config_apply": 2000,
            "bounds.rollback_slack": 250,
            "bounds.max_stretch": 5000,
            "bounds.retry_budget_ratio": 0.2,
            "bounds.retry_window": 10,
            "bounds.retry_budget_slack": 64,
            "bounds.recovery": 15,
            "app_addr": format_endpoint(self.app),
            "service": self.service,
            "platform.address": self.store_endpoint,
            "platform.form": "read",
            "platform.reads_per_s": 2000,
            "platform.history": 20,
            "platform.value_bytes": 1048576,
        } | self.settings
        text = "".join(f"{key}={value}\n" for key, value in fields.items())
        new_path = self.path.with_suffix(".new")
        new_path.write_text(text)
        new_path.replace(self.path)

    async def start(self, *, bootstrap=True):
        """Start the process with the command of the deploy file."""
        self.write_settings(bootstrap=bootstrap)
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["FOXTAILWAY_SETTINGS"] = str(self.path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log = os.open(self.log_path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        self.process = await asyncio.create_subprocess_exec(
            *read_command(), cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        os.close(log)
        self.world.processes.append(self.process)
        self.world.log(f"start {self.name} ({self.service}) at {self.address}")

    def signal(self, number):
        """Send a signal to the process."""
        self.world.log(f"signal {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def read_rss_mb(self):
        """Return the resident memory of the process in MB."""
        try:
            with open(f"/proc/{self.process.pid}/statm") as stream:
                pages = int(stream.read().split()[1])
        except (OSError, IndexError):
            return 0.0
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    async def is_ready(self):
        """Ask the node whether it is ready."""
        try:
            reader, writer = await asyncio.open_connection(*self.ready)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return head is not None and " 200 " in head[0] + " "


class World:
    """One small deployment on loopback addresses.

    Parameters
    ----------
    record_path : Path
        File to which everything is written.
    zones : dict of str to str
        Region of each zone.
    """

    def __init__(self, *, record_path, zones):
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = open(record_path, "w")
        self.zones = zones
        self.started_at = time.monotonic()
        self.subnet = (random.randrange(16, 250), random.randrange(1, 250))
        names = ("inbound", "outbound", "ready", "app")
        self.ports = dict(zip(names, self.find_ports(len(names)), strict=True))
        self.processes = []
        self.sidecars = {}
        self.upstreams = {}
        self.store = Store(self)

    def address(self, number):
        """Return a loopback address of this deployment."""
        return f"127.{self.subnet[0]}.{self.subnet[1]}.{number}"

    def find_ports(self, n_ports):
        """Return free ports."""
        sockets = [socket.create_server((self.address(1), 0)) for _ in range(n_ports)]
        ports = [item.getsockname()[1] for item in sockets]
        for item in sockets:
            item.close()
        return ports

    def log(self, text):
        """Write a line to the record."""
        at = time.monotonic() - self.started_at
        self.record.write(f"{at:8.3f} {text}\n")

    def note(self, event, request, **fields):
        """Write to the record what an upstream did with a request."""
        upstream = request.upstream
        extra = "".join(f" {key}={value}" for key, value in fields.items())
        self.log(
            f"{event} {request.attempt_id} {request.method} {request.target} at "
            f"{upstream.upstream_id} of {upstream.service}{extra}"
        )

    async def add_machine(
        self, name, *, number, service, zone, settings=None, **changes
    ):
        """Add a machine: an upstream and its sidecar, not yet started."""
        sidecar = Sidecar(
            self,
            name=name,
            number=number,
            service=service,
            zone=zone,
            store_endpoint=await self.store.listen(name),
            settings=settings or {},
        )
        upstream = Upstream(
            self,
            upstream_id=f"i-{name}",
            service=service,
            endpoint=sidecar.app,
            zone=zone,
            **changes,
        )
        await upstream.start()
        upstream.register()
        self.sidecars[name] = sidecar
        self.upstreams[name] = upstream
        return sidecar, upstream

    def configure(self, version, routes, *, n_idle_routes=0, limits=None):
        """Write the configuration and return the time of the acknowledgement.

        Parameters
        ----------
        version : int
            Version number.
        routes : list of dict
            Routes with `host`, `prefix`, `route_type`, `service` and times in ms.
        n_idle_routes : int, default=0
            Further routes without traffic.
        limits : dict or None, default=None
            Changes of the limits.
        """
        columns = [
            "name",
            "host",
            "prefix",
            "route_type",
            "timeout",
            "target_latency",
            "priority",
            "service",
            "max_attempts",
            "traffic_split",
        ]
        defaults = {"route_type": "safe", "priority": 1, "max_attempts": 2}
        defaults |= {"timeout": 1500, "target_latency": 600, "traffic_split": None}
        rows = []
        for index, route in enumerate(routes):
            fields = defaults | {"name": f"r-{index}"} | route
            rows.append([fields[name] for name in columns])
        for index in range(n_idle_routes):
            tail = f"{random.getrandbits(64):016x}"
            fields = defaults | routes[0]
            fields |= {"name": f"idle-{index}", "prefix": f"/{tail}/"}
            rows.append([fields[name] for name in columns])
        services = sorted({route["service"] for route in routes})
        names = ["name", "health_path", "max_connections", "protocol", "tls"]
        all_limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout": 3000,
            "idle_timeout": 20000,
        }
        self.store.put(
            "op/config",
            {
                "version": version,
                "routes": {"columns": columns, "rows": rows},
                "services": {
                    "columns": names,
                    "rows": [[name, "/health", 130, "h1", False] for name in services],
                },
                "limits": all_limits | (limits or {}),
            },
        )
        self.log(f"configuration r{version} acknowledged")
        return time.monotonic()

    async def start_all(self):
        """Start all sidecars and wait until they are ready and in touch."""
        for sidecar in self.sidecars.values():
            await sidecar.start()
        async with asyncio.timeout(15):
            for sidecar in self.sidecars.values():
                while not await sidecar.is_ready():  # noqa: ASYNC110 (no event)
                    await asyncio.sleep(0.1)
        await asyncio.sleep(3.0)
        self.log("all sidecars are ready")

    async def close(self):
        """End all processes that were started and close the record."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
        for process in self.processes:
            await process.wait()
        for path in self.folder.iterdir():
            path.unlink()
        self.folder.rmdir()
        self.record.close()


def run_script(play, *, zones, limit_s=115):
    """Play a case and exit with its status.

    Parameters
    ----------
    play : callable
        Called with the world and whether the disruption is played; returns a list of
        lines that describe what broke the rule.
    zones : dict of str to str
        Region of each zone.
    limit_s : float, default=115
        Time after which the case counts as not run, in seconds.
    """
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record_path = Path(sys.argv[0]).resolve().parent / "record.txt"

    async def run():
        world = World(record_path=record_path, zones=zones)
        try:
            async with asyncio.timeout(limit_s):
                broken = await play(world, with_trouble)
        except Exception as error:
            world.log(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            raise
        else:
            for line in broken or ["the rule held"]:
                world.log(line)
                print(line)
            return BROKEN if broken else HELD
        finally:
            await world.close()

    try:
        status = asyncio.run(run())
    except Exception:
        status = NOT_RUN
    sys.exit(status)
