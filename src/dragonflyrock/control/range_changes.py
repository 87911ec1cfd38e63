"""Changes of range rows: division, moves, splits and merges."""

from __future__ import annotations

from ..errors import Reason, Refusal, Step
from ..hashing import KEY_SPACE
from ..models import RangeRef, RangeRow, RangeState
from . import commands as c
from .rows import Rows

__all__ = [
    "begin_moves",
    "cancel_moves",
    "declare_service",
    "finish_moves",
    "merge_ranges",
    "split_range",
]


def declare_service(rows: Rows, command: c.DeclareService) -> c.Result:
    """Divide a new service's key space into equal ranges."""
    service, count = command
    if service in rows.ranges.services:
        return c.Done(rows.revision)
    bounds = [KEY_SPACE * i // count for i in range(count + 1)]
    for low, end in zip(bounds, bounds[1:], strict=False):
        row = RangeRow(service, low, end - 1, "", 0, RangeState.ACTIVE, "", 0)
        rows.put_range(row)
    return c.Done(rows.revision)


def begin_moves(rows: Rows, command: c.BeginMoves) -> c.Result:
    """Mark ranges as moving, except where the range has changed since the decision."""
    for move in command.moves:
        row = rows.ranges.get(RangeRef(move.service, move.low))
        if row is None or row.epoch != move.epoch:
            continue
        if rows.find_holder(move.target) is None:
            continue
        if row.state != RangeState.ACTIVE and not move.lost:
            continue
        state = RangeState.LOST if move.lost else RangeState.MOVING
        rows.put_range(row._replace(state=state, target=move.target))
    return c.Done(rows.revision)


def finish_moves(rows: Rows, command: c.FinishMoves) -> c.Result:
    """Make the targets the owners of the ranges."""
    for move in command.moves:
        row = rows.ranges.get(move.ref)
        if row is None or row.revision != move.revision or not row.target:
            continue
        rows.put_range(
            row._replace(
                owner=row.target,
                epoch=rows.revision,
                state=RangeState.ACTIVE,
                target="",
            )
        )
    return c.Done(rows.revision)


def cancel_moves(rows: Rows, command: c.CancelMoves) -> c.Result:
    """Make moving ranges active again, with their owners."""
    for move in command.moves:
        row = rows.ranges.get(move.ref)
        if row is None or row.revision != move.revision:
            continue
        if row.state == RangeState.MOVING:
            rows.put_range(row._replace(state=RangeState.ACTIVE, target=""))
    return c.Done(rows.revision)


def split_range(rows: Rows, command: c.SplitRange) -> c.Result:
    """Split an active range; both parts retain the owner and the epoch."""
    row = rows.ranges.get(RangeRef(command.service, command.low))
    if row is None or row.state != RangeState.ACTIVE:
        return Refusal(
            Reason.NOT_ALLOWED, Step.COMMIT, detail="the range is not active"
        )
    if not row.low < command.middle <= row.high:
        return Refusal(
            Reason.NOT_ALLOWED, Step.COMMIT, detail="the split is outside the range"
        )
    rows.put_range(row._replace(high=command.middle - 1))
    rows.put_range(row._replace(low=command.middle))
    return c.Done(rows.revision)


def merge_ranges(rows: Rows, command: c.MergeRanges) -> c.Result:
    """Merge a range with the next one, under the later one of their epochs."""
    row = rows.ranges.get(RangeRef(command.service, command.low))
    if row is None or row.high == KEY_SPACE - 1:
        return Refusal(
            Reason.NOT_ALLOWED,
            Step.COMMIT,
            detail="no such range, or it is the last one",
        )
    other = rows.ranges.get(RangeRef(command.service, row.high + 1))
    assert other is not None
    active = row.state == other.state == RangeState.ACTIVE
    if not active or row.owner != other.owner:
        return Refusal(
            Reason.NOT_ALLOWED,
            Step.COMMIT,
            detail="the ranges are not active with one owner",
        )
    epoch = max(row.epoch, other.epoch)
    rows.put_range(row._replace(high=other.high, epoch=epoch))
    return c.Done(rows.revision)
