"""Structured log as JSON lines, with a bounded queue and non-blocking writes."""

from __future__ import annotations

import os
from collections import deque
from collections.abc import Callable
from typing import Final

import msgspec

__all__ = ["LineLog"]

MAX_QUEUED_LINES: Final = 2_000
MAX_WRITE_BYTES: Final = 64 * 1024
MAX_TEXT_LENGTH: Final = 512


class LineLog:
    """Log of JSON objects, queued in memory until the file accepts them.

    Lines beyond ``MAX_QUEUED_LINES`` are dropped and counted; once there is room
    again, a ``lines-dropped`` line reports the count.
    """

    def __init__(
        self, host: str, file: int, clock: Callable[[], float], *, blocking: bool = True
    ) -> None:
        """Log for a host to an open file descriptor.

        ``clock`` gives the time ``t`` of each line. Unless ``blocking``, the
        descriptor is made non-blocking, so that a slow reader never delays the
        process.
        """
        self.dropped = 0
        self._host = host
        self._file = file
        self._clock = clock
        self._lines: deque[bytes] = deque()
        self._unwritten = b""
        if not blocking:
            os.set_blocking(file, False)

    def add(self, event: str, **fields: object) -> None:
        """Queue a line for an event.

        Fields with empty strings are left out, and long texts are cut off.
        """
        if len(self._lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        line: dict[str, object] = {
            "t": round(self._clock(), 4),
            "host": self._host,
            "event": event,
        }
        line.update(
            (name, value[:MAX_TEXT_LENGTH] if isinstance(value, str) else value)
            for name, value in fields.items()
            if value != ""
        )
        self._lines.append(msgspec.json.encode(line) + b"\n")

    def flush(self) -> None:
        """Write queued lines until the queue is empty or the file would block."""
        if self.dropped and len(self._lines) < MAX_QUEUED_LINES:
            dropped, self.dropped = self.dropped, 0
            self.add("lines-dropped", count=dropped)
        while self._lines or self._unwritten:
            if not self._unwritten:
                self._unwritten = self._pop_lines()
            try:
                written = os.write(self._file, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the file; there is nowhere else to log to.
                self._lines.clear()
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[written:]

    def _pop_lines(self) -> bytes:
        """Remove and join queued lines, up to about ``MAX_WRITE_BYTES``."""
        popped: list[bytes] = []
        size = 0
        while self._lines and size < MAX_WRITE_BYTES:
            line = self._lines.popleft()
            popped.append(line)
            size += len(line)
        return b"".join(popped)
