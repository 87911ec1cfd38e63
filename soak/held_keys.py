"""Keys that a stand-in server holds by the answers to its heartbeats."""

from __future__ import annotations

import json
from collections.abc import Collection
from typing import Any, Final, NamedTuple

__all__ = ["Grant", "HeldKeys", "remove_keys"]

# A server's clock may run slow by this factor, which makes its leases last longer.
LEASE_CLOCK_FACTOR: Final = 1.02


class Grant(NamedTuple):
    """A lease on the keys from ``low`` to ``high``, both inclusive."""

    low: int
    high: int
    fence: int
    until: float


class HeldKeys:
    """What a server holds, still works on, and has freed.

    ``seen`` has the rows of all answers, so that none of a lower fence is taken.
    """

    def __init__(self) -> None:
        """Hold nothing."""
        self.grants: list[Grant] = []
        self._seen: list[Grant] = []
        self._releasing: list[Grant] = []
        self._freed: list[tuple[int, int, str]] = []

    def make_rows(
        self, now: float, running: Collection[int], server: str
    ) -> dict[str, Any]:
        """Return the lists of a heartbeat; what nobody works on any more is freed."""
        still_busy = []
        for part in self._releasing:
            if any(part.low <= key <= part.high for key in running):
                still_busy.append(part)
            elif part.until > now:
                token = f"{server}-{part.low}-{part.fence}"
                self._freed.append((part.low, part.high, token))
        self._releasing = still_busy
        live = [grant for grant in self.grants if grant.until > now]
        rows = [grant[:3] for grant in (*live, *still_busy)]
        return {"holds": rows, "freed": list(self._freed)}

    def take_answer(self, body: bytes, sent_at: float, freed_count: int) -> None:
        """Hold what an answer names, counted from when the heartbeat was sent."""
        del self._freed[:freed_count]
        answer = json.loads(body)
        if "holds" not in answer:
            return
        until = sent_at + answer["holdMs"] / 1000 * LEASE_CLOCK_FACTOR
        kept: list[Grant] = []
        left_out = [grant for grant in self.grants if grant.until > sent_at]
        for low, high, fence, _ in answer["holds"]:
            left_out = remove_keys(left_out, low, high)
            if any(
                other.low <= high and low <= other.high and other.fence > fence
                for other in self._seen
            ):
                continue
            kept.append(Grant(low, high, fence, until))
        self._seen += [g for g in kept if g[:3] not in {s[:3] for s in self._seen}]
        self._releasing += left_out
        self.grants = kept

    @property
    def is_releasing(self) -> bool:
        """Return whether the next heartbeat is due at once."""
        return bool(self._releasing)


def remove_keys(grants: list[Grant], low: int, high: int) -> list[Grant]:
    """Return grants without the keys from ``low`` to ``high``."""
    below = [g._replace(high=min(g.high, low - 1)) for g in grants if g.low < low]
    above = [g._replace(low=max(g.low, high + 1)) for g in grants if g.high > high]
    return below + above
