"""Servers that asked this host to send them nothing for some seconds."""

from __future__ import annotations

from typing import Final, NamedTuple

from ..models import ServerRow

__all__ = ["PauseRow", "PauseTable"]

# Share of a pause over which hosts return after it, and its longest time.
SPREAD_SHARE: Final = 0.5
MAX_SPREAD_SECONDS: Final = 1.0
# After a pause, one more request may be in flight for each step, until the ramp ends.
RAMP_STEP_SECONDS: Final = 0.25
RAMP_SECONDS: Final = 1.0


class PauseRow(NamedTuple):
    """A pause of one incarnation; times in seconds of the host's clock."""

    holder: str
    until: float


class PauseTable:
    """The pauses of servers, by name; a row binds one incarnation only."""

    def __init__(self) -> None:
        """Start without pauses."""
        self._rows: dict[str, PauseRow] = {}

    def record(
        self, server: ServerRow, seconds: float, now: float, host_fraction: float = 0.0
    ) -> PauseRow:
        """Pause a server; a pause that ends later already is not shortened.

        The pause is longer by a share that depends on ``host_fraction``, which is from
        0 to 1 and differs by host, so that hosts do not return at the same moment.
        """
        known = self._rows.get(server.name)
        spread = min(SPREAD_SHARE * seconds, MAX_SPREAD_SECONDS)
        until = now + seconds + spread * host_fraction
        if known is not None and known.holder == server.holder:
            until = max(until, known.until)
        row = PauseRow(server.holder, until)
        self._rows[server.name] = row
        return row

    def get_seconds_left(self, server: ServerRow, now: float) -> float:
        """Return the time left of a server's pause, 0 if it is not paused."""
        row = self._find(server)
        return max(0.0, row.until - now) if row is not None else 0.0

    def get_ramp_limit(self, server: ServerRow, now: float) -> int | None:
        """Return how many requests may be in flight to a server after its pause.

        Return None if there is no such limit.
        """
        row = self._find(server)
        if row is None:
            return None
        since_end = now - row.until
        if since_end < 0:
            return 0
        if since_end >= RAMP_SECONDS:
            return None
        return 1 + int(since_end / RAMP_STEP_SECONDS)

    def count(self, now: float) -> int:
        """Return the number of paused servers."""
        return sum(1 for row in self._rows.values() if row.until > now)

    def pop_ended(self, now: float) -> list[str]:
        """Forget pauses whose ramp has ended, and return their holders.

        A pause outlasts the loss of the server's row, which may come back.
        """
        ended = [row for row in self._rows.values() if now - row.until >= RAMP_SECONDS]
        for row in ended:
            del self._rows[row.holder.rpartition("@")[0]]
        return [row.holder for row in ended]

    def _find(self, server: ServerRow) -> PauseRow | None:
        """Return the row of this incarnation of a server, or None."""
        row = self._rows.get(server.name)
        return row if row is not None and row.holder == server.holder else None
