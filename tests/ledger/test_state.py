"""The request ledger: a key is run at most once."""

from __future__ import annotations

import pytest

from dragonflyrock.errors import Reason, Refusal
from dragonflyrock.ledger import Ledger
from dragonflyrock.ledger.commands import (
    LEDGER_COMMANDS,
    Complete,
    LedgerState,
    Recorded,
    RecordedAnswer,
    Release,
    Reserve,
    Reserved,
)

ANSWER = RecordedAnswer(200, (("A", "b"),), b"booked")


@pytest.fixture
def ledger() -> Ledger:
    """Return an empty ledger of three keys, each kept for a second."""
    return Ledger(capacity=3, retention_ms=1000)


def apply(
    ledger: Ledger, command: Reserve | Complete | Release
) -> Reserved | Recorded | Refusal:
    """Apply a command."""
    return ledger.apply(1, LEDGER_COMMANDS.encode(command))


def reserve(key: str, request: str, now_ms: int = 0, body: str = "x") -> Reserve:
    """Return a reservation."""
    return Reserve(key, body, request, now_ms)


def test_one_of_two_requests_gets_the_key(ledger: Ledger) -> None:
    assert apply(ledger, reserve("k", "r1")) == Reserved("r1")
    assert apply(ledger, reserve("k", "r1")) == Reserved("r1")
    second = apply(ledger, reserve("k", "r2"))
    assert isinstance(second, Recorded) and second.row is not None
    assert (second.row.request_id, second.row.state) == ("r1", LedgerState.RESERVED)


def test_a_resend_finds_the_recorded_answer_also_after_a_snapshot(
    ledger: Ledger,
) -> None:
    apply(ledger, reserve("k", "r1"))
    apply(ledger, Complete("k", "r1", ANSWER))
    copy = Ledger(3, 1000)
    copy.load(ledger.dump())
    for one in (ledger, copy):
        found = apply(one, reserve("k", "r2"))
        assert isinstance(found, Recorded) and found.row is not None
        assert found.row.answer == ANSWER
        # The first host's repeated reservation must not run it again either.
        assert isinstance(apply(one, reserve("k", "r1")), Recorded)


def test_an_unknown_end_is_kept_and_not_overwritten(ledger: Ledger) -> None:
    apply(ledger, reserve("k", "r1"))
    apply(ledger, Complete("k", "r1", None))
    apply(ledger, Release("k", "r1"))
    found = apply(ledger, reserve("k", "r2"))
    assert isinstance(found, Recorded) and found.row is not None
    assert found.row.state == LedgerState.UNKNOWN


def test_only_the_holder_frees_or_completes_a_key(ledger: Ledger) -> None:
    apply(ledger, reserve("k", "r1"))
    apply(ledger, Release("k", "r2"))
    apply(ledger, Complete("k", "r2", ANSWER))
    found = apply(ledger, reserve("k", "r3"))
    assert isinstance(found, Recorded) and found.row is not None
    assert found.row.state == LedgerState.RESERVED
    apply(ledger, Release("k", "r1"))
    assert apply(ledger, reserve("k", "r3")) == Reserved("r3")


def test_a_key_reused_for_another_request_is_refused(ledger: Ledger) -> None:
    apply(ledger, reserve("k", "r1", body="x"))
    refused = apply(ledger, reserve("k", "r2", body="y"))
    assert isinstance(refused, Refusal)
    assert refused.reason == Reason.IDEMPOTENCY_KEY_REUSED


def test_a_full_ledger_refuses_and_tells_when_to_come_back(ledger: Ledger) -> None:
    for number in range(3):
        apply(ledger, reserve(f"k{number}", "r", 100 * number))
    refused = apply(ledger, reserve("k3", "r", 400))
    assert isinstance(refused, Refusal)
    assert (refused.reason, refused.retry_after_ms) == (Reason.LEDGER_FULL, 600)
    assert isinstance(apply(ledger, reserve("k0", "r9", 400)), Recorded)
    assert apply(ledger, reserve("k3", "r", 1000)) == Reserved("r")
    assert len(ledger) == 3
