"""The control state: contracts, servers, ranges and quarantines."""

from __future__ import annotations

from dragonflyrock.control import commands as c
from dragonflyrock.control.calls import CALLS, HeartbeatAccepted
from dragonflyrock.control.const import QUARANTINE_LIFETIME_MS, SUSPECT_LIFETIME_MS
from dragonflyrock.control.directed_models import ServerHeartbeat
from dragonflyrock.control.state import ControlState
from dragonflyrock.errors import Reason, Refusal
from dragonflyrock.models import Contract, RangeRef, RangeState, ServerRow


def make_contract(rate: float = 10.0, token: str = "t") -> Contract:
    """Return a contract."""
    return Contract("clerks", (token,), ("finder",), rate, 5, 5, 100, 1000)


def apply(state: ControlState, command: c.Command) -> c.Result:
    """Apply a command as the next entry."""
    return state.apply(state.revision + 1, c.COMMANDS.encode(command))


def reload(state: ControlState) -> ControlState:
    """Return the state as restored from a snapshot."""
    fresh = ControlState()
    fresh.load(state.dump())
    return fresh


# Guards against an operator's change that silently overwrites another operator's
# change.
def test_a_second_change_to_a_version_is_refused_and_names_the_first_operator() -> None:
    state = ControlState()
    assert apply(state, c.PutContract("a", "amina", 0, make_contract(1))) == c.Done(
        1, 1
    )
    refused = apply(state, c.PutContract("b", "bo", 0, make_contract(2)))
    assert isinstance(refused, Refusal)
    assert refused.reason == Reason.VERSION_CONFLICT
    assert "version 1" in refused.detail and "amina" in refused.detail
    assert state.contracts["clerks"].contract.requests_per_second == 1


# Guards against a resent change that is applied twice or refused as a conflict, and a
# change id that is reused for another change.
def test_a_resent_change_gets_its_first_answer_also_after_a_snapshot() -> None:
    state = ControlState()
    put = c.PutContract("a", "amina", 0, make_contract(1))
    first = apply(state, put)
    apply(state, c.PutContract("b", "bo", 1, make_contract(2)))
    for copy in (state, reload(state)):
        assert apply(copy, put) == first
        assert copy.contracts["clerks"].version == 2
        other = c.PutContract("a", "amina", 2, make_contract(3))
        reused = apply(copy, other)
        assert isinstance(reused, Refusal)
        assert reused.reason == Reason.NOT_ALLOWED


# Guards against a refused change that is applied later because its copy arrives when
# the version fits.
def test_a_refused_change_stays_refused_when_it_is_sent_again() -> None:
    state = ControlState()
    late = c.PutContract("b", "bo", 1, make_contract(2))
    assert isinstance(apply(state, late), Refusal)
    apply(state, c.PutContract("a", "amina", 0, make_contract(1)))
    assert isinstance(apply(state, late), Refusal)
    assert state.contracts["clerks"].version == 1


# Guards against a skipped or repeated version number.
def test_versions_grow_by_one_through_hundreds_of_changes() -> None:
    state = ControlState()
    for number in range(500):
        result = apply(
            state, c.PutContract(f"id{number}", "op", number, make_contract(number))
        )
        assert isinstance(result, c.Done)
        assert result.version == number + 1
    assert reload(state).contracts["clerks"].version == 500


# Guards against a contract with the token of another customer.
def test_a_token_belongs_to_one_customer() -> None:
    state = ControlState()
    apply(state, c.PutContract("a", "op", 0, make_contract()))
    stolen = make_contract()._replace(customer="planners")
    refused = apply(state, c.PutContract("b", "op", 0, stolen))
    assert isinstance(refused, Refusal)
    assert refused.reason == Reason.NOT_ALLOWED


def register(state: ControlState, name: str, incarnation: int = 1) -> c.Result:
    """Register a server."""
    row = ServerRow(name, "finder", f"1:{incarnation}", "z", incarnation, 2, 9, True)
    return apply(state, c.RegisterServer(row))


