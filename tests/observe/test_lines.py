"""Structured lines: bounded, never waited for, and what was dropped is told."""

from __future__ import annotations

import json
import os
from collections.abc import Iterator

import pytest

from dragonflyrock.observe import lines
from dragonflyrock.observe.lines import LineLog


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    """Return the ends of a pipe that is never read while lines are written."""
    reading, writing = os.pipe()
    yield reading, writing
    os.close(reading)
    os.close(writing)


def test_a_line_is_an_object_without_empty_texts(pipe: tuple[int, int]) -> None:
    log = LineLog("h", pipe[1], lambda: 1.5)
    log.add("request", id="x", server="", status=0)
    log.flush()
    line = json.loads(os.read(pipe[0], 4096))
    assert line == {"t": 1.5, "host": "h", "event": "request", "id": "x", "status": 0}


def test_a_reader_that_reads_nothing_holds_nothing_up(pipe: tuple[int, int]) -> None:
    log = LineLog("h", pipe[1], lambda: 1.5, blocking=False)
    for number in range(lines.MAX_WAITING_LINES * 4):
        log.add("request", id=f"{number:0100}")
        log.flush()
    assert log.dropped > 0


def test_what_was_dropped_is_told(pipe: tuple[int, int]) -> None:
    log = LineLog("h", pipe[1], lambda: 1.5)
    for number in range(lines.MAX_WAITING_LINES + 3):
        log.add("x", n=number)
    # A pipe takes 64 KiB; the lines are read as they come.
    got = b""
    os.set_blocking(pipe[1], False)
    while b"lines-dropped" not in got:
        log.flush()
        got += os.read(pipe[0], 1 << 20)
        log.add("more")
    assert b'"count":3' in got
