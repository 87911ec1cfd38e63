"""Each check of a history reports a history that violates its guarantee."""

from __future__ import annotations

import hashlib
import json

import pytest

from dragonflyrock.trial.history import (
    CallRecord,
    ContractChange,
    History,
    JournalEntry,
    PlannedStop,
    check_history,
    measure_longest_outage,
)


def make_entry(
    at: int, server: str, epoch: int, idempotency_key: str = "", key: str = "k"
) -> JournalEntry:
    """Return the journal entry of a request that ran at a time in seconds."""
    method = "POST" if idempotency_key else "GET"
    return JournalEntry(
        "ran",
        server,
        "r",
        method,
        "finder",
        key,
        epoch,
        idempotency_key,
        "",
        at * 10**9,
    )


def make_call(
    idempotency_key: str, outcome: str, *, status: int = 200, key: str = "k"
) -> CallRecord:
    """Return a call with the response that belongs to it."""
    digest = hashlib.sha256(idempotency_key.encode()).hexdigest()
    body = json.dumps({"key": key, "body": digest}).encode()
    return CallRecord(
        "POST", "finder", key, 0, idempotency_key, status, outcome, "", body, 1.0, 2.0
    )


@pytest.fixture
def history() -> History:
    """Return a history without violations."""
    valid = History()
    valid.journal = [
        make_entry(1, "a@1", 5),
        make_entry(2, "a@1", 5, "t1"),
        make_entry(3, "b@1", 9),
        make_entry(9, "b@1", 9, "t2"),
    ]
    valid.calls = [
        make_call("t1", "completed"),
        make_call("t2", "unknown", status=502),
        make_call("t3", "not-run", status=503),
    ]
    valid.changes = [
        ContractChange("c", 1, 10.0, 1.0),
        ContractChange("c", 1, 10.0, 1.5),
        ContractChange("c", 2, 20.0, 2.0),
    ]
    valid.stops = [PlannedStop("a", 2.5)]
    return valid


def find_failed_checks(
    history: History, contract: tuple[int, float] = (2, 20.0)
) -> set[str]:
    """Return the names of the checks that a history fails."""
    return {violation.check for violation in check_history(history, 2.0, contract)}


# Guards against a check that fails on a valid history.
def test_a_valid_history_passes(history: History) -> None:
    assert not find_failed_checks(history)


# Guards against a check that misses two servers that run requests of one key in one
# epoch.
def test_two_servers_in_one_epoch_are_found(history: History) -> None:
    history.journal.append(make_entry(4, "c@1", 9))
    assert find_failed_checks(history) == {"sole ownership"}


# Guards against a check that misses a server that runs a request under an older epoch.
def test_an_epoch_that_goes_back_is_found(history: History) -> None:
    history.stops.clear()
    history.journal.append(make_entry(4, "a@1", 5))
    assert find_failed_checks(history) == {"sole ownership"}


# Guards against a check that misses a second run of a request that may run only once.
def test_a_request_that_ran_twice_is_found(history: History) -> None:
    history.journal.append(make_entry(10, "b@1", 9, "t1"))
    assert find_failed_checks(history) == {"at most once"}


# Guards against a check that misses a run of a request that was refused as not run.
def test_a_request_that_ran_after_not_run_is_found(history: History) -> None:
    history.journal.append(make_entry(10, "b@1", 9, "t3"))
    assert find_failed_checks(history) == {"not run"}


# Guards against a check that misses a completed request that no server has run.
def test_a_completed_request_that_did_not_run_is_found(history: History) -> None:
    del history.journal[1]
    assert find_failed_checks(history) == {"accepted"}


# Guards against a check that misses a truncated response or that of another key.
def test_an_incomplete_and_a_wrong_response_are_found(history: History) -> None:
    history.calls.append(make_call("t1", "completed")._replace(body=b'{"key": "k'))
    assert find_failed_checks(history) == {"whole answers"}
    history.calls[-1] = make_call("t1", "completed")._replace(key="other")
    assert find_failed_checks(history) == {"whole answers"}


# Guards against a check that misses requests at a server after its planned stop.
def test_new_work_on_a_stopping_server_is_found(history: History) -> None:
    history.stops.append(PlannedStop("b", 5.0))
    assert find_failed_checks(history) == {"planned stops"}


# Guards against a check that misses a lost change, or two changes accepted for one
# version.
def test_lost_and_conflicting_changes_are_found(history: History) -> None:
    assert find_failed_checks(history, (1, 10.0)) == {"contracts"}
    assert find_failed_checks(history, (2, 21.0)) == {"contracts"}
    history.changes.append(ContractChange("c", 2, 30.0, 3.0))
    assert find_failed_checks(history) == {"contracts"}


# Guards against an outage that seems to end with the last failed call, although the
# next call has not succeeded yet.
def test_an_outage_lasts_until_a_call_succeeds() -> None:
    times = ((10.0, 10.1, 200), (11.0, 11.1, 503), (11.5, 11.6, 503), (13.0, 13.2, 200))
    calls = [
        make_call("", "", status=status)._replace(sent_at=sent, ended_at=ended)
        for sent, ended, status in times
    ]
    assert measure_longest_outage(calls) == pytest.approx(2.2)
    assert measure_longest_outage(calls[:1]) == pytest.approx(0.1)
    assert measure_longest_outage([]) == 0.0
