"""Assignment of keys to servers: at the start, after a loss, and by load."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Sequence
from math import sqrt
from typing import Final, NamedTuple

from ..hashing import KEY_SPACE

__all__ = [
    "Assignment",
    "KeyLoads",
    "OwnedPart",
    "Owner",
    "assign_span",
    "choose_idlest",
    "compute_rates",
    "compute_utilization",
    "divide_by_capacity",
    "estimate_slowness",
    "plan_balance",
    "reassign_part",
]

# A server loses keys when its utilization exceeds the mean by the least excess, and by
# more than the variation of random arrivals within the window, in standard deviations.
MIN_EXCESS_UTILIZATION: Final = 0.08
NOISE_DEVIATIONS: Final = 1.5
RATE_WINDOW_SECONDS: Final = 3.0
# Below this utilization of a server no move is worth its cost.
MIN_BUSY_UTILIZATION: Final = 0.35
MAX_ASSIGNMENTS_PER_ROUND: Final = 24
# Largest share of all keys that one round may move; the second value applies to servers
# above the overload utilization.
MAX_ROUND_WIDTH: Final = 0.03
MAX_OVERLOAD_ROUND_WIDTH: Final = 0.12
OVERLOAD_UTILIZATION: Final = 0.8
# Shares of the excess load to search a part for, in this order. Beside a hot key, which
# cannot be divided, no part may carry all of the excess, but several small ones may.
EXCESS_SHARES: Final = (1.0, 0.5, 0.25, 0.1)
# A part with fewer requests a second is not worth the orders of a move.
MIN_REQUESTS_PER_SECOND: Final = 0.4
# A key that needs more than its owner can run goes to a server faster by this factor.
MIN_SPEEDUP: Final = 1.25
# Utilization that counts as much as a request that takes the whole target latency.
SLOWNESS_WEIGHT: Final = 1.2
# The number of servers among which a part of a lost server is divided.
MAX_NEW_OWNERS: Final = 3


class Owner(NamedTuple):
    """A server that may own keys.

    ``capacity`` is in requests a second, or in slots while no speed is known.
    ``slowness`` is the utilization that the time it works on a request counts for.
    """

    name: str
    capacity: float
    slowness: float = 0.0


class OwnedPart(NamedTuple):
    """A range and the name of its owner, both ends included."""

    low: int
    high: int
    owner: str


class Assignment(NamedTuple):
    """A part of the keys and its new owner, both ends included."""

    low: int
    high: int
    target: str


class KeyLoads:
    """The load of single keys, sorted, with cumulative sums.

    >>> loads = KeyLoads({10: 2.0, 30: 1.0})
    >>> loads.between(0, 20), loads.between(10, 30)
    (2.0, 3.0)
    """

    def __init__(self, by_key: dict[int, float]) -> None:
        """Sort the keys and sum up their loads."""
        self.keys = sorted(by_key)
        self.cumulative = [0.0]
        for key in self.keys:
            self.cumulative.append(self.cumulative[-1] + by_key[key])

    @property
    def total(self) -> float:
        """Return the load of all keys."""
        return self.cumulative[-1]

    def between(self, low: int, high: int) -> float:
        """Return the load of a range, both ends included."""
        first = bisect_left(self.keys, low)
        last = bisect_right(self.keys, high)
        return self.cumulative[last] - self.cumulative[first]

    def cap_keys(self, limit: float) -> KeyLoads:
        """Return the loads with each key limited to ``limit``.

        >>> KeyLoads({10: 2.0, 30: 9.0}).cap_keys(3.0).total
        5.0
        """
        return KeyLoads(
            {
                key: min(self.cumulative[place + 1] - self.cumulative[place], limit)
                for place, key in enumerate(self.keys)
            }
        )

    def find_split(self, low: int, high: int, share: float, step: int) -> int:
        """Return the end of the first part of a range that has a share of its load.

        Without known loads the part has that share of the width. It ends with the
        last hash of a key, whose width is ``step``, and the rest is never empty.
        """
        first = bisect_left(self.keys, low)
        last = bisect_right(self.keys, high)
        load = self.cumulative[last] - self.cumulative[first]
        if load > 0:
            target = self.cumulative[first] + load * share
            position = bisect_left(self.cumulative, target, first + 1, last + 1)
            place = self.keys[min(position, last) - 1]
        else:
            place = low + int((high - low) * share)
        end = place // step * step + step - 1
        return max(low + step - 1, min(end, high - step))


def estimate_slowness(processing_time: float, target: float) -> float:
    """Return the utilization that a server's processing time counts for.

    Both times are in seconds. Where a request takes a large part of its target latency
    even without waiting, little waiting makes it late.

    >>> estimate_slowness(0.3, 0.6), estimate_slowness(0.3, 0.0)
    (0.6, 0.0)
    """
    if target <= 0:
        return 0.0
    return SLOWNESS_WEIGHT * min(processing_time / target, 1.0)


def divide_by_capacity(owners: Sequence[Owner], step: int) -> list[Assignment]:
    """Divide the whole key space by the owners' capacity.

    >>> [p.target for p in divide_by_capacity([Owner("a", 1), Owner("b", 1)], 1)]
    ['a', 'b']
    """
    total = sum(owner.capacity for owner in owners)
    assignments: list[Assignment] = []
    low = 0
    assigned_capacity = 0.0
    for owner in owners:
        assigned_capacity += owner.capacity
        end = int(KEY_SPACE * (assigned_capacity / total)) // step * step - 1
        if owner is owners[-1]:
            end = KEY_SPACE - 1
        if end >= low:
            assignments.append(Assignment(low, end, owner.name))
            low = end + 1
    return assignments


def compute_utilization(
    parts: Sequence[OwnedPart], owners: Sequence[Owner], loads: KeyLoads
) -> dict[str, float]:
    """Return each owner's load over its capacity.

    The width of its ranges adds a small load, so that idle ranges count too.
    """
    capacity = {owner.name: owner.capacity for owner in owners}
    utilization = dict.fromkeys(capacity, 0.0)
    floor = max(loads.total, 1.0) * 0.05
    for part in parts:
        if part.owner in utilization:
            width = (part.high - part.low + 1) / KEY_SPACE
            load = loads.between(part.low, part.high) + width * floor
            utilization[part.owner] += load / capacity[part.owner]
    return utilization


def compute_rates(parts: Sequence[OwnedPart], loads: KeyLoads) -> dict[str, float]:
    """Return the requests a second for the keys of each owner."""
    rates: dict[str, float] = {}
    for part in parts:
        load = loads.between(part.low, part.high)
        rates[part.owner] = rates.get(part.owner, 0.0) + load
    return rates


def reassign_part(
    part: OwnedPart,
    utilization: dict[str, float],
    owners: Sequence[Owner],
    loads: KeyLoads,
    step: int,
) -> list[Assignment]:
    """Return the new owners of a part whose owner is leaving or lost.

    What they get is added to ``utilization``, which has the owners at least.
    """
    if not owners:
        return []
    total_load = loads.between(part.low, part.high)
    mean = max(loads.total, 1.0) / len(owners)
    small = total_load < mean * 0.5 and part.high - part.low < KEY_SPACE // 64
    count = 1 if small else min(MAX_NEW_OWNERS, len(owners))
    assignments: list[Assignment] = []
    low = part.low
    for number in range(count, 0, -1):
        if low > part.high:
            break
        end = part.high
        if number > 1 and part.high - low + 1 > step:
            end = loads.find_split(low, part.high, 1 / number, step)
        target = choose_idlest(low, end, utilization, owners, loads)
        assignments.append(Assignment(low, end, target))
        low = end + 1
    return assignments


def choose_idlest(
    low: int,
    high: int,
    utilization: dict[str, float],
    owners: Sequence[Owner],
    loads: KeyLoads,
) -> str:
    """Return the idlest of the owners for a span, and add it to ``utilization``."""
    idlest = min(
        owners, key=lambda owner: (utilization[owner.name] + owner.slowness, owner.name)
    )
    width = (high - low + 1) / KEY_SPACE
    added = loads.between(low, high) + width * max(loads.total, 1.0) * 0.05
    utilization[idlest.name] += added / idlest.capacity
    return idlest.name


def plan_balance(
    parts: Sequence[OwnedPart],
    owners: Sequence[Owner],
    loads: KeyLoads,
    step: int,
) -> list[Assignment]:
    """Return parts with many requests to move from the busiest servers to idle ones.

    ``loads`` and the owners' capacity are in requests a second. Each part is the
    narrowest that carries the load to move.
    """
    if len(owners) < 2:
        return []
    capacity = {owner.name: owner.capacity for owner in owners}
    # Load of a key beyond what any server can run needs no capacity elsewhere.
    loads = loads.cap_keys(max(capacity.values()))
    utilization = compute_utilization(parts, owners, loads)
    slowness = {owner.name: owner.slowness for owner in owners}
    assignments = _reassign_oversized_keys(parts, capacity, utilization, loads, step)
    current = list(parts)
    for low, high, target in assignments:
        current = assign_span(current, low, high, target)
    cost = {name: utilization[name] + slowness[name] for name in utilization}
    mean = sum(cost[name] * capacity[name] for name in cost) / sum(capacity.values())
    skipped: set[str] = set()
    width = 0.0
    while len(assignments) < MAX_ASSIGNMENTS_PER_ROUND and len(skipped) < len(
        utilization
    ):
        busiest = max(
            (name for name in cost if name not in skipped), key=cost.__getitem__
        )
        idlest = min(cost, key=cost.__getitem__)
        deviation = sqrt(utilization[busiest] / capacity[busiest] / RATE_WINDOW_SECONDS)
        excess = max(MIN_EXCESS_UTILIZATION, NOISE_DEVIATIONS * deviation)
        if (
            cost[busiest] < mean + MIN_EXCESS_UTILIZATION
            or utilization[busiest] < MIN_BUSY_UTILIZATION
        ):
            break
        if cost[busiest] < mean + excess:
            skipped.add(busiest)
            continue
        excess = (cost[busiest] - mean) * capacity[busiest]
        room = (mean - cost[idlest]) * capacity[idlest]
        span = _find_part(current, busiest, min(excess, room), loads, step)
        allowed = (
            MAX_OVERLOAD_ROUND_WIDTH
            if utilization[busiest] > OVERLOAD_UTILIZATION
            else MAX_ROUND_WIDTH
        )
        if span is not None:
            width += (span[1] - span[0] + 1) / KEY_SPACE
        if span is None or width > allowed:
            skipped.add(busiest)
            continue
        low, high = span
        moved = loads.between(low, high)
        for name, added in ((busiest, -moved), (idlest, moved)):
            utilization[name] += added / capacity[name]
            cost[name] += added / capacity[name]
        current = assign_span(current, low, high, idlest)
        assignments.append(Assignment(low, high, idlest))
    return assignments


def _reassign_oversized_keys(
    parts: Sequence[OwnedPart],
    capacity: dict[str, float],
    utilization: dict[str, float],
    loads: KeyLoads,
    step: int,
) -> list[Assignment]:
    """Assign single keys that need more than their owner can run to faster servers.

    ``utilization`` is updated. The other keys of the faster server leave it in the
    following rounds.
    """
    assignments: list[Assignment] = []
    used_owners: set[str] = set()
    least = min(capacity.values())
    for place, key in enumerate(loads.keys):
        load = loads.cumulative[place + 1] - loads.cumulative[place]
        if load < least:
            continue
        owner = next((p.owner for p in parts if p.low <= key <= p.high), "")
        if owner not in capacity or load < capacity[owner]:
            continue
        used_owners.add(owner)
        fastest = max(
            (name for name in capacity if name not in used_owners),
            key=lambda name: (capacity[name], name),
            default=owner,
        )
        if capacity[fastest] < capacity[owner] * MIN_SPEEDUP:
            continue
        used_owners.add(fastest)
        utilization[owner] -= load / capacity[owner]
        utilization[fastest] += load / capacity[fastest]
        low = key // step * step
        assignments.append(Assignment(low, low + step - 1, fastest))
    return assignments


def _find_part(
    parts: Sequence[OwnedPart],
    owner: str,
    target_load: float,
    loads: KeyLoads,
    step: int,
) -> tuple[int, int] | None:
    """Return a part that carries a load, or the largest listed share of it."""
    for share in EXCESS_SHARES:
        if share < 1 and target_load * share < MIN_REQUESTS_PER_SECOND:
            return None
        part = _find_narrowest_part(parts, owner, target_load * share, loads, step)
        if part is not None:
            return part
    return None


def _find_narrowest_part(
    parts: Sequence[OwnedPart],
    owner: str,
    target_load: float,
    loads: KeyLoads,
    step: int,
) -> tuple[int, int] | None:
    """Return the narrowest part of an owner's keys with about the target load."""
    best: tuple[int, int, int] | None = None
    for part in parts:
        if part.owner != owner:
            continue
        first = bisect_left(loads.keys, part.low)
        last = bisect_right(loads.keys, part.high)
        end = first
        for start in range(first, last):
            end = max(end, start + 1)
            while (
                end < last
                and loads.cumulative[end] - loads.cumulative[start] < target_load * 0.8
            ):
                end += 1
            carried = loads.cumulative[end] - loads.cumulative[start]
            if carried < target_load * 0.5:
                break
            # A single key may carry more than the target, but cannot be divided.
            if carried > target_load * 1.6:
                continue
            low = loads.keys[start] // step * step
            high = loads.keys[end - 1] // step * step + step - 1
            if best is None or high - low < best[0]:
                best = (high - low, max(low, part.low), min(high, part.high))
    return None if best is None else (best[1], best[2])


def assign_span(
    parts: Sequence[OwnedPart], low: int, high: int, owner: str
) -> list[OwnedPart]:
    """Return the parts after a span of keys was assigned to an owner."""
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
