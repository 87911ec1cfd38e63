"""Spreading keys over servers: first shares, shares of a lost one, hot parts."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Sequence
from math import sqrt
from typing import Final, NamedTuple

from ..hashing import KEY_SPACE

__all__ = [
    "KeyLoads",
    "Owner",
    "OwnedPart",
    "Assignment",
    "divide_by_capacity",
    "compute_utilization",
    "plan_balance",
    "reassign_part",
]

# A server is relieved when it is used more than the mean by this share of itself,
# and by so many times what chance alone makes of its requests in a few seconds.
HOT_EXCESS: Final = 0.08
CHANCE_DEVIATIONS: Final = 1.5
RATE_SECONDS: Final = 3.0
# Use of a server below which nothing is worth a move.
BUSY_SHARE: Final = 0.35
MAX_PIECES_PER_ROUND: Final = 24
# Width that one round may move, as a share of all keys, and in great need.
ROUND_WIDTH: Final = 0.03
NEEDY_WIDTH: Final = 0.12
NEEDY_USE: Final = 0.8
# Parts to look for, as shares of the load that is to go: where no part carries all
# of it, beside a key that cannot be divided, several small ones may.
PIECE_SHARES: Final = (1.0, 0.5, 0.25, 0.1)
# Requests a second below which a part is not worth the orders of a move.
FEWEST_REQUESTS: Final = 0.4
# A key that one server cannot serve goes to a server that is this much faster.
FASTER_SHARE: Final = 1.25
# Parts of a lost server's load that go to different servers.
SPREAD_PIECES: Final = 3


class Owner(NamedTuple):
    """A server that may own keys.

    ``capacity`` is in requests a second, or in slots while no speed is known.
    """

    name: str
    capacity: float


class OwnedPart(NamedTuple):
    """A range and the name of its owner, both ends included."""

    low: int
    high: int
    owner: str


class Assignment(NamedTuple):
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

    def limited(self, most: float) -> KeyLoads:
        """Return the loads with at most ``most`` for a single key.

        >>> KeyLoads({10: 2.0, 30: 9.0}).limited(3.0).total
        5.0
        """
        return KeyLoads(
            {
                key: min(self.sums[place + 1] - self.sums[place], most)
                for place, key in enumerate(self.keys)
            }
        )

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


def divide_by_capacity(owners: Sequence[Owner], step: int) -> list[Assignment]:
    """Divide the whole key space by the owners' capacity.

    >>> [p.target for p in divide_by_capacity([Owner("a", 1), Owner("b", 1)], 1)]
    ['a', 'b']
    """
    total = sum(owner.capacity for owner in owners)
    pieces: list[Assignment] = []
    low = 0
    given = 0.0
    for owner in owners:
        given += owner.capacity
        end = int(KEY_SPACE * (given / total)) // step * step - 1
        if owner is owners[-1]:
            end = KEY_SPACE - 1
        if end >= low:
            pieces.append(Assignment(low, end, owner.name))
            low = end + 1
    return pieces


def compute_utilization(
    parts: Sequence[OwnedPart], owners: Sequence[Owner], loads: KeyLoads
) -> dict[str, float]:
    """Return each owner's load by its capacity; width counts a little too."""
    capacity = {owner.name: owner.capacity for owner in owners}
    found = dict.fromkeys(capacity, 0.0)
    floor = max(loads.total, 1.0) * 0.05
    for part in parts:
        if part.owner in found:
            width = (part.high - part.low + 1) / KEY_SPACE
            load = loads.between(part.low, part.high) + width * floor
            found[part.owner] += load / capacity[part.owner]
    return found


def reassign_part(
    part: OwnedPart,
    parts: Sequence[OwnedPart],
    owners: Sequence[Owner],
    loads: KeyLoads,
    step: int,
) -> list[Assignment]:
    """Return where the pieces of a part go whose owner is leaving or lost."""
    if not owners:
        return []
    use = compute_utilization(parts, owners, loads)
    capacity = {owner.name: owner.capacity for owner in owners}
    total_load = loads.between(part.low, part.high)
    mean = max(loads.total, 1.0) / len(owners)
    small = total_load < mean * 0.5 and part.high - part.low < KEY_SPACE // 64
    count = 1 if small else min(SPREAD_PIECES, len(owners))
    pieces: list[Assignment] = []
    low = part.low
    for number in range(count, 0, -1):
        if low > part.high:
            break
        end = part.high
        if number > 1 and part.high - low + 1 > step:
            end = loads.cut(low, part.high, 1 / number, step)
        target = min(use, key=lambda name: (use[name], name))
        width = (end - low + 1) / KEY_SPACE
        added = loads.between(low, end) + width * max(loads.total, 1.0) * 0.05
        use[target] += added / capacity[target]
        pieces.append(Assignment(low, end, target))
        low = end + 1
    return pieces


