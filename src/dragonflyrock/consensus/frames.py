"""The records in a data folder's files: checksummed frames, in batches.

A frame is a header (length of the body and checksum of the body, then a checksum of
those two, each 32 bits, little endian) and a body, a record encoded by ``_CODEC``.

What is written to a log and synced at once is a batch, and begins with a ``Batch``
record. It is written only after all before it was synced. So frames that do not check
may be a torn tail, which was never acknowledged, only where no later batch begins;
with one behind them, something that was acknowledged is damaged.
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
    """A data folder that cannot be read or written; the text names the file."""


class Truncation(NamedTuple):
    """Drop the entry at ``index`` and all after it."""

    log_index: int


class Batch(NamedTuple):
    """Begin a batch; numbers grow by one, also where the log starts anew."""

    number: int


Record = Entry | HardState | Truncation | SnapshotImage | Batch

_CODEC: Final = Codec([Entry, HardState, Truncation, SnapshotImage, Batch])
# How the body of each batch record begins: an array of two, then the type's name.
_BATCH_BODY: Final = _CODEC.encode(Batch(0))[:7]


class _DecodedFrame(NamedTuple):
    """A record and the offset after its frame."""

    record: Record
    end: int


def encode_frame(record: Record) -> bytes:
    """Return the frame of a record."""
    body = _CODEC.encode(record)
    checksum = xxhash.xxh32_intdigest(body)
    header_checksum = xxhash.xxh32_intdigest(_LENGTHS.pack(len(body), checksum))
    return _HEADER.pack(len(body), checksum, header_checksum) + body


def read_frames(path: Path) -> Iterator[Record | int]:
    """Yield the records of a file, then the offset of a torn tail if it has one."""
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
    """Return the number of the next batch, which must follow the one before."""
    if batch and record.number != batch + 1:
        detail = f"{path}: damaged: batch {record.number} follows {batch}"
        raise StorageError(detail, step="open")
    return record.number


def _read_frame(path: Path, data: bytes, offset: int) -> _DecodedFrame | None:
    """Return the record at an offset, or None where the bytes do not check."""
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
        # The bytes are what was written, so this is no tear: never cut them.
        detail = f"{path}: damaged: record at byte {offset}: {error}"
        raise StorageError(detail, step="open") from error
    return _DecodedFrame(record, start + length)


def _read_length(data: bytes, offset: int) -> int | None:
    """Return the length in a header, or None where it does not check."""
    if offset + _HEADER.size > len(data):
        return None
    length, checksum, header_checksum = _HEADER.unpack_from(data, offset)
    if xxhash.xxh32_intdigest(_LENGTHS.pack(length, checksum)) != header_checksum:
        return None
    return int(length)


def _is_torn_tail(data: bytes, offset: int, batch: int) -> bool:
    """Return whether bytes that do not check were surely never synced.

    ``batch`` is the last one before them; 0 stands for a file without batches, as an
    earlier form of this code wrote them. There only a tail that is missing or zeros
    is taken for torn.
    """
    if batch:
        return not _has_later_batch(data, offset, batch)
    if len(data) - offset < _HEADER.size or not any(data[offset:]):
        return True
    length = _read_length(data, offset)
    return length is not None and offset + _HEADER.size + length > len(data)


def _has_later_batch(data: bytes, offset: int, batch: int) -> bool:
    """Return whether a batch begins anywhere after an offset."""
    body = data.find(_BATCH_BODY, offset + _HEADER.size)
    while body >= 0:
        length = _read_length(data, body - _HEADER.size)
        if length is not None and body + length <= len(data):
            checksum = _HEADER.unpack_from(data, body - _HEADER.size)[1]
            content = data[body : body + length]
            if xxhash.xxh32_intdigest(content) == checksum:
                record = _CODEC.decode(content)
                if isinstance(record, Batch) and record.number > batch:
                    return True
        body = data.find(_BATCH_BODY, body + 1)
    return False
