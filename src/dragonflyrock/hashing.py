"""The hash that places a key in the key space of its service."""

from __future__ import annotations

from typing import Final

import xxhash

__all__ = ["KEY_SPACE", "hash_key", "hash_score"]

KEY_SPACE: Final = 1 << 64


def hash_key(key: str) -> int:
    """Return the place of a key, from 0 up to ``KEY_SPACE`` exclusive.

    >>> hash_key("gate-12") == hash_key("gate-12")
    True
    """
    return xxhash.xxh3_64_intdigest(key.encode())


def hash_score(subject: str, candidate: str) -> int:
    """Return the rendezvous score of a candidate for a subject."""
    return xxhash.xxh3_64_intdigest(f"{subject}\x00{candidate}".encode())
