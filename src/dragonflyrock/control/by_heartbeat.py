"""Granting by heartbeat: the answer to a heartbeat names all that a server holds.

A hold counts from when the server sent the heartbeat that was answered, so it ends at
the latest one hold, with the drift of clocks, after the heartbeat was received here.
That bounds answers that are lost, late or overtaken too. A server sends a heartbeat
only after the call of the one before has ended, so the next one shows what it holds.
"""

from __future__ import annotations

from typing import Final

from . import commands as c
from .directed_models import (
    FreedPart,
    HeldPart,
    HeldRange,
    HeldRow,
    MoveStage,
    OrderResult,
    RangeMove,
    ServerHeartbeat,
)
from .directed_tables import DirectedTables, exclude_moves

__all__ = ["MAX_HELD_ROWS", "GrantingByHeartbeat"]

# Rows of one answer; with the longest handover tokens they fit into its 4 KiB.
MAX_HELD_ROWS: Final = 72
MAX_HANDOVER_TOKENS: Final = 40
# A server without a row for this many heartbeats in a row may have refused its epoch.
MAX_MISSED_HEARTBEATS: Final = 3

# Parts in these stages are left out of the answers to their source.
_LEFT_OUT: Final = frozenset(
    (MoveStage.RELEASING, MoveStage.WAITING, MoveStage.FREE, MoveStage.COMMITTING)
)


