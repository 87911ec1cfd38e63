"""The receiving end of links without keys, with bounds on what strangers can send.

It speaks the part of ZMTP 3 that a PULL socket without security needs. libzmq bounds
one message, but neither the incomplete messages of all connections together nor the
number of connections.
"""

from __future__ import annotations

import logging
import os
import selectors
import socket
import threading
import time
from collections import deque
from contextlib import suppress
from typing import Final, NamedTuple

import zmq

__all__ = ["ClosedLinks", "LinkBounds", "LinkReceiver"]

_LOGGER = logging.getLogger(__name__)

GREETING_BYTES: Final = 64
GREETING: Final = (
    b"\xff" + bytes(8) + b"\x7f\x03\x01" + b"NULL".ljust(20, b"\0") + bytes(32)
)
SIGNATURE_START: Final = 0xFF
LEAST_MAJOR_VERSION: Final = 3
# Where the version and the mechanism stand in a greeting.
MAJOR_VERSION: Final = 10
MECHANISM: Final = slice(12, 32)
READY: Final = b"\x05READY\x0bSocket-Type\x00\x00\x00\x04PULL"
PING: Final = b"\x04PING"
PONG: Final = b"\x04PONG"
# A ping has a time to live of two bytes before what its answer repeats.
PING_CONTEXT_START: Final = len(PING) + 2
MAX_PING_BYTES: Final = PING_CONTEXT_START + 16
# Flags of a frame.
MORE: Final = 1
LONG: Final = 2
COMMAND: Final = 4
LONG_HEADER_BYTES: Final = 9
SHORT_HEADER_BYTES: Final = 2
BACKLOG_CONNECTIONS: Final = 512
READ_BYTES: Final = 64 * 1024
# Messages that were received and not taken; nothing is read beyond it.
MAX_WAITING_MESSAGES: Final = 1_000
WAIT_SECONDS: Final = 0.05
FULL_WAIT_SECONDS: Final = 0.002


class LinkBounds(NamedTuple):
    """What a receiver may hold.

    ``message_bytes`` bounds one message, and also the incomplete messages of all
    connections together. Nothing is read while more than ``waiting_bytes`` of messages
    were received and not taken. ``connections`` is their number.
    """

    message_bytes: int
    waiting_bytes: int
    connections: int


class ClosedLinks(NamedTuple):
    """How many connections were closed for want of memory, and for others."""

    for_memory: int = 0
    for_connections: int = 0


class _ProtocolError(Exception):
    """A peer that does not speak the protocol, or sends what is out of bounds."""


class _Connection:
    """A connection of a peer."""

    def __init__(self, sock: socket.socket) -> None:
        """Start without any byte."""
        self.sock = sock
        self.buffer = bytearray()
        self.is_greeted = False
        self.has_sent_message = False
        self.progressed_at = time.monotonic()


