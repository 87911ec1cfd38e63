"""Tests of the receiving end of links, with peers of libzmq and with strangers."""

from __future__ import annotations

import select
import socket
import time
from collections.abc import Callable, Iterator
from typing import Final

import pytest
import zmq

from dragonflyrock.transport.link_receiver import LinkBounds, LinkReceiver
from tests.clients.crowd import LINK_GREETING, LINK_READY
from tests.common import free_port

TIMEOUT_SECONDS: Final = 10.0
BOUNDS: Final = LinkBounds(4_000_000, 1_000_000, 5)


class Host:
    """A receiver and its address."""

    def __init__(self) -> None:
        """Listen on a free port."""
        self.address = f"127.0.0.1:{free_port()}"
        self.receiver = LinkReceiver(self.address, BOUNDS)
        self.context = zmq.Context()

    def connect(self, heartbeat_ms: int = 50) -> zmq.Socket[bytes]:
        """Return a peer of libzmq, which waits three heartbeats for an answer."""
        peer: zmq.Socket[bytes] = self.context.socket(zmq.PUSH)
        peer.setsockopt(zmq.LINGER, 0)
        peer.setsockopt(zmq.HEARTBEAT_IVL, heartbeat_ms)
        peer.setsockopt(zmq.HEARTBEAT_TIMEOUT, 3 * heartbeat_ms)
        peer.connect(f"tcp://{self.address}")
        return peer

    def connect_stranger(self) -> socket.socket:
        """Return a connection without a greeting."""
        host, _, port = self.address.rpartition(":")
        return socket.create_connection((host, int(port)), TIMEOUT_SECONDS)

    def receive(self) -> bytes:
        """Return the next message, as a loop that waits for the descriptor would."""
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            if self.receiver.poll(0):
                return self.receiver.recv(zmq.NOBLOCK)
            select.select([self.receiver], [], [], 0.5)
        raise AssertionError("no message")


@pytest.fixture
def host() -> Iterator[Host]:
    """Return a host that is closed afterwards."""
    host = Host()
    yield host
    host.receiver.close()
    host.context.destroy(0)


def wait_until(condition: Callable[[], bool]) -> None:
    """Wait for a condition, which a failing test never meets."""
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.005)


def is_closed(sock: socket.socket) -> bool:
    """Return whether the host closes a connection, after what it has sent."""
    sock.settimeout(TIMEOUT_SECONDS)
    try:
        while sock.recv(1_000):
            continue
    except ConnectionResetError:
        pass
    return True


def start_frame(size: int) -> bytes:
    """Return what a stranger sends before a message of some bytes."""
    ready = bytes((4, len(LINK_READY))) + LINK_READY
    return LINK_GREETING + ready + b"\x02" + size.to_bytes(8, "big")


# Guards against messages that are lost, cut or reordered, of any size of frame.
def test_messages_of_libzmq_arrive_whole_and_in_order(host: Host) -> None:
    peer = host.connect()
    messages = [b"x" * size for size in (0, 1, 255, 256, 70_000, 3_999_999, 5)]
    for message in messages:
        peer.send(message)
    assert [host.receive() for _ in messages] == messages
    with pytest.raises(zmq.Again):
        host.receiver.recv(zmq.NOBLOCK)


# Guards against a link that its peer gives up since nobody answers its heartbeats while
# the process is busy elsewhere.
def test_heartbeats_are_answered_while_nothing_is_taken(host: Host) -> None:
    peer = host.connect()
    monitor = peer.get_monitor_socket(zmq.EVENT_DISCONNECTED)
    peer.send(b"first")
    assert not monitor.poll(1_000)
    peer.send(b"second")
    assert [host.receive(), host.receive()] == [b"first", b"second"]
    peer.disable_monitor()


# Guards against memory without bound for messages that nobody takes, and against ones
# that are lost for it.
def test_nothing_is_read_while_too_much_waits(host: Host) -> None:
    peer = host.connect(heartbeat_ms=0)
    for number in range(200):
        peer.send(b"%06d" % number * 10_000)
    time.sleep(0.5)
    receiver = host.receiver
    waiting = receiver._queued_bytes - receiver._taken_bytes
    assert waiting <= BOUNDS.waiting_bytes + 2 * 64 * 1024
    for number in range(200):
        assert host.receive()[:6] == b"%06d" % number


# Guards against strangers whose incomplete messages take more than the machine has.
def test_incomplete_messages_are_bounded_together(host: Host) -> None:
    peer = host.connect()
    peer.send(b"before")
    assert host.receive() == b"before"
    strangers = [host.connect_stranger() for _ in range(3)]
    for sock in strangers:
        sock.sendall(start_frame(3_900_000))
    for size, sock in zip((3_000_000, 1_500_000, 800_000), strangers, strict=True):
        try:
            sock.sendall(bytes(size))
        except ConnectionError:
            continue
    wait_until(lambda: host.receiver.closed.for_memory > 0)
    assert host.receiver._held_bytes <= BOUNDS.message_bytes
    assert is_closed(strangers[0])
    peer.send(b"after")
    assert host.receive() == b"after"
    for sock in strangers:
        sock.close()


# Guards against a crowd of silent connections that keeps descriptors, or a peer out.
def test_silent_connections_give_way(host: Host) -> None:
    peer = host.connect()
    peer.send(b"before")
    assert host.receive() == b"before"
    strangers = [host.connect_stranger() for _ in range(20)]
    wait_until(lambda: host.receiver.closed.for_connections >= 16)
    assert len(host.receiver._connections) <= BOUNDS.connections
    other = host.connect()
    other.send(b"other")
    assert host.receive() == b"other"
    peer.send(b"after")
    assert host.receive() == b"after"
    for sock in strangers:
        sock.close()


# Guards against a stranger who ends the thread, or is listened to although he speaks
# another protocol or sends what is out of bounds.
@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n" + b"x" * 64,
        LINK_GREETING.replace(b"NULL", b"EVIL"),
        LINK_GREETING.replace(b"\x7f\x03", b"\x7f\x02"),
        LINK_GREETING + b"\x08\x00",
        LINK_GREETING + b"\x01\x01x",
        start_frame(4_000_001),
        start_frame(2**64 - 1),
    ],
    ids=["http", "mechanism", "version", "flags", "multipart", "size", "largest"],
)
def test_what_is_out_of_the_protocol_closes_the_connection(
    host: Host, data: bytes
) -> None:
    with host.connect_stranger() as sock:
        sock.sendall(data)
        assert is_closed(sock)
    wait_until(lambda: not host.receiver._connections)
    assert host.receiver._held_bytes == 0
    peer = host.connect()
    peer.send(b"after")
    assert host.receive() == b"after"


# Guards against bytes of a message that stay counted when its connection is lost.
def test_nothing_is_held_for_lost_connections(host: Host) -> None:
    sock = host.connect_stranger()
    sock.sendall(start_frame(3_000_000) + bytes(1_000_000))
    wait_until(lambda: host.receiver._held_bytes > 900_000)
    sock.close()
    wait_until(lambda: host.receiver._held_bytes == 0)


# Guards against a thread that an unexpected error of one connection ends, and so a node
# that hears nobody any more.
def test_an_error_ends_one_connection(
    host: Host, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail(connection: object, flags: int, body: bytes) -> None:
        raise ValueError

    with monkeypatch.context() as patched, host.connect_stranger() as sock:
        patched.setattr(host.receiver, "_take_frame", fail)
        sock.sendall(start_frame(1) + b"x")
        assert is_closed(sock)
    peer = host.connect()
    peer.send(b"after")
    assert host.receive() == b"after"
