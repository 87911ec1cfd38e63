"""Structured lines on standard output: bounded, and never waited for."""

from __future__ import annotations

import os
from collections import deque
from collections.abc import Callable
from typing import Final

import msgspec

__all__ = ["LineLog"]

MAX_WAITING_LINES: Final = 2_000
MAX_WRITE_BYTES: Final = 64 * 1024


class LineLog:
    """Queue lines as JSON objects, and write them when the file takes them.

    Lines beyond the bound are dropped and counted; the count is told in the next
    line that can be written.
    """

    def __init__(
        self, host: str, file: int, clock: Callable[[], float], *, blocking: bool = True
    ) -> None:
        """Write to an open file by its number."""
        self.dropped = 0
        self._host = host
        self._file = file
        self._clock = clock
        self._lines: deque[bytes] = deque()
        self._rest = b""
        if not blocking:
            os.set_blocking(file, False)

    def add(self, event: str, **fields: object) -> None:
        """Queue a line; fields that are empty texts are left out."""
        if len(self._lines) >= MAX_WAITING_LINES:
            self.dropped += 1
            return
        line: dict[str, object] = {
            "t": round(self._clock(), 4),
            "host": self._host,
            "event": event,
        }
        line.update((name, value) for name, value in fields.items() if value != "")
        self._lines.append(msgspec.json.encode(line) + b"\n")

    def flush(self) -> None:
        """Write what is queued, as far as the file takes it now."""
        if self.dropped and len(self._lines) < MAX_WAITING_LINES:
            dropped, self.dropped = self.dropped, 0
            self.add("lines-dropped", count=dropped)
        while self._lines or self._rest:
            if not self._rest:
                self._rest = self._take()
            try:
                written = os.write(self._file, self._rest)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is no other place to tell it.
                self._lines.clear()
                self._rest = b""
                return
            self._rest = self._rest[written:]

    def _take(self) -> bytes:
        """Take lines for one write."""
        taken: list[bytes] = []
        size = 0
        while self._lines and size < MAX_WRITE_BYTES:
            line = self._lines.popleft()
            taken.append(line)
            size += len(line)
        return b"".join(taken)
