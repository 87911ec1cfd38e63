"""Play seeds, and print what breaks a check."""

from __future__ import annotations

import argparse
import sys
import tomllib
from pathlib import Path
from typing import Final, NamedTuple

from . import const
from .history import merge_time_line
from .run import Result, play
from .script import Step, make_script

REGRESSIONS: Final = Path(__file__).parent / "seeds.toml"
SHOWN_VIOLATIONS: Final = 3


class Regression(NamedTuple):
    """A script that once failed, and whether CI plays it."""

    name: str
    seed: int
    cause: str
    ci: bool
    steps: tuple[Step, ...]


def list_regressions() -> list[Regression]:
    """Return every script that ever failed."""
    table = tomllib.loads(REGRESSIONS.read_text(encoding="utf-8"))
    return [
        Regression(**entry | {"steps": tuple(Step(*step) for step in entry["steps"])})
        for entry in table["regression"]
    ]


def parse(words: list[str]) -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="play one seed")
    parser.add_argument("--seeds", help="play several", metavar="A-B")
    parser.add_argument("--regressions", action="store_true", help="seeds that failed")
    parser.add_argument("--seconds", type=float, default=const.DEFAULT_SCRIPT_SECONDS)
    parser.add_argument("--keep", type=Path, help="folder for the logs of failures")
    return parser.parse_args(words)


def _list_scripts(options: argparse.Namespace) -> list[tuple[int, tuple[Step, ...]]]:
    """Return the seeds to play, with their scripts."""
    if options.regressions:
        return [(entry.seed, entry.steps) for entry in list_regressions()]
    first, _, last = (options.seeds or str(options.seed)).partition("-")
    numbers = range(int(first), int(last or first) + 1)
    return [(number, make_script(number, options.seconds)) for number in numbers]


def _report_progress(line: str) -> None:
    """Show a line of progress on a terminal."""
    if sys.stderr.isatty():
        print(f"\r{line}\x1b[K", end="", file=sys.stderr, flush=True)


def print_failure(result: Result) -> None:
    """Print the script, the broken checks and their time lines."""
    print(f"seed {result.seed}: script of faults")
    for step in result.script:
        print(f"  {step.at:7.3f}  {step.what} {step.target} {step[3:]}")
    for violation in result.violations[:SHOWN_VIOLATIONS]:
        print(f"seed {result.seed}: {violation.check} at {violation.at:.3f} s:")
        print(f"  {violation.detail} {violation.subjects}")
        for line in merge_time_line(result.events, violation):
            print(f"  {line}")
    print(f"seed {result.seed}: logs in {result.folder}")


def format_row(result: Result) -> str:
    """Return a seed's line of the table."""
    checks = sorted({violation.check for violation in result.violations})
    outcome = "failed " + ",".join(checks) if checks else "passed"
    took = result.events[-1].at if result.events else 0.0
    counts = [f"{result.count(how):5} {how}" for how in ("answered", "broken", "left")]
    steps = f"{len(result.script):3} steps"
    return f"{result.seed:6}  {took:5.1f} s  {steps} {' '.join(counts)}  {outcome}"


def main(words: list[str]) -> int:
    """Play the seeds that the command line names; return 1 if one failed."""
    options = parse(words)
    rows, failed = [], 0
    for seed, script in _list_scripts(options):
        result = play(seed, script, options.keep, _report_progress)
        _report_progress("")
        if result.violations:
            failed += 1
            print_failure(result)
        rows.append(format_row(result))
        print(rows[-1], flush=True)
    print(f"{len(rows) - failed} passed, {failed} failed")
    if len(rows) > 1:
        print("\n".join(rows))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
