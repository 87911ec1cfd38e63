"""Data folders after a loss of power: what was not synced is there, missing or torn."""

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

SECTOR = 64


class PowerLossError(BaseException):
    """The machine lost its power; nothing may catch it."""


class Write(NamedTuple):
    """A write, or with ``data`` None a cut, that was not yet synced."""

    offset: int
    data: bytes | None


class PowerFiles(Files):
    """Files on a machine that loses power at the operation of a given number."""

    def __init__(self, random: Random) -> None:
        """Start with power for long."""
        self.random = random
        self.left = 1_000_000
        self.failing = False
        self._synced: dict[Path, bytes] = {}
        self._pending: dict[Path, list[Write]] = {}
        self._doubtful: tuple[Path, bytes | None] | None = None

    def append(self, file: BinaryIO, data: bytes) -> None:
        """Write in some parts, each of which has its own fate."""
        path = Path(file.name)
        rest = data
        while rest:
            count = self.random.randint(1, len(rest))
            part, rest = rest[:count], rest[count:]
            offset = path.stat().st_size
            super().append(file, part)
            self._note(path, Write(offset, part))
            self._step()

    def sync(self, file: BinaryIO) -> None:
        """Sync, unless the disk fails just now."""
        self._step()
        if self.failing:
            raise OSError(5, "Input/output error")
        super().sync(file)
        self._settle(Path(file.name))

    def cut(self, path: Path, size: int) -> None:
        """Shorten a file, and sync it a moment later."""
        with path.open("r+b") as file:
            file.truncate(size)
        self._note(path, Write(size, None))
        self._step()
        super().cut(path, size)
        self._settle(path)

    def rename(self, old: Path, new: Path) -> None:
        """Rename; until the folder is synced the old file may come back."""
        self._step()
        self._doubtful = (new, self._synced.get(new))
        super().rename(old, new)
        self._synced[new] = self._synced.pop(old)
        self._pending.pop(new, None)

    def sync_folder(self, path: Path) -> None:
        """Sync the names."""
        self._step()
        super().sync_folder(path)
        self._doubtful = None

    def lose_power(self) -> None:
        """Leave of each unsynced write all, nothing or a part."""
        for path, writes in self._pending.items():
            content = bytearray(self._synced.get(path, b""))
            for write in writes:
                self._carry_out(write, content)
            path.write_bytes(content)
        if self._doubtful is not None and self.random.random() < 0.5:
            path, before = self._doubtful
            if before is None:
                path.unlink(missing_ok=True)
            else:
                path.write_bytes(before)

    def _carry_out(self, write: Write, content: bytearray) -> None:
        """Let one write reach the disk, or not, or in part."""
        fate = self.random.choice(["present", "missing", "torn"])
        if fate == "missing":
            return
        if write.data is None:
            del content[write.offset :]
            return
        data = bytearray(write.data)
        if fate == "torn":
            self._tear(data)
        content.extend(bytes(max(0, write.offset + len(data) - len(content))))
        content[write.offset : write.offset + len(data)] = data

    def _tear(self, data: bytearray) -> None:
        """Replace sectors by zeros or by what lay there, or cut the end off."""
        if self.random.random() < 0.3:
            del data[self.random.randint(0, len(data)) :]
        for start in range(0, len(data), SECTOR):
            end = min(start + SECTOR, len(data))
            match self.random.choice(["kept", "zeros", "other"]):
                case "zeros":
                    data[start:end] = bytes(end - start)
                case "other":
                    data[start:end] = self.random.randbytes(end - start)

    def _note(self, path: Path, write: Write) -> None:
        """Remember what is not synced."""
        self._pending.setdefault(path, []).append(write)

    def _settle(self, path: Path) -> None:
        """Note that all of a file is synced."""
        self._synced[path] = path.read_bytes()
        self._pending.pop(path, None)

    def _step(self) -> None:
        """Count an operation, and lose power at the last one."""
        self.left -= 1
        if self.left <= 0:
            raise PowerLossError


