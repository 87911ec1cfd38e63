"""Tests of the request ledger: a request runs at most once for each key."""

from __future__ import annotations

import pytest

from dragonflyrock.errors import Reason, Refusal
from dragonflyrock.ledger import Ledger
from dragonflyrock.ledger.commands import (
    LEDGER_COMMANDS,
    Complete,
    LedgerState,
    Recorded,
    RecordedResponse,
    Release,
    Reserve,
    Reserved,
)

RESPONSE = RecordedResponse(200, (("A", "b"),), b"booked")


@pytest.fixture
def ledger() -> Ledger:
    """Return an empty ledger for three keys with a retention of one second."""
    return Ledger(capacity=3, retention_ms=1000)


def apply(
    ledger: Ledger, command: Reserve | Complete | Release
) -> Reserved | Recorded | Refusal:
    """Encode and apply a command."""
    return ledger.apply(1, LEDGER_COMMANDS.encode(command))


def reserve(key: str, request_id: str, now_ms: int = 0, body: str = "x") -> Reserve:
    """Return a command that reserves a key; ``body`` is its fingerprint."""
    return Reserve(key, body, request_id, now_ms)


# Guards against two requests with one key that both run.
def test_only_the_first_of_two_requests_reserves_the_key(ledger: Ledger) -> None:
    assert apply(ledger, reserve("k", "r1")) == Reserved("r1")
    assert apply(ledger, reserve("k", "r1")) == Reserved("r1")
    second = apply(ledger, reserve("k", "r2"))
    assert isinstance(second, Recorded) and second.row is not None
    assert (second.row.request_id, second.row.state) == ("r1", LedgerState.RESERVED)


# Guards against a resent request that runs again although its response is recorded.
def test_a_resend_gets_the_recorded_response_also_after_a_snapshot(
    ledger: Ledger,
) -> None:
    apply(ledger, reserve("k", "r1"))
    apply(ledger, Complete("k", "r1", RESPONSE))
    restored = Ledger(3, 1000)
    restored.load(ledger.dump())
    for each_ledger in (ledger, restored):
        result = apply(each_ledger, reserve("k", "r2"))
        assert isinstance(result, Recorded) and result.row is not None
        assert result.row.response == RESPONSE
        # A repeated reservation by the first request must not run it again either.
        assert isinstance(apply(each_ledger, reserve("k", "r1")), Recorded)


# Guards against a request that runs again although it may have run.
def test_an_unknown_outcome_is_not_overwritten(ledger: Ledger) -> None:
    apply(ledger, reserve("k", "r1"))
    apply(ledger, Complete("k", "r1", None))
    apply(ledger, Release("k", "r1"))
    result = apply(ledger, reserve("k", "r2"))
    assert isinstance(result, Recorded) and result.row is not None
    assert result.row.state == LedgerState.UNKNOWN


# Guards against a late request that releases or completes the reservation of another
# one.
def test_only_the_reserving_request_releases_or_completes_a_key(ledger: Ledger) -> None:
    apply(ledger, reserve("k", "r1"))
    apply(ledger, Release("k", "r2"))
    apply(ledger, Complete("k", "r2", RESPONSE))
    result = apply(ledger, reserve("k", "r3"))
    assert isinstance(result, Recorded) and result.row is not None
    assert result.row.state == LedgerState.RESERVED
    apply(ledger, Release("k", "r1"))
    assert apply(ledger, reserve("k", "r3")) == Reserved("r3")


# Guards against a request that gets the response to another request with the same key.
def test_a_key_reused_for_another_request_is_refused(ledger: Ledger) -> None:
    apply(ledger, reserve("k", "r1", body="x"))
    refusal = apply(ledger, reserve("k", "r2", body="y"))
    assert isinstance(refusal, Refusal)
    assert refusal.reason == Reason.IDEMPOTENCY_KEY_REUSED


# Guards against a full ledger that drops a row within its retention time.
def test_a_full_ledger_refuses_a_key_with_the_time_to_retry(ledger: Ledger) -> None:
    for number in range(3):
        apply(ledger, reserve(f"k{number}", "r", 100 * number))
    refusal = apply(ledger, reserve("k3", "r", 400))
    assert isinstance(refusal, Refusal)
    assert (refusal.reason, refusal.retry_after_ms) == (Reason.LEDGER_FULL, 600)
    assert isinstance(apply(ledger, reserve("k0", "r9", 400)), Recorded)
    assert apply(ledger, reserve("k3", "r", 1000)) == Reserved("r")
    assert len(ledger) == 3
