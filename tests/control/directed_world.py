"""A simulation of a leader and its directed servers, with delayed orders."""

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
from dragonflyrock.tables import ColdNotice, ColdTable
from dragonflyrock.transport.messages import RangeLoad, ServerSpeed

SERVICE: Final = "finder"
KEY_COUNT: Final = 32
KEY_STEP: Final = KEY_SPACE // KEY_COUNT
TICK_SECONDS: Final = 0.1
HEARTBEAT_INTERVAL_SECONDS: Final = 1.0
# How much slower a server's clock may run than the leader's.
MAX_SLOWNESS_SHARE: Final = 0.02
TIMING: Final = DirectedTiming(key_step=KEY_STEP)


class HeldKey(NamedTuple):
    """A key that a server holds until a time of the simulation's clock."""

    fence: int
    until: float


@dataclass(slots=True)
class ServerInstance:
    """An instance of a server, with the keys that it holds.

    ``born`` tells its lives apart, and ``connection`` is that of the leader's orders.
    """

    name: str
    address: str
    slowness: float
    sequence: int = 0
    leaving: bool = False
    running: bool = True
    zone: str = "a"
    cold_seconds: float = 0.0
    cut_off: bool = False
    keys: dict[int, HeldKey] = field(default_factory=dict)
    born: int = 0
    connection: int = 1


@dataclass(slots=True)
class Faults:
    """Shares of orders that are not answered, delayed or lost."""

    unanswered: float = 0.0
    late: float = 0.0
    lost: float = 0.0


