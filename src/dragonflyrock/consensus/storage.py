"""A member's data folder: identity, snapshot, and a checksummed log file.

A log file is a sequence of frames. A frame is a header (length of the body and
checksum of the body, then a checksum of those two, each 32 bits, little endian)
and a body, a record encoded by ``_CODEC``. A frame that was cut short at the end
of the file was never acknowledged and is dropped. Any other damage may hide
something that was acknowledged, so it ends the start.
"""

from __future__ import annotations

import struct
import uuid
from collections.abc import Iterator
from pathlib import Path
from typing import BinaryIO, Final, NamedTuple

import xxhash

from ..codec import Codec, CodecError
from ..errors import DragonflyrockError
from .files import Files
from .models import Entry, HardState, SnapshotImage
from .replica import Output

__all__ = ["Recovered", "Storage", "StorageError", "open_storage"]

_HEADER: Final = struct.Struct("<III")
_LENGTHS: Final = struct.Struct("<II")
_IDENTITY_FILE: Final = "identity"
_SNAPSHOT_FILE: Final = "snapshot"
_LOG_FILE: Final = "log"

# A disk counts as regained when it takes this much; so a disk with room for hardly
# more than one small record is not lost again at the next one.
PROBE_BYTES: Final = 64 * 1024

# It travels in every message; two folders of one host must not get the same one.
IDENTITY_DIGITS: Final = 12


class StorageError(DragonflyrockError):
    """A data folder that cannot be read or written; the text names the file."""


class Truncation(NamedTuple):
    """Drop the entry at ``index`` and all after it."""

    log_index: int


_CODEC: Final = Codec([Entry, HardState, Truncation, SnapshotImage])


class Recovered(NamedTuple):
    """What a data folder held; ``cut_bytes`` is the size of a torn tail."""

    identity: str
    snapshot: SnapshotImage
    entries: tuple[Entry, ...]
    hard: HardState
    cut_bytes: int


class Storage:
    """The open data folder of one group; every method syncs before it returns.

    A write that failed may have left a part behind, or bytes that a failed sync has
    dropped without a word. So nothing is written after it before ``recover`` has cut
    the log to what was synced.
    """

    def __init__(
        self, folder: Path, files: Files, log: BinaryIO, size: int, hard: HardState
    ) -> None:
        """Keep the folder, its open log file, that file's size and its hard state."""
        self._folder = folder
        self._files = files
        self._log = log
        self._size = size
        self._hard = hard
        self.is_broken = False
        self.sync_count = 0

    @property
    def hard(self) -> HardState:
        """Return the term and vote that are synced."""
        return self._hard

    @property
    def _log_path(self) -> Path:
        """Return where the log file is."""
        return self._folder / _LOG_FILE

    def write(self, output: Output) -> None:
        """Persist an output: snapshot, truncation, entries and hard state."""
        if not output.needs_sync:
            return
        hard = output.hard or self._hard
        try:
            if output.snapshot is not None:
                self._restart(output.snapshot, tuple(output.entries), hard)
            else:
                self._append(_frame_output(output))
        except OSError as error:
            # The caller must not go on as if it had been saved.
            self.is_broken = True
            raise self._failure("write", error) from error
        self._hard = hard

    def _append(self, frames: bytes) -> None:
        """Append frames and sync."""
        if self.is_broken:
            detail = f"{self._folder}: an earlier write failed"
            raise StorageError(detail, step="write")
        self._files.append(self._log, frames)
        self._files.sync(self._log)
        self._size += len(frames)
        self.sync_count += 1

    def save_snapshot(self, snapshot: SnapshotImage, kept: tuple[Entry, ...]) -> None:
        """Replace the snapshot and start a log that holds only what follows it.

        After a failure the present log goes on, unless the storage is broken.
        """
        try:
            self._restart(snapshot, kept, self._hard)
        except OSError as error:
            raise self._failure("snapshot", error) from error

    def _restart(
        self, snapshot: SnapshotImage, kept: tuple[Entry, ...], hard: HardState
    ) -> None:
        """Put the snapshot and then the shorter log in place.

        The old log fits the new snapshot as well, so a stop between the two loses
        nothing.
        """
        _replace_file(self._files, self._folder / _SNAPSHOT_FILE, _frame(snapshot))
        # The log starts anew, so it must carry the term and the vote along.
        frames = _frame(hard) + b"".join(_frame(entry) for entry in kept)
        self._files.replace(self._log_path, frames)
        # Until the new file is open and its name synced, nothing may be appended.
        self.is_broken = True
        self._size = len(frames)
        self._reopen()
        self._files.sync_folder(self._folder)
        self.is_broken = False

    def _reopen(self) -> None:
        """Open the file that now has the log's name."""
        log = self._files.open_log(self._log_path)
        self._log.close()
        self._log = log

    def recover(self) -> None:
        """Cut what a failed write left behind, and prove that the disk takes bytes.

        It raises ``StorageError`` while the disk refuses them.
        """
        try:
            self._reopen()
            if self._log_path.stat().st_size < self._size:
                detail = f"{self._log_path}: damaged: synced bytes are missing"
                raise StorageError(detail, step="recover")
            self._files.cut(self._log_path, self._size)
            self._files.sync_folder(self._folder)
            self._files.append(self._log, bytes(PROBE_BYTES))
            self._files.sync(self._log)
            self._files.cut(self._log_path, self._size)
        except OSError as error:
            raise self._failure("recover", error) from error
        self.is_broken = False

    def _failure(self, step: str, error: OSError) -> StorageError:
        """Return the error for an operation that failed."""
        detail = f"{self._folder}: {error.strerror or error}"
        return StorageError(detail, step=step)

    def close(self) -> None:
        """Close the log file."""
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
        log = files.open_log(path)
        # What a killed process wrote and did not sync counts from here on.
        files.sync(log)
        size = path.stat().st_size
    except OSError as error:
        detail = f"{folder}: {error.strerror or error}"
        raise StorageError(detail, step="open") from error
    return Storage(folder, files, log, size, recovered.hard), recovered


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
    frames = list(_read_frames(path))
    if len(frames) != 1 or not isinstance(frames[0], SnapshotImage):
        raise StorageError(f"{path}: damaged: not one snapshot", step="open")
    return frames[0]


