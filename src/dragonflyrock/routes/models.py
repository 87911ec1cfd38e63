"""What operators say of routes and services; times in milliseconds."""

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
    """How often a request of a route may run."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"


class ServiceShare(NamedTuple):
    """A service and its weight in a split."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where the requests of a host and path prefix go.

    ``priority`` 0 is the most urgent. ``source`` is the item as the operator
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
    """A service of backend servers; a keyed one is divided by key among them."""

    name: str
    health_path: str
    max_connections: int
    keyed: bool
    warm_ms: float
    source: bytes = b""


class ClientLimits(NamedTuple):
    """What a client may send, and how long it may take or be idle."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0
    source: bytes = b""


class RouteDocument(NamedTuple):
    """A whole document; version 0 is the empty one before the first."""

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[RoutedService, ...] = ()
    limits: ClientLimits = ClientLimits()


class RouteChange(NamedTuple):
    """Named items to add or replace, and names to remove."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[RoutedService, ...] = ()
    removed_routes: tuple[str, ...] = ()
    removed_services: tuple[str, ...] = ()
    limits: ClientLimits | None = None
