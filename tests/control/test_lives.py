"""Servers that start again under their names: each life told apart from the next."""

from __future__ import annotations

from pathlib import Path

import pytest

from dragonflyrock.control import commands as c
from dragonflyrock.control.calls import CALLS, HeartbeatAccepted
from dragonflyrock.control.directed import DirectedLeader
from dragonflyrock.control.directed_models import (
    GrantOrder,
    OrderOutcome,
    OrderResult,
    ProbeOrder,
    ServerHeartbeat,
)
from dragonflyrock.control.member import CONTROL_GROUP
from dragonflyrock.control.state import ControlState
from dragonflyrock.errors import Reason, Refusal
from dragonflyrock.models import ServerRow
from dragonflyrock.routes import RouteDocument, RoutedService
from dragonflyrock.transport.messages import CallAnswer, CallRequest

from .directed_world import SERVICE, TIMING, DirectedWorld
from .test_near_member import Leader

FIRST = 1_790_000_000_000
SECOND = FIRST + 5_000


class Tables:
    """A leader of one server, whose commands are committed at once."""

    def __init__(self, born: int = FIRST) -> None:
        """Start with a server that is registered in one life."""
        self.now = 100.0
        self.state = ControlState()
        self._index = 0
        service = RoutedService(SERVICE, "/health", 100, True, 0.0)
        self.commit(c.PutRoutes(0, "first", RouteDocument(1, (), (service,))))
        self.events: list[str] = []
        self.elect()
        self.announce(born, 1)

    def elect(self) -> None:
        """Elect a leader that knows only what is committed."""

        def report(kind: str, **fields: object) -> None:
            """Keep the kind of an event."""
            self.events.append(kind)

        self.leader = DirectedLeader(self.state, TIMING, report, self.now)

    def commit(self, command: c.Command) -> object:
        """Apply a command as the next log entry."""
        self._index += 1
        return self.state.apply(self._index, c.COMMANDS.encode(command))

    def announce(
        self,
        born: int,
        sequence: int,
        *,
        leaving: bool = False,
        ended: bool = False,
        address: str = "10.0.0.1:80",
    ) -> bool:
        """Send a heartbeat until nothing is left to commit; return if it is taken."""
        heartbeat = ServerHeartbeat(
            "s1",
            SERVICE,
            address,
            "a",
            2,
            sequence,
            leaving or ended,
            ended,
            born=born,
        )
        for _ in range(4):
            command = self.leader.receive_heartbeat(heartbeat, self.now)
            if isinstance(command, Refusal):
                return False
            if command is None:
                return True
            assert isinstance(self.commit(command), c.Done)
        raise AssertionError("there is always something to commit")

    def run(self, seconds: float) -> list[GrantOrder]:
        """Run ticks, commit their commands, and return the grants ordered."""
        grants: list[GrantOrder] = []
        for _ in range(round(seconds / 0.1)):
            self.now += 0.1
            commands, orders = self.leader.tick(self.now)
            for command in commands:
                self.commit(command)
                self.leader.complete_proposal(command)
            grants += [order for order in orders if isinstance(order, GrantOrder)]
        return grants

    def complete(
        self, order: GrantOrder | ProbeOrder, outcome: OrderOutcome, connection: int = 1
    ) -> None:
        """Complete an order."""
        result = OrderResult(order, outcome, connection=connection)
        command = self.leader.complete_order(result, self.now)
        if command is not None:
            self.commit(command)

    @property
    def row(self) -> ServerRow:
        """Return the row of the server."""
        return self.state.servers["s1"]


# Guards against OWNER: another life of a server is granted keys with the token of the
# former one; and against keys that nobody serves after that.
@pytest.mark.parametrize("seed", range(20))
def test_no_life_gets_a_token_of_another(seed: int) -> None:
    world = DirectedWorld(seed, says_born=True)
    world.run(8)
    assert world.unserved_for(3) == []
    for _ in range(12):
        world.faults.unanswered = world.random.choice((0.0, 0.0, 0.1))
        world.faults.lost = world.random.choice((0.0, 0.0, 0.1))
        instance = world.random.choice(list(world.instances.values()))
        match world.random.randrange(5):
            case 0:
                world.change_leader()
            case 1:
                world.reset_connections()
            case _ if instance.running:
                world.restart_later(instance, world.random.choice((0.1, 0.4, 1.0, 3.0)))
        world.run(world.random.choice((0.3, 1.0, 4.0)))
    world.faults.unanswered = world.faults.lost = 0.0
    world.run(25)
    assert world.violations == []
    assert world.unserved_for(4) == []


# Guards against OWNER: a server starts again between two heartbeats, and the renewal
# that is due reaches the next life before anybody knows of it.
def test_an_epoch_is_granted_again_only_on_its_connection() -> None:
    tables = Tables()
    first = tables.run(3.0)[0]
    assert first.connection == 0
    tables.complete(first, OrderOutcome.DONE, connection=7)
    tables.announce(FIRST, 2)
    again = tables.run(2.5)[0]
    assert (again.epoch, again.connection) == (first.epoch, 7)
    tables.complete(again, OrderOutcome.NO_CONNECTION)
    newer = tables.run(0.5)[0]
    assert newer.epoch > first.epoch
    assert newer.connection == 0


