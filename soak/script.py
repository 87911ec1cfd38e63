"""The script of faults, drawn from a seed; the same seed gives the same script."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from random import Random
from typing import Final, NamedTuple

from . import const

Span = tuple[float, float]

SCENE_SECONDS: Final[Span] = (1.5, 3.0)
CUT: Final[Span] = (0.3, 3.0)
DOWN: Final[Span] = (0.2, 2.0)
HERD: Final[Span] = (0.2, 0.8)
DELAY: Final[Span] = (0.02, 0.3)
AT_ONCE: Final[Span] = (0.0, 0.0)
SOURCE_SHARE: Final = 0.6
CONTROL: Final = [f"control-{n + 1}" for n in range(const.CONTROL_NODES)]
ENTRY: Final = [f"entry-{n + 1}" for n in range(const.ENTRY_NODES)]
SERVERS: Final = [f"server-{n + 1}" for n in range(const.SERVERS)]
NODES: Final = CONTROL + ENTRY
WAYS: Final = [*NODES, *SERVERS, *(f"{name}/link" for name in NODES)]
SAME: Final[list[str]] = []
DISK_LOSSES: Final = ("wipe", "flip")


class Step(NamedTuple):
    """A fault: what, on whom, for how long, and for a cut between whom.

    ``value`` is a delay in seconds, a direction (0 forward, 1 back, 2 both), or a
    position in a file.
    """

    at: float
    what: str
    target: str
    length: float = 0.0
    source: str = ""
    value: float = 0.0


class Part(NamedTuple):
    """A fault of a scene, up to ``later`` seconds after the scene begins.

    It strikes one of ``pool``, or where there is none the last target again; with a
    ``gap`` it strikes all of them in turn, so far apart.
    """

    what: str
    pool: Sequence[str]
    later: float = 0.0
    length: Span = (0.5, 0.5)
    gap: Span | None = None


ROLL: Final = (Part("stop", ENTRY, gap=(0.8, 2.0)), Part("cut", WAYS, 5.0, CUT))
STOP_LATER: Final = Part("stop", ENTRY, 2.0)
SCENES: Final[tuple[tuple[Part, ...], ...]] = (
    # A roll over all hosts with a cut in it, and one over the control nodes.
    ROLL,
    ROLL,
    (Part("stop", CONTROL, gap=(1.0, 2.5)),),
    # A stop during an election.
    (
        Part("kill", CONTROL, 0, DOWN),
        Part("stop", ENTRY, 0.8),
        Part("stop", CONTROL, 1),
    ),
    # A kill while a server drains.
    (Part("leave", SERVERS), Part("kill", NODES, 2.5, DOWN)),
    # Changed settings during a restart.
    (Part("stop", ENTRY), Part("hup", SAME, 2), Part("hup", NODES, 2)),
    (Part("kill", NODES, 0, DOWN), Part("change", SAME, 2), Part("hup", NODES, 2)),
    # A stop or kill during a freeze, of the same node or another one.
    (Part("freeze", NODES, 0, CUT), Part("stop", NODES, 1, DOWN)),
    (Part("freeze", NODES, 0, CUT), Part("kill", NODES, 1, DOWN)),
    # Several ways disturbed at once.
    (
        *(Part("cut", WAYS, 2, CUT),) * 3,
        *(Part(what, WAYS, 2, DOWN) for what in ("delay", "reset", "half")),
    ),
    # A lost or damaged disk, and a stop.
    *((Part(what, CONTROL, 0, DOWN), STOP_LATER) for what in DISK_LOSSES),
    # Servers that end and slow down, and a stop.
    (
        *(Part(what, SERVERS, 2, DOWN) for what in ("crash", "slow", "leave")),
        STOP_LATER,
    ),
    # All control nodes, or all nodes, killed at the same moment.
    (Part("kill", CONTROL, 0, HERD, AT_ONCE),),
    (Part("kill", NODES, 0, HERD, AT_ONCE),),
)


def make_script(seed: int, seconds: float) -> tuple[Step, ...]:
    """Return the faults of a seed in the order of their times."""
    random = Random(seed)
    steps: list[Step] = []
    at, scenes = 0.5, list(SCENES)
    while at < seconds:
        scene = random.choice(scenes)
        steps += _draw_scene(random, at, scene)
        if scene[0].what in DISK_LOSSES:
            # No more disks are lost than may be lost.
            scenes = [one for one in scenes if one[0].what not in DISK_LOSSES]
        at += random.uniform(*SCENE_SECONDS)
    return tuple(sorted(step for step in steps if step.at < seconds))


def _draw_scene(random: Random, at: float, scene: tuple[Part, ...]) -> Iterator[Step]:
    """Return the steps of a scene that begins at a time."""
    last = ""
    for what, pool, later, length, gap in scene:
        targets = [random.choice(pool)] if pool else [last]
        if gap is not None:
            targets = random.sample(pool, len(pool))
        begin, apart = at + random.uniform(0, later), random.uniform(*gap or AT_ONCE)
        for number, last in enumerate(targets):
            when, lasts = begin + number * apart, random.uniform(*length)
            source, value = _draw_source(random, last), random.random()
            if what == "cut":
                value = random.randint(0, 2)
            elif what == "delay":
                value = random.uniform(*DELAY)
            yield Step(when, what, last, lasts, source if what == "cut" else "", value)


def _draw_source(random: Random, target: str) -> str:
    """Return from whom a way is cut, or nobody where it is from all."""
    if random.random() < SOURCE_SHARE:
        if target.endswith("/link"):
            return random.choice(NODES)
        if target in SERVERS:
            return random.choice(["control", "entry"])
    return ""