class Kept(NamedTuple):
    """What a folder holds: entries above a snapshot, and the vote."""

    snapshot: SnapshotImage
    entries: tuple[Entry, ...]
    hard_state: HardState

    def above(self, index: int) -> tuple[Entry, ...]:
        """Return the entries above an index."""
        return tuple(entry for entry in self.entries if entry.log_index > index)

    @property
    def last(self) -> int:
        """Return the index of the last entry."""
        return self.entries[-1].log_index if self.entries else self.snapshot.log_index


def make_entries(first: int, count: int, term: int) -> tuple[Entry, ...]:
    """Return entries of a term."""
    return tuple(
        Entry(index, term, EntryKind.COMMAND, b"payload %d " % index * (index % 9))
        for index in range(first, first + count)
    )


def choose(
    kept: Kept, step: tuple[str, int], term: int
) -> tuple[Kept, Callable[[Storage], None]]:
    """Return what a step would leave in a folder, and the step."""
    kind, count = step
    hard_state = HardState(term, "b") if count % 2 else kept.hard_state
    saved = hard_state if count % 2 else None
    match kind:
        case "truncate" if kept.entries:
            first = kept.entries[count % len(kept.entries)].log_index
            fresh = make_entries(first, count, term)
            base = tuple(e for e in kept.entries if e.log_index < first)
            output = Output(truncate_from=first, entries=list(fresh), hard_state=saved)
            return Kept(kept.snapshot, base + fresh, hard_state), lambda s: s.write(
                output
            )
        case "snapshot" if kept.entries:
            at = kept.entries[count % len(kept.entries)]
            image = SnapshotImage(at.log_index, at.term, payload=b"image")
            rest = kept.above(at.log_index)
            then = Kept(image, rest, kept.hard_state)
            return then, lambda s: s.save_snapshot(image, rest)
        case "install" if kept.entries and count % 3:
            # A snapshot of what is here too: the entries after it are kept.
            at = kept.entries[count % len(kept.entries)]
            image = SnapshotImage(at.log_index, at.term, payload=b"installed")
            rest = kept.above(at.log_index)
            output = Output(snapshot=image, entries=list(rest), hard_state=saved)
            return Kept(image, rest, hard_state), lambda s: s.write(output)
        case "install":
            image = SnapshotImage(kept.last + count, term, payload=b"installed")
            output = Output(snapshot=image, hard_state=saved)
            return Kept(image, (), hard_state), lambda s: s.write(output)
    fresh = make_entries(kept.last + 1, count, term)
    output = Output(entries=list(fresh), hard_state=saved)
    then = Kept(kept.snapshot, kept.entries + fresh, hard_state)
    return then, lambda s: s.write(output)


def check(found: Kept, synced: Kept, tried: Kept) -> None:
    """Check that what was synced is there, with no more than what was tried."""
    assert found.snapshot in (synced.snapshot, tried.snapshot)
    assert found.hard_state in (synced.hard_state, tried.hard_state)
    floor = found.snapshot.log_index
    before, after = synced.above(floor), tried.above(floor)
    allowed = [before]
    if found.snapshot == tried.snapshot:
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


@settings(max_examples=120, deadline=None, derandomize=True)
@given(
    seed=st.integers(0, 2**32),
    lives=st.lists(st.tuples(STEPS, st.integers(1, 40)), min_size=1, max_size=4),
    failing=st.integers(0, 6),
)
# Guards against: a node that does not start after a loss of power, since its last write
# was torn into something that is neither missing nor zeros; and against a cut that
# takes something that was synced along.
def test_a_loss_of_power_costs_only_what_was_not_synced(
    tmp_path_factory: pytest.TempPathFactory,
    seed: int,
    lives: list[tuple[list[tuple[str, int]], int]],
    failing: int,
) -> None:
    random = Random(seed)
    folder = tmp_path_factory.mktemp("data")
    synced = tried = Kept(SnapshotImage(), (), HardState())
    term = 1
    for steps, left in lives:
        files = PowerFiles(random)
        storage, recovered = open_storage(folder, files)
        found = Kept(recovered.snapshot, recovered.entries, recovered.hard_state)
        check(found, synced, tried)
        synced = tried = found
        # All that was found counts from here on.
        for path in folder.iterdir():
            files._settle(path)
        files.left = left
        try:
            for number, step in enumerate(steps):
                term += 1
                tried, act = choose(synced, step, term)
                files.failing = number + 1 == failing
                try:
                    act(storage)
                except StorageError:
                    files.failing = False
                    storage.recover()
                    tried = synced
                else:
                    synced = tried
        except PowerLossError:
            files.lose_power()
        storage._log.close()
    _, recovered = open_storage(folder)
    check(
        Kept(recovered.snapshot, recovered.entries, recovered.hard_state), synced, tried
    )


