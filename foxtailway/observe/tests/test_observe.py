import io
import json
import logging
import unittest
from dataclasses import dataclass, field

from logbook import Logger
from tornado.httpclient import AsyncHTTPClient, HTTPResponse

from foxtailway.common import Failure, FailureKind, ManualClock, Step
from foxtailway.model import BundleKind, Secret
from foxtailway.observe import (
    AuditAction,
    AuditTrail,
    CallSide,
    NodeMetrics,
    Rejection,
    log_failure,
    make_log_handler,
    make_logging_bridge,
)
from foxtailway.observe.tests.node import FakeNode, make_status, make_version
from foxtailway.routing import Outcome, RefusalReason


@dataclass(frozen=True, slots=True, kw_only=True)
class Login:
    user: str
    password: str = field(repr=False)


class AuditTrailTest(unittest.TestCase):
    def test_newest_entries_are_kept(self) -> None:
        clock = ManualClock()
        trail = AuditTrail(size=2, clock=clock, read_system_time=lambda: 1000.0)
        for revision in (1, 2, 3):
            clock.advance(1.0)
            action = AuditAction.REJECTED if revision == 2 else AuditAction.APPLIED
            trail.record(
                action=action,
                kind=BundleKind.CONFIG,
                version=make_version(revision),
                delivered_by="platform",
            )
        self.assertEqual([entry.sequence for entry in trail.list_since(0)], [2, 3])
        self.assertEqual([entry.sequence for entry in trail.list_since(2)], [3])
        self.assertEqual(trail.n_recorded, 3)
        rejected = trail.find_last(AuditAction.REJECTED)
        self.assertEqual(rejected.version, make_version(2))
        self.assertEqual(rejected.digest, "02" * 16)
        self.assertEqual((rejected.time_s, rejected.monotonic_s), (1000.0, 2.0))
        self.assertIsNone(trail.find_last(AuditAction.REFUSED_OLDER))

    def test_repeats_are_counted_in_one_entry(self) -> None:
        """A persistent fault must not displace the other entries of the trail."""
        clock = ManualClock()
        trail = AuditTrail(size=9, clock=clock, read_system_time=clock.now)
        for _ in range(3):
            for peer in ("a", "b"):
                clock.advance(1.0)
                trail.record(action=AuditAction.REFUSED_OLDER, delivered_by=peer)
        first, second = trail.entries
        self.assertEqual((first.delivered_by, first.n_times), ("a", 3))
        self.assertEqual((first.time_s, first.last_time_s), (1.0, 5.0))
        self.assertEqual((second.delivered_by, second.last_time_s), ("b", 6.0))
        trail.record(action=AuditAction.REFUSED_OLDER, delivered_by="a", reason="x")
        self.assertEqual(len(trail.entries), 3)

    def test_each_application_has_its_own_entry(self) -> None:
        """Applied versions must not be merged, or their order would be lost."""
        trail = AuditTrail(size=9, clock=ManualClock())
        for revision in (1, 2, 1):
            trail.record(
                action=AuditAction.APPLIED,
                version=make_version(revision),
                delivered_by="a",
            )
        revisions = [entry.version.revision for entry in trail.entries]
        self.assertEqual(revisions, [1, 2, 1])


class NodeMetricsTest(unittest.TestCase):
    def test_every_metric_is_rendered(self) -> None:
        metrics = NodeMetrics(host_id="a")
        metrics.count_call(
            side=CallSide.ENTRY, outcome=Outcome.RAN, reason=None, duration_s=0.003
        )
        metrics.count_call(
            side=CallSide.UPSTREAM,
            outcome=Outcome.NOT_RUN,
            reason=RefusalReason.DRAINING,
            duration_s=1,
        )
        metrics.count_retry()
        metrics.count_version(kind=BundleKind.CONFIG, action=AuditAction.REJECTED)
        metrics.count_failure(
            Failure(step=Step.HELLO, kind=FailureKind.WRONG_MESH, peer="b", detail="x")
        )
        for n_bytes in (60, 70):
            status = make_status(
                confirmed_age_s=2.5,
                withdrawn_routes=("a", "b"),
                counters={"control_bytes_sent": n_bytes},
            )
            metrics.update(status)
        text = metrics.render()[0].decode()
        for line in [
            'foxtailway_calls_total{host="a",outcome="not-run",'
            'reason="draining",side="upstream"} 1',
            "foxtailway_call_duration_seconds_bucket"
            '{host="a",le="0.005",side="entry"} 1',
            'foxtailway_call_duration_seconds_count{host="a",side="upstream"} 1',
            'foxtailway_retries_total{host="a"} 1',
            'foxtailway_versions_total{action="rejected",host="a",kind="config"} 1',
            'foxtailway_failures_total{host="a",kind="wrong_mesh",step="hello"} 1',
            'foxtailway_node_control_bytes_sent{host="a"} 70',
            'foxtailway_confirmed_age_seconds{host="a"} 2.5',
            'foxtailway_children{host="a"} 3',
            'foxtailway_ready{host="a"} 1',
            'foxtailway_withdrawn_routes{host="a"} 2',
            'foxtailway_version_revision{host="a",kind="hosts"} 9',
        ]:
            self.assertIn(line, text)

    def test_registries_of_two_nodes_are_separate(self) -> None:
        """Nodes in one process must not share metrics through a global registry."""
        first, second = NodeMetrics(host_id="a"), NodeMetrics(host_id="b")
        first.count_retry()
        self.assertNotIn("foxtailway_retries_total{", second.render()[0].decode())


class LogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.stream = io.StringIO()
        handler = make_log_handler(host_id="a", level="INFO", stream=self.stream)
        self.enterContext(handler.applicationbound())
        self.logger = Logger("test")

    def read_lines(self) -> list[dict]:
        return [json.loads(line) for line in self.stream.getvalue().splitlines()]

    def test_failures_carry_step_and_peer(self) -> None:
        failure = Failure(
            step=Step.HELLO,
            kind=FailureKind.WRONG_MESH,
            peer="127.0.0.1:7000",
            detail="mesh {x}",
        )
        self.logger.debug("unseen")
        log_failure(self.logger, failure, action="peer is left")
        (line,) = self.read_lines()
        self.assertEqual(line["level"], "ERROR")
        self.assertEqual(line["step"], "hello")
        self.assertEqual(line["peer"], "127.0.0.1:7000")
        self.assertEqual(line["kind"], "wrong_mesh")
        self.assertEqual(line["detail"], "mesh {x}")
        self.assertTrue(line["time"].endswith("Z"))

    def test_secrets_are_never_written(self) -> None:
        """Secrets in messages and extra fields must not reach the log."""
        secret = Secret(name="token", value=b"hunter2")
        login = Login(user="token", password="hunter2")
        extra = {"secret": secret, "raw": b"hunter2", "login": login}
        self.logger.info("read {} {}", secret, login, extra=extra)
        text = self.stream.getvalue()
        self.assertIn("token", text)
        self.assertNotIn("hunter2", text)

    def test_exceptions_and_foreign_records_are_one_line_each(self) -> None:
        """Line breaks in an exception must not split its record into several lines."""
        try:
            raise ValueError("two\nlines")
        except ValueError:
            self.logger.exception("failed")
        foreign = logging.Logger("tornado.general")
        foreign.addHandler(make_logging_bridge())
        foreign.warning("a %s", "warning")
        first, second = self.read_lines()
        self.assertIn("ValueError: two\nlines", first["exception"])
        self.assertEqual(second["message"], "a warning")
        self.assertEqual(second["logger"], "tornado.general")


class AdminServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.node = FakeNode()
        self.node.server.start()
        self.addAsyncCleanup(self.node.server.stop)

    async def fetch(self, path: str) -> HTTPResponse:
        url = f"http://{self.node.address}{path}"
        return await AsyncHTTPClient().fetch(url, raise_error=False)

    async def test_status(self) -> None:
        rejection = Rejection(version=make_version(8), reason="base:3: no route")
        self.node.provider.status = make_status(last_rejection=rejection)
        status = json.loads((await self.fetch("/status")).body)
        self.assertEqual(status["config_version"], "1.7-07070707")
        self.assertEqual(status["last_rejection"]["version"], "1.8-08080808")
        self.assertEqual(status["withdrawn_routes"], [])

    async def test_ready_follows_the_node(self) -> None:
        cases = {(True, False): 200, (False, False): 503, (True, True): 503}
        for (is_ready, is_stopping), code in cases.items():
            self.node.provider.status = make_status(
                is_ready=is_ready, is_stopping=is_stopping
            )
            self.assertEqual((await self.fetch("/ready")).code, code)
            self.assertEqual((await self.fetch("/live")).code, 200)

    async def test_audit_since(self) -> None:
        for revision in range(5):
            self.node.trail.record(
                action=AuditAction.APPLIED,
                version=make_version(revision),
                delivered_by="b",
                changed_keys=("base",),
            )
        trail = json.loads((await self.fetch("/audit?since=4")).body)
        self.assertEqual(trail["n_recorded"], 5)
        (entry,) = trail["entries"]
        self.assertEqual(entry["sequence"], 5)
        self.assertEqual(entry["action"], "applied")
        self.assertEqual(entry["changed_keys"], ["base"])

    async def test_bad_requests_are_answered(self) -> None:
        self.assertEqual((await self.fetch("/audit?since=x")).code, 400)
        self.assertEqual((await self.fetch("/other")).code, 404)

    async def test_metrics(self) -> None:
        response = await self.fetch("/metrics")
        self.assertTrue(response.headers["Content-Type"].startswith("text/plain"))
        self.assertIn(b"foxtailway_ready", response.body)
