import unittest

from hypothesis import given
from hypothesis import strategies as st

from foxtailway.common.quantity import (
    format_duration,
    format_size,
    parse_duration,
    parse_size,
)


class QuantityTest(unittest.TestCase):
    def test_durations(self) -> None:
        cases = {"500ms": 0.5, "2s": 2.0, "2 s": 2.0, "1.5min": 90.0, "1h": 3600.0}
        for text, expected in cases.items():
            self.assertEqual(parse_duration(text), expected)

    def test_sizes(self) -> None:
        cases = {"7B": 7, "1.5KB": 1500, "2MB": 2_000_000}
        for text, expected in cases.items():
            self.assertEqual(parse_size(text), expected)

    def test_text_without_unit_or_number_is_refused(self) -> None:
        for text in ["", "5", "s", "-1s", "nan s", "infs", "1e9s", "1 S", "٣s", "1mb"]:
            self.assertIsNone(parse_duration(text))
            self.assertIsNone(parse_size(text))
        self.assertIsNone(parse_size("1.0005KB"))

    @given(st.integers(0, 10_000_000))
    def test_round_trip(self, number: int) -> None:
        self.assertEqual(parse_size(format_size(number)), number)
        duration_s = number / 1000
        self.assertEqual(parse_duration(format_duration(duration_s)), duration_s)
