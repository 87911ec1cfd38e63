"""Tests of the order in which a leader sends orders while many are due."""

from __future__ import annotations

from collections import Counter

import pytest
from benchmarks.leading import SERVICE, Fleet

from dragonflyrock.control import commands as c
from dragonflyrock.control.directed_models import (
    DirectedTiming,
    GrantOrder,
    Order,
    ReleaseOrder,
)
from dragonflyrock.models import GrantedBy

SERVERS = 300
LEAVING = 20


@pytest.fixture
def fleet() -> Fleet:
    """Return a fleet whose holds are all due for renewal at the next tick."""
    fleet = Fleet(SERVERS, GrantedBy.CALL)
    fleet.announce()
    fleet.now += 5.0
    fleet.announce()
    fleet.run(2.0)
    fleet.now += DirectedTiming().renew_interval
    fleet.announce()
    return fleet


def tick(fleet: Fleet) -> list[Order]:
    """Run a tick whose orders are not answered yet, and return them."""
    fleet.now += 0.05
    commands, orders = fleet.leader.tick(fleet.now)
    for command in commands:
        fleet.finish(command)
    return orders


# Guards against keys of a leaving server that stay with it, and are refused there,
# while the renewals of all other ranges are sent.
def test_a_release_is_not_sent_behind_the_renewals_of_all_ranges(fleet: Fleet) -> None:
    assert len(tick(fleet)) < SERVERS
    fleet.commit(c.StopServer("s299"))
    assert any(isinstance(order, ReleaseOrder) for order in tick(fleet) + tick(fleet))


# Guards against a new owner that gets its keys only after the renewals of all others.
def test_a_part_that_is_not_granted_yet_is_granted_before_renewals(
    fleet: Fleet,
) -> None:
    assert len(tick(fleet)) < SERVERS
    row = next(row for row in fleet.state.ranges if row.owner == "s299@0")
    part = c.RangePart(row.low, row.high, row.epoch, "s1@0")
    fleet.commit(c.AssignRanges(SERVICE, (part,)))
    orders = tick(fleet) + tick(fleet)
    granted = [order for order in orders if isinstance(order, GrantOrder)]
    assert any(order.low == row.low for order in granted)


# Guards against the parts of all leaving servers at one server: where the chosen owners
# are lost meanwhile, all parts went to the first of the others by name.
def test_parts_whose_chosen_owners_are_lost_go_to_different_servers(
    fleet: Fleet,
) -> None:
    fleet.run(3.0)
    for name in fleet.names[:LEAVING]:
        fleet.commit(c.StopServer(name))
    releases: list[Order] = []
    while len(releases) < LEAVING:
        for order in tick(fleet):
            if isinstance(order, ReleaseOrder):
                releases.append(order)
            else:
                fleet.answer(order)
    chosen = {move.target for move in fleet.leader._tables.moves}
    for command in fleet.leader.drop_ended_servers(tuple(chosen)):
        fleet.commit(command)
    for order in releases:
        fleet.answer(order)
    tick(fleet)
    spread = Counter(row.owner for row in fleet.state.ranges)
    assert max(spread.values()) < LEAVING / 2
