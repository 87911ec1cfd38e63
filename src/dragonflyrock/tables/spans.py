"""Spans of keys by service, found by the keys that they share with another span."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from dataclasses import dataclass, field
from typing import Generic, NamedTuple, TypeVar

__all__ = ["SpanIndex"]

_Item = TypeVar("_Item")


class _Span(NamedTuple, Generic[_Item]):
    """A span, both ends included, and the item that it belongs to."""

    low: int
    high: int
    item: _Item


@dataclass(slots=True)
class _ServiceSpans(Generic[_Item]):
    """The spans of one service by their lowest keys; ``widest`` bounds their width."""

    lows: list[int] = field(default_factory=list)
    spans: list[_Span[_Item]] = field(default_factory=list)
    widest: int = 0


class SpanIndex(Generic[_Item]):
    """Items with a span of keys each; spans may overlap.

    >>> index: SpanIndex[str] = SpanIndex()
    >>> index.add("finder", 0, 9, "first")
    >>> index.add("finder", 10, 19, "second")
    >>> index.find_overlapping("finder", 9, 10)
    ['first', 'second']
    >>> index.remove("finder", 0, "first")
    >>> index.find_overlapping("finder", 0, 99)
    ['second']
    """

    def __init__(self) -> None:
        """Create an empty index."""
        self._services: dict[str, _ServiceSpans[_Item]] = {}

    def add(self, service: str, low: int, high: int, item: _Item) -> None:
        """Add an item."""
        entries = self._services.setdefault(service, _ServiceSpans())
        place = bisect_right(entries.lows, low)
        entries.lows.insert(place, low)
        entries.spans.insert(place, _Span(low, high, item))
        entries.widest = max(entries.widest, high - low)

    def remove(self, service: str, low: int, item: _Item) -> None:
        """Remove an item whose span begins at ``low``; do nothing if it is not here."""
        entries = self._services.get(service)
        if entries is None:
            return
        place = bisect_left(entries.lows, low)
        while place < len(entries.lows) and entries.lows[place] == low:
            if entries.spans[place].item is item:
                del entries.lows[place], entries.spans[place]
                break
            place += 1
        if not entries.lows:
            del self._services[service]

    def has_service(self, service: str) -> bool:
        """Return whether a service has any span."""
        return service in self._services

    def overlaps(self, service: str, low: int, high: int) -> bool:
        """Return whether any span shares a key with this one."""
        return bool(self.find_overlapping(service, low, high))

    def find_overlapping(self, service: str, low: int, high: int) -> list[_Item]:
        """Return the items whose spans share a key with this one, by lowest key."""
        entries = self._services.get(service)
        if entries is None:
            return []
        first = bisect_left(entries.lows, low - entries.widest)
        last = bisect_right(entries.lows, high)
        return [span.item for span in entries.spans[first:last] if span.high >= low]
