from random import Random
from unittest import TestCase

from foxtailway.traffic.membership import Upstream
from foxtailway.traffic.selection import LoadReport, UpstreamSelector, answer_worth
from foxtailway.traffic.tests.builders import make_route, make_upstream

REGIONS = {"zone-a": "east", "zone-b": "east", "zone-c": "west"}
NEAR = make_upstream("near", zone="zone-a")
MIDDLE = make_upstream("middle", zone="zone-b")
FAR = make_upstream("far", zone="zone-c")
ROUTE = make_route()


class UpstreamSelectorTest(TestCase):
    def setUp(self) -> None:
        self.selector = UpstreamSelector(
            zone="zone-a", zone_regions=REGIONS, random_source=Random(5)
        )

    def choose(self, *upstreams: Upstream, now: float = 0.0, **changes: object) -> str:
        view = self.selector.choose(
            route=ROUTE,
            upstreams=upstreams,
            excluded=changes.get("excluded", frozenset()),
            due_at=now + 0.25,
            deadline=now + 0.6,
            now=now,
        )
        return "" if view is None else view.upstream.upstream_id

    def report(self, upstream: Upstream, n_busy: int, now: float = 0.0) -> None:
        report = LoadReport(n_busy=n_busy, n_slots=4, run_time_s=0.06)
        self.selector.record_report(self.selector.get_view(upstream, now), report, now)

    def test_own_zone_is_preferred(self) -> None:
        self.assertEqual(self.choose(FAR, MIDDLE, NEAR), "near")

    def test_busy_zone_spills_within_the_region(self) -> None:
        self.report(NEAR, n_busy=20)
        self.assertEqual(self.choose(FAR, MIDDLE, NEAR), "middle")

    def test_short_queue_at_home_beats_the_price_of_the_way(self) -> None:
        self.report(NEAR, n_busy=6)
        self.assertEqual(self.choose(FAR, MIDDLE, NEAR), "near")

    def test_other_region_takes_what_would_be_lost(self) -> None:
        self.report(NEAR, n_busy=60)
        self.report(MIDDLE, n_busy=60)
        self.assertEqual(self.choose(FAR, MIDDLE, NEAR), "far")

    def test_other_region_is_not_asked_to_queue(self) -> None:
        self.report(NEAR, n_busy=60)
        self.report(MIDDLE, n_busy=12)
        self.report(FAR, n_busy=5)
        self.assertEqual(self.choose(FAR, MIDDLE, NEAR), "middle")

    def test_service_that_is_left_in_other_regions_only_is_queued_for_there(
        self,
    ) -> None:
        """All near upstreams gone, the far ones busy; a short queue is the best."""
        other = make_upstream("other", zone="zone-c")
        self.report(FAR, n_busy=5)
        self.report(other, n_busy=20)
        for _ in range(20):
            self.assertEqual(self.choose(other, FAR), "far")

    def test_slow_upstream_is_avoided_and_tried_again(self) -> None:
        for step in range(30):
            now = step * 0.01
            for upstream, run_time_s in ((NEAR, 0.5), (MIDDLE, 0.06)):
                view = self.selector.get_view(upstream, now)
                self.selector.record_run(view, ROUTE.name, run_time_s, now)
        self.assertEqual(self.choose(NEAR, MIDDLE, now=0.3), "middle")
        self.assertEqual(self.choose(NEAR, MIDDLE, now=12.0), "near")

    def test_failing_upstream_loses_its_requests(self) -> None:
        view = self.selector.get_view(NEAR, 0.0)
        for _ in range(10):
            self.selector.record_failure(view, 0.0)
        self.assertEqual(self.choose(NEAR, MIDDLE), "middle")

    def test_unreachable_upstream_is_the_last_resort(self) -> None:
        self.selector.record_unreachable(self.selector.get_view(NEAR, 0.0), 0.0)
        self.assertEqual(self.choose(NEAR, FAR), "far")
        self.assertEqual(self.choose(NEAR), "near")

    def test_excluded_upstreams_are_not_chosen(self) -> None:
        self.assertEqual(self.choose(NEAR, excluded=frozenset({"near"})), "")

    def test_worth_falls_with_time(self) -> None:
        worths = [
            answer_worth(step / 20, now=0.0, due_at=0.5, deadline=0.9)
            for step in range(20)
        ]
        self.assertEqual(worths, sorted(worths, reverse=True))
