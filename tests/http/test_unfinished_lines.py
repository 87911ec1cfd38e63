"""Tests of requests whose parts are small on the wire and not in memory."""

from __future__ import annotations

import asyncio
from contextlib import suppress

import pytest

from dragonflyrock.http import (
    ClientMemory,
    ConnectionPool,
    ExchangeFault,
    HttpServer,
    Request,
    Response,
    ServerConnection,
    WireLimits,
    make_response,
)
from dragonflyrock.http.connection import HEADER_OVERHEAD_BYTES, PARSED_PART_BYTES
from tests.common import free_port

HEADER_BYTES = 16 * 1024
PART = b"f" * 4096
CHUNKED = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"


async def start(memory: ClientMemory) -> tuple[HttpServer, int]:
    """Return a server that answers with the number of headers, and its port."""

    async def handle(request: Request) -> Response:
        return make_response(200, b"%d" % len(request.headers))

    server = HttpServer(handle, WireLimits(HEADER_BYTES), memory)
    port = free_port()
    await server.start(f"127.0.0.1:{port}")
    return server, port


# Guards against a line without end, which the parser keeps until it is complete, where
# no bound and no account has it.
@pytest.mark.parametrize(
    "start_of_line",
    [
        b"GET / HTTP/1.1\r\nHost: x\r\nX-Value: ",
        b"GET / HTTP/1.1\r\nHost: x\r\nX-Name-",
        CHUNKED + b"0\r\nX-Trailer: ",
        CHUNKED + b"1;extension=",
    ],
    ids=["value", "name", "trailer", "chunk-extension"],
)
def test_a_line_without_end_is_refused(start_of_line: bytes) -> None:
    async def scenario() -> None:
        memory = ClientMemory()
        server, port = await start(memory)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(start_of_line)
        largest = sent = 0
        while not reader.at_eof() and sent < 10 * HEADER_BYTES:
            writer.write(PART)
            sent += len(PART)
            await asyncio.sleep(0.005)
            largest = max(largest, memory.total)
            if memory.total == 0:
                break
        async with asyncio.timeout(5):
            assert (await reader.readline()).startswith(b"HTTP/1.1 431 ")
        assert HEADER_BYTES // 2 < largest <= HEADER_BYTES + 2 * PARSED_PART_BYTES
        writer.close()
        server.close()

    asyncio.run(scenario())


# Guards against a bound that a legal head meets, whatever the parts in which it comes.
@pytest.mark.parametrize("part_bytes", [1_000, PARSED_PART_BYTES, HEADER_BYTES])
def test_a_long_legal_line_is_read(part_bytes: int) -> None:
    async def scenario() -> None:
        server, port = await start(ClientMemory())
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        head = b"GET / HTTP/1.1\r\nHost: x\r\nX-Value: " + b"v" * (HEADER_BYTES - 100)
        head += b"\r\n\r\n"
        for start_of_part in range(0, len(head), part_bytes):
            writer.write(head[start_of_part : start_of_part + part_bytes])
            await asyncio.sleep(0.002)
        async with asyncio.timeout(5):
            assert (await reader.readline()).startswith(b"HTTP/1.1 200 ")
        writer.close()
        server.close()

    asyncio.run(scenario())


# Guards against many short headers, which take many times their bytes as objects.
def test_the_account_has_what_headers_take_as_objects() -> None:
    async def scenario() -> None:
        memory = ClientMemory()
        server, port = await start(memory)
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n" + b"a:b\r\n" * 1_000)
        async with asyncio.timeout(5):
            while memory.total < 1_000 * HEADER_OVERHEAD_BYTES:
                await asyncio.sleep(0.005)
        assert memory.total < 1_000 * HEADER_OVERHEAD_BYTES + HEADER_BYTES
        writer.close()
        server.close()

    asyncio.run(scenario())


# Guards against a trailer of a response that does not end, which the parser keeps while
# the bound on all but the body grows with the body.
def test_a_trailer_of_a_response_without_end_is_given_up() -> None:
    body = 8_000_000
    sent = 0

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal sent
        await reader.readuntil(b"\r\n\r\n")
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head + b"%x\r\n%s\r\n0\r\nX-Trailer: " % (body, bytes(body)))
        with suppress(ConnectionError):
            while sent < 5 * body:
                writer.write(bytes(b"x" * 65_536))
                await writer.drain()
                sent += 65_536
        writer.close()

    async def scenario() -> None:
        listener = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        connection = await ConnectionPool().connect(f"127.0.0.1:{port}", 1.0)
        assert isinstance(connection, ServerConnection)
        request = Request(b"GET", b"/", ((b"Host", b"x"),), b"")
        async with asyncio.timeout(10):
            result = await connection.exchange(request, needs_id=False)
        assert isinstance(result, ExchangeFault)
        assert result.detail.startswith("a line exceeds")
        listener.close()

    asyncio.run(scenario())
    # What fits in the buffers of the sockets is sent too.
    assert sent < 4 * body
