"""Two versions of the code at once: what each makes of the other's records."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import msgspec
import pytest

from dragonflyrock.codec import Codec, CodecError, Newer, get_outer_name, outer_name
from dragonflyrock.consensus.models import (
    Entry,
    EntryKind,
    JoinRequest,
    TakeOver,
    VoteRequest,
)
from dragonflyrock.control.commands import COMMANDS
from dragonflyrock.control.state import ControlState
from dragonflyrock.ledger.commands import LEDGER_COMMANDS
from dragonflyrock.ledger.state import Ledger
from dragonflyrock.models import Delta, HostRecord, RangeRow
from dragonflyrock.observe import HybridClock
from dragonflyrock.observe.metrics import Metrics
from dragonflyrock.transport.consensus import CONSENSUS
from dragonflyrock.transport.links import Links
from dragonflyrock.transport.messages import (
    MESSAGES,
    CallAnswer,
    Envelope,
    HostRenew,
    HostUpdate,
    ServersHeard,
)

from ..common import free_port
from ..consensus.groups import Fleet, RecordingMachine
from .examples import CODECS, load_wire, make_example

EVERY_RECORD = [
    (name, get_outer_name(kind))
    for name, codec in CODECS.items()
    for kind in codec.types
]


# Guards against: a change that older versions cannot read, or that no longer reads
# what they send: a field or type that was dropped, moved, renamed or retyped.
@pytest.mark.parametrize(("codec", "name"), EVERY_RECORD)
def test_what_released_versions_send_is_understood(codec: str, name: str) -> None:
    kept = load_wire()[codec]
    assert name in kept, "run python -m tests.transport.examples and commit it"
    record = CODECS[codec].decode(kept[name])
    older = msgspec.msgpack.decode(kept[name])[1]
    newer = msgspec.msgpack.decode(CODECS[codec].encode(record))[1]
    assert newer[: len(older)] == older, "fields are only added, at the end"


# Guards against: a type that released versions still send was removed.
def test_no_type_of_a_released_version_is_gone() -> None:
    for codec, kept in load_wire().items():
        names = {get_outer_name(kind) for kind in CODECS[codec].types}
        assert set(kept) <= names


# Guards against: one more field of a newer version makes an older one drop a message,
# so that nodes of two versions cannot speak during a rolling upgrade.
@pytest.mark.parametrize(
    ("codec", "name"),
    [r for r in EVERY_RECORD if r[0] in ("messages", "consensus", "calls", "deltas")],
)
def test_a_field_of_a_newer_version_is_ignored(codec: str, name: str) -> None:
    kind = next(k for k in CODECS[codec].types if get_outer_name(k) == name)
    record = make_example(kind)
    _, fields = msgspec.msgpack.decode(CODECS[codec].encode(record))
    data = msgspec.msgpack.encode((name, [*fields, {"newer": [1, 2]}]))
    assert CODECS[codec].decode(data) == record


# Guards against: the same for rows inside of an update.
def test_a_newer_field_of_a_row_inside_is_ignored() -> None:
    row: RangeRow = make_example(RangeRow)
    delta = Delta(1, 2, False, (row, row))
    update = HostUpdate(1, "leader", 1.0, 10, delta, 3, None)
    name, fields = msgspec.msgpack.decode(MESSAGES.encode(update))
    fields[4][3] = [[*item, "newer"] for item in fields[4][3]]
    fields[4].append(["newer"])
    assert MESSAGES.decode(msgspec.msgpack.encode((name, [*fields, 5]))) == update


# Guards against: messages of the first versions, which had fewer fields, are dropped.
@pytest.mark.parametrize(
    ("codec", "older", "record"),
    [
        (MESSAGES, ("HostRenew", (("h", 1), 1.0, 4, (), ())), None),
        (CONSENSUS, ("JoinRequest", ("id",)), JoinRequest("id", "")),
        (
            CONSENSUS,
            ("VoteRequest", (1, 2, 3, True, False)),
            VoteRequest(1, 2, 3, True, False, transfer=False),
        ),
    ],
)
def test_fields_that_an_older_version_lacks_have_their_defaults(
    codec: Codec, older: tuple[str, tuple[object, ...]], record: object
) -> None:
    if record is None:
        host = make_example(HostRecord)
        older = (older[0], (host, *older[1][1:]))
        record = HostRenew(host, 1.0, 4, (), ())
    assert codec.decode(msgspec.msgpack.encode(older)) == record


# Guards against: an older version leaves a newer field out of what it saves in its log
# and passes on, so that logs differ.
def test_a_newer_field_of_an_entry_is_not_left_out() -> None:
    entry = [1, 1, EntryKind.COMMAND.value, b"payload", "newer"]
    request = ("AppendRequest", [1, 0, 0, [entry], 0, 1.0])
    with pytest.raises(CodecError, match="length 4"):
        CONSENSUS.decode(msgspec.msgpack.encode(request))
    for codec, record in (
        (COMMANDS, make_example(COMMANDS.types[0])),
        (LEDGER_COMMANDS, make_example(LEDGER_COMMANDS.types[0])),
    ):
        name, fields = msgspec.msgpack.decode(codec.encode(record))
        with pytest.raises(CodecError):
            codec.decode(msgspec.msgpack.encode((name, [*fields, 1])))


# Guards against: wrong bytes are made to fit by leaving fields out.
def test_a_wrong_type_is_refused_also_with_newer_fields() -> None:
    class Ping(NamedTuple):
        number: int

    codec = Codec([Ping], Newer.IGNORED)
    wrong: list[object] = [["text"], ["text", 1], [], [[1], 1], {}, "text", 5]
    for fields in wrong:
        with pytest.raises(CodecError):
            codec.decode(msgspec.msgpack.encode(("Ping", fields)))


# Guards against: a class that was renamed for its readers gets another name outside, so
# that other versions neither read its records nor are read.
def test_a_renamed_class_keeps_its_name_outside() -> None:
    class Ping(NamedTuple):
        number: int

    @outer_name("Ping")
    class Probe(NamedTuple):
        number: int

    older = Codec([Ping])
    newer = Codec([Probe])
    data = older.encode(Ping(3))
    assert newer.encode(Probe(3)) == data
    read = newer.decode(data)
    assert type(read) is Probe
    assert read == Probe(3)
    assert get_outer_name(Probe) == "Ping"
    assert Probe.__name__ == "Probe"


# Guards against: a class takes the outer name of the one that it extends, so that two
# types have one name.
def test_an_outer_name_is_that_of_its_own_class_only() -> None:
    class Plain:
        pass

    @outer_name("Outer")
    class Base:
        pass

    class Extended(Base):
        pass

    assert get_outer_name(Plain) == "Plain"
    assert get_outer_name(Base) == "Outer"
    assert get_outer_name(Extended) == "Extended"


# Guards against: a message of an unknown type ends a node, or vanishes without a line.
def test_a_message_of_an_unknown_type_is_dropped_and_counted(
    caplog: pytest.LogCaptureFixture,
) -> None:
    metrics = Metrics()
    links = Links("me", f"127.0.0.1:{free_port()}", HybridClock(), metrics, None)
    body = msgspec.msgpack.encode(("FromTheFuture", [1]))
    stamp = HybridClock().stamp()
    assert links._decode(MESSAGES.encode(Envelope("peer", stamp, body))) is None
    assert metrics.dropped_frames.value == 1
    assert "peer=peer" in caplog.text
    assert "FromTheFuture" in caplog.text
    known = MESSAGES.encode(ServersHeard((("server", 1),)))
    received = links._decode(MESSAGES.encode(Envelope("peer", stamp, known)))
    assert received is not None
    assert not isinstance(received.message, CallAnswer)
    links.close()


class OldSum(RecordingMachine):
    """A state machine that does not know commands that begin with ``new``."""

    def apply(self, index: int, payload: bytes) -> object:
        """Refuse what it does not know, with nothing changed."""
        if payload.startswith(b"new"):
            raise CodecError("unknown record type 'new'")
        return super().apply(index, payload)

    def load(self, payload: bytes) -> None:
        """Refuse an image with what it does not know."""
        if b"new" in payload:
            raise CodecError("image of a newer form")
        super().load(payload)


def start_old(fleet: Fleet, name: str) -> OldSum:
    """Give a member the older version's state machine, without a restart."""
    old = OldSum()
    old.commands = list(fleet.machines[name].commands)
    fleet.groups[name].machine = fleet.machines[name] = old
    return old