class DirectedWorld:
    """A leader, its servers, and the messages in transit between them.

    With ``says_born`` servers say when they started.
    """

    def __init__(self, seed: int, servers: int = 4, *, says_born: bool = False) -> None:
        """Start with a document and servers that announce themselves."""
        self._says_born = says_born
        self._connection_count = 1
        self.random = Random(seed)
        self.now = 100.0
        self.state = ControlState()
        self.faults = Faults()
        self.cold = ColdTable()
        self.instances: dict[str, ServerInstance] = {}
        self.highest_fence: dict[int, tuple[int, str]] = {}
        self.violations: list[str] = []
        self._events: list[tuple[float, int, object]] = []
        self._count = 0
        self._index = 0
        self._started_count = 0
        self._hot_keys: tuple[int, ...] = ()
        document = RouteDocument(
            1, (), (RoutedService(SERVICE, "/health", 100, True, 0.0),)
        )
        self.commit(c.PutRoutes(0, "first", document))
        self.leader = self._make_leader()
        for number in range(servers):
            self.start_server(f"10.0.0.{number}:80")

    def _make_leader(self) -> DirectedLeader:
        """Return a newly elected leader."""
        return DirectedLeader(self.state, TIMING, _discard_event, self.now, self.cold)

    def change_leader(self) -> None:
        """Elect another leader; the orders of the last one are still in transit."""
        self.leader = self._make_leader()

    def commit(self, command: c.Command) -> object:
        """Apply a command to the state."""
        self._index += 1
        return self.state.apply(self._index, c.COMMANDS.encode(command))

    def order_evacuation(self, zone: str, *, evacuated: bool) -> None:
        """Carry out an operator's order to evacuate a zone, or to take it back."""
        self.commit(c.EvacuateZone(zone, evacuated, self.state.revision))

    def start_server(self, address: str, zone: str = "a") -> ServerInstance:
        """Start a new server instance at an address."""
        self._started_count += 1
        instance = ServerInstance(
            f"s{self._started_count}",
            address,
            self.random.uniform(0, MAX_SLOWNESS_SHARE),
            zone=zone,
        )
        if self._says_born:
            self._begin_life(instance)
        self.instances[instance.name] = instance
        self._schedule(
            self.now + self.random.uniform(0, HEARTBEAT_INTERVAL_SECONDS),
            ("beat", instance.name),
        )
        return instance

    def _begin_life(self, instance: ServerInstance) -> None:
        """Have an instance run, without knowledge of a former life."""
        instance.born = round(self.now * 1000)
        instance.keys, instance.sequence = {}, 0
        instance.running, instance.leaving = True, False
        self._open_connection(instance)

    def _open_connection(self, instance: ServerInstance) -> None:
        """Have the leader's next orders to an instance go over a new connection."""
        self._connection_count += 1
        instance.connection = self._connection_count

    def restart_later(self, instance: ServerInstance, down: float) -> None:
        """Stop an instance without notice; it starts again under its name later."""
        instance.running = False
        instance.keys = {}
        self._schedule(self.now + down, ("restart", instance.name))

    def reset_connections(self) -> None:
        """Break the connections of all instances."""
        for instance in self.instances.values():
            self._open_connection(instance)

    def crash(self, instance: ServerInstance, down: float) -> None:
        """Stop an instance without notice; another starts at its address later."""
        instance.running = False
        instance.keys.clear()
        self._schedule(self.now + down, ("start", instance.address))

    def set_hot_keys(self, *keys: int) -> None:
        """Set the keys that get all requests; without keys the requests are random."""
        self._hot_keys = keys

    def _schedule(self, when: float, event: object) -> None:
        """Schedule an event."""
        self._count += 1
        heappush(self._events, (when, self._count, event))

    def run(self, seconds: float) -> None:
        """Advance the clock in ticks."""
        until = self.now + seconds
        while self.now < until:
            self.now += TICK_SECONDS
            while self._events and self._events[0][0] <= self.now:
                self._handle(heappop(self._events)[2])
            self._report_loads()
            commands, orders = self.leader.tick(self.now)
            for command in commands:
                self._schedule(self.now + 0.02, ("commit", self.leader, command))
            for order in orders:
                self._send(order)

    def _handle(self, event: object) -> None:
        """Handle a scheduled event."""
        match event:
            case ("beat", str(name)):
                self._send_heartbeat(self.instances[name])
            case ("start", str(address)):
                self.start_server(address)
            case ("restart", str(name)):
                self._begin_life(self.instances[name])
                self._schedule(self.now + self.random.uniform(0, 1.0), ("beat", name))
            case ("commit", DirectedLeader() as leader, command):
                if leader is self.leader:
                    self.commit(command)  # type: ignore[arg-type]
                    leader.complete_proposal(command)  # type: ignore[arg-type]
            case ("arrive", leader, tuple() as order, bool(answered), float(wait)):
                self._arrive(leader, order, answered, wait)  # type: ignore[arg-type]
            case ("apply", tuple() as order, float(arrived), int(born)):
                self._apply_late(order, arrived, born)  # type: ignore[arg-type]
            case ("result", leader, OrderResult() as result):
                if leader is self.leader:
                    command = self.leader.complete_order(result, self.now)
                    if command is not None:
                        self._schedule(self.now + 0.02, ("commit", leader, command))

    def _send_heartbeat(self, instance: ServerInstance) -> None:
        """Send a server's heartbeat to the leader, unless it is cut off."""
        if not instance.running:
            return
        instance.sequence += 1
        self._schedule(self.now + HEARTBEAT_INTERVAL_SECONDS, ("beat", instance.name))
        if instance.cut_off:
            return
        heartbeat = ServerHeartbeat(
            instance.name,
            SERVICE,
            instance.address,
            instance.zone,
            2,
            instance.sequence,
            instance.leaving,
            cold_ms=instance.cold_seconds * 1000,
            born=instance.born,
        )
        notice = ColdNotice(instance.name, instance.sequence, instance.cold_seconds)
        self.cold.record(notice, self.now)
        while (
            command := self.leader.receive_heartbeat(heartbeat, self.now)
        ) is not None:
            if isinstance(command, Refusal):
                return
            self.commit(command)

    def _report_loads(self) -> None:
        """Report some requests to the leader, as entry hosts do."""
        spread = (self.random.randrange(KEY_COUNT), self.random.randrange(KEY_COUNT))
        keys = self._hot_keys or spread
        loads = tuple(RangeLoad(SERVICE, key * KEY_STEP, 2, 0.0) for key in keys)
        self.leader.add_loads(loads)
        speeds = tuple(ServerSpeed(name, 1, 50.0) for name in self.instances)
        self.leader.add_speeds(speeds)

    def _find(self, address: str) -> ServerInstance | None:
        """Return the instance at an address."""
        for instance in self.instances.values():
            if instance.address == address and instance.running:
                return instance
        return None

    def _send(self, order: Order) -> None:
        """Send an order, with or without a fault."""
        draw = self.random.random()
        delay = self.random.uniform(0.001, 0.04)
        instance = self._find(order.server.address)
        if not _is_connected(order, instance):
            self._answer(order, OrderOutcome.NO_CONNECTION, 0.001)
            return
        if instance is None or instance.cut_off or draw < self.faults.lost:
            self._answer(order, OrderOutcome.NOT_SENT, 1.0)
            return
        draw = self.random.random()
        if draw < self.faults.late:
            # It arrives now, is executed seconds later, and is never answered.
            arrived = self.now + delay
            wait = self.random.uniform(2, 12)
            event = ("apply", order, arrived, instance.born)
            self._schedule(arrived + wait, event)
            self._answer(order, OrderOutcome.UNKNOWN, TIMING.order_timeout)
            return
        answered = self.random.random() >= self.faults.unanswered
        arrival = ("arrive", self.leader, order, answered, delay)
        self._schedule(self.now + delay, arrival)

    def _answer(
        self, order: Order, outcome: OrderOutcome, wait: float, token: str = ""
    ) -> None:
        """Schedule the result of an order at the leader that sent it."""
        result = OrderResult(order, outcome, token)
        self._schedule(self.now + wait, ("result", self.leader, result))

    def _arrive(
        self, leader: object, order: Order, answered: bool, wait: float
    ) -> None:
        """Have a server receive and execute an order."""
        instance = self._find(order.server.address)
        outcome = OrderOutcome.DONE
        if instance is None or not _is_connected(order, instance):
            outcome = OrderOutcome.UNKNOWN
        elif instance.name != order.server.name:
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
        connection = instance.connection if instance is not None else 0
        result = OrderResult(order, outcome, "token", connection=connection)
        self._schedule(self.now + wait, ("result", leader, result))

    def _apply_late(self, order: Order, arrived: float, born: int) -> None:
        """Have the life that received an order execute it, if it still runs."""
        instance = self._find(order.server.address)
        if instance is None or instance.born != born:
            return
        match order:
            case GrantOrder():
                self._apply_grant(order, arrived)
            case ReleaseOrder():
                self._apply_release(order)

    def _apply_grant(self, order: GrantOrder, arrived: float) -> bool:
        """Have a server hold keys; return False if it has seen a newer fence."""
        instance = self._find(order.server.address)
        if instance is None or instance.name != order.server.name:
            return True
        keys = _keys(order.low, order.high)
        if any(
            instance.keys[k].fence > order.epoch for k in keys if k in instance.keys
        ):
            return False
        until = arrived + order.hold_ms / 1000 * (1 + instance.slowness)
        for key in keys:
            held = instance.keys.get(key, HeldKey(order.epoch, 0.0))
            instance.keys[key] = HeldKey(order.epoch, max(held.until, until))
            life = f"{instance.name} of {instance.born}"
            self._check_fence(key, order.epoch, instance.name, life)
            self._check_sole_holder(key)
        return True

    def _apply_release(self, order: ReleaseOrder) -> None:
        """Have a server release keys."""
        instance = self._find(order.server.address)
        if instance is None or instance.name != order.server.name:
            return
        for key in _keys(order.low, order.high):
            held = instance.keys.get(key)
            if held is not None and held.fence <= order.epoch:
                instance.keys[key] = HeldKey(held.fence, 0.0)

    def _check_fence(self, key: int, fence: int, name: str, life: str) -> None:
        """Record a key that is granted to another life without a higher fence."""
        highest_fence, holder = self.highest_fence.get(key, (0, ""))
        late = self.holders(key) != [name]
        if holder not in ("", life) and fence <= highest_fence and not late:
            self.violations.append(f"key {key}: fence {fence} after {highest_fence}")
        if fence > highest_fence:
            self.highest_fence[key] = (fence, life)

    def holders(self, key: int) -> list[str]:
        """Return the servers that hold a key now."""
        return [
            instance.name
            for instance in self.instances.values()
            if instance.running
            and key in instance.keys
            and instance.keys[key].until > self.now
        ]

    def _check_sole_holder(self, key: int) -> None:
        """Record a key that two servers hold; only a grant can cause that."""
        holders = self.holders(key)
        if len(holders) > 1:
            self.violations.append(f"{self.now:.2f}: key {key} is held by {holders}")

    def unserved(self) -> list[int]:
        """Return the keys whose committed owner does not hold them."""
        missing = []
        for key in range(KEY_COUNT):
            row = self.state.ranges.find(SERVICE, key * KEY_STEP)
            owner = row.owner.rpartition("@")[0] if row is not None else ""
            if [owner] != self.holders(key):
                missing.append(key)
        return missing

    def unserved_for(self, seconds: float) -> list[int]:
        """Return the keys that are unserved for the whole time, unlike moving keys."""
        missing = set(self.unserved())
        until = self.now + seconds
        while self.now < until and missing:
            self.run(TICK_SECONDS)
            missing &= set(self.unserved())
        return sorted(missing)


def _is_connected(order: Order, instance: ServerInstance | None) -> bool:
    """Return whether an order that needs one connection can be sent on it."""
    if not isinstance(order, GrantOrder) or not order.connection:
        return True
    return instance is not None and instance.connection == order.connection


def _keys(low: int, high: int) -> range:
    """Return the keys of a range."""
    return range(low // KEY_STEP, high // KEY_STEP + 1)


def _discard_event(kind: str, **fields: object) -> None:
    """Ignore an event of the leader."""
