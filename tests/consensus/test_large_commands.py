"""Groups whose commands are large: memory, disk and messages are bounded by bytes."""

from __future__ import annotations

import tracemalloc
from collections.abc import Iterator
from pathlib import Path
from random import Random
from typing import Final

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyrock.consensus import (
    Configuration,
    Entry,
    EntryKind,
    Group,
    HardState,
    Log,
    Member,
    Output,
    Replica,
    SnapshotImage,
    Timing,
    make_replica,
    open_group,
    open_storage,
    propose,
    receive,
    replicate,
    take_output,
)
from dragonflyrock.consensus.log import encode_configuration, load_entry
from dragonflyrock.consensus.models import (
    AppendAnswer,
    AppendRequest,
    Role,
    SnapshotRequest,
)

from .groups import FaultyFiles, Fleet, RecordingMachine

MIB: Final = 1024 * 1024
# A control host has 296 MB of memory and 256 MB of disk, and its process needs 40 MB
# of memory without any state.
LOG_MEMORY_BYTES: Final = 48 * MIB
DISK_BYTES: Final = 64 * MIB
MESSAGE_BYTES: Final = 2 * MIB


class DocumentMachine(RecordingMachine):
    """A state machine whose state is the latest command, as for a route document."""

    def apply(self, index: int, payload: bytes) -> object:
        """Replace the state by a command and return its index."""
        self.commands = [payload]
        return index


def make_document(number: int, size: int = 512 * 1024) -> bytes:
    """Return a command of a size that cannot be compressed."""
    return b"%09d" % number + Random(number).randbytes(size - 9)


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    """Yield three members with a leader, whose state is a document."""
    members = Fleet(tmp_path, "abc", seed=5, machine_type=DocumentMachine)
    members.wait_for_leader()
    yield members
    members.close()


def get_state(fleet: Fleet, name: str) -> bytes:
    """Return the number of the document that a member has applied last."""
    return fleet.machines[name].commands[-1][:9]


# Guards against CONFIG: some 150 whole configurations, less than the entries after
# which a snapshot is due, fill the memory of all members, who cannot start again.
def test_few_large_commands_are_replaced_by_a_snapshot(fleet: Fleet) -> None:
    log_files = [fleet.folder / name / "log" for name in "abc"]
    for number in range(150):
        fleet.propose(make_document(number))
        fleet.run(0.04)
        for group in fleet.groups.values():
            assert group.replica.log.payload_bytes < LOG_MEMORY_BYTES
        assert max(path.stat().st_size for path in log_files) < DISK_BYTES
    fleet.run(0.5)
    assert {get_state(fleet, name) for name in "abc"} == {b"%09d" % 149}
    for name in "abc":
        fleet.start(name)
    fleet.wait_for_leader()
    fleet.run(0.5)
    assert {get_state(fleet, name) for name in "abc"} == {b"%09d" % 149}


class LargeStateMachine(RecordingMachine):
    """A state machine whose state has more bytes than most logs."""

    def dump(self) -> bytes:
        """Return a large snapshot."""
        return bytes(12 * MIB)

    def load(self, payload: bytes) -> None:
        """Ignore a snapshot."""


# Guards against a large state that is written again after a few large commands.
def test_a_snapshot_is_not_written_for_less_than_its_own_bytes(tmp_path: Path) -> None:
    group = open_single_group(tmp_path, LargeStateMachine())
    snapshots = set()
    for number in range(40):
        group.propose(make_document(number), lambda result: None)
        group.flush(2.0 + number / 100)
        snapshots.add(group.replica.log.snapshot.log_index)
    # The first one is due after 8 MiB, the next one after 12 MiB.
    assert snapshots == {0, 17, 41}
    group.close()


class SizedFiles(FaultyFiles):
    """Files on a disk of a limited size, on which replaced files free their space."""

    def rename(self, old: Path, new: Path) -> None:
        """Rename a file and free the space of the one that it replaces."""
        freed = new.stat().st_size if new.exists() else 0
        super().rename(old, new)
        if self.free_bytes is not None:
            self.free_bytes += freed


# Guards against a disk that is filled by the log and the snapshot beside it.
def test_large_commands_do_not_fill_the_disk(tmp_path: Path) -> None:
    files = SizedFiles()
    files.free_bytes = DISK_BYTES
    machine = DocumentMachine()
    group = open_single_group(tmp_path, machine, files)
    for number in range(200):
        assert group.propose(make_document(number), lambda result: None)
        group.flush(2.0 + number / 100)
        assert not group.disk_error
    group.close()


def open_single_group(
    folder: Path, machine: RecordingMachine, files: FaultyFiles | None = None
) -> Group:
    """Return the only member of a group, which leads it."""
    group = open_group(
        "group", "a", folder, ("a",), Timing(), Random(1), machine, 0.0, files=files
    )
    for step in range(100):
        group.tick(step / 50)
        group.flush(step / 50)
    assert group.is_settled_leader(2.0)
    return group


