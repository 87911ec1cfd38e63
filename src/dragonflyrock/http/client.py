"""An HTTP/1.1 client: pooled connections to backend servers."""

from __future__ import annotations

import asyncio
import itertools
import math
import socket
import struct
from collections import Counter, defaultdict
from collections.abc import Callable
from io import BytesIO
from typing import Final

import httptools

from .buffered_bodies import BufferedBodies
from .link_queue import SMALL_BYTES, LinkQueue
from .models import (
    ExchangeFault,
    FaultKind,
    Headers,
    Request,
    Response,
    encode_head,
    find_header,
)
from .part_pacer import FREE_PARTS, SMALL_PART_BYTES, PartPacer

__all__ = ["MAX_SMALL_BODY_BYTES", "ConnectionPool", "ServerConnection"]

# The idle timeout of a server that does not announce one.
DEFAULT_IDLE_TIMEOUT_SECONDS: Final = 4.0
# Share of the server's idle timeout in which a connection is reused, so that a request
# is not sent while the server closes the connection.
IDLE_TIMEOUT_SHARE: Final = 0.7
# SO_LINGER enabled with a timeout of 0: closing the socket resets the connection.
RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
# Time of a server to accept or reset a connection, beside the round trip.
ACCEPT_SECONDS: Final = 0.001
MAX_ACCEPT_WAIT_SECONDS: Final = 0.01
MAX_IDLE_CONNECTIONS_PER_ADDRESS: Final = 32
EXPIRY_INTERVAL_SECONDS: Final = 1.0
# A connection is closed once it has failed so many requests, whose ids it remembers.
MAX_FAILED_IDS: Final = 16
MAX_BODY_BYTES: Final = 32 * 1024 * 1024
# The answer to a probe or an order says little.
MAX_SMALL_BODY_BYTES: Final = 64 * 1024
# All bodies that are being read; a host has 200 MB of memory or more.
MAX_BUFFERED_BODY_BYTES: Final = 48 * 1024 * 1024
# What an exchange may receive besides bodies: heads, interim responses, and the framing
# of chunks, which is at most so many times the body.
MAX_HEAD_BYTES: Final = 64 * 1024
MAX_FRAMING_FACTOR: Final = 8
# Bytes that are parsed before the time that they took is accounted for.
PARSED_PART_BYTES: Final = 16 * 1024
# A larger request is written in parts of this size.
WRITTEN_PART_BYTES: Final = 64 * 1024
HTTP_VERSIONS: Final = ("1.0", "1.1")
STATUSES: Final = range(100, 600)
NO_BYTES: Final = memoryview(b"")
_CONNECTION_NUMBERS: Final = itertools.count(1)


