"""A simulation of a leader, entry hosts and servers, with delayed messages.

The log commits at once for the current leader; messages of a deposed leader may still
be in transit. Servers and hosts can freeze, and handle the messages that they have
received when they resume. Each request that a server completed is recorded.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random
from typing import Final, NamedTuple

from dragonflyrock.control import calls
from dragonflyrock.control import commands as c
from dragonflyrock.control.leader import (
    ControlLeader,
    Effect,
    ProposeCommand,
    PushGrants,
    PushUpdate,
    ServicePolicy,
)
from dragonflyrock.control.state import ControlState
from dragonflyrock.control.tables import LeaderTiming
from dragonflyrock.entry.agent import AgentConfig, EntryAgent
from dragonflyrock.entry.gate import Gate, InFlightRequest
from dragonflyrock.hashing import KEY_SPACE
from dragonflyrock.models import HostRecord, RangeState
from dragonflyrock.observe import EventRing, HybridClock
from dragonflyrock.standin.grants import GrantBody, Grants, HeldRangeBody
from dragonflyrock.systems.placement import PlacementPolicy
from dragonflyrock.transport.messages import (
    HostRenew,
    HostUpdate,
    LeavingServers,
    NearRenew,
    ServerNeeds,
)

SERVICE: Final = "finder"
START_SECONDS: Final = 100.0
TICK_SECONDS: Final = 0.02
KEY_COUNT: Final = 16
LONGEST_DEADLINE_SECONDS: Final = 4.0
TIMING: Final = LeaderTiming(longest_deadline=LONGEST_DEADLINE_SECONDS)


class CompletedRequest(NamedTuple):
    """A request that a server has completed."""

    at: float
    key: int
    holder: str
    epoch: int
    request: int


class ScheduledAction(NamedTuple):
    """An action at a time; it is deferred while its process is frozen."""

    at: float
    order: int
    process: str
    action: Callable[[], None]


@dataclass(slots=True)
class Request:
    """A request in flight; its deadline is by the simulation's clock."""

    number: int
    key: int
    host: str
    in_flight: InFlightRequest
    deadline: float


@dataclass(slots=True)
class Server:
    """A backend server; ``checks`` is whether it checks grants before it runs."""

    name: str
    incarnation: int
    checks: bool
    grants: Grants
    sequence: int = 0
    announce_at: float = 0.0
    ready: bool = True

    @property
    def holder(self) -> str:
        """Return the name to which grants are made."""
        return f"{self.name}@{self.incarnation}"


@dataclass(slots=True)
class Host:
    """An entry host."""

    gate: Gate
    agent: EntryAgent
    requests_in_flight: set[int] = field(default_factory=set)


