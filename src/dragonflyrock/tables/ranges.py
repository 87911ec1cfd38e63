"""Table of the owners of hash ranges by service, stored in compact arrays."""

from __future__ import annotations

from array import array
from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterator
from typing import Final

from ..hashing import KEY_SPACE
from ..models import RangeRef, RangeRow, RangeState

__all__ = ["RangeTable"]

_STATES: Final = tuple(RangeState)
_STATE_NUMBERS: Final = {state: number for number, state in enumerate(_STATES)}


class _NamePool:
    """Interned names of owners, with reference counts; unused numbers are reused."""

    def __init__(self) -> None:
        """Create a pool with the empty name as number 0."""
        self._names: list[str] = [""]
        self._numbers: dict[str, int] = {"": 0}
        self._reference_counts: list[int] = [1]
        self._free_numbers: list[int] = []

    def get_name(self, number: int) -> str:
        """Return the name with a number."""
        return self._names[number]

    def acquire(self, name: str) -> int:
        """Add a reference to a name and return its number."""
        number = self._numbers.get(name)
        if number is None:
            number = self._add(name)
        self._reference_counts[number] += 1
        return number

    def release(self, number: int) -> None:
        """Remove a reference to a name; without references its number is free."""
        self._reference_counts[number] -= 1
        if not self._reference_counts[number]:
            del self._numbers[self._names[number]]
            self._free_numbers.append(number)

    def _add(self, name: str) -> int:
        """Assign a number to a new name."""
        if self._free_numbers:
            number = self._free_numbers.pop()
            self._names[number] = name
        else:
            number = len(self._names)
            self._names.append(name)
            self._reference_counts.append(0)
        self._numbers[name] = number
        return number


class _Columns:
    """The ranges of one service as arrays by field, sorted by lowest hash."""

    def __init__(self) -> None:
        """Create empty columns."""
        self.lows = array("Q")
        self.owners = array("I")
        self.targets = array("I")
        self.epochs = array("Q")
        self.revisions = array("Q")
        self.states = array("B")

    def insert(self, position: int, low: int) -> None:
        """Insert a range without an owner."""
        self.lows.insert(position, low)
        for column in (self.owners, self.targets, self.epochs, self.revisions):
            column.insert(position, 0)
        self.states.insert(position, 0)

    def delete(self, first: int, last: int) -> None:
        """Delete the ranges at positions from ``first`` to before ``last``."""
        for column in (
            self.lows,
            self.owners,
            self.targets,
            self.epochs,
            self.revisions,
            self.states,
        ):
            del column[first:last]


