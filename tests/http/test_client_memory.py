"""Tests of the account of the bytes that a process holds for its clients."""

from __future__ import annotations

import asyncio

import pytest

from dragonflyrock.http import (
    BufferedBodies,
    ClientMemory,
    ConnectionPool,
    HttpServer,
    Request,
    Response,
    ServerConnection,
    WireLimits,
    make_response,
)
from dragonflyrock.http.client import WRITTEN_PART_BYTES
from dragonflyrock.http.memory import SMALL_BYTES, STALL_SECONDS
from tests.common import free_port
from tests.paused_clock import PausedClock, run_paused

LARGE = 10 * SMALL_BYTES


class Holder:
    """A connection that holds bytes."""

    def __init__(self, memory: ClientMemory, progressed_at: float = 0.0) -> None:
        """Hold nothing."""
        self.is_expendable = True
        self.progressed_at = progressed_at
        self.was_given_up = False
        self._memory = memory

    def give_up_memory(self) -> None:
        """Drop everything."""
        self.was_given_up = True
        self._memory.set(self, 0)


def make_holders(
    memory: ClientMemory, *sizes: int, progressed_at: float = 100.0
) -> list[Holder]:
    """Return connections that hold some bytes each."""
    holders = [Holder(memory, progressed_at) for _ in sizes]
    for holder, size in zip(holders, sizes, strict=True):
        memory.set(holder, size)
    return holders


@pytest.fixture
def memory() -> ClientMemory:
    """Return an account at 100 s with room for three large bodies."""
    return ClientMemory(3 * LARGE, lambda: 100.0)


# Guards against a process that holds more than its share of the machine's memory.
def test_the_largest_gives_way_past_the_limit(memory: ClientMemory) -> None:
    small, large, newest = make_holders(memory, LARGE, LARGE + 5, LARGE)
    assert (small.was_given_up, large.was_given_up) == (False, True)
    assert not newest.was_given_up
    assert memory.total <= memory.limit
    assert memory.given_up == 1


# Guards against a client in progress that gives way to those which have stopped.
def test_stalled_clients_give_way_first(memory: ClientMemory) -> None:
    stalled_at = 100.0 - STALL_SECONDS - 0.1
    (stalled,) = make_holders(memory, LARGE, progressed_at=stalled_at)
    others = make_holders(memory, LARGE, 2 * LARGE)
    assert stalled.was_given_up
    assert [holder.was_given_up for holder in others] == [False, False]


# Guards against small requests that are refused beside a crowd of large ones.
def test_small_holders_stay_while_large_ones_can_give_way(memory: ClientMemory) -> None:
    small = make_holders(memory, *([SMALL_BYTES - 1] * 20), progressed_at=0.0)
    make_holders(memory, LARGE, LARGE, LARGE)
    assert not any(holder.was_given_up for holder in small)
    assert memory.total <= memory.limit


# Guards against requests at work that are cut for want of memory, and against an
# endless search for something that can give way.
def test_what_does_not_wait_for_its_client_stays(memory: ClientMemory) -> None:
    holders = [Holder(memory) for _ in range(5)]
    for holder in holders:
        holder.is_expendable = False
        memory.set(holder, LARGE)
    assert not any(holder.was_given_up for holder in holders)
    assert memory.is_pressed


# Guards against a bound where none is set.
def test_without_a_limit_nothing_gives_way() -> None:
    memory = ClientMemory()
    assert not any(h.was_given_up for h in make_holders(memory, 10**9, 10**9))
    assert not memory.is_pressed


# Guards against an account that keeps the bytes of connections that are gone.
def test_an_account_is_empty_when_its_holders_are(memory: ClientMemory) -> None:
    for holder in make_holders(memory, LARGE, 5, LARGE):
        memory.set(holder, 0)
    assert memory.total == 0


async def start_server(
    memory: ClientMemory, limits: WireLimits | None = None
) -> tuple[HttpServer, int]:
    """Return a server that answers with the length of a body, and its port."""

    async def handle(request: Request) -> Response:
        return make_response(200, b"%d" % len(request.body))

    server = HttpServer(handle, limits or WireLimits(), memory)
    port = free_port()
    await server.start(f"127.0.0.1:{port}")
    return server, port


