"""The account of the bytes that a process holds for its clients."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, Protocol

__all__ = ["ClientMemory", "MemoryHolder"]

# Connections that hold less are not closed for want of memory while others hold more.
SMALL_BYTES: Final = 64 * 1024
# Of the connections that hold much, those without progress for this time go first.
STALL_SECONDS: Final = 0.5
# Above this share of the bound, connections have one request handled at a time.
PRESSED_SHARE: Final = 0.5


class MemoryHolder(Protocol):
    """A client's connection."""

    @property
    def is_expendable(self) -> bool:
        """Return whether what it holds waits for its client, and may be dropped."""

    @property
    def progressed_at(self) -> float:
        """Return when its client last sent or took something."""

    def give_up_memory(self) -> None:
        """Drop what waits for the client: refuse its request or close it."""


class ClientMemory:
    """The bytes of request bodies, waiting requests and responses not yet taken.

    All servers of a process share one account. Past ``limit`` bytes the connections
    whose clients keep the most waiting lose it: stalled ones first, then the largest.
    The same holds past ``joint_limit`` bytes together with ``server_bytes``, those of
    the responses that are being read from servers. Without a limit nothing is given up.
    """

    def __init__(
        self,
        limit: int = 0,
        clock: Callable[[], float] | None = None,
        joint_limit: int = 0,
    ) -> None:
        """Start an empty account; ``clock`` is that of ``progressed_at``."""
        self.limit = limit
        self.joint_limit = joint_limit or limit
        self.total = 0
        self.server_bytes = 0
        self.given_up = 0
        self._is_relieving = False
        self._clock = clock or (lambda: 0.0)
        self._sizes: dict[MemoryHolder, int] = {}

    @property
    def is_pressed(self) -> bool:
        """Return whether more than half of the bytes in bounds are held."""
        return bool(self.limit) and self.total > self.limit * PRESSED_SHARE

    def set(self, holder: MemoryHolder, size: int) -> None:
        """Set what a connection holds, and keep the total in bounds."""
        self.total += size - self._sizes.get(holder, 0)
        if size:
            self._sizes[holder] = size
        else:
            self._sizes.pop(holder, None)
        self._relieve()

    def set_server_bytes(self, size: int) -> None:
        """Set the bytes of responses being read, and keep the total in bounds."""
        self.server_bytes = size
        self._relieve()

    @property
    def server_room(self) -> int:
        """Return the bytes that responses being read may have beside the clients'."""
        return self.joint_limit - min(self.total, self.limit)

    @property
    def _is_exceeded(self) -> bool:
        """Return whether more bytes are held than the bounds allow."""
        if not self.limit:
            return False
        joint = self.total + self.server_bytes
        return self.total > self.limit or joint > self.joint_limit

    def _relieve(self) -> None:
        """Have connections give up what they hold until the total is in bounds."""
        if self._is_relieving:
            # A connection that gives up what it holds updates the account.
            return
        self._is_relieving = True
        try:
            while self._is_exceeded:
                victim = self._choose_victim()
                if victim is None:
                    return
                self._relieve_of(victim)
        finally:
            self._is_relieving = False

    def _relieve_of(self, victim: MemoryHolder) -> None:
        """Have one connection give up what it holds."""
        self.given_up += 1
        before = self._sizes[victim]
        victim.give_up_memory()
        if self._sizes.get(victim, 0) >= before:
            # It could not drop anything; it is not asked again for these bytes.
            self.total -= self._sizes.pop(victim)

    def _choose_victim(self) -> MemoryHolder | None:
        """Return the connection that is to give up what it holds, or None."""
        waiting = [holder for holder in self._sizes if holder.is_expendable]
        large = [holder for holder in waiting if self._sizes[holder] >= SMALL_BYTES]
        since = self._clock() - STALL_SECONDS
        stalled = [holder for holder in large if holder.progressed_at < since]
        return max(
            stalled or large or waiting, key=self._sizes.__getitem__, default=None
        )
