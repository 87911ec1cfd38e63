"""Tests of the HTTP server over sockets on loopback."""

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


class RecordingHandler:
    """A handler that records its requests and counts its cancellations."""

    def __init__(self) -> None:
        """Initialize a handler without requests."""
        self.requests: list[Request] = []
        self.cancelled = 0
        self.release = asyncio.Event()
        self.wait = False

    async def handle(self, request: Request) -> Response:
        """Echo the body, at once or after ``release`` is set."""
        self.requests.append(request)
        if self.wait:
            try:
                await self.release.wait()
            except asyncio.CancelledError:
                self.cancelled += 1
                raise
        return make_response(200, request.body or b"ok")


async def start(
    handler: RecordingHandler, limits: WireLimits | None = None
) -> tuple[HttpServer, int]:
    """Return a listening server and its port."""
    server = HttpServer(handler.handle, limits or WireLimits())
    port = free_port()
    await server.start(f"127.0.0.1:{port}")
    return server, port


async def send_bytes(port: int, data: bytes, until: bytes = b"") -> bytes:
    """Send bytes and return the bytes received up to ``until`` or the end."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    received = b""
    async with asyncio.timeout(5):
        while not until or until not in received:
            part = await reader.read(4096)
            if not part:
                break
            received += part
    writer.close()
    return received


# Guards against a chunked body that loses bytes, and a target that is decoded.
def test_chunked_body_is_received_complete_and_unchanged() -> None:
    async def run_scenario() -> None:
        handler = RecordingHandler()
        server, port = await start(handler)
        response = await send_bytes(
            port,
            b"POST /a%20b?c=%2F HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
            b"Connection: close\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
        )
        assert response.endswith(b"abcde")
        assert handler.requests[0].target == b"/a%20b?c=%2F"
        server.close()

    asyncio.run(run_scenario())


# Guards against request smuggling by an ambiguous length, and requests above the size
# limits.
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
def test_invalid_request_is_refused_and_not_handled(head: bytes, status: int) -> None:
    async def run_scenario() -> None:
        handler = RecordingHandler()
        server, port = await start(handler, WireLimits(500, 1000))
        response = await send_bytes(port, head + b"Host: x\r\n\r\n")
        assert response.startswith(b"HTTP/1.1 %d " % status)
        assert handler.requests == []
        server.close()

    asyncio.run(run_scenario())


# Guards against work for a client that has disconnected.
def test_request_of_a_disconnected_client_is_cancelled() -> None:
    async def run_scenario() -> None:
        handler = RecordingHandler()
        handler.wait = True
        server, port = await start(handler)
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        while not handler.requests:
            await asyncio.sleep(0.01)
        writer.close()
        async with asyncio.timeout(5):
            while not handler.cancelled:
                await asyncio.sleep(0.01)
        assert server.busy_count == 0
        server.close()

    asyncio.run(run_scenario())


# Guards against responses in another order than that of the requests.
def test_pipelined_requests_are_answered_in_order() -> None:
    async def run_scenario() -> None:
        handler = RecordingHandler()
        server, port = await start(handler)
        request = b"POST /%d HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n%d"
        data = b"".join(request % (n, n) for n in range(4))
        response = await send_bytes(port, data, b"\r\n\r\n3")
        assert [part[-1:] for part in response.split(b"HTTP/1.1 200 OK")[1:]] == [
            b"0",
            b"1",
            b"2",
            b"3",
        ]
        server.close()

    asyncio.run(run_scenario())


# Guards against a connection that stays open while the server drains.
def test_draining_server_answers_and_closes_the_connection() -> None:
    async def run_scenario() -> None:
        handler = RecordingHandler()
        server, port = await start(handler)
        server.draining = True
        response = await send_bytes(port, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        assert b"Connection: close" in response
        assert response.endswith(b"ok")
        server.close()

    asyncio.run(run_scenario())


# Guards against an invitation to send a body that is too large, or that nobody asked
# for.
@pytest.mark.parametrize(
    ("head", "expected"),
    [
        (b"Expect: 100-continue\r\nContent-Length: 2\r\n", b"HTTP/1.1 100 "),
        (b"Content-Length: 2000\r\nExpect: 100-continue\r\n", b"HTTP/1.1 413 "),
        (b"Expect: 100-continue\r\nContent-Length: 2000\r\n", b"HTTP/1.1 413 "),
        (b"Expect: a-miracle\r\nContent-Length: 0\r\n", b"HTTP/1.1 200 "),
    ],
)
def test_only_a_request_that_is_accepted_is_told_to_continue(
    head: bytes, expected: bytes
) -> None:
    async def run_scenario() -> None:
        server, port = await start(RecordingHandler(), WireLimits(500, 1000))
        data = b"POST / HTTP/1.1\r\nHost: x\r\n" + head + b"\r\n"
        response = await send_bytes(port, data, b"\r\n\r\n")
        assert response.startswith(expected)
        server.close()

    asyncio.run(run_scenario())
