"""Short soaks of the real programs, and every script that ever failed."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest
from soak.__main__ import Regression, list_regressions
from soak.context import RunContext
from soak.history import History, merge_time_line
from soak.layout import reserve_network
from soak.models import Ended
from soak.processes import NodeProcess
from soak.run import Result, play
from soak.script import make_script

SEEDS = (101, 126)
SECONDS = 12.0
IMPORT_SECONDS = 0.1
END_SECONDS = 1.0


def explain(result: Result) -> str:
    """Return the time lines of what broke."""
    lines = []
    for violation in result.violations:
        lines += [str(violation), *merge_time_line(result.events, violation)]
    return "\n".join(lines)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_short_soak_breaks_no_check(seed: int, tmp_path: Path) -> None:
    result = play(seed, make_script(seed, SECONDS), tmp_path, print)
    assert not result.violations, explain(result)
    assert result.count("answered") > 0


@pytest.mark.parametrize(
    "entry", [one for one in list_regressions() if one.ci], ids=lambda one: one.name
)
def test_a_script_that_once_failed_breaks_no_check(
    entry: Regression, tmp_path: Path
) -> None:
    result = play(entry.seed, entry.steps, tmp_path, print)
    assert not result.violations, explain(result)


def test_a_node_that_starts_is_not_ended_by_sighup(tmp_path: Path) -> None:
    """Guard against a settings change that ends a process while it starts."""
    history = History()

    async def run() -> None:
        layout, reservation = reserve_network()
        spec = layout.list_role("entry")[0]
        node = NodeProcess(RunContext(layout, history, tmp_path, 1), spec)
        await node.start()
        await asyncio.sleep(IMPORT_SECONDS)
        node.send_signal(signal.SIGHUP)
        await asyncio.sleep(END_SECONDS)
        await node.kill()
        reservation.close()

    asyncio.run(run())
    ends = [one.record for one in history.events if isinstance(one.record, Ended)]
    assert [end.killed for end in ends] == [True]
