"""Directed servers and their leader on a paused clock, with orders that linger."""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random
from typing import Final, NamedTuple

from dragonflyrock.control import commands as c
from dragonflyrock.control.directed import DirectedLeader
from dragonflyrock.control.directed_models import (
    DirectedTiming,
    GrantOrder,
    Order,
    OrderOutcome,
    OrderResult,
    ProbeOrder,
    ReleaseOrder,
    ServerHeartbeat,
)
from dragonflyrock.control.state import ControlState
from dragonflyrock.errors import Refusal
from dragonflyrock.hashing import KEY_SPACE
from dragonflyrock.routes import RouteDocument, RoutedService
from dragonflyrock.transport.messages import RangeLoad, ServerSpeed

SERVICE: Final = "finder"
KEYS: Final = 32
STEP: Final = KEY_SPACE // KEYS
TICK: Final = 0.1
BEAT: Final = 1.0
# How much slower a server's clock may run, as the leader assumes.
SLOWEST: Final = 0.02
TIMING: Final = DirectedTiming(key_step=STEP)


class Held(NamedTuple):
    """A key that a server holds until a time of the world's clock."""

    fence: int
    until: float


@dataclass(slots=True)
class Life:
    """One life of a server."""

    name: str
    address: str
    slowness: float
    sequence: int = 0
    leaving: bool = False
    up: bool = True
    cut: bool = False
    keys: dict[int, Held] = field(default_factory=dict)


@dataclass(slots=True)
class Faults:
    """Shares of orders that meet a fault on their way."""

    unanswered: float = 0.0
    late: float = 0.0
    lost: float = 0.0


