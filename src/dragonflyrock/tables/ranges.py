"""The ownership table: ranges of hashes by service, and an index by owner."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterator

from ..models import RangeRef, RangeRow, RangeState

__all__ = ["RangeTable"]


class RangeTable:
    """Rows that cover the key space of each service without gaps.

    >>> table = RangeTable()
    >>> table.put(RangeRow("finder", 0, 99, "f1@1", 7, RangeState.ACTIVE, "", 7))
    >>> table.find("finder", 42).owner
    'f1@1'
    >>> table.find("engage", 42) is None
    True
    """

    def __init__(self) -> None:
        """Make an empty table."""
        self._lows: dict[str, list[int]] = {}
        self._rows: dict[RangeRef, RangeRow] = {}
        self._owned: defaultdict[str, set[RangeRef]] = defaultdict(set)
        self._moving: set[RangeRef] = set()

    def __len__(self) -> int:
        """Return the number of ranges."""
        return len(self._rows)

    def __iter__(self) -> Iterator[RangeRow]:
        """Iterate over all rows, by service and then by hash."""
        for service in self._lows:
            yield from self.of_service(service)

    @property
    def services(self) -> list[str]:
        """Return the services that have ranges."""
        return list(self._lows)

    def get(self, ref: RangeRef) -> RangeRow | None:
        """Return a row by its name."""
        return self._rows.get(ref)

    def find(self, service: str, key_hash: int) -> RangeRow | None:
        """Return the row that covers a hash."""
        lows = self._lows.get(service)
        if not lows:
            return None
        position = bisect_right(lows, key_hash) - 1
        return self._rows[RangeRef(service, lows[position])]

    def of_service(self, service: str) -> Iterator[RangeRow]:
        """Iterate over the rows of a service in the order of their hashes."""
        for low in self._lows.get(service, ()):
            yield self._rows[RangeRef(service, low)]

    def owned_by(self, holder: str) -> list[RangeRow]:
        """Return the rows of an owner, in order."""
        return [self._rows[ref] for ref in sorted(self._owned.get(holder, ()))]

    def moving(self) -> list[RangeRow]:
        """Return the rows whose owner is changing, in order."""
        return [self._rows[ref] for ref in sorted(self._moving)]

    def put(self, row: RangeRow) -> None:
        """Add or replace a row; rows that begin inside it are dropped."""
        self._drop_covered(row)
        ref = row.ref
        old = self._rows.get(ref)
        if old is None:
            lows = self._lows.setdefault(row.service, [])
            lows.insert(bisect_left(lows, row.low), row.low)
        else:
            self._unindex(old)
        self._rows[ref] = row
        self._owned[row.owner].add(ref)
        if row.state != RangeState.ACTIVE:
            self._moving.add(ref)

    def clear(self) -> None:
        """Drop all rows."""
        self._lows.clear()
        self._rows.clear()
        self._owned.clear()
        self._moving.clear()

    def _drop_covered(self, row: RangeRow) -> None:
        """Drop rows that a wider row has taken in."""
        lows = self._lows.get(row.service)
        if not lows:
            return
        first = bisect_right(lows, row.low)
        last = bisect_right(lows, row.high)
        for low in lows[first:last]:
            self._unindex(self._rows.pop(RangeRef(row.service, low)))
        del lows[first:last]

    def _unindex(self, row: RangeRow) -> None:
        """Take a row out of the indexes."""
        owned = self._owned[row.owner]
        owned.discard(row.ref)
        if not owned:
            del self._owned[row.owner]
        self._moving.discard(row.ref)
