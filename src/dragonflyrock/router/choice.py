"""The choice among the servers of a service that is not divided by key."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from ..hashing import hash_score
from .servers import (
    ServerStat,
    ServiceStat,
    estimate_faults,
    estimate_wait,
    is_silent,
)

__all__ = ["choose_server", "rank_home"]

# Expected time, as a share of the target latency, that a server in the own zone
# may take longer than one elsewhere: bytes between zones cost money.
ZONE_SHARE: Final = 0.3
# Hosts prefer different servers while those are idle, so that what a host knows
# of its own requests is most of what there is to know.
HOME_SHARE: Final = 0.35
# A server that fails its requests at once would seem the idlest. One that fails all
# of them is taken where the others need this many times the target longer.
FAULT_TARGETS: Final = 1.0


def rank_home(host: str, name: str) -> float:
    """Return a number from 0 to 1 that differs by host; lower is preferred."""
    return hash_score(host, name) / 2**64


def choose_server(
    stats: Iterable[ServerStat],
    service: ServiceStat,
    host: str,
    zone: str,
    target: float,
    avoid: frozenset[str],
    now: float,
) -> tuple[ServerStat, float] | None:
    """Return the server with the least cost and its expected time in seconds.

    Servers in ``avoid`` and those that could not be reached just now are taken
    only where there is no other.
    """
    best: tuple[tuple[bool, float], ServerStat, float] | None = None
    for stat in stats:
        if stat.ended:
            continue
        expected = estimate_wait(stat, service, now)
        cost = expected + HOME_SHARE * service.unit * rank_home(host, stat.row.name)
        cost += FAULT_TARGETS * target * estimate_faults(stat, now)
        if stat.row.zone != zone:
            cost += ZONE_SHARE * target
        down = now < stat.down_until or is_silent(stat, service, now)
        poor = stat.row.name in avoid or down
        key = (poor, cost)
        if best is None or key < best[0]:
            best = (key, stat, expected)
    if best is None:
        return None
    return best[1], best[2]
