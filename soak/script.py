"""The script of faults, drawn from a seed; the same seed gives the same script."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from random import Random
from typing import Final, NamedTuple

from . import const

SCENE_SECONDS: Final = (1.5, 3.0)
DELAY_SECONDS: Final = (0.02, 0.3)
CUT_SECONDS: Final = (0.3, 3.0)
FREEZE_SECONDS: Final = (0.3, 3.0)
DOWN_SECONDS: Final = (0.2, 2.0)
HERD_DOWN_SECONDS: Final = (0.2, 0.8)
STOP_DOWN_SECONDS: Final = 0.5
CONTROL_NAMES: Final = [f"control-{n + 1}" for n in range(const.CONTROL_NODES)]
ENTRY_NAMES: Final = [f"entry-{n + 1}" for n in range(const.ENTRY_NODES)]
SERVER_NAMES: Final = [f"server-{n + 1}" for n in range(const.SERVERS)]
NODE_NAMES: Final = CONTROL_NAMES + ENTRY_NAMES


class Step(NamedTuple):
    """A fault: what, on whom (from whom), for how long.

    ``value`` is a delay in seconds, a direction (0 forward, 1 back, 2 both), or a
    position in a file.
    """

    at: float
    what: str
    target: str
    length: float = 0.0
    source: str = ""
    value: float = 0.0


Scene = Callable[[Random, float], Iterator[Step]]


def make_script(seed: int, seconds: float) -> tuple[Step, ...]:
    """Return the faults of a seed in the order of their times."""
    random = Random(seed)
    steps: list[Step] = []
    at, scenes = 0.5, list(SCENES)
    while at < seconds:
        scene = random.choice(scenes)
        if scene is _lose_disk:
            # No more disks are lost than may be lost.
            scenes.remove(scene)
        steps += scene(random, at)
        at += random.uniform(*SCENE_SECONDS)
    return tuple(sorted(step for step in steps if step.at < seconds))


def _make_cut(random: Random, at: float) -> Step:
    """Return a cut between two nodes, or a node and a server or its callers."""
    ways = [*NODE_NAMES, *SERVER_NAMES, *(f"{name}/link" for name in NODE_NAMES)]
    target, source = random.choice(ways), ""
    if random.random() < 0.6:
        if target.endswith("/link"):
            source = random.choice(NODE_NAMES)
        elif target in SERVER_NAMES:
            source = random.choice(["control", "entry"])
    length = random.uniform(*CUT_SECONDS)
    return Step(at, "cut", target, length, source, random.randint(0, 2))


def _roll(random: Random, at: float) -> Iterator[Step]:
    """Stop and start all entry nodes in turn, with a cut in it."""
    gap = random.uniform(0.8, 2.0)
    names = random.sample(ENTRY_NAMES, len(ENTRY_NAMES))
    for number, name in enumerate(names):
        yield Step(at + number * gap, "stop", name, STOP_DOWN_SECONDS)
    yield _make_cut(random, at + random.uniform(0, 3 * gap))


def _roll_control(random: Random, at: float) -> Iterator[Step]:
    """Stop and start all control nodes in turn."""
    gap = random.uniform(1.0, 2.5)
    for number, name in enumerate(CONTROL_NAMES):
        yield Step(at + number * gap, "stop", name, STOP_DOWN_SECONDS)


def _stop_in_election(random: Random, at: float) -> Iterator[Step]:
    """Kill a control node, and stop an entry and a control node meanwhile."""
    down = random.uniform(*DOWN_SECONDS)
    yield Step(at, "kill", random.choice(CONTROL_NAMES), down)
    for names in (ENTRY_NAMES, CONTROL_NAMES):
        later = at + random.uniform(0, 0.8)
        yield Step(later, "stop", random.choice(names), STOP_DOWN_SECONDS)


def _kill_in_drain(random: Random, at: float) -> Iterator[Step]:
    """Let a server leave, and kill a node while it drains."""
    yield Step(at, "leave", random.choice(SERVER_NAMES))
    down = random.uniform(*DOWN_SECONDS)
    later = at + random.uniform(0, 2.5)
    yield Step(later, "kill", random.choice(NODE_NAMES), down)


def _change_in_restart(random: Random, at: float) -> Iterator[Step]:
    """Change settings of nodes while one restarts."""
    name = random.choice(ENTRY_NAMES)
    yield Step(at, "stop", name, 2 * STOP_DOWN_SECONDS)
    for what in ("hup", "hup", "change"):
        target = random.choice([name, *NODE_NAMES])
        yield Step(at + random.uniform(0, 2), what, target)


def _freeze(random: Random, at: float) -> Iterator[Step]:
    """Freeze a node, and stop or kill another one meanwhile."""
    name, other = random.choice(NODE_NAMES), random.choice(NODE_NAMES)
    yield Step(at, "freeze", name, random.uniform(*FREEZE_SECONDS))
    what, down = random.choice(["stop", "kill"]), random.uniform(*DOWN_SECONDS)
    yield Step(at + random.uniform(0, 1), what, other, down)


def _disturb_ways(random: Random, at: float) -> Iterator[Step]:
    """Cut, delay, reset and half-send on several ways."""
    for _ in range(random.randint(2, 4)):
        yield _make_cut(random, at + random.uniform(0, 2))
    for what in ("delay", "reset", "half"):
        link = f"{random.choice(NODE_NAMES)}/link"
        target = random.choice([*NODE_NAMES, *SERVER_NAMES, link])
        delay = random.uniform(*DELAY_SECONDS)
        yield Step(at + random.uniform(0, 2), what, target, 1.0, "", delay)


def _lose_disk(random: Random, at: float) -> Iterator[Step]:
    """Kill a control node and empty its folder, or flip a bit in its log."""
    what, down = random.choice(["wipe", "flip"]), random.uniform(*DOWN_SECONDS)
    name = random.choice(CONTROL_NAMES)
    yield Step(at, what, name, down, "", random.random())
    later = at + random.uniform(0, 2)
    yield Step(later, "stop", random.choice(ENTRY_NAMES), STOP_DOWN_SECONDS)


def _end_servers(random: Random, at: float) -> Iterator[Step]:
    """Let servers crash, turn slow and leave, and stop a node."""
    for what in ("crash", "slow", "leave"):
        length = random.uniform(*DOWN_SECONDS)
        later = at + random.uniform(0, 2)
        yield Step(later, what, random.choice(SERVER_NAMES), length)
    yield Step(at + 1, "stop", random.choice(ENTRY_NAMES), STOP_DOWN_SECONDS)


def _kill_all(random: Random, at: float) -> Iterator[Step]:
    """Kill all control nodes, or all nodes, at the same moment."""
    for name in random.choice([CONTROL_NAMES, NODE_NAMES]):
        yield Step(at, "kill", name, random.uniform(*HERD_DOWN_SECONDS))


SCENES: Final[tuple[Scene, ...]] = (
    _roll,
    _roll,
    _roll_control,
    _stop_in_election,
    _kill_in_drain,
    _change_in_restart,
    _freeze,
    _disturb_ways,
    _lose_disk,
    _end_servers,
    _kill_all,
)
