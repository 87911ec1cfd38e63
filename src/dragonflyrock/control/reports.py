"""The status and the contracts that operators can read."""

from __future__ import annotations

from collections.abc import Iterable

from ..consensus import Group, Role
from ..systems.leases import has_lapsed
from . import calls
from .leader import ControlLeader
from .state import ControlState
from .tables import GrantRow, HostRow

__all__ = ["list_contracts", "read_status"]


def read_status(
    group: Group, state: ControlState, leader: ControlLeader, now: float
) -> calls.Status:
    """Return the state of the whole system."""
    grants = leader.tables.grants.values()
    rows = list(state.ranges)
    return calls.Status(
        leader.name,
        leader.term,
        state.revision,
        now < leader.moves_held_until,
        tuple(_make_host_status(host, now) for host in leader.list_live_hosts(now)),
        tuple(_make_server_status(state, leader, row, now) for row in grants),
        _list_member_statuses(group),
        len(rows),
        len(state.ranges.moving()),
        sum(not row.owner for row in rows),
        state.list_evacuated_zones(),
    )


def _make_host_status(host: HostRow, now: float) -> calls.HostStatus:
    """Return the status of an entry host."""
    lease_left_ms = int((host.lease_until - now) * 1000)
    record = host.record
    return calls.HostStatus(
        record.name,
        record.zone,
        record.link,
        record.operators,
        host.revision,
        lease_left_ms,
    )


def _make_server_status(
    state: ControlState, leader: ControlLeader, row: GrantRow, now: float
) -> calls.ServerStatus:
    """Return the status of a backend server."""
    server = row.server
    owned = state.ranges.owned_by(server.holder)
    loads = leader.tables.loads
    total = sum(
        load.busy_ms for ref, load in loads.items() if ref.service == server.service
    )
    busy = sum(
        loads[range_row.ref].busy_ms for range_row in owned if range_row.ref in loads
    )
    return calls.ServerStatus(
        server.name,
        server.service,
        server.address,
        server.zone,
        server.incarnation,
        server.checks_grants,
        _describe_server_state(state, row, now),
        max(0, int((row.lease_until - now) * 1000)),
        len(owned),
        busy / total if total else 0.0,
    )


def _describe_server_state(state: ControlState, row: GrantRow, now: float) -> str:
    """Return the state of a server, as operators see it."""
    if state.find_holder(row.server.holder) is None:
        return "replaced"
    if has_lapsed(row.lease_until, now):
        return "lost"
    if state.servers[row.server.name].stopping:
        return "stopping"
    if state.is_evacuated(row.server.zone):
        return "evacuated"
    if not row.sequence:
        return "not heard"
    return "ready" if row.ready else "not ready"


def _list_member_statuses(group: Group) -> tuple[calls.MemberStatus, ...]:
    """Return the members of the control group and the nodes that wait to join."""
    replica = group.replica
    statuses = []
    configuration = replica.configuration
    for member in configuration.voters + configuration.learners:
        voter = configuration.has_voter(member.name)
        role = "voter" if voter else "learner"
        if member.name == replica.leader:
            role = Role.LEADER.value
        progress = replica.peers.get(member.name)
        index = progress.match_index if progress else replica.log.last_index
        statuses.append(calls.MemberStatus(member.name, member.identity, role, index))
    known = {(status.name, status.identity) for status in statuses}
    for member, _ in replica.waiting_members.values():
        if (member.name, member.identity) not in known:
            statuses.append(
                calls.MemberStatus(member.name, member.identity, "waiting", 0)
            )
    return tuple(statuses)


def list_contracts(
    state: ControlState, customer: str, hosts: Iterable[HostRow]
) -> calls.ContractList:
    """Return contracts with the revisions that the live hosts have applied."""
    rows = tuple(
        row for name, row in sorted(state.contracts.items()) if customer in ("", name)
    )
    return calls.ContractList(rows, tuple(host.revision for host in hosts))
