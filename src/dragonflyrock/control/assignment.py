"""Assignment of parts of ranges to new owners, and joins of adjacent ranges."""

from __future__ import annotations

from ..hashing import KEY_SPACE
from ..models import RangeRef, RangeRow, RangeState
from ..tables import RangeTable
from . import commands as c

__all__ = ["assign_ranges", "join_ranges"]


def assign_ranges(
    ranges: RangeTable, command: c.AssignRanges, revision: int
) -> list[RangeRow]:
    """Return the rows changed by an assignment, in the order in which to store them.

    A part is skipped if its range has changed since the decision.
    """
    rows: list[RangeRow] = []
    if command.service not in ranges.services:
        unowned = RangeRow(
            command.service, 0, KEY_SPACE - 1, "", 0, RangeState.ACTIVE, "", revision
        )
        ranges.put(unowned)
    for part in command.parts:
        row = ranges.find(command.service, part.low)
        assert row is not None
        if row.epoch != part.epoch or part.high > row.high:
            continue
        assigned = row._replace(
            low=part.low,
            high=part.high,
            owner=part.owner,
            epoch=revision,
            state=RangeState.ACTIVE,
            target="",
        )
        parts: list[RangeRow] = []
        if part.low > row.low:
            parts.append(row._replace(high=part.low - 1))
        parts.append(assigned)
        if part.high < row.high:
            parts.append(row._replace(low=part.high + 1))
        # The right part is stored first: a row ends where the next one begins.
        for part_row in reversed(parts):
            ranges.put(part_row)
        rows += parts
    return [ranges.get(row.ref) or row for row in rows]


def join_ranges(ranges: RangeTable, command: c.JoinRanges) -> list[RangeRow]:
    """Return the row that replaces adjacent ranges of one owner; empty if changed."""
    first = ranges.get(RangeRef(command.service, command.low))
    if first is None or not first.owner or first.state != RangeState.ACTIVE:
        return []
    epoch = first.epoch
    high = first.high
    while high < command.high:
        row = ranges.get(RangeRef(command.service, high + 1))
        if row is None or row.owner != first.owner or row.state != RangeState.ACTIVE:
            return []
        epoch = max(epoch, row.epoch)
        high = row.high
    if high != command.high:
        return []
    return [first._replace(high=high, epoch=epoch)]
