import json
from contextlib import redirect_stdout
from io import StringIO
from tempfile import NamedTemporaryFile
from unittest import TestCase

from foxtailway.cli.main import main
from foxtailway.explain.cause import count_causes, find_cause
from foxtailway.explain.sidecar_log import read_events, select_request


def make_line(event: str, time_s: float = 1.0, **fields: object) -> str:
    members = {"time": time_s, "host": "host-1", "event": event}
    return "host-1 " + json.dumps(members | fields) + "\n"


LINES = [
    make_line(
        "refused",
        2.0,
        request_id="r-1",
        service="records",
        status=503,
        outcome="not-run",
        reason="overloaded",
    ),
    make_line(
        "not_answered",
        1.5,
        request_id="r-1",
        upstream="u-1",
        reason="overloaded",
        n_busy=14,
        n_slots=12,
        report_age_s=0.02,
    ),
    make_line("started", 0.5),
    "cut off {\n",
]


class ExplainTest(TestCase):
    def explain(self, *arguments: str) -> tuple[int, str]:
        with NamedTemporaryFile("w", suffix=".log") as stream:
            stream.writelines(LINES)
            stream.flush()
            with redirect_stdout(StringIO()) as output:
                status = main(["explain", *arguments, stream.name])
        return status, output.getvalue()

    def test_events_come_in_order_of_time(self) -> None:
        parsed_log = read_events(LINES)
        self.assertEqual(
            [event.event for event in parsed_log.events],
            ["started", "not_answered", "refused"],
        )
        self.assertEqual(parsed_log.n_unreadable, 1)

    def test_cause_names_the_upstreams_that_were_asked(self) -> None:
        cause = find_cause(select_request(read_events(LINES).events, "r-1"))
        self.assertIn("answered 503", cause)
        self.assertIn("u-1 (overloaded, 14 busy of 12 slots 0.02 s before)", cause)

    def test_cause_of_an_unknown_route_names_version_and_path(self) -> None:
        line = make_line(
            "refused",
            request_id="r-2",
            status=404,
            reason="no-route",
            version=85,
            host_header="a.example",
            target="/x/",
        )
        cause = find_cause(read_events([line]).events)
        self.assertIn("version 85 matches a.example/x/", cause)

    def test_cause_of_a_lost_answer_says_that_the_outcome_is_unknown(self) -> None:
        line = make_line(
            "refused", request_id="r-3", status=502, reason="lost", outcome="unknown"
        )
        self.assertIn(
            "whether it ran is unknown", find_cause(read_events([line]).events)
        )

    def test_failure_of_the_upstream_is_distinguished(self) -> None:
        line = make_line(
            "upstream_failed", request_id="r-4", status=504, run_time_s=0.6
        )
        self.assertIn("the upstream itself", find_cause(read_events([line]).events))

    def test_refusal_by_the_upstream_itself_is_distinguished(self) -> None:
        """A free slot does not help while the upstream refuses what it is sent."""
        fields = {"outcome": "not-run", "reason": "overloaded", "is_offered": True}
        lines = [
            make_line("not_answered", request_id="r-5", upstream="u-1", **fields),
            make_line("refused", 2.0, request_id="r-5", status=503, **fields),
        ]
        events = read_events(lines).events
        cause = find_cause(events)
        self.assertIn("the last upstream that was asked refused it", cause)
        self.assertIn("u-1 (refused by the upstream)", cause)
        self.assertEqual(count_causes(events), {("", "503", "refused by upstream"): 1})

    def test_any_line_is_an_event_or_counted_as_unreadable(self) -> None:
        lines = [
            "[" * 100_000,
            '{"a":' * 100_000,
            '{"time": 1' + "0" * 400 + ', "host": "h", "event": "e"}',
            '{"time": "x", "host": "h", "event": "e"}',
            "[1]",
            '{"time": null}',
        ]
        parsed_log = read_events(lines)
        self.assertEqual((parsed_log.events, parsed_log.n_unreadable), ((), 6))

    def test_reason_with_braces_is_shown_as_it_is(self) -> None:
        line = make_line("refused", request_id="r-6", status=503, reason="{x}")
        self.assertIn("{x}", find_cause(read_events([line]).events))

    def test_events_outside_the_window_are_left_out(self) -> None:
        _, text = self.explain("--since", "1.8")
        self.assertIn("overloaded", text)
        _, text = self.explain("--since", "1.0", "--until", "2.0")
        self.assertNotIn("overloaded", text)
        _, text = self.explain("--request", "r-1", "--since", "1.8")
        self.assertNotIn("not_answered", text)

    def test_causes_are_counted(self) -> None:
        causes = count_causes(read_events(LINES).events)
        self.assertEqual(causes, {("records", "503", "overloaded"): 1})

    def test_command_prints_timeline_and_cause(self) -> None:
        status, text = self.explain("--request", "r-1")
        self.assertEqual(status, 0)
        self.assertIn("not_answered", text)
        self.assertIn("cause: answered 503", text)
        self.assertIn("1 lines could not be read", text)

    def test_command_prints_json(self) -> None:
        _, text = self.explain("--json", "--request", "r-1")
        self.assertEqual(len(json.loads(text.splitlines()[0])["events"]), 2)

    def test_unknown_request_is_a_finding(self) -> None:
        self.assertEqual(self.explain("--request", "r-9")[0], 1)

    def test_command_counts_causes(self) -> None:
        _, text = self.explain()
        self.assertIn("records  503     overloaded", text)
