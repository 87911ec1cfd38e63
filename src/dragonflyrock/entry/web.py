"""HTTP servers for WSGI applications, which run in worker threads."""

from __future__ import annotations

import asyncio
import io
import logging
import re
import socket
import threading
from collections import deque
from collections.abc import Callable, Coroutine, Iterable
from concurrent.futures import Future
from functools import partial
from http import HTTPStatus
from queue import SimpleQueue
from typing import Any, Final, TypeVar
from urllib.parse import unquote

from ..errors import DragonflyrockError, Outcome, Reason, Refusal, Step
from ..http import ClientMemory, Headers, HttpServer, Request, Response, WireLimits
from .problem import Environ, StartResponse, respond_with_problem

__all__ = ["Application", "WebLoop", "WebServer", "read_json_body"]

_LOGGER = logging.getLogger(__name__)
_Result = TypeVar("_Result")

SHUTDOWN_TIMEOUT_SECONDS: Final = 1.0
# The limit of a request head.
HEADER_BYTES: Final = 64 * 1024
# Requests that run at once while the clients of the process hold much memory.
MAX_PRESSED_REQUESTS: Final = 8
ENCODED_SLASH: Final = re.compile("%2f", re.IGNORECASE)

Application = Callable[[Environ, StartResponse], Iterable[bytes]]

# Failures that the HTTP server answers without the application, by their status.
FAILURES: Final = {
    400: Refusal(Reason.BAD_REQUEST, Step.PARSE, detail="not a valid HTTP request"),
    408: Refusal(Reason.TIMEOUT, Step.PARSE, detail="the request came too slowly"),
    413: Refusal(Reason.BODY_TOO_LARGE, Step.PARSE, detail="the body is too large"),
    431: Refusal(Reason.BAD_REQUEST, Step.PARSE, detail="the head is too large"),
    500: Refusal(Reason.INTERNAL, Step.ANSWER, outcome=Outcome.UNKNOWN),
    502: Refusal(Reason.STOPPING, Step.ANSWER, outcome=Outcome.UNKNOWN),
    503: Refusal(
        Reason.OVERLOADED,
        Step.PARSE,
        detail="the host has no memory for the request, or is stopping",
    ),
}


