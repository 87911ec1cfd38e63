"""The bound on the bytes of all response bodies that are being read."""

from __future__ import annotations

from typing import Protocol

__all__ = ["BodyHolder", "BufferedBodies"]


class BodyHolder(Protocol):
    """A connection that is reading a body."""

    def give_up_body(self, detail: str) -> None:
        """End the exchange with a fault and close the connection."""


class BufferedBodies:
    """The bytes of the bodies that connections are reading."""

    def __init__(self, limit: int) -> None:
        """Start without bodies; ``limit`` is in bytes."""
        self._limit = limit
        self._sizes: dict[BodyHolder, int] = {}
        self.total = 0

    def add(self, holder: BodyHolder, size: int) -> None:
        """Count bytes that a connection has read, and keep the total in bounds."""
        self._sizes[holder] = self._sizes.get(holder, 0) + size
        self.total += size
        if self.total <= self._limit:
            return
        largest = max(self._sizes, key=self._sizes.__getitem__)
        largest.give_up_body(f"response bodies exceed {self._limit} bytes together")
        self.remove(largest)

    def remove(self, holder: BodyHolder) -> None:
        """Forget the bytes of a connection whose body is complete or given up."""
        self.total -= self._sizes.pop(holder, 0)
