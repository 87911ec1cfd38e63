"""The leader's tables of directed servers: holds, moves, announcements and orders."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final

from ..models import RangeRow, ServerRow
from ..tables import SpanIndex
from .commands import AssignRanges
from .directed_models import (
    NEVER,
    DirectedTiming,
    HeldRange,
    MoveStage,
    Order,
    RangeMove,
    ServerLiveness,
)
from .state import ControlState

__all__ = ["DirectedTables", "Report", "exclude_moves"]

TOLERATED_FAILURES: Final = 2

Report = Callable[..., None]


@dataclass(slots=True)
class DirectedTables:
    """What a leader knows of directed servers, on top of the committed rows.

    ``handover_tokens`` are the tokens of completed releases whose new owner is
    committed but has no hold yet.
    """

    state: ControlState
    timing: DirectedTiming
    report: Report
    liveness: dict[str, ServerLiveness]
    holds: dict[tuple[str, int], HeldRange] = field(default_factory=dict)
    holds_by_owner: dict[str, list[HeldRange]] = field(default_factory=dict)
    moves: list[RangeMove] = field(default_factory=list)
    held_spans: SpanIndex[HeldRange] = field(default_factory=SpanIndex)
    moving_spans: SpanIndex[RangeMove] = field(default_factory=SpanIndex)
    orders: list[Order] = field(default_factory=list)
    handover_tokens: dict[tuple[str, int], str] = field(default_factory=dict)

    def find_holder(self, name: str) -> str:
        """Return the holder to which ranges of a server are assigned now."""
        row = self.state.servers.get(name)
        return row.holder if row is not None else f"{name}@0"

    def sync_holds(self, now: float, inherited: float) -> None:
        """Rebuild the holds from the committed rows.

        A hold with no earlier record counts as confirmed until ``inherited``. Some of
        the grants for it may have no answer, so a release does not end it sooner.
        """
        previous = self.held_spans
        self.holds, self.holds_by_owner, self.held_spans = {}, {}, SpanIndex()
        for row in self.state.ranges:
            if row.owner:
                overlapping = previous.find_overlapping(row.service, row.low, row.high)
                hold = self._carry_over_hold(row, overlapping, now, inherited)
                self.holds[row.service, row.low] = hold
                self.holds_by_owner.setdefault(hold.owner.name, []).append(hold)
                self.held_spans.add(row.service, row.low, row.high, hold)

    def _carry_over_hold(
        self, row: RangeRow, previous: list[HeldRange], now: float, inherited: float
    ) -> HeldRange:
        """Return the hold of a row, with the times of its owner's previous holds.

        ``previous`` are the holds that overlap the row. The row may be a part of one
        of them, or a join of several.

        The times are kept for another life of the owner: it may have been granted the
        range before anybody knew of it. It is granted the range again only under an
        epoch that the former life cannot have.
        """
        name, _, incarnation = row.owner.rpartition("@")
        parts = [hold for hold in previous if hold.owner.name == name]
        born = int(incarnation)
        if not born:
            # Assigned before the start of its owner was known, or by a former build.
            born = max((part.owner.incarnation for part in parts), default=0)
        dropped = ServerRow(name, row.service, "", "", born, 0, 0, True)
        owner = self.state.servers.get(name) or (parts[0].owner if parts else dropped)
        hold = HeldRange(row.service, row.low, row.high, owner, row.epoch)
        hold.needs_epoch = bool(born) and owner.incarnation not in (0, born)
        hold.confirmed_until = hold.possible_until = inherited
        if inherited != NEVER:
            hold.possible_epoch = row.epoch
            hold.granted_epoch = row.epoch
        hold.renew_at = now
        hold.handover = self.handover_tokens.pop((row.service, row.low), "")
        for part in parts:
            hold.confirmed_until = max(hold.confirmed_until, part.confirmed_until)
            hold.possible_until = max(hold.possible_until, part.possible_until)
            hold.possible_epoch = max(hold.possible_epoch, part.possible_epoch)
            hold.granted_epoch = max(hold.granted_epoch, part.granted_epoch)
            hold.needs_epoch |= part.needs_epoch and part.epoch == row.epoch
        if len(parts) == 1:
            hold.handover = hold.handover or parts[0].handover
            hold.told_epoch = parts[0].told_epoch
            hold.granted_on = parts[0].granted_on
        if len(parts) == 1 and parts[0].epoch == row.epoch:
            hold.renew_at = parts[0].renew_at
            if (parts[0].low, parts[0].high) != (row.low, row.high):
                hold.renew_at = min(hold.renew_at, now + self.timing.retry_interval)
        return hold

    def find_hold(self, service: str, low: int) -> HeldRange | None:
        """Return the hold that contains a key."""
        return next(iter(self.held_spans.find_overlapping(service, low, low)), None)

    def add_move(self, move: RangeMove) -> None:
        """Add a move."""
        self.moves.append(move)
        self.moving_spans.add(move.service, move.low, move.high, move)

    def finish_moves(self, command: AssignRanges) -> None:
        """Remove the moves whose new owner a command has committed or given up.

        Parts that only got a newer epoch for their source move on.
        """
        remaining: list[RangeMove] = []
        for move in self.moves:
            if move.command is command and move.stage == MoveStage.COMMITTING:
                self.handover_tokens[move.service, move.low] = move.handover
                self.moving_spans.remove(move.service, move.low, move)
                continue
            if move.command is command and move.stage == MoveStage.FENCING:
                move.stage = MoveStage.FENCED
            remaining.append(move)
        self.moves = remaining

    def is_part_moving(self, hold: HeldRange) -> bool:
        """Return whether any part of a hold is being moved."""
        return self.is_span_moving(hold.service, hold.low, hold.high)

    def is_span_moving(self, service: str, low: int, high: int) -> bool:
        """Return whether any part of a span of keys is being moved."""
        return self.moving_spans.overlaps(service, low, high)

    def list_unmoved_parts(self, hold: HeldRange) -> list[tuple[int, int]]:
        """Return the parts of a hold that are not being moved."""
        return exclude_moves(hold, self.find_moves(hold))

    def find_moves(self, hold: HeldRange) -> list[RangeMove]:
        """Return the moves of parts of a hold, by lowest key."""
        return self.moving_spans.find_overlapping(hold.service, hold.low, hold.high)

    def get_liveness(self, name: str, announced_at: float) -> ServerLiveness:
        """Return a server's record; create it with a time if there is none."""
        liveness = self.liveness.get(name)
        if liveness is None:
            liveness = self.liveness[name] = ServerLiveness(announced_at)
        return liveness

    def is_failing(self, liveness: ServerLiveness, now: float) -> bool:
        """Return whether several orders to a server in a row have failed recently."""
        recent = now - liveness.failed_at < self.timing.silence_timeout
        return recent and liveness.failures > TOLERATED_FAILURES

    def find_health_path(self, service: str) -> str:
        """Return the path at which servers of a service report their instance."""
        for routed in self.state.route_store.document.services:
            if routed.name == service:
                return routed.health_path
        return "/"


def exclude_moves(hold: HeldRange, moves: Iterable[RangeMove]) -> list[tuple[int, int]]:
    """Return the parts of a hold that are in none of the moves, sorted by low key."""
    parts = []
    low = hold.low
    for move in moves:
        if low < move.low:
            parts.append((low, move.low - 1))
        low = max(low, move.high + 1)
    if low <= hold.high:
        parts.append((low, hold.high))
    return parts
