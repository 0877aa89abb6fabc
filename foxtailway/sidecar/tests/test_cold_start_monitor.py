import asyncio
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

from foxtailway.common.clock import ManualClock
from foxtailway.routing.outcome import Outcome, RefusalReason
from foxtailway.sidecar import cold_start_monitor, upstream_pool
from foxtailway.sidecar.call import CallRefusal, UpstreamResponse
from foxtailway.sidecar.cold_start_monitor import ColdStartMonitor
from foxtailway.sidecar.crash_detector import UpstreamCrash
from foxtailway.sidecar.crash_guard import CrashGuard
from foxtailway.sidecar.slot_waiters import MAX_COLD_RETRY_AFTER_S
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
from foxtailway.traffic.configuration import ServiceSettings
from foxtailway.traffic.membership import Membership
from foxtailway.traffic.tests.builders import make_upstream

# A limit that no test waits for: cold for an hour, 3 requests at once and then one
# every 100 s.
SERVICE = ServiceSettings(
    name="records", health_path="/health", cold_start_s=3600.0, cold_rate_per_s=0.01
)
N_PERMITS = 3


def respond_health(remaining_ms: int) -> object:
    return send_bytes(
        b"HTTP/1.1 200 OK\r\nX-Warm-In: %d\r\nContent-Length: 0\r\n\r\n" % remaining_ms
    )


