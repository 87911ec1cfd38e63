"""Tests of the graceful stop: accepted requests get complete responses."""

from __future__ import annotations

import asyncio
import socket

import pytest

from dragonflyrock.http import HttpServer, Request, Response, WireLimits, make_response
from tests.common import free_port
from tests.paused_clock import PausedClock, run_paused

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
LARGE_BYTES = 8_000_000
# The slow reader reads at most this number of bytes every 10 ms.
READ_BYTES = 65_536


# Guards against a truncated response: the process ended 0.2 s after a large response
# was written, before a slow client had read it.
def test_large_response_to_a_slow_reader_is_complete() -> None:
    async def run_scenario(clock: PausedClock) -> None:
        async def handle(request: Request) -> Response:
            return make_response(200, b"x" * LARGE_BYTES)

        server = HttpServer(handle, WireLimits())
        port = free_port()
        await server.start(f"127.0.0.1:{port}")
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", port, limit=READ_BYTES
        )
        writer.write(REQUEST)
        await asyncio.sleep(0.05)

        async def read() -> int:
            received = 0
            while part := await reader.read(READ_BYTES):
                received += len(part)
                await asyncio.sleep(0.01)
            return received

        reading = asyncio.create_task(read())
        await server.finish(clock.now + 5.0)
        assert not server.connections
        assert await reading > LARGE_BYTES
        writer.close()

    run_paused(run_scenario)


# Guards against a request that is read, and cancelled, after the server has finished,
# because its connection is accepted while the listener closes.
@pytest.mark.parametrize("turns", range(8))
def test_no_request_is_handled_after_the_server_has_finished(turns: int) -> None:
    async def run_scenario(clock: PausedClock) -> None:
        handled_at = []

        async def handle(request: Request) -> Response:
            handled_at.append(clock.now)
            await asyncio.sleep(0.3)
            return make_response(200, b"whole")

        server = HttpServer(handle, WireLimits())
        port = free_port()
        await server.start(f"127.0.0.1:{port}")
        client = socket.create_connection(("127.0.0.1", port))
        client.sendall(REQUEST)
        for _ in range(turns):
            await asyncio.sleep(0)
        await server.finish(clock.now + 5.0)
        finished_at = clock.now
        await asyncio.sleep(0.05)
        client.close()
        assert not server.connections
        assert all(time < finished_at for time in handled_at)

    run_paused(run_scenario)


# Guards against a pipelined request that is dropped because the response to the request
# before it already closes the connection.
def test_pipelined_request_is_answered() -> None:
    async def run_scenario(clock: PausedClock) -> None:
        async def handle(request: Request) -> Response:
            await asyncio.sleep(0.5)
            return make_response(200, b"whole")

        server = HttpServer(handle, WireLimits())
        port = free_port()
        await server.start(f"127.0.0.1:{port}")
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(REQUEST + REQUEST)
        await asyncio.sleep(0.1)
        finishing = asyncio.create_task(server.finish(clock.now + 5.0))
        received = await reader.read(-1)
        await finishing
        writer.close()
        assert received.count(b"HTTP/1.1 200") == 2
        assert received.count(b"Connection: close") == 1

    run_paused(run_scenario)


# Guards against a connection that is closed without a response when a handler is
# cancelled and returns none.
def test_client_of_a_cancelled_handler_gets_a_response() -> None:
    async def run_scenario(clock: PausedClock) -> None:
        async def handle(request: Request) -> Response:
            await asyncio.sleep(60.0)
            return make_response(200)

        server = HttpServer(handle, WireLimits())
        port = free_port()
        await server.start(f"127.0.0.1:{port}")
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(REQUEST)
        await asyncio.sleep(0.1)
        await server.finish(clock.now + 1.0)
        assert (await reader.read(-1)).startswith(b"HTTP/1.1 502 ")
        writer.close()

    run_paused(run_scenario)
