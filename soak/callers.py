"""Callers: requests on kept and new connections, resent by the platform's rules."""

from __future__ import annotations

import asyncio
from typing import Final, NamedTuple

from dragonflyrock.http import (
    ConnectionPool,
    ExchangeFault,
    Request,
    ServerConnection,
    find_header,
)

from . import const, wire
from .context import RunContext
from .layout import NodeSpec
from .models import Outcome, Readied, Sent, Unreached
from .operators import ConfigView

PROMISES: Final = (429, 503)
MISSES_OUT: Final = 2
BUSY_KEYS: Final = 40
WORK_MS: Final = (5.0, 80.0)
KEPT_WORK_MS: Final = (300.0, 900.0)
# When idle connections are used again after their node has its SIGTERM.
LATE_SECONDS: Final = (1.5, const.GRACE_SECONDS)
OUT_PAUSE_SECONDS: Final = 0.2
LEAST_LEFT_SECONDS: Final = 0.1


class Want(NamedTuple):
    """What a caller wants done, over all its attempts."""

    route: wire.RouteSpec
    key: int
    work_ms: float
    until: float


class Balancer:
    """Watches readiness, and picks nodes for new connections."""

    def __init__(self, context: RunContext) -> None:
        """Start with every entry node in rotation."""
        self._history = context.history
        self._random = context.make_random("balancer")
        self._nodes = context.layout.list_role("entry")
        self._misses = dict.fromkeys(self._nodes, 0)

    async def watch(self) -> None:
        """Ask every node each second whether it is ready."""
        await asyncio.gather(*(self._watch(node) for node in self._nodes))

    async def _watch(self, node: NodeSpec) -> None:
        """Ask one node."""
        address = f"{node.node_ip}:{const.READY_PORT}"
        while True:
            answer = await wire.call(address, "GET", wire.READY_PATH)
            status = 0 if answer is None else answer.status
            self._misses[node] = 0 if status == 200 else self._misses[node] + 1
            self._history.add(Readied(node.name, status))
            await asyncio.sleep(const.READY_CHECK_INTERVAL_SECONDS)

    def is_in(self, node: NodeSpec) -> bool:
        """Return whether a node receives new connections."""
        return self._misses[node] < MISSES_OUT

    def pick(self, other_than: NodeSpec | None) -> NodeSpec:
        """Return a node in rotation, or any if there is none."""
        found = [node for node in self._nodes if self.is_in(node)] or self._nodes
        rest = [node for node in found if node != other_than]
        return self._random.choice(rest or found)


