"""Tests of the proxies: held directions, truncated data and resets."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from soak.proxies import Fault, Proxies

from ..common import find_free_port_block

HOLD_SECONDS = 0.3

Exchange = Callable[[Proxies, str], Awaitable[None]]


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


def run_exchange(exchange: Exchange, target: str = "entry-1") -> None:
    """Run an exchange through a proxy to an echo server."""

    async def run() -> None:
        port = find_free_port_block()
        server_address, proxy_address = f"127.0.0.1:{port}", f"127.0.0.1:{port + 1}"
        server = await asyncio.start_server(echo, "127.0.0.1", port)
        proxies = Proxies({b"127.0.0.1": "entry-1"})
        await proxies.listen(target, proxy_address, server_address)
        try:
            await exchange(proxies, proxy_address)
        finally:
            await proxies.close()
            server.close()

    asyncio.run(run())


async def connect_and_send(
    proxy_address: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = proxy_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"0123456789")
    return reader, writer


# Guards against a cut that lets bytes pass, or loses them when it ends.
@pytest.mark.parametrize("forward", [True, False])
def test_held_direction_resumes_after_cut(forward: bool) -> None:
    async def exchange(proxies: Proxies, proxy_address: str) -> None:
        fault = Fault("", "entry-1", hold_forward=forward, hold_backward=not forward)
        proxies.add(fault)
        reader, writer = await connect_and_send(proxy_address)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(HOLD_SECONDS):
                await reader.readexactly(10)
        proxies.remove(fault)
        assert await reader.readexactly(10) == b"0123456789"
        writer.close()

    run_exchange(exchange)


# Guards against a truncating fault that passes all bytes or leaves the connection open.
def test_truncating_fault_resets_connection() -> None:
    async def exchange(proxies: Proxies, proxy_address: str) -> None:
        proxies.add(Fault("", "entry-1", truncate=True))
        reader, _ = await connect_and_send(proxy_address)
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await reader.readexactly(10)

    run_exchange(exchange)


# Guards against a lost connection that carries bytes or is closed after the fault, and
# against one that is lost although it was opened during a fault that loses no such one.
@pytest.mark.parametrize("lose_new", [True, False])
@pytest.mark.parametrize("forward", [True, False])
def test_lost_connection_stays_silent_and_open(lose_new: bool, forward: bool) -> None:
    async def exchange(proxies: Proxies, proxy_address: str) -> None:
        reader, writer = await connect_and_send(proxy_address)
        assert await reader.readexactly(10) == b"0123456789"
        fault = Fault("", "entry-1", hold_forward=forward, hold_backward=not forward)
        fault = fault._replace(lose_open=True, lose_new=lose_new)
        proxies.add(fault)
        writer.write(b"0")
        new_reader, new_writer = await connect_and_send(proxy_address)
        await asyncio.sleep(HOLD_SECONDS)
        proxies.remove(fault)
        for silent in (reader, new_reader) if lose_new else (reader,):
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(HOLD_SECONDS):
                    await silent.read(1)
        if not lose_new:
            assert await new_reader.readexactly(10) == b"0123456789"
        last_reader, last_writer = await connect_and_send(proxy_address)
        assert await last_reader.readexactly(10) == b"0123456789"
        for opened in (writer, new_writer, last_writer):
            opened.close()

    run_exchange(exchange)


# Guards against a dead machine's connections that are closed towards its peers.
def test_end_of_a_lost_connection_is_not_passed_on() -> None:
    async def exchange(proxies: Proxies, proxy_address: str) -> None:
        reader, writer = await connect_and_send(proxy_address)
        assert await reader.readexactly(10) == b"0123456789"
        proxies.add(Fault("", "entry-1", hold_backward=True, lose_open=True))
        writer.write_eof()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(HOLD_SECONDS):
                await reader.read(1)
        writer.close()

    run_exchange(exchange)


# Guards against a reset that also closes later connections.
def test_reset_closes_only_open_connections() -> None:
    async def exchange(proxies: Proxies, proxy_address: str) -> None:
        reader, _ = await connect_and_send(proxy_address)
        assert await reader.readexactly(10) == b"0123456789"
        proxies.reset("", "entry-1")
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await reader.readexactly(1)
        reader, writer = await connect_and_send(proxy_address)
        assert await reader.readexactly(10) == b"0123456789"
        writer.close()

    run_exchange(exchange)


# Guards against a fault of one node's connections that acts on another node's.
@pytest.mark.parametrize(
    ("source", "is_reset"), [("entry-1", True), ("entry-2", False)]
)
def test_source_of_connection_is_known_from_its_address(
    source: str, is_reset: bool
) -> None:
    async def exchange(proxies: Proxies, proxy_address: str) -> None:
        reader, writer = await connect_and_send(proxy_address)
        await reader.readexactly(10)
        proxies.reset(source, "server-1")
        writer.write(b"0")
        assert (await reader.read(1) == b"") is is_reset
        writer.close()

    run_exchange(exchange, "server-1")


# Guards against a refusing fault that closes open connections or accepts new ones.
def test_refusing_fault_resets_only_new_connections() -> None:
    async def exchange(proxies: Proxies, proxy_address: str) -> None:
        reader, writer = await connect_and_send(proxy_address)
        assert await reader.readexactly(10) == b"0123456789"
        proxies.add(Fault("entry-1", "server-1", refuse=True))
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            new_reader, _ = await connect_and_send(proxy_address)
            await new_reader.readexactly(1)
        writer.write(b"0")
        assert await reader.readexactly(1) == b"0"
        writer.close()

    run_exchange(exchange, "server-1")
