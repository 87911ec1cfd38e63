"""A member's data folder: identity, snapshot and log file; see ``frames``.

A torn write at the end of the log was never acknowledged and is removed at the start.
Any other damage may affect acknowledged entries, so the folder is not opened.
"""

from __future__ import annotations

import contextlib
import logging
import uuid
from collections.abc import Iterable, Iterator
from functools import partial
from pathlib import Path
from typing import BinaryIO, Final, NamedTuple

from .files import Files
from .frames import (
    Batch,
    Frame,
    StorageError,
    Truncation,
    encode_frame,
    read_frame,
    read_frames,
)
from .log import load_entry
from .models import Entry, EntryKind, HardState, SnapshotImage, StoredEntry
from .replica import Output

__all__ = ["Recovered", "Storage", "StorageError", "open_storage"]

_LOGGER = logging.getLogger(__name__)

_IDENTITY_FILE: Final = "identity"
_SNAPSHOT_FILE: Final = "snapshot"
_LOG_FILE: Final = "log"

# A disk counts as recovered when it accepts this much. A disk with space for little
# more than one small record would fail again at the next one.
PROBE_BYTES: Final = 64 * 1024

# Payloads of a log that are read into memory at the start. Beyond this, those of
# commands larger than the second size stay on disk: earlier versions wrote logs that
# are larger than the memory.
MAX_LOADED_BYTES: Final = 32 * 1024 * 1024
MIN_STORED_BYTES: Final = 64 * 1024

# Short, since every message carries the identity, but long enough that two folders of
# one host do not get the same one.
IDENTITY_DIGITS: Final = 12


class Recovered(NamedTuple):
    """The content of a data folder; some entries' payloads may remain there.

    ``torn_bytes`` is the size of the torn write that was removed. ``batch`` is the
    number of the log's last batch, or 0 if the log has no batches.
    """

    identity: str
    snapshot: SnapshotImage
    entries: tuple[Entry | StoredEntry, ...]
    hard_state: HardState
    torn_bytes: int
    batch: int


class Storage:
    """The open data folder of one group; every write is synced before it returns.

    A failed write may leave a part of its bytes in the file, and a failed sync may
    silently drop bytes. So nothing more is written until ``recover`` has cut the log to
    the synced size. ``is_broken`` is set in between.
    """

    def __init__(
        self,
        folder: Path,
        files: Files,
        log: BinaryIO,
        size: int,
        batch: int,
        hard_state: HardState,
    ) -> None:
        """Set the folder, its open log file, and the state that the file holds."""
        self._folder = folder
        self._files = files
        self._log = log
        self._size = size
        self._batch = batch
        self._hard_state = hard_state
        self.is_broken = False
        self.sync_count = 0

    @property
    def hard_state(self) -> HardState:
        """Return the synced hard state."""
        return self._hard_state

    @property
    def _log_path(self) -> Path:
        """Return the path of the log file."""
        return self._folder / _LOG_FILE

    def write(self, output: Output) -> None:
        """Save an output: snapshot, truncation, entries and hard state.

        Raise ``StorageError`` if the disk refuses it.
        """
        if not output.needs_sync:
            return
        hard_state = output.hard_state or self._hard_state
        try:
            if output.snapshot is not None:
                self._replace_snapshot_and_log(
                    output.snapshot, output.entries, hard_state
                )
            else:
                self._append(_encode_output(output))
        except OSError as error:
            # No further write may follow an output that was not saved.
            self.is_broken = True
            raise self._make_error("write", error) from error
        self._hard_state = hard_state

    def _append(self, frames: Iterable[bytes]) -> None:
        """Append frames to the log as one batch and sync it."""
        if self.is_broken:
            detail = f"{self._folder}: an earlier write failed"
            raise StorageError(detail, step="write")
        batch = b"".join([encode_frame(Batch(self._batch + 1)), *frames])
        self._files.append(self._log, batch)
        self._files.sync(self._log)
        self._batch += 1
        self._size += len(batch)
        self.sync_count += 1

    def save_snapshot(
        self, snapshot: SnapshotImage, later_entries: Iterable[Entry]
    ) -> None:
        """Replace the snapshot, and the log by one with only the later entries.

        Raise ``StorageError`` if the disk refuses it. The present log remains in use
        then, unless ``is_broken`` is set.
        """
        try:
            self._replace_snapshot_and_log(snapshot, later_entries, self._hard_state)
        except OSError as error:
            raise self._make_error("snapshot", error) from error

    def _replace_snapshot_and_log(
        self,
        snapshot: SnapshotImage,
        later_entries: Iterable[Entry],
        hard_state: HardState,
    ) -> None:
        """Replace the snapshot and then the log.

        The old log is valid with the new snapshot as well, so a crash between the two
        steps loses nothing.
        """
        _replace_file(
            self._files, self._folder / _SNAPSHOT_FILE, [encode_frame(snapshot)]
        )
        # The new log has to contain the hard state, which only the log stores.
        frames = _encode_log(self._batch + 1, hard_state, later_entries)
        self._files.replace(self._log_path, frames)
        # Nothing may be appended until the new file is open and its name is synced.
        self.is_broken = True
        self._batch += 1
        self._size = self._log_path.stat().st_size
        self._reopen_log()
        self._files.sync_folder(self._folder)
        self.is_broken = False

    def _reopen_log(self) -> None:
        """Close the log file and open the file that has its name now."""
        log = self._files.open_log(self._log_path)
        self._log.close()
        self._log = log

    def recover(self) -> None:
        """Cut the log to its synced size, and check that the disk accepts writes.

        Raise ``StorageError`` while the disk refuses them.
        """
        try:
            self._reopen_log()
            if self._log_path.stat().st_size < self._size:
                detail = f"{self._log_path}: damaged: synced bytes are missing"
                raise StorageError(detail, step="recover")
            self._files.cut(self._log_path, self._size)
            self._files.sync_folder(self._folder)
            self._files.append(self._log, bytes(PROBE_BYTES))
            self._files.sync(self._log)
            self._files.cut(self._log_path, self._size)
        except OSError as error:
            raise self._make_error("recover", error) from error
        self.is_broken = False

    def _make_error(self, step: str, error: OSError) -> StorageError:
        """Return the ``StorageError`` for a failed file operation."""
        detail = f"{self._folder}: {error.strerror or error}"
        return StorageError(detail, step=step)

    def close(self) -> None:
        """Close the log file, after an empty batch which shows that all was synced."""
        if not self.is_broken:
            # The empty batch is optional, so it is not synced and may fail.
            with contextlib.suppress(OSError):
                self._files.append(self._log, encode_frame(Batch(self._batch + 1)))
        self._log.close()


