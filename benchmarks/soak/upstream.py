"""Stand-in of an upstream, as a process that writes down what it runs.

``POST /soak/mode?name=NAME&share=0.3`` on the control port makes a share of the
requests fail in one way, ``POST /soak/drain`` announces that the upstream leaves and
lets it end, ``POST /soak/cold`` makes it cold again.
"""

import asyncio
import hashlib
import json
import os
import time
from argparse import ArgumentParser
from collections import deque
from contextlib import suppress
from pathlib import Path
from random import Random
from urllib.parse import parse_qs, urlsplit

from benchmarks.soak.deployment import (
    COLD_BOUND,
    COLD_START_S,
    DRAIN_S,
    HEALTH_PATH,
    PORTS,
    UPSTREAM_PREFIX,
    SoakHost,
    make_entry,
)
from benchmarks.soak.http import Message, ProtocolError, call, encode, read_message

__all__ = ["MODES", "SoakUpstream", "compute_seal", "main"]

N_SLOTS = 4
# Requests that wait for a slot; the node beside the upstream sends none beyond those.
MAX_WAITING = 4
# Mean of the run times, in seconds.
MEAN_RUN_TIME_S = 0.02
# Size of the response bodies, in bytes.
MAX_BODY_SIZE = 20_000
# Interval at which the registry entry is renewed, in seconds.
BEAT_INTERVAL_S = 0.5
# Time for which an upstream serves after it has announced that it leaves, in seconds.
LEAVING_S = DRAIN_S + 0.5
# Ways in which requests fail, by name.
MODES = (
    "lost-answer",
    "cut-answer",
    "copy",
    "late-copy",
    "repeated-refusal",
    "shed",
    "slow",
    "error",
)
# Factor of the run time of slow requests, and of those at a cold upstream.
SLOW_FACTOR = 10.0
COLD_FACTOR = 2.0
# Requests in a second at which a cold upstream crashes, well above the bound.
CRASH_COUNT = 1.5 * COLD_BOUND
CRASH_STATUS = 3


def compute_seal(body: bytes) -> str:
    """Return the signature of a response body."""
    return hashlib.sha256(body).hexdigest()[:16]


