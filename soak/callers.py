"""Callers, which send requests and retry them by the platform's rules."""

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

# A node leaves the rotation after this many failed readiness checks in a row.
FAILED_CHECKS_TO_REMOVE: Final = 2
CALLED_KEY_COUNT: Final = 40
WORK_MS: Final = (5.0, 80.0)
IDLE_WORK_MS: Final = (300.0, 900.0)
# Range of the delay between a node's SIGTERM and a request on an idle connection.
LATE_SEND_DELAY_SECONDS: Final = (1.5, const.GRACE_SECONDS)
NOT_READY_PAUSE_SECONDS: Final = 0.2
MIN_REMAINING_SECONDS: Final = 0.1


class CallerRequest(NamedTuple):
    """A request over all its attempts; ``until`` is its deadline."""

    route: wire.RouteSpec
    key: int
    work_ms: float
    until: float


class Balancer:
    """Checks the readiness of nodes, and picks nodes for new connections."""

    def __init__(self, context: RunContext) -> None:
        """Start with every entry node in rotation."""
        self._history = context.history
        self._random = context.make_random("balancer")
        self._nodes = context.layout.list_role("entry")
        self._failed_checks = dict.fromkeys(self._nodes, 0)

    async def watch(self) -> None:
        """Check the readiness of every node each second, until cancelled."""
        await asyncio.gather(*(self._watch_node(node) for node in self._nodes))

    async def _watch_node(self, node: NodeSpec) -> None:
        """Check the readiness of one node each second, until cancelled."""
        address = f"{node.node_ip}:{const.READY_PORT}"
        while True:
            response = await wire.call(address, "GET", wire.READY_PATH)
            status = 0 if response is None else response.status
            self._failed_checks[node] = (
                0 if status == 200 else self._failed_checks[node] + 1
            )
            self._history.add(Readied(node.name, status))
            await asyncio.sleep(const.READY_CHECK_INTERVAL_SECONDS)

    def is_in_rotation(self, node: NodeSpec) -> bool:
        """Return whether a node receives new connections."""
        return self._failed_checks[node] < FAILED_CHECKS_TO_REMOVE

    def pick(self, excluded: NodeSpec | None) -> NodeSpec:
        """Return a random node in rotation, or any node if there is none.

        ``excluded`` is returned only if it is the only choice.
        """
        candidates = [
            node for node in self._nodes if self.is_in_rotation(node)
        ] or self._nodes
        others = [node for node in candidates if node != excluded]
        return self._random.choice(others or candidates)


