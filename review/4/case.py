"""After one cut watch, an upstream that has left still gets new work."""

import asyncio
import itertools
import signal

from world import Client, run_script

ZONES = {"accra-a": "accra", "accra-b": "accra"}
PAYMENT = {
    "host": "till.example",
    "prefix": "/pay/",
    "route_type": "unsafe",
    "service": "pond-till",
    "timeout": 1200,
    "target_latency": 500,
    "max_attempts": 2,
}
RATE = 150.0
DRAIN_S = 2.0
# Time that the upstream serves beyond `drain` ("a little longer"), in seconds.
LONGER_S = 0.25
# Time between the cut of the watch and the removal of the entry, in seconds.
REMOVED_AFTER_S = 1.0


async def play(world, with_trouble):
    """Cut the reader's watch once, then take an upstream away as planned."""
    for number in range(11, 15):
        await world.add_machine(
            f"till-{number - 10}",
            number=number,
            service="pond-till",
            zone="accra-a" if number % 2 else "accra-b",
            work_s=0.15,
        )
    world.configure(7, [PAYMENT])
    await world.start_all()
    names = itertools.cycle(world.sidecars)
    idle = {name: [] for name in world.sidecars}
    tasks = set()
    answers = {}

    async def pay():
        name = next(names)
        client = idle[name].pop() if idle[name] else Client(world, world.sidecars[name])
        attempt_id, status = await client.request(
            "PUT", "/pay/1", host="till.example", deadline_s=1.2
        )
        answers[attempt_id] = (name, status)
        idle[name].append(client)

    async def load():
        while True:
            task = asyncio.create_task(pay())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(1 / RATE)

    loader = asyncio.create_task(load())
    await asyncio.sleep(4.0)
    while not world.store.watching:  # noqa: ASYNC110 (no event)
        await asyncio.sleep(0.01)
    reader = next(iter(world.store.watching))
    leaving = next(name for name in world.sidecars if name != reader)
    if with_trouble:
        world.log(f"the store cuts the waiting watch of {reader}")
        world.store.reset_connections(reader)
    await asyncio.sleep(REMOVED_AFTER_S)
    upstream = world.upstreams[leaving]
    removed_at = upstream.unregister()
    world.log(f"the entry of {upstream.upstream_id} is removed, acknowledged")
    await asyncio.sleep(DRAIN_S + LONGER_S)
    await upstream.stop()
    world.log(f"{upstream.upstream_id} has ended")
    world.sidecars[leaving].signal(signal.SIGTERM)
    await asyncio.sleep(2.0)
    loader.cancel()
    await asyncio.sleep(1.5)
    late = []
    for request in upstream.received:
        after_s = request.at - removed_at
        name, status = answers.get(request.attempt_id, (reader, "none"))
        if after_s > DRAIN_S and name != reader:
            late.append((after_s, request.attempt_id, name, status))
    last_s = max(request.at for request in upstream.received) - removed_at
    print(f"the last request reached {leaving} {last_s:.2f} s after the removal")
    world.log(f"the last request reached {leaving} {last_s:.2f} s after the removal")
    for after_s, attempt_id, name, status in late:
        world.log(
            f"late by the rule: {attempt_id} from {name}, {after_s:.2f} s, {status}"
        )
    if late:
        n_lost = sum(status != 200 for *_, status in late)
        return [
            f"DRAIN: {len(late)} requests of machines in touch reached the upstream "
            f"later than {DRAIN_S} s after the acknowledged removal; "
            f"{n_lost} of them got no success"
        ]
    return []


run_script(play, zones=ZONES)
