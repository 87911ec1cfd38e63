"""Tests of the compression of large updates."""

from __future__ import annotations

import pytest

from dragonflyrock.codec import CodecError
from dragonflyrock.models import Delta, RangeRow, RangeState
from dragonflyrock.transport.messages import MESSAGES, HostUpdate, PackedUpdate
from dragonflyrock.transport.packing import UpdatePacker, unpack_update


def make_update(rows: int, sent_at: float = 1.0) -> HostUpdate:
    """Return an update with ``rows`` ranges."""
    ranges = tuple(
        RangeRow("s", n, n, f"server-{n % 7}@0", n, RangeState.ACTIVE, "", n)
        for n in range(rows)
    )
    return HostUpdate(1, "l", sent_at, 10, Delta(0, 9, True, ranges), 3, ("a",))


# Guards against a packed update that loses rows or saves little.
def test_packed_update_is_complete_and_smaller() -> None:
    update = make_update(2_000)
    packed = UpdatePacker().pack(update)
    assert isinstance(packed, PackedUpdate)
    encoded = MESSAGES.encode(packed)
    assert len(encoded) < len(MESSAGES.encode(update)) / 3
    assert unpack_update(MESSAGES.decode(encoded)) == update


# Guards against compressing the same rows again for each host.
def test_hosts_that_lack_the_same_rows_get_the_same_bytes() -> None:
    packer = UpdatePacker()
    first = packer.pack(make_update(50))
    second = packer.pack(make_update(50, sent_at=2.0))
    assert isinstance(first, PackedUpdate)
    assert isinstance(second, PackedUpdate)
    assert first.delta is second.delta
    assert second.sent_at == 2.0


# Guards against packing an update that is too small to gain from it.
def test_small_update_is_not_packed() -> None:
    update = make_update(3)
    assert UpdatePacker().pack(update) is update


# Guards against a damaged update that is applied in part or raises another error.
def test_damaged_update_is_rejected() -> None:
    packed = UpdatePacker().pack(make_update(50))
    assert isinstance(packed, PackedUpdate)
    for delta in (packed.delta[:-8], b"x" + packed.delta):
        with pytest.raises(CodecError):
            unpack_update(packed._replace(delta=delta))
