"""A simulation of hosts with members, entry agents and ledger calls.

Each host runs the steps of a daemon's loop in the same order, with delayed links and
slow disks. A stalled host does nothing; its messages wait, and its first pass after
the stall does not read them yet, as after a stop signal.
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

__all__ = ["LEDGER_GROUP", "RENEW_INTERVAL_SECONDS", "Outage", "Members"]

STEP_SECONDS: Final = 0.005
TICK_SECONDS: Final = 0.02
CALL_INTERVAL_SECONDS: Final = 0.05
RENEW_INTERVAL_SECONDS: Final = 0.4
LEDGER_GROUP: Final = "ledger-0"


class QueuedMessage(NamedTuple):
    """A message that is delivered at a later time."""

    deliver_at: float
    sequence: int
    sender: str
    peer: str
    message: LinkMessage


class Outage(NamedTuple):
    """A time at which a host would have refused callers, and the reason."""

    at: float
    host: str
    reason: str


class SlowDisk:
    """A storage that stores nothing, but makes the host wait for each sync."""

    def __init__(self, await_sync: Callable[[], None]) -> None:
        """Start; ``await_sync`` is called for each sync."""
        self.sync_count = 0
        self._await_sync = await_sync

    def write(self, output: Output) -> None:
        """Sync if an output needs it."""
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
    """The parts of one daemon, without its ports."""

    member: ControlMember
    groups: dict[str, Group]
    gate: Gate
    agent: EntryAgent
    calls: CallTable
    inbox: list[QueuedMessage] = field(default_factory=list)
    tick_at: float = 0.0
    busy_until: float = 0.0
    skips_inbox: bool = False


class Members:
    """Hosts that are all voters and entry hosts."""

    def __init__(self, seed: int, hosts: int = 3, sync_seconds: float = 0.0) -> None:
        """Start the hosts, without a leader."""
        self.now = 100.0
        self.random = Random(seed)
        self.names = tuple(f"host-{number + 1}" for number in range(hosts))
        self.cut_links: set[tuple[str, str]] = set()
        self.outages: list[Outage] = []
        self.min_lease_left: dict[str, float] = {}
        self._sync_seconds = sync_seconds
        self._sequence = 0
        self._calls_start_at = float("inf")
        self._next_call_at = 0.0
        self._reserved = 0
        self.hosts = {name: self._make_host(name) for name in self.names}

    def _make_host(self, name: str) -> Host:
        """Return a host with an empty disk."""
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
            _fail_task,
            clock,
        )
        gate = Gate(clock, LeaderTiming().entry_lease, 1000)
        record = HostRecord(name, 1, "zone", "127.0.0.1:1", "")
        agent = EntryAgent(
            AgentConfig(record, self.names, RENEW_INTERVAL_SECONDS), gate, send, clock
        )
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
        """Make a host wait for its disk; its messages are sent afterwards."""
        host = self.hosts[name]
        host.busy_until = max(host.busy_until, self.now) + self._sync_seconds

    def _clock(self) -> float:
        """Return the time."""
        return self.now

    def send(self, sender: str, peer: str, message: LinkMessage) -> bool:
        """Queue a message with a random delay."""
        if (sender, peer) in self.cut_links:
            return True
        self._sequence += 1
        busy = max(self.now, self.hosts[sender].busy_until)
        at = busy + (0.0 if peer == sender else self.random.uniform(0.0005, 0.004))
        queued = QueuedMessage(at, self._sequence, sender, peer, message)
        heappush(self.hosts[peer].inbox, queued)
        return True

    def stall(self, name: str, seconds: float) -> None:
        """Stall a host for some seconds."""
        host = self.hosts[name]
        host.busy_until = self.now + seconds
        host.skips_inbox = True

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

    def wait_for_leases(self) -> None:
        """Run until every host has its lease and both groups have their leaders."""
        for _ in range(100):
            self.run(0.1)
            leased = all(h.gate.lease_left() > 0 for h in self.hosts.values())
            if leased and self.leader() and self.leader(LEDGER_GROUP):
                self._calls_start_at = self.now
                return
        raise AssertionError("not all hosts got their leases")

    def run(self, seconds: float) -> None:
        """Advance the clock in steps."""
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_SECONDS
            for name, host in self.hosts.items():
                left = host.gate.lease_left()
                self.min_lease_left[name] = min(
                    left, self.min_lease_left.get(name, left)
                )
                if self.now >= host.busy_until:
                    self._run_pass(name, host)
            if self.now >= max(self._calls_start_at, self._next_call_at):
                self._next_call_at = self.now + CALL_INTERVAL_SECONDS
                self._call_hosts()

    def _run_pass(self, name: str, host: Host) -> None:
        """Run one pass of the loop as ``Runtime.run`` does."""
        now = self.now
        while not host.skips_inbox and host.inbox and host.inbox[0].deliver_at <= now:
            queued = heappop(host.inbox)
            self._handle(host, queued.sender, queued.message)
        host.skips_inbox = False
        if now >= host.tick_at:
            host.tick_at = now + TICK_SECONDS
            host.calls.tick(now)
            host.member.tick(now)
        host.agent.tick(now)
        host.member.flush(now)

    def _handle(self, host: Host, sender: str, message: LinkMessage) -> None:
        """Pass a message to its handler."""
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

    def _call_hosts(self) -> None:
        """Send a call to each host that is not stalled."""
        for name, host in self.hosts.items():
            if self.now < host.busy_until:
                continue
            if host.gate.lease_left() <= 0:
                self.outages.append(Outage(self.now, name, "lease-lapsed"))
            self._reserve(name, host)

    def _reserve(self, name: str, host: Host) -> None:
        """Reserve a key in the ledger."""
        self._reserved += 1
        key = f"key-{self._reserved}"
        command = LEDGER_COMMANDS.encode(Reserve(key, "body", key, 1))
        body = CALLS.encode(Propose(command))
        done = partial(self._record_result, name)
        host.calls.start(LEDGER_GROUP, body, RESERVE_TIMEOUT_SECONDS, done, self.now)

    def _record_result(self, name: str, answer: bytes | None) -> None:
        """Record a call that was not answered in time."""
        if answer is None:
            self.outages.append(Outage(self.now, name, "ledger-unavailable"))


def _fail_task(task: Callable[[], None]) -> None:
    """Fail on a task of another thread, since there is none."""
    raise AssertionError(task)
