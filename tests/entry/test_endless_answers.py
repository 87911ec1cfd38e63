"""Tests of servers that send without end, on the product's own port."""

from __future__ import annotations

import socket
import threading
import time

import pytest
from urllib3.connection import HTTPConnection

from dragonflyrock.entry.forward import Forwarder, ServerRequest, ServerResponse
from dragonflyrock.entry.gate import InFlightRequest
from dragonflyrock.errors import Outcome, Reason, Refusal

from .test_gate_notices import GateHost, host

__all__ = ["host"]

REQUEST = ServerRequest("GET", "/s/k", (), b"", "id-1")
OK_LINE = b"HTTP/1.1 200 OK\r\n"
# Long enough that the test fails, instead of waiting for ever, without the bound.
GIVE_UP_SECONDS = 5.0


def write_without_end(sock: socket.socket, start: bytes, part: bytes) -> None:
    """Write a part again and again, slowly, until the peer closes."""
    try:
        sock.sendall(start)
        while True:
            sock.sendall(part)
            time.sleep(0.002)
    except OSError:
        return


def forward(host: GateHost, results: list[ServerResponse | Refusal]) -> None:
    """Forward a request and keep the result."""
    in_flight = host.begin()
    assert isinstance(in_flight, InFlightRequest)
    results.append(Forwarder(lambda: host.now, 100_000).forward(in_flight, REQUEST))
    host.gate.end_dispatch(in_flight, may_still_run=True)


# Guards against a request that is not answered at its deadline since its server sends
# a byte now and then, and against a thread that is never free again.
@pytest.mark.parametrize(
    ("start", "part"),
    [
        (OK_LINE + b"X-Name: ", b"x"),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        (OK_LINE + b"Content-Length: 90000\r\n\r\n", b"x"),
        (OK_LINE + b"Transfer-Encoding: chunked\r\n\r\n1;", b"x"),
    ],
    ids=["value", "interim", "body", "chunk"],
)
def test_a_slow_answer_without_end_ends_at_the_deadline(
    host: GateHost, monkeypatch: pytest.MonkeyPatch, start: bytes, part: bytes
) -> None:
    ours, theirs = socket.socketpair()
    monkeypatch.setattr(
        HTTPConnection, "connect", lambda self: setattr(self, "sock", ours)
    )
    results: list[ServerResponse | Refusal] = []
    writer = threading.Thread(target=write_without_end, args=(theirs, start, part))
    caller = threading.Thread(target=forward, args=(host, results))
    writer.start()
    caller.start()
    time.sleep(0.05)
    host.now += 5.1
    host.gate.close_overdue()
    caller.join(GIVE_UP_SECONDS)
    ended = list(results)
    theirs.shutdown(socket.SHUT_RDWR)
    caller.join()
    writer.join()
    theirs.close()
    assert len(ended) == 1
    assert isinstance(ended[0], Refusal)
    assert (ended[0].reason, ended[0].outcome) == (Reason.DEADLINE, Outcome.UNKNOWN)
