"""Scenarios run on real daemons, and their histories are checked."""

from __future__ import annotations

from pathlib import Path

import pytest

from dragonflyrock.trial.scenario import (
    ScenarioError,
    ScenarioResult,
    ScenarioStalledError,
    parse_scenario,
    run_scenario,
)

from ..common import find_free_port_block

FOLDER = Path(__file__).parents[2] / "scenarios"
MAX_RUNS = 3
SCRIPTS = sorted(FOLDER.glob("*.scn"))


# Guards against any violation of the guarantees on real daemons under the faults of a
# scenario.
@pytest.mark.parametrize("script", SCRIPTS, ids=lambda path: path.stem)
def test_a_scenario_holds_every_guarantee(script: Path, tmp_path: Path) -> None:
    result = run(script.read_text(), tmp_path)
    assert not result.violations, result.violations[:5]


def run(text: str, folder: Path) -> ScenarioResult:
    """Run a script; run it again if the machine stalled a daemon meanwhile.

    The history of every completed run is checked. Only a run that fails while a
    daemon has logged a stall is repeated.
    """
    for attempt in range(MAX_RUNS - 1):
        try:
            return run_scenario(text, folder / str(attempt), find_free_port_block())
        except ScenarioStalledError as error:
            print(f"repeated after a stall: {error}")
    return run_scenario(text, folder / "last", find_free_port_block())


# Guards against an error in a script that does not name its line.
def test_a_script_with_an_error_names_the_line() -> None:
    with pytest.raises(ScenarioError, match="line 2"):
        parse_scenario("fleet hosts 1 voters 1 servers 1\nexplode host-1\n", 9000)
