"""An HTTP/1.1 server that handles one request at a time on each connection."""

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
MAX_QUEUED_REQUESTS: Final = 16
TIMEOUT_CHECK_INTERVAL_SECONDS: Final = 0.5
# A client may use the whole idle timeout; the margin covers clock differences.
IDLE_MARGIN_SECONDS: Final = 1.0
FINISH_POLL_SECONDS: Final = 0.02
# Longest wait, after all connections are closed, for the last responses to be sent.
FLUSH_TIMEOUT_SECONDS: Final = 0.2
# A new connection does not count as idle for this long, as its first request may be
# on its way.
FIRST_REQUEST_TIMEOUT_SECONDS: Final = 0.3
# The message of the cancellation when this server, and not the client, ends a request.
CANCELLED_BY_HOST: Final = "cancelled: the host stopped"

Handler = Callable[[Request], Awaitable[Response]]


class StopCounts(NamedTuple):
    """Requests that were handled or cancelled during a graceful stop.

    ``kept`` and ``new`` count requests that began while draining: on connections opened
    before that, and on those opened since. ``cut`` counts requests that this server
    cancelled.
    """

    kept: int = 0
    new: int = 0
    cut: int = 0


class HttpServer:
    """Listen at one address and call ``handler`` for each complete request.

    A handler is cancelled when its client disconnects. While ``draining`` is set,
    the last response on a connection tells the client to close it. Once ``finishing``
    is set, the client gets status 502 when its handler is cancelled by this server
    and returns no response.
    """

    def __init__(self, handler: Handler, limits: WireLimits) -> None:
        """Initialize a server that does not listen yet."""
        self.handler = handler
        self.limits = limits
        self.draining = False
        self.finishing = False
        self.counts = StopCounts()
        self.connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None
        self._timeout_timer: asyncio.TimerHandle | None = None

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
        self._check_timeouts()

    @property
    def busy_count(self) -> int:
        """Return the number of connections whose request is being handled."""
        return sum(connection.is_busy for connection in self.connections)

    def stop_listening(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Close connections without a request in progress.

        A connection without any request yet stays open for
        ``FIRST_REQUEST_TIMEOUT_SECONDS``.
        """
        now = asyncio.get_running_loop().time()
        for connection in list(self.connections):
            if connection.is_idle(now):
                connection.close()

    async def finish(self, deadline: float) -> None:
        """Stop listening, finish requests in progress, and close all connections.

        Requests that are still in progress at ``deadline``, in seconds on the event
        loop's clock, are cancelled.
        """
        loop = asyncio.get_running_loop()
        self.draining = self.finishing = True
        self.stop_listening()
        # The event loop needs a few iterations to set up connections accepted last.
        await asyncio.sleep(FINISH_POLL_SECONDS)
        self.close_idle()
        while self.connections and loop.time() < deadline:
            await asyncio.sleep(FINISH_POLL_SECONDS)
            self.close_idle()
        self.close()
        flush_deadline = loop.time() + FLUSH_TIMEOUT_SECONDS
        while self.connections and loop.time() < flush_deadline:
            await asyncio.sleep(FINISH_POLL_SECONDS)

    def close(self) -> None:
        """Stop listening, cancel requests in progress and close every connection."""
        self.stop_listening()
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()
        for connection in list(self.connections):
            connection.cancel()

    def count_request(self, opened_while_draining: bool) -> None:
        """Count a request whose handling begins while draining."""
        if not self.draining:
            return
        counts = self.counts
        if opened_while_draining:
            self.counts = counts._replace(new=counts.new + 1)
        else:
            self.counts = counts._replace(kept=counts.kept + 1)

    def count_cancelled(self) -> None:
        """Count a request that this server cancels."""
        self.counts = self.counts._replace(cut=self.counts.cut + 1)

    def _check_timeouts(self) -> None:
        """Close connections that exceed a timeout, and schedule the next check."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        for connection in list(self.connections):
            connection.close_on_timeout(now)
        self._timeout_timer = loop.call_later(
            TIMEOUT_CHECK_INTERVAL_SECONDS, self._check_timeouts
        )


class _Connection(asyncio.Protocol):
    """The connection of a client.

    It implements the callbacks of ``asyncio.Protocol`` and of the ``httptools`` parser.
    """

    def __init__(self, server: HttpServer, loop: asyncio.AbstractEventLoop) -> None:
        """Initialize a connection that has received no request."""
        self._server = server
        self._loop = loop
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._queue: deque[tuple[Request, bool]] = deque()
        self._task: asyncio.Task[None] | None = None
        self._state_changed_at = loop.time()
        self._is_receiving = False
        self._refusal_status = 0
        self._is_closing = False
        self._opened_while_draining = server.draining
        self._has_received = False
        self._cancelled_by_host = False
        self._reset_message()

    @property
    def is_busy(self) -> bool:
        """Return whether a request is being handled."""
        return self._task is not None

    def is_idle(self, now: float) -> bool:
        """Return whether no request is in progress or expected soon."""
        if self.is_busy or self._is_receiving or self._is_closing:
            return False
        return (
            self._has_received
            or now - self._state_changed_at > FIRST_REQUEST_TIMEOUT_SECONDS
        )

    def _reset_message(self) -> None:
        """Discard the request that was being read."""
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and disable Nagle's algorithm."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._server.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; answer an invalid request once no other is pending."""
        if self._is_closing:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400)
        except httptools.HttpParserError as error:
            if not self._refusal_status:
                _LOGGER.debug("step=parse: invalid request: %s", error)
                self._refuse(400)
        if self._refusal_status and not self.is_busy and not self._queue:
            self._send_refusal()
        self._pause_on_full_queue()

    def eof_received(self) -> bool:
        """Treat a client that closed its sending side as disconnected."""
        self._cancel_requests()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Unregister the connection and cancel its requests."""
        self._server.connections.discard(self)
        self._cancel_requests()

    def _cancel_requests(self) -> None:
        """Cancel the request being handled and discard those that are queued."""
        self._is_closing = True
        self._queue.clear()
        if self._task is not None:
            self._task.cancel()

    def _pause_on_full_queue(self) -> None:
        """Pause reading while too many requests are queued on this connection."""
        assert self._transport is not None
        if len(self._queue) > MAX_QUEUED_REQUESTS:
            self._transport.pause_reading()

    def on_message_begin(self) -> None:
        """Start reading a request."""
        self._reset_message()
        self._is_receiving = True
        self._has_received = True
        self._state_changed_at = self._loop.time()

    def on_url(self, url: bytes) -> None:
        """Append to the request target, without decoding it."""
        self._target += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header, without decoding it."""
        self._headers.append((name, value))
        self._count_header(len(name) + len(value) + 4)

    def _count_header(self, size: int) -> None:
        """Count bytes of the request head and refuse a head that is too large."""
        self._header_bytes += size
        if self._header_bytes > self._server.limits.header_bytes:
            self._refuse(431)

    def on_headers_complete(self) -> None:
        """Validate the framing of the body, and answer ``Expect: 100-continue``."""
        names = [name.lower() for name, _ in self._headers]
        lengths = names.count(b"content-length")
        codings = names.count(b"transfer-encoding")
        if lengths > 1 or codings > 1 or (lengths and codings):
            self._refuse(400)
            return
        wants_continue = False
        for name, value in self._headers:
            match name.lower():
                case b"content-length" if int(value) > self._server.limits.body_bytes:
                    self._refuse(413)
                    return
                case b"transfer-encoding" if value.strip().lower() != b"chunked":
                    self._refuse(400)
                    return
                case b"expect":
                    wants_continue = value.strip().lower() == b"100-continue"
        if wants_continue and self._transport is not None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Add a part of the body and refuse a body that is too large."""
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits.body_bytes:
            self._refuse(413)
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        self._is_receiving = False
        if self._refusal_status:
            return
        request = Request(
            self._parser.get_method(),
            self._target,
            tuple(self._headers),
            b"".join(self._body),
        )
        keep_alive = self._parser.should_keep_alive()
        self._reset_message()
        self._queue.append((request, keep_alive))
        self._start_next()

    def _start_next(self) -> None:
        """Start handling the next queued request unless one is being handled."""
        if self._task is not None or self._is_closing or not self._queue:
            return
        request, keep_alive = self._queue.popleft()
        self._server.count_request(self._opened_while_draining)
        self._task = self._loop.create_task(self._handle_request(request, keep_alive))

    async def _handle_request(self, request: Request, keep_alive: bool) -> None:
        """Call the handler, write its response and continue with the next request."""
        try:
            response = await self._server.handler(request)
        except asyncio.CancelledError:
            if not (self._cancelled_by_host and self._server.finishing):
                self._task = None
                self.close()
                return
            # 502: the request may or may not have been executed.
            response = make_response(502)
        except Exception:
            _LOGGER.exception("step=answer: request handler failed")
            response = make_response(500)
        self._task = None
        is_last = self._server.draining and not self._queue
        keep_alive = keep_alive and not is_last and not self._is_closing
        waiting = len(self._queue) if self._cancelled_by_host else 0
        self._write(response, request.method, keep_alive or bool(waiting))
        if waiting:
            self._refuse_queued()
        if not keep_alive:
            self.close()
            return
        self._state_changed_at = self._loop.time()
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()
        self._start_next()
        if self._refusal_status and self._task is None:
            self._send_refusal()

    def _refuse_queued(self) -> None:
        """Answer requests that were read and not begun when the host ends."""
        while self._queue:
            request, _ = self._queue.popleft()
            response = make_response(503, headers=((b"Retry-After", b"0"),))
            self._write(response, request.method, keep_alive=bool(self._queue))

    def _write(self, response: Response, method: bytes, keep_alive: bool) -> None:
        """Write a response with its framing and connection headers."""
        if self._transport is None or self._transport.is_closing():
            return
        headers: Headers = response.headers
        if response.status not in (204, 304):
            has_length = any(name.lower() == b"content-length" for name, _ in headers)
            if not has_length:
                length = str(len(response.body)).encode()
                headers = (*headers, (b"Content-Length", length))
        if not keep_alive:
            headers = (*headers, (b"Connection", b"close"))
        status_line = b"HTTP/1.1 %d %s" % (response.status, response.reason)
        body = b"" if method == b"HEAD" else response.body
        self._transport.write(encode_head(status_line, headers) + body)

    def _refuse(self, status: int) -> None:
        """Set the status that refuses the request being read, unless one is set."""
        if not self._refusal_status:
            self._refusal_status = status

    def _send_refusal(self) -> None:
        """Send the refusal and close the connection."""
        self._is_closing = True
        self._write(make_response(self._refusal_status), b"", keep_alive=False)
        self.close()

    def close_on_timeout(self, now: float) -> None:
        """Close the connection if its request or its next request takes too long.

        A partly received request is answered with status 408.
        """
        if self.is_busy or self._is_closing:
            return
        limits = self._server.limits
        if self._is_receiving:
            if (
                now - self._state_changed_at
                > limits.header_timeout + limits.idle_timeout
            ):
                self._refuse(408)
                self._send_refusal()
        elif now - self._state_changed_at > limits.idle_timeout + IDLE_MARGIN_SECONDS:
            self.close()

    def cancel(self) -> None:
        """Cancel the request being handled, and close after its response."""
        if self._task is None:
            self.close()
            return
        self._is_closing = self._cancelled_by_host = True
        self._server.count_cancelled()
        self._task.cancel(CANCELLED_BY_HOST)

    def close(self) -> None:
        """Close the connection once all written bytes are sent."""
        self._is_closing = True
        if self._transport is not None:
            self._transport.close()
