"""Record which rows changed at which revision, so that deltas need no full scan."""

from __future__ import annotations

from bisect import bisect_right
from typing import Final, NamedTuple

from ..models import RangeRef

__all__ = ["ChangeJournal", "ChangedRow", "TableName"]

DEFAULT_CAPACITY_ROWS: Final = 50_000

TableName = str


class ChangedRow(NamedTuple):
    """Identify a changed row by its table and its key in the table."""

    table: TableName
    key: RangeRef | str


class ChangeJournal:
    """The latest changes in the order of their revisions; ``capacity`` bounds them.

    When the journal is full, the older half is dropped.

    >>> journal = ChangeJournal(capacity=10)
    >>> journal.record(5, ChangedRow("servers", "f1"))
    >>> journal.changes_after(4)
    [ChangedRow(table='servers', key='f1')]
    >>> journal.changes_after(5)
    []
    """

    def __init__(self, capacity: int = DEFAULT_CAPACITY_ROWS) -> None:
        """Create an empty journal that is complete from revision 0 on."""
        self._capacity = capacity
        self._revisions: list[int] = []
        self._rows: list[ChangedRow] = []
        self._complete_after = 0

    def reset(self, revision: int) -> None:
        """Clear the journal; it is complete after a revision from now on."""
        self._revisions.clear()
        self._rows.clear()
        self._complete_after = revision

    def record(self, revision: int, row: ChangedRow) -> None:
        """Record that a row changed at a revision."""
        self._revisions.append(revision)
        self._rows.append(row)
        if len(self._rows) > self._capacity:
            half = self._capacity // 2
            self._complete_after = self._revisions[half - 1]
            del self._revisions[:half]
            del self._rows[:half]

    def changes_after(self, revision: int) -> list[ChangedRow] | None:
        """Return the rows changed after a revision, without duplicates.

        Return None if changes after the revision have been dropped.
        """
        if revision < self._complete_after:
            return None
        first = bisect_right(self._revisions, revision)
        return list(dict.fromkeys(self._rows[first:]))
