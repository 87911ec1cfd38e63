"""Entry hosts that get their rows from a member in their own availability zone."""

from __future__ import annotations

from typing import Final
from zlib import crc32

from ..transport.messages import (
    HostRenew,
    HostsNear,
    HostUpdate,
    ServerSpeed,
)
from .sent_rows import RowSender
from .state import ControlState

__all__ = ["NearHosts"]

REPORT_SECONDS: Final = 0.3
# A member whose reports were not confirmed for so long may be cut off from changes.
# Shorter than an election, all hosts would ask elsewhere at each one.
FRESH_SECONDS: Final = 0.9
# A host that has not renewed for so long gets its rows elsewhere.
HOST_MEMORY_SECONDS: Final = 3.0
# The list of hosts only divides shared limits; see ``hosts.LIST_SECONDS``.
LIST_SECONDS: Final = 0.5


class NearHosts:
    """The hosts that one follower serves, and what the leader is to know of them.

    The rows are those that the follower has applied, so each change crosses the
    zones once, as an entry of the log.
    """

    def __init__(self, zone: str, state: ControlState, lease_ms: int) -> None:
        """Start without hosts."""
        self._zone = zone
        self._state = state
        self._lease_ms = lease_ms
        self._rows = RowSender(state)
        self._hosts: dict[str, tuple[HostRenew, float]] = {}
        self._unreported: dict[str, None] = {}
        self._left: dict[str, None] = {}
        self._loads: dict[str, dict[int, int]] = {}
        self._speeds: dict[str, tuple[int, float]] = {}
        self._ended: dict[str, None] = {}
        self._reported_at = float("-inf")
        self._listed_at = float("-inf")
        self._names: tuple[str, ...] = ()
        self._version = 0

    # Hosts

    def renew(
        self, renew: HostRenew, term: int, leader: str, applied: int, now: float
    ) -> HostUpdate:
        """Answer a host's renewal with the rows that it lacks."""
        holder = renew.host.holder
        self._note_work(renew)
        if renew.leaving:
            self._forget(holder)
            self._left[holder] = None
        else:
            self._hosts[holder] = (renew, now)
            self._unreported[holder] = None
            self._rows.note_renewal(renew)
        lease_ms = self._lease_ms if holder in self._state.hosts else 0
        self._list_names(now)
        return self._update(renew, renew.sent_at, lease_ms, term, leader, applied)

    def push(
        self, term: int, leader: str, applied: int, now: float
    ) -> list[tuple[str, HostUpdate]]:
        """Return what the hosts lack, with their names."""
        self._list_names(now)
        pushed: list[tuple[str, HostUpdate]] = []
        for holder, (renew, heard_at) in list(self._hosts.items()):
            if now - heard_at > HOST_MEMORY_SECONDS:
                self._forget(holder)
            elif self._rows.is_behind(holder, renew.revision):
                update = self._update(renew, 0.0, 0, term, leader, applied)
                pushed.append((renew.host.name, update))
        return pushed

    def release(self) -> list[str]:
        """Forget all hosts and return their names: they must ask elsewhere."""
        names = [renew.host.name for renew, _ in self._hosts.values()]
        for holder in list(self._hosts):
            self._forget(holder)
        return names

    def _forget(self, holder: str) -> None:
        """Forget a host."""
        self._hosts.pop(holder, None)
        self._unreported.pop(holder, None)
        self._rows.forget(holder)

    def _update(
        self,
        renew: HostRenew,
        sent_at: float,
        lease_ms: int,
        term: int,
        leader: str,
        applied: int,
    ) -> HostUpdate:
        """Return an update with what a host lacks and was not sent yet."""
        holder = renew.host.holder
        delta = self._rows.take(
            holder, renew.revision, renew.sent_at, applied, asked=bool(sent_at)
        )
        version = self._version
        hosts = None if renew.hosts_version == version else self._names
        return HostUpdate(term, leader, sent_at, lease_ms, delta, version, hosts)

    def _list_names(self, now: float) -> None:
        """Keep the names of the committed hosts, and a version that tells them."""
        if now - self._listed_at < LIST_SECONDS:
            return
        self._listed_at = now
        names = tuple(sorted({host.name for host in self._state.hosts.values()}))
        if names != self._names:
            self._names = names
            self._version = -crc32("\n".join(names).encode()) - 1

    # The leader

    def _note_work(self, renew: HostRenew) -> None:
        """Add what a renewal tells of keys and servers to the next report."""
        for load in renew.loads:
            keys = self._loads.setdefault(load.service, {})
            keys[load.low] = keys.get(load.low, 0) + load.requests
        for speed in renew.speeds:
            count, busy = self._speeds.get(speed.name, (0, 0.0))
            self._speeds[speed.name] = (count + speed.requests, busy + speed.busy_ms)
        self._ended.update(dict.fromkeys(renew.ended_servers))

    def take_report(self, now: float) -> HostsNear | None:
        """Return what the leader is to know, when it is due.

        It is due without hosts too, since it tells that this member can serve some.
        """
        if now - self._reported_at < REPORT_SECONDS:
            return None
        self._reported_at = now
        renewals = [self._hosts[holder][0] for holder in self._unreported]
        committed = self._state.hosts
        report = HostsNear(
            self._zone,
            tuple(r.host for r in renewals if r.host.holder not in committed),
            tuple((r.host.holder, r.revision) for r in renewals),
            tuple(self._left),
            self._loads,
            tuple(ServerSpeed(n, c, round(b)) for n, (c, b) in self._speeds.items()),
            tuple(self._ended),
        )
        self._unreported, self._left, self._ended = {}, {}, {}
        self._loads, self._speeds = {}, {}
        return report
