"""Models of the operators' route document; times are in milliseconds."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "ClientLimits",
    "Route",
    "RouteChange",
    "RouteDocument",
    "RouteKind",
    "RoutedService",
    "ServiceShare",
]


class RouteKind(StrEnum):
    """Whether a request of a route may run more than once."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"


class ServiceShare(NamedTuple):
    """A service and its weight in a route's traffic split."""

    service: str
    weight: float


class Route(NamedTuple):
    """How requests for a host and path prefix are routed.

    ``priority`` 0 is the most urgent. ``source`` is the route as the operator
    wrote it; it is empty on entry hosts.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_ms: float
    max_attempts: int
    target_ms: float
    priority: int
    source: bytes = b""

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind == RouteKind.IDEMPOTENT


class RoutedService(NamedTuple):
    """A service of backend servers; if ``keyed``, each server owns some of the keys."""

    name: str
    health_path: str
    max_connections: int
    keyed: bool
    warm_ms: float
    source: bytes = b""


class ClientLimits(NamedTuple):
    """Limits of a caller's header and body sizes and of its header and idle times."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0
    source: bytes = b""


class RouteDocument(NamedTuple):
    """The whole route document; version 0 is empty and precedes the first."""

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[RoutedService, ...] = ()
    limits: ClientLimits = ClientLimits()


class RouteChange(NamedTuple):
    """Routes and services to add or replace, and names of those to remove."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[RoutedService, ...] = ()
    removed_routes: tuple[str, ...] = ()
    removed_services: tuple[str, ...] = ()
    limits: ClientLimits | None = None
