"""Relays between daemons that can be cut silently or slowed, in either direction."""

from __future__ import annotations

import selectors
import socket
import threading
import time
from collections import deque
from typing import Final, NamedTuple

from .plans import LINK_OFFSET, FleetPlan

__all__ = ["Relays"]

RELAY_OFFSET: Final = 500
CHUNK_BYTES: Final = 65536
POLL_SECONDS: Final = 0.05
SLOW_POLL_SECONDS: Final = 0.005


class Direction(NamedTuple):
    """From which host to which, by number."""

    source: int
    target: int


class Delayed(NamedTuple):
    """Bytes that are to be passed on at a monotonic time."""

    at: float
    end: socket.socket
    data: bytes


class Relays:
    """A thread that passes bytes on, except over directions that are cut.

    Bytes over a cut direction are read and lost, and the connection is ended when
    the cut heals, since its stream has a hole.
    """

    def __init__(self, plan: FleetPlan) -> None:
        """Listen for each direction."""
        self._plan = plan
        self._cut: set[Direction] = set()
        self._slow: dict[Direction, float] = {}
        self._delayed: dict[Direction, deque[Delayed]] = {}
        self._selector = selectors.DefaultSelector()
        self._peers: dict[socket.socket, tuple[socket.socket, Direction]] = {}
        self._holed: set[socket.socket] = set()
        self._ended = threading.Event()
        for source in range(plan.hosts):
            for target in range(plan.hosts):
                if source != target:
                    self._listen(Direction(source, target))
        self._thread = threading.Thread(target=self._run, name="relays", daemon=True)
        self._thread.start()

    def redirect(self, settings: str, source: int) -> str:
        """Return a host's settings with its peers' links through the relays."""
        for target in range(self._plan.hosts):
            if target != source:
                link = f'link = "{self._plan.address(target, LINK_OFFSET)}"'
                port = self._port(Direction(source, target))
                settings = settings.replace(link, f'link = "127.0.0.1:{port}"')
        return settings

    def cut(self, source: int, target: int) -> None:
        """Cut one direction."""
        self._cut.add(Direction(source, target))

    def slow(self, source: int, target: int, seconds: float) -> None:
        """Pass on what one direction carries so much later."""
        self._slow[Direction(source, target)] = seconds

    def heal(self) -> None:
        """End all cuts and delays."""
        self._cut.clear()
        self._slow.clear()

    def close(self) -> None:
        """End the thread and all connections."""
        self._ended.set()
        self._thread.join()
        for key in list(self._selector.get_map().values()):
            assert isinstance(key.fileobj, socket.socket)
            key.fileobj.close()
        self._selector.close()

    def _port(self, direction: Direction) -> int:
        """Return the port of a direction."""
        number = direction.source * self._plan.hosts + direction.target
        return self._plan.first_port + RELAY_OFFSET + number

    def _listen(self, direction: Direction) -> None:
        """Listen for a direction's connections."""
        listener = socket.create_server(("127.0.0.1", self._port(direction)))
        self._selector.register(listener, selectors.EVENT_READ, direction)

    def _run(self) -> None:
        """Pass bytes on until ended."""
        while not self._ended.is_set():
            self._pass_on_delayed()
            poll = SLOW_POLL_SECONDS if self._delayed else POLL_SECONDS
            for key, _ in self._selector.select(poll):
                assert isinstance(key.fileobj, socket.socket)
                if key.data is None:
                    self._pass_on(key.fileobj)
                else:
                    self._accept(key.fileobj, key.data)
            if not self._cut:
                for one in list(self._holed):
                    self._end(one)

    def _accept(self, listener: socket.socket, direction: Direction) -> None:
        """Connect a new connection through."""
        one, _ = listener.accept()
        ip, _, port = self._plan.address(direction.target, LINK_OFFSET).rpartition(":")
        try:
            other = socket.create_connection((ip, int(port)), timeout=1)
        except OSError:
            one.close()
            return
        back = Direction(direction.target, direction.source)
        for end, peer, way in ((one, other, direction), (other, one, back)):
            self._peers[end] = (peer, way)
            self._selector.register(end, selectors.EVENT_READ, None)

    def _pass_on(self, one: socket.socket) -> None:
        """Pass the bytes of one connection on, or lose them."""
        if one not in self._peers:
            return
        other, direction = self._peers[one]
        try:
            data = one.recv(CHUNK_BYTES)
            if data and direction in self._cut:
                self._holed.add(one)
            elif data and (direction in self._slow or direction in self._delayed):
                self._delay(direction, other, data)
            elif data:
                other.sendall(data)
        except OSError:
            data = b""
        if not data:
            self._end(one)

    def _delay(self, direction: Direction, end: socket.socket, data: bytes) -> None:
        """Keep bytes for later; what follows others that are kept waits for them."""
        at = time.monotonic() + self._slow.get(direction, 0.0)
        self._delayed.setdefault(direction, deque()).append(Delayed(at, end, data))

    def _pass_on_delayed(self) -> None:
        """Pass on the bytes whose time has come, unless their connection ended."""
        now = time.monotonic()
        for direction, waiting in list(self._delayed.items()):
            while waiting and waiting[0].at <= now:
                _, end, data = waiting.popleft()
                try:
                    if end in self._peers:
                        end.sendall(data)
                except OSError:
                    self._end(end)
            if not waiting:
                del self._delayed[direction]

    def _end(self, one: socket.socket) -> None:
        """Close both ends of a connection, unless that was done from the other."""
        if one not in self._peers:
            return
        other, _ = self._peers[one]
        for end in (one, other):
            self._holed.discard(end)
            self._peers.pop(end)
            self._selector.unregister(end)
            end.close()
