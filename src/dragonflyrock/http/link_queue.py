"""The order in which messages are written to a machine's narrow link."""

from __future__ import annotations

import asyncio
from typing import Final, Protocol

from .link_meter import LinkMeter

__all__ = ["SMALL_BYTES", "LinkQueue", "LinkSender", "compute_paced_rate", "is_narrow"]

# A wider link is not short of room for the messages of one process.
MAX_PACED_MBPS: Final = 100.0
# The rest of the rate is for packet headers, other nodes' messages and connections.
PACED_SHARE: Final = 0.88
# Parts in which a message is written: so many bytes, or what takes the link so long.
MIN_PART_BYTES: Final = 8 * 1024
PART_SECONDS: Final = 0.01
# Messages that are written at once.
SMALL_BYTES: Final = 4 * 1024
# What may be written at once after the link was idle, and what small messages may take
# from the larger ones in advance, as time of the link.
BURST_SECONDS: Final = 0.04
MAX_DEBT_SECONDS: Final = 0.12
# Each part of this number goes to the message that waits longest.
OLDEST_INTERVAL: Final = 4


class LinkSender(Protocol):
    """A connection that has bytes to write."""

    @property
    def unwritten_bytes(self) -> int:
        """Return the bytes that it can write now; 0 if its peer takes no more."""

    def write_part(self, limit: int) -> int:
        """Write at most so many bytes, and return how many."""


def is_narrow(link_mbps: float) -> bool:
    """Return whether messages may wait for a link; 0 stands for one of unknown rate."""
    return 0 < link_mbps <= MAX_PACED_MBPS


def compute_paced_rate(link_mbps: float) -> float:
    """Return the bytes a second that are written to a link; 0 for a wide one.

    >>> compute_paced_rate(2.0), compute_paced_rate(1000.0), compute_paced_rate(0.0)
    (220000.0, 0.0, 0.0)
    """
    if not is_narrow(link_mbps):
        return 0.0
    return link_mbps * 125_000 * PACED_SHARE


class LinkQueue:
    """Write messages in parts at the rate of a link, those with least left first.

    What is in the system's buffers is sent in the order in which it was written, so no
    more is written than the link takes. One part in four goes to the message that waits
    longest, so that large ones go on under any load. With a rate of 0 all is written at
    once. ``received`` measures what the link brings, and ``bytes_per_second`` is the
    rate at first.
    """

    def __init__(self, bytes_per_second: float = 0.0) -> None:
        """Start with an idle link."""
        self.bytes_per_second = bytes_per_second
        self.received = LinkMeter(bytes_per_second)
        self._rate = bytes_per_second
        self._part_bytes = max(MIN_PART_BYTES, int(bytes_per_second * PART_SECONDS))
        self._waiting: dict[LinkSender, None] = {}
        self._room = bytes_per_second * BURST_SECONDS
        self._updated_at = 0.0
        self._part_count = 0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_paced(self) -> bool:
        """Return whether messages wait for the link."""
        return self._rate > 0

    @property
    def waiting_bytes(self) -> int:
        """Return the bytes of the messages that wait."""
        return sum(sender.unwritten_bytes for sender in self._waiting)

    def estimate_seconds(self, size: int) -> float:
        """Return the seconds until a message of some size would be written.

        Those with less left are written before it; 0 for one that does not wait.
        """
        if not self._rate or size <= SMALL_BYTES:
            return 0.0
        ahead = (sender.unwritten_bytes for sender in self._waiting)
        return (size + sum(left for left in ahead if left <= size)) / self._rate

    def send(self, sender: LinkSender) -> None:
        """Write what a sender has, at once or when the link has room for it."""
        size = sender.unwritten_bytes
        if not self._rate:
            while sender.unwritten_bytes and sender.write_part(sender.unwritten_bytes):
                pass
            return
        if sender in self._waiting or not size:
            return
        now = asyncio.get_running_loop().time()
        self._refill(now)
        if size <= SMALL_BYTES:
            self._charge(sender.write_part(size))
            if not sender.unwritten_bytes:
                return
        self._waiting[sender] = None
        self._write_parts()

    def stop_pacing(self) -> None:
        """Write all that waits at once, as this process is about to end."""
        self._rate = 0.0
        if self._timer is not None:
            self._timer.cancel()
        waiting, self._waiting = self._waiting, {}
        for sender in waiting:
            self.send(sender)

    def discard(self, sender: LinkSender) -> None:
        """Forget a sender whose connection has ended."""
        self._waiting.pop(sender, None)

    def _refill(self, now: float) -> None:
        """Add the room of the time that has passed."""
        room = self._room + (now - self._updated_at) * self._rate
        self._room = min(room, self._rate * BURST_SECONDS)
        self._updated_at = now

    def _charge(self, size: int) -> None:
        """Take the room of what was written."""
        self._room = max(self._room - size, -self._rate * MAX_DEBT_SECONDS)

    def _write_parts(self) -> None:
        """Write parts while the link has room, and go on when it has more."""
        while self._waiting and self._room > 0:
            sender = self._choose()
            if sender.unwritten_bytes:
                self._charge(sender.write_part(self._part_bytes))
            if not sender.unwritten_bytes:
                self.discard(sender)
        if self._waiting and self._timer is None:
            loop = asyncio.get_running_loop()
            wait = (self._part_bytes / 2 - self._room) / self._rate
            self._timer = loop.call_later(wait, self._go_on)

    def _go_on(self) -> None:
        """Write what the link has room for by now."""
        self._timer = None
        self._refill(asyncio.get_running_loop().time())
        self._write_parts()

    def _choose(self) -> LinkSender:
        """Return the sender with least left, or at times the one that waits longest."""
        self._part_count += 1
        if self._part_count % OLDEST_INTERVAL == 0:
            return next(iter(self._waiting))
        return min(self._waiting, key=lambda sender: sender.unwritten_bytes)