# Guards against a late announcement of an old instance that replaces the new one, and
# two servers with the same name.
def test_an_old_incarnation_is_refused_and_a_second_address_too() -> None:
    state = ControlState()
    register(state, "f1", 5)
    old = register(state, "f1", 4)
    assert isinstance(old, Refusal)
    assert old.reason == Reason.OLD_INCARNATION
    twin = state.servers["f1"]._replace(address="2:5")
    refused = apply(state, c.RegisterServer(twin))
    assert isinstance(refused, Refusal)
    assert isinstance(register(state, "f1", 6), c.Done)


def own(state: ControlState, holder: str) -> None:
    """Make a holder the owner of every range."""
    rows = list(state.ranges)
    moves = tuple(
        c.Move(row.service, row.low, row.epoch, holder, lost=True) for row in rows
    )
    apply(state, c.BeginMoves(moves))
    begun = tuple(c.MoveRef(r.service, r.low, r.revision) for r in state.ranges)
    apply(state, c.FinishMoves(begun))


# Guards against an epoch that goes back when ranges are split or merged.
def test_epochs_only_grow_also_over_splits_and_merges() -> None:
    state = ControlState()
    apply(state, c.DeclareService("finder", 2))
    register(state, "f1")
    own(state, "f1@1")
    low = RangeRef("finder", 0)
    before = state.ranges.get(low)
    assert before is not None
    apply(state, c.SplitRange("finder", 0, 1000))
    apply(state, c.SplitRange("finder", 1000, 1001))
    assert len(state.ranges) == 4
    isolated = state.ranges.find("finder", 1000)
    assert isolated is not None
    assert (isolated.high, isolated.epoch) == (1000, before.epoch)
    register(state, "f2")
    moved = c.Move("finder", 1000, isolated.epoch, "f2@1", lost=False)
    apply(state, c.BeginMoves((moved,)))
    revision = state.revision
    apply(state, c.FinishMoves((c.MoveRef("finder", 1000, revision),)))
    assert isinstance(apply(state, c.MergeRanges("finder", 0)), Refusal)
    apply(state, c.BeginMoves((moved._replace(target="f1@1", epoch=revision + 1),)))
    back = c.MoveRef("finder", 1000, state.revision)
    apply(state, c.FinishMoves((back,)))
    latest = state.revision
    apply(state, c.MergeRanges("finder", 0))
    joined = state.ranges.find("finder", 1000)
    assert joined is not None
    assert (joined.low, joined.epoch) == (0, latest)
    assert list(reload(state).ranges) == list(state.ranges)


# Guards against a move that was decided on outdated rows or for an unknown server.
def test_a_move_decided_on_old_rows_changes_nothing() -> None:
    state = ControlState()
    apply(state, c.DeclareService("finder", 1))
    register(state, "f1")
    own(state, "f1@1")
    row = next(iter(state.ranges))
    stale = c.Move("finder", 0, row.epoch - 1, "f1@1", lost=True)
    apply(state, c.BeginMoves((stale,)))
    gone = c.Move("finder", 0, row.epoch, "f9@1", lost=True)
    apply(state, c.BeginMoves((gone,)))
    apply(state, c.FinishMoves((c.MoveRef("finder", 0, row.revision),)))
    assert next(iter(state.ranges)) == row


def report_crash(fingerprint: str, holder: str, now_ms: int = 0) -> c.ReportCrash:
    """Return the report of a server lost with a request in flight."""
    return c.ReportCrash(fingerprint, "clerks", "GET", "/finder/k", holder, now_ms)


