"""The leader's tables of directed servers: holds, moves, announcements and orders."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from ..models import RangeRow, ServerRow
from .directed_models import (
    NEVER,
    DirectedTiming,
    HeldRange,
    Order,
    RangeMove,
    ServerLiveness,
)
from .state import ControlState

__all__ = ["DirectedTables", "Report"]

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
    orders: list[Order] = field(default_factory=list)
    handover_tokens: dict[tuple[str, int], str] = field(default_factory=dict)

    def sync_holds(self, now: float, inherited: float) -> None:
        """Rebuild the holds from the committed rows.

        A hold with no earlier record counts as confirmed until ``inherited``. Some of
        the grants for it may have no answer, so a release does not end it sooner.
        """
        old, self.holds = self.holds, {}
        self.holds_by_owner = {}
        by_service: dict[str, list[HeldRange]] = {}
        for hold in old.values():
            by_service.setdefault(hold.service, []).append(hold)
        for row in self.state.ranges:
            if row.owner:
                previous = by_service.get(row.service, [])
                hold = self._carry_over_hold(row, previous, now, inherited)
                self.holds[row.service, row.low] = hold
                self.holds_by_owner.setdefault(hold.owner.name, []).append(hold)

    def _carry_over_hold(
        self, row: RangeRow, previous: list[HeldRange], now: float, inherited: float
    ) -> HeldRange:
        """Return the hold of a row, with the times of its owner's previous holds.

        The row may be a part of a previous hold, or a join of several.
        """
        name = row.owner.rpartition("@")[0]
        parts = [
            hold
            for hold in previous
            if hold.owner.name == name and hold.low <= row.high and row.low <= hold.high
        ]
        dropped = ServerRow(name, row.service, "", "", 0, 0, 0, True)
        owner = self.state.servers.get(name) or (parts[0].owner if parts else dropped)
        hold = HeldRange(row.service, row.low, row.high, owner, row.epoch)
        hold.confirmed_until = hold.possible_until = inherited
        if inherited != NEVER:
            hold.possible_epoch = row.epoch
        hold.renew_at = now
        hold.handover = self.handover_tokens.pop((row.service, row.low), "")
        for part in parts:
            hold.confirmed_until = max(hold.confirmed_until, part.confirmed_until)
            hold.possible_until = max(hold.possible_until, part.possible_until)
            hold.possible_epoch = max(hold.possible_epoch, part.possible_epoch)
        if len(parts) == 1:
            hold.handover = hold.handover or parts[0].handover
            hold.told_epoch = parts[0].told_epoch
        if len(parts) == 1 and parts[0].epoch == row.epoch:
            hold.renew_at = parts[0].renew_at
            if (parts[0].low, parts[0].high) != (row.low, row.high):
                hold.renew_at = min(hold.renew_at, now + self.timing.retry_interval)
        return hold

    def find_hold(self, service: str, low: int) -> HeldRange | None:
        """Return the hold that contains a key."""
        for hold in self.holds.values():
            if hold.service == service and hold.low <= low <= hold.high:
                return hold
        return None

    def is_part_moving(self, hold: HeldRange) -> bool:
        """Return whether any part of a hold is being moved."""
        return self.is_span_moving(hold.service, hold.low, hold.high)

    def is_span_moving(self, service: str, low: int, high: int) -> bool:
        """Return whether any part of a span of keys is being moved."""
        return any(
            move.service == service and move.low <= high and low <= move.high
            for move in self.moves
        )

    def list_unmoved_parts(self, hold: HeldRange) -> list[tuple[int, int]]:
        """Return the parts of a hold that are not being moved."""
        parts = []
        low = hold.low
        moving = sorted(
            (move.low, move.high)
            for move in self.moves
            if move.service == hold.service
            and move.low <= hold.high
            and hold.low <= move.high
        )
        for first, last in moving:
            if low < first:
                parts.append((low, first - 1))
            low = last + 1
        if low <= hold.high:
            parts.append((low, hold.high))
        return parts

    def get_liveness(self, name: str, announced_at: float) -> ServerLiveness:
        """Return a server's record; create it with a time if there is none."""
        return self.liveness.setdefault(name, ServerLiveness(announced_at))

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
