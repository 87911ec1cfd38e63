"""Free ports for tests."""

from __future__ import annotations

import socket
from itertools import count
from typing import Final

BLOCK_PORT_COUNT: Final = 600
FIRST_PORT: Final = 12_000
LAST_PORT: Final = 30_000
PROBED_OFFSETS: Final = (0, 100, 200, 300, 400, 401, 402, 420, 501, 505)

_BLOCK_NUMBERS = count()


def find_free_port_block() -> int:
    """Return the first port of a free block; each call tries the next block.

    Only some ports of a block are probed, at offsets that fleets use.
    """
    for number in _BLOCK_NUMBERS:
        block_count = (LAST_PORT - FIRST_PORT) // BLOCK_PORT_COUNT
        first = FIRST_PORT + (number % block_count) * BLOCK_PORT_COUNT
        if all(_is_free(first + offset) for offset in PROBED_OFFSETS):
            return first
    raise AssertionError("unreachable: the block numbers never end")


def _is_free(port: int) -> bool:
    """Return whether a port can be bound."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def free_port() -> int:
    """Return a free port."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])
