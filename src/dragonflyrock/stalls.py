"""Whether what a process reads may have waited unread while it stood still."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Final

from .const import NEVER

__all__ = ["STALL_SECONDS", "StallWatch"]

# A tick that is late by more than this is a stall.
STALL_SECONDS: Final = 0.25
# Callers give a call up that is not answered within a second. Stalls of so much in all,
# within this time, may have kept it unread until then.
LONG_STALL_SECONDS: Final = 0.7
RECENT_SECONDS: Final = 2.0
# A process has read all that came while it stood still by so long after it.
CATCH_UP_SECONDS: Final = 1.0


class StallWatch:
    """Detect by ticks that this process stood still: frozen, starved or blocked.

    >>> now = 10.0
    >>> watch = StallWatch(lambda: now, 0.1)
    >>> now = 10.1
    >>> watch.tick(), watch.may_read_late()
    (0.0, False)
    >>> now = 14.2
    >>> watch.may_read_late(), round(watch.tick(), 3), watch.may_read_late()
    (True, 4.0, True)
    >>> now = 15.3
    >>> round(watch.tick(), 3), watch.may_read_late()
    (1.0, True)
    >>> now = 15.4
    >>> watch.tick(), watch.may_read_late()
    (0.0, True)
    >>> for _ in range(10):
    ...     now += 0.1
    ...     _ = watch.tick()
    >>> watch.may_read_late()
    False
    """

    def __init__(self, clock: Callable[[], float], interval: float) -> None:
        """Start to watch; ``interval`` is the time between ticks in seconds."""
        self._clock = clock
        self._interval = interval
        self._ticked_at = clock()
        self._late_until = NEVER
        self._stalls: deque[tuple[float, float]] = deque()

    def restart(self) -> None:
        """Forget earlier stalls, as nothing could wait to be read until now."""
        self._ticked_at = self._clock()
        self._late_until = NEVER
        self._stalls.clear()

    def tick(self) -> float:
        """Record a tick; return for how many seconds the process stood still, or 0."""
        now = self._clock()
        stall = self._find_stall(now)
        if stall:
            self._stalls.append((now, stall))
        while self._stalls and now - self._stalls[0][0] > RECENT_SECONDS:
            self._stalls.popleft()
        if stall and self._count_stalled(now, 0.0) >= LONG_STALL_SECONDS:
            self._late_until = now + CATCH_UP_SECONDS
        self._ticked_at = now
        return stall

    def may_read_late(self) -> bool:
        """Return whether the caller of a call that is read now may have given it up."""
        now = self._clock()
        if now < self._late_until:
            return True
        present = self._find_stall(now)
        return present > 0 and self._count_stalled(now, present) >= LONG_STALL_SECONDS

    def _find_stall(self, now: float) -> float:
        """Return by how much the next tick is late, 0 if that is no stall."""
        late = now - self._ticked_at - self._interval
        return late if late > STALL_SECONDS else 0.0

    def _count_stalled(self, now: float, present: float) -> float:
        """Return the seconds of the recent stalls and of the present one."""
        recent = (s for at, s in self._stalls if now - at <= RECENT_SECONDS)
        return present + sum(recent)
