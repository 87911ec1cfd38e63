"""What servers said that they take, as hosts reported it to the leader."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from ..const import NEVER
from ..systems.spreading import Owner
from ..transport.messages import ServerNeed

__all__ = ["ServerNeedFilter", "ServerNeedTable"]

# A limit counts for this time after it was last heard of. Hosts report it more often.
LIMIT_KEPT_SECONDS: Final = 12.0
# Pauses of this time count, from the second one on.
PAUSE_WINDOW_SECONDS: Final = 20.0
MIN_PAUSE_COUNT: Final = 2
# A server that is paused most of the time keeps this share of its capacity.
MIN_CAPACITY_SHARE: Final = 0.1
MIN_CAPACITY_PER_SECOND: Final = 0.25
# A need that has not changed is passed on again after this time.
REPEAT_SECONDS: Final = 2.0


@dataclass(slots=True)
class _NeedRow:
    """The limit of one incarnation, and its pauses as (start, end), in seconds."""

    holder: str
    per_second: float = 0.0
    limited_at: float = NEVER
    pauses: list[tuple[float, float]] = field(default_factory=list)

    def get_limit(self, now: float) -> float | None:
        """Return the limit in force, or None."""
        kept = now - self.limited_at < LIMIT_KEPT_SECONDS
        return self.per_second if kept else None

    def add_pause(self, start: float, end: float) -> bool:
        """Add a pause, and return whether it does not overlap the last one.

        Hosts are asked for pauses one by one, at about the same time.
        """
        if self.pauses and start <= self.pauses[-1][1]:
            first, last = self.pauses[-1]
            self.pauses[-1] = (min(first, start), max(last, end))
            return False
        self.pauses.append((start, end))
        return True

    def compute_open_share(self, now: float) -> float:
        """Return the share of the window in which the server was not paused."""
        since = now - PAUSE_WINDOW_SECONDS
        self.pauses = [pause for pause in self.pauses if pause[1] > since]
        if len(self.pauses) < MIN_PAUSE_COUNT:
            return 1.0
        paused = sum(min(end, now) - max(start, since) for start, end in self.pauses)
        return max(MIN_CAPACITY_SHARE, 1 - paused / PAUSE_WINDOW_SECONDS)


class ServerNeedTable:
    """The needs of servers by name; a row binds one incarnation only."""

    def __init__(self) -> None:
        """Start without needs."""
        self._rows: dict[str, _NeedRow] = {}

    def record(self, need: ServerNeed, now: float) -> bool:
        """Record a host's report, and return whether it tells something new.

        An older report does not replace a newer one.
        """
        name = need.holder.rpartition("@")[0]
        row = self._rows.get(name)
        if row is None or row.holder != need.holder:
            row = self._rows[name] = _NeedRow(need.holder)
        said_at = now - need.age
        is_new = False
        if need.per_second is not None and said_at > row.limited_at:
            is_new = need.per_second != row.get_limit(now)
            row.per_second, row.limited_at = need.per_second, said_at
        if need.paused_seconds:
            is_new |= row.add_pause(said_at, said_at + need.paused_seconds)
        return is_new

    def adjust(
        self, owners: list[Owner], rates: Mapping[str, float], now: float
    ) -> list[Owner]:
        """Return owners with the capacity that their servers said they have.

        ``rates`` has the requests a second for each server's keys. If all servers are
        in need, no other could take their keys, and none changes.
        """
        adjusted = [
            self._adjust_owner(owner, rates.get(owner.name, 0.0), now)
            for owner in owners
        ]
        pairs = zip(owners, adjusted, strict=True)
        if all(after.capacity < before.capacity for before, after in pairs):
            return owners
        return adjusted

    def _adjust_owner(self, owner: Owner, rate: float, now: float) -> Owner:
        """Return one owner with the capacity that its server said it has.

        A server that pauses again and again cannot run what it is sent, whatever its
        speed; it has room for less than that.
        """
        row = self._rows.get(owner.name)
        if row is None:
            return owner
        capacity = owner.capacity
        open_share = row.compute_open_share(now)
        if open_share < 1:
            capacity = min(capacity, max(rate, MIN_CAPACITY_PER_SECOND)) * open_share
        limit = row.get_limit(now)
        if limit is not None:
            capacity = min(capacity, max(limit, MIN_CAPACITY_PER_SECOND))
        return owner._replace(capacity=capacity)

    @property
    def is_empty(self) -> bool:
        """Return whether no server is in need."""
        return not self._rows

    def retain(self, holders: Collection[str]) -> None:
        """Forget the servers that are not among ``holders``."""
        for name, row in list(self._rows.items()):
            if row.holder not in holders:
                del self._rows[name]


class ServerNeedFilter:
    """Passes on what hosts report, once for many hosts that report the same."""

    def __init__(self) -> None:
        """Start with nothing passed on."""
        self._passed: dict[str, tuple[float | None, float, float]] = {}

    def select(self, needs: Iterable[ServerNeed], now: float) -> tuple[ServerNeed, ...]:
        """Return the needs that have changed, or were not passed on lately."""
        selected: list[ServerNeed] = []
        for need in needs:
            paused_until = now - need.age + need.paused_seconds
            if not need.paused_seconds:
                paused_until = NEVER
            known = self._passed.get(need.holder)
            if known is not None:
                per_second, until, passed_at = known
                is_same = need.per_second == per_second and paused_until <= until + 0.5
                if is_same and now - passed_at < REPEAT_SECONDS:
                    continue
            self._passed[need.holder] = (need.per_second, paused_until, now)
            selected.append(need)
        return tuple(selected)

    def retain(self, holders: Collection[str]) -> None:
        """Forget the servers that are not among ``holders``."""
        for holder in self._passed.keys() - set(holders):
            del self._passed[holder]
