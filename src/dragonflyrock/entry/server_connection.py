"""Connections to backend servers, on which the head of a response must be whole."""

from __future__ import annotations

import http.client
from io import BufferedIOBase
from typing import Final

from urllib3.connection import HTTPConnection

__all__ = ["ServerConnection"]

BLANK_LINES: Final = (b"\r\n", b"\n")


class _LineRecorder:
    """A file whose last line that was read is kept."""

    def __init__(self, file: BufferedIOBase) -> None:
        """Wrap a file from which no line was read yet."""
        self._file = file
        self.last_line = b""

    def readline(self, limit: int = -1) -> bytes:
        """Read a line of at most ``limit`` bytes."""
        self.last_line = self._file.readline(limit)
        return self.last_line

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class WholeHeadResponse(http.client.HTTPResponse):
    """A response whose head ends with a blank line.

    ``http.client`` takes the end of the connection for the end of a head.
    """

    def begin(self) -> None:
        """Read the head, or raise ``IncompleteRead``."""
        file = self.fp
        recorder = _LineRecorder(file)
        self.fp = recorder  # type: ignore[assignment]
        try:
            super().begin()
        finally:
            if self.fp is not None:
                self.fp = file
        if recorder.last_line not in BLANK_LINES:
            raise http.client.IncompleteRead(recorder.last_line)


class ServerConnection(HTTPConnection):
    """A connection to a backend server, on which only whole heads are accepted.

    ``has_answered`` is whether it has carried a response.
    """

    response_class = WholeHeadResponse
    has_answered = False
