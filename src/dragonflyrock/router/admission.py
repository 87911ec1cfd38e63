"""How long a request may be expected to take and still be sent."""

from __future__ import annotations

from typing import Final

__all__ = ["find_limit"]

# A request is refused when it would be answered later than this share of what is
# left of its target latency; the work on it would make others late.
ADMIT_SHARE: Final = 0.75
# Share of the time left that a request which is late anyway may be made to wait.
LATE_SHARE: Final = 0.25
# Where nothing waits a request takes up to this many units of work, by chance, and
# is sent if that is within this share of the time left: it keeps nobody waiting.
IDLE_UNITS: Final = 1.3
IDLE_SHARE: Final = 0.8


def find_limit(target_left: float, time_left: float, unit: float) -> float:
    """Return the longest time, in seconds, that a request may be expected to take.

    ``target_left`` is the time until it is late, ``time_left`` until its client
    gives up, and ``unit`` what a request takes at that server where none waits.

    >>> find_limit(0.4, 1.0, 0.1), find_limit(-0.1, 0.8, 0.1)
    (0.30000000000000004, 0.2)
    >>> find_limit(-0.6, 0.2, 0.1)
    0.13
    """
    idle = min(unit * IDLE_UNITS, time_left * IDLE_SHARE)
    return max(target_left * ADMIT_SHARE, time_left * LATE_SHARE, idle)
