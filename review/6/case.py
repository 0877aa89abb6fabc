"""An upstream ends and its address goes to another service during the grace time."""

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins2"))

from mesh import Mesh, Upstream, is_trouble, main, send  # noqa: E402

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
OTHER = ROUTE | {
    "name": "r-invoice",
    "host": "invoice.example",
    "prefix": "/invoice/",
    "service": "arveldus",
}
# Time after the end of the upstream at which the platform stops the node beside it.
SIGTERM_AFTER_S = 1.0
# Bound of the settings, `addr_reuse`.
ADDR_REUSE_S = 2.0
# Requests in a second at each of the two entries.
RATE = 40
LENGTH_S = 9.0


async def disrupt(mesh: Mesh, upstream: Upstream) -> None:
    """Replace an upstream by one of another service at the same address."""
    await asyncio.sleep(1.0)
    await upstream.crash()
    await asyncio.sleep(SIGTERM_AFTER_S)
    mesh.machines["ladu-1"].signal(signal.SIGTERM)
    await asyncio.sleep(ADDR_REUSE_S - SIGTERM_AFTER_S)
    reused = Upstream(
        mesh=mesh,
        upstream_id="i-arveldus-2",
        service="arveldus",
        zone=upstream.zone,
        address=upstream.address,
        port=upstream.port,
    )
    mesh.upstreams["arveldus-2"] = reused
    await reused.start()


async def play(mesh: Mesh) -> list[str]:
    """Play the case and return what was broken."""
    mesh.store.put_config(3, [ROUTE, OTHER], ["ladu", "arveldus", "valjakutse"])
    first = await mesh.add("ladu-1", "ladu", "tln-a")
    await mesh.add("ladu-2", "ladu", "tln-a")
    await mesh.add("ladu-3", "ladu", "tln-a")
    await mesh.add("arveldus-1", "arveldus", "tln-a")
    await mesh.add("valjakutse-1", "valjakutse", "tln-a")
    await mesh.wait_ready()
    entries = [mesh.machines[name].outbound for name in ("arveldus-1", "valjakutse-1")]
    trouble = asyncio.create_task(disrupt(mesh, first)) if is_trouble() else None
    tasks = []
    for number in range(int(LENGTH_S * RATE)):
        for entry in entries:
            tasks.append(
                asyncio.create_task(
                    send(
                        entry,
                        "PUT",
                        HOST,
                        f"/reserve/{number}",
                        remaining_ms=500,
                        body=b"part",
                    )
                )
            )
        await asyncio.sleep(1 / RATE)
    for answer in await asyncio.gather(*tasks):
        mesh.note_answer(answer)
    if trouble is not None:
        await trouble
    n_served = sum(run.service == "ladu" for run in mesh.runs)
    if n_served < LENGTH_S * RATE / 2:
        raise RuntimeError(f"only {n_served} requests ran at their service")
    return [
        f"ROUTE: {run.request_id} {run.target} of the route to ladu"
        f" ran at {run.upstream_id} of {run.service}"
        for run in mesh.runs
        if run.service != "ladu"
    ]


if __name__ == "__main__":
    main(play, zones=ZONES, folder=str(HERE))