# Guards against the same at a leader that was elected meanwhile.
def test_a_new_leader_grants_under_newer_epochs() -> None:
    tables = Tables()
    first = tables.run(3.0)[0]
    tables.complete(first, OrderOutcome.DONE)
    tables.elect()
    tables.announce(FIRST, 2)
    newer = tables.run(1.0)[0]
    assert newer.epoch > first.epoch


# Guards against DRAIN: the draining of a restarted server is acknowledged and ignored,
# as its heartbeats have lower numbers than those of its former life.
def test_a_life_that_leaves_at_once_is_marked_before_it_is_acknowledged() -> None:
    tables = Tables()
    assert tables.announce(FIRST, 40)
    assert tables.announce(SECOND, 1, leaving=True)
    assert tables.row.incarnation == SECOND
    assert tables.row.stopping
    assert "server-restarted" in tables.events


# Guards against an acknowledgement of what was not taken.
def test_a_late_heartbeat_of_the_same_life_is_refused() -> None:
    tables = Tables()
    assert tables.announce(FIRST, 5)
    assert not tables.announce(FIRST, 3, leaving=True)
    assert not tables.row.stopping


# Guards against Starved: servers that drained and started again under their names get
# no request any more.
def test_a_life_after_one_that_drained_gets_requests() -> None:
    tables = Tables()
    tables.announce(FIRST, 2, leaving=True)
    tables.announce(FIRST, 0, ended=True)
    tables.now += 0.5
    assert tables.announce(SECOND, 1)
    assert not tables.row.stopping
    assert tables.row.incarnation == SECOND


# Guards against calls of a former life that act on the next one, by whatever node and
# in whatever order they arrive.
def test_calls_of_a_former_life_act_on_nothing() -> None:
    tables = Tables()
    assert tables.announce(SECOND, 1, address="10.0.0.2:80")
    assert not tables.announce(FIRST, 9, leaving=True)
    assert not tables.announce(FIRST, 0, ended=True)
    silent_since = tables.now
    tables.now += 3.0
    tables.leader.receive_heard_servers((("s1", 50),), tables.now, (FIRST,))
    liveness = tables.leader._tables.liveness["s1"]
    assert liveness.announced_at <= silent_since
    assert tables.announce(SECOND, 2, address="10.0.0.2:80")
    assert tables.leader.drop_ended_servers((f"s1@{FIRST}",)) == []
    assert not tables.row.stopping


# Guards against heartbeats of the present life that count as late ones, after those of
# the former life were reported by a follower of a former build.
def test_reports_that_name_no_life_show_only_that_a_server_lives() -> None:
    tables = Tables()
    tables.leader.receive_heard_servers((("s1", 50),), tables.now)
    assert tables.announce(FIRST, 2)
    tables.leader.receive_heard_servers((("s1", 8),), tables.now, (FIRST,))
    assert not tables.announce(FIRST, 7)


# Guards against results of orders to a former life that count for the present one.
def test_results_of_orders_to_a_former_life_do_not_count() -> None:
    tables = Tables()
    first = tables.run(3.0)[0]
    tables.announce(SECOND, 1)
    for _ in range(5):
        tables.complete(first, OrderOutcome.UNKNOWN)
    tables.complete(ProbeOrder(first.server, "/health"), OrderOutcome.OTHER_INSTANCE)
    assert tables.row.incarnation == SECOND
    assert tables.leader._tables.liveness["s1"].failures == 0
    newer = tables.run(0.5)[0]
    assert newer.server.incarnation == SECOND
    assert newer.epoch > first.epoch


# Guards against DRAIN: a late heartbeat registers a server anew that has announced its
# end, at the same leader or at one that was elected since.
@pytest.mark.parametrize("elects", [False, True])
def test_a_life_that_has_announced_its_end_stays_ended(*, elects: bool) -> None:
    tables = Tables()
    tables.announce(FIRST, 0, ended=True)
    tables.run(2 * TIMING.silence_timeout + 1.0)
    assert "s1" not in tables.state.servers
    if elects:
        tables.elect()
    tables.now += 100.0
    assert not tables.announce(FIRST, 2)
    assert not tables.announce(FIRST - 5_000, 2)
    assert "s1" not in tables.state.servers
    assert tables.announce(SECOND, 1)
    assert not tables.row.stopping


# Guards against a server that is shut out for good since its clock went back between
# two lives: it is probed first, as one that may be late.
def test_a_life_with_an_earlier_clock_registers_once_it_was_probed() -> None:
    tables = Tables()
    tables.announce(FIRST, 0, ended=True)
    tables.run(2 * TIMING.silence_timeout + 1.0)
    assert not tables.announce(FIRST - 5_000, 1)
    _, orders = tables.leader.tick(tables.now)
    (probe,) = [order for order in orders if isinstance(order, ProbeOrder)]
    tables.complete(probe, OrderOutcome.DONE)
    assert tables.announce(FIRST - 5_000, 2)
    assert tables.row.incarnation == FIRST - 5_000


