"""How busy a machine's narrow link is with what it receives."""

from __future__ import annotations

import asyncio
import math
from typing import Final

__all__ = ["LinkMeter"]

# Received bytes count for about this long.
WINDOW_SECONDS: Final = 0.3
# From this share of the link's rate on, messages may wait for the link. The rest is for
# packet headers, for other messages, and for a link that has lost half of its rate.
BUSY_SHARE: Final = 0.4


class LinkMeter:
    """Measure the rate of the bytes that a link brings.

    What waits to be received does so at the other end of the link, so that this machine
    can only tell by this rate.
    """

    def __init__(self, bytes_per_second: float) -> None:
        """Start with an idle link; a rate of 0 stands for one that is never busy."""
        self._busy_bytes = bytes_per_second * BUSY_SHARE * WINDOW_SECONDS
        self._recent_bytes = 0.0
        self._updated_at = 0.0

    @property
    def is_busy(self) -> bool:
        """Return whether messages may be late because they wait for the link."""
        return self._busy_bytes > 0 and self._decay() >= self._busy_bytes

    def record(self, size: int) -> None:
        """Count received bytes."""
        if self._busy_bytes:
            self._recent_bytes = self._decay() + size

    def _decay(self) -> float:
        """Return the bytes received lately; the weight of each decreases with time."""
        now = asyncio.get_running_loop().time()
        age = now - self._updated_at
        self._recent_bytes *= math.exp(-age / WINDOW_SECONDS)
        self._updated_at = now
        return self._recent_bytes