# Guards against: a command of a newer version ends each older node as it is applied, or
# is skipped there, so that its state is another one than the others'.
def test_a_member_stops_at_a_command_that_it_does_not_know(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path, "abc", seed=2)
    leader = fleet.wait_for_leader()
    victim = next(name for name in fleet.names if name != leader)
    old = start_old(fleet, victim)
    for payload in (b"first", b"new 1", b"second"):
        fleet.propose(payload)
        fleet.run(0.2)
    group = fleet.groups[victim]
    assert old.commands == [b"first"]
    assert "unknown record type" in group.apply_error
    assert group.is_degraded
    # It goes on acknowledging, so that the others may lose one more.
    other = next(name for name in fleet.names if name not in (leader, victim))
    fleet.isolated.add(other)
    fleet.propose(b"third")
    fleet.run(0.2)
    assert fleet.acknowledged == [b"first", b"new 1", b"second", b"third"]
    fleet.isolated.clear()
    fleet.run(0.5)
    # It does not lead, though it is asked to, and votes for who can.
    me = fleet.groups[leader].replica.me
    group.receive(me, "", TakeOver(group.replica.hard_state.term), fleet.now)
    before = len(fleet.sent)
    fleet.isolated = {leader, other}
    fleet.run(2.0)
    fleet.isolated = {leader}
    fleet.run(2.0)
    assert fleet.leader() == other
    asked = [s for s in fleet.sent[before:] if isinstance(s.message, VoteRequest)]
    assert victim not in {letter.sender.name for letter in asked}
    assert victim not in fleet.find_leaders()
    # The newer version starts from its disk.
    fleet.isolated.clear()
    fleet.start(victim)
    fleet.run(1.0)
    assert not fleet.groups[victim].is_degraded
    assert fleet.machines[victim].commands == fleet.machines[other].commands
    fleet.close()


