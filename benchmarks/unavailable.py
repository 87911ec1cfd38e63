"""Longest outage that callers see in each scenario.

``python -m benchmarks.unavailable [--repeat 3]``
"""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

import defopt

from dragonflyrock.trial.scenario import run_scenario

SCENARIO_FOLDER = Path(__file__).parents[1] / "scenarios"
SCENARIO_NAMES = (
    "freeze-and-return",
    "server-and-leader",
    "leader-killed",
    "leader-isolated",
    "planned-stop",
    "rolling-restart",
    "crashing-request",
)
FIRST_PORT = 31_000


def run_unavailable(*, repeat: int = 3) -> int:
    """Print the longest time during which the calls of a key failed.

    :param repeat: count of runs of each scenario
    """
    print("scenario            calls  failed  unavailable s  violations")
    for name in SCENARIO_NAMES:
        for seed in range(repeat):
            with tempfile.TemporaryDirectory() as folder:
                text = (SCENARIO_FOLDER / f"{name}.scn").read_text()
                result = run_scenario(text, Path(folder), FIRST_PORT, seed)
            print(
                f"{name:18}  {result.calls:5}  {result.failed:6}"
                f"  {result.longest_outage_seconds:13.2f}  {len(result.violations):10}",
                flush=True,
            )
    return 0


if __name__ == "__main__":
    sys.exit(defopt.run(run_unavailable))
