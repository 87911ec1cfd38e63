"""A member's data folder: identity, snapshot, and a log file; see ``frames``.

A torn tail of the log, which was never acknowledged, is cut. Any other damage may hide
something that was acknowledged, so it ends the start.
"""

from __future__ import annotations

import contextlib
import logging
import uuid
from pathlib import Path
from typing import BinaryIO, Final, NamedTuple

from .files import Files
from .frames import (
    Batch,
    StorageError,
    Truncation,
    encode_frame,
    read_frames,
)
from .models import Entry, HardState, SnapshotImage
from .replica import Output

__all__ = ["Recovered", "Storage", "StorageError", "open_storage"]

_LOGGER = logging.getLogger(__name__)

_IDENTITY_FILE: Final = "identity"
_SNAPSHOT_FILE: Final = "snapshot"
_LOG_FILE: Final = "log"

# A disk counts as regained when it takes this much; so a disk with room for hardly
# more than one small record is not lost again at the next one.
PROBE_BYTES: Final = 64 * 1024

# It travels in every message; two folders of one host must not get the same one.
IDENTITY_DIGITS: Final = 12


class Recovered(NamedTuple):
    """What a data folder held; ``cut_bytes`` is the size of a torn tail.

    ``batch`` is the number of the log's last batch, 0 where it has none.
    """

    identity: str
    snapshot: SnapshotImage
    entries: tuple[Entry, ...]
    hard_state: HardState
    cut_bytes: int
    batch: int


class Storage:
    """The open data folder of one group; every method syncs before it returns.

    A write that failed may have left a part behind, or bytes that a failed sync has
    dropped without a word. So nothing is written after it before ``recover`` has cut
    the log to what was synced.
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
        """Keep the folder, its open log file, and what the file holds."""
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
        """Return the term and vote that are synced."""
        return self._hard_state

    @property
    def _log_path(self) -> Path:
        """Return where the log file is."""
        return self._folder / _LOG_FILE

    def write(self, output: Output) -> None:
        """Persist an output: snapshot, truncation, entries and hard state."""
        if not output.needs_sync:
            return
        hard_state = output.hard_state or self._hard_state
        try:
            if output.snapshot is not None:
                self._replace_snapshot_and_log(
                    output.snapshot, tuple(output.entries), hard_state
                )
            else:
                self._append(_encode_output(output))
        except OSError as error:
            # The caller must not go on as if it had been saved.
            self.is_broken = True
            raise self._make_error("write", error) from error
        self._hard_state = hard_state

    def _append(self, frames: bytes) -> None:
        """Append frames and sync."""
        if self.is_broken:
            detail = f"{self._folder}: an earlier write failed"
            raise StorageError(detail, step="write")
        batch = encode_frame(Batch(self._batch + 1)) + frames
        self._files.append(self._log, batch)
        self._files.sync(self._log)
        self._batch += 1
        self._size += len(batch)
        self.sync_count += 1

    def save_snapshot(
        self, snapshot: SnapshotImage, later_entries: tuple[Entry, ...]
    ) -> None:
        """Replace the snapshot and start a log that holds only what follows it.

        After a failure the present log goes on, unless the storage is broken.
        """
        try:
            self._replace_snapshot_and_log(snapshot, later_entries, self._hard_state)
        except OSError as error:
            raise self._make_error("snapshot", error) from error

    def _replace_snapshot_and_log(
        self,
        snapshot: SnapshotImage,
        later_entries: tuple[Entry, ...],
        hard_state: HardState,
    ) -> None:
        """Put the snapshot and then the shorter log in place.

        The old log fits the new snapshot as well, so a stop between the two loses
        nothing.
        """
        _replace_file(
            self._files, self._folder / _SNAPSHOT_FILE, encode_frame(snapshot)
        )
        # The log starts anew, so it must carry the term and the vote along.
        frames = _encode_log(self._batch + 1, hard_state, later_entries)
        self._files.replace(self._log_path, frames)
        # Until the new file is open and its name synced, nothing may be appended.
        self.is_broken = True
        self._batch += 1
        self._size = len(frames)
        self._reopen_log()
        self._files.sync_folder(self._folder)
        self.is_broken = False

    def _reopen_log(self) -> None:
        """Open the file that now has the log's name."""
        log = self._files.open_log(self._log_path)
        self._log.close()
        self._log = log

    def recover(self) -> None:
        """Cut what a failed write left behind, and prove that the disk takes bytes.

        It raises ``StorageError`` while the disk refuses them.
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
        """Return the error for an operation that failed."""
        detail = f"{self._folder}: {error.strerror or error}"
        return StorageError(detail, step=step)

    def close(self) -> None:
        """Close the log file, after a mark that all in it was synced."""
        if not self.is_broken:
            # It need not be synced, and a disk without room for it loses nothing.
            with contextlib.suppress(OSError):
                self._files.append(self._log, encode_frame(Batch(self._batch + 1)))
        self._log.close()


def open_storage(folder: Path, files: Files | None = None) -> tuple[Storage, Recovered]:
    """Open a data folder, making it when it is new, and read what it holds."""
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
        # What a killed process wrote and did not sync counts from here on.
        files.sync(log)
        size = path.stat().st_size
    except OSError as error:
        detail = f"{folder}: {error.strerror or error}"
        raise StorageError(detail, step="open") from error
    storage = Storage(folder, files, log, size, recovered.batch, recovered.hard_state)
    return storage, recovered


def _rewrite_with_batches(files: Files, path: Path, recovered: Recovered) -> Recovered:
    """Write a new log, or one of an earlier form, so that it begins with a batch."""
    is_new = not path.exists()
    try:
        frames = _encode_log(1, recovered.hard_state, recovered.entries)
        _replace_file(files, path, frames)
    except OSError as error:
        if is_new:
            raise
        _LOGGER.warning("%s: kept in its earlier form: %s", path, error)
        return recovered
    return recovered._replace(batch=1)


def _read_identity(files: Files, folder: Path) -> str:
    """Return the folder's identity, made anew when the folder is empty."""
    path = folder / _IDENTITY_FILE
    if path.exists():
        identity = path.read_text().strip()
        if not identity:
            raise StorageError(f"{path}: damaged: no identity", step="open")
        return identity
    if (folder / _LOG_FILE).exists() or (folder / _SNAPSHOT_FILE).exists():
        raise StorageError(f"{path}: missing beside a log", step="open")
    identity = uuid.uuid4().hex[:IDENTITY_DIGITS]
    _replace_file(files, path, identity.encode())
    return identity


