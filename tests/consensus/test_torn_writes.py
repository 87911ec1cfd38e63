"""Data folders after a power loss: unsynced writes are present, missing or torn."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import BinaryIO, NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyrock.consensus import (
    Entry,
    EntryKind,
    HardState,
    Output,
    SnapshotImage,
    Storage,
    StorageError,
    open_storage,
)
from dragonflyrock.consensus.files import Files
from dragonflyrock.consensus.frames import Batch, encode_frame
from dragonflyrock.consensus.log import load_entry
from dragonflyrock.consensus.storage import Recovered

SECTOR_BYTES = 64


class PowerLossError(BaseException):
    """The machine lost power; no code under test may catch this."""


class Write(NamedTuple):
    """An unsynced write, or an unsynced truncation if ``data`` is None."""

    offset: int
    data: bytes | None


class PowerLossFiles(Files):
    """Files on a machine that loses power after ``operations_left`` operations.

    ``failing`` makes syncs fail.
    """

    def __init__(self, random: Random) -> None:
        """Start with practically unlimited power."""
        self.random = random
        self.operations_left = 1_000_000
        self.failing = False
        self._synced: dict[Path, bytes] = {}
        self._pending: dict[Path, list[Write]] = {}
        self._unsynced_rename: tuple[Path, bytes | None] | None = None

    def append(self, file: BinaryIO, data: bytes) -> None:
        """Write in several parts, each of which may be lost separately."""
        path = Path(file.name)
        remaining = data
        while remaining:
            count = self.random.randint(1, len(remaining))
            part, remaining = remaining[:count], remaining[count:]
            offset = path.stat().st_size
            super().append(file, part)
            self._record_unsynced(path, Write(offset, part))
            self._count_operation()

    def sync(self, file: BinaryIO) -> None:
        """Sync a file, or fail."""
        self._count_operation()
        if self.failing:
            raise OSError(5, "Input/output error")
        super().sync(file)
        self._mark_synced(Path(file.name))

    def cut(self, path: Path, size: int) -> None:
        """Truncate a file, and sync it as a separate operation."""
        with path.open("r+b") as file:
            file.truncate(size)
        self._record_unsynced(path, Write(size, None))
        self._count_operation()
        super().cut(path, size)
        self._mark_synced(path)

    def rename(self, old: Path, new: Path) -> None:
        """Rename a file; the old one may come back until the folder is synced."""
        self._count_operation()
        self._unsynced_rename = (new, self._synced.get(new))
        super().rename(old, new)
        self._synced[new] = self._synced.pop(old)
        self._pending.pop(new, None)

    def sync_folder(self, path: Path) -> None:
        """Sync the names in a folder."""
        self._count_operation()
        super().sync_folder(path)
        self._unsynced_rename = None

    def lose_power(self) -> None:
        """Leave all, nothing or a part of each unsynced write on the disk."""
        for path, writes in self._pending.items():
            content = bytearray(self._synced.get(path, b""))
            for write in writes:
                self._apply_write(write, content)
            path.write_bytes(content)
        if self._unsynced_rename is not None and self.random.random() < 0.5:
            path, before = self._unsynced_rename
            if before is None:
                path.unlink(missing_ok=True)
            else:
                path.write_bytes(before)

    def _apply_write(self, write: Write, content: bytearray) -> None:
        """Apply all, nothing or a part of one write to a file's content."""
        outcome = self.random.choice(["present", "missing", "torn"])
        if outcome == "missing":
            return
        if write.data is None:
            del content[write.offset :]
            return
        data = bytearray(write.data)
        if outcome == "torn":
            self._tear(data)
        content.extend(bytes(max(0, write.offset + len(data) - len(content))))
        content[write.offset : write.offset + len(data)] = data

    def _tear(self, data: bytearray) -> None:
        """Replace sectors by zeros or by other bytes, or cut the end off."""
        if self.random.random() < 0.3:
            del data[self.random.randint(0, len(data)) :]
        for start in range(0, len(data), SECTOR_BYTES):
            end = min(start + SECTOR_BYTES, len(data))
            match self.random.choice(["kept", "zeros", "other"]):
                case "zeros":
                    data[start:end] = bytes(end - start)
                case "other":
                    data[start:end] = self.random.randbytes(end - start)

    def _record_unsynced(self, path: Path, write: Write) -> None:
        """Record an unsynced write."""
        self._pending.setdefault(path, []).append(write)

    def _mark_synced(self, path: Path) -> None:
        """Record that all of a file is synced."""
        self._synced[path] = path.read_bytes()
        self._pending.pop(path, None)

    def _count_operation(self) -> None:
        """Count an operation, and raise ``PowerLossError`` at the last one."""
        self.operations_left -= 1
        if self.operations_left <= 0:
            raise PowerLossError


class FolderState(NamedTuple):
    """The content of a data folder: snapshot, later entries and hard state."""

    snapshot: SnapshotImage
    entries: tuple[Entry, ...]
    hard_state: HardState

    def entries_after(self, index: int) -> tuple[Entry, ...]:
        """Return the entries after an index."""
        return tuple(entry for entry in self.entries if entry.log_index > index)

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.entries[-1].log_index if self.entries else self.snapshot.log_index