@pytest.fixture
def long_log(tmp_path: Path) -> Path:
    """Return the folder of an earlier version, whose log is larger than the memory."""
    storage, _ = open_storage(tmp_path / "data")
    configuration = encode_configuration(Configuration((Member("a", ""),)))
    first = Entry(1, 1, EntryKind.CONFIGURATION, configuration)
    storage.write(Output(entries=[first], hard_state=HardState(1, "a", "a")))
    for number in range(2, 100):
        entry = Entry(number, 1, EntryKind.COMMAND, make_document(number, MIB))
        storage.write(Output(entries=[entry]))
    storage.close()
    return tmp_path / "data"


# Guards against a start that holds the whole log and its file in memory, so that a
# member whose log has grown too large is killed at each start.
def test_a_log_that_is_larger_than_the_memory_is_opened(long_log: Path) -> None:
    tracemalloc.start()
    try:
        storage, recovered = open_storage(long_log)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak < LOG_MEMORY_BYTES
    assert len(recovered.entries) == 99
    for number, entry in enumerate(recovered.entries[1:], 2):
        assert load_entry(entry).payload == make_document(number, MIB)
    storage.close()


# Guards against a loop that stands still while a long log is applied, and against a
# snapshot for which the rest of the log is read into memory.
def test_a_long_log_is_applied_in_steps_and_replaced(long_log: Path) -> None:
    machine = DocumentMachine()
    identity = (long_log / "identity").read_text()
    tracemalloc.start()
    try:
        group = open_group(
            "group", "a", long_log, (), Timing(), Random(1), machine, 0.0
        )
        log = group.replica.log
        log._configurations = [(1, Configuration((Member("a", identity),)))]
        now, largest_step = 0.0, 0
        while group.applied_index < 100 and now < 60.0:
            now += 0.05
            before = group.applied_index
            group.tick(now)
            group.flush(now)
            largest_step = max(largest_step, group.applied_index - before)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert group.applied_index >= 100
    assert machine.commands[-1][:9] == b"%09d" % 99
    assert largest_step <= 8
    assert peak < LOG_MEMORY_BYTES
    assert log.payload_bytes < LOG_MEMORY_BYTES
    group.close()


# Guards against a long log whose damage is found only when it is applied.
def test_a_long_log_with_a_flipped_bit_is_refused(long_log: Path) -> None:
    path = long_log / "log"
    with path.open("r+b") as file:
        file.seek(70 * MIB)
        byte = file.read(1)[0]
        file.seek(70 * MIB)
        file.write(bytes([byte ^ 1]))
    with pytest.raises(Exception, match="damaged: record at byte"):
        open_storage(long_log)


def make_leader(entry_count: int, size: int) -> Replica:
    """Return a leader with peers "b" and "c" that have acknowledged nothing."""
    voters = tuple(Member(name, name) for name in "abc")
    log = Log(SnapshotImage())
    log.append(
        [
            Entry(
                1,
                1,
                EntryKind.CONFIGURATION,
                encode_configuration(Configuration(voters)),
            )
        ]
    )
    log.append(
        [
            Entry(index, 1, EntryKind.COMMAND, bytes(size))
            for index in range(2, entry_count + 2)
        ]
    )
    leader = make_replica(
        voters[0], (), Timing(), Random(1), log, HardState(1, "a", "a"), 0.0
    )
    leader.role = Role.LEADER
    return leader


def list_appends(leader: Replica, peer: str) -> list[AppendRequest]:
    """Return the append requests for a peer that a leader has queued."""
    return [
        message.message
        for message in take_output(leader).messages
        if message.peer == peer and isinstance(message.message, AppendRequest)
    ]


def count_bytes(requests: list[AppendRequest]) -> int:
    """Return the bytes of the payloads in append requests."""
    return sum(len(e.payload) for request in requests for e in request.entries)


