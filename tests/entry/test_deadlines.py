"""Tests of the bound on the deadlines of requests."""

from __future__ import annotations

from typing import Final

import pytest

from dragonflyrock.control.moves import find_longest_deadline
from dragonflyrock.entry.callers import compute_deadline
from dragonflyrock.errors import Refusal
from dragonflyrock.models import Contract, ContractRow

LONGEST_MS: Final = 30_000


def make_contract(deadline_ms: int) -> ContractRow:
    """Return a contract with a deadline."""
    contract = Contract("c", (), ("s",), 1.0, 1, 1, 1, deadline_ms)
    return ContractRow(contract, 1, "operator", 1)


# Guards against a request that a server may still run after the leader has stopped to
# wait for it, so that two servers run requests of a key.
@pytest.mark.parametrize(
    ("text", "deadline_ms", "seconds"),
    [
        ("", 60_000, 30.0),
        ("90000", 60_000, 30.0),
        ("90000", 500, 0.5),
        ("7", 500, 0.007),
    ],
)
def test_a_deadline_is_within_the_contract_and_the_bound(
    text: str, deadline_ms: int, seconds: float
) -> None:
    deadline = compute_deadline(text, make_contract(deadline_ms), LONGEST_MS, 100.0)
    assert deadline == 100.0 + seconds


# Guards against a timeout that is not a number and counts as none.
def test_an_unreadable_timeout_is_refused() -> None:
    refusal = compute_deadline("soon", make_contract(500), LONGEST_MS, 100.0)
    assert isinstance(refusal, Refusal)


# Guards against a handover that does not wait for requests under a contract which was
# put before the bound was lowered.
def test_the_wait_covers_every_contract_in_force() -> None:
    contracts = {"a": make_contract(500), "b": make_contract(60_000)}
    assert find_longest_deadline(contracts.values(), 30.0) == 60.0
    assert find_longest_deadline((), 30.0) == 30.0
