"""Tests of the HTTP client against servers that send faulty responses."""

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

ConnectionHandler = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]

GET = Request(b"GET", b"/x", ((b"Host", b"h"), (b"X-Id", b"7")), b"")
RESPONSE = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nok"


async def exchange(
    handle_connection: ConnectionHandler, times: int = 1
) -> tuple[list[Response | ExchangeFault], ServerConnection]:
    """Exchange ``times`` requests with a server on one connection."""
    port = free_port()
    server = await asyncio.start_server(handle_connection, "127.0.0.1", port)
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


def respond_with(*parts: bytes) -> ConnectionHandler:
    """Return a handler that writes the parts of a response, then closes."""

    async def handle_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.close()

    return handle_connection


# Guards against a response that is mistaken for that of another request.
def test_response_with_another_request_id_is_skipped() -> None:
    other = RESPONSE.replace(b"X-Id: 7", b"X-Id: 6").replace(b"ok", b"no")
    results, connection = asyncio.run(exchange(respond_with(other, RESPONSE)))
    assert isinstance(results[0], Response)
    assert results[0].body == b"ok"
    assert not connection.is_reusable


# Guards against surplus bytes that are read as the response to the next request.
def test_connection_with_bytes_after_the_response_is_not_reused() -> None:
    results, connection = asyncio.run(exchange(respond_with(RESPONSE + RESPONSE)))
    assert isinstance(results[0], Response)
    assert not connection.is_reusable


# Guards against a truncated response that counts as complete.
def test_truncated_response_is_a_fault() -> None:
    results, _ = asyncio.run(exchange(respond_with(RESPONSE[:-1])))
    assert isinstance(results[0], ExchangeFault)
    assert results[0].kind == FaultKind.CONNECTION_LOST


# Guards against a wait for more bytes, or a lost body, if a response has no length.
def test_response_without_length_ends_when_the_connection_closes() -> None:
    head = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\n"
    results, connection = asyncio.run(exchange(respond_with(head, b"a", b"b")))
    assert isinstance(results[0], Response)
    assert results[0].body == b"ab"
    assert not connection.is_reusable


# Guards against an invalid response that is passed on or raises another error.
def test_invalid_response_is_a_fault() -> None:
    results, _ = asyncio.run(exchange(respond_with(b"\x00\x01garbage\r\n\r\n")))
    assert isinstance(results[0], ExchangeFault)
    assert results[0].kind == FaultKind.BAD_ANSWER


# Guards against a request on a closed idle connection that counts as sent, and so as
# one that may have run.
def test_request_on_a_connection_closed_while_idle_is_not_sent() -> None:
    async def run_scenario(clock: PausedClock) -> None:
        results, _ = await exchange(respond_with(RESPONSE), times=2)
        assert isinstance(results[0], Response)
        assert isinstance(results[1], ExchangeFault)
        assert results[1].kind == FaultKind.NOT_CONNECTED

    # In real time a delayed event loop may not process the close before the second
    # request is sent.
    run_paused(run_scenario)
