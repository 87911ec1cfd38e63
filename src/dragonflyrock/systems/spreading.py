"""Spreading keys over servers: first shares, shares of a lost one, hot parts."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Sequence
from typing import Final, NamedTuple

from ..hashing import KEY_SPACE

__all__ = [
    "KeyLoads",
    "Owner",
    "OwnedPart",
    "Piece",
    "divide_evenly",
    "plan_balance",
    "spread_part",
]

# A server is relieved when its load per slot exceeds the mean by this share.
HOT_RATIO: Final = 1.3
# Requests under way per slot below which nothing is worth a move.
BUSY_SHARE: Final = 0.55
MAX_PIECES_PER_ROUND: Final = 8
# Parts of a lost server's load that go to different servers.
SPREAD_PIECES: Final = 3


class Owner(NamedTuple):
    """A server that may own keys, with its slots."""

    name: str
    slots: float


class OwnedPart(NamedTuple):
    """A range and the name of its owner, both ends included."""

    low: int
    high: int
    owner: str


class Piece(NamedTuple):
    """A part that is to go to a server."""

    low: int
    high: int
    target: str


class KeyLoads:
    """The load of single keys, sorted, with running sums.

    >>> loads = KeyLoads({10: 2.0, 30: 1.0})
    >>> loads.between(0, 20), loads.between(10, 30)
    (2.0, 3.0)
    """

    def __init__(self, by_key: dict[int, float]) -> None:
        """Sort the keys once."""
        self.keys = sorted(by_key)
        self.sums = [0.0]
        for key in self.keys:
            self.sums.append(self.sums[-1] + by_key[key])

    @property
    def total(self) -> float:
        """Return the load of all keys."""
        return self.sums[-1]

    def between(self, low: int, high: int) -> float:
        """Return the load of a range, both ends included."""
        first = bisect_left(self.keys, low)
        last = bisect_right(self.keys, high)
        return self.sums[last] - self.sums[first]

    def cut(self, low: int, high: int, share: float, step: int) -> int:
        """Return the last key of a leading part with a share of the load.

        Without known loads the part has that share of the width. It is always
        the last of a whole key of width ``step`` and leaves something over.
        """
        first = bisect_left(self.keys, low)
        last = bisect_right(self.keys, high)
        load = self.sums[last] - self.sums[first]
        if load > 0:
            wanted = self.sums[first] + load * share
            position = bisect_left(self.sums, wanted, first + 1, last + 1)
            place = self.keys[min(position, last) - 1]
        else:
            place = low + int((high - low) * share)
        end = place // step * step + step - 1
        return max(low + step - 1, min(end, high - step))


def divide_evenly(owners: Sequence[Owner], step: int) -> list[Piece]:
    """Divide the whole key space by the owners' slots.

    >>> [p.target for p in divide_evenly([Owner("a", 1), Owner("b", 1)], 1)]
    ['a', 'b']
    """
    total = sum(owner.slots for owner in owners)
    pieces: list[Piece] = []
    low = 0
    given = 0.0
    for owner in owners:
        given += owner.slots
        end = KEY_SPACE * int(given) // int(total) // step * step - 1
        if owner is owners[-1]:
            end = KEY_SPACE - 1
        if end >= low:
            pieces.append(Piece(low, end, owner.name))
            low = end + 1
    return pieces


def _loads_per_slot(
    parts: Sequence[OwnedPart], owners: Sequence[Owner], loads: KeyLoads
) -> dict[str, float]:
    """Return each owner's load per slot; a little width counts as load too."""
    slots = {owner.name: owner.slots for owner in owners}
    found = dict.fromkeys(slots, 0.0)
    floor = max(loads.total, 1.0) * 0.05
    for part in parts:
        if part.owner in found:
            width = (part.high - part.low + 1) / KEY_SPACE
            load = loads.between(part.low, part.high) + width * floor
            found[part.owner] += load / slots[part.owner]
    return found