# Guards against a member that lost its disk and gets 512 large commands in one message,
# of which it and the leader hold several copies.
def test_a_member_without_a_log_is_sent_few_bytes_at_a_time() -> None:
    leader = make_leader(60, MIB // 2)
    now = 1.0
    replicate(leader, now)
    take_output(leader)
    # The member rejects the first request, as its log is empty.
    receive(leader, Member("b", "b"), AppendAnswer(1, False, 0, now), now)
    received = 0
    for _ in range(1000):
        now += 0.01
        replicate(leader, now)
        sent = list_appends(leader, "b")
        assert all(count_bytes([request]) <= MESSAGE_BYTES for request in sent)
        for request in sent:
            assert request.previous_index == received
            received += len(request.entries)
            receive(leader, Member("b", "b"), AppendAnswer(1, True, received, now), now)
        if received == 61:
            return
    raise AssertionError(f"the member has {received} entries")


# Guards against a member that does not answer, for which the sender queues the log.
def test_a_member_that_does_not_answer_is_sent_few_bytes_in_all() -> None:
    leader = make_leader(60, MIB // 2)
    receive(leader, Member("b", "b"), AppendAnswer(1, False, 0, 1.0), 1.0)
    sent = []
    for step in range(1, 200):
        replicate(leader, 1.0 + step / 100)
        sent += list_appends(leader, "b")
    assert 0 < count_bytes(sent) <= 4 * MESSAGE_BYTES


# Guards against a leader that sends the same entries again for each of the requests
# that were under way when a member lost one of them.
def test_late_rejections_do_not_send_the_entries_again() -> None:
    leader = make_leader(8, MIB // 2)
    replicate(leader, 1.0)
    take_output(leader)
    sent = []
    for step in range(20):
        receive(
            leader, Member("b", "b"), AppendAnswer(1, False, 0, 1.0), 1.1 + step / 100
        )
        for turn in range(10):
            replicate(leader, 1.1 + step / 100 + turn / 1000)
            sent += list_appends(leader, "b")
    assert 0 < count_bytes(sent) <= 4 * MESSAGE_BYTES


# Guards against a member that lost a request after a reset and is never sent it again.
def test_a_rejection_of_a_later_request_sends_the_entries_again() -> None:
    leader = make_leader(2, 1000)
    receive(leader, Member("b", "b"), AppendAnswer(1, False, 0, 1.0), 1.1)
    replicate(leader, 1.1)
    assert len(list_appends(leader, "b")[0].entries) == 3
    receive(leader, Member("b", "b"), AppendAnswer(1, False, 0, 1.2), 1.3)
    replicate(leader, 1.3)
    assert len(list_appends(leader, "b")[0].entries) == 3


# Guards against a leader without a quorum that takes commands until its memory is full.
def test_a_leader_takes_no_command_while_too_many_bytes_wait(fleet: Fleet) -> None:
    name = fleet.leader()
    fleet.isolated = {name}
    group = fleet.groups[name]
    taken = [
        group.propose(make_document(number, MIB), lambda result: None)
        for number in range(100)
    ]
    assert taken[0]
    assert not taken[-1]
    assert group.replica.log.payload_bytes < LOG_MEMORY_BYTES
    fleet.isolated = set()
    fleet.run(2.0)
    fleet.propose(b"later")
    fleet.run(0.5)
    assert fleet.acknowledged[-1] == b"later"


# Guards against a wiped member that never catches up while large commands arrive.
def test_a_wiped_member_catches_up_while_large_commands_arrive(fleet: Fleet) -> None:
    for number in range(30):
        fleet.propose(make_document(number))
        fleet.run(0.04)
    leader = fleet.leader()
    other = next(name for name in "abc" if name != leader)
    fleet.groups.pop(other).close()
    for path in (fleet.folder / other).iterdir():
        path.unlink()
    fleet.start(other)
    group = fleet.groups[leader]
    identity = (fleet.folder / other / "identity").read_text()
    old = group.replica.configuration
    voters = tuple(
        Member(other, identity) if v.name == other else v for v in old.voters
    )
    for each in fleet.groups.values():
        each.replica.log._configurations.append(
            (each.replica.log.last_index, Configuration(voters))
        )
    before = len(fleet.sent)
    for number in range(30, 60):
        fleet.propose(make_document(number))
        fleet.run(0.04)
    fleet.run(1.0)
    assert get_state(fleet, other) == b"%09d" % 59
    for queued in fleet.sent[before:]:
        match queued.message:
            case AppendRequest() as request:
                assert count_bytes([request]) <= MESSAGE_BYTES
            case SnapshotRequest() as request:
                assert len(request.snapshot.payload) <= MIB


# Guards against bytes that are miscounted when entries are removed from either end.
@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["append", "truncate", "compact"]),
            st.integers(0, 9),
        ),
        max_size=30,
    )
)
def test_the_bytes_of_a_log_are_those_of_its_entries(
    steps: list[tuple[str, int]],
) -> None:
    log = Log(SnapshotImage())
    for kind, number in steps:
        first = log.snapshot.log_index
        index = min(first + number, log.last_index)
        match kind:
            case "append":
                size = number * 7 % 5
                log.append(
                    [Entry(log.last_index + 1, 1, EntryKind.COMMAND, bytes(size))]
                )
            case "truncate":
                log.truncate(max(index, first + 1))
            case "compact":
                log.compact(SnapshotImage(index, log.term_at(index) or 0))
        entries = log.entries_from(log.snapshot.log_index + 1, 999)
        assert log.payload_bytes == sum(len(entry.payload) for entry in entries)
        for limit in range(12):
            some = log.entries_from(log.snapshot.log_index + 1, 999, limit)
            total = sum(len(entry.payload) for entry in some)
            assert total <= limit or len(some) == 1
            left = entries[len(some) :]
            assert not left or not some or total + len(left[0].payload) > limit


# Guards against a proposal that a leader forgets without an answer to its proposer.
def test_a_proposal_whose_index_is_used_again_is_answered(tmp_path: Path) -> None:
    group = open_single_group(tmp_path, RecordingMachine())
    answers: list[object] = []
    assert group.propose(b"first", answers.append)
    log = group.replica.log
    log.truncate(log.last_index)
    assert propose(group.replica, b"other") is not None
    log.truncate(log.last_index)
    assert group.propose(b"second", lambda result: None)
    assert answers == [None]
    group.close()
