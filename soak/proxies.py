"""Loopback proxies: the only way between any two parties, and where faults act."""

from __future__ import annotations

import asyncio
import re
from contextlib import suppress
from typing import Final, NamedTuple

CHUNK_BYTES: Final = 65536
POLL_SECONDS: Final = 0.02
ANYONE: Final = ""
DOOR_NAME: Final = re.compile(rb"127\.\d+\.1\.\d+")
FROM_CONTROL: Final = re.compile(rb"POST /-/|GET /health")


class Fault(NamedTuple):
    """What a proxy does to a target's connections; ``source`` may be anyone.

    Bytes of the directions that are held up wait until the fault ends, unless their
    sender resets the connection. ``half`` passes half of the next bytes, and resets.
    """

    source: str
    target: str
    delay: float = 0.0
    forward: bool = False
    back: bool = False
    half: bool = False


class Way:
    """A connection through a proxy; its first bytes tell who opened it."""

    def __init__(self, target: str) -> None:
        """Start with a source that is not known yet."""
        self.target = target
        self.source = ANYONE

    def identify(self, data: bytes, names: dict[bytes, str]) -> None:
        """Find the source in bytes that it sends."""
        if self.target.endswith("/link"):
            found = DOOR_NAME.search(data)
            self.source = names.get(found.group(), ANYONE) if found else ANYONE
        elif self.target.startswith("server"):
            self.source = "control" if FROM_CONTROL.match(data) else "entry"


class Proxies:
    """All proxies of a run; a target is the name of who listens behind one."""

    def __init__(self, names: dict[bytes, str]) -> None:
        """Start without proxies; ``names`` are the nodes by their doors."""
        self._names = names
        self._faults: list[Fault] = []
        self._servers: list[asyncio.Server] = []
        self._open: dict[asyncio.Task[None], Way] = {}

    async def listen(self, target: str, door: str, home: str) -> None:
        """Pass connections from ``door`` on to ``home``, both ``ip:port``."""

        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            task = asyncio.current_task()
            assert task is not None
            way = self._open[task] = Way(target)
            # A reset, by either side or by a fault, ends both sides.
            with suppress(OSError, asyncio.CancelledError):
                await self._carry(way, home, reader, writer)
            del self._open[task]
            writer.transport.abort()

        host, _, port = door.rpartition(":")
        server = await asyncio.start_server(accept, host, int(port), backlog=512)
        self._servers.append(server)

    def add(self, fault: Fault) -> None:
        """Begin a fault."""
        self._faults.append(fault)

    def remove(self, fault: Fault, reset: bool = False) -> None:
        """End a fault; what it held up goes on, or is lost with its connections."""
        if reset:
            self.reset(fault.source, fault.target)
        if fault in self._faults:
            self._faults.remove(fault)

    def reset(self, source: str, target: str) -> None:
        """Reset the connections from a source to a target."""
        for task, way in list(self._open.items()):
            if way.target == target and source in (ANYONE, way.source):
                task.cancel()

    async def close(self) -> None:
        """End all proxies and connections."""
        for server in self._servers:
            server.close()
        for task in self._open:
            task.cancel()
        await asyncio.gather(*self._open, return_exceptions=True)

    def _list_faults(self, way: Way) -> list[Fault]:
        """Return the faults that act on a connection."""
        sources = (ANYONE, way.source)
        found = [fault for fault in self._faults if fault.target == way.target]
        return [fault for fault in found if fault.source in sources]

    async def _hold(
        self, way: Way, forward: bool, reader: asyncio.StreamReader
    ) -> None:
        """Wait while a direction is held up; raise if its sender resets meanwhile."""
        while any(f.forward if forward else f.back for f in self._list_faults(way)):
            await asyncio.sleep(POLL_SECONDS)
            if reader.exception() is not None:
                raise ConnectionResetError("held up until its sender reset it")

    async def _carry(
        self,
        way: Way,
        home: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Connect through and pass bytes on both ways until both have ended."""
        await self._hold(way, True, reader)
        host, _, port = home.rpartition(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        both = [
            asyncio.create_task(self._pump(way, True, reader, far_writer)),
            asyncio.create_task(self._pump(way, False, far_reader, writer)),
        ]
        try:
            await asyncio.gather(*both)
        finally:
            for task in both:
                task.cancel()
            await asyncio.gather(*both, return_exceptions=True)
            far_writer.transport.abort()

    async def _pump(
        self,
        way: Way,
        forward: bool,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Pass the bytes of one direction on; raise ``OSError`` at a reset."""
        while data := await reader.read(CHUNK_BYTES):
            if forward and not way.source:
                way.identify(data, self._names)
            for fault in self._list_faults(way):
                await asyncio.sleep(fault.delay)
                if fault.half:
                    self.remove(fault)
                    writer.write(data[: len(data) // 2])
                    raise ConnectionResetError("half of it was sent")
            await self._hold(way, forward, reader)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
