"""Helpers of the tests."""

from __future__ import annotations

import socket
from itertools import count
from typing import Final

BLOCK_PORTS: Final = 600
FIRST_BLOCK: Final = 12_000
LAST_BLOCK: Final = 30_000
PROBED_OFFSETS: Final = (0, 100, 200, 300, 400, 401, 402, 420, 501, 505)

_BLOCKS = count()


def find_free_ports() -> int:
    """Return the first of a block of ports that nobody listens at."""
    for number in _BLOCKS:
        span = (LAST_BLOCK - FIRST_BLOCK) // BLOCK_PORTS
        first = FIRST_BLOCK + (number % span) * BLOCK_PORTS
        if all(_is_free(first + offset) for offset in PROBED_OFFSETS):
            return first
    raise AssertionError("the blocks never end")


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
    """Return a port that nobody listens at."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])
