"""A member of the control group and of the ledger groups, in a daemon."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from functools import partial
from typing import NamedTuple

from ..codec import CodecError
from ..consensus import Group, Member, Role, membership
from ..errors import Reason, Refusal, Step
from ..observe import EventRing
from ..observe.metrics import Metrics
from ..transport.messages import (
    CONSENSUS,
    CallAnswer,
    CallRequest,
    ConsensusMessage,
    HostRenew,
    HostUpdate,
    LinkMessage,
)
from ..transport.packing import UpdatePacker
from . import calls
from . import commands as c
from .answers import answer_call, check_command, find_result_codec
from .const import CONTROL_GROUP
from .directed_models import DirectedTiming, Order, OrderResult, ServerBeat
from .effects import SendOrder
from .leader import (
    ControlLeader,
    Effect,
    ProposeCommand,
    PushGrants,
    PushUpdate,
    ServicePolicy,
)
from .move_events import note_moves
from .pushers import NoPusher, Pusher
from .state import ControlState
from .tables import LeaderTiming

__all__ = ["CONTROL_GROUP", "ControlMember", "MemberConfig", "Pusher"]

_LOGGER = logging.getLogger(__name__)

Send = Callable[[str, LinkMessage], object]
Post = Callable[[Callable[[], None]], None]


class MemberConfig(NamedTuple):
    """What a member needs of the settings."""

    name: str
    services: Mapping[str, ServicePolicy]
    timing: LeaderTiming
    directed: DirectedTiming | None = None


class ControlMember:
    """Groups on this host, and the leader's duties while it leads control."""

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
        """Take the opened groups, of which one is control."""
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
        self._send_order = send_order
        self._packer = UpdatePacker()
        self._pusher = self._make_pusher(post)

    def _make_pusher(self, post: Post) -> Pusher:
        """Return what sends sets of grants; directed servers hold none."""
        if self._config.directed is not None:
            return NoPusher()
        from .pusher import GrantPusher  # noqa: PLC0415 (its HTTP client is large)

        return GrantPusher(
            lambda holder, revision: post(partial(self._acknowledge, holder, revision)),
            lambda: self._control.is_settled_leader(self._clock()),
        )

    # Messages

    def receive_consensus(
        self, sender: str, message: ConsensusMessage, now: float
    ) -> None:
        """Take a message of a group."""
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

    def receive_renew(self, sender: str, renew: HostRenew, now: float) -> None:
        """Renew an entry host's lease, or pass it on to the leader once."""
        leader = self._settled_leader(now)
        if leader is None:
            known = self._control.replica.leader
            if sender == renew.host.name and known not in ("", self._config.name):
                self._send(known, renew)
            return
        update, effects = leader.renew_host(renew, self._control.applied, now)
        self._send_update(renew.host.name, update)
        self._run(effects)

    def _send_update(self, host: str, update: HostUpdate) -> None:
        """Send a host rows, packed unless they stay in this process."""
        inside = host == self._config.name
        self._send(host, update if inside else self._packer.pack(update))

    def receive_call(self, sender: str, request: CallRequest, now: float) -> None:
        """Answer a call, or tell who leads the group."""
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
        elif isinstance(body, ServerBeat):
            self._hear(body, sender, request.call_id, now)
        else:
            result = answer_call(group, self._state, self._leader, body, now)
            answer(calls.CALLS.encode(result))

    def _answer(self, sender: str, call_id: int, body: bytes) -> None:
        """Send an answer."""
        self._send(sender, CallAnswer(call_id, False, self._config.name, body))

    def _propose(self, group: Group, command: bytes, sender: str, call_id: int) -> None:
        """Commit a command and answer with its result."""
        codec = find_result_codec(group.name)
        try:
            check_command(group.name, command)
        except CodecError as error:
            refusal = Refusal(Reason.BAD_REQUEST, Step.COMMIT, sender, str(error))
            self._answer(sender, call_id, codec.encode(refusal))
            return

        def notify(result: object) -> None:
            if result is None:
                # Whether it is committed is open; the caller sends it again.
                self._send(sender, CallAnswer(call_id, True, "", b""))
            else:
                self._answer(sender, call_id, codec.encode(result))

        group.propose(command, notify)

    def _announce(
        self, announcement: calls.Announcement, now: float
    ) -> calls.GrantSet | Refusal:
        """Answer a backend server's announcement."""
        leader = self._settled_leader(now)
        if leader is None:
            return Refusal(Reason.NO_LEADER, Step.ANNOUNCE, self._config.name)
        answer, effects = leader.announce(announcement, now)
        self._run(effects)
        return answer

    def _hear(self, beat: ServerBeat, sender: str, call_id: int, now: float) -> None:
        """Answer a beat once what it binds is committed."""
        leader = self._settled_leader(now)
        if leader is None:
            self._send(sender, CallAnswer(call_id, True, "", b""))
            return
        command = leader.hear(beat, now)
        if isinstance(command, Refusal):
            self._events.add("beat-refused", server=beat.name, detail=command.detail)
            self._answer(sender, call_id, calls.CALLS.encode(command))
            return
        accepted = calls.CALLS.encode(calls.BeatAccepted())
        if command is None:
            self._answer(sender, call_id, accepted)
            return

        def notify(result: object) -> None:
            if result is None:
                self._send(sender, CallAnswer(call_id, True, "", b""))
            else:
                self._answer(sender, call_id, accepted)

        self._events.add(
            "server-changed", server=beat.name, detail=type(command).__name__
        )
        self._control.propose(c.COMMANDS.encode(command), notify)

    def note_heard(self, heard: tuple[tuple[str, int], ...], now: float) -> None:
        """Take word of a follower, if this member leads."""
        if self._leader is not None and self._control.replica.role == Role.LEADER:
            self._leader.note_heard(heard, now)

    def complete_order(self, result: OrderResult, now: float) -> None:
        """Take the end of an order; a leader without a lease notes it too."""
        if self._leader is not None and self._control.replica.role == Role.LEADER:
            self._run(self._leader.complete_order(result, now))

    def _acknowledge(self, holder: str, revision: int) -> None:
        """Note that a pushed grant arrived."""
        if self._leader is not None:
            self._leader.acknowledge(holder, revision)

    # Time

    def tick(self, now: float) -> None:
        """Let time pass for the groups and the leader's duties."""
        for group in self._groups.values():
            group.tick(now)
            leading = group.replica.role == Role.LEADER
            self._metrics.leading.labels(group.name).set(leading)
            self._metrics.disk_lost.labels(group.name).set(bool(group.disk_error))
            stopped = bool(group.newer_form)
            self._metrics.apply_stopped.labels(group.name).set(stopped)
            self._metrics.disk_refusals.labels(group.name).set(group.disk_failures)
        leader = self._settled_leader(now)
        if leader is not None:
            self._run(leader.tick(now))
            if self._config.directed is not None:
                membership.admit_waiting(self._control.replica)
                membership.drop_silent(self._control.replica, now)

    def flush(self, now: float) -> None:
        """Persist, send and apply; then tell the entry hosts what changed."""
        for group in self._groups.values():
            for item in group.flush(now):
                message = ConsensusMessage(
                    group.name,
                    group.replica.me.identity,
                    item.identity,
                    CONSENSUS.encode(item.message),
                )
                self._send(item.peer, message)
        leader = self._settled_leader(now)
        if leader is not None and self._state.revision > self._pushed_revision:
            self._pushed_revision = self._state.revision
            self._run(leader.push_updates(self._control.applied, now))
            self._run(leader.tick(now))

    def hand_over(self, now: float) -> None:
        """Hand over the leadership of every group before a stop."""
        for group in self._groups.values():
            membership.hand_over_leadership(group.replica, now)

    def close(self) -> None:
        """Close the groups' data folders."""
        self._pusher.close()
        for group in self._groups.values():
            self._metrics.log_syncs.labels(group.name).set(group.sync_count)
            group.close()

    def _settled_leader(self, now: float) -> ControlLeader | None:
        """Return the duties while this member leads with a live lease."""
        replica = self._control.replica
        if replica.role != Role.LEADER:
            self._leader = None
            return None
        if not self._control.is_settled_leader(now):
            return None
        term = replica.hard.term
        if self._leader is None or self._leader.term != term:
            self._events.add("leader-elected", detail=f"term {term}")
            _LOGGER.info("leads control in term %d", term)
            self._leader = ControlLeader(
                self._config.name,
                term,
                self._state,
                self._config.services,
                self._config.timing,
                self._events,
                now,
                self._config.directed,
            )
            self._pushed_revision = 0
        return self._leader

    def _run(self, effects: list[Effect]) -> None:
        """Carry out what the duties ask for."""
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

    def _propose_own(self, command: c.Command) -> None:
        """Commit a command of the leader's own."""
        leader = self._leader
        assert leader is not None
        note_moves(self._events, self._metrics, command)

        def notify(result: object) -> None:
            leader.settle(command)
            if isinstance(result, Refusal):
                _LOGGER.info("refused: %s: %s", command, result.detail)

        if not self._control.propose(c.COMMANDS.encode(command), notify):
            leader.settle(command)
