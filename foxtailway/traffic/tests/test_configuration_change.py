from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from foxtailway.traffic.configuration import ClientLimits, TrafficConfiguration
from foxtailway.traffic.configuration_change import (
    NO_VERSION,
    apply_change,
    compare_configurations,
)
from foxtailway.traffic.route_index import RouteIndex
from foxtailway.traffic.tests.builders import make_route

ROUTES = st.lists(
    st.builds(
        lambda host, prefix, timeout_s: make_route(
            host=host, prefix=prefix, timeout_s=timeout_s
        ),
        st.sampled_from(["a.example", "b.example"]),
        st.sampled_from(["/", "/x/", "/y/"]),
        st.sampled_from([0.5, 1.0]),
    ),
    max_size=8,
)


def make_configuration(version: int, routes: list) -> TrafficConfiguration:
    limits = ClientLimits(idle_timeout_s=float(version))
    return TrafficConfiguration(version=version, routes=tuple(routes), limits=limits)


class ConfigurationChangeTest(TestCase):
    @settings(derandomize=True, max_examples=200)
    @given(before=ROUTES, after=ROUTES)
    def test_change_leads_to_the_target(self, before: list, after: list) -> None:
        base = make_configuration(3, before)
        target = make_configuration(5, after)
        result = apply_change(base, compare_configurations(base, target))
        self.assertEqual(
            RouteIndex(routes=result.routes).by_host,
            RouteIndex(routes=target.routes).by_host,
        )
        self.assertEqual((result.version, result.limits), (5, target.limits))

    def test_change_contains_only_differences(self) -> None:
        routes = [make_route(prefix=f"/{number}/") for number in range(100)]
        base = make_configuration(3, routes)
        changed_routes = [*routes[1:], make_route(prefix="/7/", timeout_s=9.0)]
        change = compare_configurations(base, make_configuration(4, changed_routes))
        self.assertEqual([route.prefix for route in change.routes], ["/7/"])
        self.assertEqual([key.prefix for key in change.removed], ["/0/"])

    def test_change_of_another_version_is_not_applied(self) -> None:
        base = make_configuration(3, [make_route()])
        change = compare_configurations(base, make_configuration(4, []))
        self.assertIsNone(apply_change(None, change))
        self.assertIsNone(apply_change(make_configuration(2, []), change))

    def test_complete_configuration_applies_to_any_version(self) -> None:
        target = make_configuration(4, [make_route()])
        change = compare_configurations(None, target)
        self.assertEqual(change.base_version, NO_VERSION)
        for base in (None, make_configuration(1, [make_route(prefix="/old/")])):
            self.assertEqual(apply_change(base, change), target)
