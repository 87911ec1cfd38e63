"""Routing of requests on an entry host by the operators' route document."""

from __future__ import annotations

from .exchange import Router
from .header_names import HeaderNames
from .models import RouterConfig
from .state import RouterState

__all__ = [
    "HeaderNames",
    "Router",
    "RouterConfig",
    "RouterState",
]