class WebLoop:
    """The event loop of a process's web servers, which runs in a thread of its own."""

    def __init__(self) -> None:
        """Create a loop that does not run yet."""
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, name="http", daemon=True
        )

    def start(self) -> None:
        """Start the thread, unless it runs."""
        if not self._thread.is_alive():
            self._thread.start()

    def run(self, coroutine: Coroutine[Any, Any, _Result]) -> _Result:
        """Run a coroutine in the loop and wait for its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()

    def repeat(self, seconds: float, call: Callable[[], object]) -> None:
        """Call a function again and again in the loop."""

        def run() -> None:
            call()
            self._loop.call_later(seconds, run)

        self._loop.call_soon_threadsafe(run)


class WebServer:
    """An HTTP server for one application.

    Requests and responses are read and written in the loop, so that a slow client
    takes no thread. The application runs in worker threads.
    """

    def __init__(
        self,
        name: str,
        address: str,
        application: Application,
        threads: int,
        web_loop: WebLoop | None = None,
        body_bytes: int = WireLimits().body_bytes,
        memory: ClientMemory | None = None,
        max_connections: int = 0,
        client_check_seconds: float = 0.0,
    ) -> None:
        """Bind the server to ``address`` (``ip:port``).

        Raise DragonflyrockError if it cannot listen there. The application runs in
        ``threads`` worker threads. Servers that share ``memory`` share ``web_loop``.
        Bodies of more than ``body_bytes`` are refused; ``max_connections`` may be 0
        for no bound. A request is dropped if its client is seen to have left within
        ``client_check_seconds``.
        """
        self.name = name
        self._web_loop = web_loop or WebLoop()
        self._application = application
        self._workers = _Workers(name, threads)
        self._client_check_seconds = client_check_seconds
        self._running_count = 0
        self._waiting: deque[asyncio.Future[None]] = deque()
        self.server = HttpServer(
            self._answer,
            WireLimits(HEADER_BYTES, body_bytes),
            memory,
            max_connections,
            make_failure=_make_failure,
        )
        try:
            self._socket = _bind(address)
        except OSError as error:
            detail = f"cannot listen on {address}: {error}"
            raise DragonflyrockError(detail, step="listen", peer=address) from error

    def start(self) -> None:
        """Start the worker threads, and listen."""
        self._workers.start()
        self._web_loop.start()
        self._web_loop.run(self.server.start(self._socket))

    def stop(self) -> None:
        """Stop the server; responses have the shutdown timeout to be sent."""
        self._web_loop.run(self._finish())
        self._workers.stop()

    async def _finish(self) -> None:
        """Finish the requests in progress within the shutdown timeout."""
        loop = asyncio.get_running_loop()
        await self.server.finish(loop.time() + SHUTDOWN_TIMEOUT_SECONDS)

    async def _answer(self, request: Request) -> Response:
        """Run the application for a request in a worker thread.

        If the client disconnects, a request that no thread has begun is dropped. A
        thread that has begun it goes on, and what it holds stays in the account.
        """
        if not request.target.startswith(b"/"):
            return _make_failure(400, ())
        if self._client_check_seconds:
            await asyncio.sleep(self._client_check_seconds)
        await self._take_turn()
        running = self._workers.submit(partial(self._run, request))
        try:
            response = await asyncio.shield(asyncio.wrap_future(running))
        except asyncio.CancelledError:
            if running.cancel():
                self._end_turn()
            else:
                self._hold_until_done(running, len(request.body))
            raise
        except Exception:
            self._end_turn()
            raise
        self._end_turn()
        return response

    async def _take_turn(self) -> None:
        """Wait until another request may run; the first to wait is the first to run."""
        if not self._waiting and self._has_turn():
            self._running_count += 1
            return
        turn = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if not turn.cancelled():
                self._end_turn()
            raise

    def _has_turn(self) -> bool:
        """Return whether another request may run.

        A request counts until the loop has its response: what threads have read is in
        no account before that.
        """
        is_pressed = self.server.memory.is_pressed
        most = MAX_PRESSED_REQUESTS if is_pressed else self._workers.count
        return self._running_count < min(most, self._workers.count)

    def _end_turn(self) -> None:
        """Count the end of a request, and let those run that wait for it."""
        self._running_count -= 1
        while self._waiting and self._has_turn():
            turn = self._waiting.popleft()
            if not turn.done():
                self._running_count += 1
                turn.set_result(None)

    def _hold_until_done(self, running: Future[Response], size: int) -> None:
        """Keep the bytes of a request without a client in the account."""
        loop, memory = asyncio.get_running_loop(), self.server.memory
        holder = _AbandonedRequest()
        memory.set(holder, size)

        def end() -> None:
            memory.set(holder, 0)
            self._end_turn()

        running.add_done_callback(lambda _: loop.call_soon_threadsafe(end))

    def _run(self, request: Request) -> Response:
        """Call the application and return its response."""
        return _call_application(self._application, _make_environ(request))


class _AbandonedRequest:
    """A request that is being run and whose client has disconnected."""

    is_expendable = False
    progressed_at = 0.0

    def give_up_memory(self) -> None:
        """Do nothing: the bytes are in use."""


class _Workers:
    """Threads that run calls in the order in which they were submitted.

    They do not keep the process from ending, as those of ``concurrent.futures`` do.
    """

    def __init__(self, name: str, count: int) -> None:
        """Prepare ``count`` threads."""
        self.count = count
        self._calls: SimpleQueue[
            tuple[Future[Response], Callable[[], Response]] | None
        ] = SimpleQueue()
        self._threads = [
            threading.Thread(target=self._work, name=f"http-{name}", daemon=True)
            for _ in range(count)
        ]

    def start(self) -> None:
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Let the threads end after the calls that were submitted."""
        for _ in self._threads:
            self._calls.put(None)

    def submit(self, call: Callable[[], Response]) -> Future[Response]:
        """Have a thread run a call; return the future of its result."""
        future: Future[Response] = Future()
        self._calls.put((future, call))
        return future

    def _work(self) -> None:
        """Run calls until the workers are stopped."""
        while (item := self._calls.get()) is not None:
            future, call = item
            if future.set_running_or_notify_cancel():
                _run_call(future, call)
            # The next call may be long in coming; the last one's bytes go now.
            del item, future, call


