"""A member's data folder: identity, snapshot, and a checksummed log file.

A log file is a sequence of frames. A frame is a header (length of the body and
checksum of the body, then a checksum of those two, each 32 bits, little endian)
and a body, a record encoded by ``_CODEC``. A frame that was cut short at the end
of the file was never acknowledged and is dropped. Any other damage may hide
something that was acknowledged, so it ends the start.
"""

from __future__ import annotations

import os
import struct
import uuid
from collections.abc import Iterator
from pathlib import Path
from typing import BinaryIO, Final, NamedTuple

import xxhash

from ..codec import Codec, CodecError
from ..errors import DragonflyrockError
from .models import Entry, HardState, SnapshotImage
from .replica import Output

__all__ = ["Recovered", "Storage", "StorageError", "open_storage"]

_HEADER: Final = struct.Struct("<III")
_LENGTHS: Final = struct.Struct("<II")
_IDENTITY_FILE: Final = "identity"
_SNAPSHOT_FILE: Final = "snapshot"
_LOG_FILE: Final = "log"

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
    """The open data folder of one group; every method syncs before it returns."""

    def __init__(self, folder: Path, log: BinaryIO, hard: HardState) -> None:
        """Keep the folder, its open log file and the last hard state in it."""
        self._folder = folder
        self._log = log
        self._hard = hard
        self.sync_count = 0

    def write(self, output: Output) -> None:
        """Persist an output: snapshot, truncation, entries and hard state."""
        if not output.needs_sync:
            return
        try:
            if output.hard is not None:
                self._hard = output.hard
            if output.snapshot is not None:
                self._restart(output.snapshot, ())
            self._append(output)
        except OSError as error:
            raise self._failure(error) from error

    def _append(self, output: Output) -> None:
        """Append the frames of an output and sync."""
        frames = bytearray()
        if output.truncate_from:
            frames += _frame(Truncation(output.truncate_from))
        for entry in output.entries:
            frames += _frame(entry)
        if output.hard is not None:
            frames += _frame(output.hard)
        self._log.write(frames)
        self._log.flush()
        os.fsync(self._log.fileno())
        self.sync_count += 1

    def save_snapshot(self, snapshot: SnapshotImage, kept: tuple[Entry, ...]) -> None:
        """Replace the snapshot and start a log that holds only what follows it."""
        try:
            self._restart(snapshot, kept)
        except OSError as error:
            raise self._failure(error) from error

    def _restart(self, snapshot: SnapshotImage, kept: tuple[Entry, ...]) -> None:
        """Put the snapshot and then the shorter log in place."""
        _replace_file(self._folder / _SNAPSHOT_FILE, _frame(snapshot))
        # The log starts anew, so it must carry the term and the vote along.
        frames = bytearray(_frame(self._hard))
        for entry in kept:
            frames += _frame(entry)
        self._log.close()
        path = self._folder / _LOG_FILE
        _replace_file(path, bytes(frames))
        self._log = path.open("ab")

    def _failure(self, error: OSError) -> StorageError:
        """Return the error for a write that failed."""
        detail = f"{self._folder}: {error.strerror or error}"
        return StorageError(detail, step="write")

    def close(self) -> None:
        """Close the log file."""
        self._log.close()


def open_storage(folder: Path) -> tuple[Storage, Recovered]:
    """Open a data folder, making it when it is new, and read what it holds."""
    try:
        folder.mkdir(parents=True, exist_ok=True)
        identity = _read_identity(folder)
        snapshot = _read_snapshot(folder / _SNAPSHOT_FILE)
        recovered = _read_log(folder / _LOG_FILE, identity, snapshot)
        log = (folder / _LOG_FILE).open("ab")
        # What a killed process wrote and did not sync counts from here on.
        os.fsync(log.fileno())
    except OSError as error:
        detail = f"{folder}: {error.strerror or error}"
        raise StorageError(detail, step="open") from error
    return Storage(folder, log, recovered.hard), recovered


def _read_identity(folder: Path) -> str:
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
    _replace_file(path, identity.encode())
    return identity


def _read_snapshot(path: Path) -> SnapshotImage:
    """Return the snapshot, or an empty one."""
    if not path.exists():
        return SnapshotImage()
    frames = list(_read_frames(path))
    if len(frames) != 1 or not isinstance(frames[0], SnapshotImage):
        raise StorageError(f"{path}: damaged: not one snapshot", step="open")
    return frames[0]


def _read_log(path: Path, identity: str, snapshot: SnapshotImage) -> Recovered:
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
                    _cut(path, frame)
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


def _cut(path: Path, size: int) -> None:
    """Shorten a file and sync it."""
    with path.open("r+b") as file:
        file.truncate(size)
        os.fsync(file.fileno())


def _replace_file(path: Path, data: bytes) -> None:
    """Write a file aside, sync it, put it in place and sync the folder."""
    aside = path.with_name(path.name + ".new")
    with aside.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(aside, path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
