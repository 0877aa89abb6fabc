"""A restarted sidecar uses an upstream that has left, after a late write."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))
from review.standins_3.mesh import (
    DRAIN_S,
    HOST,
    PORT_CLIENT,
    Mesh,
    Message,
    ProtocolError,
    Route,
    Sidecar,
    Upstream,
    encode,
    is_trouble,
    play,
    read_message,
)

STABILITY_S = 3.0
HEARTBEAT_S = 1.5
# Time after which a write that is not answered is done; the variant allows 1 to 6 s.
LATE_S = 5.9
# Time from the end of the disruption of the store to the leaving of the upstream.
LEAVES_AFTER_S = STABILITY_S + 0.05
# Time from the SIGTERM of the sidecar to that, and from its end to its next start.
STOPS_BEFORE_S = 1.9
RESTART_DELAY_S = 0.2
# Time for which the upstream goes on to serve after its entry was removed.
SERVES_S = 8.0
DEADLINE_MS = 500
PAUSE_S = 0.03
N_CLIENTS = 3


class Reservations(Upstream):
    """Upstream that books parts."""

    def run(self, request: Message) -> tuple[float, bytes]:
        """Return work time and body."""
        return 0.02, b"reserved " + request.headers["attempt-id"].encode()


class Clients:
    """Clients of one machine, which stop while it isn't ready."""

    def __init__(self, mesh: Mesh, sidecar: Sidecar) -> None:
        self.mesh = mesh
        self.sidecar = sidecar
        self.may_send = True
        self.sent_at: dict[str, float] = {}
        self.n_served = 0

    async def watch_readiness(self) -> None:
        """Take the machine out after two misses in a row, as the platform does."""
        n_misses = 0
        while True:
            n_misses = 0 if await self.sidecar.is_ready() else n_misses + 1
            self.may_send = n_misses < 2
            await asyncio.sleep(1.0)

    async def run(self, name: str) -> None:
        """Send one request after the other, each on a new connection."""
        number = 0
        while True:
            await asyncio.sleep(PAUSE_S)
            if not self.may_send:
                continue
            number += 1
            attempt_id = f"{name}-{number}"
            self.sent_at[attempt_id] = time.monotonic()
            status = await self.send(attempt_id)
            self.n_served += status == "200"
            self.mesh.record.write(f"answer {attempt_id}: {status}")

    async def send(self, attempt_id: str) -> str:
        """Send an unsafe request and return the status, or what ended it."""
        headers = {
            "Host": HOST,
            "Attempt-Id": attempt_id,
            "Deadline-Remaining": str(DEADLINE_MS),
        }
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + 0.3):
                reader, writer = await asyncio.open_connection(
                    self.sidecar.address, PORT_CLIENT
                )
                try:
                    request = f"PUT /reserve/{attempt_id} HTTP/1.1"
                    writer.write(encode(request, headers, b"part"))
                    return (await read_message(reader)).start[1]
                finally:
                    writer.close()
        except (OSError, ProtocolError, TimeoutError) as error:
            return type(error).__name__


async def restart(sidecar: Sidecar) -> float:
    """Stop a sidecar as planned and start it again; return when it was started."""
    sidecar.send_signal(signal.SIGTERM)
    await asyncio.to_thread(sidecar.process.wait)
    sidecar.mesh.record.write(f"{sidecar.name} has ended: {sidecar.exit_status}")
    await asyncio.sleep(RESTART_DELAY_S)
    sidecar.start()
    return time.monotonic()


async def write_late(mesh: Mesh, key: str, entry: dict) -> None:
    """Do a write late; its entry expires after three heartbeats without another."""
    await asyncio.sleep(LATE_S)
    mesh.store.put(key, entry)
    mesh.record.write(f"late write of {key}, sequence {entry['status']['sequence']}")
    await asyncio.sleep(3 * HEARTBEAT_S)
    mesh.store.remove(key)
    mesh.record.write(f"{key} has expired")


async def case() -> bool:
    """Play the case and return whether the rule held."""
    mesh = Mesh(str(Path(__file__).parent))
    try:
        sidecar = mesh.add(Reservations, "tln-a", "ladu")
        mesh.add(Reservations, "tln-a", "ladu")
        mesh.add(Reservations, "tln-a", "valjakutse")
        for service in ("ladu", "ladu", "valjakutse"):
            mesh.add(Reservations, "trt-a", service)
        route = Route(prefix="/reserve/", service="ladu", route_type="unsafe")
        await mesh.start([route])
        return await play_leaving(mesh, sidecar)
    finally:
        mesh.stop()


async def play_leaving(mesh: Mesh, sidecar: Sidecar) -> bool:
    """Let an upstream leave while its sidecar is restarted; judge what reached it."""
    leaving = sidecar.upstream
    key = f"servers/{leaving.upstream_id}"
    clients = Clients(mesh, sidecar)
    tasks = [asyncio.create_task(clients.run(f"c{n}")) for n in range(N_CLIENTS)]
    tasks.append(asyncio.create_task(clients.watch_readiness()))
    await asyncio.sleep(2.0)
    # The last write of the disruption of the store isn't answered, and is done late.
    # The next one, with the same content and a higher sequence, is answered.
    leaving.sequence += 1
    late_entry = leaving.make_entry()
    leaving.register()
    if is_trouble():
        tasks.append(asyncio.create_task(write_late(mesh, key, late_entry)))
    await asyncio.sleep(LEAVES_AFTER_S - STOPS_BEFORE_S)
    restarting = asyncio.create_task(restart(sidecar))
    await asyncio.sleep(STOPS_BEFORE_S)
    left_at = mesh.store.remove(key)
    mesh.record.write(f"{leaving.upstream_id} leaves")
    started_at = await restarting
    await asyncio.sleep(max(0.0, left_at + SERVES_S - time.monotonic()))
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    in_touch_at = started_at + STABILITY_S
    reached = [
        (at - left_at, request.headers["attempt-id"])
        for at, request in leaving.runs
        if at > left_at + DRAIN_S
    ]
    late = [
        (delay_s, attempt_id)
        for delay_s, attempt_id in reached
        if clients.sent_at[attempt_id] > in_touch_at
    ]
    for delay_s, attempt_id in late:
        mesh.record.write(
            f"DRAIN: {attempt_id} reached {leaving.upstream_id} {delay_s:.3f} s after "
            "the acknowledgement that it is gone, from a machine in touch"
        )
    mesh.record.finish(
        f"sent {len(clients.sent_at)}, served {clients.n_served}, started again "
        f"{started_at - left_at:+.2f} s after the acknowledgement, reached the "
        f"upstream later than `drain` {len(reached)}, from a machine in touch "
        f"{len(late)}, the last one {max(late, default=(0.0, ''))[0]:.2f} s after it"
    )
    if not clients.n_served:
        raise RuntimeError("no request was served")
    return not late


if __name__ == "__main__":
    play(case)
