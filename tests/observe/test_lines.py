"""The structured log: bounded, non-blocking, and reporting dropped lines."""

from __future__ import annotations

import json
import os
from collections.abc import Iterator

import pytest

from dragonflyrock.observe import lines
from dragonflyrock.observe.lines import LineLog


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    """Yield the read and write ends of a pipe; only the test reads from it."""
    read_end, write_end = os.pipe()
    yield read_end, write_end
    os.close(read_end)
    os.close(write_end)


# Guards against a line that is not valid JSON, or that has empty fields.
def test_line_is_json_object_without_empty_strings(pipe: tuple[int, int]) -> None:
    log = LineLog("h", pipe[1], lambda: 1.5)
    log.add("request", id="x", server="", status=0)
    log.flush()
    line = json.loads(os.read(pipe[0], 4096))
    assert line == {"t": 1.5, "host": "h", "event": "request", "id": "x", "status": 0}


# Guards against a process that blocks because nothing reads its log: it drops lines
# instead.
def test_log_does_not_block_when_nothing_is_read(pipe: tuple[int, int]) -> None:
    log = LineLog("h", pipe[1], lambda: 1.5, blocking=False)
    for number in range(lines.MAX_QUEUED_LINES * 4):
        log.add("request", id=f"{number:0100}")
        log.flush()
    assert log.dropped > 0


# Guards against dropped lines that go unnoticed: a later line reports how many there
# were.
def test_dropped_lines_are_reported(pipe: tuple[int, int]) -> None:
    log = LineLog("h", pipe[1], lambda: 1.5)
    for number in range(lines.MAX_QUEUED_LINES + 3):
        log.add("x", n=number)
    # A pipe holds 64 KiB, so reads alternate with writes.
    output = b""
    os.set_blocking(pipe[1], False)
    while b"lines-dropped" not in output:
        log.flush()
        output += os.read(pipe[0], 1 << 20)
        log.add("more")
    assert b'"count":3' in output


# Guards against a queue that holds megabytes, since callers choose texts in its lines.
def test_long_texts_in_lines_are_cut_off(pipe: tuple[int, int]) -> None:
    log = LineLog("h", pipe[1], lambda: 1.5)
    log.add("call-unreadable", path="/" + "x" * 16_000)
    log.flush()
    line = json.loads(os.read(pipe[0], 65_536))
    assert len(line["path"]) == lines.MAX_TEXT_LENGTH
