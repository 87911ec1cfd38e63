"""Each check of a history fails on a history that is broken on purpose."""

from __future__ import annotations

import hashlib
import json

import pytest

from dragonflyrock.trial.history import (
    CallRecord,
    ChangeRecord,
    History,
    JournalEntry,
    PlannedStop,
    check_history,
)


def ran(
    at: int, server: str, epoch: int, token: str = "", key: str = "k"
) -> JournalEntry:
    """Return a line of a journal, at a second."""
    method = "POST" if token else "GET"
    return JournalEntry(
        "ran", server, "r", method, "finder", key, epoch, token, "", at * 10**9
    )


def call(token: str, outcome: str, *, status: int = 200, key: str = "k") -> CallRecord:
    """Return a call with the answer that belongs to it."""
    digest = hashlib.sha256(token.encode()).hexdigest()
    body = json.dumps({"key": key, "body": digest}).encode()
    return CallRecord(
        "POST", "finder", key, 0, token, status, outcome, "", body, 1.0, 2.0
    )


@pytest.fixture
def history() -> History:
    """Return a history in which nothing is wrong."""
    good = History()
    good.journal = [
        ran(1, "a@1", 5),
        ran(2, "a@1", 5, "t1"),
        ran(3, "b@1", 9),
        ran(9, "b@1", 9, "t2"),
    ]
    good.calls = [
        call("t1", "completed"),
        call("t2", "unknown", status=502),
        call("t3", "not-run", status=503),
    ]
    good.changes = [
        ChangeRecord("c", 1, 10.0, 1.0),
        ChangeRecord("c", 1, 10.0, 1.5),
        ChangeRecord("c", 2, 20.0, 2.0),
    ]
    good.stops = [PlannedStop("a", 2.5)]
    return good


def find(history: History, contract: tuple[int, float] = (2, 20.0)) -> set[str]:
    """Return the checks that a history fails."""
    return {violation.check for violation in check_history(history, 2.0, contract)}


def test_a_good_history_passes(history: History) -> None:
    assert not find(history)


def test_two_servers_in_one_epoch_are_found(history: History) -> None:
    history.journal.append(ran(4, "c@1", 9))
    assert find(history) == {"sole ownership"}


def test_an_epoch_that_goes_back_is_found(history: History) -> None:
    history.stops.clear()
    history.journal.append(ran(4, "a@1", 5))
    assert find(history) == {"sole ownership"}


def test_a_booking_that_ran_twice_is_found(history: History) -> None:
    history.journal.append(ran(10, "b@1", 9, "t1"))
    assert find(history) == {"at most once"}


def test_a_run_of_what_was_not_run_is_found(history: History) -> None:
    history.journal.append(ran(10, "b@1", 9, "t3"))
    assert find(history) == {"not run"}


def test_an_accepted_booking_that_is_gone_is_found(history: History) -> None:
    del history.journal[1]
    assert find(history) == {"accepted"}


def test_half_an_answer_and_anothers_answer_are_found(history: History) -> None:
    history.calls.append(call("t1", "completed")._replace(body=b'{"key": "k'))
    assert find(history) == {"whole answers"}
    history.calls[-1] = call("t1", "completed")._replace(key="other")
    assert find(history) == {"whole answers"}


def test_new_work_on_a_stopping_server_is_found(history: History) -> None:
    history.stops.append(PlannedStop("b", 5.0))
    assert find(history) == {"planned stops"}


def test_lost_and_doubled_changes_are_found(history: History) -> None:
    assert find(history, (1, 10.0)) == {"contracts"}
    assert find(history, (2, 21.0)) == {"contracts"}
    history.changes.append(ChangeRecord("c", 2, 30.0, 3.0))
    assert find(history) == {"contracts"}
