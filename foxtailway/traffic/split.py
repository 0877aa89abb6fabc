"""Distribution of a route's requests over its services."""

from random import Random

from foxtailway.traffic.configuration import TrafficRoute, WeightedService

__all__ = ["SplitChooser"]


class WeightedCycle:
    """Choose services in turn so that every span keeps to the weights.

    Parameters
    ----------
    destinations : tuple of WeightedService
        Services and weights.
    random_source : Random
        Places the start of the cycle, so that nodes are not in step.

    Notes
    -----
    Smooth weighted round robin: each service gains its weight for every choice
    and the chosen one pays the total.
    """

    def __init__(
        self, *, destinations: tuple[WeightedService, ...], random_source: Random
    ) -> None:
        self.destinations = destinations
        self.total = sum(item.weight for item in destinations)
        self.credits = [item.weight * random_source.random() for item in destinations]

    def choose(self) -> str:
        """Return the next service."""
        best = 0
        for index, item in enumerate(self.destinations):
            self.credits[index] += item.weight
            if self.credits[index] > self.credits[best]:
                best = index
        self.credits[best] -= self.total
        return self.destinations[best].service


class SplitChooser:
    """Keep a cycle for each route whose requests are split.

    Parameters
    ----------
    random_source : Random
        Places the start of the cycles.
    """

    def __init__(self, *, random_source: Random) -> None:
        self.random_source = random_source
        self.cycles: dict[tuple[str, str], WeightedCycle] = {}

    def choose(self, route: TrafficRoute) -> str:
        """Return the service for the next request of a route."""
        if len(route.destinations) == 1:
            return route.destinations[0].service
        key = (route.host, route.prefix)
        cycle = self.cycles.get(key)
        if cycle is None or cycle.destinations != route.destinations:
            cycle = WeightedCycle(
                destinations=route.destinations, random_source=self.random_source
            )
            self.cycles[key] = cycle
        return cycle.choose()

    def retain(self, routes: tuple[TrafficRoute, ...]) -> None:
        """Forget the cycles of routes that are gone."""
        kept = {(route.host, route.prefix) for route in routes}
        for key in self.cycles.keys() - kept:
            del self.cycles[key]
