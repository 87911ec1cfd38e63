"""Scenarios run on real daemons, and their histories are checked."""

from __future__ import annotations

from pathlib import Path
from types import SimpleNamespace

import pytest

from dragonflyrock.trial.scenario import (
    ScenarioError,
    ScenarioResult,
    ScenarioStalledError,
    _ScenarioRun,
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
def test_a_scenario_holds_every_guarantee(
    script: Path, tmp_path: Path, quick_disk: Path
) -> None:
    result = run(script.read_text(), tmp_path, quick_disk)
    assert not result.violations, result.violations[:5]


def run(text: str, folder: Path, data_folder: Path) -> ScenarioResult:
    """Run a script; run it again if the machine stalled a daemon meanwhile.

    The history of every completed run is checked. Only a run that fails while a
    daemon has logged a stall is repeated.
    """
    for attempt in range(MAX_RUNS - 1):
        try:
            return run_once(text, folder, data_folder, str(attempt))
        except ScenarioStalledError as error:
            print(f"repeated after a stall: {error}")
    return run_once(text, folder, data_folder, "last")


def run_once(
    text: str, folder: Path, data_folder: Path, attempt: str
) -> ScenarioResult:
    """Run a script with files of its own."""
    return run_scenario(
        text,
        folder / attempt,
        find_free_port_block(),
        data_folder=data_folder / attempt,
    )


# Guards against an error in a script that does not name its line.
def test_a_script_with_an_error_names_the_line() -> None:
    with pytest.raises(ScenarioError, match="line 2"):
        parse_scenario("fleet hosts 1 voters 1 servers 1\nexplode host-1\n", 9000)


# Guards against "expect ready" that holds while a restarted host does not listen yet:
# the next call to it is refused by its port.
def test_ready_waits_for_restarted_hosts(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    listening = {0}

    def call_operators(
        method: str, path: str, body: object = None, host: int = 0
    ) -> dict[str, object]:
        if host not in listening:
            raise ConnectionRefusedError
        return {"servers": [], "moving": 0, "unowned": 0}

    script = parse_scenario("fleet hosts 2 voters 1 servers 1\nexpect ready\n", 7100)
    run = _ScenarioRun(script.plan, tmp_path, 1)
    processes = {f"host-{n}": SimpleNamespace(running=True) for n in (1, 2)}
    monkeypatch.setattr(run._fleet, "hosts", processes)
    monkeypatch.setattr(run._fleet, "call_operators", call_operators)
    run._restarted.add("host-2")
    assert not run._is_ready()
    listening.add(1)
    assert run._is_ready()
