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
_GUARDS: list[socket.socket] = []


def find_free_port_block() -> int:
    """Return the first port of a free block; each call tries the next block.

    Only some ports of a block are probed, at offsets that fleets use. The last port of
    the block is held until this process ends, so that another suite that runs at the
    same time does not take the block too.
    """
    for number in _BLOCK_NUMBERS:
        block_count = (LAST_PORT - FIRST_PORT) // BLOCK_PORT_COUNT
        first = FIRST_PORT + (number % block_count) * BLOCK_PORT_COUNT
        guard = _claim(first + BLOCK_PORT_COUNT - 1)
        if guard is None:
            continue
        if all(_is_free(first + offset) for offset in PROBED_OFFSETS):
            _GUARDS.append(guard)
            return first
        guard.close()
    raise AssertionError("unreachable: the block numbers never end")


def _claim(port: int) -> socket.socket | None:
    """Return a socket that listens on a port, or None if another one does."""
    guard = socket.socket()
    try:
        guard.bind(("127.0.0.1", port))
        guard.listen(1)
    except OSError:
        guard.close()
        return None
    return guard


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
