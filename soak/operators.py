"""Operators: put, patch, replay and race configurations, and read them back."""

from __future__ import annotations

import asyncio
from typing import Final, NamedTuple

from . import const, wire
from .models import Put, Read
from .world import World

CLEAR: Final = (200, 400, 409, 412, 413, 422)
BACK_OFF_SECONDS: Final = 0.15
MAX_ADDED_ROUTES: Final = 6
REPLAY_SHARE: Final = 0.3
FIRST_ROUTES: tuple[wire.RouteSpec, ...] = (
    wire.RouteSpec("look", "/look/", True, wire.KEYS_SERVICE),
    wire.RouteSpec("mark", "/mark/", False, wire.KEYS_SERVICE),
    wire.RouteSpec("book", "/book/", False, wire.PLAIN_SERVICE),
    wire.RouteSpec("load", "/load/", True, wire.PLAIN_SERVICE),
)


class Change(NamedTuple):
    """A change as it is sent; equal when it is sent again."""

    path: str
    base: int
    version: int
    body: bytes
    routes: tuple[wire.RouteSpec, ...]

    @property
    def content(self) -> str:
        """Return what the configuration is once the change is in force."""
        body = wire.encode_config(self.version, self.routes)
        return wire.make_content(body)


class Desk:
    """What operators know: the newest version accepted, and its routes."""

    def __init__(self) -> None:
        """Start before the first configuration."""
        self.version = 0
        self.routes = FIRST_ROUTES
        self.sent: dict[str, tuple[wire.RouteSpec, ...]] = {}

    def note(self, version: int, routes: tuple[wire.RouteSpec, ...]) -> None:
        """Take what was accepted or read, unless a newer version is known."""
        if version > self.version:
            self.version, self.routes = version, routes


class Operator:
    """One operator; several race each other on one desk."""

    def __init__(self, name: str, world: World, desk: Desk) -> None:
        """Prepare an operator."""
        self._name = name
        self._nodes = world.layout.list_role("control")
        self._history = world.history
        self._random = world.draw(name)
        self._desk = desk
        self._count = 0

    async def put_first(self) -> None:
        """Put the first configuration, until it is accepted."""
        body = wire.encode_config(1, FIRST_ROUTES)
        change = Change(wire.names.CONFIG_PUT, 0, 1, body, FIRST_ROUTES)
        while await self._send(change) != 200:
            await asyncio.sleep(BACK_OFF_SECONDS)

    async def work(self) -> None:
        """Change the configuration now and then, and read it."""
        while True:
            pause = self._random.expovariate(1 / const.OPERATOR_PAUSE_SECONDS)
            await asyncio.sleep(pause)
            change = self._make_change()
            status = await self._send(change)
            if status == 200 and self._random.random() < REPLAY_SHARE:
                await self._send(change, again=True)
            await self.read()

    def _make_change(self) -> Change:
        """Return a change on top of the newest version that is known."""
        base, routes = self._desk.version, self._desk.routes
        version = base + self._random.randint(1, 3)
        added = routes[len(FIRST_ROUTES) :]
        patch = wire.names.CONFIG_PATCH
        if len(added) >= MAX_ADDED_ROUTES:
            gone = self._random.choice(added)
            body = wire.encode_patch(version, (), gone.name)
            kept = tuple(route for route in routes if route != gone)
            return Change(patch, base, version, body, kept)
        self._count += 1
        label = f"more-{self._name}-{self._count}"
        service = self._random.choice(list(wire.SERVICES))
        route = wire.RouteSpec(
            label, f"/{label}/", self._random.random() < 0.5, service
        )
        routes = (*routes, route)
        if self._random.random() < 0.5:
            body = wire.encode_patch(version, (route,), "")
            return Change(patch, base, version, body, routes)
        body = wire.encode_config(version, routes)
        return Change(wire.names.CONFIG_PUT, base, version, body, routes)

    async def _send(self, change: Change, again: bool = False) -> int:
        """Send a change, to other nodes until there is a clear answer."""
        path, base, version, body, routes = change
        self._desk.sent[change.content] = routes
        sent_at, status, tries, node = self._history.now(), 0, 0, self._nodes[0]
        try:
            while self._history.now() - sent_at < const.OPERATOR_TIMEOUT_SECONDS:
                node = self._random.choice(self._nodes)
                answer = await wire.call(node.address, "POST", path, body, base)
                if answer is not None and answer.status in CLEAR:
                    status = answer.status
                    break
                tries += 1
                await asyncio.sleep(BACK_OFF_SECONDS * tries)
        finally:
            # One that is broken off at the end of a run had no clear answer.
            put = Put(sent_at, node.name, version, base, change.content, status, again)
            self._history.add(put)
        if status == 200:
            self._desk.note(version, routes)
        return status

    async def read(self, last: bool = False) -> bool:
        """Read the configuration at one node; return whether there was an answer."""
        node, sent_at = self._random.choice(self._nodes), self._history.now()
        answer = await wire.call(node.address, "GET", wire.names.CONFIG_GET)
        if answer is None or answer.status != 200:
            return False
        version = wire.read_version(answer.body)
        content = wire.make_content(answer.body)
        self._history.add(Read(sent_at, node.name, version, content, last))
        if content in self._desk.sent:
            self._desk.note(version, self._desk.sent[content])
        return True
