"""The calling side: connections to backend servers, one exchange at a time each."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import defaultdict
from typing import Final

import httptools

from .models import (
    ExchangeFault,
    FaultKind,
    Headers,
    Request,
    Response,
    encode_head,
    find_header,
)

__all__ = ["ConnectionPool", "ServerConnection"]

DEFAULT_IDLE_SECONDS: Final = 4.0
# A connection is used again only well before its server may close it.
IDLE_SHARE: Final = 0.7
RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
MAX_IDLE_PER_ADDRESS: Final = 32
MAX_BODY_BYTES: Final = 64 * 1024 * 1024


class ServerConnection(asyncio.Protocol):
    """A connection to a backend server."""

    def __init__(self, address: str, loop: asyncio.AbstractEventLoop) -> None:
        """Wait to be connected."""
        self.address = address
        self.usable_until = float("inf")
        self.used = False
        self._loop = loop
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._future: asyncio.Future[Response | ExchangeFault] | None = None
        self._id_name = b""
        self._id_value = b""
        self._clean = True
        self._closed = False
        self._head_only = False
        self._reset_message()

    def _reset_message(self) -> None:
        """Forget the response that was being read."""
        self._reason = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._open_ended = False
        self._begun = False

    @property
    def is_reusable(self) -> bool:
        """Return whether another exchange may follow on this connection."""
        return self._clean and not self._closed and self._future is None

    # Exchange

    async def exchange(
        self, request: Request, id_name: bytes = b"", id_value: bytes = b""
    ) -> Response | ExchangeFault:
        """Send a request and return its whole response.

        A response that echoes another id in ``id_name`` is passed over. When the
        caller is cancelled the connection is broken off, which stops the server.
        """
        assert self._transport is not None
        self._future = self._loop.create_future()
        self._id_name, self._id_value = id_name, id_value
        self._head_only = request.method == b"HEAD"
        self.used = True
        if self._closed:
            self._fail(FaultKind.NOT_CONNECTED, "closed while it was idle")
        else:
            self._send(request)
        try:
            return await self._future
        except asyncio.CancelledError:
            self.abort()
            raise
        finally:
            self._future = None

    def _send(self, request: Request) -> None:
        """Write a request with its body framed by length."""
        assert self._transport is not None
        headers = request.headers
        if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
            headers = (*headers, (b"Content-Length", b"%d" % len(request.body)))
        first = b"%s %s HTTP/1.1" % (request.method, request.target)
        self._transport.write(encode_head(first, headers) + request.body)

    def _finish(self, response: Response) -> None:
        """Hand over a whole response, unless it answers another request."""
        if self._future is None or self._future.done():
            self._clean = False
            return
        if self._id_name:
            echoed = find_header(response.headers, self._id_name)
            if echoed is not None and echoed != self._id_value:
                self._clean = False
                return
        assert self._transport is not None
        if self._transport.get_write_buffer_size():
            self._clean = False
        self._note_idle_time(response.headers)
        self._future.set_result(response)

    def _note_idle_time(self, headers: Headers) -> None:
        """Read how long the server keeps the connection."""
        idle = DEFAULT_IDLE_SECONDS
        told = find_header(headers, b"keep-alive")
        if told is not None:
            for part in told.split(b","):
                name, _, value = part.strip().partition(b"=")
                if name.lower() == b"timeout" and value.isdigit():
                    idle = float(value)
        self.usable_until = self._loop.time() + idle * IDLE_SHARE

    def _fail(self, kind: FaultKind, detail: str) -> None:
        """End the exchange without a response."""
        self._clean = False
        if self._future is not None and not self._future.done():
            self._future.set_result(ExchangeFault(kind, detail))

    # Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        """Parse what has come; anything unasked makes the connection unusable."""
        if self._future is None:
            self._clean = False
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(FaultKind.BAD_ANSWER, str(error))
            self.abort()

    def eof_received(self) -> bool:
        """End a response that lasts until its connection ends."""
        if self._open_ended:
            self._complete()
        self._closed = True
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the exchange under way."""
        self._closed = True
        self._fail(
            FaultKind.CONNECTION_LOST, str(error) if error else "closed by the server"
        )

    def abort(self) -> None:
        """Reset the connection, so that nothing on its way arrives any more."""
        self._closed = True
        if self._transport is None:
            return
        sock = self._transport.get_extra_info("socket")
        if sock is not None and sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._transport.abort()

    def close(self) -> None:
        """Close an idle connection."""
        self._closed = True
        if self._transport is not None:
            self._transport.close()

    # Parser

    def on_message_begin(self) -> None:
        """Begin a response."""
        self._reset_message()
        self._begun = True
        if self._future is None or self._future.done():
            self._clean = False

    def on_status(self, reason: bytes) -> None:
        """Take the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header as it is."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Find out how the response ends."""
        names = {name.lower() for name, _ in self._headers}
        framed = b"content-length" in names or b"transfer-encoding" in names
        status = self._parser.get_status_code()
        bodiless = self._head_only or status in (204, 304) or status < 200
        self._open_ended = not framed and not bodiless
        if self._head_only:
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > MAX_BODY_BYTES:
            self._fail(FaultKind.BAD_ANSWER, f"more than {MAX_BODY_BYTES} bytes")
            self.abort()
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """End a framed response."""
        if self._begun:
            self._complete()

    def _complete(self) -> None:
        """Make the response that has been read."""
        status = self._parser.get_status_code()
        if status < 200:
            self._reset_message()
            return
        headers = tuple(self._headers)
        told_close = find_header(headers, b"connection") or b""
        if self._open_ended or told_close.lower() == b"close" or self._head_only:
            self._clean = False
        response = Response(status, self._reason, headers, b"".join(self._body))
        self._reset_message()
        self._finish(response)


