import asyncio
import unittest

from expression import Error, Ok

from foxtailway.common import Failure, FailureKind, ManualClock, Step
from foxtailway.model import Version
from foxtailway.proxy.local_transport import LocalTransport
from foxtailway.proxy.tests.fakes import (
    LOCAL_HOST_ID,
    FakeClient,
    make_call_request,
    make_runner,
    run_ready,
)
from foxtailway.proxy.upstream import CancelToken
from foxtailway.routing.ledger import digest_request_key
from foxtailway.routing.outcome import Outcome, Refusal, RefusalReason
from foxtailway.routing.rendezvous import choose_host
from foxtailway.routing.tests.builders import make_host

# Longer than the idempotency window and the largest age of a host list.
OUTSIDE_WINDOW_S = 1000.0
KEYED_REQUEST = dict(
    is_idempotent=False,
    idempotency_key="order-7",
    is_key_generated=False,
    method="POST",
)


class RunnerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = ManualClock(start_s=OUTSIDE_WINDOW_S)
        self.client = FakeClient()
        self.runner = make_runner(clock=self.clock, client=self.client)

    async def start(self, token: CancelToken | None = None, **changes: object):
        running = self.runner.run(
            make_call_request(**changes), token=token or CancelToken()
        )
        task = asyncio.ensure_future(running)
        await run_ready()
        return task

    def assert_refused(self, result, outcome: Outcome, reason: RefusalReason) -> None:
        self.assertEqual((result.error.outcome, result.error.reason), (outcome, reason))

    async def test_inadmissible_requests_do_not_reach_the_upstream(self) -> None:
        for changes, reason in (
            (dict(cluster="other"), RefusalReason.NOT_READY),
            (dict(n_hops=5), RefusalReason.HOP_LIMIT),
            (dict(remaining_s=0.0), RefusalReason.EXPIRED),
            (dict(remaining_s=float("nan")), RefusalReason.EXPIRED),
        ):
            result = await (await self.start(**changes))
            self.assert_refused(result, Outcome.NOT_RUN, reason)
        self.assertEqual(self.client.requests, [])

    async def test_deadline_that_passes_in_the_queue_is_not_run(self) -> None:
        first = await self.start()
        second = await self.start(remaining_s=0.02)
        self.clock.advance(0.02)
        result = await asyncio.wait_for(second, 2.0)
        self.assert_refused(result, Outcome.NOT_RUN, RefusalReason.EXPIRED)
        self.client.released.set()
        self.assertTrue((await first).is_ok())
        self.assertEqual(len(self.client.requests), 1)

    async def test_deadline_that_passes_in_a_pause_is_not_run(self) -> None:
        """Guard against requests that run late after the process was paused.

        The request waited unread while the process did not run.
        """
        self.clock.advance(6.0)
        self.runner.pause_detector.observe(self.clock.now())
        result = await (await self.start(remaining_s=5.0))
        self.assert_refused(result, Outcome.NOT_RUN, RefusalReason.EXPIRED)
        self.clock.advance(0.1)
        self.runner.pause_detector.observe(self.clock.now())
        self.clock.advance(0.2)
        self.client.released.set()
        self.assertTrue((await (await self.start())).is_ok())

    async def test_deadline_is_checked_again_after_a_slot_is_acquired(self) -> None:
        """Guard against requests that expire between queue and upstream."""
        result = await self.runner.run_admitted(
            make_call_request(), self.clock.now(), CancelToken()
        )
        self.assert_refused(result, Outcome.NOT_RUN, RefusalReason.EXPIRED)
        self.assertEqual(self.client.requests, [])

    async def test_cancelled_call_leaves_the_queue_at_once(self) -> None:
        await self.start()
        token = CancelToken()
        waiting = await self.start(token)
        token.cancel()
        await run_ready()
        self.assertTrue(waiting.done())
        self.assert_refused(waiting.result(), Outcome.NOT_RUN, RefusalReason.CANCELLED)
        self.assertEqual(self.runner.limiter.queue.waiting, {})
        self.assertEqual(len(self.client.requests), 1)

    async def test_call_cancelled_before_arrival_takes_no_slot(self) -> None:
        token = CancelToken()
        token.cancel()
        result = await (await self.start(token))
        self.assert_refused(result, Outcome.NOT_RUN, RefusalReason.CANCELLED)
        self.assertEqual(self.runner.limiter.queue.running, {})

    async def test_slot_returns_when_the_upstream_fails(self) -> None:
        """Guard against slots that leak when the client raises."""

        async def fail(request, **_options):
            raise RuntimeError("broken")

        self.client.run = fail
        for _ in range(2):
            with self.assertRaises(RuntimeError):
                await (await self.start())
        self.assertEqual(self.runner.limiter.queue.running, {})
        self.assertEqual(self.runner.limiter.waiters, {})

    async def test_cancelled_local_call_holds_its_slot_until_the_end(self) -> None:
        """Guard against more requests at the upstream than it has slots."""
        transport = LocalTransport(runner=self.runner)
        call = asyncio.ensure_future(transport.call(make_call_request()))
        await run_ready()
        call.cancel()
        await run_ready()
        self.assertTrue(call.cancelled())
        self.assertTrue(self.client.cancel_tokens[0].is_cancelled)
        self.assertEqual(len(self.runner.limiter.queue.running), 1)
        self.client.released.set()
        await run_ready()
        self.assertEqual(self.runner.limiter.queue.running, {})
        self.assertEqual(transport.tasks, set())

    async def test_closed_limiter_refuses_waiting_calls(self) -> None:
        await self.start()
        waiting = await self.start()
        self.runner.limiter.close()
        self.assert_refused(await waiting, Outcome.NOT_RUN, RefusalReason.DRAINING)

    async def test_lost_request_is_quarantined_at_its_host(self) -> None:
        refusal = Refusal(
            outcome=Outcome.UNKNOWN,
            reason=RefusalReason.LOST,
            retry_after_s=0.0,
            host_id=LOCAL_HOST_ID,
        )
        self.client.result = Error(refusal)
        self.client.released.set()
        await (await self.start())
        result = await (await self.start())
        self.assert_refused(result, Outcome.NOT_RUN, RefusalReason.QUARANTINED)
        self.client.result = Ok(None)
        self.assertTrue((await (await self.start(fingerprint="other"))).is_ok())


