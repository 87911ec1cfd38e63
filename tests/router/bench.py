"""A router with stand-in servers on loopback."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from random import Random

from dragonflyrock.hashing import KEY_SPACE
from dragonflyrock.http import (
    Connections,
    HttpServer,
    Request,
    Response,
    WireLimits,
    find_header,
    make_response,
)
from dragonflyrock.models import Delta, DocumentHead, RangeRow, RangeState, ServerRow
from dragonflyrock.observe.lines import LineLog
from dragonflyrock.observe.metrics import Metrics
from dragonflyrock.router import HeaderNames, Router, RouterConfig, RouterState
from dragonflyrock.router.budget import BudgetPolicy
from dragonflyrock.routes import (
    ClientLimits,
    Route,
    RoutedService,
    RouteKind,
    ServiceShare,
)
from dragonflyrock.transport.messages import HostUpdate
from tests.common import free_port

DIALECT = HeaderNames(signature=b"x-signature")

Answer = Callable[[Request], Awaitable[Response]]


class Reports:
    """What the router told of servers that ended."""

    def __init__(self) -> None:
        """Start with nothing told."""
        self.struck: list[str] = []
        self.absolved: list[str] = []

    def report_crash(
        self, fingerprint: str, method: str, target: str, server: str
    ) -> None:
        """Record a crash report."""
        self.struck.append(server)

    def clear_suspect(self, fingerprint: str) -> None:
        """Record a cleared suspect."""
        self.absolved.append(fingerprint)


class Bench:
    """A router, its rows, and stand-in servers that count what they are sent."""

    def __init__(self) -> None:
        """Start without servers."""
        self.stopped_at: float | None = None
        self.state = RouterState(BudgetPolicy(), self.clock)
        self.connections = Connections()
        self.reports = Reports()
        self.lines = LineLog("test", 1, time.monotonic)
        self.metrics = Metrics()
        self.router = Router(
            RouterConfig("host", "a", DIALECT),
            self.state,
            self.connections,
            self.lines,
            self.metrics,
            self.clock,
            Random(1),
            self.reports,
        )
        self.arrived: list[tuple[str, Request]] = []
        self.rows: dict[str, ServerRow] = {}
        self.servers: list[HttpServer] = []
        self._revision = 0

    def clock(self) -> float:
        """Return the router's time, which a scene may stop."""
        return time.monotonic() if self.stopped_at is None else self.stopped_at

    async def add_server(self, name: str, answer: Answer | None = None) -> ServerRow:
        """Start a stand-in server."""

        async def handle(request: Request) -> Response:
            self.arrived.append((name, request))
            return await (answer or answer_well)(request)

        server = HttpServer(handle, WireLimits())
        port = free_port()
        await server.start(f"127.0.0.1:{port}")
        self.servers.append(server)
        row = ServerRow(name, "s", f"127.0.0.1:{port}", "a", 0, 2, 0, True)
        self.rows[name] = row
        return row

    def apply(
        self, kind: RouteKind = RouteKind.IDEMPOTENT, owner: str = "", attempts: int = 2
    ) -> None:
        """Bring the router's rows up to date; with an owner the service is keyed."""
        self._revision += 1
        route = Route(
            "r", "h", "/p/", kind, (ServiceShare("s", 1.0),), 900.0, attempts, 500.0, 1
        )
        ranges: tuple[RangeRow, ...] = ()
        if owner:
            top = KEY_SPACE - 1
            row = RangeRow("s", 0, top, f"{owner}@0", 1, RangeState.ACTIVE, "", 1)
            ranges = (row,)
        delta = Delta(
            0,
            self._revision,
            True,
            ranges,
            tuple(self.rows.values()),
            routes=(route,),
            services=(RoutedService("s", "/health", 100, bool(owner), 0.0),),
            document=DocumentHead(1, ClientLimits()),
        )
        self.state.apply(HostUpdate(1, "leader", 0.0, 0, delta, 0, None))

    async def ask(self, path: bytes = b"/p/x", left_ms: int = 800) -> Response:
        """Send the router a request."""
        headers = (
            (b"Host", b"h"),
            (b"X-Request-Id", b"id-1"),
            (b"X-Request-Timeout-Ms", b"%d" % left_ms),
            (b"Connection", b"keep-alive, x-secret"),
            (b"X-Secret", b"1"),
            (b"X-Other", b"2"),
        )
        return await self.router.handle(Request(b"GET", path, headers, b""))

    def close(self) -> None:
        """Stop every server."""
        self.connections.close()
        for server in self.servers:
            server.close()


async def answer_well(request: Request) -> Response:
    """Answer with a signature and the request's id."""
    echoed = find_header(request.headers, b"x-request-id") or b""
    headers = ((b"X-Request-Id", echoed), (b"X-Signature", b"s"))
    return make_response(200, b"whole", headers)


def play(scene: Callable[[Bench], Awaitable[None]]) -> None:
    """Run a scene on a new bench."""

    async def run() -> None:
        bench = Bench()
        try:
            async with asyncio.timeout(10):
                await scene(bench)
        finally:
            bench.close()

    asyncio.run(run())
