import unittest

import orjson
from hypothesis import given, settings
from hypothesis import strategies as st

from foxtailway.common import FailureKind, Step
from foxtailway.config import parse_host_list
from foxtailway.model import Host, HostState, make_document

VALID_FIELDS = ["h1", "10.0.0.1", 7000, "slots", "live"]
INVALID_FIELDS = (
    (0, ""),
    (0, 7),
    (0, "x" * 64),
    (0, "h\n1"),
    (1, "10.0.0.256"),
    (1, "pond.example"),
    (1, None),
    (2, 0),
    (2, 65536),
    (2, True),
    (2, "7000"),
    (3, []),
    (4, "gone"),
    (4, {}),
)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers(0, 9) | st.text() | st.just("::1"),
    lambda inner: st.lists(inner, max_size=6),
)


def parse(*lines: bytes, key: str = "hosts/north"):
    return parse_host_list(make_document(key=key, content=b"\n".join(lines)))


class HostListTest(unittest.TestCase):
    def test_hosts_in_order(self) -> None:
        other = ["h2", "::1", 1, "slots", "leaving"]
        hosts = parse(orjson.dumps(VALID_FIELDS), b"", orjson.dumps(other)).ok
        self.assertEqual(
            hosts[1],
            Host(
                host_id="h2",
                address="::1",
                mesh_port=1,
                zone="north",
                service="slots",
                state=HostState.LEAVING,
            ),
        )
        self.assertEqual(hosts[0].host_id, "h1")

    def test_empty_list_has_no_hosts(self) -> None:
        self.assertEqual(parse(b"").ok, ())

    def test_bad_field_names_the_line(self) -> None:
        for index, value in INVALID_FIELDS:
            with self.subTest(value=value):
                fields = [*VALID_FIELDS]
                fields[index] = value
                failure = parse(b"", orjson.dumps(fields)).error
                self.assertEqual(failure.step, Step.CONFIG_PARSE)
                self.assertEqual(failure.kind, FailureKind.INVALID)
                self.assertEqual(failure.peer, "hosts/north")
                self.assertIn("line 2 ", failure.detail)

    def test_repeated_host_names_the_line(self) -> None:
        line = orjson.dumps(VALID_FIELDS)
        self.assertIn("line 2 repeats host 'h1'", parse(line, line).error.detail)

    def test_size_and_key_are_checked(self) -> None:
        self.assertIn("1000000 bytes", parse(b" " * 1_000_001).error.detail)
        self.assertIn("hosts/ZONE", parse(b"", key="base").error.detail)

    @settings(max_examples=60, deadline=None)
    @given(JSON.map(orjson.dumps) | st.binary())
    def test_any_line_gives_hosts_or_a_failure(self, line: bytes) -> None:
        result = parse(line)
        if result.is_error():
            self.assertEqual(result.error.step, Step.CONFIG_PARSE)
