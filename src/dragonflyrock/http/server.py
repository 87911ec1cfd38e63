"""An HTTP/1.1 server, and the limits that all of its connections share."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Final, NamedTuple

from .connection import CANCELLED_BY_HOST, ClientConnection
from .link_queue import LinkQueue
from .memory import ClientMemory
from .models import Headers, Request, Response, WireLimits, make_response

__all__ = ["CANCELLED_BY_HOST", "Handler", "HttpServer", "StopCounts"]

BACKLOG_CONNECTIONS: Final = 1024
TIMEOUT_CHECK_INTERVAL_SECONDS: Final = 0.5
FINISH_POLL_SECONDS: Final = 0.02
# Longest wait, after all connections are closed, for the last responses to be sent.
FLUSH_TIMEOUT_SECONDS: Final = 0.2
# What is received on a connection at once; it is parsed before another one reads.
READ_BUFFER_BYTES: Final = 64 * 1024
# Requests of all connections that are handled beside earlier ones of their connection.
# Beyond it each connection has one at a time, so that a crowd which sends requests
# ahead takes no more of the processor than others.
MAX_REQUESTS_BESIDE: Final = 64

Handler = Callable[[Request], Awaitable[Response]]


def _make_plain_failure(status: int, headers: Headers) -> Response:
    """Return a response without a body."""
    return make_response(status, headers=headers)


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

    Requests for which ``may_overlap`` returns true may be handled beside others of
    their connection. ``memory`` is the account of all servers of a process, and
    ``max_connections`` the number of connections, 0 for no bound. ``make_failure``
    makes the responses that need no handler, of a status and headers.
    """

    def __init__(
        self,
        handler: Handler,
        limits: WireLimits,
        memory: ClientMemory | None = None,
        max_connections: int = 0,
        may_overlap: Callable[[Request], bool] = lambda request: False,
        make_failure: Callable[[int, Headers], Response] = _make_plain_failure,
        link: LinkQueue | None = None,
    ) -> None:
        """Initialize a server that does not listen yet; ``link`` paces responses."""
        self.link = link or LinkQueue()
        self.handler = handler
        self.make_failure = make_failure
        self.limits = limits
        self.memory = memory if memory is not None else ClientMemory()
        self.max_connections = max_connections
        self.turned_away = 0
        self.may_overlap = may_overlap
        self.beside_count = 0
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self.draining = False
        self.finishing = False
        self.counts = StopCounts()
        self.connections: set[ClientConnection] = set()
        self._server: asyncio.Server | None = None
        self._timeout_timer: asyncio.TimerHandle | None = None

    async def start(self, address: str | socket.socket) -> None:
        """Listen at ``ip:port``, or on a bound socket."""
        loop = asyncio.get_running_loop()
        make_connection = partial(ClientConnection, self, loop)
        if isinstance(address, socket.socket):
            self._server = await loop.create_server(
                make_connection, sock=address, backlog=BACKLOG_CONNECTIONS
            )
        else:
            host, _, port = address.rpartition(":")
            self._server = await loop.create_server(
                make_connection,
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

        A connection without any request yet stays open for a moment.
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
        self.link.stop_pacing()
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()
        for connection in list(self.connections):
            connection.cancel()

    def may_start_beside(self) -> bool:
        """Return whether a request may be handled beside others of its connection."""
        is_full = self.beside_count >= MAX_REQUESTS_BESIDE
        return not is_full and not self.memory.is_pressed

    def count_beside(self, task: asyncio.Task[None]) -> None:
        """Count a request that is handled beside others, until its task has ended."""
        self.beside_count += 1
        task.add_done_callback(self._end_beside)

    def _end_beside(self, task: asyncio.Task[None]) -> None:
        """Count the end of a request that was handled beside others."""
        self.beside_count -= 1

    def add_connection(self, connection: ClientConnection) -> None:
        """Register a connection; past the bound, one is closed.

        That is the one longest without use. If all are in use, it is the one with most
        requests sent ahead, so that a crowd which keeps its connections busy does not
        keep others out; without such a one it is the new connection.
        """
        unused = [each for each in self.connections if each.is_unused]
        self.connections.add(connection)
        if not self.max_connections or len(self.connections) <= self.max_connections:
            return
        self.turned_away += 1
        victim = connection
        if unused:
            victim = min(unused, key=lambda each: each.progressed_at)
        else:
            ahead = [each for each in self.connections if each.is_far_ahead]
            victim = max(ahead, key=lambda each: each.request_count, default=victim)
        victim.abort()

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
