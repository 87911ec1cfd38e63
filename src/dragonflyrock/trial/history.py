"""History of a trial, as recorded by callers and servers, and its checks."""

from __future__ import annotations

import hashlib
import json
import threading
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

__all__ = [
    "CallRecord",
    "ContractChange",
    "History",
    "JournalEntry",
    "Violation",
    "check_history",
    "measure_longest_outage",
]

NS_PER_SECOND = 1_000_000_000


class JournalEntry(NamedTuple):
    """A line of a stand-in's journal; see ``standin.models.JournalLine``."""

    event: str
    server: str
    request: str
    method: str
    service: str
    key: str
    epoch: int
    body: str
    reason: str
    at_ns: int


class CallRecord(NamedTuple):
    """One attempt of a call by a caller.

    The idempotency key is empty for a GET; for a POST it is also the body, and the
    same in each attempt. Times are monotonic, in seconds. Status 0: there was no
    response.
    """

    method: str
    service: str
    key: str
    host: int
    idempotency_key: str
    status: int
    outcome: str
    reason: str
    body: bytes
    sent_at: float
    ended_at: float


class ContractChange(NamedTuple):
    """An accepted change of a contract, and the time of its response.

    ``value`` is the limit of requests per second, which differs by version.
    """

    customer: str
    version: int
    value: float
    answered_at: float


class PlannedStop(NamedTuple):
    """A planned stop of a server, and the monotonic time of its acceptance."""

    server: str
    accepted_at: float


class Violation(NamedTuple):
    """A guarantee that the history violates, with the evidence."""

    check: str
    detail: str


class History:
    """Records of a trial; any thread may add calls."""

    def __init__(self) -> None:
        """Create an empty history."""
        self.calls: list[CallRecord] = []
        self.changes: list[ContractChange] = []
        self.stops: list[PlannedStop] = []
        self.journal: list[JournalEntry] = []
        self._lock = threading.Lock()

    def add_call(self, call: CallRecord) -> None:
        """Add an attempt of a call."""
        with self._lock:
            self.calls.append(call)


def check_history(
    history: History, stop_grace: float, contract: tuple[int, float] | None = None
) -> list[Violation]:
    """Return every violation of a guarantee.

    A server may run requests for ``stop_grace`` seconds after its planned stop is
    accepted. ``contract`` is the version and value in force at the end.
    """
    ran = [entry for entry in history.journal if entry.event == "ran"]
    return [
        *_check_sole_ownership(ran),
        *_check_at_most_once(ran),
        *_check_not_run(ran, history.calls),
        *_check_accepted(ran, history.calls),
        *_check_whole_answers(history.calls),
        *_check_planned_stops(ran, history.stops, stop_grace),
        *_check_contracts(history.changes, contract),
    ]


def _check_sole_ownership(ran: Iterable[JournalEntry]) -> Iterable[Violation]:
    """Check that each epoch of a key has one server and that epochs only grow."""
    latest: dict[tuple[str, str], int] = {}
    owners: dict[tuple[str, str, int], str] = {}
    for entry in sorted(ran, key=lambda entry: entry.at_ns):
        key = (entry.service, entry.key)
        owner = owners.setdefault((*key, entry.epoch), entry.server)
        if owner != entry.server:
            detail = f"{key} epoch {entry.epoch}: {owner} and {entry.server}"
            yield Violation("sole ownership", detail)
        if entry.epoch < latest.get(key, 0):
            detail = (
                f"{key}: epoch {entry.epoch} of {entry.server} ran after a later epoch"
            )
            yield Violation("sole ownership", detail)
        latest[key] = max(entry.epoch, latest.get(key, 0))


def _check_at_most_once(ran: Iterable[JournalEntry]) -> Iterable[Violation]:
    """Check that no request with an idempotency key ran twice."""
    run_counts = Counter(entry.body for entry in ran if entry.method == "POST")
    for idempotency_key, count in run_counts.items():
        if count > 1:
            yield Violation("at most once", f"{idempotency_key} ran {count} times")


def _check_not_run(
    ran: Iterable[JournalEntry], calls: Iterable[CallRecord]
) -> Iterable[Violation]:
    """Check that a request did not run if every attempt was answered ``not-run``."""
    executed_keys = {entry.body for entry in ran if entry.method == "POST"}
    outcomes: defaultdict[str, set[str]] = defaultdict(set)
    for call in calls:
        if call.method == "POST":
            outcomes[call.idempotency_key].add(call.outcome)
    for idempotency_key, key_outcomes in outcomes.items():
        if key_outcomes == {"not-run"} and idempotency_key in executed_keys:
            yield Violation("not run", f"{idempotency_key} ran")


def _check_accepted(
    ran: Iterable[JournalEntry], calls: Iterable[CallRecord]
) -> Iterable[Violation]:
    """Check that every request answered ``completed`` did run."""
    executed_keys = {entry.body for entry in ran if entry.method == "POST"}
    for call in calls:
        completed = call.status == 200 and call.outcome == "completed"
        if (
            call.method == "POST"
            and completed
            and call.idempotency_key not in executed_keys
        ):
            yield Violation("accepted", f"{call.idempotency_key} did not run")


def _check_whole_answers(calls: Iterable[CallRecord]) -> Iterable[Violation]:
    """Check that each response is complete and belongs to its request."""
    for call in calls:
        if call.status != 200:
            continue
        try:
            fields = json.loads(call.body)
        except ValueError:
            yield Violation("whole answers", f"{call.key}: incomplete response")
            continue
        digest = hashlib.sha256(call.idempotency_key.encode()).hexdigest()
        if (fields.get("key"), fields.get("body")) != (call.key, digest):
            detail = f"{call.key} got the response to {fields.get('key')}"
            yield Violation("whole answers", detail)


def _check_planned_stops(
    ran: Iterable[JournalEntry], stops: Iterable[PlannedStop], grace: float
) -> Iterable[Violation]:
    """Check that a server with a planned stop runs nothing after the grace period."""
    for stop in stops:
        limit_ns = int((stop.accepted_at + grace) * NS_PER_SECOND)
        for entry in ran:
            name = entry.server.rpartition("@")[0]
            if name == stop.server and entry.at_ns > limit_ns:
                detail = (
                    f"{entry.server} ran {entry.key} more than {grace} s after its stop"
                )
                yield Violation("planned stops", detail)
                break


def _check_contracts(
    changes: Iterable[ContractChange], contract: tuple[int, float] | None
) -> Iterable[Violation]:
    """Check that each accepted version has one value and the last one is in force."""
    by_version: dict[int, ContractChange] = {}
    for change in changes:
        first = by_version.setdefault(change.version, change)
        if first.value != change.value:
            detail = f"version {change.version} was accepted twice"
            yield Violation("contracts", detail)
    if contract is None or not by_version:
        return
    last = max(by_version)
    version, value = contract
    if version < last:
        yield Violation("contracts", f"version {last} was lost, {version} is in force")
    elif version == last and value != by_version[last].value:
        yield Violation("contracts", f"version {last} has another value")


def measure_longest_outage(calls: Sequence[CallRecord]) -> float:
    """Return the longest time in seconds without a successful response for a key.

    That is the time from the start of the first of a key's failed calls in a row to the
    end of the call that succeeds after them, or the duration of a single call.
    """
    longest = 0.0
    failing_since: dict[str, float] = {}
    for call in sorted(calls, key=lambda call: call.ended_at):
        since = min(failing_since.get(call.key, call.sent_at), call.sent_at)
        longest = max(longest, call.ended_at - since)
        if call.status == 200:
            failing_since.pop(call.key, None)
        else:
            failing_since[call.key] = since
    return longest
