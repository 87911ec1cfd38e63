"""Operators: put, patch, replay and race configurations, and read them back."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Final, NamedTuple

from . import http1, wire
from .const import (
    CONTROL_PORT,
    OPERATOR_GIVES_UP_SECONDS,
    OPERATOR_PAUSE_SECONDS,
)
from .history import History
from .layout import Layout, NodePlace
from .models import Put, Read

__all__ = ["Desk", "Operator"]

CLEAR: Final = (200, 400, 409, 412, 413, 422)
CALL_SECONDS: Final = 1.0
BACK_OFF_SECONDS: Final = 0.15
MAX_ADDED_ROUTES: Final = 6
REPLAY_SHARE: Final = 0.3
SHARDED_SERVICE: Final = "svc-keys"
PLAIN_SERVICE: Final = "svc-plain"
SERVICES: Final = {SHARDED_SERVICE: True, PLAIN_SERVICE: False}
FIRST_ROUTES: Final = (
    wire.RouteSpec("look", "/look/", True, SHARDED_SERVICE),
    wire.RouteSpec("mark", "/mark/", False, SHARDED_SERVICE),
    wire.RouteSpec("book", "/book/", False, PLAIN_SERVICE),
    wire.RouteSpec("load", "/load/", True, PLAIN_SERVICE),
)


class Change(NamedTuple):
    """A change as it is sent; equal when it is sent again."""

    path: str
    base: int
    version: int
    body: bytes
    routes: tuple[wire.RouteSpec, ...]
    adds: str = ""

    @property
    def content(self) -> str:
        """Return what the configuration is once the change is in force."""
        return wire.make_content(
            wire.encode_config(self.version, self.routes, SERVICES)
        )


class Desk:
    """What operators know: the newest version accepted, and its routes."""

    def __init__(self) -> None:
        """Start before the first configuration."""
        self.version = 0
        self.routes: tuple[wire.RouteSpec, ...] = ()
        self.sent: dict[str, tuple[wire.RouteSpec, ...]] = {}

    def note(self, version: int, routes: tuple[wire.RouteSpec, ...]) -> None:
        """Take what was accepted or read, unless a newer version is known."""
        if version > self.version:
            self.version, self.routes = version, routes


class Operator:
    """One operator; several race each other on one desk."""

    def __init__(
        self, name: str, layout: Layout, history: History, desk: Desk, random: Random
    ) -> None:
        """Prepare an operator."""
        self._name = name
        self._nodes = layout.list_role("control")
        self._history = history
        self._desk = desk
        self._random = random
        self._count = 0

    async def put_first(self) -> None:
        """Put the first configuration, until it is accepted."""
        body = wire.encode_config(1, FIRST_ROUTES, SERVICES)
        change = Change(wire.CONFIG_PUT, 0, 1, body, FIRST_ROUTES)
        while await self._send(change) != 200:
            await asyncio.sleep(BACK_OFF_SECONDS)

    async def work(self) -> None:
        """Change the configuration now and then, and read it."""
        while True:
            await asyncio.sleep(self._random.expovariate(1 / OPERATOR_PAUSE_SECONDS))
            change = self._make_change()
            status = await self._send(change)
            if status == 200 and self._random.random() < REPLAY_SHARE:
                await self._send(change, again=True)
            await self.read()

    def _make_change(self) -> Change:
        """Return a change on top of the newest version that is known."""
        base = self._desk.version
        version = base + self._random.randint(1, 3)
        added = [r for r in self._desk.routes if r.name.startswith("more-")]
        self._count += 1
        if len(added) >= MAX_ADDED_ROUTES:
            gone = self._random.choice(added)
            routes = tuple(r for r in self._desk.routes if r != gone)
            body = wire.encode_patch(version, (), (gone.name,))
            return Change(wire.CONFIG_PATCH, base, version, body, routes)
        label = f"{self._name}-{self._count}"
        service = self._random.choice(list(SERVICES))
        safe = self._random.random() < 0.5
        route = wire.RouteSpec(f"more-{label}", f"/more/{label}/", safe, service)
        routes = (*self._desk.routes, route)
        if self._random.random() < 0.5:
            body = wire.encode_config(version, routes, SERVICES)
            path = wire.CONFIG_PUT
        else:
            body = wire.encode_patch(version, (route,), ())
            path = wire.CONFIG_PATCH
        return Change(path, base, version, body, routes, route.name)

    async def _send(self, change: Change, again: bool = False) -> int:
        """Send a change, to other nodes until there is a clear answer."""
        self._desk.sent[change.content] = change.routes
        sent_at = self._history.now()
        status, tries, node = 0, 0, self._nodes[0]
        try:
            while self._history.now() - sent_at < OPERATOR_GIVES_UP_SECONDS:
                node = self._random.choice(self._nodes)
                tries += 1
                headers = {wire.BASE_VERSION: b"r%d" % change.base}
                answer = await self._call(
                    node, "POST", change.path, headers, change.body
                )
                if answer is not None and answer.status in CLEAR:
                    status = answer.status
                    break
                await asyncio.sleep(BACK_OFF_SECONDS * tries)
        finally:
            # One that is broken off at the end of a run had no clear answer.
            now, content = self._history.now(), change.content
            self._history.add(
                Put(
                    now,
                    sent_at,
                    node.name,
                    change.version,
                    change.base,
                    content,
                    status,
                    again,
                    change.adds,
                    tries,
                )
            )
        if status == 200:
            self._desk.note(change.version, change.routes)
        return status

    async def read(self, last: bool = False) -> bool:
        """Read the configuration at one node; return whether there was an answer."""
        node = self._random.choice(self._nodes)
        sent_at = self._history.now()
        answer = await self._call(node, "GET", wire.CONFIG_GET, {}, b"")
        if answer is None or answer.status != 200:
            return False
        version = wire.read_version(answer.body)
        content = wire.make_content(answer.body)
        now = self._history.now()
        self._history.add(Read(now, sent_at, node.name, version, content, last))
        if content in self._desk.sent:
            self._desk.note(version, self._desk.sent[content])
        return True

    async def _call(
        self,
        node: NodePlace,
        method: str,
        path: str,
        headers: dict[bytes, bytes],
        body: bytes,
    ) -> http1.Message | None:
        """Call a control node; None where there is no answer."""
        try:
            async with asyncio.timeout(CALL_SECONDS):
                return await http1.call(
                    f"{node.door}:{CONTROL_PORT}", method, path, headers, body
                )
        except http1.FAULTS:
            # No clear answer; the caller sends it again or lets it be.
            return None
