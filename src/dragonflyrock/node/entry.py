"""An entry node: routes callers' requests by the rows that control nodes send."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Collection, Mapping
from random import Random
from typing import TYPE_CHECKING, Final

from ..client_guard import (
    ENTRY_SHARES,
    MONITOR_CONNECTIONS,
    MONITOR_LIMITS,
    make_client_guard,
    make_server_bodies,
    measure_machine,
)
from ..clock import read_clock
from ..codec import get_outer_name
from ..control.const import CONTROL_GROUP
from ..drain import plan_drain
from ..entry.agent import AgentConfig, EntryAgent
from ..entry.server_rates import ServerRateAgent
from ..http import (
    ConnectionPool,
    HttpServer,
    LinkQueue,
    Request,
    Response,
    WireLimits,
    compute_paced_rate,
    is_narrow,
    make_response,
)
from ..models import HostRecord
from ..router import HeaderNames, Router, RouterConfig, RouterState
from ..router.budget import BudgetPolicy
from ..tables import ColdNotice, LeavingRow, LeavingSource
from ..transport.calls import CallTable
from ..transport.links import ReceivedMessage
from ..transport.messages import (
    CallAnswer,
    ControlMembers,
    HostUpdate,
    ServeNear,
    ServerLoads,
    ServerRateDemand,
    ServerRateGrant,
)
from .loop import Clock, NodeLoop
from .metrics import make_metrics_server
from .settings import NodeSettings

if TYPE_CHECKING:
    from ..control.commands import ClearSuspect, ReportCrash

__all__ = ["EntryNode"]

TICK_INTERVAL_SECONDS: Final = 0.1
CLEANUP_INTERVAL_SECONDS: Final = 1.0
DRAIN_POLL_INTERVAL_SECONDS: Final = 0.05
REPORT_TIMEOUT_SECONDS: Final = 2.0
# A suspect request waits for the leader's answer for this long.
SUSPECT_CALL_TIMEOUT_SECONDS: Final = 0.3
RELAY_HEADER_BYTES: Final = 256
# Other hosts keep fewer connections here than callers do.
RELAY_CONNECTIONS_DIVISOR: Final = 4
# Stands for the age of rows that were never confirmed, as JSON has no infinity.
MAX_LOGGED_AGE_SECONDS: Final = 9999.0


class EntryNode:
    """An entry node: its router, lease agent, links and HTTP servers."""

    def __init__(
        self,
        settings: NodeSettings,
        header_names: HeaderNames,
        began_at: float,
        clock: Clock = read_clock,
    ) -> None:
        """Bind the link; ``began_at`` is the start of the process on ``clock``."""
        self._settings = settings
        self._loop = NodeLoop(settings, TICK_INTERVAL_SECONDS, began_at, clock)
        self.state = RouterState(_make_budget_policy(settings), clock)
        machine = measure_machine(settings.machine.memory_mb, settings.machine.max_fds)
        self._guard = make_client_guard(machine, ENTRY_SHARES)
        self._link = LinkQueue(compute_paced_rate(settings.machine.link_mbps))
        self._connections = ConnectionPool(
            make_server_bodies(machine, ENTRY_SHARES, self._guard), link=self._link
        )
        name = settings.node.name
        self._router = Router(
            RouterConfig(
                name,
                settings.node.availability_zone,
                header_names,
                settings.relay_port,
            ),
            self.state,
            self._connections,
            self._loop.lines,
            self._loop.metrics,
            clock,
            Random(),
            self,
        )
        self._calls = CallTable(settings.seed_names, self._loop.send)
        self._caller_server = HttpServer(
            self._router.handle,
            WireLimits(),
            self._guard.memory,
            self._guard.max_connections,
            self._router.may_overlap,
            link=self._link,
        )
        self._relay_server = HttpServer(
            self._router.handle_relayed,
            WireLimits(),
            self._guard.memory,
            max(self._guard.max_connections // RELAY_CONNECTIONS_DIVISOR, 1),
            link=self._link,
        )
        self._ready_server = HttpServer(
            self._answer_ready,
            MONITOR_LIMITS,
            self._guard.memory,
            MONITOR_CONNECTIONS,
        )
        self._metrics_server = make_metrics_server(self._loop.metrics, self._guard)
        self._guard.servers = (
            self._caller_server,
            self._relay_server,
            self._ready_server,
            self._metrics_server,
        )
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
                takes_loads=True,
                has_narrow_link=is_narrow(settings.machine.link_mbps),
            ),
            self.state,
            self._loop.send,
            clock,
        )
        self._agent.on_near_member = self._log_near_member
        self._agent.is_link_busy = lambda: self._link.received.is_busy
        self.state.on_leaving = self._log_leaving
        self.state.on_zones = self._log_zones
        self.state.evacuation_grace = settings.bounds.evacuation_ms / 2000
        self.state.share_limits(self._make_rate_agent())
        self._stopping = asyncio.Event()
        self._stop_requested_at = 0.0
        self._cleaned_up_at = 0.0
        self._applied_version = 0
        self._had_lease = False
        self._voters: tuple[str, ...] = ()
        self._load_hub = ""
        self._reported_pauses = 0

    def _make_rate_agent(self) -> ServerRateAgent:
        """Return the agent that divides the limits of servers with other hosts."""
        name, loop = self._settings.node.name, self._loop
        rates = ServerRateAgent(name, self.state.tables, loop.clock, loop.send)
        rates.on_idle = self._disconnect
        rates.on_silent = lambda peer: loop.lines.add("limiter-silent", peer=peer)
        return rates

    def _disconnect(self, peer: str) -> None:
        """Close the link to a host, unless other messages use it."""
        if peer not in self._settings.seed_names and peer not in self._voters:
            self._loop.disconnect(peer)

    async def run(self) -> None:
        """Serve until stopped, then answer requests in progress."""
        listen = self._settings.listen
        self._loop.start(self._receive, self._tick, _do_nothing)
        await self._caller_server.start(listen.callers)
        if listen.relay:
            await self._relay_server.start(listen.relay)
        if listen.ready:
            await self._ready_server.start(listen.ready)
        if listen.metrics:
            await self._metrics_server.start(listen.metrics)
        self._loop.log_started(**self._guard.describe())
        await self._loop.run_until_stopped(self._stopping, self._finish)

    def record_stop_request(self) -> None:
        """Record the time of the first stop request, which starts the grace period."""
        if not self._stop_requested_at:
            self._stop_requested_at = self._loop.clock()

    def stop(self) -> None:
        """Begin a graceful stop; further calls have no effect."""
        self.record_stop_request()
        self._stopping.set()

    def log_reload(self, problem: str) -> None:
        """Log a check of the settings file; ``problem`` is empty if it is valid."""
        self._loop.log_reload(problem)

    async def _finish(self) -> Mapping[str, object]:
        """Accept requests while the load balancer may send some, then close.

        Return the counts of these requests for the ``stopped`` line.
        """
        clock = self._loop.clock
        self._loop.lines.add("stopping", busy=self._caller_server.busy_count)
        self._caller_server.draining = True
        grace = self._settings.bounds.stop_grace_s
        self._router.drain = drain = plan_drain(self._stop_requested_at, grace)
        while clock() < drain.last_arrival:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_SECONDS)
        await asyncio.gather(
            self._caller_server.finish(drain.end), self._relay_server.finish(drain.end)
        )
        self._agent.leave(clock(), idle=True)
        self._ready_server.close()
        self._router.reach.close()
        self._router.relayer.close()
        self._connections.close()
        await asyncio.sleep(DRAIN_POLL_INTERVAL_SECONDS)
        return self._caller_server.counts._asdict()

    async def _answer_ready(self, request: Request) -> Response:
        """Answer a health check of the load balancer."""
        if self._stopping.is_set():
            return make_response(503, b"stopping\n")
        if not self.state.tables.document_version:
            return make_response(503, b"no route document yet\n")
        return make_response(200, b"ready\n")

    def _receive(self, received: ReceivedMessage, now: float) -> None:
        """Handle a message from a link."""
        message = received.message
        match message:
            case HostUpdate():
                self._agent.receive(message, now, received.sender)
                self._calls.set_leader(CONTROL_GROUP, self.state.tables.leader)
                self._apply_document()
            case ControlMembers(voters):
                self._set_voters(voters)
            case ServeNear(near_member):
                self._agent.set_near_member(near_member, now, received.sender)
            case ServerLoads(loads, cold):
                self.state.record_cold(
                    ColdNotice(name, sequence, cold_ms / 1000)
                    for name, sequence, cold_ms in cold
                )
                if received.sender == self._agent.near_member:
                    self._set_load_hub(received.sender)
                self.state.shared_loads.apply(loads, self.state.stats, now)
            case ServerRateDemand():
                self.state.rates.receive_demand(received.sender, message)
            case ServerRateGrant():
                self.state.rates.receive_grant(received.sender, message)
            case CallAnswer():
                self._calls.answer(received.sender, message, now)

    def _log_near_member(self, node: str, before: str, reason: str) -> None:
        """Log that another control node sends this host its rows."""
        self._loop.lines.add(
            "near-member",
            node=node,
            before=before,
            reason=reason,
            revision=self.state.tables.revision,
            rows_age=round(min(self.state.rows_age, MAX_LOGGED_AGE_SECONDS), 2),
        )

    def _set_load_hub(self, node: str) -> None:
        """Set the control node that passes the backlogs of servers on; "" for none."""
        if node == self._load_hub:
            return
        self._loop.lines.add("load-hub", node=node, before=self._load_hub)
        self._load_hub = node

    def _share_loads(self, now: float) -> None:
        """Tell the other hosts of this host's control node of servers' backlogs."""
        if self._load_hub and self._load_hub != self._agent.near_member:
            self._set_load_hub("")
        loads = self.state.shared_loads.pop(now)
        if loads and self._load_hub:
            self._loop.send(self._load_hub, ServerLoads(loads))

    def _set_voters(self, voters: tuple[str, ...]) -> None:
        """Ask the present voters from now on, and those of the settings."""
        self._voters = voters
        self._calls.set_voters(voters)
        if self._agent.set_voters(voters):
            self._loop.lines.add("voters", names=voters)

    def _log_leaving(self, row: LeavingRow) -> None:
        """Log that a server leaves, and report it if the rows do not show it yet."""
        self._loop.lines.add(
            "server-leaving",
            server=row.holder,
            source=row.source,
            revision=self.state.tables.revision,
        )
        if row.source == LeavingSource.RESPONSE:
            self._agent.request_renewal()

    def _log_zones(self, evacuated: Collection[str], returned: Collection[str]) -> None:
        """Log zones whose servers get no more requests, or get some again."""
        metric = self._loop.metrics.zone_evacuated
        for zones, event, value in (
            (evacuated, "zone-evacuated", 1),
            (returned, "zone-returned", 0),
        ):
            for zone in sorted(zones):
                metric.labels(zone).set(value)
                self._loop.lines.add(
                    event, zone=zone, revision=self.state.tables.revision
                )

    def _update_server_notices(self, now: float) -> None:
        """Forget pauses that are over, and update the metrics."""
        state, metrics = self.state, self._loop.metrics
        for holder in state.pauses.pop_ended(now):
            self._loop.lines.add("pause-ended", server=holder)
        metrics.servers_limited.set(state.rates.count_limited())
        metrics.servers_cold.set(state.cold.count(now))
        state.cold.retain(state.tables.servers, now)
        metrics.servers_paused.set(state.pauses.count(now))
        metrics.link_waiting_bytes.set(self._link.waiting_bytes)
        metrics.link_waiting_requests.set(self._router.link_room.waiting_count)
        metrics.link_busy.set(self._link.received.is_busy)
        for source in LeavingSource:
            metrics.servers_leaving.labels(source).set(state.leaving.count(source))

    def report_crash(
        self, fingerprint: str, method: str, target: str, life: str
    ) -> None:
        """Report to the leader that a server ended while it ran a request."""
        from ..control.commands import ReportCrash  # noqa: PLC0415 (rarely needed)

        now_ms = int(time.time() * 1000)
        self._propose(
            ReportCrash(fingerprint, "", method, target, life, now_ms), fingerprint
        )

    async def begin_suspect_run(
        self, fingerprint: str, life: str, seconds: float
    ) -> bool:
        """Ask the leader whether a suspect may run on a server now.

        Without an answer it may: there is no leader then that could quarantine another
        request which runs beside it.
        """
        from ..control.calls import (  # noqa: PLC0415 (rarely needed)
            CALLS,
            BeginSuspectRun,
            SuspectRunAnswer,
        )

        answered: asyncio.Future[bytes | None] = (
            asyncio.get_running_loop().create_future()
        )

        def finish(answer: bytes | None) -> None:
            if not answered.done():
                answered.set_result(answer)

        call = BeginSuspectRun(fingerprint, life, round(seconds * 1000))
        self._calls.start(
            CONTROL_GROUP,
            CALLS.encode(call),
            SUSPECT_CALL_TIMEOUT_SECONDS,
            finish,
            self._loop.clock(),
        )
        answer = await answered
        result = None if answer is None else CALLS.decode(answer)
        return result.allowed if isinstance(result, SuspectRunAnswer) else True

    def clear_suspect(self, fingerprint: str) -> None:
        """Report to the leader that a suspected request was answered."""
        from ..control.commands import ClearSuspect  # noqa: PLC0415 (rarely needed)

        self._propose(ClearSuspect(fingerprint), fingerprint)

    def _propose(self, command: ReportCrash | ClearSuspect, fingerprint: str) -> None:
        """Send a command to the leader; its effect arrives with later rows."""
        from ..control.calls import CALLS, Propose  # noqa: PLC0415 (rarely needed)
        from ..control.commands import COMMANDS  # noqa: PLC0415 (rarely needed)

        kind = get_outer_name(type(command))
        lines = self._loop.lines

        def log_outcome(answer: bytes | None) -> None:
            outcome = "no answer" if answer is None else "answered"
            lines.add(
                "crash-report", kind=kind, fingerprint=fingerprint[:16], outcome=outcome
            )

        self._calls.start(
            CONTROL_GROUP,
            CALLS.encode(Propose(COMMANDS.encode(command))),
            REPORT_TIMEOUT_SECONDS,
            log_outcome,
            self._loop.clock(),
        )

    def _apply_document(self) -> None:
        """Apply the limits of a new route document, and log its version."""
        tables = self.state.tables
        if tables.document_version == self._applied_version:
            return
        self._applied_version = tables.document_version
        limits = tables.client_limits
        self._caller_server.limits = caller_limits = WireLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_timeout_ms / 1000,
            limits.idle_timeout_ms / 1000,
        )
        # A relayed request has a few bytes of headers more.
        self._relay_server.limits = WireLimits(
            caller_limits.header_bytes + RELAY_HEADER_BYTES, caller_limits.body_bytes
        )
        self._loop.lines.add(
            "document-applied",
            version=tables.document_version,
            revision=tables.revision,
            routes=len(tables.routes),
        )

    def _tick(self, now: float) -> None:
        """Renew the lease, check call timeouts and close expired connections."""
        self._agent.tick(now)
        self._calls.tick(now)
        self._share_loads(now)
        self.state.update_cold_limits()
        self.state.rates.tick(now)
        self._router.reach.tick()
        has_lease = self.state.tables.lease_until > now
        if has_lease != self._had_lease:
            self._had_lease = has_lease
            event = "control-regained" if has_lease else "control-lost"
            self._loop.lines.add(event, leader=self.state.tables.leader)
        if now - self._cleaned_up_at > CLEANUP_INTERVAL_SECONDS:
            self._cleaned_up_at = now
            self._connections.close_expired(now)
            self._router.relayer.close_expired(now)
            self._update_server_notices(now)
            self._loop.log_refused_clients(self._guard)
            self._report_response_pauses()
            self._loop.metrics.revision.set(self.state.tables.revision)

    def _report_response_pauses(self) -> None:
        """Log that servers send responses in very small parts."""
        pauses = self._connections.pacer.pause_count - self._reported_pauses
        if not pauses:
            return
        self._reported_pauses += pauses
        self._loop.metrics.response_pauses.labels().inc(pauses)
        self._loop.lines.add("responses-paced", pauses=pauses)


def _make_budget_policy(settings: NodeSettings) -> BudgetPolicy:
    """Return the policy of the retry budget."""
    bounds = settings.bounds
    return BudgetPolicy(bounds.retry_ratio, bounds.retry_window_s, bounds.retry_slack)


def _do_nothing(now: float) -> None:
    """Do nothing; an entry node has nothing to flush."""
