"""What a host knows of servers that leave: from which source and since when."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from enum import StrEnum
from typing import NamedTuple

from ..const import NOTICE_KEPT_SECONDS
from ..models import ServerRow

__all__ = ["LeavingRow", "LeavingSource", "LeavingTable"]


class LeavingSource(StrEnum):
    """How a host learned that a server leaves."""

    ROW = "row"
    RESPONSE = "response"


class LeavingRow(NamedTuple):
    """A server that leaves; ``since`` is in seconds of the host's clock."""

    holder: str
    source: LeavingSource
    since: float


class LeavingTable:
    """The servers that leave, by name.

    A row binds one incarnation only. What a server has said in a response stays true
    although a row of the same incarnation, which may be older, says that it is ready.
    """

    def __init__(self) -> None:
        """Start without servers."""
        self._rows: dict[str, LeavingRow] = {}

    def find(self, server: ServerRow) -> LeavingRow | None:
        """Return the row of this incarnation of a server, or None if it stays."""
        row = self._rows.get(server.name)
        return row if row is not None and row.holder == server.holder else None

    def count(self, source: LeavingSource) -> int:
        """Return the number of servers known to leave from one source."""
        return sum(1 for row in self._rows.values() if row.source == source)

    def apply_row(self, server: ServerRow, changed_at: float) -> LeavingRow | None:
        """Take over a row of the control state; return the new row if there is one.

        ``changed_at`` is when the row came, or should have come if it is late.
        """
        known = self.find(server)
        if server.stopping:
            if known is not None:
                return None
            row = LeavingRow(server.holder, LeavingSource.ROW, changed_at)
            self._rows[server.name] = row
            return row
        if known is None or known.source == LeavingSource.ROW:
            self._rows.pop(server.name, None)
        return None

    def record_response(self, server: ServerRow, now: float) -> LeavingRow | None:
        """Record that a server said in a response that it leaves.

        Return the new row, or None if this was known.
        """
        if self.find(server) is not None:
            return None
        row = LeavingRow(server.holder, LeavingSource.RESPONSE, now)
        self._rows[server.name] = row
        return row

    def retain(self, names: Collection[str], now: float) -> None:
        """Forget servers that are not among ``names``, some time after they left."""
        for name in self._rows.keys() - set(names):
            if now - self._rows[name].since >= NOTICE_KEPT_SECONDS:
                del self._rows[name]

    def list_unconfirmed(self, servers: Mapping[str, ServerRow]) -> tuple[str, ...]:
        """Return the holders that said that they leave while their rows do not."""
        return tuple(
            row.holder
            for name, row in self._rows.items()
            if row.source == LeavingSource.RESPONSE
            and name in servers
            and servers[name].holder == row.holder
            and not servers[name].stopping
        )
