"""Range ownership by orders: the leader grants and releases one range a call.

A server that is granted its ranges by orders is called directed. It announces
itself with a ``ServerHeartbeat`` and holds each range for a limited time, which the
leader renews. A restarted server is a new instance with a new name.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from ..errors import Reason, Refusal, Step
from ..models import RangeRow, ServerRow
from ..systems.spreading import (
    KeyLoads,
    OwnedPart,
    Owner,
    compute_rates,
    compute_utilization,
    divide_by_capacity,
    plan_balance,
    reassign_part,
)
from ..transport.messages import RangeLoad, ServerNeed, ServerSpeed
from . import commands as c
from .directed_models import (
    NEVER,
    DirectedTiming,
    GrantOrder,
    HeldRange,
    MoveStage,
    Order,
    OrderOutcome,
    OrderResult,
    ProbeOrder,
    RangeMove,
    ReleaseOrder,
    ServerHeartbeat,
    ServerLiveness,
)
from .reported_loads import ReportedLoads
from .server_needs import ServerNeedTable
from .state import ControlState

__all__ = ["DirectedLeader"]


MAX_ENDED_INSTANCES: Final = 10_000
JOIN_INTERVAL_SECONDS: Final = 5.0
UTILIZATION_REPORT_SECONDS: Final = 2.0
TOLERATED_FAILURES: Final = 2
# Each move costs a release, a commit and a grant.
MAX_CONCURRENT_MOVES: Final = 64
# An order costs a leader about half a millisecond. A new leader has to renew every
# range; all orders at once would delay its heartbeats until it loses the leadership.
ORDERS_PER_SECOND: Final = 500.0
ORDER_BURST: Final = 25.0

Report = Callable[..., None]


class DirectedLeader:
    """The leader's state of directed servers, their holds and moves of ranges.

    It is created at the election, at ``now``. Every range counts as held by its
    owner until all holds that an earlier leader may have granted have expired.
    """

    def __init__(
        self, state: ControlState, timing: DirectedTiming, report: Report, now: float
    ) -> None:
        """Assume that every owned range was granted just before ``now``."""
        self._state = state
        self._timing = timing
        self._report = report
        self._liveness: dict[str, ServerLiveness] = {
            name: ServerLiveness(now) for name in state.servers
        }
        self._ended_instances: dict[str, None] = {}
        self._holds: dict[tuple[str, int], HeldRange] = {}
        self._moves: list[RangeMove] = []
        self._orders: list[Order] = []
        self._order_credit = ORDER_BURST
        self._credited_at = now
        self._utilization_reported_at: dict[str, float] = {}
        self._pending_grants: list[GrantOrder] = []
        self._handover_tokens: dict[tuple[str, int], str] = {}
        self._loads = ReportedLoads(now)
        self._needs = ServerNeedTable()
        self._next_balance_at = now + timing.settle_time
        self._next_join_at = now + JOIN_INTERVAL_SECONDS
        self._registered_at = now
        self._synced_revision = -1
        wait = timing.order_timeout + timing.hold_with_drift
        self._sync_holds(now, inherited=now + wait)
        report(
            "holds-inherited",
            detail=f"{len(self._holds)} ranges, for up to {wait:.2f} s",
        )

    def receive_heartbeat(
        self, heartbeat: ServerHeartbeat, now: float
    ) -> c.Command | Refusal | None:
        """Handle an announcement of a server.

        Return a command that must be committed before it is acknowledged, a
        refusal, or None when there is nothing to commit.
        """
        row = self._state.servers.get(heartbeat.name)
        if row is None:
            return self._register_instance(heartbeat, now)
        if not heartbeat.ended and (row.service, row.address) != (
            heartbeat.service,
            heartbeat.address,
        ):
            detail = f"{heartbeat.name} is {row.service} at {row.address}"
            return Refusal(Reason.NOT_ALLOWED, Step.ANNOUNCE, heartbeat.name, detail)
        liveness = self._liveness.setdefault(heartbeat.name, ServerLiveness(now))
        liveness.announced_at = now
        if not heartbeat.ended and heartbeat.sequence < liveness.sequence:
            return None
        liveness.sequence = max(liveness.sequence, heartbeat.sequence)
        if (heartbeat.leaving or heartbeat.ended) and not row.stopping:
            return c.StopServer(heartbeat.name)
        return None

    def receive_heard_servers(
        self, sequences: tuple[tuple[str, int], ...], now: float
    ) -> None:
        """Record servers that announced themselves to a follower, with sequences."""
        for name, sequence in sequences:
            liveness = self._liveness.get(name)
            if liveness is not None and name in self._state.servers:
                liveness.announced_at = now
                liveness.sequence = max(liveness.sequence, sequence)

    def _register_instance(
        self, heartbeat: ServerHeartbeat, now: float
    ) -> c.Command | Refusal | None:
        """Handle the first announcement of a server instance."""
        if heartbeat.ended:
            return None
        if heartbeat.name in self._ended_instances:
            detail = "this instance of the server has ended"
            return Refusal(
                Reason.OLD_INCARNATION, Step.ANNOUNCE, heartbeat.name, detail
            )
        for other in self._state.servers.values():
            if other.address != heartbeat.address:
                continue
            liveness = self._liveness.get(other.name)
            if (
                liveness is not None
                and now - liveness.announced_at < self._timing.settle_time
            ):
                detail = f"{other.name} at {other.address} announced itself just now"
                return Refusal(
                    Reason.OLD_INCARNATION, Step.ANNOUNCE, heartbeat.name, detail
                )
            self._orders.append(
                ProbeOrder(other, self._find_health_path(other.service))
            )
        self._registered_at = now
        self._liveness[heartbeat.name] = ServerLiveness(now, heartbeat.sequence)
        return c.RegisterServer(
            ServerRow(
                heartbeat.name,
                heartbeat.service,
                heartbeat.address,
                heartbeat.zone,
                0,
                heartbeat.slots,
                0,
                True,
                heartbeat.leaving,
            )
        )

    def _find_health_path(self, service: str) -> str:
        """Return the path at which servers of a service report their instance."""
        for routed in self._state.route_store.document.services:
            if routed.name == service:
                return routed.health_path
        return "/"

    def drop_ended_servers(self, names: tuple[str, ...]) -> list[c.Command]:
        """Drop servers at whose addresses entry hosts found another instance."""
        return [
            self._drop_ended_server(name)
            for name in names
            if name in self._state.servers
        ]

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
        if self._state.revision != self._synced_revision:
            self._synced_revision = self._state.revision
            self._sync_holds(now, inherited=NEVER)
        self._loads.update_rates(now)
        commands += self._drop_silent_servers(now)
        self._divide_new_services(now)
        self._evacuate_servers(now)
        self._balance(now)
        commands += self._advance_moves(now)
        commands += self._join_ranges(now)
        self._renew_holds(now)
        return commands, self._dequeue_orders(now)

    def _dequeue_orders(self, now: float) -> list[Order]:
        """Return the oldest queued orders that the rate limit allows now."""
        gained = (now - self._credited_at) * ORDERS_PER_SECOND
        self._credited_at = now
        self._order_credit = min(ORDER_BURST, self._order_credit + gained)
        count = min(int(self._order_credit), len(self._orders))
        self._order_credit -= count
        orders, self._orders = self._orders[:count], self._orders[count:]
        return orders

    def complete_proposal(self, command: c.Command) -> None:
        """Record that a proposed command was applied or has failed."""
        match command:
            case c.AssignRanges():
                remaining = []
                for move in self._moves:
                    if move.command is not command:
                        remaining.append(move)
                    elif move.stage == MoveStage.FENCING:
                        move.stage = MoveStage.FENCED
                        remaining.append(move)
                    elif move.stage == MoveStage.COMMITTING:
                        key = (move.service, move.low)
                        self._handover_tokens[key] = move.handover
                    else:
                        remaining.append(move)
                self._moves = remaining

    def _sync_holds(self, now: float, inherited: float) -> None:
        """Rebuild the holds from the committed rows.

        A hold with no earlier record counts as confirmed until ``inherited``. Some of
        the grants for it may have no answer, so a release does not end it sooner.
        """
        old, self._holds = self._holds, {}
        by_service: dict[str, list[HeldRange]] = {}
        for hold in old.values():
            by_service.setdefault(hold.service, []).append(hold)
        for row in self._state.ranges:
            if row.owner:
                previous = by_service.get(row.service, [])
                hold = self._carry_over_hold(row, previous, now, inherited)
                self._holds[row.service, row.low] = hold

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
        owner = self._state.servers.get(name) or (parts[0].owner if parts else dropped)
        hold = HeldRange(row.service, row.low, row.high, owner, row.epoch)
        hold.confirmed_until = hold.possible_until = inherited
        if inherited != NEVER:
            hold.possible_epoch = row.epoch
        hold.renew_at = now
        hold.handover = self._handover_tokens.pop((row.service, row.low), "")
        for part in parts:
            hold.confirmed_until = max(hold.confirmed_until, part.confirmed_until)
            hold.possible_until = max(hold.possible_until, part.possible_until)
            hold.possible_epoch = max(hold.possible_epoch, part.possible_epoch)
        if len(parts) == 1:
            hold.handover = hold.handover or parts[0].handover
        if len(parts) == 1 and parts[0].epoch == row.epoch:
            hold.renew_at = parts[0].renew_at
            if (parts[0].low, parts[0].high) != (row.low, row.high):
                hold.renew_at = min(hold.renew_at, now + self._timing.retry_interval)
        return hold

    def _drop_silent_servers(self, now: float) -> list[c.Command]:
        """Drop servers without a recent announcement, stopping ones sooner."""
        commands: list[c.Command] = []
        for name, row in self._state.servers.items():
            liveness = self._liveness.setdefault(name, ServerLiveness(now))
            silent = now - liveness.announced_at
            limit = self._timing.removal_timeout
            if row.stopping:
                limit = self._timing.silence_timeout * 2
            if silent > limit:
                commands.append(c.DropServer(name))
        return commands

    def _list_owners(self, service: str, now: float) -> list[Owner]:
        """Return the servers that may get ranges of a service."""
        owners = []
        for name, row in self._state.servers.items():
            liveness = self._liveness.get(name)
            if row.service != service or row.stopping or liveness is None:
                continue
            silent = now - liveness.announced_at > self._timing.silence_timeout
            if silent or self._is_failing(liveness, now):
                continue
            owners.append(Owner(name, float(max(row.slots, 1))))
        owners = self._loads.add_capacities(sorted(owners))
        if self._needs.is_empty:
            return owners
        parts, loads = self._list_parts(service), self._loads.get_loads(service)
        return self._needs.adjust(owners, compute_rates(parts, loads), now)

    def _is_failing(self, liveness: ServerLiveness, now: float) -> bool:
        """Return whether several orders to a server in a row have failed recently."""
        recent = now - liveness.failed_at < self._timing.silence_timeout
        return recent and liveness.failures > TOLERATED_FAILURES

    def _list_keyed_services(self) -> list[str]:
        """Return the services whose keys are divided among their servers."""
        document = self._state.route_store.document
        return [service.name for service in document.services if service.keyed]

    def _divide_new_services(self, now: float) -> None:
        """Divide the keys of a service that has no ranges yet."""
        if now - self._registered_at < self._timing.settle_time:
            return
        for service in self._list_keyed_services():
            if service in self._state.ranges.services or self._has_moves(service):
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
        return any(move.service == service for move in self._moves)

    def _is_part_moving(self, hold: HeldRange) -> bool:
        """Return whether any part of a hold is being moved."""
        return self._is_span_moving(hold.service, hold.low, hold.high)

    def _is_span_moving(self, service: str, low: int, high: int) -> bool:
        """Return whether any part of a span of keys is being moved."""
        return any(
            move.service == service and move.low <= high and low <= move.high
            for move in self._moves
        )

    def _evacuate_servers(self, now: float) -> None:
        """Move ranges away from servers that leave, have ended or cannot be reached."""
        for service in self._list_keyed_services():
            owners: list[Owner] | None = None
            parts: list[OwnedPart] = []
            for hold in list(self._holds.values()):
                if hold.service != service:
                    continue
                cause = self._find_evacuation_cause(hold, now)
                if not cause or self._is_part_moving(hold):
                    continue
                if owners is None:
                    owners = self._list_owners(service, now)
                    parts = self._list_parts(service)
                part = OwnedPart(hold.low, hold.high, hold.owner.name)
                others = [owner for owner in owners if owner.name != hold.owner.name]
                loads = self._loads.get_loads(service)
                assignments = reassign_part(
                    part, parts, others, loads, self._timing.key_step
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
                    parts.append(
                        OwnedPart(assignment.low, assignment.high, assignment.target)
                    )

    def _find_evacuation_cause(self, hold: HeldRange, now: float) -> str:
        """Return why a range must leave its owner; empty if it need not."""
        name = hold.owner.name
        row = self._state.servers.get(name)
        if row is None:
            return "ended"
        if row.stopping:
            return "leaving"
        if now >= hold.held_until and not self._is_grant_pending(hold):
            liveness = self._liveness.get(name)
            if liveness is not None and self._is_failing(liveness, now):
                return "unreachable"
        return ""

    def _list_parts(self, service: str) -> list[OwnedPart]:
        """Return the owner of each part of a service, as if all moves were done."""
        moves = sorted(
            (move.low, move.high, move.target)
            for move in self._moves
            if move.service == service
        )
        parts = [OwnedPart(low, high, target) for low, high, target in moves]
        for hold in self._holds.values():
            if hold.service != service:
                continue
            low = hold.low
            for first, last, _ in moves:
                if last < low or hold.high < first:
                    continue
                if low < first:
                    parts.append(OwnedPart(low, first - 1, hold.owner.name))
                low = last + 1
            if low <= hold.high:
                parts.append(OwnedPart(low, hold.high, hold.owner.name))
        return parts

    def _balance(self, now: float) -> None:
        """Move parts with many requests from busy servers to idle ones."""
        if now < self._next_balance_at:
            return
        self._next_balance_at = now + self._timing.balance_interval
        self._needs.retain({row.holder for row in self._state.servers.values()})
        for service in self._list_keyed_services():
            if len(self._moves) > MAX_CONCURRENT_MOVES:
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
        for hold in self._holds.values():
            inside = hold.low <= low and high <= hold.high
            if hold.service != service or not inside:
                continue
            if self._is_span_moving(service, low, high):
                return
            self._begin_move(
                service, low, high, hold.epoch, hold.owner.name, target, "hot", now
            )
            return

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
        hold = self._find_hold(service, low)
        # The owner may not hold the part yet, but receive it by a pending grant.
        held = hold is not None and (
            now < hold.held_until or self._is_grant_pending(hold)
        )
        if source and held:
            move.stage = MoveStage.PENDING
        self._moves.append(move)
        self._report(
            "move-begun", service=service, server=source, detail=f"{cause}: {target}"
        )

    def _find_hold(self, service: str, low: int) -> HeldRange | None:
        """Return the hold that contains a key."""
        for hold in self._holds.values():
            if hold.service == service and hold.low <= low <= hold.high:
                return hold
        return None

    def _advance_moves(self, now: float) -> list[c.Command]:
        """Advance moves; commit those whose source no longer holds the part."""
        fences: list[RangeMove] = []
        ready: list[RangeMove] = []
        for move in self._moves:
            if move.stage == MoveStage.FENCED:
                self._grant_fenced_part(move)
            if move.stage == MoveStage.PENDING:
                if self._needs_fence(move, now):
                    move.stage = MoveStage.FENCING
                    fences.append(move)
                else:
                    self._release_part(move, now)
            if move.stage == MoveStage.WAITING and now >= move.free_at:
                move.stage = MoveStage.FREE
            if move.stage == MoveStage.FREE:
                self._retarget(move, now)
                if move.target:
                    move.stage = MoveStage.COMMITTING
                    ready.append(move)
        return [
            *_make_assignments([(move, move.source) for move in fences]),
            *_make_assignments([(move, move.target) for move in ready]),
        ]

    def _needs_fence(self, move: RangeMove, now: float) -> bool:
        """Return whether a newer epoch would free a part sooner than waiting would.

        A grant without an answer may be carried out after the release. A server that
        has confirmed a newer epoch rejects it, so the part need not be waited for.
        """
        hold = self._find_hold(move.service, move.low)
        if move.was_fenced or hold is None or hold.owner.name != move.source:
            return False
        liveness = self._liveness.get(move.source)
        if liveness is None or move.source not in self._state.servers:
            return False
        if liveness.failures or self._is_grant_pending(move):
            return False
        return hold.possible_until - now > self._timing.order_timeout

    def _grant_fenced_part(self, move: RangeMove) -> None:
        """Grant a part again, under its newer epoch, before it is released."""
        move.stage = MoveStage.PENDING
        move.was_fenced = True
        hold = self._holds.get((move.service, move.low))
        if hold is None or (hold.high, hold.owner.name) != (move.high, move.source):
            return
        move.epoch = hold.epoch
        self._orders.append(self._make_grant(hold, hold.low, hold.high))

    def _release_part(self, move: RangeMove, now: float) -> None:
        """Order the release of a part once no grant of it is pending.

        A grant that arrives after the release would give the part back.
        """
        hold = self._find_hold(move.service, move.low)
        if hold is None or hold.owner.name != move.source:
            move.stage = MoveStage.FREE
            return
        if self._is_grant_pending(move):
            return
        # From now on only the other parts of the hold are renewed.
        move.free_at = hold.held_until
        move.possible_until = hold.possible_until
        self._report(
            "hold-released",
            service=move.service,
            range_low=move.low,
            server=move.source,
            detail=f"to {move.high}, epoch {move.epoch}; confirmed for"
            f" {max(hold.confirmed_until - now, 0.0):.2f} s, possible for"
            f" {max(hold.possible_until - now, 0.0):.2f} s",
        )
        row = self._state.servers.get(move.source, hold.owner)
        if not row.address:
            move.stage = MoveStage.WAITING
            return
        move.stage = MoveStage.RELEASING
        move.release = ReleaseOrder(row, move.service, move.low, move.high, move.epoch)
        self._orders.append(move.release)

    def _retarget(self, move: RangeMove, now: float) -> None:
        """Choose another target for a move if its target can no longer own ranges."""
        owners = self._list_owners(move.service, now)
        names = [owner.name for owner in owners]
        if move.target in names:
            return
        part = OwnedPart(move.low, move.high, move.source)
        others = [owner for owner in owners if owner.name != move.source] or owners
        loads = KeyLoads({})
        assignments = reassign_part(
            part,
            self._list_parts(move.service),
            others[:1],
            loads,
            self._timing.key_step,
        )
        move.target = assignments[0].target if assignments else ""

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
                unmoved = not self._is_span_moving(*span)
                if end - start > 1 and rows[start].owner and unmoved:
                    commands.append(
                        c.JoinRanges(service, rows[start].low, rows[end - 1].high)
                    )
                start = end
        return commands

    def _renew_holds(self, now: float) -> None:
        """Queue the grants that are due, except for parts that are being moved."""
        timing = self._timing
        failing: set[str] = set()
        for hold in self._holds.values():
            if now < hold.renew_at or self._is_grant_pending(hold):
                continue
            row = self._state.servers.get(hold.owner.name)
            address = row.address if row is not None else hold.owner.address
            if not address or (row is not None and row.stopping):
                continue
            if self._is_failing(
                self._liveness.setdefault(hold.owner.name, ServerLiveness(now)), now
            ):
                # An order without an answer may still be carried out, so each one
                # delays a new owner of the range by another hold.
                failing.add(hold.owner.name)
                continue
            if self._is_part_moving(hold):
                self._renew_unmoved_parts(hold, now)
                continue
            hold.renew_at = now + timing.renew_interval
            self._orders.append(self._make_grant(hold, hold.low, hold.high))

        for name in failing:
            self._probe(name, now)

    def _probe(self, name: str, now: float) -> None:
        """Probe a server whose orders fail, to find out if it can be reached again."""
        row = self._state.servers.get(name)
        liveness = self._liveness[name]
        if row is None or now - liveness.probed_at < self._timing.order_timeout:
            return
        liveness.probed_at = now
        self._orders.append(ProbeOrder(row, self._find_health_path(row.service)))

    def _renew_unmoved_parts(self, hold: HeldRange, now: float) -> None:
        """Renew the parts of a hold that are not being moved."""
        low = hold.low
        moving = sorted(
            (move.low, move.high)
            for move in self._moves
            if move.service == hold.service
            and move.low <= hold.high
            and hold.low <= move.high
        )
        hold.renew_at = now + self._timing.renew_interval
        for first, last in moving:
            if low < first:
                self._orders.append(self._make_grant(hold, low, first - 1))
            low = last + 1
        if low <= hold.high:
            self._orders.append(self._make_grant(hold, low, hold.high))

    def _make_grant(self, hold: HeldRange, low: int, high: int) -> GrantOrder:
        """Return the order that grants a part of a hold, and record it as pending."""
        owner = self._state.servers.get(hold.owner.name, hold.owner)
        hold_ms = int(self._timing.hold * 1000)
        order = GrantOrder(
            owner, hold.service, low, high, hold.epoch, hold_ms, hold.handover
        )
        self._pending_grants.append(order)
        return order

    def _is_grant_pending(self, part: HeldRange | RangeMove) -> bool:
        """Return whether a grant that overlaps a part is pending."""
        return any(
            order.service == part.service
            and order.low <= part.high
            and part.low <= order.high
            for order in self._pending_grants
        )

    def complete_order(self, result: OrderResult, now: float) -> c.Command | None:
        """Handle the result of an order; return a command to commit, if any."""
        order = result.order
        self._pending_grants = [
            item for item in self._pending_grants if item is not order
        ]
        liveness = self._liveness.setdefault(order.server.name, ServerLiveness(NEVER))
        if result.outcome in (OrderOutcome.DONE, OrderOutcome.NEWER_EPOCH):
            liveness.failures = 0
        elif result.outcome != OrderOutcome.OTHER_INSTANCE:
            liveness.failures += 1
            liveness.failed_at = now
        if result.outcome == OrderOutcome.OTHER_INSTANCE:
            return self._drop_ended_server(order.server.name)
        match order:
            case GrantOrder():
                return self._complete_grant(order, result, now)
            case ReleaseOrder():
                self._complete_release(order, result, now)
        return None

    def _drop_ended_server(self, name: str) -> c.Command:
        """End the holds of a server instance that has ended, and drop it."""
        self._ended_instances[name] = None
        if len(self._ended_instances) > MAX_ENDED_INSTANCES:
            del self._ended_instances[next(iter(self._ended_instances))]
        for hold in self._holds.values():
            if hold.owner.name == name:
                hold.confirmed_until = hold.possible_until = NEVER
        for move in self._moves:
            if move.source == name and move.stage != MoveStage.COMMITTING:
                move.stage = MoveStage.FREE
        self._report("server-ended", server=name)
        return c.DropServer(name)

    def _complete_grant(
        self, order: GrantOrder, result: OrderResult, now: float
    ) -> c.Command | None:
        """Extend the holds that a grant covers, according to its result."""
        until = now + self._timing.hold_with_drift
        command: c.Command | None = None
        self._report_outdated(order, result)
        # The range may have been split or joined while the order was pending. What the
        # server was granted it holds, also under an earlier epoch.
        for hold in self._holds.values():
            same = (hold.service, hold.owner.name) == (
                order.service,
                order.server.name,
            )
            if not same or hold.high < order.low or order.high < hold.low:
                continue
            is_current = hold.epoch == order.epoch
            match result.outcome:
                case OrderOutcome.DONE:
                    hold.confirmed_until = max(hold.confirmed_until, until)
                    if is_current:
                        hold.handover = ""
                        self._end_earlier_epochs(hold, order)
                case OrderOutcome.NEWER_EPOCH if is_current:
                    part = c.RangePart(
                        hold.low, hold.high, hold.epoch, f"{hold.owner.name}@0"
                    )
                    hold.renew_at = now + self._timing.renew_interval
                    command = c.AssignRanges(hold.service, (part,))
                case OrderOutcome.UNKNOWN:
                    hold.possible_until = max(hold.possible_until, until)
                    hold.possible_epoch = max(hold.possible_epoch, order.epoch)
                    hold.renew_at = now + self._timing.retry_interval
                case OrderOutcome.NOT_SENT:
                    hold.renew_at = now + self._timing.retry_interval
        return command

    def _report_outdated(self, order: GrantOrder, result: OrderResult) -> None:
        """Report the result of a grant whose range has another epoch by now."""
        epochs = {
            hold.epoch
            for hold in self._holds.values()
            if hold.service == order.service
            and hold.low <= order.high
            and order.low <= hold.high
        }
        if not epochs - {order.epoch}:
            return
        self._report(
            "order-outdated",
            service=order.service,
            range_low=order.low,
            server=order.server.name,
            detail=f"to {order.high}, epoch {order.epoch}: {result.outcome};"
            f" epochs now: {sorted(epochs)}",
        )

    @staticmethod
    def _end_earlier_epochs(hold: HeldRange, order: GrantOrder) -> None:
        """Rule out grants of earlier epochs, which the owner rejects from now on."""
        is_whole = order.low <= hold.low and hold.high <= order.high
        if is_whole and order.epoch > hold.possible_epoch:
            hold.possible_until = NEVER

    def _complete_release(
        self, order: ReleaseOrder, result: OrderResult, now: float
    ) -> None:
        """Continue a move after its release, or wait until the hold expires."""
        for move in self._moves:
            # A former term of this node may have released the same part.
            if move.release is not order:
                continue
            if move.stage != MoveStage.RELEASING:
                return
            move.stage = MoveStage.WAITING
            if result.outcome == OrderOutcome.DONE:
                # A grant without an answer may still be carried out after the release.
                move.free_at = move.possible_until
                move.handover = result.handover
                if now >= move.free_at:
                    move.stage = MoveStage.FREE
            return


def _make_assignments(owners: list[tuple[RangeMove, str]]) -> list[c.Command]:
    """Return commands, one a service, that assign the parts of moves to owners.

    Each move records its command.
    """
    commands: list[c.Command] = []
    for service in dict.fromkeys(move.service for move, _ in owners):
        chosen = [item for item in owners if item[0].service == service]
        command = c.AssignRanges(
            service,
            tuple(
                c.RangePart(move.low, move.high, move.epoch, f"{owner}@0")
                for move, owner in chosen
            ),
        )
        for move, _ in chosen:
            move.command = command
        commands.append(command)
    return commands
