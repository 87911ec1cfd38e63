"""The clock of the runtime: steady, and running on while the machine is suspended."""

from __future__ import annotations

import time

__all__ = ["read_clock"]


def read_clock() -> float:
    """Return seconds on a clock that never jumps back and counts time in suspension.

    ``time.monotonic`` stands still while a machine is suspended. A leader or a host
    that woke up would take a lease for valid that others know has expired.

    >>> read_clock() <= read_clock()
    True
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
