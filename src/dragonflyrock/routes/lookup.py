"""The route of a host and path: the longest prefix that begins the path."""

from __future__ import annotations

from .models import Route

__all__ = ["RouteIndex"]


class RouteIndex:
    """Routes by host, and by the slash-ended prefixes of their paths.

    >>> from .models import RouteKind
    >>> route = Route("r", "a.example", "/x/", RouteKind.ONCE, (), 1, 1, 1, 0)
    >>> index = RouteIndex()
    >>> index.put(route)
    >>> index.find("A.example", "/x/y?z=/1/").name
    'r'
    >>> index.find("a.example", "/xy/") is None
    True
    """

    def __init__(self) -> None:
        """Start empty."""
        self._hosts: dict[str, dict[str, Route]] = {}
        self._names: dict[str, Route] = {}

    def __len__(self) -> int:
        """Return how many routes there are."""
        return len(self._names)

    def put(self, route: Route) -> None:
        """Add a route, or replace the one of its name."""
        self.remove(route.name)
        self._names[route.name] = route
        self._hosts.setdefault(route.host.lower(), {})[route.prefix] = route

    def remove(self, name: str) -> None:
        """Drop the route of a name."""
        route = self._names.pop(name, None)
        if route is None:
            return
        prefixes = self._hosts.get(route.host.lower(), {})
        if prefixes.get(route.prefix) is route:
            del prefixes[route.prefix]

    def clear(self) -> None:
        """Drop all routes."""
        self._hosts.clear()
        self._names.clear()

    def find(self, host: str, target: str) -> Route | None:
        """Return the route of a host and a request target."""
        prefixes = self._hosts.get(host.lower())
        if not prefixes:
            return None
        path = target.partition("?")[0]
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None
