"""Whole members, entry agents and ledger calls of some hosts on a paused clock.

It runs what a daemon's loop runs, in the same order, with links that delay and disks
that take their time. A host that stands still does nothing; its messages wait, and
its first pass afterwards finds none of them yet, as after a stop signal.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from heapq import heappop, heappush
from random import Random
from typing import Final, NamedTuple, cast

from dragonflyrock.consensus import (
    Group,
    HardState,
    Log,
    Member,
    Output,
    SnapshotImage,
    StateMachine,
    Storage,
    Timing,
)
from dragonflyrock.consensus.replica import make_replica
from dragonflyrock.control.calls import CALLS, Propose
from dragonflyrock.control.member import CONTROL_GROUP, ControlMember, MemberConfig
from dragonflyrock.control.state import ControlState
from dragonflyrock.control.tables import LeaderTiming
from dragonflyrock.entry.agent import AgentConfig, EntryAgent
from dragonflyrock.entry.gate import Gate
from dragonflyrock.entry.reservation import RESERVE_TIMEOUT_SECONDS
from dragonflyrock.ledger import Ledger
from dragonflyrock.ledger.commands import LEDGER_COMMANDS, Reserve
from dragonflyrock.models import HostRecord
from dragonflyrock.observe import EventRing, HybridClock
from dragonflyrock.observe.metrics import Metrics
from dragonflyrock.transport.calls import CallTable
from dragonflyrock.transport.messages import (
    CallAnswer,
    CallRequest,
    ConsensusMessage,
    HostRenew,
    HostUpdate,
    LinkMessage,
)

__all__ = ["LEDGER_GROUP", "RENEW", "Lapse", "Members"]

STEP: Final = 0.005
TICK: Final = 0.02
CALL_EVERY: Final = 0.05
RENEW: Final = 0.4
LEDGER_GROUP: Final = "ledger-0"


class Letter(NamedTuple):
    """A message under way."""

    at: float
    order: int
    sender: str
    peer: str
    message: LinkMessage


class Lapse(NamedTuple):
    """A moment at which a host would have refused callers as not run."""

    at: float
    host: str
    reason: str


class SlowDisk:
    """The storage of a group that keeps nothing; the host waits for each sync."""

    def __init__(self, await_sync: Callable[[], None]) -> None:
        """Call ``await_sync`` where a disk would sync."""
        self.sync_count = 0
        self._await_sync = await_sync

    def write(self, output: Output) -> None:
        """Sync what an output holds."""
        if output.needs_sync:
            self.sync_count += 1
            self._await_sync()

    def save_snapshot(self, snapshot: object, kept: object) -> None:
        """Sync a snapshot."""
        self._await_sync()

    def close(self) -> None:
        """Do nothing."""


@dataclass(slots=True)
class Host:
    """One daemon without its ports."""

    member: ControlMember
    groups: dict[str, Group]
    gate: Gate
    agent: EntryAgent
    calls: CallTable
    inbox: list[Letter] = field(default_factory=list)
    tick_at: float = 0.0
    busy_until: float = 0.0
    blind: bool = False


class Members:
    """Hosts that are all voters and entry hosts."""

    def __init__(self, seed: int, hosts: int = 3, sync_seconds: float = 0.0) -> None:
        """Start hosts of which none has elected a leader yet."""
        self.now = 100.0
        self.random = Random(seed)
        self.names = tuple(f"host-{number + 1}" for number in range(hosts))
        self.cuts: set[tuple[str, str]] = set()
        self.lapses: list[Lapse] = []
        self.least_left: dict[str, float] = {}
        self._sync_seconds = sync_seconds
        self._order = 0
        self._calling_from = float("inf")
        self._call_at = 0.0
        self._reserved = 0
        self.hosts = {name: self._make_host(name) for name in self.names}

    # Parts

    def _make_host(self, name: str) -> Host:
        """Return a host whose disk is empty."""
        state = ControlState()
        machines: dict[str, StateMachine] = {
            CONTROL_GROUP: state,
            LEDGER_GROUP: Ledger(100_000, 3_600_000),
        }
        groups = {
            group: self._make_group(group, name, machine)
            for group, machine in machines.items()
        }
        send = partial(self.send, name)
        clock = self._clock
        member = ControlMember(
            MemberConfig(name, {}, LeaderTiming()),
            groups,
            state,
            EventRing(name, HybridClock(clock)),
            Metrics(),
            send,
            _refuse_task,
            clock,
        )
        gate = Gate(clock, LeaderTiming().entry_lease, 1000)
        record = HostRecord(name, 1, "zone", "127.0.0.1:1", "")
        agent = EntryAgent(AgentConfig(record, self.names, RENEW), gate, send, clock)
        return Host(member, groups, gate, agent, CallTable(self.names, send))

    def _make_group(self, group: str, name: str, machine: StateMachine) -> Group:
        """Return a new member of a group."""
        replica = make_replica(
            Member(name, f"{group}-{name}"),
            self.names,
            Timing(),
            self.random,
            Log(SnapshotImage()),
            HardState(),
            self.now,
        )
        disk = SlowDisk(partial(self._await_sync, name))
        return Group(group, replica, cast(Storage, disk), machine)

    def _await_sync(self, name: str) -> None:
        """Have a host wait for its disk; what it sends leaves afterwards."""
        host = self.hosts[name]
        host.busy_until = max(host.busy_until, self.now) + self._sync_seconds

    def _clock(self) -> float:
        """Return the time."""
        return self.now

    # Making things happen

    def send(self, sender: str, peer: str, message: LinkMessage) -> bool:
        """Put a message under way."""
        if (sender, peer) in self.cuts:
            return True
        self._order += 1
        busy = max(self.now, self.hosts[sender].busy_until)
        at = busy + (0.0 if peer == sender else self.random.uniform(0.0005, 0.004))
        letter = Letter(at, self._order, sender, peer, message)
        heappush(self.hosts[peer].inbox, letter)
        return True

    def stall(self, name: str, seconds: float) -> None:
        """Have a host stand still from now on."""
        host = self.hosts[name]
        host.busy_until = self.now + seconds
        host.blind = True

    def leader(self, group: str = CONTROL_GROUP) -> str:
        """Return the settled leader of a group, or an empty name."""
        for name, host in self.hosts.items():
            idle = self.now >= host.busy_until
            if idle and host.groups[group].is_settled_leader(self.now):
                return name
        return ""

    def term(self, group: str = CONTROL_GROUP) -> int:
        """Return the newest term of a group."""
        return max(h.groups[group].replica.hard_state.term for h in self.hosts.values())

    def settle(self) -> None:
        """Run until every host has its lease and both groups have their leaders."""
        for _ in range(100):
            self.run(0.1)
            leased = all(h.gate.lease_left() > 0 for h in self.hosts.values())
            if leased and self.leader() and self.leader(LEDGER_GROUP):
                self._calling_from = self.now
                return
        raise AssertionError("the hosts never had their leases")

    def run(self, seconds: float) -> None:
        """Let time pass."""
        until = self.now + seconds
        while self.now < until:
            self.now += STEP
            for name, host in self.hosts.items():
                left = host.gate.lease_left()
                self.least_left[name] = min(left, self.least_left.get(name, left))
                if self.now >= host.busy_until:
                    self._pass(name, host)
            if self.now >= max(self._calling_from, self._call_at):
                self._call_at = self.now + CALL_EVERY
                self._call_all()

    # A pass of the loop

    def _pass(self, name: str, host: Host) -> None:
        """Do what ``Runtime.run`` does in one pass."""
        now = self.now
        while not host.blind and host.inbox and host.inbox[0].at <= now:
            letter = heappop(host.inbox)
            self._handle(host, letter.sender, letter.message)
        host.blind = False
        if now >= host.tick_at:
            host.tick_at = now + TICK
            host.calls.tick(now)
            host.member.tick(now)
        host.agent.tick(now)
        host.member.flush(now)

    def _handle(self, host: Host, sender: str, message: LinkMessage) -> None:
        """Hand a message to its role."""
        match message:
            case ConsensusMessage():
                host.member.receive_consensus(sender, message, self.now)
            case HostRenew():
                host.member.receive_renewal(sender, message, self.now)
            case CallRequest():
                host.member.receive_call(sender, message, self.now)
            case CallAnswer():
                host.calls.answer(sender, message, self.now)
            case HostUpdate():
                host.agent.receive(message, self.now)

    # Callers

    def _call_all(self) -> None:
        """Have a caller ask each host that does not stand still."""
        for name, host in self.hosts.items():
            if self.now < host.busy_until:
                continue
            if host.gate.lease_left() <= 0:
                self.lapses.append(Lapse(self.now, name, "lease-lapsed"))
            self._reserve(name, host)

    def _reserve(self, name: str, host: Host) -> None:
        """Reserve a key in the ledger, as a booking does."""
        self._reserved += 1
        key = f"key-{self._reserved}"
        command = LEDGER_COMMANDS.encode(Reserve(key, "body", key, 1))
        body = CALLS.encode(Propose(command))
        done = partial(self._note_reserved, name)
        host.calls.start(LEDGER_GROUP, body, RESERVE_TIMEOUT_SECONDS, done, self.now)

    def _note_reserved(self, name: str, answer: bytes | None) -> None:
        """Note a call that was not answered in time."""
        if answer is None:
            self.lapses.append(Lapse(self.now, name, "ledger-unavailable"))


def _refuse_task(task: Callable[[], None]) -> None:
    """Refuse a task of another thread: there is none."""
    raise AssertionError(task)
