"""Loopback proxies: the only way between any two parties, and where faults act."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Final, NamedTuple

__all__ = ["Fault", "Proxies", "find_process"]

CHUNK_BYTES: Final = 65536
POLL_SECONDS: Final = 0.02
ANYONE: Final = ""

FindPeer = Callable[[int], str]


class Fault(NamedTuple):
    """What a proxy does; ``source`` is a name, or empty for everyone.

    ``forward`` and ``back`` are the directions held up: their bytes wait until the
    fault ends, unless the sender resets the connection before. ``half`` passes on
    half of the next bytes and resets.
    """

    source: str
    target: str
    delay: float = 0.0
    forward: bool = False
    back: bool = False
    half: bool = False


class _Way(NamedTuple):
    """One direction of a connection through a proxy."""

    source: str
    target: str
    is_forward: bool


class Proxies:
    """All proxies of a run; a target is the name of who listens behind one."""

    def __init__(self, find_peer: FindPeer) -> None:
        """Start without proxies; ``find_peer`` names who has a local port."""
        self._find_peer = find_peer
        self._faults: list[Fault] = []
        self._servers: list[asyncio.Server] = []
        self._open: dict[asyncio.Task[None], tuple[str, str]] = {}

    async def listen(self, target: str, door: str, home: str) -> None:
        """Pass connections from ``door`` on to ``home``, both ``ip:port``."""

        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            task = asyncio.current_task()
            assert task is not None
            port = writer.get_extra_info("peername")[1]
            source = self._find_peer(port)
            self._open[task] = (source, target)
            try:
                await self._carry(source, target, home, reader, writer)
            except asyncio.CancelledError:
                # A reset, which is ours.
                pass
            finally:
                self._open.pop(task, None)
                writer.transport.abort()

        host, _, port_text = door.rpartition(":")
        server = await asyncio.start_server(accept, host, int(port_text), backlog=512)
        self._servers.append(server)

    def add(self, fault: Fault) -> None:
        """Begin a fault."""
        self._faults.append(fault)

    def remove(self, fault: Fault, reset: bool) -> None:
        """End a fault; what it held up goes on, or is lost with its connections."""
        if reset:
            self.reset(fault.source, fault.target)
        if fault in self._faults:
            self._faults.remove(fault)

    def reset(self, source: str, target: str) -> None:
        """Reset the connections from a source to a target."""
        for task, (peer, name) in list(self._open.items()):
            if name == target and source in (ANYONE, peer):
                task.cancel()

    async def close(self) -> None:
        """End all proxies and connections."""
        for server in self._servers:
            server.close()
        tasks = list(self._open)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _list_faults(self, way: _Way) -> list[Fault]:
        """Return the faults that act on a direction."""
        return [
            fault
            for fault in self._faults
            if fault.target == way.target and fault.source in (ANYONE, way.source)
        ]

    def _is_held(self, way: _Way) -> bool:
        """Return whether the bytes of a direction are held up."""
        return any(
            fault.forward if way.is_forward else fault.back
            for fault in self._list_faults(way)
        )

    async def _carry(
        self,
        source: str,
        target: str,
        home: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Connect through and pass bytes on both ways until both have ended."""
        way = _Way(source, target, True)
        while self._is_held(way):
            await asyncio.sleep(POLL_SECONDS)
            if reader.exception() is not None:
                return
        host, _, port = home.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            # Nobody listens: the door's caller is reset, as it would be there.
            return
        both = [
            asyncio.create_task(self._pump(way, reader, far_writer)),
            asyncio.create_task(
                self._pump(way._replace(is_forward=False), far_reader, writer)
            ),
        ]
        try:
            # A direction that was broken off ends the other one too.
            await asyncio.gather(*both)
        except OSError:
            # A reset by either side; both ends are reset below.
            pass
        finally:
            for task in both:
                task.cancel()
            await asyncio.gather(*both, return_exceptions=True)
            far_writer.transport.abort()

    async def _pump(
        self, way: _Way, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass the bytes of one direction on; raise ``OSError`` at a reset."""
        while data := await reader.read(CHUNK_BYTES):
            for fault in self._list_faults(way):
                if fault.delay:
                    await asyncio.sleep(fault.delay)
                if fault.half:
                    self.remove(fault, reset=False)
                    writer.write(data[: len(data) // 2])
                    raise ConnectionResetError("half sent")
            while self._is_held(way):
                await asyncio.sleep(POLL_SECONDS)
                error = reader.exception()
                if error is not None:
                    raise ConnectionResetError("held until its sender reset") from error
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            with suppress(OSError):
                # The other side may have gone already.
                writer.write_eof()


def find_process(port: int, pids: dict[str, int]) -> str:
    """Return which of our processes has a local TCP port, or an empty text."""
    wanted = f"{port:04X}"
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1].endswith(":" + wanted) and fields[9] != "0":
            link = f"socket:[{fields[9]}]"
            for name, pid in pids.items():
                if pid and _has_link(pid, link):
                    return name
    return ANYONE


def _has_link(pid: int, link: str) -> bool:
    """Return whether a process of ours has an open file of this name."""
    try:
        return any(
            str(path.readlink()) == link for path in Path(f"/proc/{pid}/fd").iterdir()
        )
    except OSError:
        # The process ended, or closed the file meanwhile.
        return False
