"""The script of faults, drawn from a seed; the same seed gives the same script."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from random import Random
from typing import Final, NamedTuple

from .const import (
    CONTROL_NODES,
    ENTRY_NODES,
    PLAIN_SERVERS,
    SHARDED_SERVERS,
)

__all__ = ["Step", "make_script"]

SCENE_SECONDS: Final = (1.5, 3.0)
DELAY_SECONDS: Final = (0.02, 0.3)
CUT_SECONDS: Final = (0.3, 3.0)
FREEZE_SECONDS: Final = (0.3, 3.0)
DOWN_SECONDS: Final = (0.2, 2.0)


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
    at = 0.5
    has_lost_disk = False
    while at < seconds:
        scene = random.choice(SCENES)
        if scene is _lose_disk:
            if has_lost_disk:
                continue
            has_lost_disk = True
        steps += scene(random, at)
        at += random.uniform(*SCENE_SECONDS)
    return tuple(sorted(step for step in steps if step.at < seconds))


def _entry(random: Random) -> str:
    """Return an entry node."""
    return f"entry-{random.randint(1, ENTRY_NODES)}"


def _control(random: Random) -> str:
    """Return a control node."""
    return f"control-{random.randint(1, CONTROL_NODES)}"


def _server(random: Random) -> str:
    """Return a server."""
    return f"server-{random.randint(1, SHARDED_SERVERS + PLAIN_SERVERS)}"


def _make_cut(random: Random, at: float) -> Step:
    """Return a cut between two nodes, or a node and a server or its callers."""
    target = random.choice(
        [_entry(random), _control(random), _server(random), f"{_control(random)}/link"]
        + [f"{_entry(random)}/link"]
    )
    source = ""
    if target.endswith("/link") and random.random() < 0.6:
        source = random.choice([_entry(random), _control(random)])
    elif target.startswith("server") and random.random() < 0.6:
        source = _entry(random)
    length = random.uniform(*CUT_SECONDS)
    return Step(at, "cut", target, length, source, random.randint(0, 2))


def _roll(random: Random, at: float) -> Iterator[Step]:
    """Stop and start all entry nodes in turn, with a cut in it."""
    gap = random.uniform(0.8, 2.0)
    names = [f"entry-{number}" for number in range(1, ENTRY_NODES + 1)]
    random.shuffle(names)
    for number, name in enumerate(names):
        yield Step(at + number * gap, "stop", name, 0.5)
    yield _make_cut(random, at + random.uniform(0, 3 * gap))


def _roll_control(random: Random, at: float) -> Iterator[Step]:
    """Stop and start all control nodes in turn."""
    gap = random.uniform(1.0, 2.5)
    for number in range(1, CONTROL_NODES + 1):
        yield Step(at + number * gap, "stop", f"control-{number}", 0.5)


def _stop_in_election(random: Random, at: float) -> Iterator[Step]:
    """Kill a control node, and stop an entry and a control node meanwhile."""
    yield Step(at, "kill", _control(random), random.uniform(*DOWN_SECONDS))
    yield Step(at + random.uniform(0, 0.8), "stop", _entry(random), 0.5)
    yield Step(at + random.uniform(0, 0.8), "stop", _control(random), 0.5)


def _kill_in_drain(random: Random, at: float) -> Iterator[Step]:
    """Let a server leave, and kill a node while it drains."""
    yield Step(at, "leave", _server(random))
    name = random.choice([_entry(random), _control(random)])
    down = random.uniform(*DOWN_SECONDS)
    yield Step(at + random.uniform(0, 2.5), "kill", name, down)


def _change_in_restart(random: Random, at: float) -> Iterator[Step]:
    """Change settings of nodes while one restarts."""
    name = _entry(random)
    yield Step(at, "stop", name, 1.0)
    yield Step(at + random.uniform(0, 2), "hup", random.choice([name, _entry(random)]))
    yield Step(at + random.uniform(0, 2), "hup", _control(random))
    yield Step(at + random.uniform(0, 2), "change", _entry(random))


def _freeze(random: Random, at: float) -> Iterator[Step]:
    """Freeze a node, and stop or kill another meanwhile."""
    name = random.choice([_entry(random), _control(random)])
    yield Step(at, "freeze", name, random.uniform(*FREEZE_SECONDS))
    other = random.choice([_entry(random), _control(random)])
    what = random.choice(["stop", "kill"])
    yield Step(at + random.uniform(0, 1), what, other, random.uniform(*DOWN_SECONDS))


def _disturb_ways(random: Random, at: float) -> Iterator[Step]:
    """Cut, delay, reset and half-send on several ways."""
    for _ in range(random.randint(2, 4)):
        yield _make_cut(random, at + random.uniform(0, 2))
    targets = [_entry(random), _server(random), _control(random)]
    for what in ("delay", "reset", "half"):
        target = random.choice([*targets, f"{_entry(random)}/link"])
        delay = random.uniform(*DELAY_SECONDS)
        yield Step(at + random.uniform(0, 2), what, target, 1.0, "", delay)


def _lose_disk(random: Random, at: float) -> Iterator[Step]:
    """Kill a control node and empty its folder, or flip a bit in its log."""
    what = random.choice(["wipe", "flip"])
    down = random.uniform(*DOWN_SECONDS)
    yield Step(at, what, _control(random), down, "", random.random())
    yield Step(at + random.uniform(0, 2), "stop", _entry(random), 0.5)


def _end_servers(random: Random, at: float) -> Iterator[Step]:
    """Let servers crash, turn slow and leave, and stop a node."""
    yield Step(at, "crash", _server(random), random.uniform(*DOWN_SECONDS))
    yield Step(at + random.uniform(0, 2), "slow", _server(random), 2.0)
    yield Step(at + random.uniform(0, 2), "leave", _server(random))
    yield Step(at + random.uniform(0, 2), "stop", _entry(random), 0.5)


def _kill_all(random: Random, at: float) -> Iterator[Step]:
    """Kill all control nodes, or all nodes, at the same moment."""
    names = [f"control-{number}" for number in range(1, CONTROL_NODES + 1)]
    if random.random() < 0.5:
        names += [f"entry-{number}" for number in range(1, ENTRY_NODES + 1)]
    for name in names:
        yield Step(at, "kill", name, random.uniform(0.2, 0.8))


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
