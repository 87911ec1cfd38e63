"""A client's connection: requests in, responses out in their order."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import deque
from dataclasses import dataclass
from io import BytesIO
from typing import TYPE_CHECKING, Final

import httptools

from .models import Headers, Request, Response, encode_head

if TYPE_CHECKING:
    from .server import HttpServer

__all__ = ["CANCELLED_BY_HOST", "ClientConnection"]

_LOGGER = logging.getLogger(__name__)

# The message of the cancellation when the server, and not the client, ends a request.
CANCELLED_BY_HOST: Final = "cancelled: the host stopped"
# Complete requests of a connection that wait for earlier ones, or for their responses
# to be taken. Reading stops beyond it.
MAX_WAITING_REQUESTS: Final = 16
# Requests of a connection that are handled at the same time.
MAX_CONCURRENT_REQUESTS: Final = 8
# Bytes parsed at once: a part may hold many short requests, each of which takes memory.
PARSED_PART_BYTES: Final = 8 * 1024
# Written responses that the client has not taken; beyond it no request is started.
MAX_UNSENT_BYTES: Final = 64 * 1024
WRITTEN_PART_BYTES: Final = 64 * 1024
# What a waiting request takes beside its bytes.
REQUEST_OVERHEAD_BYTES: Final = 1024
# What a header takes beside its bytes, as two objects and the pair of them.
HEADER_OVERHEAD_BYTES: Final = 192
# A client may use the whole idle timeout; the margin covers clock differences.
IDLE_MARGIN_SECONDS: Final = 1.0
# A body that arrives at this rate on average is never too slow.
MIN_BODY_BYTES_PER_SECOND: Final = 8 * 1024
# A new connection does not count as idle for this long, as its first request may be
# on its way.
FIRST_REQUEST_TIMEOUT_SECONDS: Final = 0.3
# Retry-After of a request that was refused for want of memory.
MEMORY_RETRY_AFTER: Final = b"1"


@dataclass(slots=True)
class _Exchange:
    """A request that was read and whose response is not written yet."""

    request: Request
    keep_alive: bool
    read_at: float
    overlaps: bool
    size: int
    task: asyncio.Task[None] | None = None
    response: Response | None = None


class ClientConnection(asyncio.BufferedProtocol):
    """The connection of a client.

    Requests are handled at the same time only while all of them, from the first one
    without a response on, may run more than once. Responses are written in order.

    It implements the callbacks of ``asyncio.BufferedProtocol``, of the ``httptools``
    parser and of ``MemoryHolder``.
    """

    def __init__(self, server: HttpServer, loop: asyncio.AbstractEventLoop) -> None:
        """Initialize a connection that has received no request."""
        self._server = server
        self._loop = loop
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._exchanges: deque[_Exchange] = deque()
        self._unparsed = b""
        self._is_parsing = False
        self._has_parsed_item = False
        self._unfinished_bytes = 0
        # Data to be sent, each with the number of bytes that the transport has.
        self._unsent: deque[tuple[bytes, int]] = deque()
        self._unsent_bytes = 0
        # Of the first of these data.
        self._written_bytes = 0
        self._is_writing_paused = False
        self._state_changed_at = self.progressed_at = loop.time()
        self._is_receiving = False
        self._refusal_status = 0
        self._is_closing = False
        self._closes_when_sent = False
        self._opened_while_draining = server.draining
        self._has_received = False
        self._cancelled_by_host = False
        self._held_bytes = 0
        self._reset_message()

    @property
    def is_busy(self) -> bool:
        """Return whether a request is being handled."""
        return any(exchange.task is not None for exchange in self._exchanges)

    @property
    def is_unused(self) -> bool:
        """Return whether it is open and no request of it is being handled."""
        return not self._is_closing and not self.is_busy

    @property
    def is_far_ahead(self) -> bool:
        """Return whether its client sends more ahead than it takes, or than can run."""
        is_ahead = self.request_count > MAX_CONCURRENT_REQUESTS
        return not self._is_closing and (is_ahead or bool(self._unsent))

    @property
    def request_count(self) -> int:
        """Return the number of its requests without a written response."""
        return len(self._exchanges)

    def is_idle(self, now: float) -> bool:
        """Return whether no request is in progress or expected soon."""
        if self._exchanges or self._is_receiving or self._is_closing or self._unsent:
            return False
        return (
            self._has_received
            or now - self._state_changed_at > FIRST_REQUEST_TIMEOUT_SECONDS
        )

    @property
    def is_expendable(self) -> bool:
        """Return whether what it holds waits for its client, and may be dropped."""
        if self._is_closing:
            return bool(self._unsent)
        return self._is_receiving or bool(self._unsent) or self._has_waiting_response

    @property
    def _has_waiting_response(self) -> bool:
        """Return whether a response waits for that to an earlier request."""
        return any(exchange.response is not None for exchange in self._exchanges)

    def _reset_message(self) -> None:
        """Discard the request that was being read."""
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes = 0
        self._body: BytesIO | None = None
        self._body_bytes = 0
        self._unfinished_bytes = 0

    @property
    def _head_size(self) -> int:
        """Return the bytes that the head of the request being read takes."""
        return self._header_bytes + HEADER_OVERHEAD_BYTES * len(self._headers)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and disable Nagle's algorithm."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITTEN_PART_BYTES)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._server.add_connection(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Unregister the connection and cancel its requests."""
        self._server.connections.discard(self)
        self._cancel_requests()
        self._drop_unsent()
        self._unparsed = b""
        self._reset_message()
        self._update_held()

    def eof_received(self) -> bool:
        """Treat a client that closed its sending side as disconnected."""
        self._cancel_requests()
        return False

    def _cancel_requests(self) -> None:
        """Cancel the requests being handled and discard those that wait."""
        self._is_closing = True
        self._drop_exchanges()

    def _drop_exchanges(self) -> None:
        """Cancel and forget the requests without a written response."""
        exchanges, self._exchanges = self._exchanges, deque()
        for exchange in exchanges:
            if exchange.task is not None:
                exchange.task.cancel()

    # Reading

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for received bytes, which all connections share."""
        return self._server.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received bytes."""
        if self._is_closing:
            return
        self.progressed_at = self._loop.time()
        self._server.link.received.record(nbytes)
        self._parse(bytes(self._server.read_buffer[:nbytes]))

    def _parse(self, data: bytes) -> None:
        """Parse bytes until too many requests wait; the rest is parsed later."""
        self._is_parsing = True
        position = 0
        while position < len(data) and not self._is_closing:
            if len(self._exchanges) > MAX_WAITING_REQUESTS or self._refusal_status:
                break
            self._feed(data[position : position + PARSED_PART_BYTES])
            position += PARSED_PART_BYTES
        self._is_parsing = False
        if self._refusal_status:
            # What follows an invalid request is not read as a request.
            self._unparsed = b""
            if not self._exchanges:
                self._send_refusal()
        else:
            self._unparsed = b"" if self._is_closing else data[position:]
            if len(self._exchanges) > MAX_WAITING_REQUESTS:
                self._pause_reading()
        self._update_held()

    def _feed(self, data: bytes) -> None:
        """Parse a part; an invalid request is refused once no other is pending.

        The parser keeps a header, trailer or chunk extension until it is complete.
        """
        self._has_parsed_item = False
        try:
            self._parser.feed_data(data)
            if self._has_parsed_item:
                self._unfinished_bytes = 0
            else:
                self._unfinished_bytes += len(data)
            if self._unfinished_bytes > self._server.limits.header_bytes:
                self._refuse(431)
        except httptools.HttpParserUpgrade:
            self._refuse(400)
        except httptools.HttpParserError as error:
            if not self._refusal_status:
                _LOGGER.debug("step=parse: invalid request: %s", error)
                self._refuse(400)

    def _pause_reading(self) -> None:
        """Stop reading while too many requests wait on this connection."""
        if self._transport is not None and self._transport.is_reading():
            self._transport.pause_reading()

    def _continue_reading(self) -> None:
        """Parse what was received, and read on if there is room."""
        if self._is_closing or self._is_parsing:
            return
        if self._unparsed and len(self._exchanges) <= MAX_WAITING_REQUESTS:
            data, self._unparsed = self._unparsed, b""
            self._parse(data)
        transport = self._transport
        if transport is None or transport.is_closing() or transport.is_reading():
            return
        if not self._unparsed and len(self._exchanges) <= MAX_WAITING_REQUESTS:
            transport.resume_reading()

    def on_message_begin(self) -> None:
        """Start reading a request."""
        self._reset_message()
        self._has_parsed_item = True
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
        self._has_parsed_item = True
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
        if wants_continue and not self._exchanges:
            self._send(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Add a part of the body and refuse a body that is too large."""
        if self._refusal_status:
            return
        self._has_parsed_item = True
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits.body_bytes:
            self._refuse(413)
            return
        if self._body is None:
            # Parts of a few bytes, as of a chunked body, would take many times their
            # size as objects; this also spares a copy at the end.
            self._body = BytesIO()
        self._body.write(body)

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        self._is_receiving = False
        if self._refusal_status:
            return
        request = Request(
            self._parser.get_method(),
            self._target,
            tuple(self._headers),
            self._body.getvalue() if self._body is not None else b"",
        )
        size = self._head_size + self._body_bytes + REQUEST_OVERHEAD_BYTES
        keep_alive = self._parser.should_keep_alive()
        self._reset_message()
        overlaps = self._server.may_overlap(request)
        now = self._loop.time()
        self._exchanges.append(_Exchange(request, keep_alive, now, overlaps, size))
        self._start_ready()

    # Handling

    def _start_ready(self) -> None:
        """Start handling the requests that need not wait for earlier ones."""
        if self._is_closing or self._unsent_bytes > MAX_UNSENT_BYTES:
            return
        running = 0
        for place, exchange in enumerate(self._exchanges):
            if place and not exchange.overlaps:
                return
            if exchange.task is None and exchange.response is None:
                if running >= MAX_CONCURRENT_REQUESTS:
                    return
                if place and not self._server.may_start_beside():
                    return
                self._server.count_request(self._opened_while_draining)
                exchange.task = self._loop.create_task(self._handle(exchange))
                if place:
                    self._server.count_beside(exchange.task)
            running += exchange.response is None
            if not exchange.overlaps:
                return

    async def _handle(self, exchange: _Exchange) -> None:
        """Call the handler, and write the responses that are due."""
        waited = self._loop.time() - exchange.read_at
        request = exchange.request
        if waited > 0:
            request = request._replace(waited_seconds=waited)
        try:
            response = await self._server.handler(request)
        except asyncio.CancelledError:
            if not (self._cancelled_by_host and self._server.finishing):
                exchange.task = None
                self.close()
                return
            # 502: the request may or may not have been executed.
            response = self._server.make_failure(502, ())
        except Exception:
            _LOGGER.exception("step=answer: request handler failed")
            response = self._server.make_failure(500, ())
        exchange.task = None
        exchange.response = response
        self._write_ready()

    def _write_ready(self) -> None:
        """Write the responses that are due, in order, and go on with what waits."""
        while self._exchanges and self._exchanges[0].response is not None:
            exchange = self._exchanges.popleft()
            assert exchange.response is not None
            is_last = self._server.draining and not self._exchanges
            ends = self._is_closing and not self._exchanges
            keep_alive = exchange.keep_alive and not is_last and not ends
            if self._cancelled_by_host and self._exchanges:
                keep_alive = True
            self._write(exchange.response, exchange.request.method, keep_alive)
            if not keep_alive:
                # Requests behind this response count as not read.
                self._drop_exchanges()
                self.close()
                self._update_held()
                return
            self._state_changed_at = self._loop.time()
        if self._cancelled_by_host:
            self._refuse_waiting()
            return
        self._start_ready()
        self._continue_reading()
        if self._refusal_status and not self._exchanges and not self._is_closing:
            self._send_refusal()
        self._update_held()

    def _refuse_waiting(self) -> None:
        """Answer requests that were read and not begun when the host ends."""
        while self._exchanges and self._exchanges[0].task is None:
            exchange = self._exchanges.popleft()
            response = exchange.response
            if response is None:
                headers = ((b"Retry-After", b"0"),)
                response = self._server.make_failure(503, headers)
            self._write(response, exchange.request.method, bool(self._exchanges))
        if not self._exchanges:
            self.close()
        self._update_held()

    # Writing

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
        head = encode_head(status_line, headers)
        body = b"" if method == b"HEAD" else response.body
        if len(body) <= WRITTEN_PART_BYTES:
            self._send(head + body)
        else:
            self._send(head)
            self._send(body)

    def _send(self, data: bytes) -> None:
        """Send bytes, or keep them until the client has taken earlier ones."""
        if not data:
            return
        self._unsent.append((data, 0))
        self._unsent_bytes += len(data)
        self._send_parts()

    def _send_parts(self) -> None:
        """Pass parts to the transport while the client and the link take them."""
        self._server.link.send(self)

    @property
    def unwritten_bytes(self) -> int:
        """Return the bytes that the transport takes now."""
        transport = self._transport
        if self._is_writing_paused or transport is None or transport.is_closing():
            return 0
        return self._unsent_bytes - self._written_bytes

    def write_part(self, limit: int) -> int:
        """Pass a part to the transport, and return its size."""
        assert self._transport is not None
        data, start = self._unsent.popleft()
        end = start + min(limit, WRITTEN_PART_BYTES)
        part = data[start:end]
        if end < len(data):
            self._unsent.appendleft((data, end))
            self._written_bytes += len(part)
        else:
            # A part of it keeps all of it in memory.
            self._unsent_bytes -= len(data)
            self._written_bytes = 0
        self._transport.write(part)
        is_paced = self._server.link.is_paced
        if is_paced:
            self.progressed_at = self._loop.time()
        if not self._unsent:
            if self._closes_when_sent:
                self._transport.close()
            elif is_paced:
                self._loop.call_soon(self._go_on_after_sending)
        return len(part)

    def _drop_unsent(self) -> None:
        """Discard what was not sent."""
        self._unsent.clear()
        self._unsent_bytes = self._written_bytes = 0
        self._server.link.discard(self)

    def _go_on_after_sending(self) -> None:
        """Go on with what waited for the link to take earlier bytes."""
        if not self._is_closing and not self._unsent:
            self._write_ready()
        self._update_held()

    def pause_writing(self) -> None:
        """Keep further bytes until the client has taken those written."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Go on writing, and with the requests that waited for it."""
        self._is_writing_paused = False
        self.progressed_at = self._loop.time()
        self._send_parts()
        if not self._is_closing:
            self._write_ready()
        self._update_held()

    def _refuse(self, status: int) -> None:
        """Set the status that refuses the request being read, unless one is set."""
        if not self._refusal_status:
            self._refusal_status = status
            self._body = None

    def _send_refusal(self) -> None:
        """Send the refusal and close the connection."""
        self._is_closing = True
        headers: Headers = ()
        if self._refusal_status == 503:
            headers = ((b"Retry-After", MEMORY_RETRY_AFTER),)
        response = self._server.make_failure(self._refusal_status, headers)
        self._write(response, b"", keep_alive=False)
        self.close()

    # Limits

    def _update_held(self) -> None:
        """Update the account of the bytes held for this client."""
        held = self._unsent_bytes + len(self._unparsed)
        if self._is_receiving:
            held += self._head_size + self._unfinished_bytes
            held += self._body_bytes if self._body is not None else 0
        for exchange in self._exchanges:
            held += exchange.size
            if exchange.response is not None:
                held += len(exchange.response.body)
        if self._is_writing_paused and self._transport is not None:
            held += self._transport.get_write_buffer_size()
        if held != self._held_bytes:
            self._held_bytes = held
            self._server.memory.set(self, held)

    def give_up_memory(self) -> None:
        """Drop what waits for the client: refuse its request or close it."""
        if self._unsent or self._is_closing or self._has_waiting_response:
            self.abort()
            return
        self._refuse(503)
        if not self._exchanges:
            self._send_refusal()
        self._update_held()

    def close_on_timeout(self, now: float) -> None:
        """Close the connection if its client keeps this host waiting too long.

        A partly received request is answered with status 408.
        """
        idle_timeout = self._server.limits.idle_timeout + IDLE_MARGIN_SECONDS
        if self._unsent or self._is_writing_paused:
            if now - self.progressed_at > idle_timeout:
                self.abort()
            return
        if self._exchanges or self._is_closing:
            return
        if self._is_receiving:
            if now - self._state_changed_at > self._find_receive_timeout():
                self._refuse(408)
                self._send_refusal()
        elif now - self._state_changed_at > idle_timeout:
            self.close()

    def _find_receive_timeout(self) -> float:
        """Return the seconds in which a request must have arrived up to here."""
        limits = self._server.limits
        seconds = limits.header_timeout + limits.idle_timeout
        return seconds + self._body_bytes / MIN_BODY_BYTES_PER_SECOND

    def cancel(self) -> None:
        """Cancel the requests being handled, and close after their responses."""
        tasks = [each.task for each in self._exchanges if each.task is not None]
        if not tasks:
            self.close()
            return
        self._is_closing = self._cancelled_by_host = True
        for task in tasks:
            self._server.count_cancelled()
            task.cancel(CANCELLED_BY_HOST)

    def abort(self) -> None:
        """Close the connection at once, and discard what was not sent."""
        self._is_closing = True
        self._drop_unsent()
        self._drop_exchanges()
        self._reset_message()
        self._is_receiving = False
        self._update_held()
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close the connection once all written bytes are sent."""
        self._is_closing = True
        self._closes_when_sent = True
        self._reset_message()
        self._is_receiving = False
        if self._transport is not None and not self._unsent:
            self._transport.close()