def spread_part(
    part: OwnedPart,
    parts: Sequence[OwnedPart],
    owners: Sequence[Owner],
    loads: KeyLoads,
    step: int,
) -> list[Piece]:
    """Return where the pieces of a part go whose owner is leaving or lost."""
    if not owners:
        return []
    per_slot = _loads_per_slot(parts, owners, loads)
    slots = {owner.name: owner.slots for owner in owners}
    total_load = loads.between(part.low, part.high)
    mean = max(loads.total, 1.0) / sum(slots.values())
    small = total_load < mean * 0.5 and part.high - part.low < KEY_SPACE // 64
    count = 1 if small else min(SPREAD_PIECES, len(owners))
    pieces: list[Piece] = []
    low = part.low
    for number in range(count, 0, -1):
        if low > part.high:
            break
        end = part.high
        if number > 1 and part.high - low + 1 > step:
            end = loads.cut(low, part.high, 1 / number, step)
        target = min(per_slot, key=lambda name: (per_slot[name], name))
        width = (end - low + 1) / KEY_SPACE
        added = loads.between(low, end) + width * max(loads.total, 1.0) * 0.05
        per_slot[target] += added / slots[target]
        pieces.append(Piece(low, end, target))
        low = end + 1
    return pieces


def plan_balance(
    parts: Sequence[OwnedPart],
    owners: Sequence[Owner],
    loads: KeyLoads,
    step: int,
    busy_per_request: float,
) -> list[Piece]:
    """Return hot parts that are to go from the busiest servers to idle ones.

    ``loads`` are requests a second and ``busy_per_request`` the seconds that one
    takes. A part is as narrow as the load that it is to carry allows.
    """
    if len(owners) < 2:
        return []
    slots = {owner.name: owner.slots for owner in owners}
    per_slot = _loads_per_slot(parts, owners, loads)
    mean = sum(per_slot[name] * slots[name] for name in slots) / sum(slots.values())
    current = list(parts)
    pieces: list[Piece] = []
    stuck: set[str] = set()
    while len(pieces) < MAX_PIECES_PER_ROUND:
        hot = max((n for n in per_slot if n not in stuck), key=per_slot.__getitem__)
        cold = min(per_slot, key=per_slot.__getitem__)
        excess = (per_slot[hot] - mean) * slots[hot]
        room = (mean - per_slot[cold]) * slots[cold]
        if per_slot[hot] < mean * HOT_RATIO:
            break
        if per_slot[hot] * busy_per_request < BUSY_SHARE:
            break
        piece = _find_piece(current, hot, min(excess, room), loads, step)
        if piece is None:
            stuck.add(hot)
            if len(stuck) == len(per_slot):
                break
            continue
        low, high = piece
        moved = loads.between(low, high)
        per_slot[hot] -= moved / slots[hot]
        per_slot[cold] += moved / slots[cold]
        current = _carve(current, low, high, cold)
        pieces.append(Piece(low, high, cold))
    return pieces


def _find_piece(
    parts: Sequence[OwnedPart], owner: str, wanted: float, loads: KeyLoads, step: int
) -> tuple[int, int] | None:
    """Return the narrowest part of an owner's keys that carries about a load."""
    best: tuple[int, int, int] | None = None
    for part in parts:
        if part.owner != owner:
            continue
        first = bisect_left(loads.keys, part.low)
        last = bisect_right(loads.keys, part.high)
        end = first
        for start in range(first, last):
            end = max(end, start + 1)
            while end < last and loads.sums[end] - loads.sums[start] < wanted * 0.8:
                end += 1
            carried = loads.sums[end] - loads.sums[start]
            if carried < wanted * 0.5:
                break
            # One key alone may carry more than is wanted; it cannot be divided.
            if carried > wanted * 1.6:
                continue
            low = loads.keys[start] // step * step
            high = loads.keys[end - 1] // step * step + step - 1
            if best is None or high - low < best[0]:
                best = (high - low, max(low, part.low), min(high, part.high))
    return None if best is None else (best[1], best[2])


def _carve(
    parts: Sequence[OwnedPart], low: int, high: int, owner: str
) -> list[OwnedPart]:
    """Return the parts after one was given to another owner."""
    result: list[OwnedPart] = []
    for part in parts:
        if part.high < low or part.low > high:
            result.append(part)
            continue
        if part.low < low:
            result.append(OwnedPart(part.low, low - 1, part.owner))
        if part.high > high:
            result.append(OwnedPart(high + 1, part.high, part.owner))
    result.append(OwnedPart(low, high, owner))
    return result
