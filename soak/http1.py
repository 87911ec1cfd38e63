"""HTTP/1.1 in small: whole messages, read and written on streams."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

__all__ = ["Connection", "Message", "connect", "encode", "read_message"]


class Message(NamedTuple):
    """A request or response; header names are in lower case."""

    first: str
    headers: dict[bytes, bytes]
    body: bytes

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first.split(" ", 2)[1])

    @property
    def keeps(self) -> bool:
        """Return whether the connection may be used again."""
        return self.headers.get(b"connection", b"").lower() != b"close"


class BadMessageError(ValueError):
    """Bytes that are no message."""


def encode(first: str, headers: dict[bytes, bytes], body: bytes = b"") -> bytes:
    """Return a message as bytes, framed by length."""
    lines = [first.encode()]
    lines += [name + b": " + value for name, value in headers.items()]
    lines.append(b"content-length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a whole message, or raise what ended it."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].split(b"\r\n")
    headers = {}
    for line in lines:
        name, found, value = line.partition(b":")
        if not found:
            raise BadMessageError(f"header {line!r}")
        headers[name.strip().lower()] = value.strip()
    if headers.get(b"transfer-encoding", b"").lower() == b"chunked":
        body = await _read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get(b"content-length", b"0")))
    return Message(first.decode("latin-1"), headers, body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a body in chunks."""
    parts = []
    while size := int((await reader.readline()).split(b";")[0] or b"0", 16):
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
    await reader.readexactly(2)
    return b"".join(parts)


class Connection:
    """A caller's connection; one exchange at a time."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Take a connection that is open."""
        self._reader = reader
        self._writer = writer
        self.used = False

    @property
    def is_open(self) -> bool:
        """Return whether the other side has not closed it, as far as is known."""
        return not (self._reader.at_eof() or self._writer.is_closing())

    def send(self, data: bytes) -> None:
        """Write a request."""
        self.used = True
        self._writer.write(data)

    async def read(self) -> Message:
        """Read the response."""
        return await read_message(self._reader)

    def close(self) -> None:
        """Reset the connection if bytes are under way, else close it."""
        self._writer.transport.abort()


async def connect(address: str, timeout: float) -> Connection:
    """Open a connection to ``ip:port``, or raise ``OSError`` or ``TimeoutError``."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout):
        return Connection(*await asyncio.open_connection(host, int(port)))


async def call(
    address: str, method: str, path: str, headers: dict[bytes, bytes], body: bytes
) -> Message:
    """Make one call on a connection of its own, or raise what ended it."""
    connection = await connect(address, 1.0)
    try:
        connection.send(encode(f"{method} {path} HTTP/1.1", headers, body))
        return await connection.read()
    finally:
        connection.close()


# What a connection may raise besides ``BadMessageError``.
FAULTS = (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError)
