"""Ranges told by heartbeat: each key has one holder and is served after failures."""

from __future__ import annotations

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from .directed_world import KEY_COUNT, SERVICE, TICK_SECONDS, TIMING
from .heartbeat_world import HeartbeatWorld
from .schedules import ACTIONS, RECOVERY_SECONDS, play, recover


def start(number: int, servers: int = 4) -> HeartbeatWorld:
    """Return a world in which every key is held."""
    world = HeartbeatWorld(number, servers)
    world.run(5.0)
    assert world.unserved() == []
    return world


# Guards against servers that are never told what they hold.
def test_every_key_is_held_soon_after_the_start() -> None:
    world = start(1)
    owners = {row.owner for row in world.state.ranges.of_service(SERVICE)}
    assert len(owners) == 4
    assert world.violations == []


# Guards against keys that stay with a server that leaves.
def test_a_leaving_server_has_no_key_after_three_seconds() -> None:
    for number in range(8):
        world = start(number)
        world.instances["s1"].leaving = True
        world.run(3.6)
        assert not any("s1" in world.holders(key) for key in range(KEY_COUNT))
        assert world.violations == []


# Guards against a wait for the end of a hold whose server has ended.
def test_a_restarted_servers_keys_are_served_before_its_hold_has_run_out() -> None:
    for number in range(8):
        world = start(number)
        world.crash(world.instances["s1"], 1.0)
        world.run(4.5)
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


# Guards against a hold that outlives what the leader assumes of an answer without a
# sign that it arrived: the keys would go to another server too early.
def test_a_lost_answer_counts_as_received() -> None:
    world = start(3)
    world.faults.unanswered = 1.0
    world.run(2.0)
    world.instances["s1"].cut_off = True
    for _ in range(int(RECOVERY_SECONDS / TICK_SECONDS)):
        world.run(TICK_SECONDS)
    assert world.violations == []


# Guards against a late heartbeat of an earlier time from which a new leader concludes
# that the server holds nothing.
def test_a_late_heartbeat_frees_nothing_at_a_new_leader() -> None:
    for number in range(20):
        world = start(number)
        world.faults.late = 0.6
        world.set_hot_keys(*range(8, 12))
        world.run(3.0)
        world.change_leader()
        world.instances["s1"].leaving = True
        world.run(10.0)
        assert world.violations == []


# Guards against a server that was restarted under its name, numbers its heartbeats
# anew, and is taken for late for ever.
def test_a_server_restarted_under_its_name_gets_keys_again() -> None:
    world = start(5)
    world.restart(world.instances["s1"])
    world.run(TIMING.hold_with_drift + 3.0)
    assert world.unserved() == []
    assert world.violations == []


# Guards against any order of failures in which two servers hold a key, or a key stays
# unserved.
@seed(20261204)
@settings(max_examples=60, deadline=None)
@given(
    st.integers(0, 1_000_000),
    st.lists(st.sampled_from(ACTIONS["heartbeat"]), max_size=25),
)
def test_no_key_has_two_holders_through_any_failures(
    number: int, actions: list[str]
) -> None:
    world = start(number)
    play(world, actions)
    assert world.violations == []
    assert recover(world, "heartbeat") == []


# Guards against orders to servers that take none.
@pytest.mark.parametrize("number", range(4))
def test_servers_told_by_heartbeat_get_no_grants(number: int) -> None:
    world = start(number)
    world.change_leader()
    world.run(8.0)
    assert world.violations == []