def open_storage(folder: Path, files: Files | None = None) -> tuple[Storage, Recovered]:
    """Open a data folder, or create it, and read its content.

    Raise ``StorageError`` if it cannot be read or is damaged.
    """
    files = files or Files()
    path = folder / _LOG_FILE
    try:
        folder.mkdir(parents=True, exist_ok=True)
        identity = _read_identity(files, folder)
        snapshot = _read_snapshot(folder / _SNAPSHOT_FILE)
        recovered = _read_log(files, path, identity, snapshot)
        if not recovered.batch:
            recovered = _rewrite_with_batches(files, path, recovered)
        log = files.open_log(path)
        # A killed process may not have synced its last bytes. They are used from here
        # on, so they must not be lost in a power loss.
        files.sync(log)
        size = path.stat().st_size
    except OSError as error:
        detail = f"{folder}: {error.strerror or error}"
        raise StorageError(detail, step="open") from error
    storage = Storage(folder, files, log, size, recovered.batch, recovered.hard_state)
    return storage, recovered


def _rewrite_with_batches(files: Files, path: Path, recovered: Recovered) -> Recovered:
    """Rewrite a new log, or one in the earlier format, to begin with a batch.

    If the disk refuses this, a log in the earlier format is used as it is.
    """
    is_new = not path.exists()
    try:
        entries = map(load_entry, recovered.entries)
        frames = _encode_log(1, recovered.hard_state, entries)
        _replace_file(files, path, frames)
    except OSError as error:
        if is_new:
            raise
        _LOGGER.warning("%s: not converted from its earlier format: %s", path, error)
        return recovered
    return recovered._replace(batch=1)


def _read_identity(files: Files, folder: Path) -> str:
    """Return the folder's identity; create one if the folder is empty."""
    path = folder / _IDENTITY_FILE
    if path.exists():
        identity = path.read_text().strip()
        if not identity:
            raise StorageError(f"{path}: damaged: identity is empty", step="open")
        return identity
    if (folder / _LOG_FILE).exists() or (folder / _SNAPSHOT_FILE).exists():
        raise StorageError(f"{path}: missing beside a log", step="open")
    identity = uuid.uuid4().hex[:IDENTITY_DIGITS]
    _replace_file(files, path, [identity.encode()])
    return identity


