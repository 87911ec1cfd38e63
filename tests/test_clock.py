"""The clock of the runtime."""

from __future__ import annotations

import inspect
import time

import pytest

from dragonflyrock.clock import read_clock
from dragonflyrock.node.control import ControlNode
from dragonflyrock.node.entry import EntryNode


# Guards against a node that wakes from suspension with a lease that others know has
# expired: a leader would go on granting keys that have a new owner.
@pytest.mark.parametrize("node", [ControlNode, EntryNode])
def test_nodes_count_the_time_of_a_suspension(
    node: type, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert inspect.signature(node).parameters["clock"].default is read_clock
    monkeypatch.setattr(time, "monotonic", lambda: 5.0)
    seconds = {time.CLOCK_BOOTTIME: 25.0}
    monkeypatch.setattr(time, "clock_gettime", seconds.__getitem__)
    assert read_clock() == 25.0
