import asyncio
import io
import json
import socket
import threading
import unittest
from argparse import ArgumentParser
from contextlib import redirect_stderr, redirect_stdout
from dataclasses import fields

from expression import Ok
from hypothesis import given
from hypothesis import strategies as st

from foxtailway.cli.admin_client import AdminAddress
from foxtailway.cli.audit import AuditCommand
from foxtailway.cli.audit import make_row as make_audit_row
from foxtailway.cli.command import Command, ExitCode
from foxtailway.cli.fleet import compare_nodes
from foxtailway.cli.node_report import (
    ReportedVersion,
    parse_audit_report,
    parse_node_report,
    parse_version,
)
from foxtailway.cli.status import COLUMNS, StatusCommand, make_row
from foxtailway.cli.table import format_table
from foxtailway.cli.wait import WaitCommand
from foxtailway.common import ManualClock
from foxtailway.model import BundleKind
from foxtailway.observe import (
    AuditAction,
    AuditEntry,
    AuditTrail,
    NodeStatus,
    Rejection,
    encode_json,
)
from foxtailway.observe.tests.node import FakeNode, make_status, make_version

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=3),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(["host_id", "entries", "n_recorded"]), inner)
    ),
    max_leaves=6,
)
STATUS_FIELDS = [item.name for item in fields(NodeStatus)]
ENTRY_FIELDS = [item.name for item in fields(AuditEntry)]
VERSIONS = st.builds(
    ReportedVersion,
    generation=st.integers(0, 2),
    revision=st.integers(0, 2),
    digest=st.sampled_from(["aaaaaaaa", "bbbbbbbb"]),
)


