"""The way of a request on an entry host whose servers are granted by orders."""

from __future__ import annotations

from .exchange import Router, RouterConfig
from .header_names import HeaderNames
from .state import RouterState

__all__ = [
    "HeaderNames",
    "Router",
    "RouterConfig",
    "RouterState",
]