class ServerConnection(asyncio.Protocol):
    """A connection to a backend server that carries one exchange at a time.

    It implements the callbacks of ``asyncio.Protocol`` and of the ``httptools`` parser.
    """

    def __init__(
        self,
        address: str,
        loop: asyncio.AbstractEventLoop,
        bodies: BufferedBodies,
        pacer: PartPacer,
        open_counts: Counter[str],
        link: LinkQueue,
    ) -> None:
        """Initialize a connection that is not yet established.

        ``bodies`` bounds the bodies of all connections of a pool and ``pacer`` the time
        that they take; ``open_counts`` counts its open connections by address, and
        ``link`` paces the bodies that are written.
        """
        self._link = link
        self._open_counts = open_counts
        self.address = address
        self._bodies = bodies
        self._pacer = pacer
        self._parsed_bytes = 0
        self._unfinished_bytes = 0
        self._received_body_bytes = 0
        self._max_body_bytes = MAX_BODY_BYTES
        self._part_count = 0
        self._charged_parts = 0
        self._unparsed = NO_BYTES
        self._resume_timer: asyncio.TimerHandle | None = None
        self.number = next(_CONNECTION_NUMBERS)
        self.usable_until = float("inf")
        self.answered_at = 0.0
        self._loop = loop
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._response_future: asyncio.Future[Response | ExchangeFault] | None = None
        self._id_header = b""
        self._request_id = b""
        self._needs_id = True
        self._failed_ids: set[bytes] = set()
        self._has_answered = False
        self._may_reuse = True
        self._is_closed = False
        self._is_head_request = False
        # The head of a request that waits for the link with all of its body.
        self._unsent_head = b""
        self._may_begin: Callable[[], bool] | None = None
        self._unsent = NO_BYTES
        self._is_writing_paused = False
        self._reset_message()

    def _reset_message(self) -> None:
        """Discard the response that was being read."""
        self._reason = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = BytesIO()
        self._ends_at_close = False
        self._has_begun = False

    @property
    def is_busy(self) -> bool:
        """Return whether an exchange is in progress on the open connection."""
        return not self._is_closed and self._response_future is not None

    @property
    def is_reusable(self) -> bool:
        """Return whether another exchange may follow on this connection."""
        return self._may_reuse and not self._is_closed and self._response_future is None

    @property
    def has_sent(self) -> bool:
        """Return whether anything of the last request was written."""
        return not self._unsent_head

    def may_carry(self, request_id: bytes) -> bool:
        """Return whether a response on this connection can be told to be a request's.

        A server may write an earlier response once more. It has the id of its request,
        if any, so it is not told from the response to a request that is sent again
        here, or to one without an id.
        """
        if not request_id:
            return not self._has_answered
        return request_id not in self._failed_ids

    async def exchange(
        self,
        request: Request,
        id_header: bytes = b"",
        request_id: bytes = b"",
        *,
        needs_id: bool = True,
        max_body_bytes: int = 0,
        may_begin: Callable[[], bool] | None = None,
    ) -> Response | ExchangeFault:
        """Send a request and return its complete response, or why there is none.

        A request that waits for the link is not sent unless ``may_begin`` returns true
        when the link has room.

        A response with a body of more than ``max_body_bytes`` is a fault; 0 stands for
        the largest body that any response may have.

        A response is skipped if its header ``id_header``, named in lower case, has
        another value than ``request_id``. One without this header is a fault if there
        was a response on this connection before, as it may be a copy of that one;
        unless ``needs_id`` is false, for servers that name no request.
        If the calling task is cancelled, the connection is reset, so that the server
        stops working on the request.
        """
        assert self._transport is not None
        self._unsent_head = b""
        self._may_begin = may_begin
        self._response_future = self._loop.create_future()
        self._id_header, self._request_id = id_header, request_id
        self._needs_id = needs_id
        self._is_head_request = request.method == b"HEAD"
        self._max_body_bytes = max_body_bytes or MAX_BODY_BYTES
        self._parsed_bytes = self._received_body_bytes = 0
        self._unfinished_bytes = 0
        self._part_count = self._charged_parts = 0
        if self._is_closed:
            self._fail(FaultKind.NOT_CONNECTED, "connection was closed while idle")
        else:
            self._send(request)
        try:
            return await self._response_future
        except asyncio.CancelledError:
            self.abort()
            raise
        finally:
            if self._unsent:
                # The server would take the next request for the rest of this body.
                self._may_reuse = False
                self._unsent = NO_BYTES
                self._link.discard(self)
            if self._unparsed or self._resume_timer is not None:
                self._may_reuse = False
                self._stop_reading()
            self._response_future = None
            self._bodies.remove(self)

    def _send(self, request: Request) -> None:
        """Write a request, with a Content-Length header if it has a body."""
        assert self._transport is not None
        headers = request.headers
        if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
            headers = (*headers, (b"Content-Length", b"%d" % len(request.body)))
        first = b"%s %s HTTP/1.1" % (request.method, request.target)
        head = encode_head(first, headers)
        written_at_once = WRITTEN_PART_BYTES
        if self._link.is_paced:
            written_at_once = SMALL_BYTES - len(head)
        if len(request.body) <= written_at_once:
            self._transport.write(head + request.body)
            return
        self._unsent_head = head
        self._unsent = memoryview(request.body)
        self._link.send(self)

    @property
    def unwritten_bytes(self) -> int:
        """Return the bytes of a body that the transport takes now."""
        if self._is_writing_paused or self._is_closed:
            return 0
        return len(self._unsent)

    def write_part(self, limit: int) -> int:
        """Pass a part of the body to the transport, and return its size.

        The transport would copy a large body as a whole.
        """
        assert self._transport is not None
        if self._unsent_head and self._may_begin is not None and not self._may_begin():
            self._drop_request()
            return 0
        size = min(limit, WRITTEN_PART_BYTES)
        part, self._unsent = self._unsent[:size], self._unsent[size:]
        if self._unsent_head:
            self._transport.write(self._unsent_head)
            self._unsent_head = b""
        self._transport.write(part)
        return len(part)

    def _drop_request(self) -> None:
        """End the exchange before anything was written; the connection stays usable."""
        self._unsent = NO_BYTES
        if self._response_future is not None and not self._response_future.done():
            fault = ExchangeFault(FaultKind.NOT_BEGUN, "the link had no room in time")
            self._response_future.set_result(fault)

    def pause_writing(self) -> None:
        """Keep the rest of a body until the server has taken what was written."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Go on writing a body."""
        self._is_writing_paused = False
        self._link.send(self)

    def _deliver(self, response: Response) -> None:
        """Return the response to the waiting exchange if it belongs to its request."""
        if self._response_future is None or self._response_future.done():
            self._may_reuse = False
            return
        if self._id_header:
            echoed = find_header(response.headers, self._id_header)
            if echoed is not None and echoed != self._request_id:
                self._may_reuse = False
                return
            if echoed is None and self._needs_id:
                if self._has_answered:
                    self._give_up("the response names no request, and may be a copy")
                    return
                # A second copy of this response could not be told from a later one.
                self._may_reuse = False
        self._record_answer(response)
        assert self._transport is not None
        if self._unsent or self._transport.get_write_buffer_size():
            self._may_reuse = False
        self._update_usable_until(response.headers)
        self._response_future.set_result(response)

    def _record_answer(self, response: Response) -> None:
        """Record that a request was answered here, and whether it may be sent again."""
        self._has_answered = True
        self.answered_at = self._loop.time()
        if not 200 <= response.status < 300:
            self._failed_ids.add(self._request_id)
            if len(self._failed_ids) >= MAX_FAILED_IDS:
                self._may_reuse = False

    def _update_usable_until(self, headers: Headers) -> None:
        """Set the time limit for reuse from the server's Keep-Alive header."""
        idle_seconds = DEFAULT_IDLE_TIMEOUT_SECONDS
        keep_alive = find_header(headers, b"keep-alive")
        if keep_alive is not None:
            for part in keep_alive.split(b","):
                name, _, value = part.strip().partition(b"=")
                if name.lower() == b"timeout" and value.isdigit():
                    idle_seconds = float(value)
        self.usable_until = self._loop.time() + idle_seconds * IDLE_TIMEOUT_SHARE

    def _fail(self, kind: FaultKind, detail: str) -> None:
        """End the exchange with a fault, unless it has a result."""
        self._may_reuse = False
        if self._response_future is not None and not self._response_future.done():
            self._response_future.set_result(ExchangeFault(kind, detail))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the transport and disable Nagle's algorithm."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._open_counts[self.address] += 1
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; reset the connection if no exchange is in progress."""
        self._link.received.record(len(data))
        if self._response_future is None or not self.has_sent:
            self._fail(FaultKind.NOT_CONNECTED, "the server wrote before the request")
            self.abort()
            return
        if len(data) <= PARSED_PART_BYTES and self._part_count <= FREE_PARTS:
            self._parse(data)
            return
        self._unparsed = memoryview(data)
        self._parse_received()

    def _parse_received(self) -> None:
        """Parse what was received; read on later if its parts take too much time.

        Once the exchange has its result, the rest is discarded at its end.
        """
        future = self._response_future
        assert future is not None
        while self._unparsed and not self._is_closed and not future.done():
            part = self._unparsed[:PARSED_PART_BYTES]
            self._unparsed = self._unparsed[PARSED_PART_BYTES:]
            self._parse(part)
            wait = self._charge_parts()
            if wait > 0 and not self._is_closed and not future.done():
                assert self._transport is not None
                self._transport.pause_reading()
                self._resume_timer = self._loop.call_later(wait, self._resume_reading)
                return

    def _charge_parts(self) -> float:
        """Charge for the parts parsed last; return the time until reading goes on."""
        free = FREE_PARTS + self._received_body_bytes // SMALL_PART_BYTES
        count = self._part_count - free - self._charged_parts
        if count <= 0:
            return 0.0
        self._charged_parts += count
        return self._pacer.charge(count, self._loop.time())

    def _resume_reading(self) -> None:
        """Go on with a response whose parts took too much time."""
        self._resume_timer = None
        self._parse_received()
        if self._resume_timer is None and not self._is_closed:
            assert self._transport is not None
            self._transport.resume_reading()

    def _stop_reading(self) -> None:
        """Discard what was not parsed, at the end of an exchange."""
        self._unparsed = NO_BYTES
        if self._resume_timer is not None:
            self._resume_timer.cancel()
            self._resume_timer = None

    def _parse(self, data: bytes | memoryview) -> None:
        """Parse a part, and end the exchange if it is no part of a response."""
        assert self._response_future is not None
        self._parsed_bytes += len(data)
        parts = self._part_count
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._give_up(str(error))
            return
        # The parser keeps a header or trailer until it is complete.
        if parts != self._part_count:
            self._unfinished_bytes = 0
        else:
            self._unfinished_bytes += len(data)
        if self._unfinished_bytes > MAX_HEAD_BYTES and not self._response_future.done():
            self._give_up(f"a line exceeds {MAX_HEAD_BYTES} bytes")
            return
        overhead = self._parsed_bytes - self._received_body_bytes
        allowed = MAX_HEAD_BYTES + MAX_FRAMING_FACTOR * self._received_body_bytes
        if overhead > allowed and not self._response_future.done():
            self._give_up(f"response heads exceed {allowed} bytes")

    def give_up_body(self, detail: str) -> None:
        """End the exchange with a fault and close the connection."""
        self._give_up(detail)

    def _give_up(self, detail: str) -> None:
        """End the exchange, as the server sends what is no answer."""
        self._fail(FaultKind.BAD_ANSWER, detail)
        self.abort()

    def eof_received(self) -> bool:
        """Complete a response whose body ends where the connection is closed."""
        if self._ends_at_close:
            self._build_response()
        self._is_closed = True
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """End the exchange in progress with a fault."""
        self._is_closed = True
        self._stop_reading()
        self._open_counts[self.address] -= 1
        if not self._open_counts[self.address]:
            del self._open_counts[self.address]
        self._reset_message()
        self._fail(
            FaultKind.CONNECTION_LOST if self.has_sent else FaultKind.NOT_CONNECTED,
            str(error) if error else "connection was closed by the server",
        )

    def abort(self) -> None:
        """Reset the connection, which discards unsent and unread data."""
        self._is_closed = True
        # The parser refers to this connection, so both stay in memory for a while.
        self._reset_message()
        self._stop_reading()
        if self._transport is None:
            return
        sock = self._transport.get_extra_info("socket")
        if sock is not None and sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._transport.abort()

    def close(self) -> None:
        """Close the connection once all written bytes are sent."""
        self._is_closed = True
        if self._transport is not None:
            self._transport.close()

    def on_message_begin(self) -> None:
        """Start reading a response; an unexpected one rules out reuse."""
        self._reset_message()
        self._part_count += 1
        self._has_begun = True
        if self._response_future is None or self._response_future.done():
            self._may_reuse = False

    def on_status(self, reason: bytes) -> None:
        """Append to the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header, without decoding it."""
        self._part_count += 1
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Determine how the end of the response is recognized."""
        version, status = (
            self._parser.get_http_version(),
            self._parser.get_status_code(),
        )
        if version not in HTTP_VERSIONS or status not in STATUSES:
            # A status below 100 would count as an interim one.
            self._give_up(f"invalid status line: HTTP/{version} {status:03}")
            return
        names = {name.lower() for name, _ in self._headers}
        is_framed = b"content-length" in names or b"transfer-encoding" in names
        has_no_body = self._is_head_request or status in (204, 304) or status < 200
        self._ends_at_close = not is_framed and not has_no_body
        if self._is_head_request:
            self._build_response()

    def on_body(self, body: bytes) -> None:
        """Add a part of the body and reject a body that is too large."""
        if self._is_closed:
            return
        self._part_count += 1
        self._received_body_bytes += len(body)
        if self._received_body_bytes > self._max_body_bytes:
            self._give_up(f"response body exceeds {self._max_body_bytes} bytes")
            return
        self._body.write(body)
        self._bodies.add(self, len(body))

    def on_message_complete(self) -> None:
        """Complete a response whose end is given by its framing."""
        if self._has_begun and not self._is_closed:
            self._build_response()

    def _build_response(self) -> None:
        """Build the response, or skip one with an interim status (1xx)."""
        status = self._parser.get_status_code()
        if status < 200:
            self._reset_message()
            return
        headers = tuple(self._headers)
        connection_header = find_header(headers, b"connection") or b""
        if (
            self._ends_at_close
            or connection_header.lower() == b"close"
            or self._is_head_request
        ):
            self._may_reuse = False
        response = Response(status, self._reason, headers, self._body.getvalue())
        self._reset_message()
        self._deliver(response)


