"""A proxy holds up, loses and breaks off the bytes of one direction."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from soak.proxies import Fault, Proxies

from ..common import find_free_port_block

HELD_SECONDS = 0.3

Exchange = Callable[[Proxies, str], Awaitable[None]]


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


def play(exchange: Exchange) -> None:
    """Run an exchange through a proxy to a server that echoes."""

    async def run() -> None:
        port = find_free_port_block()
        home, door = f"127.0.0.1:{port}", f"127.0.0.1:{port + 1}"
        server = await asyncio.start_server(echo, "127.0.0.1", port)
        proxies = Proxies({})
        await proxies.listen("entry-1", door, home)
        try:
            await exchange(proxies, door)
        finally:
            await proxies.close()
            server.close()

    asyncio.run(run())


async def send(door: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = door.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"0123456789")
    return reader, writer


@pytest.mark.parametrize("forward", [True, False])
def test_a_cut_direction_goes_on_when_the_cut_ends(forward: bool) -> None:
    async def exchange(proxies: Proxies, door: str) -> None:
        fault = Fault("", "entry-1", forward=forward, back=not forward)
        proxies.add(fault)
        reader, writer = await send(door)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(HELD_SECONDS):
                await reader.readexactly(10)
        proxies.remove(fault)
        assert await reader.readexactly(10) == b"0123456789"
        writer.close()

    play(exchange)


def test_half_of_the_bytes_go_through_and_then_a_reset() -> None:
    async def exchange(proxies: Proxies, door: str) -> None:
        proxies.add(Fault("", "entry-1", half=True))
        reader, _ = await send(door)
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await reader.readexactly(10)

    play(exchange)


def test_a_reset_ends_open_connections_and_no_new_ones() -> None:
    async def exchange(proxies: Proxies, door: str) -> None:
        reader, _ = await send(door)
        assert await reader.readexactly(10) == b"0123456789"
        proxies.reset("", "entry-1")
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await reader.readexactly(1)
        reader, writer = await send(door)
        assert await reader.readexactly(10) == b"0123456789"
        writer.close()

    play(exchange)
