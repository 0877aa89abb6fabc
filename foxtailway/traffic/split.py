"""Traffic split of a route's requests between its services."""

from random import Random

from foxtailway.traffic.configuration import TrafficRoute, WeightedService

__all__ = ["SplitChooser"]


class WeightedRoundRobin:
    """Smooth weighted round robin over the services of a route.

    Parameters
    ----------
    destinations : tuple of WeightedService
        Services with their weights.
    random_source : Random
        Source of the initial credits, so that nodes do not choose the same service
        at the same time.

    Notes
    -----
    With every choice, the credit of each service grows by its weight, and the total
    weight is subtracted from the credit of the chosen service. Any sequence of
    consecutive choices therefore follows the weights closely.
    """

    def __init__(
        self, *, destinations: tuple[WeightedService, ...], random_source: Random
    ) -> None:
        self.destinations = destinations
        self.total_weight = sum(item.weight for item in destinations)
        self.credits = [item.weight * random_source.random() for item in destinations]

    def choose(self) -> str:
        """Return the name of the next service."""
        best = 0
        for index, item in enumerate(self.destinations):
            self.credits[index] += item.weight
            if self.credits[index] > self.credits[best]:
                best = index
        self.credits[best] -= self.total_weight
        return self.destinations[best].service


class SplitChooser:
    """Chooser of the service of each request by the weights of its route.

    Parameters
    ----------
    random_source : Random
        Source of the initial credits.
    """

    def __init__(self, *, random_source: Random) -> None:
        self.random_source = random_source
        self.round_robins: dict[tuple[str, str], WeightedRoundRobin] = {}

    def choose(self, route: TrafficRoute) -> str:
        """Return the service for the next request of a route."""
        if len(route.destinations) == 1:
            return route.destinations[0].service
        key = (route.host, route.prefix)
        round_robin = self.round_robins.get(key)
        if round_robin is None or round_robin.destinations != route.destinations:
            round_robin = WeightedRoundRobin(
                destinations=route.destinations, random_source=self.random_source
            )
            self.round_robins[key] = round_robin
        return round_robin.choose()

    def retain(self, routes: tuple[TrafficRoute, ...]) -> None:
        """Delete the state of routes that are not among the given ones."""
        current_keys = {(route.host, route.prefix) for route in routes}
        for key in self.round_robins.keys() - current_keys:
            del self.round_robins[key]