class ColdStartMonitorTest(IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        for module, name in (
            (upstream_pool, "CONNECT_TIMEOUT_S"),
            (cold_start_monitor, "HEALTH_TIMEOUT_S"),
        ):
            patcher = patch.object(module, name, LONG_TIMEOUT_S)
            patcher.start()
            self.addCleanup(patcher.stop)

    def make_runner(
        self, upstream: ScriptedUpstream, service: ServiceSettings = SERVICE
    ) -> UpstreamRunner:
        self.membership = Membership()
        self.crashes: list[UpstreamCrash] = []
        self.membership.put(make_upstream("u-1", n_slots=8))
        pool = UpstreamPool(
            address="127.0.0.1",
            port=upstream.port,
            request_id_header=NAMES.request_id,
        )
        self.monitor = ColdStartMonitor(
            pool=pool,
            names=NAMES,
            membership=self.membership,
            log=make_log(),
            zone="zone-a",
            overage=1.0,
            slack=5.0,
        )
        # The first second of a process is tested in test_cold_start.
        self.monitor.limiter.blocked_until = float("-inf")
        self.monitor.limiter.tokens = float(N_PERMITS)
        runner = UpstreamRunner(
            names=NAMES,
            pool=pool,
            membership=self.membership,
            guard=CrashGuard(host_id="host-1", clock=ManualClock()),
            on_crash=self.crashes.append,
            log=make_log(),
            cold_starts=self.monitor,
        )
        self.addCleanup(runner.close)
        self.monitor.apply_service(service)
        return runner

    async def wait_for_check(self) -> None:
        await wait_until(lambda: self.monitor.health_task is None)

    async def run_calls(self, runner: UpstreamRunner, n_calls: int) -> list[object]:
        """Run calls one after another that must not wait for a permit."""
        now = runner.loop.time()
        return [
            await runner.run(make_call(now, can_wait=False)) for _ in range(n_calls)
        ]

    async def test_health_check_at_the_start_makes_a_warm_upstream_unlimited(
        self,
    ) -> None:
        script = [respond_health(0)] + [respond()] * 9
        async with ScriptedUpstream(*script) as upstream:
            runner = self.make_runner(upstream)
            await self.wait_for_check()
            results = await self.run_calls(runner, 9)
            self.assertIn("GET /health HTTP/1.1", upstream.requests[0])
            load = runner.report_load()
        self.assertEqual({type(result) for result in results}, {UpstreamResponse})
        self.assertEqual((load.warm_in_s, load.n_cold_permits), (0.0, 0))
        self.assertEqual(self.monitor.n_health_checks, 1)

    async def test_warm_upstream_may_leave_the_remaining_time_out(self) -> None:
        """A warm upstream must not count as cold for its whole cold time."""
        health = send_bytes(
            b"HTTP/1.1 200 OK\r\nX-Upstream: u-1\r\nContent-Length: 0\r\n\r\n"
        )
        async with ScriptedUpstream(health, *[respond()] * 9) as upstream:
            runner = self.make_runner(upstream)
            await wait_until(lambda: not runner.limiter.is_cold(runner.loop.time()))

    async def test_cold_upstream_gets_no_more_than_its_limit(self) -> None:
        script = [respond_health(3_000_000)] + [respond()] * 9
        async with ScriptedUpstream(*script) as upstream:
            runner = self.make_runner(upstream)
            await self.wait_for_check()
            results = await self.run_calls(runner, N_PERMITS + 3)
            self.assertEqual(len(upstream.requests), 1 + N_PERMITS)
            load = runner.report_load()
        refused = results[N_PERMITS:]
        for result in refused:
            self.assertIsInstance(result, CallRefusal)
            self.assertEqual(
                (result.outcome, result.reason),
                (Outcome.NOT_RUN, RefusalReason.OVERLOADED),
            )
            self.assertEqual(result.retry_after_s, MAX_COLD_RETRY_AFTER_S)
        self.assertEqual(load.n_cold_permits, 0)
        self.assertAlmostEqual(load.warm_in_s, 3000.0, delta=LONG_TIMEOUT_S)
        self.assertEqual(runner.limiter.n_reserved, 0)
        self.assertEqual(runner.queue.n_running, 0)

    async def test_crash_tells_whether_the_upstream_was_cold_before_it(self) -> None:
        """A crash makes the upstream cold, which is no cause of the same crash."""
        for remaining_ms, is_cold in ((0, False), (3_000_000, True)):
            with self.subTest(is_cold=is_cold):
                released = asyncio.Event()
                script = [respond_health(remaining_ms), respond_after(released)]
                async with ScriptedUpstream(*script) as upstream:
                    runner = self.make_runner(upstream)
                    await self.wait_for_check()
                    task = asyncio.create_task(
                        runner.run(make_call(runner.loop.time()))
                    )
                    await wait_until(lambda: len(upstream.requests) == 2)
                    upstream.server.close()
                    for writer in upstream.writers:
                        writer.transport.abort()
                    await task
                    await wait_until(lambda: bool(self.crashes))
                    released.set()
                self.assertEqual(self.crashes[0].load.is_cold, is_cold)

    async def test_request_that_cannot_be_encoded_is_not_counted_as_sent(self) -> None:
        """Any writer may leave a registry entry whose identifier fits in no header.

        Each such request gave back its reservation twice, which raised the limit, and
        left a connection open.
        """
        script = [respond_health(3_000_000)] + [respond()] * 9
        async with ScriptedUpstream(*script) as upstream:
            runner = self.make_runner(upstream)
            await self.wait_for_check()
            now = runner.loop.time()
            for _ in range(2):
                with self.assertRaises(UnicodeEncodeError):
                    await runner.run(make_call(now, upstream_id="u-\u2713"))
            self.assertEqual(runner.limiter.n_reserved, 0)
            self.assertEqual(len(runner.limiter.sent_at), 0)
            self.assertEqual(runner.queue.n_running, 0)
            n_open = len(runner.pool.opened_at) - len(runner.pool.idle)
            self.assertEqual(n_open, 0)
            self.assertEqual(len(await self.run_calls(runner, 1)), 1)

    async def test_refused_connection_of_the_same_crash_does_not_explain_it(
        self,
    ) -> None:
        """A request may be refused a connection before the loss of others is read.

        The crash of a warm upstream then counted as one that load may have caused.
        """
        released = asyncio.Event()
        script = [respond_health(0), respond_after(released)]
        async with ScriptedUpstream(*script) as upstream:
            runner = await self.make_warm_runner(upstream)
            task = asyncio.create_task(runner.run(make_call(runner.loop.time())))
            await wait_until(lambda: len(upstream.requests) == 2)
            upstream.server.close()
            refused = await runner.run(make_call(runner.loop.time()))
            self.assertEqual(refused.reason, RefusalReason.NOT_READY)
            for writer in upstream.writers:
                writer.transport.abort()
            await task
            await wait_until(lambda: bool(self.crashes))
            released.set()
        self.assertFalse(self.crashes[0].load.is_cold)

    async def test_service_without_a_limit_is_not_asked(self) -> None:
        async with ScriptedUpstream(*[respond()] * 9) as upstream:
            runner = self.make_runner(upstream, ServiceSettings(name="records"))
            results = await self.run_calls(runner, 9)
        self.assertEqual({type(result) for result in results}, {UpstreamResponse})
        self.assertEqual(self.monitor.n_health_checks, 0)

    async def test_waiting_request_is_admitted_when_the_upstream_is_warm(self) -> None:
        """No request ends then that would admit the next one."""
        released = asyncio.Event()

        async def respond_health_later(*arguments: object) -> None:
            await released.wait()
            await respond_health(0)(*arguments)

        async with ScriptedUpstream(respond_health_later, respond()) as upstream:
            runner = self.make_runner(upstream)
            await wait_until(lambda: bool(upstream.requests))
            runner.limiter.tokens = 0.0
            call = make_call(
                runner.loop.time(), due_at=1e9, deadline=runner.loop.time() + 1e6
            )
            task = asyncio.create_task(runner.run(call))
            await wait_until(lambda: bool(runner.slots.waiters))
            released.set()
            async with asyncio.timeout(LONG_TIMEOUT_S):
                self.assertIsInstance(await task, UpstreamResponse)

    async def make_warm_runner(self, upstream: ScriptedUpstream) -> UpstreamRunner:
        runner = self.make_runner(upstream)
        await self.wait_for_check()
        self.assertFalse(runner.limiter.is_cold(runner.loop.time()))
        return runner

    async def test_loss_of_all_connections_puts_coldness_in_doubt(self) -> None:
        """An upstream restarts within milliseconds and refuses no connection."""
        script = (respond_health(0), reset_connection(), respond(), respond_health(9))
        async with ScriptedUpstream(*script) as upstream:
            runner = await self.make_warm_runner(upstream)
            await self.run_calls(runner, 1)
            await self.run_calls(runner, 1)
            await self.wait_for_check()
        self.assertEqual(self.monitor.n_health_checks, 2)

    async def test_loss_of_one_connection_of_several_is_no_start(self) -> None:
        """Connections are lost while the upstream runs on."""
        released = asyncio.Event()
        script = (respond_health(0), respond_after(released), reset_connection())
        async with ScriptedUpstream(*script, respond()) as upstream:
            runner = await self.make_warm_runner(upstream)
            first = asyncio.create_task(self.run_calls(runner, 1))
            await wait_until(lambda: len(upstream.requests) == 2)
            await self.run_calls(runner, 2)
            released.set()
            await first
        self.assertEqual(self.monitor.n_health_checks, 1)

    async def test_other_evidence_of_a_start_leads_to_one_health_check(self) -> None:
        def end_evacuation(runner: UpstreamRunner) -> None:
            self.membership.evacuation_ended_at = {"zone-a": runner.loop.time()}

        def register_again(_runner: UpstreamRunner) -> None:
            self.monitor.record_entries("records")
            self.membership.put(make_upstream("u-1", n_slots=8, start_time_ms=2_000))
            self.monitor.record_entries("records")

        for show_start in (end_evacuation, register_again):
            with self.subTest(show_start.__name__):
                scripts = [respond_health(0), respond(), respond_health(0)]
                async with ScriptedUpstream(*scripts) as upstream:
                    runner = await self.make_warm_runner(upstream)
                    await self.run_calls(runner, 1)
                    show_start(runner)
                    self.monitor.update()
                    self.assertTrue(runner.limiter.is_cold(runner.loop.time()))
                    await self.wait_for_check()
                    self.monitor.update()
                self.assertEqual(self.monitor.n_health_checks, 2)

    async def test_failed_health_check_is_not_repeated(self) -> None:
        script = send_bytes(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        async with ScriptedUpstream(script) as upstream:
            runner = self.make_runner(upstream)
            await self.wait_for_check()
            self.monitor.update()
            self.assertTrue(runner.limiter.is_cold(runner.loop.time()))
        self.assertEqual(self.monitor.n_health_checks, 1)

    async def test_failed_health_response_without_the_time_does_not_say_warm(
        self,
    ) -> None:
        """An upstream that is starting, and says 503, must not lose its limit."""
        for status in (b"503 Starting", b"421 Other", b"404 Unknown"):
            with self.subTest(status):
                script = send_bytes(
                    b"HTTP/1.1 %b\r\nX-Upstream: u-1\r\nContent-Length: 0\r\n\r\n"
                    % status
                )
                async with ScriptedUpstream(script) as upstream:
                    runner = self.make_runner(upstream)
                    await self.wait_for_check()
                    self.assertTrue(runner.limiter.is_cold(runner.loop.time()))

    async def test_misdirected_request_shows_a_start_and_does_not_count(self) -> None:
        script = (
            respond_health(0),
            respond(status="421 Misdirected", extra="X-Upstream: u-2\r\n"),
            respond_health(3_000_000),
            respond(),
        )
        async with ScriptedUpstream(*script) as upstream:
            runner = await self.make_warm_runner(upstream)
            runner.membership.put(make_upstream("u-1", n_slots=1, service="other"))
            await self.run_calls(runner, 1)
            await self.wait_for_check()
            now = runner.loop.time()
            self.assertTrue(runner.limiter.is_cold(now))
            self.assertEqual(len(runner.limiter.sent_at), 0)

    async def test_parent_of_a_call_is_the_request_with_the_nearest_deadline(
        self,
    ) -> None:
        released = asyncio.Event()
        scripts = [respond_after(released)] * 2
        async with ScriptedUpstream(*scripts) as upstream:
            runner = self.make_runner(upstream, ServiceSettings(name="records"))
            now = runner.loop.time()
            calls = [
                make_call(now, deadline=now + LONG_TIMEOUT_S + offset_s)
                for offset_s in (0.0, 0.02)
            ]
            tasks = [asyncio.create_task(runner.run(call)) for call in calls]
            await wait_until(lambda: len(upstream.requests) == 2)
            self.assertIs(runner.running.find_parent(calls[0].deadline), calls[0])
            self.assertIs(
                runner.running.find_parent(calls[1].deadline + 0.01), calls[1]
            )
            self.assertIsNone(runner.running.find_parent(calls[1].deadline + 0.05))
            released.set()
            await asyncio.gather(*tasks)
        self.assertIsNone(runner.running.find_parent(calls[0].deadline))
