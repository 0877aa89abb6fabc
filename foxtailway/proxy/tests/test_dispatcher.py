import asyncio
import unittest
from random import Random

from expression import Error, Ok

from foxtailway.common import MonotonicClock
from foxtailway.proxy.channel_pool import ChannelPool
from foxtailway.proxy.dispatcher import CallDispatcher
from foxtailway.proxy.tests.fakes import (
    LOCAL_HOST_ID,
    FakeDialer,
    FakeTransport,
    RecordingObserver,
    make_inbound_call,
    make_node_settings,
    make_snapshot,
    make_state,
    run_ready,
)
from foxtailway.routing.outcome import Outcome, Refusal, RefusalReason
from foxtailway.routing.tests.builders import make_host

HOSTS = (make_host(LOCAL_HOST_ID), make_host("accra-a-2"), make_host("accra-a-3"))


def make_refusal(outcome: Outcome, reason: RefusalReason) -> Refusal:
    return Refusal(outcome=outcome, reason=reason, retry_after_s=0.0, host_id="host")


class FakePool:
    """Return one fake transport for each host."""

    def __init__(self) -> None:
        self.transports = {host.host_id: FakeTransport() for host in HOSTS}

    async def get_channel(self, host):
        return Ok(self.transports[host.host_id])


class WaitingTransport(FakeTransport):
    """Block calls until `released` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.released = asyncio.Event()

    async def call(self, request):
        self.requests.append(request)
        await self.released.wait()
        return await super().call(request)


class CallDispatcherTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.pool = FakePool()
        self.local_transport = FakeTransport()
        self.dispatcher = self.make_dispatcher()

    def make_dispatcher(
        self, *, hosts=(), is_idempotent=True, is_ready=True, pool=None, **calls
    ):
        clock = MonotonicClock()
        snapshot = make_snapshot(hosts=hosts, is_idempotent=is_idempotent)
        self.observer = RecordingObserver()
        return CallDispatcher(
            settings=make_node_settings(**calls),
            clock=clock,
            state=make_state(clock, snapshot if is_ready else None),
            pool=pool or self.pool,
            local_transport=self.local_transport,
            observer=self.observer,
            random_source=Random(1),
        )

    def set_results(self, *results: object) -> list:
        """Set the results of the next attempts, which all hosts share."""
        shared = list(results)
        transports = [self.local_transport, *self.pool.transports.values()]
        for transport in transports:
            transport.results = shared
        return transports

    def assert_refused(self, result, outcome: Outcome, reason: RefusalReason) -> None:
        self.assertEqual((result.error.outcome, result.error.reason), (outcome, reason))

    async def test_calls_that_may_not_enter_are_refused_as_not_run(self) -> None:
        for changes, reason in (
            (dict(header_size=1001), RefusalReason.TOO_LARGE),
            (dict(body=bytes(1001)), RefusalReason.TOO_LARGE),
            (dict(idempotency_key="k" * 201), RefusalReason.MALFORMED),
            (dict(n_hops=4), RefusalReason.HOP_LIMIT),
            (dict(path="/other"), RefusalReason.NO_ROUTE),
            (dict(remaining_s=0.0), RefusalReason.EXPIRED),
        ):
            result = await self.dispatcher.handle(make_inbound_call(**changes))
            self.assert_refused(result, Outcome.NOT_RUN, reason)
        unready = self.make_dispatcher(is_ready=False)
        result = await unready.handle(make_inbound_call())
        self.assert_refused(result, Outcome.NOT_RUN, RefusalReason.NOT_READY)
        self.assertEqual(self.local_transport.requests, [])

    async def test_hops_count_up_and_the_last_one_passes(self) -> None:
        result = await self.dispatcher.handle(make_inbound_call(n_hops=3))
        self.assertTrue(result.is_ok())
        self.assertEqual(self.local_transport.requests[0].n_hops, 4)

    async def test_calls_beyond_the_bound_are_refused(self) -> None:
        self.local_transport = WaitingTransport()
        dispatcher = self.make_dispatcher(max_in_flight=1)
        first = asyncio.ensure_future(dispatcher.handle(make_inbound_call()))
        await run_ready()
        result = await dispatcher.handle(make_inbound_call())
        self.assert_refused(result, Outcome.NOT_RUN, RefusalReason.OVERLOADED)
        self.local_transport.released.set()
        self.assertTrue((await first).is_ok())

    async def test_stop_serves_local_calls_and_refuses_clients(self) -> None:
        self.local_transport = WaitingTransport()
        dispatcher = self.make_dispatcher()
        running = asyncio.ensure_future(dispatcher.handle(make_inbound_call()))
        await run_ready()
        dispatcher.is_stopping = True
        draining = asyncio.ensure_future(dispatcher.drain(5.0))
        refused = await dispatcher.handle(make_inbound_call())
        self.assert_refused(refused, Outcome.NOT_RUN, RefusalReason.DRAINING)
        local_call = asyncio.ensure_future(
            dispatcher.handle(make_inbound_call(is_local=True))
        )
        await run_ready()
        self.assertFalse(draining.done())
        self.local_transport.released.set()
        self.assertTrue((await running).is_ok())
        self.assertTrue((await local_call).is_ok())
        await draining

    async def test_drain_ends_at_its_timeout(self) -> None:
        self.local_transport = WaitingTransport()
        dispatcher = self.make_dispatcher()
        running = asyncio.ensure_future(dispatcher.handle(make_inbound_call()))
        await run_ready()
        await dispatcher.drain(0.01)
        self.assertFalse(running.done())
        running.cancel()

    async def test_cancelled_call_is_no_longer_in_flight(self) -> None:
        """Guard against calls of disconnected clients that count as load."""
        self.local_transport = WaitingTransport()
        dispatcher = self.make_dispatcher()
        call = asyncio.ensure_future(dispatcher.handle(make_inbound_call()))
        await run_ready()
        call.cancel()
        await run_ready()
        self.assertEqual(dispatcher.n_in_flight, 0)
        self.assertTrue(dispatcher.idle.is_set())
        balancer = dispatcher.state.balancer
        self.assertEqual(balancer.find_endpoint("slots", LOCAL_HOST_ID).n_in_flight, 0)

    async def test_call_that_did_not_run_is_tried_at_another_host(self) -> None:
        dispatcher = self.make_dispatcher(hosts=HOSTS, is_idempotent=False)
        refusal = make_refusal(Outcome.NOT_RUN, RefusalReason.LOST)
        transports = self.set_results(Error(refusal))
        result = await dispatcher.handle(make_inbound_call())
        self.assertTrue(result.is_ok())
        n_requests = sorted(len(transport.requests) for transport in transports)
        self.assertEqual(n_requests, [0, 0, 1, 1])

    async def test_call_that_may_have_run_is_not_tried_again(self) -> None:
        """Guard against a double run by a retry with an unknown outcome."""
        for is_idempotent in (False, True):
            dispatcher = self.make_dispatcher(hosts=HOSTS, is_idempotent=is_idempotent)
            for reason in (RefusalReason.LOST, RefusalReason.OVERLOADED):
                transports = self.set_results(
                    Error(make_refusal(Outcome.UNKNOWN, reason))
                )
                for transport in transports:
                    transport.requests.clear()
                result = await dispatcher.handle(make_inbound_call())
                self.assert_refused(result, Outcome.UNKNOWN, reason)
                n_requests = sum(len(transport.requests) for transport in transports)
                self.assertEqual(n_requests, 1)

    async def test_callers_key_goes_to_its_home_and_generated_ones_differ(self) -> None:
        dispatcher = self.make_dispatcher(hosts=HOSTS, is_idempotent=False)
        transports = self.set_results()
        for _ in range(5):
            await dispatcher.handle(make_inbound_call(idempotency_key="order-7"))
        used = [transport for transport in transports if transport.requests]
        self.assertEqual([len(transport.requests) for transport in used], [5])
        self.assertFalse(used[0].requests[0].is_key_generated)
        for transport in transports:
            transport.requests.clear()
        for _ in range(5):
            await dispatcher.handle(make_inbound_call())
        requests = [
            request for transport in transports for request in transport.requests
        ]
        keys = {request.idempotency_key for request in requests}
        self.assertEqual(len(keys - {""}), 5)
        self.assertTrue(all(request.is_key_generated for request in requests))

    async def test_refusals_never_deny_an_earlier_run_of_a_callers_key(self) -> None:
        """Guard against a caller that repeats a request which ran before.

        A node that refuses a call does not know whether the home ran its key.
        """
        dispatcher = self.dispatcher
        dispatcher.is_stopping = True
        for key, outcome in (("", Outcome.NOT_RUN), ("order-7", Outcome.UNKNOWN)):
            call = make_inbound_call(method="POST", idempotency_key=key)
            refusal = (await dispatcher.handle(call)).error
            self.assertEqual(refusal.reason, RefusalReason.DRAINING)
            self.assertEqual(refusal.outcome, outcome)

    async def test_connecting_ends_at_the_deadline_of_the_call(self) -> None:
        """Guard against calls that wait for a connection past their deadline."""
        pool = ChannelPool(
            settings=make_node_settings(),
            dialer=FakeDialer(),
            clock=MonotonicClock(),
            observer=RecordingObserver(),
        )
        dispatcher = self.make_dispatcher(
            hosts=HOSTS[1:], is_idempotent=False, pool=pool
        )
        for key, outcome in (("", Outcome.NOT_RUN), ("order-7", Outcome.UNKNOWN)):
            call = make_inbound_call(remaining_s=0.05, idempotency_key=key)
            result = await asyncio.wait_for(dispatcher.handle(call), 5.0)
            self.assert_refused(result, outcome, RefusalReason.LOST)
        for task in pool.opening_tasks.values():
            task.cancel()
