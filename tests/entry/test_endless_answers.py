"""Tests of servers that send without end, on the product's own port."""

from __future__ import annotations

import socket
import threading
import time
import tracemalloc

import pytest
from urllib3.connection import HTTPConnection

from dragonflyrock.entry.forward import Forwarder, ServerRequest, ServerResponse
from dragonflyrock.entry.gate import InFlightRequest
from dragonflyrock.errors import Outcome, Reason, Refusal

from .test_gate_notices import GateHost, host

__all__ = ["host"]

MAX_ANSWER_BYTES = 100_000

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


def answer(
    host: GateHost,
    monkeypatch: pytest.MonkeyPatch,
    forwarder: Forwarder,
    start: bytes,
    part: bytes,
    count: int,
) -> tuple[ServerResponse | Refusal, int]:
    """Forward a request to a server that writes a part a number of times.

    Return the result and the number of bytes that were taken from the server.
    """
    ours, theirs = socket.socketpair()
    monkeypatch.setattr(
        HTTPConnection, "connect", lambda self: setattr(self, "sock", ours)
    )
    written = 0

    def write() -> None:
        nonlocal written
        try:
            theirs.sendall(start)
            for _ in range(count):
                theirs.sendall(part)
                written += len(part)
        except OSError:
            return

    writer = threading.Thread(target=write)
    writer.start()
    in_flight = host.begin()
    assert isinstance(in_flight, InFlightRequest)
    result = forwarder.forward(in_flight, REQUEST)
    host.gate.end_dispatch(in_flight, may_still_run=True)
    ours.close()
    theirs.shutdown(socket.SHUT_RDWR)
    writer.join(GIVE_UP_SECONDS)
    theirs.close()
    return result, written


CHUNKED = OK_LINE + b"Transfer-Encoding: chunked\r\n\r\n"


# Guards against bytes without end that are no answer, and that fill the memory of the
# daemon until the deadline of the request.
@pytest.mark.parametrize(
    ("start", "part"),
    [
        (b"HTTP/1.1 200 ", b"x" * 1000),
        (OK_LINE + b"X-Name: ", b"x" * 1000),
        (OK_LINE, b"X-Name: value\r\n" * 100),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
        (CHUNKED + b"1;", b"x" * 1000),
        (CHUNKED + b"-1\r\n", b"x" * 1000),
        (CHUNKED + b"0\r\n", b"X-Name: value\r\n" * 100),
        (CHUNKED, b"1\r\nx\r\n" * 100),
        (CHUNKED, b"3e8\r\n" + b"x" * 1000 + b"\r\n"),
        (OK_LINE + b"Content-Length: 999999999999\r\n\r\n", b"x" * 1000),
        (OK_LINE + b"Content-Length: -1\r\n\r\n", b"x" * 1000),
    ],
    ids=[
        "reason",
        "value",
        "headers",
        "interim",
        "chunk-line",
        "chunk-size",
        "trailers",
        "small-chunks",
        "chunks",
        "length",
        "negative-length",
    ],
)
def test_an_answer_without_end_is_given_up_within_bounds(
    host: GateHost, monkeypatch: pytest.MonkeyPatch, start: bytes, part: bytes
) -> None:
    forwarder = Forwarder(lambda: host.now, MAX_ANSWER_BYTES)
    result, taken = answer(host, monkeypatch, forwarder, start, part, 20_000)
    assert isinstance(result, Refusal)
    assert result.outcome == Outcome.UNKNOWN
    # The body, its framing, and what fits in the buffers of the sockets.
    assert taken < 10 * MAX_ANSWER_BYTES + 1_000_000


# Guards against a body that takes twenty times its size, as it comes in chunks of two
# bytes.
def test_a_body_in_small_chunks_takes_little_more_than_its_size(
    host: GateHost, monkeypatch: pytest.MonkeyPatch
) -> None:
    count = 50_000
    forwarder = Forwarder(lambda: host.now, 2 * count)
    part = b"2\r\nxy\r\n" * 100
    tracemalloc.start()
    try:
        result, _ = answer(
            host, monkeypatch, forwarder, CHUNKED, part, count // 100 + 1
        )
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert isinstance(result, Refusal)
    assert result.reason == Reason.BAD_ANSWER
    assert peak < 10 * count


# Guards against many answers that fill the memory together, though each is in bounds.
def test_the_largest_answer_is_given_up_if_all_are_too_large(
    host: GateHost, monkeypatch: pytest.MonkeyPatch
) -> None:
    forwarder = Forwarder(
        lambda: host.now, 1_000_000, max_all_answer_bytes=MAX_ANSWER_BYTES
    )
    start = OK_LINE + b"Content-Length: 500000\r\n\r\n"
    result, _ = answer(host, monkeypatch, forwarder, start, b"x" * 1000, 500)
    assert isinstance(result, Refusal)
    assert result.reason == Reason.BAD_ANSWER
    assert "together" in result.detail
    start = OK_LINE + b"Content-Length: 50000\r\n\r\n"
    result, _ = answer(host, monkeypatch, forwarder, start, b"x" * 1000, 50)
    assert isinstance(result, ServerResponse)
    assert len(result.body) == 50_000
