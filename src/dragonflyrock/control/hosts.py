"""Leases of entry hosts, and the rows that are sent to them."""

from __future__ import annotations

from typing import Final, NamedTuple

from ..const import HOST_LIST_INTERVAL_SECONDS
from ..hashing import hash_score
from ..models import Delta, HostRecord
from ..systems.leases import extend_granted, has_lapsed
from ..transport.messages import HostRenew, HostsNear, HostUpdate
from . import commands as c
from .effects import Effect, PushUpdate
from .proposals import Proposals
from .sent_rows import SentRowTracker
from .state import ControlState
from .tables import (
    NEVER,
    VERSIONS_PER_TERM,
    HostRow,
    LeaderTables,
    LeaderTiming,
)

__all__ = ["HostLeases"]

HOST_RETENTION_DEADLINES: Final = 2
# A member that has sent no report for this time is assigned no more hosts.
NEAR_REPORT_TIMEOUT_SECONDS: Final = 1.5


class NearMember(NamedTuple):
    """A member that sends rows to hosts of its zone.

    The leader assigns more hosts to it until ``until``.
    """

    zone: str
    until: float


class HostLeases:
    """The leases that the leader has granted to entry hosts."""

    def __init__(
        self,
        name: str,
        term: int,
        state: ControlState,
        tables: LeaderTables,
        timing: LeaderTiming,
        proposals: Proposals,
        *,
        awaits_renewal: bool = False,
    ) -> None:
        """Start without leases, as leader ``name`` in ``term``.

        With ``awaits_renewal`` a host gets rows only after it has renewed here; most
        hosts get them from a member in their own availability zone.
        """
        self._name = name
        self._term = term
        self._state = state
        self._tables = tables
        self._timing = timing
        self._proposals = proposals
        self._awaits_renewal = awaits_renewal
        self._sent_rows = SentRowTracker(state)
        self._near_members: dict[str, NearMember] = {}
        self._member_zones: dict[str, str] = {}
        self._near_until: dict[str, float] = {}
        self._host_names: tuple[str, ...] = ()
        self._leader_announced = False
        self._listed_at = NEVER
        self._version_count = 0
        self._list_version = 0

    def assume_leases(self, lease_until: float) -> None:
        """Assume that every committed host holds a lease of an earlier leader."""
        for record in self._state.hosts.values():
            assumed = HostRow(record, lease_until, NEVER, 0, frozenset(), 0)
            self._tables.hosts[record.holder] = assumed

    def renew(
        self, renewal: HostRenew, applied: int, now: float
    ) -> tuple[HostUpdate, list[Effect]]:
        """Renew an entry host's lease and return the changed rows.

        A host gets no lease before it is committed: the next leader must have a record
        of every host that may have requests in flight. A host whose renewals arrive but
        that receives no answers gets no lease, since it would delay every handover.
        """
        record = renewal.host
        previous = self._tables.hosts.get(record.holder)
        if previous is not None and renewal.sent_at < previous.sent_at:
            # A later renewal of the host has already been answered.
            return self._make_update(previous, renewal.sent_at, 0, applied), []
        if renewal.leaving:
            return self._remove_leaving_host(renewal, applied)
        lease_ms = 0
        effects: list[Effect] = []
        until = previous.lease_until if previous else now
        receives_answers = (
            renewal.sent_at - renewal.answered_at <= self._timing.answer_timeout
        )
        if record.holder not in self._state.hosts:
            effects = self._proposals.propose(c.RegisterHost(record))
        elif receives_answers:
            lease = self._timing.entry_lease
            lease_ms = int(lease * 1000)
            until = extend_granted(until, now, lease, self._timing.drift)
        row = self._make_row(renewal, until)
        self._tables.hosts[record.holder] = row
        self._sent_rows.record_renewal(renewal)
        self._near_until.pop(record.holder, None)
        return self._make_update(row, renewal.sent_at, lease_ms, applied), effects

    @staticmethod
    def _make_row(renewal: HostRenew, until: float) -> HostRow:
        """Return the row of a host after its renewal."""
        return HostRow(
            renewal.host,
            until,
            renewal.sent_at,
            renewal.revision,
            frozenset(renewal.draining),
            renewal.hosts_version,
        )

    def _remove_leaving_host(
        self, renewal: HostRenew, applied: int
    ) -> tuple[HostUpdate, list[Effect]]:
        """Remove a host that stops without requests in flight."""
        holder = renewal.host.holder
        self._remove_host(holder)
        update = self._make_update(
            self._make_row(renewal, NEVER), renewal.sent_at, 0, applied
        )
        return update, self._proposals.propose(c.ForgetHost(holder))

    def _make_update(
        self, row: HostRow, sent_at: float, lease_ms: int, applied: int
    ) -> HostUpdate:
        """Return an update with the changed rows that a host was not sent yet."""
        delta = self._sent_rows.make_delta(
            row.record.holder,
            row.revision,
            row.sent_at,
            applied,
            is_answer=bool(sent_at),
        )
        version = self._list_version
        hosts = None if row.hosts_version == version else self._host_names
        return HostUpdate(
            self._term, self._name, sent_at, lease_ms, delta, version, hosts
        )

    def _remove_host(self, holder: str) -> None:
        """Remove a host's lease and records."""
        self._tables.hosts.pop(holder, None)
        self._sent_rows.remove_host(holder)
        self._near_until.pop(holder, None)

    def choose_near_member(self, record: HostRecord, now: float) -> str:
        """Return a member that can send a host of its zone rows; empty for none."""
        names = [
            name
            for name, near in self._near_members.items()
            if near.zone == record.zone and now < near.until
        ]
        return max(names, key=lambda name: hash_score(record.name, name), default="")

    def get_member_zones(self) -> dict[str, str]:
        """Return the availability zones of the members that have reported theirs."""
        return dict(self._member_zones)

    def receive_near_report(
        self, sender: str, report: HostsNear, now: float
    ) -> list[Effect]:
        """Handle a member's report of the hosts that it sends rows to.

        No move depends on the leases of these hosts: hosts get rows from members
        other than the leader only where servers check who owns a key.
        """
        self._near_members[sender] = NearMember(
            report.zone, now + NEAR_REPORT_TIMEOUT_SECONDS
        )
        if report.zone:
            self._member_zones[sender] = report.zone
        effects: list[Effect] = []
        for record in report.new_hosts:
            if record.holder not in self._state.hosts:
                effects += self._proposals.propose(c.RegisterHost(record))
        for holder in report.stopped_hosts:
            self._remove_host(holder)
            effects += self._proposals.propose(c.ForgetHost(holder))
        for holder, revision in report.live_hosts:
            committed = self._state.hosts.get(holder)
            if committed is None:
                continue
            previous = self._tables.hosts.get(holder)
            until = previous.lease_until if previous else now
            until = extend_granted(
                until, now, self._timing.entry_lease, self._timing.drift
            )
            sent_at = previous.sent_at if previous else NEVER
            self._tables.hosts[holder] = HostRow(
                committed, until, sent_at, revision, frozenset(), 0
            )
            self._sent_rows.remove_host(holder)
            self._near_until[holder] = now + NEAR_REPORT_TIMEOUT_SECONDS
        return effects

    def list_hosts(self, now: float) -> None:
        """Update the list of hosts with a valid lease, and its version."""
        live = {host.record.name for host in self.list_live(now)}
        names = tuple(sorted(live))
        if names == self._host_names:
            return
        if self._awaits_renewal and now - self._listed_at < HOST_LIST_INTERVAL_SECONDS:
            return
        self._listed_at = now
        self._host_names = names
        self._version_count += 1
        self._list_version = self._term * VERSIONS_PER_TERM + self._version_count

    def list_live(self, now: float) -> list[HostRow]:
        """Return the entry hosts whose leases are valid."""
        return [
            host
            for host in self._tables.hosts.values()
            if not has_lapsed(host.lease_until, now)
        ]

    def push_updates(self, applied: int, now: float) -> list[Effect]:
        """Return the changed rows for hosts that lack them, without a lease."""
        self.list_hosts(now)
        effects: list[Effect] = self._announce_leader(now)
        for host in self.list_live(now):
            holder = host.record.holder
            not_renewed = self._awaits_renewal and host.sent_at == NEVER
            if not_renewed or now < self._near_until.get(holder, NEVER):
                continue
            if not self._sent_rows.is_behind(holder, host.revision):
                continue
            update = self._make_update(host, 0.0, 0, applied)
            effects.append(PushUpdate(host.record.name, update))
        return effects

    def _announce_leader(self, now: float) -> list[Effect]:
        """Send the hosts of earlier terms the name of the leader, once.

        This opens the links. A message to a host without a link is dropped, which
        would otherwise be the answer to the host's first renewal.
        """
        if self._leader_announced or not self._awaits_renewal:
            return []
        self._leader_announced = True
        no_rows = Delta(0, 0, full=False)
        update = HostUpdate(self._term, self._name, 0.0, 0, no_rows, 0, None)
        names = {host.record.name for host in self.list_live(now)}
        return [PushUpdate(name, update) for name in sorted(names)]

    def remove_expired(self, now: float) -> list[Effect]:
        """Remove hosts that expired so long ago that none of their requests can run."""
        retention = HOST_RETENTION_DEADLINES * self._timing.longest_deadline
        effects: list[Effect] = []
        for holder, host in list(self._tables.hosts.items()):
            if has_lapsed(host.lease_until + retention, now):
                self._remove_host(holder)
                effects += self._proposals.propose(c.ForgetHost(holder))
        return effects
