"""Routes: the operators' document, its changes, and the choice by host and path."""

from __future__ import annotations

from .book import BookImage, RouteBook
from .document import apply_change, find_faults
from .lookup import RouteIndex
from .models import (
    ClientLimits,
    Route,
    RouteChange,
    RouteDocument,
    RoutedService,
    RouteKind,
    ServiceShare,
)
from .split import SplitCounter

__all__ = [
    "BookImage",
    "ClientLimits",
    "Route",
    "RouteBook",
    "RouteChange",
    "RouteDocument",
    "RouteIndex",
    "RouteKind",
    "RoutedService",
    "ServiceShare",
    "SplitCounter",
    "apply_change",
    "find_faults",
]