class ConnectionPool:
    """Idle connections to servers by address; the last one released is reused first."""

    def __init__(
        self,
        bodies: BufferedBodies | None = None,
        pacer: PartPacer | None = None,
        *,
        closes_expired: bool = False,
        link: LinkQueue | None = None,
    ) -> None:
        """Initialize an empty pool.

        ``bodies`` bounds the responses being read, and ``pacer`` the time for them.
        ``link`` paces the bodies that are written.
        Unless the pool ``closes_expired`` connections itself, call ``close_expired``.
        """
        self.pacer = pacer or PartPacer()
        self.link = link or LinkQueue()
        self._closes_expired = closes_expired
        self._expiry_timer: asyncio.TimerHandle | None = None
        self._idle: defaultdict[str, list[ServerConnection]] = defaultdict(list)
        self.bodies = bodies or BufferedBodies(MAX_BUFFERED_BODY_BYTES)
        self._open_counts: Counter[str] = Counter()

    def has_open(self, address: str) -> bool:
        """Return whether a connection to an address is open, idle or in use."""
        return self._open_counts[address] > 0

    def acquire_idle(self, address: str, request_id: bytes) -> ServerConnection | None:
        """Return an idle connection that may carry a request; close expired ones."""
        idle = self._idle.get(address, [])
        now = asyncio.get_running_loop().time()
        for position in reversed(range(len(idle))):
            connection = idle[position]
            if not connection.is_reusable or now >= connection.usable_until:
                connection.close()
                del idle[position]
            elif connection.may_carry(request_id):
                del idle[position]
                return connection
        return None

    def acquire(self, connection: ServerConnection, request_id: bytes) -> bool:
        """Take one connection that is idle; return whether it may carry a request."""
        idle = self._idle.get(connection.address, [])
        if connection not in idle:
            return False
        idle.remove(connection)
        now = asyncio.get_running_loop().time()
        is_usable = connection.is_reusable and now < connection.usable_until
        if is_usable and connection.may_carry(request_id):
            return True
        connection.close()
        return False

    async def connect(
        self, address: str, timeout: float
    ) -> ServerConnection | ExchangeFault:
        """Open a connection within ``timeout`` seconds, or return the fault."""
        return await self._open(address, timeout)

    async def connect_accepted(
        self, address: str, timeout: float
    ) -> ServerConnection | ExchangeFault:
        """Open a connection that the server has not reset after a round trip.

        A server with too many connections resets a new one as soon as it accepts it.
        After a request was written, nobody could tell whether it had run.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        opened = await self._open(address, timeout)
        if isinstance(opened, ExchangeFault):
            return opened
        round_trip = loop.time() - began
        await asyncio.sleep(min(round_trip + ACCEPT_SECONDS, MAX_ACCEPT_WAIT_SECONDS))
        if opened.is_reusable:
            return opened
        return ExchangeFault(FaultKind.TURNED_AWAY, "the new connection was reset")

    async def probe(
        self, address: str, path: str, timeout: float
    ) -> Response | ExchangeFault:
        """Return a server's response to a GET of ``path`` on a new connection."""
        opened = await self._open(address, timeout)
        if isinstance(opened, ExchangeFault):
            return opened
        headers = ((b"Host", address.encode()),)
        try:
            async with asyncio.timeout(timeout):
                answer = await opened.exchange(
                    Request(b"GET", path.encode(), headers, b""),
                    max_body_bytes=MAX_SMALL_BODY_BYTES,
                )
        except TimeoutError:
            return ExchangeFault(FaultKind.CONNECT_TIMEOUT, "no response in time")
        opened.close()
        return answer

    async def _open(
        self, address: str, timeout: float
    ) -> ServerConnection | ExchangeFault:
        """Open a connection within ``timeout`` seconds, or return the fault."""
        loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(timeout):
                _, connection = await loop.create_connection(
                    lambda: ServerConnection(
                        address,
                        loop,
                        self.bodies,
                        self.pacer,
                        self._open_counts,
                        self.link,
                    ),
                    host,
                    int(port),
                )
        except TimeoutError:
            return ExchangeFault(FaultKind.CONNECT_TIMEOUT, "connection timed out")
        except OSError as error:
            return ExchangeFault(FaultKind.NOT_CONNECTED, error.strerror or str(error))
        except (ValueError, OverflowError) as error:
            detail = f"invalid address {address!r}: {error}"
            return ExchangeFault(FaultKind.NOT_CONNECTED, detail)
        return connection

    def count_idle(self, address: str) -> int:
        """Return the number of idle connections to an address."""
        return len(self._idle.get(address, ()))

    def release(
        self,
        connection: ServerConnection,
        max_idle: int = MAX_IDLE_CONNECTIONS_PER_ADDRESS,
    ) -> None:
        """Return a connection to the pool if it is reusable, else close it.

        It is closed too if ``max_idle`` connections to its server are idle already.
        """
        idle = self._idle[connection.address]
        max_idle = min(max_idle, MAX_IDLE_CONNECTIONS_PER_ADDRESS)
        if connection.is_reusable and len(idle) < max_idle:
            idle.append(connection)
            if self._closes_expired:
                self._schedule_expiry()
            return
        connection.close()

    def _schedule_expiry(self) -> None:
        """Close expired connections at intervals while any is idle."""
        if self._expiry_timer is None:
            loop = asyncio.get_running_loop()
            self._expiry_timer = loop.call_later(
                EXPIRY_INTERVAL_SECONDS, self._expire, loop
            )

    def _expire(self, loop: asyncio.AbstractEventLoop) -> None:
        """Close expired connections."""
        self._expiry_timer = None
        self.close_expired(loop.time())
        if any(self._idle.values()):
            self._schedule_expiry()

    def close_expired(self, now: float) -> None:
        """Close connections that are no longer reusable at ``now``."""
        for address, idle in list(self._idle.items()):
            reusable = [c for c in idle if c.is_reusable and now < c.usable_until]
            for connection in idle:
                if connection not in reusable:
                    connection.close()
            if reusable:
                self._idle[address] = reusable
            else:
                del self._idle[address]

    def close_idle(self, address: str, answered_since: float = math.inf) -> None:
        """Close the idle connections to an address.

        Those that were answered since a time of the event loop stay open.
        """
        for connection in self._idle.pop(address, []):
            if connection.answered_at >= answered_since:
                self._idle[address].append(connection)
            else:
                connection.close()

    def close(self) -> None:
        """Close every idle connection."""
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
            self._expiry_timer = None
        for address in list(self._idle):
            self.close_idle(address)
