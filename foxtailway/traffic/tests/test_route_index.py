from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from foxtailway.traffic.route_index import RouteIndex
from foxtailway.traffic.tests.builders import make_route

SEGMENTS = st.lists(st.sampled_from(["a", "b", "c"]), max_size=4)


def join_prefix(segments: list[str]) -> str:
    return "/" + "".join(f"{segment}/" for segment in segments)


class RouteIndexTest(TestCase):
    @settings(derandomize=True, max_examples=200)
    @given(prefixes=st.lists(SEGMENTS, max_size=6), path=SEGMENTS, tail=st.booleans())
    def test_agrees_with_a_scan_of_all_prefixes(
        self, prefixes: list[list[str]], path: list[str], tail: bool
    ) -> None:
        routes = [make_route(prefix=join_prefix(item)) for item in prefixes]
        target = join_prefix(path) + ("leaf" if tail else "")
        matching = [route for route in routes if target.startswith(route.prefix)]
        expected = max(matching, key=lambda route: len(route.prefix), default=None)
        found = RouteIndex(routes=routes).find("a.example", target + "?x=/a/b/")
        self.assertEqual(found, expected)

    def test_host_is_compared_without_case_and_port(self) -> None:
        index = RouteIndex(routes=[make_route()])
        self.assertIsNotNone(index.find("A.Example:8080", "/x"))
        self.assertIsNone(index.find("b.example", "/x"))
