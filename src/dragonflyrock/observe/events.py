"""Events of one process in a bounded ring, and the merge into a time line."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Iterable
from typing import Final, NamedTuple

from .stamps import HybridClock, Stamp

__all__ = ["Event", "EventFilter", "EventRing", "merge_events"]

DEFAULT_CAPACITY_EVENTS: Final = 20_000


class Event(NamedTuple):
    """Something that a host did or saw; empty fields do not apply."""

    stamp: Stamp
    host: str
    kind: str
    request: str = ""
    service: str = ""
    key: str = ""
    range_low: int = -1
    server: str = ""
    peer: str = ""
    detail: str = ""


class EventFilter(NamedTuple):
    """Which events to keep; empty fields match everything."""

    request: str = ""
    key: str = ""
    range_low: int = -1
    server: str = ""
    host: str = ""
    since_ms: int = 0
    until_ms: int = 0

    def matches(self, event: Event) -> bool:
        """Return whether the event passes."""
        if self.since_ms and event.stamp.wall_ms < self.since_ms:
            return False
        if self.until_ms and event.stamp.wall_ms > self.until_ms:
            return False
        pairs = (
            (self.request, event.request),
            (self.key, event.key),
            (self.host, event.host),
        )
        if any(wanted and wanted != found for wanted, found in pairs):
            return False
        if self.server and self.server not in (
            event.server,
            event.server.rpartition("@")[0],
        ):
            return False
        return self.range_low in (-1, event.range_low)


class EventRing:
    """The latest events of a process."""

    def __init__(
        self,
        host: str,
        clock: HybridClock,
        capacity: int = DEFAULT_CAPACITY_EVENTS,
    ) -> None:
        """Stamp events by the clock in the name of the host."""
        self.host = host
        self.clock = clock
        self._events: deque[Event] = deque(maxlen=capacity)
        self._lock = threading.Lock()

    def add(
        self,
        kind: str,
        request: str = "",
        service: str = "",
        key: str = "",
        range_low: int = -1,
        server: str = "",
        peer: str = "",
        detail: str = "",
    ) -> None:
        """Add an event that happened now."""
        with self._lock:
            event = Event(
                self.clock.stamp(),
                self.host,
                kind,
                request,
                service,
                key,
                range_low,
                server,
                peer,
                detail,
            )
            self._events.append(event)

    def select(self, wanted: EventFilter, limit: int) -> list[Event]:
        """Return the latest events that pass, oldest first."""
        with self._lock:
            found = [event for event in self._events if wanted.matches(event)]
        return found[-limit:]


def merge_events(rings: Iterable[Iterable[Event]]) -> list[Event]:
    """Merge events of several hosts into one order that respects causes."""
    return sorted(event for ring in rings for event in ring)
