"""Answers to pushed grants: of any server, in any form, without end."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Iterator

import pytest

from dragonflyrock.control.calls import GrantSet
from dragonflyrock.control.pusher import PUSH_TIMEOUT_SECONDS, GrantPusher
from dragonflyrock.models import ServerRow
from tests.status_lines import BAD_STATUS_LINES

OK_LINE = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK_LINE + b"Transfer-Encoding: chunked\r\n\r\n"
GRANTS = GrantSet("one@1", 7, 1, 1500, 400, ())
# Far longer than a push may take, far shorter than an answer without end.
GIVE_UP_SECONDS = 20 * PUSH_TIMEOUT_SECONDS


class Server:
    """A server that writes an answer, then a part of it again and again."""

    def __init__(self, start: bytes, part: bytes, interval: float) -> None:
        """Listen on loopback; the parts are written at an interval in seconds."""
        self.written = 0
        self.is_closed = threading.Event()
        self._start, self._part, self._interval = start, part, interval
        self._listener = socket.create_server(("127.0.0.1", 0))
        port = self._listener.getsockname()[1]
        self.row = ServerRow("one", "s", f"127.0.0.1:{port}", "a", 1, 2, 0, True)
        self._thread = threading.Thread(target=self._serve)
        self._thread.start()

    def _serve(self) -> None:
        """Answer one request."""
        peer, _ = self._listener.accept()
        with peer:
            peer.recv(65_536)
            try:
                peer.sendall(self._start)
                while self._part:
                    peer.sendall(self._part)
                    self.written += len(self._part)
                    time.sleep(self._interval)
            except OSError:
                pass
        self.is_closed.set()

    def close(self) -> None:
        """Wait until the answer has ended."""
        self._thread.join()
        self._listener.close()


@pytest.fixture
def acknowledged() -> list[tuple[str, int]]:
    """Return the revisions that were acknowledged."""
    return []


@pytest.fixture
def pusher(acknowledged: list[tuple[str, int]]) -> Iterator[GrantPusher]:
    """Yield a pusher."""
    pusher = GrantPusher(
        lambda holder, revision: acknowledged.append((holder, revision)), lambda: True
    )
    yield pusher
    pusher.close()


# Guards against a leader that runs out of memory, or of threads for the grants of other
# servers, since one server answers without end.
@pytest.mark.parametrize(
    ("start", "part", "interval"),
    [
        (OK_LINE + b"Content-Length: 999999999\r\n\r\n", b"x" * 10_000, 0.0),
        (OK_LINE + b"\r\n", b"x" * 10_000, 0.0),
        (CHUNKED, b"3e8\r\n" + b"x" * 1000 + b"\r\n", 0.0),
        (CHUNKED + b"-1\r\n", b"x" * 10_000, 0.0),
        (CHUNKED + b"1;", b"x" * 10_000, 0.0),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100, 0.0),
        (OK_LINE + b"X-Name: ", b"x", 0.05),
        (OK_LINE + b"Content-Length: 9000\r\n\r\n", b"x", 0.05),
    ],
    ids=[
        "length",
        "unframed",
        "chunks",
        "chunk-size",
        "chunk-line",
        "interim",
        "slow-head",
        "slow-body",
    ],
)
def test_an_answer_without_end_is_given_up(
    pusher: GrantPusher,
    acknowledged: list[tuple[str, int]],
    start: bytes,
    part: bytes,
    interval: float,
) -> None:
    server = Server(start, part, interval)
    pusher.push(server.row, GRANTS)
    assert server.is_closed.wait(GIVE_UP_SECONDS)
    server.close()
    assert acknowledged == []
    # Its bound, and what fits in the buffers of the sockets.
    assert server.written < 20_000_000


# Guards against an acknowledgement that is lost with the bounds.
def test_an_ordinary_answer_acknowledges_the_grants(
    pusher: GrantPusher, acknowledged: list[tuple[str, int]]
) -> None:
    body = b'{"revision": 7}'
    length = b"Content-Length: %d\r\n\r\n" % len(body)
    server = Server(OK_LINE + length + body, b"", 0.0)
    pusher.push(server.row, GRANTS)
    server.close()
    deadline = time.monotonic() + GIVE_UP_SECONDS
    while not acknowledged and time.monotonic() < deadline:
        time.sleep(0.01)
    assert acknowledged == [("one@1", 7)]


# Guards against grants that count as held by an answer whose status line is none of the
# protocol.
@pytest.mark.parametrize("line", BAD_STATUS_LINES.values(), ids=BAD_STATUS_LINES)
def test_a_status_that_is_none_acknowledges_nothing(
    pusher: GrantPusher, acknowledged: list[tuple[str, int]], line: bytes
) -> None:
    body = b'{"revision": 7}'
    length = b"\r\nContent-Length: %d\r\n\r\n" % len(body)
    server = Server(line + length + body, b"", 0.0)
    pusher.push(server.row, GRANTS)
    assert server.is_closed.wait(GIVE_UP_SECONDS)
    pusher._threads.shutdown(wait=True)
    server.close()
    assert acknowledged == []
