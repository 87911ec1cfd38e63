"""A short seeded search, and the search's own behaviour."""

from __future__ import annotations

import pytest

from tests.control.schedules import ACTIONS
from tests.search import player
from tests.search.__main__ import main
from tests.search.player import Schedule, draw_schedule, find_broken, shrink

FIRST_SEED = 20_261_204
SCHEDULE_COUNT = 60


# Guards against any drawn order of faults in which a key has two holders, or none once
# the faults are over.
@pytest.mark.parametrize("way", sorted(ACTIONS))
def test_seeded_schedules_break_no_promise(way: str) -> None:
    for seed in range(FIRST_SEED, FIRST_SEED + SCHEDULE_COUNT):
        schedule = draw_schedule(way, seed)
        assert find_broken(schedule) == (), schedule


# Guards against a broken schedule that cannot be played again.
def test_a_seed_gives_the_same_schedule() -> None:
    assert draw_schedule("call", 7) == draw_schedule("call", 7)
    assert draw_schedule("call", 7) != draw_schedule("call", 8)


# Guards against a shrunk schedule that breaks nothing, or keeps what it does not need.
def test_shrinking_keeps_what_breaks(monkeypatch: pytest.MonkeyPatch) -> None:
    def find(schedule: Schedule) -> tuple[str, ...]:
        return ("broken",) if {"cut", "leave"} <= set(schedule.actions) else ()

    monkeypatch.setattr(player, "find_broken", find)
    schedule = Schedule("call", 1, ("heat", "cut", "cool", "leave", "cut"))
    assert sorted(shrink(schedule).actions) == ["cut", "leave"]


# Guards against bad arguments that end in a traceback.
@pytest.mark.parametrize(
    "arguments", [{"way": "x"}, {"seconds": 0.0}, {"jobs": 0}, {"seed": -1}]
)
def test_bad_arguments_end_with_an_error(arguments: dict[str, object]) -> None:
    with pytest.raises(SystemExit) as raised:
        main(**arguments)  # type: ignore[arg-type]
    assert str(raised.value).startswith("search: ")
