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
from typing import Any, Final, NamedTuple

import xxhash

from ..codec import Codec, CodecError
from ..errors import DragonflyrockError
from .models import Entry, HardState, SnapshotImage

__all__ = [
    "Batch",
    "Record",
    "StorageError",
    "Truncation",
    "encode_frame",
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


class _DecodedFrame(NamedTuple):
    """A record and the offset of the end of its frame."""

    record: Record
    end: int


def encode_frame(record: Record) -> bytes:
    """Return the frame of a record."""
    body = _CODEC.encode(record)
    checksum = xxhash.xxh32_intdigest(body)
    header_checksum = xxhash.xxh32_intdigest(_LENGTHS.pack(len(body), checksum))
    return _HEADER.pack(len(body), checksum, header_checksum) + body


def read_frames(path: Path) -> Iterator[Record | int]:
    """Yield the records of a file, then the offset of a torn write if there is one.

    Raise ``StorageError`` if the file is damaged otherwise.
    """
    data = path.read_bytes()
    offset = 0
    batch = 0
    while offset < len(data):
        decoded = _read_frame(path, data, offset)
        if decoded is None:
            if not _is_torn_tail(data, offset, batch):
                detail = f"{path}: damaged: record at byte {offset}"
                raise StorageError(detail, step="open")
            yield offset
            return
        if isinstance(decoded.record, Batch):
            batch = _check_batch_number(path, batch, decoded.record)
        yield decoded.record
        offset = decoded.end


def _check_batch_number(path: Path, batch: int, record: Batch) -> int:
    """Return the number of a batch record, which must follow the one before."""
    if batch and record.number != batch + 1:
        detail = f"{path}: damaged: batch {record.number} follows {batch}"
        raise StorageError(detail, step="open")
    return record.number


def _read_frame(path: Path, data: bytes, offset: int) -> _DecodedFrame | None:
    """Return the record at an offset, or None if its frame is invalid."""
    start = offset + _HEADER.size
    length = _read_length(data, offset)
    if length is None or start + length > len(data):
        return None
    body = data[start : start + length]
    checksum = _HEADER.unpack_from(data, offset)[1]
    if xxhash.xxh32_intdigest(body) != checksum:
        return None
    try:
        record: Any = _CODEC.decode(body)
    except CodecError as error:
        # The checksum is right, so this is not a torn write and must not be removed.
        detail = f"{path}: damaged: record at byte {offset}: {error}"
        raise StorageError(detail, step="open") from error
    return _DecodedFrame(record, start + length)


def _read_length(data: bytes, offset: int) -> int | None:
    """Return the body length in a header, or None if the header is invalid."""
    if offset + _HEADER.size > len(data):
        return None
    length, checksum, header_checksum = _HEADER.unpack_from(data, offset)
    if xxhash.xxh32_intdigest(_LENGTHS.pack(length, checksum)) != header_checksum:
        return None
    return int(length)


def _is_torn_tail(data: bytes, offset: int, batch: int) -> bool:
    """Return whether invalid bytes from an offset on cannot have been synced.

    ``batch`` is the number of the last batch before them, or 0 for a file without
    batches, as earlier versions wrote it. In such a file only an incomplete last frame
    or zeros up to the end count as torn.
    """
    if batch:
        return not _has_later_batch(data, offset, batch)
    if len(data) - offset < _HEADER.size or not any(data[offset:]):
        return True
    length = _read_length(data, offset)
    return length is not None and offset + _HEADER.size + length > len(data)


def _has_later_batch(data: bytes, offset: int, batch: int) -> bool:
    """Return whether a batch with a higher number begins after an offset."""
    body = data.find(_BATCH_BODY_PREFIX, offset + _HEADER.size)
    while body >= 0:
        length = _read_length(data, body - _HEADER.size)
        if length is not None and body + length <= len(data):
            checksum = _HEADER.unpack_from(data, body - _HEADER.size)[1]
            content = data[body : body + length]
            if xxhash.xxh32_intdigest(content) == checksum:
                record = _CODEC.decode(content)
                if isinstance(record, Batch) and record.number > batch:
                    return True
        body = data.find(_BATCH_BODY_PREFIX, body + 1)
    return False
