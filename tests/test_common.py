"""Tests of the ports that tests use."""

from __future__ import annotations

from itertools import count
from pathlib import Path

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


# Guards against a suite with more fleets than there are blocks, which would search for
# a free block for ever.
def test_a_suite_finds_more_blocks_than_there_are() -> None:
    block_count = (common.LAST_PORT - common.FIRST_PORT) // common.BLOCK_PORT_COUNT
    for _ in range(2 * block_count):
        assert common.find_free_port_block() >= common.FIRST_PORT


# Guards against a search for ever where other programs hold every block.
def test_no_free_block_is_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(common, "_claim", lambda port: None)
    with pytest.raises(RuntimeError, match="blocks of ports is free"):
        common.find_free_port_block()


# Guards against a port that an outgoing connection of any program takes between the
# choice and the listen ("address already in use").
def test_a_single_port_is_none_of_outgoing_connections() -> None:
    text = Path("/proc/sys/net/ipv4/ip_local_port_range").read_text(encoding="ascii")
    first_outgoing = int(text.split()[0])
    ports = {common.free_port() for _ in range(200)}
    assert len(ports) == 200
    assert all(common.LAST_PORT <= port < first_outgoing for port in ports)
