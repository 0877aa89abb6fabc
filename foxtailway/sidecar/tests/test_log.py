import json
import os
from unittest import TestCase
from unittest.mock import patch

from foxtailway.sidecar.log import (
    MAX_PENDING_LINES,
    MAX_REQUEST_LINES_PER_S,
    EventLog,
)

N_FURTHER_LINES = 500
PADDING = "x" * 200


class EventLogTest(TestCase):
    def setUp(self) -> None:
        self.reading_end, writing_end = os.pipe()
        self.addCleanup(os.close, self.reading_end)
        self.addCleanup(os.close, writing_end)
        self.log = EventLog(host_id="host-1", descriptor=writing_end)
        self.log.open()

    def read_lines(self) -> list[dict]:
        text = os.read(self.reading_end, 1_000_000).decode()
        return [json.loads(line) for line in text.splitlines()]

    def test_line_holds_the_inputs_of_a_decision(self) -> None:
        self.log.write("refused", "r-1", status=503)
        (line,) = self.read_lines()
        self.assertEqual(line["event"], "refused")
        self.assertEqual((line["host"], line["request_id"]), ("host-1", "r-1"))
        self.assertEqual(line["status"], 503)

    def test_blocked_reader_causes_dropped_lines_only(self) -> None:
        n_written = 0
        while not self.log.n_dropped:
            self.log.write("upstream_changed", padding=PADDING)
            n_written += 1
            self.assertLess(n_written, 10 * MAX_PENDING_LINES)
        for _ in range(N_FURTHER_LINES):
            self.log.write("upstream_changed", padding=PADDING)
        self.assertEqual(self.log.n_dropped, N_FURTHER_LINES + 1)
        self.assertEqual(len(self.log.pending_lines), MAX_PENDING_LINES)

    def test_lines_are_complete_after_the_reader_resumes(self) -> None:
        for number in range(1_000):
            self.log.write("upstream_changed", number=number, padding=PADDING)
        received = b""
        while self.log.pending_lines:
            received += os.read(self.reading_end, 65_536)
            self.log.write_line(b"")
        received += os.read(self.reading_end, 1_000_000)
        numbers = [json.loads(line)["number"] for line in received.splitlines()]
        self.assertEqual(numbers, list(range(1_000)))

    def test_lines_of_requests_are_bounded_in_a_second(self) -> None:
        with patch("foxtailway.sidecar.log.time.time", return_value=100.0):
            for _ in range(MAX_REQUEST_LINES_PER_S + 7):
                self.log.write("refused", "r-1")
            self.log.write("stopping")
        self.assertEqual(len(self.read_lines()), MAX_REQUEST_LINES_PER_S + 1)
        self.assertEqual(self.log.n_dropped, 7)
