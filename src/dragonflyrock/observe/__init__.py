"""Time stamps, events, structured log lines and metrics of one process."""

from __future__ import annotations

from .events import Event, EventFilter, EventRing, merge_events
from .stamps import HybridClock, Stamp

__all__ = [
    "Event",
    "EventFilter",
    "EventRing",
    "HybridClock",
    "Stamp",
    "merge_events",
]
