"""Choose a server for a request that any server of its service may run."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Final

from ..hashing import hash_score
from .server_stats import (
    ServerStat,
    ServiceStat,
    estimate_error_rate,
    estimate_wait,
    is_unresponsive,
)

__all__ = ["choose_fastest", "hash_fraction"]

# A server in this host's availability zone is preferred unless it needs longer than
# one elsewhere by this share of the target latency: traffic between zones is billed.
CROSS_ZONE_SHARE: Final = 0.3
# Each host prefers different servers while they are idle. A server then gets most of
# its requests from one host, whose statistics are nearly complete. The preference
# is worth up to this share of the service's mean processing time.
HOST_PREFERENCE_SHARE: Final = 0.35
# A server that fails its requests at once would seem the least loaded. One that
# fails all of them is chosen only if the others need longer by this multiple of the
# target latency.
ERROR_COST_TARGETS: Final = 1.0
# A cold server works slowly and takes few requests from all hosts together. It is
# chosen once the warm ones need longer by this multiple of the target latency.
COLD_COST_TARGETS: Final = 1.0


def hash_fraction(host: str, name: str) -> float:
    """Return a fixed pseudo-random number from 0 to 1 for a host and a name."""
    return hash_score(host, name) / 2**64


def choose_fastest(
    stats: Iterable[ServerStat],
    service: ServiceStat,
    host: str,
    zone: str,
    target: float,
    avoid: frozenset[str],
    now: float,
    is_cold: Callable[[str], bool] = lambda name: False,
) -> tuple[ServerStat, float] | None:
    """Return the server with the least cost and its expected seconds to answer.

    Servers whose lives are in ``avoid``, and those that are paused or unresponsive, are
    chosen only if there is no other. Return None if every server has ended. ``target``
    is the target latency in seconds. ``is_cold`` returns whether a server is cold, by
    name.
    """
    best: tuple[tuple[bool, float], ServerStat, float] | None = None
    for stat in stats:
        if stat.ended:
            continue
        expected = estimate_wait(stat, service, now)
        cost = (
            expected
            + HOST_PREFERENCE_SHARE
            * service.processing_time
            * hash_fraction(host, stat.row.name)
        )
        cost += ERROR_COST_TARGETS * target * estimate_error_rate(stat, now)
        if is_cold(stat.row.name):
            cost += COLD_COST_TARGETS * target
        if stat.row.zone != zone:
            cost += CROSS_ZONE_SHARE * target
        unavailable = now < stat.down_until or is_unresponsive(stat, service, now)
        last_resort = (bool(avoid) and stat.row.life in avoid) or unavailable
        key = (last_resort, cost)
        if best is None or key < best[0]:
            best = (key, stat, expected)
    if best is None:
        return None
    return best[1], best[2]
