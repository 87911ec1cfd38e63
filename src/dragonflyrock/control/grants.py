"""Announcements of backend servers, and the sets of grants they are answered with."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from ..errors import Reason, Refusal, Step
from ..models import RangeState, ServerRow
from ..observe import EventRing
from ..systems.leases import extend_granted, has_lapsed
from . import calls
from . import commands as c
from .effects import Effect, PushGrants
from .policy import ServicePolicy
from .proposals import Proposals
from .state import ControlState
from .tables import VERSIONS_PER_TERM, GrantRow, LeaderTables, LeaderTiming

__all__ = ["ServerGrants", "make_server_row"]

REANNOUNCE_MS: Final = 50


class ServerGrants:
    """The grants that the leader has given to backend servers."""

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
        """Start without grants; their revisions begin with the term."""
        self._term = term
        self._state = state
        self._services = services
        self._tables = tables
        self._timing = timing
        self._events = events
        self._proposals = proposals
        self._revision_count = 0
        self._pushed_state = (-1, -1)

    def assume_grants(self, lease_until: float) -> None:
        """Assume that every committed server holds grants of an earlier leader."""
        for server in self._state.servers.values():
            row = GrantRow(server, lease_until, 0, True, 0, 0, ())
            self._tables.grants[server.holder] = row

    def receive_announcement(
        self, announcement: calls.Announcement, now: float
    ) -> tuple[calls.GrantSet | Refusal, list[Effect]]:
        """Handle a server's announcement; return the answer and the effects."""
        policy = self._services.get(announcement.service)
        if policy is None:
            allowed = ", ".join(self._services)
            detail = f"service {announcement.service!r}; allowed: {allowed}"
            peer = announcement.name
            refusal = Refusal(Reason.UNKNOWN_SERVICE, Step.ANNOUNCE, peer, detail)
            return refusal, []
        server = make_server_row(announcement, policy)
        registered = self._state.servers.get(server.name)
        if registered is not None and server.incarnation < registered.incarnation:
            detail = f"incarnation {registered.incarnation} is already registered"
            return Refusal(
                Reason.OLD_INCARNATION, Step.ANNOUNCE, server.name, detail
            ), []
        if registered is None or not _is_same_server(registered, server):
            return self._register(server, announcement)
        row = self._renew_grants(registered, announcement, now)
        return self._make_grant_set(row, announcement.sequence), []

    def _register(
        self, server: ServerRow, announcement: calls.Announcement
    ) -> tuple[calls.GrantSet, list[Effect]]:
        """Propose the server, and answer that it must announce itself again soon."""
        answer = calls.GrantSet(
            server.holder, 0, announcement.sequence, 0, REANNOUNCE_MS, ()
        )
        return answer, self._proposals.propose(c.RegisterServer(server))

    def _renew_grants(
        self, server: ServerRow, announcement: calls.Announcement, now: float
    ) -> GrantRow:
        """Renew a server's grants."""
        timing = self._timing
        row = self._tables.grants.get(server.holder)
        if row is None:
            row = GrantRow(server, now, 0, True, 0, 0, ())
            self._events.add("server-joined", server=server.holder)
        until = extend_granted(row.lease_until, now, timing.grant, timing.drift)
        row = row._replace(
            server=server,
            lease_until=until,
            sequence=max(row.sequence, announcement.sequence),
            ready=announcement.ready,
            acked_revision=max(row.acked_revision, announcement.grant_revision),
        )
        row = self._update_ranges(row)
        self._tables.grants[server.holder] = row
        return row

    def _update_ranges(self, row: GrantRow) -> GrantRow:
        """Return the row with a new revision if the holder's ranges changed."""
        ranges = self._list_granted_ranges(row.server.holder)
        if row.revision and ranges == row.ranges:
            return row
        self._revision_count += 1
        revision = self._term * VERSIONS_PER_TERM + self._revision_count
        return row._replace(revision=revision, ranges=ranges)

    def _list_granted_ranges(self, holder: str) -> tuple[calls.GrantedRange, ...]:
        """Return the ranges that a holder owns, without those being revoked."""
        return tuple(
            calls.GrantedRange(row.low, row.high, row.epoch)
            for row in self._state.ranges.owned_by(holder)
            if row.state != RangeState.LOST
            and self._tables.revoking.get(row.ref) != row.revision
        )

    def _make_grant_set(self, row: GrantRow, sequence: int) -> calls.GrantSet:
        """Return a row's set of grants, leased from the announcement ``sequence``."""
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
        """Record that a server holds the grants of a revision."""
        row = self._tables.grants.get(holder)
        if row is not None:
            acked = max(row.acked_revision, revision)
            self._tables.grants[holder] = row._replace(acked_revision=acked)

    def push(self, now: float) -> list[Effect]:
        """Return the changed grants of all servers with a valid lease."""
        current_state = (self._state.revision, len(self._tables.revoking))
        if current_state == self._pushed_state:
            return []
        self._pushed_state = current_state
        effects: list[Effect] = []
        for holder, row in self._tables.grants.items():
            if not row.sequence or has_lapsed(row.lease_until, now):
                continue
            updated = self._update_ranges(row)
            if updated.revision != row.revision:
                self._tables.grants[holder] = updated
                grants = self._make_grant_set(updated, updated.sequence)
                effects.append(PushGrants(updated.server, grants))
        return effects

    def remove_superseded(self) -> None:
        """Drop the rows of superseded incarnations that own nothing."""
        for holder in list(self._tables.grants):
            superseded = self._state.find_holder(holder) is None
            if superseded and not self._state.ranges.owns_any(holder):
                del self._tables.grants[holder]


def make_server_row(
    announcement: calls.Announcement, policy: ServicePolicy
) -> ServerRow:
    """Return the row to commit for an announcement."""
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


def _is_same_server(registered: ServerRow, announced: ServerRow) -> bool:
    """Return whether an announcement equals the committed row."""
    return registered._replace(stopping=False, revision=0) == announced