class World:
    """One service, a leader, hosts and servers.

    Processes in ``frozen`` do nothing, and those in ``cut_off`` receive nothing.
    Renewals of hosts in ``muted`` and announcements of servers in either of ``cut_off``
    and ``muted`` are lost.
    """

    def __init__(
        self,
        seed: int,
        hosts: int = 2,
        servers: int = 3,
        *,
        checks: bool = True,
        rates: Mapping[str, float] | None = None,
        timing: LeaderTiming = TIMING,
    ) -> None:
        """Start all processes; no range has an owner yet.

        ``rates`` are the rates of the clocks of some processes. Deadlines that are
        sent to a server are by wall clocks, which are assumed to agree.
        """
        self.now = START_SECONDS
        self.clock_rates = rates or {}
        self.timing = timing
        self.delay = 0.03
        self.random = Random(seed)
        self.state = ControlState()
        self.leader: ControlLeader | None = None
        self.term = 0
        self.frozen: set[str] = set()
        self.cut_off: set[str] = set()
        self.muted: set[str] = set()
        self.shortest_deadline = 0.2
        self.called_hosts: set[str] = set()
        self.hosts: dict[str, Host] = {}
        self.servers: dict[str, Server] = {}
        self.completed: list[CompletedRequest] = []
        self.answered: dict[int, float] = {}
        self.sent_at: dict[int, float] = {}
        self._scheduled: list[ScheduledAction] = []
        self._deferred: dict[str, list[ScheduledAction]] = {}
        self._order = 0
        self._checks = checks
        self._incarnations = 0
        self._policy = ServicePolicy(8, PlacementPolicy(balance_interval=0.5))
        self.elect_leader()
        for number in range(hosts):
            self.start_host(f"host-{number}")
        for number in range(servers):
            self.start_server(f"server-{number}")

    def clock(self, process: str) -> float:
        """Return the time by a process's clock."""
        return START_SECONDS + (self.now - START_SECONDS) * self.clock_rates.get(
            process, 1.0
        )

    def elect_leader(self) -> None:
        """Elect a new leader; messages of the old one remain in transit."""
        self.term += 1
        events = EventRing("leader", HybridClock(lambda: self.now))
        self.leader = ControlLeader(
            f"leader-{self.term}",
            self.term,
            self.state,
            {SERVICE: self._policy},
            self.timing,
            events,
            self.clock("leader"),
        )

    def start_host(self, name: str) -> None:
        """Start, or restart, an entry host without any state."""
        gate = Gate(lambda: self.clock(name), self.timing.entry_lease, 1000)
        self._incarnations += 1
        record = HostRecord(name, self._incarnations, "zone", "127.0.0.1:1", "")
        config = AgentConfig(record, ("leader",), 0.4)
        agent = EntryAgent(
            config,
            gate,
            lambda _, renewal: self._send_renewal(name, renewal),
            lambda: self.clock(name),
        )
        gate.on_drained = agent.request_renewal
        self.hosts[name] = Host(gate, agent)

    def start_server(self, name: str) -> None:
        """Start, or restart, a server under a new incarnation."""
        self._incarnations += 1
        holder = f"{name}@{self._incarnations}"
        grants = Grants(holder, lambda: self.clock(name))
        self.servers[name] = Server(name, self._incarnations, self._checks, grants)

    def schedule(
        self, process: str, action: Callable[[], None], max_delay: float | None = None
    ) -> None:
        """Schedule an action of a process after a random delay."""
        if process in self.cut_off:
            return
        self._order += 1
        at = self.now + self.random.uniform(
            0.0, self.delay if max_delay is None else max_delay
        )
        heappush(self._scheduled, ScheduledAction(at, self._order, process, action))

    def run(self, seconds: float, *, calls_per_tick: int = 1) -> None:
        """Advance the clock in ticks, with requests for random keys."""
        until = self.now + seconds
        while self.now < until:
            self.now += TICK_SECONDS
            self._run_due_actions()
            for name, server in self.servers.items():
                if name not in self.frozen:
                    self._announce(server)
            for name, host in self.hosts.items():
                if name not in self.frozen:
                    host.agent.tick(self.clock(name))
            if self.leader is not None and "leader" not in self.frozen:
                self._run_effects(self.leader.tick(self.clock("leader")))
            for _ in range(calls_per_tick):
                self.call()

    def call(self) -> None:
        """Send a request for a random key by a random host, if it may dispatch it."""
        name = self.random.choice(sorted(self.called_hosts or self.hosts))
        if name in self.frozen:
            return
        key = self.random.randrange(KEY_COUNT)
        host = self.hosts[name]
        deadline = self.now + self.random.uniform(
            self.shortest_deadline, self.timing.longest_deadline
        )
        until = self.clock(name) + deadline - self.now
        in_flight = host.gate.try_begin_dispatch(SERVICE, hash_of(key), "f", until)
        if not isinstance(in_flight, InFlightRequest):
            return
        number = len(self.sent_at)
        self.sent_at[number] = self.now
        request = Request(number, key, name, in_flight, deadline)
        in_flight.close = lambda: self._cancel(request)
        host.requests_in_flight.add(number)
        given_up_at = self.now + (deadline - self.now) / self.clock_rates.get(name, 1.0)
        late = ScheduledAction(
            given_up_at, -number, name, lambda: self._end_request(request, unknown=True)
        )
        heappush(self._scheduled, late)
        holder = in_flight.server.holder
        self.schedule(in_flight.server.name, lambda: self._serve(request, holder))

    def _run_due_actions(self) -> None:
        """Run the actions that are due; frozen processes run them when they resume."""
        for process in list(self._deferred):
            if process not in self.frozen:
                for scheduled in self._deferred.pop(process):
                    heappush(self._scheduled, scheduled)
        while self._scheduled and self._scheduled[0].at <= self.now:
            scheduled = heappop(self._scheduled)
            if scheduled.process in self.frozen:
                self._deferred.setdefault(scheduled.process, []).append(scheduled)
            else:
                scheduled.action()

    def _send_renewal(
        self, name: str, renewal: HostRenew | NearRenew | LeavingServers | ServerNeeds
    ) -> None:
        """Send a host's renewal to the leader, the only member here."""
        assert isinstance(renewal, HostRenew)
        if name not in self.muted:
            self.schedule("leader", lambda: self._renew(renewal))

    def _renew(self, renewal: HostRenew) -> None:
        """Have the leader renew a host's lease."""
        if self.leader is None:
            return
        now = self.clock("leader")
        update, effects = self.leader.renew_host(renewal, self.state.revision, now)
        self._send_update(renewal.host.name, update)
        self._run_effects(effects)

    def _send_update(self, name: str, update: HostUpdate) -> None:
        """Send a host its rows, unless it restarts before they arrive."""
        host = self.hosts[name]

        def receive() -> None:
            if self.hosts[name] is host:
                host.agent.receive(update, self.clock(name))

        self.schedule(name, receive)

    def _run_effects(self, effects: list[Effect]) -> None:
        """Carry out a leader's effects."""
        for effect in effects:
            match effect:
                case ProposeCommand(command):
                    self._commit(command)
                case PushUpdate(host, update):
                    self._send_update(host, update)
                case PushGrants(server, grants):
                    self.schedule(server.name, lambda g=grants: self._push(g))  # type: ignore[misc]

    def _commit(self, command: c.Command) -> None:
        """Commit a command of the current leader."""
        assert self.leader is not None
        self.state.apply(self.state.revision + 1, c.COMMANDS.encode(command))
        self.leader.complete_proposal(command)
        now = self.clock("leader")
        self._run_effects(self.leader.push_updates(self.state.revision, now))

    def _announce(self, server: Server) -> None:
        """Send a server's announcement if it is due."""
        if self.now < server.announce_at:
            return
        server.announce_at = self.now + TIMING.announce
        server.sequence += 1
        server.grants.record_sent(server.sequence)
        announcement = calls.Announcement(
            server.name,
            SERVICE,
            f"127.0.0.1:{server.incarnation}",
            "zone",
            server.incarnation,
            server.sequence,
            2,
            100,
            ready=server.ready,
            checks_grants=server.checks,
            grant_revision=server.grants.revision,
        )
        if server.name not in self.cut_off | self.muted:
            self.schedule("leader", lambda: self._receive_announcement(announcement))

    def _receive_announcement(self, announcement: calls.Announcement) -> None:
        """Have the leader answer an announcement."""
        if self.leader is None:
            return
        answer, effects = self.leader.receive_announcement(
            announcement, self.clock("leader")
        )
        if isinstance(answer, calls.GrantSet):
            self.schedule(announcement.name, lambda: self._push(answer))
        self._run_effects(effects)

    def _store_grants(self, grants: calls.GrantSet) -> int:
        """Store grants at a server; return the revision that it holds."""
        server = self.servers[grants.holder.rpartition("@")[0]]
        ranges = [HeldRangeBody(*granted) for granted in grants.ranges]
        server.grants.apply(GrantBody(*grants[:5], ranges))
        return server.grants.revision

    def _push(self, grants: calls.GrantSet) -> None:
        """Deliver pushed grants and acknowledge them."""
        leader = self.leader
        held = self._store_grants(grants)

        def acknowledge() -> None:
            if leader is self.leader and leader is not None:
                leader.acknowledge(grants.holder, held)

        if self.servers[grants.holder.rpartition("@")[0]].holder == grants.holder:
            self.schedule("leader", acknowledge)

    def _serve(self, request: Request, holder: str) -> None:
        """Start a request at a server, and complete it after a delay."""
        server = self.servers[holder.rpartition("@")[0]]
        if server.holder != holder or not self._may_run(server, request):
            self.schedule(
                request.host, lambda: self._end_request(request, unknown=False)
            )
            return
        self.schedule(server.name, lambda: self._finish(server, request), 0.08)

    def _finish(self, server: Server, request: Request) -> None:
        """Complete a request if it may still run, and answer."""
        if self.servers[server.name] is not server:
            return
        if self._may_run(server, request):
            epoch = request.in_flight.epoch
            ran = CompletedRequest(
                self.now, request.key, server.holder, epoch, request.number
            )
            self.completed.append(ran)
            self.answered[request.number] = self.now
        self.schedule(request.host, lambda: self._end_request(request, unknown=False))

    def _may_run(self, server: Server, request: Request) -> bool:
        """Return whether a server would run a request now."""
        if self.now >= request.deadline:
            return False
        if not server.checks:
            return True
        return server.grants.covers(hash_of(request.key), request.in_flight.epoch)

    def _cancel(self, request: Request) -> None:
        """Cancel a request whose owner was lost."""
        self.schedule(request.host, lambda: self._end_request(request, unknown=True))

    def _end_request(self, request: Request, *, unknown: bool) -> None:
        """End a request at its host, once."""
        host = self.hosts[request.host]
        if request.number in host.requests_in_flight:
            host.requests_in_flight.discard(request.number)
            host.gate.end_dispatch(request.in_flight, may_still_run=unknown)

    def serves(self, key: int) -> bool:
        """Return whether every running host would dispatch requests of a key now."""
        for name, host in self.hosts.items():
            if name in self.frozen | self.cut_off:
                continue
            row = host.gate.tables.ranges.find(SERVICE, hash_of(key))
            if row is None or row.state != RangeState.ACTIVE:
                return False
            server = self.servers.get(row.owner.partition("@")[0])
            if server is None or server.name in self.frozen:
                return False
            granted = server.grants.covers(hash_of(key), row.epoch)
            if host.gate.lease_left() <= 0 or not (granted or not server.checks):
                return False
        return True

    def check_sole_ownership(self) -> None:
        """Check that a key's epochs only grow, and that each epoch has one server."""
        owners: dict[tuple[int, int], str] = {}
        latest: dict[int, int] = {}
        for ran in sorted(self.completed):
            owner = owners.setdefault((ran.key, ran.epoch), ran.holder)
            assert owner == ran.holder, f"two owners in one epoch: {ran}, {owner}"
            assert ran.epoch >= latest.get(ran.key, 0), f"an epoch went back: {ran}"
            latest[ran.key] = ran.epoch


def hash_of(key: int) -> int:
    """Return the hash of a key, spread evenly."""
    return (KEY_SPACE // KEY_COUNT) * key + 7
