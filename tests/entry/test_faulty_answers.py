"""Servers that repeat an answer, on the product's own port."""

from __future__ import annotations

import socket
import threading
from collections.abc import Iterator

import pytest
from urllib3.connection import HTTPConnection

from dragonflyrock.entry.forward import Forwarder, ServerRequest, ServerResponse
from dragonflyrock.entry.gate import InFlightRequest
from dragonflyrock.errors import Outcome, Reason, Refusal

from .test_gate_notices import GateHost, host

__all__ = ["host"]

REFUSAL = b"X-Outcome: not-run\r\nX-Reason: full\r\n"


class Peer:
    """A server at the other end of socket pairs; each connection is a new pair.

    ``answers`` has what it writes to each request, over all connections, and whether it
    closes the connection then.
    """

    def __init__(self) -> None:
        """Start without answers and connections."""
        self.answers: list[tuple[bytes, bool]] = []
        self.connection_count = 0
        self.requests: list[bytes] = []
        self._sockets: list[socket.socket] = []
        self._threads: list[threading.Thread] = []

    def connect(self, connection: HTTPConnection) -> None:
        """Connect a client to a new pair."""
        ours, theirs = socket.socketpair()
        self._sockets.append(theirs)
        connection.sock = ours
        thread = threading.Thread(target=self._serve, args=(theirs,))
        self._threads.append(thread)
        self.connection_count += 1
        thread.start()

    def _serve(self, sock: socket.socket) -> None:
        """Answer the requests on one connection."""
        with sock:
            while head := _read_head(sock):
                self.requests.append(head)
                if not self.answers:
                    return
                answer, closes = self.answers.pop(0)
                try:
                    sock.sendall(answer)
                except OSError:
                    return
                if closes:
                    return

    def close(self) -> None:
        """Close all connections and wait for their threads."""
        for sock in self._sockets:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue
        for thread in self._threads:
            thread.join()


def _read_head(sock: socket.socket) -> bytes:
    """Return the next request head; empty at the end of the connection."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        try:
            part = sock.recv(1)
        except OSError:
            return b""
        if not part:
            return b""
        head += part
    return head


@pytest.fixture
def peer(monkeypatch: pytest.MonkeyPatch) -> Iterator[Peer]:
    """Return a server that every new connection reaches."""
    server = Peer()

    def connect(connection: HTTPConnection) -> None:
        server.connect(connection)

    monkeypatch.setattr(HTTPConnection, "connect", connect)
    yield server
    server.close()


def encode(status: bytes, headers: bytes, body: bytes = b"") -> bytes:
    """Return an encoded response with a length."""
    length = b"Content-Length: %d\r\n" % len(body)
    return b"HTTP/1.1 " + status + b"\r\n" + headers + length + b"\r\n" + body


def named(request_id: str) -> bytes:
    """Return the header line by which a response names its request."""
    return b"X-Request-Id: %s\r\n" % request_id.encode()


def forward(
    host: GateHost, forwarder: Forwarder, request_id: str, method: str = "GET"
) -> ServerResponse | Refusal:
    """Forward a request and return its result."""
    in_flight = host.begin()
    assert isinstance(in_flight, InFlightRequest)
    request = ServerRequest(method, "/s/k", (), b"", request_id)
    result = forwarder.forward(in_flight, request)
    host.gate.end_dispatch(in_flight, may_still_run=False)
    return result


# Guards against REFUSED and TWICE: a request is sent again on the connection on which
# it was refused, and a copy of the refusal is taken for the answer while it runs.
def test_a_connection_is_closed_after_a_refusal(host: GateHost, peer: Peer) -> None:
    refusal = encode(b"503 Busy", named("id-1") + REFUSAL)
    peer.answers = [(refusal, False), (encode(b"200 OK", named("id-1")), False)]
    forwarder = Forwarder(lambda: host.now, 1000)
    first = forward(host, forwarder, "id-1")
    assert isinstance(first, Refusal)
    assert first.outcome == Outcome.NOT_RUN
    assert isinstance(forward(host, forwarder, "id-1"), ServerResponse)
    assert peer.connection_count == 2
    forwarder.close()


# Guards against the next caller who gets a copy of an answer that names no request.
def test_a_connection_is_closed_after_an_answer_without_an_id(
    host: GateHost, peer: Peer
) -> None:
    peer.answers = [(encode(b"200 OK", b""), False), (encode(b"200 OK", b""), False)]
    forwarder = Forwarder(lambda: host.now, 1000)
    for request_id in ("id-1", "id-2"):
        assert isinstance(forward(host, forwarder, request_id), ServerResponse)
    assert peer.connection_count == 2
    forwarder.close()


# Guards against REFUSED: a copy of an earlier refusal, without an id, says of the next
# request on its connection that it was not run.
def test_an_answer_without_an_id_on_a_kept_connection_is_no_answer(
    host: GateHost, peer: Peer
) -> None:
    refusal = encode(b"503 Busy", REFUSAL)
    peer.answers = [(encode(b"200 OK", named("id-1")), False), (refusal, False)]
    forwarder = Forwarder(lambda: host.now, 1000)
    assert isinstance(forward(host, forwarder, "id-1"), ServerResponse)
    result = forward(host, forwarder, "id-2")
    assert isinstance(result, Refusal)
    assert (result.reason, result.outcome) == (Reason.BAD_ANSWER, Outcome.UNKNOWN)
    assert peer.connection_count == 1
    forwarder.close()
