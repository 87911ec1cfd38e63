"""Members whose disks refuse writes: saved state, leadership and recovery."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyrock.consensus import (
    Entry,
    EntryKind,
    HardState,
    Output,
    Role,
    SnapshotImage,
    StorageError,
    open_storage,
)
from dragonflyrock.consensus.models import AppendAnswer, TakeOver, VoteAnswer

from .groups import FaultyFiles, Fleet


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    """Yield three members with a leader and one committed command."""
    members = Fleet(tmp_path, "abc", seed=3)
    members.wait_for_leader()
    members.propose(b"first")
    members.run(0.5)
    assert members.acknowledged == [b"first"]
    yield members
    members.close()


def make_entries(first: int, last: int, term: int = 1) -> list[Entry]:
    """Return entries of a term."""
    return [
        Entry(index, term, EntryKind.COMMAND, b"payload %d" % index)
        for index in range(first, last + 1)
    ]


# Guards against a leader whose process ends because its disk is full.
def test_a_leader_whose_disk_is_full_hands_its_leadership_over(fleet: Fleet) -> None:
    old = fleet.leader()
    fleet.disks[old].free_bytes = 7
    before = len(fleet.sent)
    fleet.propose(b"lost")
    assert fleet.refused == [b"lost"]
    assert fleet.groups[old].disk_error
    new = fleet.wait_for_leader(0.25)
    assert new != old, "leadership was handed over, not won after a timeout"
    sent = [queued for queued in fleet.sent[before:] if queued.sender.name == old]
    assert isinstance(sent[0].message, TakeOver)
    fleet.propose(b"second")
    fleet.run(0.5)
    assert fleet.acknowledged == [b"first", b"second"]


# Guards against a leader whose disk fails and that hands its leadership to a voter
# whose disk failed before.
def test_leadership_is_not_handed_to_a_voter_whose_disk_failed(fleet: Fleet) -> None:
    first = fleet.leader()
    other, last = sorted(set(fleet.groups) - {first})
    group = fleet.groups[last]
    fleet.disks[last].free_bytes = 0
    # Only a vote has to be saved, so the voter's log is up to date when its disk fails.
    group.replica.output.hard_state = HardState(group.replica.hard_state.term, "x")
    fleet.run(0.4)
    assert group.disk_error
    fleet.disks[first].failing_operations.add("sync")
    fleet.propose(b"lost")
    asked = [s.peer for s in fleet.sent if isinstance(s.message, TakeOver)]
    assert asked == [other]


# Guards against a follower that acknowledges entries that its disk refused.
@pytest.mark.parametrize("fault", ["append", "sync"])
def test_a_follower_that_cannot_write_neither_acknowledges_nor_votes(
    fleet: Fleet, fault: str
) -> None:
    leader = fleet.leader()
    victim = next(name for name in fleet.names if name != leader)
    group = fleet.groups[victim]
    fleet.disks[victim].failing_operations.add(fault)
    fleet.propose(b"second")
    fleet.run(0.05)
    assert group.disk_error
    before = len(fleet.sent)
    last = group.replica.log.last_index
    fleet.propose(b"third")
    fleet.run(2.0)
    promises = [
        queued
        for queued in fleet.sent[before:]
        if queued.sender.name == victim
        and isinstance(queued.message, AppendAnswer | VoteAnswer)
    ]
    assert promises == []
    assert group.replica.log.last_index == last
    assert fleet.leader() == leader, "two of three go on"
    assert fleet.acknowledged == [b"first", b"second", b"third"]
    assert group.replica.leader == leader, "it can forward requests to the leader"
    assert group.replica.last_contact_at > fleet.now - 0.2


# Guards against a voter that grants a vote although its disk cannot save it, and so
# does not remember it after a restart.
def test_a_voter_that_cannot_write_neither_votes_nor_becomes_a_candidate(
    fleet: Fleet,
) -> None:
    leader = fleet.leader()
    victim, other = sorted(set(fleet.groups) - {leader})
    fleet.disks[victim].free_bytes = 0
    fleet.propose(b"second")
    fleet.run(0.3)
    fleet.isolated.add(leader)
    term = fleet.groups[victim].replica.hard_state.term
    fleet.run(3.0)
    assert fleet.groups[victim].replica.role == Role.FOLLOWER
    assert fleet.groups[victim].replica.hard_state.term == term
    assert not fleet.groups[other].is_settled_leader(fleet.now)
    fleet.disks[victim].free_bytes = None
    fleet.run(2.0)
    assert fleet.leader() in (victim, other)
    assert b"second" in fleet.machines[other].commands


# Guards against a member whose disk has recovered and that lacks entries committed in
# between.
def test_a_member_catches_up_when_its_disk_accepts_writes_again(fleet: Fleet) -> None:
    victim = fleet.leader()
    group = fleet.groups[victim]
    fleet.disks[victim].free_bytes = 10
    fleet.propose(b"lost")
    fleet.wait_for_leader()
    for number in range(5):
        fleet.propose(b"meanwhile %d" % number)
    fleet.run(3.0)
    assert group.disk_error
    assert 2 <= group.disk_failures <= 8, "tried again at a bounded pace"
    fleet.disks[victim].free_bytes = None
    fleet.run(1.5)
    assert not group.disk_error
    expected = [b"first", *(b"meanwhile %d" % number for number in range(5))]
    assert fleet.machines[victim].commands == expected
    assert fleet.acknowledged == expected
    fleet.start(victim)
    fleet.run(1.0)
    assert fleet.machines[victim].commands == expected


# Guards against a single voter whose process ends because its disk is full. It must
# step down and lead again once the disk has space.
def test_a_single_voter_steps_down_and_leads_again(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path, "a", seed=1)
    fleet.wait_for_leader()
    fleet.propose(b"first")
    fleet.disks["a"].free_bytes = 3
    fleet.propose(b"lost")
    assert (fleet.acknowledged, fleet.refused) == ([b"first"], [b"lost"])
    fleet.run(2.0)
    assert not fleet.find_leaders()
    assert fleet.machines["a"].commands == [b"first"]
    fleet.disks["a"].free_bytes = None
    fleet.wait_for_leader()
    fleet.propose(b"second")
    fleet.start("a")
    fleet.wait_for_leader()
    assert fleet.machines["a"].commands == [b"first", b"second"]
    fleet.close()


# Guards against a candidate whose disk is full and that stays in a term that it could
# not save: it refuses the leader's heartbeats.
def test_a_candidate_that_cannot_save_its_term_follows_again(fleet: Fleet) -> None:
    leader = fleet.leader()
    victim = next(name for name in fleet.names if name != leader)
    group = fleet.groups[victim]
    term = group.replica.hard_state.term
    fleet.disks[victim].free_bytes = 0
    group.receive(fleet.groups[leader].replica.me, "", TakeOver(term), fleet.now)
    fleet.run(0.5)
    assert group.disk_error
    assert (group.replica.hard_state.term, group.replica.role) == (term, Role.FOLLOWER)
    assert group.replica.leader == fleet.leader() == leader


# Guards against entries that a new leader replaces and that are lost from memory while
# the disk still has them, because their replacement could not be saved.
def test_a_truncation_that_cannot_be_saved_is_undone(fleet: Fleet) -> None:
    old = fleet.leader()
    fleet.isolated.add(old)
    fleet.propose(b"alone", old)
    before = fleet.groups[old].replica.log.copy()
    fleet.run(2.0)
    new = fleet.wait_for_leader()
    fleet.propose(b"agreed")
    fleet.run(0.2)
    group = fleet.groups[old]
    fleet.isolated.clear()
    while group.replica.hard_state.term < fleet.groups[new].replica.hard_state.term:
        fleet.run(0.02)
    assert group.replica.log.entries_from(1, 99) == before.entries_from(1, 99)
    # The new term is saved. The next write replaces the uncommitted entry.
    fleet.disks[old].free_bytes = 0
    fleet.run(0.4)
    assert group.disk_error
    log = group.replica.log
    assert log.entries_from(1, 99) == before.entries_from(1, 99)
    assert group.replica.leader == new
    fleet.disks[old].free_bytes = None
    fleet.run(1.5)
    assert fleet.machines[old].commands == [b"first", b"agreed"]


# Guards against a member that could not save the leader's snapshot and continues with a
# log that begins at this snapshot.
def test_an_installed_snapshot_that_cannot_be_saved_is_undone(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path, "abc", seed=5, snapshots=5)
    leader = fleet.wait_for_leader()
    victim = next(name for name in fleet.names if name != leader)
    fleet.run(0.5)
    fleet.isolated.add(victim)
    for number in range(12):
        fleet.propose(b"%d" % number)
        fleet.run(0.1)
    log = fleet.groups[victim].replica.log
    before = (log.snapshot, log.entries_from(1, 99))
    fleet.disks[victim].free_bytes = 0
    fleet.isolated.clear()
    fleet.run(1.5)
    group = fleet.groups[victim]
    assert group.disk_error
    log = group.replica.log
    assert (log.snapshot, log.entries_from(1, 99)) == before
    assert group.applied_index == group.replica.commit_index
    assert fleet.machines[victim].commands == []
    fleet.disks[victim].free_bytes = None
    fleet.run(3.0)
    assert fleet.machines[victim].commands == fleet.acknowledged
    fleet.close()


# Guards against a record that is appended after the remains of a failed write.
@pytest.mark.parametrize("room", [0, 1, 13, 40, 100])
def test_remains_of_a_failed_write_are_cut_before_the_next_write(
    tmp_path: Path, room: int
) -> None:
    files = FaultyFiles()
    storage, _ = open_storage(tmp_path, files)
    storage.write(Output(entries=make_entries(1, 3), hard_state=HardState(1, "a")))
    files.free_bytes = room
    with pytest.raises(StorageError, match="No space left"):
        storage.write(Output(entries=make_entries(4, 9), hard_state=HardState(2, "b")))
    assert storage.hard_state == HardState(1, "a")
    with pytest.raises(StorageError, match="an earlier write failed"):
        storage.write(Output(entries=make_entries(4, 4)))
    with pytest.raises(StorageError) as caught:
        storage.recover()
    assert caught.value.step == "recover"
    files.free_bytes = None
    storage.recover()
    storage.write(Output(entries=make_entries(4, 4, term=3)))
    storage.close()
    _, recovered = open_storage(tmp_path)
    assert recovered.entries == (*make_entries(1, 3), *make_entries(4, 4, term=3))
    assert recovered.hard_state == HardState(1, "a")
    assert not recovered.torn_bytes


# Guards against bytes whose sync failed and that are in the file and count as synced.
def test_remains_of_a_failed_sync_are_cut_before_the_next_write(tmp_path: Path) -> None:
    files = FaultyFiles()
    storage, _ = open_storage(tmp_path, files)
    storage.write(Output(entries=make_entries(1, 3)))
    files.failing_operations.add("sync")
    with pytest.raises(StorageError, match="Input/output error"):
        storage.write(Output(entries=make_entries(4, 9)))
    files.failing_operations.clear()
    storage.recover()
    storage.close()
    _, recovered = open_storage(tmp_path)
    assert recovered.entries == tuple(make_entries(1, 3))


# Guards against extending a log that is shorter than its synced size with zeros.
def test_a_log_that_lost_synced_bytes_is_not_recovered(tmp_path: Path) -> None:
    storage, _ = open_storage(tmp_path)
    storage.write(Output(entries=make_entries(1, 3)))
    (tmp_path / "log").write_bytes(b"")
    with pytest.raises(StorageError, match="synced bytes are missing"):
        storage.recover()


# Guards against a crash between an installed snapshot and the entries after it that
# loses acknowledged entries.
@pytest.mark.parametrize("fault", ["append", "sync", "rename", "sync_folder", "none"])
def test_a_snapshot_that_fails_keeps_the_acknowledged_entries(
    tmp_path: Path, fault: str
) -> None:
    files = FaultyFiles()
    storage, _ = open_storage(tmp_path, files)
    storage.write(Output(entries=make_entries(1, 9), hard_state=HardState(1, "a")))
    files.failing_operations.add(fault)
    image = SnapshotImage(5, 1, payload=b"image")
    output = Output(snapshot=image, entries=make_entries(6, 9))
    if fault == "none":
        storage.write(output)
    else:
        with pytest.raises(StorageError):
            storage.write(output)
        files.failing_operations.clear()
        assert not list(tmp_path.glob("*.new")), "no partly written file takes space"
        storage.recover()
    storage.write(Output(entries=make_entries(10, 10)))
    storage.close()
    _, recovered = open_storage(tmp_path)
    assert recovered.entries[-5:] == tuple(make_entries(6, 10))
    assert recovered.hard_state == HardState(1, "a")


# Guards against a snapshot that cannot be saved and that ends the process, or is
# retried at every flush.
def test_the_log_continues_without_space_for_a_snapshot(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path, "a", seed=1, snapshots=5)
    fleet.wait_for_leader()
    disk = fleet.disks["a"]
    disk.failing_operations.add("rename")
    for number in range(20):
        fleet.propose(b"%d" % number)
    group = fleet.groups["a"]
    assert len(fleet.acknowledged) == 20
    assert not group.disk_error
    assert group.replica.log.snapshot.log_index == 0
    disk.failing_operations.clear()
    fleet.run(6.0)
    assert group.replica.log.snapshot.log_index == group.applied_index
    fleet.start("a")
    assert fleet.machines["a"].commands == [b"%d" % number for number in range(20)]
    fleet.close()


class UnsyncedRenameFiles(FaultyFiles):
    """Files whose folder cannot be synced after the first rename of a log."""

    armed = True

    def rename(self, old: Path, new: Path) -> None:
        """Rename a file; from the first new log on, folder syncs fail."""
        super().rename(old, new)
        if new.name == "log" and self.armed:
            self.armed = False
            self.failing_operations.add("sync_folder")


# Guards against a new log that is appended to before its name is synced: a power loss
# can then bring the old log back, without the appended entries.
def test_a_log_whose_rename_is_not_synced_counts_as_a_failed_disk(
    tmp_path: Path,
) -> None:
    fleet = Fleet(tmp_path, "a", seed=1, snapshots=5)
    fleet.wait_for_leader()
    disk = fleet.disks["a"] = UnsyncedRenameFiles()
    fleet.start("a")
    fleet.wait_for_leader()
    for number in range(20):
        fleet.propose(b"%d" % number)
    group = fleet.groups["a"]
    assert "Input/output error" in group.disk_error
    assert not fleet.find_leaders()
    disk.failing_operations.clear()
    fleet.wait_for_leader()
    fleet.propose(b"last")
    fleet.start("a")
    assert set(fleet.acknowledged) <= set(fleet.machines["a"].commands) | {b"last"}
    fleet.wait_for_leader()
    assert fleet.machines["a"].commands == fleet.acknowledged
    fleet.close()


# Guards against any order of full or failing disks and restarts that loses acknowledged
# commands, applies them twice or makes members disagree.
@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    seed=st.integers(0, 10_000),
    steps=st.lists(
        st.tuples(
            st.sampled_from("abc"),
            st.sampled_from(
                ["full", "append", "sync", "rename", "sync_folder", "well", "new"]
            ),
            st.integers(0, 300),
            st.integers(0, 4),
        ),
        max_size=14,
    ),
)
def test_disks_that_fail_in_any_order_lose_nothing(
    tmp_path_factory: pytest.TempPathFactory,
    seed: int,
    steps: list[tuple[str, str, int, int]],
) -> None:
    fleet = Fleet(tmp_path_factory.mktemp("fleet"), "abc", seed, snapshots=6)
    fleet.wait_for_leader()
    count = 0
    for name, fault, free_bytes, wait in steps:
        disk = fleet.disks[name]
        match fault:
            case "full":
                disk.free_bytes = free_bytes
            case "well":
                disk.free_bytes = None
                disk.failing_operations.clear()
            case "new":
                # Only the restart is tested here, so the disk accepts writes again.
                disk.free_bytes = None
                disk.failing_operations.clear()
                fleet.start(name)
            case _:
                disk.failing_operations.add(fault)
        for _ in range(2):
            count += 1
            fleet.propose(b"%d" % count)
            fleet.run(wait * 0.1)
    for disk in fleet.disks.values():
        disk.free_bytes = None
        disk.failing_operations.clear()
    fleet.run(2.0)
    fleet.wait_for_leader()
    fleet.propose(b"last")
    fleet.run(6.0)
    assert fleet.acknowledged[-1] == b"last"
    for name in fleet.names:
        fleet.start(name)
    fleet.wait_for_leader()
    fleet.run(1.0)
    commands = fleet.machines["a"].commands
    assert fleet.machines["b"].commands == commands
    assert fleet.machines["c"].commands == commands
    assert len(set(commands)) == len(commands)
    acknowledged = [c for c in commands if c in set(fleet.acknowledged)]
    assert acknowledged == sorted(fleet.acknowledged, key=commands.index)
    assert set(fleet.acknowledged) <= set(commands)
    fleet.close()
