"""A late write of the store brings an upstream back that has left."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins2"))

from mesh import EXPIRY_S, Answer, Mesh, is_trouble, main, send  # noqa: E402

ZONES = {"tln-a": "tallinn"}
HOST = "reserve.example"
ROUTE = {
    "name": "r-reserve",
    "host": HOST,
    "prefix": "/reserve/",
    "route_type": "unsafe",
    "timeout": 800,
    "target_latency": 200,
    "priority": 0,
    "service": "ladu",
    "max_attempts": 2,
    "traffic_split": None,
}
# Bounds of the settings, `drain` and `stability`.
DRAIN_S = 2.0
STABILITY_S = 3.0
# Time after which a lost write is done; the variant allows 1 to 6 s.
LATE_S = 5.8
# Time from the end of the disruption to the leaving of the upstream.
LEAVES_AFTER_S = STABILITY_S + 0.2
# Time for which the upstream serves after its entry was removed.
SERVES_S = 8.0
RATE = 25


async def play(mesh: Mesh) -> list[str]:
    """Play the case and return what was broken."""
    mesh.store.put_config(3, [ROUTE], ["ladu", "valjakutse"])
    leaving = await mesh.add("ladu-1", "ladu", "tln-a")
    await mesh.add("ladu-2", "ladu", "tln-a")
    await mesh.add("ladu-3", "ladu", "tln-a")
    await mesh.add("valjakutse-1", "valjakutse", "tln-a")
    await mesh.wait_ready()
    key = f"servers/{leaving.upstream_id}"
    answers: list[asyncio.Task[Answer]] = []
    is_over = asyncio.Event()

    async def call() -> None:
        number = 0
        while not is_over.is_set():
            for entry in ("valjakutse-1", "ladu-2"):
                number += 1
                request = send(
                    mesh.machines[entry].outbound,
                    "PUT",
                    HOST,
                    f"/reserve/{number}",
                    remaining_ms=500,
                    body=b"part",
                )
                answers.append(asyncio.create_task(request))
            await asyncio.sleep(1 / RATE)

    calls = asyncio.create_task(call())
    await asyncio.sleep(1.0)
    # The last write of the disruption: it is not answered and done later. The writes
    # after it are answered.
    leaving.sequence += 1
    late_entry = leaving.make_entry()
    mesh.note(f"write of {key}, sequence {leaving.sequence}, is not answered")

    async def write_late() -> None:
        await asyncio.sleep(LATE_S)
        mesh.store.put(key, late_entry)
        mesh.note(f"late write of {key} is done")
        await asyncio.sleep(EXPIRY_S)
        mesh.store.remove(key)
        mesh.note(f"{key} has expired")

    late = asyncio.create_task(write_late()) if is_trouble() else None
    await asyncio.sleep(LEAVES_AFTER_S)
    leaving.beat.cancel()
    last_sequence = leaving.sequence
    mesh.store.remove(key)
    left_at = time.monotonic()
    mesh.note(f"{leaving.upstream_id} leaves after sequence {last_sequence}")
    await asyncio.sleep(SERVES_S)
    is_over.set()
    await calls
    for answer in await asyncio.gather(*answers):
        mesh.note_answer(answer)
    if late is not None:
        await late
    own = [run.at for run in mesh.runs if run.upstream_id == leaving.upstream_id]
    mesh.note(
        f"last run {max(own, default=left_at) - left_at:.3f} s after the"
        f" acknowledgement, {sum(at > left_at + DRAIN_S for at in own)} too late"
    )
    return [
        f"DRAIN: {run.request_id} reached {run.upstream_id}"
        f" {run.at - left_at:.3f} s after the acknowledgement that it is gone"
        for run in mesh.runs
        if run.upstream_id == leaving.upstream_id and run.at > left_at + DRAIN_S
    ]


if __name__ == "__main__":
    main(play, zones=ZONES, folder=str(HERE))