class ConnectionPool:
    """Open connections by address; the one used last is used first again."""

    def __init__(self) -> None:
        """Start without connections."""
        self.opened = 0
        self._idle: defaultdict[str, list[ServerConnection]] = defaultdict(list)

    def acquire_idle(self, address: str) -> ServerConnection | None:
        """Return an open connection that its server will keep for a while."""
        idle = self._idle.get(address)
        now = asyncio.get_running_loop().time()
        while idle:
            connection = idle.pop()
            if connection.is_reusable and now < connection.usable_until:
                return connection
            connection.close()
        return None

    async def connect(
        self, address: str, timeout: float
    ) -> ServerConnection | ExchangeFault:
        """Open a connection within ``timeout`` seconds."""
        loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(":")
        self.opened += 1
        try:
            async with asyncio.timeout(timeout):
                _, connection = await loop.create_connection(
                    lambda: ServerConnection(address, loop), host, int(port)
                )
        except TimeoutError:
            return ExchangeFault(FaultKind.NOT_CONNECTED, "no connection in time")
        except OSError as error:
            return ExchangeFault(FaultKind.NOT_CONNECTED, error.strerror or str(error))
        return connection

    def release(self, connection: ServerConnection) -> None:
        """Keep a connection for the next exchange if it can be used again."""
        idle = self._idle[connection.address]
        if connection.is_reusable and len(idle) < MAX_IDLE_PER_ADDRESS:
            idle.append(connection)
            return
        connection.close()

    def sweep(self, now: float) -> None:
        """Close what has been idle for long, and forget empty addresses."""
        for address, idle in list(self._idle.items()):
            kept = [c for c in idle if c.is_reusable and now < c.usable_until]
            for connection in idle:
                if connection not in kept:
                    connection.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def close_idle(self, address: str) -> None:
        """Close the idle connections of an address."""
        for connection in self._idle.pop(address, []):
            connection.close()

    def close(self) -> None:
        """Close every idle connection."""
        for address in list(self._idle):
            self.close_idle(address)
