"""Ranges granted by orders: each key has one holder and is served after failures."""

from __future__ import annotations

import pytest
from hypothesis import example, given, seed, settings
from hypothesis import strategies as st

from dragonflyrock.control import commands as c
from dragonflyrock.control import directed
from dragonflyrock.control.directed_models import (
    GrantOrder,
    OrderOutcome,
    OrderResult,
    ReleaseOrder,
    ServerHeartbeat,
)
from dragonflyrock.errors import Refusal

from .directed_world import (
    KEY_COUNT,
    KEY_STEP,
    SERVICE,
    TICK_SECONDS,
    TIMING,
    DirectedWorld,
)
from .schedules import ACTIONS, RECOVERY_SECONDS, play, recover

# A part that is handed over has an owner again within this time.
HANDOVER_SECONDS = 1.5


def start(number: int, servers: int = 4, *, says_born: bool = False) -> DirectedWorld:
    """Return a world in which every key is held."""
    world = DirectedWorld(number, servers, says_born=says_born)
    world.run(5.0)
    assert world.unserved() == []
    return world


# Guards against keys that all stay with the servers that registered first.
def test_keys_are_divided_after_servers_have_registered() -> None:
    world = start(1)
    owners = {row.owner for row in world.state.ranges.of_service(SERVICE)}
    assert len(owners) == 4
    assert world.violations == []


# Guards against a stopping server that still holds keys when it ends, and against keys
# without a holder meanwhile.
def test_a_leaving_server_has_no_key_after_two_seconds() -> None:
    for number in range(8):
        world = start(number)
        instance = world.instances["s1"]
        instance.leaving = True
        world.run(1.2)
        assert world.state.servers["s1"].stopping
        world.run(0.8)
        assert not any("s1" in world.holders(key) for key in range(KEY_COUNT))
        assert world.unserved() == []
        assert world.violations == []


# Guards against a wait for the end of a hold whose server has ended: a probe of its
# address shows that a new instance runs there.
def test_a_restarted_servers_keys_are_served_before_its_hold_has_run_out() -> None:
    for number in range(8):
        world = start(number)
        world.crash(world.instances["s1"], 1.0)
        # The new instance announces itself within a second; the old one is then probed.
        world.run(3.5)
        assert world.unserved() == []
        assert world.violations == []


# Guards against keys that stay with a server that sends no heartbeats.
def test_a_silent_servers_keys_are_served_after_its_hold() -> None:
    for number in range(8):
        world = start(number)
        world.instances["s2"].cut_off = True
        world.run(RECOVERY_SECONDS)
        assert not any("s2" in world.holders(key) for key in range(KEY_COUNT))
        assert world.unserved() == []
        assert world.violations == []


# Guards against a part of a split range that waits forever: the count of pending grants
# was copied to both parts of the range.
def test_a_range_that_is_split_while_a_grant_is_pending_can_move() -> None:
    world = start(3)
    _, orders = world.leader.tick(world.now + TIMING.renew_interval)
    order, *others = (grant for grant in orders if isinstance(grant, GrantOrder))
    for grant in others:
        world.leader.complete_order(
            OrderResult(grant, OrderOutcome.NOT_SENT), world.now
        )
    middle = order.low + (order.high - order.low) // 2 // KEY_STEP * KEY_STEP
    other = next(n for n in world.instances if n != order.server.name)
    part = c.RangePart(middle, order.high, order.epoch, f"{other}@0")
    world.commit(c.AssignRanges(SERVICE, (part,)))
    _, later_orders = world.leader.tick(world.now + TIMING.renew_interval)
    for again in later_orders:
        world.leader.complete_order(
            OrderResult(again, OrderOutcome.NOT_SENT), world.now
        )
    done = OrderResult(order, OrderOutcome.DONE)
    world.leader.complete_order(done, world.now + TIMING.renew_interval)
    world.instances[order.server.name].leaving = True
    world.run(RECOVERY_SECONDS)
    assert not any(order.server.name in world.holders(key) for key in range(KEY_COUNT))
    assert world.unserved() == []


# Guards against keys that move at once from a server with a pending first grant: it had
# no confirmed hold yet, so its release was skipped.
def test_a_server_that_leaves_with_its_first_grant_pending_is_asked_to_release() -> (
    None
):
    world = start(200)
    world.crash(world.instances["s4"], 1.0)
    world.run(1.7)
    world.instances["s1"].leaving = True
    for _ in range(30):
        world.run(0.1)
        assert world.violations == []


