"""Tests of what the leader knows of servers that named a limit or want pauses."""

from __future__ import annotations

import pytest

from dragonflyrock.control.server_needs import (
    LIMIT_KEPT_SECONDS,
    ServerNeedFilter,
    ServerNeedTable,
)
from dragonflyrock.systems.spreading import Owner
from dragonflyrock.transport.messages import ServerNeed

OWNERS = [Owner("one", 50.0), Owner("two", 50.0)]
RATES = {"one": 20.0, "two": 20.0}


@pytest.fixture
def table() -> ServerNeedTable:
    """Return a table without needs."""
    return ServerNeedTable()


def make_limit(
    per_second: float, age: float = 0.0, holder: str = "one@1"
) -> ServerNeed:
    """Return the report of a limit."""
    return ServerNeed(holder, per_second, 0.0, age)


def make_pause(seconds: float, holder: str = "one@1") -> ServerNeed:
    """Return the report of a pause that was asked for just now."""
    return ServerNeed(holder, None, seconds, 0.0)


def get_capacity(table: ServerNeedTable, now: float) -> float:
    """Return the capacity of the first server."""
    return table.adjust(OWNERS, RATES, now)[0].capacity


# Guards against keys that stay with a server which takes less than their requests, and
# against keys that return before it has stopped to name its limit for a while.
def test_a_limit_is_the_capacity_until_it_was_not_heard_for_a_while(
    table: ServerNeedTable,
) -> None:
    assert table.record(make_limit(3.0), 100.0)
    assert not table.record(make_limit(3.0), 105.0)
    assert get_capacity(table, 105.0 + LIMIT_KEPT_SECONDS - 0.1) == 3.0
    assert get_capacity(table, 105.0 + LIMIT_KEPT_SECONDS) == 50.0


# Guards against a server that names a limit it never reaches, and gets more keys.
def test_a_limit_above_the_capacity_changes_nothing(table: ServerNeedTable) -> None:
    table.record(make_limit(500.0), 100.0)
    assert table.adjust(OWNERS, RATES, 100.0) == OWNERS


# Guards against a limit of 0 that moves all keys at once, or divides by it.
def test_a_limit_of_nothing_leaves_some_capacity(table: ServerNeedTable) -> None:
    table.record(make_limit(0.0), 100.0)
    assert get_capacity(table, 100.0) == 0.25


# Guards against an old report of one host that replaces what another has heard since.
def test_an_older_report_does_not_count(table: ServerNeedTable) -> None:
    table.record(make_limit(3.0), 100.0)
    assert not table.record(make_limit(30.0, age=5.0), 101.0)
    assert get_capacity(table, 101.0) == 3.0


# Guards against a restarted server that is bound by what its predecessor said.
def test_a_report_binds_one_incarnation(table: ServerNeedTable) -> None:
    table.record(make_limit(3.0), 100.0)
    table.retain({"one@2"})
    assert get_capacity(table, 100.0) == 50.0


# Guards against keys that move for one pause, and against pauses that many hosts are
# asked for at the same time and count as many.
def test_pauses_that_repeat_reduce_the_capacity(table: ServerNeedTable) -> None:
    assert table.record(make_pause(2.0), 100.0)
    assert not table.record(make_pause(2.0), 100.5)
    assert get_capacity(table, 103.0) == 50.0
    assert table.record(make_pause(3.0), 108.0)
    assert get_capacity(table, 112.0) == pytest.approx(20 * (1 - 5.5 / 20))
    assert get_capacity(table, 140.0) == 50.0


# Guards against moves between servers of which none has room.
def test_nothing_changes_if_all_servers_are_in_need(table: ServerNeedTable) -> None:
    table.record(make_limit(3.0), 100.0)
    table.record(make_limit(5.0, holder="two@1"), 100.0)
    assert table.adjust(OWNERS, RATES, 100.0) == OWNERS


# Guards against one message to the leader for each host and report.
def test_a_node_passes_on_what_is_new() -> None:
    needs = ServerNeedFilter()
    assert needs.select([make_limit(3.0)], 100.0) == (make_limit(3.0),)
    assert needs.select([make_limit(3.0)], 101.0) == ()
    assert needs.select([make_limit(2.0)], 101.0) == (make_limit(2.0),)
    assert needs.select([make_limit(2.0)], 103.0) == (make_limit(2.0),)
    assert needs.select([make_pause(2.0, "two@1")], 103.0)
    assert not needs.select([make_pause(2.0, "two@1")], 103.3)
    assert needs.select([make_pause(2.0, "two@1")], 104.0)
    needs.retain({"two@1"})
    assert needs.select([make_limit(2.0)], 104.0)
