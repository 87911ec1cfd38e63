"""The tables and statistics by which an entry host routes requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Iterable
from typing import Final

from ..const import NEVER
from ..entry.server_rates import ServerRateAgent
from ..entry.tables import EntryTables
from ..models import RangeRef, ServerRow
from ..tables import (
    ColdNotice,
    ColdTable,
    LeavingRow,
    LeavingTable,
    NamedLimitRow,
    PauseRow,
    PauseTable,
)
from ..transport.messages import HostUpdate, RangeLoad, ServerNeed, ServerSpeed
from .budget import BudgetPolicy, ServiceRetryBudget
from .server_stats import ServerStat, ServiceStat
from .shared_loads import SharedLoads

__all__ = ["RouterState"]

DEFAULT_PROCESSING_SECONDS: Final = 0.1
# Initial estimate of the processing time, as a share of the target latency:
# operators set the target to a few times the processing time.
DEFAULT_PROCESSING_SHARE: Final = 0.3
MAX_REPORTED_KEY_COUNT: Final = 96
MAX_REPORTED_NEED_COUNT: Final = 64
MIN_HOST_COUNT: Final = 8
# Share of the connections that a server accepts which all hosts together keep idle. The
# rest is left for new ones of hosts that have more to send than others.
IDLE_CONNECTION_SHARE: Final = 0.75
# A server is reported once it has so many samples, or some after this time: one of many
# hosts of a large fleet sends a server hardly more than one request in ten seconds.
MIN_SPEED_SAMPLE_COUNT: Final = 3
SPEED_REPORT_SECONDS: Final = 1.5
# Half of the time after which no request may reach a server of an evacuated zone.
DEFAULT_EVACUATION_GRACE_SECONDS: Final = 2.5


ZoneCallback = Callable[[Collection[str], Collection[str]], None]


class RouterState:
    """Tables from the leader, and statistics; used by the event loop's thread only.

    ``by_service`` lists the servers of a service that do not leave, and whose zone is
    not evacuated. ``changed`` is
    set, and replaced by a new event, whenever rows change. ``longest_deadlines`` has
    the longest time left in seconds with which callers sent requests, by route.
    ``tokens_changed`` does the same for tokens of servers that named a limit.
    ``on_leaving`` is called when this host learns that a server leaves, ``on_zones``
    with the zones that were evacuated and those that were taken back.
    """

    def __init__(self, policy: BudgetPolicy, clock: Callable[[], float]) -> None:
        """Create a state without rows; ``clock`` returns seconds."""
        self.tables = EntryTables()
        self.stats: dict[str, ServerStat] = {}
        self.by_service: dict[str, list[ServerStat]] = {}
        self.changed = asyncio.Event()
        self._services: dict[str, ServiceStat] = {}
        self._budgets: dict[str, ServiceRetryBudget] = {}
        self._policy = policy
        self._clock = clock
        self._key_loads: dict[tuple[str, int], int] = {}
        self._speeds: dict[str, tuple[int, float]] = {}
        self._speeds_reported_at = clock()
        self._ended: set[str] = set()
        self.longest_deadlines: dict[str, float] = {}
        self.shared_loads = SharedLoads()
        self.leaving = LeavingTable()
        self.pauses = PauseTable()
        self._new_pauses: dict[str, tuple[float, float]] = {}
        self._answered_version = 0
        self.rates = ServerRateAgent("", self.tables, clock)
        self.tokens_changed = asyncio.Event()
        self.cold = ColdTable()
        self._has_rows = False
        self.evacuation_grace = DEFAULT_EVACUATION_GRACE_SECONDS
        self.on_leaving: Callable[[LeavingRow], None] = lambda row: None
        self.on_zones: ZoneCallback = lambda evacuated, returned: None

    def apply(self, update: HostUpdate) -> bool:
        """Apply an update from the leader; return whether rows changed."""
        zones = set(self.tables.evacuated_zones)
        changed = self.tables.apply(update, update.lease_ms / 1000, self._clock())
        if changed:
            self._forget_absent()
            returned = zones - self.tables.evacuated_zones.keys()
            evacuated = self.tables.evacuated_zones.keys() - zones
            if returned or evacuated:
                self.on_zones(evacuated, returned)
            self._assume_cold(returned)
            self._index_servers()
            self.changed.set()
            self.changed = asyncio.Event()
        return changed

    def _assume_cold(self, returned_zones: Collection[str]) -> None:
        """Take new servers and those of zones that were taken back for cold.

        That holds until they say otherwise. Servers in the first rows of this host may
        have run for long.
        """
        is_first, self._has_rows = not self._has_rows, True
        if is_first or not self.tables.warmups:
            return
        for name, row in self.tables.servers.items():
            warmup = self.tables.warmups.get(row.service)
            stat = self.stats.get(name)
            is_new = stat is None or stat.row.holder != row.holder
            if warmup and (is_new or row.zone in returned_zones):
                if is_new and self.cold.is_known(name):
                    continue
                self.cold.assume(name, warmup.seconds, self._clock())
        self.update_cold_limits()

    def record_cold(self, notices: Iterable[ColdNotice]) -> None:
        """Record what servers said of being cold, here or to others."""
        now = self._clock()
        for notice in notices:
            self.cold.record(notice, now)
        self.update_cold_limits()

    def update_cold_limits(self) -> None:
        """Give cold servers the limit of their service, and take it from warm ones."""
        warmups, servers = self.tables.warmups, self.tables.servers
        if not warmups:
            return
        now = self._clock()
        limits: list[NamedLimitRow] = []
        for name in self.cold.list_cold(now):
            row = servers.get(name)
            warmup = warmups.get(row.service) if row is not None else None
            if row is not None and warmup is not None:
                limits.append(NamedLimitRow(row.holder, warmup.per_second, now))
        self.rates.set_cold(limits)

    def record_answered_version(self, version: int) -> None:
        """Record the document version by which another host answered a caller here."""
        self._answered_version = max(self._answered_version, version)

    @property
    def required_version(self) -> int:
        """Return the oldest document version by which a request may be answered.

        A caller of this host was answered by that version, or by an older one.
        """
        return max(self.tables.document_version, self._answered_version)

    @property
    def is_document_outdated(self) -> bool:
        """Return whether the rows here are older than the required version."""
        return self.tables.document_version < self._answered_version

    @property
    def rows_age(self) -> float:
        """Return for how many seconds no control node has confirmed the rows."""
        return self._clock() - self.tables.confirmed_at

    def share_limits(self, rates: ServerRateAgent) -> None:
        """Divide the limits of servers with other hosts."""
        self.rates = rates
        rates.on_change = self._notify_tokens

    def _notify_tokens(self) -> None:
        """Wake the requests that wait for tokens."""
        self.tokens_changed.set()
        self.tokens_changed = asyncio.Event()

    def _forget_absent(self) -> None:
        """Forget what was recorded of routes and services that are gone."""
        routes, services = self.tables.routes, self.tables.routed_services
        for name in [name for name in self.longest_deadlines if name not in routes]:
            del self.longest_deadlines[name]
        for by_service in (self._services, self._budgets):
            for name in by_service.keys() - services.keys():
                del by_service[name]

    def _index_servers(self) -> None:
        """Add and remove statistics so that they match the server rows."""
        rows = self.tables.servers
        for name in [name for name in self.stats if name not in rows]:
            del self.stats[name]
        self.leaving.retain(rows, self._clock())
        self.by_service = {}
        for name, row in rows.items():
            stat = self.stats.get(name)
            if stat is None or stat.row.holder != row.holder:
                known_since = NEVER if stat is None else self._clock()
                stat = ServerStat(row, slots=max(1, row.slots), known_since=known_since)
                self.stats[name] = stat
            stat.row = row
            leaving = self.leaving.apply_row(row, self.tables.changed_at)
            if leaving is not None:
                self.on_leaving(leaving)
            if row.zone in self.tables.evacuated_zones:
                continue
            if self.leaving.find(row) is None:
                self.by_service.setdefault(row.service, []).append(stat)

    def is_past_evacuation(
        self, server: ServerRow, now: float, *, keyed: bool = True
    ) -> bool:
        """Return whether a server's zone is evacuated and it gets no request any more.

        Only the owner can run requests of its keys, until they have moved, so it gets
        them for a while.
        """
        since = self.tables.evacuated_zones.get(server.zone)
        if since is None:
            return False
        return not keyed or now - since > self.evacuation_grace

    def mark_leaving(self, stat: ServerStat) -> None:
        """Send a server no more new work, since it said that it leaves."""
        row = self.leaving.record_response(stat.row, self._clock())
        if row is None:
            return
        service = stat.row.service
        self.by_service[service] = [
            other
            for other in self.by_service.get(service, [])
            if other.row.holder != row.holder
        ]
        self.on_leaving(row)

    def list_leaving_servers(self) -> tuple[str, ...]:
        """Return holders that said that they leave, which the rows do not show yet."""
        return self.leaving.list_unconfirmed(self.tables.servers)

    def report_pause(self, row: PauseRow, seconds: float) -> None:
        """Report a new pause of a server with the next renewal."""
        self._new_pauses[row.holder] = (self._clock(), seconds)

    def pop_server_needs(self) -> tuple[ServerNeed, ...]:
        """Return the limits and pauses of servers that are due to be reported."""
        now = self._clock()
        pauses, self._new_pauses = self._new_pauses, {}
        needs = [
            ServerNeed(holder, None, seconds, now - since)
            for holder, (since, seconds) in pauses.items()
        ]
        for row in self.rates.pop_due_reports(now):
            needs.append(ServerNeed(row.holder, row.per_second, 0.0, now - row.said_at))
        return tuple(needs[:MAX_REPORTED_NEED_COUNT])

    def find_draining_ranges(self) -> tuple[RangeRef, ...]:
        """Return no ranges: here the servers themselves check who owns a key."""
        return ()

    def find_owner(self, service: str, key_hash: int) -> ServerRow | None:
        """Return the server that owns a key by this host's rows, or None."""
        row = self.tables.ranges.find(service, key_hash)
        if row is None or not row.owner:
            return None
        return self.tables.servers.get(row.owner.rpartition("@")[0])

    def get_service_stat(self, name: str) -> ServiceStat:
        """Return the statistics of a service; create them if there are none."""
        stat = self._services.get(name)
        if stat is None:
            stat = self._services[name] = ServiceStat(DEFAULT_PROCESSING_SECONDS)
        return stat

    def add_service_stat(self, name: str, target: float) -> None:
        """Create the statistics of a service, with its target latency in seconds.

        The target gives the first estimate of the processing time.
        """
        if name not in self._services:
            self._services[name] = ServiceStat(target * DEFAULT_PROCESSING_SHARE)

    def get_budget(self, name: str) -> ServiceRetryBudget:
        """Return the retry budget of a service."""
        budget = self._budgets.get(name)
        if budget is None:
            budget = self._budgets[name] = ServiceRetryBudget(self._policy)
        return budget

    @property
    def host_count(self) -> int:
        """Return the number of hosts among which shared limits are divided."""
        return max(len(self.tables.hosts), MIN_HOST_COUNT)

    def get_idle_limit(self, service: str) -> int | None:
        """Return how many idle connections to a server of a service this host keeps.

        Return None if the service names no number of connections.
        """
        routed = self.tables.routed_services.get(service)
        if routed is None or routed.max_connections <= 0:
            return None
        shared = routed.max_connections * IDLE_CONNECTION_SHARE
        return max(1, int(shared / self.host_count))

    def count_key_request(self, service: str, key_hash: int) -> None:
        """Count a request for a key."""
        key = (service, key_hash)
        self._key_loads[key] = self._key_loads.get(key, 0) + 1

    def mark_ended(self, stat: ServerStat) -> None:
        """Mark a server as ended, as another server answers at its address."""
        stat.ended = True
        self._ended.add(stat.row.life)

    def pop_ended_servers(self) -> tuple[str, ...]:
        """Return the servers marked as ended since the last call.

        They are holders where the life is known, else names.
        """
        ended, self._ended = self._ended, set()
        return tuple(sorted(ended))

    def record_processing_time(self, name: str, elapsed: float) -> None:
        """Record a request that a server ran, with its processing time in seconds."""
        count, busy = self._speeds.get(name, (0, 0.0))
        self._speeds[name] = (count + 1, busy + elapsed)

    def pop_speeds(self) -> tuple[ServerSpeed, ...]:
        """Return and remove the speeds of servers whose samples are due."""
        now = self._clock()
        is_due = now - self._speeds_reported_at >= SPEED_REPORT_SECONDS
        if is_due:
            self._speeds_reported_at = now
        speeds = tuple(
            ServerSpeed(name, count, round(busy * 1000))
            for name, (count, busy) in self._speeds.items()
            if is_due or count >= MIN_SPEED_SAMPLE_COUNT
        )
        for speed in speeds:
            del self._speeds[speed.name]
        return speeds

    def pop_loads(self) -> tuple[RangeLoad, ...]:
        """Return the request counts of the busiest keys since the last call."""
        loads = sorted(self._key_loads.items(), key=lambda load: -load[1])
        self._key_loads = {}
        return tuple(
            RangeLoad(service, key_hash, count, 0)
            for (service, key_hash), count in loads[:MAX_REPORTED_KEY_COUNT]
        )
