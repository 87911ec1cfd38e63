"""Status lines that are none of the protocol, and a server that answers with one."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from typing import Final

__all__ = ["BAD_STATUS_LINES", "GOOD_STATUS_LINES", "answer_with"]

BAD_STATUS_LINES: Final = {
    "000": b"HTTP/1.1 000 None",
    "001": b"HTTP/1.1 001 None",
    "099": b"HTTP/1.1 099 None",
    "600": b"HTTP/1.1 600 None",
    "999": b"HTTP/1.1 999 None",
    "one-digit": b"HTTP/1.1 0 None",
    "two-digits": b"HTTP/1.1 20 OK",
    "four-digits": b"HTTP/1.1 2000 OK",
    "five-digits": b"HTTP/1.1 00200 OK",
    "sign": b"HTTP/1.1 +200 OK",
    "minus": b"HTTP/1.1 -200 OK",
    "underscore": b"HTTP/1.1 2_00 OK",
    "letters": b"HTTP/1.1 OK OK",
    "no-status": b"HTTP/1.1 ",
    "no-break-space": b"HTTP/1.1\xa0200\xa0OK",
    "tab": b"HTTP/1.1\t200 OK",
    "joined": b"HTTP/1.1 200OK",
    "version-0.9": b"HTTP/0.9 200 OK",
    "version-1.2": b"HTTP/1.2 200 OK",
    "version-2.0": b"HTTP/2.0 200 OK",
    "version-9.9": b"HTTP/9.9 200 OK",
    "version-letters": b"HTTP/1.x 200 OK",
    "version-long": b"HTTP/1.10 200 OK",
    "other-protocol": b"ICY 200 OK",
    "switching-protocols": b"HTTP/1.1 101 Switching Protocols",
}
GOOD_STATUS_LINES: Final = {
    b"HTTP/1.1 200 OK": 200,
    b"HTTP/1.1 299 ": 299,
    b"HTTP/1.1 404": 404,
    b"HTTP/1.0 503 Busy": 503,
    b"HTTP/1.1 599 \xe4\xf6": 599,
}


@asynccontextmanager
async def answer_with(answer: bytes, ip: str = "127.0.0.1") -> AsyncIterator[str]:
    """Run a server that answers every request so, and yield its address.

    Its connections stay open, so that an answer which is skipped is waited for.
    """
    writers: list[asyncio.StreamWriter] = []

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writers.append(writer)
        with suppress(asyncio.IncompleteReadError, OSError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(answer)

    server = await asyncio.start_server(handle, ip, 0)
    try:
        yield f"{ip}:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()
        for writer in writers:
            writer.close()
