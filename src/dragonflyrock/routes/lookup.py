"""Find the route of a request by its host and the longest matching path prefix."""

from __future__ import annotations

from .models import Route

__all__ = ["RouteIndex"]


class RouteIndex:
    """Index of routes by host and path prefix; prefixes end with a slash.

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
        """Create an empty index."""
        self._by_host: dict[str, dict[str, Route]] = {}
        self._by_name: dict[str, Route] = {}

    def __len__(self) -> int:
        """Return the number of routes."""
        return len(self._by_name)

    def __contains__(self, name: str) -> bool:
        """Return whether there is a route with a name."""
        return name in self._by_name

    def put(self, route: Route) -> None:
        """Add a route, or replace the route with its name."""
        self.remove(route.name)
        self._by_name[route.name] = route
        self._by_host.setdefault(route.host.lower(), {})[route.prefix] = route

    def remove(self, name: str) -> None:
        """Remove the route with a name, if there is one."""
        route = self._by_name.pop(name, None)
        if route is None:
            return
        prefixes = self._by_host.get(route.host.lower(), {})
        if prefixes.get(route.prefix) is route:
            del prefixes[route.prefix]
        if not prefixes:
            self._by_host.pop(route.host.lower(), None)

    def clear(self) -> None:
        """Remove all routes."""
        self._by_host.clear()
        self._by_name.clear()

    def find(self, host: str, target: str) -> Route | None:
        """Return the route of a host and a request target, or None."""
        prefixes = self._by_host.get(host.lower())
        if not prefixes:
            return None
        path = target.partition("?")[0]
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None