def _run_call(future: Future[Response], call: Callable[[], Response]) -> None:
    """Run a call and set its result."""
    try:
        future.set_result(call())
    except Exception as error:
        future.set_exception(error)


def _bind(address: str) -> socket.socket:
    """Return a socket that is bound to ``ip:port``."""
    ip, _, port = address.rpartition(":")
    sock = socket.socket()
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((ip, int(port)))
        # The system then refuses a second socket at this address.
        sock.listen()
    except OSError:
        sock.close()
        raise
    return sock


def _make_failure(status: int, headers: Headers) -> Response:
    """Return the answer to a request that the application does not get."""
    started: list[Response] = []
    refusal = FAILURES.get(status, FAILURES[500])
    body = respond_with_problem(
        refusal, _make_start_response(started), status=HTTPStatus(status)
    )
    response = started[-1]
    return response._replace(headers=response.headers + headers, body=b"".join(body))


def _call_application(application: Application, environ: Environ) -> Response:
    """Call a WSGI application and return its response."""
    started: list[Response] = []
    parts = application(environ, _make_start_response(started))
    return started[-1]._replace(body=b"".join(parts))


def _make_start_response(started: list[Response]) -> StartResponse:
    """Return the function by which an application starts its response."""

    def start_response(status_line: str, headers: list[tuple[str, str]]) -> None:
        status, _, reason = status_line.partition(" ")
        encoded = tuple(
            (name.encode("latin-1"), value.encode("latin-1", "replace"))
            for name, value in headers
        )
        started.append(Response(int(status), reason.encode("latin-1"), encoded, b""))

    return start_response


def _make_environ(request: Request) -> Environ:
    """Return the WSGI environment of a request whose body was read."""
    target = request.target.decode("latin-1")
    path, _, query = target.partition("?")
    environ: Environ = {
        "REQUEST_METHOD": request.method.decode("latin-1"),
        "REQUEST_URI": target,
        "PATH_INFO": _decode_path(path),
        "QUERY_STRING": query,
        "CONTENT_LENGTH": str(len(request.body)),
        "wsgi.input": io.BytesIO(request.body),
    }
    for name, value in _join_headers(request.headers).items():
        if name == "CONTENT_TYPE":
            environ[name] = value
        elif name not in ("CONTENT_LENGTH", "TRANSFER_ENCODING"):
            environ[f"HTTP_{name}"] = value
    return environ


def _decode_path(path: str) -> str:
    """Return a path whose parts are decoded, so that each slash separates two parts."""
    parts = (unquote(part, "latin-1") for part in ENCODED_SLASH.split(path))
    return "%2F".join(parts)


def _join_headers(headers: Headers) -> dict[str, str]:
    """Return headers under their WSGI names; repeated ones are joined.

    A name with an underscore is left out: it could not be told from one with a hyphen.
    """
    joined: dict[str, str] = {}
    for name_bytes, value_bytes in headers:
        if b"_" in name_bytes:
            continue
        name = name_bytes.decode("latin-1").upper().replace("-", "_")
        value = value_bytes.decode("latin-1")
        separator = "; " if name == "COOKIE" else ", "
        joined[name] = f"{joined[name]}{separator}{value}" if name in joined else value
    return joined


def read_json_body(environ: Environ, limit: int) -> bytes | None:
    """Return the body, or None if it has more than ``limit`` bytes."""
    length = int(environ["CONTENT_LENGTH"])
    if length > limit:
        return None
    body: bytes = environ["wsgi.input"].read(length)
    return body