class RangeTable:
    """Rows that cover the key space of each service without gaps.

    A range takes a few dozen bytes, regardless of the number of keys in it; row
    objects are created on reading. A row's highest hash is the one before the next
    row's lowest hash.

    >>> table = RangeTable()
    >>> top = KEY_SPACE - 1
    >>> table.put(RangeRow("finder", 0, top, "f1@1", 7, RangeState.ACTIVE, "", 7))
    >>> table.find("finder", 42).owner
    'f1@1'
    >>> table.find("engage", 42) is None
    True
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self._columns_by_service: dict[str, _Columns] = {}
        self._name_pool = _NamePool()
        self._moving: set[RangeRef] = set()
        self._refs_by_owner: defaultdict[str, list[RangeRef]] | None = None

    def __len__(self) -> int:
        """Return the number of ranges."""
        return sum(len(columns.lows) for columns in self._columns_by_service.values())

    def __iter__(self) -> Iterator[RangeRow]:
        """Iterate over all rows, by service and then by hash."""
        for service_name in self._columns_by_service:
            yield from self.of_service(service_name)

    @property
    def services(self) -> list[str]:
        """Return the services that have ranges."""
        return list(self._columns_by_service)

    def get(self, ref: RangeRef) -> RangeRow | None:
        """Return the row of a range, or None."""
        columns = self._columns_by_service.get(ref.service)
        if columns is None:
            return None
        position = bisect_left(columns.lows, ref.low)
        if position == len(columns.lows) or columns.lows[position] != ref.low:
            return None
        return self._make_row(ref.service, columns, position)

    def find(self, service_name: str, key_hash: int) -> RangeRow | None:
        """Return the row that covers a hash, or None if the service has none."""
        columns = self._columns_by_service.get(service_name)
        if columns is None or not columns.lows:
            return None
        position = bisect_right(columns.lows, key_hash) - 1
        if position < 0:
            return None
        return self._make_row(service_name, columns, position)

    def of_service(self, service_name: str) -> Iterator[RangeRow]:
        """Iterate over the rows of a service in the order of their hashes."""
        columns = self._columns_by_service.get(service_name)
        if columns is None:
            return
        for position in range(len(columns.lows)):
            yield self._make_row(service_name, columns, position)

    def owned_by(self, owner: str) -> list[RangeRow]:
        """Return the rows of an owner, by service and then by hash."""
        rows = (self.get(ref) for ref in self._index_owners().get(owner, ()))
        return [row for row in rows if row is not None]

    def owns_any(self, owner: str) -> bool:
        """Return whether an owner has any range."""
        return owner in self._index_owners()

    def moving(self) -> list[RangeRow]:
        """Return the rows that are not in the state ACTIVE, sorted by range."""
        rows = (self.get(ref) for ref in sorted(self._moving))
        return [row for row in rows if row is not None]

    def put(self, row: RangeRow) -> None:
        """Add or replace a row, and remove the rows that begin inside it."""
        self._refs_by_owner = None
        columns = self._columns_by_service.setdefault(row.service, _Columns())
        position = bisect_left(columns.lows, row.low)
        if position == len(columns.lows) or columns.lows[position] != row.low:
            columns.insert(position, row.low)
        else:
            self._name_pool.release(columns.owners[position])
            self._name_pool.release(columns.targets[position])
        columns.owners[position] = self._name_pool.acquire(row.owner)
        columns.targets[position] = self._name_pool.acquire(row.target)
        columns.epochs[position] = row.epoch
        columns.revisions[position] = row.revision
        columns.states[position] = _STATE_NUMBERS[row.state]
        if row.state == RangeState.ACTIVE:
            self._moving.discard(row.ref)
        else:
            self._moving.add(row.ref)
        self._remove_covered(row, columns, position)

    def clear(self) -> None:
        """Remove all rows."""
        self._columns_by_service.clear()
        self._name_pool = _NamePool()
        self._moving.clear()
        self._refs_by_owner = None

    def _make_row(self, name: str, columns: _Columns, position: int) -> RangeRow:
        """Return the row at a position."""
        next_position = position + 1
        high = KEY_SPACE - 1
        if next_position < len(columns.lows):
            high = columns.lows[next_position] - 1
        return RangeRow(
            name,
            columns.lows[position],
            high,
            self._name_pool.get_name(columns.owners[position]),
            columns.epochs[position],
            _STATES[columns.states[position]],
            self._name_pool.get_name(columns.targets[position]),
            columns.revisions[position],
        )

    def _remove_covered(self, row: RangeRow, columns: _Columns, position: int) -> None:
        """Remove the rows that a wider row now covers."""
        last = bisect_right(columns.lows, row.high)
        for covered in range(position + 1, last):
            self._name_pool.release(columns.owners[covered])
            self._name_pool.release(columns.targets[covered])
            self._moving.discard(RangeRef(row.service, columns.lows[covered]))
        columns.delete(position + 1, last)

    def _index_owners(self) -> defaultdict[str, list[RangeRef]]:
        """Return the ranges by owner; the index is rebuilt only after a change."""
        if self._refs_by_owner is None:
            self._refs_by_owner = defaultdict(list)
            for name, columns in self._columns_by_service.items():
                for low, number in zip(columns.lows, columns.owners, strict=True):
                    if number:
                        owner = self._name_pool.get_name(number)
                        self._refs_by_owner[owner].append(RangeRef(name, low))
        return self._refs_by_owner
