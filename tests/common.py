"""Free ports for tests."""

from __future__ import annotations

import os
import socket
from collections import deque
from itertools import count, islice
from typing import Final

BLOCK_PORT_COUNT: Final = 600
FIRST_PORT: Final = 12_000
LAST_PORT: Final = 30_000
# A test uses one block at a time, so that older blocks can be used again.
HELD_BLOCK_COUNT: Final = 8
# Single ports lie between the blocks and the ports of outgoing connections.
FIRST_SINGLE_PORT: Final = 30_000
LAST_SINGLE_PORT: Final = 32_700
# Suites that run at the same time begin so far from each other.
SINGLE_PORT_STRIDE: Final = 97
PROBED_OFFSETS: Final = (0, 100, 200, 300, 400, 401, 402, 420, 501, 505)

_BLOCK_NUMBERS = count()
_PORT_NUMBERS = count()
_GUARDS: deque[socket.socket] = deque()


def find_free_port_block() -> int:
    """Return the first port of a free block; each call tries the next block.

    Only some ports of a block are probed, at offsets that fleets use. The last port of
    the latest blocks is held, so that another suite that runs at the same time does not
    take these blocks too.
    """
    block_count = (LAST_PORT - FIRST_PORT) // BLOCK_PORT_COUNT
    for number in islice(_BLOCK_NUMBERS, 2 * block_count):
        first = FIRST_PORT + (number % block_count) * BLOCK_PORT_COUNT
        guard = _claim(first + BLOCK_PORT_COUNT - 1)
        if guard is None:
            continue
        if all(_is_free(first + offset) for offset in PROBED_OFFSETS):
            _hold(guard)
            return first
        guard.close()
    raise RuntimeError(f"none of {block_count} blocks of ports is free")


def _hold(guard: socket.socket) -> None:
    """Keep the socket of a block open, and close the oldest one if there are many."""
    _GUARDS.append(guard)
    if len(_GUARDS) > HELD_BLOCK_COUNT:
        _GUARDS.popleft().close()


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
    """Return a free port that no outgoing connection is given.

    A port of the ephemeral range may be taken by a connection of any program before
    the caller listens on it.
    """
    span = LAST_SINGLE_PORT - FIRST_SINGLE_PORT
    start = os.getpid() * SINGLE_PORT_STRIDE
    for number in islice(_PORT_NUMBERS, span):
        port = FIRST_SINGLE_PORT + (start + number) % span
        if _is_free(port):
            return port
    raise RuntimeError(f"none of {span} single ports is free")
