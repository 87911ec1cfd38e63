"""Leader, entry hosts and servers on a paused clock, with messages that linger.

The log commits at once for the present leader; a deposed leader's messages may
still be under way. Servers and hosts can freeze, and then handle late what had
reached them. What servers ran is kept with the epoch.
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
from dragonflyrock.transport.messages import HostRenew, HostUpdate, NearRenew

SERVICE: Final = "finder"
STARTED_AT: Final = 100.0
TICK: Final = 0.02
KEYS: Final = 16
LONGEST_DEADLINE: Final = 4.0
TIMING: Final = LeaderTiming(longest_deadline=LONGEST_DEADLINE)


class Ran(NamedTuple):
    """A request that a server committed."""

    at: float
    key: int
    holder: str
    epoch: int
    request: int


class Later(NamedTuple):
    """Something that happens at a time, unless its place is frozen then."""

    at: float
    order: int
    place: str
    action: Callable[[], None]


@dataclass(slots=True)
class Request:
    """A request on its way; a deadline is by the world's clock."""

    number: int
    key: int
    host: str
    flight: InFlightRequest
    deadline: float


@dataclass(slots=True)
class Server:
    """A backend server; it may not check what it is asked to run."""

    name: str
    incarnation: int
    checks: bool
    grants: Grants
    sequence: int = 0
    announce_at: float = 0.0
    ready: bool = True

    @property
    def holder(self) -> str:
        """Return the name that grants are given to."""
        return f"{self.name}@{self.incarnation}"


@dataclass(slots=True)
class Host:
    """An entry host."""

    gate: Gate
    agent: EntryAgent
    flights: set[int] = field(default_factory=set)


