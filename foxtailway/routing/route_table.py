"""Route lookup by path prefix and method."""

from collections.abc import Iterable

from foxtailway.model.snapshot import Route

__all__ = ["RouteTable"]


class RouteTable:
    """Table of routes, matched by the longest prefix of whole path segments.

    A lookup costs one dictionary access per path segment, up to the depth of
    the deepest prefix, independent of the number of routes.

    Parameters
    ----------
    routes : iterable of Route
        Routes; of two with the same prefix and method the first one is used.

    Notes
    -----
    Among the routes that accept the method, the one with the longest matching
    prefix is used. The prefix ``/slots`` matches ``/slots`` and ``/slots/7`` but
    not ``/slots-old``; a trailing slash in a prefix is ignored. The path is
    compared as received: ``..`` and percent-encoding are not interpreted.
    """

    def __init__(self, *, routes: Iterable[Route]) -> None:
        self.routes_by_prefix: dict[str, dict[str, Route]] = {}
        for route in routes:
            prefix = route.path_prefix.rstrip("/")
            by_method = self.routes_by_prefix.setdefault(prefix, {})
            for method in route.methods:
                by_method.setdefault(method, route)
        self.max_depth = max(
            (prefix.count("/") for prefix in self.routes_by_prefix), default=0
        )

    def find(self, method: str, path: str) -> Route | None:
        """Return the route that serves a request, or None.

        Parameters
        ----------
        method : str
            HTTP method in upper case.
        path : str
            Request target, with or without a query.

        Returns
        -------
        Route or None
            Route with the longest matching prefix that accepts `method`; None
            when there is none or `path` does not start with ``/``.
        """
        target = path.partition("?")[0]
        if not target.startswith("/"):
            return None
        for prefix in self.list_prefixes(target):
            route = self.routes_by_prefix.get(prefix, {}).get(method)
            if route is not None:
                return route
        return None

    def list_prefixes(self, target: str) -> list[str]:
        """Return the prefixes of `target` up to the table's depth, longest first."""
        segments = target.split("/", self.max_depth + 1)[1 : self.max_depth + 1]
        prefixes = [""]
        for segment in segments:
            prefixes.append(f"{prefixes[-1]}/{segment}")
        prefixes.reverse()
        return prefixes
