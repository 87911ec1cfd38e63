"""Clients that send much at once, stop short of the end, and stay open."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterable, Iterator
from contextlib import suppress
from typing import Final

from soak import wire

from .deployment import MAX_BODY_BYTES

__all__ = [
    "Crowd",
    "make_chunked",
    "make_endless_chunk_extension",
    "make_endless_header",
    "make_endless_trailer",
    "make_large_body",
    "make_link_frame",
    "make_many_headers",
    "make_pieces",
    "make_requests_ahead",
    "make_requests_ahead_with_headers",
    "make_short_head",
]

# The crowd counts as done once no client could send anything for this time.
QUIET_SECONDS: Final = 1.5
POLL_SECONDS: Final = 0.1
# Ends a crowd to which the node goes on listening.
MAX_SECONDS: Final = 25.0
HOST_LINE: Final = f"Host: {wire.HOST}\r\n"
# What a client sends that never ends a line.
ENDLESS_BYTES: Final = 16 * 1024 * 1024
ENDLESS_STEP_BYTES: Final = 64 * 1024
# Headers that are short as bytes and large as objects.
TINY_HEADER: Final = "a:b\r\n"
# The greeting of a ZeroMQ peer without keys, and the command by which it is ready.
LINK_GREETING: Final = (
    b"\xff" + bytes(8) + b"\x7f\x03\x00" + b"NULL".ljust(20, b"\0") + bytes(32)
)
LINK_READY: Final = b"\x05READY\x0bSocket-Type\x00\x00\x00\x04PUSH"


class Crowd:
    """Connections of clients that send what they are given and never read."""

    def __init__(self, address: str) -> None:
        """Prepare clients of a node's address."""
        host, _, port = address.rpartition(":")
        self._target = (host, int(port))
        self._sockets: list[socket.socket] = []
        self.sent_bytes = 0
        self.closed = 0

    async def attack(self, streams: Iterable[Iterator[bytes]]) -> None:
        """Send all streams at once, each on a connection of its own.

        Return once all were sent or no client can send any more. The connections stay
        open.
        """
        tasks = [asyncio.create_task(self._send(stream)) for stream in streams]
        loop = asyncio.get_running_loop()
        quiet_since, last, end = loop.time(), -1, loop.time() + MAX_SECONDS
        while loop.time() < end and not all(task.done() for task in tasks):
            if self.sent_bytes != last:
                quiet_since, last = loop.time(), self.sent_bytes
            if loop.time() - quiet_since > QUIET_SECONDS:
                break
            await asyncio.sleep(POLL_SECONDS)
        # What was sent last may still be read.
        await asyncio.sleep(QUIET_SECONDS)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _send(self, stream: Iterator[bytes]) -> None:
        """Send a stream on a new connection, as fast as the node takes it."""
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        self._sockets.append(sock)
        with suppress(OSError):
            await loop.sock_connect(sock, self._target)
            for part in stream:
                await loop.sock_sendall(sock, part)
                self.sent_bytes += len(part)
                await asyncio.sleep(0)
            return
        self.closed += 1

    def close(self) -> None:
        """Close all connections."""
        for sock in self._sockets:
            sock.close()


def make_head(fields: str, path: str = "/put/x") -> bytes:
    """Return the head of a request with a body."""
    return (
        f"POST {path} HTTP/1.1\r\n{HOST_LINE}"
        "X-Dragonflyrock-Request-Id: attack\r\n"
        f"X-Dragonflyrock-Deadline-Ms: 5000\r\n{fields}\r\n\r\n"
    ).encode()


def make_large_body(size: int = MAX_BODY_BYTES) -> Iterator[bytes]:
    """Yield a request with a body of legal size, but for its last byte, whole."""
    yield make_head(f"Content-Length: {size}") + bytes(size - 1)


def make_pieces(size: int = MAX_BODY_BYTES, step: int = 16 * 1024) -> Iterator[bytes]:
    """Yield a request with a body of legal size, but for its last byte, in pieces."""
    yield make_head(f"Content-Length: {size}")
    for start in range(0, size - 1, step):
        yield bytes(min(step, size - 1 - start))


def make_chunked(chunk: int, count: int, batch: int) -> Iterator[bytes]:
    """Yield a request with a chunked body, but for its last chunk.

    ``chunk`` is the size of a chunk, and ``batch`` how many are sent in one piece.
    """
    yield make_head("Transfer-Encoding: chunked")
    one = b"%x\r\n%s\r\n" % (chunk, bytes(chunk))
    for start in range(0, count, batch):
        yield one * min(batch, count - start)


def make_requests_ahead(path: str, count: int, batch: int = 50) -> Iterator[bytes]:
    """Yield requests without the usual headers, sent before any answer is read."""
    one = f"GET {path} HTTP/1.1\r\n{HOST_LINE}\r\n".encode()
    for _ in range(0, count, batch):
        yield one * batch


def make_short_head(size: int = 16_000) -> Iterator[bytes]:
    """Yield a request head of legal size, but for its last line."""
    yield f"GET /short/x HTTP/1.1\r\n{HOST_LINE}X-Filler: ".encode() + b"f" * size


def make_endless_header(path: str = "/short/x") -> Iterator[bytes]:
    """Yield a request head with a line that does not end."""
    yield f"GET {path} HTTP/1.1\r\n{HOST_LINE}X-Filler: ".encode()
    yield from make_filler()


def make_endless_trailer() -> Iterator[bytes]:
    """Yield a chunked request with a trailer that does not end."""
    yield make_head("Transfer-Encoding: chunked") + b"1\r\nx\r\n0\r\nX-Filler: "
    yield from make_filler()


def make_endless_chunk_extension() -> Iterator[bytes]:
    """Yield a chunked request with a chunk extension that does not end."""
    yield make_head("Transfer-Encoding: chunked") + b"1\r\nx\r\n1;filler="
    yield from make_filler()


def make_filler() -> Iterator[bytes]:
    """Yield the bytes of a line that does not end."""
    for _ in range(0, ENDLESS_BYTES, ENDLESS_STEP_BYTES):
        yield b"f" * ENDLESS_STEP_BYTES


def make_many_headers(size: int = 16_000) -> Iterator[bytes]:
    """Yield a request head of legal size with many headers, but for its last line."""
    head = f"GET /short/x HTTP/1.1\r\n{HOST_LINE}"
    yield (head + TINY_HEADER * ((size - len(head)) // len(TINY_HEADER))).encode()


def make_requests_ahead_with_headers(
    path: str, count: int, size: int = 12_000
) -> Iterator[bytes]:
    """Yield requests with many headers each, sent before any answer is read."""
    headers = TINY_HEADER * (size // len(TINY_HEADER))
    one = f"GET {path} HTTP/1.1\r\n{HOST_LINE}{headers}\r\n".encode()
    for _ in range(count):
        yield one


def make_link_frame(size: int = 60_000_000) -> Iterator[bytes]:
    """Yield a message on a link, as a stranger would send it, but for its last byte."""
    yield LINK_GREETING
    yield bytes((4, len(LINK_READY))) + LINK_READY
    yield b"\x02" + size.to_bytes(8, "big")
    for start in range(0, size - 1, ENDLESS_STEP_BYTES):
        yield bytes(min(ENDLESS_STEP_BYTES, size - 1 - start))
