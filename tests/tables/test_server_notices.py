"""Tests of the tables of servers that leave or are paused."""

from __future__ import annotations

import pytest

from dragonflyrock.models import ServerRow
from dragonflyrock.tables import LeavingSource, LeavingTable, PauseTable

SERVER = ServerRow("one", "s", "127.0.0.1:9", "a", 1, 2, 0, True)
RESTARTED = SERVER._replace(incarnation=2)


@pytest.fixture
def leaving() -> LeavingTable:
    """Return a table without servers."""
    return LeavingTable()


@pytest.fixture
def pauses() -> PauseTable:
    """Return a table without pauses."""
    return PauseTable()


# Guards against an older heartbeat that undoes what a server has said since.
def test_a_ready_row_does_not_undo_a_response(leaving: LeavingTable) -> None:
    assert leaving.record_response(SERVER, 5.0) is not None
    assert leaving.record_response(SERVER, 6.0) is None
    assert leaving.apply_row(SERVER, 7.0) is None
    row = leaving.find(SERVER)
    assert row is not None
    assert (row.source, row.since) == (LeavingSource.RESPONSE, 5.0)
    assert leaving.list_unconfirmed({"one": SERVER}) == ("one@1",)
    assert leaving.list_unconfirmed({"one": SERVER._replace(stopping=True)}) == ()


# Guards against a stop that an operator has cancelled and that still binds.
def test_a_row_that_stops_no_more_is_forgotten(leaving: LeavingTable) -> None:
    assert leaving.apply_row(SERVER._replace(stopping=True), 5.0) is not None
    leaving.apply_row(SERVER, 6.0)
    assert leaving.find(SERVER) is None


# Guards against the word of an old incarnation that binds its successor.
def test_a_restarted_server_is_not_bound_by_the_former(
    leaving: LeavingTable, pauses: PauseTable
) -> None:
    leaving.record_response(SERVER, 5.0)
    pauses.record(SERVER, 9.0, 5.0)
    leaving.apply_row(RESTARTED, 6.0)
    assert leaving.find(RESTARTED) is None
    assert leaving.list_unconfirmed({"one": RESTARTED}) == ()
    assert pauses.get_seconds_left(RESTARTED, 6.0) == 0
    assert pauses.get_ramp_limit(RESTARTED, 6.0) is None


# Guards against a later, shorter pause that reopens a server too early, and against
# all requests at once after a pause.
def test_a_pause_is_not_shortened_and_ends_with_a_ramp(pauses: PauseTable) -> None:
    pauses.record(SERVER, 4.0, 10.0)
    pauses.record(SERVER, 1.0, 11.0)
    assert pauses.get_seconds_left(SERVER, 12.0) == 2.0
    limits = [pauses.get_ramp_limit(SERVER, 13.9 + 0.25 * n) for n in range(6)]
    assert limits == [0, 1, 2, 3, 4, None]
    assert pauses.pop_ended(14.5) == []
    assert pauses.pop_ended(15.0) == ["one@1"]


# Guards against tables that grow with each server that ever was.
def test_servers_that_are_gone_are_forgotten(
    leaving: LeavingTable, pauses: PauseTable
) -> None:
    for number in range(1_000):
        server = SERVER._replace(name=f"server-{number}")
        leaving.record_response(server, 5.0)
        pauses.record(server, 20.0, 5.0)
    leaving.retain({"server-1"}, 64.9)
    assert leaving.count(LeavingSource.RESPONSE) == 1_000
    leaving.retain({"server-1"}, 65.0)
    assert leaving.count(LeavingSource.RESPONSE) == 1
    assert len(pauses.pop_ended(25.9)) == 0
    assert len(pauses.pop_ended(26.0)) == 1_000
    assert pauses._rows == {}
