"""Compression of large updates, shared by all entry hosts that lack the same rows."""

from __future__ import annotations

import zlib
from typing import Final

from ..codec import Codec, CodecError, UnknownFields
from ..models import Delta
from .messages import HostUpdate, PackedUpdate

__all__ = ["UpdatePacker", "unpack_update"]

# Smaller updates are not packed: compressing them costs more than it saves.
MIN_PACKED_ROW_COUNT: Final = 24
# Hosts lag behind by a few revisions at most.
MAX_CACHED_DELTA_COUNT: Final = 8
# The fastest level; rows are so repetitive that higher levels gain little.
COMPRESSION_LEVEL: Final = 1
MAX_DELTA_BYTES: Final = 64 * 1024 * 1024

_DELTAS: Final = Codec([Delta], UnknownFields.IGNORE)


class UpdatePacker:
    """Compress updates, with a cache of the latest compressed deltas."""

    def __init__(self) -> None:
        """Initialize an empty cache."""
        self._cache: dict[tuple[int, int, bool], bytes] = {}

    def pack(self, update: HostUpdate) -> HostUpdate | PackedUpdate:
        """Return the update, with its delta compressed if it is large."""
        delta = update.delta
        row_count = len(delta.ranges) + len(delta.servers) + len(delta.routes)
        if row_count < MIN_PACKED_ROW_COUNT:
            return update
        key = (delta.base, delta.revision, delta.full)
        packed = self._cache.get(key)
        if packed is None:
            packed = zlib.compress(_DELTAS.encode(delta), COMPRESSION_LEVEL)
            if len(self._cache) >= MAX_CACHED_DELTA_COUNT:
                del self._cache[next(iter(self._cache))]
            self._cache[key] = packed
        return PackedUpdate(
            update.term,
            update.leader,
            update.sent_at,
            update.lease_ms,
            packed,
            update.hosts_version,
            update.hosts,
        )


def unpack_update(message: PackedUpdate) -> HostUpdate:
    """Return the update with its delta decompressed, or raise ``CodecError``."""
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(message.delta, MAX_DELTA_BYTES)
    except zlib.error as error:
        raise CodecError(
            f"packed update: delta cannot be decompressed: {error}"
        ) from error
    if not decompressor.eof:
        raise CodecError("packed update: delta is truncated or exceeds the size limit")
    return HostUpdate(
        message.term,
        message.leader,
        message.sent_at,
        message.lease_ms,
        _DELTAS.decode(body),
        message.hosts_version,
        message.hosts,
    )
