"""The grants that a stand-in holds, and when they expire."""

from __future__ import annotations

import threading
from bisect import bisect_right
from collections import OrderedDict
from collections.abc import Callable
from typing import Final

import msgspec

from .models import GrantedRange

__all__ = ["GrantBody", "Grants"]

MAX_PENDING_ANNOUNCEMENTS: Final = 100
NO_LEASE: Final = float("-inf")


class GrantBody(msgspec.Struct):
    """JSON object with grants; see ``dragonflyrock.control.calls.GrantSet``."""

    holder: str
    revision: int
    sequence: int
    lease_ms: int
    announce_ms: int
    ranges: list[HeldRangeBody]


class HeldRangeBody(msgspec.Struct):
    """JSON object of a granted range."""

    low: int
    high: int
    epoch: int


class Grants:
    """Granted ranges with their epochs, under one lease.

    The lease starts when the announcement that the grants respond to was sent, so
    it ends here before the router counts it as expired.
    """

    def __init__(self, holder: str, clock: Callable[[], float]) -> None:
        """Create an empty set; ``clock`` returns monotonic time in seconds."""
        self._holder = holder
        self._clock = clock
        self._lock = threading.Lock()
        self._sent_at: OrderedDict[int, float] = OrderedDict()
        self._ranges: list[GrantedRange] = []
        self._expires_at = NO_LEASE
        self.revision = 0

    def record_sent(self, sequence: int) -> None:
        """Record the time at which an announcement is sent."""
        with self._lock:
            self._sent_at[sequence] = self._clock()
            if len(self._sent_at) > MAX_PENDING_ANNOUNCEMENTS:
                self._sent_at.popitem(last=False)

    def apply(self, body: GrantBody) -> bool:
        """Apply received grants; return False if they are rejected.

        Grants are rejected if they are for another incarnation, have no revision or
        an older one than those held, or respond to an unknown announcement.
        """
        with self._lock:
            sent_at = self._sent_at.get(body.sequence)
            if body.holder != self._holder or sent_at is None:
                return False
            if body.revision < self.revision or not body.revision:
                return False
            self._expires_at = max(self._expires_at, sent_at + body.lease_ms / 1000)
            if body.revision > self.revision:
                self.revision = body.revision
                ranges = [GrantedRange(r.low, r.high, r.epoch) for r in body.ranges]
                self._ranges = sorted(ranges)
            return True

    def covers(self, key_hash: int, epoch: int) -> bool:
        """Return whether the hash is in a range granted now, under this epoch."""
        with self._lock:
            if self._clock() >= self._expires_at:
                return False
            position = bisect_right(self._ranges, (key_hash, 1 << 64, 0)) - 1
            if position < 0:
                return False
            held = self._ranges[position]
            return held.low <= key_hash <= held.high and held.epoch == epoch

    def __len__(self) -> int:
        """Return the number of granted ranges."""
        with self._lock:
            return len(self._ranges)
