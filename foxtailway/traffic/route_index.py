"""Lookup of routes by host and longest path prefix."""

from collections.abc import Iterable

from foxtailway.traffic.configuration import TrafficRoute

__all__ = ["RouteIndex", "normalize_host"]


class RouteIndex:
    """Index that finds the route with the longest matching path prefix.

    Parameters
    ----------
    routes : iterable of TrafficRoute
        Routes to index; a later route replaces one with the same host and prefix.
    """

    def __init__(self, *, routes: Iterable[TrafficRoute] = ()) -> None:
        self.by_host: dict[str, dict[str, TrafficRoute]] = {}
        for route in routes:
            self.by_host.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, target: str) -> TrafficRoute | None:
        """Return the route of a request, or None if no route matches.

        Parameters
        ----------
        host : str
            Value of the request's ``Host`` header.
        target : str
            Request target; its query is ignored.

        Examples
        --------
        >>> RouteIndex().find("a.example", "/b/c") is None
        True
        """
        prefixes = self.by_host.get(normalize_host(host))
        if prefixes is None:
            return None
        path = target.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def normalize_host(host: str) -> str:
    """Return a host in lower case and without its port.

    Examples
    --------
    >>> normalize_host("A.example:80")
    'a.example'
    """
    name, colon, port = host.rpartition(":")
    if colon and port.isdigit():
        host = name
    return host.lower()