def _read_snapshot(path: Path) -> SnapshotImage:
    """Return the snapshot, or an empty one."""
    if not path.exists():
        return SnapshotImage()
    frames = list(read_frames(path))
    if len(frames) != 1 or not isinstance(frames[0].record, SnapshotImage):
        raise StorageError(
            f"{path}: damaged: does not hold exactly one snapshot", step="open"
        )
    return frames[0].record


def _read_log(
    files: Files, path: Path, identity: str, snapshot: SnapshotImage
) -> Recovered:
    """Replay the log file after the snapshot and remove a torn write."""
    entries: list[Entry | StoredEntry] = []
    hard_state = HardState()
    torn_bytes = 0
    batch = 0
    if path.exists():
        reader = _PayloadReader(path)
        for frame in read_frames(path):
            match frame.record:
                case Entry(log_index=index) if index <= snapshot.log_index:
                    pass
                case Entry() as entry:
                    _add_entry(path, entries, reader.limit(entry, frame), snapshot)
                case HardState() as record:
                    hard_state = record
                case Batch(number):
                    batch = number
                case Truncation(index):
                    entries = [entry for entry in entries if entry.log_index < index]
                case None:
                    torn_bytes = frame.end - frame.offset
                    files.cut(path, frame.offset)
                case _:
                    raise StorageError(
                        f"{path}: damaged: unexpected record", step="open"
                    )
    return Recovered(identity, snapshot, tuple(entries), hard_state, torn_bytes, batch)


class _PayloadReader:
    """Reads payloads that remain in a log file when they are needed.

    The file stays open, as a snapshot replaces it by another one of its name.
    """

    def __init__(self, path: Path) -> None:
        """Initialize without having read anything of a log file."""
        self._path = path
        self._file: BinaryIO | None = None
        self._loaded_bytes = 0

    def limit(self, entry: Entry, frame: Frame) -> Entry | StoredEntry:
        """Return the entry of a frame, without its payload if memory is short."""
        size = len(entry.payload)
        is_large = entry.kind == EntryKind.COMMAND and size >= MIN_STORED_BYTES
        if not is_large or self._loaded_bytes + size <= MAX_LOADED_BYTES:
            self._loaded_bytes += size
            return entry
        if self._file is None:
            self._file = self._path.open("rb")
        load = partial(self._load, frame.offset, frame.end)
        return StoredEntry(entry.log_index, entry.term, entry.kind, size, load)

    def _load(self, offset: int, end: int) -> Entry:
        """Read an entry again, or raise ``StorageError``."""
        assert self._file is not None
        frame = read_frame(self._file, self._path, offset, end)
        if frame is None or not isinstance(frame.record, Entry):
            detail = f"{self._path}: damaged: entry at byte {offset}"
            raise StorageError(detail, step="read")
        return frame.record


def _add_entry(
    path: Path,
    entries: list[Entry | StoredEntry],
    entry: Entry | StoredEntry,
    snapshot: SnapshotImage,
) -> None:
    """Add an entry, which must follow the snapshot or the last one."""
    last_index = entries[-1].log_index if entries else snapshot.log_index
    if entry.log_index != last_index + 1:
        detail = f"{path}: damaged: entry {entry.log_index} follows {last_index}"
        raise StorageError(detail, step="open")
    entries.append(entry)


def _encode_output(output: Output) -> Iterator[bytes]:
    """Yield the frames of an output that has no snapshot."""
    if output.truncate_from:
        yield encode_frame(Truncation(output.truncate_from))
    for entry in output.entries:
        yield encode_frame(entry)
    if output.hard_state is not None:
        yield encode_frame(output.hard_state)


def _encode_log(
    batch: int, hard_state: HardState, entries: Iterable[Entry]
) -> Iterator[bytes]:
    """Yield the frames of a new log file, each encoded as it is written."""
    yield encode_frame(Batch(batch)) + encode_frame(hard_state)
    for entry in entries:
        yield encode_frame(entry)


def _replace_file(files: Files, path: Path, parts: Iterable[bytes]) -> None:
    """Replace a file in one step and sync the folder."""
    files.replace(path, parts)
    files.sync_folder(path.parent)
