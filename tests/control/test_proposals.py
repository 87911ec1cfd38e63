"""Proposals of a leader that are pending at the same time."""

from __future__ import annotations

from dragonflyrock.control import commands as c
from dragonflyrock.control.effects import ProposeCommand
from dragonflyrock.control.proposals import Proposals


# Guards against moves that wait forever, as their command was taken for another one
# that begins with the same part and is pending.
def test_assignments_of_other_parts_are_proposed_at_the_same_time() -> None:
    proposals = Proposals()
    first = c.RangePart(0, 9, 5, "s1@0")
    second = c.RangePart(10, 19, 5, "s2@0")
    one = c.AssignRanges("s", (first,))
    both = c.AssignRanges("s", (first, second))
    assert proposals.propose(one) == [ProposeCommand(one)]
    assert proposals.propose(both) == [ProposeCommand(both)]
    assert proposals.propose(one) == []
