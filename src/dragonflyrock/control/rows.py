"""The tables of the control state, and the journal of their changes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from ..models import (
    ContractRow,
    EvacuationRow,
    HostRecord,
    QuarantineRow,
    RangeRow,
    ServerRow,
    ServiceWarmup,
)
from ..routes import RoutedService, RouteStore
from ..tables import ChangedRow, ChangeJournal, RangeTable

__all__ = ["Rows", "WarmupReader"]


# Ended lives whose late heartbeats are told from those of a new one.
MAX_ENDED_LIVES: Final = 10_000

WarmupReader = Callable[[RoutedService], ServiceWarmup | None]


class Rows:
    """All tables of the control state; ``revision`` is the last command's index.

    ``read_warmup`` reads from a service's source what its cold servers stand.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.revision = 0
        self.ranges = RangeTable()
        self.hosts: dict[str, HostRecord] = {}
        self.servers: dict[str, ServerRow] = {}
        self.contracts: dict[str, ContractRow] = {}
        self.quarantines: dict[str, QuarantineRow] = {}
        self.evacuations: dict[str, EvacuationRow] = {}
        self.route_store = RouteStore()
        self.read_warmup: WarmupReader = lambda service: None
        self._warmups: dict[str, ServiceWarmup] = {}
        self._warmups_source: tuple[RoutedService, ...] = ()
        self.journal = ChangeJournal()
        # Follows from the log, and is not in snapshots, which former builds must read.
        self._ended_lives: dict[str, int] = {}

    def record_ended_life(self, server: ServerRow) -> None:
        """Record that a life of a server has announced its end and was dropped."""
        if not server.incarnation:
            return
        self._ended_lives.pop(server.name, None)
        self._ended_lives[server.name] = server.incarnation
        if len(self._ended_lives) > MAX_ENDED_LIVES:
            del self._ended_lives[next(iter(self._ended_lives))]

    def find_ended_life(self, name: str) -> int:
        """Return the incarnation of a server's life that has ended, or 0."""
        return self._ended_lives.get(name, 0)

    def record(self, row: ChangedRow) -> None:
        """Record that a row has changed at this revision."""
        self.journal.record(self.revision, row)

    def put_range(self, row: RangeRow) -> None:
        """Store a range row at this revision."""
        self.ranges.put(row._replace(revision=self.revision))
        self.record(ChangedRow("ranges", row.ref))

    def put_server(self, server: ServerRow) -> None:
        """Store a server row at this revision."""
        self.servers[server.name] = server._replace(revision=self.revision)
        self.record(ChangedRow("servers", server.name))

    def find_holder(self, holder: str) -> ServerRow | None:
        """Return the server whose current incarnation is the holder."""
        server = self.servers.get(holder.rpartition("@")[0])
        return server if server is not None and server.holder == holder else None

    def find_warmup(self, service: str) -> ServiceWarmup | None:
        """Return what cold servers of a service stand; None if it is not limited."""
        services = self.route_store.document.services
        if services is not self._warmups_source:
            found = (self.read_warmup(each) for each in services)
            self._warmups = {each.service: each for each in found if each is not None}
            self._warmups_source = services
        return self._warmups.get(service)

    def list_evacuated_zones(self) -> tuple[str, ...]:
        """Return the names of the evacuated zones, sorted."""
        rows = self.evacuations.values()
        return tuple(sorted(row.zone for row in rows if row.evacuated))

    def is_evacuated(self, zone: str) -> bool:
        """Return whether a zone is evacuated."""
        row = self.evacuations.get(zone)
        return row is not None and row.evacuated
