"""The operators' route document, changes to it, and lookup by host and path."""

from __future__ import annotations

from .document import apply_change, count_source_bytes, validate_document
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
from .splitter import WeightedSplitter
from .store import RouteStore, RouteStoreSnapshot

__all__ = [
    "RouteStoreSnapshot",
    "ClientLimits",
    "Route",
    "RouteStore",
    "RouteChange",
    "RouteDocument",
    "RouteIndex",
    "RouteKind",
    "RoutedService",
    "ServiceShare",
    "WeightedSplitter",
    "apply_change",
    "count_source_bytes",
    "validate_document",
]
