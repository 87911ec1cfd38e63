"""Hybrid logical clock: stamps close to wall time, in causal order.

Source: Kulkarni, Demirbas, Madappa, Avva, Leone, "Logical Physical Clocks",
OPODIS 2014.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from typing import Final, NamedTuple

__all__ = ["HybridClock", "Stamp"]


# A received stamp that is further ahead of the wall time here is not followed.
MAX_AHEAD_MS: Final = 3_600_000
MAX_COUNTER: Final = 2**32


class Stamp(NamedTuple):
    """Wall time in milliseconds, and a counter that orders stamps of equal time."""

    wall_ms: int
    counter: int


class HybridClock:
    """A clock whose stamps are later than all its own and all received stamps.

    A stamp that no clock near the right time can have made is ignored.

    >>> clock = HybridClock(lambda: 1.0)
    >>> clock.stamp(), clock.stamp()
    (Stamp(wall_ms=1000, counter=0), Stamp(wall_ms=1000, counter=1))
    >>> clock.update(Stamp(2000, 4))
    >>> clock.stamp()
    Stamp(wall_ms=2000, counter=6)
    """

    def __init__(self, wall: Callable[[], float] = time.time) -> None:
        """Create a clock; ``wall`` returns wall time in seconds."""
        self._wall = wall
        self._last = Stamp(0, -1)
        self._lock = threading.Lock()

    def stamp(self) -> Stamp:
        """Return a stamp later than every own or received stamp so far."""
        with self._lock:
            return self._advance(self._last)

    def update(self, received: Stamp) -> None:
        """Advance the clock past a stamp received from another process."""
        is_ahead = received.wall_ms > self._wall() * 1000 + MAX_AHEAD_MS
        if is_ahead or received.counter > MAX_COUNTER:
            return
        with self._lock:
            self._advance(max(self._last, received))

    def _advance(self, after: Stamp) -> Stamp:
        """Advance to a stamp later than ``after`` and return it."""
        wall_ms = int(self._wall() * 1000)
        if wall_ms > after.wall_ms:
            self._last = Stamp(wall_ms, 0)
        else:
            self._last = Stamp(after.wall_ms, after.counter + 1)
        return self._last