class GrantingByHeartbeat:
    """What the answers to heartbeats name, and what later heartbeats show.

    ``max_rows`` is the number of rows that a server may have for a move to add some.
    """

    def __init__(self, tables: DirectedTables) -> None:
        """Start without answered heartbeats; earlier leaders may have answered some."""
        self._tables = tables
        self._first_revision = tables.state.revision
        self._inherited = frozenset(tables.state.servers)
        self._proven: set[str] = set()
        self._renumbered: set[str] = set()
        self._answered: dict[str, int] = {}
        self._missed: dict[tuple[str, int], int] = {}

    @property
    def max_rows(self) -> int:
        """Return the bound, which leaves room for parts of servers that are lost."""
        return MAX_HELD_ROWS // 2

    def is_pending(self, part: HeldRange | RangeMove) -> bool:
        """Return False: an answer counts as received when it is given."""
        return False

    def is_lost(self, hold: HeldRange, now: float) -> bool:
        """Return whether the owner of an expired hold is silent."""
        liveness = self._tables.liveness.get(hold.owner.name)
        if liveness is None:
            return True
        return now - liveness.announced_at > self._tables.timing.silence_timeout

    def complete(self, result: OrderResult, now: float) -> c.Command | None:
        """Handle the result of a probe, the only order of servers told this way."""
        return None

    def waits_for_heartbeat(self, move: RangeMove) -> bool:
        """Return whether a free part gets its new owner only at a heartbeat of it.

        Until then the former owner is the one whose rows the hosts have.
        """
        return bool(move.source)

    def is_proven(self, name: str) -> bool:
        """Return whether a server's next heartbeats are known to be recent ones.

        To a new leader, a heartbeat that was delayed on its way may look like the
        latest one of its server. It is not if the server shows an epoch that was
        committed since the election.
        """
        if name in self._renumbered:
            return False
        return name in self._proven or name not in self._inherited

    def needs_fence(self, move: RangeMove, now: float) -> bool:
        """Return whether a newer epoch would prove the source's heartbeats."""
        hold = self._tables.find_hold(move.service, move.low)
        if move.was_fenced or hold is None or hold.owner.name != move.source:
            return False
        if move.source not in self._tables.state.servers or self.is_lost(hold, now):
            return False
        if move.source in self._renumbered:
            return False
        return not self.is_proven(move.source) and now < hold.held_until

    def continue_fenced(self, move: RangeMove) -> None:
        """Let a fenced part be released once its server has shown the newer epoch."""
        hold = self._tables.find_hold(move.service, move.low)
        if hold is None or hold.owner.name != move.source or self._may_release(hold):
            move.stage = MoveStage.PENDING
            move.was_fenced = True
            move.epoch = hold.epoch if hold is not None else move.epoch

    def _may_release(self, hold: HeldRange) -> bool:
        """Return whether waiting for a proof would serve nothing any more."""
        name = hold.owner.name
        return self.is_proven(name) or name not in self._tables.state.servers

    def release(self, move: RangeMove, now: float) -> None:
        """Leave a part out of the answers to its source from now on."""
        hold = self._tables.find_hold(move.service, move.low)
        if hold is None or hold.owner.name != move.source:
            move.stage = MoveStage.FREE
            return
        move.stage = MoveStage.RELEASING
        move.free_at = hold.held_until
        move.left_out_after = self._answered.get(move.source, -1)
        self._tables.report(
            "hold-left-out",
            service=move.service,
            range_low=move.low,
            server=move.source,
            detail=f"to {move.high}, epoch {move.epoch}; possible for"
            f" {max(move.free_at - now, 0.0):.2f} s",
        )

    def renew(self, now: float) -> None:
        """Free the left out parts whose holds have expired."""
        for move in self._tables.moves:
            fenced_too_long = move.stage == MoveStage.FENCED and self._is_expired(
                move, now
            )
            if move.stage == MoveStage.RELEASING and now >= move.free_at:
                self._free(move, "expired", now)
            elif fenced_too_long:
                move.stage = MoveStage.PENDING
                move.was_fenced = True

    def _is_expired(self, move: RangeMove, now: float) -> bool:
        """Return whether the hold that contains a part has expired."""
        hold = self._tables.find_hold(move.service, move.low)
        return hold is None or now >= hold.held_until

    def _free(self, move: RangeMove, cause: str, now: float) -> None:
        """Record that nobody holds a part any more."""
        move.stage = MoveStage.FREE
        move.free_at = now
        self._tables.report(
            "hold-freed",
            service=move.service,
            range_low=move.low,
            server=move.source,
            detail=f"to {move.high}: {cause}",
        )

    def receive(self, heartbeat: ServerHeartbeat, now: float) -> list[c.Command]:
        """Take in what a server holds and has freed; return commands to commit.

        The heartbeat must be the latest one of its server.
        """
        name = heartbeat.name
        if any(part.epoch > self._first_revision for part in heartbeat.held):
            self._proven.add(name)
        self._free_left_out(heartbeat, now)
        return self._check_rows(heartbeat, now)

    def _free_left_out(self, heartbeat: ServerHeartbeat, now: float) -> None:
        """Free the left out parts that the server does not hold any more.

        It says that it has freed the part, or still lists another row that it was told.
        A heartbeat that lists nothing may be one of a former life, or late.
        """
        lists_told_row = self._lists_told_row(heartbeat)
        for move in self._tables.moves:
            if move.source != heartbeat.name or move.stage != MoveStage.RELEASING:
                continue
            if heartbeat.sequence <= move.left_out_after:
                continue
            token = _find_token(move, heartbeat.freed)
            move.handover = token or move.handover
            held = any(
                part.low <= move.high and move.low <= part.high
                for part in heartbeat.held
            )
            shown = bool(move.handover) or lists_told_row
            if not held and shown and self.is_proven(move.source):
                self._free(move, "freed" if move.handover else "not held", now)

    def _lists_told_row(self, heartbeat: ServerHeartbeat) -> bool:
        """Return whether a server lists a row that it was told and that stays."""
        return any(
            hold.told_epoch == hold.epoch
            and not self._tables.is_part_moving(hold)
            and _is_covered(hold, heartbeat.held)
            for hold in self._tables.holds_by_owner.get(heartbeat.name, ())
        )

    def _check_rows(self, heartbeat: ServerHeartbeat, now: float) -> list[c.Command]:
        """Compare the holds that a server was told with those that it reports.

        A server that does not take a row may have seen a higher epoch on one of its
        keys, so the row gets a newer epoch.
        """
        commands: list[c.Command] = []
        if heartbeat.sequence <= self._answered.get(heartbeat.name, heartbeat.sequence):
            return commands
        epochs = {(part.low, part.high): part.epoch for part in heartbeat.held}
        for hold in self._tables.holds_by_owner.get(heartbeat.name, ()):
            key = hold.service, hold.low
            if self._tables.is_part_moving(hold):
                self._missed.pop(key, None)
                continue
            if hold.told_epoch != hold.epoch:
                continue
            if epochs.get((hold.low, hold.high)) == hold.epoch or _is_covered(
                hold, heartbeat.held
            ):
                hold.handover = ""
                self._missed.pop(key, None)
                continue
            self._missed[key] = self._missed.get(key, 0) + 1
            if self._missed[key] < MAX_MISSED_HEARTBEATS:
                continue
            del self._missed[key]
            self._tables.report(
                "row-not-taken",
                service=hold.service,
                range_low=hold.low,
                server=heartbeat.name,
                detail=f"epoch {hold.epoch}; a newer one is committed",
            )
            part = c.RangePart(
                hold.low,
                hold.high,
                hold.epoch,
                self._tables.find_holder(heartbeat.name),
            )
            commands.append(c.AssignRanges(hold.service, (part,)))
        return commands

    def make_rows(
        self, heartbeat: ServerHeartbeat, received_at: float
    ) -> tuple[HeldRow, ...] | None:
        """Return all that a server is to hold, or None to renew nothing.

        The heartbeat must be the latest one of its server.
        """
        name = heartbeat.name
        if name not in self._tables.state.servers:
            return None
        self._answered[name] = heartbeat.sequence
        until = received_at + self._tables.timing.hold_with_drift
        rows: list[HeldRow] = []
        token_count = 0
        for hold in self._tables.holds_by_owner.get(name, ()):
            for low, high in self._list_told_parts(hold):
                if len(rows) >= MAX_HELD_ROWS:
                    self._tables.report(
                        "row-left-out", server=name, range_low=low, detail="too many"
                    )
                    return tuple(rows)
                token = hold.handover if token_count < MAX_HANDOVER_TOKENS else ""
                token_count += bool(token)
                rows.append(HeldRow(low, high, hold.epoch, token))
                hold.told_epoch = hold.epoch
                hold.possible_until = max(hold.possible_until, until)
        return tuple(rows)

    def _list_told_parts(self, hold: HeldRange) -> list[tuple[int, int]]:
        """Return the parts of a hold that are not left out."""
        if hold.needs_epoch:
            return []
        moves = self._tables.find_moves(hold)
        return exclude_moves(hold, (move for move in moves if move.stage in _LEFT_OUT))

    def distrust(self, name: str) -> None:
        """Take a server's heartbeats for no proof of what it has released.

        It numbers them anew, so one of its former life may look like the latest. What
        it has released is free once its hold has expired.
        """
        self._renumbered.add(name)
        self._answered.pop(name, None)

    def is_distrusted(self, name: str) -> bool:
        """Return whether what a server releases is free only after its hold."""
        return name in self._renumbered

    def forget(self, name: str) -> None:
        """Forget a server whose instance has ended."""
        self._proven.discard(name)
        self._renumbered.discard(name)
        self._answered.pop(name, None)


def _find_token(move: RangeMove, freed: tuple[FreedPart, ...]) -> str:
    """Return the token of the last freed part that overlaps a move's part."""
    for part in reversed(freed):
        if part.low <= move.high and move.low <= part.high and part.handover:
            return part.handover
    return ""


def _is_covered(hold: HeldRange, held: tuple[HeldPart, ...]) -> bool:
    """Return whether parts of the hold's epoch cover all of it."""
    low = hold.low
    for part in sorted(held):
        if part.epoch == hold.epoch and part.low <= low <= part.high:
            low = part.high + 1
    return low > hold.high