class Caller:
    """A caller with one connection, which it reuses until it closes."""

    def __init__(
        self,
        name: str,
        context: RunContext,
        balancer: Balancer,
        config_view: ConfigView,
    ) -> None:
        """Prepare a caller of the routes that the operators know."""
        self._name = name
        self._has_large_bodies = context.layout.link_mbps > 0
        self._history = context.history
        self._random = context.make_random(name)
        self._balancer = balancer
        self._config_view = config_view
        self._count = 0
        self._node: NodeSpec | None = None
        self._connection: ServerConnection | None = None

    async def send_often(self) -> None:
        """Send requests one after the other, on an open connection if there is one."""
        while True:
            await self._call(self._make_request(WORK_MS))
            await asyncio.sleep(
                self._random.expovariate(1 / const.CALLER_PAUSE_SECONDS)
            )

    async def send_on_idle_connection(
        self, node: NodeSpec, stopping: asyncio.Event
    ) -> None:
        """Send rarely to one node; after its SIGTERM, send on the idle connection."""
        while True:
            if not self._balancer.is_in_rotation(node):
                await asyncio.sleep(NOT_READY_PAUSE_SECONDS)
                continue
            await self._attempt(self._make_request(WORK_MS), node)
            pause = self._random.uniform(0.5, 1) * const.IDLE_PAUSE_SECONDS
            sigterm_task = asyncio.create_task(stopping.wait())
            await asyncio.wait({sigterm_task}, timeout=pause)
            if not sigterm_task.cancel():
                await asyncio.sleep(self._random.uniform(*LATE_SEND_DELAY_SECONDS))
            if self._is_open():
                await self._attempt(self._make_request(IDLE_WORK_MS), node)

    def _is_open(self) -> bool:
        """Return whether the caller has a reusable connection."""
        return self._connection is not None and self._connection.is_reusable

    def _make_request(self, work_ms: tuple[float, float]) -> CallerRequest:
        """Return a random request."""
        route = self._random.choice(self._config_view.routes)
        key = self._random.randrange(CALLED_KEY_COUNT) * (
            const.KEY_COUNT // CALLED_KEY_COUNT
        )
        until = self._history.now() + const.REQUEST_TIMEOUT_SECONDS
        return CallerRequest(route, key, self._random.uniform(*work_ms), until)

    async def _call(self, request: CallerRequest) -> None:
        """Send a request and retry it as the rules allow."""
        node = self._node if self._is_open() else None
        for number in range(const.MAX_RETRY_COUNT + 1):
            node = node or self._balancer.pick(self._node)
            status, retry_delay = await self._attempt(request, node, number > 0)
            may_retry = status in const.NOT_RUN_STATUSES or (
                request.route.safe and status in (0, *range(500, 600))
            )
            remaining = request.until - self._history.now()
            retry_delay = min(retry_delay, remaining / 3)
            if not may_retry or remaining - retry_delay < MIN_REMAINING_SECONDS:
                return
            self._reset_connection()
            node = None
            await asyncio.sleep(max(0.0, retry_delay))

    def _reset_connection(self) -> None:
        """Reset the connection."""
        if self._connection is not None:
            self._connection.abort()
        self._connection = None

    async def _attempt(
        self, request: CallerRequest, node: NodeSpec, again: bool = False
    ) -> tuple[int, float]:
        """Send a request once; return its status, or 0, and the retry delay."""
        self._node = node
        fresh = not self._is_open()
        if fresh:
            connection = await ConnectionPool().connect(
                node.address, const.CALL_TIMEOUT_SECONDS
            )
            if isinstance(connection, ExchangeFault):
                self._history.add(Unreached(node.name, again))
                return 0, 0.0
            self._connection = connection
        if self._history.now() >= request.until:
            return 0, 0.0
        self._count += 1
        request_id = f"{self._name}-{self._count}"
        sent = Sent(
            request_id,
            node.name,
            request.route.name,
            request.route.safe,
            request.until,
            fresh,
            again,
        )
        self._history.add(sent)
        outcome, retry_delay = await self._exchange(request, node, request_id)
        self._history.add(outcome)
        return outcome.status, retry_delay

    async def _exchange(
        self, request: CallerRequest, node: NodeSpec, request_id: str
    ) -> tuple[Outcome, float]:
        """Send a request and wait for its response; sometimes disconnect early."""
        assert self._connection is not None
        remaining = request.until + const.LATE_RESPONSE_SECONDS - self._history.now()
        if self._random.random() < const.EARLY_DISCONNECT_SHARE:
            remaining = self._random.uniform(0, MIN_REMAINING_SECONDS)
        try:
            async with asyncio.timeout(remaining):
                response = await self._connection.exchange(
                    self._encode(request, request_id)
                )
        except TimeoutError:
            self._reset_connection()
            return Outcome(request_id, node.name, "left"), 0.0
        if isinstance(response, ExchangeFault):
            self._reset_connection()
            return Outcome(request_id, node.name, "broken", detail=response.detail), 0.0
        if (find_header(response.headers, b"connection") or b"").lower() == b"close":
            self._reset_connection()
        is_signed = (
            find_header(response.headers, wire.HEADER_NAMES.signature) is not None
        )
        problem = wire.find_problem(response, request_id)
        retry_delay = float(find_header(response.headers, wire.RETRY_AFTER) or b"0")
        how = "answered"
        return Outcome(
            request_id, node.name, how, response.status, is_signed, problem
        ), retry_delay

    def _encode(self, request: CallerRequest, request_id: str) -> Request:
        """Return an attempt as an HTTP request."""
        remaining = max(1, int(1000 * (request.until - self._history.now())))
        headers = (
            (b"Host", wire.HOST.encode()),
            (wire.HEADER_NAMES.request_id, request_id.encode()),
            (wire.HEADER_NAMES.time_left_ms, b"%d" % remaining),
            (wire.HEADER_NAMES.key, b"%d" % request.key),
            (wire.WORK_MS, b"%d" % request.work_ms),
        )
        method, body = (
            (b"GET", b"") if request.route.safe else (b"POST", request_id.encode())
        )
        prefix = const.LARGE_REQUEST_PREFIX
        if self._has_large_bodies and request.route.prefix == prefix:
            body = body.ljust(const.LARGE_REQUEST_BYTES)
        return Request(
            method, f"{request.route.prefix}{request.key}".encode(), headers, body
        )
