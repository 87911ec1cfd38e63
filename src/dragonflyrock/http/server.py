"""The listening side: one request at a time on each connection."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

import httptools

from .models import Headers, Request, Response, WireLimits, encode_head, make_response

__all__ = ["CANCELLED_BY_HOST", "Handler", "HttpServer", "StopCounts"]

_LOGGER = logging.getLogger(__name__)

BACKLOG_CONNECTIONS: Final = 1024
MAX_WAITING_REQUESTS: Final = 16
SWEEP_SECONDS: Final = 0.5
# A client may stay idle for the whole time told; the margin covers its own clock.
IDLE_MARGIN_SECONDS: Final = 1.0
FINISH_POLL_SECONDS: Final = 0.02
# What is written last needs this long to leave the process.
FLUSH_SECONDS: Final = 0.2
# The first request of a new connection arrives within this time.
FIRST_REQUEST_SECONDS: Final = 0.3
# The message with which a handler is cancelled where its client has not left.
CANCELLED_BY_HOST: Final = "cut: the host ended"

Handler = Callable[[Request], Awaitable[Response]]


class StopCounts(NamedTuple):
    """Requests taken while draining, by their connection, and requests cut."""

    kept: int = 0
    new: int = 0
    cut: int = 0


class HttpServer:
    """Listen at one address; each request is handed to ``handler`` when whole.

    A handler is cancelled when its client leaves. While ``draining`` is set,
    the last response on a connection asks the client to close it. Once ``finishing``
    is set, a handler that is cut and gives no answer is answered for.
    """

    def __init__(self, handler: Handler, limits: WireLimits) -> None:
        """Prepare a server that is not yet listening."""
        self.handler = handler
        self.limits = limits
        self.draining = False
        self.finishing = False
        self.counts = StopCounts()
        self.connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.TimerHandle | None = None

    async def start(self, address: str) -> None:
        """Listen at ``ip:port``."""
        loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(":")
        self._server = await loop.create_server(
            lambda: _Connection(self, loop),
            host,
            int(port),
            backlog=BACKLOG_CONNECTIONS,
            reuse_address=True,
        )
        self._sweep()

    @property
    def busy(self) -> int:
        """Return how many connections have a request under way."""
        return sum(connection.is_busy for connection in self.connections)

    def stop_listening(self) -> None:
        """Accept no more connections."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Close connections that wait for no answer.

        A connection that was opened just now counts as one whose request is under way.
        """
        now = asyncio.get_running_loop().time()
        for connection in list(self.connections):
            if connection.is_idle(now):
                connection.close()

    async def finish(self, end: float) -> None:
        """Answer what is under way, until ``end`` on the loop's clock, and close."""
        loop = asyncio.get_running_loop()
        self.draining = self.finishing = True
        self.stop_listening()
        # What the listener took last becomes a connection within a few turns.
        await asyncio.sleep(FINISH_POLL_SECONDS)
        self.close_idle()
        while self.connections and loop.time() < end:
            await asyncio.sleep(FINISH_POLL_SECONDS)
            self.close_idle()
        self.close()
        flushed_until = loop.time() + FLUSH_SECONDS
        while self.connections and loop.time() < flushed_until:
            await asyncio.sleep(FINISH_POLL_SECONDS)

    def close(self) -> None:
        """Stop listening, and close every connection."""
        self.stop_listening()
        if self._sweeper is not None:
            self._sweeper.cancel()
        for connection in list(self.connections):
            connection.cut()

    def count_taken(self, opened_draining: bool) -> None:
        """Count a request that was taken while draining."""
        if not self.draining:
            return
        counts = self.counts
        if opened_draining:
            self.counts = counts._replace(new=counts.new + 1)
        else:
            self.counts = counts._replace(kept=counts.kept + 1)

    def count_cut(self) -> None:
        """Count a request whose connection this server closes."""
        self.counts = self.counts._replace(cut=self.counts.cut + 1)

    def _sweep(self) -> None:
        """Close connections that were idle, or sent a request, for too long."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        for connection in list(self.connections):
            connection.check_time(now)
        self._sweeper = loop.call_later(SWEEP_SECONDS, self._sweep)


class _Connection(asyncio.Protocol):
    """One client's connection."""

    def __init__(self, server: HttpServer, loop: asyncio.AbstractEventLoop) -> None:
        """Wait for the first request."""
        self._server = server
        self._loop = loop
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: deque[tuple[Request, bool]] = deque()
        self._task: asyncio.Task[None] | None = None
        self._since = loop.time()
        self._partial = False
        self._refused = 0
        self._ending = False
        self._opened_draining = server.draining
        self._asked = False
        self._cut = False
        self._reset_message()

    @property
    def is_busy(self) -> bool:
        """Return whether a request is under way."""
        return self._task is not None

    def is_idle(self, now: float) -> bool:
        """Return whether the client waits for no answer, and is not about to."""
        if self.is_busy or self._partial or self._ending:
            return False
        return self._asked or now - self._since > FIRST_REQUEST_SECONDS

    def _reset_message(self) -> None:
        """Forget the request that was being read."""
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0

    # Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._server.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse what has come."""
        if self._ending:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400)
        except httptools.HttpParserError as error:
            if not self._refused:
                _LOGGER.debug("step=parse: %s", error)
                self._refuse(400)
        if self._refused and not self.is_busy and not self._waiting:
            self._answer_refused()
        self._bound_waiting()

    def eof_received(self) -> bool:
        """Treat a client that will send nothing more as one that has left."""
        self._abandon()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Stop working for the client."""
        self._server.connections.discard(self)
        self._abandon()

    def _abandon(self) -> None:
        """Cancel the request under way and drop those that wait."""
        self._ending = True
        self._waiting.clear()
        if self._task is not None:
            self._task.cancel()

    def _bound_waiting(self) -> None:
        """Read no further while many requests wait on this connection."""
        assert self._transport is not None
        if len(self._waiting) > MAX_WAITING_REQUESTS:
            self._transport.pause_reading()

    # Parser

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._reset_message()
        self._partial = True
        self._asked = True
        self._since = self._loop.time()

    def on_url(self, url: bytes) -> None:
        """Take the target as it is."""
        self._target += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header as it is."""
        self._headers.append((name, value))
        self._count_header(len(name) + len(value) + 4)

    def _count_header(self, size: int) -> None:
        """Refuse a request whose head is too large."""
        self._header_bytes += size
        if self._header_bytes > self._server.limits.header_bytes:
            self._refuse(431)

    def on_headers_complete(self) -> None:
        """Check how the body is framed, and let the client send it."""
        names = [name.lower() for name, _ in self._headers]
        lengths = names.count(b"content-length")
        codings = names.count(b"transfer-encoding")
        if lengths > 1 or codings > 1 or (lengths and codings):
            self._refuse(400)
            return
        for name, value in self._headers:
            if name.lower() == b"content-length":
                if int(value) > self._server.limits.body_bytes:
                    self._refuse(413)
            elif name.lower() == b"transfer-encoding":
                if value.strip().lower() != b"chunked":
                    self._refuse(400)
            elif name.lower() == b"expect" and self._transport is not None:
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits.body_bytes:
            self._refuse(413)
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Queue a whole request."""
        self._partial = False
        if self._refused:
            return
        request = Request(
            self._parser.get_method(),
            self._target,
            tuple(self._headers),
            b"".join(self._body),
        )
        keep = self._parser.should_keep_alive()
        self._reset_message()
        self._waiting.append((request, keep))
        self._start_next()

    # Requests

    def _start_next(self) -> None:
        """Handle the next request unless one is under way."""
        if self._task is not None or self._ending or not self._waiting:
            return
        request, keep = self._waiting.popleft()
        self._server.count_taken(self._opened_draining)
        self._task = self._loop.create_task(self._serve(request, keep))

    async def _serve(self, request: Request, keep: bool) -> None:
        """Have a request answered."""
        try:
            response = await self._server.handler(request)
        except asyncio.CancelledError:
            if not (self._cut and self._server.finishing):
                self._task = None
                self.close()
                return
            # Whether the request has run is not known here.
            response = make_response(502)
        except Exception:
            _LOGGER.exception("step=answer: internal error")
            response = make_response(500)
        self._task = None
        last = self._server.draining and not self._waiting
        keep = keep and not last and not self._ending
        self._write(response, request.method, keep)
        if not keep:
            self.close()
            return
        self._since = self._loop.time()
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()
        self._start_next()
        if self._refused and self._task is None:
            self._answer_refused()

    def _write(self, response: Response, method: bytes, keep: bool) -> None:
        """Write a whole response."""
        if self._transport is None or self._transport.is_closing():
            return
        headers: Headers = response.headers
        if response.status not in (204, 304):
            told = any(name.lower() == b"content-length" for name, _ in headers)
            if not told:
                length = str(len(response.body)).encode()
                headers = (*headers, (b"Content-Length", length))
        if not keep:
            headers = (*headers, (b"Connection", b"close"))
        first = b"HTTP/1.1 %d %s" % (response.status, response.reason)
        body = b"" if method == b"HEAD" else response.body
        self._transport.write(encode_head(first, headers) + body)

    def _refuse(self, status: int) -> None:
        """Note that the request being read is refused; nothing more is read."""
        if not self._refused:
            self._refused = status

    def _answer_refused(self) -> None:
        """Answer a request that could not be read, and close."""
        self._ending = True
        self._write(make_response(self._refused), b"", keep=False)
        self.close()

    def check_time(self, now: float) -> None:
        """Close the connection when it was silent for too long."""
        if self.is_busy or self._ending:
            return
        limits = self._server.limits
        if self._partial:
            if now - self._since > limits.header_timeout + limits.idle_timeout:
                self._refuse(408)
                self._answer_refused()
        elif now - self._since > limits.idle_timeout + IDLE_MARGIN_SECONDS:
            self.close()

    def cut(self) -> None:
        """Close the connection, after a last answer to the request under way."""
        if self._task is None:
            self.close()
            return
        self._ending = self._cut = True
        self._server.count_cut()
        self._task.cancel(CANCELLED_BY_HOST)

    def close(self) -> None:
        """Close the connection after what was written."""
        self._ending = True
        if self._transport is not None:
            self._transport.close()
