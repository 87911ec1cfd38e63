"""A control node: a member of the control group that runs the leader's tasks."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path
from random import Random
from typing import Any, Final, NamedTuple

from ..client_guard import CONTROL_SHARES, make_client_guard, measure_machine
from ..clock import read_clock
from ..codec import get_outer_name
from ..consensus import Role, open_group
from ..control.calls import (
    CALLS,
    HeartbeatAccepted,
    Propose,
    ReadRoutes,
    RoutesUnchanged,
)
from ..control.commands import (
    COMMANDS,
    RESULTS,
    ChangeRoutes,
    Done,
    EvacuateZone,
    PutRoutes,
)
from ..control.directed_models import (
    Order,
    OrderOutcome,
    OrderResult,
    ServerHeartbeat,
)
from ..control.member import CONTROL_GROUP, ControlMember, MemberConfig
from ..control.near import LEADER_TIMEOUT_SECONDS
from ..control.rows import WarmupReader
from ..control.state import ControlState
from ..drain import plan_drain
from ..errors import Reason, Refusal, Step
from ..http import HttpServer, Request, Response, WireLimits
from ..models import GrantedBy
from ..routes import RouteDocument, apply_change, count_source_bytes
from ..tables import MAX_COLD_SECONDS
from ..transport.calls import CallTable
from ..transport.links import ReceivedMessage
from ..transport.messages import (
    CallAnswer,
    CallRequest,
    ConsensusMessage,
    HostRenew,
    HostsNear,
    LeavingServers,
    NearRenew,
    ServeNear,
    ServerLoads,
    ServerNeeds,
    ServersHeard,
)
from .group_lines import GroupLines
from .loop import Clock, NodeLoop
from .metrics import make_metrics_server
from .settings import NodeSettings
from .timing import (
    count_voters,
    make_consensus_timing,
    make_directed_timing,
    make_lease_timing,
)
from .waiting import WaitingHosts

__all__ = ["ControlNode", "OrderSender"]

TICK_INTERVAL_SECONDS: Final = 0.05
# The end of an operator's connection is read within this time after its order.
OPERATOR_CHECK_SECONDS: Final = 0.02
# Backend servers and operators wait one second for an answer. If the leader does not
# answer, a refusal must reach them before that.
CALL_TIMEOUT_SECONDS: Final = 0.9
# A follower without a message from the leader for this long may be cut off from it.
LEADER_CONTACT_TIMEOUT_SECONDS: Final = 0.6
SERVER_REPORT_INTERVAL_SECONDS: Final = 1.0
# Longer than an election takes, shorter than a server may be silent.
UNREPORTED_SECONDS: Final = 2.0
# A control host of 296 MB holds several copies of a document while it is changed, and
# operators may send eight changes at a time.
MAX_DOCUMENT_BYTES: Final = 4 * 1024 * 1024
# A call has the document and what stands around its routes.
CONTROL_LIMITS: Final = WireLimits(body_bytes=MAX_DOCUMENT_BYTES + 1024 * 1024)
MAX_LOGGED_ZONE_LENGTH: Final = 60
# A stopping leader runs at least this long after it starts to hand over, another node
# for as long as its last messages need.
HANDOVER_SECONDS: Final = 0.3
LAST_MESSAGES_SECONDS: Final = 0.05

OrderSender = Callable[[Order, float], Awaitable[OrderResult]]
Handler = Callable[[Request], Awaitable[Response]]


class UnreportedHeartbeat(NamedTuple):
    """A heartbeat that was acknowledged here, and when by this node's clock."""

    sequence: int
    received_at: float
    born: int