# Guards against failures that count forever once a server holds no keys.
def test_a_server_that_failed_orders_gets_keys_again() -> None:
    world = start(2)
    for name in ("s2", "s3"):
        world.instances[name].cut_off = True
    world.run(RECOVERY_SECONDS)
    for instance in world.instances.values():
        instance.cut_off = False
    world.instances["s1"].leaving = world.instances["s4"].leaving = True
    world.run(RECOVERY_SECONDS * 2)
    assert world.unserved() == []


# Guards against neighbouring hot keys that stay on one server.
def test_hot_neighbours_are_spread_within_three_seconds() -> None:
    world = start(4)
    row = world.state.ranges.find(SERVICE, 4 * KEY_STEP)
    assert row is not None
    world.set_hot_keys(4, 5, 6, 7)
    world.run(4.0)
    owners = {world.holders(key)[0] for key in (4, 5, 6, 7)}
    assert len(owners) >= 3
    assert world.violations == []


# Guards against one move that waits for a hold and blocks all balancing.
def test_hot_neighbours_are_spread_while_another_move_waits() -> None:
    world = start(4)
    row = world.state.ranges.find(SERVICE, 30 * KEY_STEP)
    assert row is not None
    instance = world.instances[row.owner.rpartition("@")[0]]
    # It leaves, and the release orders of the leader are lost.
    world.faults.lost = 1.0
    instance.leaving = True
    world.run(1.2)
    assert world.state.servers[instance.name].stopping
    instance.cut_off = True
    world.faults.lost = 0.0
    world.set_hot_keys(4, 5, 6, 7)
    world.run(4.0)
    owners = {name for key in (4, 5, 6, 7) for name in world.holders(key)}
    assert len(owners) >= 3
    assert world.violations == []


# Guards against a new leader that moves keys without need.
def test_a_new_leader_keeps_the_owners() -> None:
    world = start(5)
    before = [world.holders(key) for key in range(KEY_COUNT)]
    world.change_leader()
    world.run(3.0)
    assert [world.holders(key) for key in range(KEY_COUNT)] == before


# Guards against a grant that arrives after the release of its keys: the server then
# holds keys that were granted to another one.
def test_a_late_grant_is_waited_for_after_a_release() -> None:
    for number in range(8):
        world = start(number)
        world.faults.late = 0.5
        world.run(3.0)
        world.instances["s1"].leaving = True
        world.run(3.0)
        world.faults.late = 0.0
        world.run(RECOVERY_SECONDS * 2)
        assert world.violations == []
        assert world.unserved() == []


# Guards against a former leader's grant that is applied late: the new leader does not
# know of it, and moves its keys as soon as their owner has released them.
def test_a_former_leaders_late_grant_is_waited_for_after_a_release() -> None:
    for number in range(8):
        world = start(number)
        world.faults.late = 0.5
        world.run(3.0)
        world.faults.late = 0.0
        world.change_leader()
        world.run(0.5)
        world.instances["s1"].leaving = True
        world.run(RECOVERY_SECONDS * 2)
        assert world.violations == []
        assert world.unserved() == []


# Guards against keys that are unserved for a whole hold after a change of leader: they
# are released at once, and then a grant of the former leader is waited for.
@pytest.mark.parametrize("cause", ["leave", "heat"])
def test_keys_that_move_after_a_change_of_leader_are_served_within_three_seconds(
    cause: str,
) -> None:
    for number in range(8):
        world = start(number)
        world.change_leader()
        world.run(0.5)
        if cause == "leave":
            world.instances["s1"].leaving = True
        else:
            world.set_hot_keys(4, 5, 6, 7)
        for _ in range(4):
            world.run(1.0)
            assert world.unserved_for(3.0) == []
        assert world.violations == []


# Guards against a hold that ends although a grant of its present epoch has no answer:
# only the answer to a newer epoch rules out that it is applied later.
def test_only_a_newer_epoch_ends_grants_without_an_answer() -> None:
    world = start(9)
    _, orders = world.leader.tick(world.now + TIMING.renew_interval)
    order = next(order for order in orders if isinstance(order, GrantOrder))
    for outcome in (OrderOutcome.UNKNOWN, OrderOutcome.DONE):
        world.leader.complete_order(OrderResult(order, outcome), world.now)
    lines: list[tuple[str, str]] = []
    world.leader._tables.report = lambda kind, **fields: lines.append(
        (kind, str(fields.get("detail", "")))
    )
    world.commit(c.StopServer(order.server.name))
    world.leader._tables.liveness[order.server.name].failures = 1
    world.leader.tick(world.now)
    released = [detail for kind, detail in lines if kind == "hold-released"]
    assert released
    assert all("possible for 0.00 s" not in detail for detail in released)


