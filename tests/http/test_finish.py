"""How the listening side ends: what it has taken is answered whole."""

from __future__ import annotations

import asyncio
import socket

import pytest

from dragonflyrock.http import HttpServer, Request, Response, WireLimits, make_response
from tests.common import free_port
from tests.paused_clock import PausedClock, run_paused

ASK = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
LARGE_BYTES = 8_000_000
# A reader that takes this much each hundredth of a second.
READ_BYTES = 65_536


# Guards against a large answer cut 0.2 s after it was handed over: a slow reader had
# not taken it when the process ended.
def test_a_large_answer_to_a_slow_reader_is_whole() -> None:
    async def scene(clock: PausedClock) -> None:
        async def handle(request: Request) -> Response:
            return make_response(200, b"x" * LARGE_BYTES)

        server = HttpServer(handle, WireLimits())
        port = free_port()
        await server.start(f"127.0.0.1:{port}")
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", port, limit=READ_BYTES
        )
        writer.write(ASK)
        await asyncio.sleep(0.05)

        async def read() -> int:
            got = 0
            while part := await reader.read(READ_BYTES):
                got += len(part)
                await asyncio.sleep(0.01)
            return got

        reading = asyncio.create_task(read())
        await server.finish(clock.now + 5.0)
        assert not server.connections
        assert await reading > LARGE_BYTES
        writer.close()

    run_paused(scene)


# Guards against a connection that is accepted as the listener closes, and whose request
# is read, and cut, when the server counts as finished.
@pytest.mark.parametrize("turns", range(8))
def test_nothing_is_taken_after_the_end(turns: int) -> None:
    async def scene(clock: PausedClock) -> None:
        asked = []

        async def handle(request: Request) -> Response:
            asked.append(clock.now)
            await asyncio.sleep(0.3)
            return make_response(200, b"whole")

        server = HttpServer(handle, WireLimits())
        port = free_port()
        await server.start(f"127.0.0.1:{port}")
        client = socket.create_connection(("127.0.0.1", port))
        client.sendall(ASK)
        for _ in range(turns):
            await asyncio.sleep(0)
        await server.finish(clock.now + 5.0)
        finished = clock.now
        await asyncio.sleep(0.05)
        client.close()
        assert not server.connections
        assert all(time < finished for time in asked)

    run_paused(scene)


# Guards against a request that was read behind another one on its connection, and was
# dropped when the first one's answer said that the connection is closed.
def test_a_request_read_behind_another_is_answered() -> None:
    async def scene(clock: PausedClock) -> None:
        async def handle(request: Request) -> Response:
            await asyncio.sleep(0.5)
            return make_response(200, b"whole")

        server = HttpServer(handle, WireLimits())
        port = free_port()
        await server.start(f"127.0.0.1:{port}")
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(ASK + ASK)
        await asyncio.sleep(0.1)
        finishing = asyncio.create_task(server.finish(clock.now + 5.0))
        got = await reader.read(-1)
        await finishing
        writer.close()
        assert got.count(b"HTTP/1.1 200") == 2
        assert got.count(b"Connection: close") == 1

    run_paused(scene)


# Guards against a handler that does not answer when it is cut: its client got a closed
# connection.
def test_a_handler_that_is_cut_is_answered_for() -> None:
    async def scene(clock: PausedClock) -> None:
        async def handle(request: Request) -> Response:
            await asyncio.sleep(60.0)
            return make_response(200)

        server = HttpServer(handle, WireLimits())
        port = free_port()
        await server.start(f"127.0.0.1:{port}")
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(ASK)
        await asyncio.sleep(0.1)
        await server.finish(clock.now + 1.0)
        assert (await reader.read(-1)).startswith(b"HTTP/1.1 502 ")
        writer.close()

    run_paused(scene)