class World:
    """A leader, its servers, and what is on its way between them."""

    def __init__(self, seed: int, servers: int = 4) -> None:
        """Start with a document and servers that announce themselves."""
        self.random = Random(seed)
        self.now = 100.0
        self.state = ControlState()
        self.faults = Faults()
        self.lives: dict[str, Life] = {}
        self.highest: dict[int, tuple[int, str]] = {}
        self.problems: list[str] = []
        self._events: list[tuple[float, int, object]] = []
        self._count = 0
        self._index = 0
        self._born = 0
        self._hot: tuple[int, ...] = ()
        document = RouteDocument(
            1, (), (RoutedService(SERVICE, "/health", 100, True, 0.0),)
        )
        self.commit(c.PutRoutes(0, "first", document))
        self.leader = self._make_leader()
        for number in range(servers):
            self.start_server(f"10.0.0.{number}:80")

    def _make_leader(self) -> DirectedLeader:
        """Return a leader that was elected just now."""
        return DirectedLeader(self.state, TIMING, _ignore, self.now)

    def change_leader(self) -> None:
        """Elect another leader; the orders of the last one are still under way."""
        self.leader = self._make_leader()

    def commit(self, command: c.Command) -> object:
        """Apply a command to the state."""
        self._index += 1
        return self.state.apply(self._index, c.COMMANDS.encode(command))

    def start_server(self, address: str) -> Life:
        """Start a new life at an address."""
        self._born += 1
        life = Life(f"s{self._born}", address, self.random.uniform(0, SLOWEST))
        self.lives[life.name] = life
        self._at(self.now + self.random.uniform(0, BEAT), ("beat", life.name))
        return life

    def crash(self, life: Life, down: float) -> None:
        """End a life without a word; another begins at its address later."""
        life.up = False
        life.keys.clear()
        self._at(self.now + down, ("start", life.address))

    def heat(self, *keys: int) -> None:
        """Have some keys get nearly all requests."""
        self._hot = keys

    def _at(self, when: float, event: object) -> None:
        """Plan an event."""
        self._count += 1
        heappush(self._events, (when, self._count, event))

    # Time

    def run(self, seconds: float) -> None:
        """Let time pass."""
        until = self.now + seconds
        while self.now < until:
            self.now += TICK
            while self._events and self._events[0][0] <= self.now:
                self._handle(heappop(self._events)[2])
            self._report_loads()
            commands, orders = self.leader.tick(self.now)
            for command in commands:
                self._at(self.now + 0.02, ("commit", self.leader, command))
            for order in orders:
                self._send(order)

    def _handle(self, event: object) -> None:
        """Carry out an event."""
        match event:
            case ("beat", str(name)):
                self._beat(self.lives[name])
            case ("start", str(address)):
                self.start_server(address)
            case ("commit", DirectedLeader() as leader, command):
                if leader is self.leader:
                    self.commit(command)  # type: ignore[arg-type]
                    leader.complete_proposal(command)  # type: ignore[arg-type]
            case ("arrive", leader, tuple() as order, bool(answered), float(wait)):
                self._arrive(leader, order, answered, wait)  # type: ignore[arg-type]
            case ("apply", GrantOrder() as order, float(arrived)):
                self._apply_grant(order, arrived)
            case ("apply", ReleaseOrder() as order, float()):
                self._apply_release(order)
            case ("result", leader, OrderResult() as result):
                if leader is self.leader:
                    command = self.leader.complete_order(result, self.now)
                    if command is not None:
                        self._at(self.now + 0.02, ("commit", leader, command))

    def _beat(self, life: Life) -> None:
        """Announce a server, if it can."""
        if not life.up:
            return
        life.sequence += 1
        self._at(self.now + BEAT, ("beat", life.name))
        if life.cut:
            return
        heartbeat = ServerHeartbeat(
            life.name, SERVICE, life.address, "a", 2, life.sequence, life.leaving
        )
        command = self.leader.receive_heartbeat(heartbeat, self.now)
        if command is not None and not isinstance(command, Refusal):
            self.commit(command)

    def _report_loads(self) -> None:
        """Report some requests, as entry hosts do."""
        spread = (self.random.randrange(KEYS), self.random.randrange(KEYS))
        keys = self._hot or spread
        loads = tuple(RangeLoad(SERVICE, key * STEP, 2, 0.0) for key in keys)
        self.leader.add_loads(loads)
        speeds = tuple(ServerSpeed(name, 1, 50.0) for name in self.lives)
        self.leader.add_speeds(speeds)

    # Orders

    def _find(self, address: str) -> Life | None:
        """Return the life at an address."""
        for life in self.lives.values():
            if life.address == address and life.up:
                return life
        return None

    def _send(self, order: Order) -> None:
        """Send an order on its way, with or without a fault."""
        draw = self.random.random()
        delay = self.random.uniform(0.001, 0.04)
        life = self._find(order.server.address)
        if life is None or life.cut or draw < self.faults.lost:
            self._answer(order, OrderOutcome.NOT_SENT, 1.0)
            return
        draw = self.random.random()
        if draw < self.faults.late:
            # It arrives now, is carried out seconds later, and never answered.
            arrived = self.now + delay
            wait = self.random.uniform(2, 12)
            self._at(arrived + wait, ("apply", order, arrived))
            self._answer(order, OrderOutcome.UNKNOWN, TIMING.order_timeout)
            return
        answered = self.random.random() >= self.faults.unanswered
        event = ("arrive", self.leader, order, answered, delay)
        self._at(self.now + delay, event)

    def _answer(
        self, order: Order, outcome: OrderOutcome, wait: float, token: str = ""
    ) -> None:
        """Have the leader that sent an order learn what became of it."""
        result = OrderResult(order, outcome, token)
        self._at(self.now + wait, ("result", self.leader, result))

    def _arrive(
        self, leader: object, order: Order, answered: bool, wait: float
    ) -> None:
        """Have a server read an order."""
        life = self._find(order.server.address)
        outcome = OrderOutcome.DONE
        if life is None:
            outcome = OrderOutcome.UNKNOWN
        elif life.name != order.server.name:
            outcome = OrderOutcome.OTHER_INSTANCE
        elif isinstance(order, GrantOrder):
            if not self._apply_grant(order, self.now):
                outcome = OrderOutcome.NEWER_EPOCH
        elif isinstance(order, ReleaseOrder):
            self._apply_release(order)
            wait += self.random.uniform(0, 0.3)
        elif isinstance(order, ProbeOrder):
            outcome = OrderOutcome.DONE
        if not answered:
            outcome, wait = OrderOutcome.UNKNOWN, TIMING.order_timeout
        result = OrderResult(order, outcome, "token")
        self._at(self.now + wait, ("result", leader, result))

    def _apply_grant(self, order: GrantOrder, arrived: float) -> bool:
        """Have a server hold keys; return whether it had seen no newer fence."""
        life = self._find(order.server.address)
        if life is None or life.name != order.server.name:
            return True
        keys = _keys(order.low, order.high)
        if any(life.keys[k].fence > order.epoch for k in keys if k in life.keys):
            return False
        until = arrived + order.hold_ms / 1000 * (1 + life.slowness)
        for key in keys:
            known = life.keys.get(key, Held(order.epoch, 0.0))
            life.keys[key] = Held(order.epoch, max(known.until, until))
            self._check_fence(key, order.epoch, life.name)
            self._check_alone(key)
        return True

    def _apply_release(self, order: ReleaseOrder) -> None:
        """Have a server give keys up."""
        life = self._find(order.server.address)
        if life is None or life.name != order.server.name:
            return
        for key in _keys(order.low, order.high):
            held = life.keys.get(key)
            if held is not None and held.fence <= order.epoch:
                life.keys[key] = Held(held.fence, 0.0)

    # Checks

    def _check_fence(self, key: int, fence: int, name: str) -> None:
        """Note a key that comes to another server without a higher fence."""
        highest, holder = self.highest.get(key, (0, ""))
        late = self.holders(key) != [name]
        if holder not in ("", name) and fence <= highest and not late:
            self.problems.append(f"key {key}: fence {fence} after {highest}")
        if fence > highest:
            self.highest[key] = (fence, name)

    def holders(self, key: int) -> list[str]:
        """Return the servers that hold a key now."""
        return [
            life.name
            for life in self.lives.values()
            if life.up and key in life.keys and life.keys[key].until > self.now
        ]

    def _check_alone(self, key: int) -> None:
        """Note a key that two servers hold; only a grant can bring that about."""
        holders = self.holders(key)
        if len(holders) > 1:
            self.problems.append(f"{self.now:.2f}: key {key} is held by {holders}")

    def unserved(self) -> list[int]:
        """Return the keys whose committed owner does not hold them."""
        missing = []
        for key in range(KEYS):
            row = self.state.ranges.find(SERVICE, key * STEP)
            owner = row.owner.rpartition("@")[0] if row is not None else ""
            if [owner] != self.holders(key):
                missing.append(key)
        return missing

    def unserved_for(self, seconds: float) -> list[int]:
        """Return the keys that are unserved all the while; one may be moving."""
        missing = set(self.unserved())
        until = self.now + seconds
        while self.now < until and missing:
            self.run(TICK)
            missing &= set(self.unserved())
        return sorted(missing)


def _keys(low: int, high: int) -> range:
    """Return the keys of a range."""
    return range(low // STEP, high // STEP + 1)


def _ignore(kind: str, **fields: object) -> None:
    """Be the report of a leader whose events nobody reads."""
