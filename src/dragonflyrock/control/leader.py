"""The duties of the control group's leader: leases, grants, detection, moves."""

from __future__ import annotations

import logging
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final, NamedTuple

from ..errors import Reason, Refusal, Step
from ..models import RangeRef, RangeRow, RangeState, ServerRow
from ..observe import EventRing
from ..systems.handover import (
    Cancel,
    Finish,
    HostView,
    OwnerView,
    Revoke,
    Wait,
    decide_handover,
)
from ..systems.leases import extend_given, has_lapsed
from ..systems.placement import (
    Candidate,
    PlacementPolicy,
    PlacementView,
    plan_moves,
)
from ..transport.messages import HostRenew, HostUpdate, RangeLoad
from . import calls
from . import commands as c
from .state import ControlState
from .tables import (
    NEVER,
    GrantRow,
    HostRow,
    LeaderTables,
    LeaderTiming,
    LoadRow,
)

__all__ = [
    "ControlLeader",
    "Effect",
    "ProposeCommand",
    "PushGrants",
    "PushUpdate",
    "ServicePolicy",
]

_LOGGER = logging.getLogger(__name__)

VERSIONS_PER_TERM: Final = 1 << 32
LOAD_SMOOTHING: Final = 0.3
LOAD_WINDOW: Final = 1.0
HOST_MEMORY_DEADLINES: Final = 2
AGAIN_MS: Final = 50


class ServicePolicy(NamedTuple):
    """A service as the settings have it.

    ``checks_grants`` overrides what the servers say of themselves.
    """

    range_count: int
    placement: PlacementPolicy
    checks_grants: bool | None = None


@dataclass(frozen=True, slots=True)
class ProposeCommand:
    """Commit a command."""

    command: c.Command


@dataclass(frozen=True, slots=True)
class PushUpdate:
    """Send an entry host the rows that it lacks."""

    host: str
    update: HostUpdate


@dataclass(frozen=True, slots=True)
class PushGrants:
    """Send a backend server its grants; report an acknowledgement."""

    server: ServerRow
    grants: calls.GrantSet


Effect = ProposeCommand | PushUpdate | PushGrants


class _PlanBasis(NamedTuple):
    """What a service's last plan was made from."""

    revision: int
    loads_at: float
    candidates: list[Candidate]


