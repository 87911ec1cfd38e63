"""Tests of reading Retry-After in servers' responses."""

from __future__ import annotations

import pytest

from dragonflyrock.http.retry_after import (
    MAX_PAUSE_SECONDS,
    UNREADABLE_PAUSE_SECONDS,
    PauseProblem,
    read_requested_pause,
)


# Guards against a value that closes a server for ever, or is ignored although the
# server wants a pause.
@pytest.mark.parametrize(
    ("values", "seconds", "problem"),
    [
        (["0"], 0.0, PauseProblem.NONE),
        ([" 2.5 "], 2.5, PauseProblem.NONE),
        ([""], UNREADABLE_PAUSE_SECONDS, PauseProblem.NOT_A_NUMBER),
        (["soon"], UNREADABLE_PAUSE_SECONDS, PauseProblem.NOT_A_NUMBER),
        (["nan"], UNREADABLE_PAUSE_SECONDS, PauseProblem.NOT_A_NUMBER),
        (
            ["Fri, 04 Dec 2026 07:00:00 GMT"],
            UNREADABLE_PAUSE_SECONDS,
            PauseProblem.NOT_A_NUMBER,
        ),
        (["-1"], UNREADABLE_PAUSE_SECONDS, PauseProblem.NEGATIVE),
        (["-inf"], UNREADABLE_PAUSE_SECONDS, PauseProblem.NEGATIVE),
        (["86400"], MAX_PAUSE_SECONDS, PauseProblem.TOO_LONG),
        (["inf"], MAX_PAUSE_SECONDS, PauseProblem.TOO_LONG),
        (["9" * 5_000], MAX_PAUSE_SECONDS, PauseProblem.TOO_LONG),
        (["1", "3", "2"], 3.0, PauseProblem.SEVERAL),
        (["0.5", "later"], UNREADABLE_PAUSE_SECONDS, PauseProblem.NOT_A_NUMBER),
    ],
)
def test_each_value_has_a_bounded_pause(
    values: list[str], seconds: float, problem: PauseProblem
) -> None:
    pause = read_requested_pause(values)
    assert pause is not None
    assert (pause.seconds, pause.problem) == (seconds, problem)


# Guards against a pause that no server has asked for.
def test_a_response_without_the_header_asks_for_no_pause() -> None:
    assert read_requested_pause([]) is None
