from collections import Counter
from random import Random
from unittest import TestCase

from foxtailway.traffic.configuration import WeightedService
from foxtailway.traffic.split import SplitChooser
from foxtailway.traffic.tests.builders import make_route

SPLIT = (
    WeightedService(service="records", weight=90.0),
    WeightedService(service="dispatch", weight=10.0),
)


class SplitChooserTest(TestCase):
    def test_consecutive_choices_follow_the_weights(self) -> None:
        chooser = SplitChooser(random_source=Random(1))
        route = make_route(destinations=SPLIT)
        choices = [chooser.choose(route) for _ in range(400)]
        for start in range(0, 300, 10):
            counts = Counter(choices[start : start + 100])
            self.assertAlmostEqual(counts["dispatch"], 10, delta=1)

    def test_changed_weights_apply_to_the_next_request(self) -> None:
        chooser = SplitChooser(random_source=Random(1))
        chooser.choose(make_route(destinations=SPLIT))
        single_destination = (WeightedService(service="dispatch", weight=1.0),)
        self.assertEqual(
            chooser.choose(make_route(destinations=single_destination)), "dispatch"
        )

    def test_state_of_removed_routes_is_deleted(self) -> None:
        chooser = SplitChooser(random_source=Random(1))
        chooser.choose(make_route(destinations=SPLIT))
        chooser.retain(())
        self.assertEqual(chooser.round_robins, {})
