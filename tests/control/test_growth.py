"""Tests of how the work of a leader grows with the servers that own keys."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from types import FrameType
from typing import Any

import pytest
from benchmarks.leading import Fleet

from dragonflyrock.models import GrantedBy

SOURCES = str(Path(sys.modules["dragonflyrock"].__path__[0]))
FEW, MANY = 40, 320


class LineCount:
    """The number of lines of the product that were executed."""

    def __init__(self) -> None:
        """Start at zero."""
        self.lines = 0

    def trace(self, frame: FrameType, event: str, _argument: object) -> Any:
        """Count a line; skip frames of other code."""
        if not frame.f_code.co_filename.startswith(SOURCES):
            return None
        self.lines += event == "line"
        return self.trace


@contextmanager
def counted() -> Iterator[LineCount]:
    """Count the lines of the product that are executed meanwhile."""
    count = LineCount()
    before = sys.gettrace()
    sys.settrace(count.trace)
    try:
        yield count
    finally:
        sys.settrace(before)


def divide(fleet: Fleet) -> None:
    """Let the leader divide the keys."""
    fleet.now += 5.0
    fleet.announce()
    fleet.tick()


def serve(fleet: Fleet) -> None:
    """Let the leader renew all holds."""
    divide(fleet)
    fleet.run(2.0)


def lose_a_tenth(fleet: Fleet) -> None:
    """Let the leader give the keys of a tenth of the servers to others."""
    divide(fleet)
    fleet.end_servers()
    fleet.tick()


# Guards against a leader of a large fleet that is busy for seconds and loses its lease,
# because a step looks at each pair of servers: eight times as many servers are then
# sixty-four times the work. Sorting, and the idlest of all servers for each lost one,
# may add to the eightfold.
@pytest.mark.parametrize("granted_by", list(GrantedBy))
@pytest.mark.parametrize("step", [divide, serve, lose_a_tenth])
def test_work_of_a_leader_grows_with_the_number_of_servers(
    step: Callable[[Fleet], None], granted_by: GrantedBy
) -> None:
    lines = []
    for servers in (FEW, MANY):
        fleet = Fleet(servers, granted_by)
        fleet.announce()
        with counted() as count:
            step(fleet)
        lines.append(count.lines)
    growth = lines[1] / lines[0]
    assert growth < 2 * MANY / FEW, f"{lines[0]} lines, then {lines[1]}"
