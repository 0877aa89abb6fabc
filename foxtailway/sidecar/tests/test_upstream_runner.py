import asyncio
from contextlib import suppress
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

from foxtailway.common.clock import ManualClock
from foxtailway.routing.outcome import Outcome, RefusalReason
from foxtailway.sidecar import upstream_pool
from foxtailway.sidecar.call import CallRefusal, CallResult, UpstreamResponse
from foxtailway.sidecar.crash_detector import UpstreamCrash
from foxtailway.sidecar.crash_guard import CrashGuard
from foxtailway.sidecar.tests.support import (
    LONG_TIMEOUT_S,
    NAMES,
    ScriptedUpstream,
    make_call,
    make_log,
    reset_connection,
    respond,
    respond_after,
    send_bytes,
    wait_until,
)
from foxtailway.sidecar.upstream_pool import UpstreamPool
from foxtailway.sidecar.upstream_runner import UpstreamRunner
from foxtailway.traffic.membership import Membership, UpstreamState
from foxtailway.traffic.tests.builders import make_upstream


class UpstreamRunnerTest(IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        patcher = patch.object(upstream_pool, "CONNECT_TIMEOUT_S", LONG_TIMEOUT_S)
        patcher.start()
        self.addCleanup(patcher.stop)

    def make_runner(self, upstream: ScriptedUpstream) -> UpstreamRunner:
        self.membership = Membership()
        self.crashes: list[UpstreamCrash] = []
        self.membership.put(make_upstream("u-1", n_slots=1))
        runner = UpstreamRunner(
            names=NAMES,
            pool=UpstreamPool(
                address="127.0.0.1",
                port=upstream.port,
                request_id_header=NAMES.request_id,
            ),
            membership=self.membership,
            guard=CrashGuard(host_id="host-1", clock=ManualClock()),
            on_crash=self.crashes.append,
            log=make_log(),
        )
        self.addCleanup(runner.close)
        return runner

    async def run_call(self, runner: UpstreamRunner, **changes: object) -> CallResult:
        return await runner.run(make_call(runner.loop.time(), **changes))

    def assert_refused(
        self, result: CallResult, outcome: Outcome, reason: RefusalReason
    ) -> None:
        self.assertIsInstance(result, CallRefusal)
        self.assertEqual((result.outcome, result.reason), (outcome, reason))

    async def test_response_is_returned_unchanged_with_the_load(self) -> None:
        async with ScriptedUpstream(respond()) as upstream:
            runner = self.make_runner(upstream)
            result = await self.run_call(runner)
        self.assertIsInstance(result, UpstreamResponse)
        self.assertEqual(result.response.body, b"done")
        self.assertIn(b"X-Seal: s\r\n", result.response.head)
        self.assertNotIn(b"Content-Length", result.response.head)
        self.assertIsNotNone(result.load)

    async def test_headers_named_by_the_connection_header_are_dropped(self) -> None:
        script = respond(extra="Connection: X-Hop, X-Seal\r\nX-Hop: 1\r\n")
        async with ScriptedUpstream(script) as upstream:
            result = await self.run_call(self.make_runner(upstream))
        self.assertIn(b"X-Seal: s\r\n", result.response.head)
        self.assertNotIn(b"X-Hop", result.response.head)

    async def test_slot_of_a_caller_that_has_left_goes_to_the_next_one(self) -> None:
        async with ScriptedUpstream(respond()) as upstream:
            runner = self.make_runner(upstream)
            runner.queue.n_running = 1
            tasks = [asyncio.create_task(self.run_call(runner)) for _ in range(2)]
            await wait_until(lambda: len(runner.slots.waiters) == 2)
            tasks[0].cancel()
            runner.slots.release()
            async with asyncio.timeout(LONG_TIMEOUT_S / 4):
                result = await tasks[1]
        self.assertIsInstance(result, UpstreamResponse)

    async def test_upstream_receives_its_identifier_and_the_remaining_time(
        self,
    ) -> None:
        async with ScriptedUpstream(respond()) as upstream:
            runner = self.make_runner(upstream)
            await self.run_call(runner)
            self.assertIn("x-expected: u-1\r\n", upstream.requests[0])
            self.assertRegex(upstream.requests[0], r"x-remaining-ms: [0-9]+\r\n")

    async def test_shed_request_did_not_run(self) -> None:
        script = respond(status="503 Full", extra="X-Not-Run: 1\r\n")
        async with ScriptedUpstream(script) as upstream:
            result = await self.run_call(self.make_runner(upstream))
        self.assert_refused(result, Outcome.NOT_RUN, RefusalReason.OVERLOADED)
        self.assertTrue(result.is_offered)

    async def test_replaced_upstream_gets_no_request_for_a_while(self) -> None:
        script = respond(status="421 Misdirected Request")
        async with ScriptedUpstream(script, respond()) as upstream:
            runner = self.make_runner(upstream)
            for is_offered in (True, False):
                result = await self.run_call(runner)
                self.assert_refused(result, Outcome.NOT_RUN, RefusalReason.REPLACED)
                self.assertEqual(result.is_offered, is_offered)
            other = await self.run_call(runner, upstream_id="u-2")
            self.assertIsInstance(other, UpstreamResponse)

    async def test_refusal_does_not_tell_the_service_of_the_upstream_it_names(
        self,
    ) -> None:
        """Requests of a service ran at the next owner of its upstream's address.

        The next owner belongs to the service of the first one or to another, and is
        registered, draining or not registered yet; the host may be stopping.
        """
        replaced = respond(status="421 Other", extra="X-Upstream: u-2\r\n")
        draining = make_upstream("u-2", state=UpstreamState.DRAINING)
        for entries in (
            (),
            (make_upstream("u-2"),),
            (make_upstream("u-2", service="desk"),),
            (draining,),
        ):
            with self.subTest(entries=entries):
                async with ScriptedUpstream(replaced, respond()) as upstream:
                    runner = self.make_runner(upstream)
                    self.membership.update(entries, (), 0.0)
                    for _ in range(3):
                        result = await self.run_call(runner, is_idempotent=False)
                        self.assert_refused(
                            result, Outcome.NOT_RUN, RefusalReason.REPLACED
                        )
                    self.assertEqual(find_expected_ids(upstream), ["u-1"])

    async def test_request_for_the_new_upstream_runs_as_soon_as_it_is_registered(
        self,
    ) -> None:
        """Pattern: all hosts lose power, and the registry lags behind."""
        replaced = respond(status="421 Other", extra="X-Upstream: u-2\r\n")
        async with ScriptedUpstream(replaced, respond(), respond()) as upstream:
            runner = self.make_runner(upstream)
            await self.run_call(runner, is_idempotent=False)
            self.membership.put(make_upstream("u-2"))
            for _ in range(2):
                result = await self.run_call(
                    runner, upstream_id="u-2", is_idempotent=False
                )
                self.assertIsInstance(result, UpstreamResponse)
            self.assertEqual(find_expected_ids(upstream), ["u-1", "u-2", "u-2"])

    async def test_reset_request_may_have_run(self) -> None:
        async with ScriptedUpstream(reset_connection()) as upstream:
            result = await self.run_call(self.make_runner(upstream))
        self.assert_refused(result, Outcome.UNKNOWN, RefusalReason.LOST)

    async def test_lost_connection_is_no_crash(self) -> None:
        async with ScriptedUpstream(reset_connection()) as upstream:
            runner = self.make_runner(upstream)
            await self.run_call(runner)
            await asyncio.wait(runner.crashes.checks)
        self.assertEqual(self.crashes, [])

    async def test_upstream_that_accepts_no_connection_has_crashed(self) -> None:
        released = asyncio.Event()
        async with ScriptedUpstream(respond_after(released)) as upstream:
            runner = self.make_runner(upstream)
            task = asyncio.create_task(self.run_call(runner))
            await wait_until(lambda: bool(upstream.requests))
            upstream.server.close()
            await upstream.server.wait_closed()
            connection = next(iter(upstream.writers))
            connection.transport.abort()
            await task
            await asyncio.wait(runner.crashes.checks)
        self.assertEqual([crash.upstream_id for crash in self.crashes], ["u-1"])

    async def test_connection_from_before_a_crash_does_not_end_it(self) -> None:
        """One crash counted as two, so that all its requests were refused."""
        async with ScriptedUpstream() as upstream:
            crashes = self.make_runner(upstream).crashes
            older = await crashes.pool.connect()
            crash_id = crashes.identify_crash("u-1")
            crashes.record_connected(older)
            self.assertEqual(crashes.identify_crash("u-1"), crash_id)
            crashes.record_connected(await crashes.pool.connect())
            self.assertNotEqual(crashes.identify_crash("u-1"), crash_id)

    async def test_each_crash_of_an_upstream_that_starts_again_counts(self) -> None:
        """A harmful request crashed an upstream of one identifier again and again.

        Each request lost in a crash was reported on its own.
        """
        port = 0
        accepted: list[asyncio.StreamWriter] = []
        for n_crashes in (1, 2):
            accepted.clear()
            server = await asyncio.start_server(
                lambda _reader, writer: accepted.append(writer), "127.0.0.1", port
            )
            port = server.sockets[0].getsockname()[1]
            if n_crashes == 1:
                upstream = ScriptedUpstream()
                upstream.port = port
                runner = self.make_runner(upstream)
                runner.membership.put(make_upstream("u-1", n_slots=2, sequence=2))
            calls = [asyncio.create_task(self.run_call(runner)) for _ in range(2)]
            await wait_until(lambda: len(accepted) == 2)
            server.close()
            for writer in accepted:
                writer.transport.abort()
            await asyncio.gather(*calls)
            await asyncio.gather(*runner.crashes.checks)
        self.assertEqual([len(crash.fingerprints) for crash in self.crashes], [2, 2])
        self.assertEqual([crash.load.n_in_flight for crash in self.crashes], [2, 2])
        self.assertEqual(len({crash.crash_id for crash in self.crashes}), 2)

    async def test_status_503_without_not_run_header_is_a_response(self) -> None:
        async with ScriptedUpstream(respond(status="503 Busy")) as upstream:
            result = await self.run_call(self.make_runner(upstream))
        self.assertIsInstance(result, UpstreamResponse)

    async def test_success_without_seal_is_no_success(self) -> None:
        response_bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        async with ScriptedUpstream(send_bytes(response_bytes)) as upstream:
            result = await self.run_call(self.make_runner(upstream))
        self.assert_refused(result, Outcome.UNKNOWN, RefusalReason.LOST)

    async def test_unreachable_upstream_did_not_run(self) -> None:
        async with ScriptedUpstream() as upstream:
            runner = self.make_runner(upstream)
        result = await self.run_call(runner)
        self.assert_refused(result, Outcome.NOT_RUN, RefusalReason.NOT_READY)
        self.assertEqual(runner.queue.n_busy, 0)

    async def test_leaving_upstream_gets_no_request(self) -> None:
        async with ScriptedUpstream() as upstream:
            runner = self.make_runner(upstream)
            draining = make_upstream("u-1", state=UpstreamState.DRAINING, sequence=2)
            self.membership.put(draining)
            result = await self.run_call(runner)
            self.assertEqual(upstream.requests, [])
        self.assert_refused(result, Outcome.NOT_RUN, RefusalReason.DRAINING)

    async def test_queued_request_is_refused_when_its_upstream_leaves(self) -> None:
        released = asyncio.Event()
        async with ScriptedUpstream(respond_after(released)) as upstream:
            runner = self.make_runner(upstream)
            first = asyncio.create_task(self.run_call(runner))
            await wait_until(lambda: bool(upstream.requests))
            second = asyncio.create_task(self.run_call(runner, request_id="r-2"))
            await wait_until(lambda: runner.queue.n_busy == 2)
            self.membership.remove("u-1", 1e9)
            released.set()
            self.assertIsInstance(await first, UpstreamResponse)
            refusal = await second
            self.assertEqual(len(upstream.requests), 1)
        self.assert_refused(refusal, Outcome.NOT_RUN, RefusalReason.DRAINING)

    async def test_expired_request_is_not_sent(self) -> None:
        async with ScriptedUpstream() as upstream:
            runner = self.make_runner(upstream)
            result = await self.run_call(runner, deadline=runner.loop.time() - 1)
            self.assertEqual(upstream.requests, [])
        self.assert_refused(result, Outcome.NOT_RUN, RefusalReason.EXPIRED)

    async def test_silent_upstream_frees_its_slot_after_the_deadline(self) -> None:
        async with ScriptedUpstream(respond_after(asyncio.Event())) as upstream:
            runner = self.make_runner(upstream)
            result = await self.run_call(runner, deadline=runner.loop.time() + 1.0)
            await asyncio.sleep(0)
            self.assertEqual(runner.queue.n_busy, 0)
        self.assert_refused(result, Outcome.UNKNOWN, RefusalReason.EXPIRED)

    async def test_lost_answer_without_a_caller_frees_its_slot(self) -> None:
        """Load pattern: answers are lost, and clients leave at their deadline.

        Each lost answer of a request that isn't idempotent took a slot for good.
        """
        async with ScriptedUpstream(respond_after(asyncio.Event())) as upstream:
            runner = self.make_runner(upstream)
            deadline = runner.loop.time() + 0.5
            await self.cancel_while_running(
                runner, upstream, is_idempotent=False, deadline=deadline
            )
            self.assertEqual(runner.queue.n_busy, 1)
            async with asyncio.timeout(LONG_TIMEOUT_S / 4):
                await wait_until(lambda: not runner.queue.n_busy)
            self.assertGreaterEqual(runner.loop.time(), deadline)
            self.assertEqual(len(runner.pool.idle), 0)

    async def test_cancelled_caller_ends_an_idempotent_request(self) -> None:
        async with ScriptedUpstream(respond_after(asyncio.Event())) as upstream:
            runner = self.make_runner(upstream)
            await self.cancel_while_running(runner, upstream, is_idempotent=True)
            await asyncio.sleep(0)
            self.assertEqual(runner.queue.n_busy, 0)

    async def test_caller_that_leaves_as_its_answer_comes_ends_no_other_request(
        self,
    ) -> None:
        """The request that got its slot and connection was broken off in its place."""
        released = asyncio.Event()
        scripts = (respond_after(released), respond())
        async with ScriptedUpstream(*scripts) as upstream:
            runner = self.make_runner(upstream)
            leaving = asyncio.create_task(self.run_call(runner, request_id="r-1"))
            await wait_until(lambda: bool(upstream.requests))
            head = b"Host: a.example\r\nX-Request-Id: r-2\r\n"
            other = asyncio.create_task(
                self.run_call(runner, request_id="r-2", head=head, is_idempotent=False)
            )
            await wait_until(lambda: bool(runner.slots.waiters))
            exchange = next(iter(runner.running.calls))
            # The callback runs after the slot was given away and before the caller
            # has resumed.
            exchange.add_done_callback(lambda _: leaving.cancel())
            released.set()
            result = await other
            with self.assertRaises(asyncio.CancelledError):
                await leaving
            self.assertEqual(upstream.n_connections, 1)
        self.assertIsInstance(result, UpstreamResponse)

    async def test_non_idempotent_request_runs_to_its_end(self) -> None:
        released = asyncio.Event()
        async with ScriptedUpstream(respond_after(released)) as upstream:
            runner = self.make_runner(upstream)
            await self.cancel_while_running(runner, upstream, is_idempotent=False)
            self.assertEqual(runner.queue.n_busy, 1)
            released.set()
            await wait_until(lambda: not runner.queue.n_busy)
            self.assertEqual(len(runner.pool.idle), 1)

    async def cancel_while_running(
        self, runner: UpstreamRunner, upstream: ScriptedUpstream, **changes: object
    ) -> None:
        task = asyncio.create_task(self.run_call(runner, **changes))
        await wait_until(lambda: bool(upstream.requests))
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task

    async def test_connection_is_reused(self) -> None:
        async with ScriptedUpstream(respond(), respond()) as upstream:
            runner = self.make_runner(upstream)
            await self.run_call(runner)
            await self.run_call(runner, is_idempotent=False)
            self.assertEqual(upstream.n_connections, 1)

    async def test_idle_connection_is_not_used_for_non_idempotent_requests(
        self,
    ) -> None:
        async with ScriptedUpstream(respond(), respond()) as upstream:
            runner = self.make_runner(upstream)
            await self.run_call(runner)
            runner.pool.idle[0].idle_since -= 1.5
            await self.run_call(runner, is_idempotent=False)
            self.assertEqual(upstream.n_connections, 2)


def find_expected_ids(upstream: ScriptedUpstream) -> list[str]:
    """Return the upstreams that the received requests name, in their order."""
    return [
        line.partition(": ")[2]
        for head in upstream.requests
        for line in head.split("\r\n")
        if line.startswith("x-expected")
    ]
