"""A stand-in backend server: announces itself, checks fences, records its runs."""

from __future__ import annotations

import asyncio
import hashlib
from random import Random
from typing import Final, NamedTuple

from . import http1, wire
from .const import (
    ADDRESS_REUSE_SECONDS,
    CONTROL_PORT,
    DRAIN_SECONDS,
    HEARTBEAT_SECONDS,
    KEYS,
    QUEUE_REQUESTS,
    SERVER_PORT,
    SLOTS,
)
from .history import History
from .layout import Layout
from .models import Beaten, Began, Finished

__all__ = ["StandIn", "make_stamp"]

LINGER_SECONDS: Final = 1.5
BODY_REPEATS: Final = 40
BEAT_TIMEOUT_SECONDS: Final = 1.0
SLOW_FACTOR: Final = 5
# A server's clock may run slow by this factor, so its leases last longer.
SLOW_CLOCK: Final = 1.02
STATUSES: Final = {
    "done": "200 OK",
    "deadline": "504 Gateway Timeout",
    "lease": "500 Internal Server Error",
}


class Grant(NamedTuple):
    """Keys that are held, both ends inclusive."""

    low: int
    high: int
    fence: int
    until: float


def make_stamp(body: bytes) -> bytes:
    """Return the signature of a body."""
    return hashlib.sha256(body).hexdigest()[:24].encode()


