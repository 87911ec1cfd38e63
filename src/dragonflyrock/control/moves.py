"""Moves of ranges: their loads, plans and handovers."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from ..models import ContractRow, RangeRef, RangeRow, RangeState, ServerRow
from ..systems.handover import (
    Cancel,
    Finish,
    HostView,
    OwnerView,
    Revoke,
    Wait,
    decide_handover,
)
from ..systems.leases import has_lapsed
from ..systems.placement import Candidate, PlacementView, plan_moves
from ..transport.messages import RangeLoad
from . import commands as c
from .effects import Effect
from .policy import ServicePolicy
from .proposals import Proposals
from .state import ControlState
from .tables import NEVER, GrantRow, LeaderTables, LeaderTiming, LoadRow

__all__ = ["Moves", "find_longest_deadline"]

LOAD_SMOOTHING: Final = 0.3
LOAD_WINDOW_SECONDS: Final = 1.0


class _PlanInputs(NamedTuple):
    """The inputs of a service's last plan."""

    revision: int
    loads_at: float
    candidates: list[Candidate]
    paused: frozenset[RangeRef]


class Moves:
    """The leader's planning and execution of moves between servers."""

    def __init__(
        self,
        state: ControlState,
        services: Mapping[str, ServicePolicy],
        tables: LeaderTables,
        timing: LeaderTiming,
        proposals: Proposals,
    ) -> None:
        """Start without loads."""
        self._state = state
        self._services = services
        self._tables = tables
        self._timing = timing
        self._proposals = proposals
        self._plan_inputs: dict[str, _PlanInputs] = {}
        self._balanced_at: dict[str, float] = {}

    def add_loads(self, loads: tuple[RangeLoad, ...]) -> None:
        """Add a host's report to the loads of the current window."""
        window = self._tables.load_window
        for load in loads:
            ref = RangeRef(load.service, load.low)
            window[ref] = window.get(ref, 0.0) + load.busy_ms

    def smooth_loads(self, now: float) -> None:
        """Smooth a full window into the loads, and start the next one."""
        tables = self._tables
        elapsed = now - tables.window_started_at
        if elapsed < LOAD_WINDOW_SECONDS:
            return
        for ref in tables.load_window.keys() | tables.loads.keys():
            row = tables.loads.get(ref, LoadRow(0.0, NEVER))
            rate = tables.load_window.get(ref, 0.0) / elapsed
            busy = row.busy_ms + LOAD_SMOOTHING * (rate - row.busy_ms)
            tables.loads[ref] = row._replace(busy_ms=busy)
        tables.load_window.clear()
        tables.window_started_at = now

    def advance(self, now: float) -> list[Effect]:
        """Decide the next step of every range that is moving."""
        moving = self._state.ranges.moving()
        if not moving:
            self._tables.move_started.clear()
            self._tables.revoking.clear()
            return []
        hosts = [
            HostView(host.lease_until, host.revision, host.draining)
            for host in self._tables.hosts.values()
        ]
        finished: list[c.MoveRef] = []
        cancelled: list[c.MoveRef] = []
        for row in moving:
            move = c.MoveRef(row.service, row.low, row.revision)
            match self._decide(row, hosts, now):
                case Finish():
                    finished.append(move)
                case Cancel():
                    cancelled.append(move)
                    self._tables.paused_until[row.ref] = now + self._find_pause(row)
                case Revoke():
                    self._tables.revoking[row.ref] = row.revision
                case Wait():
                    pass
        effects: list[Effect] = []
        if finished:
            effects += self._proposals.propose(c.FinishMoves(tuple(finished)))
        if cancelled:
            effects += self._proposals.propose(c.CancelMoves(tuple(cancelled)))
        return effects

    def _decide(
        self, row: RangeRow, hosts: list[HostView], now: float
    ) -> Finish | Cancel | Revoke | Wait:
        """Decide the next step of one move."""
        started = self._tables.move_started.get(row.ref)
        if started is None or started[0] != row.revision:
            started = (row.revision, now)
            self._tables.move_started[row.ref] = started
        grant = self._tables.grants.get(row.owner)
        owner = None
        if grant is not None:
            revoked = self._tables.revoking.get(row.ref) == row.revision
            excluded = revoked or row.state == RangeState.LOST
            owner = OwnerView(
                grant.lease_until,
                grant.server.checks_grants,
                excluded,
                excluded and self._has_acknowledged(grant, row),
            )
        timing = self._timing
        longest = find_longest_deadline(
            self._state.contracts.values(), timing.longest_deadline
        )
        return decide_handover(
            row,
            hosts,
            owner,
            started[1],
            timing.drain_limit,
            timing.with_drift(longest),
            now,
        )

    def _find_pause(self, row: RangeRow) -> float:
        """Return how long a range may not move after its move was cancelled.

        A stopping server must get no new requests soon, so its ranges may move
        again after a short time in which waiting requests are dispatched.
        """
        holder = self._state.find_holder(row.owner)
        if holder is not None and self._is_withdrawn(self._state.servers[holder.name]):
            return self._timing.drain_limit
        return self._timing.cancelled_pause

    @staticmethod
    def _has_acknowledged(grant: GrantRow, row: RangeRow) -> bool:
        """Return whether the holder has acknowledged grants without the range."""
        if any(held.low == row.low for held in grant.ranges):
            return False
        return grant.acked_revision >= grant.revision

    def start(self, now: float) -> list[Effect]:
        """Begin the moves that the placement plans.

        A service is planned again only when its servers, the rows, the loads or the
        paused ranges have changed, since a plan reads every range of the service.
        """
        effects: list[Effect] = []
        paused = self._list_paused(now)
        for service, policy in self._services.items():
            candidates = self._list_candidates(service, now)
            inputs = _PlanInputs(
                self._state.revision, self._tables.window_started_at, candidates, paused
            )
            if inputs == self._plan_inputs.get(service):
                continue
            self._plan_inputs[service] = inputs
            moves = self._plan(service, candidates, policy, paused, now)
            if moves:
                effects += self._proposals.propose(c.BeginMoves(moves))
        return effects

    def _plan(
        self,
        service: str,
        candidates: list[Candidate],
        policy: ServicePolicy,
        paused: frozenset[RangeRef],
        now: float,
    ) -> tuple[c.Move, ...]:
        """Return the moves to begin for a service."""
        rows = list(self._state.ranges.of_service(service))
        if not rows:
            return ()
        loads = self._tables.loads
        busy = {row.ref: loads[row.ref].busy_ms for row in rows if row.ref in loads}
        moved = {row.ref: loads[row.ref].moved_at for row in rows if row.ref in loads}
        balanced_at = self._balanced_at.get(service, NEVER)
        may_balance = now - balanced_at >= policy.placement.balance_interval
        view = PlacementView(rows, candidates, busy, moved, paused, may_balance, now)
        planned = plan_moves(view, policy.placement)
        for move in planned:
            # A range whose owner was lost did not move by choice, so it may move again.
            if not move.lost:
                load = loads.get(move.ref, LoadRow(0.0, now))
                loads[move.ref] = load._replace(moved_at=now)
                self._balanced_at[service] = now
        return tuple(
            c.Move(service, move.ref.low, move.epoch, move.target, move.lost)
            for move in planned
        )

    def _list_paused(self, now: float) -> frozenset[RangeRef]:
        """Return the ranges that may not move yet after a cancelled move."""
        paused = self._tables.paused_until
        for ref in [ref for ref, until in paused.items() if now >= until]:
            del paused[ref]
        return frozenset(paused)

    def _list_candidates(self, service: str, now: float) -> list[Candidate]:
        """Return the servers of a service whose leases are valid."""
        candidates = []
        for holder, row in self._tables.grants.items():
            if row.server.service != service or has_lapsed(row.lease_until, now):
                continue
            if self._state.find_holder(holder) is None:
                continue
            server = self._state.servers[row.server.name]
            announced = row.sequence > 0
            is_withdrawn = self._is_withdrawn(server)
            accepts = announced and row.ready and not is_withdrawn
            stopping = is_withdrawn or (announced and not row.ready)
            candidates.append(Candidate(holder, float(server.slots), accepts, stopping))
        return candidates

    def _is_withdrawn(self, server: ServerRow) -> bool:
        """Return whether an operator or the server itself withdrew it from service."""
        return server.stopping or self._state.is_evacuated(server.zone)


def find_longest_deadline(contracts: Iterable[ContractRow], bound: float) -> float:
    """Return the longest deadline of a request, in seconds.

    New contracts are within ``bound``; older ones may be above it.
    """
    deadlines = [row.contract.deadline_ms / 1000 for row in contracts]
    return max((bound, *deadlines))