# Guards against: power lost between two files of one step, such as a snapshot and the
# log that keeps the entries after it.
@pytest.mark.parametrize("kind", ["append", "truncate", "snapshot", "install"])
@pytest.mark.parametrize("left", range(1, 41))
def test_power_may_go_at_any_operation_of_a_step(
    tmp_path: Path, kind: str, left: int
) -> None:
    files = PowerFiles(Random(left))
    storage, _ = open_storage(tmp_path, files)
    entries = make_entries(1, 9, 1)
    storage.write(Output(entries=list(entries), hard_state=HardState(1, "a")))
    synced = Kept(SnapshotImage(), entries, HardState(1, "a"))
    tried, act = choose(synced, (kind, 4), 2)
    files.left = left
    try:
        act(storage)
    except PowerLossError:
        files.lose_power()
    else:
        synced = tried
    storage._log.close()
    _, recovered = open_storage(tmp_path)
    check(
        Kept(recovered.snapshot, recovered.entries, recovered.hard_state), synced, tried
    )


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    sizes=st.lists(st.integers(0, 5), min_size=2, max_size=8),
    place=st.floats(0, 1),
    seed=st.integers(0, 2**32),
    length=st.integers(1, 200),
)
# Guards against: damage inside of what was synced is taken for a torn tail, and what
# was acknowledged is cut off.
def test_damage_before_a_later_batch_is_never_cut(
    tmp_path_factory: pytest.TempPathFactory,
    sizes: list[int],
    place: float,
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
    # The last batch alone cannot be told from a torn one without closing.
    last = encode_frame(Batch(len(sizes) + 1))
    path = folder / "log"
    data = bytearray(path.read_bytes())
    storage._log.close()
    end = data.rindex(last)
    start = int(place * (end - 1))
    stop = min(start + length, end)
    garbage = Random(seed).randbytes(stop - start)
    if garbage == data[start:stop]:
        return
    data[start:stop] = garbage
    path.write_bytes(data)
    with pytest.raises(StorageError, match="log: damaged"):
        open_storage(folder)


# Guards against: the last batch of a daemon that was stopped in order is cut when it is
# damaged while the daemon is down.
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


# Guards against: a record of a newer form, whose checksum is right, is cut as torn.
def test_a_whole_record_of_an_unknown_type_is_never_cut(tmp_path: Path) -> None:
    storage, _ = open_storage(tmp_path)
    storage.write(Output(entries=list(make_entries(1, 3, 1))))
    storage._log.close()
    whole = encode_frame(Batch(3))
    newer = whole[12:].replace(b"Batch", b"Newer")
    with (tmp_path / "log").open("ab") as log:
        log.write(_reframe(newer))
    with pytest.raises(StorageError, match="unknown record type"):
        open_storage(tmp_path)


# Guards against: a batch that is missing as a whole, with a later one behind it.
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
    """Return a frame with right checksums around a body."""
    import struct  # noqa: PLC0415

    import xxhash  # noqa: PLC0415

    lengths = struct.pack("<II", len(body), xxhash.xxh32_intdigest(body))
    return lengths + struct.pack("<I", xxhash.xxh32_intdigest(lengths)) + body