# Guards against the answer to a former term's release that is taken for the answer to
# this leader's release, while the server still works on the keys.
def test_only_the_leaders_own_release_frees_a_part() -> None:
    world = start(10)
    world.commit(c.StopServer("s1"))
    sent: list[ReleaseOrder] = []
    for _ in range(30):
        world.now += TICK_SECONDS
        _, orders = world.leader.tick(world.now)
        sent += [order for order in orders if isinstance(order, ReleaseOrder)]
        for order in orders:
            if not isinstance(order, ReleaseOrder):
                result = OrderResult(order, OrderOutcome.DONE)
                world.leader.complete_order(result, world.now)
    former = OrderResult(ReleaseOrder(*sent[0]), OrderOutcome.DONE)
    world.leader.complete_order(former, world.now)
    commands, _ = world.leader.tick(world.now + TICK_SECONDS)
    parts = [part for command in commands for part in _list_parts(command)]
    assert not any(part.low <= sent[0].low <= part.high for part in parts)


# Guards against an order to a server whose address is not known any more: its grant
# stays pending, and the keys are not given out.
def test_a_part_of_a_dropped_server_is_not_granted_again() -> None:
    world = start(12)
    world.commit(c.DropServer("s1"))
    world.change_leader()
    hold = next(h for h in world.leader._tables.holds.values() if h.owner.name == "s1")
    former_owner = hold.owner._replace(address="10.0.0.0:80")
    order = GrantOrder(
        former_owner, SERVICE, hold.low, hold.high, hold.epoch, 6_000, ""
    )
    world.leader.complete_order(OrderResult(order, OrderOutcome.DONE), world.now)
    for _ in range(20):
        world.now += TICK_SECONDS
        commands, orders = world.leader.tick(world.now)
        for command in commands:
            world.commit(command)
            world.leader.complete_proposal(command)
        assert all(order.server.address for order in orders)


# Guards against a move that ends with the commit of another command for the same part:
# the former owner is then renewed while the part goes to the new one.
def test_a_move_ends_with_its_own_command_only() -> None:
    world = start(11)
    world.commit(c.StopServer("s1"))
    command: c.AssignRanges | None = None
    for _ in range(30):
        world.now += TICK_SECONDS
        commands, orders = world.leader.tick(world.now)
        for order in orders:
            result = OrderResult(order, OrderOutcome.DONE)
            world.leader.complete_order(result, world.now)
        command = next((x for x in commands if isinstance(x, c.AssignRanges)), command)
    assert command is not None
    moves = list(world.leader._tables.moves)
    other = c.AssignRanges(SERVICE, (command.parts[0],))
    world.leader.complete_proposal(other)
    assert world.leader._tables.moves == moves
    world.leader.complete_proposal(command)
    assert len(world.leader._tables.moves) < len(moves)


# Guards against a result that is ignored because its range has got another epoch since:
# the server holds the keys for longer than the leader knows.
@pytest.mark.parametrize("outcome", [OrderOutcome.UNKNOWN, OrderOutcome.DONE])
def test_a_grant_of_a_former_epoch_extends_the_hold(outcome: OrderOutcome) -> None:
    world = start(8)
    _, orders = world.leader.tick(world.now + TIMING.renew_interval)
    order = next(order for order in orders if isinstance(order, GrantOrder))
    part = c.RangePart(order.low, order.high, order.epoch, f"{order.server.name}@0")
    world.commit(c.AssignRanges(SERVICE, (part,)))
    world.leader.tick(world.now + TIMING.renew_interval)
    answered_at = world.now + TIMING.hold
    world.leader.complete_order(OrderResult(order, outcome), answered_at)
    world.commit(c.StopServer(order.server.name))
    others = [item for item in world.instances.items() if item[0] != order.server.name]
    world.now = answered_at
    while world.now < answered_at + TIMING.hold_with_drift - 2 * TICK_SECONDS:
        world.now += TICK_SECONDS
        heard = tuple((name, instance.sequence) for name, instance in others)
        world.leader.receive_heard_servers(heard, world.now)
        commands, sent = world.leader.tick(world.now)
        for release in sent:
            if isinstance(release, ReleaseOrder):
                not_sent = OrderResult(release, OrderOutcome.NOT_SENT)
                world.leader.complete_order(not_sent, world.now)
        assigned = [part for command in commands for part in _list_parts(command)]
        assert not any(part.low <= order.low <= part.high for part in assigned)


