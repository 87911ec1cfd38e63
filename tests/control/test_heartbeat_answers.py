"""Answers to heartbeats that are lost, late or overtaken: what a leader assumes."""

from __future__ import annotations

from typing import NamedTuple

import pytest

from dragonflyrock.control import commands as c
from dragonflyrock.control.by_heartbeat import MAX_HELD_ROWS, MAX_MISSED_HEARTBEATS
from dragonflyrock.control.calls import HeartbeatAccepted
from dragonflyrock.control.directed import DirectedLeader
from dragonflyrock.control.directed_models import (
    FreedPart,
    HeldPart,
    HeldRow,
    ServerHeartbeat,
)
from dragonflyrock.control.state import ControlState
from dragonflyrock.errors import Reason, Refusal
from dragonflyrock.hashing import KEY_SPACE
from dragonflyrock.models import GrantedBy
from dragonflyrock.routes import RouteDocument, RoutedService

from .directed_world import SERVICE, TIMING

TIMING_BY_HEARTBEAT = TIMING._replace(granted_by=GrantedBy.HEARTBEAT)
MIDDLE = KEY_SPACE // 2
TOP = KEY_SPACE - 1
LEFT = "left"
RIGHT = "right"


class Tables(NamedTuple):
    """A leader and the state that it commits to."""

    state: ControlState
    leader: DirectedLeader


def commit(state: ControlState, *commands: c.Command) -> None:
    """Apply commands to a state."""
    for command in commands:
        state.apply(state.revision + 1, c.COMMANDS.encode(command))


def beat(
    name: str,
    sequence: int,
    *held: HeldPart,
    leaving: bool = False,
    freed: tuple[FreedPart, ...] = (),
) -> ServerHeartbeat:
    """Return a heartbeat of a server."""
    address = f"{name}:80"
    return ServerHeartbeat(
        name, SERVICE, address, "a", 2, sequence, leaving, held=held, freed=freed
    )


def call(tables: Tables, heartbeat: ServerHeartbeat, now: float) -> HeartbeatAccepted:
    """Have the leader receive a heartbeat, commit what it asks for, and answer."""
    state, leader = tables
    command = leader.receive_heartbeat(heartbeat, now)
    if command is not None:
        assert not isinstance(command, Refusal)
        commit(state, command)
    for each in leader.receive_holds(heartbeat, now):
        commit(state, each)
        leader.complete_proposal(each)
    return leader.answer_heartbeat(heartbeat, now, now)


def tick(tables: Tables, now: float) -> list[c.Command]:
    """Run the leader's tasks and commit what they decide."""
    commands, _ = tables.leader.tick(now)
    for command in commands:
        commit(tables.state, command)
        tables.leader.complete_proposal(command)
    return commands


def elect(state: ControlState, now: float) -> Tables:
    """Return a state with a newly elected leader."""
    leader = DirectedLeader(state, TIMING_BY_HEARTBEAT, lambda *_, **__: None, now)
    return Tables(state, leader)


def owner_of(tables: Tables, key: int) -> str:
    """Return the committed owner of a key."""
    row = tables.state.ranges.find(SERVICE, key)
    assert row is not None
    return row.owner.rpartition("@")[0]


def epoch_of(tables: Tables, key: int) -> int:
    """Return the committed epoch of a key."""
    row = tables.state.ranges.find(SERVICE, key)
    assert row is not None
    return row.epoch


@pytest.fixture
def tables() -> Tables:
    """Return a leader with two servers, each of which holds half of the keys."""
    state = ControlState()
    service = RoutedService(SERVICE, "/health", 100, True, 0.0)
    commit(state, c.PutRoutes(0, "first", RouteDocument(1, (), (service,))))
    result = elect(state, 0.0)
    call(result, beat(LEFT, 1), 0.0)
    call(result, beat(RIGHT, 1), 0.0)
    tick(result, TIMING.settle_time + 0.1)
    assert owner_of(result, 0) == LEFT
    assert owner_of(result, TOP) == RIGHT
    return result


def held(tables: Tables, low: int, high: int) -> HeldPart:
    """Return what a server reports of keys that it holds under their epoch."""
    return HeldPart(low, high, epoch_of(tables, low))


# Guards against an answer that leaves out what the server is to hold.
def test_an_answer_names_all_that_a_server_holds(tables: Tables) -> None:
    answer = call(tables, beat(LEFT, 2), 2.0)
    assert answer.held == (HeldRow(0, MIDDLE - 1, epoch_of(tables, 0), ""),)
    assert answer.hold_ms == TIMING.hold * 1000


