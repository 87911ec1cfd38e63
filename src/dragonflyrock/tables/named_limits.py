"""Limits of servers: the requests a second that they take from all hosts.

A server names its limit itself, or has one while it is cold.
"""

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
    """The limits of servers, by name; a row binds one incarnation only.

    Of a limit that a server named and that of a cold one the lower counts.
    """

    def __init__(self) -> None:
        """Start without limits."""
        self._rows: dict[str, NamedLimitRow] = {}
        self._cold_rows: dict[str, NamedLimitRow] = {}

    def find(self, server: ServerRow) -> NamedLimitRow | None:
        """Return the row of this incarnation of a server, or None without a limit."""
        named, cold = self._find_named(server), self._cold_rows.get(server.name)
        if cold is None or cold.holder != server.holder:
            return named
        return cold if named is None or cold.per_second < named.per_second else named

    def _find_named(self, server: ServerRow) -> NamedLimitRow | None:
        """Return the limit that this incarnation of a server named, or None."""
        row = self._rows.get(server.name)
        return row if row is not None and row.holder == server.holder else None

    def set_cold(self, rows: dict[str, NamedLimitRow]) -> None:
        """Replace the limits of cold servers, by name."""
        self._cold_rows = rows

    def record(self, server: ServerRow, per_second: float, now: float) -> bool:
        """Record what a response named; return whether this changes the limit."""
        known = self._find_named(server)
        self._rows[server.name] = NamedLimitRow(server.holder, per_second, now)
        return known is None or known.per_second != per_second

    def lift(self, server: ServerRow, sent_at: float) -> bool:
        """Remove the limit, since a response names none; return whether there was one.

        ``sent_at`` is when the request of this response was sent. A response may be
        older than the one that named the limit unless it was sent after that.
        """
        row = self._find_named(server)
        if row is None or sent_at < row.said_at:
            return False
        del self._rows[server.name]
        return True

    def list_named(self) -> tuple[NamedLimitRow, ...]:
        """Return the limits that servers named."""
        return tuple(self._rows.values())

    def list_rows(self) -> tuple[NamedLimitRow, ...]:
        """Return the limit that counts for each server with any."""
        rows = {row.holder: row for row in self._rows.values()}
        for cold in self._cold_rows.values():
            named = rows.get(cold.holder)
            if named is None or cold.per_second < named.per_second:
                rows[cold.holder] = cold
        return tuple(rows.values())

    def count_named(self) -> int:
        """Return the number of servers that named a limit."""
        return len(self._rows)

    @property
    def is_empty(self) -> bool:
        """Return whether no server has a limit."""
        return not self._rows and not self._cold_rows

    def retain(self, names: Collection[str], now: float) -> None:
        """Forget the servers that are not among ``names`` and said nothing lately."""
        for name in self._rows.keys() - set(names):
            if now - self._rows[name].said_at >= NOTICE_KEPT_SECONDS:
                del self._rows[name]
