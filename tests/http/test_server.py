"""The listening side, spoken to over real sockets on loopback."""

from __future__ import annotations

import asyncio

import pytest

from dragonflyrock.http import (
    HttpServer,
    Request,
    Response,
    WireLimits,
    make_response,
)
from tests.common import free_port


class Seen:
    """What a handler was asked, and whether it was cancelled."""

    def __init__(self) -> None:
        """Start with nothing seen."""
        self.requests: list[Request] = []
        self.cancelled = 0
        self.release = asyncio.Event()
        self.wait = False

    async def handle(self, request: Request) -> Response:
        """Answer, at once or when released."""
        self.requests.append(request)
        if self.wait:
            try:
                await self.release.wait()
            except asyncio.CancelledError:
                self.cancelled += 1
                raise
        return make_response(200, request.body or b"ok")


async def start(seen: Seen, limits: WireLimits | None = None) -> tuple[HttpServer, int]:
    """Return a listening server and its port."""
    server = HttpServer(seen.handle, limits or WireLimits())
    port = free_port()
    await server.start(f"127.0.0.1:{port}")
    return server, port


async def talk(port: int, data: bytes, until: bytes = b"") -> bytes:
    """Send bytes and return what comes until the end, or until some bytes."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    got = b""
    async with asyncio.timeout(5):
        while not until or until not in got:
            part = await reader.read(4096)
            if not part:
                break
            got += part
    writer.close()
    return got


def test_a_body_in_chunks_arrives_whole_and_unchanged() -> None:
    async def play() -> None:
        seen = Seen()
        server, port = await start(seen)
        answer = await talk(
            port,
            b"POST /a%20b?c=%2F HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
            b"Connection: close\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
        )
        assert answer.endswith(b"abcde")
        assert seen.requests[0].target == b"/a%20b?c=%2F"
        server.close()

    asyncio.run(play())


@pytest.mark.parametrize(
    ("head", "status"),
    [
        (
            b"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n",
            400,
        ),
        (b"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: 2000\r\n", 413),
        (b"GET / HTTP/1.1\r\nX: " + b"y" * 600 + b"\r\n", 431),
        (b"nonsense\r\n", 400),
    ],
)
def test_what_cannot_be_read_is_refused_without_being_handled(
    head: bytes, status: int
) -> None:
    async def play() -> None:
        seen = Seen()
        server, port = await start(seen, WireLimits(500, 1000))
        answer = await talk(port, head + b"Host: x\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 %d " % status)
        assert seen.requests == []
        server.close()

    asyncio.run(play())


def test_a_client_that_leaves_has_its_request_cancelled() -> None:
    async def play() -> None:
        seen = Seen()
        seen.wait = True
        server, port = await start(seen)
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        while not seen.requests:
            await asyncio.sleep(0.01)
        writer.close()
        async with asyncio.timeout(5):
            while not seen.cancelled:
                await asyncio.sleep(0.01)
        assert server.busy_count == 0
        server.close()

    asyncio.run(play())


def test_requests_that_follow_on_one_connection_are_answered_in_order() -> None:
    async def play() -> None:
        seen = Seen()
        server, port = await start(seen)
        request = b"POST /%d HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n%d"
        data = b"".join(request % (n, n) for n in range(4))
        answer = await talk(port, data, b"\r\n\r\n3")
        assert [part[-1:] for part in answer.split(b"HTTP/1.1 200 OK")[1:]] == [
            b"0",
            b"1",
            b"2",
            b"3",
        ]
        server.close()

    asyncio.run(play())


def test_a_draining_server_answers_and_asks_to_close() -> None:
    async def play() -> None:
        seen = Seen()
        server, port = await start(seen)
        server.draining = True
        answer = await talk(port, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        assert b"Connection: close" in answer
        assert answer.endswith(b"ok")
        server.close()

    asyncio.run(play())