# Guards against a late heartbeat that is answered with holds: the server counts them
# from when it sent the heartbeat, and may have sent another one since. It is refused,
# as what is acknowledged must have been taken.
def test_a_late_heartbeat_is_refused_and_renews_nothing(tables: Tables) -> None:
    call(tables, beat(LEFT, 5), 2.0)
    refusal = tables.leader.receive_heartbeat(beat(LEFT, 4), 2.1)
    assert isinstance(refusal, Refusal)
    assert refusal.reason == Reason.OLD_INCARNATION
    assert tables.leader.answer_heartbeat(beat(LEFT, 4), 2.1, 2.1).held is None


# Guards against an answer given after a later heartbeat was received, as the one
# before waited for its commit.
def test_an_overtaken_heartbeat_renews_nothing(tables: Tables) -> None:
    first = beat(LEFT, 2)
    tables.leader.receive_heartbeat(first, 2.0)
    call(tables, beat(LEFT, 3), 2.1)
    assert tables.leader.answer_heartbeat(first, 2.0, 2.2).held is None


# Guards against keys that go on before the hold of a silent server, whose clock may run
# slow, has ended; its last answer may have arrived although nothing shows it.
def test_a_silent_servers_keys_wait_for_its_hold_and_the_drift(tables: Tables) -> None:
    received = 2.0
    call(tables, beat(LEFT, 2), received)
    end = received + TIMING.hold_with_drift
    now = received
    sequence = 2
    while now < end - 0.02:
        now += 0.02
        sequence += 1
        call(tables, beat(RIGHT, sequence, held(tables, MIDDLE, TOP)), now)
        tick(tables, now)
        assert owner_of(tables, 0) == LEFT
    for _ in range(4):
        now += 0.05
        sequence += 1
        tick(tables, now)
        call(tables, beat(RIGHT, sequence, held(tables, MIDDLE, TOP)), now)
    assert owner_of(tables, 0) == RIGHT


# Guards against a heartbeat that was sent before the answer that gave the keys, and is
# taken for the word that the server does not hold them.
def test_a_heartbeat_from_before_the_answer_frees_nothing(tables: Tables) -> None:
    call(tables, beat(LEFT, 2), 2.0)
    commit(tables.state, c.StopServer(LEFT))
    tick(tables, 2.1)
    freed = (FreedPart(0, MIDDLE - 1, "token"),)
    call(tables, beat(LEFT, 2, freed=freed), 2.2)
    call(tables, beat(RIGHT, 2), 2.3)
    assert owner_of(tables, 0) == LEFT
    call(tables, beat(LEFT, 3, freed=freed), 2.4)
    call(tables, beat(RIGHT, 3), 2.5)
    assert owner_of(tables, 0) == RIGHT


# Guards against a heartbeat of a former life that lists nothing, and is taken for the
# word that a part has been released (seed 20261235 of the search).
def test_a_heartbeat_that_lists_nothing_frees_nothing(tables: Tables) -> None:
    call(tables, beat(LEFT, 2), 2.0)
    commit(tables.state, c.StopServer(LEFT))
    tick(tables, 2.1)
    call(tables, beat(LEFT, 3), 2.2)
    call(tables, beat(RIGHT, 2), 2.3)
    assert owner_of(tables, 0) == LEFT


# Guards against a move whose source still works on requests of the part.
def test_a_part_is_free_once_its_owner_reports_it_no_more(tables: Tables) -> None:
    part = held(tables, 0, MIDDLE - 1)
    call(tables, beat(LEFT, 2, part), 2.0)
    answer = call(tables, beat(LEFT, 3, part, leaving=True), 2.5)
    assert answer.held == ()
    call(tables, beat(LEFT, 4, part, leaving=True), 2.6)
    call(tables, beat(RIGHT, 2), 2.65)
    assert owner_of(tables, 0) == LEFT
    freed = (FreedPart(0, MIDDLE - 1, "token"),)
    call(tables, beat(LEFT, 5, leaving=True, freed=freed), 2.7)
    answer = call(tables, beat(RIGHT, 3), 2.8)
    assert owner_of(tables, 0) == RIGHT
    assert answer.held is not None
    assert HeldRow(0, MIDDLE - 1, epoch_of(tables, 0), "token") in answer.held


