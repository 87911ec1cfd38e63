"""The tables of the control state, and the journal of their changes."""

from __future__ import annotations

from ..models import (
    ContractRow,
    HostRecord,
    QuarantineRow,
    RangeRow,
    ServerRow,
)
from ..routes import RouteStore
from ..tables import ChangedRow, ChangeJournal, RangeTable

__all__ = ["Rows"]


class Rows:
    """All tables of the control state; ``revision`` is the last command's index."""

    def __init__(self) -> None:
        """Start empty."""
        self.revision = 0
        self.ranges = RangeTable()
        self.hosts: dict[str, HostRecord] = {}
        self.servers: dict[str, ServerRow] = {}
        self.contracts: dict[str, ContractRow] = {}
        self.quarantines: dict[str, QuarantineRow] = {}
        self.route_store = RouteStore()
        self.journal = ChangeJournal()

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