def read_state(recovered: Recovered) -> FolderState:
    """Return the content of a folder that was opened."""
    entries = tuple(map(load_entry, recovered.entries))
    return FolderState(recovered.snapshot, entries, recovered.hard_state)


def make_entries(first: int, count: int, term: int) -> tuple[Entry, ...]:
    """Return entries of a term."""
    return tuple(
        Entry(index, term, EntryKind.COMMAND, b"payload %d " % index * (index % 9))
        for index in range(first, first + count)
    )


def plan_step(
    state: FolderState, step: tuple[str, int], term: int
) -> tuple[FolderState, Callable[[Storage], None]]:
    """Return the state of the folder after a step, and the function to run it."""
    kind, count = step
    hard_state = HardState(term, "b") if count % 2 else state.hard_state
    saved = hard_state if count % 2 else None
    match kind:
        case "truncate" if state.entries:
            first = state.entries[count % len(state.entries)].log_index
            new_entries = make_entries(first, count, term)
            base = tuple(e for e in state.entries if e.log_index < first)
            output = Output(
                truncate_from=first, entries=list(new_entries), hard_state=saved
            )
            return FolderState(
                state.snapshot, base + new_entries, hard_state
            ), lambda s: s.write(output)
        case "snapshot" if state.entries:
            last_entry = state.entries[count % len(state.entries)]
            image = SnapshotImage(
                last_entry.log_index, last_entry.term, payload=b"image"
            )
            remaining = state.entries_after(last_entry.log_index)
            after = FolderState(image, remaining, state.hard_state)
            return after, lambda s: s.save_snapshot(image, remaining)
        case "install" if state.entries and count % 3:
            # The log contains the snapshot's last entry, so later entries remain.
            last_entry = state.entries[count % len(state.entries)]
            image = SnapshotImage(
                last_entry.log_index, last_entry.term, payload=b"installed"
            )
            remaining = state.entries_after(last_entry.log_index)
            output = Output(snapshot=image, entries=list(remaining), hard_state=saved)
            return FolderState(image, remaining, hard_state), lambda s: s.write(output)
        case "install":
            image = SnapshotImage(state.last_index + count, term, payload=b"installed")
            output = Output(snapshot=image, hard_state=saved)
            return FolderState(image, (), hard_state), lambda s: s.write(output)
    new_entries = make_entries(state.last_index + 1, count, term)
    output = Output(entries=list(new_entries), hard_state=saved)
    after = FolderState(state.snapshot, state.entries + new_entries, hard_state)
    return after, lambda s: s.write(output)


def check_recovered(
    found: FolderState, synced: FolderState, attempted: FolderState
) -> None:
    """Check that all synced content was found and no more than was attempted."""
    assert found.snapshot in (synced.snapshot, attempted.snapshot)
    assert found.hard_state in (synced.hard_state, attempted.hard_state)
    snapshot_index = found.snapshot.log_index
    before, after = (
        synced.entries_after(snapshot_index),
        attempted.entries_after(snapshot_index),
    )
    allowed = [before]
    if found.snapshot == attempted.snapshot:
        common = [entry for entry in before if entry in after]
        allowed += [after[:count] for count in range(len(common), len(after) + 1)]
    assert found.entries in allowed


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["append", "append", "truncate", "snapshot", "install"]),
        st.integers(0, 6),
    ),
    min_size=1,
    max_size=8,
)


# Guards against a node that does not start after a power loss, because its last write
# was torn into other bytes than zeros; and against the removal of synced bytes along
# with a torn write.
@settings(max_examples=120, deadline=None, derandomize=True)
@given(
    seed=st.integers(0, 2**32),
    runs=st.lists(st.tuples(STEPS, st.integers(1, 40)), min_size=1, max_size=4),
    failing=st.integers(0, 6),
)
def test_a_power_loss_loses_only_unsynced_writes(
    tmp_path_factory: pytest.TempPathFactory,
    seed: int,
    runs: list[tuple[list[tuple[str, int]], int]],
    failing: int,
) -> None:
    random = Random(seed)
    folder = tmp_path_factory.mktemp("data")
    synced = attempted = FolderState(SnapshotImage(), (), HardState())
    term = 1
    for steps, left in runs:
        files = PowerLossFiles(random)
        storage, recovered = open_storage(folder, files)
        found = read_state(recovered)
        check_recovered(found, synced, attempted)
        synced = attempted = found
        # The recovered content counts as synced from here on.
        for path in folder.iterdir():
            files._mark_synced(path)
        files.operations_left = left
        try:
            for number, step in enumerate(steps):
                term += 1
                attempted, run_step = plan_step(synced, step, term)
                files.failing = number + 1 == failing
                try:
                    run_step(storage)
                except StorageError:
                    files.failing = False
                    storage.recover()
                    attempted = synced
                else:
                    synced = attempted
        except PowerLossError:
            files.lose_power()
        storage._log.close()
    _, recovered = open_storage(folder)
    check_recovered(
        read_state(recovered),
        synced,
        attempted,
    )


