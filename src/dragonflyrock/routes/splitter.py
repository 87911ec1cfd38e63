"""Split a route's requests among services by weight, as evenly as possible."""

from __future__ import annotations

from .models import Route

__all__ = ["WeightedSplitter"]


class WeightedSplitter:
    """Choose services for each route by smooth weighted round robin.

    >>> from .models import RouteKind, ServiceShare
    >>> shares = (ServiceShare("a", 3), ServiceShare("b", 1))
    >>> route = Route("r", "h", "/", RouteKind.ONCE, shares, 1, 1, 1, 0)
    >>> splitter = WeightedSplitter()
    >>> "".join(splitter.pick(route) for _ in range(8))
    'aabaaaba'
    """

    def __init__(self) -> None:
        """Create a splitter with equal credits for all services."""
        self._credits: dict[str, dict[str, float]] = {}

    def pick(self, route: Route, start: float = 0.0) -> str:
        """Return the service of the route's next request.

        ``start`` (0 to 1) shifts the sequence, so that hosts do not all choose the
        same service at the same time.
        """
        if len(route.shares) == 1:
            return route.shares[0].service
        credits = self._credits.get(route.name)
        if credits is None or credits.keys() != {s.service for s in route.shares}:
            total = sum(share.weight for share in route.shares)
            credits = {share.service: 0.0 for share in route.shares}
            credits[route.shares[-1].service] = start * total
            self._credits[route.name] = credits
        total = 0.0
        for share in route.shares:
            credits[share.service] += share.weight
            total += share.weight
        chosen = max(
            (share.service for share in route.shares if share.weight > 0),
            key=credits.__getitem__,
        )
        credits[chosen] -= total
        return chosen