class SoakUpstream:
    """Upstream on one host.

    Parameters
    ----------
    host : SoakHost
        Host of the upstream.
    upstream_id : str
        Identifier of this incarnation.
    store : str
        Address of the store.
    log_path : Path
        File to which arrivals and runs are appended, one JSON object a line.
    random_source : Random
        Source of run times and failures.
    """

    def __init__(
        self,
        *,
        host: SoakHost,
        upstream_id: str,
        store: str,
        log_path: Path,
        random_source: Random,
    ) -> None:
        self.host = host
        self.upstream_id = upstream_id
        self.store = store
        self.log_file = log_path.open("a", buffering=1)
        self.random_source = random_source
        self.slots = asyncio.Semaphore(N_SLOTS)
        self.n_waiting = 0
        self.state = "ready"
        self.start_time_ms = int(time.time() * 1000)
        self.sequence = 0
        self.mode = ""
        self.mode_share = 0.0
        self.warm_at = time.monotonic() + COLD_START_S
        self.cold_arrivals: deque[float] = deque()

    async def run(self) -> None:
        """Serve until the upstream has left."""
        server = await asyncio.start_server(
            self.serve, self.host.outer, PORTS.upstream, limit=1_000_000
        )
        control = await asyncio.start_server(
            self.serve_control, self.host.outer, PORTS.control
        )
        async with server, control:
            while self.state == "ready":
                await self.write_entry("put" if self.cold_remaining_s else "beat")
                await asyncio.sleep(BEAT_INTERVAL_S)
            await self.write_entry("put")
            ends_at = time.monotonic() + LEAVING_S
            while time.monotonic() < ends_at:
                await asyncio.sleep(BEAT_INTERVAL_S)
                await self.write_entry("beat")
            await self.write_entry("remove")

    @property
    def cold_remaining_s(self) -> float:
        """Time for which the upstream is still cold, in seconds."""
        return max(0.0, self.warm_at - time.monotonic())

    async def write_entry(self, command: str) -> None:
        """Write, renew or remove the registry entry; a store that fails is ignored."""
        self.sequence += 1
        entry = make_entry(
            self.host,
            state=self.state,
            n_slots=N_SLOTS,
            start_time_ms=self.start_time_ms,
            sequence=self.sequence,
            cold_remaining_ms=int(self.cold_remaining_s * 1000),
        )
        target = f"/soak/{command}?key={UPSTREAM_PREFIX}{self.upstream_id}"
        with suppress(OSError, TimeoutError, ProtocolError):
            await call(self.store, PORTS.store, target, entry)

    def log(self, event: str, request: Message) -> None:
        """Append one event of a request to the log."""
        line = {
            "event": event,
            "at": time.monotonic(),
            "upstream": self.upstream_id,
            "host": self.host.index,
            "service": self.host.service,
            "id": request.find("attempt-id"),
            "path": request.start_line[1],
            "zone": self.host.zone,
            "is_cold": self.cold_remaining_s > 0 and not self.is_misdirected(request),
        }
        self.log_file.write(json.dumps(line) + "\n")

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection, one after the other."""
        refusals: list[bytes] = []
        previous = b""
        try:
            while True:
                request = await read_message(reader)
                if request.start_line[1] == HEALTH_PATH:
                    remaining_ms = int(self.cold_remaining_s * 1000)
                    headers = {"Cold-Remaining": str(remaining_ms)}
                    writer.write(encode("HTTP/1.1 200 OK", headers))
                    await writer.drain()
                    continue
                self.log("arrival", request)
                if not self.is_misdirected(request):
                    self.crash_if_overloaded()
                answer = await self.answer(request, refusals)
                if answer is None:
                    break
                if self.is_failing("late-copy"):
                    writer.write(previous)
                    await writer.drain()
                writer.write(answer)
                await writer.drain()
                previous = answer
        except (ProtocolError, OSError):
            pass
        finally:
            writer.close()

    def is_misdirected(self, request: Message) -> bool:
        """Return whether a request is for another upstream."""
        return request.find("expect-instance") not in ("", self.upstream_id)

    def crash_if_overloaded(self) -> None:
        """End the process if it is cold and gets far more than it may."""
        now = time.monotonic()
        if now >= self.warm_at:
            return
        self.cold_arrivals.append(now)
        while self.cold_arrivals[0] <= now - 1:
            self.cold_arrivals.popleft()
        if len(self.cold_arrivals) > CRASH_COUNT:
            os._exit(CRASH_STATUS)

    async def answer(self, request: Message, refusals: list[bytes]) -> bytes | None:
        """Return the bytes that answer a request; None to close the connection."""
        if self.is_misdirected(request):
            headers = {"Instance-Id": self.upstream_id}
            return self.encode(request, "421 Misdirected Request", headers)
        is_full = self.slots.locked() and self.n_waiting >= MAX_WAITING
        if is_full or self.is_failing("shed"):
            refusal = self.encode(request, "503 Full", {"Not-Executed": "1"})
            refusals.append(refusal)
            return refusal
        deadline = time.monotonic() + int(request.find("deadline-remaining")) / 1000
        self.n_waiting += 1
        try:
            async with asyncio.timeout(deadline - time.monotonic()):
                await self.slots.acquire()
        except TimeoutError:
            return self.encode(request, "503 Late", {"Not-Executed": "1"})
        finally:
            self.n_waiting -= 1
        try:
            return await self.run_request(request, deadline, refusals)
        finally:
            self.slots.release()

    async def run_request(
        self, request: Message, deadline: float, refusals: list[bytes]
    ) -> bytes | None:
        """Run a request in a slot and return the bytes that answer it."""
        self.log("run", request)
        run_time_s = self.random_source.expovariate(1 / MEAN_RUN_TIME_S)
        if self.is_failing("slow"):
            run_time_s *= SLOW_FACTOR
        if self.cold_remaining_s:
            run_time_s *= COLD_FACTOR
        remaining_s = deadline - time.monotonic()
        await asyncio.sleep(max(0.0, min(run_time_s, remaining_s)))
        if run_time_s > remaining_s:
            return self.encode(request, "504 Deadline", {})
        if self.is_failing("lost-answer"):
            return None
        if self.is_failing("error"):
            return self.encode(request, "500 Error", {})
        text = f"{request.find('attempt-id')} {request.start_line[1]} "
        body = (text * self.random_source.randint(1, 200)).encode()[:MAX_BODY_SIZE]
        answer = self.encode(request, "200 OK", {}, body)
        if self.is_failing("cut-answer"):
            return answer[: self.random_source.randint(1, len(answer) - 1)]
        if self.is_failing("copy"):
            return answer + answer
        if refusals and self.is_failing("repeated-refusal"):
            return refusals[-1] + answer
        return answer

    def encode(
        self, request: Message, status: str, headers: dict[str, str], body: bytes = b""
    ) -> bytes:
        """Return a response; a success has a signature."""
        headers = {"Attempt-Id": request.find("attempt-id"), **headers}
        if status.startswith("2"):
            headers["Response-Seal"] = compute_seal(body)
        return encode(f"HTTP/1.1 {status}", headers, body)

    def is_failing(self, mode: str) -> bool:
        """Return whether a request fails in a way that may be switched on."""
        return mode == self.mode and self.random_source.random() < self.mode_share

    async def serve_control(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Carry out one command."""
        with suppress(ProtocolError, OSError):
            request = await read_message(reader)
            parts = urlsplit(request.start_line[1])
            query = {name: values[0] for name, values in parse_qs(parts.query).items()}
            if parts.path == "/soak/drain":
                self.state = "draining"
                await self.write_entry("put")
            elif parts.path == "/soak/cold":
                self.warm_at = time.monotonic() + COLD_START_S
                await self.write_entry("put")
            else:
                self.mode = query.get("name", "")
                self.mode_share = float(query.get("share", "0"))
            writer.write(encode("HTTP/1.1 200 OK", {}))
            await writer.drain()
        writer.close()


def main() -> None:
    """Run the upstream as a process."""
    parser = ArgumentParser(description=__doc__.splitlines()[0])
    for name in ("zone", "service", "inner", "outer", "upstream-id", "store"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--index", type=int, required=True)
    parser.add_argument("--log", type=Path, required=True)
    parser.add_argument("--seed", type=int, required=True)
    options = parser.parse_args()
    host = SoakHost(
        index=options.index,
        zone=options.zone,
        service=options.service,
        inner=options.inner,
        outer=options.outer,
    )

    async def serve() -> None:
        upstream = SoakUpstream(
            host=host,
            upstream_id=options.upstream_id,
            store=options.store,
            log_path=options.log,
            random_source=Random(options.seed),
        )
        await upstream.run()

    asyncio.run(serve())


if __name__ == "__main__":
    main()
