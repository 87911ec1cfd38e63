"""Limits that servers named: the requests a second that they take from all hosts."""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

from ..const import NOTICE_KEPT_SECONDS
from ..models import ServerRow

__all__ = ["NamedLimitRow", "NamedLimitTable"]


class NamedLimitRow(NamedTuple):
    """The limit of one incarnation; ``said_at`` is in seconds of the host's clock."""

    holder: str
    per_second: float
    said_at: float


class NamedLimitTable:
    """The limits of servers, by name; a row binds one incarnation only."""

    def __init__(self) -> None:
        """Start without limits."""
        self._rows: dict[str, NamedLimitRow] = {}

    def find(self, server: ServerRow) -> NamedLimitRow | None:
        """Return the row of this incarnation of a server, or None without a limit."""
        row = self._rows.get(server.name)
        return row if row is not None and row.holder == server.holder else None

    def record(self, server: ServerRow, per_second: float, now: float) -> bool:
        """Record what a response named; return whether this changes the limit."""
        known = self.find(server)
        self._rows[server.name] = NamedLimitRow(server.holder, per_second, now)
        return known is None or known.per_second != per_second

    def lift(self, server: ServerRow, sent_at: float) -> bool:
        """Remove the limit, since a response names none; return whether there was one.

        ``sent_at`` is when the request of this response was sent. A response may be
        older than the one that named the limit unless it was sent after that.
        """
        row = self.find(server)
        if row is None or sent_at < row.said_at:
            return False
        del self._rows[server.name]
        return True

    def list_rows(self) -> tuple[NamedLimitRow, ...]:
        """Return the limits of all servers."""
        return tuple(self._rows.values())

    def count(self) -> int:
        """Return the number of servers with a limit."""
        return len(self._rows)

    def retain(self, names: Collection[str], now: float) -> None:
        """Forget the servers that are not among ``names`` and said nothing lately."""
        for name in self._rows.keys() - set(names):
            if now - self._rows[name].said_at >= NOTICE_KEPT_SECONDS:
                del self._rows[name]
