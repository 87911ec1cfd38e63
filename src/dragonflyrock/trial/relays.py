"""TCP relays between daemons; each direction can be cut or slowed."""

from __future__ import annotations

import selectors
import socket
import threading
import time
from collections import deque
from typing import Final, NamedTuple

from .plans import LINK_PORT_OFFSET, FleetPlan

__all__ = ["Relays"]

RELAY_PORT_OFFSET: Final = 500
CHUNK_BYTES: Final = 65536
POLL_INTERVAL_SECONDS: Final = 0.05
DELAY_POLL_INTERVAL_SECONDS: Final = 0.005


class Direction(NamedTuple):
    """A direction between two hosts, given by their numbers."""

    source: int
    target: int


class DelayedBytes(NamedTuple):
    """Bytes to forward to a connection at a monotonic time in seconds."""

    due_at: float
    connection: socket.socket
    data: bytes


class Relays:
    """Relays of all directions, forwarding bytes in one thread.

    Bytes sent over a cut direction are read and discarded, so the cut is silent.
    Once no cut is left, the connections that lost bytes are closed, since their
    streams have gaps.
    """

    def __init__(self, plan: FleetPlan) -> None:
        """Listen on a port for each direction and start the thread."""
        self._plan = plan
        self._cuts: set[Direction] = set()
        self._delays: dict[Direction, float] = {}
        self._delayed: dict[Direction, deque[DelayedBytes]] = {}
        self._selector = selectors.DefaultSelector()
        self._peers: dict[socket.socket, tuple[socket.socket, Direction]] = {}
        self._incomplete: set[socket.socket] = set()
        self._stop_requested = threading.Event()
        for source in range(plan.hosts):
            for target in range(plan.hosts):
                if source != target:
                    self._listen(Direction(source, target))
        self._thread = threading.Thread(target=self._run, name="relays", daemon=True)
        self._thread.start()

    def redirect(self, settings: str, source: int) -> str:
        """Return a host's settings with the relays as the addresses of its peers."""
        for target in range(self._plan.hosts):
            if target != source:
                link = f'link = "{self._plan.address(target, LINK_PORT_OFFSET)}"'
                port = self._port(Direction(source, target))
                settings = settings.replace(link, f'link = "127.0.0.1:{port}"')
        return settings

    def cut(self, source: int, target: int) -> None:
        """Discard all bytes from one host to another."""
        self._cuts.add(Direction(source, target))

    def slow(self, source: int, target: int, seconds: float) -> None:
        """Delay all bytes from one host to another by some seconds."""
        self._delays[Direction(source, target)] = seconds

    def heal(self) -> None:
        """Remove all cuts and delays."""
        self._cuts.clear()
        self._delays.clear()

    def close(self) -> None:
        """Stop the thread and close all sockets."""
        self._stop_requested.set()
        self._thread.join()
        for key in list(self._selector.get_map().values()):
            assert isinstance(key.fileobj, socket.socket)
            key.fileobj.close()
        self._selector.close()

    def _port(self, direction: Direction) -> int:
        """Return the port of a direction's relay."""
        number = direction.source * self._plan.hosts + direction.target
        return self._plan.first_port + RELAY_PORT_OFFSET + number

    def _listen(self, direction: Direction) -> None:
        """Listen on the port of a direction."""
        listener = socket.create_server(("127.0.0.1", self._port(direction)))
        self._selector.register(listener, selectors.EVENT_READ, direction)

    def _run(self) -> None:
        """Accept connections and forward bytes until stopped."""
        while not self._stop_requested.is_set():
            self._forward_due_bytes()
            timeout = (
                DELAY_POLL_INTERVAL_SECONDS if self._delayed else POLL_INTERVAL_SECONDS
            )
            for key, _ in self._selector.select(timeout):
                assert isinstance(key.fileobj, socket.socket)
                if key.data is None:
                    self._forward(key.fileobj)
                else:
                    self._accept(key.fileobj, key.data)
            if not self._cuts:
                for connection in list(self._incomplete):
                    self._close_pair(connection)

    def _accept(self, listener: socket.socket, direction: Direction) -> None:
        """Accept a connection and open its counterpart to the target host."""
        connection, _ = listener.accept()
        ip, _, port = self._plan.address(direction.target, LINK_PORT_OFFSET).rpartition(
            ":"
        )
        try:
            counterpart = socket.create_connection((ip, int(port)), timeout=1)
        except OSError:
            connection.close()
            return
        back = Direction(direction.target, direction.source)
        for end, peer, sending in (
            (connection, counterpart, direction),
            (counterpart, connection, back),
        ):
            self._peers[end] = (peer, sending)
            self._selector.register(end, selectors.EVENT_READ, None)

    def _forward(self, connection: socket.socket) -> None:
        """Read bytes of a connection; forward, delay or discard them."""
        if connection not in self._peers:
            return
        peer, direction = self._peers[connection]
        try:
            data = connection.recv(CHUNK_BYTES)
            if data and direction in self._cuts:
                self._incomplete.add(connection)
            elif data and (direction in self._delays or direction in self._delayed):
                self._queue_delayed(direction, peer, data)
            elif data:
                peer.sendall(data)
        except OSError:
            data = b""
        if not data:
            self._close_pair(connection)

    def _queue_delayed(
        self, direction: Direction, connection: socket.socket, data: bytes
    ) -> None:
        """Queue bytes to forward later, after all bytes queued before them."""
        due_at = time.monotonic() + self._delays.get(direction, 0.0)
        self._delayed.setdefault(direction, deque()).append(
            DelayedBytes(due_at, connection, data)
        )

    def _forward_due_bytes(self) -> None:
        """Forward the delayed bytes that are due, unless their connection is closed."""
        now = time.monotonic()
        for direction, queue in list(self._delayed.items()):
            while queue and queue[0].due_at <= now:
                _, connection, data = queue.popleft()
                try:
                    if connection in self._peers:
                        connection.sendall(data)
                except OSError:
                    self._close_pair(connection)
            if not queue:
                del self._delayed[direction]

    def _close_pair(self, connection: socket.socket) -> None:
        """Close a connection and its counterpart, unless they are closed already."""
        if connection not in self._peers:
            return
        peer, _ = self._peers[connection]
        for end in (connection, peer):
            self._incomplete.discard(end)
            self._peers.pop(end)
            self._selector.unregister(end)
            end.close()
