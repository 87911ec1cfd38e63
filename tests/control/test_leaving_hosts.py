"""Entry hosts that stop: with nothing in flight, and with requests in flight."""

from __future__ import annotations

from .test_ownership import (
    return_with_requests,
    start,
    start_with_requests_in_flight,
)
from .world import LONGEST_DEADLINE_SECONDS, World

LEAVE_SECONDS = 0.2


def leave(world: World, name: str) -> None:
    """Stop a host as its daemon does at the stop limit."""
    host = world.hosts[name]
    host.agent.leave(world.now, idle=host.gate.is_idle())
    world.run(LEAVE_SECONDS, calls_per_tick=0)
    world.frozen.add(name)


# Guards against a leader that removes a host at once when it stops with a request in
# flight: the key gets a second server while the first one may still run the request.
def test_a_request_in_flight_of_a_stopped_host_is_waited_for() -> None:
    for number in range(10):
        world = start_with_requests_in_flight(number)
        world.frozen.add("server-2")
        world.run(0.1, calls_per_tick=0)
        assert not world.hosts["host-0"].gate.is_idle()
        leave(world, "host-0")
        world.run(1.6, calls_per_tick=0)
        return_with_requests(world)


# Guards against a host that returns its lease and renews it 50 ms later while it closes
# its ports, so that every handover waits for the end of that lease.
def test_a_host_that_left_is_not_expected_again() -> None:
    for number in range(10):
        world = start(number)
        world.run(LONGEST_DEADLINE_SECONDS, calls_per_tick=0)
        leave(world, "host-0")
        world.run(0.1, calls_per_tick=0)
        assert world.leader is not None
        live = [row.record.name for row in world.leader.list_live_hosts(world.now)]
        assert live == ["host-1"]
