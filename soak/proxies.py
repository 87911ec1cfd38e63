"""Loopback proxies between all components of a run, which apply network faults."""

from __future__ import annotations

import asyncio
import re
import socket
import struct
from contextlib import suppress
from typing import Final, NamedTuple

CHUNK_BYTES: Final = 65536
POLL_SECONDS: Final = 0.02
ANY_SOURCE: Final = ""
# Makes a socket send a reset when it is closed.
LINGER_NONE: Final = struct.pack("ii", 1, 0)
# A node's name is its proxy's IP address; a link's first bytes contain it.
NODE_NAME_PATTERN: Final = re.compile(rb"127\.\d+\.1\.\d+")


class EndlessAnswer(NamedTuple):
    """The first bytes of an answer, and those that follow without end."""

    start: bytes
    part: bytes


ENDLESS_ANSWERS: Final = (
    EndlessAnswer(b"HTTP/1.1 200 OK\r\nX-Name: ", b"x" * CHUNK_BYTES),
    EndlessAnswer(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
    EndlessAnswer(b"HTTP/1.1 200 OK\r\n\r\n", b"x" * CHUNK_BYTES),
    EndlessAnswer(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"ffff\r\n" + b"x" * 0xFFFF + b"\r\n",
    ),
)


class Fault(NamedTuple):
    """What a proxy does to a target's connections from a source, or from all sources.

    ``delay`` is the seconds by which bytes are delayed. Bytes of a held direction wait
    until the fault ends, unless their sender resets the connection. ``truncate`` passes
    half of the next bytes, and then resets the connection. ``endless`` is what a target
    sends again and again, instead of its next response, until the caller closes.
    ``refuse`` resets new connections. With ``lose_open`` and ``lose_new`` the held
    directions of connections that are open, or opened until the fault ends, carry
    neither bytes nor the end of the connection any more, as if no machine knew them.
    """

    source: str
    target: str
    delay: float = 0.0
    hold_forward: bool = False
    hold_backward: bool = False
    truncate: bool = False
    endless: EndlessAnswer | None = None
    refuse: bool = False
    lose_open: bool = False
    lose_new: bool = False


class ProxiedConnection:
    """A connection through a proxy.

    Its source is the node with its peer's address; on a link, its first bytes name it.
    """

    def __init__(self, target: str, source: str) -> None:
        """Start with a source, which may be unknown."""
        self.target = target
        self.source = source
        # Set once the target has answered; without a proxy it would be unopened before.
        self.is_open = False
        self._lost: set[bool] = set()

    def lose(self, fault: Fault) -> None:
        """Let nothing pass any more in the directions that a fault holds."""
        holds = {True: fault.hold_forward, False: fault.hold_backward}
        self._lost |= {forward for forward, is_held in holds.items() if is_held}

    def is_lost(self, forward: bool) -> bool:
        """Return whether a direction carries nothing any more."""
        return forward in self._lost

    def identify(self, data: bytes, node_names: dict[bytes, str]) -> None:
        """Set the source of a link from the first bytes that it sent."""
        if self.target.endswith("/link"):
            match = NODE_NAME_PATTERN.search(data)
            self.source = (
                node_names.get(match.group(), ANY_SOURCE) if match else ANY_SOURCE
            )

    def comes_from(self, source: str) -> bool:
        """Return whether the source is this node, this role, or any."""
        role = self.source.partition("-")[0]
        return source in (ANY_SOURCE, self.source, role)


class Proxies:
    """All proxies of a run; a target is the name of the component behind a proxy."""

    def __init__(self, node_names: dict[bytes, str]) -> None:
        """Start without proxies; ``node_names`` are keyed by IP address."""
        self._node_names = node_names
        self._faults: list[Fault] = []
        self._servers: list[asyncio.Server] = []
        self._connections: dict[asyncio.Task[None], ProxiedConnection] = {}

    async def listen(
        self, target: str, proxy_address: str, target_address: str
    ) -> None:
        """Forward connections at one ``ip:port`` address to another one."""

        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            task = asyncio.current_task()
            assert task is not None
            ip = writer.get_extra_info("peername")[0]
            source = self._node_names.get(ip.encode(), ANY_SOURCE)
            connection = ProxiedConnection(target, source)
            if any(fault.refuse for fault in self._list_faults(connection)):
                client = writer.get_extra_info("socket")
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
                writer.transport.abort()
                return
            for fault in self._list_faults(connection):
                if fault.lose_new:
                    connection.lose(fault)
            self._connections[task] = connection
            # A reset by either side or by a fault closes both sides.
            with suppress(OSError, asyncio.CancelledError):
                await self._relay(connection, target_address, reader, writer)
            del self._connections[task]
            writer.transport.abort()

        host, _, port = proxy_address.rpartition(":")
        server = await asyncio.start_server(accept, host, int(port), backlog=512)
        self._servers.append(server)

    def add(self, fault: Fault) -> None:
        """Start a fault."""
        self._faults.append(fault)
        if fault.lose_open:
            for connection in self._connections.values():
                if connection.is_open and fault in self._list_faults(connection):
                    connection.lose(fault)

    def remove(self, fault: Fault, reset: bool = False) -> None:
        """End a fault; held bytes are sent, or lost if connections are reset."""
        if reset:
            self.reset(fault.source, fault.target)
        if fault in self._faults:
            self._faults.remove(fault)

    def reset(self, source: str, target: str) -> None:
        """Reset the connections from a source to a target."""
        for task, connection in list(self._connections.items()):
            if connection.target == target and connection.comes_from(source):
                task.cancel()

    async def close(self) -> None:
        """Close all proxies and connections."""
        for server in self._servers:
            server.close()
        for task in self._connections:
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    def _list_faults(self, connection: ProxiedConnection) -> list[Fault]:
        """Return the faults that apply to a connection."""
        faults = [fault for fault in self._faults if fault.target == connection.target]
        return [fault for fault in faults if connection.comes_from(fault.source)]

    async def _wait_while_held(
        self, connection: ProxiedConnection, forward: bool, reader: asyncio.StreamReader
    ) -> None:
        """Wait while a direction is held; raise if its sender resets the connection.

        A direction that is lost is held until the proxies close.
        """
        while connection.is_lost(forward) or any(
            f.hold_forward if forward else f.hold_backward
            for f in self._list_faults(connection)
        ):
            await asyncio.sleep(POLL_SECONDS)
            if reader.exception() is not None and not connection.is_lost(forward):
                raise ConnectionResetError("sender reset the held connection")

    async def _relay(
        self,
        connection: ProxiedConnection,
        target_address: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Connect to the target and copy bytes in both directions until both end."""
        await self._wait_while_held(connection, True, reader)
        host, _, port = target_address.rpartition(":")
        target_reader, target_writer = await asyncio.open_connection(host, int(port))
        directions = [
            asyncio.create_task(
                self._copy_direction(connection, True, reader, target_writer)
            ),
            asyncio.create_task(
                self._copy_direction(connection, False, target_reader, writer)
            ),
        ]
        try:
            await asyncio.gather(*directions)
        finally:
            for task in directions:
                task.cancel()
            await asyncio.gather(*directions, return_exceptions=True)
            target_writer.transport.abort()

    async def _read(
        self, connection: ProxiedConnection, forward: bool, reader: asyncio.StreamReader
    ) -> bytes:
        """Return the next bytes of a direction; never, once it is lost."""
        try:
            data = await reader.read(CHUNK_BYTES)
        except OSError:
            if not connection.is_lost(forward):
                raise
        if connection.is_lost(forward):
            await self._wait_while_held(connection, forward, reader)
        return data

    async def _copy_direction(
        self,
        connection: ProxiedConnection,
        forward: bool,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Copy the bytes of one direction; raise ``OSError`` on a reset."""
        while data := await self._read(connection, forward, reader):
            if forward and not connection.source:
                connection.identify(data, self._node_names)
            for fault in self._list_faults(connection):
                await asyncio.sleep(fault.delay)
                if fault.endless is not None and not forward:
                    await _write_without_end(fault.endless, writer)
                if fault.truncate:
                    self.remove(fault)
                    writer.write(data[: len(data) // 2])
                    raise ConnectionResetError("fault truncated the data")
            await self._wait_while_held(connection, forward, reader)
            connection.is_open = connection.is_open or not forward
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()


async def _write_without_end(
    answer: EndlessAnswer, writer: asyncio.StreamWriter
) -> None:
    """Write an endless answer until the peer closes, which raises ``OSError``."""
    writer.write(answer.start)
    while not writer.is_closing():
        writer.write(answer.part)
        await writer.drain()
    raise ConnectionResetError("the peer closed an endless answer")
