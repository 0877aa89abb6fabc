import unittest

from hypothesis import given
from hypothesis import strategies as st

from foxtailway.model import Route
from foxtailway.routing import RouteTable
from foxtailway.routing.tests.builders import make_route

SEGMENTS = st.lists(st.sampled_from(["", "a", "ab", "b"]), max_size=4)
PATHS = SEGMENTS.map(lambda segments: "/" + "/".join(segments))
METHODS = st.sampled_from(["GET", "POST"])
ROUTES = st.lists(
    st.builds(
        lambda prefix, methods, index: make_route(prefix, *methods, name=str(index)),
        PATHS,
        st.sets(METHODS, min_size=1),
        st.integers(0, 99),
    ),
    max_size=8,
)


def find_by_scan(routes: list[Route], method: str, path: str) -> Route | None:
    best = None
    for route in routes:
        prefix = route.path_prefix.rstrip("/")
        if method not in route.methods or not f"{path}/".startswith(f"{prefix}/"):
            continue
        if best is None or len(prefix) > len(best.path_prefix.rstrip("/")):
            best = route
    return best


class RouteTableTest(unittest.TestCase):
    @given(ROUTES, METHODS, PATHS)
    def test_equals_a_scan_of_all_routes(
        self, routes: list[Route], method: str, path: str
    ) -> None:
        found = RouteTable(routes=routes).find(method, path)
        self.assertEqual(found, find_by_scan(routes, method, path))

    def test_query_and_unmatched_targets(self) -> None:
        route = make_route("/slots")
        table = RouteTable(routes=[route])
        self.assertEqual(table.find("GET", "/slots?pond=/x"), route)
        self.assertIsNone(table.find("GET", "/slots-old"))
        self.assertIsNone(table.find("GET", "slots"))
        self.assertIsNone(table.find("GET", "*"))
