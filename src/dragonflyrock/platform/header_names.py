"""The names of the platform's request and response headers, for the router."""

from __future__ import annotations

from typing import Final

from ..router import HeaderNames
from .names import EXPECTED_SERVER, KEY_SHIFT_BITS, NOT_RUN, REQUEST_ID, SERVER_NAME

__all__ = ["HEADER_NAMES"]

HEADER_NAMES: Final = HeaderNames(
    request_id=REQUEST_ID,
    # Despite its name, it holds the milliseconds that are left, not a point in time.
    time_left_ms=b"x-dragonflyrock-deadline-ms",
    expected_server=EXPECTED_SERVER,
    server_name=SERVER_NAME,
    signature=b"x-dragonflyrock-server-stamp",
    not_run=NOT_RUN,
    load=b"x-dragonflyrock-server-load",
    cold_ms=b"x-dragonflyrock-warmup-ms",
    leaving=(b"server-leaving", b"x-dragonflyrock-server-leaving"),
    pause=(b"retry-after", b"x-dragonflyrock-retry-after"),
    limit=(b"server-limit", b"x-dragonflyrock-server-limit"),
    key=b"x-dragonflyrock-shard-key",
    key_shift=KEY_SHIFT_BITS,
)
