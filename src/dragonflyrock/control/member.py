"""A node's members of the control group and of the ledger groups."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from functools import partial
from typing import Final, NamedTuple

from ..codec import CodecError, get_outer_name
from ..consensus import Group, Member, Role, membership
from ..errors import Reason, Refusal, Step
from ..observe import EventRing
from ..observe.metrics import Metrics
from ..transport.consensus import CONSENSUS
from ..transport.messages import (
    CallAnswer,
    CallRequest,
    ConsensusMessage,
    HostRenew,
    HostsNear,
    HostUpdate,
    LeavingServers,
    LinkMessage,
    NearRenew,
    ServeNear,
    ServerLoad,
    ServerLoads,
    ServerNeeds,
    ServersHeard,
)
from ..transport.packing import UpdatePacker
from . import calls
from . import commands as c
from .answers import answer_call, check_command, find_result_codec
from .cold_servers import ColdServers
from .const import CONTROL_GROUP
from .directed_models import DirectedTiming, Order, OrderResult, ServerHeartbeat
from .effects import SendOrder
from .leader import (
    ControlLeader,
    Effect,
    ProposeCommand,
    PushGrants,
    PushUpdate,
    ServicePolicy,
)
from .load_hub import LoadHub
from .member_notices import MemberNotices
from .move_events import report_moves
from .near import LEADER_TIMEOUT_SECONDS, NearHosts
from .pushers import NoPusher, Pusher
from .server_needs import ServerNeedFilter
from .state import ControlState
from .tables import LeaderTiming

__all__ = ["CONTROL_GROUP", "ControlMember", "MemberConfig", "Pusher"]

_LOGGER = logging.getLogger(__name__)

MAX_PENDING_RENEWALS_PER_TICK: Final = 500

Send = Callable[[str, LinkMessage], object]
Post = Callable[[Callable[[], None]], None]


class MemberConfig(NamedTuple):
    """The settings of a member.

    ``directed`` is None unless servers are granted their ranges by orders.
    """

    name: str
    services: Mapping[str, ServicePolicy]
    timing: LeaderTiming
    directed: DirectedTiming | None = None
    zone: str = ""


class PendingRenewal(NamedTuple):
    """A renewal that was received while no leader could answer it, and when."""

    renewal: HostRenew
    received_at: float


class ControlMember:
    """The groups of this node, and the leader's tasks while it leads control."""

    def __init__(
        self,
        config: MemberConfig,
        groups: dict[str, Group],
        state: ControlState,
        events: EventRing,
        metrics: Metrics,
        send: Send,
        post: Post,
        clock: Callable[[], float],
        send_order: Callable[[Order], None] | None = None,
    ) -> None:
        """Start with opened groups, one of which is the control group."""
        self._config = config
        self._groups = groups
        self._control = groups[CONTROL_GROUP]
        self._state = state
        self._events = events
        self._metrics = metrics
        self._send = send
        self._clock = clock
        self._leader: ControlLeader | None = None
        self._pushed_revision = 0
        self._pending_renewals: dict[str, PendingRenewal] = {}
        self._proposed_calls: dict[tuple[str, str, int], bytes] = {}
        self._send_order = send_order
        self._packer = UpdatePacker()
        self._notices = MemberNotices()
        self._need_filter = ServerNeedFilter()
        lease_ms = int(config.timing.entry_lease * 1000)
        self._near = NearHosts(config.zone, state, lease_ms)
        self._near_revision = 0
        self._load_hub = LoadHub()
        self.cold = ColdServers()
        self._evacuated_zones = frozenset[str]()
        self._stopping = False
        self._started_at = clock()
        self._confirmed_at = float("-inf")
        self._pusher = self._make_pusher(post)

    def _make_pusher(self, post: Post) -> Pusher:
        """Return the sender of sets of grants; directed servers get none."""
        if self._config.directed is not None:
            return NoPusher()
        from .pusher import GrantPusher  # noqa: PLC0415 (its HTTP client is large)

        return GrantPusher(
            lambda holder, revision: post(partial(self._acknowledge, holder, revision)),
            lambda: self._control.is_settled_leader(self._clock()),
        )

    def receive_consensus(
        self, sender: str, message: ConsensusMessage, now: float
    ) -> None:
        """Handle a consensus message of a group."""
        group = self._groups.get(message.group)
        if group is None:
            return
        try:
            body = CONSENSUS.decode(message.body)
        except CodecError as error:
            self._metrics.dropped_frames.inc()
            _LOGGER.warning("step=consensus peer=%s: dropped: %s", sender, error)
            return
        member = Member(sender, message.sender_identity)
        group.receive(member, message.target_identity, body, now)

    def receive_renewal(self, sender: str, renewal: HostRenew, now: float) -> None:
        """Renew an entry host's lease, or forward the renewal to the leader once.

        Without a leader the renewal is stored until there is one: a lease that is still
        valid after the election may expire before the host's next renewal.
        """
        leader = self._settled_leader(now)
        if leader is None:
            if sender == renewal.host.name:
                self._forward_renewal(PendingRenewal(renewal, now))
            return
        update, effects = leader.renew_host(renewal, self._control.applied_index, now)
        self._send_update(renewal.host.name, update)
        self._send_members(renewal, now)
        self._run_effects(effects)
        near = leader.choose_near_member(renewal.host, now)
        if near:
            self._send(renewal.host.name, ServeNear(near))

    def receive_near_renewal(self, sender: str, near: NearRenew, now: float) -> None:
        """Send a host of this zone its rows, or forward its renewal to the leader."""
        renewal = near.renew
        if not self._has_current_rows(now):
            self.receive_renewal(sender, renewal, now)
            return
        replica = self._control.replica
        update = self._near.renew(
            renewal,
            replica.hard_state.term,
            replica.leader,
            self._control.applied_index,
            now,
        )
        self._send_update(renewal.host.name, update)
        self._send_members(renewal, now)
        takes_loads = near.takes_loads and not renewal.leaving
        if takes_loads and self._load_hub.add_host(renewal.host.name, now):
            # This shows the host that this node understands it too.
            self._send(renewal.host.name, ServerLoads())

    def receive_server_loads(
        self, sender: str, loads: tuple[ServerLoad, ...], now: float
    ) -> None:
        """Record what a host has heard of servers, for the other hosts."""
        self._load_hub.receive(sender, loads, now)

    def _send_load_digest(self, now: float) -> None:
        """Tell the hosts of this node what the others have heard of servers."""
        digest = self._load_hub.make_digest(now)
        if digest is None:
            return
        names, message = digest
        for name in names:
            self._send(name, message)

    def _sync_zones(self, now: float) -> None:
        """Take the servers of a zone that was taken back for cold until they speak."""
        zones = frozenset(self._state.list_evacuated_zones())
        returned, self._evacuated_zones = self._evacuated_zones - zones, zones
        for row in self._state.servers.values() if returned else ():
            warmup = self._state.find_warmup(row.service)
            if row.zone in returned and warmup is not None:
                self.cold.table.assume(row.name, warmup.seconds, now)

    def _tell_cold_servers(self, now: float) -> None:
        """Tell this node's hosts, and the other control nodes, of cold servers."""
        news = self.cold.pop_news(now)
        if news is None:
            return
        self.cold.retain(self._state.servers, now)
        for host, cold in news.hosts:
            self._send(host, ServerLoads((), cold))
        if not news.nodes:
            return
        configuration = self._control.replica.configuration
        for member in configuration.voters + configuration.learners:
            if member.name != self._config.name:
                self._send(member.name, ServersHeard((), news.nodes))

    def receive_near_report(self, sender: str, report: HostsNear, now: float) -> None:
        """Handle a follower's report of its hosts, and confirm it, while leading."""
        leader = self._settled_leader(now)
        if leader is not None:
            self._run_effects(leader.receive_near_report(sender, report, now))
            if report.zone:
                self._send(sender, ServeNear(sender, report.sent_at))

    def receive_leaving_servers(self, message: LeavingServers, now: float) -> None:
        """Mark reported servers as stopping, or pass the report on to the leader."""
        leader = self._settled_leader(now)
        if leader is not None:
            self._run_effects(leader.stop_leaving_servers(message.holders))
            return
        name = self._control.replica.leader
        if name not in ("", self._config.name) and not message.forwarded:
            self._send(name, message._replace(forwarded=True))

    def receive_server_needs(self, message: ServerNeeds, now: float) -> None:
        """Record what servers take, or pass the report on to the leader."""
        leader = self._settled_leader(now)
        if leader is not None:
            leader.receive_server_needs(message.needs, now)
            return
        name = self._control.replica.leader
        if name in ("", self._config.name) or message.forwarded:
            return
        holders = {row.holder for row in self._state.servers.values()}
        self._need_filter.retain(holders)
        needs = self._need_filter.select(message.needs, now)
        if needs:
            self._send(name, ServerNeeds(needs, forwarded=True))

    def confirm_near_report(self, now: float, reported_at: float = 0.0) -> None:
        """Record that a leader with a quorum has confirmed this member's report.

        ``reported_at`` is when the report was sent; a leader of a former build does not
        say it. An answer to a report of a former process shows nothing.
        """
        if not reported_at:
            self._confirmed_at = now
        elif self._started_at <= reported_at <= now:
            self._confirmed_at = max(self._confirmed_at, reported_at)

    def _has_current_rows(self, now: float) -> bool:
        """Return whether this is a follower that applies what is committed.

        Heartbeats do not prove it: a leader that was cut off together with this member
        sends them for a while, although another leader commits entries by then. Nor do
        they prove that this member has the entries, or can save and apply them.
        """
        return (
            self._is_following(now)
            and self._has_caught_up(now)
            and now - self._confirmed_at < LEADER_TIMEOUT_SECONDS
        )

    def _has_caught_up(self, now: float) -> bool:
        """Return whether this member has lately applied all that was committed."""
        lag = now - self._control.caught_up_at
        return not self._control.is_degraded and lag < LEADER_TIMEOUT_SECONDS

    def _is_following(self, now: float) -> bool:
        """Return whether this is a follower with a recent message of its leader."""
        replica = self._control.replica
        if self._stopping or replica.role != Role.FOLLOWER or not replica.leader:
            return False
        return now - replica.last_contact_at < LEADER_TIMEOUT_SECONDS

    def _tick_near(self, now: float) -> None:
        """Report this member's hosts to the leader, or release them."""
        replica = self._control.replica
        if self._is_following(now):
            report = self._near.make_report(now)
            if report is not None:
                if not self._has_caught_up(now):
                    # The leader assigns no hosts to a member without a zone.
                    report = report._replace(zone="")
                self._send(replica.leader, report)
        if not self._has_current_rows(now):
            self._release_near_hosts()

    def _release_near_hosts(self) -> None:
        """Release this member's hosts, so that they renew elsewhere."""
        for host in self._near.release_hosts():
            self._send(host, ServeNear(""))

    def _push_near(self, now: float) -> None:
        """Send this member's hosts the rows that were applied."""
        replica = self._control.replica
        self._near_revision = self._state.revision
        applied = self._control.applied_index
        term = replica.hard_state.term
        for host, update in self._near.push(term, replica.leader, applied, now):
            self._send_update(host, update)

    def _forward_renewal(self, pending: PendingRenewal) -> None:
        """Send a renewal to the leader; without one, store the latest of each host."""
        leader = self._control.replica.leader
        name = pending.renewal.host.name
        if leader not in ("", self._config.name):
            self._send(leader, pending.renewal)
            return
        earlier = self._pending_renewals.get(name)
        if earlier is None or earlier.renewal.sent_at <= pending.renewal.sent_at:
            self._pending_renewals[name] = pending

    def _handle_pending_renewals(self, now: float) -> None:
        """Answer or forward the stored renewals, once there is a leader."""
        settled = self._settled_leader(now) is not None
        if not settled and self._control.replica.leader in ("", self._config.name):
            return
        for name in list(self._pending_renewals)[:MAX_PENDING_RENEWALS_PER_TICK]:
            pending = self._pending_renewals.pop(name)
            if now - pending.received_at < self._config.timing.entry_lease:
                self.receive_renewal(name, pending.renewal, now)

    def _send_members(self, renewal: HostRenew, now: float) -> None:
        """Tell a host who the voters are, so that it knows whom else to ask."""
        voters = self._control.replica.configuration.voters
        names = tuple(sorted(voter.name for voter in voters))
        notice = self._notices.make_notice(renewal.host.holder, names, now)
        if notice is not None:
            self._send(renewal.host.name, notice)

    def _send_update(self, host: str, update: HostUpdate) -> None:
        """Send a host an update, packed unless the host is in this process."""
        if self._config.directed is not None:
            self.cold.add_host(host, self._clock())
        same_process = host == self._config.name
        self._send(host, update if same_process else self._packer.pack(update))

    def receive_call(self, sender: str, request: CallRequest, now: float) -> None:
        """Answer a call, or return the name of the group's leader."""
        group = self._groups.get(request.group)
        if group is None or not group.is_settled_leader(now):
            leader = group.replica.leader if group else ""
            self._send(sender, CallAnswer(request.call_id, True, leader, b""))
            return
        answer = partial(self._answer, sender, request.call_id)
        try:
            body = calls.CALLS.decode(request.body)
        except CodecError as error:
            refusal = Refusal(Reason.BAD_REQUEST, Step.PARSE, sender, str(error))
            answer(calls.CALLS.encode(refusal))
            return
        if isinstance(body, calls.Propose):
            self._propose(group, body.command, sender, request.call_id)
        elif isinstance(body, calls.Announcement):
            answer(calls.CALLS.encode(self._announce(body, now)))
        elif isinstance(body, ServerHeartbeat):
            self._receive_heartbeat(body, sender, request.call_id, now)
        else:
            result = answer_call(group, self._state, self._leader, body, now)
            answer(calls.CALLS.encode(result))

    def _answer(self, sender: str, call_id: int, body: bytes) -> None:
        """Send an answer."""
        self._send(sender, CallAnswer(call_id, False, self._config.name, body))

    def _propose(self, group: Group, command: bytes, sender: str, call_id: int) -> None:
        """Commit a command and answer with its result.

        A call that is sent again before its answer adds nothing to the log.
        """
        call = (group.name, sender, call_id)
        if self._proposed_calls.get(call) == command:
            return
        codec = find_result_codec(group.name)
        try:
            check_command(group.name, command)
        except CodecError as error:
            refusal = Refusal(Reason.BAD_REQUEST, Step.COMMIT, sender, str(error))
            self._answer(sender, call_id, codec.encode(refusal))
            return

        def notify(result: object) -> None:
            self._proposed_calls.pop(call, None)
            if result is None:
                # The command may be committed or not; the caller sends it again.
                self._send(sender, CallAnswer(call_id, True, "", b""))
            else:
                self._answer(sender, call_id, codec.encode(result))

        if group.propose(command, notify):
            self._proposed_calls[call] = command
            return
        detail = "too many bytes wait to be committed"
        refusal = Refusal(Reason.OVERLOADED, Step.COMMIT, sender, detail)
        self._answer(sender, call_id, codec.encode(refusal))

    def _announce(
        self, announcement: calls.Announcement, now: float
    ) -> calls.GrantSet | Refusal:
        """Answer a backend server's announcement."""
        leader = self._settled_leader(now)
        if leader is None:
            return Refusal(Reason.NO_LEADER, Step.ANNOUNCE, self._config.name)
        answer, effects = leader.receive_announcement(announcement, now)
        self._run_effects(effects)
        return answer

    def _receive_heartbeat(
        self, heartbeat: ServerHeartbeat, sender: str, call_id: int, received_at: float
    ) -> None:
        """Answer a server's heartbeat, after its commands are committed.

        A command may need another one, as of a new life that leaves already: what is
        acknowledged was taken as a whole.
        """
        now = self._clock()
        leader = self._settled_leader(now)
        if leader is None:
            self._send(sender, CallAnswer(call_id, True, "", b""))
            return
        command = leader.receive_heartbeat(heartbeat, now)
        if isinstance(command, Refusal):
            self._events.add(
                "beat-refused", server=heartbeat.name, detail=command.detail
            )
            self._answer(sender, call_id, calls.CALLS.encode(command))
            return
        if command is None:
            self._answer_heartbeat(heartbeat, sender, call_id, received_at)
            return

        def notify(result: object) -> None:
            if result is None:
                self._send(sender, CallAnswer(call_id, True, "", b""))
            elif isinstance(result, Refusal):
                self._answer(sender, call_id, calls.CALLS.encode(result))
            else:
                self._receive_heartbeat(heartbeat, sender, call_id, received_at)

        known = self._state.servers.get(heartbeat.name)
        if isinstance(command, c.RegisterServer) and known is not None:
            # A row of a former build has no life yet.
            self._metrics.server_restarts.labels().inc(bool(known.incarnation))
        self._events.add(
            "server-changed",
            server=heartbeat.name,
            detail=get_outer_name(type(command)),
        )
        self._control.propose(c.COMMANDS.encode(command), notify)

    def _answer_heartbeat(
        self, heartbeat: ServerHeartbeat, sender: str, call_id: int, received_at: float
    ) -> None:
        """Commit what a heartbeat frees and assigns, then answer with the holds."""
        leader = self._settled_leader(self._clock())
        if leader is None:
            self._send(sender, CallAnswer(call_id, True, "", b""))
            return
        commands = leader.receive_holds(heartbeat, self._clock())
        waiting = len(commands)

        def answer() -> None:
            now = self._clock()
            if self._settled_leader(now) is not leader:
                self._send(sender, CallAnswer(call_id, True, "", b""))
                return
            accepted = leader.answer_heartbeat(heartbeat, received_at, now)
            self._answer(sender, call_id, calls.CALLS.encode(accepted))

        def count_applied() -> None:
            nonlocal waiting
            waiting -= 1
            if not waiting:
                answer()

        for command in commands:
            self._propose_own(command, count_applied)
        if not commands:
            answer()

    def receive_heard_servers(
        self,
        sequences: tuple[tuple[str, int], ...],
        now: float,
        lives: tuple[int, ...] = (),
    ) -> None:
        """Record servers that announced themselves to a follower, while leading."""
        if self._leader is not None and self._control.replica.role == Role.LEADER:
            self._leader.receive_heard_servers(sequences, now, lives)

    def complete_order(self, result: OrderResult, now: float) -> None:
        """Handle the result of an order, also as a leader without a lease."""
        if self._leader is not None and self._control.replica.role == Role.LEADER:
            self._run_effects(self._leader.complete_order(result, now))

    def _acknowledge(self, holder: str, revision: int) -> None:
        """Record that a server has acknowledged pushed grants."""
        if self._leader is not None:
            self._leader.acknowledge(holder, revision)

    def tick(self, now: float) -> None:
        """Run the timed tasks of the groups and of the leader."""
        for group in self._groups.values():
            group.tick(now)
            leading = group.replica.role == Role.LEADER
            self._metrics.leading.labels(group.name).set(leading)
            self._metrics.disk_lost.labels(group.name).set(bool(group.disk_error))
            stopped = bool(group.apply_error)
            self._metrics.apply_stopped.labels(group.name).set(stopped)
            self._metrics.disk_refusals.labels(group.name).set(group.disk_failures)
            log = group.replica.log
            self._metrics.log_bytes.labels(group.name).set(log.payload_bytes)
            snapshot_bytes = len(log.snapshot.payload)
            self._metrics.snapshot_bytes.labels(group.name).set(snapshot_bytes)
        for zone, row in self._state.evacuations.items():
            self._metrics.zone_evacuated.labels(zone).set(row.evacuated)
        self._handle_pending_renewals(now)
        if self._config.directed is not None:
            self._tick_near(now)
            self._send_load_digest(now)
            self._sync_zones(now)
            self._tell_cold_servers(now)
        leader = self._settled_leader(now)
        if leader is not None:
            self._run_effects(leader.tick(now))
            if self._config.directed is not None:
                membership.admit_waiting_member(self._control.replica, now)
                membership.remove_unresponsive_voter(self._control.replica, now)
                membership.remove_unresponsive_learner(self._control.replica, now)
                self._control.replica.member_zones = {
                    **leader.get_member_zones(),
                    self._config.name: self._config.zone,
                }
                membership.demote_surplus_voter(self._control.replica, now)

    def flush(self, now: float) -> None:
        """Persist, send and apply entries; then send the entry hosts changed rows."""
        for group in self._groups.values():
            for item in group.flush(now):
                message = ConsensusMessage(
                    group.name,
                    group.replica.me.identity,
                    item.identity,
                    CONSENSUS.encode(item.message),
                )
                self._send(item.peer, message)
        if self._state.revision > self._near_revision and self._has_current_rows(now):
            self._push_near(now)
        leader = self._settled_leader(now)
        if leader is not None and self._state.revision > self._pushed_revision:
            self._pushed_revision = self._state.revision
            self._run_effects(leader.push_updates(self._control.applied_index, now))
            self._run_effects(leader.tick(now))

    def hand_over(self, now: float) -> None:
        """Hand over the leadership of every group, and release hosts, before a stop."""
        self._stopping = True
        leader = self._control.replica.leader
        if leader and leader != self._config.name:
            # The leader assigns no hosts to a member without a zone.
            self._send(leader, HostsNear(""))
        self._release_near_hosts()
        for group in self._groups.values():
            group.replica.stopping = True
            membership.hand_over_leadership(group.replica, now)

    def close(self) -> None:
        """Close the groups' data folders."""
        self._pusher.close()
        for group in self._groups.values():
            self._metrics.log_syncs.labels(group.name).set(group.sync_count)
            group.close()

    def _settled_leader(self, now: float) -> ControlLeader | None:
        """Return the leader's state while this member leads with a valid lease."""
        replica = self._control.replica
        if replica.role != Role.LEADER:
            self._leader = None
            return None
        if not self._control.is_settled_leader(now):
            return None
        term = replica.hard_state.term
        if self._leader is None or self._leader.term != term:
            self._events.add("leader-elected", detail=f"term {term}")
            _LOGGER.info("leading the control group in term %d", term)
            self._leader = ControlLeader(
                self._config.name,
                term,
                self._state,
                self._config.services,
                self._config.timing,
                self._events,
                now,
                self._config.directed,
                self.cold.table,
            )
            self._pushed_revision = 0
        return self._leader

    def _run_effects(self, effects: list[Effect]) -> None:
        """Carry out the effects of the leader's decisions."""
        for effect in effects:
            match effect:
                case ProposeCommand(command):
                    self._propose_own(command)
                case PushUpdate(host, update):
                    self._send_update(host, update)
                case PushGrants(server, grants):
                    self._pusher.push(server, grants)
                case SendOrder(order) if self._send_order is not None:
                    self._send_order(order)

    def _propose_own(
        self, command: c.Command, on_end: Callable[[], None] = lambda: None
    ) -> None:
        """Propose a command of the leader; call ``on_end`` when applied or failed."""
        leader = self._leader
        assert leader is not None
        report_moves(self._events, self._metrics, command)

        def notify(result: object) -> None:
            leader.complete_proposal(command)
            if isinstance(result, Refusal):
                _LOGGER.info("command %s was refused: %s", command, result.detail)
            on_end()

        if not self._control.propose(c.COMMANDS.encode(command), notify):
            leader.complete_proposal(command)
            on_end()
