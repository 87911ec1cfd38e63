"""Tests of responses that a faulty server writes once more on a kept connection."""

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
from dragonflyrock.http.client import MAX_FAILED_IDS

GET = Request(b"GET", b"/x", ((b"Host", b"h"),), b"")
Scenario = Callable[[ConnectionPool, str], Awaitable[None]]


def encode_answer(status: bytes, request_id: bytes) -> bytes:
    """Return an encoded response; without an id it names no request."""
    named = b"X-Id: %s\r\n" % request_id if request_id else b""
    return b"HTTP/1.1 %s\r\n%sContent-Length: 0\r\n\r\n" % (status, named)


def run_with_answers(answers: list[bytes], scenario: Scenario) -> None:
    """Run a scenario with a server that answers each request with the next bytes."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while answers:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(answers.pop(0))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()

    async def run() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with asyncio.timeout(5):
            await scenario(ConnectionPool(), f"127.0.0.1:{port}")
        server.close()

    asyncio.run(run())


async def ask(
    pool: ConnectionPool, address: str, request_id: bytes
) -> Response | ExchangeFault:
    """Send a request over the pool, and return its response."""
    connection = pool.acquire_idle(address, request_id)
    if connection is None:
        opened = await pool.connect(address, 1.0)
        assert isinstance(opened, ServerConnection)
        connection = opened
    result = await connection.exchange(GET, b"x-id", request_id)
    pool.release(connection)
    return result


REFUSAL = b"503 Service Unavailable"


# Guards against REFUSED and TWICE: a request is sent again on the connection on which
# it was refused, and a copy of the refusal is taken for the answer while it runs.
def test_a_request_is_not_sent_again_where_it_was_refused() -> None:
    async def scenario(pool: ConnectionPool, address: str) -> None:
        assert isinstance(await ask(pool, address, b"7"), Response)
        assert pool.acquire_idle(address, b"7") is None
        other = pool.acquire_idle(address, b"8")
        assert other is not None
        other.close()

    run_with_answers([encode_answer(REFUSAL, b"7"), b""], scenario)


# Guards against a connection that remembers ever more ids of refused requests.
def test_a_connection_that_refused_many_requests_is_not_used_again() -> None:
    ids = [b"%d" % number for number in range(MAX_FAILED_IDS)]

    async def scenario(pool: ConnectionPool, address: str) -> None:
        for request_id in ids:
            assert isinstance(await ask(pool, address, request_id), Response)
        assert pool.count_idle(address) == 0

    run_with_answers([encode_answer(REFUSAL, i) for i in ids], scenario)


# Guards against a copy of an earlier refusal, without an id, that reaches the caller of
# the next request on its connection.
def test_an_answer_without_an_id_after_another_one_is_a_fault() -> None:
    async def scenario(pool: ConnectionPool, address: str) -> None:
        assert isinstance(await ask(pool, address, b"1"), Response)
        result = await ask(pool, address, b"2")
        assert isinstance(result, ExchangeFault)
        assert result.kind == FaultKind.BAD_ANSWER
        assert pool.count_idle(address) == 0

    answers = [encode_answer(b"200 OK", b"1"), encode_answer(REFUSAL, b"")]
    run_with_answers(answers, scenario)


# Guards against a connection that is used again after an answer without an id: nothing
# tells a second copy of it from the next answer.
def test_an_answer_without_an_id_is_the_last_on_its_connection() -> None:
    async def scenario(pool: ConnectionPool, address: str) -> None:
        result = await ask(pool, address, b"1")
        assert isinstance(result, Response)
        assert pool.count_idle(address) == 0

    run_with_answers([encode_answer(REFUSAL, b"")], scenario)


# Guards against a request without an id that gets a copy of an earlier answer.
def test_a_request_without_an_id_gets_a_new_connection() -> None:
    async def scenario(pool: ConnectionPool, address: str) -> None:
        assert isinstance(await ask(pool, address, b"1"), Response)
        assert pool.count_idle(address) == 1
        assert pool.acquire_idle(address, b"") is None

    run_with_answers([encode_answer(b"200 OK", b"1"), b""], scenario)


# Guards against a copy that arrives after a connection was chosen and before the event
# loop has read it, when the next request is written.
def test_a_copy_that_waits_unread_is_not_the_answer_to_the_next_request() -> None:
    async def scenario(pool: ConnectionPool, address: str) -> None:
        assert isinstance(await ask(pool, address, b"1"), Response)
        connection = pool.acquire_idle(address, b"2")
        assert connection is not None
        result = await connection.exchange(GET, b"x-id", b"2")
        assert isinstance(result, Response)
        assert result.status == 200

    first = encode_answer(REFUSAL, b"1")
    run_with_answers([first, first + encode_answer(b"200 OK", b"2")], scenario)
