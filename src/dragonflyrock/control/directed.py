"""Range ownership by orders: the leader grants and releases one range a call.

A server that is granted its ranges by orders is called directed. It announces
itself with a ``ServerHeartbeat`` and holds each range for a limited time, which the
leader renews. A restarted server is a new instance with a new name, or a new life of
the same one; see ``docs/design/lives.md``.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from ..errors import Reason, Refusal, Step
from ..hashing import KEY_SPACE
from ..models import GrantedBy, ServerRow
from ..systems.spreading import (
    KeyLoads,
    OwnedPart,
    Owner,
    choose_idlest,
    compute_rates,
    compute_utilization,
    divide_by_capacity,
    plan_balance,
    reassign_part,
)
from ..tables import ColdTable
from ..transport.messages import RangeLoad, ServerNeed, ServerSpeed
from . import commands as c
from .by_heartbeat import GrantingByHeartbeat
from .by_order import GrantingByOrder
from .calls import HeartbeatAccepted
from .directed_models import (
    NEVER,
    DirectedTiming,
    HeldRange,
    MoveStage,
    Order,
    OrderOutcome,
    OrderResult,
    ProbeOrder,
    RangeMove,
    ServerHeartbeat,
    ServerLiveness,
)
from .directed_tables import DirectedTables, Report
from .instances import InstanceRegistry
from .reported_loads import ReportedLoads
from .server_needs import ServerNeedTable
from .state import ControlState

__all__ = ["DirectedLeader"]


SILENCE_CHECK_SECONDS: Final = 0.25
JOIN_INTERVAL_SECONDS: Final = 5.0
UTILIZATION_REPORT_SECONDS: Final = 2.0
# Each move costs a release, a commit and a grant.
MAX_CONCURRENT_MOVES: Final = 64
# An order costs a leader about half a millisecond. A new leader has to renew every
# range; all orders at once would delay its heartbeats until it loses the leadership.
ORDERS_PER_SECOND: Final = 500.0
ORDER_BURST: Final = 25.0
# A free part goes to one of the idlest servers of its service: this fraction of them.
SUITABLE_FRACTION: Final = 3


@dataclass(slots=True)
class _Targets:
    """The servers of a service that may own a part, and their utilization if known."""

    owners: dict[str, Owner]
    utilization: dict[str, float] = field(default_factory=dict)


class DirectedLeader:
    """The leader's state of directed servers, their holds and moves of ranges.

    It is created at the election, at ``now``. Every range counts as held by its
    owner until all holds that an earlier leader may have granted have expired.
    """

    def __init__(
        self,
        state: ControlState,
        timing: DirectedTiming,
        report: Report,
        now: float,
        cold: ColdTable | None = None,
    ) -> None:
        """Assume that every owned range was granted just before ``now``.

        ``cold`` has the cold servers of which this node has heard.
        """
        self._state = state
        self._timing = timing
        self._report = report
        liveness = {name: ServerLiveness(now) for name in state.servers}
        self._tables = DirectedTables(state, timing, report, liveness)
        self._granting: GrantingByOrder | GrantingByHeartbeat
        match timing.granted_by:
            case GrantedBy.CALL:
                self._granting = GrantingByOrder(self._tables)
            case GrantedBy.HEARTBEAT:
                self._granting = GrantingByHeartbeat(self._tables)
        self._instances = InstanceRegistry(self._tables, now)
        self._next_silence_check_at = now
        self._order_credit = ORDER_BURST
        self._credited_at = now
        self._utilization_reported_at: dict[str, float] = {}
        self._loads = ReportedLoads(now)
        self._needs = ServerNeedTable()
        self._cold = cold if cold is not None else ColdTable()
        self._targets: dict[str, float] = {}
        self._targets_version = 0
        self._next_balance_at = now + timing.settle_time
        self._next_join_at = now + JOIN_INTERVAL_SECONDS
        self._synced_revision = -1
        wait = timing.order_timeout + timing.hold_with_drift
        self._tables.sync_holds(now, inherited=now + wait)
        report(
            "holds-inherited",
            detail=f"{len(self._tables.holds)} ranges, for up to {wait:.2f} s",
        )

    def receive_heartbeat(
        self, heartbeat: ServerHeartbeat, now: float
    ) -> c.Command | Refusal | None:
        """Handle an announcement of a server.

        Return a command that must be committed before it is acknowledged, a
        refusal if it is not taken, or None when there is nothing to commit.
        """
        row = self._state.servers.get(heartbeat.name)
        if row is None:
            return self._instances.register(heartbeat, now)
        if heartbeat.born and row.incarnation and heartbeat.born != row.incarnation:
            if heartbeat.born > row.incarnation:
                self._granting.forget(heartbeat.name)
                return self._instances.register_next(heartbeat, row, now)
            return _refuse_late(heartbeat, "a later life of the server is registered")
        if not heartbeat.ended and (row.service, row.address) != (
            heartbeat.service,
            heartbeat.address,
        ):
            detail = f"{heartbeat.name} is {row.service} at {row.address}"
            return Refusal(Reason.NOT_ALLOWED, Step.ANNOUNCE, heartbeat.name, detail)
        liveness = self._tables.get_liveness(heartbeat.name, now)
        liveness.announced_at = now
        if not heartbeat.ended and not self._is_latest(heartbeat, liveness, now):
            return _refuse_late(heartbeat, "a later heartbeat has been received")
        if not heartbeat.ended:
            liveness.sequence = heartbeat.sequence
            liveness.sequence_at = now
        if (heartbeat.leaving or heartbeat.ended) and not row.stopping:
            return c.StopServer(heartbeat.name)
        if heartbeat.born and not row.incarnation and not row.stopping:
            # The row was registered by a former build.
            return c.RegisterServer(row._replace(incarnation=heartbeat.born))
        return None

    def _is_latest(
        self, heartbeat: ServerHeartbeat, liveness: ServerLiveness, now: float
    ) -> bool:
        """Return whether no later heartbeat of the server has been received.

        A server that numbers them anew is another life of it: it is believed once
        all that the former life may hold has expired.
        """
        if heartbeat.sequence >= liveness.sequence:
            return True
        if now - liveness.sequence_at <= self._timing.hold_with_drift:
            return False
        self._granting.distrust(heartbeat.name)
        return True

    def receive_holds(self, heartbeat: ServerHeartbeat, now: float) -> list[c.Command]:
        """Take in what a server says it holds; return commands to commit.

        They give it free parts, so that the answer can name them; see
        ``answer_heartbeat``.
        """
        granting = self._granting
        if not isinstance(granting, GrantingByHeartbeat) or heartbeat.ended:
            return []
        self._sync(now)
        liveness = self._tables.liveness.get(heartbeat.name)
        row = self._state.servers.get(heartbeat.name)
        if row is None or liveness is None or heartbeat.sequence < liveness.sequence:
            return []
        commands = granting.receive(heartbeat, now)
        is_evacuated = self._state.is_evacuated(row.zone)
        if row.stopping or heartbeat.leaving or is_evacuated:
            # Its parts are left out of this answer already.
            self._evacuate_servers(now)
            commands += self._advance_moves(now)
            return commands
        return commands + self._assign_free_parts(row, now)

    def _assign_free_parts(self, row: ServerRow, now: float) -> list[c.Command]:
        """Assign free parts to a server that is being answered, if it is idle enough.

        The first suitable heartbeat ends the time in which nobody holds the part.
        """
        free = [
            move
            for move in self._tables.moves
            if move.service == row.service
            and move.stage == MoveStage.FREE
            and self._granting.waits_for_heartbeat(move)
        ]
        owners = self._list_owners(row.service, now) if free else []
        is_idle: bool | None = None
        ready: list[RangeMove] = []
        for move in free:
            if move.target != row.name:
                if is_idle is None:
                    is_idle = self._is_idle(row, owners)
                if not is_idle or (row.name == move.source and len(owners) > 1):
                    continue
                is_idle = None
            move.target = row.name
            move.stage = MoveStage.COMMITTING
            ready.append(move)
            self._report(
                "part-assigned",
                service=move.service,
                range_low=move.low,
                server=move.target,
                detail=f"to {move.high}, from {move.source}, free for"
                f" {now - move.free_at:.2f} s",
            )
        return self._make_assignments([(move, move.target) for move in ready])

    def _is_idle(self, row: ServerRow, owners: list[Owner]) -> bool:
        """Return whether a server may own a free part although it was not chosen."""
        if all(owner.name != row.name for owner in owners):
            return False
        if self._has_many_rows(row.name):
            return False
        parts = self._list_parts(row.service)
        loads = self._loads.get_loads(row.service)
        utilization = compute_utilization(parts, owners, loads)
        cost = {
            owner.name: utilization[owner.name] + owner.slowness for owner in owners
        }
        others = sorted(cost.values())
        limit = others[max(len(others) // SUITABLE_FRACTION, min(2, len(others) - 1))]
        return cost[row.name] <= limit

    def answer_heartbeat(
        self, heartbeat: ServerHeartbeat, received_at: float, now: float
    ) -> HeartbeatAccepted:
        """Return the answer to a heartbeat, once its commands are applied."""
        granting = self._granting
        if not isinstance(granting, GrantingByHeartbeat) or heartbeat.ended:
            return HeartbeatAccepted()
        liveness = self._tables.liveness.get(heartbeat.name)
        if liveness is None or heartbeat.sequence < liveness.sequence:
            return HeartbeatAccepted()
        if heartbeat.service not in self._list_keyed_services():
            return HeartbeatAccepted()
        self._sync(now)
        rows = granting.make_rows(heartbeat, received_at)
        if rows is None:
            return HeartbeatAccepted()
        return HeartbeatAccepted(rows, int(self._timing.hold * 1000))

    def receive_heard_servers(
        self,
        sequences: tuple[tuple[str, int], ...],
        now: float,
        lives: tuple[int, ...] = (),
    ) -> None:
        """Record servers that announced themselves to a follower, with sequences.

        A follower of a former build does not say which life it has heard.
        """
        known_lives = (*lives, *([0] * (len(sequences) - len(lives))))
        for (name, sequence), born in zip(sequences, known_lives, strict=False):
            liveness = self._tables.liveness.get(name)
            row = self._state.servers.get(name)
            if liveness is None or row is None:
                continue
            if row.incarnation and born not in (0, row.incarnation):
                continue
            liveness.announced_at = now
            if born or not row.incarnation:
                liveness.sequence = max(liveness.sequence, sequence)

    def drop_ended_servers(self, names: tuple[str, ...]) -> list[c.Command]:
        """Drop servers at whose addresses entry hosts found another instance.

        ``names`` has the holders of servers whose lives are known, else the names.
        """
        commands: list[c.Command] = []
        for name in names:
            row = self._state.servers.get(name)
            if row is None:
                row = self._state.find_holder(name)
            if row is not None:
                commands.append(self._drop_ended_server(row.name))
        return commands

    def add_loads(self, loads: tuple[RangeLoad, ...]) -> None:
        """Add an entry host's counts of requests by key."""
        self._loads.add_keys(loads)

    def add_speeds(self, speeds: tuple[ServerSpeed, ...]) -> None:
        """Add an entry host's measurements of servers' processing times."""
        self._loads.add_speeds(speeds)

    def add_needs(self, needs: tuple[ServerNeed, ...], now: float) -> None:
        """Add a host's report of what servers take; of known incarnations only."""
        for need in needs:
            row = self._state.servers.get(need.holder.rpartition("@")[0])
            if row is None or row.holder != need.holder:
                continue
            if not self._needs.record(need, now):
                continue
            self._report(
                "server-need",
                server=need.holder,
                detail=f"limit {need.per_second}, pause {need.paused_seconds:.3f} s,"
                f" {need.age:.3f} s ago",
            )

    def tick(self, now: float) -> tuple[list[c.Command], list[Order]]:
        """Update holds and moves; return the commands to commit and orders to send."""
        commands: list[c.Command] = []
        self._sync(now)
        self._loads.update_rates(now)
        commands += self._drop_silent_servers(now)
        self._divide_new_services(now)
        self._evacuate_servers(now)
        self._balance(now)
        commands += self._advance_moves(now)
        commands += self._join_ranges(now)
        commands += self._assign_newer_epochs()
        self._granting.renew(now)
        return commands, self._dequeue_orders(now)

    def _sync(self, now: float) -> None:
        """Rebuild the holds if rows were committed since."""
        if self._state.revision != self._synced_revision:
            self._synced_revision = self._state.revision
            self._tables.sync_holds(now, inherited=NEVER)

    def _dequeue_orders(self, now: float) -> list[Order]:
        """Return the oldest queued orders that the rate limit allows now."""
        gained = (now - self._credited_at) * ORDERS_PER_SECOND
        self._credited_at = now
        self._order_credit = min(ORDER_BURST, self._order_credit + gained)
        count = min(int(self._order_credit), len(self._tables.orders))
        self._order_credit -= count
        orders = self._tables.orders[:count]
        del self._tables.orders[:count]
        return orders

    def complete_proposal(self, command: c.Command) -> None:
        """Record that a proposed command was applied or has failed."""
        match command:
            case c.AssignRanges():
                self._tables.finish_moves(command)

    def _drop_silent_servers(self, now: float) -> list[c.Command]:
        """Drop servers without a recent announcement, stopping ones sooner."""
        commands: list[c.Command] = []
        if now < self._next_silence_check_at:
            return commands
        self._next_silence_check_at = now + SILENCE_CHECK_SECONDS
        for name, row in self._state.servers.items():
            liveness = self._tables.get_liveness(name, now)
            silent = now - liveness.announced_at
            limit = self._timing.removal_timeout
            if row.stopping:
                limit = self._timing.silence_timeout * 2
            if silent > limit:
                self._instances.record_dropped(name)
                commands.append(c.DropServer(name))
        return commands

    def _list_owners(self, service: str, now: float) -> list[Owner]:
        """Return the servers that may get ranges of a service."""
        owners = []
        for name, row in self._state.servers.items():
            liveness = self._tables.liveness.get(name)
            if row.service != service or row.stopping or liveness is None:
                continue
            if self._state.is_evacuated(row.zone):
                continue
            silent = now - liveness.announced_at > self._timing.silence_timeout
            if silent or self._tables.is_failing(liveness, now):
                continue
            owners.append(Owner(name, float(max(row.slots, 1))))
        target = self._find_target_latency(service)
        owners = self._loads.add_capacities(sorted(owners), target)
        owners = self._limit_cold(service, owners, now)
        if self._needs.is_empty:
            return owners
        parts, loads = self._list_parts(service), self._loads.get_loads(service)
        return self._needs.adjust(owners, compute_rates(parts, loads), now)

    def _limit_cold(self, service: str, owners: list[Owner], now: float) -> list[Owner]:
        """Return owners with the capacity that cold servers have.

        If all of them are cold, none has room for the keys of another.
        """
        warmup = self._state.find_warmup(service)
        if warmup is None:
            return owners
        limited = [
            owner._replace(capacity=min(owner.capacity, warmup.per_second))
            if self._cold.is_cold(owner.name, now)
            else owner
            for owner in owners
        ]
        is_any_warm = any(not self._cold.is_cold(owner.name, now) for owner in owners)
        return limited if is_any_warm else owners

    def _find_target_latency(self, service: str) -> float:
        """Return the shortest target latency of a service's routes, in seconds."""
        document = self._state.route_store.document
        if document.version != self._targets_version:
            self._targets_version = document.version
            self._targets = {}
            for route in document.routes:
                for name, _ in route.shares:
                    shortest = self._targets.get(name, route.target_ms / 1000)
                    self._targets[name] = min(shortest, route.target_ms / 1000)
        return self._targets.get(service, 0.0)

    def _list_keyed_services(self) -> list[str]:
        """Return the services whose keys are divided among their servers."""
        document = self._state.route_store.document
        return [service.name for service in document.services if service.keyed]

    def _divide_new_services(self, now: float) -> None:
        """Divide the keys of a service that has no ranges yet."""
        for service in self._list_keyed_services():
            if service in self._state.ranges.services or self._has_moves(service):
                continue
            if now < self._instances.find_division_time(service):
                continue
            owners = self._list_owners(service, now)
            if not owners:
                continue
            for assignment in divide_by_capacity(owners, self._timing.key_step):
                self._begin_move(
                    service,
                    assignment.low,
                    assignment.high,
                    0,
                    "",
                    assignment.target,
                    "first",
                    now,
                )

    def _has_moves(self, service: str) -> bool:
        """Return whether any part of a service is being moved."""
        return self._tables.moving_spans.has_service(service)

    def _evacuate_servers(self, now: float) -> None:
        """Move ranges away from servers that leave, have ended or cannot be reached."""
        for service in self._list_keyed_services():
            utilization: dict[str, float] = {}
            owners: list[Owner] = []
            loads = KeyLoads({})
            leaving = self._list_leaving_holds(service, now)
            if leaving:
                loads = self._loads.get_loads(service)
                owners = self._list_owners(service, now)
                parts = self._list_parts(service)
                utilization = compute_utilization(parts, owners, loads)
            # The parts with most requests come first, while all owners have room.
            leaving.sort(key=lambda item: -loads.between(item[0].low, item[0].high))
            for hold, cause in leaving:
                part = OwnedPart(hold.low, hold.high, hold.owner.name)
                others = [owner for owner in owners if owner.name != hold.owner.name]
                assignments = reassign_part(
                    part, utilization, others, loads, self._timing.key_step
                )
                for assignment in assignments:
                    self._begin_move(
                        service,
                        assignment.low,
                        assignment.high,
                        hold.epoch,
                        hold.owner.name,
                        assignment.target,
                        cause,
                        now,
                    )

    def _list_leaving_holds(
        self, service: str, now: float
    ) -> list[tuple[HeldRange, str]]:
        """Return the ranges that must leave their owner and do not yet, and why."""
        holds = [
            hold for hold in self._tables.holds.values() if hold.service == service
        ]
        causes = ((hold, self._find_evacuation_cause(hold, now)) for hold in holds)
        return [
            (hold, cause)
            for hold, cause in causes
            if cause and not self._tables.is_part_moving(hold)
        ]

    def _find_evacuation_cause(self, hold: HeldRange, now: float) -> str:
        """Return why a range must leave its owner; empty if it need not."""
        name = hold.owner.name
        row = self._state.servers.get(name)
        if row is None:
            return "ended"
        if row.stopping:
            return "leaving"
        if self._state.is_evacuated(row.zone):
            return "evacuated"
        expired = now >= hold.held_until and not self._granting.is_pending(hold)
        return "unreachable" if expired and self._granting.is_lost(hold, now) else ""

    def _list_parts(self, service: str) -> list[OwnedPart]:
        """Return the owner of each part of a service, as if all moves were done."""
        moves = self._tables.moving_spans.find_overlapping(service, 0, KEY_SPACE - 1)
        parts = [OwnedPart(move.low, move.high, move.target) for move in moves]
        for hold in self._tables.holds.values():
            if hold.service == service:
                parts += [
                    OwnedPart(low, high, hold.owner.name)
                    for low, high in self._tables.list_unmoved_parts(hold)
                ]
        return parts

    def _balance(self, now: float) -> None:
        """Move parts with many requests from busy servers to idle ones."""
        if now < self._next_balance_at:
            return
        self._next_balance_at = now + self._timing.balance_interval
        self._needs.retain({row.holder for row in self._state.servers.values()})
        for service in self._list_keyed_services():
            if len(self._tables.moves) > MAX_CONCURRENT_MOVES:
                continue
            loads = self._loads.get_loads(service)
            parts = self._list_parts(service)
            owners = self._list_owners(service, now)
            self._report_utilization(service, parts, owners, loads, now)
            assignments = plan_balance(parts, owners, loads, self._timing.key_step)
            for assignment in assignments:
                self._begin_hot_move(
                    service, assignment.low, assignment.high, assignment.target, now
                )

    def _report_utilization(
        self,
        service: str,
        parts: list[OwnedPart],
        owners: list[Owner],
        loads: KeyLoads,
        now: float,
    ) -> None:
        """Report the utilization of a service's servers at a regular interval."""
        if (
            now - self._utilization_reported_at.get(service, NEVER)
            < UTILIZATION_REPORT_SECONDS
            or not owners
        ):
            return
        self._utilization_reported_at[service] = now
        utilization = compute_utilization(parts, owners, loads)
        summary = " ".join(
            f"{owner.name}={utilization[owner.name]:.2f}/{owner.capacity:.0f}"
            for owner in owners
        )
        self._report(
            "server-use", service=service, detail=f"{len(parts)} ranges: {summary}"
        )

    def _begin_hot_move(
        self, service: str, low: int, high: int, target: str, now: float
    ) -> None:
        """Begin the move of a part with many requests, if one hold contains it."""
        hold = self._tables.find_hold(service, low)
        if hold is None or high > hold.high:
            return
        if self._tables.is_span_moving(service, low, high):
            return
        source = hold.owner.name
        if self._has_many_rows(source) or self._has_many_rows(target):
            return
        if self._granting.is_distrusted(source):
            return
        self._begin_move(service, low, high, hold.epoch, source, target, "hot", now)

    def _has_many_rows(self, name: str) -> bool:
        """Return whether a server has no room for a row that splits another one."""
        limit = self._granting.max_rows
        return limit > 0 and len(self._tables.holds_by_owner.get(name, ())) + 2 > limit

    def _begin_move(
        self,
        service: str,
        low: int,
        high: int,
        epoch: int,
        source: str,
        target: str,
        cause: str,
        now: float,
    ) -> None:
        """Begin a move; the owner must release the part if it may hold it."""
        move = RangeMove(
            service, low, high, epoch, source, target, MoveStage.FREE, cause
        )
        hold = self._tables.find_hold(service, low)
        # The owner may not hold the part yet, but receive it by a pending grant.
        held = hold is not None and (
            now < hold.held_until or self._granting.is_pending(hold)
        )
        if source and held:
            move.stage = MoveStage.PENDING
        self._tables.add_move(move)
        self._report(
            "move-begun", service=service, server=source, detail=f"{cause}: {target}"
        )

    def _advance_moves(self, now: float) -> list[c.Command]:
        """Advance moves; commit those whose source no longer holds the part."""
        fences: list[RangeMove] = []
        ready: list[RangeMove] = []
        targets: dict[str, _Targets] = {}
        for move in self._tables.moves:
            if move.stage == MoveStage.FENCED:
                self._granting.continue_fenced(move)
            if move.stage == MoveStage.PENDING:
                if self._granting.needs_fence(move, now):
                    move.stage = MoveStage.FENCING
                    fences.append(move)
                else:
                    self._granting.release(move, now)
            if move.stage == MoveStage.WAITING and now >= move.free_at:
                move.stage = MoveStage.FREE
            if move.stage == MoveStage.FREE:
                if move.service not in targets:
                    owners = self._list_owners(move.service, now)
                    targets[move.service] = _Targets({o.name: o for o in owners})
                self._retarget(move, targets[move.service])
                if self._granting.waits_for_heartbeat(move):
                    continue
                if move.target:
                    move.stage = MoveStage.COMMITTING
                    ready.append(move)
        return [
            *self._make_assignments([(move, move.source) for move in fences]),
            *self._make_assignments([(move, move.target) for move in ready]),
        ]

    def _retarget(self, move: RangeMove, targets: _Targets) -> None:
        """Choose another target for a move if its target can no longer own ranges.

        It is the idlest owner, other than the source where there is one.
        """
        if move.target in targets.owners:
            return
        owners = list(targets.owners.values())
        others = [owner for owner in owners if owner.name != move.source] or owners
        move.target = ""
        if not others:
            return
        loads = self._loads.get_loads(move.service)
        if not targets.utilization:
            parts = self._list_parts(move.service)
            targets.utilization = compute_utilization(parts, owners, loads)
        move.target = choose_idlest(
            move.low, move.high, targets.utilization, others, loads
        )

    def _assign_newer_epochs(self) -> list[c.Command]:
        """Assign ranges to their servers under newer epochs, where these are needed.

        Another life of the server may have the epoch that they have now.
        """
        parts: dict[str, list[c.RangePart]] = {}
        for hold in self._tables.holds.values():
            if not hold.needs_epoch:
                continue
            row = self._state.servers.get(hold.owner.name)
            if row is None or row.stopping or self._tables.is_part_moving(hold):
                continue
            parts.setdefault(hold.service, []).append(
                c.RangePart(hold.low, hold.high, hold.epoch, row.holder)
            )
        return [c.AssignRanges(service, tuple(p)) for service, p in parts.items()]

    def _join_ranges(self, now: float) -> list[c.Command]:
        """Join adjacent ranges of one owner, so that fewer need renewal."""
        if now < self._next_join_at:
            return []
        self._next_join_at = now + JOIN_INTERVAL_SECONDS
        commands: list[c.Command] = []
        for service in self._list_keyed_services():
            rows = list(self._state.ranges.of_service(service))
            start = 0
            for end in range(1, len(rows) + 1):
                if end < len(rows) and rows[end].owner == rows[start].owner:
                    continue
                span = service, rows[start].low, rows[end - 1].high
                unmoved = not self._tables.is_span_moving(*span)
                if end - start > 1 and rows[start].owner and unmoved:
                    commands.append(
                        c.JoinRanges(service, rows[start].low, rows[end - 1].high)
                    )
                start = end
        return commands

    def complete_order(self, result: OrderResult, now: float) -> c.Command | None:
        """Handle the result of an order; return a command to commit, if any."""
        server = result.order.server
        row = self._state.servers.get(server.name)
        is_present_life = row is None or row.incarnation == server.incarnation
        if is_present_life:
            self._record_order(result, now)
        is_found = result.outcome == OrderOutcome.DONE
        if is_found and isinstance(result.order, ProbeOrder):
            self._instances.confirm(result.order.server.name)
        command = self._granting.complete(result, now)
        if result.outcome == OrderOutcome.OTHER_INSTANCE and is_present_life:
            return self._drop_ended_server(server.name)
        return command

    def _record_order(self, result: OrderResult, now: float) -> None:
        """Record whether a server could be reached by an order."""
        liveness = self._tables.get_liveness(result.order.server.name, NEVER)
        match result.outcome:
            case OrderOutcome.DONE | OrderOutcome.NEWER_EPOCH:
                liveness.failures = 0
            case OrderOutcome.UNKNOWN | OrderOutcome.NOT_SENT:
                liveness.failures += 1
                liveness.failed_at = now

    def _make_assignments(self, owners: list[tuple[RangeMove, str]]) -> list[c.Command]:
        """Return commands, one a service, that assign the parts of moves to owners.

        Each move records its command.
        """
        commands: list[c.Command] = []
        for service in dict.fromkeys(move.service for move, _ in owners):
            chosen = [item for item in owners if item[0].service == service]
            command = c.AssignRanges(
                service,
                tuple(
                    c.RangePart(
                        move.low, move.high, move.epoch, self._tables.find_holder(owner)
                    )
                    for move, owner in chosen
                ),
            )
            for move, _ in chosen:
                move.command = command
            commands.append(command)
        return commands

    def _drop_ended_server(self, name: str) -> c.Command:
        """End the holds of a server instance that has ended, and drop it."""
        self._granting.forget(name)
        self._instances.record_ended(name)
        for hold in self._tables.holds.values():
            if hold.owner.name == name:
                hold.confirmed_until = hold.possible_until = NEVER
        for move in self._tables.moves:
            if move.source == name and move.stage != MoveStage.COMMITTING:
                move.stage = MoveStage.FREE
        self._report("server-ended", server=name)
        return c.DropServer(name)


def _refuse_late(heartbeat: ServerHeartbeat, detail: str) -> Refusal:
    """Return the refusal of an announcement that comes too late to be taken."""
    return Refusal(Reason.OLD_INCARNATION, Step.ANNOUNCE, heartbeat.name, detail)
