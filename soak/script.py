"""Scripts of faults, drawn from a seed; a seed always gives the same script."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from random import Random
from typing import Final, NamedTuple

from . import const

Range = tuple[float, float]

GROUP_INTERVAL_SECONDS: Final[Range] = (1.5, 3.0)
CUT_OR_FREEZE_SECONDS: Final[Range] = (0.3, 3.0)
ISOLATION_SECONDS: Final[Range] = (8.0, 8.0)
EVACUATION_SECONDS: Final[Range] = (7.0, 9.0)
FAULT_SECONDS: Final[Range] = (0.2, 2.0)
SHORT_FAULT_SECONDS: Final[Range] = (0.2, 0.8)
ADDED_DELAY_SECONDS: Final[Range] = (0.02, 0.3)
NO_GAP: Final[Range] = (0.0, 0.0)
ONE_SOURCE_SHARE: Final = 0.6
# How long a control node is parted from the others before they are lost too.
PARTED_SECONDS: Final[Range] = (2.0, 5.5)
HEALED_LATE_SECONDS: Final[Range] = (0.0, 1.5)
# Until the log holds enough entries for the first snapshot, or the second.
MANY_CHANGES_SECONDS: Final[Range] = (18.0, 36.0)
STARTED_LATE_SECONDS: Final[Range] = (0.2, 0.8)
# From the start of a process to the first instruction of its own.
PROCESS_START_SECONDS: Final = 0.1
# A lost control node counts as lost until this time after it is back.
CATCH_UP_SECONDS: Final = 4.0
VARIANT_SHARE: Final = 0.4
CONTROL: Final = [f"control-{n + 1}" for n in range(const.CONTROL_NODE_COUNT)]
ENTRY: Final = [f"entry-{n + 1}" for n in range(const.ENTRY_NODE_COUNT)]
SERVERS: Final = [f"server-{n + 1}" for n in range(const.SERVER_COUNT)]
NODES: Final = CONTROL + ENTRY
PROXY_TARGETS: Final = [*NODES, *SERVERS, *(f"{name}/link" for name in NODES)]
SAME_TARGET: Final[list[str]] = []
DISK_LOSSES: Final = ("wipe", "flip")


class Step(NamedTuple):
    """A fault on a target, ``at`` seconds after the start, for ``length`` seconds.

    ``source`` limits a cut to the connections from one node or role; empty is all.
    ``value`` is a delay in seconds, a direction (0 to the target, 1 back, 2 both), or a
    position in a file as a share of its length.
    """

    at: float
    what: str
    target: str
    length: float = 0.0
    source: str = ""
    value: float = 0.0


class FaultSpec(NamedTuple):
    """A fault of a group, which starts up to ``max_delay`` seconds after the group.

    Its target is one of the candidates, or the previous fault's target if there are
    none. With a ``gap`` it affects all candidates in turn, this many seconds apart.
    "isolate" stands for a random kind of isolation, of one to all but one candidates.
    """

    what: str
    candidates: Sequence[str]
    max_delay: float = 0.0
    length: Range = (0.5, 0.5)
    gap: Range | None = None


ROLLING_RESTART: Final = (
    FaultSpec("stop", ENTRY, gap=(0.8, 2.0)),
    FaultSpec("cut", PROXY_TARGETS, 5.0, CUT_OR_FREEZE_SECONDS),
)
ISOLATION: Final = (FaultSpec("isolate", ENTRY, 0, ISOLATION_SECONDS, NO_GAP),)
LATER_STOP: Final = FaultSpec("stop", ENTRY, 2.0)
FAULT_GROUPS: Final[tuple[tuple[FaultSpec, ...], ...]] = (
    # A rolling restart of all entry nodes during a cut, and one of the control nodes.
    ROLLING_RESTART,
    ROLLING_RESTART,
    (FaultSpec("stop", CONTROL, gap=(1.0, 2.5)),),
    # A stop during an election.
    (
        FaultSpec("kill", CONTROL, 0, FAULT_SECONDS),
        FaultSpec("stop", ENTRY, 0.8),
        FaultSpec("stop", CONTROL, 1),
    ),
    # A killed node while a server drains.
    (FaultSpec("leave", SERVERS), FaultSpec("kill", NODES, 2.5, FAULT_SECONDS)),
    # Changed settings or SIGHUP during a restart.
    (
        FaultSpec("stop", ENTRY),
        FaultSpec("hup", SAME_TARGET, 2),
        FaultSpec("hup", NODES, 2),
    ),
    (
        FaultSpec("kill", NODES, 0, FAULT_SECONDS),
        FaultSpec("change", SAME_TARGET, 2),
        FaultSpec("hup", NODES, 2),
    ),
    # A stop or kill of the frozen node or another one.
    (
        FaultSpec("freeze", NODES, 0, CUT_OR_FREEZE_SECONDS),
        FaultSpec("stop", NODES, 1, FAULT_SECONDS),
    ),
    (
        FaultSpec("freeze", NODES, 0, CUT_OR_FREEZE_SECONDS),
        FaultSpec("kill", NODES, 1, FAULT_SECONDS),
    ),
    # Entry nodes that are cut off from all servers.
    ISOLATION,
    ISOLATION,
    # Several network faults at the same time.
    (
        *(FaultSpec("cut", PROXY_TARGETS, 2, CUT_OR_FREEZE_SECONDS),) * 3,
        *(
            FaultSpec(what, PROXY_TARGETS, 2, FAULT_SECONDS)
            for what in ("delay", "reset", "half")
        ),
    ),
    # A lost or damaged disk of a control node, and a stop.
    *((FaultSpec(what, CONTROL, 0, FAULT_SECONDS), LATER_STOP) for what in DISK_LOSSES),
    # Servers that crash, slow down and leave, and a stop.
    (
        *(
            FaultSpec(what, SERVERS, 2, FAULT_SECONDS)
            for what in ("crash", "slow", "leave")
        ),
        LATER_STOP,
    ),
    # Servers that want pauses, while one leaves.
    (
        FaultSpec("pause", SERVERS, 1, (1.0, 3.0)),
        FaultSpec("pause", SERVERS, 2, (1.0, 3.0)),
        FaultSpec("leave", SERVERS, 1),
    ),
    # Servers that name a limit, while nodes stop, fail or are cut from one another.
    (
        FaultSpec("limit", SERVERS, 0, (6.0, 9.0)),
        FaultSpec("limit", SERVERS, 1, (6.0, 9.0)),
        FaultSpec("kill", ENTRY, 6, FAULT_SECONDS),
        FaultSpec("stop", ENTRY, 6),
        FaultSpec("cut", [f"{name}/link" for name in ENTRY], 6, CUT_OR_FREEZE_SECONDS),
    ),
    # Servers that answer without end, and a stop.
    (
        FaultSpec("endless", SERVERS, 0, FAULT_SECONDS),
        FaultSpec("endless", SERVERS, 1, FAULT_SECONDS),
        LATER_STOP,
    ),
    # All control nodes, or all nodes, killed at the same moment.
    (FaultSpec("kill", CONTROL, 0, SHORT_FAULT_SECONDS, NO_GAP),),
    (FaultSpec("kill", NODES, 0, SHORT_FAULT_SECONDS, NO_GAP),),
)


def make_evacuations(seed: int, seconds: float) -> tuple[Step, ...]:
    """Return the evacuations of a seed, beside its script of faults.

    They have random numbers of their own, so that scripts stay as they were.
    """
    random = Random(f"evacuations of {seed}")
    zone, at = random.choice(const.ZONES), random.uniform(0.5, 2.0)
    length = random.uniform(*EVACUATION_SECONDS)
    return (Step(at, "evacuate", zone, min(length, seconds)),)


def make_control_cuts(seed: int, seconds: float) -> tuple[Step, ...]:
    """Return partings of a control node, in each of which the others are lost too.

    They are a script of their own, as no other machine may be lost meanwhile.
    """
    random = Random(f"control cuts of {seed}")
    rush = Step(0.0, "rush", "control", random.uniform(*MANY_CHANGES_SECONDS))
    steps = [rush] if random.random() < 0.5 else []
    at, parted = random.uniform(1.0, 3.0), random.choice(CONTROL)
    while at < seconds:
        parting = random.choice(const.PARTINGS)
        source, direction = random.choice(["", "control"]), random.choice([0, 1, 2, 2])
        wiped, killed = random.sample([n for n in CONTROL if n != parted], 2)
        wiped_at = at + random.uniform(*PARTED_SECONDS)
        killed_at = wiped_at + random.uniform(*SHORT_FAULT_SECONDS)
        wipe = Step(wiped_at, "wipe", wiped, random.uniform(*FAULT_SECONDS))
        kill = Step(killed_at, "kill", killed, random.uniform(*SHORT_FAULT_SECONDS))
        back_at = max(step.at + step.length for step in (wipe, kill))
        healed_at = random.choice(
            [
                random.uniform(killed_at, back_at),
                back_at,
                back_at + random.uniform(*HEALED_LATE_SECONDS),
            ]
        )
        steps.append(Step(at, parting, parted, healed_at - at, source, direction))
        steps += [*_vary_loss(random, wipe), *_vary_loss(random, kill)]
        at = max(back_at, healed_at) + CATCH_UP_SECONDS
        steps.append(Step(at, "await", "control"))
        parted = random.choice(CONTROL)
        if random.random() < VARIANT_SHARE:
            wipe = Step(at, "wipe", parted, random.uniform(*FAULT_SECONDS))
            steps += _vary_loss(random, wipe)
            at += wipe.length + CATCH_UP_SECONDS
    return tuple(sorted(step for step in steps if step.at < seconds))


def _vary_loss(random: Random, loss: Step) -> Iterator[Step]:
    """Return a loss, whose machine may send no sign of its end and start slowly."""
    if random.random() < VARIANT_SHARE:
        yield loss._replace(what="dark", value=2)
    yield loss
    if random.random() < VARIANT_SHARE:
        at = loss.at + loss.length + PROCESS_START_SECONDS
        yield Step(at, "freeze", loss.target, random.uniform(*STARTED_LATE_SECONDS))


def make_script(seed: int, seconds: float) -> tuple[Step, ...]:
    """Return the faults of a seed in the order of their times.

    Random calls and their arguments must keep their order: otherwise a seed would
    give another script.
    """
    random = Random(seed)
    steps: list[Step] = []
    at, groups = 0.5, list(FAULT_GROUPS)
    while at < seconds:
        group = random.choice(groups)
        steps += _draw_group(random, at, group)
        if group[0].what in DISK_LOSSES:
            # A control group of three voters may lose only one disk.
            groups = [other for other in groups if other[0].what not in DISK_LOSSES]
        at += random.uniform(*GROUP_INTERVAL_SECONDS)
    return tuple(sorted(step for step in steps if step.at < seconds))


def _draw_group(
    random: Random, at: float, group: tuple[FaultSpec, ...]
) -> Iterator[Step]:
    """Return the steps of a group that begins at a time."""
    target = ""
    for what, candidates, max_delay, length, gap in group:
        targets = [random.choice(candidates)] if candidates else [target]
        if gap is not None:
            targets = random.sample(candidates, len(candidates))
        kind = what
        if what == "isolate":
            kind = random.choice(const.ISOLATIONS)
            targets = targets[: random.randint(1, len(targets) - 1)]
        first, spacing = (
            at + random.uniform(0, max_delay),
            random.uniform(*gap or NO_GAP),
        )
        for number, target in enumerate(targets):
            start, duration = first + number * spacing, random.uniform(*length)
            source, value = _draw_source(random, target), random.random()
            if what == "cut":
                value = random.randint(0, 2)
            elif what == "delay":
                value = random.uniform(*ADDED_DELAY_SECONDS)
            yield Step(
                start, kind, target, duration, source if what == "cut" else "", value
            )


def _draw_source(random: Random, target: str) -> str:
    """Return the source whose connections are cut, or an empty text for all."""
    if random.random() < ONE_SOURCE_SHARE:
        if target.endswith("/link"):
            return random.choice(NODES)
        if target in SERVERS:
            return random.choice(["control", "entry"])
    return ""
