"""Callers: requests on kept and new connections, resent by the platform's rules."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final, NamedTuple

from . import http1, wire
from .const import (
    CALLER_PAUSE_SECONDS,
    CALLERS_PORT,
    CONNECT_SECONDS,
    DEADLINE_SECONDS,
    GRACE_SECONDS,
    KEPT_PAUSE_SECONDS,
    KEYS,
    LEAVE_EARLY_SHARE,
    PATIENCE_SECONDS,
    READY_CHECK_SECONDS,
    READY_PORT,
    RESENDS,
)
from .history import History
from .layout import Layout, NodePlace
from .models import Answered, Broken, Left, Readied, Sent, Unreached
from .servers import make_stamp

__all__ = ["Balancer", "Caller"]

PROMISES: Final = (429, 503)
MISSES_OUT: Final = 2
BUSY_KEYS: Final = 40
WORK_MS: Final = (5.0, 80.0)
KEPT_WORK_MS: Final = (150.0, 700.0)


class Want(NamedTuple):
    """What a caller wants done, over all its attempts."""

    route: wire.RouteSpec
    key: int
    work_ms: int
    until: float


class Outcome(NamedTuple):
    """How an attempt ended: a status, or 0, and the time to come back after."""

    status: int
    retry_after: float = 0.0


class Balancer:
    """Watches readiness, and picks nodes for new connections."""

    def __init__(self, layout: Layout, history: History, random: Random) -> None:
        """Start with every entry node in rotation."""
        self._history = history
        self._random = random
        self._nodes = layout.list_role("entry")
        self._misses = dict.fromkeys((node.name for node in self._nodes), 0)

    async def watch(self) -> None:
        """Ask every node each second."""
        await asyncio.gather(*(self._watch(node) for node in self._nodes))

    async def _watch(self, node: NodePlace) -> None:
        """Ask one node each second whether it is ready."""
        while True:
            try:
                async with asyncio.timeout(READY_CHECK_SECONDS):
                    answer = await http1.call(
                        f"{node.home}:{READY_PORT}", "GET", wire.READY_PATH, {}, b""
                    )
                status = answer.status
            except http1.FAULTS:
                status = 0
            missed = 0 if status == 200 else self._misses[node.name] + 1
            self._misses[node.name] = missed
            self._history.add(Readied(self._history.now(), node.name, status))
            await asyncio.sleep(READY_CHECK_SECONDS)

    def is_in(self, name: str) -> bool:
        """Return whether a node receives new connections."""
        return self._misses[name] < MISSES_OUT

    def pick(self, other_than: str = "") -> NodePlace:
        """Return a node in rotation, or any if there is none."""
        found = [node for node in self._nodes if self.is_in(node.name)]
        rest = [node for node in found if node.name != other_than]
        return self._random.choice(rest or found or list(self._nodes))


class Caller:
    """One caller with its connection, which it uses until it ends."""

    def __init__(
        self,
        name: str,
        history: History,
        balancer: Balancer,
        random: Random,
        list_routes: Callable[[], tuple[wire.RouteSpec, ...]],
    ) -> None:
        """Prepare a caller that draws from ``random``."""
        self._name = name
        self._history = history
        self._balancer = balancer
        self._random = random
        self._list_routes = list_routes
        self._count = 0
        self._node: NodePlace | None = None
        self._connection: http1.Connection | None = None

    async def call_often(self) -> None:
        """Send requests in turn, on a kept connection as long as there is one."""
        while True:
            await self._call(self._draw(WORK_MS))
            await asyncio.sleep(
                self._random.expovariate(1 / CALLER_PAUSE_SECONDS),
            )

    async def call_seldom(self, node: NodePlace, late: asyncio.Event) -> None:
        """Keep a connection to one node mostly idle; use it late after its SIGTERM.

        ``late`` is set when the node is told to stop.
        """
        while True:
            if not self._balancer.is_in(node.name):
                await asyncio.sleep(0.2)
                continue
            await self._attempt(self._draw(WORK_MS), node, 1)
            pause = self._random.uniform(0.5, 1) * KEPT_PAUSE_SECONDS
            try:
                async with asyncio.timeout(pause):
                    await late.wait()
                await asyncio.sleep(self._random.uniform(0.0, GRACE_SECONDS))
            except TimeoutError:
                # The node was not told to stop meanwhile.
                pass
            if self._connection is not None and self._connection.is_open:
                await self._attempt(self._draw(KEPT_WORK_MS), node, 1)

    def _draw(self, work_ms: tuple[float, float]) -> Want:
        """Return a new request."""
        route = self._random.choice(self._list_routes())
        key = self._random.randrange(BUSY_KEYS) * (KEYS // BUSY_KEYS)
        return Want(
            route,
            key,
            int(self._random.uniform(*work_ms)),
            self._history.now() + DEADLINE_SECONDS,
        )

    async def _call(self, want: Want) -> None:
        """Make a request and resend it as the rules allow."""
        last = ""
        for attempt in range(1, RESENDS + 2):
            kept = attempt == 1 and self._connection is not None
            node = self._node if kept else self._balancer.pick(last)
            assert node is not None
            if not kept:
                self._drop()
            outcome = await self._attempt(want, node, attempt)
            left = want.until - self._history.now()
            if 0 < outcome.status < 500 and outcome.status not in PROMISES:
                return
            if not want.route.safe and outcome.status not in PROMISES:
                return
            wait = min(outcome.retry_after, left / 3)
            if left - wait < 0.1:
                return
            last = node.name
            await asyncio.sleep(max(0.0, wait))

    def _drop(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
        self._connection = None

    async def _attempt(self, want: Want, node: NodePlace, attempt: int) -> Outcome:
        """Send a request once, on the open connection or a new one."""
        fresh = self._connection is None or not self._connection.is_open
        if fresh:
            self._drop()
            try:
                self._connection = await http1.connect(
                    f"{node.door}:{CALLERS_PORT}", CONNECT_SECONDS
                )
            except OSError:
                self._history.add(Unreached(self._history.now(), node.name))
                return Outcome(0)
        self._node = node
        connection = self._connection
        assert connection is not None
        self._count += 1
        request = f"{self._name}-{self._count}"
        connection.send(self._encode(want, request))
        self._history.add(
            Sent(
                self._history.now(),
                request,
                node.name,
                want.route.name,
                want.route.safe,
                want.until,
                fresh,
                attempt,
            )
        )
        return await self._wait(want, node, request, connection)

    def _encode(self, want: Want, request: str) -> bytes:
        """Return the bytes of an attempt."""
        left = max(1, int(1000 * (want.until - self._history.now())))
        dialect = wire.DIALECT
        headers = {
            b"host": wire.HOST.encode(),
            dialect.request_id: request.encode(),
            dialect.time_left_ms: b"%d" % left,
            dialect.key: b"%d" % want.key,
            wire.WORK_MS: b"%d" % want.work_ms,
        }
        method = "GET" if want.route.safe else "POST"
        body = b"" if want.route.safe else request.encode()
        return http1.encode(
            f"{method} {want.route.prefix}{want.key} HTTP/1.1", headers, body
        )

    async def _wait(
        self, want: Want, node: NodePlace, request: str, connection: http1.Connection
    ) -> Outcome:
        """Wait for the answer of an attempt, and record it."""
        left = want.until + PATIENCE_SECONDS - self._history.now()
        if self._random.random() < LEAVE_EARLY_SHARE:
            left = min(left, self._random.uniform(0, 0.1))
        try:
            async with asyncio.timeout(left):
                answer = await connection.read()
        except TimeoutError:
            self._history.add(Left(self._history.now(), request, node.name))
            self._drop()
            return Outcome(0)
        except http1.FAULTS as error:
            now = self._history.now()
            self._history.add(Broken(now, request, node.name, repr(error)))
            self._drop()
            return Outcome(0)
        self._history.add(
            Answered(
                self._history.now(),
                request,
                node.name,
                answer.status,
                wire.DIALECT.signature in answer.headers,
                find_problem(answer, request),
            )
        )
        if not answer.keeps:
            self._drop()
        return Outcome(answer.status, float(answer.headers.get(wire.RETRY_AFTER, b"0")))


def find_problem(answer: http1.Message, request: str) -> str:
    """Return why an answer is not that of a request, or an empty text."""
    dialect = wire.DIALECT
    echoed = answer.headers.get(dialect.request_id)
    if echoed not in (None, request.encode()):
        return f"answer of {echoed!r}"
    stamp = answer.headers.get(dialect.signature)
    if stamp is None:
        return "a success without a signature" if answer.status < 300 else ""
    if stamp != make_stamp(answer.body):
        return "not the server's whole body"
    if not answer.body.startswith(request.encode() + b" "):
        return "the body of another request"
    return ""