# Guards against a refusal that is no promise, or says not when to come back, for a body
# that there is no memory for; and against bytes that stay in the account.
def test_a_body_past_the_limit_is_refused_as_not_run() -> None:
    async def scenario() -> None:
        memory = ClientMemory(1_000_000, asyncio.get_running_loop().time)
        server, port = await start_server(memory)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1100000\r\n\r\n")
        writer.write(bytes(1_050_000))
        async with asyncio.timeout(10):
            head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 503 ")
        assert b"Retry-After: 1" in head
        writer.close()
        while server.connections:
            await asyncio.sleep(0.01)
        assert memory.total == 0
        server.close()

    asyncio.run(scenario())


# Guards against a body that stops, or nearly, and is held for ever; and against a slow
# one that keeps a fair pace and is ended like it.
@pytest.mark.parametrize(
    ("bytes_per_second", "is_ended"), [(0, True), (1, True), (20_000, False)]
)
def test_a_body_needs_a_least_pace(bytes_per_second: int, *, is_ended: bool) -> None:
    async def scenario(clock: PausedClock) -> None:
        memory = ClientMemory(0)
        server, port = await start_server(memory)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9000000\r\n\r\n")
        await asyncio.sleep(0.1)
        for _ in range(40):
            if not server.connections:
                break
            if bytes_per_second:
                writer.write(bytes(bytes_per_second))
            await asyncio.sleep(1.0)
        assert (not server.connections) is is_ended
        if is_ended:
            assert (await reader.read()).startswith(b"HTTP/1.1 408 ")
            assert memory.total == 0
        writer.close()
        server.close()

    run_paused(scenario)


# Guards against a body of many tiny chunks that takes many times its size in memory, as
# each is kept as an object, and against one that loses bytes.
def test_tiny_chunks_make_one_body() -> None:
    async def scenario() -> None:
        server, port = await start_server(ClientMemory())
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(b"2\r\nab\r\n" * 20_000 + b"0\r\n\r\n")
        async with asyncio.timeout(10):
            await reader.readuntil(b"\r\n\r\n")
            assert await reader.readexactly(5) == b"40000"
        writer.close()
        server.close()

    asyncio.run(scenario())


# Guards against an idle crowd that keeps others out: the connection longest without use
# gives way to a new one, and one whose request is at work never does.
def test_the_connection_longest_without_use_gives_way() -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def handle(request: Request) -> Response:
            await release.wait()
            return make_response(200, b"ok")

        server = HttpServer(handle, WireLimits(), max_connections=3)
        port = free_port()
        await server.start(f"127.0.0.1:{port}")
        busy_reader, busy = await asyncio.open_connection("127.0.0.1", port)
        busy.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        await asyncio.sleep(0.05)
        idle = []
        for _ in range(10):
            idle.append(await asyncio.open_connection("127.0.0.1", port))
            await asyncio.sleep(0.02)
        assert len(server.connections) <= 3
        assert server.turned_away == 8
        release.set()
        async with asyncio.timeout(10):
            assert b"200" in await busy_reader.readuntil(b"\r\n\r\n")
            reader, writer = idle[-1]
            writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            assert b"200" in await reader.readuntil(b"\r\n\r\n")
        for _, writer in [*idle, (busy_reader, busy)]:
            writer.close()
        server.close()

    asyncio.run(scenario())


