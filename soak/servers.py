"""A stand-in backend server: announces itself, checks fences, records its runs."""

from __future__ import annotations

import asyncio
from typing import Final, NamedTuple

from dragonflyrock.http import (
    HttpServer,
    Request,
    Response,
    WireLimits,
    find_header,
    make_response,
)

from . import const, wire
from .context import RunContext
from .models import Beaten, Began, Finished

LINGER_SECONDS: Final = 1.5
BODY_REPEATS: Final = 40
SLOW_FACTOR: Final = 5
# A server's clock may run slow by this factor, so its leases last longer.
SLOW_CLOCK: Final = 1.02
STATUSES: Final = {"done": 200, "deadline": 504, "lease": 500}
RELEASE_POLL_SECONDS: Final = 0.01


class Grant(NamedTuple):
    """Keys that are held, both ends inclusive."""

    low: int
    high: int
    fence: int
    until: float


class StandIn:
    """A server over its lives; each life has its own name."""

    def __init__(self, context: RunContext, number: int) -> None:
        """Prepare the server with a number, which gives its address."""
        self.label = f"server-{number}"
        self.name = ""
        self.is_slow = False
        self.addresses = context.layout.get_server_addresses(number)
        self._sharded = number <= const.SHARDED_SERVERS
        self._service = wire.KEYS_SERVICE if self._sharded else wire.PLAIN_SERVICE
        self._zone = const.ZONES[number % len(const.ZONES)]
        self._nodes = context.layout.list_role("control")
        self._history = context.history
        self._random = context.make_random(self.label)
        self._lives = 0

    async def start(self) -> None:
        """Begin a new life that holds no keys."""
        self._lives += 1
        self.name = f"{self.label}.{self._lives}"
        self._grants: list[Grant] = []
        self._seen: list[Grant] = []
        self._running: dict[str, int] = {}
        self._state = "ready"
        self._has_ended = False
        self._waiting = 0
        self._slots = asyncio.Semaphore(const.SLOTS)
        self._server = HttpServer(self._answer, WireLimits())
        await self._server.start(self.addresses[1])
        self._beats = asyncio.create_task(self._announce())

    async def leave(self) -> None:
        """Say that it drains, serve on, say goodbye, and come back in a new life."""
        self._state = "draining"
        await asyncio.sleep(const.DRAIN_SECONDS + LINGER_SECONDS)
        await self._call("deregister", b"{}")
        while self._running:
            await asyncio.sleep(RELEASE_POLL_SECONDS)
        await self.crash()
        await asyncio.sleep(const.ADDRESS_REUSE_SECONDS)
        await self.start()

    async def crash(self) -> None:
        """End at once."""
        self._has_ended = True
        self._beats.cancel()
        self._server.close()
        await asyncio.gather(self._beats, return_exceptions=True)

    async def _announce(self) -> None:
        """Send heartbeats."""
        sequence = 0
        while True:
            sequence += 1
            state, door = self._state, self.addresses[0]
            beat = wire.encode_beat(self._service, door, self._zone, state, sequence)
            node = await self._call("heartbeat", beat)
            if node:
                self._history.add(Beaten(self.name, state, node))
            pause = const.HEARTBEAT_INTERVAL_SECONDS * self._random.uniform(0.7, 1.1)
            await asyncio.sleep(pause)

    async def _call(self, call: str, body: bytes) -> str:
        """Make an announcement at control nodes in turn; return which took it."""
        path = wire.make_announcement(self.name, call)
        for node in self._random.sample(self._nodes, len(self._nodes)):
            answer = await wire.call(node.address, "POST", path, body)
            if answer is not None and 200 <= answer.status < 300:
                return node.name
        return ""

    async def _answer(self, request: Request) -> Response:
        """Answer a call or a request; cancelled when the other side leaves."""
        expected = find_header(request.headers, wire.DIALECT.expected_server)
        if request.target == wire.HEALTH_PATH:
            own = ((wire.DIALECT.server_name, self.name.encode()),)
            return make_response(200 if self._state == "ready" else 503, b"", own)
        if expected not in (None, self.name.encode()):
            return wire.make_refusal(request, 421, self.name)
        if request.target == wire.names.GRANT_PATH:
            return self._take_grant(request)
        if request.target == wire.names.RELEASE_PATH:
            return await self._release(request)
        return await self._queue(request)

    def _take_grant(self, request: Request) -> Response:
        """Hold keys, unless a higher fence was seen on one of them."""
        low, high, fence, hold = wire.read_grant(request.body)
        for seen in self._seen:
            if seen.low <= high and low <= seen.high and seen.fence > fence:
                return wire.make_refusal(request, 409, self.name)
        grant = Grant(low, high, fence, self._history.now() + hold * SLOW_CLOCK)
        self._seen = [one for one in self._seen if one[:3] != grant[:3]] + [grant]
        self._grants = [*_cut(self._grants, low, high), grant]
        return make_response(200)

    async def _release(self, request: Request) -> Response:
        """Let keys go, and answer when the work on them has ended."""
        low, high, fence, _ = wire.read_grant(request.body)
        self._grants = _cut(self._grants, low, high)
        while any(low <= key <= high for key in self._running.values()):
            await asyncio.sleep(RELEASE_POLL_SECONDS)
        token = f"{self.name}-{low}-{high}-{fence}".encode()
        return make_response(200, b"", ((wire.names.HANDOVER, token),))

    def _find_grant(self, key: int) -> Grant | None:
        """Return the live grant of a key."""
        now = self._history.now()
        held = (g for g in self._grants if g.low <= key <= g.high and g.until > now)
        return next(held, None)

    async def _queue(self, request: Request) -> Response:
        """Wait for a slot, and run a request in it."""
        told = find_header(request.headers, wire.DIALECT.time_left_ms) or b"1000"
        arrived = self._history.now()
        until = arrived + float(told) / 1000
        if self._waiting >= const.QUEUE_REQUESTS:
            return wire.make_refusal(request, 503, self.name)
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            if self._history.now() > until:
                return wire.make_refusal(request, 503, self.name)
            return await self._run(request, arrived, until)
        finally:
            self._slots.release()

    async def _run(self, request: Request, arrived: float, until: float) -> Response:
        """Run a request, unless its key is not held here."""
        dialect, key, fence, lease = wire.DIALECT, -1, 0, float("inf")
        if self._sharded:
            key = int(find_header(request.headers, dialect.key) or b"-1")
            grant = self._find_grant(key)
            if grant is None:
                return wire.make_refusal(request, 421, self.name)
            fence, lease = grant.fence, grant.until
        name = (find_header(request.headers, dialect.request_id) or b"").decode()
        need = float(find_header(request.headers, wire.WORK_MS) or b"20") / 1000
        self._history.add(Began(name, self.name, key, fence, arrived))
        self._running[name] = key
        how = "cut"
        try:
            need *= SLOW_FACTOR if self.is_slow else 1
            how = await self._work(need, until, key, lease)
        finally:
            how = "ended" if self._has_ended else how
            self._running.pop(name, None)
            self._history.add(Finished(name, self.name, how))
        load = b"%d,%d,%d" % (len(self._running), self._waiting, const.SLOTS)
        body = f"{name} {request.target!r} {self.name}\n".encode() * BODY_REPEATS
        own = ((dialect.request_id, name.encode()), (dialect.load, load))
        stamp = (dialect.signature, wire.make_stamp(body))
        return make_response(STATUSES.get(how, 500), body, (*own, stamp))

    async def _work(self, need: float, until: float, key: int, lease: float) -> str:
        """Work for some seconds; return how it ended."""
        end = self._history.now() + need
        while (now := self._history.now()) < end:
            if now >= until:
                return "deadline"
            if now >= lease:
                grant = self._find_grant(key)
                if grant is None:
                    return "lease"
                lease = grant.until
            await asyncio.sleep(max(0.0, min(end, until, lease) - now))
        return "done"


def _cut(grants: list[Grant], low: int, high: int) -> list[Grant]:
    """Return grants without the keys from ``low`` to ``high``."""
    below = [g._replace(high=min(g.high, low - 1)) for g in grants if g.low < low]
    above = [g._replace(low=max(g.low, high + 1)) for g in grants if g.high > high]
    return below + above
