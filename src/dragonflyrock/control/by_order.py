"""Granting by order: the leader orders each grant and release, one range a call."""

from __future__ import annotations

from typing import Final

from ..models import ServerRow
from ..tables import SpanIndex
from . import commands as c
from .directed_models import (
    NEVER,
    GrantOrder,
    HeldRange,
    MoveStage,
    OrderOutcome,
    OrderResult,
    ProbeOrder,
    RangeMove,
    ReleaseOrder,
)
from .directed_tables import DirectedTables

__all__ = ["GrantingByOrder"]

# No more renewals are queued behind this many orders.
MAX_QUEUED_RENEWALS: Final = 25


class GrantingByOrder:
    """The orders that tell servers what they own, and what their results show."""

    def __init__(self, tables: DirectedTables) -> None:
        """Start without pending grants."""
        self._tables = tables
        self._pending_grants: SpanIndex[GrantOrder] = SpanIndex()

    def complete(self, result: OrderResult, now: float) -> c.Command | None:
        """Handle the result of an order; return a command to commit, if any."""
        order = result.order
        match order:
            case GrantOrder():
                self._pending_grants.remove(order.service, order.low, order)
                return self._complete_grant(order, result, now)
            case ReleaseOrder():
                self._complete_release(order, result, now)
        return None

    def waits_for_heartbeat(self, move: RangeMove) -> bool:
        """Return False: a new owner is told by an order at any time."""
        return False

    def forget(self, name: str) -> None:
        """Forget a server whose instance has ended; its orders fail by themselves."""

    def distrust(self, name: str) -> None:
        """Do nothing: orders do not rely on the numbers of heartbeats."""

    def is_distrusted(self, name: str) -> bool:
        """Return False: a release is answered at any time."""
        return False

    @property
    def max_rows(self) -> int:
        """Return 0: the number of a server's ranges is not limited."""
        return 0

    def is_lost(self, hold: HeldRange, now: float) -> bool:
        """Return whether the owner of an expired hold cannot be reached by orders."""
        liveness = self._tables.liveness.get(hold.owner.name)
        return liveness is not None and self._tables.is_failing(liveness, now)

    def needs_fence(self, move: RangeMove, now: float) -> bool:
        """Return whether a newer epoch would free a part sooner than waiting would.

        A grant without an answer may be carried out after the release. A server that
        has confirmed a newer epoch rejects it, so the part need not be waited for.
        """
        hold = self._tables.find_hold(move.service, move.low)
        if move.was_fenced or hold is None or hold.owner.name != move.source:
            return False
        liveness = self._tables.liveness.get(move.source)
        if liveness is None or move.source not in self._tables.state.servers:
            return False
        if liveness.failures or self.is_pending(move):
            return False
        return hold.possible_until - now > self._tables.timing.order_timeout

    def continue_fenced(self, move: RangeMove) -> None:
        """Grant a part again, under its newer epoch, before it is released."""
        move.stage = MoveStage.PENDING
        move.was_fenced = True
        hold = self._tables.holds.get((move.service, move.low))
        if hold is None or (hold.high, hold.owner.name) != (move.high, move.source):
            return
        move.epoch = hold.epoch
        self._tables.orders.append(self._make_grant(hold, hold.low, hold.high))

    def release(self, move: RangeMove, now: float) -> None:
        """Order the release of a part once no grant of it is pending.

        A grant that arrives after the release would give the part back.
        """
        hold = self._tables.find_hold(move.service, move.low)
        if hold is None or hold.owner.name != move.source:
            move.stage = MoveStage.FREE
            return
        if self.is_pending(move):
            return
        # From now on only the other parts of the hold are renewed.
        move.free_at = hold.held_until
        move.possible_until = hold.possible_until
        self._tables.report(
            "hold-released",
            service=move.service,
            range_low=move.low,
            server=move.source,
            detail=f"to {move.high}, epoch {move.epoch}; confirmed for"
            f" {max(hold.confirmed_until - now, 0.0):.2f} s, possible for"
            f" {max(hold.possible_until - now, 0.0):.2f} s",
        )
        row = self._tables.state.servers.get(move.source, hold.owner)
        if not row.address:
            move.stage = MoveStage.WAITING
            return
        move.stage = MoveStage.RELEASING
        move.release = ReleaseOrder(row, move.service, move.low, move.high, move.epoch)
        self._tables.orders.append(move.release)

    def renew(self, now: float) -> None:
        """Queue the grants that are due, except for parts that are being moved.

        Those that end first are queued first, after parts that are not granted yet.
        Only as many are queued as are sent soon, so that a release need not wait for
        the renewals of all ranges.
        """
        timing = self._tables.timing
        failing: set[str] = set()
        due = [hold for hold in self._tables.holds.values() if now >= hold.renew_at]
        due.sort(key=_get_confirmed_until)
        for hold in due:
            if len(self._tables.orders) >= MAX_QUEUED_RENEWALS:
                break
            if hold.needs_epoch or self.is_pending(hold):
                continue
            row = self._tables.state.servers.get(hold.owner.name)
            address = row.address if row is not None else hold.owner.address
            if not address or (row is not None and row.stopping):
                continue
            if self._tables.is_failing(
                self._tables.get_liveness(hold.owner.name, now), now
            ):
                # An order without an answer may still be carried out, so each one
                # delays a new owner of the range by another hold.
                failing.add(hold.owner.name)
                continue
            if row is not None and self._lacks_connection(hold, row):
                hold.needs_epoch = True
                continue
            if self._tables.is_part_moving(hold):
                self._renew_unmoved_parts(hold, now)
                continue
            hold.renew_at = now + timing.renew_interval
            self._tables.orders.append(self._make_grant(hold, hold.low, hold.high))

        for name in failing:
            self._probe(name, now)

    @staticmethod
    def _lacks_connection(hold: HeldRange, row: ServerRow) -> bool:
        """Return whether an epoch may be another life's, as its connection is gone.

        A server may start again between two heartbeats. Only a connection that has
        carried the epoch leads to the life that has it.
        """
        return (
            bool(row.incarnation)
            and hold.granted_epoch >= hold.epoch > 0
            and (not hold.granted_on)
        )

    def _probe(self, name: str, now: float) -> None:
        """Probe a server whose orders fail, to find out if it can be reached again."""
        row = self._tables.state.servers.get(name)
        liveness = self._tables.liveness[name]
        if row is None or now - liveness.probed_at < self._tables.timing.order_timeout:
            return
        liveness.probed_at = now
        self._tables.orders.append(
            ProbeOrder(row, self._tables.find_health_path(row.service))
        )

    def _renew_unmoved_parts(self, hold: HeldRange, now: float) -> None:
        """Renew the parts of a hold that are not being moved."""
        hold.renew_at = now + self._tables.timing.renew_interval
        for low, high in self._tables.list_unmoved_parts(hold):
            self._tables.orders.append(self._make_grant(hold, low, high))

    def _make_grant(self, hold: HeldRange, low: int, high: int) -> GrantOrder:
        """Return the order that grants a part of a hold, and record it as pending."""
        owner = self._tables.state.servers.get(hold.owner.name, hold.owner)
        hold_ms = int(self._tables.timing.hold * 1000)
        is_granted = bool(owner.incarnation) and hold.granted_epoch >= hold.epoch
        order = GrantOrder(
            owner,
            hold.service,
            low,
            high,
            hold.epoch,
            hold_ms,
            hold.handover,
            hold.granted_on if is_granted else 0,
        )
        self._pending_grants.add(order.service, order.low, order.high, order)
        return order

    def is_pending(self, part: HeldRange | RangeMove) -> bool:
        """Return whether a grant that overlaps a part is pending."""
        return self._pending_grants.overlaps(part.service, part.low, part.high)

    def _complete_grant(
        self, order: GrantOrder, result: OrderResult, now: float
    ) -> c.Command | None:
        """Extend the holds that a grant covers, according to its result."""
        until = now + self._tables.timing.hold_with_drift
        command: c.Command | None = None
        self._report_outdated(order, result)
        # The range may have been split or joined while the order was pending. What the
        # server was granted it holds, also under an earlier epoch.
        for hold in self._find_holds(order):
            if hold.owner.name != order.server.name:
                continue
            is_current = hold.epoch == order.epoch
            match result.outcome:
                case OrderOutcome.DONE:
                    hold.confirmed_until = max(hold.confirmed_until, until)
                    self._record_granted(hold, order, result.connection)
                    if is_current:
                        hold.handover = ""
                        self._end_earlier_epochs(hold, order)
                case OrderOutcome.NEWER_EPOCH if is_current:
                    part = c.RangePart(
                        hold.low, hold.high, hold.epoch, hold.owner.holder
                    )
                    hold.renew_at = now + self._tables.timing.renew_interval
                    command = c.AssignRanges(hold.service, (part,))
                case OrderOutcome.NO_CONNECTION if is_current:
                    hold.needs_epoch = True
                case OrderOutcome.UNKNOWN:
                    self._record_granted(hold, order, 0)
                    hold.possible_until = max(hold.possible_until, until)
                    hold.possible_epoch = max(hold.possible_epoch, order.epoch)
                    hold.renew_at = now + self._tables.timing.retry_interval
                case OrderOutcome.NOT_SENT:
                    hold.renew_at = now + self._tables.timing.retry_interval
        return command

    @staticmethod
    def _record_granted(hold: HeldRange, order: GrantOrder, connection: int) -> None:
        """Record that the owner may have an epoch, and by which connection.

        Parts of one hold that were granted on two connections may be two lives'.
        """
        if order.epoch < hold.granted_epoch:
            return
        is_other = hold.granted_epoch == order.epoch and hold.granted_on != connection
        hold.granted_on = 0 if is_other else connection
        hold.granted_epoch = order.epoch

    def _find_holds(self, order: GrantOrder) -> list[HeldRange]:
        """Return the holds that a grant covers in part or whole."""
        spans = self._tables.held_spans
        return spans.find_overlapping(order.service, order.low, order.high)

    def _report_outdated(self, order: GrantOrder, result: OrderResult) -> None:
        """Report the result of a grant whose range has another epoch by now."""
        epochs = {hold.epoch for hold in self._find_holds(order)}
        if not epochs - {order.epoch}:
            return
        self._tables.report(
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
        for move in self._tables.moves:
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


def _get_confirmed_until(hold: HeldRange) -> float:
    """Return until when the owner of a hold is known to have it."""
    return hold.confirmed_until
