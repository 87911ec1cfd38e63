"""Play drawn schedules, count what was played, and shrink those that break."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import Final, NamedTuple

from ..control.schedules import ACTIONS, START_SECONDS, WORLDS, play, recover

MAX_ACTION_COUNT: Final = 25


class Schedule(NamedTuple):
    """A world by its way of granting and its seed, and the actions played in it."""

    way: str
    seed: int
    actions: tuple[str, ...]


class Broken(NamedTuple):
    """A schedule that broke promises, shrunk."""

    schedule: Schedule
    promises: tuple[str, ...]


@dataclass(slots=True)
class Played:
    """What a search has played: schedules by action and by pair of actions."""

    schedule_count: int = 0
    singles: Counter[str] = field(default_factory=Counter)
    pairs: Counter[tuple[str, str]] = field(default_factory=Counter)
    broken: list[Broken] = field(default_factory=list)

    def add(self, other: Played) -> None:
        """Add what another process has played."""
        self.schedule_count += other.schedule_count
        self.singles += other.singles
        self.pairs += other.pairs
        self.broken += other.broken


def draw_schedule(way: str, seed: int) -> Schedule:
    """Return the schedule that a seed gives."""
    random = Random(f"{way} {seed}")
    count = random.randint(1, MAX_ACTION_COUNT)
    return Schedule(way, seed, tuple(random.choices(ACTIONS[way], k=count)))


def find_broken(schedule: Schedule) -> tuple[str, ...]:
    """Play a schedule and return the promises that it breaks."""
    world = WORLDS[schedule.way](schedule.seed)
    world.run(START_SECONDS)
    play(world, list(schedule.actions))
    return tuple(recover(world, schedule.way))


def shrink(schedule: Schedule) -> Schedule:
    """Leave out actions one by one as long as the schedule breaks a promise."""
    place = 0
    while place < len(schedule.actions):
        actions = schedule.actions[:place] + schedule.actions[place + 1 :]
        shorter = schedule._replace(actions=actions)
        if find_broken(shorter):
            schedule = shorter
        else:
            place += 1
    return schedule


def search(way: str, first_seed: int, step: int, seconds: float) -> Played:
    """Play schedules of every ``step``-th seed for some seconds."""
    played = Played()
    until = time.monotonic() + seconds
    seed = first_seed
    while time.monotonic() < until:
        schedule = draw_schedule(way, seed)
        seed += step
        played.schedule_count += 1
        kinds = sorted(set(schedule.actions))
        played.singles.update(kinds)
        played.pairs.update(
            (first, second)
            for place, first in enumerate(kinds)
            for second in kinds[place + 1 :]
        )
        if find_broken(schedule):
            shrunk = shrink(schedule)
            played.broken.append(Broken(shrunk, find_broken(shrunk)))
    return played