# Guards against a large request that its connection copies as a whole, and against one
# whose server answers before it has read it and then gets another request as its rest.
def test_a_large_request_is_written_in_parts() -> None:
    async def scenario() -> None:
        async def answer_early(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            # The rest of the body stays unread until the client resets the connection.
            await reset.wait()
            writer.close()

        reset = asyncio.Event()

        listener = await asyncio.start_server(answer_early, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        pool = ConnectionPool()
        connected = await pool.connect(f"127.0.0.1:{port}", 1.0)
        assert isinstance(connected, ServerConnection)
        body = bytes(30_000_000)
        request = Request(b"POST", b"/", ((b"Host", b"x"),), body)
        exchange = asyncio.create_task(connected.exchange(request, needs_id=False))
        assert isinstance(await exchange, Response)
        assert connected._transport is not None
        size = connected._transport.get_write_buffer_size()
        assert size <= 4 * WRITTEN_PART_BYTES
        assert not connected.is_reusable
        connected.abort()
        reset.set()
        listener.close()
        await listener.wait_closed()

    asyncio.run(scenario())


# Guards against a large request that is cut, or changed, as it is written in parts.
def test_a_large_request_arrives_whole() -> None:
    async def scenario() -> None:
        received: list[bytes] = []

        async def handle(request: Request) -> Response:
            received.append(request.body)
            return make_response(200)

        server = HttpServer(handle, WireLimits())
        port = free_port()
        await server.start(f"127.0.0.1:{port}")
        pool = ConnectionPool()
        connected = await pool.connect(f"127.0.0.1:{port}", 1.0)
        assert isinstance(connected, ServerConnection)
        body = bytes(range(256)) * 40_000
        request = Request(b"POST", b"/", ((b"Host", b"x"),), body)
        assert isinstance(await connected.exchange(request, needs_id=False), Response)
        assert received == [body]
        connected.close()
        server.close()

    asyncio.run(scenario())


# Guards against a crowd that keeps all connections busy with requests sent ahead, so
# that each new one is closed at once: the one that is furthest ahead gives way.
def test_a_busy_connection_that_is_far_ahead_gives_way() -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def handle(request: Request) -> Response:
            await release.wait()
            return make_response(200, b"ok")

        server = HttpServer(handle, WireLimits(), max_connections=2)
        port = free_port()
        await server.start(f"127.0.0.1:{port}")
        one = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
        calm_reader, calm = await asyncio.open_connection("127.0.0.1", port)
        calm.write(one)
        greedy_reader, greedy = await asyncio.open_connection("127.0.0.1", port)
        greedy.write(one * 40)
        await asyncio.sleep(0.05)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(one)
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await greedy_reader.readexactly(1)
        release.set()
        async with asyncio.timeout(10):
            assert b"200" in await reader.readuntil(b"\r\n\r\n")
            assert b"200" in await calm_reader.readuntil(b"\r\n\r\n")
        for each in (writer, greedy, calm):
            each.close()
        server.close()

    asyncio.run(scenario())


class Body:
    """A connection that is reading a response."""

    def __init__(self) -> None:
        """Read on."""
        self.was_given_up = False

    def give_up_body(self, detail: str) -> None:
        """Read no more."""
        self.was_given_up = True


# Guards against a host whose clients and servers take a share of its memory each, which
# together are more than it has.
def test_unread_responses_give_way_to_responses_being_read() -> None:
    memory = ClientMemory(3 * LARGE, lambda: 100.0, 4 * LARGE)
    bodies = BufferedBodies(3 * LARGE, memory)
    small, large = make_holders(memory, LARGE, 2 * LARGE)
    reading = Body()
    bodies.add(reading, LARGE + 1)
    assert (small.was_given_up, large.was_given_up) == (False, True)
    assert not reading.was_given_up
    bodies.remove(reading)
    assert memory.server_bytes == 0


# Guards against responses without bound beside requests that cannot give way.
def test_responses_being_read_have_what_clients_leave() -> None:
    memory = ClientMemory(3 * LARGE, lambda: 100.0, 4 * LARGE)
    bodies = BufferedBodies(3 * LARGE, memory)
    for holder in make_holders(memory, LARGE, LARGE, LARGE):
        holder.is_expendable = False
    small, large = Body(), Body()
    bodies.add(small, LARGE // 4)
    bodies.add(large, LARGE // 2)
    bodies.add(small, LARGE // 4 + 1)
    assert (small.was_given_up, large.was_given_up) == (True, False)
    assert memory.total + memory.server_bytes <= memory.joint_limit


# Guards against a stack that grows with the number of clients that give way at once.
def test_many_clients_give_way_at_once() -> None:
    memory = ClientMemory(3_000, lambda: 100.0, 3_100)
    holders = make_holders(memory, *([1] * 3_000))
    memory.set_server_bytes(3_100)
    assert all(holder.was_given_up for holder in holders)
    assert memory.total == 0


# Guards against responses of which a client takes a part: what is left of them keeps
# all of their bytes in memory, and the account had only what was left.
def test_a_response_counts_whole_until_its_last_part_is_written() -> None:
    async def scenario() -> None:
        body = bytes(30_000_000)
        memory = ClientMemory()

        async def handle(request: Request) -> Response:
            return make_response(200, body)

        server = HttpServer(handle, WireLimits(), memory)
        port = free_port()
        await server.start(f"127.0.0.1:{port}")
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1_000)
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        async with asyncio.timeout(10):
            while not memory.total:
                await asyncio.sleep(0.01)
            await reader.readexactly(10_000_000)
            assert memory.total >= len(body)
            while not reader.at_eof() and memory.total:
                await reader.read(1_000_000)
        assert memory.total == 0
        writer.close()
        server.close()

    asyncio.run(scenario())