def plan_balance(
    parts: Sequence[OwnedPart],
    owners: Sequence[Owner],
    loads: KeyLoads,
    step: int,
) -> list[Assignment]:
    """Return hot parts that are to go from the busiest servers to idle ones.

    ``loads`` and the owners' capacity are in requests a second. A part is as
    narrow as the load that it is to carry allows.
    """
    if len(owners) < 2:
        return []
    capacity = {owner.name: owner.capacity for owner in owners}
    # What no server can run of a key is not to be made room for elsewhere.
    loads = loads.limited(max(capacity.values()))
    use = compute_utilization(parts, owners, loads)
    mean = sum(use[name] * capacity[name] for name in use) / sum(capacity.values())
    pieces = _raise_keys(parts, capacity, use, loads, step)
    current = list(parts)
    for low, high, target in pieces:
        current = _carve(current, low, high, target)
    stuck: set[str] = set()
    width = 0.0
    while len(pieces) < MAX_PIECES_PER_ROUND and len(stuck) < len(use):
        hot = max((name for name in use if name not in stuck), key=use.__getitem__)
        cold = min(use, key=use.__getitem__)
        spread = sqrt(use[hot] / capacity[hot] / RATE_SECONDS)
        excess = max(HOT_EXCESS, CHANCE_DEVIATIONS * spread)
        if use[hot] < mean + HOT_EXCESS or use[hot] < BUSY_SHARE:
            break
        if use[hot] < mean + excess:
            stuck.add(hot)
            continue
        excess = (use[hot] - mean) * capacity[hot]
        room = (mean - use[cold]) * capacity[cold]
        piece = _find_some_piece(current, hot, min(excess, room), loads, step)
        allowed = NEEDY_WIDTH if use[hot] > NEEDY_USE else ROUND_WIDTH
        if piece is not None:
            width += (piece[1] - piece[0] + 1) / KEY_SPACE
        if piece is None or width > allowed:
            stuck.add(hot)
            continue
        low, high = piece
        moved = loads.between(low, high)
        use[hot] -= moved / capacity[hot]
        use[cold] += moved / capacity[cold]
        current = _carve(current, low, high, cold)
        pieces.append(Assignment(low, high, cold))
    return pieces


def _raise_keys(
    parts: Sequence[OwnedPart],
    capacity: dict[str, float],
    use: dict[str, float],
    loads: KeyLoads,
    step: int,
) -> list[Assignment]:
    """Return single keys that ask for more than their owner runs, with faster ones.

    ``use`` is brought in line. The other keys of the faster server leave it in the
    rounds that follow.
    """
    pieces: list[Assignment] = []
    taken: set[str] = set()
    for place, key in enumerate(loads.keys):
        load = loads.sums[place + 1] - loads.sums[place]
        owner = next((p.owner for p in parts if p.low <= key <= p.high), "")
        if owner not in capacity or load < capacity[owner]:
            continue
        taken.add(owner)
        fastest = max(
            (name for name in capacity if name not in taken),
            key=lambda name: (capacity[name], name),
            default=owner,
        )
        if capacity[fastest] < capacity[owner] * FASTER_SHARE:
            continue
        taken.add(fastest)
        use[owner] -= load / capacity[owner]
        use[fastest] += load / capacity[fastest]
        low = key // step * step
        pieces.append(Assignment(low, low + step - 1, fastest))
    return pieces


def _find_some_piece(
    parts: Sequence[OwnedPart], owner: str, wanted: float, loads: KeyLoads, step: int
) -> tuple[int, int] | None:
    """Return a part that carries a load, or as much of it as one part can."""
    for share in PIECE_SHARES:
        if share < 1 and wanted * share < FEWEST_REQUESTS:
            return None
        found = _find_piece(parts, owner, wanted * share, loads, step)
        if found is not None:
            return found
    return None


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