class World:
    """One service, a leader, hosts and servers."""

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
        """Start everything; nobody owns anything yet.

        ``rates`` tells how fast the clocks of some places run. Deadlines on the way
        to a server are by wall clocks, which are taken to agree.
        """
        self.now = STARTED_AT
        self.rates = rates or {}
        self.timing = timing
        self.delay = 0.03
        self.random = Random(seed)
        self.state = ControlState()
        self.leader: ControlLeader | None = None
        self.term = 0
        self.frozen: set[str] = set()
        self.cuts: set[str] = set()
        self.muted: set[str] = set()
        self.shortest_deadline = 0.2
        self.calling: set[str] = set()
        self.hosts: dict[str, Host] = {}
        self.servers: dict[str, Server] = {}
        self.ran: list[Ran] = []
        self.answered: dict[int, float] = {}
        self.asked: dict[int, float] = {}
        self._later: list[Later] = []
        self._held: dict[str, list[Later]] = {}
        self._order = 0
        self._checks = checks
        self._incarnations = 0
        self._policy = ServicePolicy(8, PlacementPolicy(balance_interval=0.5))
        self.elect()
        for number in range(hosts):
            self.start_host(f"host-{number}")
        for number in range(servers):
            self.start_server(f"server-{number}")

    # Making things happen

    def clock(self, place: str) -> float:
        """Return the time by a place's clock."""
        return STARTED_AT + (self.now - STARTED_AT) * self.rates.get(place, 1.0)

    def elect(self) -> None:
        """Let a new leader begin; the old one's messages stay under way."""
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
        """Start, or restart, an entry host without any memory."""
        gate = Gate(lambda: self.clock(name), self.timing.entry_lease, 1000)
        self._incarnations += 1
        record = HostRecord(name, self._incarnations, "zone", "127.0.0.1:1", "")
        config = AgentConfig(record, ("leader",), 0.4)
        agent = EntryAgent(
            config,
            gate,
            lambda _, renew: self._send_renewal(name, renew),
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

    def post(
        self, place: str, action: Callable[[], None], most: float | None = None
    ) -> None:
        """Have something happen at a place after a random delay."""
        if place in self.cuts:
            return
        self._order += 1
        at = self.now + self.random.uniform(0.0, self.delay if most is None else most)
        heappush(self._later, Later(at, self._order, place, action))

    def run(self, seconds: float, *, calls_per_tick: int = 1) -> None:
        """Let time pass, with calls to random keys."""
        until = self.now + seconds
        while self.now < until:
            self.now += TICK
            self._happen()
            for name, server in self.servers.items():
                if name not in self.frozen:
                    self._announce(server)
            for name, host in self.hosts.items():
                if name not in self.frozen:
                    host.agent.tick(self.clock(name))
            if self.leader is not None and "leader" not in self.frozen:
                self._carry_out(self.leader.tick(self.clock("leader")))
            for _ in range(calls_per_tick):
                self.call()

    def call(self) -> None:
        """Send a request for a random key by a random host, if it may go."""
        name = self.random.choice(sorted(self.calling or self.hosts))
        if name in self.frozen:
            return
        key = self.random.randrange(KEYS)
        host = self.hosts[name]
        deadline = self.now + self.random.uniform(
            self.shortest_deadline, self.timing.longest_deadline
        )
        until = self.clock(name) + deadline - self.now
        flight = host.gate.try_begin_dispatch(SERVICE, hash_of(key), "f", until)
        if not isinstance(flight, InFlightRequest):
            return
        number = len(self.asked)
        self.asked[number] = self.now
        request = Request(number, key, name, flight, deadline)
        flight.close = lambda: self._cancel(request)
        host.flights.add(number)
        given_up_at = self.now + (deadline - self.now) / self.rates.get(name, 1.0)
        late = Later(
            given_up_at, -number, name, lambda: self._leave(request, unknown=True)
        )
        heappush(self._later, late)
        holder = flight.server.holder
        self.post(flight.server.name, lambda: self._serve(request, holder))

    # What happens

    def _happen(self) -> None:
        """Carry out what is due; frozen places get it when they go on."""
        for place in list(self._held):
            if place not in self.frozen:
                for item in self._held.pop(place):
                    heappush(self._later, item)
        while self._later and self._later[0].at <= self.now:
            item = heappop(self._later)
            if item.place in self.frozen:
                self._held.setdefault(item.place, []).append(item)
            else:
                item.action()

    def _send_renewal(self, name: str, renew: HostRenew | NearRenew) -> None:
        """Send a host's renewal to the leader, the only member here."""
        assert isinstance(renew, HostRenew)
        if name not in self.muted:
            self.post("leader", lambda: self._renew(renew))

    def _renew(self, renew: HostRenew) -> None:
        """Have the leader renew a host's lease."""
        if self.leader is None:
            return
        now = self.clock("leader")
        update, effects = self.leader.renew_host(renew, self.state.revision, now)
        self._send_update(renew.host.name, update)
        self._carry_out(effects)

    def _send_update(self, name: str, update: HostUpdate) -> None:
        """Send a host its rows; a restarted host is another one."""
        host = self.hosts[name]

        def receive() -> None:
            if self.hosts[name] is host:
                host.agent.receive(update, self.clock(name))

        self.post(name, receive)

    def _carry_out(self, effects: list[Effect]) -> None:
        """Carry out a leader's effects."""
        for effect in effects:
            match effect:
                case ProposeCommand(command):
                    self._commit(command)
                case PushUpdate(host, update):
                    self._send_update(host, update)
                case PushGrants(server, grants):
                    self.post(server.name, lambda g=grants: self._push(g))  # type: ignore[misc]

    def _commit(self, command: c.Command) -> None:
        """Commit a command of the present leader."""
        assert self.leader is not None
        self.state.apply(self.state.revision + 1, c.COMMANDS.encode(command))
        self.leader.complete_proposal(command)
        now = self.clock("leader")
        self._carry_out(self.leader.push_updates(self.state.revision, now))

    def _announce(self, server: Server) -> None:
        """Have a server announce itself when it is time."""
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
        if server.name not in self.cuts | self.muted:
            self.post("leader", lambda: self._hear(announcement))

    def _hear(self, announcement: calls.Announcement) -> None:
        """Have the leader answer an announcement."""
        if self.leader is None:
            return
        answer, effects = self.leader.receive_announcement(
            announcement, self.clock("leader")
        )
        if isinstance(answer, calls.GrantSet):
            self.post(announcement.name, lambda: self._push(answer))
        self._carry_out(effects)

    def _take(self, grants: calls.GrantSet) -> int:
        """Have a server take grants; return the revision that it holds."""
        server = self.servers[grants.holder.rpartition("@")[0]]
        ranges = [HeldRangeBody(*item) for item in grants.ranges]
        server.grants.apply(GrantBody(*grants[:5], ranges))
        return server.grants.revision

    def _push(self, grants: calls.GrantSet) -> None:
        """Deliver pushed grants and acknowledge them."""
        leader = self.leader
        held = self._take(grants)

        def acknowledge() -> None:
            if leader is self.leader and leader is not None:
                leader.acknowledge(grants.holder, held)

        if self.servers[grants.holder.rpartition("@")[0]].holder == grants.holder:
            self.post("leader", acknowledge)

    def _serve(self, request: Request, holder: str) -> None:
        """Have a server begin a request, and commit it after a while."""
        server = self.servers[holder.rpartition("@")[0]]
        if server.holder != holder or not self._may_run(server, request):
            self.post(request.host, lambda: self._leave(request, unknown=False))
            return
        self.post(server.name, lambda: self._finish(server, request), 0.08)

    def _finish(self, server: Server, request: Request) -> None:
        """Commit a request if it may still run, and answer."""
        if self.servers[server.name] is not server:
            return
        if self._may_run(server, request):
            epoch = request.flight.epoch
            ran = Ran(self.now, request.key, server.holder, epoch, request.number)
            self.ran.append(ran)
            self.answered[request.number] = self.now
        self.post(request.host, lambda: self._leave(request, unknown=False))

    def _may_run(self, server: Server, request: Request) -> bool:
        """Return whether a server would run a request now."""
        if self.now >= request.deadline:
            return False
        if not server.checks:
            return True
        return server.grants.covers(hash_of(request.key), request.flight.epoch)

    def _cancel(self, request: Request) -> None:
        """Give a request up whose owner was lost."""
        self.post(request.host, lambda: self._leave(request, unknown=True))

    def _leave(self, request: Request, *, unknown: bool) -> None:
        """End a request at its host, once."""
        host = self.hosts[request.host]
        if request.number in host.flights:
            host.flights.discard(request.number)
            host.gate.end_dispatch(request.flight, may_still_run=unknown)

    # Checking

    def serves(self, key: int) -> bool:
        """Return whether every host that is up would have a key run now."""
        for name, host in self.hosts.items():
            if name in self.frozen | self.cuts:
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
        """Check that a key's epochs grow, and that each has one server."""
        owners: dict[tuple[int, int], str] = {}
        latest: dict[int, int] = {}
        for ran in sorted(self.ran):
            owner = owners.setdefault((ran.key, ran.epoch), ran.holder)
            assert owner == ran.holder, f"two owners in one epoch: {ran}, {owner}"
            assert ran.epoch >= latest.get(ran.key, 0), f"an epoch went back: {ran}"
            latest[ran.key] = ran.epoch


def hash_of(key: int) -> int:
    """Return the hash of a key, spread evenly."""
    return (KEY_SPACE // KEYS) * key + 7
