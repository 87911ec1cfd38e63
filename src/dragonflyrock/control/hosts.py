"""Entry hosts: their leases, the rows that they lack, and who is alive."""

from __future__ import annotations

from typing import Final, NamedTuple

from ..models import Delta
from ..systems.leases import extend_given, has_lapsed
from ..transport.messages import HostRenew, HostUpdate
from . import commands as c
from .effects import Effect, PushUpdate
from .proposals import Proposals
from .state import ControlState
from .tables import (
    NEVER,
    VERSIONS_PER_TERM,
    HostRow,
    LeaderTables,
    LeaderTiming,
)

__all__ = ["HostLeases"]

HOST_MEMORY_DEADLINES: Final = 2


class SentRows(NamedTuple):
    """The rows that were sent to a host and that it has not acknowledged yet.

    They went out before or with the answer to the host's renewal of ``renewed_at``,
    its own clock; ``asked`` tells that they were that answer.
    """

    revision: int
    renewed_at: float
    asked: bool

    def is_lost(self, revision: int, answered_at: float) -> bool:
        """Return whether a host has taken a later message, but not these rows."""
        if revision >= self.revision:
            return False
        if self.asked:
            return answered_at >= self.renewed_at
        return answered_at > self.renewed_at


class HostLeases:
    """The leader's side of the entry hosts' leases."""

    def __init__(
        self,
        name: str,
        term: int,
        state: ControlState,
        tables: LeaderTables,
        timing: LeaderTiming,
        proposals: Proposals,
    ) -> None:
        """Lead as ``name`` in ``term``."""
        self._name = name
        self._term = term
        self._state = state
        self._tables = tables
        self._timing = timing
        self._proposals = proposals
        self._sent: dict[str, SentRows] = {}
        self._deltas: dict[int, Delta] = {}
        self._deltas_at = 0
        self._names: tuple[str, ...] = ()
        self._counter = 0
        self._version = 0

    def expect(self, hold_until: float) -> None:
        """Take every committed host as holding a lease of an earlier leader."""
        for record in self._state.hosts.values():
            unknown = HostRow(record, hold_until, NEVER, 0, frozenset(), 0)
            self._tables.hosts[record.holder] = unknown

    def renew(
        self, renew: HostRenew, applied: int, now: float
    ) -> tuple[HostUpdate, list[Effect]]:
        """Renew an entry host's lease and return the rows that it lacks.

        A host gets no lease before it is committed as one: the next leader must
        know of every host that may have something in flight. A host that is heard
        but hears nothing is not renewed, since it would hold every handover up.
        """
        record = renew.host
        known = self._tables.hosts.get(record.holder)
        if known is not None and renew.sent_at < known.sent_at:
            # A later renewal has overtaken this one.
            return self._update(known, renew.sent_at, 0, applied), []
        if renew.leaving:
            return self._let_go(renew, applied)
        lease_ms = 0
        effects: list[Effect] = []
        until = known.lease_until if known else now
        hears = renew.sent_at - renew.answered_at <= self._timing.answer_limit
        if record.holder not in self._state.hosts:
            effects = self._proposals.propose(c.RegisterHost(record))
        elif hears:
            lease = self._timing.entry_lease
            lease_ms = int(lease * 1000)
            until = extend_given(until, now, lease, self._timing.drift)
        row = self._make_row(renew, until)
        self._tables.hosts[record.holder] = row
        sent = self._sent.get(record.holder)
        if sent is not None and sent.is_lost(renew.revision, renew.answered_at):
            del self._sent[record.holder]
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
        self._tables.hosts.pop(holder, None)
        self._sent.pop(holder, None)
        update = self._update(self._make_row(renew, NEVER), renew.sent_at, 0, applied)
        return update, self._proposals.propose(c.ForgetHost(holder))

    def _update(
        self, row: HostRow, sent_at: float, lease_ms: int, applied: int
    ) -> HostUpdate:
        """Return an update with what a host lacks and was not sent yet."""
        holder = row.record.holder
        sent = self._sent.get(holder)
        base = row.revision
        if sent is not None and sent.revision > base:
            base = sent.revision
        delta = self._find_delta(base, applied)
        if delta.revision > base:
            asked = bool(sent_at)
            self._sent[holder] = SentRows(delta.revision, row.sent_at, asked)
        version = self._version
        hosts = None if row.hosts_version == version else self._names
        return HostUpdate(
            self._term, self._name, sent_at, lease_ms, delta, version, hosts
        )

    def _find_delta(self, base: int, applied: int) -> Delta:
        """Return what changed after a revision; most hosts lack the same."""
        if self._deltas_at != applied:
            self._deltas.clear()
            self._deltas_at = applied
        delta = self._deltas.get(base)
        if delta is None:
            delta = self._deltas[base] = self._state.delta_after(base, applied)
        return delta

    def list_hosts(self, now: float) -> None:
        """Give the list of live hosts a new version if it changed."""
        live = {host.record.name for host in self.live(now)}
        names = tuple(sorted(live))
        if names == self._names:
            return
        self._names = names
        self._counter += 1
        self._version = self._term * VERSIONS_PER_TERM + self._counter

    def live(self, now: float) -> list[HostRow]:
        """Return the entry hosts that may be dispatching."""
        return [
            host
            for host in self._tables.hosts.values()
            if not has_lapsed(host.lease_until, now)
        ]

    def push_updates(self, applied: int, now: float) -> list[Effect]:
        """Return updates for the hosts that lack rows, without a lease."""
        self.list_hosts(now)
        effects: list[Effect] = []
        for host in self.live(now):
            sent = self._sent.get(host.record.holder)
            revision = max(host.revision, sent.revision if sent is not None else 0)
            if revision >= self._state.revision:
                continue
            update = self._update(host, 0.0, 0, applied)
            effects.append(PushUpdate(host.record.name, update))
        return effects

    def forget_old(self, now: float) -> list[Effect]:
        """Drop hosts that lapsed so long ago that nothing of theirs can run."""
        memory = HOST_MEMORY_DEADLINES * self._timing.longest_deadline
        effects: list[Effect] = []
        for holder, host in list(self._tables.hosts.items()):
            if has_lapsed(host.lease_until + memory, now):
                del self._tables.hosts[holder]
                self._sent.pop(holder, None)
                effects += self._proposals.propose(c.ForgetHost(holder))
        return effects
