"""The rows and statistics of an entry host that routes by the route document."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from ..entry.tables import EntryTables
from ..models import RangeRef, ServerRow
from ..transport.messages import HostUpdate, RangeLoad, ServerSpeed
from .budget import BudgetPolicy, RetryBudget
from .servers import ServerStat, ServiceStat

__all__ = ["RouterState"]

FIRST_UNIT_SECONDS: Final = 0.1
# Work as a share of the target latency, until some is measured: operators set
# targets at a few times what a request takes.
FIRST_UNIT_SHARE: Final = 0.3
MAX_REPORTED_KEYS: Final = 96
FEWEST_HOSTS: Final = 8
FEWEST_SPEED_SAMPLES: Final = 3


class RouterState:
    """What requests are routed by; used by the event loop's thread only."""

    def __init__(self, policy: BudgetPolicy, clock: Callable[[], float]) -> None:
        """Start without rows."""
        self.tables = EntryTables()
        self.stats: dict[str, ServerStat] = {}
        self.by_service: dict[str, list[ServerStat]] = {}
        self.changed = asyncio.Event()
        self._services: dict[str, ServiceStat] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._policy = policy
        self._clock = clock
        self._key_loads: dict[tuple[str, int], int] = {}
        self._speeds: dict[str, tuple[int, float]] = {}
        self._ended: set[str] = set()

    # Rows

    def apply(self, update: HostUpdate) -> bool:
        """Apply an update; return whether rows changed."""
        changed = self.tables.apply(update, update.lease_ms / 1000, self._clock())
        if changed:
            self._index_servers()
            self.changed.set()
            self.changed = asyncio.Event()
        return changed

    def _index_servers(self) -> None:
        """Bring the statistics in line with the server rows."""
        rows = self.tables.servers
        for name in [name for name in self.stats if name not in rows]:
            del self.stats[name]
        self.by_service = {}
        for name, row in rows.items():
            stat = self.stats.get(name)
            if stat is None:
                stat = ServerStat(row, slots=max(1, row.slots))
                stat.stopping_since = self._clock()
                self.stats[name] = stat
            if row.stopping and not stat.row.stopping:
                stat.stopping_since = self._clock()
            stat.row = row
            if not row.stopping:
                self.by_service.setdefault(row.service, []).append(stat)

    def find_draining_ranges(self) -> tuple[RangeRef, ...]:
        """Return nothing: servers here check who owns a key themselves."""
        return ()

    def find_owner(self, service: str, key_hash: int) -> ServerRow | None:
        """Return the server that owns a key, as far as is known here."""
        row = self.tables.ranges.find(service, key_hash)
        if row is None or not row.owner:
            return None
        return self.tables.servers.get(row.owner.rpartition("@")[0])

    # Statistics

    def service(self, name: str) -> ServiceStat:
        """Return the statistics of a service."""
        stat = self._services.get(name)
        if stat is None:
            stat = self._services[name] = ServiceStat(FIRST_UNIT_SECONDS)
        return stat

    def expect_work(self, name: str, target: float) -> None:
        """Take a service's first request as a hint of how long its work takes."""
        if name not in self._services:
            self._services[name] = ServiceStat(target * FIRST_UNIT_SHARE)

    def budget(self, name: str) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self._budgets.get(name)
        if budget is None:
            budget = self._budgets[name] = RetryBudget(self._policy)
        return budget

    @property
    def host_count(self) -> int:
        """Return among how many hosts shared limits are divided."""
        return max(len(self.tables.hosts), FEWEST_HOSTS)

    def note_key(self, service: str, key_hash: int) -> None:
        """Count a request of a key."""
        key = (service, key_hash)
        self._key_loads[key] = self._key_loads.get(key, 0) + 1

    def note_ended(self, stat: ServerStat) -> None:
        """Note that another life of a server answers at its address."""
        stat.ended = True
        self._ended.add(stat.row.name)

    def pop_ended_servers(self) -> tuple[str, ...]:
        """Return the servers found to have ended since the last call."""
        ended, self._ended = self._ended, set()
        return tuple(sorted(ended))

    def note_speed(self, name: str, elapsed: float) -> None:
        """Count a request that a server ran, and how long it was at work."""
        count, busy = self._speeds.get(name, (0, 0.0))
        self._speeds[name] = (count + 1, busy + elapsed)

    def pop_speeds(self) -> tuple[ServerSpeed, ...]:
        """Return the speeds of servers of which enough is known, and forget them."""
        found = tuple(
            ServerSpeed(name, count, round(busy * 1000))
            for name, (count, busy) in self._speeds.items()
            if count >= FEWEST_SPEED_SAMPLES
        )
        for speed in found:
            del self._speeds[speed.name]
        return found

    def pop_loads(self) -> tuple[RangeLoad, ...]:
        """Return the busiest keys since the last call."""
        loads = sorted(self._key_loads.items(), key=lambda item: -item[1])
        self._key_loads = {}
        return tuple(
            RangeLoad(service, key_hash, count, 0)
            for (service, key_hash), count in loads[:MAX_REPORTED_KEYS]
        )
