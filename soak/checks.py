"""Checks of requests, owners and processes; each yields what breaks it."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from .const import (
    ARRIVAL_SLACK_SECONDS,
    DRAIN_SECONDS,
    EARLY_SEND_SECONDS,
    GRACE_SECONDS,
    LATE_WORK_SECONDS,
    LOSS_SLACK_SECONDS,
    PATIENCE_SECONDS,
    READY_SECONDS,
    RECOVERY_SECONDS,
    ROUTE_TIMEOUT_MS,
)
from .facts import Facts
from .models import (
    Answered,
    Beaten,
    Began,
    Broken,
    Finished,
    Left,
    Read,
    Readied,
    Sent,
    Started,
    Unreached,
    Violation,
)

__all__ = ["CHECKS", "list_useless"]

PROMISES: Final = (408, 421, 429, 503)


def check_owner(facts: Facts) -> Iterator[Violation]:
    """One owner at a time: no overlapping runs of a key, no older fence after newer."""
    active: dict[tuple[str, int], list[Began]] = {}
    newest: dict[tuple[str, int], Began] = {}
    for record in facts.records:
        match record:
            case Began(key=key) if key >= 0:
                at = (record.service, key)
                runs = active.setdefault(at, [])
                for other in runs:
                    if other.server != record.server:
                        yield _blame("OWNER", record, f"{other.server} runs key {key}")
                last = newest.get(at)
                if last and last.server != record.server and last.fence >= record.fence:
                    detail = f"fence {record.fence} of {record.server} after "
                    detail += f"{last.fence} of {last.server} on key {key}"
                    yield _blame("OWNER", record, detail)
                if last is None or record.fence > last.fence:
                    newest[at] = record
                runs.append(record)
            case Finished(request=request, server=server):
                for runs in active.values():
                    runs[:] = [r for r in runs if r[1:3] != (request, server)]


def _blame(check: str, record: Began, detail: str) -> Violation:
    """Return a violation by a run."""
    return Violation(check, record.at, detail, f"{record.request} {record.server}")


def check_twice(facts: Facts) -> Iterator[Violation]:
    """No request that may run once runs again."""
    for request, runs in facts.began.items():
        sent = facts.sent.get(request)
        if sent is None:
            yield _blame("UNASKED", runs[0], "a run that no caller asked for")
        elif not sent.safe and len(runs) > 1:
            yield _blame("TWICE", runs[1], f"run on {[run.server for run in runs]}")


def check_promise(facts: Facts) -> Iterator[Violation]:
    """A request that was refused has not run and never does."""
    for request, answer in facts.answered.items():
        for run in facts.began.get(request, ()):
            if answer.status in PROMISES:
                yield _blame("REFUSED", run, f"answered {answer.status} but run")


def check_whole(facts: Facts) -> Iterator[Violation]:
    """Answers are whole and bear the own request's id."""
    for answer in facts.answered.values():
        if answer.problem:
            yield Violation("MIXED", answer.at, answer.problem, answer.request)


def check_answered(facts: Facts) -> Iterator[Violation]:
    """A request that a sound node has read gets an answer, also after SIGTERM."""
    for record in facts.records:
        match record:
            case Broken():
                yield from _check_broken(facts, record)
            case Left():
                yield from _check_left(facts, record)
            case Answered() if record.status in (500, 502, 504) and not record.stamped:
                yield from _check_given_up(facts, record)


def _check_broken(facts: Facts, record: Broken) -> Iterator[Violation]:
    """Find a connection that was closed without the answer."""
    sent = facts.sent[record.request]
    if facts.is_struck(record.node, sent.at, record.at):
        return
    runs = facts.began.get(record.request, [])
    if not runs and record.at - sent.at <= LOSS_SLACK_SECONDS:
        return
    if _is_over(sent, record.at) or _may_end(facts, sent, runs):
        return
    detail = f"closed without an answer: {record.detail}"
    stop = facts.find_stop(record.node, record.at)
    if stop is not None:
        detail += f"; SIGTERM at {stop:.3f}, sent {sent.at - stop:.3f} s after it"
    yield Violation("LOST", record.at, detail, f"{record.request} {record.node}")


def _is_over(sent: Sent, at: float) -> bool:
    """Return whether the deadline or the route's time-out was reached."""
    return at >= min(sent.until, sent.at + ROUTE_TIMEOUT_MS / 1000) - 0.05


def _may_end(facts: Facts, sent: Sent, runs: list[Began]) -> bool:
    """Return whether the grace time ended a run that was sent early enough."""
    stop = facts.find_stop(sent.node, sent.at)
    if stop is None or sent.at > stop + EARLY_SEND_SECONDS:
        return False
    ends = [facts.finished.get((run.request, run.server)) for run in runs]
    return any(end is None or end.at >= stop + LATE_WORK_SECONDS for end in ends)


