"""Responses in very small parts take little of the time of other requests."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from dragonflyrock.http import (
    ConnectionPool,
    ExchangeFault,
    FaultKind,
    PartPacer,
    Request,
    Response,
    ServerConnection,
)
from dragonflyrock.http.client import PARSED_PART_BYTES
from dragonflyrock.http.part_pacer import (
    BURST_SECONDS,
    FREE_PARTS,
    PARTS_PER_SECOND,
    SMALL_PART_BYTES,
)
from tests.common import free_port
from tests.paused_clock import PausedClock, run_paused

GET = Request(b"GET", b"/x", ((b"Host", b"h"), (b"X-Id", b"7")), b"")
HEAD = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
BYTE_CHUNK = b"1\r\nx\r\n"
MANY_PARTS = 40_000

Scenario = Callable[[PausedClock, ServerConnection], Awaitable[None]]


def run_against(response: bytes, scenario: Scenario, *, endless: bytes = b"") -> None:
    """Run a scenario with a connection to a server that writes a response.

    It writes ``endless`` again and again after it.
    """

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response)
            while endless:
                writer.write(endless)
                await writer.drain()
            await reader.read()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def run(clock: PausedClock) -> None:
        port = free_port()
        server = await asyncio.start_server(serve, "127.0.0.1", port)
        connection = await ConnectionPool().connect(f"127.0.0.1:{port}", 1.0)
        assert isinstance(connection, ServerConnection)
        await scenario(clock, connection)
        connection.abort()
        server.close()
        await asyncio.sleep(0.1)

    run_paused(run)


def count_parts(connection: ServerConnection) -> list[int]:
    """Return a list of the parts that are parsed without a pause for other requests."""
    counts: list[int] = []
    parse = connection._parse_received

    def parse_and_count() -> None:
        before = connection._part_count
        parse()
        counts.append(connection._part_count - before)

    connection._parse_received = parse_and_count  # type: ignore[method-assign]
    return counts


# Guards against one faulty server for which all other requests of a host wait 50 ms at
# a time, as long as it sends parts of a byte.
def test_an_endless_response_in_small_parts_leaves_time_for_others() -> None:
    async def scenario(clock: PausedClock, connection: ServerConnection) -> None:
        counts = count_parts(connection)
        began = clock.read()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(2.0):
                await connection.exchange(GET, b"x-id", b"7")
        seconds = clock.read() - began
        slice_parts = PARSED_PART_BYTES // len(BYTE_CHUNK) + 1
        free = FREE_PARTS + sum(counts) // SMALL_PART_BYTES
        burst = free + BURST_SECONDS * PARTS_PER_SECOND
        assert max(counts) <= burst + slice_parts
        assert sum(counts) <= burst + seconds * PARTS_PER_SECOND + slice_parts

    run_against(CHUNKED, scenario, endless=BYTE_CHUNK * 1000)


# Guards against servers that share out the time of others between them.
def test_all_responses_in_small_parts_share_one_bound() -> None:
    pacer = PartPacer()
    waits = [pacer.charge(PARTS_PER_SECOND // 10, 5.0) for _ in range(10)]
    assert waits[0] == pytest.approx(0.1 - BURST_SECONDS)
    assert waits[-1] == pytest.approx(1.0 - BURST_SECONDS)
    assert pacer.charge(1, 6.5) == 0.0


# Guards against a whole response that is lost, or mixed up, as it is read with pauses.
@pytest.mark.parametrize("in_head", [False, True])
def test_a_response_that_is_read_with_pauses_is_whole(*, in_head: bool) -> None:
    async def scenario(clock: PausedClock, connection: ServerConnection) -> None:
        result = await connection.exchange(GET, b"x-id", b"7")
        assert isinstance(result, Response)
        if not in_head:
            assert result.body == b"x" * MANY_PARTS
        assert connection.is_reusable

    response = CHUNKED + BYTE_CHUNK * MANY_PARTS + b"0\r\n\r\n"
    if in_head:
        response = HEAD + b"a:\r\n" * 9000 + b"Content-Length: 0\r\n\r\n"
    run_against(response, scenario)


# Guards against an ordinary large response that is delayed.
@pytest.mark.parametrize("chunk_bytes", [1024, 65536])
def test_an_ordinary_response_is_read_without_pauses(chunk_bytes: int) -> None:
    chunk = b"%x\r\n" % chunk_bytes + b"x" * chunk_bytes + b"\r\n"
    count = 8 * 1024 * 1024 // chunk_bytes

    async def scenario(clock: PausedClock, connection: ServerConnection) -> None:
        result = await connection.exchange(GET, b"x-id", b"7")
        assert isinstance(result, Response)
        assert len(result.body) == count * chunk_bytes
        assert connection._charged_parts == 0

    run_against(CHUNKED + chunk * count + b"0\r\n\r\n", scenario)


# Guards against a copy of a response in the bytes that were received with the first
# one: its connection must not carry another request.
def test_bytes_after_a_response_rule_out_reuse() -> None:
    async def scenario(clock: PausedClock, connection: ServerConnection) -> None:
        result = await connection.exchange(GET, b"x-id", b"7")
        assert isinstance(result, Response)
        assert not connection.is_reusable

    response = CHUNKED + BYTE_CHUNK * MANY_PARTS + b"0\r\n\r\n"
    run_against(response + HEAD + b"Content-Length: 0\r\n\r\n", scenario)


# Guards against answers to orders and probes that fill a control node: none needs more
# than a few bytes.
def test_a_small_answer_has_a_small_bound() -> None:
    async def scenario(clock: PausedClock, connection: ServerConnection) -> None:
        result = await connection.exchange(GET, b"x-id", b"7", max_body_bytes=1000)
        assert isinstance(result, ExchangeFault)
        assert result.kind == FaultKind.BAD_ANSWER
        assert connection._body.getbuffer().nbytes == 0

    run_against(HEAD + b"\r\n", scenario, endless=b"x" * 1000)
