"""Placement: which range should move to which server, and which may wait.

Three kinds of moves are planned, in this order: ranges whose owner is lost or
that have none go at once; ranges of a server that is going to stop go in steps;
and ranges move from the busiest server only where that lowers the imbalance by
more than the move costs. The weights of a service decide what a move must gain.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from typing import NamedTuple

from ..models import RangeRef, RangeRow, RangeState

__all__ = ["Candidate", "PlacementPolicy", "PlannedMove", "plan_moves", "weigh_ranges"]


class PlacementPolicy(NamedTuple):
    """What a service's moves must gain, and how many may be under way.

    ``min_gain`` is by how much of the mean load the busiest server must be
    relieved; ``hysteresis`` is in seconds.
    """

    min_gain: float = 0.1
    max_moves: int = 4
    hysteresis: float = 30.0
    load_share: float = 0.8


class Candidate(NamedTuple):
    """A live server that may own ranges; ``capacity`` is relative.

    ``accepts`` is whether it may get more; ``stopping`` whether it must lose all.
    """

    holder: str
    capacity: float
    accepts: bool
    stopping: bool


class PlannedMove(NamedTuple):
    """A range to give to a holder; ``lost`` tells that its owner has lapsed."""

    ref: RangeRef
    epoch: int
    target: str
    lost: bool


@dataclass(slots=True)
class _Plan:
    """The load of each holder as if the planned moves were done."""

    weights: Mapping[RangeRef, float]
    candidates: dict[str, Candidate]
    load: defaultdict[str, float] = field(default_factory=lambda: defaultdict(float))
    moves: list[PlannedMove] = field(default_factory=list)

    def relative(self, holder: str) -> float:
        """Return a holder's load over its capacity."""
        return self.load[holder] / self.candidates[holder].capacity

    def move(self, row: RangeRow, target: str, *, lost: bool) -> None:
        """Add a move and count its load at the target."""
        weight = self.weights[row.ref]
        self.load[target] += weight
        self.load[row.owner] -= weight
        self.moves.append(PlannedMove(row.ref, row.epoch, target, lost))


def weigh_ranges(
    rows: Iterable[RangeRow], busy_ms: Mapping[RangeRef, float], policy: PlacementPolicy
) -> dict[RangeRef, float]:
    """Return each range's share of the service's load; the shares sum up to 1.

    A part of the weight is spread by width, so that idle ranges count too.
    """
    listed = list(rows)
    width = sum(row.high - row.low + 1 for row in listed)
    total = sum(busy_ms.get(row.ref, 0.0) for row in listed)
    load_share = policy.load_share if total > 0 else 0.0
    weights = {}
    for row in listed:
        by_width = (row.high - row.low + 1) / width
        by_load = busy_ms.get(row.ref, 0.0) / total if total > 0 else 0.0
        weights[row.ref] = load_share * by_load + (1 - load_share) * by_width
    return weights


def plan_moves(
    rows: list[RangeRow],
    candidates: list[Candidate],
    weights: Mapping[RangeRef, float],
    moved_at: Mapping[RangeRef, float],
    policy: PlacementPolicy,
    now: float,
) -> list[PlannedMove]:
    """Return the moves to begin now for one service.

    >>> row = RangeRow("finder", 0, 99, "", 0, RangeState.ACTIVE, "", 1)
    >>> server = Candidate("f1@1", 2.0, accepts=True, stopping=False)
    >>> moves = plan_moves([row], [server], {row.ref: 1.0}, {}, PlacementPolicy(), 0.0)
    >>> moves[0].target
    'f1@1'
    """
    plan = _Plan(weights, {item.holder: item for item in candidates})
    for row in rows:
        moving = row.state != RangeState.ACTIVE
        plan.load[row.target if moving else row.owner] += weights[row.ref]
    targets = [item.holder for item in candidates if item.accepts]
    if not targets:
        return []
    _place_lost(plan, rows, targets)
    under_way = sum(row.state == RangeState.MOVING for row in rows)
    _empty_stopping(plan, rows, targets, policy.max_moves - under_way)
    if not plan.moves and not under_way:
        _balance(plan, rows, targets, moved_at, policy, now)
    return plan.moves


def _place_lost(plan: _Plan, rows: list[RangeRow], targets: list[str]) -> None:
    """Give away every range whose owner or target is no candidate."""
    lost = [row for row in rows if _is_lost(plan, row)]
    if not lost:
        return
    heap = [(plan.relative(holder), holder) for holder in targets]
    heapify(heap)
    lost.sort(key=lambda row: (-plan.weights[row.ref], row.low))
    for row in lost:
        _, target = heappop(heap)
        plan.move(row, target, lost=True)
        heappush(heap, (plan.relative(target), target))


def _is_lost(plan: _Plan, row: RangeRow) -> bool:
    """Return whether a range needs a new owner at once."""
    if row.state == RangeState.LOST:
        return row.target not in plan.candidates
    return row.owner not in plan.candidates


def _empty_stopping(
    plan: _Plan, rows: list[RangeRow], targets: list[str], budget: int
) -> None:
    """Move ranges away from servers that are going to stop, a few at a time."""
    for row in rows:
        if budget <= 0:
            return
        owner = plan.candidates.get(row.owner)
        if owner is None or not owner.stopping or row.state != RangeState.ACTIVE:
            continue
        plan.move(row, min(targets, key=plan.relative), lost=False)
        budget -= 1


def _balance(
    plan: _Plan,
    rows: list[RangeRow],
    targets: list[str],
    moved_at: Mapping[RangeRef, float],
    policy: PlacementPolicy,
    now: float,
) -> None:
    """Move ranges from the busiest to the idlest server while it gains enough."""
    movable: defaultdict[str, list[RangeRow]] = defaultdict(list)
    for row in rows:
        settled = now - moved_at.get(row.ref, float("-inf")) >= policy.hysteresis
        if settled and row.state == RangeState.ACTIVE:
            movable[row.owner].append(row)
    capacity = sum(plan.candidates[holder].capacity for holder in targets)
    mean = sum(plan.load[holder] for holder in targets) / capacity
    for _ in range(policy.max_moves):
        busiest = max(targets, key=plan.relative)
        idlest = min(targets, key=plan.relative)
        if plan.relative(busiest) < mean * (1 + policy.min_gain):
            return
        gain = policy.min_gain * mean
        best = _best_row(plan, movable[busiest], busiest, idlest, gain)
        if best is None:
            return
        movable[busiest].remove(best)
        plan.move(best, idlest, lost=False)


def _best_row(
    plan: _Plan, rows: list[RangeRow], busiest: str, idlest: str, gain: float
) -> RangeRow | None:
    """Return the row whose move lowers the higher of two loads most."""
    before = plan.relative(busiest)
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
