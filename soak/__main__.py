"""Play the fault scripts of seeds, and print the violations found."""

from __future__ import annotations

import argparse
import sys
import tomllib
from pathlib import Path
from typing import Final, NamedTuple

from . import const
from .history import merge_time_line
from .run import Result, play
from .script import Step, make_control_cuts, make_evacuations, make_script

REGRESSIONS: Final = Path(__file__).parent / "seeds.toml"
MAX_PRINTED_VIOLATIONS: Final = 3


class Regression(NamedTuple):
    """A script that once failed, its cause, and whether CI plays it."""

    name: str
    seed: int
    cause: str
    ci: bool
    steps: tuple[Step, ...]


def list_regressions() -> list[Regression]:
    """Return every script that once failed."""
    table = tomllib.loads(REGRESSIONS.read_text(encoding="utf-8"))
    return [
        Regression(**entry | {"steps": tuple(Step(*step) for step in entry["steps"])})
        for entry in table["regression"]
    ]


def parse_arguments(arguments: list[str]) -> argparse.Namespace:
    """Parse the command-line arguments."""
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="seed to play")
    parser.add_argument(
        "--seeds", type=_check_seeds, help="range of seeds to play", metavar="A-B"
    )
    parser.add_argument(
        "--regressions", action="store_true", help="play scripts that failed"
    )
    parser.add_argument("--seconds", type=float, default=const.DEFAULT_SCRIPT_SECONDS)
    parser.add_argument(
        "--granted-by",
        choices=["call", "heartbeat"],
        default="call",
        help="how servers hear of their keys",
    )
    parser.add_argument(
        "--former",
        type=Path,
        help="checkout of another version, from which nodes start in turn",
    )
    parser.add_argument(
        "--evacuate", action="store_true", help="evacuate a zone beside each script"
    )
    parser.add_argument(
        "--control-cuts",
        action="store_true",
        help="instead of each script, part a control node while the others are lost",
    )
    parser.add_argument(
        "--link-mbps",
        type=float,
        default=0.0,
        help="rate that entry nodes take for that of their links, as 2.5; 0: wide",
    )
    parser.add_argument("--keep", type=Path, help="folder for failure logs")
    return parser.parse_args(arguments)


def _check_seeds(text: str) -> str:
    """Return a range of seeds such as ``3-7``, or a single one, if it can be read."""
    first, _, last = text.partition("-")
    if not first.isdecimal() or not (last or first).isdecimal():
        raise argparse.ArgumentTypeError(f"found {text!r}; allowed: A-B, as 3-7")
    return text


def _list_scripts(options: argparse.Namespace) -> list[tuple[int, tuple[Step, ...]]]:
    """Return the seeds to play and their scripts."""
    if options.regressions:
        return [(entry.seed, entry.steps) for entry in list_regressions()]
    first, _, last = (options.seeds or str(options.seed)).partition("-")
    numbers = range(int(first), int(last or first) + 1)
    make = make_control_cuts if options.control_cuts else make_script
    scripts = [(number, make(number, options.seconds)) for number in numbers]
    if not options.evacuate:
        return scripts
    return [
        (number, tuple(sorted(script + make_evacuations(number, options.seconds))))
        for number, script in scripts
    ]


def _report_progress(line: str) -> None:
    """Show a line of progress if standard error is a terminal."""
    if sys.stderr.isatty():
        print(f"\r{line}\x1b[K", end="", file=sys.stderr, flush=True)


def print_failure(result: Result) -> None:
    """Print the script, the first violations and their time lines."""
    print(f"seed {result.seed}: script of faults")
    for step in result.script:
        print(f"  {step.at:7.3f}  {step.what} {step.target} {step[3:]}")
    for violation in result.violations[:MAX_PRINTED_VIOLATIONS]:
        print(f"seed {result.seed}: {violation.check} at {violation.at:.3f} s:")
        print(f"  {violation.detail} {violation.subjects}")
        for line in merge_time_line(result.events, violation):
            print(f"  {line}")
    print(f"seed {result.seed}: logs in {result.folder}")


def format_row(result: Result) -> str:
    """Return a run's line of the table."""
    checks = sorted({violation.check for violation in result.violations})
    outcome = "failed " + ",".join(checks) if checks else "passed"
    seconds = result.events[-1].at if result.events else 0.0
    counts = [f"{result.count(how):5} {how}" for how in ("answered", "broken", "left")]
    steps = f"{len(result.script):3} steps"
    return f"{result.seed:6}  {seconds:5.1f} s  {steps} {' '.join(counts)}  {outcome}"


def main(arguments: list[str]) -> int:
    """Play the seeds named on the command line; return 1 if any failed."""
    options = parse_arguments(arguments)
    if options.keep is not None:
        options.keep.mkdir(parents=True, exist_ok=True)
    table_rows, failed_count = [], 0
    for seed, script in _list_scripts(options):
        by_heartbeat = options.granted_by == "heartbeat"
        result = play(
            seed,
            script,
            options.keep,
            _report_progress,
            by_heartbeat,
            options.former,
            options.link_mbps,
        )
        _report_progress("")
        if result.violations:
            failed_count += 1
            print_failure(result)
        table_rows.append(format_row(result))
        print(table_rows[-1], flush=True)
    print(f"{len(table_rows) - failed_count} passed, {failed_count} failed")
    if len(table_rows) > 1:
        print("\n".join(table_rows))
    return 1 if failed_count else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