# Guards against a token that is sent for ever, or lost with the first answer.
def test_a_handover_token_is_sent_until_the_part_is_reported(tables: Tables) -> None:
    call(tables, beat(LEFT, 2), 2.0)
    call(tables, beat(LEFT, 3, leaving=True), 2.1)
    freed = (FreedPart(0, MIDDLE - 1, "token"),)
    call(tables, beat(LEFT, 4, leaving=True, freed=freed), 2.2)
    for sequence in (2, 3):
        answer = call(tables, beat(RIGHT, sequence), 2.2 + sequence / 10)
        assert answer.held is not None
        assert "token" in [row.handover for row in answer.held]
    parts = (held(tables, 0, MIDDLE - 1), held(tables, MIDDLE, TOP))
    answer = call(tables, beat(RIGHT, 4, *parts), 2.7)
    assert answer.held is not None
    assert [row.handover for row in answer.held] == ["", ""]


# Guards against a heartbeat of a former time at a new leader: two delayed ones look as
# if the server had released the part just now, while it has it again.
def test_delayed_heartbeats_free_nothing_at_a_new_leader(tables: Tables) -> None:
    call(tables, beat(LEFT, 2), 2.0)
    part = held(tables, 0, MIDDLE - 1)
    commit(tables.state, c.StopServer(LEFT))
    later = elect(tables.state, 3.0)
    call(later, beat(RIGHT, 9), 3.0)
    call(later, beat(LEFT, 3, part, leaving=True), 3.1)
    tick(later, 3.2)
    freed = (FreedPart(0, MIDDLE - 1, "former"),)
    call(later, beat(LEFT, 4, leaving=True, freed=freed), 3.3)
    tick(later, 3.4)
    call(later, beat(RIGHT, 10), 3.5)
    assert owner_of(later, 0) == LEFT


# Guards against a new leader that waits for holds to end although the server has shown
# an epoch that this leader committed.
def test_a_server_that_shows_a_newer_epoch_can_release_at_a_new_leader(
    tables: Tables,
) -> None:
    call(tables, beat(LEFT, 2), 2.0)
    part = held(tables, 0, MIDDLE - 1)
    commit(tables.state, c.StopServer(LEFT))
    later = elect(tables.state, 3.0)
    now = 3.0
    call(later, beat(RIGHT, 9), now)
    for sequence in range(3, 8):
        now += 0.1
        row = (call(later, beat(LEFT, sequence, part, leaving=True), now).held or ())[
            :1
        ]
        tick(later, now)
        if not row:
            break
        part = HeldPart(*row[0][:3])
    freed = (FreedPart(0, MIDDLE - 1, "token"),)
    call(later, beat(LEFT, 9, leaving=True, freed=freed), now + 0.1)
    call(later, beat(RIGHT, 10), now + 0.2)
    assert owner_of(later, 0) == RIGHT
    assert now < 3.0 + TIMING.hold


# Guards against a server that has seen a higher epoch and is told the same one again.
def test_a_row_that_is_not_taken_gets_a_newer_epoch(tables: Tables) -> None:
    before = epoch_of(tables, 0)
    for sequence in range(2, 4 + MAX_MISSED_HEARTBEATS):
        call(tables, beat(LEFT, sequence), 2.0 + sequence)
    assert epoch_of(tables, 0) > before
    assert owner_of(tables, 0) == LEFT


# Guards against a server that was started again under its name: a delayed heartbeat of
# its former life, with a higher number, would free what it holds now.
def test_a_heartbeat_of_a_former_life_frees_nothing(tables: Tables) -> None:
    call(tables, beat(LEFT, 20), 2.0)
    now = 2.0 + TIMING.hold_with_drift + 0.1
    answer = call(tables, beat(LEFT, 1), now)
    assert answer.held
    call(tables, beat(RIGHT, 2), now)
    commit(tables.state, c.StopServer(LEFT))
    tick(tables, now + 0.1)
    freed = (FreedPart(0, MIDDLE - 1, "former"),)
    call(tables, beat(LEFT, 21, freed=freed), now + 0.2)
    call(tables, beat(RIGHT, 3), now + 0.3)
    assert owner_of(tables, 0) == LEFT


# Guards against an answer above 4 KiB, which acknowledges nothing.
def test_an_answer_has_a_bounded_number_of_rows(tables: Tables) -> None:
    step = KEY_SPACE // 1024
    for key in range(0, 2 * MAX_HELD_ROWS, 2):
        low = key * step
        part = c.RangePart(low, low + step - 1, epoch_of(tables, low), f"{LEFT}@0")
        commit(tables.state, c.AssignRanges(SERVICE, (part,)))
    answer = call(tables, beat(LEFT, 2), 2.0)
    assert answer.held is not None
    assert len(answer.held) <= MAX_HELD_ROWS
