"""Responses that end in their heads, as the platform's servers and other hosts send."""

from __future__ import annotations

import asyncio

import pytest

from dragonflyrock.http import (
    ConnectionPool,
    ExchangeFault,
    FaultKind,
    Request,
    ServerConnection,
)

HEADS = {
    "empty-body": b"200 OK\r\nX-Id: 7\r\nContent-Length: 0\r\nX-Last: 1",
    "body": b"200 OK\r\nX-Id: 7\r\nX-Name: 1\r\nContent-Length: 12",
    "until-close": b"200 OK\r\nX-Id: 7\r\nConnection: close\r\nX-Last: 1",
    "chunked": b"200 OK\r\nX-Id: 7\r\nTransfer-Encoding: chunked\r\nX-Last: 1",
    "no-content": b"204 No Content\r\nX-Id: 7\r\nX-Last: 1",
    "not-modified": b"304 Not Modified\r\nX-Id: 7\r\nETag: 1",
    "missing": b"404 Not Found\r\nContent-Length: 0\r\nX-Id: 7\r\nX-Last: 1",
    "failed": b"500 Failed\r\nContent-Length: 0\r\nX-Id: 7\r\nX-Last: 1",
    "refusal": b"503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\nX-Id: 7\r\nX-L: 1",
    "interim": b"100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Last: 1",
}


# Guards against MIXED and ORDER: a response whose head ends anywhere before its blank
# line counts as a whole one with an empty or short body, or as a refusal.
@pytest.mark.parametrize("method", [b"GET", b"HEAD", b"POST"])
@pytest.mark.parametrize("head", list(HEADS.values()), ids=list(HEADS))
def test_a_response_that_ends_in_its_head_is_a_fault(
    head: bytes, method: bytes
) -> None:
    whole = b"HTTP/1.1 " + head + b"\r\n\r\n"
    parts = [whole[:length] for length in range(len(whole))]
    request = Request(method, b"/x", ((b"Host", b"h"),), b"")

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(parts[0])
        writer.close()

    async def run() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        pool = ConnectionPool()
        while parts:
            connection = await pool.connect(address, 1.0)
            assert isinstance(connection, ServerConnection)
            result = await connection.exchange(request, b"x-id", b"7")
            assert isinstance(result, ExchangeFault), parts[0]
            assert result.kind == FaultKind.CONNECTION_LOST, parts[0]
            parts.pop(0)
        server.close()

    asyncio.run(run())
