"""The calling side, against servers that answer badly."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from dragonflyrock.http import (
    ConnectionPool,
    ExchangeFault,
    FaultKind,
    Request,
    Response,
    ServerConnection,
)
from tests.common import free_port
from tests.paused_clock import PausedClock, run_paused

Talk = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]

GET = Request(b"GET", b"/x", ((b"Host", b"h"), (b"X-Id", b"7")), b"")
WHOLE = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nok"


async def exchange(
    talk: Talk, times: int = 1
) -> tuple[list[Response | ExchangeFault], ServerConnection]:
    """Exchange some requests on one connection with a server that talks so."""
    port = free_port()
    server = await asyncio.start_server(talk, "127.0.0.1", port)
    connections = ConnectionPool()
    connection = await connections.connect(f"127.0.0.1:{port}", 1.0)
    assert isinstance(connection, ServerConnection)
    results = []
    for _ in range(times):
        async with asyncio.timeout(5):
            results.append(await connection.exchange(GET, b"x-id", b"7"))
        await asyncio.sleep(0.02)
    server.close()
    return results, connection


def answer_with(*parts: bytes) -> Talk:
    """Return a server that writes parts, then closes."""

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.close()

    return talk


def test_an_answer_to_another_request_is_passed_over() -> None:
    late = WHOLE.replace(b"X-Id: 7", b"X-Id: 6").replace(b"ok", b"no")
    results, connection = asyncio.run(exchange(answer_with(late, WHOLE)))
    assert isinstance(results[0], Response)
    assert results[0].body == b"ok"
    assert not connection.is_reusable


def test_bytes_after_an_answer_make_the_connection_unusable() -> None:
    results, connection = asyncio.run(exchange(answer_with(WHOLE + WHOLE)))
    assert isinstance(results[0], Response)
    assert not connection.is_reusable


def test_an_answer_that_is_cut_is_a_fault() -> None:
    results, _ = asyncio.run(exchange(answer_with(WHOLE[:-1])))
    assert isinstance(results[0], ExchangeFault)
    assert results[0].kind == FaultKind.CONNECTION_LOST


def test_an_answer_without_a_length_ends_with_its_connection() -> None:
    head = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\n"
    results, connection = asyncio.run(exchange(answer_with(head, b"a", b"b")))
    assert isinstance(results[0], Response)
    assert results[0].body == b"ab"
    assert not connection.is_reusable


def test_bytes_that_are_no_answer_are_a_fault() -> None:
    results, _ = asyncio.run(exchange(answer_with(b"\x00\x01garbage\r\n\r\n")))
    assert isinstance(results[0], ExchangeFault)
    assert results[0].kind == FaultKind.BAD_ANSWER


def test_a_request_on_a_connection_closed_while_idle_was_not_sent() -> None:
    async def scene(clock: PausedClock) -> None:
        results, _ = await exchange(answer_with(WHOLE), times=2)
        assert isinstance(results[0], Response)
        assert isinstance(results[1], ExchangeFault)
        assert results[1].kind == FaultKind.NOT_CONNECTED

    # On real time a late loop had not seen the close when the second request went out.
    run_paused(scene)
