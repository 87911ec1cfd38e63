"""Backlogs of servers that hosts tell one another by way of a control node.

A host of a large fleet sends a server a request only now and then, and would choose by
reports that are long outdated. Servers of services with keys have no alternative, so
their backlogs are not shared.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from ..transport.messages import ServerLoad
from .server_stats import (
    MAX_WORK_PERCENT,
    MIN_WORK_PERCENT,
    ServerStat,
    record_shared_backlog,
    record_work_factor,
)

__all__ = ["SharedLoads"]

MAX_SHARED_LOADS: Final = 256
MAX_BACKLOG: Final = 10_000


class SharedLoads:
    """The backlogs that this host has changed or heard since it last told of them."""

    def __init__(self) -> None:
        """Start with nothing to tell."""
        self._changed: dict[str, tuple[int, float, int]] = {}

    def record(self, stat: ServerStat, now: float) -> None:
        """Record the backlog of a server after a send to it or a response of it."""
        if stat.row.name in self._changed or len(self._changed) < MAX_SHARED_LOADS:
            percent = self._changed.get(stat.row.name, (0, 0.0, 0))[2]
            if stat.work_factor_at == now:
                percent = round(stat.work_factor * 100)
            self._changed[stat.row.name] = (round(stat.reported_backlog), now, percent)

    def pop(self, now: float) -> tuple[ServerLoad, ...]:
        """Return and forget the backlogs that were recorded since the last call."""
        changed, self._changed = self._changed, {}
        return tuple(
            ServerLoad(name, backlog, round((now - at) * 1000), percent)
            for name, (backlog, at, percent) in changed.items()
        )

    @staticmethod
    def apply(
        loads: tuple[ServerLoad, ...], stats: Mapping[str, ServerStat], now: float
    ) -> None:
        """Take in what other hosts have heard, unless this one has heard later.

        What they heard before this host knew of a server's life is of a former one.
        """
        for name, backlog, age_ms, percent in loads:
            stat = stats.get(name)
            if stat is not None and 0 <= backlog <= MAX_BACKLOG:
                at = now - max(age_ms, 0) / 1000
                if at < stat.known_since:
                    continue
                record_shared_backlog(stat, backlog, at)
                if MIN_WORK_PERCENT <= percent <= MAX_WORK_PERCENT:
                    record_work_factor(stat, percent / 100, at)