# Guards against a row of a former build, which knows no lives: its server keeps what it
# has, and its next life is told apart.
def test_a_row_of_a_former_build_takes_the_life_that_speaks_first() -> None:
    tables = Tables(born=0)
    first = tables.run(3.0)[0]
    assert first.server.incarnation == 0
    tables.complete(first, OrderOutcome.DONE, connection=7)
    assert tables.announce(FIRST, 2)
    assert tables.row.incarnation == FIRST
    hold = tables.leader._tables.holds[SERVICE, 0]
    tables.run(0.1)
    assert hold.confirmed_until > tables.now
    assert tables.announce(SECOND, 1)
    newer = tables.run(0.5)[0]
    assert newer.epoch > first.epoch


# Guards against lives that a member loses which gets a snapshot, or starts from one.
def test_a_snapshot_keeps_the_lives() -> None:
    tables = Tables()
    tables.announce(SECOND, 1)
    state = ControlState()
    state.load(tables.state.dump())
    assert state.servers["s1"].incarnation == SECOND


# Guards against an acknowledgement of a command that the group refused.
def test_a_heartbeat_is_acknowledged_once_all_of_it_is_committed(
    tmp_path: Path,
) -> None:
    leader = Leader(tmp_path)
    beat = ServerHeartbeat("s1", SERVICE, "10.0.0.1:80", "a", 2, 40, born=FIRST)
    assert leader.call(beat) == HeartbeatAccepted()
    drained = beat._replace(sequence=1, born=SECOND, leaving=True)
    assert leader.call(drained) == HeartbeatAccepted()
    assert leader.state.servers["s1"].incarnation == SECOND
    assert leader.state.servers["s1"].stopping
    late = leader.call(beat)
    assert isinstance(late, Refusal)
    assert late.reason == Reason.OLD_INCARNATION


# Guards against a leader that was frozen and resumes with the row of the former life:
# its orders must not reach the present one.
def test_a_leader_that_resumes_grants_only_on_its_former_connections() -> None:
    tables = Tables()
    first = tables.run(3.0)[0]
    tables.complete(first, OrderOutcome.DONE, connection=7)
    tables.now += 7.0
    _, orders = tables.leader.tick(tables.now)
    grants = [order for order in orders if isinstance(order, GrantOrder)]
    assert [grant.connection for grant in grants] == [7]


# Guards against lives that are lost with all control nodes, whose disks are kept.
def test_a_whole_loss_keeps_the_lives() -> None:
    tables = Tables()
    first = tables.run(3.0)[0]
    tables.complete(first, OrderOutcome.DONE)
    tables.announce(SECOND, 1)
    state = ControlState()
    state.load(tables.state.dump())
    tables.state = state
    tables.elect()
    assert not tables.announce(FIRST, 90)
    assert tables.announce(SECOND, 2)
    newer = tables.run(1.0)[0]
    assert newer.server.incarnation == SECOND
    assert newer.epoch > first.epoch


# Guards against a former build that leads for a while: it assigns ranges to no life,
# and its servers may hold what it granted.
def test_ranges_that_a_former_build_assigned_get_newer_epochs() -> None:
    tables = Tables()
    tables.run(3.0)
    row = next(iter(tables.state.ranges))
    part = c.RangePart(row.low, row.high, row.epoch, "s1@0")
    tables.commit(c.AssignRanges(SERVICE, (part,)))
    by_former = next(iter(tables.state.ranges)).epoch
    tables.elect()
    tables.announce(FIRST, 2)
    hold = tables.leader._tables.holds[SERVICE, 0]
    assert hold.held_until > tables.now
    newer = tables.run(1.0)[0]
    assert newer.epoch > by_former
    assert next(iter(tables.state.ranges)).owner == f"s1@{FIRST}"


# Guards against an acknowledgement of a registration that the group refused, since a
# later life was registered while it waited for its commit.
def test_a_refused_registration_is_not_acknowledged(tmp_path: Path) -> None:
    leader = Leader(tmp_path)
    leader.sent.clear()
    for call_id, born in ((1, SECOND), (2, FIRST)):
        beat = ServerHeartbeat("s1", SERVICE, "10.0.0.1:80", "a", 2, 1, born=born)
        request = CallRequest(call_id, CONTROL_GROUP, CALLS.encode(beat))
        leader.member.receive_call("other", request, leader.now)
    leader.pass_time()
    answers = {
        message.call_id: CALLS.decode(message.body)
        for message in leader.sent
        if isinstance(message, CallAnswer)
    }
    assert answers[1] == HeartbeatAccepted()
    assert isinstance(answers[2], Refusal)
    assert leader.state.servers["s1"].incarnation == SECOND
