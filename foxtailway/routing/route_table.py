"""Lookup of the route that serves a request."""

from collections.abc import Iterable

from foxtailway.model.snapshot import Route

__all__ = ["RouteTable"]


class RouteTable:
    """Find routes by the longest path prefix that ends at a segment boundary.

    A lookup costs one dictionary access per segment of the path, up to the
    deepest prefix, however many routes there are.

    Parameters
    ----------
    routes : iterable of Route
        Routes; of two with the same prefix and method the first one wins.

    Notes
    -----
    The longest prefix among the routes that accept the method wins. The prefix
    ``/slots`` matches ``/slots`` and ``/slots/7`` but not ``/slots-old``; a
    trailing slash of a prefix has no meaning. The path is compared as it was
    sent: neither ``..`` nor percent-encoding is interpreted.
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
        """Return the route of a request, or None.

        Parameters
        ----------
        method : str
            HTTP method in upper case.
        path : str
            Request target, with or without a query.

        Returns
        -------
        Route or None
            Route with the longest matching prefix that accepts `method`.
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
        """Return the prefixes of `target` up to the deepest known, longest first."""
        segments = target.split("/", self.max_depth + 1)[1 : self.max_depth + 1]
        prefixes = [""]
        for segment in segments:
            prefixes.append(f"{prefixes[-1]}/{segment}")
        prefixes.reverse()
        return prefixes
