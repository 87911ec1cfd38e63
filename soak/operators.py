"""Operators, which change, resend and read configurations concurrently."""

from __future__ import annotations

import asyncio
from typing import Final, NamedTuple

from . import const, wire
from .context import RunContext
from .models import Put, Read

MANY_CHANGES_PAUSE_SECONDS: Final = 0.05
FINAL_STATUSES: Final = (200, 400, 409, 412, 413, 422)
RETRY_DELAY_SECONDS: Final = 0.15
MAX_ADDED_ROUTES: Final = 6
REPLAY_SHARE: Final = 0.3
FIRST_ROUTES: tuple[wire.RouteSpec, ...] = (
    wire.RouteSpec("look", "/look/", True, wire.KEYS_SERVICE),
    wire.RouteSpec("mark", "/mark/", False, wire.KEYS_SERVICE),
    wire.RouteSpec("book", "/book/", False, wire.PLAIN_SERVICE),
    wire.RouteSpec("load", "/load/", True, wire.PLAIN_SERVICE),
)


class Change(NamedTuple):
    """A change as it is sent; a repeat sends the same values."""

    path: str
    base: int
    version: int
    body: bytes
    routes: tuple[wire.RouteSpec, ...]

    @property
    def content(self) -> str:
        """Return the content of the configuration after the change."""
        body = wire.encode_config(self.version, self.routes)
        return wire.format_content(body)


class ConfigView:
    """The newest version that the operators know, and its routes.

    ``routes_by_content`` holds the routes of every change that was sent.
    """

    def __init__(self) -> None:
        """Start before the first configuration."""
        self.version = 0
        self.routes = FIRST_ROUTES
        self.routes_by_content: dict[str, tuple[wire.RouteSpec, ...]] = {}
        self.pause_seconds = const.OPERATOR_PAUSE_SECONDS

    def update(self, version: int, routes: tuple[wire.RouteSpec, ...]) -> None:
        """Store a version that was accepted or read, unless a newer one is known."""
        if version > self.version:
            self.version, self.routes = version, routes


class Operator:
    """An operator; several share one view and send conflicting changes."""

    def __init__(self, name: str, context: RunContext, config_view: ConfigView) -> None:
        """Prepare an operator."""
        self._name = name
        self._nodes = context.layout.list_role("control")
        self._history = context.history
        self._random = context.make_random(name)
        self._config_view = config_view
        self._count = 0

    async def put_first(self) -> None:
        """Put the first configuration, until it is accepted."""
        body = wire.encode_config(1, FIRST_ROUTES)
        change = Change(wire.names.CONFIG_PUT_PATH, 0, 1, body, FIRST_ROUTES)
        while await self._send(change) != 200:
            await asyncio.sleep(RETRY_DELAY_SECONDS)

    async def operate(self) -> None:
        """Change and read the configuration after random pauses, until cancelled."""
        while True:
            pause = self._random.expovariate(1 / self._config_view.pause_seconds)
            await asyncio.sleep(pause)
            change = self._make_change()
            status = await self._send(change)
            if status == 200 and self._random.random() < REPLAY_SHARE:
                await self._send(change, again=True)
            await self.read()

    def _make_change(self) -> Change:
        """Return a random change based on the newest known version."""
        base, routes = self._config_view.version, self._config_view.routes
        version = base + self._random.randint(1, 3)
        added = routes[len(FIRST_ROUTES) :]
        patch = wire.names.CONFIG_PATCH_PATH
        if len(added) >= MAX_ADDED_ROUTES:
            removed = self._random.choice(added)
            body = wire.encode_patch(version, (), removed.name)
            remaining = tuple(route for route in routes if route != removed)
            return Change(patch, base, version, body, remaining)
        self._count += 1
        name = f"more-{self._name}-{self._count}"
        service = self._random.choice(list(wire.SERVICES))
        route = wire.RouteSpec(name, f"/{name}/", self._random.random() < 0.5, service)
        routes = (*routes, route)
        if self._random.random() < 0.5:
            body = wire.encode_patch(version, (route,), "")
            return Change(patch, base, version, body, routes)
        body = wire.encode_config(version, routes)
        return Change(wire.names.CONFIG_PUT_PATH, base, version, body, routes)

    async def _send(self, change: Change, again: bool = False) -> int:
        """Send a change until a node gives a final response; return its status or 0."""
        path, base, version, body, routes = change
        self._config_view.routes_by_content[change.content] = routes
        sent_at, status, tries, node = self._history.now(), 0, 0, self._nodes[0]
        try:
            while self._history.now() - sent_at < const.OPERATOR_TIMEOUT_SECONDS:
                node = self._random.choice(self._nodes)
                response = await wire.call(node.address, "POST", path, body, base)
                if response is not None and response.status in FINAL_STATUSES:
                    status = response.status
                    break
                tries += 1
                await asyncio.sleep(RETRY_DELAY_SECONDS * tries)
        finally:
            # A change that is cancelled at the end of a run is recorded with status 0.
            put = Put(sent_at, node.name, version, base, change.content, status, again)
            self._history.add(put)
        if status == 200:
            self._config_view.update(version, routes)
        return status

    async def read(self, last: bool = False) -> bool:
        """Read the configuration at one node; return whether there was a response."""
        node, sent_at = self._random.choice(self._nodes), self._history.now()
        response = await wire.call(node.address, "GET", wire.names.CONFIG_GET_PATH)
        if response is None or response.status != 200:
            return False
        version = wire.read_version(response.body)
        content = wire.format_content(response.body)
        self._history.add(Read(sent_at, node.name, version, content, last))
        if content in self._config_view.routes_by_content:
            self._config_view.update(
                version, self._config_view.routes_by_content[content]
            )
        return True