class ControlLeader:
    """What a leader keeps and decides from its election until it steps down.

    It was elected at ``now`` and honours what an earlier leader may have
    promised: it starts and finishes no move before ``hold_until``, the end of
    every lease that could have been given.
    """

    def __init__(
        self,
        name: str,
        term: int,
        state: ControlState,
        services: Mapping[str, ServicePolicy],
        timing: LeaderTiming,
        events: EventRing,
        now: float,
    ) -> None:
        """Take every known server as holding its grants until ``hold_until``."""
        self.name = name
        self.term = term
        self.tables = LeaderTables()
        self._state = state
        self._services = services
        self._timing = timing
        self._events = events
        self._grant_counter = 0
        self._pending: set[str] = set()
        self._refreshed = (-1, -1)
        self._planned_on: dict[str, _PlanBasis] = {}
        self._balanced_at: dict[str, float] = {}
        self._host_names: tuple[str, ...] = ()
        self._hosts_counter = 0
        self._hosts_version = 0
        longest = max(timing.entry_lease, timing.grant)
        self.hold_until = now + timing.outlast(longest)
        for record in state.hosts.values():
            unknown = HostRow(record, self.hold_until, NEVER, 0, frozenset(), 0)
            self.tables.hosts[record.holder] = unknown
        for server in state.servers.values():
            self.tables.grants[server.holder] = self._unknown_grant(server)

    def _unknown_grant(self, server: ServerRow) -> GrantRow:
        """Return the row of a server that an earlier leader may have granted."""
        until = self.hold_until
        return GrantRow(server, until, self.hold_until, 0, True, 0.0, 0, 0, ())

    def settle(self, command: str) -> None:
        """Note that a proposed command is over, so that it may be proposed again."""
        self._pending.discard(command)

    # Entry hosts

    def renew_host(
        self, renew: HostRenew, applied: int, now: float
    ) -> tuple[HostUpdate, list[Effect]]:
        """Renew an entry host's lease and return the rows that it lacks.

        A host gets no lease before it is committed as one: the next leader must
        know of every host that may have something in flight. A host that is heard
        but hears nothing is not renewed, since it would hold every handover up.
        """
        record = renew.host
        known = self.tables.hosts.get(record.holder)
        if known is not None and renew.sent_at < known.sent_at:
            # A later renewal has overtaken this one.
            return self._update(known, renew.sent_at, 0, applied), []
        self._add_loads(renew.loads)
        if renew.leaving:
            return self._let_go(renew, applied)
        lease_ms = 0
        effects: list[Effect] = []
        until = known.lease_until if known else now
        hears = renew.sent_at - renew.answered_at <= self._timing.answer_limit
        if record.holder not in self._state.hosts:
            effects = self._propose(c.RegisterHost(record), record.holder)
        elif hears:
            lease = self._timing.entry_lease
            lease_ms = int(lease * 1000)
            until = extend_given(until, now, lease, self._timing.drift)
        row = self._make_row(renew, until)
        self.tables.hosts[record.holder] = row
        return self._update(row, renew.sent_at, lease_ms, applied), effects

    @staticmethod
    def _make_row(renew: HostRenew, until: float) -> HostRow:
        """Return a host's row as its renewal tells it."""
        return HostRow(
            renew.host,
            until,
            renew.sent_at,
            renew.revision,
            frozenset(renew.draining),
            renew.hosts_version,
        )

    def _let_go(
        self, renew: HostRenew, applied: int
    ) -> tuple[HostUpdate, list[Effect]]:
        """Forget a host that stops with nothing in flight."""
        holder = renew.host.holder
        self.tables.hosts.pop(holder, None)
        update = self._update(self._make_row(renew, NEVER), renew.sent_at, 0, applied)
        return update, self._propose(c.ForgetHost(holder), holder)

    def _update(
        self, row: HostRow, sent_at: float, lease_ms: int, applied: int
    ) -> HostUpdate:
        """Return an update with what a host lacks."""
        delta = self._state.delta_after(row.revision, applied)
        version = self._hosts_version
        hosts = None if row.hosts_version == version else self._host_names
        return HostUpdate(
            self.term, self.name, sent_at, lease_ms, delta, version, hosts
        )

    def _list_hosts(self, now: float) -> None:
        """Give the list of live hosts a new version if it changed."""
        live = {host.record.name for host in self.live_hosts(now)}
        names = tuple(sorted(live))
        if names == self._host_names:
            return
        self._host_names = names
        self._hosts_counter += 1
        self._hosts_version = self.term * VERSIONS_PER_TERM + self._hosts_counter

    def live_hosts(self, now: float) -> list[HostRow]:
        """Return the entry hosts that may be dispatching."""
        return [
            host
            for host in self.tables.hosts.values()
            if not has_lapsed(host.lease_until, now)
        ]

    def push_updates(self, applied: int, now: float) -> list[Effect]:
        """Return updates for the hosts that lack rows, without a lease."""
        self._list_hosts(now)
        effects: list[Effect] = []
        for host in self.live_hosts(now):
            if host.revision >= self._state.revision:
                continue
            update = self._update(host, 0.0, 0, applied)
            effects.append(PushUpdate(host.record.name, update))
        return effects

    def _add_loads(self, loads: tuple[RangeLoad, ...]) -> None:
        """Add a host's report to the loads of the present window."""
        window = self.tables.load_window
        for load in loads:
            ref = RangeRef(load.service, load.low)
            window[ref] = window.get(ref, 0.0) + load.busy_ms

    def _smooth_loads(self, now: float) -> None:
        """Fold the window into the smoothed loads once it is long enough."""
        tables = self.tables
        elapsed = now - tables.window_started_at
        if elapsed < LOAD_WINDOW:
            return
        for ref in tables.load_window.keys() | tables.loads.keys():
            row = tables.loads.get(ref, LoadRow(0.0, NEVER))
            rate = tables.load_window.get(ref, 0.0) / elapsed
            busy = row.busy_ms + LOAD_SMOOTHING * (rate - row.busy_ms)
            tables.loads[ref] = row._replace(busy_ms=busy)
        tables.load_window.clear()
        tables.window_started_at = now

    # Backend servers

    def announce(
        self, announcement: calls.Announcement, now: float
    ) -> tuple[calls.GrantSet | Refusal, list[Effect]]:
        """Take an announcement; return the answer and what else is to be done."""
        policy = self._services.get(announcement.service)
        if policy is None:
            allowed = ", ".join(self._services)
            detail = f"service {announcement.service!r}; allowed: {allowed}"
            peer = announcement.name
            refusal = Refusal(Reason.UNKNOWN_SERVICE, Step.ANNOUNCE, peer, detail)
            return refusal, []
        server = self._row_of(announcement, policy)
        known = self._state.servers.get(server.name)
        if known is not None and server.incarnation < known.incarnation:
            detail = f"incarnation {known.incarnation} is known"
            return Refusal(
                Reason.OLD_INCARNATION, Step.ANNOUNCE, server.name, detail
            ), []
        if known is None or not _is_same_server(known, server):
            return self._register(server, announcement)
        row = self._hear(known, announcement, now)
        return self._grant_set(row, announcement.sequence), []

    @staticmethod
    def _row_of(announcement: calls.Announcement, policy: ServicePolicy) -> ServerRow:
        """Return the durable part of an announcement."""
        checks = announcement.checks_grants
        if policy.checks_grants is not None:
            checks = policy.checks_grants
        return ServerRow(
            announcement.name,
            announcement.service,
            announcement.address,
            announcement.zone,
            announcement.incarnation,
            announcement.slots,
            announcement.connections,
            checks,
        )

    def _register(
        self, server: ServerRow, announcement: calls.Announcement
    ) -> tuple[calls.GrantSet, list[Effect]]:
        """Commit the server first; it is to announce itself again soon."""
        answer = calls.GrantSet(
            server.holder, 0, announcement.sequence, 0, AGAIN_MS, ()
        )
        return answer, self._propose(c.RegisterServer(server), server.holder)

    def _hear(
        self, server: ServerRow, announcement: calls.Announcement, now: float
    ) -> GrantRow:
        """Renew a server's grants."""
        timing = self._timing
        row = self.tables.grants.get(server.holder)
        if row is None:
            row = GrantRow(server, now, now, 0, True, 0.0, 0, 0, ())
            self._events.add("server-joined", server=server.holder)
        until = extend_given(row.lease_until, now, timing.grant, timing.drift)
        row = row._replace(
            server=server,
            lease_until=until,
            heard_at=now,
            sequence=max(row.sequence, announcement.sequence),
            ready=announcement.ready,
            load=announcement.load,
            acked_revision=max(row.acked_revision, announcement.grant_revision),
        )
        row = self._refresh(row)
        self.tables.grants[server.holder] = row
        return row

    def _refresh(self, row: GrantRow) -> GrantRow:
        """Give the row's set a new revision if the holder's ranges changed."""
        ranges = self._ranges_of(row.server.holder)
        if row.revision and ranges == row.ranges:
            return row
        self._grant_counter += 1
        revision = self.term * VERSIONS_PER_TERM + self._grant_counter
        return row._replace(revision=revision, ranges=ranges)

    def _ranges_of(self, holder: str) -> tuple[calls.GrantedRange, ...]:
        """Return what a holder owns and has not been told to give up."""
        return tuple(
            calls.GrantedRange(row.low, row.high, row.epoch)
            for row in self._state.ranges.owned_by(holder)
            if row.state != RangeState.LOST
            and self.tables.revoking.get(row.ref) != row.revision
        )

    def _grant_set(self, row: GrantRow, sequence: int) -> calls.GrantSet:
        """Return a row's set, whose lease counts from an announcement."""
        timing = self._timing
        return calls.GrantSet(
            row.server.holder,
            row.revision,
            sequence,
            int(timing.grant * 1000),
            int(timing.announce * 1000),
            row.ranges,
        )

    def acknowledge(self, holder: str, revision: int) -> None:
        """Note that a server holds the grants of a revision."""
        row = self.tables.grants.get(holder)
        if row is not None:
            acked = max(row.acked_revision, revision)
            self.tables.grants[holder] = row._replace(acked_revision=acked)

    def push_grants(self, now: float) -> list[Effect]:
        """Return the changed grants of all servers that are alive."""
        seen = (self._state.revision, len(self.tables.revoking))
        if seen == self._refreshed:
            return []
        self._refreshed = seen
        effects: list[Effect] = []
        for holder, row in self.tables.grants.items():
            if not row.sequence or has_lapsed(row.lease_until, now):
                continue
            fresh = self._refresh(row)
            if fresh.revision != row.revision:
                self.tables.grants[holder] = fresh
                grants = self._grant_set(fresh, fresh.sequence)
                effects.append(PushGrants(fresh.server, grants))
        return effects

    # Each tick

    def tick(self, now: float) -> list[Effect]:
        """Run every duty for this moment."""
        effects: list[Effect] = []
        effects += self._declare_services()
        self._forget_old_grants()
        effects += self._forget_old_hosts(now)
        self._list_hosts(now)
        self._smooth_loads(now)
        if now >= self.hold_until:
            effects += self._advance_handovers(now)
            effects += self._start_moves(now)
        effects += self.push_grants(now)
        return effects

    def _propose(self, command: c.Command, name: str) -> list[Effect]:
        """Return a proposal unless one under that name is under way."""
        key = f"{type(command).__name__}:{name}"
        if key in self._pending:
            return []
        self._pending.add(key)
        return [ProposeCommand(command)]

    @staticmethod
    def name_proposal(command: c.Command) -> str:
        """Return the name under which a proposal of this leader is pending."""
        kind = type(command).__name__
        match command:
            case c.RegisterServer(server):
                return f"{kind}:{server.holder}"
            case c.RegisterHost(host):
                return f"{kind}:{host.holder}"
            case c.ForgetHost(holder):
                return f"{kind}:{holder}"
            case c.DeclareService(service):
                return f"{kind}:{service}"
            case c.BeginMoves(moves):
                return f"{kind}:{moves[0].service}"
        return f"{kind}:"

    def _declare_services(self) -> list[Effect]:
        """Propose the services that the settings have and the state lacks."""
        effects: list[Effect] = []
        for service, policy in self._services.items():
            if service not in self._state.ranges.services:
                command = c.DeclareService(service, policy.range_count)
                effects += self._propose(command, service)
        return effects

    def _forget_old_grants(self) -> None:
        """Drop the rows of incarnations that own nothing and are superseded."""
        for holder in list(self.tables.grants):
            superseded = self._state.find_holder(holder) is None
            if superseded and not self._state.ranges.owns_any(holder):
                del self.tables.grants[holder]

    def _forget_old_hosts(self, now: float) -> list[Effect]:
        """Drop hosts that lapsed so long ago that nothing of theirs can run."""
        memory = HOST_MEMORY_DEADLINES * self._timing.longest_deadline
        effects: list[Effect] = []
        for holder, host in list(self.tables.hosts.items()):
            if has_lapsed(host.lease_until + memory, now):
                del self.tables.hosts[holder]
                effects += self._propose(c.ForgetHost(holder), holder)
        return effects

    def _advance_handovers(self, now: float) -> list[Effect]:
        """Decide the next step of every range that is moving."""
        moving = self._state.ranges.moving()
        if not moving:
            self.tables.move_started.clear()
            self.tables.revoking.clear()
            return []
        hosts = [
            HostView(host.lease_until, host.revision, host.draining)
            for host in self.tables.hosts.values()
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
                    pause = self._timing.cancelled_pause
                    self.tables.held_until[row.ref] = now + pause
                case Revoke():
                    self.tables.revoking[row.ref] = row.revision
                case Wait():
                    pass
        effects: list[Effect] = []
        if finished:
            effects += self._propose(c.FinishMoves(tuple(finished)), "")
        if cancelled:
            effects += self._propose(c.CancelMoves(tuple(cancelled)), "")
        return effects

    def _decide(
        self, row: RangeRow, hosts: list[HostView], now: float
    ) -> Finish | Cancel | Revoke | Wait:
        """Decide the next step of one move."""
        started = self.tables.move_started.get(row.ref)
        if started is None or started[0] != row.revision:
            started = (row.revision, now)
            self.tables.move_started[row.ref] = started
        grant = self.tables.grants.get(row.owner)
        owner = None
        if grant is not None:
            revoked = self.tables.revoking.get(row.ref) == row.revision
            excluded = revoked or row.state == RangeState.LOST
            owner = OwnerView(
                grant.lease_until,
                grant.server.checks_grants,
                excluded,
                excluded and self._has_acknowledged(grant, row),
            )
        timing = self._timing
        return decide_handover(
            row,
            hosts,
            owner,
            started[1],
            timing.drain_limit,
            timing.longest_deadline,
            now,
        )

    @staticmethod
    def _has_acknowledged(grant: GrantRow, row: RangeRow) -> bool:
        """Return whether the holder has a set that leaves the range out."""
        if any(held.low == row.low for held in grant.ranges):
            return False
        return grant.acked_revision >= grant.revision

    def _start_moves(self, now: float) -> list[Effect]:
        """Begin the moves that the placement asks for.

        A service is planned anew only when its servers, the rows or the loads
        have changed, since a plan reads every range of the service.
        """
        effects: list[Effect] = []
        for service, policy in self._services.items():
            candidates = self._candidates(service, now)
            basis = _PlanBasis(
                self._state.revision, self.tables.window_started_at, candidates
            )
            if basis == self._planned_on.get(service):
                continue
            self._planned_on[service] = basis
            moves = self._plan(service, candidates, policy, now)
            if moves:
                effects += self._propose(c.BeginMoves(moves), service)
        return effects

    def _plan(
        self,
        service: str,
        candidates: list[Candidate],
        policy: ServicePolicy,
        now: float,
    ) -> tuple[c.Move, ...]:
        """Return the moves to begin for a service."""
        rows = list(self._state.ranges.of_service(service))
        if not rows:
            return ()
        loads = self.tables.loads
        busy = {row.ref: loads[row.ref].busy_ms for row in rows if row.ref in loads}
        moved = {row.ref: loads[row.ref].moved_at for row in rows if row.ref in loads}
        balanced_at = self._balanced_at.get(service, NEVER)
        may_balance = now - balanced_at >= policy.placement.balance_interval
        held = self._find_held(now)
        view = PlacementView(rows, candidates, busy, moved, held, may_balance, now)
        planned = plan_moves(view, policy.placement)
        for move in planned:
            # A range that lost its owner did not move by choice, and may go back.
            if not move.lost:
                load = loads.get(move.ref, LoadRow(0.0, now))
                loads[move.ref] = load._replace(moved_at=now)
                self._balanced_at[service] = now
        return tuple(
            c.Move(service, move.ref.low, move.epoch, move.target, move.lost)
            for move in planned
        )

    def _find_held(self, now: float) -> frozenset[RangeRef]:
        """Return the ranges whose last move was cancelled just now."""
        held = self.tables.held_until
        for ref in [ref for ref, until in held.items() if now >= until]:
            del held[ref]
        return frozenset(held)

    def _candidates(self, service: str, now: float) -> list[Candidate]:
        """Return the servers of a service whose grants are live."""
        found = []
        for holder, row in self.tables.grants.items():
            if row.server.service != service or has_lapsed(row.lease_until, now):
                continue
            if self._state.find_holder(holder) is None:
                continue
            server = self._state.servers[row.server.name]
            heard = row.sequence > 0
            accepts = heard and row.ready and not server.stopping
            stopping = server.stopping or (heard and not row.ready)
            found.append(Candidate(holder, float(server.slots), accepts, stopping))
        return found


def _is_same_server(known: ServerRow, announced: ServerRow) -> bool:
    """Return whether an announcement changes nothing durable."""
    return known._replace(stopping=False, revision=0) == announced
