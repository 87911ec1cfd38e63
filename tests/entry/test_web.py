"""Tests of the web server of the product's ports."""

from __future__ import annotations

import json
import socket
import threading
from collections.abc import Callable, Iterable, Iterator
from typing import Any, Final

import pytest

from dragonflyrock.entry import web
from dragonflyrock.entry.problem import Environ, StartResponse
from dragonflyrock.entry.web import WebLoop, WebServer
from dragonflyrock.errors import DragonflyrockError
from dragonflyrock.http import ClientMemory
from tests.common import free_port

TIMEOUT_SECONDS: Final = 10.0
BODY_BYTES: Final = 1_000


class Application:
    """A WSGI application that keeps what it gets, and waits if it is told to."""

    def __init__(self) -> None:
        """Answer at once."""
        self.environs: list[Environ] = []
        self.bodies: list[bytes] = []
        self.begun = threading.Semaphore(0)
        self.may_answer = threading.Event()
        self.may_answer.set()

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer with the path."""
        self.environs.append(environ)
        self.bodies.append(environ["wsgi.input"].read(int(environ["CONTENT_LENGTH"])))
        self.begun.release()
        assert self.may_answer.wait(TIMEOUT_SECONDS)
        if environ["PATH_INFO"] == "/error":
            raise ValueError
        start_response("299 Fine", [("X-Path", environ["PATH_INFO"])])
        return [b"an", b"swer"]


class Host:
    """A web server with an application."""

    def __init__(self, threads: int = 2) -> None:
        """Listen on a free port."""
        self.application = Application()
        self.memory = ClientMemory()
        self.address = f"127.0.0.1:{free_port()}"
        self.server = WebServer(
            "test",
            self.address,
            self.application,
            threads,
            WebLoop(),
            BODY_BYTES,
            self.memory,
        )
        self.server.start()

    def connect(self) -> socket.socket:
        """Return a new connection."""
        host, _, port = self.address.rpartition(":")
        return socket.create_connection((host, int(port)), TIMEOUT_SECONDS)

    def call(self, request: bytes) -> tuple[bytes, bytes]:
        """Send a request; return the head and the body of the answer."""
        with self.connect() as sock:
            sock.sendall(request)
            answer = b"".join(iter(lambda: sock.recv(65_536), b""))
        head, _, body = answer.partition(b"\r\n\r\n")
        return head, body


@pytest.fixture
def host() -> Iterator[Host]:
    """Return a host that is stopped afterwards."""
    host = Host()
    yield host
    host.application.may_answer.set()
    host.server.stop()


def wait_until(condition: Callable[[], bool]) -> None:
    """Wait for a condition, which a failing test never meets."""
    timer = threading.Event()
    for _ in range(int(TIMEOUT_SECONDS / 0.005)):
        if condition():
            return
        timer.wait(0.005)
    raise AssertionError("timed out")


def read_problem(body: bytes) -> Any:
    """Return a problem's decoded body."""
    return json.loads(body)


# Guards against a request that the application sees otherwise than it was sent.
def test_an_application_gets_the_request(host: Host) -> None:
    head, body = host.call(
        b"POST /a%20b/c%2Fd?q=%31 HTTP/1.1\r\nHost: x\r\nContent-Type: text/x\r\n"
        b"X-List: 1\r\nX-List: 2\r\nX_List: 3\r\nConnection: close\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n1\r\nd\r\n0\r\n\r\n"
    )
    assert head.startswith(b"HTTP/1.1 299 Fine\r\n")
    assert b"Content-Length: 6" in head
    assert body == b"answer"
    environ = host.application.environs[0]
    expected = {
        "REQUEST_METHOD": "POST",
        "REQUEST_URI": "/a%20b/c%2Fd?q=%31",
        "PATH_INFO": "/a b/c%2Fd",
        "QUERY_STRING": "q=%31",
        "CONTENT_TYPE": "text/x",
        "CONTENT_LENGTH": "4",
        "HTTP_X_LIST": "1, 2",
    }
    assert environ | expected == environ
    assert "HTTP_TRANSFER_ENCODING" not in environ
    assert host.application.bodies == [b"abcd"]


