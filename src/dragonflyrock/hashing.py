"""Hash functions for keys and for rendezvous hashing."""

from __future__ import annotations

from typing import Final

import xxhash

__all__ = ["KEY_SPACE", "hash_key", "hash_score"]

KEY_SPACE: Final = 1 << 64


def hash_key(key: str) -> int:
    """Return the hash of a key, from 0 to ``KEY_SPACE`` - 1.

    Ranges of these hashes are owned by the servers of a service.

    >>> hash_key("gate-12") == hash_key("gate-12")
    True
    """
    return xxhash.xxh3_64_intdigest(key.encode())


def hash_score(subject: str, candidate: str) -> int:
    """Return the rendezvous score of a candidate for a subject.

    The candidate with the highest score is chosen.
    """
    return xxhash.xxh3_64_intdigest(f"{subject}\x00{candidate}".encode())
