"""How long a request may be expected to take and still be sent."""

from __future__ import annotations

from typing import Final

__all__ = ["find_limit"]

# A request is refused when it would be answered later than this share of what is
# left of its target latency; the work on it would make others late.
ADMIT_SHARE: Final = 0.75
# Share of the time left that a request which is late anyway may be made to wait.
LATE_SHARE: Final = 0.25


def find_limit(target_left: float, time_left: float) -> float:
    """Return the longest time, in seconds, that a request may be expected to take.

    ``target_left`` is the time until it is late, ``time_left`` until its client
    gives up.

    >>> find_limit(0.4, 1.2), find_limit(-0.1, 0.8)
    (0.30000000000000004, 0.2)
    """
    return max(target_left * ADMIT_SHARE, time_left * LATE_SHARE)
