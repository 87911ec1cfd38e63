"""Scripts of faults are drawn from their seeds alone."""

from __future__ import annotations

from soak.__main__ import list_regressions, main, parse
from soak.script import make_script

SECONDS = 12.0


def test_a_seed_gives_the_same_script_again() -> None:
    assert make_script(7, SECONDS) == make_script(7, SECONDS)
    assert make_script(7, SECONDS) != make_script(8, SECONDS)


def test_steps_come_in_order_and_within_the_time() -> None:
    for seed in range(200):
        times = [step.at for step in make_script(seed, SECONDS)]
        assert times == sorted(times)
        assert times and times[0] > 0 and times[-1] < SECONDS


def test_no_more_disks_are_lost_than_may_be_lost() -> None:
    for seed in range(200):
        lost = [s for s in make_script(seed, SECONDS) if s.what in ("wipe", "flip")]
        assert len(lost) <= 1


def test_all_kinds_of_faults_come_up() -> None:
    kinds = {step.what for seed in range(60) for step in make_script(seed, SECONDS)}
    assert kinds == {
        *("stop", "kill", "freeze", "hup", "change", "wipe", "flip"),
        *("cut", "delay", "half", "reset", "leave", "crash", "slow"),
    }


def test_every_regression_has_a_cause() -> None:
    for entry in list_regressions():
        assert entry.cause
        assert entry.steps


def test_a_range_of_seeds_is_read() -> None:
    assert parse(["--seeds", "3-9"]).seeds == "3-9"
    assert callable(main)