class StandIn:
    """A server over its lives; each life has its own name."""

    def __init__(
        self, layout: Layout, number: int, service: str, sharded: bool, zone: str
    ) -> None:
        """Prepare the server with a number, which gives its address."""
        self.label = f"server-{number}"
        self.service = service
        self.name = ""
        self.is_slow = False
        self._sharded = sharded
        self._zone = zone
        self._layout = layout
        self._door = f"{layout.server_door(number)}:{SERVER_PORT}"
        self._home = f"{layout.server_home(number)}:{SERVER_PORT}"
        self._lives = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._running: dict[asyncio.Task[None], int] = {}

    @property
    def addresses(self) -> tuple[str, str]:
        """Return where it is announced and where it listens."""
        return self._door, self._home

    async def start(self, history: History, random: Random) -> None:
        """Begin a new life that holds no keys."""
        self._history, self._random = history, random
        self._lives += 1
        self.name = f"{self.label}.{self._lives}"
        self._grants: list[Grant] = []
        self._fences: list[Grant] = []
        self._state = "ready"
        self._waiting = 0
        self._slots = asyncio.Semaphore(SLOTS)
        self.acknowledged = asyncio.Event()
        host, _, port = self._home.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))
        self._beats = asyncio.create_task(self._announce())

    async def leave(self) -> None:
        """Say that it drains, serve on, say goodbye, and come back in a new life."""
        self._state = "draining"
        self.acknowledged.clear()
        try:
            async with asyncio.timeout(4.0):
                await self.acknowledged.wait()
            await asyncio.sleep(DRAIN_SECONDS + LINGER_SECONDS)
            await self._call("deregister", b"{}")
        except TimeoutError:
            # Nobody acknowledged; it ends all the same.
            pass
        await self.crash()
        await asyncio.sleep(ADDRESS_REUSE_SECONDS)
        await self.start_again()

    async def start_again(self) -> None:
        """Begin the next life."""
        await self.start(self._history, self._random)

    async def crash(self) -> None:
        """End at once."""
        self._beats.cancel()
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, self._beats, return_exceptions=True)

    # Announcements

    async def _announce(self) -> None:
        """Send heartbeats, to the next node after a failure."""
        sequence = 0
        while True:
            sequence += 1
            state = self._state
            body = wire.encode_beat(
                self.service, self._door, self._zone, SLOTS, state, sequence
            )
            node = await self._call("heartbeat", body)
            if node:
                if state == "draining":
                    self.acknowledged.set()
                now = self._history.now()
                self._history.add(Beaten(now, self.name, state, node))
            await asyncio.sleep(HEARTBEAT_SECONDS * self._random.uniform(0.7, 1.1))

    async def _call(self, call: str, body: bytes) -> str:
        """Make an announcement at control nodes in turn; return which took it."""
        nodes = list(self._layout.list_role("control"))
        self._random.shuffle(nodes)
        path = wire.make_path(self.name, call)
        for node in nodes:
            try:
                async with asyncio.timeout(BEAT_TIMEOUT_SECONDS):
                    answer = await http1.call(
                        f"{node.door}:{CONTROL_PORT}", "POST", path, {}, body
                    )
            except http1.FAULTS:
                # The node is down or cut off; the next one is asked.
                continue
            if 200 <= answer.status < 300:
                return node.name
        return ""

    # Requests

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a connection, one request at a time."""
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                message = await http1.read_message(reader)
                await self._serve(message, reader, writer)
        except (*http1.FAULTS, asyncio.CancelledError):
            # The other side has left, or this life ends.
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _serve(
        self,
        message: http1.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer a request, or stop when the other side leaves."""
        work = asyncio.create_task(self._answer(message))
        gone = asyncio.create_task(_wait_gone(reader))
        try:
            await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                raise ConnectionResetError("the caller left")
            writer.write(work.result())
            await writer.drain()
        finally:
            work.cancel()
            gone.cancel()
            await asyncio.gather(work, gone, return_exceptions=True)

    async def _answer(self, message: http1.Message) -> bytes:
        """Return the response to a request."""
        method, path, _ = message.first.split(" ")
        dialect = wire.DIALECT
        expected = message.headers.get(dialect.expected_server)
        own = {dialect.server_name: self.name.encode()}
        if path == wire.HEALTH_PATH:
            status = "200 OK" if self._state == "ready" else "503 Service Unavailable"
            return http1.encode(f"HTTP/1.1 {status}", own)
        if expected not in (None, self.name.encode()):
            return self._refuse(message, "421 Misdirected Request")
        if method == "POST" and path == wire.GRANT_PATH.decode():
            return self._take_grant(message)
        if method == "POST" and path == wire.RELEASE_PATH.decode():
            return await self._release(message)
        return await self._run(message, path)

    def _refuse(self, message: http1.Message, status: str) -> bytes:
        """Return a response that promises that nothing has run."""
        dialect = wire.DIALECT
        headers = {dialect.not_run: b"1", dialect.server_name: self.name.encode()}
        request = message.headers.get(dialect.request_id)
        if request:
            headers[dialect.request_id] = request
        return http1.encode(f"HTTP/1.1 {status}", headers)

    def _take_grant(self, message: http1.Message) -> bytes:
        """Hold keys, unless a higher fence was seen on one of them."""
        call = wire.read_grant(message.body)
        if any(
            seen.low <= call.high and call.low <= seen.high and seen.fence > call.fence
            for seen in self._fences
        ):
            return self._refuse(message, "409 Conflict")
        until = self._history.now() + call.hold_seconds * SLOW_CLOCK
        grant = Grant(call.low, call.high, call.fence, until)
        self._fences = [g for g in self._fences if g[:3] != grant[:3]] + [grant]
        self._grants = [*_cut(self._grants, call.low, call.high), grant]
        return http1.encode("HTTP/1.1 200 OK", {})

    async def _release(self, message: http1.Message) -> bytes:
        """Let keys go, and answer when the work on them has ended."""
        call = wire.read_grant(message.body)
        self._grants = _cut(self._grants, call.low, call.high)
        while any(call.low <= key <= call.high for key in self._running.values()):
            await asyncio.sleep(0.01)
        token = f"{self.name}-{call.low}-{call.high}-{call.fence}".encode()
        return http1.encode("HTTP/1.1 200 OK", {wire.HANDOVER: token})

    def _find_grant(self, key: int) -> Grant | None:
        """Return the live grant of a key."""
        now = self._history.now()
        for grant in self._grants:
            if grant.low <= key <= grant.high and grant.until > now:
                return grant
        return None

    async def _run(self, message: http1.Message, path: str) -> bytes:
        """Run a request in a slot; the lease and the deadline bound it."""
        dialect = wire.DIALECT
        left = float(message.headers.get(dialect.time_left_ms, b"1000")) / 1000
        arrived = self._history.now()
        if self._waiting >= QUEUE_REQUESTS:
            return self._refuse(message, "503 Service Unavailable")
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            if self._history.now() > arrived + left:
                return self._refuse(message, "503 Service Unavailable")
            return await self._work(message, path, arrived, left)
        finally:
            self._slots.release()

    async def _work(
        self, message: http1.Message, path: str, arrived: float, left: float
    ) -> bytes:
        """Do the work of a request."""
        until = arrived + left
        dialect = wire.DIALECT
        key, fence, lease = -1, 0, float("inf")
        if self._sharded:
            key = int(message.headers.get(dialect.key, b"-1")) % KEYS
            grant = self._find_grant(key)
            if grant is None:
                return self._refuse(message, "421 Misdirected Request")
            fence, lease = grant.fence, grant.until
        request = message.headers.get(dialect.request_id, b"").decode()
        now = self._history.now()
        self._history.add(
            Began(now, request, self.name, self.service, key, fence, arrived)
        )
        task = asyncio.current_task()
        assert task is not None
        self._running[task] = key
        how = "cut"
        need = float(message.headers.get(wire.WORK_MS, b"20")) / 1000
        need *= SLOW_FACTOR if self.is_slow else 1
        try:
            how = await self._spend(need, until, key, lease)
        finally:
            del self._running[task]
            self._history.add(Finished(self._history.now(), request, self.name, how))
        status = STATUSES[how]
        body = f"{request} {path} {self.name}\n".encode() * BODY_REPEATS
        headers = {
            dialect.request_id: request.encode(),
            dialect.signature: make_stamp(body),
            dialect.load: b"%d,%d,%d" % (len(self._running), self._waiting, SLOTS),
        }
        if self._state == "draining":
            headers[b"connection"] = b"close"
        return http1.encode(f"HTTP/1.1 {status}", headers, body)

    async def _spend(self, need: float, until: float, key: int, lease: float) -> str:
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


async def _wait_gone(reader: asyncio.StreamReader) -> None:
    """Return when the other side has closed; it sends nothing meanwhile."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.01)


def _cut(grants: list[Grant], low: int, high: int) -> list[Grant]:
    """Return grants without the keys from ``low`` to ``high``."""
    kept = []
    for grant in grants:
        if grant.low < low:
            kept.append(grant._replace(high=min(grant.high, low - 1)))
        if grant.high > high:
            kept.append(grant._replace(low=max(grant.low, high + 1)))
    return kept
