"""Backend servers: their announcements and the grants that they hold."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from ..errors import Reason, Refusal, Step
from ..models import RangeState, ServerRow
from ..observe import EventRing
from ..systems.leases import extend_given, has_lapsed
from . import calls
from . import commands as c
from .effects import Effect, PushGrants
from .policy import ServicePolicy
from .proposals import Proposals
from .state import ControlState
from .tables import VERSIONS_PER_TERM, GrantRow, LeaderTables, LeaderTiming

__all__ = ["GrantBook", "make_server_row"]

AGAIN_MS: Final = 50


class GrantBook:
    """The leader's side of the backend servers' grants."""

    def __init__(
        self,
        term: int,
        state: ControlState,
        services: Mapping[str, ServicePolicy],
        tables: LeaderTables,
        timing: LeaderTiming,
        events: EventRing,
        proposals: Proposals,
    ) -> None:
        """Give grants whose revisions grow from term to term."""
        self._term = term
        self._state = state
        self._services = services
        self._tables = tables
        self._timing = timing
        self._events = events
        self._proposals = proposals
        self._counter = 0
        self._refreshed = (-1, -1)

    def expect(self, hold_until: float) -> None:
        """Take every committed server as holding grants of an earlier leader."""
        for server in self._state.servers.values():
            row = GrantRow(server, hold_until, 0, True, 0, 0, ())
            self._tables.grants[server.holder] = row

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
        server = make_server_row(announcement, policy)
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

    def _register(
        self, server: ServerRow, announcement: calls.Announcement
    ) -> tuple[calls.GrantSet, list[Effect]]:
        """Commit the server first; it is to announce itself again soon."""
        answer = calls.GrantSet(
            server.holder, 0, announcement.sequence, 0, AGAIN_MS, ()
        )
        return answer, self._proposals.propose(c.RegisterServer(server))

    def _hear(
        self, server: ServerRow, announcement: calls.Announcement, now: float
    ) -> GrantRow:
        """Renew a server's grants."""
        timing = self._timing
        row = self._tables.grants.get(server.holder)
        if row is None:
            row = GrantRow(server, now, 0, True, 0, 0, ())
            self._events.add("server-joined", server=server.holder)
        until = extend_given(row.lease_until, now, timing.grant, timing.drift)
        row = row._replace(
            server=server,
            lease_until=until,
            sequence=max(row.sequence, announcement.sequence),
            ready=announcement.ready,
            acked_revision=max(row.acked_revision, announcement.grant_revision),
        )
        row = self._refresh(row)
        self._tables.grants[server.holder] = row
        return row

    def _refresh(self, row: GrantRow) -> GrantRow:
        """Give the row's set a new revision if the holder's ranges changed."""
        ranges = self._ranges_of(row.server.holder)
        if row.revision and ranges == row.ranges:
            return row
        self._counter += 1
        revision = self._term * VERSIONS_PER_TERM + self._counter
        return row._replace(revision=revision, ranges=ranges)

    def _ranges_of(self, holder: str) -> tuple[calls.GrantedRange, ...]:
        """Return what a holder owns and has not been told to give up."""
        return tuple(
            calls.GrantedRange(row.low, row.high, row.epoch)
            for row in self._state.ranges.owned_by(holder)
            if row.state != RangeState.LOST
            and self._tables.revoking.get(row.ref) != row.revision
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
        row = self._tables.grants.get(holder)
        if row is not None:
            acked = max(row.acked_revision, revision)
            self._tables.grants[holder] = row._replace(acked_revision=acked)

    def push(self, now: float) -> list[Effect]:
        """Return the changed grants of all servers that are alive."""
        seen = (self._state.revision, len(self._tables.revoking))
        if seen == self._refreshed:
            return []
        self._refreshed = seen
        effects: list[Effect] = []
        for holder, row in self._tables.grants.items():
            if not row.sequence or has_lapsed(row.lease_until, now):
                continue
            fresh = self._refresh(row)
            if fresh.revision != row.revision:
                self._tables.grants[holder] = fresh
                grants = self._grant_set(fresh, fresh.sequence)
                effects.append(PushGrants(fresh.server, grants))
        return effects

    def forget_old(self) -> None:
        """Drop the rows of incarnations that own nothing and are superseded."""
        for holder in list(self._tables.grants):
            superseded = self._state.find_holder(holder) is None
            if superseded and not self._state.ranges.owns_any(holder):
                del self._tables.grants[holder]


def make_server_row(
    announcement: calls.Announcement, policy: ServicePolicy
) -> ServerRow:
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


def _is_same_server(known: ServerRow, announced: ServerRow) -> bool:
    """Return whether an announcement changes nothing durable."""
    return known._replace(stopping=False, revision=0) == announced
