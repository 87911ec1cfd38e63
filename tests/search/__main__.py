"""Search for schedules of failures that break a promise: ``script/search --help``."""

from __future__ import annotations

import sys
import time
from concurrent.futures import ProcessPoolExecutor
from itertools import combinations
from random import SystemRandom
from typing import Final

import defopt

from ..control.schedules import ACTIONS
from .player import Played, draw_schedule, find_broken, search, shrink

MAX_SEED: Final = 2**32


def main(
    *, way: str = "all", seconds: float = 60.0, seed: int = 0, jobs: int = 3
) -> None:
    """Play random schedules of failures, or one again.

    :param way: how servers are told what they hold: call, heartbeat or all
    :param seconds: how long to play
    :param seed: play the schedule of this seed alone, shrink it and show it
    :param jobs: processes to use
    """
    if way not in (*ACTIONS, "all"):
        sys.exit(f"search: way: found {way!r}; allowed: all, {', '.join(ACTIONS)}")
    if seconds <= 0 or jobs < 1 or seed < 0:
        sys.exit("search: seconds and jobs must be above 0, seed 0 or more")
    ways = list(ACTIONS) if way == "all" else [way]
    if seed:
        replay(ways, seed)
        return
    broken = 0
    for each in ways:
        broken += run(each, seconds / len(ways), jobs)
    sys.exit(bool(broken))


def replay(ways: list[str], seed: int) -> None:
    """Play the schedule of one seed and print what it breaks."""
    for way in ways:
        schedule = draw_schedule(way, seed)
        promises = find_broken(schedule)
        print(f"{way} seed {seed}: {' '.join(schedule.actions)}")
        if promises:
            print("  shrunk:", " ".join(shrink(schedule).actions))
        for promise in promises or ("nothing broken",):
            print("  ", promise)


def run(way: str, seconds: float, jobs: int) -> int:
    """Search one way of granting; return the number of broken schedules."""
    first = SystemRandom().randrange(1, MAX_SEED)
    began = time.monotonic()
    total = Played()
    with ProcessPoolExecutor(jobs) as pool:
        tasks = [
            pool.submit(search, way, first + number, jobs, seconds)
            for number in range(jobs)
        ]
        for task in tasks:
            total.add(task.result())
    elapsed = time.monotonic() - began
    rate = total.schedule_count / elapsed
    print(f"{way}: {total.schedule_count} schedules from seed {first}, {rate:.0f}/s")
    print(
        "  by action:", ", ".join(f"{k} {n}" for k, n in sorted(total.singles.items()))
    )
    pairs = set(combinations(sorted(ACTIONS[way]), 2))
    never = sorted(pairs - set(total.pairs))
    print(f"  pairs of actions: {len(pairs)}; never met:", never or "none")
    for schedule, promises in total.broken:
        print(f"  BROKEN seed {schedule.seed}: {' '.join(schedule.actions)}")
        for promise in promises[:4]:
            print("   ", promise)
    return len(total.broken)


if __name__ == "__main__":
    defopt.run(main)
