"""Tests of the fault scripts and of the command line."""

from __future__ import annotations

from itertools import pairwise, product

import pytest
from soak.__main__ import list_regressions, main, parse_arguments
from soak.const import ENTRY_NODE_COUNT, ISOLATIONS, PARTINGS
from soak.script import CATCH_UP_SECONDS, CONTROL, make_control_cuts, make_script

SECONDS = 12.0


# Guards against a failed script that cannot be repeated by its seed.
def test_seed_always_gives_same_script() -> None:
    assert make_script(7, SECONDS) == make_script(7, SECONDS)
    assert make_script(7, SECONDS) != make_script(8, SECONDS)


# Guards against steps that are played late or not at all.
def test_steps_are_ordered_and_within_duration() -> None:
    for seed in range(200):
        times = [step.at for step in make_script(seed, SECONDS)]
        assert times == sorted(times)
        assert times and times[0] > 0 and times[-1] < SECONDS


# Guards against the loss of two disks of a control group, which it need not tolerate.
def test_script_loses_at_most_one_disk() -> None:
    for seed in range(200):
        lost = [s for s in make_script(seed, SECONDS) if s.what in ("wipe", "flip")]
        assert len(lost) <= 1


# Guards against a control node that is lost before the last one has caught up.
def test_control_cuts_lose_one_disk_until_it_has_caught_up() -> None:
    for seed in range(200):
        script = make_control_cuts(seed, 60.0)
        wipes = [step for step in script if step.what == "wipe"]
        for wipe, later in pairwise(wipes):
            assert wipe.at + wipe.length + CATCH_UP_SECONDS <= later.at
        for wipe in wipes:
            during = [
                step
                for step in script
                if step.what in (*PARTINGS, "kill")
                and step.at <= wipe.at + wipe.length
                and wipe.at <= step.at + step.length
            ]
            assert wipe.target not in {step.target for step in during}


# Guards against cuts of one control node, or of one kind, only.
def test_control_cuts_contain_all_kinds_of_cuts() -> None:
    steps = [step for seed in range(100) for step in make_control_cuts(seed, 60.0)]
    cuts = {(s.what, s.target, s.source, s.value) for s in steps if s.what in PARTINGS}
    sources = ("", "control")
    assert cuts == set(product(PARTINGS, CONTROL, sources, (0, 1, 2)))
    assert {"rush", "wipe", "kill", "dark", "freeze"} <= {step.what for step in steps}


# Guards against a kind of fault that no seed plays.
def test_scripts_contain_all_kinds_of_faults() -> None:
    kinds = {step.what for seed in range(60) for step in make_script(seed, SECONDS)}
    assert kinds == {
        *("stop", "kill", "freeze", "hup", "change", "wipe", "flip"),
        *(
            "cut",
            "delay",
            "half",
            "reset",
            "leave",
            "crash",
            "slow",
            "pause",
            "limit",
            "endless",
            "hang",
            "drop",
            "refuse",
        ),
    }


# Guards against a regression without its cause or without steps.
def test_every_regression_has_cause_and_steps() -> None:
    for entry in list_regressions():
        assert entry.cause
        assert entry.steps


# Guards against a range of seeds that is rejected as not a number.
def test_command_line_accepts_seed_range() -> None:
    assert parse_arguments(["--seeds", "3-9"]).seeds == "3-9"
    assert callable(main)


# Guards against an isolation of all entry nodes, or one that no seed plays on several.
def test_isolation_leaves_one_entry_node_connected() -> None:
    counts = set()
    for seed in range(200):
        steps = [s for s in make_script(seed, SECONDS) if s.what in ISOLATIONS]
        counts |= {sum(s.at == step.at for s in steps) for step in steps}
    assert counts == set(range(1, ENTRY_NODE_COUNT))


# Guards against a traceback for a range of seeds that cannot be read.
@pytest.mark.parametrize("text", ["x", "-3", "3-x", ""])
def test_a_range_of_seeds_that_cannot_be_read_is_named(
    text: str, capsys: pytest.CaptureFixture[str]
) -> None:
    with pytest.raises(SystemExit):
        parse_arguments([f"--seeds={text}"])
    assert "allowed: A-B" in capsys.readouterr().err
