"""Connections to backend servers, with bounds on what a response may take.

``http.client`` takes the end of the connection for the end of a head, reads any number
of interim responses and trailers, and a whole connection for a chunk of size -1. It
takes an interim response but 100 for the final one, and status lines that are none.
"""

from __future__ import annotations

import http.client
import io
import re
import socket
import time
from functools import partial
from io import BufferedIOBase
from typing import Any, Final

from urllib3.connection import HTTPConnection

__all__ = ["ServerConnection"]

STATUS_LINE: Final = re.compile(rb"HTTP/(1\.[01]) ([1-5][0-9]{2})(?: (.*))?\r?\n")
MAX_LINE_BYTES: Final = 16 * 1024
# Part of an invalid status line that an error shows.
MAX_SHOWN_BYTES: Final = 64
SWITCHING_PROTOCOLS: Final = 101
BLANK_LINES: Final = (b"\r\n", b"\n")
# What a response may have besides its body: heads, interim responses, and the framing
# of chunks, which is at most so many times the body.
MAX_HEAD_BYTES: Final = 64 * 1024
MAX_FRAMING_FACTOR: Final = 8


class _ResponseFile:
    """The bytes of a response, with a bound on those besides its body."""

    def __init__(self, file: BufferedIOBase) -> None:
        """Wrap a file from which nothing was read yet."""
        self._file = file
        self._line_bytes = 0
        self._body_bytes = 0
        self.last_line = b""

    def readline(self, limit: int = -1) -> bytes:
        """Read a line of at most ``limit`` bytes, or raise ``HTTPException``."""
        allowed = MAX_HEAD_BYTES + MAX_FRAMING_FACTOR * self._body_bytes
        left = allowed - self._line_bytes + 1
        self.last_line = self._file.readline(min(limit, left) if limit >= 0 else left)
        self._line_bytes += len(self.last_line)
        if self._line_bytes > allowed:
            detail = f"response heads exceed {allowed} bytes"
            raise http.client.HTTPException(detail)
        return self.last_line

    def read(self, size: int | None = None) -> bytes:
        """Read ``size`` bytes of the body, which must be given."""
        if size is None or size < 0:
            raise http.client.HTTPException(f"invalid size of a chunk: {size}")
        data = self._file.read(size)
        self._body_bytes += len(data)
        return data

    def readinto(self, buffer: Any) -> int:
        """Read bytes of the body into a buffer and return their number."""
        count = self._file.readinto(buffer)
        self._body_bytes += count
        return count

    def flush(self) -> None:
        """Do nothing: the file is only read."""

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class _TimedReader(io.RawIOBase):
    """The bytes that a socket receives before a deadline of ``time.monotonic``."""

    def __init__(self, sock: socket.socket, deadline: float) -> None:
        """Read from a socket, which stays open as long as this reader."""
        self._raw = sock.makefile("rb", buffering=0)
        self._sock = sock
        self._deadline = deadline

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Read into a buffer, or raise ``TimeoutError`` at the deadline."""
        seconds_left = self._deadline - time.monotonic()
        if seconds_left <= 0:
            raise TimeoutError("the response is not complete in time")
        self._sock.settimeout(seconds_left)
        return self._raw.readinto(buffer)

    def close(self) -> None:
        """Let the socket go."""
        self._raw.close()
        super().close()


class BoundedResponse(http.client.HTTPResponse):
    """A response whose head ends with a blank line, and that ends within bounds.

    ``timeout`` is the time in seconds for the whole response; without one only the
    socket's own timeout counts, which starts again with each byte.
    """

    def __init__(
        self,
        sock: socket.socket,
        *args: Any,
        timeout: float | None = None,
        **kwargs: Any,
    ) -> None:
        """Read a response from a socket."""
        super().__init__(sock, *args, **kwargs)
        file: BufferedIOBase = self.fp
        if timeout is not None:
            file.close()
            reader = _TimedReader(sock, time.monotonic() + timeout)
            file = io.BufferedReader(reader)
        self._response_file = _ResponseFile(file)
        self.fp = self._response_file  # type: ignore[assignment]

    def begin(self) -> None:
        """Read the head, or raise ``IncompleteRead``."""
        super().begin()
        last_line = self._response_file.last_line
        if last_line not in BLANK_LINES:
            raise http.client.IncompleteRead(last_line)

    def _read_status(self) -> tuple[str, int, str]:
        """Read the status line of the final response, after all interim ones.

        Raise ``HTTPException`` if there is none.
        """
        version, status, reason = self._read_status_line()
        while status < 200:
            while (line := self._response_file.readline()) not in BLANK_LINES:
                if not line:
                    raise http.client.IncompleteRead(line)
            version, status, reason = self._read_status_line()
        return version, status, reason

    def _read_status_line(self) -> tuple[str, int, str]:
        """Read a status line of the protocol."""
        line = self._response_file.readline(MAX_LINE_BYTES)
        if not line:
            raise http.client.RemoteDisconnected("closed without a response")
        match = STATUS_LINE.fullmatch(line)
        if match is None or int(match[2]) == SWITCHING_PROTOCOLS:
            raise http.client.BadStatusLine(repr(line[:MAX_SHOWN_BYTES]))
        reason = (match[3] or b"").decode("latin-1")
        return f"HTTP/{match[1].decode()}", int(match[2]), reason


class ServerConnection(HTTPConnection):
    """A connection to a backend server, on which only whole heads are accepted.

    ``has_answered`` is whether it has carried a response. ``answer_timeout`` is the
    time for a whole response, see ``BoundedResponse``.
    """

    answer_timeout: float | None = None
    has_answered = False

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Initialize a connection that is not yet established."""
        super().__init__(*args, **kwargs)
        self.response_class = partial(  # type: ignore[assignment]
            BoundedResponse, timeout=self.answer_timeout
        )
