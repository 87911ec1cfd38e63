"""Placement: which range should move to which server, and when.

Three kinds of moves are planned, in this order: ranges whose owner is lost or
that have none move at once; ranges of a stopping server move a few at a time;
and ranges move away from the busiest server only where that lowers the imbalance
by more than the move costs. The policy of a service says what a move must gain.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from typing import Final, NamedTuple

from ..const import NEVER
from ..models import RangeRef, RangeRow, RangeState

__all__ = [
    "Candidate",
    "PlacementPolicy",
    "PlacementView",
    "PlannedMove",
    "plan_moves",
    "weigh_ranges",
]

MS_PER_SECOND: Final = 1000


class PlacementPolicy(NamedTuple):
    """What a service's moves must gain, and how many may be in progress.

    ``min_gain`` is by what share of the mean load the busiest server must be
    relieved. Below ``min_utilization``, a share of its slots, no request waits and
    a move gains nothing. ``hysteresis`` is how long a range may not move again, and
    ``balance_interval`` the time between balancing moves of a service, in seconds.
    ``load_share`` is the share of a range's weight that comes from its load.
    """

    min_gain: float = 0.1
    max_moves: int = 4
    hysteresis: float = 30.0
    balance_interval: float = 2.0
    min_utilization: float = 0.05
    load_share: float = 0.8


class Candidate(NamedTuple):
    """A live server that may own ranges; ``capacity`` is relative.

    ``accepts`` is whether it may get more ranges; ``stopping`` whether all of its
    ranges must move away.
    """

    holder: str
    capacity: float
    accepts: bool
    stopping: bool


class PlannedMove(NamedTuple):
    """A range to assign to a holder; ``lost`` is whether its owner is lost."""

    ref: RangeRef
    epoch: int
    target: str
    lost: bool


class PlacementView(NamedTuple):
    """The inputs of a service's plan.

    ``busy_ms`` are busy milliseconds a second by range, ``moved_at`` when a range
    was last moved by choice, and ``paused`` the ranges that may not be moved by
    choice now. Times are in seconds.
    """

    rows: list[RangeRow]
    candidates: list[Candidate]
    busy_ms: Mapping[RangeRef, float]
    moved_at: Mapping[RangeRef, float]
    paused: frozenset[RangeRef]
    may_balance: bool
    now: float


@dataclass(slots=True)
class _Plan:
    """The load of each holder as if the planned moves were done."""

    weights: Mapping[RangeRef, float]
    candidates: dict[str, Candidate]
    load: defaultdict[str, float] = field(default_factory=lambda: defaultdict(float))
    moves: list[PlannedMove] = field(default_factory=list)

    def relative_load(self, holder: str) -> float:
        """Return a holder's load divided by its capacity."""
        return self.load[holder] / self.candidates[holder].capacity

    def move(self, row: RangeRow, target: str, *, lost: bool) -> None:
        """Add a move and count its load at the target."""
        weight = self.weights[row.ref]
        self.load[target] += weight
        self.load[row.owner] -= weight
        self.moves.append(PlannedMove(row.ref, row.epoch, target, lost))


def weigh_ranges(
    rows: list[RangeRow], busy_ms: Mapping[RangeRef, float], load_share: float
) -> dict[RangeRef, float]:
    """Return each range's share of the service's load; the shares add up to 1.

    A part of the weight is divided by width, so that idle ranges count too.
    """
    width = sum(row.high - row.low + 1 for row in rows)
    total = sum(busy_ms.values())
    weights = {}
    for row in rows:
        ref = row.ref
        by_width = (row.high - row.low + 1) / width
        if total > 0:
            by_load = busy_ms.get(ref, 0.0) / total
            weights[ref] = load_share * by_load + (1 - load_share) * by_width
        else:
            weights[ref] = by_width
    return weights


