"""Tests of the header names in responses of the platform's backend servers."""

from __future__ import annotations

import pytest

from dragonflyrock.http import make_response
from dragonflyrock.http.server_leaving import LeavingNotice
from dragonflyrock.platform.header_names import HEADER_NAMES
from dragonflyrock.router.notices import (
    find_leaving,
    find_named_limit,
    find_requested_pause,
)


# Guards against a limit that is not heard because its header has, or lacks, the prefix
# of the platform's other headers.
@pytest.mark.parametrize("name", [b"Server-Limit", b"X-Dragonflyrock-Server-Limit"])
def test_a_limit_is_read_with_and_without_the_prefix(name: bytes) -> None:
    limit = find_named_limit(make_response(200, b"", ((name, b"2.5"),)), HEADER_NAMES)
    assert limit is not None
    assert limit.per_second == 2.5


# Guards against a server that leaves and is not heard because its header has, or lacks,
# the prefix of the platform's other headers.
@pytest.mark.parametrize("name", [b"Server-Leaving", b"X-Dragonflyrock-Server-Leaving"])
def test_leaving_is_read_with_and_without_the_prefix(name: bytes) -> None:
    response = make_response(200, b"", ((name, b" 1 "),))
    assert find_leaving(response, HEADER_NAMES) == LeavingNotice.LEAVES
    response = make_response(200, b"", ((name, b"maybe"),))
    assert find_leaving(response, HEADER_NAMES) == LeavingNotice.UNREADABLE


# Guards against a pause that is not heard because its header has the prefix of the
# platform's other headers.
@pytest.mark.parametrize("name", [b"Retry-After", b"X-Dragonflyrock-Retry-After"])
def test_a_pause_is_read_with_and_without_the_prefix(name: bytes) -> None:
    response = make_response(503, b"", ((name, b"2"),))
    pause = find_requested_pause(response, HEADER_NAMES)
    assert pause is not None
    assert pause.seconds == 2