class FakePool:
    """Simulate the previous home of all keys."""

    def __init__(self, *, is_reachable: bool, is_relinquished: bool) -> None:
        self.is_reachable = is_reachable
        self.is_relinquished = is_relinquished
        self.queries: list[tuple[str, str]] = []

    async def get_channel(self, host):
        self.host_id = host.host_id
        if self.is_reachable:
            return Ok(self)
        failure = Failure(
            step=Step.CONNECT, kind=FailureKind.TIMEOUT, peer=host.host_id, detail=""
        )
        return Error(failure)

    async def query_key(self, *, key: str, window_s: float) -> bool:
        self.queries.append((self.host_id, key))
        return self.is_relinquished


class HomeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.client = FakeClient()
        self.client.released.set()

    def make_home(self, pool: FakePool, *, is_moved: bool):
        """Return a runner at the home of a key.

        With `is_moved`, another host was the home of the key before.
        """
        runner = make_runner(clock=self.clock, client=self.client, pool=pool)
        local = make_host(LOCAL_HOST_ID)
        key = digest_request_key(cluster_name="slots", value="order-7")
        other = next(
            host
            for host in (make_host(f"accra-b-{index}") for index in range(99))
            if choose_host(key, (local, host)) == host
        )
        views = [(local, other), (local,)] if is_moved else [(local,)]
        for revision, view in enumerate(views):
            self.update(runner, view, (local, other), revision)
            self.clock.advance(70.0)
            runner.home_guard.confirm(self.clock.now())
        self.clock.advance(0.0 if is_moved else OUTSIDE_WINDOW_S)
        runner.home_guard.confirm(self.clock.now())
        self.key = key
        self.previous_id = other.host_id
        return runner

    def update(self, runner, endpoints, listed, revision: int) -> None:
        version = Version(generation=1, revision=revision, digest=b"")
        listed_by_id = {host.host_id: host for host in listed}
        runner.home_guard.confirm(self.clock.now())
        runner.home_guard.update(endpoints, listed_by_id, version, self.clock.now())

    async def run_keyed(self, runner):
        return await runner.run(make_call_request(**KEYED_REQUEST), token=CancelToken())

    async def test_repeat_of_a_key_runs_once(self) -> None:
        """Guard against a double run of a request that its caller repeats."""
        pool = FakePool(is_reachable=False, is_relinquished=False)
        runner = self.make_home(pool, is_moved=False)
        first = await self.run_keyed(runner)
        self.assertTrue(first.is_ok(), first)
        repeat = await self.run_keyed(runner)
        self.assertEqual(repeat.error.reason, RefusalReason.REPEATED)
        self.assertEqual(repeat.error.outcome, Outcome.RAN)
        self.assertEqual(len(self.client.requests), 1)

    async def test_previous_home_is_asked_before_a_key_runs(self) -> None:
        """Guard against a double run after the home of a key has changed."""
        pool = FakePool(is_reachable=True, is_relinquished=True)
        runner = self.make_home(pool, is_moved=True)
        result = await self.run_keyed(runner)
        self.assertTrue(result.is_ok(), result)
        self.assertEqual(pool.queries, [(self.previous_id, self.key)])

    async def test_key_is_refused_unless_its_previous_home_relinquishes_it(
        self,
    ) -> None:
        for is_reachable in (False, True):
            pool = FakePool(is_reachable=is_reachable, is_relinquished=False)
            runner = self.make_home(pool, is_moved=True)
            result = await self.run_keyed(runner)
            self.assertEqual(result.error.outcome, Outcome.UNKNOWN)
            self.assertEqual(self.client.requests, [])
            self.assertEqual(runner.ledger.entries, {})

    async def test_node_without_a_confirmed_view_runs_no_key(self) -> None:
        """Guard against a double run at a node that is cut off."""
        pool = FakePool(is_reachable=True, is_relinquished=True)
        runner = self.make_home(pool, is_moved=False)
        self.clock.advance(OUTSIDE_WINDOW_S)
        result = await self.run_keyed(runner)
        self.assertEqual(result.error.outcome, Outcome.UNKNOWN)
        self.assertEqual(self.client.requests, [])

    async def test_request_that_did_not_run_frees_its_key(self) -> None:
        pool = FakePool(is_reachable=False, is_relinquished=False)
        runner = self.make_home(pool, is_moved=False)
        refusal = runner.refuse(RefusalReason.LOST)
        self.client.result = refusal
        await self.run_keyed(runner)
        self.client.result = Ok(None)
        self.assertTrue((await self.run_keyed(runner)).is_ok())
        self.assertEqual(len(self.client.requests), 2)
