"""Large updates for entry hosts: encoded and compressed once for all of them."""

from __future__ import annotations

import zlib
from typing import Final

from ..codec import Codec, CodecError, UnknownFields
from ..models import Delta
from .messages import HostUpdate, PackedUpdate

__all__ = ["UpdatePacker", "unpack_update"]

# Rows from which an update is packed; fewer are shorter than what packing costs.
FEWEST_ROWS: Final = 24
# Deltas that are kept encoded: hosts lag behind by a few revisions at most.
MAX_KEPT: Final = 8
# The fastest level; rows repeat so much that higher ones gain little.
LEVEL: Final = 1
MAX_DELTA_BYTES: Final = 64 * 1024 * 1024

_DELTAS: Final = Codec([Delta], UnknownFields.IGNORE)


class UpdatePacker:
    """Pack updates; hosts that lack the same rows get the same bytes."""

    def __init__(self) -> None:
        """Start with nothing packed."""
        self._kept: dict[tuple[int, int, bool], bytes] = {}

    def pack(self, update: HostUpdate) -> HostUpdate | PackedUpdate:
        """Return an update as it is to be sent."""
        delta = update.delta
        rows = len(delta.ranges) + len(delta.servers) + len(delta.routes)
        if rows < FEWEST_ROWS:
            return update
        key = (delta.base, delta.revision, delta.full)
        packed = self._kept.get(key)
        if packed is None:
            packed = zlib.compress(_DELTAS.encode(delta), LEVEL)
            if len(self._kept) >= MAX_KEPT:
                del self._kept[next(iter(self._kept))]
            self._kept[key] = packed
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
    """Return the update in a message, or raise ``CodecError``."""
    unpacker = zlib.decompressobj()
    try:
        body = unpacker.decompress(message.delta, MAX_DELTA_BYTES)
    except zlib.error as error:
        raise CodecError(f"packed update: {error}") from error
    if not unpacker.eof:
        raise CodecError("packed update: cut short or too large")
    return HostUpdate(
        message.term,
        message.leader,
        message.sent_at,
        message.lease_ms,
        _DELTAS.decode(body),
        message.hosts_version,
        message.hosts,
    )
