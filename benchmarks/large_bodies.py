"""Latency of short calls and peak memory while one large body is sent.

An entry and the sidecar of an upstream run in one process on two loopback addresses.
The upstream responds at once. Its sidecar admits bodies as for a link of the given
bandwidth; loopback itself is faster.
"""

import asyncio
import json
import time
import tracemalloc

from foxtailway.sidecar.call import CallRefusal, CallResult, UpstreamCall
from foxtailway.sidecar.node import SidecarNode
from foxtailway.sidecar.settings import Endpoint
from foxtailway.sidecar.tests.support import make_call, make_log
from foxtailway.sidecar.tests.test_end_to_end import NO_UPSTREAM, make_node
from foxtailway.traffic.tests.builders import make_upstream

__all__ = ["main"]

# Sizes of the large body; 0 measures the short calls alone.
BODY_SIZES_MIB = (0, 1, 8, 32)
# Bandwidth for which bodies are admitted.
LINK_MBPS = 1_000.0
# Interval between two short calls.
CALL_INTERVAL_S = 0.002
# Time for which short calls are measured without a large body.
BASELINE_S = 2.0
# Deadline of all calls.
DEADLINE_S = 30.0
# Time in which the closed connections end.
CLOSE_S = 0.1
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 4\r\n"


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Respond to each request after its body was read."""
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            fields = dict(
                line.split(b": ", 1) for line in head.lower().split(b"\r\n")[1:-2]
            )
            await reader.readexactly(int(fields.get(b"content-length", b"0")))
            request_id = b"X-Request-Id: " + fields[b"x-request-id"]
            writer.write(RESPONSE_HEAD + request_id + b"\r\n\r\ndone")
    except (asyncio.IncompleteReadError, ConnectionError):
        return
    finally:
        writer.close()


async def start_nodes(port: int) -> tuple[SidecarNode, SidecarNode]:
    """Return an entry and the sidecar of the upstream at a port, both started."""
    entry = make_node("127.0.0.1", make_log(), NO_UPSTREAM)
    node = make_node("127.0.0.2", make_log(), Endpoint(address="127.0.0.2", port=port))
    for item in (entry, node):
        await item.start()
        item.membership.put(make_upstream("u-1", address="127.0.0.2", n_slots=16))
    node.peer_listener.bodies.queue.link_mbps = LINK_MBPS
    entry.peers.port = node.peer_listener.server.sockets[0].getsockname()[1]
    return entry, node


def make_numbered_call(number: int, body: bytes = b"") -> UpstreamCall:
    """Return a call with an identifier of its own."""
    now = asyncio.get_running_loop().time()
    request_id = f"r-{number}"
    head = f"Host: a.example\r\nX-Request-Id: {request_id}\r\n".encode()
    return make_call(
        now,
        request_id=request_id,
        head=head,
        body=body,
        method="POST" if body else "GET",
        due_at=now + DEADLINE_S,
        deadline=now + DEADLINE_S,
    )


def check(result: CallResult) -> None:
    """Raise RuntimeError unless a call got a response."""
    if isinstance(result, CallRefusal):
        raise RuntimeError(f"call was not answered: {result}")


async def measure(size_mib: int) -> dict[str, float]:
    """Return latencies and peak memory beside one body of a size in MiB."""
    server = await asyncio.start_server(serve, "127.0.0.2", 0, limit=2**26)
    entry, node = await start_nodes(server.sockets[0].getsockname()[1])
    latencies_ms: list[float] = []
    body = bytes(size_mib * 2**20)
    check(await entry.peers.call("127.0.0.2", make_numbered_call(0)))
    tracemalloc.start()
    started_at = time.perf_counter()
    if body:
        transfer = asyncio.create_task(
            entry.peers.call("127.0.0.2", make_numbered_call(1, body))
        )
    else:
        transfer = asyncio.create_task(asyncio.sleep(BASELINE_S))
    number = 2
    while not transfer.done():
        sent_at = time.perf_counter()
        check(await entry.peers.call("127.0.0.2", make_numbered_call(number)))
        latencies_ms.append((time.perf_counter() - sent_at) * 1000)
        number += 1
        await asyncio.sleep(CALL_INTERVAL_S)
    if body:
        check(transfer.result())
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    for item in (entry, node):
        item.tick_timer.cancel()
        await item.exit_stack.aclose()
    server.close()
    await asyncio.sleep(CLOSE_S)
    latencies_ms.sort()
    return {
        "body_mib": size_mib,
        "n_short_calls": len(latencies_ms),
        "short_p50_ms": round(latencies_ms[len(latencies_ms) // 2], 2),
        "short_p99_ms": round(latencies_ms[int(len(latencies_ms) * 0.99)], 2),
        "transfer_s": round(time.perf_counter() - started_at, 2),
        "peak_mib": round(peak / 2**20, 1),
    }


def main() -> None:
    """Print one JSON object for each size."""
    for size_mib in BODY_SIZES_MIB:
        figures = asyncio.run(measure(size_mib))
        print(json.dumps({"benchmark": "large_bodies", **figures}))


if __name__ == "__main__":
    main()