def _read_log(
    files: Files, path: Path, identity: str, snapshot: SnapshotImage
) -> Recovered:
    """Replay the log file over the snapshot and cut a torn tail."""
    entries: list[Entry] = []
    hard = HardState()
    cut = 0
    if path.exists():
        for frame in _read_frames(path):
            match frame:
                case Entry():
                    _add_entry(path, entries, frame, snapshot)
                case HardState():
                    hard = frame
                case Truncation(index):
                    entries = [entry for entry in entries if entry.log_index < index]
                case int():
                    cut = path.stat().st_size - frame
                    files.cut(path, frame)
                case _:
                    raise StorageError(f"{path}: damaged: a stray record", step="open")
    return Recovered(identity, snapshot, tuple(entries), hard, cut)


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


def _read_frames(
    path: Path,
) -> Iterator[Entry | HardState | Truncation | SnapshotImage | int]:
    """Yield the records of a file, then the offset of a torn tail if it has one."""
    data = path.read_bytes()
    offset = 0
    while offset < len(data):
        record = _read_frame(path, data, offset)
        if record is None:
            yield offset
            return
        yield record[0]
        offset = record[1]


def _read_frame(
    path: Path, data: bytes, offset: int
) -> tuple[Entry | HardState | Truncation | SnapshotImage, int] | None:
    """Return the record at an offset and where the next begins; None when torn."""
    if not any(data[offset:]):
        # The file had grown, but its blocks were never written.
        return None
    start = offset + _HEADER.size
    if start > len(data):
        return None
    length, checksum, header_checksum = _HEADER.unpack_from(data, offset)
    if xxhash.xxh32_intdigest(_LENGTHS.pack(length, checksum)) != header_checksum:
        raise StorageError(f"{path}: damaged: header at byte {offset}", step="open")
    body = data[start : start + length]
    if len(body) < length:
        return None
    if xxhash.xxh32_intdigest(body) != checksum:
        raise StorageError(f"{path}: damaged: record at byte {offset}", step="open")
    try:
        return _CODEC.decode(body), start + length
    except CodecError as error:
        detail = f"{path}: damaged: record at byte {offset}: {error}"
        raise StorageError(detail, step="open") from error


def _frame(record: object) -> bytes:
    """Return the frame of a record."""
    body = _CODEC.encode(record)
    checksum = xxhash.xxh32_intdigest(body)
    header_checksum = xxhash.xxh32_intdigest(_LENGTHS.pack(len(body), checksum))
    return _HEADER.pack(len(body), checksum, header_checksum) + body


def _frame_output(output: Output) -> bytes:
    """Return the frames of an output without a snapshot."""
    frames = bytearray()
    if output.truncate_from:
        frames += _frame(Truncation(output.truncate_from))
    for entry in output.entries:
        frames += _frame(entry)
    if output.hard is not None:
        frames += _frame(output.hard)
    return bytes(frames)


def _replace_file(files: Files, path: Path, data: bytes) -> None:
    """Write a file aside, sync it, put it in place and sync the folder."""
    files.replace(path, data)
    files.sync_folder(path.parent)
