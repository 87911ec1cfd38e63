"""The leader's duties for servers that own ranges by single calls."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Final

from ..errors import Reason, Refusal, Step
from ..models import RangeRow, ServerRow
from ..systems.spreading import (
    KeyLoads,
    OwnedPart,
    Owner,
    compute_utilization,
    divide_by_capacity,
    plan_balance,
    reassign_part,
)
from ..transport.messages import RangeLoad, ServerSpeed
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
    ServerBeat,
    ServerLife,
)
from .reported_loads import ReportedLoads
from .state import ControlState

__all__ = ["DirectedLeader"]

_LOGGER = logging.getLogger(__name__)

MAX_ENDED_NAMES: Final = 10_000
JOIN_SECONDS: Final = 5.0
TELL_SECONDS: Final = 2.0
FAILED_ORDERS: Final = 2
# Parts on their way at once; each costs a release, a commit and a grant.
MAX_MOVES: Final = 64
# An order costs a leader about half a millisecond. A new leader owes one for each
# range; all at once they would keep it from its heartbeats, and end its lead.
ORDERS_PER_SECOND: Final = 500.0
ORDER_BURST: Final = 25.0

Report = Callable[..., None]


class DirectedLeader:
    """What a leader keeps of servers, holds and moves, from its election on.

    It was elected at ``now``. Whatever an earlier leader may have granted is
    taken as held until every such hold must be over.
    """

    def __init__(
        self, state: ControlState, timing: DirectedTiming, report: Report, now: float
    ) -> None:
        """Take every row as held since just now."""
        self._state = state
        self._timing = timing
        self._report = report
        self._lives: dict[str, ServerLife] = {
            name: ServerLife(now) for name in state.servers
        }
        self._ended: dict[str, None] = {}
        self._holds: dict[tuple[str, int], HeldRange] = {}
        self._moves: list[RangeMove] = []
        self._orders: list[Order] = []
        self._order_credit = ORDER_BURST
        self._ordered_at = now
        self._told_at: dict[str, float] = {}
        self._granting: list[GrantOrder] = []
        self._handovers: dict[tuple[str, int], str] = {}
        self._loads = ReportedLoads(now)
        self._balance_at = now + timing.settle_time
        self._join_at = now + JOIN_SECONDS
        self._joined_at = now
        self._seen_revision = -1
        self._sync_holds(
            now, inherited=now + timing.order_timeout + timing.hold_with_drift
        )

    # Announcements

    def hear(self, beat: ServerBeat, now: float) -> c.Command | Refusal | None:
        """Take an announcement.

        Return a command that must be committed before it is acknowledged, a
        refusal, or None when there is nothing to commit.
        """
        row = self._state.servers.get(beat.name)
        if row is None:
            return self._hear_new(beat, now)
        if not beat.ended and (row.service, row.address) != (
            beat.service,
            beat.address,
        ):
            detail = f"{beat.name} is {row.service} at {row.address}"
            return Refusal(Reason.NOT_ALLOWED, Step.ANNOUNCE, beat.name, detail)
        life = self._lives.setdefault(beat.name, ServerLife(now))
        life.heard_at = now
        if not beat.ended and beat.sequence < life.sequence:
            return None
        life.sequence = max(life.sequence, beat.sequence)
        if (beat.leaving or beat.ended) and not row.stopping:
            return c.StopServer(beat.name)
        return None

    def receive_heard_servers(
        self, heard: tuple[tuple[str, int], ...], now: float
    ) -> None:
        """Take servers that a follower has heard, with their last sequences."""
        for name, sequence in heard:
            life = self._lives.get(name)
            if life is not None and name in self._state.servers:
                life.heard_at = now
                life.sequence = max(life.sequence, sequence)

    def _hear_new(self, beat: ServerBeat, now: float) -> c.Command | Refusal | None:
        """Take the first announcement of a life."""
        if beat.ended:
            return None
        if beat.name in self._ended:
            detail = "this life of the server has ended"
            return Refusal(Reason.OLD_INCARNATION, Step.ANNOUNCE, beat.name, detail)
        for other in self._state.servers.values():
            if other.address != beat.address:
                continue
            life = self._lives.get(other.name)
            if life is not None and now - life.heard_at < self._timing.settle_time:
                detail = f"{other.name} at {other.address} was heard just now"
                return Refusal(Reason.OLD_INCARNATION, Step.ANNOUNCE, beat.name, detail)
            self._orders.append(ProbeOrder(other, self._health_path(other.service)))
        self._joined_at = now
        self._lives[beat.name] = ServerLife(now, beat.sequence)
        return c.RegisterServer(
            ServerRow(
                beat.name,
                beat.service,
                beat.address,
                beat.zone,
                0,
                beat.slots,
                0,
                True,
                beat.leaving,
            )
        )

    def _health_path(self, service: str) -> str:
        """Return the path at which servers of a service tell who they are."""
        for routed in self._state.route_store.document.services:
            if routed.name == service:
                return routed.health_path
        return "/"

    def note_ended(self, names: tuple[str, ...]) -> list[c.Command]:
        """Take word of entry hosts that another life answers at an address."""
        return [self._note_ended(name) for name in names if name in self._state.servers]

    def add_loads(self, loads: tuple[RangeLoad, ...]) -> None:
        """Add an entry host's report of single keys."""
        self._loads.add_keys(loads)

    def add_speeds(self, speeds: tuple[ServerSpeed, ...]) -> None:
        """Add an entry host's report of how fast servers are."""
        self._loads.add_speeds(speeds)

    # Time

    def tick(self, now: float) -> tuple[list[c.Command], list[Order]]:
        """Run every system; return what to commit and what to send."""
        commands: list[c.Command] = []
        if self._state.revision != self._seen_revision:
            self._seen_revision = self._state.revision
            self._sync_holds(now, inherited=NEVER)
        self._loads.fold(now)
        commands += self._forget(now)
        self._start_services(now)
        self._relieve_leaving(now)
        self._balance(now)
        commands += self._advance(now)
        commands += self._join(now)
        self._renew(now)
        return commands, self._take_orders(now)

    def _take_orders(self, now: float) -> list[Order]:
        """Return the oldest orders, as many as may be sent now."""
        gained = (now - self._ordered_at) * ORDERS_PER_SECOND
        self._ordered_at = now
        self._order_credit = min(ORDER_BURST, self._order_credit + gained)
        count = min(int(self._order_credit), len(self._orders))
        self._order_credit -= count
        orders, self._orders = self._orders[:count], self._orders[count:]
        return orders

    def settle(self, command: c.Command) -> None:
        """Note that a proposed command is over, whether or not it was applied."""
        match command:
            case c.AssignRanges(service, parts):
                done = {(service, part.low) for part in parts}
                kept = []
                for move in self._moves:
                    key = (move.service, move.low)
                    if key in done and move.stage == MoveStage.COMMITTING:
                        self._handovers[key] = move.handover
                    else:
                        kept.append(move)
                self._moves = kept

    # Systems

    def _sync_holds(self, now: float, inherited: float) -> None:
        """Bring the holds in line with the committed rows."""
        old, self._holds = self._holds, {}
        by_service: dict[str, list[HeldRange]] = {}
        for hold in old.values():
            by_service.setdefault(hold.service, []).append(hold)
        for row in self._state.ranges:
            if row.owner:
                former = by_service.get(row.service, [])
                hold = self._follow(row, former, now, inherited)
                self._holds[row.service, row.low] = hold

    def _follow(
        self, row: RangeRow, former: list[HeldRange], now: float, inherited: float
    ) -> HeldRange:
        """Return the hold of a row, with what its owner held of it before.

        The row may be a part of a former hold, or several that were joined.
        """
        name = row.owner.rpartition("@")[0]
        parts = [
            hold
            for hold in former
            if hold.owner.name == name and hold.low <= row.high and row.low <= hold.high
        ]
        gone = ServerRow(name, row.service, "", "", 0, 0, 0, True)
        owner = self._state.servers.get(name) or (parts[0].owner if parts else gone)
        hold = HeldRange(row.service, row.low, row.high, owner, row.epoch)
        hold.confirmed_until = inherited
        hold.renew_at = now
        hold.handover = self._handovers.pop((row.service, row.low), "")
        for part in parts:
            hold.confirmed_until = max(hold.confirmed_until, part.confirmed_until)
            hold.possible_until = max(hold.possible_until, part.possible_until)
        if len(parts) == 1 and parts[0].epoch == row.epoch:
            hold.renew_at = parts[0].renew_at
            hold.handover = hold.handover or parts[0].handover
            if (parts[0].low, parts[0].high) != (row.low, row.high):
                hold.renew_at = min(hold.renew_at, now + self._timing.retry_interval)
        return hold

    def _forget(self, now: float) -> list[c.Command]:
        """Drop servers that have left or been silent for long."""
        commands: list[c.Command] = []
        for name, row in self._state.servers.items():
            life = self._lives.setdefault(name, ServerLife(now))
            silent = now - life.heard_at
            limit = self._timing.removal_timeout
            if row.stopping:
                limit = self._timing.silence_timeout * 2
            if silent > limit:
                commands.append(c.DropServer(name))
        return commands

    def _owners(self, service: str, now: float) -> list[Owner]:
        """Return the servers that may get ranges of a service."""
        found = []
        for name, row in self._state.servers.items():
            life = self._lives.get(name)
            if row.service != service or row.stopping or life is None:
                continue
            silent = now - life.heard_at > self._timing.silence_timeout
            if silent or self._is_failing(life, now):
                continue
            found.append(Owner(name, float(max(row.slots, 1))))
        return self._loads.weigh(sorted(found))

    def _is_failing(self, life: ServerLife, now: float) -> bool:
        """Return whether a server's last orders have failed, and not long ago."""
        recent = now - life.failed_at < self._timing.silence_timeout
        return recent and life.failures > FAILED_ORDERS

    def _keyed(self) -> list[str]:
        """Return the services that are divided by key."""
        document = self._state.route_store.document
        return [service.name for service in document.services if service.keyed]

    def _start_services(self, now: float) -> None:
        """Divide the keys of a service that has no ranges yet."""
        if now - self._joined_at < self._timing.settle_time:
            return
        for service in self._keyed():
            if service in self._state.ranges.services or self._is_moving(service):
                continue
            owners = self._owners(service, now)
            if not owners:
                continue
            for piece in divide_by_capacity(owners, self._timing.key_step):
                self._begin(
                    service, piece.low, piece.high, 0, "", piece.target, "first", now
                )

    def _is_moving(self, service: str) -> bool:
        """Return whether a part of a service is on its way."""
        return any(move.service == service for move in self._moves)

    def _is_part_moving(self, hold: HeldRange) -> bool:
        """Return whether a part of a hold is on its way."""
        return self._is_span_moving(hold.service, hold.low, hold.high)

    def _is_span_moving(self, service: str, low: int, high: int) -> bool:
        """Return whether a part of a span of keys is on its way."""
        return any(
            move.service == service and move.low <= high and low <= move.high
            for move in self._moves
        )

    def _relieve_leaving(self, now: float) -> None:
        """Move the ranges of servers that leave, have ended, or are silent."""
        for service in self._keyed():
            owners: list[Owner] | None = None
            parts: list[OwnedPart] = []
            for hold in list(self._holds.values()):
                if hold.service != service:
                    continue
                cause = self._find_cause(hold, now)
                if not cause or self._is_part_moving(hold):
                    continue
                if owners is None:
                    owners = self._owners(service, now)
                    parts = self._parts(service)
                part = OwnedPart(hold.low, hold.high, hold.owner.name)
                others = [owner for owner in owners if owner.name != hold.owner.name]
                loads = self._loads.of_service(service)
                pieces = reassign_part(
                    part, parts, others, loads, self._timing.key_step
                )
                for piece in pieces:
                    self._begin(
                        service,
                        piece.low,
                        piece.high,
                        hold.epoch,
                        hold.owner.name,
                        piece.target,
                        cause,
                        now,
                    )
                    parts.append(OwnedPart(piece.low, piece.high, piece.target))

    def _find_cause(self, hold: HeldRange, now: float) -> str:
        """Return why a hold's owner cannot keep it; empty when it can."""
        name = hold.owner.name
        row = self._state.servers.get(name)
        if row is None:
            return "ended"
        if row.stopping:
            return "leaving"
        if now >= hold.until and not self._is_granting(hold):
            life = self._lives.get(name)
            if life is not None and self._is_failing(life, now):
                return "unreachable"
        return ""

    def _parts(self, service: str) -> list[OwnedPart]:
        """Return who owns what, with moves taken as done."""
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
        """Move hot parts from busy servers to idle ones."""
        if now < self._balance_at:
            return
        self._balance_at = now + self._timing.balance_interval
        for service in self._keyed():
            if len(self._moves) > MAX_MOVES:
                continue
            loads = self._loads.of_service(service)
            parts = self._parts(service)
            owners = self._owners(service, now)
            self._tell_use(service, parts, owners, loads, now)
            pieces = plan_balance(parts, owners, loads, self._timing.key_step)
            for piece in pieces:
                self._begin_hot(service, piece.low, piece.high, piece.target, now)

    def _tell_use(
        self,
        service: str,
        parts: list[OwnedPart],
        owners: list[Owner],
        loads: KeyLoads,
        now: float,
    ) -> None:
        """Report now and then how evenly a service's servers are used."""
        if now - self._told_at.get(service, NEVER) < TELL_SECONDS or not owners:
            return
        self._told_at[service] = now
        use = compute_utilization(parts, owners, loads)
        shown = " ".join(
            f"{owner.name}={use[owner.name]:.2f}/{owner.capacity:.0f}"
            for owner in owners
        )
        self._report(
            "server-use", service=service, detail=f"{len(parts)} ranges: {shown}"
        )

    def _begin_hot(
        self, service: str, low: int, high: int, target: str, now: float
    ) -> None:
        """Begin the move of a hot part out of the hold in which it lies."""
        for hold in self._holds.values():
            inside = hold.low <= low and high <= hold.high
            if hold.service != service or not inside:
                continue
            if self._is_span_moving(service, low, high):
                return
            self._begin(
                service, low, high, hold.epoch, hold.owner.name, target, "hot", now
            )
            return

    def _begin(
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
        """Begin a move: have the owner release, or wait until its hold is over."""
        move = RangeMove(
            service, low, high, epoch, source, target, MoveStage.FREE, cause
        )
        move.started_at = now
        hold = self._cover(service, low)
        # A first grant that is under way may give the part to its owner yet.
        held = hold is not None and (now < hold.until or self._is_granting(hold))
        if source and held:
            move.stage = MoveStage.PENDING
        self._moves.append(move)
        self._report(
            "move-begun", service=service, server=source, detail=f"{cause}: {target}"
        )

    def _cover(self, service: str, low: int) -> HeldRange | None:
        """Return the hold in which a key lies."""
        for hold in self._holds.values():
            if hold.service == service and hold.low <= low <= hold.high:
                return hold
        return None

    def _advance(self, now: float) -> list[c.Command]:
        """Commit the moves whose former owners hold their part no more."""
        ready: dict[str, list[RangeMove]] = {}
        for move in self._moves:
            if move.stage == MoveStage.PENDING:
                self._release(move)
            if move.stage == MoveStage.WAITING and now >= move.free_at:
                move.stage = MoveStage.FREE
            if move.stage == MoveStage.FREE:
                self._retarget(move, now)
                if move.target:
                    ready.setdefault(move.service, []).append(move)
        commands: list[c.Command] = []
        for service, moves in ready.items():
            for move in moves:
                move.stage = MoveStage.COMMITTING
            parts = tuple(
                c.RangePart(move.low, move.high, move.epoch, f"{move.target}@0")
                for move in moves
            )
            commands.append(c.AssignRanges(service, parts))
        return commands

    def _release(self, move: RangeMove) -> None:
        """Have the owner release a part once no grant of it is under way.

        A grant that arrives after the release would give the part back.
        """
        hold = self._cover(move.service, move.low)
        if hold is None or hold.owner.name != move.source:
            move.stage = MoveStage.FREE
            return
        if self._is_granting(move):
            return
        # Only the rest of the hold is renewed from now on.
        move.free_at = hold.until
        move.possible_until = hold.possible_until
        row = self._state.servers.get(move.source, hold.owner)
        if not row.address:
            move.stage = MoveStage.WAITING
            return
        move.stage = MoveStage.RELEASING
        self._orders.append(
            ReleaseOrder(row, move.service, move.low, move.high, move.epoch)
        )

    def _retarget(self, move: RangeMove, now: float) -> None:
        """Give a move another target when its own can take nothing any more."""
        owners = self._owners(move.service, now)
        names = [owner.name for owner in owners]
        if move.target in names:
            return
        part = OwnedPart(move.low, move.high, move.source)
        others = [owner for owner in owners if owner.name != move.source] or owners
        loads = KeyLoads({})
        pieces = reassign_part(
            part, self._parts(move.service), others[:1], loads, self._timing.key_step
        )
        move.target = pieces[0].target if pieces else ""

    def _join(self, now: float) -> list[c.Command]:
        """Join neighbouring ranges of one owner, so that fewer are renewed."""
        if now < self._join_at:
            return []
        self._join_at = now + JOIN_SECONDS
        commands: list[c.Command] = []
        for service in self._keyed():
            rows = list(self._state.ranges.of_service(service))
            start = 0
            for end in range(1, len(rows) + 1):
                if end < len(rows) and rows[end].owner == rows[start].owner:
                    continue
                span = service, rows[start].low, rows[end - 1].high
                still = not self._is_span_moving(*span)
                if end - start > 1 and rows[start].owner and still:
                    commands.append(
                        c.JoinRanges(service, rows[start].low, rows[end - 1].high)
                    )
                start = end
        return commands

    def _renew(self, now: float) -> None:
        """Order the grants that are due, except on parts that are moving."""
        timing = self._timing
        failing: set[str] = set()
        for hold in self._holds.values():
            if now < hold.renew_at or self._is_granting(hold):
                continue
            row = self._state.servers.get(hold.owner.name)
            address = row.address if row is not None else hold.owner.address
            if not address or (row is not None and row.stopping):
                continue
            if self._is_failing(
                self._lives.setdefault(hold.owner.name, ServerLife(now)), now
            ):
                # Each order without an answer might be carried out, and would
                # keep the range from others for another hold.
                failing.add(hold.owner.name)
                continue
            if self._is_part_moving(hold):
                self._renew_rest(hold, now)
                continue
            hold.renew_at = now + timing.renew_interval
            self._orders.append(self._grant(hold, hold.low, hold.high))

        for name in failing:
            self._probe(name, now)

    def _probe(self, name: str, now: float) -> None:
        """Ask a server whose orders fail whether it can be reached again."""
        row = self._state.servers.get(name)
        life = self._lives[name]
        if row is None or now - life.probed_at < self._timing.order_timeout:
            return
        life.probed_at = now
        self._orders.append(ProbeOrder(row, self._health_path(row.service)))

    def _renew_rest(self, hold: HeldRange, now: float) -> None:
        """Renew the parts of a hold that are not moving."""
        low = hold.low
        taken = sorted(
            (move.low, move.high)
            for move in self._moves
            if move.service == hold.service
            and move.low <= hold.high
            and hold.low <= move.high
        )
        hold.renew_at = now + self._timing.renew_interval
        for first, last in taken:
            if low < first:
                self._orders.append(self._grant(hold, low, first - 1))
            low = last + 1
        if low <= hold.high:
            self._orders.append(self._grant(hold, low, hold.high))

    def _grant(self, hold: HeldRange, low: int, high: int) -> GrantOrder:
        """Return the order that grants a part of a hold, and note it."""
        owner = self._state.servers.get(hold.owner.name, hold.owner)
        hold_ms = int(self._timing.hold * 1000)
        order = GrantOrder(
            owner, hold.service, low, high, hold.epoch, hold_ms, hold.handover
        )
        self._granting.append(order)
        return order

    def _is_granting(self, part: HeldRange | RangeMove) -> bool:
        """Return whether a grant that overlaps a part is under way."""
        return any(
            order.service == part.service
            and order.low <= part.high
            and part.low <= order.high
            for order in self._granting
        )

    # Results

    def complete(self, result: OrderResult, now: float) -> c.Command | None:
        """Take the end of an order; return a command that follows from it."""
        order = result.order
        self._granting = [item for item in self._granting if item is not order]
        life = self._lives.setdefault(order.server.name, ServerLife(NEVER))
        if result.outcome in (OrderOutcome.DONE, OrderOutcome.NEWER_EPOCH):
            life.failures = 0
        elif result.outcome != OrderOutcome.OTHER_INSTANCE:
            life.failures += 1
            life.failed_at = now
        if result.outcome == OrderOutcome.OTHER_INSTANCE:
            return self._note_ended(order.server.name)
        match order:
            case GrantOrder():
                return self._complete_grant(order, result, now)
            case ReleaseOrder():
                self._complete_release(order, result, now)
        return None

    def _note_ended(self, name: str) -> c.Command:
        """Free what a server held that has been found to have ended."""
        self._ended[name] = None
        if len(self._ended) > MAX_ENDED_NAMES:
            del self._ended[next(iter(self._ended))]
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
        """Note until when a server may hold a range."""
        until = now + self._timing.hold_with_drift
        command: c.Command | None = None
        # The range may have been cut while the order was under way.
        for hold in self._holds.values():
            same = (hold.service, hold.owner.name, hold.epoch) == (
                order.service,
                order.server.name,
                order.epoch,
            )
            if not same or hold.high < order.low or order.high < hold.low:
                continue
            match result.outcome:
                case OrderOutcome.DONE:
                    hold.confirmed_until = max(hold.confirmed_until, until)
                    hold.handover = ""
                case OrderOutcome.NEWER_EPOCH:
                    part = c.RangePart(
                        hold.low, hold.high, hold.epoch, f"{hold.owner.name}@0"
                    )
                    hold.renew_at = now + self._timing.renew_interval
                    command = c.AssignRanges(hold.service, (part,))
                case OrderOutcome.UNKNOWN:
                    hold.possible_until = max(hold.possible_until, until)
                    hold.renew_at = now + self._timing.retry_interval
                case OrderOutcome.NOT_SENT:
                    hold.renew_at = now + self._timing.retry_interval
        return command

    def _complete_release(
        self, order: ReleaseOrder, result: OrderResult, now: float
    ) -> None:
        """Go on with the move of a part that was released, or wait it out."""
        for move in self._moves:
            if (move.service, move.low, move.high) != (
                order.service,
                order.low,
                order.high,
            ):
                continue
            if move.stage != MoveStage.RELEASING:
                return
            move.stage = MoveStage.WAITING
            if result.outcome == OrderOutcome.DONE:
                # A grant without an answer may be carried out after the release.
                move.free_at = move.possible_until
                move.handover = result.handover
                if now >= move.free_at:
                    move.stage = MoveStage.FREE
            return