class FleetThread(threading.Thread):
    """Thread that serves the admin ports of fake nodes on its own event loop."""

    def __init__(self, statuses: list[dict]) -> None:
        super().__init__(daemon=True)
        self.statuses = statuses
        self.nodes: list[FakeNode] = []
        self.is_started = threading.Event()

    def run(self) -> None:
        asyncio.run(self.serve())

    async def serve(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.stopped = asyncio.Event()
        self.nodes = [FakeNode(**status) for status in self.statuses]
        for node in self.nodes:
            node.server.start()
        self.is_started.set()
        await self.stopped.wait()
        for node in self.nodes:
            await node.server.stop()

    def stop(self) -> None:
        self.loop.call_soon_threadsafe(self.stopped.set)
        self.join()


class NodeCommandCase(unittest.TestCase):
    def start(self, *statuses: dict) -> list[FakeNode]:
        thread = FleetThread(list(statuses))
        thread.start()
        self.addCleanup(thread.stop)
        thread.is_started.wait()
        return thread.nodes

    def find_closed_address(self) -> str:
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            return f"127.0.0.1:{unused.getsockname()[1]}"

    def run_command(self, command: Command, *arguments: str) -> tuple[int, str]:
        parser = ArgumentParser()
        command.configure(parser)
        output = io.StringIO()
        with redirect_stdout(output), redirect_stderr(output):
            try:
                code = command.run(parser.parse_args(arguments))
            except SystemExit as error:
                code = error.code
        return code, output.getvalue()


class StatusCommandTest(NodeCommandCase):
    def test_equal_nodes_have_no_problem(self) -> None:
        nodes = self.start({"host_id": "a"}, {"host_id": "b", "parent": "a"})
        arguments = [node.address for node in nodes]
        code, output = self.run_command(StatusCommand(), *arguments)
        self.assertEqual(code, ExitCode.OK)
        self.assertIn("2 nodes, 0 behind, 0 with a problem", output)

    def test_each_problem_is_named(self) -> None:
        rejection = Rejection(version=make_version(7), reason="base:3: no cluster")
        other = make_version(7).__class__(generation=1, revision=7, digest=b"o" * 16)
        nodes = self.start(
            {"host_id": "newest", "withdrawn_routes": ("holds",)},
            {"host_id": "slow", "config_version": make_version(5)},
            {
                "host_id": "strict",
                "config_version": make_version(6),
                "last_rejection": rejection,
            },
            {"host_id": "lost", "config_version": make_version(4), "parent": None},
            {"host_id": "fresh", "config_version": None, "is_ready": False},
            {"host_id": "other", "config_version": other},
            {"host_id": "leaving", "is_stopping": True},
        )
        closed = self.find_closed_address()
        arguments = [*(node.address for node in nodes), closed]
        code, output = self.run_command(StatusCommand(), *arguments)
        self.assertEqual(code, ExitCode.FINDING)
        rows = {line.split()[0]: line for line in output.splitlines()}
        for host, note in {
            "newest": "withdrawn routes: holds",
            "slow": "behind 1.7-07070707: last confirmed 0.5 s ago through platform",
            "strict": "behind 1.7-07070707: rejected 1.7-07070707; "
            "last rejected 1.7-07070707: base:3: no cluster",
            "lost": "behind 1.7-07070707: has no parent",
            "fresh": "no configuration in force; not ready",
            "other": "differs from 1.7-07070707 under the same number",
            "leaving": "stopping",
            closed: "unreachable",
        }.items():
            self.assertIn(note, rows[host])
        self.assertIn("8 nodes, 5 behind, 7 with a problem", output)

    def test_json(self) -> None:
        (node,) = self.start({"host_id": "a"})
        arguments = ["--json", node.address, self.find_closed_address()]
        code, output = self.run_command(StatusCommand(), *arguments)
        self.assertEqual(code, ExitCode.FINDING)
        first, second = json.loads(output)
        self.assertEqual(first["report"]["config_version"]["revision"], 7)
        self.assertIsNone(second["report"])
        self.assertIn("unreachable", second["problems"][0])

    def test_malformed_addresses_are_wrong_usage(self) -> None:
        for argument in ["host", "host:", ":1", "host:0", "host:99999", "a/b:1", "a:²"]:
            code, output = self.run_command(StatusCommand(), argument)
            self.assertEqual(code, ExitCode.USAGE, argument)
            self.assertIn("HOST:PORT", output)


class AuditCommandTest(NodeCommandCase):
    def setUp(self) -> None:
        (self.node,) = self.start({})
        self.node.trail.record(
            action=AuditAction.APPLIED,
            kind=BundleKind.CONFIG,
            version=make_version(7),
            delivered_by="accra-a-2",
            changed_keys=("base", "overlay/accra-a"),
            changed_routes=("holds",),
        )
        self.node.trail.record(
            action=AuditAction.REJECTED, delivered_by="platform", reason="a\nb"
        )

    def test_entries_are_shown(self) -> None:
        code, output = self.run_command(AuditCommand(), self.node.address)
        self.assertEqual(code, ExitCode.OK)
        _, first, second, summary = output.splitlines()
        self.assertIn(
            "1970-01-01T00:00:00.000+00:00  1      applied   config  1.7-", first
        )
        self.assertIn("accra-a-2  base, overlay/accra-a, route holds", first)
        self.assertTrue(second.endswith("a b"))
        self.assertEqual(summary, "2 of 2 entries since the node started")

    def test_entries_since_as_json(self) -> None:
        arguments = ["--json", "--since", "1", self.node.address]
        code, output = self.run_command(AuditCommand(), *arguments)
        self.assertEqual(code, ExitCode.OK)
        self.assertEqual(json.loads(output)["reason"], "a\nb")

    def test_unreachable_node_is_named(self) -> None:
        address = self.find_closed_address()
        code, output = self.run_command(AuditCommand(), address)
        self.assertEqual(code, ExitCode.FINDING)
        self.assertIn(f"{address}: unreachable", output)


class WaitCommandTest(NodeCommandCase):
    def wait(self, version: str, *arguments: str) -> tuple[int, str]:
        return self.run_command(WaitCommand(), "--version", version, *arguments)

    def test_version_or_a_newer_one_is_enough(self) -> None:
        (node,) = self.start({})
        for version in ("1.7", "1.7-07070707", "1.6", "1.6-ffffffff", "0.9"):
            code, output = self.wait(version, node.address)
            self.assertEqual(code, ExitCode.OK, version)
            self.assertIn(f"{version} in force on 1 of 1", output)

    def test_missing_nodes_are_named_after_the_timeout(self) -> None:
        rejection = Rejection(version=make_version(8), reason="no cluster")
        nodes = self.start(
            {"host_id": "a", "config_version": make_version(8)},
            {"host_id": "b", "last_rejection": rejection},
            {"host_id": "c", "config_version": None},
            {"host_id": "d"},
        )
        arguments = [node.address for node in nodes] + [self.find_closed_address()]
        code, output = self.wait("1.8", "--timeout", "50ms", *arguments)
        self.assertEqual(code, ExitCode.FINDING)
        last = output.splitlines()[-1]
        self.assertIn("1.8 in force on 1 of 5, missing: b (rejected 1.8-", last)
        self.assertIn("c (no version); d (1.7-07070707); 127.0.0.1:", last)
        self.assertIn("(unreachable)", last)

    def test_other_digest_under_the_same_number_does_not_count(self) -> None:
        """Other content under the same number must not count as in force."""
        (node,) = self.start({})
        code, _ = self.wait("1.7-ffffffff", "--timeout", "0s", node.address)
        self.assertEqual(code, ExitCode.FINDING)

    def test_progress_until_all_have_it(self) -> None:
        first, second = self.start({}, {"config_version": make_version(6)})

        def catch_up() -> None:
            second.provider.status = make_status()

        timer = threading.Timer(0.1, catch_up)
        timer.start()
        self.addCleanup(timer.join)
        code, output = self.wait("1.7", first.address, second.address)
        self.assertEqual(code, ExitCode.OK)
        self.assertIn("in force on 1 of 2", output)
        self.assertIn("in force on 2 of 2", output)

    def test_malformed_arguments_are_wrong_usage(self) -> None:
        for arguments in [("x", "a:1"), ("1", "a:1"), ("1.7", "--timeout", "5", "a:1")]:
            code, _ = self.wait(*arguments)
            self.assertEqual(code, ExitCode.USAGE)


class NodeReportTest(unittest.TestCase):
    @given(st.sampled_from(STATUS_FIELDS), JSON_VALUES)
    def test_one_foreign_field_never_raises(self, name: str, value: object) -> None:
        """A malformed field in the status of one node must not end the command."""
        response = json.loads(encode_json(make_status(config_version=make_version(6))))
        newest = parse_node_report(response | {"config_version": "1.7-07070707"})
        report = parse_node_report(response | {name: value})
        if report is None:
            return
        address = AdminAddress(host="a", port=1)
        results = [Ok(newest), Ok(report)]
        for finding in compare_nodes([address, address], results):
            self.assertEqual(len(make_row(finding)), len(COLUMNS))

    @given(st.sampled_from(ENTRY_FIELDS), JSON_VALUES | st.floats())
    def test_one_foreign_audit_field_never_raises(
        self, name: str, value: object
    ) -> None:
        trail = AuditTrail(size=1, clock=ManualClock())
        trail.record(action=AuditAction.APPLIED, delivered_by="a")
        entry = json.loads(encode_json(trail.entries[0])) | {name: value}
        report = parse_audit_report({"n_recorded": 1, "entries": [entry]})
        if report is not None:
            self.assertEqual(len(make_audit_row(report.entries[0])), 9)

    @given(JSON_VALUES)
    def test_foreign_answers_never_raise(self, response: object) -> None:
        """Any JSON response must be parsed or rejected without an exception."""
        self.assertIsNone(parse_node_report(response))
        audit = parse_audit_report(response)
        if audit is not None:
            self.assertEqual(len(audit.entries), len(response["entries"]))

    @given(VERSIONS, VERSIONS)
    def test_satisfaction_follows_the_order_of_versions(
        self, wanted: ReportedVersion, applied: ReportedVersion
    ) -> None:
        expected = applied.sort_key > wanted.sort_key or applied == wanted
        self.assertEqual(wanted.is_satisfied_by(applied), expected)
        self.assertEqual(parse_version(str(applied)), applied)

    def test_cells_with_line_breaks_stay_on_their_line(self) -> None:
        """Text from a node must not break the table or control the terminal."""
        lines = format_table(("A", "B"), [("x\ny", "\x1b[31m")])
        self.assertEqual(lines, ("A    B", "x y   [31m"))
