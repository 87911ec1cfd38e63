"""Stand-in backend servers, which send heartbeats, check fences and record runs."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any, Final

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
from .held_keys import LEASE_CLOCK_FACTOR, Grant, HeldKeys, remove_keys
from .layout import NodeSpec
from .models import Beaten, Began, Finished, Limited, Told

LEAVE_DELAY_SECONDS: Final = 1.5
# A server that leaves says so in its responses this long before its heartbeats do.
HEARTBEAT_LAG_SECONDS: Final = 0.5
BODY_LINE_COUNT: Final = 40
SLOW_FACTOR: Final = 5
STATUS_BY_RESULT: Final = {"done": 200, "deadline": 504, "lease": 500}
RELEASE_POLL_SECONDS: Final = 0.01
# A server that releases keys sends its next heartbeat this soon.
RELEASING_PAUSE_SECONDS: Final = 0.1


class StandIn:
    """A server over its lives; each has its own name in the history.

    Some servers start again under the id that they had, others with a new one.
    """

    def __init__(self, context: RunContext, number: int) -> None:
        """Prepare a server; its number determines its address and service."""
        self.label = f"server-{number}"
        self.name = self.id = ""
        self._keeps_id = number % 2 == 0
        self.is_slow = False
        self.addresses = context.layout.get_server_addresses(number)
        self._is_sharded = number <= const.SHARDED_SERVER_COUNT
        self._service = wire.KEYS_SERVICE if self._is_sharded else wire.PLAIN_SERVICE
        self._zone = const.ZONES[number % len(const.ZONES)]
        self._nodes = context.layout.list_role("control")
        self._by_heartbeat = self._is_sharded and context.layout.by_heartbeat
        self._has_large_bodies = context.layout.link_mbps > 0
        self._history = context.history
        self._random = context.make_random(self.label)
        self._instance_count = 0
        limit_headers = wire.HEADER_NAMES.limit
        leaving_headers = wire.HEADER_NAMES.leaving
        self._leaving_header = leaving_headers[number % len(leaving_headers)]
        self._limit_header = limit_headers[number % len(limit_headers)]

    async def start(self) -> None:
        """Start a new instance without grants."""
        self._instance_count += 1
        self.name = f"{self.label}.{self._instance_count}"
        self.id = self.label if self._keeps_id else self.name
        self._born = int(time.time() * 1000)
        self._grants: list[Grant] = []
        self._held = HeldKeys()
        self._heartbeat_address = ""
        self._received_grants: list[Grant] = []
        self._running: dict[str, int] = {}
        self._state = "ready"
        self._says_leaving = False
        self.paused_until = 0.0
        self.limit = 0.0
        self._has_crashed = False
        self._queued_count = 0
        self._slots = asyncio.Semaphore(const.SLOT_COUNT)
        self._server = HttpServer(self._handle_request, WireLimits())
        await self._server.start(self.addresses[1])
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())

    async def leave(self) -> None:
        """Announce draining, deregister, finish all requests and start again."""
        self._says_leaving = True
        await asyncio.sleep(HEARTBEAT_LAG_SECONDS)
        self._state = "draining"
        await asyncio.sleep(const.DRAIN_SECONDS + LEAVE_DELAY_SECONDS)
        await self._call("deregister", b'{"born": %d}' % self._born)
        while self._running:
            await asyncio.sleep(RELEASE_POLL_SECONDS)
        await self.crash()
        await asyncio.sleep(const.ADDRESS_REUSE_SECONDS)
        await self.start()

    async def crash(self) -> None:
        """Stop the instance without notice."""
        self._has_crashed = True
        self._heartbeat_task.cancel()
        self._server.close()
        await asyncio.gather(self._heartbeat_task, return_exceptions=True)

    async def _send_heartbeats(self) -> None:
        """Send heartbeats until cancelled."""
        sequence = 0
        while True:
            sequence += 1
            state, address = self._state, self.addresses[0]
            rows, sent_at = self._make_rows(), self._history.now()
            heartbeat = wire.encode_heartbeat(
                self._service,
                address,
                self._zone,
                state,
                sequence,
                rows,
                self._born,
            )
            node, response = await self._call("heartbeat", heartbeat)
            if response is not None:
                self._history.add(Beaten(self.name, state, node))
                self._take_answer(response, rows, sent_at)
            pause = const.HEARTBEAT_INTERVAL_SECONDS * self._random.uniform(0.7, 1.1)
            if self._held.is_releasing:
                pause = RELEASING_PAUSE_SECONDS
            await asyncio.sleep(pause)

    def _make_rows(self) -> dict[str, Any]:
        """Return what this server holds and has freed, if heartbeats say so."""
        if not self._by_heartbeat:
            return {}
        running = self._running.values()
        return self._held.make_rows(self._history.now(), running, self.name)

    def _take_answer(
        self, response: Response, rows: dict[str, Any], sent_at: float
    ) -> None:
        """Hold what the answer to a heartbeat names."""
        if not self._by_heartbeat:
            return
        address = json.loads(response.body).get("heartbeatAddress", "")
        self._heartbeat_address = address
        self._held.take_answer(response.body, sent_at, len(rows["freed"]))
        self._grants = self._held.grants

    def _list_targets(self) -> list[NodeSpec]:
        """Return the control nodes in the order in which they are called."""
        nodes = self._random.sample(self._nodes, len(self._nodes))
        return sorted(nodes, key=lambda node: node.address != self._heartbeat_address)

    async def _call(self, call: str, body: bytes) -> tuple[str, Response | None]:
        """Call control nodes until one accepts; return its name and its answer.

        Return None as the answer if none accepted the call.
        """
        path = wire.make_announcement_path(self.id, call)
        for node in self._list_targets():
            response = await wire.call(node.address, "POST", path, body)
            if response is not None and 200 <= response.status < 300:
                return node.name, response
        return "", None

    async def _handle_request(self, request: Request) -> Response:
        """Answer a control call or a request; cancelled if the client disconnects."""
        expected = find_header(request.headers, wire.HEADER_NAMES.expected_server)
        if request.target == wire.HEALTH_PATH:
            identity = ((wire.HEADER_NAMES.server_name, self.id.encode()),)
            return make_response(200 if self._state == "ready" else 503, b"", identity)
        if expected not in (None, self.id.encode()):
            return wire.make_refusal(request, 421, self.id)
        if request.target == wire.names.GRANT_PATH:
            return self._apply_grant(request)
        if request.target == wire.names.RELEASE_PATH:
            return await self._release(request)
        limit = self.limit
        if limit:
            self._history.add(Limited(_read_request_id(request), self.name, limit))
        response = await self._queue(request)
        if limit:
            named = (self._limit_header, b"%.2f" % limit)
            response = response._replace(headers=(*response.headers, named))
        if not self._says_leaving:
            return response
        leaving = (self._leaving_header, b"1")
        self._history.add(Told(_read_request_id(request), self.name, "leaving"))
        return response._replace(headers=(*response.headers, leaving))

    def _ask_for_pause(self, request: Request) -> Response:
        """Turn a request away, and ask for a pause of the time that is left."""
        seconds = self.paused_until - self._history.now()
        self._history.add(Told(_read_request_id(request), self.name, "pause", seconds))
        response = wire.make_refusal(request, 503, self.id)
        pause = (wire.RETRY_AFTER, b"%.3f" % seconds)
        return response._replace(headers=(*response.headers, pause))

    def _apply_grant(self, request: Request) -> Response:
        """Store a grant, unless one of its keys was granted with a higher fence."""
        low, high, fence, hold_seconds = wire.read_grant(request.body)
        for received in self._received_grants:
            if received.low <= high and low <= received.high and received.fence > fence:
                return wire.make_refusal(request, 409, self.id)
        grant = Grant(
            low, high, fence, self._history.now() + hold_seconds * LEASE_CLOCK_FACTOR
        )
        self._received_grants = [
            other for other in self._received_grants if other[:3] != grant[:3]
        ] + [grant]
        self._grants = [*remove_keys(self._grants, low, high), grant]
        return make_response(200)

    async def _release(self, request: Request) -> Response:
        """Release keys, and answer once no request for them is running."""
        low, high, fence, _ = wire.read_grant(request.body)
        self._grants = remove_keys(self._grants, low, high)
        while any(low <= key <= high for key in self._running.values()):
            await asyncio.sleep(RELEASE_POLL_SECONDS)
        token = f"{self.name}-{low}-{high}-{fence}".encode()
        return make_response(200, b"", ((wire.names.HANDOVER, token),))

    def _find_grant(self, key: int) -> Grant | None:
        """Return the unexpired grant of a key, or None."""
        now = self._history.now()
        live = (g for g in self._grants if g.low <= key <= g.high and g.until > now)
        return next(live, None)

    async def _queue(self, request: Request) -> Response:
        """Wait for a slot, and run a request in it."""
        time_left_ms = (
            find_header(request.headers, wire.HEADER_NAMES.time_left_ms) or b"1000"
        )
        arrived = self._history.now()
        if arrived < self.paused_until:
            return self._ask_for_pause(request)
        until = arrived + float(time_left_ms) / 1000
        if self._queued_count >= const.MAX_QUEUED_COUNT:
            return wire.make_refusal(request, 503, self.id)
        self._queued_count += 1
        try:
            await self._slots.acquire()
        finally:
            self._queued_count -= 1
        try:
            if self._history.now() > until:
                return wire.make_refusal(request, 503, self.id)
            return await self._run(request, arrived, until)
        finally:
            self._slots.release()

    async def _run(self, request: Request, arrived: float, until: float) -> Response:
        """Run a request, or refuse it if this server has no grant for its key."""
        names, key, fence, lease = wire.HEADER_NAMES, -1, 0, float("inf")
        if self._is_sharded:
            key = int(find_header(request.headers, names.key) or b"-1")
            grant = self._find_grant(key)
            if grant is None:
                return wire.make_refusal(request, 421, self.id)
            fence, lease = grant.fence, grant.until
        request_id = _read_request_id(request)
        work_seconds = float(find_header(request.headers, wire.WORK_MS) or b"20") / 1000
        self._history.add(Began(request_id, self.name, key, fence, arrived))
        self._running[request_id] = key
        how = "cut"
        try:
            work_seconds *= SLOW_FACTOR if self.is_slow else 1
            how = await self._simulate_work(work_seconds, until, key, lease)
        finally:
            how = "ended" if self._has_crashed else how
            self._running.pop(request_id, None)
            self._history.add(Finished(request_id, self.name, how))
        load = b"%d,%d,%d" % (len(self._running), self._queued_count, const.SLOT_COUNT)
        line_count = BODY_LINE_COUNT
        prefix = const.LARGE_RESPONSE_PREFIX.encode()
        if self._has_large_bodies and request.target.startswith(prefix):
            line_count *= const.LARGE_RESPONSE_FACTOR
        body = f"{request_id} {request.target!r} {self.name}\n".encode() * line_count
        identity = ((names.request_id, request_id.encode()), (names.load, load))
        signature = (names.signature, wire.make_signature(body))
        return make_response(
            STATUS_BY_RESULT.get(how, 500), body, (*identity, signature)
        )

    async def _simulate_work(
        self, work_seconds: float, until: float, key: int, lease: float
    ) -> str:
        """Wait for the work's duration, deadline or lease end; return which came first.

        ``until`` and ``lease`` are the times of the deadline and of the lease's end; a
        renewed grant extends the lease.
        """
        end = self._history.now() + work_seconds
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


def _read_request_id(request: Request) -> str:
    """Return the id of a request."""
    value = find_header(request.headers, wire.HEADER_NAMES.request_id)
    return (value or b"").decode()
