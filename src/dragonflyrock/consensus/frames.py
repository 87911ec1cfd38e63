"""The format of the files in a data folder: checksummed frames in batches.

A frame is a header (length of the body, checksum of the body, and a checksum of these
two; each 32 bits, little endian) and a body, which is a record encoded by ``_CODEC``.

Frames that are written to a log and synced together form a batch, which begins with a
``Batch`` record. A batch is written only after all earlier ones were synced. So invalid
frames at the end of a log may be a torn write, which was never acknowledged. If a later
batch follows them, acknowledged records are damaged.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from pathlib import Path
from typing import Any, BinaryIO, Final, NamedTuple

import xxhash

from ..codec import Codec, CodecError
from ..errors import DragonflyrockError
from .models import Entry, HardState, SnapshotImage

__all__ = [
    "Batch",
    "Frame",
    "Record",
    "StorageError",
    "Truncation",
    "encode_frame",
    "read_frame",
    "read_frames",
]

_HEADER: Final = struct.Struct("<III")
_LENGTHS: Final = struct.Struct("<II")


class StorageError(DragonflyrockError):
    """A data folder that cannot be read or written; the message names the file."""


class Truncation(NamedTuple):
    """Remove the entry at ``log_index`` and all entries after it."""

    log_index: int


class Batch(NamedTuple):
    """The start of a batch; numbers grow by one, also when the log is replaced."""

    number: int


Record = Entry | HardState | Truncation | SnapshotImage | Batch

_CODEC: Final = Codec([Entry, HardState, Truncation, SnapshotImage, Batch])
# The first bytes of the body of every batch record: an array of two, then the name.
_BATCH_BODY_PREFIX: Final = _CODEC.encode(Batch(0))[:7]


class Frame(NamedTuple):
    """A record and the offsets of its frame; None stands for a torn write."""

    record: Record | None
    offset: int
    end: int


def encode_frame(record: Record) -> bytes:
    """Return the frame of a record."""
    body = _CODEC.encode(record)
    checksum = xxhash.xxh32_intdigest(body)
    header_checksum = xxhash.xxh32_intdigest(_LENGTHS.pack(len(body), checksum))
    return _HEADER.pack(len(body), checksum, header_checksum) + body


def read_frames(path: Path) -> Iterator[Frame]:
    """Yield the frames of a file; the last one has no record if it is a torn write.

    One frame is read at a time. Raise ``StorageError`` if the file is damaged
    otherwise.
    """
    size = path.stat().st_size
    offset = 0
    batch = 0
    with path.open("rb") as file:
        while offset < size:
            frame = read_frame(file, path, offset, size)
            if frame is None:
                file.seek(offset)
                if not _is_torn_tail(file.read(), batch):
                    detail = f"{path}: damaged: record at byte {offset}"
                    raise StorageError(detail, step="open")
                yield Frame(None, offset, size)
                return
            if isinstance(frame.record, Batch):
                batch = _check_batch_number(path, batch, frame.record)
            yield frame
            offset = frame.end


def _check_batch_number(path: Path, batch: int, record: Batch) -> int:
    """Return the number of a batch record, which must follow the one before."""
    if batch and record.number != batch + 1:
        detail = f"{path}: damaged: batch {record.number} follows {batch}"
        raise StorageError(detail, step="open")
    return record.number


def read_frame(file: BinaryIO, path: Path, offset: int, size: int) -> Frame | None:
    """Return the frame at an offset of an open file, or None if it is invalid.

    ``size`` is the offset of the end of the file, and ``path`` its name for errors.
    """
    file.seek(offset)
    header = file.read(_HEADER.size)
    length = _read_length(header, 0)
    start = offset + _HEADER.size
    if length is None or start + length > size:
        return None
    body = file.read(length)
    if xxhash.xxh32_intdigest(body) != _HEADER.unpack(header)[1]:
        return None
    try:
        record: Any = _CODEC.decode(body)
    except CodecError as error:
        # The checksum is right, so this is not a torn write and must not be removed.
        detail = f"{path}: damaged: record at byte {offset}: {error}"
        raise StorageError(detail, step="open") from error
    return Frame(record, offset, start + length)


def _read_length(data: bytes, offset: int) -> int | None:
    """Return the body length in a header, or None if the header is invalid."""
    if offset + _HEADER.size > len(data):
        return None
    length, checksum, header_checksum = _HEADER.unpack_from(data, offset)
    if xxhash.xxh32_intdigest(_LENGTHS.pack(length, checksum)) != header_checksum:
        return None
    return int(length)


def _is_torn_tail(tail: bytes, batch: int) -> bool:
    """Return whether invalid bytes at the end of a file cannot have been synced.

    ``batch`` is the number of the last batch before them, or 0 for a file without
    batches, as earlier versions wrote it. In such a file only an incomplete last frame
    or zeros up to the end count as torn.
    """
    if batch:
        return not _has_later_batch(tail, batch)
    if len(tail) < _HEADER.size or not any(tail):
        return True
    length = _read_length(tail, 0)
    return length is not None and _HEADER.size + length > len(tail)


def _has_later_batch(tail: bytes, batch: int) -> bool:
    """Return whether a batch with a higher number begins after the first frame."""
    body = tail.find(_BATCH_BODY_PREFIX, _HEADER.size)
    while body >= 0:
        length = _read_length(tail, body - _HEADER.size)
        if length is not None and body + length <= len(tail):
            checksum = _HEADER.unpack_from(tail, body - _HEADER.size)[1]
            content = tail[body : body + length]
            if xxhash.xxh32_intdigest(content) == checksum:
                record = _CODEC.decode(content)
                if isinstance(record, Batch) and record.number > batch:
                    return True
        body = tail.find(_BATCH_BODY_PREFIX, body + 1)
    return False