def _read_snapshot(path: Path) -> SnapshotImage:
    """Return the snapshot, or an empty one."""
    if not path.exists():
        return SnapshotImage()
    frames = list(read_frames(path))
    if len(frames) != 1 or not isinstance(frames[0], SnapshotImage):
        raise StorageError(f"{path}: damaged: not one snapshot", step="open")
    return frames[0]


def _read_log(
    files: Files, path: Path, identity: str, snapshot: SnapshotImage
) -> Recovered:
    """Replay the log file over the snapshot and cut a torn tail."""
    entries: list[Entry] = []
    hard_state = HardState()
    cut = 0
    batch = 0
    if path.exists():
        for frame in read_frames(path):
            match frame:
                case Entry():
                    _add_entry(path, entries, frame, snapshot)
                case HardState():
                    hard_state = frame
                case Batch(number):
                    batch = number
                case Truncation(index):
                    entries = [entry for entry in entries if entry.log_index < index]
                case int():
                    cut = path.stat().st_size - frame
                    files.cut(path, frame)
                case _:
                    raise StorageError(f"{path}: damaged: a stray record", step="open")
    return Recovered(identity, snapshot, tuple(entries), hard_state, cut, batch)


def _add_entry(
    path: Path, entries: list[Entry], entry: Entry, snapshot: SnapshotImage
) -> None:
    """Add an entry, unless the snapshot already covers it."""
    if entry.log_index <= snapshot.log_index:
        return
    last = entries[-1].log_index if entries else snapshot.log_index
    if entry.log_index != last + 1:
        detail = f"{path}: damaged: entry {entry.log_index} follows {last}"
        raise StorageError(detail, step="open")
    entries.append(entry)


def _encode_output(output: Output) -> bytes:
    """Return the frames of an output without a snapshot."""
    frames = bytearray()
    if output.truncate_from:
        frames += encode_frame(Truncation(output.truncate_from))
    for entry in output.entries:
        frames += encode_frame(entry)
    if output.hard_state is not None:
        frames += encode_frame(output.hard_state)
    return bytes(frames)


def _encode_log(batch: int, hard_state: HardState, entries: tuple[Entry, ...]) -> bytes:
    """Return the whole content of a log that starts anew."""
    frames = [encode_frame(entry) for entry in entries]
    return b"".join([encode_frame(Batch(batch)), encode_frame(hard_state), *frames])


def _replace_file(files: Files, path: Path, data: bytes) -> None:
    """Write a file aside, sync it, put it in place and sync the folder."""
    files.replace(path, data)
    files.sync_folder(path.parent)
