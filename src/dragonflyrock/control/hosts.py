"""Entry hosts: their leases, the rows that they lack, and who is alive."""

from __future__ import annotations

from typing import Final, NamedTuple

from ..hashing import hash_score
from ..models import Delta, HostRecord
from ..systems.leases import extend_given, has_lapsed
from ..transport.messages import HostRenew, HostsNear, HostUpdate
from . import commands as c
from .effects import Effect, PushUpdate
from .proposals import Proposals
from .sent_rows import RowSender
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
# A member that has told nothing of its hosts for so long is given no more of them.
NEAR_SECONDS: Final = 1.5
# Where the list only divides shared limits, it is told at most so often: many
# hosts start at once, and each would be told of each other one.
LIST_SECONDS: Final = 0.5


class NearNode(NamedTuple):
    """A member that gives rows to hosts of its zone, and until when it counts."""

    zone: str
    until: float


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
        *,
        awaits_hosts: bool = False,
    ) -> None:
        """Lead as ``name`` in ``term``.

        With ``awaits_hosts`` a host gets rows only once it has renewed here; most
        get them from a member in their own availability zone.
        """
        self._name = name
        self._term = term
        self._state = state
        self._tables = tables
        self._timing = timing
        self._proposals = proposals
        self._awaits_hosts = awaits_hosts
        self._rows = RowSender(state)
        self._near: dict[str, NearNode] = {}
        self._served: dict[str, float] = {}
        self._names: tuple[str, ...] = ()
        self._greeted = False
        self._listed_at = NEVER
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
        hears = renew.sent_at - renew.answered_at <= self._timing.answer_timeout
        if record.holder not in self._state.hosts:
            effects = self._proposals.propose(c.RegisterHost(record))
        elif hears:
            lease = self._timing.entry_lease
            lease_ms = int(lease * 1000)
            until = extend_given(until, now, lease, self._timing.drift)
        row = self._make_row(renew, until)
        self._tables.hosts[record.holder] = row
        self._rows.note_renewal(renew)
        self._served.pop(record.holder, None)
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
        self._drop(holder)
        update = self._update(self._make_row(renew, NEVER), renew.sent_at, 0, applied)
        return update, self._proposals.propose(c.ForgetHost(holder))

    def _update(
        self, row: HostRow, sent_at: float, lease_ms: int, applied: int
    ) -> HostUpdate:
        """Return an update with what a host lacks and was not sent yet."""
        delta = self._rows.take(
            row.record.holder,
            row.revision,
            row.sent_at,
            applied,
            asked=bool(sent_at),
        )
        version = self._version
        hosts = None if row.hosts_version == version else self._names
        return HostUpdate(
            self._term, self._name, sent_at, lease_ms, delta, version, hosts
        )

    def _drop(self, holder: str) -> None:
        """Drop what is known of a host."""
        self._tables.hosts.pop(holder, None)
        self._rows.forget(holder)
        self._served.pop(holder, None)

    # Hosts that get their rows from a member in their own availability zone

    def choose_near(self, record: HostRecord, now: float) -> str:
        """Return the member from which a host is to get its rows; empty for none."""
        found = [
            name
            for name, near in self._near.items()
            if near.zone == record.zone and now < near.until
        ]
        return max(found, key=lambda name: hash_score(record.name, name), default="")

    def hear_near(self, sender: str, report: HostsNear, now: float) -> list[Effect]:
        """Take a member's word of the hosts that it serves.

        Their leases fence nothing: only hosts whose servers check who owns a key
        get rows from other members than the leader.
        """
        self._near[sender] = NearNode(report.zone, now + NEAR_SECONDS)
        effects: list[Effect] = []
        for record in report.joined:
            if record.holder not in self._state.hosts:
                effects += self._proposals.propose(c.RegisterHost(record))
        for holder in report.left:
            self._drop(holder)
            effects += self._proposals.propose(c.ForgetHost(holder))
        for holder, revision in report.alive:
            committed = self._state.hosts.get(holder)
            if committed is None:
                continue
            known = self._tables.hosts.get(holder)
            until = known.lease_until if known else now
            until = extend_given(
                until, now, self._timing.entry_lease, self._timing.drift
            )
            sent_at = known.sent_at if known else NEVER
            self._tables.hosts[holder] = HostRow(
                committed, until, sent_at, revision, frozenset(), 0
            )
            self._rows.forget(holder)
            self._served[holder] = now + NEAR_SECONDS
        return effects

    def list_hosts(self, now: float) -> None:
        """Give the list of live hosts a new version if it changed."""
        live = {host.record.name for host in self.live(now)}
        names = tuple(sorted(live))
        if names == self._names:
            return
        if self._awaits_hosts and now - self._listed_at < LIST_SECONDS:
            return
        self._listed_at = now
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
        effects: list[Effect] = self._greet(now)
        for host in self.live(now):
            holder = host.record.holder
            unheard = self._awaits_hosts and host.sent_at == NEVER
            if unheard or now < self._served.get(holder, NEVER):
                continue
            if not self._rows.is_behind(holder, host.revision):
                continue
            update = self._update(host, 0.0, 0, applied)
            effects.append(PushUpdate(host.record.name, update))
        return effects

    def _greet(self, now: float) -> list[Effect]:
        """Tell the hosts of earlier terms once who leads.

        It opens the links: what is sent to a host without one is dropped, and that
        would be the answer to its first renewal.
        """
        if self._greeted or not self._awaits_hosts:
            return []
        self._greeted = True
        nothing = Delta(0, 0, full=False)
        update = HostUpdate(self._term, self._name, 0.0, 0, nothing, 0, None)
        names = {host.record.name for host in self.live(now)}
        return [PushUpdate(name, update) for name in sorted(names)]

    def forget_old(self, now: float) -> list[Effect]:
        """Drop hosts that lapsed so long ago that nothing of theirs can run."""
        memory = HOST_MEMORY_DEADLINES * self._timing.longest_deadline
        effects: list[Effect] = []
        for holder, host in list(self._tables.hosts.items()):
            if has_lapsed(host.lease_until + memory, now):
                self._drop(holder)
                effects += self._proposals.propose(c.ForgetHost(holder))
        return effects
