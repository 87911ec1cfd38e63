"""The tasks of the control group's leader: leases, grants and range moves."""

from __future__ import annotations

from collections.abc import Mapping

from ..errors import Reason, Refusal, Step
from ..models import HostRecord
from ..observe import EventRing
from ..tables import ColdTable
from ..transport.messages import (
    HostRenew,
    HostsNear,
    HostUpdate,
    RangeLoad,
    ServerNeed,
)
from . import calls
from . import commands as c
from .directed import DirectedLeader
from .directed_models import DirectedTiming, OrderResult, ServerHeartbeat
from .effects import Effect, ProposeCommand, PushGrants, PushUpdate, SendOrder
from .grants import ServerGrants
from .hosts import HostLeases
from .moves import Moves
from .policy import ServicePolicy
from .proposals import Proposals
from .state import ControlState
from .tables import HostRow, LeaderTables, LeaderTiming

__all__ = [
    "ControlLeader",
    "Effect",
    "ProposeCommand",
    "PushGrants",
    "PushUpdate",
    "ServicePolicy",
]


class ControlLeader:
    """The state and decisions of a leader from its election until it steps down.

    It is created at the election, at ``now``. It starts and finishes no move before
    ``moves_held_until``, when every lease that an earlier leader may have granted
    has expired.
    """

    def __init__(
        self,
        name: str,
        term: int,
        state: ControlState,
        services: Mapping[str, ServicePolicy],
        timing: LeaderTiming,
        events: EventRing,
        now: float,
        directed: DirectedTiming | None = None,
        cold: ColdTable | None = None,
    ) -> None:
        """Assume that all committed hosts and servers hold leases."""
        self.name = name
        self.term = term
        self.tables = LeaderTables()
        self._state = state
        self._services = services
        self._proposals = Proposals()
        self._hosts = HostLeases(
            name,
            term,
            state,
            self.tables,
            timing,
            self._proposals,
            awaits_renewal=directed is not None,
        )
        self._events = events
        self._grants = ServerGrants(
            term, state, services, self.tables, timing, events, self._proposals
        )
        self._moves = Moves(state, services, self.tables, timing, self._proposals)
        longest = max(timing.entry_lease, timing.grant)
        self.moves_held_until = now + timing.with_drift(longest)
        self._hosts.assume_leases(self.moves_held_until)
        self._grants.assume_grants(self.moves_held_until)
        self._directed: DirectedLeader | None = None
        if directed is not None:
            self._directed = DirectedLeader(state, directed, events.add, now, cold)

    def complete_proposal(self, command: c.Command) -> None:
        """Record that a command was applied or failed, and may be proposed again."""
        self._proposals.complete_proposal(command)
        if self._directed is not None:
            self._directed.complete_proposal(command)

    def receive_heartbeat(
        self, heartbeat: ServerHeartbeat, now: float
    ) -> c.Command | Refusal | None:
        """Handle a heartbeat of a directed server; see ``DirectedLeader``."""
        if self._directed is None:
            return Refusal(Reason.NOT_ALLOWED, Step.ANNOUNCE, heartbeat.name)
        return self._directed.receive_heartbeat(heartbeat, now)

    def receive_holds(self, heartbeat: ServerHeartbeat, now: float) -> list[c.Command]:
        """Take in what a server says it holds; return commands to commit."""
        if self._directed is None:
            return []
        return self._directed.receive_holds(heartbeat, now)

    def answer_heartbeat(
        self, heartbeat: ServerHeartbeat, received_at: float, now: float
    ) -> calls.HeartbeatAccepted:
        """Return the answer to a heartbeat, once its commands are applied."""
        if self._directed is None:
            return calls.HeartbeatAccepted()
        return self._directed.answer_heartbeat(heartbeat, received_at, now)

    def receive_heard_servers(
        self,
        sequences: tuple[tuple[str, int], ...],
        now: float,
        lives: tuple[int, ...] = (),
    ) -> None:
        """Record servers that announced themselves to a follower."""
        if self._directed is not None:
            self._directed.receive_heard_servers(sequences, now, lives)

    def complete_order(self, result: OrderResult, now: float) -> list[Effect]:
        """Handle the result of an order to a directed server."""
        if self._directed is None:
            return []
        command = self._directed.complete_order(result, now)
        return [] if command is None else self._proposals.propose(command)

    def renew_host(
        self, renewal: HostRenew, applied: int, now: float
    ) -> tuple[HostUpdate, list[Effect]]:
        """Renew an entry host's lease and return the changed rows."""
        removals: list[Effect] = []
        if self._directed is not None:
            self._directed.add_loads(renewal.loads)
            self._directed.add_speeds(renewal.speeds)
            for command in self._directed.drop_ended_servers(renewal.ended_servers):
                removals += self._proposals.propose(command)
        else:
            self._moves.add_loads(renewal.loads)
        update, effects = self._hosts.renew(renewal, applied, now)
        return update, effects + removals

    def choose_near_member(self, record: HostRecord, now: float) -> str:
        """Return the member that sends a host its rows; empty for this leader."""
        return self._hosts.choose_near_member(record, now)

    def get_member_zones(self) -> dict[str, str]:
        """Return the availability zones of the members that have reported theirs."""
        return self._hosts.get_member_zones()

    def receive_near_report(
        self, sender: str, report: HostsNear, now: float
    ) -> list[Effect]:
        """Handle a member's report of the hosts that get their rows from it."""
        if self._directed is None:
            return []
        for service, keys in report.loads.items():
            self._directed.add_loads(
                tuple(RangeLoad(service, low, n, 0) for low, n in keys.items())
            )
        self._directed.add_speeds(report.speeds)
        effects: list[Effect] = []
        for command in self._directed.drop_ended_servers(report.ended_servers):
            effects += self._proposals.propose(command)
        return effects + self._hosts.receive_near_report(sender, report, now)

    def stop_leaving_servers(self, holders: tuple[str, ...]) -> list[Effect]:
        """Mark servers as stopping that said in a response that they leave.

        What an earlier incarnation has said does not count.
        """
        effects: list[Effect] = []
        for holder in holders:
            row = self._state.servers.get(holder.rpartition("@")[0])
            if row is None or row.holder != holder or row.stopping:
                continue
            proposed = self._proposals.propose(c.StopServer(row.name))
            if proposed:
                self._events.add(
                    "server-changed", server=row.name, detail="StopServer: response"
                )
            effects += proposed
        return effects

    def receive_server_needs(self, needs: tuple[ServerNeed, ...], now: float) -> None:
        """Record a host's report of what servers take."""
        if self._directed is not None:
            self._directed.add_needs(needs, now)

    def list_live_hosts(self, now: float) -> list[HostRow]:
        """Return the entry hosts whose leases are valid."""
        return self._hosts.list_live(now)

    def push_updates(self, applied: int, now: float) -> list[Effect]:
        """Return the changed rows for hosts that lack them, without a lease."""
        return self._hosts.push_updates(applied, now)

    def receive_announcement(
        self, announcement: calls.Announcement, now: float
    ) -> tuple[calls.GrantSet | Refusal, list[Effect]]:
        """Handle a server's announcement; return the answer and effects."""
        return self._grants.receive_announcement(announcement, now)

    def acknowledge(self, holder: str, revision: int) -> None:
        """Record that a server holds the grants of a revision."""
        self._grants.acknowledge(holder, revision)

    def tick(self, now: float) -> list[Effect]:
        """Run all tasks that are due and return their effects."""
        effects = self._declare_services()
        self._grants.remove_superseded()
        effects += self._hosts.remove_expired(now)
        self._hosts.list_hosts(now)
        self._moves.smooth_loads(now)
        if now >= self.moves_held_until:
            effects += self._moves.advance(now)
            effects += self._moves.start(now)
        effects += self._grants.push(now)
        if self._directed is not None:
            commands, orders = self._directed.tick(now)
            for command in commands:
                effects += self._proposals.propose(command)
            effects += [SendOrder(order) for order in orders]
        return effects

    def _declare_services(self) -> list[Effect]:
        """Propose the services of the settings that the state lacks."""
        effects: list[Effect] = []
        for service, policy in self._services.items():
            if service not in self._state.ranges.services:
                command = c.DeclareService(service, policy.range_count)
                effects += self._proposals.propose(command)
        return effects