# Guards against: an image of a newer version ends each older node that it is sent to.
def test_a_member_waits_with_an_image_that_it_does_not_know(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path, "abc", seed=2, snapshots=5)
    leader = fleet.wait_for_leader()
    victim = next(name for name in fleet.names if name != leader)
    old = start_old(fleet, victim)
    fleet.run(0.5)
    fleet.isolated.add(victim)
    for number in range(12):
        fleet.propose(b"new %d" % number)
        fleet.run(0.1)
    fleet.isolated.clear()
    fleet.run(2.0)
    assert "image of a newer form" in fleet.groups[victim].apply_error
    assert old.commands == []
    fleet.propose(b"last")
    fleet.run(0.5)
    fleet.start(victim)
    fleet.run(1.0)
    assert fleet.machines[victim].commands == fleet.acknowledged
    fleet.close()


# Guards against: a leader of the older version that is to apply a newer command of its
# predecessor goes on leading without ever being able to answer.
def test_a_leader_that_does_not_know_a_command_gives_up(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path, "abc", seed=4)
    leader = fleet.wait_for_leader()
    start_old(fleet, leader)
    fleet.propose(b"new 1")
    fleet.run(0.1)
    # It does not wait until the others miss it.
    assert leader not in fleet.find_leaders()
    assert any(isinstance(letter.message, TakeOver) for letter in fleet.sent)
    fleet.run(2.0)
    assert fleet.leader() not in ("", leader)
    fleet.close()


# Guards against: the product's state machines end on a command or an image of a newer
# form, or change something before they refuse it.
@pytest.mark.parametrize("machine", [ControlState(), Ledger(10, 1000)])
def test_state_machines_refuse_newer_forms_unchanged(
    machine: ControlState | Ledger,
) -> None:
    before = machine.dump()
    with pytest.raises(CodecError):
        machine.apply(1, msgspec.msgpack.encode(("FromTheFuture", [1])))
    assert machine.dump() == before
    image = [*msgspec.msgpack.decode(before), "newer"]
    with pytest.raises(CodecError, match="image of the"):
        machine.load(msgspec.msgpack.encode(image))
    assert machine.dump() == before


def test_an_example_sets_every_part() -> None:
    entry = make_example(Entry)
    assert entry == Entry(7, 7, EntryKind.NOOP, b"bytes")
