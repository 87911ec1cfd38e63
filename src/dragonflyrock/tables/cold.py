"""Servers that said that they are cold, or that are taken for cold until they speak."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import Final, NamedTuple

from ..const import NEVER

__all__ = ["MAX_COLD_SECONDS", "ColdNotice", "ColdTable"]

# A server that says it is cold for longer is not believed.
MAX_COLD_SECONDS: Final = 120.0
# The number of an assumption: any heartbeat is newer.
ASSUMED_SEQUENCE: Final = -1
# A server may have become cold just before it is taken for cold. A notice that it is
# warm may be older than that for this long.
ASSUMPTION_SECONDS: Final = 1.0


class ColdNotice(NamedTuple):
    """What a server says in the heartbeat ``sequence``: the seconds it stays cold."""

    name: str
    sequence: int
    seconds: float


class _ColdRow(NamedTuple):
    """The latest notice of a server, or an assumption that was made at ``since``.

    Times are in seconds of this node's clock.
    """

    sequence: int
    until: float
    since: float = NEVER


class ColdTable:
    """The servers that are cold, by name.

    A notice that a server is cold counts always, since a server that starts again under
    its name numbers its heartbeats anew; one that it is warm only if it is newer.

    >>> table = ColdTable()
    >>> table.record(ColdNotice("s", 2, 3.0), 10.0), table.get_seconds_left("s", 11.0)
    (True, 2.0)
    >>> table.record(ColdNotice("s", 1, 0.0), 11.0), table.is_cold("s", 11.0)
    (False, True)
    >>> table.record(ColdNotice("s", 3, 0.0), 11.0), table.is_cold("s", 11.0)
    (True, False)
    """

    def __init__(self) -> None:
        """Start without cold servers."""
        self._rows: dict[str, _ColdRow] = {}

    def __len__(self) -> int:
        """Return the number of servers that are known, cold or warm."""
        return len(self._rows)

    def record(self, notice: ColdNotice, now: float) -> bool:
        """Record a notice; return whether it made the server cold, or warm."""
        if not 0 <= notice.seconds <= MAX_COLD_SECONDS:
            return False
        row = self._rows.get(notice.name)
        was_cold = self.is_cold(notice.name, now)
        if not notice.seconds:
            if row is None or notice.sequence <= row.sequence:
                return False
            if now - row.since < ASSUMPTION_SECONDS:
                return False
            self._rows[notice.name] = _ColdRow(notice.sequence, now)
            return was_cold
        until = now + notice.seconds
        if row is not None and notice.sequence <= row.sequence:
            until = max(until, row.until)
        self._rows[notice.name] = _ColdRow(notice.sequence, until)
        return not was_cold

    def assume(self, name: str, seconds: float, now: float) -> None:
        """Take a server for cold until it says something itself."""
        seconds_left = min(seconds, MAX_COLD_SECONDS)
        if seconds_left > self.get_seconds_left(name, now):
            self._rows[name] = _ColdRow(ASSUMED_SEQUENCE, now + seconds_left, now)

    def is_cold(self, name: str, now: float) -> bool:
        """Return whether a server is cold."""
        row = self._rows.get(name)
        return row is not None and now < row.until

    def get_seconds_left(self, name: str, now: float) -> float:
        """Return how long a server stays cold, 0 if it is warm."""
        row = self._rows.get(name)
        return 0.0 if row is None else max(0.0, row.until - now)

    def get_sequence(self, name: str) -> int:
        """Return the number of the latest notice of a server, below any if none."""
        row = self._rows.get(name)
        return row.sequence if row is not None else ASSUMED_SEQUENCE

    def list_cold(self, now: float) -> list[str]:
        """Return the names of the cold servers."""
        return [name for name, row in self._rows.items() if now < row.until]

    def is_known(self, name: str) -> bool:
        """Return whether a notice of a server was recorded and not forgotten."""
        return name in self._rows

    def list_notices(
        self, now: float, names: Iterable[str] | None = None
    ) -> tuple[ColdNotice, ...]:
        """Return the notices of some servers, or of all cold ones."""
        if names is None:
            names = self.list_cold(now)
        return tuple(
            ColdNotice(
                name, self._rows[name].sequence, self.get_seconds_left(name, now)
            )
            for name in names
            if name in self._rows and self._rows[name].sequence != ASSUMED_SEQUENCE
        )

    def count(self, now: float) -> int:
        """Return the number of cold servers."""
        return len(self.list_cold(now))

    def retain(self, names: Collection[str], now: float) -> None:
        """Forget the warm servers that are not among ``names``.

        A notice may arrive before the row of its server.
        """
        for name in self._rows.keys() - set(names):
            if now - self._rows[name].until > 0:
                del self._rows[name]
