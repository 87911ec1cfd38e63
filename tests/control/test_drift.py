"""Leases, grants and deadlines under clocks that run 1% fast or slow."""

from __future__ import annotations

import pytest

from dragonflyrock.control.tables import LeaderTiming

from .world import TICK_SECONDS, TIMING, World

FAST_RATE = 1.01
SLOW_RATE = 0.99
SEEDS = range(3)
LONG_DEADLINES = TIMING._replace(longest_deadline=30.0)
LONG_LEASES = TIMING._replace(entry_lease=6.0, grant=6.0)
PROCESSES = ("host-0", "host-1", "server-0", "server-1", "server-2")
CLOCK_RATES = [
    (FAST_RATE, SLOW_RATE),
    (SLOW_RATE, FAST_RATE),
    (1.0, SLOW_RATE),
    (FAST_RATE, 1.0),
]


def start(
    seed: int,
    leader: float,
    others: float,
    *,
    checks: bool = True,
    timing: LeaderTiming = LONG_DEADLINES,
) -> World:
    """Return a world in which all ranges have owners, without message delays."""
    rates = {"leader": leader} | dict.fromkeys(PROCESSES, others)
    world = World(seed, checks=checks, rates=rates, timing=timing)
    world.delay = 0.0
    world.run(2 * timing.with_drift(timing.grant) + 1.0 + seed * 0.037)
    assert all(row.owner for row in world.state.ranges)
    return world


def holds_grant(world: World, name: str) -> bool:
    """Return whether a server would still run requests of its ranges."""
    grants = world.servers[name].grants
    rows = [row for row in world.state.ranges if row.owner.startswith(f"{name}@")]
    return any(grants.covers(row.low, row.epoch) for row in rows)


# Guards against a grantor that treats a lease or a grant as expired while its holder,
# whose clock runs slower, still uses it.
@pytest.mark.parametrize(("leader", "others"), CLOCK_RATES)
def test_no_holder_uses_a_lease_that_its_grantor_treats_as_expired(
    leader: float, others: float
) -> None:
    for seed in SEEDS:
        world = start(seed, leader, others, timing=LONG_LEASES)
        assert world.leader is not None
        tables = world.leader.tables
        world.cut_off.add("leader")
        expired_count = 0
        for _ in range(400):
            world.run(TICK_SECONDS, calls_per_tick=0)
            now = world.clock("leader")
            for host in tables.hosts.values():
                if world.hosts[host.record.name].gate.lease_left() > 0:
                    assert host.lease_until > now, f"seed {seed}"
            for name, server in world.servers.items():
                grant = tables.grants[server.holder]
                expired_count += grant.lease_until <= now
                if holds_grant(world, name):
                    assert grant.lease_until > now, f"seed {seed}"
        assert expired_count, "the grants never ended"


def return_after_handover(world: World) -> None:
    """Resume server-2 after another server has run requests of one of its keys."""
    keys = {ran.key for ran in world.completed if ran.holder.startswith("server-2")}
    assert keys
    froze_at = world.now
    while not any(ran.at > froze_at and ran.key in keys for ran in world.completed):
        world.run(TICK_SECONDS, calls_per_tick=4)
        assert world.now < froze_at + 2 * LONG_DEADLINES.longest_deadline
    world.frozen.discard("server-2")
    world.run(1.0, calls_per_tick=4)
    world.check_sole_ownership()


# Guards against a leader whose clock runs fast and that does not wait long enough for
# the requests of a lost host: a server that does not check grants then runs one after
# its key has moved to another server.
@pytest.mark.parametrize(("leader", "others"), CLOCK_RATES)
def test_requests_of_a_lost_host_are_waited_for(leader: float, others: float) -> None:
    for seed in SEEDS:
        world = start(seed, leader, others, checks=False)
        world.run(0.5, calls_per_tick=4)
        world.shortest_deadline = LONG_DEADLINES.longest_deadline
        world.called_hosts = {"host-0"}
        world.cut_off.add("host-0")
        world.muted.add("host-0")
        world.frozen.add("server-2")
        world.run(2.0, calls_per_tick=1)
        world.called_hosts = {"host-1"}
        world.shortest_deadline = 0.2
        return_after_handover(world)


# Guards against an entry host whose clock runs fast and that treats a cancelled request
# as ended while a server that does not check grants may still run it.
@pytest.mark.parametrize("others", [FAST_RATE, SLOW_RATE])
def test_a_cancelled_request_is_waited_for(others: float) -> None:
    for seed in SEEDS:
        world = start(seed, 1.0, others, checks=False)
        world.run(0.5, calls_per_tick=4)
        world.shortest_deadline = LONG_DEADLINES.longest_deadline
        world.called_hosts = {"host-0"}
        world.frozen.add("server-2")
        world.run(0.5, calls_per_tick=8)
        world.called_hosts = {"host-1"}
        world.run(1.0, calls_per_tick=0)
        world.shortest_deadline = 0.2
        return_after_handover(world)
