"""Data folders with torn writes, flipped bits, full disks and missing files."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from dragonflyrock.consensus import (
    Entry,
    EntryKind,
    HardState,
    Output,
    SnapshotImage,
    StorageError,
    open_storage,
)
from dragonflyrock.consensus.frames import Batch, encode_frame


def make_entries(first: int, last: int) -> list[Entry]:
    """Return entries of term 1."""
    return [
        Entry(index, 1, EntryKind.COMMAND, b"payload %d" % index)
        for index in range(first, last + 1)
    ]


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    """Return a folder with ten entries and a vote."""
    storage, _ = open_storage(tmp_path / "data")
    storage.write(Output(entries=make_entries(1, 10), hard_state=HardState(3, "b")))
    storage.close()
    return tmp_path / "data"


# Guards against a start without the saved entries or the saved vote.
def test_written_entries_and_the_vote_are_recovered(folder: Path) -> None:
    storage, recovered = open_storage(folder)
    assert recovered.entries == tuple(make_entries(1, 10))
    assert recovered.hard_state == HardState(3, "b")
    assert not recovered.torn_bytes
    storage.close()


# Guards against replaced entries that are back after a restart.
def test_a_truncation_outlasts_a_restart(folder: Path) -> None:
    storage, _ = open_storage(folder)
    new_entries = [Entry(8, 2, EntryKind.COMMAND, b"other")]
    storage.write(Output(truncate_from=8, entries=new_entries))
    storage.close()
    _, recovered = open_storage(folder)
    assert recovered.entries == (*make_entries(1, 7), *new_entries)


# Guards against a torn write that prevents the start, or that stays in the log before
# later entries.
@pytest.mark.parametrize("cut", [1, 5, 11, 12, 20])
def test_a_torn_write_is_removed(folder: Path, cut: int) -> None:
    log = folder / "log"
    size = log.stat().st_size
    os.truncate(log, size - cut)
    storage, recovered = open_storage(folder)
    assert recovered.entries == tuple(make_entries(1, 10))
    assert recovered.torn_bytes > 0
    storage.write(Output(entries=make_entries(11, 11)))
    storage.close()
    _, recovered = open_storage(folder)
    assert recovered.entries[-1].log_index == 11


# Guards against blocks that were never written and that prevent the start after a power
# loss.
def test_blocks_of_zeros_after_the_log_are_removed(folder: Path) -> None:
    with (folder / "log").open("ab") as log:
        log.write(b"\x00" * 4096)
    _, recovered = open_storage(folder)
    assert recovered.torn_bytes == 4096


# Guards against damaged bytes that are read as entries or removed as a torn write.
def test_any_flipped_bit_is_refused_with_its_offset(folder: Path) -> None:
    log = folder / "log"
    data = log.read_bytes()
    # The last batch, written on close, is empty: it only shows that all was synced.
    closing_batch_start = len(data) - len(encode_frame(Batch(3)))
    for offset in range(0, closing_batch_start, 7):
        flipped = bytearray(data)
        flipped[offset] ^= 0x10
        log.write_bytes(flipped)
        with pytest.raises(StorageError, match="log: damaged: .* at byte"):
            open_storage(folder)


# Guards against damage in the last, empty batch that prevents the start or loses
# entries.
def test_a_flipped_bit_in_the_closing_mark_loses_nothing(folder: Path) -> None:
    log = folder / "log"
    data = log.read_bytes()
    for offset in range(len(data) - len(encode_frame(Batch(3))), len(data)):
        flipped = bytearray(data)
        flipped[offset] ^= 0x10
        log.write_bytes(flipped)
        _, recovered = open_storage(folder)
        assert recovered.entries == tuple(make_entries(1, 10))
        assert recovered.hard_state == HardState(3, "b")


# Guards against logs from versions without batches that cannot be opened, and against
# damage in them that counts as a torn write.
def test_a_log_in_the_earlier_format_opens_and_is_checked(folder: Path) -> None:
    log = folder / "log"
    earlier = b"".join(encode_frame(entry) for entry in make_entries(1, 10))
    earlier += encode_frame(HardState(4, "c"))
    for offset in range(0, len(earlier), 7):
        flipped = bytearray(earlier)
        flipped[offset] ^= 0x10
        log.write_bytes(flipped)
        with pytest.raises(StorageError, match="log: damaged: .* at byte"):
            open_storage(folder)
    for cut in (1, 5, 11, 12, 20):
        log.write_bytes(earlier[:-cut])
        storage, recovered = open_storage(folder)
        assert recovered.entries == tuple(make_entries(1, 10))
        assert recovered.torn_bytes
        storage.write(Output(entries=make_entries(11, 11)))
        storage.close()
        _, recovered = open_storage(folder)
        assert recovered.entries == tuple(make_entries(1, 11))


# Guards against a start with a damaged snapshot.
def test_a_damaged_snapshot_is_refused(folder: Path) -> None:
    storage, _ = open_storage(folder)
    storage.save_snapshot(SnapshotImage(10, 1, payload=b"state"), ())
    storage.close()
    path = folder / "snapshot"
    data = bytearray(path.read_bytes())
    data[-1] ^= 1
    path.write_bytes(data)
    with pytest.raises(StorageError, match="snapshot: damaged"):
        open_storage(folder)


# Guards against a vote or later entries that are lost when the log is shortened.
def test_a_snapshot_keeps_the_vote_and_the_entries_after_it(folder: Path) -> None:
    storage, _ = open_storage(folder)
    kept = tuple(make_entries(9, 10))
    storage.save_snapshot(SnapshotImage(8, 1, payload=b"state"), kept)
    storage.close()
    _, recovered = open_storage(folder)
    assert recovered.snapshot.payload == b"state"
    assert recovered.entries == kept
    assert recovered.hard_state == HardState(3, "b")


# Guards against entries or a vote that are lost if a crash leaves the old log and an
# incomplete new one beside the new snapshot.
def test_a_crash_between_snapshot_and_log_loses_nothing(folder: Path) -> None:
    old_log = (folder / "log").read_bytes()
    storage, _ = open_storage(folder)
    storage.save_snapshot(SnapshotImage(8, 1), tuple(make_entries(9, 10)))
    storage.close()
    (folder / "log").write_bytes(old_log)
    (folder / "log.new").write_bytes(b"half a fi")
    _, recovered = open_storage(folder)
    assert recovered.entries == tuple(make_entries(9, 10))
    assert recovered.hard_state == HardState(3, "b")


# Guards against a member that lost its disk and counts as the one that acknowledged
# entries.
def test_a_wiped_folder_gets_a_new_identity(folder: Path) -> None:
    _, before = open_storage(folder)
    for path in folder.iterdir():
        path.unlink()
    _, after = open_storage(folder)
    assert before.identity != after.identity


# Guards against a new identity for a log that was written under another one.
def test_a_lost_identity_beside_a_log_is_refused(folder: Path) -> None:
    (folder / "identity").unlink()
    with pytest.raises(StorageError, match="identity: missing beside a log"):
        open_storage(folder)


# Guards against a start with missing entries.
def test_a_gap_in_the_log_is_refused(folder: Path) -> None:
    storage, _ = open_storage(folder)
    storage.write(Output(entries=make_entries(12, 12)))
    storage.close()
    with pytest.raises(StorageError, match="entry 12 follows 10"):
        open_storage(folder)


# Guards against acknowledged entries or snapshots that a power loss removes.
def test_everything_is_synced_before_a_write_returns(
    folder: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    synced: list[int] = []
    monkeypatch.setattr(os, "fsync", lambda fd: synced.append(os.fstat(fd).st_size))
    storage, _ = open_storage(folder)
    synced.clear()
    storage.write(Output(entries=make_entries(11, 11)))
    assert synced == [(folder / "log").stat().st_size]
    storage.save_snapshot(SnapshotImage(11, 1), ())
    # These are the snapshot, its folder, the shorter log and the folder again.
    assert len(synced) == 1 + 4


# Guards against a power loss after a restart that drops acknowledged entries.
def test_writes_of_a_killed_process_are_synced_at_the_next_start(
    folder: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    synced: list[int] = []
    size = (folder / "log").stat().st_size
    monkeypatch.setattr(os, "fsync", lambda fd: synced.append(os.fstat(fd).st_size))
    storage, _ = open_storage(folder)
    storage.close()
    assert synced == [size]


# Guards against an error that does not name the step and the cause.
def test_a_full_disk_is_an_error_with_its_step(tmp_path: Path) -> None:
    storage, _ = open_storage(tmp_path)
    storage._log.close()
    # Every write to this device fails like on a full disk.
    storage._log = Path("/dev/full").open("ab")  # noqa: SIM115
    with pytest.raises(StorageError, match="No space left") as caught:
        storage.write(Output(entries=make_entries(1, 1)))
    assert caught.value.step == "write"