def plan_moves(view: PlacementView, policy: PlacementPolicy) -> list[PlannedMove]:
    """Return the moves to begin now for one service.

    >>> row = RangeRow("finder", 0, 99, "", 0, RangeState.ACTIVE, "", 1)
    >>> server = Candidate("f1@1", 2.0, accepts=True, stopping=False)
    >>> view = PlacementView([row], [server], {}, {}, frozenset(), True, 0.0)
    >>> plan_moves(view, PlacementPolicy())[0].target
    'f1@1'
    """
    weights = weigh_ranges(view.rows, view.busy_ms, policy.load_share)
    plan = _Plan(weights, {item.holder: item for item in view.candidates})
    for row in view.rows:
        moving = row.state != RangeState.ACTIVE
        plan.load[row.target if moving else row.owner] += weights[row.ref]
    targets = [item.holder for item in view.candidates if item.accepts]
    if not targets:
        return []
    _place_lost(plan, view.rows, targets)
    under_way = sum(row.state == RangeState.MOVING for row in view.rows)
    _empty_stopping(plan, view, targets, policy.max_moves - under_way)
    if view.may_balance and not plan.moves and not under_way:
        _balance(plan, view, targets, policy)
    return plan.moves


def _place_lost(plan: _Plan, rows: list[RangeRow], targets: list[str]) -> None:
    """Move every range whose owner or target is not a candidate."""
    lost = [row for row in rows if _is_lost(plan, row)]
    if not lost:
        return
    heap = [(plan.relative_load(holder), holder) for holder in targets]
    heapify(heap)
    lost.sort(key=lambda row: (-plan.weights[row.ref], row.low))
    for row in lost:
        _, target = heappop(heap)
        plan.move(row, target, lost=True)
        heappush(heap, (plan.relative_load(target), target))


def _is_lost(plan: _Plan, row: RangeRow) -> bool:
    """Return whether a range needs a new owner at once."""
    if row.state == RangeState.LOST:
        return row.target not in plan.candidates
    return row.owner not in plan.candidates


def _empty_stopping(
    plan: _Plan, view: PlacementView, targets: list[str], budget: int
) -> None:
    """Move ranges away from stopping servers, at most ``budget`` at a time."""
    for row in view.rows:
        if budget <= 0:
            return
        owner = plan.candidates.get(row.owner)
        if owner is None or not owner.stopping or row.state != RangeState.ACTIVE:
            continue
        if row.ref in view.paused:
            continue
        plan.move(row, min(targets, key=plan.relative_load), lost=False)
        budget -= 1


def _balance(
    plan: _Plan, view: PlacementView, targets: list[str], policy: PlacementPolicy
) -> None:
    """Move ranges from the busiest to the idlest server while this gains enough."""
    movable: defaultdict[str, list[RangeRow]] = defaultdict(list)
    for row in view.rows:
        may_move_again = (
            view.now - view.moved_at.get(row.ref, NEVER) >= policy.hysteresis
        )
        if (
            may_move_again
            and row.state == RangeState.ACTIVE
            and row.ref not in view.paused
        ):
            movable[row.owner].append(row)
    capacity = sum(plan.candidates[holder].capacity for holder in targets)
    mean = sum(plan.load[holder] for holder in targets) / capacity
    gain = policy.min_gain * mean
    busy_slots = sum(view.busy_ms.values()) / MS_PER_SECOND
    for _ in range(policy.max_moves):
        busiest = max(targets, key=plan.relative_load)
        idlest = min(targets, key=plan.relative_load)
        if plan.relative_load(busiest) < mean + gain:
            return
        is_busy = plan.relative_load(busiest) * busy_slots >= policy.min_utilization
        if plan.load[idlest] > 0 and not is_busy:
            return
        best = _find_best_row(plan, movable[busiest], busiest, idlest, gain)
        if best is None:
            return
        movable[busiest].remove(best)
        plan.move(best, idlest, lost=False)


def _find_best_row(
    plan: _Plan, rows: list[RangeRow], busiest: str, idlest: str, gain: float
) -> RangeRow | None:
    """Return the row whose move lowers the higher of the two loads most."""
    before = plan.relative_load(busiest)
    best: RangeRow | None = None
    best_after = before - gain / 2
    for row in rows:
        weight = plan.weights[row.ref]
        after = max(
            (plan.load[busiest] - weight) / plan.candidates[busiest].capacity,
            (plan.load[idlest] + weight) / plan.candidates[idlest].capacity,
        )
        if after < best_after:
            best, best_after = row, after
    return best
