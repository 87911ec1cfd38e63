"""Leases: how long they last for their holders and for their grantors.

A holder counts from when it sent the request for the lease. The grantor counts
from when it answered, which is later, and adds the largest drift of two clocks.
"""

from __future__ import annotations

from ..const import NEVER

__all__ = ["NEVER", "extend_granted", "extend_held", "has_lapsed"]


def extend_held(until: float, sent_at: float, lease: float) -> float:
    """Return until when the holder may rely on a renewed lease, in seconds.

    >>> extend_held(NEVER, 10.0, 1.5)
    11.5
    """
    return max(until, sent_at + lease)


def extend_granted(
    until: float, answered_at: float, lease: float, drift: float
) -> float:
    """Return until when the grantor must honour a renewed lease, in seconds.

    >>> extend_granted(NEVER, 10.0, 1.0, 0.5)
    11.5
    """
    return max(until, answered_at + lease * (1 + drift))


def has_lapsed(until: float, now: float) -> bool:
    """Return whether a lease has expired."""
    return now >= until