# Guards against a failure that does not say, as all do here, whether the request ran.
@pytest.mark.parametrize(
    ("request_bytes", "status", "reason", "outcome"),
    [
        (b"GET x HTTP/1.1\r\nHost: x\r\n\r\n", 400, "bad-request", "not-run"),
        (b"OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n", 400, "bad-request", "not-run"),
        (b"\x00\r\n\r\n", 400, "bad-request", "not-run"),
        (
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1001\r\n\r\n",
            413,
            "body-too-large",
            "not-run",
        ),
        (
            b"GET / HTTP/1.1\r\nX: " + b"x" * 80_000 + b"\r\n\r\n",
            431,
            "bad-request",
            "not-run",
        ),
        (b"GET /error HTTP/1.1\r\nHost: x\r\n\r\n", 500, "internal", "unknown"),
    ],
    ids=["target", "asterisk", "no-http", "body", "head", "error"],
)
def test_a_failure_is_a_problem(
    host: Host, request_bytes: bytes, status: int, reason: str, outcome: str
) -> None:
    with host.connect() as sock:
        sock.sendall(request_bytes)
        answer = sock.recv(65_536)
        if status in (400, 500) and b"Connection: close" not in answer:
            sock.shutdown(socket.SHUT_WR)
    head, _, body = answer.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 %d " % status)
    assert b"X-Outcome: %s" % outcome.encode() in head
    assert read_problem(body)["reason"] == reason


# Guards against slow clients, each of which would keep a thread from others.
def test_unfinished_requests_take_no_thread(host: Host) -> None:
    slow = [host.connect() for _ in range(10)]
    for sock in slow:
        sock.sendall(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nx")
    head, _ = host.call(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 299 ")
    for sock in slow:
        sock.close()


# Guards against a request that runs although its client left before a thread was free,
# and against turns that are lost with such a client.
def test_a_client_that_leaves_gives_its_turn_back(host: Host) -> None:
    host.application.may_answer.clear()
    socks = [host.connect() for _ in range(2)]
    for sock in socks:
        sock.sendall(b"GET /running HTTP/1.1\r\nHost: x\r\n\r\n")
        assert host.application.begun.acquire(timeout=TIMEOUT_SECONDS)
    leaving = host.connect()
    leaving.sendall(b"GET /left HTTP/1.1\r\nHost: x\r\n\r\n")
    wait_until(lambda: len(host.server._waiting) == 1)
    leaving.close()
    wait_until(lambda: len(host.server.server.connections) == 2)
    host.application.may_answer.set()
    for _ in range(4):
        host.call(b"GET /later HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    paths = [environ["PATH_INFO"] for environ in host.application.environs]
    assert paths == ["/running"] * 2 + ["/later"] * 4
    wait_until(lambda: host.server._running_count == 0)
    for sock in socks:
        sock.close()


# Guards against bodies that are in no account since their clients have left, although
# threads hold them.
def test_a_body_counts_until_its_thread_is_done(host: Host) -> None:
    host.application.may_answer.clear()
    sock = host.connect()
    head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES
    sock.sendall(head + bytes(BODY_BYTES))
    assert host.application.begun.acquire(timeout=TIMEOUT_SECONDS)
    sock.close()
    wait_until(lambda: not host.server.server.connections)
    assert host.memory.total == BODY_BYTES
    host.application.may_answer.set()
    wait_until(lambda: host.memory.total == 0)


# Guards against many responses that threads have read and the loop has not taken, while
# memory is short already.
def test_fewer_requests_run_while_memory_is_short(
    host: Host, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(web, "MAX_PRESSED_REQUESTS", 1)
    monkeypatch.setattr(ClientMemory, "is_pressed", True)
    host.application.may_answer.clear()
    socks = [host.connect() for _ in range(2)]
    for sock in socks:
        sock.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    wait_until(lambda: len(host.server._waiting) == 1)
    assert host.server._running_count == 1
    host.application.may_answer.set()
    for sock in socks:
        assert sock.recv(65_536).startswith(b"HTTP/1.1 299 ")
        sock.close()


# Guards against two processes that both take one address for theirs.
def test_an_address_in_use_is_an_error(host: Host) -> None:
    with pytest.raises(DragonflyrockError, match="cannot listen"):
        WebServer("other", host.address, host.application, 1)
