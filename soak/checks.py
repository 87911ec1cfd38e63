"""Checks of a history; each yields what breaks it."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from . import const
from .facts import Facts
from .models import (
    Beaten,
    Began,
    Finished,
    Outcome,
    Put,
    Read,
    Readied,
    Sent,
    Unreached,
    Violation,
)

PROMISES: Final = (408, 421, 429, 503)
GIVEN_UP: Final = (500, 502, 504)
# Clocks of the caller and of the node may differ by so much at a deadline.
DEADLINE_SLACK_SECONDS: Final = 0.05
SIGTERM_CODE: Final = -15

Runs = list[tuple[float, Began]]


def check_owner(facts: Facts) -> Iterator[Violation]:
    """Find overlapping runs of a key, and an older fence after a newer one."""
    active: dict[int, list[Began]] = {}
    newest: dict[int, Began] = {}
    for at, record in facts.events:
        match record:
            case Began(request, server, key, fence) if key >= 0:
                names = (request, server)
                for other in active.setdefault(key, []):
                    if other.server != server:
                        detail = f"{other.server} runs key {key}"
                        yield Violation("OWNER", at, detail, (*names, other.request))
                last = newest.get(key)
                if last and last.server != server and last.fence >= fence:
                    detail = f"key {key}: fence {fence} after {last.fence}"
                    yield Violation("OWNER", at, detail, (*names, last.request))
                if last is None or fence > last.fence:
                    newest[key] = record
                active[key].append(record)
            case Finished(request, server):
                for runs in active.values():
                    runs[:] = [run for run in runs if run[:2] != (request, server)]


def check_runs(facts: Facts) -> Iterator[Violation]:
    """Find runs that nobody asked for, and second runs of what may run once."""
    for request, runs in facts.began.items():
        at, last = runs[-1]
        names = (request, last.server)
        if request not in facts.sent:
            yield Violation("UNASKED", at, "no caller sent it", names)
        elif not facts.sent[request][1].safe and len(runs) > 1:
            detail = f"run by {[run.server for _, run in runs]}"
            yield Violation("TWICE", at, detail, names)


def check_answers(facts: Facts) -> Iterator[Violation]:
    """Find refusals of what has run, and answers that are not the own ones."""
    for at, outcome in facts.outcomes:
        names = (outcome.request, outcome.node)
        if outcome.how == "answered" and outcome.detail:
            yield Violation("MIXED", at, outcome.detail, names)
        for _, run in facts.began.get(outcome.request, ()):
            if outcome.status in PROMISES:
                detail = f"answered {outcome.status}, but run by {run.server}"
                yield Violation("REFUSED", at, detail, names)


def check_lost(facts: Facts) -> Iterator[Violation]:
    """Find requests that a sound node has read and has not answered."""
    for at, outcome in facts.outcomes:
        sent_at, sent = facts.sent[outcome.request]
        runs = facts.began.get(outcome.request, [])
        detail = ""
        if outcome.how == "broken":
            detail = _find_broken(facts, at, outcome, runs)
        elif outcome.how == "left":
            over = sent.until + const.PATIENCE_SECONDS - DEADLINE_SLACK_SECONDS
            if at >= over and not facts.is_blind(outcome.node, sent_at, at):
                detail = "no answer well after its deadline"
        elif outcome.status in GIVEN_UP and not outcome.stamped:
            detail = _find_given_up(facts, at, outcome, runs)
        if not detail or facts.is_struck(outcome.node, sent_at, at):
            continue
        stop = facts.find_stop(outcome.node, at)
        if stop is not None:
            detail += f"; SIGTERM at {stop:.3f}, sent {sent_at - stop:.3f} s after it"
        yield Violation("LOST", at, detail, (outcome.request, outcome.node))


def _find_broken(facts: Facts, at: float, outcome: Outcome, runs: Runs) -> str:
    """Return why a connection that was closed counts as a lost request."""
    sent_at, sent = facts.sent[outcome.request]
    crossed = at - sent_at <= const.LOSS_SLACK_SECONDS
    crossed = crossed or facts.is_blind(outcome.node, sent_at, at)
    if (crossed and not runs) or _may_end(facts, at, sent_at, sent, runs):
        return ""
    return f"closed without an answer, run by {[run.server for _, run in runs]}"


def _find_given_up(facts: Facts, at: float, outcome: Outcome, runs: Runs) -> str:
    """Return whether a stopping node answered in place of a server at work."""
    sent_at, sent = facts.sent[outcome.request]
    if facts.find_stop(outcome.node, at) is None:
        return ""
    if _may_end(facts, at, sent_at, sent, runs):
        return ""
    for began_at, run in runs:
        _, how = facts.finished.get((run.request, run.server), (0.0, ""))
        label = run.server.partition(".")[0]
        if how == "cut" and not facts.is_touched(label, began_at, at):
            return f"answered {outcome.status} while {run.server} was at work"
    return ""


def _may_end(facts: Facts, at: float, sent_at: float, sent: Sent, runs: Runs) -> bool:
    """Return whether the deadline or the end of the grace time allows an end."""
    over = min(sent.until, sent_at + const.ROUTE_TIMEOUT_MS / 1000)
    if at >= over - DEADLINE_SLACK_SECONDS:
        return True
    stop = facts.find_stop(sent.node, sent_at)
    if stop is None or sent_at > stop + const.EARLY_SEND_SECONDS:
        return False
    ends = [facts.finished.get((run.request, run.server), (at, "")) for _, run in runs]
    return any(end >= stop + const.LATE_WORK_SECONDS for end, _ in ends)


def check_ends(facts: Facts) -> Iterator[Violation]:
    """Find processes that end by themselves, or not within the grace time."""
    for at, end in facts.ended:
        asked = end.asked_at if end.asked_at >= 0 else at
        if facts.is_struck(end.node, asked, at):
            continue
        if end.code == SIGTERM_CODE and not _has_spoken(facts, end.node, asked):
            continue
        if end.asked_at < 0 and not end.killed:
            detail = f"ended by itself with status {end.code}"
            yield Violation("ENDED", at, detail, (end.node,))
        elif end.asked_at >= 0 and (end.killed or end.code):
            detail = f"status {end.code}, {at - asked:.2f} s after SIGTERM"
            yield Violation("GRACE", at, detail, (end.node,))


def _has_spoken(facts: Facts, node: str, until: float) -> bool:
    """Return whether a process has answered anything between its start and a time.

    One that is still starting has no handler for SIGTERM, and has taken nothing.
    """
    starts = [at for at, one in facts.started if one.node == node and at <= until]
    since = max(starts, default=0.0)
    for at, record in facts.events:
        if since < at <= until and getattr(record, "node", "") == node:
            match record:
                case Readied(status=status) | Outcome(status=status) if status:
                    return True
                case Beaten() | Read():
                    return True
    return False


def check_drain(facts: Facts) -> Iterator[Violation]:
    """Find new work at a server well after its leaving was acknowledged."""
    draining: dict[str, float] = {}
    for at, record in facts.events:
        match record:
            case Beaten(server, "draining"):
                draining.setdefault(server, at)
            case Began(request, server) if server in draining:
                since, arrived = draining[server], record.arrived
                sent = facts.sent.get(request)
                label = server.partition(".")[0]
                if arrived - since <= const.DRAIN_SECONDS or sent is None:
                    continue
                held = [a.what for _, a in facts.acted if a.target == label]
                unsure = facts.is_blind(sent[1].node, since, arrived) or {
                    "cut",
                    "delay",
                } & {*held}
                if facts.is_calm(sent[1].node, since, arrived) and not unsure:
                    detail = f"arrived {arrived - since:.3f} s after its word"
                    yield Violation("DRAIN", at, detail, (request, server))


def check_ready(facts: Facts) -> Iterator[Violation]:
    """Find nodes that were ready just before and take no new connection.

    A proxy takes it for a node that is down, and resets it at the first bytes.
    """
    said: dict[str, tuple[float, int]] = {}
    for at, record in facts.events:
        match record:
            case Readied(node, status):
                said[node] = at, status
            case Unreached(node):
                yield from _find_unready(facts, at, node, said)
            case Outcome(request, node, "broken") if request not in facts.began:
                sent_at, sent = facts.sent[request]
                if sent.fresh and at - sent_at <= const.LOSS_SLACK_SECONDS:
                    yield from _find_unready(facts, at, node, said)


def _find_unready(
    facts: Facts, at: float, node: str, said: dict[str, tuple[float, int]]
) -> Iterator[Violation]:
    """Find out whether a node that took no connection was ready just before."""
    since, status = said.get(node, (0.0, 0))
    if status != 200 or at - since > const.READY_SECONDS:
        return
    if not facts.is_blind(node, since, at) and not facts.is_touched(node, since, at):
        yield Violation("READY", at, f"it was ready {at - since:.3f} s before", (node,))


def list_useless(facts: Facts) -> list[tuple[float, str]]:
    """Return the last starts of nodes that have been of no use since."""
    last = {one.node: at for at, one in facts.started}
    useful: dict[str, float] = {}
    for at, record in facts.events:
        match record:
            case Outcome(node=node, status=200, stamped=True):
                useful[node] = at
            case Beaten(node=node) | Read(node=node):
                useful[node] = at
    return [(at, node) for node, at in last.items() if useful.get(node, -1.0) < at]


def check_useful(facts: Facts) -> Iterator[Violation]:
    """Find processes that are of no use long after their start."""
    for start, node in list_useless(facts):
        acts = [
            a.until for _, a in facts.acted if a.target.startswith((node, "control"))
        ]
        idle = facts.now - max([start, *acts])
        if idle > const.RECOVERY_SECONDS:
            detail = f"of no use {idle:.1f} s after its start and the last fault"
            yield Violation("RECOVER", facts.now, detail, (node,))


def check_reads(facts: Facts) -> Iterator[Violation]:
    """Find reads that are older than, or other than, what was accepted."""
    for at, read in facts.events:
        if not isinstance(read, Read):
            continue
        for put_at, put in facts.accepted:
            slack = 0.0 if read.last else const.CONFIG_APPLY_SECONDS
            detail = ""
            if put_at + slack < read.sent_at and put.version > read.version:
                detail = f"read r{read.version} after r{put.version} was accepted"
            elif put.version == read.version and put.content != read.content:
                detail = f"r{read.version} is not what was accepted"
            if detail:
                yield Violation("CONFIG", at, detail, (read.node, put.node))
        equal = [p for _, p in facts.puts if _is_in_force(p, read)]
        if equal and all(put.status >= 400 for put in equal):
            detail = f"r{read.version} is in force but was refused"
            yield Violation("CONFIG", at, detail, (read.node, equal[0].node))


def _is_in_force(put: Put, read: Read) -> bool:
    """Return whether a read shows a change."""
    return (put.version, put.content) == (read.version, read.content)


def check_puts(facts: Facts) -> Iterator[Violation]:
    """Find two accepted changes on one version, and accepted ones refused later."""
    bases: dict[int, Put] = {}
    for at, put in facts.accepted:
        other = bases.setdefault(put.base, put)
        if (other.version, other.content) != (put.version, put.content):
            detail = f"r{other.version} and r{put.version} on top of r{put.base}"
            yield Violation("CONFIG", at, detail, (put.node, other.node))
    for at, put in facts.puts:
        if put.again and put.status not in (0, 200):
            detail = f"r{put.version} was accepted, then refused ({put.status})"
            yield Violation("CONFIG", at, detail, (put.node,))


def check_routes(facts: Facts) -> Iterator[Violation]:
    """Find nodes in touch that do not know a route that was accepted."""
    for at, outcome in facts.outcomes:
        if outcome.status != 404 or outcome.stamped or not facts.is_over:
            continue
        sent_at, sent = facts.sent[outcome.request]
        due = sent_at - const.CONFIG_APPLY_SECONDS
        known = [(put.version, since) for since, put in facts.accepted if since < due]
        if not known:
            continue
        version, since = max(known)
        allowed = [p for _, p in facts.puts if p.version >= version and p.sent_at < at]
        has = f'"name": "{sent.route}"'
        if all(has in put.content for put in allowed):
            names = (outcome.request, outcome.node)
            if facts.is_calm(outcome.node, since, at):
                yield Violation("CONFIG", at, f"404 on {sent.route}", names)


CHECKS: Final = (
    check_owner, check_runs, check_answers, check_lost, check_ends, check_drain,
    check_ready, check_useful, check_reads, check_puts, check_routes,
)  # fmt: skip


def check_history(facts: Facts) -> list[Violation]:
    """Return what breaks any check, in the order of time."""
    found = [one for check in CHECKS for one in check(facts)]
    return sorted(found, key=lambda violation: violation.at)
