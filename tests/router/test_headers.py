"""Tests of reading responses' headers."""

from __future__ import annotations

import pytest

from dragonflyrock.http import make_response
from dragonflyrock.router import HeaderNames
from dragonflyrock.router.headers import (
    find_response_error,
    parse_cold_seconds,
    parse_load_report,
    parse_number,
)
from dragonflyrock.router.server_stats import (
    MAX_WORK_PERCENT,
    MIN_WORK_PERCENT,
    LoadReport,
)

NAMES = HeaderNames()


# Guards against a response that is refused since the request had no id to repeat, and
# against one that names an id which nobody sent.
@pytest.mark.parametrize(
    ("request_id", "echoed", "is_valid"),
    [
        (b"", None, True),
        (b"", b"", True),
        (b"", b"id-1", False),
        (b"id-1", None, False),
        (b"id-1", b"id-2", False),
        (b"id-1", b"id-1", True),
    ],
)
def test_a_response_must_repeat_the_id_of_its_request(
    request_id: bytes, echoed: bytes | None, is_valid: bool
) -> None:
    headers = () if echoed is None else ((b"X-Request-Id", echoed),)
    response = make_response(200, b"", headers)
    assert (find_response_error(response, NAMES, request_id) == "") is is_valid


# Guards against a whole report that is dropped because a server adds a fourth figure,
# and against figures that cannot be.
@pytest.mark.parametrize(
    ("value", "report"),
    [
        (b"3,0,8", LoadReport(3, 0, 8)),
        (b"3, 0, 8, 300", LoadReport(3, 0, 8, 300)),
        (b"3,0,8,300,7", LoadReport(3, 0, 8, 300)),
        (b"3,0,8,0", LoadReport(3, 0, 8, MIN_WORK_PERCENT)),
        (b"3,0,8,999999999", LoadReport(3, 0, 8, MAX_WORK_PERCENT)),
        (b"3,0", None),
        (b"3,0,8,fast", None),
        (b"3,0,8,-1", None),
        (b"3,0,8,9999999999", None),
        (b"", None),
    ],
)
def test_a_load_report_has_three_or_four_figures(
    value: bytes, report: LoadReport | None
) -> None:
    response = make_response(200, b"", ((b"X-Server-Load", value),))
    assert parse_load_report(response, NAMES) == report


# Guards against a server that is taken for cold, or for warm, by a value that is no
# time.
@pytest.mark.parametrize(
    ("value", "seconds"), [(b"2500", 2.5), (b"0", 0.0), (b"-5", None), (b"soon", None)]
)
def test_a_response_names_the_time_that_its_server_stays_cold(
    value: bytes, seconds: float | None
) -> None:
    response = make_response(200, b"", ((b"X-Server-Cold-Ms", value),))
    assert parse_cold_seconds(response, NAMES) == seconds


# Guards against an internal error for a number of thousands of digits, which Python
# refuses to read, or that no float holds.
@pytest.mark.parametrize(
    ("value", "number"),
    [
        (b"800", 800),
        (b"1001", 1000),
        (b"9" * 400, 1000),
        (b"9" * 5000, 1000),
        (b"0" * 5000 + b"7", 7),
        (b"0", 0),
        (b"", None),
        (b"-1", None),
        (b"1.5", None),
        (b"\xb2", None),
        (None, None),
    ],
)
def test_a_number_of_any_length_is_read_or_clamped(
    value: bytes | None, number: int | None
) -> None:
    assert parse_number(value, 1000) == number
