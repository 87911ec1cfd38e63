"""A control node: a member of the replicated log, and the leader's duties."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path
from random import Random
from typing import Any, Final

from ..codec import get_outer_name
from ..consensus import Role, open_group
from ..control.calls import (
    CALLS,
    HeartbeatAccepted,
    Propose,
    ReadRoutes,
    RoutesUnchanged,
)
from ..control.commands import COMMANDS, RESULTS, ChangeRoutes, Done, PutRoutes
from ..control.directed_models import Order, OrderOutcome, OrderResult, ServerHeartbeat
from ..control.member import CONTROL_GROUP, ControlMember, MemberConfig
from ..control.state import ControlState
from ..drain import plan_drain
from ..errors import Reason, Refusal, Step
from ..http import HttpServer, Request, Response, WireLimits
from ..routes import RouteDocument
from ..transport.calls import CallTable
from ..transport.links import ReceivedMessage
from ..transport.messages import (
    CallAnswer,
    CallRequest,
    ConsensusMessage,
    HostRenew,
    HostsNear,
    NearRenew,
    ServeNear,
    ServersHeard,
)
from .loop import Clock, NodeLoop
from .metrics import make_metrics_server
from .settings import NodeSettings
from .timing import make_consensus_timing, make_directed_timing, make_lease_timing
from .waiting import WaitingHosts

__all__ = ["ControlNode", "OrderSender"]

TICK_SECONDS: Final = 0.05
# A caller waits one second; it is told before that that nothing is known.
CALL_SECONDS: Final = 0.9
# A follower that heard no heartbeat for this long may be cut off.
LEADER_HEARD_SECONDS: Final = 0.6
TELL_HEARD_SECONDS: Final = 1.0
HAND_OVER_SECONDS: Final = 0.3

OrderSender = Callable[[Order, float], Awaitable[OrderResult]]
Handler = Callable[[Request], Awaitable[Response]]


class ControlNode:
    """Everything of one control node.

    ``send_order`` carries an order to a backend server within some seconds.
    """

    def __init__(
        self,
        settings: NodeSettings,
        send_order: OrderSender,
        began_at: float,
        clock: Clock = time.monotonic,
    ) -> None:
        """Open the data folder and bind the link; the process began at ``began_at``."""
        self._settings = settings
        self._loop = NodeLoop(settings, TICK_SECONDS, began_at, clock)
        self._send_order = send_order
        self._timing = make_directed_timing(settings)
        self._orders: set[asyncio.Task[None]] = set()
        self._state = state = ControlState()
        self._heard: dict[str, int] = {}
        self._told_heard_at = 0.0
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
        self._waiting = WaitingHosts(self._loop.connect, self._loop.disconnect)
        self._stopping = asyncio.Event()
        self._told_at = 0.0
        self._server: HttpServer | None = None
        self._metrics = make_metrics_server(settings, self._loop.metrics)
        self._role = ""
        self._disk_error = ""
        self._newer_form = ""

    # Life

    async def run(self, handler: Handler) -> None:
        """Serve until stopped; ``handler`` answers at the control address."""
        self._loop.start(self._receive, self._tick, self._member.flush)
        self._server = HttpServer(handler, WireLimits())
        await self._server.start(self._settings.listen.control)
        if self._metrics is not None:
            await self._metrics.start(self._settings.listen.metrics)
        self._loop.log_started(
            forming=self._settings.node.forming,
            log_index=self._group.replica.log.last_index,
        )
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
        """Hand the leadership over, answer the calls under way, and close."""
        server = self._server
        assert server is not None
        self._loop.lines.add("stopping", busy=server.busy_count)
        self._tell_heard()
        self._member.hand_over(self._loop.clock())
        self._loop.schedule_pass()
        grace = self._settings.bounds.stop_grace_s
        handed_over = asyncio.create_task(asyncio.sleep(HAND_OVER_SECONDS))
        await server.finish(plan_drain(self._told_at, grace).end)
        await handed_over
        self._member.close()
        return {}

    # Calls from the control address

    @property
    def control_address(self) -> str:
        """Return the ``ip:port`` at which this node is called."""
        return self._settings.listen.control

    def is_near(self, beat: ServerHeartbeat) -> bool:
        """Return whether a server is in this node's availability zone."""
        return beat.zone == self._settings.node.availability_zone

    async def hear(self, beat: ServerHeartbeat) -> HeartbeatAccepted | Refusal:
        """Take a backend server's announcement.

        One that changes nothing is acknowledged here, and told to the leader with
        others; what binds goes to the leader at once.
        """
        if self._is_known(beat):
            self._heard[beat.name] = beat.sequence
            return HeartbeatAccepted()
        answer = await self._call(beat)
        if isinstance(answer, HeartbeatAccepted | Refusal):
            return answer
        return _no_leader(Step.ANNOUNCE)

    def _is_known(self, beat: ServerHeartbeat) -> bool:
        """Return whether a beat only repeats what is committed.

        A node that has not heard the leader just now knows nothing for sure.
        """
        replica = self._group.replica
        now = self._loop.clock()
        if self._group.is_degraded:
            # What is committed meanwhile is not known here.
            return False
        if (
            replica.role == Role.LEADER
            or now - replica.last_contact_at > LEADER_HEARD_SECONDS
        ):
            return False
        row = self._state.servers.get(beat.name)
        return (
            row is not None
            and not beat.ended
            and (row.service, row.address, row.stopping)
            == (beat.service, beat.address, beat.leaving)
        )

    def _tell_heard(self) -> None:
        """Tell the leader which servers were heard here since the last time."""
        if not self._heard:
            return
        heard, self._heard = self._heard, {}
        leader = self._group.replica.leader
        if leader:
            self._loop.send(leader, ServersHeard(tuple(heard.items())))

    async def put_routes(self, command: PutRoutes | ChangeRoutes) -> Done | Refusal:
        """Have a change of the route document committed."""
        body = await self._call_raw(Propose(COMMANDS.encode(command)))
        if body is None:
            return _no_leader(Step.COMMIT)
        result: Done | Refusal = RESULTS.decode(body)
        self._loop.lines.add(
            "routes-put",
            base=command.base,
            outcome=get_outer_name(type(result)),
            detail=result.detail if isinstance(result, Refusal) else "",
        )
        return result

    async def read_routes(self) -> RouteDocument | Refusal:
        """Return the newest route document, as the leader is sure of it.

        Where it is the one that is committed here it does not travel.
        """
        own = self._state.route_store.document
        answer = await self._call(ReadRoutes(own.version))
        if isinstance(answer, RoutesUnchanged):
            return own
        if isinstance(answer, RouteDocument):
            return answer
        return _no_leader(Step.COMMIT)

    async def _call(self, message: object) -> Any:
        """Call the leader; None where no answer came in time."""
        body = await self._call_raw(message)
        return None if body is None else CALLS.decode(body)

    async def _call_raw(self, message: object) -> bytes | None:
        """Call the leader, and return the answer's bytes."""
        future: asyncio.Future[bytes | None] = (
            asyncio.get_running_loop().create_future()
        )

        def finish(answer: bytes | None) -> None:
            if not future.done():
                future.set_result(answer)

        self._calls.start(
            CONTROL_GROUP,
            CALLS.encode(message),
            CALL_SECONDS,
            finish,
            self._loop.clock(),
        )
        self._loop.schedule_pass()
        return await future

    # Orders to backend servers

    def _start_order(self, order: Order) -> None:
        """Send an order in a task of its own."""
        task = asyncio.get_running_loop().create_task(self._carry_order(order))
        self._orders.add(task)
        task.add_done_callback(self._orders.discard)

    async def _carry_order(self, order: Order) -> None:
        """Send an order, unless the leadership was lost, and take its result."""
        kind = get_outer_name(type(order))
        if not self._group.is_settled_leader(self._loop.clock()):
            result = OrderResult(order, OrderOutcome.NOT_SENT, detail="not leading")
        else:
            waits = self._timing.order_timeout
            if kind == "ReleaseOrder":
                waits = self._timing.release_timeout
            result = await self._send_order(order, waits)
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

    # Loop

    def _receive(self, received: ReceivedMessage, now: float) -> None:
        """Take a message."""
        sender, message = received
        match message:
            case ConsensusMessage():
                self._member.receive_consensus(sender, message, now)
            case HostRenew():
                if sender == message.host.name:
                    self._waiting.receive_renewal(sender, self._group.replica.leader)
                self._member.receive_renewal(sender, message, now)
            case NearRenew(renew):
                self._member.receive_near_renewal(sender, renew, now)
            case ServeNear():
                self._member.confirm_near_report(now)
            case HostsNear():
                self._member.receive_near_report(sender, message, now)
            case CallRequest():
                self._member.receive_call(sender, message, now)
            case CallAnswer():
                self._calls.answer(sender, message, now)
            case ServersHeard(heard):
                self._member.receive_heard_servers(heard, now)

    def _tick(self, now: float) -> None:
        """Let time pass."""
        replica = self._group.replica
        names = [voter.name for voter in replica.configuration.voters]
        known = dict.fromkeys((*names, *self._settings.seed_names))
        self._calls.members = tuple(known)
        self._calls.set_leader(CONTROL_GROUP, replica.leader)
        self._calls.tick(now)
        if now - self._told_heard_at >= TELL_HEARD_SECONDS:
            self._told_heard_at = now
            self._tell_heard()
        self._member.tick(now)
        self._waiting.tick(replica.leader, self._settings.node.name)
        self._tell_disk()
        self._tell_newer_form()
        if replica.role != self._role:
            self._role = replica.role
            self._loop.lines.add(
                "role",
                role=replica.role,
                term=replica.hard_state.term,
                leader=replica.leader,
            )

    def _tell_disk(self) -> None:
        """Write a line when the disk is lost or regained."""
        error = self._group.disk_error
        if bool(error) != bool(self._disk_error):
            self._loop.lines.add(
                "disk-lost" if error else "disk-regained",
                error=error or self._disk_error,
                log_index=self._group.replica.log.last_index,
                refusals=self._group.disk_failures,
            )
        self._disk_error = error

    def _tell_newer_form(self) -> None:
        """Write a line when only a newer version can go on applying the log."""
        error = self._group.apply_error
        if error and error != self._newer_form:
            applied = self._group.applied_index
            self._loop.lines.add("apply-stopped", error=error, log_index=applied)
        self._newer_form = error


def _no_leader(step: Step) -> Refusal:
    """Return that no leader answered in time; what became of it is not known."""
    return Refusal(Reason.NO_LEADER, step, detail="no leader answered in time")