# Guards against data that is lost when the power fails between two files of one step,
# such as a snapshot and the log with the entries after it.
@pytest.mark.parametrize("kind", ["append", "truncate", "snapshot", "install"])
@pytest.mark.parametrize("left", range(1, 41))
def test_a_power_loss_at_any_operation_of_a_step_loses_nothing_synced(
    tmp_path: Path, kind: str, left: int
) -> None:
    files = PowerLossFiles(Random(left))
    storage, _ = open_storage(tmp_path, files)
    entries = make_entries(1, 9, 1)
    storage.write(Output(entries=list(entries), hard_state=HardState(1, "a")))
    synced = FolderState(SnapshotImage(), entries, HardState(1, "a"))
    attempted, run_step = plan_step(synced, (kind, 4), 2)
    files.operations_left = left
    try:
        run_step(storage)
    except PowerLossError:
        files.lose_power()
    else:
        synced = attempted
    storage._log.close()
    _, recovered = open_storage(tmp_path)
    check_recovered(
        read_state(recovered),
        synced,
        attempted,
    )


# Guards against damage in synced batches that counts as a torn write, so that
# acknowledged records are removed.
@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    sizes=st.lists(st.integers(0, 5), min_size=2, max_size=8),
    position=st.floats(0, 1),
    seed=st.integers(0, 2**32),
    length=st.integers(1, 200),
)
def test_damage_before_a_later_batch_is_refused(
    tmp_path_factory: pytest.TempPathFactory,
    sizes: list[int],
    position: float,
    seed: int,
    length: int,
) -> None:
    folder = tmp_path_factory.mktemp("data")
    storage, _ = open_storage(folder)
    first = 1
    for count in sizes:
        entries = make_entries(first, count, 1)
        storage.write(Output(entries=list(entries), hard_state=HardState(first, "a")))
        first += count
    # Damage in the last batch of a log that was not closed looks like a torn write, so
    # only bytes before it are changed.
    last = encode_frame(Batch(len(sizes) + 1))
    path = folder / "log"
    data = bytearray(path.read_bytes())
    storage._log.close()
    end = data.rindex(last)
    start = int(position * (end - 1))
    stop = min(start + length, end)
    garbage = Random(seed).randbytes(stop - start)
    if garbage == data[start:stop]:
        return
    data[start:stop] = garbage
    path.write_bytes(data)
    with pytest.raises(StorageError, match="log: damaged"):
        open_storage(folder)


# Guards against removing the last batch before an orderly stop as a torn write when it
# is damaged while the process is down.
def test_damage_in_the_last_batch_before_a_stop_is_refused(tmp_path: Path) -> None:
    storage, _ = open_storage(tmp_path)
    storage.write(Output(entries=list(make_entries(1, 3, 1))))
    end = (tmp_path / "log").stat().st_size
    storage.close()
    data = bytearray((tmp_path / "log").read_bytes())
    data[end - 1] ^= 1
    (tmp_path / "log").write_bytes(data)
    with pytest.raises(StorageError, match="log: damaged: record at byte"):
        open_storage(tmp_path)


# Guards against removing a record of a newer version, with a valid checksum, as a torn
# write.
def test_a_valid_record_of_an_unknown_type_is_not_removed(tmp_path: Path) -> None:
    storage, _ = open_storage(tmp_path)
    storage.write(Output(entries=list(make_entries(1, 3, 1))))
    storage._log.close()
    whole = encode_frame(Batch(3))
    newer = whole[12:].replace(b"Batch", b"Newer")
    with (tmp_path / "log").open("ab") as log:
        log.write(_reframe(newer))
    with pytest.raises(StorageError, match="unknown record type"):
        open_storage(tmp_path)


# Guards against a whole batch that is missing before a later one without being
# detected.
def test_a_missing_batch_is_refused(tmp_path: Path) -> None:
    storage, _ = open_storage(tmp_path)
    storage.write(Output(hard_state=HardState(2, "a")))
    data = (tmp_path / "log").read_bytes()
    storage.write(Output(hard_state=HardState(3, "b")))
    length = (tmp_path / "log").stat().st_size - len(data)
    storage.write(Output(hard_state=HardState(4, "c")))
    storage.close()
    whole = (tmp_path / "log").read_bytes()
    (tmp_path / "log").write_bytes(data + whole[len(data) + length :])
    with pytest.raises(StorageError, match="batch 4 follows 2"):
        open_storage(tmp_path)


def _reframe(body: bytes) -> bytes:
    """Return a frame with valid checksums around a body."""
    import struct  # noqa: PLC0415

    import xxhash  # noqa: PLC0415

    lengths = struct.pack("<II", len(body), xxhash.xxh32_intdigest(body))
    return lengths + struct.pack("<I", xxhash.xxh32_intdigest(lengths)) + body