class LinkReceiver:
    """A listening socket whose messages any peer may send, read by its own thread.

    The thread answers the peers' heartbeats while the process is busy elsewhere. The
    methods are those of a ``zmq.Socket`` that the loops use.
    """

    def __init__(self, address: str, bounds: LinkBounds) -> None:
        """Listen at ``ip:port`` and start the thread."""
        self._bounds = bounds
        self.closed = ClosedLinks()
        host, _, port = address.rpartition(":")
        self._listener = socket.create_server(
            (host, int(port)), backlog=BACKLOG_CONNECTIONS
        )
        self._listener.setblocking(False)
        self._messages: deque[bytes] = deque()
        self._is_signalled = False
        self._is_closed = False
        self._wake_read, self._wake_write = os.pipe()
        os.set_blocking(self._wake_read, False)
        self._connections: set[_Connection] = set()
        self._held_bytes = 0
        # The bytes of all messages that were queued, and of those that were taken.
        self._queued_bytes = self._taken_bytes = 0
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._listener, selectors.EVENT_READ)
        self._thread = threading.Thread(target=self._run, name="links", daemon=True)
        self._thread.start()

    # Called by the loop that takes the messages

    def fileno(self) -> int:
        """Return a descriptor that is readable while messages wait."""
        return self._wake_read

    def poll(self, timeout: int = 0) -> bool:
        """Return whether a message waits; ``timeout`` has to be 0."""
        if not self._messages:
            self._rearm()
        return bool(self._messages)

    def recv(self, flags: int = zmq.NOBLOCK) -> bytes:
        """Return the next message, or raise ``zmq.Again`` if none waits."""
        if not self.poll():
            raise zmq.Again
        message = self._messages.popleft()
        self._taken_bytes += len(message)
        return message

    def _rearm(self) -> None:
        """Have the next message make the descriptor readable again."""
        if self._is_signalled:
            with suppress(BlockingIOError):
                os.read(self._wake_read, 1)
            self._is_signalled = False

    def close(self) -> None:
        """Stop the thread and close all sockets."""
        if self._is_closed:
            return
        self._is_closed = True
        self._thread.join()
        os.close(self._wake_read)
        os.close(self._wake_write)

    # Called by the thread

    def _run(self) -> None:
        """Read from all connections until the receiver is closed."""
        while not self._is_closed:
            if self._is_full():
                time.sleep(FULL_WAIT_SECONDS)
                continue
            for key, _ in self._selector.select(WAIT_SECONDS):
                self._handle(key.data)
        for connection in list(self._connections):
            self._close(connection)
        self._selector.close()
        self._listener.close()

    def _handle(self, connection: _Connection | None) -> None:
        """Read from a connection that has bytes, or accept a new one for None.

        An error ends one connection, not the thread, which serves all of them.
        """
        try:
            if connection is None:
                self._accept()
            elif connection in self._connections:
                self._read(connection)
        except Exception:
            _LOGGER.exception("step=receive: a connection failed")
            if connection in self._connections:
                self._close(connection)

    def _is_full(self) -> bool:
        """Return whether too much was received that is not taken yet."""
        waiting_bytes = self._queued_bytes - self._taken_bytes
        is_large = waiting_bytes > self._bounds.waiting_bytes
        return is_large or len(self._messages) > MAX_WAITING_MESSAGES

    def _accept(self) -> None:
        """Accept a connection; past the bound another one gives way."""
        try:
            sock, _ = self._listener.accept()
        except BlockingIOError:
            return
        except OSError:
            # Out of descriptors.
            self._close_one_for_another()
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = _Connection(sock)
        if len(self._connections) >= self._bounds.connections:
            self._close_one_for_another()
        self._connections.add(connection)
        self._selector.register(sock, selectors.EVENT_READ, connection)
        self._send(connection, GREETING)

    def _close_one_for_another(self) -> None:
        """Close the connection longest without use, first of those without messages."""
        victim = min(
            self._connections,
            key=lambda each: (each.has_sent_message, each.progressed_at),
            default=None,
        )
        if victim is not None:
            closed = self.closed.for_connections + 1
            self.closed = self.closed._replace(for_connections=closed)
            self._close(victim)

    def _read(self, connection: _Connection) -> None:
        """Read what has arrived on a connection, and take its messages."""
        try:
            data = connection.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._close(connection)
            return
        connection.progressed_at = time.monotonic()
        before = len(connection.buffer)
        connection.buffer += data
        try:
            self._parse(connection)
        except _ProtocolError:
            self._held_bytes -= before
            connection.buffer.clear()
            self._close(connection)
            return
        self._held_bytes += len(connection.buffer) - before
        while self._held_bytes > self._bounds.message_bytes:
            closed = self.closed.for_memory + 1
            self.closed = self.closed._replace(for_memory=closed)
            self._close(max(self._connections, key=lambda each: len(each.buffer)))

    def _parse(self, connection: _Connection) -> None:
        """Take the complete frames out of a connection's buffer."""
        buffer, position = connection.buffer, 0
        if not connection.is_greeted:
            if len(buffer) < GREETING_BYTES:
                return
            _check_greeting(buffer)
            connection.is_greeted = True
            position = GREETING_BYTES
            self._send(connection, _encode_command(READY))
        while (frame := self._find_frame(buffer, position)) is not None:
            flags, start, end = frame
            with memoryview(buffer) as view:
                body = bytes(view[start:end])
            self._take_frame(connection, flags, body)
            position = end
        del buffer[:position]

    def _find_frame(
        self, buffer: bytearray, position: int
    ) -> tuple[int, int, int] | None:
        """Return the flags, start and end of the next frame; None if incomplete."""
        left = len(buffer) - position
        if left < SHORT_HEADER_BYTES:
            return None
        flags = buffer[position]
        if flags & ~(LONG | COMMAND):
            # Messages have a single frame.
            raise _ProtocolError
        start = position + SHORT_HEADER_BYTES
        size = buffer[position + 1]
        if flags & LONG:
            start = position + LONG_HEADER_BYTES
            if left < LONG_HEADER_BYTES:
                return None
            size = int.from_bytes(buffer[position + 1 : start], "big")
        if size > self._bounds.message_bytes:
            raise _ProtocolError
        if len(buffer) < start + size:
            return None
        return flags, start, start + size

    def _take_frame(self, connection: _Connection, flags: int, body: bytes) -> None:
        """Queue a message, or answer a command."""
        if not flags & COMMAND:
            connection.has_sent_message = True
            self._queued_bytes += len(body)
            self._messages.append(body)
            self._signal()
        elif body.startswith(PING) and len(body) <= MAX_PING_BYTES:
            pong = PONG + body[PING_CONTEXT_START:]
            self._send(connection, _encode_command(pong))

    def _signal(self) -> None:
        """Make the descriptor readable, unless it is."""
        if not self._is_signalled:
            self._is_signalled = True
            os.write(self._wake_write, b"x")

    def _send(self, connection: _Connection, data: bytes) -> None:
        """Send a few bytes; a peer that does not take them is closed when it sends."""
        with suppress(OSError):
            connection.sock.send(data)

    def _close(self, connection: _Connection) -> None:
        """Close a connection, and forget what it has sent of a message."""
        self._connections.discard(connection)
        self._held_bytes -= len(connection.buffer)
        connection.buffer.clear()
        self._selector.unregister(connection.sock)
        connection.sock.close()


def _encode_command(body: bytes) -> bytes:
    """Return the frame of a short command."""
    return bytes((COMMAND, len(body))) + body


def _check_greeting(buffer: bytearray) -> None:
    """Check that a peer speaks a known version of the protocol, without keys."""
    if buffer[0] != SIGNATURE_START or buffer[MAJOR_VERSION] < LEAST_MAJOR_VERSION:
        raise _ProtocolError
    if buffer[MECHANISM].rstrip(b"\0") != b"NULL":
        raise _ProtocolError
