"""Tests of reading responses' headers."""

from __future__ import annotations

import pytest

from dragonflyrock.http import make_response
from dragonflyrock.router import HeaderNames
from dragonflyrock.router.headers import find_response_error

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
