"""Tests of the ports that tests use."""

from __future__ import annotations

from itertools import count

import pytest

from . import common


# Guards against two suites that start at the same time, take the same ports and call
# each other's daemons.
def test_a_block_that_another_suite_found_is_not_taken(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    blocks = set()
    for _ in range(3):
        # Another process would also begin with the first block.
        monkeypatch.setattr(common, "_BLOCK_NUMBERS", count())
        blocks.add(common.find_free_port_block())
    assert len(blocks) == 3
