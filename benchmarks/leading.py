"""Processor time of a leader's decisions, by the number of servers that own keys.

``python -m benchmarks.leading [--servers 100 --servers 1000]``. No network, disk or
consensus: commands apply at once and orders are answered at once.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Final

import defopt

from dragonflyrock.control import commands as c
from dragonflyrock.control.directed import DirectedLeader
from dragonflyrock.control.directed_models import (
    DirectedTiming,
    HeldPart,
    Order,
    OrderOutcome,
    OrderResult,
    ServerHeartbeat,
)
from dragonflyrock.control.state import ControlState
from dragonflyrock.errors import Refusal
from dragonflyrock.hashing import KEY_SPACE
from dragonflyrock.models import GrantedBy
from dragonflyrock.routes import RouteDocument, RoutedService
from dragonflyrock.transport.messages import RangeLoad, ServerSpeed

SERVICE: Final = "finder"
KEY_STEP: Final = KEY_SPACE >> 16
TICK_SECONDS: Final = 0.05
STEADY_SECONDS: Final = 10.0
REQUESTS_PER_SERVER: Final = 5
DROPPED_SHARE: Final = 10


class Fleet:
    """A leader, and servers that answer at once and hold what they are told."""

    def __init__(self, count: int, granted_by: GrantedBy) -> None:
        """Start ``count`` servers that have not announced themselves yet."""
        self._index = 0
        self.now = 100.0
        self.state = ControlState()
        service = RoutedService(SERVICE, "/health", 100, True, 0.0)
        self.commit(c.PutRoutes(0, "first", RouteDocument(1, (), (service,))))
        timing = DirectedTiming(granted_by=granted_by)
        self.leader = DirectedLeader(self.state, timing, _discard, self.now)
        self.names = [f"s{number}" for number in range(count)]
        self.sequence = 0
        self._held: dict[str, tuple[HeldPart, ...]] = {}
        self._random = Random(1)

    def announce(self) -> None:
        """Send a heartbeat of each server to the leader."""
        self.sequence += 1
        for number, name in enumerate(self.names):
            heartbeat = ServerHeartbeat(
                name,
                SERVICE,
                f"10.0.0.1:{number}",
                "a",
                2,
                self.sequence,
                held=self._held.get(name, ()),
            )
            command = self.leader.receive_heartbeat(heartbeat, self.now)
            if command is not None and not isinstance(command, Refusal):
                self.commit(command)
            for assigned in self.leader.receive_holds(heartbeat, self.now):
                self.finish(assigned)
            answer = self.leader.answer_heartbeat(heartbeat, self.now, self.now)
            self._held[name] = tuple(
                HeldPart(row.low, row.high, row.epoch) for row in answer.held or ()
            )

    def report_loads(self) -> None:
        """Report one second of requests, as entry hosts do."""
        keys = [self._random.randrange(65_536) for _ in range(len(self.names) * 5)]
        loads = tuple(RangeLoad(SERVICE, key * KEY_STEP, 1, 0.0) for key in keys)
        self.leader.add_loads(loads)
        speeds = (ServerSpeed(name, REQUESTS_PER_SERVER, 300.0) for name in self.names)
        self.leader.add_speeds(tuple(speeds))

    def tick(self) -> None:
        """Run a tick; commands and orders of it are carried out at once."""
        self.now += TICK_SECONDS
        commands, orders = self.leader.tick(self.now)
        for command in commands:
            self.finish(command)
        for order in orders:
            self.answer(order)

    def run(self, seconds: float) -> None:
        """Run ticks, and heartbeats and load reports once a second."""
        for number in range(int(seconds / TICK_SECONDS)):
            if number % int(1 / TICK_SECONDS) == 0:
                self.announce()
                self.report_loads()
            self.tick()

    def end_servers(self) -> None:
        """End a share of the servers."""
        ended = tuple(self.names[::DROPPED_SHARE])
        for command in self.leader.drop_ended_servers(ended):
            self.finish(command)
        self.names = [name for name in self.names if name not in ended]

    def answer(self, order: Order) -> None:
        """Answer an order at once."""
        result = OrderResult(order, OrderOutcome.DONE)
        command = self.leader.complete_order(result, self.now)
        if command is not None:
            self.finish(command)

    def finish(self, command: c.Command) -> None:
        """Apply a command of the leader."""
        self.commit(command)
        self.leader.complete_proposal(command)

    def commit(self, command: c.Command) -> None:
        """Apply a command as the next log entry."""
        self._index += 1
        self.state.apply(self._index, c.COMMANDS.encode(command))


def run_leading(*, servers: list[int] | None = None, heartbeat: bool = False) -> int:
    """Measure and print the processor time by step.

    :param servers: numbers of servers to measure
    :param heartbeat: tell servers their keys in answers to heartbeats, not by orders
    """
    by = GrantedBy.HEARTBEAT if heartbeat else GrantedBy.CALL
    print("servers  register s  divide s  steady share of a core  lose a tenth s")
    for count in servers or [100, 300, 1000]:
        fleet = Fleet(count, by)
        registering = measure(fleet.announce)
        fleet.now += 5.0
        fleet.announce()
        dividing = measure(fleet.tick)
        fleet.run(2.0)
        steady = measure(partial(fleet.run, STEADY_SECONDS)) / STEADY_SECONDS
        fleet.end_servers()
        losing = measure(fleet.tick)
        print(
            f"{count:7}  {registering:10.3f}  {dividing:8.3f}  {steady:22.3f}"
            f"  {losing:14.3f}"
        )
    return 0


def measure(call: Callable[[], None]) -> float:
    """Return the seconds of processor time of a call."""
    began = time.process_time()
    call()
    return time.process_time() - began


def _discard(*_args: object, **_fields: object) -> None:
    """Discard an event."""


if __name__ == "__main__":
    raise SystemExit(defopt.run(run_leading))
