"""Parts of ranges that get a new owner, and neighbours that are joined."""

from __future__ import annotations

from ..hashing import KEY_SPACE
from ..models import RangeRef, RangeRow, RangeState
from ..tables import RangeTable
from . import commands as c

__all__ = ["assign_ranges", "join_ranges"]


def assign_ranges(
    ranges: RangeTable, command: c.AssignRanges, revision: int
) -> list[RangeRow]:
    """Return the rows that an assignment puts, in the order in which to put them.

    A part is passed over when its range has changed since the decision.
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
        fresh = row._replace(
            low=part.low,
            high=part.high,
            owner=part.owner,
            epoch=revision,
            state=RangeState.ACTIVE,
            target="",
        )
        cut: list[RangeRow] = []
        if part.low > row.low:
            cut.append(row._replace(high=part.low - 1))
        cut.append(fresh)
        if part.high < row.high:
            cut.append(row._replace(low=part.high + 1))
        # The right part goes first: a row ends where the next one begins.
        for item in reversed(cut):
            ranges.put(item)
        rows += cut
    return [ranges.get(row.ref) or row for row in rows]


def join_ranges(ranges: RangeTable, command: c.JoinRanges) -> list[RangeRow]:
    """Return the one row that the ranges of one owner become."""
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
