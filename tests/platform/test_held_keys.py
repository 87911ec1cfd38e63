"""Keys in heartbeats and their answers, in the platform's format."""

from __future__ import annotations

import msgspec
import pytest

from dragonflyrock.control.by_heartbeat import MAX_HANDOVER_TOKENS, MAX_HELD_ROWS
from dragonflyrock.control.calls import HeartbeatAccepted
from dragonflyrock.control.directed_models import FreedPart, HeldPart, HeldRow
from dragonflyrock.platform.documents import UnreadableError
from dragonflyrock.platform.heartbeats import (
    MAX_TOKEN_LENGTH,
    decode_heartbeat,
    encode_acknowledgement,
)

MAX_ANSWER_BYTES = 4096
KEY = 1 << 48


def make_body(**fields: object) -> bytes:
    """Return a heartbeat's body with more fields."""
    body = {
        "service": "huvo11a",
        "address": "10.128.0.9:8080",
        "zone": "a",
        "slots": 3,
        "state": "ready",
        "sequence": 4,
    }
    return msgspec.json.encode(body | fields)


# Guards against keys whose last one is cut off, or that are read as hashes.
def test_held_and_freed_keys_become_hashes() -> None:
    body = make_body(holds=[[0, 4095, 7]], freed=[[4096, 65535, "5c0e"]])
    heartbeat = decode_heartbeat("i-1", body)
    assert heartbeat.held == (HeldPart(0, 4096 * KEY - 1, 7),)
    assert heartbeat.freed == (FreedPart(4096 * KEY, 2**64 - 1, "5c0e"),)


# Guards against an owner that changes, or a process that ends, by rows that no server
# can mean.
@pytest.mark.parametrize(
    "rows",
    [
        {"holds": [[9, 3, 7]]},
        {"holds": [[0, 65536, 7]]},
        {"holds": [[-1, 3, 7]]},
        {"holds": [["a", 3, 7]]},
        {"holds": [[0, 3]]},
        {"holds": [[0, 3, 7.5]]},
        {"holds": {"0": 3}},
        {"holds": [[n, n, 7] for n in range(2000)]},
        {"freed": [[9, 3, "t"]]},
        {"freed": [[0, 70000, "t"]]},
        {"freed": [[0, 3, 7]]},
        {"freed": "all"},
        {"freed": [[n, n, "t"] for n in range(2000)]},
    ],
)
def test_a_heartbeat_with_unreadable_rows_is_refused(rows: dict[str, object]) -> None:
    with pytest.raises(UnreadableError):
        decode_heartbeat("i-1", make_body(**rows))


# Guards against a refusal of rows that overlap: a server may have freed the same keys
# twice, and works on for a while under a former epoch.
def test_rows_may_overlap() -> None:
    body = make_body(holds=[[0, 9, 7], [5, 5, 8]], freed=[[20, 29, "a"], [20, 29, "b"]])
    heartbeat = decode_heartbeat("i-1", body)
    assert len(heartbeat.held) == len(heartbeat.freed) == 2


# Guards against a long token that makes the answer to the next owner too long.
def test_a_long_token_is_cut() -> None:
    body = make_body(freed=[[0, 3, "t" * 5000]])
    (freed,) = decode_heartbeat("i-1", body).freed
    assert len(freed.handover) == MAX_TOKEN_LENGTH


# Guards against an answer above 4 KiB, which acknowledges nothing.
def test_the_longest_answer_is_short_enough() -> None:
    rows = tuple(
        HeldRow(
            (65000 + n) * KEY,
            (65001 + n) * KEY - 1,
            10**9 + n,
            "t" * MAX_TOKEN_LENGTH if n < MAX_HANDOVER_TOKENS else "",
        )
        for n in range(MAX_HELD_ROWS)
    )
    accepted = HeartbeatAccepted(rows, 10_000)
    assert len(encode_acknowledgement(accepted, "10.255.255.255:65535")) < (
        MAX_ANSWER_BYTES
    )


# Guards against an answer that takes all keys from a server as it has no rows: only an
# answer with an empty list does that.
def test_an_answer_without_holds_has_no_list() -> None:
    assert encode_acknowledgement(HeartbeatAccepted(), "") == b"{}"
    assert encode_acknowledgement(HeartbeatAccepted((), 6000), "") == (
        b'{"holds":[],"holdMs":6000}'
    )
