"""Bounded ring of the events of one process, and the merge of several rings."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Iterable
from typing import Final, NamedTuple

from .stamps import HybridClock, Stamp

__all__ = ["Event", "EventFilter", "EventRing", "merge_events"]

DEFAULT_CAPACITY_EVENTS: Final = 20_000


class Event(NamedTuple):
    """Something that happened on a host; fields that do not apply are empty.

    ``range_low`` is -1 where no range is concerned.
    """

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
    """Conditions on events, all of which must match; empty fields match any event.

    ``range_low`` -1 matches any event. ``server`` is a server's name, with or
    without the ``@`` and the incarnation that follow the name in events.
    """

    request: str = ""
    key: str = ""
    range_low: int = -1
    server: str = ""
    host: str = ""
    since_ms: int = 0
    until_ms: int = 0

    def matches(self, event: Event) -> bool:
        """Return whether the event meets every condition."""
        if self.since_ms and event.stamp.wall_ms < self.since_ms:
            return False
        if self.until_ms and event.stamp.wall_ms > self.until_ms:
            return False
        pairs = (
            (self.request, event.request),
            (self.key, event.key),
            (self.host, event.host),
        )
        if any(expected and expected != actual for expected, actual in pairs):
            return False
        if self.server and self.server not in (
            event.server,
            event.server.rpartition("@")[0],
        ):
            return False
        return self.range_low in (-1, event.range_low)


class EventRing:
    """The latest events of a process; the oldest is dropped when the ring is full."""

    def __init__(
        self,
        host: str,
        clock: HybridClock,
        capacity: int = DEFAULT_CAPACITY_EVENTS,
    ) -> None:
        """Create an empty ring whose events carry the host's name and a stamp."""
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
        """Add an event, stamped with the present time."""
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

    def select(self, event_filter: EventFilter, limit: int) -> list[Event]:
        """Return the latest ``limit`` events that match the filter, oldest first."""
        with self._lock:
            matching = [event for event in self._events if event_filter.matches(event)]
        return matching[-limit:]


def merge_events(rings: Iterable[Iterable[Event]]) -> list[Event]:
    """Return the events of several hosts in causal order, by their stamps."""
    return sorted(event for ring in rings for event in ring)
