"""A request that crashes upstreams goes on to reach them in one zone after another."""

import asyncio
import itertools

from world import Client, Upstream, run_script

ZONES = {
    "accra-a": "accra",
    "accra-b": "accra",
    "accra-c": "accra",
    "kumasi-a": "kumasi",
    "kumasi-b": "kumasi",
    "kumasi-c": "kumasi",
}
PAYMENT = {
    "host": "till.example",
    "prefix": "/pay/",
    "route_type": "unsafe",
    "service": "pond-till",
    "timeout": 1200,
    "target_latency": 500,
    "max_attempts": 2,
}
BROWSE = PAYMENT | {
    "host": "list.example",
    "prefix": "/browse/",
    "route_type": "safe",
    "service": "slot-catalogue",
}
CRASH_TARGET = "/pay/crash"
# Time after which a crashed upstream is back ("after some seconds").
BACK_S = 3.0
# Time after which an entry without heartbeats is removed (three heartbeats).
LAPSE_S = 4.5
# Interval at which the request comes again, each time at another machine.
REPEAT_S = 3.0
N_REPEATS = 24
STABILITY_S = 3.0
RATE = 20.0


async def play(world, with_trouble):
    """Send the crashing request again and again at the machines in turn."""
    for index, zone in enumerate(ZONES):
        for offset, service in ((11, "pond-till"), (21, "slot-catalogue")):
            await world.add_machine(
                f"{service}-{zone}",
                number=index + offset,
                service=service,
                zone=zone,
                work_s=0.05,
            )
    crashes = []

    async def crash(upstream, request):
        """End an upstream, and start it again some seconds later under a new id."""
        name = next(key for key, item in world.upstreams.items() if item is upstream)
        crashes.append(request.at)
        world.note("crashes", request)
        await upstream.stop()
        await asyncio.sleep(BACK_S)
        fresh = Upstream(
            world,
            upstream_id=f"{upstream.upstream_id}x",
            service=upstream.service,
            endpoint=upstream.endpoint,
            zone=upstream.zone,
            work_s=upstream.work_s,
        )
        await fresh.start()
        fresh.crashes = lambda request: asyncio.create_task(crash(fresh, request))
        fresh.register()
        world.upstreams[name] = fresh
        world.log(f"{name} is back as {fresh.upstream_id}")
        await asyncio.sleep(LAPSE_S - BACK_S)
        upstream.unregister()

    for upstream in world.upstreams.values():
        upstream.crashes = lambda request, upstream=upstream: asyncio.create_task(
            crash(upstream, request)
        )
    world.configure(7, [PAYMENT, BROWSE])
    await world.start_all()
    clients = [f"slot-catalogue-{zone}" for zone in ZONES]
    names = itertools.cycle(clients)
    idle = {name: [] for name in clients}
    tasks = set()

    async def ask(name, method, target, host):
        client = idle[name].pop() if idle[name] else Client(world, world.sidecars[name])
        result = await client.request(method, target, host=host, deadline_s=1.2)
        idle[name].append(client)
        return result

    async def load():
        for name in names:
            for arguments in (
                (name, "PUT", "/pay/1", "till.example"),
                (name, "GET", "/browse/1", "list.example"),
            ):
                task = asyncio.create_task(ask(*arguments))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            await asyncio.sleep(1 / RATE)

    loader = asyncio.create_task(load())
    await asyncio.sleep(2.0)
    target = CRASH_TARGET if with_trouble else "/pay/2"
    for name in itertools.islice(itertools.cycle(clients), N_REPEATS):
        await ask(name, "PUT", target, "till.example")
        await asyncio.sleep(REPEAT_S)
    loader.cancel()
    await asyncio.sleep(1.0)
    late = []
    if len(crashes) >= 3:
        late = [at for at in crashes if at > crashes[2] + STABILITY_S]
    print(f"{len(crashes)} upstreams crashed, {len(late)} of them in late retries")
    if len(late) > 3:
        return [
            f"BUDGET: the request reached upstreams in {len(late)} retries later than "
            f"{STABILITY_S} s after it had crashed the third, and crashed them"
        ]
    return []


run_script(play, zones=ZONES)
