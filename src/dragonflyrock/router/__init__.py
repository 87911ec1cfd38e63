"""The way of a request on an entry host whose servers are granted by orders."""

from __future__ import annotations

from .dialect import Dialect
from .exchange import Router, RouterConfig
from .state import RouterState

__all__ = [
    "Dialect",
    "Router",
    "RouterConfig",
    "RouterState",
]
