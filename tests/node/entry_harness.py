"""An entry node on a paused clock, with a test server and caller connections."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from dragonflyrock.http import (
    HttpServer,
    Request,
    Response,
    WireLimits,
    find_header,
    make_response,
)
from dragonflyrock.models import Delta, DocumentHead, ServerRow
from dragonflyrock.node.entry import EntryNode
from dragonflyrock.node.settings import (
    BoundSettings,
    ListenAddresses,
    NodeIdentity,
    NodeSettings,
)
from dragonflyrock.router import HeaderNames
from dragonflyrock.routes import (
    ClientLimits,
    Route,
    RoutedService,
    RouteKind,
    ServiceShare,
)
from dragonflyrock.transport.messages import HostUpdate
from tests.common import free_port
from tests.paused_clock import PausedClock, run_paused

__all__ = ["CallerConnection", "EntryHarness", "encode_request", "run_scenario"]

HEADER_NAMES = HeaderNames(signature=b"x-signature")


class CallerConnection:
    """A caller's connection, kept alive between requests."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Wrap an open connection."""
        self._reader = reader
        self._writer = writer
        self._received = b""

    async def send_request(self, left_ms: int) -> bytes:
        """Send a request and return its response; ``left_ms`` is its timeout."""
        self.write(encode_request(left_ms))
        return await self.read_response()

    def write(self, part: bytes) -> None:
        """Send bytes."""
        self._writer.write(part)

    async def read_response(self) -> bytes:
        """Return the next response, or what arrives before the connection ends."""
        received, self._received = self._received, b""
        while not _find_end(received):
            chunk = await self._reader.read(4096)
            if not chunk:
                break
            received += chunk
        end = _find_end(received) or len(received)
        self._received = received[end:]
        return received[:end]

    async def read_to_end(self) -> bytes:
        """Return the bytes that arrive until the connection is closed."""
        return await self._reader.read(-1)

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


def encode_request(left_ms: int) -> bytes:
    """Return an encoded request; ``left_ms`` is its timeout."""
    return (
        b"GET /p/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-1\r\n"
        b"X-Request-Timeout-Ms: %d\r\n\r\n" % left_ms
    )


def _find_end(received: bytes) -> int:
    """Return the length of the first response, or 0 if it is not complete."""
    head, separator, body = received.partition(b"\r\n\r\n")
    if not separator:
        return 0
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length" and len(body) >= int(value):
            return len(head) + len(separator) + int(value)
    return 0


class EntryHarness:
    """An entry node and its test server, which takes ``work_seconds`` for a request.

    ``started`` are the times at which the server began requests, and ``cancelled``
    is the number of requests that were cut.
    """

    def __init__(
        self,
        clock: PausedClock,
        grace_seconds: float,
        kind: RouteKind = RouteKind.IDEMPOTENT,
    ) -> None:
        """Create a node with a grace period of ``grace_seconds``.

        Its route is of this kind and allows 30 s for a request.
        """
        self.clock = clock
        self.work_seconds = 0.0
        self.kind = kind
        self.started: list[float] = []
        self.cancelled = 0
        self._server_port = free_port()
        self._port = free_port()
        self.ready_port = free_port()
        name = "127.0.0.1"
        settings = NodeSettings(
            node=NodeIdentity(
                name=name, label="entry-1", role="entry", availability_zone="a"
            ),
            listen=ListenAddresses(
                link=f"{name}:{free_port()}",
                callers=f"{name}:{self._port}",
                ready=f"{name}:{self.ready_port}",
            ),
            seeds=(f"{name}:1",),
            bounds=BoundSettings(stop_grace_s=grace_seconds),
        )
        self.node = EntryNode(settings, HEADER_NAMES, clock.now, clock.read)
        self._server = HttpServer(self._handle_request, WireLimits())
        self.running: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the server and the node, and send the node its rows."""
        await self._server.start(f"127.0.0.1:{self._server_port}")
        self.running = asyncio.create_task(self.node.run())
        await asyncio.sleep(0.5)
        row = ServerRow("s1", "s", f"127.0.0.1:{self._server_port}", "a", 0, 8, 0, True)
        route = Route(
            "r",
            "h",
            "/p/",
            self.kind,
            (ServiceShare("s", 1.0),),
            30_000.0,
            2,
            2000.0,
            1,
        )
        delta = Delta(
            0,
            1,
            True,
            (),
            (row,),
            routes=(route,),
            services=(RoutedService("s", "/health", 100, False, 0.0),),
            document=DocumentHead(1, ClientLimits()),
        )
        self.node.state.apply(HostUpdate(1, "leader", 0.0, 0, delta, 0, None))

    async def _handle_request(self, request: Request) -> Response:
        """Respond after ``work_seconds``."""
        self.started.append(self.clock.now)
        try:
            await asyncio.sleep(self.work_seconds)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        echoed = find_header(request.headers, b"x-request-id") or b""
        headers = ((b"X-Request-Id", echoed), (b"X-Signature", b"s"))
        return make_response(200, b"whole", headers)

    async def open(self) -> CallerConnection:
        """Open a caller's connection."""
        return CallerConnection(*await asyncio.open_connection("127.0.0.1", self._port))

    async def close(self) -> None:
        """Stop the node and its server."""
        self.node.stop()
        if self.running is not None:
            await self.running
        self._server.close()


def run_scenario(
    scenario: Callable[[EntryHarness], Awaitable[None]],
    grace_seconds: float = 6.0,
    kind: RouteKind = RouteKind.IDEMPOTENT,
) -> None:
    """Run a scenario with an entry node on a paused clock, then stop the node."""

    async def run(clock: PausedClock) -> None:
        harness = EntryHarness(clock, grace_seconds, kind)
        await harness.start()
        try:
            await scenario(harness)
        finally:
            await harness.close()

    run_paused(run)