# Guards against a quarantine after the loss of one server only, and against one of
# requests that were in flight at a lost server only by chance.
def test_a_second_lost_server_quarantines_the_request_and_frees_its_neighbours() -> (
    None
):
    state = ControlState()
    apply(state, report_crash("poison", "f1@1"))
    apply(state, report_crash("neighbour", "f1@1"))
    apply(state, report_crash("elsewhere", "f9@1"))
    assert not any(row.refused for row in state.quarantines.values())
    apply(state, report_crash("poison", "f1@1"))
    assert not state.quarantines["poison"].refused
    apply(state, report_crash("poison", "f2@1"))
    assert state.quarantines["poison"].refused
    assert set(state.quarantines) == {"poison", "elsewhere"}
    apply(state, c.ClearSuspect("elsewhere"))
    apply(state, c.ClearSuspect("poison"))
    assert set(state.quarantines) == {"poison"}
    assert set(reload(state).quarantines) == {"poison"}
    assert isinstance(apply(state, c.LiftQuarantine("l", "op", "poison")), c.Done)
    assert not state.quarantines


# Guards against a renamed record that nodes with the old name can no longer read.
def test_heartbeats_keep_their_names_on_links() -> None:
    fields = b"\xa2s1\xa6finder\xab10.0.0.1:80\xa1a\x02\x03\xc3\xc2"
    heartbeat = ServerHeartbeat(
        "s1", "finder", "10.0.0.1:80", "a", 2, 3, leaving=True, ended=False
    )
    # The encoding now, that of versions before servers said when they started, before
    # they said how long they stay cold, and before they reported what they hold.
    for record, payload, *formers in (
        (
            heartbeat,
            b"\x92\xaaServerBeat\x9c" + fields + b"\x90\x90\xcb" + bytes(9),
            b"\x92\xaaServerBeat\x9b" + fields + b"\x90\x90\xcb" + bytes(8),
            b"\x92\xaaServerBeat\x9a" + fields + b"\x90\x90",
            b"\x92\xaaServerBeat\x98" + fields,
        ),
        (
            HeartbeatAccepted(),
            b"\x92\xacBeatAccepted\x92\xc0\x00",
            b"\x92\xacBeatAccepted\x90",
        ),
    ):
        assert CALLS.encode(record) == payload
        assert CALLS.decode(payload) == record
        for former in formers:
            assert CALLS.decode(former) == record


# Guards against a renamed command that can no longer be read from older logs.
def test_crash_commands_keep_their_names_in_the_log() -> None:
    reported = (
        b"\x92\xadStrikeRequest\x96\xa1f\xa6clerks\xa3GET\xa9/finder/k\xa4f1@1\x07"
    )
    cleared = b"\x92\xaeAbsolveRequest\x91\xa1f"
    for command, payload in (
        (c.ReportCrash("f", "clerks", "GET", "/finder/k", "f1@1", 7), reported),
        (c.ClearSuspect("f"), cleared),
    ):
        assert c.COMMANDS.encode(command) == payload
        assert c.COMMANDS.decode(payload) == command


# Guards against suspects and quarantines that are kept forever.
def test_suspects_and_quarantines_expire() -> None:
    state = ControlState()
    apply(state, report_crash("poison", "f1@1", 0))
    apply(state, report_crash("other", "f3@1", SUSPECT_LIFETIME_MS + 1))
    assert set(state.quarantines) == {"other"}
    apply(state, report_crash("other", "f4@1", SUSPECT_LIFETIME_MS + 2))
    apply(
        state,
        report_crash("late", "f5@1", SUSPECT_LIFETIME_MS + 3 + QUARANTINE_LIFETIME_MS),
    )
    assert set(state.quarantines) == {"late"}


# Guards against a delta that repeats a row or includes unchanged rows.
def test_a_delta_has_each_changed_row_once_and_ends_in_the_same_state() -> None:
    state = ControlState()
    apply(state, c.DeclareService("finder", 4))
    register(state, "f1")
    before = state.revision
    own(state, "f1@1")
    apply(state, c.PutContract("a", "op", 0, make_contract()))
    delta = state.delta_after(before, state.revision)
    assert not delta.full
    assert [row.owner for row in delta.ranges] == ["f1@1"] * 4
    assert all(row.state == RangeState.ACTIVE for row in delta.ranges)
    assert len(delta.contracts) == 1
    assert not delta.servers
    assert reload(state).delta_after(before, state.revision).full
    assert not state.delta_after(state.revision, state.revision).ranges
