"""Tests of many servers that register at the same time."""

from __future__ import annotations

import pytest

from dragonflyrock.control import commands as c
from dragonflyrock.control.directed import DirectedLeader
from dragonflyrock.control.directed_models import (
    DirectedTiming,
    Order,
    OrderOutcome,
    OrderResult,
    ProbeOrder,
    ServerHeartbeat,
)
from dragonflyrock.control.state import ControlState
from dragonflyrock.errors import Reason, Refusal
from dragonflyrock.routes import RouteDocument, RoutedService

SERVICE = "finder"
# More heartbeats than a server sends while it registers at a group that is running.
LATE_SEQUENCE = 9


class Registry:
    """A leader whose commands are committed at once."""

    def __init__(self) -> None:
        """Start with a route document and no servers."""
        self.now = 100.0
        self.state = ControlState()
        self._index = 0
        service = RoutedService(SERVICE, "/health", 100, True, 0.0)
        self.commit(c.PutRoutes(0, "first", RouteDocument(1, (), (service,))))
        self.elect()

    def elect(self) -> None:
        """Elect a leader that knows only what is committed."""
        self.leader = DirectedLeader(
            self.state, DirectedTiming(), lambda *_, **__: None, self.now
        )

    def commit(self, command: c.Command) -> None:
        """Apply a command as the next log entry."""
        self._index += 1
        self.state.apply(self._index, c.COMMANDS.encode(command))

    def announce(self, name: str, sequence: int = 1, *, ended: bool = False) -> bool:
        """Send a heartbeat; return whether it is accepted."""
        heartbeat = ServerHeartbeat(
            name, SERVICE, f"10.0.0.1:{name[1:]}", "a", 2, sequence, ended, ended
        )
        command = self.leader.receive_heartbeat(heartbeat, self.now)
        if isinstance(command, Refusal):
            return False
        if command is not None:
            self.commit(command)
        return True

    def tick(self, seconds: float) -> list[Order]:
        """Run a tick after some time; commit its commands and return its orders."""
        self.now += seconds
        commands, orders = self.leader.tick(self.now)
        for command in commands:
            self.commit(command)
            self.leader.complete_proposal(command)
        return orders


@pytest.fixture
def registry() -> Registry:
    """Return a leader of a group without servers."""
    return Registry()


# Guards against a large fleet without owners of its keys, because some server registers
# at any moment and all the others are waited for.
def test_keys_are_divided_although_servers_still_register(registry: Registry) -> None:
    for number in range(60):
        assert registry.announce(f"s{number}")
        registry.tick(0.1)
    assert SERVICE in registry.state.ranges.services


# Guards against servers of a service without keys that delay the division of others.
def test_keys_are_divided_once_the_own_servers_have_registered(
    registry: Registry,
) -> None:
    assert registry.announce("s1")
    for number in range(20):
        heartbeat = ServerHeartbeat(
            f"d{number}", "dossier", f"10.0.0.2:{number}", "a", 2, 1
        )
        command = registry.leader.receive_heartbeat(heartbeat, registry.now)
        assert isinstance(command, c.RegisterServer)
        registry.commit(command)
        registry.tick(0.1)
    assert SERVICE in registry.state.ranges.services


# Guards against a fleet that is probed server by server before it is registered, since
# its first heartbeats came before there was a leader.
def test_the_first_leader_registers_servers_whose_first_heartbeats_were_lost(
    registry: Registry,
) -> None:
    assert registry.announce("s1", LATE_SEQUENCE)


# Guards against a late heartbeat that registers a server again that has left.
def test_a_later_leader_probes_a_server_before_it_registers_it(
    registry: Registry,
) -> None:
    assert registry.announce("s1")
    registry.commit(c.DropServer("s1"))
    registry.elect()
    assert not registry.announce("s1", LATE_SEQUENCE)
    orders = registry.tick(0.1)
    assert [type(order) for order in orders] == [ProbeOrder]
    result = OrderResult(orders[0], OrderOutcome.DONE)
    registry.leader.complete_order(result, registry.now)
    assert registry.announce("s1", LATE_SEQUENCE + 1)


# Guards against the same where the first leader itself has dropped the server.
def test_the_first_leader_probes_a_server_that_it_has_dropped(
    registry: Registry,
) -> None:
    assert registry.announce("s1")
    assert registry.announce("s1", 2, ended=True)
    registry.tick(30.0)
    assert "s1" not in registry.state.servers
    assert not registry.announce("s1", LATE_SEQUENCE)


# Guards against a probe for each heartbeat of a server that waits for the first one:
# its callers try every node in turn when they are refused.
def test_a_server_is_probed_once_at_a_time(registry: Registry) -> None:
    assert registry.announce("s1")
    registry.commit(c.DropServer("s1"))
    registry.elect()
    for sequence in range(10):
        assert not registry.announce("s1", LATE_SEQUENCE + sequence)
    assert len(registry.tick(0.1)) == 1


# Guards against a log and rows that grow with each name that another writer makes up.
def test_servers_of_services_that_nobody_configured_are_bounded(
    registry: Registry, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("dragonflyrock.control.instances.MAX_UNNAMED_SERVERS", 3)

    def announce(name: str, service: str) -> bool:
        """Send a heartbeat of a server of a service."""
        address = f"10.0.0.2:{9000 + len(registry.state.servers)}"
        heartbeat = ServerHeartbeat(name, service, address, "a", 2, 1)
        command = registry.leader.receive_heartbeat(heartbeat, registry.now)
        if isinstance(command, Refusal):
            assert command.reason == Reason.OVERLOADED
            return False
        assert command is not None
        registry.commit(command)
        return True

    assert [announce(f"x{n}", "made up") for n in range(5)] == [True] * 3 + [False] * 2
    assert all(announce(f"s{n}", SERVICE) for n in range(5))