def _list_parts(command: c.Command) -> tuple[c.RangePart, ...]:
    """Return the parts that a command assigns."""
    return command.parts if isinstance(command, c.AssignRanges) else ()


# Guards against any order of failures in which two servers hold a key, or a key stays
# unserved.
@seed(20261203)
@settings(max_examples=60, deadline=None)
@example(670293, ["heat", "leave", "late", "leave", "leader"])
@example(705435, ["late", "leave", "leader", "join"])
@example(
    401366,
    [
        "heat",
        "cut",
        "late",
        "join",
        "heal",
        "cool",
        "cut",
        "cut",
        "late",
        "heat",
        "join",
        "heal",
        "leave",
        "heal",
        "leave",
    ],
)
@example(200, ["heal", "crash", "leave"])
@example(968, ["heal", "cut", "leave", "cut", "crash", "lost", "cut", "cut"])
@example(2, ["cut", "cut", "leave", "heat", "cut", "leave"])
@example(1, ["heal", "leave", "crash", "crash", "leave", "crash", "cut"])
@given(st.integers(0, 10_000), st.lists(st.sampled_from(ACTIONS["call"]), max_size=25))
def test_no_key_has_two_holders_through_any_failures(
    number: int, actions: list[str]
) -> None:
    # Servers without a start cannot be told from the former one of their names.
    world = start(number, says_born=True)
    play(world, actions)
    assert world.violations == []
    assert recover(world, "call") == []


# Guards against an order that is lost, or that has no known outcome, and is not
# retried.
@pytest.mark.parametrize("outcome", [OrderOutcome.UNKNOWN, OrderOutcome.NOT_SENT])
def test_an_order_without_an_answer_is_sent_again(outcome: OrderOutcome) -> None:
    world = start(6)
    _, orders = world.leader.tick(world.now + TIMING.renew_interval)
    order = next(order for order in orders if isinstance(order, GrantOrder))
    world.leader.complete_order(
        OrderResult(order, outcome), world.now + TIMING.renew_interval
    )
    later = world.now + TIMING.renew_interval + TIMING.retry_interval + 0.01
    _, again = world.leader.tick(later)
    assert order in again


# Guards against hundreds of orders at once that stall a new leader: it then misses its
# heartbeats, loses the leadership, and so does the next one.
def test_a_new_leader_does_not_send_all_orders_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = start(7)
    monkeypatch.setattr(directed, "ORDERS_PER_SECOND", 20.0)
    monkeypatch.setattr(directed, "ORDER_BURST", 2.0)
    world.change_leader()
    _, first = world.leader.tick(world.now)
    assert len(first) == 2
    # These orders are not executed, so another leader is elected.
    world.change_leader()
    world.run(RECOVERY_SECONDS)
    assert world.violations == []
    assert world.unserved_for(HANDOVER_SECONDS) == []


# Guards against a server that has left and is in use again after a restart of the
# leader, as a heartbeat of it was delayed on its way.
def test_a_late_heartbeat_of_a_server_that_left_registers_nothing() -> None:
    world = start(9)
    left = world.instances["s1"]
    late = ServerHeartbeat(left.name, SERVICE, left.address, "a", 2, 6)
    world.crash(left, 1000.0)
    world.commit(c.StopServer(left.name))
    world.run(TIMING.silence_timeout * 2 + 2.0)
    assert left.name not in world.state.servers
    world.change_leader()
    world.run(2.0)
    assert isinstance(world.leader.receive_heartbeat(late, world.now), Refusal)
    world.run(2.0)
    assert isinstance(world.leader.receive_heartbeat(late, world.now), Refusal)


# Guards against a server that was silent for so long that it was dropped, and is taken
# for one that has left although it answers at its address.
def test_a_dropped_server_that_is_back_is_registered_again() -> None:
    world = start(10)
    back = world.instances["s1"]
    back.cut_off = True
    world.run(TIMING.removal_timeout + 2.0)
    assert back.name not in world.state.servers
    back.cut_off = False
    world.run(3.0)
    assert back.name in world.state.servers
    world.run(RECOVERY_SECONDS)
    assert world.unserved() == []
