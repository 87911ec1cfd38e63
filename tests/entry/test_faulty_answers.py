"""Servers that repeat an answer or break one off, on the product's own port."""

from __future__ import annotations

import socket
import threading
from collections.abc import Iterator

import pytest
from urllib3.connection import HTTPConnection

from dragonflyrock.entry.forward import Forwarder, ServerRequest, ServerResponse
from dragonflyrock.entry.gate import InFlightRequest
from dragonflyrock.errors import Outcome, Reason, Refusal, Step

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


# Guards against a server that echoes no ids and whose answer counts as a copy, as its
# connection was kept unused when another request was refused after the connect.
def test_an_unused_connection_carries_an_answer_without_an_id(
    host: GateHost, peer: Peer
) -> None:
    refusals = [Refusal(Reason.OVERLOADED, Step.DISPATCH), None]
    forwarder = Forwarder(
        lambda: host.now, 1000, recheck=lambda in_flight: refusals.pop(0)
    )
    peer.answers = [(encode(b"200 OK", b""), False)]
    assert isinstance(forward(host, forwarder, "id-1"), Refusal)
    assert isinstance(forward(host, forwarder, "id-2"), ServerResponse)
    assert peer.connection_count == 1
    forwarder.close()


HEADS = {
    "empty-body": b"200 OK\r\nX-Request-Id: id-1\r\nContent-Length: 0\r\nX-Last: 1",
    "body": b"200 OK\r\nX-Request-Id: id-1\r\nX-Name: 1\r\nContent-Length: 12",
    "chunked": b"200 OK\r\nX-Request-Id: id-1\r\nTransfer-Encoding: chunked\r\nX-L: 1",
    "no-content": b"204 No Content\r\nX-Request-Id: id-1\r\nX-Last: 1",
    "not-modified": b"304 Not Modified\r\nX-Request-Id: id-1\r\nETag: 1",
    "missing": b"404 Not Found\r\nContent-Length: 0\r\nX-Request-Id: id-1\r\nX-L: 1",
    "failed": b"500 Failed\r\nContent-Length: 0\r\nX-Request-Id: id-1\r\nX-L: 1",
    "refusal": b"503 Busy\r\nX-Outcome: not-run\r\nContent-Length: 0\r\nX-Reason: full",
    "interim": b"100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-L: 1",
}


# Guards against MIXED and ORDER: an answer whose head ends anywhere before its blank
# line is passed on as a whole one with an empty or short body, or is believed.
@pytest.mark.parametrize("method", ["GET", "HEAD", "POST"])
@pytest.mark.parametrize("head", list(HEADS.values()), ids=list(HEADS))
def test_an_answer_that_ends_in_its_head_is_no_answer(
    host: GateHost, peer: Peer, head: bytes, method: str
) -> None:
    whole = b"HTTP/1.1 " + head + b"\r\n\r\n"
    forwarder = Forwarder(lambda: host.now, 1000)
    for length in range(len(whole)):
        peer.answers = [(whole[:length], True)]
        result = forward(host, forwarder, "id-1", method)
        assert isinstance(result, Refusal), whole[:length]
        assert result.outcome == Outcome.UNKNOWN, whole[:length]
    forwarder.close()
