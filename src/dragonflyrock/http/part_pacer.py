"""The bound on the time that responses in very small parts take from other requests."""

from __future__ import annotations

from typing import Final

__all__ = ["FREE_PARTS", "SMALL_PART_BYTES", "PartPacer"]

# Headers, interim responses and parts of a body that an exchange may have at no charge.
FREE_PARTS: Final = 1_000
# A body of this many bytes may have one part more.
SMALL_PART_BYTES: Final = 256
# Parts beyond them, of all exchanges together; each takes about a microsecond.
PARTS_PER_SECOND: Final = 50_000
BURST_SECONDS: Final = 0.05


class PartPacer:
    """Spread the parts of all responses over time.

    A server that sends its response in parts of a byte takes hundreds of times as much
    of the processor as another. Its connection is read more slowly, others are not.
    """

    def __init__(self) -> None:
        """Start without parts."""
        self.pause_count = 0
        self._paid_until = float("-inf")

    def charge(self, count: int, now: float) -> float:
        """Charge for parts; return the seconds until their connection may read on."""
        self._paid_until = max(self._paid_until, now) + count / PARTS_PER_SECOND
        wait = max(0.0, self._paid_until - now - BURST_SECONDS)
        self.pause_count += wait > 0
        return wait