class ControlNode:
    """A control node: its member of the control group, its links and HTTP servers.

    ``send_order`` sends an order to a backend server and returns the result within
    the given number of seconds.
    """

    def __init__(
        self,
        settings: NodeSettings,
        send_order: OrderSender,
        began_at: float,
        clock: Clock = read_clock,
        read_warmup: WarmupReader | None = None,
    ) -> None:
        """Open the data folder and bind the link.

        ``began_at`` is the start of the process on ``clock``. ``read_warmup`` reads
        from a service's source what its cold servers stand.
        """
        self._settings = settings
        self._loop = NodeLoop(settings, TICK_INTERVAL_SECONDS, began_at, clock)
        self._send_order = send_order
        self._timing = make_directed_timing(settings)
        self._order_tasks: set[asyncio.Task[None]] = set()
        self._state = state = ControlState()
        if read_warmup is not None:
            state.read_warmup = read_warmup
        self._unreported: dict[str, UnreportedHeartbeat] = {}
        self._servers_reported_at = 0.0
        voters = settings.seed_names if settings.node.forming else ()
        if settings.node.name not in voters:
            voters = ()
        self._group = open_group(
            CONTROL_GROUP,
            settings.node.name,
            Path(settings.node.data_folder) / CONTROL_GROUP,
            voters,
            make_consensus_timing(settings),
            Random(),
            state,
            self._loop.clock(),
            began_at=began_at,
        )
        self._group.replica.join_peers = settings.seed_names
        self._group.replica.voter_target = count_voters(settings)
        self._member = ControlMember(
            MemberConfig(
                settings.node.name,
                {},
                make_lease_timing(settings),
                self._timing,
                settings.node.availability_zone,
            ),
            {CONTROL_GROUP: self._group},
            state,
            self._loop.events,
            self._loop.metrics,
            self._loop.send,
            lambda task: task(),
            self._loop.clock,
            self._start_order,
        )
        self._calls = CallTable(settings.seed_names, self._loop.send)
        self._waiting_hosts = WaitingHosts(self._loop.connect, self._loop.disconnect)
        self._stopping = asyncio.Event()
        self._stop_requested_at = 0.0
        self._http_server: HttpServer | None = None
        self._group_lines = GroupLines(
            CONTROL_GROUP,
            self._group.replica,
            self._loop.lines,
            self._loop.metrics,
            self._loop.is_link_open,
        )
        machine = measure_machine(settings.machine.memory_mb, settings.machine.max_fds)
        self._guard = make_client_guard(machine, CONTROL_SHARES)
        self._metrics_server = make_metrics_server(self._loop.metrics, self._guard)
        self._disk_error = ""
        self._apply_error = ""
        self._are_rows_behind = False

    async def run(self, handler: Handler) -> None:
        """Serve until stopped; ``handler`` handles requests at the control address."""
        self._loop.start(self._receive, self._tick, self._member.flush)
        guard = self._guard
        self._http_server = HttpServer(
            handler, CONTROL_LIMITS, guard.memory, guard.max_connections
        )
        guard.servers = (self._http_server, self._metrics_server)
        await self._http_server.start(self._settings.listen.control)
        if self._settings.listen.metrics:
            await self._metrics_server.start(self._settings.listen.metrics)
        self._loop.log_started(
            forming=self._settings.node.forming,
            log_index=self._group.replica.log.last_index,
            **guard.describe(),
        )
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
        """Hand over the leadership, answer requests in progress, and close."""
        server = self._http_server
        assert server is not None
        self._loop.lines.add("stopping", busy=server.busy_count)
        self._report_servers()
        is_leader = self._group.replica.role == Role.LEADER
        self._member.hand_over(self._loop.clock())
        self._loop.schedule_pass()
        grace = self._settings.bounds.stop_grace_s
        wait = HANDOVER_SECONDS if is_leader else LAST_MESSAGES_SECONDS
        handover_wait = asyncio.create_task(asyncio.sleep(wait))
        await server.finish(plan_drain(self._stop_requested_at, grace).end)
        await handover_wait
        self._member.close()
        return {}

    @property
    def control_address(self) -> str:
        """Return the ``ip:port`` for calls of backend servers and operators."""
        return self._settings.listen.control

    def choose_heartbeat_address(self, heartbeat: ServerHeartbeat) -> str:
        """Return where a server sends its next heartbeats; empty for any node.

        The leader alone names holds, so servers that it tells call it directly.
        """
        leader = self._group.replica.leader
        if self._is_told_by_heartbeat(heartbeat) and leader:
            return f"{leader}:{self.control_address.rpartition(':')[2]}"
        if heartbeat.zone == self._settings.node.availability_zone:
            return self.control_address
        return ""

    def _is_told_by_heartbeat(self, heartbeat: ServerHeartbeat) -> bool:
        """Return whether a server hears in answers to heartbeats what it holds."""
        if self._timing.granted_by != GrantedBy.HEARTBEAT:
            return False
        document = self._state.route_store.document
        return any(
            service.keyed and service.name == heartbeat.service
            for service in document.services
        )

    def log_unreadable(self, path: str, detail: str) -> None:
        """Log a call of a server or an operator that cannot be read."""
        self._loop.lines.add("call-unreadable", path=path, detail=detail[:300])

    async def receive_heartbeat(
        self, heartbeat: ServerHeartbeat
    ) -> HeartbeatAccepted | Refusal:
        """Handle a heartbeat of a backend server.

        A heartbeat that repeats the committed row is acknowledged here and reported
        to the leader later, together with others. Any other is sent to the leader, also
        each one of a server that is granted its keys by the answer: without the leader
        it is refused, so that the server calls another node.
        """
        self._record_cold(heartbeat)
        told = self._is_told_by_heartbeat(heartbeat)
        if not told and self._repeats_committed_row(heartbeat):
            self._unreported[heartbeat.name] = UnreportedHeartbeat(
                heartbeat.sequence, self._loop.clock(), heartbeat.born
            )
            return HeartbeatAccepted()
        answer = await self._call(heartbeat)
        if isinstance(answer, HeartbeatAccepted | Refusal):
            return answer
        return _make_no_leader_refusal(Step.ANNOUNCE)

    def _record_cold(self, heartbeat: ServerHeartbeat) -> None:
        """Record what a heartbeat says of a cold server, and log a change."""
        cold_seconds = heartbeat.cold_ms / 1000
        row = self._state.servers.get(heartbeat.name)
        if row is not None and 0 < heartbeat.born < row.incarnation:
            return  # A former life says nothing of the present one.
        if not 0 <= cold_seconds <= MAX_COLD_SECONDS:
            self._loop.lines.add(
                "warmup-ignored", server=heartbeat.name, seconds=cold_seconds
            )
            return
        if self._member.cold.receive_heartbeat(heartbeat, self._loop.clock()):
            self._loop.lines.add(
                "server-cold" if cold_seconds else "server-warm",
                server=heartbeat.name,
                seconds=round(cold_seconds, 3),
                sequence=heartbeat.sequence,
            )

    async def order_evacuation(self, zone: str, *, evacuated: bool) -> Done | Refusal:
        """Evacuate an availability zone or take it back, through the leader."""
        seen_revision = self._state.revision
        late = await self._refuse_late_order()
        if late is not None:
            result: Done | Refusal = late
        elif zone not in self._list_known_zones():
            detail = f"no such availability zone: {zone[:MAX_LOGGED_ZONE_LENGTH]!r}"
            result = Refusal(Reason.BAD_REQUEST, Step.PARSE, detail=detail)
        else:
            command = EvacuateZone(zone, evacuated, seen_revision)
            body = await self._call_raw(Propose(COMMANDS.encode(command)))
            result = _make_no_leader_refusal(Step.COMMIT)
            if body is not None:
                result = RESULTS.decode(body)
        self._loop.lines.add(
            "evacuation-ordered",
            zone=zone[:MAX_LOGGED_ZONE_LENGTH],
            order="start" if evacuated else "end",
            outcome=get_outer_name(type(result)),
            detail=result.detail if isinstance(result, Refusal) else "",
        )
        return result

    async def _refuse_late_order(self) -> Refusal | None:
        """Return why an order is not carried out that may have waited unread.

        Its operator may have sent it to another node meanwhile, had it accepted or
        refused there, and sent others. One who has left is seen to do so right after
        the order was read, which cancels this task.
        """
        if self._loop.stalls.may_read_late():
            detail = "this node stood still, and the order may be outdated"
            return Refusal(Reason.OUTDATED, Step.PARSE, detail=detail)
        await asyncio.sleep(OPERATOR_CHECK_SECONDS)
        return None

    def log_ignored_body(self, path: str, size: int) -> None:
        """Log that a call has a body although it needs none."""
        self._loop.lines.add("call-body-ignored", path=path, bytes=size)

    def _list_known_zones(self) -> set[str]:
        """Return the zones of the settings, of the servers and of the hosts."""
        zones = {self._settings.node.availability_zone}
        zones.update(self._settings.availability_zones)
        zones.update(row.zone for row in self._state.servers.values())
        zones.update(host.zone for host in self._state.hosts.values())
        return zones

    def _repeats_committed_row(self, heartbeat: ServerHeartbeat) -> bool:
        """Return whether a heartbeat repeats the committed row of its server.

        Return False on the leader, which handles every heartbeat itself, and on a
        node whose rows may be outdated.
        """
        replica = self._group.replica
        now = self._loop.clock()
        if self._group.is_degraded:
            # This node does not apply what is committed meanwhile.
            return False
        if (
            replica.role == Role.LEADER
            or now - replica.last_contact_at > LEADER_CONTACT_TIMEOUT_SECONDS
        ):
            return False
        row = self._state.servers.get(heartbeat.name)
        return (
            row is not None
            and not heartbeat.ended
            and heartbeat.born in (0, row.incarnation)
            and (row.service, row.address, row.stopping)
            == (heartbeat.service, heartbeat.address, heartbeat.leaving)
        )

    def _report_servers(self) -> None:
        """Report heartbeats acknowledged since the last report to the leader.

        Without a leader, or a link to it, they are kept for the next reports, but not
        for long: the leader takes a report as a sign of life at that time.
        """
        since = self._loop.clock() - UNREPORTED_SECONDS
        recent = {n: h for n, h in self._unreported.items() if h.received_at > since}
        self._unreported = recent
        leader = self._group.replica.leader
        if not leader or not recent:
            return
        sequences = tuple((name, heard.sequence) for name, heard in recent.items())
        lives = tuple(heard.born for heard in recent.values())
        if self._loop.send(leader, ServersHeard(sequences, lives=lives)):
            self._unreported = {}

    async def put_routes(self, command: PutRoutes | ChangeRoutes) -> Done | Refusal:
        """Commit a change of the route document through the leader.

        A document that would be too large for the memory is refused.
        """
        refusal = await self._refuse_late_order()
        if refusal is None:
            refusal = self._refuse_large_document(command)
        if refusal is not None:
            return self._log_routes_put(command, refusal)
        body = await self._call_raw(Propose(COMMANDS.encode(command)))
        if body is None:
            return _make_no_leader_refusal(Step.COMMIT)
        return self._log_routes_put(command, RESULTS.decode(body))

    def _refuse_large_document(
        self, command: PutRoutes | ChangeRoutes
    ) -> Refusal | None:
        """Return why a change is refused that makes the document too large."""
        current = self._state.route_store.document
        match command:
            case PutRoutes():
                document = command.document
            case ChangeRoutes():
                document = apply_change(current, command.change)
        size = count_source_bytes(document)
        if size <= max(MAX_DOCUMENT_BYTES, count_source_bytes(current)):
            return None
        detail = f"the document has {size} bytes, {MAX_DOCUMENT_BYTES} are allowed"
        return Refusal(Reason.BODY_TOO_LARGE, Step.PARSE, detail=detail)

    def _log_routes_put(
        self, command: PutRoutes | ChangeRoutes, result: Done | Refusal
    ) -> Done | Refusal:
        """Log the outcome of a change of the route document, and return it."""
        self._loop.lines.add(
            "routes-put",
            base=command.base,
            outcome=get_outer_name(type(result)),
            detail=result.detail if isinstance(result, Refusal) else "",
        )
        return result

    async def read_routes(self) -> RouteDocument | Refusal:
        """Return the current route document, as confirmed by the leader.

        The leader sends the document only if this node has another version.
        """
        own = self._state.route_store.document
        answer = await self._call(ReadRoutes(own.version))
        if isinstance(answer, RoutesUnchanged):
            return own
        if isinstance(answer, RouteDocument):
            return answer
        return _make_no_leader_refusal(Step.COMMIT)

    async def _call(self, message: object) -> Any:
        """Call the leader and return its answer, or None after the timeout."""
        body = await self._call_raw(message)
        return None if body is None else CALLS.decode(body)

    async def _call_raw(self, message: object) -> bytes | None:
        """Call the leader and return the encoded answer, or None after the timeout."""
        future: asyncio.Future[bytes | None] = (
            asyncio.get_running_loop().create_future()
        )

        def set_answer(answer: bytes | None) -> None:
            if not future.done():
                future.set_result(answer)

        call_id = self._calls.start(
            CONTROL_GROUP,
            CALLS.encode(message),
            CALL_TIMEOUT_SECONDS,
            set_answer,
            self._loop.clock(),
        )
        self._loop.schedule_pass()
        try:
            return await future
        except asyncio.CancelledError:
            # The caller has left, and may have sent the same to another node.
            self._calls.cancel(call_id)
            raise

    def _start_order(self, order: Order) -> None:
        """Start a task that sends an order."""
        task = asyncio.get_running_loop().create_task(self._execute_order(order))
        self._order_tasks.add(task)
        task.add_done_callback(self._order_tasks.discard)

    async def _execute_order(self, order: Order) -> None:
        """Send an order, unless the leadership is lost, and report its result."""
        kind = get_outer_name(type(order))
        if not self._group.is_settled_leader(self._loop.clock()):
            result = OrderResult(order, OrderOutcome.NOT_SENT, detail="not leading")
        else:
            timeout = self._timing.order_timeout
            if kind == "ReleaseOrder":
                timeout = self._timing.release_timeout
            result = await self._send_order(order, timeout)
        if kind == "ReleaseOrder" or result.outcome != OrderOutcome.DONE:
            self._loop.lines.add(
                "order",
                kind=kind,
                server=order.server.name,
                low=getattr(order, "low", ""),
                high=getattr(order, "high", ""),
                epoch=getattr(order, "epoch", ""),
                outcome=result.outcome,
                detail=result.detail,
            )
        self._member.complete_order(result, self._loop.clock())
        self._loop.schedule_pass()

    def _receive(self, received: ReceivedMessage, now: float) -> None:
        """Handle a message from a link."""
        sender, message = received
        match message:
            case ConsensusMessage():
                self._member.receive_consensus(sender, message, now)
            case HostRenew():
                if sender == message.host.name:
                    self._set_narrow_link(message)
                    self._waiting_hosts.receive_renewal(
                        sender, self._group.replica.leader
                    )
                self._member.receive_renewal(sender, message, now)
            case NearRenew():
                self._set_narrow_link(message.renew)
                self._member.receive_near_renewal(sender, message, now)
            case ServeNear(_, reported_at):
                self._member.confirm_near_report(now, reported_at)
            case LeavingServers():
                self._member.receive_leaving_servers(message, now)
            case ServerNeeds():
                self._member.receive_server_needs(message, now)
            case ServerLoads(loads):
                self._member.receive_server_loads(sender, loads, now)
            case HostsNear():
                self._member.receive_near_report(sender, message, now)
            case CallRequest():
                self._member.receive_call(sender, message, now)
            case CallAnswer():
                self._calls.answer(sender, message, now)
            case ServersHeard(sequences, cold, lives):
                self._member.receive_heard_servers(sequences, now, lives)
                self._member.cold.receive_news(cold, now)

    def _set_narrow_link(self, renewal: HostRenew) -> None:
        """Have the link to a host fit its machine's, before the first answer."""
        self._loop.set_narrow_link(renewal.host.name, is_narrow=renewal.has_narrow_link)

    def _tick(self, now: float) -> None:
        """Run the periodic tasks."""
        replica = self._group.replica
        names = [voter.name for voter in replica.configuration.voters]
        self._calls.set_voters(tuple(names))
        self._calls.set_leader(CONTROL_GROUP, replica.leader)
        self._calls.tick(now)
        if now - self._servers_reported_at >= SERVER_REPORT_INTERVAL_SECONDS:
            self._servers_reported_at = now
            self._loop.log_refused_clients(self._guard)
            self._report_servers()
        self._member.tick(now)
        self._waiting_hosts.tick(replica.leader, self._settings.node.name)
        self._log_disk_change()
        self._log_apply_error()
        self._log_rows_behind(now)
        self._group_lines.tick(now)

    def _log_disk_change(self) -> None:
        """Log when the disk starts to refuse writes and when it accepts them again."""
        error = self._group.disk_error
        if bool(error) != bool(self._disk_error):
            self._loop.lines.add(
                "disk-lost" if error else "disk-regained",
                error=error or self._disk_error,
                log_index=self._group.replica.log.last_index,
                refusals=self._group.disk_failures,
            )
        self._disk_error = error

    def _log_apply_error(self) -> None:
        """Log once that applying the log needs a newer version."""
        error = self._group.apply_error
        if error and error != self._apply_error:
            applied = self._group.applied_index
            self._loop.lines.add("apply-stopped", error=error, log_index=applied)
        self._apply_error = error

    def _log_rows_behind(self, now: float) -> None:
        """Log when a follower stops applying what is committed, and when it goes on."""
        group, replica = self._group, self._group.replica
        is_behind = (
            replica.role == Role.FOLLOWER
            and replica.has_seen_leader
            and now - group.caught_up_at > LEADER_TIMEOUT_SECONDS
        )
        if is_behind == self._are_rows_behind:
            return
        self._are_rows_behind = is_behind
        self._loop.lines.add(
            "rows-behind" if is_behind else "rows-current",
            leader=replica.leader,
            applied=group.applied_index,
            committed=replica.leader_commit_index,
            error=group.disk_error or group.apply_error,
        )


def _make_no_leader_refusal(step: Step) -> Refusal:
    """Return the refusal if no leader answered; the call may have taken effect."""
    return Refusal(Reason.NO_LEADER, step, detail="no leader answered in time")
