"""The bound on the bytes of all response bodies that are being read."""

from __future__ import annotations

from typing import Protocol

from .memory import ClientMemory

__all__ = ["BodyHolder", "BufferedBodies"]


class BodyHolder(Protocol):
    """A connection that is reading a body."""

    def give_up_body(self, detail: str) -> None:
        """End the exchange with a fault and close the connection."""


class BufferedBodies:
    """The bytes of the bodies that connections are reading.

    They are bounded together, and also with those in ``clients``, the account of the
    same process: a body that was read becomes a response that waits for its client.
    """

    def __init__(self, limit: int, clients: ClientMemory | None = None) -> None:
        """Start without bodies; ``limit`` is in bytes."""
        self._limit = limit
        self._clients = clients
        self._sizes: dict[BodyHolder, int] = {}
        self.total = 0

    def add(self, holder: BodyHolder, size: int) -> None:
        """Count bytes that a connection has read, and keep the total in bounds."""
        self._sizes[holder] = self._sizes.get(holder, 0) + size
        self._set_total(self.total + size)
        limit = self._limit
        if self._clients is not None and self._clients.limit:
            limit = min(limit, self._clients.server_room)
        if self.total <= limit:
            return
        largest = max(self._sizes, key=self._sizes.__getitem__)
        largest.give_up_body(f"response bodies exceed {limit} bytes together")
        self.remove(largest)

    def remove(self, holder: BodyHolder) -> None:
        """Forget the bytes of a connection whose body is complete or given up."""
        self._set_total(self.total - self._sizes.pop(holder, 0))

    def _set_total(self, total: int) -> None:
        """Set the bytes of all bodies, for which clients may have to give way."""
        self.total = total
        if self._clients is not None:
            self._clients.set_server_bytes(total)