def _check_left(facts: Facts, record: Left) -> Iterator[Violation]:
    """Find a request that was still unanswered well after its deadline."""
    sent = facts.sent[record.request]
    waited = record.at >= sent.until + PATIENCE_SECONDS - 0.05
    if waited and not facts.is_struck(record.node, sent.at, record.at):
        subject = f"{record.request} {record.node}"
        yield Violation("LOST", record.at, "no answer by its deadline", subject)


def _check_given_up(facts: Facts, record: Answered) -> Iterator[Violation]:
    """Find an own answer after SIGTERM in place of that of a server at work."""
    sent = facts.sent[record.request]
    stop = facts.find_stop(record.node, record.at)
    runs = facts.began.get(record.request, [])
    if stop is None or _is_over(sent, record.at) or _may_end(facts, sent, runs):
        return
    for run in runs:
        end = facts.finished.get((run.request, run.server))
        label = run.server.partition(".")[0]
        if end is None or end.how != "cut" or facts.is_touched(label, run.at, end.at):
            continue
        detail = f"answered {record.status} while {run.server} was at work, after "
        yield Violation("LOST", record.at, detail + "SIGTERM", record.request)


def check_grace(facts: Facts) -> Iterator[Violation]:
    """A process ends by SIGTERM within its grace time, and never by itself."""
    for end in facts.ended:
        if end.asked_at < 0:
            known = facts.is_struck(end.node, end.at, end.at)
            if not end.killed and not known:
                detail = f"ended by itself with status {end.code}"
                yield Violation("ENDED", end.at, detail, end.node)
        elif facts.is_struck(end.node, end.asked_at, end.at):
            continue
        elif end.killed or end.code != 0:
            detail = f"{end.at - end.asked_at:.2f} s after SIGTERM, status {end.code}"
            yield Violation("GRACE", end.at, detail, end.node)


def check_drain(facts: Facts) -> Iterator[Violation]:
    """A server that leaves gets no new work after the bound."""
    draining: dict[str, float] = {}
    for record in facts.records:
        match record:
            case Beaten(at=at, server=server, state="draining"):
                draining.setdefault(server, at)
            case Began() if record.server in draining:
                since = draining[record.server]
                late = record.arrived - since - DRAIN_SECONDS
                sent = facts.sent.get(record.request)
                label = record.server.partition(".")[0]
                if late <= ARRIVAL_SLACK_SECONDS or sent is None:
                    continue
                if facts.is_calm(sent.node, since, record.arrived) and not any(
                    act.target == label and act.what.startswith(("cut", "delay"))
                    for act in facts.acted
                ):
                    detail = f"arrived {late + DRAIN_SECONDS:.3f} s after its word"
                    yield _blame("DRAIN", record, detail)


def check_ready(facts: Facts) -> Iterator[Violation]:
    """A node that says it is ready takes connections."""
    said: dict[str, Readied] = {}
    for record in facts.records:
        match record:
            case Readied():
                said[record.node] = record
            case Unreached(at=at, node=node) if node in said:
                last = said[node]
                if last.status != 200 or at - last.at > READY_SECONDS:
                    continue
                if not facts.is_touched(node, at, at):
                    detail = f"ready {at - last.at:.3f} s before"
                    yield Violation("READY", at, detail, node)


def list_useless(facts: Facts) -> list[Started]:
    """Return the last starts of processes that have been of no use since."""
    last = {start.node: start for start in facts.started}
    useful: dict[str, float] = {}
    for record in facts.records:
        match record:
            case Answered(at=at, node=node, status=200, stamped=True):
                useful[node] = at
            case Beaten(at=at, node=node) | Read(at=at, node=node):
                useful[node] = at
    return [s for s in last.values() if useful.get(s.node, -1.0) < s.at]


def check_useful(facts: Facts) -> Iterator[Violation]:
    """A process is useful again within its bound after its start."""
    for start in list_useless(facts):
        since = start.at
        for act in facts.acted:
            if act.target.startswith((start.node, "control-")):
                since = max(since, act.until)
        if facts.now - since > RECOVERY_SECONDS:
            detail = f"of no use {facts.now - since:.1f} s after its start"
            yield Violation("RECOVER", facts.now, detail, start.node)


CHECKS: Final = (
    check_owner,
    check_twice,
    check_promise,
    check_whole,
    check_answered,
    check_grace,
    check_drain,
    check_ready,
    check_useful,
)
# A process that was told to stop must have ended; the player sends SIGKILL then.
assert LATE_WORK_SECONDS < GRACE_SECONDS
