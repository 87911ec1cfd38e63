"""An entry node: callers' requests in, routed by rows that the leader sends."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping
from random import Random
from typing import TYPE_CHECKING, Final

from ..codec import get_outer_name
from ..control.const import CONTROL_GROUP
from ..drain import plan_drain
from ..entry.agent import AgentConfig, EntryAgent
from ..http import (
    ConnectionPool,
    HttpServer,
    Request,
    Response,
    WireLimits,
    make_response,
)
from ..models import HostRecord
from ..router import HeaderNames, Router, RouterConfig, RouterState
from ..router.budget import BudgetPolicy
from ..transport.calls import CallTable
from ..transport.links import ReceivedMessage
from ..transport.messages import CallAnswer, HostUpdate, ServeNear
from .loop import Clock, NodeLoop
from .metrics import make_metrics_server
from .settings import NodeSettings

if TYPE_CHECKING:
    from ..control.commands import ClearSuspect, ReportCrash

__all__ = ["EntryNode"]

TICK_SECONDS: Final = 0.1
SWEEP_SECONDS: Final = 1.0
DRAIN_POLL_SECONDS: Final = 0.05
REPORT_SECONDS: Final = 2.0


class EntryNode:
    """Everything of one entry node."""

    def __init__(
        self,
        settings: NodeSettings,
        dialect: HeaderNames,
        began_at: float,
        clock: Clock = time.monotonic,
    ) -> None:
        """Prepare to serve with the header names of ``dialect``.

        The process began at ``began_at``.
        """
        self._settings = settings
        self._loop = NodeLoop(settings, TICK_SECONDS, began_at, clock)
        self.state = RouterState(_make_budget_policy(settings), clock)
        self._connections = ConnectionPool()
        name = settings.node.name
        self._router = Router(
            RouterConfig(name, settings.node.availability_zone, dialect),
            self.state,
            self._connections,
            self._loop.lines,
            self._loop.metrics,
            clock,
            Random(),
            self,
        )
        self._calls = CallTable(settings.seed_names, self._loop.send)
        self._callers = HttpServer(self._router.handle, WireLimits())
        self._ready = HttpServer(self._answer_ready, WireLimits())
        self._metrics = make_metrics_server(settings, self._loop.metrics)
        record = HostRecord(
            name,
            time.time_ns(),
            settings.node.availability_zone,
            settings.listen.link,
            "",
        )
        self._agent = EntryAgent(
            AgentConfig(
                record,
                settings.seed_names,
                settings.timeouts.host_renew_ms / 1000,
                acknowledge_at_once=False,
            ),
            self.state,
            self._loop.send,
            clock,
        )
        self._stopping = asyncio.Event()
        self._told_at = 0.0
        self._swept_at = 0.0
        self._heard_version = 0
        self._was_in_touch = False

    async def run(self) -> None:
        """Serve until stopped, then answer what is under way and end."""
        listen = self._settings.listen
        self._loop.start(self._receive, self._tick, _do_nothing)
        await self._callers.start(listen.callers)
        if listen.ready:
            await self._ready.start(listen.ready)
        if self._metrics is not None:
            await self._metrics.start(listen.metrics)
        self._loop.log_started()
        await self._loop.run_until_stopped(self._stopping, self._finish)

    def note_stop(self) -> None:
        """Note that a stop signal has come; the grace time begins."""
        if not self._told_at:
            self._told_at = self._loop.clock()

    def stop(self) -> None:
        """Begin to end; may be called more than once."""
        self.note_stop()
        self._stopping.set()

    def reload(self, problem: str) -> None:
        """Tell that the settings file was read anew, or why it was refused."""
        self._loop.log_reload(problem)

    async def _finish(self) -> Mapping[str, object]:
        """Take requests while the balancer still sends some, answer them, and end.

        Return what the last line tells of them.
        """
        clock = self._loop.clock
        self._loop.lines.add("stopping", busy=self._callers.busy_count)
        self._callers.draining = True
        grace = self._settings.bounds.stop_grace_s
        self._router.drain = drain = plan_drain(self._told_at, grace)
        while clock() < drain.last_arrival:
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        await self._callers.finish(drain.end)
        self._agent.leave(clock(), idle=True)
        self._ready.close()
        self._connections.close()
        await asyncio.sleep(DRAIN_POLL_SECONDS)
        return self._callers.counts._asdict()

    async def _answer_ready(self, request: Request) -> Response:
        """Tell the balancer whether to send callers here."""
        if self._stopping.is_set():
            return make_response(503, b"stopping\n")
        if not self.state.tables.document_version:
            return make_response(503, b"no route document yet\n")
        return make_response(200, b"ready\n")

    def _receive(self, received: ReceivedMessage, now: float) -> None:
        """Take a message."""
        message = received.message
        match message:
            case HostUpdate():
                self._agent.receive(message, now, received.sender)
                self._calls.set_leader(CONTROL_GROUP, message.leader)
                self._note_document()
            case ServeNear(node):
                self._agent.set_near_member(node, now, received.sender)
            case CallAnswer():
                self._calls.answer(received.sender, message, now)

    # Requests that end servers

    def report_crash(
        self, fingerprint: str, method: str, target: str, server: str
    ) -> None:
        """Have the leader count a server that ended while it ran a request."""
        from ..control.commands import ReportCrash  # noqa: PLC0415 (rarely needed)

        now_ms = int(time.time() * 1000)
        self._propose(
            ReportCrash(fingerprint, "", method, target, server, now_ms), fingerprint
        )

    def clear_suspect(self, fingerprint: str) -> None:
        """Have the leader drop a suspect that was answered."""
        from ..control.commands import ClearSuspect  # noqa: PLC0415 (rarely needed)

        self._propose(ClearSuspect(fingerprint), fingerprint)

    def _propose(self, command: ReportCrash | ClearSuspect, name: str) -> None:
        """Commit a command; its outcome comes back with the rows."""
        from ..control.calls import CALLS, Propose  # noqa: PLC0415 (rarely needed)
        from ..control.commands import COMMANDS  # noqa: PLC0415 (rarely needed)

        kind = get_outer_name(type(command))
        lines = self._loop.lines

        def tell(answer: bytes | None) -> None:
            outcome = "no answer" if answer is None else "answered"
            lines.add("crash-report", kind=kind, fingerprint=name[:16], outcome=outcome)

        self._calls.start(
            CONTROL_GROUP,
            CALLS.encode(Propose(COMMANDS.encode(command))),
            REPORT_SECONDS,
            tell,
            self._loop.clock(),
        )

    def _note_document(self) -> None:
        """Apply the limits of a new route document, and tell of it."""
        tables = self.state.tables
        if tables.document_version == self._heard_version:
            return
        self._heard_version = tables.document_version
        limits = tables.client_limits
        self._callers.limits = WireLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_timeout_ms / 1000,
            limits.idle_timeout_ms / 1000,
        )
        self._loop.lines.add(
            "document-applied",
            version=tables.document_version,
            revision=tables.revision,
            routes=len(tables.routes),
        )

    def _tick(self, now: float) -> None:
        """Renew, and drop old connections."""
        self._agent.tick(now)
        self._calls.tick(now)
        in_touch = self.state.tables.lease_until > now
        if in_touch != self._was_in_touch:
            self._was_in_touch = in_touch
            event = "control-regained" if in_touch else "control-lost"
            self._loop.lines.add(event, leader=self.state.tables.leader)
        if now - self._swept_at > SWEEP_SECONDS:
            self._swept_at = now
            self._connections.close_expired(now)
            self._loop.metrics.revision.set(self.state.tables.revision)


def _make_budget_policy(settings: NodeSettings) -> BudgetPolicy:
    """Return the budget of repeated sends."""
    bounds = settings.bounds
    return BudgetPolicy(bounds.retry_ratio, bounds.retry_window_s, bounds.retry_slack)


def _do_nothing(now: float) -> None:
    """Have nothing to flush."""
