"""An entry node on a paused clock, with a stand-in server and kept connections."""

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

__all__ = ["EntryScene", "Kept", "play_entry"]

DIALECT = HeaderNames(signature=b"x-signature")


class Kept:
    """A caller's connection that is used for several requests."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Wrap an open connection."""
        self._reader = reader
        self._writer = writer

    async def ask(self, left_ms: int) -> bytes:
        """Send a request, and return all bytes up to the end of its answer."""
        self._writer.write(
            b"GET /p/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-1\r\n"
            b"X-Request-Timeout-Ms: %d\r\n\r\n" % left_ms
        )
        got = b""
        while not _is_whole(got):
            part = await self._reader.read(4096)
            if not part:
                break
            got += part
        return got

    async def read_end(self) -> bytes:
        """Return what comes until the connection is closed."""
        return await self._reader.read(-1)

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


def _is_whole(answer: bytes) -> bool:
    """Return whether an answer with a length is complete."""
    head, found, body = answer.partition(b"\r\n\r\n")
    if not found:
        return False
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return len(body) >= int(value)
    return False


class EntryScene:
    """A node that serves, and what its server was sent."""

    def __init__(self, clock: PausedClock, grace_seconds: float) -> None:
        """Make a node that ends within some seconds of a stop signal."""
        self.clock = clock
        self.work_seconds = 0.0
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
        self.node = EntryNode(settings, DIALECT, clock.now, clock.read)
        self._server = HttpServer(self._work, WireLimits())
        self.running: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the server and the node, and give the node its rows."""
        await self._server.start(f"127.0.0.1:{self._server_port}")
        self.running = asyncio.create_task(self.node.run())
        await asyncio.sleep(0.5)
        row = ServerRow("s1", "s", f"127.0.0.1:{self._server_port}", "a", 0, 8, 0, True)
        route = Route(
            "r",
            "h",
            "/p/",
            RouteKind.IDEMPOTENT,
            (ServiceShare("s", 1.0),),
            4000.0,
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

    async def _work(self, request: Request) -> Response:
        """Answer after some time."""
        self.started.append(self.clock.now)
        try:
            await asyncio.sleep(self.work_seconds)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        echoed = find_header(request.headers, b"x-request-id") or b""
        headers = ((b"X-Request-Id", echoed), (b"X-Signature", b"s"))
        return make_response(200, b"whole", headers)

    async def open(self) -> Kept:
        """Open a caller's connection."""
        return Kept(*await asyncio.open_connection("127.0.0.1", self._port))

    async def close(self) -> None:
        """End the node and its server."""
        self.node.stop()
        if self.running is not None:
            await self.running
        self._server.close()


def play_entry(
    scene: Callable[[EntryScene], Awaitable[None]],
    grace_seconds: float = 6.0,
) -> None:
    """Run a scene with an entry node on a paused clock."""

    async def run(clock: PausedClock) -> None:
        stage = EntryScene(clock, grace_seconds)
        await stage.start()
        try:
            await scene(stage)
        finally:
            await stage.close()

    run_paused(run)
