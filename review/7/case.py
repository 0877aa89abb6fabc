"""A client that leaves as its answer comes ends the request of another client."""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins2"))

from mesh import Answer, Mesh, Message, Run, Upstream, is_trouble, main, send  # noqa: E402

ZONES = {"tln-a": "tallinn"}
LOOKUP = {
    "name": "r-lookup",
    "host": "lookup.example",
    "prefix": "/lookup/",
    "route_type": "safe",
    "timeout": 1000,
    "target_latency": 500,
    "priority": 2,
    "service": "ladu",
    "max_attempts": 2,
    "traffic_split": None,
}
RESERVE = LOOKUP | {
    "name": "r-reserve",
    "host": "reserve.example",
    "prefix": "/reserve/",
    "route_type": "unsafe",
}
SLOTS = 3
# Clients of a round that leave; a round has six, so that their share is one sixth.
N_LEAVING = 1
REMAINING_MS = 1000
# Time after SIGTERM in which the clients of the machine still use it: they stop after
# two failed readiness checks, one a second.
USED_S = 1.8
GRACE_S = 6.0


class Lookups:
    """Lookups whose upstream answers when their client has waited long enough."""

    def __init__(self) -> None:
        self.finished: dict[str, asyncio.Event] = {}

    def get(self, request_id: str) -> asyncio.Event:
        """Return the event that ends the work of a lookup."""
        return self.finished.setdefault(request_id, asyncio.Event())

    async def work(self, upstream: Upstream, message: Message, run: Run) -> None:
        """Work on a lookup until its event, on any other request for 30 ms."""
        if run.target.startswith("/lookup/"):
            async with asyncio.timeout(REMAINING_MS / 1000):
                await self.get(run.request_id).wait()
        else:
            await asyncio.sleep(0.03)


async def play_round(mesh: Mesh, lookups: Lookups, number: int) -> list[Answer]:
    """Fill the slots with lookups, queue reservations; return their answers."""
    endpoint = mesh.machines["ladu-1"].outbound
    request_ids, writers = [], []
    for index in range(SLOTS):
        request_id = f"{random.getrandbits(64):016x}"
        _, writer = await asyncio.open_connection(*endpoint)
        head = (
            f"GET /lookup/{number}-{index} HTTP/1.1\r\nHost: lookup.example\r\n"
            f"Attempt-Id: {request_id}\r\nDeadline-Remaining: {REMAINING_MS}\r\n\r\n"
        )
        writer.write(head.encode())
        request_ids.append(request_id)
        writers.append(writer)
    await asyncio.sleep(0.02)
    reservations = [
        asyncio.create_task(
            send(
                endpoint,
                "PUT",
                "reserve.example",
                f"/reserve/{number}-{index}",
                remaining_ms=REMAINING_MS,
                body=b"part",
            )
        )
        for index in range(SLOTS)
    ]
    await asyncio.sleep(0.02)
    for request_id, writer in zip(
        request_ids[:N_LEAVING], writers[:N_LEAVING], strict=True
    ):
        if is_trouble():
            writer.close()
        lookups.get(request_id).set()
    # The other lookups end a little later.
    await asyncio.sleep(0.02)
    for request_id in request_ids[N_LEAVING:]:
        lookups.get(request_id).set()
    answers = await asyncio.gather(*reservations)
    for writer in writers:
        writer.close()
    return answers


async def play(mesh: Mesh) -> list[str]:
    """Play the case and return what was broken."""
    lookups = Lookups()
    mesh.store.put_config(3, [LOOKUP, RESERVE], ["ladu"])
    await mesh.add("ladu-1", "ladu", "tln-a", slots=SLOTS, work=lookups.work)
    await mesh.wait_ready()
    machine = mesh.machines["ladu-1"]
    machine.signal(signal.SIGTERM)
    stopped_at = time.monotonic()
    answers: list[Answer] = []
    number = 0
    while time.monotonic() < stopped_at + USED_S:
        number += 1
        answers += await play_round(mesh, lookups, number)
    async with asyncio.timeout(GRACE_S):
        await machine.process.wait()
    mesh.note("the process has ended")
    for answer in answers:
        mesh.note_answer(answer)
    runs = {run.request_id: run for run in mesh.runs}
    n_served = sum(answer.status == 200 for answer in answers)
    mesh.note(f"{n_served} of {len(answers)} reservations were served")
    return [
        f"LOST: {answer.request_id} was at work at its upstream and was broken off;"
        f" its client got {answer.status or answer.error}"
        f" after {answer.took_s * 1000:.0f} of {REMAINING_MS} ms"
        for answer in answers
        if answer.status != 200
        and answer.request_id in runs
        and runs[answer.request_id].outcome == "dropped"
    ]


if __name__ == "__main__":
    main(play, zones=ZONES, folder=str(HERE))
