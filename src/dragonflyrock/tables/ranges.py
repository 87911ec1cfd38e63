"""The ownership table: ranges of hashes by service, in compact arrays."""

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


class _Names:
    """Holders' names by small numbers; numbers without uses are given anew."""

    def __init__(self) -> None:
        """Start with the empty name as number 0."""
        self._names: list[str] = [""]
        self._numbers: dict[str, int] = {"": 0}
        self._uses: list[int] = [1]
        self._free: list[int] = []

    def name(self, number: int) -> str:
        """Return the name of a number."""
        return self._names[number]

    def use(self, name: str) -> int:
        """Count a use of a name and return its number."""
        number = self._numbers.get(name)
        if number is None:
            number = self._add(name)
        self._uses[number] += 1
        return number

    def drop(self, number: int) -> None:
        """Count a use out."""
        self._uses[number] -= 1
        if not self._uses[number]:
            del self._numbers[self._names[number]]
            self._free.append(number)

    def _add(self, name: str) -> int:
        """Give a number to a new name."""
        if self._free:
            number = self._free.pop()
            self._names[number] = name
        else:
            number = len(self._names)
            self._names.append(name)
            self._uses.append(0)
        self._numbers[name] = number
        return number


class _Service:
    """The ranges of one service, one column an array, sorted by lowest hash."""

    def __init__(self) -> None:
        """Make empty columns."""
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
        """Delete the ranges at positions from first up to last."""
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

    A range takes a few dozen bytes, whatever the number of keys in it; rows are
    made when they are read. A row's highest hash follows from its neighbour.

    >>> table = RangeTable()
    >>> top = KEY_SPACE - 1
    >>> table.put(RangeRow("finder", 0, top, "f1@1", 7, RangeState.ACTIVE, "", 7))
    >>> table.find("finder", 42).owner
    'f1@1'
    >>> table.find("engage", 42) is None
    True
    """

    def __init__(self) -> None:
        """Make an empty table."""
        self._services: dict[str, _Service] = {}
        self._names = _Names()
        self._moving: set[RangeRef] = set()
        self._owned: defaultdict[str, list[RangeRef]] | None = None

    def __len__(self) -> int:
        """Return the number of ranges."""
        return sum(len(service.lows) for service in self._services.values())

    def __iter__(self) -> Iterator[RangeRow]:
        """Iterate over all rows, by service and then by hash."""
        for service in self._services:
            yield from self.of_service(service)

    @property
    def services(self) -> list[str]:
        """Return the services that have ranges."""
        return list(self._services)

    def get(self, ref: RangeRef) -> RangeRow | None:
        """Return a row by its name."""
        service = self._services.get(ref.service)
        if service is None:
            return None
        position = bisect_left(service.lows, ref.low)
        if position == len(service.lows) or service.lows[position] != ref.low:
            return None
        return self._row(ref.service, service, position)

    def find(self, service_name: str, key_hash: int) -> RangeRow | None:
        """Return the row that covers a hash."""
        service = self._services.get(service_name)
        if service is None or not service.lows:
            return None
        position = bisect_right(service.lows, key_hash) - 1
        if position < 0:
            return None
        return self._row(service_name, service, position)

    def of_service(self, service_name: str) -> Iterator[RangeRow]:
        """Iterate over the rows of a service in the order of their hashes."""
        service = self._services.get(service_name)
        if service is None:
            return
        for position in range(len(service.lows)):
            yield self._row(service_name, service, position)

    def owned_by(self, holder: str) -> list[RangeRow]:
        """Return the rows of an owner, in order."""
        rows = (self.get(ref) for ref in self._index_owners().get(holder, ()))
        return [row for row in rows if row is not None]

    def owns_any(self, holder: str) -> bool:
        """Return whether a holder owns a range."""
        return holder in self._index_owners()

    def moving(self) -> list[RangeRow]:
        """Return the rows whose owner is changing, in order."""
        rows = (self.get(ref) for ref in sorted(self._moving))
        return [row for row in rows if row is not None]

    def put(self, row: RangeRow) -> None:
        """Add or replace a row; rows that begin inside it are dropped."""
        self._owned = None
        service = self._services.setdefault(row.service, _Service())
        position = bisect_left(service.lows, row.low)
        if position == len(service.lows) or service.lows[position] != row.low:
            service.insert(position, row.low)
        else:
            self._names.drop(service.owners[position])
            self._names.drop(service.targets[position])
        service.owners[position] = self._names.use(row.owner)
        service.targets[position] = self._names.use(row.target)
        service.epochs[position] = row.epoch
        service.revisions[position] = row.revision
        service.states[position] = _STATE_NUMBERS[row.state]
        if row.state == RangeState.ACTIVE:
            self._moving.discard(row.ref)
        else:
            self._moving.add(row.ref)
        self._drop_covered(row, service, position)

    def clear(self) -> None:
        """Drop all rows."""
        self._services.clear()
        self._names = _Names()
        self._moving.clear()
        self._owned = None

    def _row(self, name: str, service: _Service, position: int) -> RangeRow:
        """Make the row at a position."""
        following = position + 1
        high = KEY_SPACE - 1
        if following < len(service.lows):
            high = service.lows[following] - 1
        return RangeRow(
            name,
            service.lows[position],
            high,
            self._names.name(service.owners[position]),
            service.epochs[position],
            _STATES[service.states[position]],
            self._names.name(service.targets[position]),
            service.revisions[position],
        )

    def _drop_covered(self, row: RangeRow, service: _Service, position: int) -> None:
        """Drop rows that a wider row has taken in."""
        last = bisect_right(service.lows, row.high)
        for covered in range(position + 1, last):
            self._names.drop(service.owners[covered])
            self._names.drop(service.targets[covered])
            self._moving.discard(RangeRef(row.service, service.lows[covered]))
        service.delete(position + 1, last)

    def _index_owners(self) -> defaultdict[str, list[RangeRef]]:
        """Return the ranges by owner; made anew only after a change."""
        if self._owned is None:
            self._owned = defaultdict(list)
            for name, service in self._services.items():
                for low, owner in zip(service.lows, service.owners, strict=True):
                    if owner:
                        holder = self._names.name(owner)
                        self._owned[holder].append(RangeRef(name, low))
        return self._owned
