"""The grants that a stand-in holds, and until when."""

from __future__ import annotations

import threading
from bisect import bisect_right
from collections import OrderedDict
from collections.abc import Callable
from typing import Final

import msgspec

from .models import HeldRange

__all__ = ["GrantBody", "Grants"]

REMEMBERED_SEQUENCES: Final = 100
NEVER: Final = float("-inf")


class GrantBody(msgspec.Struct):
    """The JSON object with grants; see ``dragonflyrock.control.calls.GrantSet``."""

    holder: str
    revision: int
    sequence: int
    lease_ms: int
    announce_ms: int
    ranges: list[HeldRangeBody]


class HeldRangeBody(msgspec.Struct):
    """A granted range in JSON."""

    low: int
    high: int
    epoch: int


class Grants:
    """Ranges with epochs, under one lease that counts from an announcement."""

    def __init__(self, holder: str, clock: Callable[[], float]) -> None:
        """Hold nothing yet."""
        self._holder = holder
        self._clock = clock
        self._lock = threading.Lock()
        self._sent_at: OrderedDict[int, float] = OrderedDict()
        self._ranges: list[HeldRange] = []
        self._until = NEVER
        self.revision = 0

    def record_sent(self, sequence: int) -> None:
        """Remember when an announcement is sent."""
        with self._lock:
            self._sent_at[sequence] = self._clock()
            if len(self._sent_at) > REMEMBERED_SEQUENCES:
                self._sent_at.popitem(last=False)

    def apply(self, body: GrantBody) -> bool:
        """Take a set unless it is older than the held one; return whether taken."""
        with self._lock:
            sent_at = self._sent_at.get(body.sequence)
            if body.holder != self._holder or sent_at is None:
                return False
            if body.revision < self.revision or not body.revision:
                return False
            self._until = max(self._until, sent_at + body.lease_ms / 1000)
            if body.revision > self.revision:
                self.revision = body.revision
                ranges = [HeldRange(r.low, r.high, r.epoch) for r in body.ranges]
                self._ranges = sorted(ranges)
            return True

    def covers(self, key_hash: int, epoch: int) -> bool:
        """Return whether a request under an epoch may run now."""
        with self._lock:
            if self._clock() >= self._until:
                return False
            position = bisect_right(self._ranges, (key_hash, 1 << 64, 0)) - 1
            if position < 0:
                return False
            held = self._ranges[position]
            return held.low <= key_hash <= held.high and held.epoch == epoch

    def __len__(self) -> int:
        """Return the number of ranges held."""
        with self._lock:
            return len(self._ranges)
