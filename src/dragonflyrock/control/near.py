"""Entry hosts that get their rows from a member in their own availability zone."""

from __future__ import annotations

from typing import Final
from zlib import crc32

from ..const import HOST_LIST_INTERVAL_SECONDS
from ..transport.messages import (
    HostRenew,
    HostsNear,
    HostUpdate,
    ServerSpeed,
)
from .sent_rows import SentRowTracker
from .state import ControlState

__all__ = ["NearHosts"]

REPORT_INTERVAL_SECONDS: Final = 0.3
# Speeds are summed up for longer: they change slowly, and a report names each server.
SPEED_REPORT_SECONDS: Final = 1.0
# A member whose reports were not confirmed for this time may miss changes. A time
# shorter than an election would send all hosts to other members at each election.
LEADER_TIMEOUT_SECONDS: Final = 0.9
# A host that has not renewed for this time gets its rows from another member.
HOST_TIMEOUT_SECONDS: Final = 3.0


class NearHosts:
    """The hosts to which one follower sends rows, and its reports to the leader.

    The follower sends the rows that it has applied itself, so each change crosses
    between availability zones once, as an entry of the log.
    """

    def __init__(self, zone: str, state: ControlState, lease_ms: int) -> None:
        """Start without hosts; ``lease_ms`` is the lease that hosts get."""
        self._zone = zone
        self._state = state
        self._lease_ms = lease_ms
        self._sent_rows = SentRowTracker(state)
        self._hosts: dict[str, tuple[HostRenew, float]] = {}
        self._unreported: dict[str, None] = {}
        self._stopped_hosts: dict[str, None] = {}
        self._loads: dict[str, dict[int, int]] = {}
        self._speeds: dict[str, tuple[int, float]] = {}
        self._ended_servers: dict[str, None] = {}
        self._reported_at = float("-inf")
        self._speeds_reported_at = float("-inf")
        self._listed_at = float("-inf")
        self._host_names: tuple[str, ...] = ()
        self._list_version = 0

    def renew(
        self, renewal: HostRenew, term: int, leader: str, applied: int, now: float
    ) -> HostUpdate:
        """Answer a host's renewal with the changed rows."""
        holder = renewal.host.holder
        self._add_loads(renewal)
        if renewal.leaving:
            self._remove_host(holder)
            self._stopped_hosts[holder] = None
        else:
            self._hosts[holder] = (renewal, now)
            self._unreported[holder] = None
            self._sent_rows.record_renewal(renewal)
        lease_ms = self._lease_ms if holder in self._state.hosts else 0
        self._list_hosts(now)
        return self._make_update(
            renewal, renewal.sent_at, lease_ms, term, leader, applied
        )

    def push(
        self, term: int, leader: str, applied: int, now: float
    ) -> list[tuple[str, HostUpdate]]:
        """Return the updates for hosts that lack rows, with the hosts' names."""
        self._list_hosts(now)
        pushed: list[tuple[str, HostUpdate]] = []
        for holder, (renewal, received_at) in list(self._hosts.items()):
            if now - received_at > HOST_TIMEOUT_SECONDS:
                self._remove_host(holder)
            elif self._sent_rows.is_behind(holder, renewal.revision):
                update = self._make_update(renewal, 0.0, 0, term, leader, applied)
                pushed.append((renewal.host.name, update))
        return pushed

    def release_hosts(self) -> list[str]:
        """Remove all hosts and return their names; they must renew elsewhere."""
        names = [renewal.host.name for renewal, _ in self._hosts.values()]
        for holder in list(self._hosts):
            self._remove_host(holder)
        return names

    def _remove_host(self, holder: str) -> None:
        """Remove a host."""
        self._hosts.pop(holder, None)
        self._unreported.pop(holder, None)
        self._sent_rows.remove_host(holder)

    def _make_update(
        self,
        renewal: HostRenew,
        sent_at: float,
        lease_ms: int,
        term: int,
        leader: str,
        applied: int,
    ) -> HostUpdate:
        """Return an update with the changed rows that a host was not sent yet."""
        holder = renewal.host.holder
        delta = self._sent_rows.make_delta(
            holder, renewal.revision, renewal.sent_at, applied, is_answer=bool(sent_at)
        )
        version = self._list_version
        hosts = None if renewal.hosts_version == version else self._host_names
        return HostUpdate(term, leader, sent_at, lease_ms, delta, version, hosts)

    def _list_hosts(self, now: float) -> None:
        """Update the list of committed hosts and its version, a checksum of names."""
        if now - self._listed_at < HOST_LIST_INTERVAL_SECONDS:
            return
        self._listed_at = now
        names = tuple(sorted({host.name for host in self._state.hosts.values()}))
        if names != self._host_names:
            self._host_names = names
            self._list_version = -crc32("\n".join(names).encode()) - 1

    def _add_loads(self, renewal: HostRenew) -> None:
        """Add the loads and speeds of a renewal to the next report."""
        for load in renewal.loads:
            keys = self._loads.setdefault(load.service, {})
            keys[load.low] = keys.get(load.low, 0) + load.requests
        for speed in renewal.speeds:
            count, busy = self._speeds.get(speed.name, (0, 0.0))
            self._speeds[speed.name] = (count + speed.requests, busy + speed.busy_ms)
        self._ended_servers.update(dict.fromkeys(renewal.ended_servers))

    def make_report(self, now: float) -> HostsNear | None:
        """Return the next report to the leader if it is due, and start a new one.

        It is sent without hosts too, as it shows the leader that this member can serve
        hosts.
        """
        if now - self._reported_at < REPORT_INTERVAL_SECONDS:
            return None
        self._reported_at = now
        renewals = [self._hosts[holder][0] for holder in self._unreported]
        committed = self._state.hosts
        report = HostsNear(
            self._zone,
            tuple(r.host for r in renewals if r.host.holder not in committed),
            tuple((r.host.holder, r.revision) for r in renewals),
            tuple(self._stopped_hosts),
            self._loads,
            self._pop_speeds(now),
            tuple(self._ended_servers),
            now,
        )
        self._unreported, self._stopped_hosts, self._ended_servers = {}, {}, {}
        self._loads = {}
        return report

    def _pop_speeds(self, now: float) -> tuple[ServerSpeed, ...]:
        """Return and remove the speeds of servers, if they are due."""
        if now - self._speeds_reported_at < SPEED_REPORT_SECONDS:
            return ()
        self._speeds_reported_at = now
        speeds, self._speeds = self._speeds, {}
        return tuple(ServerSpeed(n, c, round(b)) for n, (c, b) in speeds.items())