class Caller:
    """One caller with its connection, which it uses until it ends."""

    def __init__(
        self,
        name: str,
        context: RunContext,
        balancer: Balancer,
        config_view: ConfigView,
    ) -> None:
        """Prepare a caller of the routes that are on the desk."""
        self._name = name
        self._history = context.history
        self._random = context.make_random(name)
        self._balancer = balancer
        self._config_view = config_view
        self._count = 0
        self._node: NodeSpec | None = None
        self._connection: ServerConnection | None = None

    async def call_often(self) -> None:
        """Send requests in turn, on a kept connection as long as there is one."""
        while True:
            await self._call(self._draw(WORK_MS))
            await asyncio.sleep(
                self._random.expovariate(1 / const.CALLER_PAUSE_SECONDS)
            )

    async def call_seldom(self, node: NodeSpec, stopping: asyncio.Event) -> None:
        """Keep a connection mostly idle; send late after its node's SIGTERM."""
        while True:
            if not self._balancer.is_in(node):
                await asyncio.sleep(OUT_PAUSE_SECONDS)
                continue
            await self._attempt(self._draw(WORK_MS), node)
            pause = self._random.uniform(0.5, 1) * const.IDLE_PAUSE_SECONDS
            told = asyncio.create_task(stopping.wait())
            await asyncio.wait({told}, timeout=pause)
            if not told.cancel():
                await asyncio.sleep(self._random.uniform(*LATE_SECONDS))
            if self._is_open():
                await self._attempt(self._draw(KEPT_WORK_MS), node)

    def _is_open(self) -> bool:
        """Return whether there is a connection that was not closed."""
        return self._connection is not None and self._connection.is_reusable

    def _draw(self, work_ms: tuple[float, float]) -> Want:
        """Return a new request."""
        route = self._random.choice(self._config_view.routes)
        key = self._random.randrange(BUSY_KEYS) * (const.KEYS // BUSY_KEYS)
        until = self._history.now() + const.REQUEST_TIMEOUT_SECONDS
        return Want(route, key, self._random.uniform(*work_ms), until)

    async def _call(self, want: Want) -> None:
        """Make a request and resend it as the rules allow."""
        node = self._node if self._is_open() else None
        for _ in range(const.MAX_RETRIES + 1):
            node = node or self._balancer.pick(self._node)
            status, wait = await self._attempt(want, node)
            again = status in PROMISES or (
                want.route.safe and status in (0, *range(500, 600))
            )
            left = want.until - self._history.now()
            wait = min(wait, left / 3)
            if not again or left - wait < LEAST_LEFT_SECONDS:
                return
            self._drop()
            node = None
            await asyncio.sleep(max(0.0, wait))

    def _drop(self) -> None:
        """Reset the connection."""
        if self._connection is not None:
            self._connection.abort()
        self._connection = None

    async def _attempt(self, want: Want, node: NodeSpec) -> tuple[int, float]:
        """Send a request once; return its status, or 0, and when to come back."""
        self._node = node
        fresh = not self._is_open()
        if fresh:
            found = await ConnectionPool().connect(
                node.address, const.CALL_TIMEOUT_SECONDS
            )
            if isinstance(found, ExchangeFault):
                self._history.add(Unreached(node.name))
                return 0, 0.0
            self._connection = found
        if self._history.now() >= want.until:
            return 0, 0.0
        self._count += 1
        name = f"{self._name}-{self._count}"
        sent = Sent(
            name, node.name, want.route.name, want.route.safe, want.until, fresh
        )
        self._history.add(sent)
        outcome, wait = await self._exchange(want, node, name)
        self._history.add(outcome)
        return outcome.status, wait

    async def _exchange(
        self, want: Want, node: NodeSpec, name: str
    ) -> tuple[Outcome, float]:
        """Send a request and wait for its answer; at times leave early."""
        assert self._connection is not None
        left = want.until + const.LATE_ANSWER_SECONDS - self._history.now()
        if self._random.random() < const.EARLY_DISCONNECT_SHARE:
            left = self._random.uniform(0, LEAST_LEFT_SECONDS)
        try:
            async with asyncio.timeout(left):
                answer = await self._connection.exchange(self._encode(want, name))
        except TimeoutError:
            self._drop()
            return Outcome(name, node.name, "left"), 0.0
        if isinstance(answer, ExchangeFault):
            self._drop()
            return Outcome(name, node.name, "broken", detail=answer.detail), 0.0
        if (find_header(answer.headers, b"connection") or b"").lower() == b"close":
            self._drop()
        stamped = find_header(answer.headers, wire.DIALECT.signature) is not None
        problem = wire.find_problem(answer, name)
        wait = float(find_header(answer.headers, wire.RETRY_AFTER) or b"0")
        how = "answered"
        return Outcome(name, node.name, how, answer.status, stamped, problem), wait

    def _encode(self, want: Want, name: str) -> Request:
        """Return an attempt as it is sent."""
        left = max(1, int(1000 * (want.until - self._history.now())))
        headers = (
            (b"Host", wire.HOST.encode()),
            (wire.DIALECT.request_id, name.encode()),
            (wire.DIALECT.time_left_ms, b"%d" % left),
            (wire.DIALECT.key, b"%d" % want.key),
            (wire.WORK_MS, b"%d" % want.work_ms),
        )
        method, body = (b"GET", b"") if want.route.safe else (b"POST", name.encode())
        return Request(method, f"{want.route.prefix}{want.key}".encode(), headers, body)
