"""Random walks of exchanges that share connections and slots."""

import asyncio
from dataclasses import dataclass
from random import Random
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

from foxtailway.common.clock import ManualClock
from foxtailway.routing.outcome import Outcome
from foxtailway.sidecar.call import CallRefusal, CallResult, UpstreamResponse
from foxtailway.sidecar.crash_guard import CrashGuard
from foxtailway.sidecar.http_connection import HttpConnection
from foxtailway.sidecar.tests.support import (
    NAMES,
    find_request_id,
    make_call,
    make_log,
    make_response,
)
from foxtailway.sidecar.upstream_pool import UpstreamPool
from foxtailway.sidecar.upstream_runner import UpstreamRunner
from foxtailway.traffic.membership import Membership
from foxtailway.traffic.tests.builders import make_upstream

N_SLOTS = 3
N_STEPS = 120
# Turns of the event loop after which nothing is left to run.
N_SETTLING_TURNS = 60


class FakeTransport(asyncio.Transport):
    """Transport that records what is written and never blocks."""

    def __init__(self, connection: HttpConnection) -> None:
        super().__init__()
        self.connection = connection
        self.written = b""
        self.is_lost = False

    def write(self, data: bytes) -> None:
        self.written += data

    def is_closing(self) -> bool:
        return self.is_lost

    def get_write_buffer_size(self) -> int:
        return 0

    def abort(self) -> None:
        if not self.is_lost:
            self.is_lost = True
            self.connection.loop.call_soon(self.connection.connection_lost, None)

    def take_request(self) -> str:
        """Return the identifier of the request that was written, or an empty one."""
        head, self.written = self.written.decode(), b""
        return find_request_id(head)


class FakePool(UpstreamPool):
    """Pool whose connections lead to the walk."""

    def __init__(self) -> None:
        super().__init__(
            address="127.0.0.1", port=1, request_id_header=NAMES.request_id
        )
        self.transports: list[FakeTransport] = []

    async def connect(self) -> HttpConnection:
        connection = HttpConnection(peer="u", request_id_header=NAMES.request_id)
        transport = FakeTransport(connection)
        connection.connection_made(transport)
        self.transports.append(transport)
        self.opened_at[connection] = connection.loop.time()
        return connection


@dataclass(slots=True, kw_only=True)
class WalkCall:
    """Call of a walk and what happened to it."""

    task: "asyncio.Task[CallResult]"
    is_sent: bool = False
    is_lost: bool = False
    is_answered: bool = False
    is_cancelled: bool = False


class ExchangeWalk:
    """Calls that end in any order: answered, cancelled, cut, at their deadline."""

    def __init__(self, *, seed: int) -> None:
        self.random = Random(seed)
        self.pool = FakePool()
        membership = Membership()
        membership.put(make_upstream("u-1", n_slots=N_SLOTS))
        self.runner = UpstreamRunner(
            names=NAMES,
            pool=self.pool,
            membership=membership,
            guard=CrashGuard(host_id="host-1", clock=ManualClock()),
            on_crash=lambda _crash: None,
            log=make_log(),
        )
        self.calls: dict[str, WalkCall] = {}
        self.open: dict[FakeTransport, str] = {}

    async def run(self) -> None:
        actions = (self.call, self.call, self.answer, self.answer, self.cancel)
        for _ in range(N_STEPS):
            self.random.choice((*actions, self.cut))()
            for _ in range(self.random.choice((0, 0, 1, 2, 3))):
                await self.turn()
        while self.open or not all(call.task.done() for call in self.calls.values()):
            self.answer()
            await self.turn()
        for _ in range(N_SETTLING_TURNS):
            await self.turn()

    async def turn(self) -> None:
        """Run one turn of the event loop and note which requests were written."""
        await asyncio.sleep(0)
        for transport in self.pool.transports:
            if transport.written:
                request_id = transport.take_request()
                self.calls[request_id].is_sent = True
                self.open[transport] = request_id
            if transport.is_lost:
                self.open.pop(transport, None)

    def call(self) -> None:
        request_id = f"r-{len(self.calls)}"
        call = make_call(
            self.runner.loop.time(),
            request_id=request_id,
            head=f"X-Request-Id: {request_id}\r\n".encode(),
            is_idempotent=self.random.random() < 0.5,
        )
        task = self.runner.loop.create_task(self.runner.run(call))
        self.calls[request_id] = WalkCall(task=task)

    def answer(self) -> None:
        if not self.open:
            return
        transport = self.random.choice(list(self.open))
        request_id = self.open.pop(transport)
        self.calls[request_id].is_answered = True
        response = make_response(request_id, body=request_id)
        transport.connection.data_received(response)

    def cut(self) -> None:
        if self.open and self.random.random() < 0.3:
            transport = self.random.choice(list(self.open))
            self.calls[self.open.pop(transport)].is_lost = True
            transport.abort()

    def cancel(self) -> None:
        """Cancel a call; often one whose answer has just been received."""
        waiting = [call for call in self.calls.values() if not call.task.done()]
        answered = [call for call in waiting if call.is_answered]
        if answered and self.random.random() < 0.7:
            waiting = answered
        if waiting:
            call = self.random.choice(waiting)
            call.is_cancelled = call.task.cancel()

    def find_faults(self) -> list[str]:
        """Return what must not have happened."""
        faults = []
        for request_id, call in self.calls.items():
            if call.task.cancelled():
                continue
            result = call.task.result()
            if isinstance(result, UpstreamResponse):
                if result.response.body != request_id.encode():
                    faults.append(f"{request_id} got {result.response.body}")
            elif result.outcome is Outcome.UNKNOWN and not call.is_lost:
                faults.append(f"{request_id} was not cut and got {result}")
            elif is_not_run(result) and call.is_sent:
                faults.append(f"{request_id} was sent and is said not to have run")
        if self.runner.queue.n_busy:
            faults.append(f"{self.runner.queue.n_busy} slots are taken")
        return faults


def is_not_run(result: CallResult) -> bool:
    return isinstance(result, CallRefusal) and result.outcome is Outcome.NOT_RUN


class ExchangeWalkTest(IsolatedAsyncioTestCase):
    """What ends one request touches no other one."""

    async def find_faults(self, n_walks: int) -> list[str]:
        faults = []
        for seed in range(n_walks):
            walk = ExchangeWalk(seed=seed)
            async with asyncio.timeout(60.0):
                await walk.run()
            faults += [f"seed {seed}: {fault}" for fault in walk.find_faults()]
            walk.runner.close()
        return faults

    async def test_random_walks(self) -> None:
        self.assertEqual(await self.find_faults(60), [])

    async def test_walks_notice_an_end_without_the_exchange(self) -> None:
        """A caller that left ended whatever its connection carried."""

        def abort(connection: HttpConnection, _exchange: object, error: object) -> None:
            connection.fail_with(error)

        with patch.object(HttpConnection, "abort", abort):
            self.assertNotEqual(await self.find_faults(20), [])
