"""Checks of a recorded history; each yields the violations that it finds."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from . import const
from .history_index import HistoryIndex
from .models import (
    Beaten,
    Began,
    Finished,
    Grown,
    Outcome,
    Put,
    Read,
    Readied,
    Sent,
    Unreached,
    Violation,
)
from .notice_checks import (
    check_evacuations,
    check_leaving,
    check_limits,
    check_pauses,
)

FAILURE_STATUSES: Final = (500, 502, 504)
# Tolerance at a deadline, which caller and node measure on their own clocks.
DEADLINE_SLACK_SECONDS: Final = 0.05
SIGTERM_EXIT_CODE: Final = -15
DAMAGED_DATA_EXIT_CODE: Final = 2

Runs = list[tuple[float, Began]]


def check_owner(index: HistoryIndex) -> Iterator[Violation]:
    """Find runs of a key that overlap on two servers, and fences that go back."""
    active: dict[int, list[Began]] = {}
    newest: dict[int, Began] = {}
    for at, record in index.events:
        match record:
            case Began(request, server, key, fence) if key >= 0:
                subjects = (request, server)
                for other in active.setdefault(key, []):
                    if other.server != server:
                        detail = f"{other.server} runs key {key}"
                        yield Violation("OWNER", at, detail, (*subjects, other.request))
                last = newest.get(key)
                if last and last.server != server and last.fence >= fence:
                    detail = f"key {key}: fence {fence} after {last.fence}"
                    yield Violation("OWNER", at, detail, (*subjects, last.request))
                if last is None or fence > last.fence:
                    newest[key] = record
                active[key].append(record)
            case Finished(request, server):
                for runs in active.values():
                    runs[:] = [run for run in runs if run[:2] != (request, server)]


def check_runs(index: HistoryIndex) -> Iterator[Violation]:
    """Find runs without a request, and unsafe requests that ran more than once."""
    for request, runs in index.began.items():
        at, last = runs[-1]
        subjects = (request, last.server)
        if request not in index.sent:
            yield Violation("UNASKED", at, "no caller sent it", subjects)
        elif not index.sent[request][1].safe and len(runs) > 1:
            detail = f"run by {[run.server for _, run in runs]}"
            yield Violation("TWICE", at, detail, subjects)


def check_responses(index: HistoryIndex) -> Iterator[Violation]:
    """Find requests refused although they ran, and responses to other requests."""
    for at, outcome in index.outcomes:
        subjects = (outcome.request, outcome.node)
        if outcome.how == "answered" and outcome.detail:
            yield Violation("MIXED", at, outcome.detail, subjects)
        for _, run in index.began.get(outcome.request, ()):
            if outcome.status in const.NOT_RUN_STATUSES:
                detail = f"answered {outcome.status}, but run by {run.server}"
                yield Violation("REFUSED", at, detail, subjects)


def check_lost_requests(index: HistoryIndex) -> Iterator[Violation]:
    """Find requests that an undisturbed node read and did not answer."""
    for at, outcome in index.outcomes:
        sent_at, sent = index.sent[outcome.request]
        runs = index.began.get(outcome.request, [])
        detail = ""
        if outcome.how == "broken":
            detail = _explain_closed_connection(index, at, outcome, runs)
        elif outcome.how == "left":
            overdue_at = (
                sent.until + const.LATE_RESPONSE_SECONDS - DEADLINE_SLACK_SECONDS
            )
            if at >= overdue_at and not index.was_starved(outcome.node, sent_at, at):
                detail = "no answer well after its deadline"
        elif outcome.status in FAILURE_STATUSES and not outcome.stamped:
            detail = _explain_error_response(index, at, outcome, runs)
        if not detail or index.was_disrupted(outcome.node, sent_at, at):
            continue
        stop = index.find_sigterm(outcome.node, at)
        if stop is not None:
            detail += f"; SIGTERM at {stop:.3f}, sent {sent_at - stop:.3f} s after it"
        yield Violation("LOST", at, detail, (outcome.request, outcome.node))


def _explain_closed_connection(
    index: HistoryIndex, at: float, outcome: Outcome, runs: Runs
) -> str:
    """Return why a closed connection is a lost request, or an empty text."""
    sent_at, sent = index.sent[outcome.request]
    may_be_unread = at - sent_at <= const.UNREAD_REQUEST_SECONDS
    may_be_unread = may_be_unread or index.was_starved(outcome.node, sent_at, at)
    if (may_be_unread and not runs) or _is_end_allowed(index, at, sent_at, sent, runs):
        return ""
    return f"closed without an answer, run by {[run.server for _, run in runs]}"


def _explain_error_response(
    index: HistoryIndex, at: float, outcome: Outcome, runs: Runs
) -> str:
    """Return why a stopping node's error response is a lost request, or an empty text.

    It is one if the server was still running the request without a fault near it.
    """
    sent_at, sent = index.sent[outcome.request]
    if index.find_sigterm(outcome.node, at) is None:
        return ""
    if _is_end_allowed(index, at, sent_at, sent, runs):
        return ""
    for began_at, run in runs:
        _, how = index.finished.get((run.request, run.server), (0.0, ""))
        label = run.server.partition(".")[0]
        is_excused = index.has_fault_near(label, began_at, at) or index.was_isolated(
            sent.node, began_at, at
        )
        if how == "cut" and not is_excused:
            return f"answered {outcome.status} while {run.server} was running it"
    return ""


def _is_end_allowed(
    index: HistoryIndex, at: float, sent_at: float, sent: Sent, runs: Runs
) -> bool:
    """Return whether a request may end unanswered.

    It may do so at its deadline, and near the end of its node's grace period if it was
    sent early enough.
    """
    deadline = min(sent.until, sent_at + const.ROUTE_TIMEOUT_MS / 1000)
    if at >= deadline - DEADLINE_SLACK_SECONDS:
        return True
    sigterm_at = index.find_sigterm(sent.node, sent_at)
    if sigterm_at is None or sent_at > sigterm_at + const.EARLY_SEND_SECONDS:
        return False
    ends = [index.finished.get((run.request, run.server), (at, "")) for _, run in runs]
    return any(end >= sigterm_at + const.LATE_WORK_SECONDS for end, _ in ends)


def check_process_ends(index: HistoryIndex) -> Iterator[Violation]:
    """Find processes that exit without a signal, with an error, or too late.

    A process must exit within the grace period after SIGTERM.
    """
    for at, end in index.ended:
        sigterm_at = end.asked_at if end.asked_at >= 0 else at
        if index.was_disrupted(end.node, sigterm_at, at):
            continue
        if end.code == SIGTERM_EXIT_CODE and not _has_responded(
            index, end.node, sigterm_at
        ):
            continue
        is_own_end = end.asked_at < 0 and not end.killed
        damage = end.code == DAMAGED_DATA_EXIT_CODE
        if is_own_end and damage and index.has_started_on_damage(end.node, at):
            # The exit at its start is what the fault asks of it, however late it comes.
            continue
        if is_own_end:
            detail = f"ended without SIGTERM or SIGKILL, exit status {end.code}"
            yield Violation("ENDED", at, detail, (end.node,))
        elif end.asked_at >= 0 and (end.killed or end.code):
            detail = f"exit status {end.code}, {at - sigterm_at:.2f} s after SIGTERM"
            yield Violation("GRACE", at, detail, (end.node,))


def _has_responded(index: HistoryIndex, node: str, until: float) -> bool:
    """Return whether a process has answered anything since its start.

    A process that is still starting has no SIGTERM handler and no requests yet, so
    SIGTERM may end it at once.
    """
    starts = [at for at, start in index.started if start.node == node and at <= until]
    since = max(starts, default=0.0)
    for at, record in index.events:
        if since < at <= until and getattr(record, "node", "") == node:
            match record:
                case Readied(status=status) | Outcome(status=status) if status:
                    return True
                case Beaten() | Read():
                    return True
    return False


def check_memory(index: HistoryIndex) -> Iterator[Violation]:
    """Find processes that hold more memory than the smallest machine has."""
    for at, grown in index.list_records(Grown):
        yield Violation("MEMORY", at, f"{grown.megabytes} MB", (grown.node,))


def check_drain(index: HistoryIndex) -> Iterator[Violation]:
    """Find requests sent to a server long after a node acknowledged its draining.

    Faults near the sending node, the control nodes or the server's connections excuse
    them, since the sending node may have learned of the draining late.
    """
    draining: dict[str, float] = {}
    for at, record in index.events:
        match record:
            case Beaten(server, "draining"):
                draining.setdefault(server, at)
            case Began(request, server) if server in draining:
                since, arrived = draining[server], record.arrived
                sent = index.sent.get(request)
                label = server.partition(".")[0]
                if arrived - since <= const.DRAIN_SECONDS or sent is None:
                    continue
                fault_kinds = [a.what for _, a in index.acted if a.target == label]
                may_be_delayed = index.was_starved(sent[1].node, since, arrived) or {
                    "cut",
                    "delay",
                } & {*fault_kinds}
                if (
                    index.was_undisturbed(sent[1].node, since, arrived)
                    and not may_be_delayed
                ):
                    detail = f"arrived {arrived - since:.3f} s after draining began"
                    yield Violation("DRAIN", at, detail, (request, server))


def check_ready(index: HistoryIndex) -> Iterator[Violation]:
    """Find nodes that refuse a new connection just after they reported ready.

    The proxy accepts connections even when its node is down, and resets them then:
    a reset of a new connection counts as a refusal.
    """
    last_readiness: dict[str, tuple[float, int]] = {}
    for at, record in index.events:
        match record:
            case Readied(node, status):
                last_readiness[node] = at, status
            case Unreached(node):
                yield from _check_was_ready(index, at, node, last_readiness)
            case Outcome(request, node, "broken") if request not in index.began:
                sent_at, sent = index.sent[request]
                if sent.fresh and at - sent_at <= const.UNREAD_REQUEST_SECONDS:
                    yield from _check_was_ready(index, at, node, last_readiness)


def _check_was_ready(
    index: HistoryIndex,
    at: float,
    node: str,
    last_readiness: dict[str, tuple[float, int]],
) -> Iterator[Violation]:
    """Find a node that refused a connection although it had just reported ready."""
    since, status = last_readiness.get(node, (0.0, 0))
    if status != 200 or at - since > const.READY_VALID_SECONDS:
        return
    if not index.was_starved(node, since, at) and not index.has_fault_near(
        node, since, at
    ):
        yield Violation("READY", at, f"reported ready {at - since:.3f} s ago", (node,))


def list_unrecovered(index: HistoryIndex) -> list[tuple[float, str]]:
    """Return the last start of each node that has served nothing since, and its name.

    An answered request, an acknowledged heartbeat or a configuration read counts. Once
    a control node was parted, the group "control" has to accept a change after the last
    fault of a control node.
    """
    last_start = {start.node: at for at, start in index.started}
    last_use: dict[str, float] = {}
    for at, record in index.events:
        match record:
            case Outcome(node=node, status=200, stamped=True):
                last_use[node] = at
            case Beaten(node=node) | Read(node=node):
                last_use[node] = at
    disturbed = [at for node, at in last_start.items() if node.startswith("control")]
    disturbed += [a.until for _, a in index.acted if a.target.startswith("control")]
    if any(act.what in const.PARTINGS for _, act in index.acted):
        last_start["control"] = max(disturbed)
        last_use["control"] = max((at for at, _ in index.accepted), default=-1.0)
    return [
        (at, node) for node, at in last_start.items() if last_use.get(node, -1.0) < at
    ]


def check_recovery(index: HistoryIndex) -> Iterator[Violation]:
    """Find nodes that serve nothing long after their start and the last fault."""
    for start, node in list_unrecovered(index):
        fault_ends = [
            a.until for _, a in index.acted if a.target.startswith((node, "control"))
        ]
        idle = index.now - max([start, *fault_ends])
        if idle > const.RECOVERY_SECONDS:
            detail = f"served nothing {idle:.1f} s after its start and the last fault"
            yield Violation("RECOVER", index.now, detail, (node,))


def check_isolation(index: HistoryIndex) -> Iterator[Violation]:
    """Find entry nodes, cut off from all servers, that serve far worse than others."""
    notice = const.ISOLATION_NOTICE_SECONDS
    cuts = [(at, act) for at, act in index.acted if act.what in const.ISOLATIONS]
    tries = list(_list_first_tries(index)) if cuts else []
    for since, act in cuts:
        here: list[bool] = []
        others: list[bool] = []
        for at, node, is_served in tries:
            if not since + notice <= at <= act.until:
                continue
            if any(
                cut.target == node and start + notice <= at <= cut.until
                for start, cut in cuts
            ):
                here.append(is_served)
            elif not index.was_isolated(node, at - notice, at):
                others.append(is_served)
        if _is_far_worse(here, others):
            detail = (
                f"isolated nodes served {sum(here)} of {len(here)} first tries, "
                f"the others {sum(others)} of {len(others)}"
            )
            yield Violation("RECOVER", index.now, detail, (act.target,))
            return


def _list_first_tries(index: HistoryIndex) -> Iterator[tuple[float, str, bool]]:
    """Return each first try at a node in touch: its time, the node, whether served."""
    for at, record in index.events:
        tried_at, is_served = at, False
        match record:
            case Unreached(node, again=False):
                pass
            case Outcome(request, node, how, status):
                tried_at, sent = index.sent[request]
                has_given_up_early = how == "left" and at < sent.until
                if sent.again or has_given_up_early:
                    continue
                is_served = status == 200
            case _:
                continue
        if index.was_in_touch(node, tried_at, at):
            yield tried_at, node, is_served


def _is_far_worse(here: list[bool], others: list[bool]) -> bool:
    """Return whether tries here are served too rarely, and too many of all fail."""
    failed = len(here) - sum(here)
    allowed_share = const.MAX_ISOLATED_FAILED_SHARE * (len(here) + len(others))
    if failed <= const.MAX_ISOLATED_FAILED_COUNT + allowed_share or not others:
        return False
    ratio = sum(here) / len(here)
    return ratio < const.MIN_ISOLATED_SERVED_RATIO * sum(others) / len(others)


def check_config_reads(index: HistoryIndex) -> Iterator[Violation]:
    """Find reads of an outdated, altered or refused configuration."""
    for at, read in index.events:
        if not isinstance(read, Read):
            continue
        for put_at, put in index.accepted:
            slack = 0.0 if read.last else const.CONFIG_APPLY_SECONDS
            detail = ""
            if put_at + slack < read.sent_at and put.version > read.version:
                detail = f"read r{read.version} after r{put.version} was accepted"
            elif put.version == read.version and put.content != read.content:
                detail = f"r{read.version} differs from the accepted content"
            if detail:
                yield Violation("CONFIG", at, detail, (read.node, put.node))
        matching = [p for _, p in index.puts if _matches_change(p, read)]
        if matching and all(put.status >= 400 for put in matching):
            detail = f"r{read.version} took effect although it was refused"
            yield Violation("CONFIG", at, detail, (read.node, matching[0].node))


def _matches_change(put: Put, read: Read) -> bool:
    """Return whether a read returned the configuration that a change put."""
    return (put.version, put.content) == (read.version, read.content)


def check_config_changes(index: HistoryIndex) -> Iterator[Violation]:
    """Find two changes accepted on one base version, and refused repeats."""
    bases: dict[int, Put] = {}
    for at, put in index.accepted:
        other = bases.setdefault(put.base, put)
        if (other.version, other.content) != (put.version, put.content):
            detail = f"r{other.version} and r{put.version} on top of r{put.base}"
            yield Violation("CONFIG", at, detail, (put.node, other.node))
    for at, put in index.puts:
        if put.again and put.status not in (0, 200):
            detail = f"r{put.version} was accepted, its repeat refused ({put.status})"
            yield Violation("CONFIG", at, detail, (put.node,))


def check_unknown_routes(index: HistoryIndex) -> Iterator[Violation]:
    """Find 404 responses of undisturbed nodes on a route that has been accepted."""
    for at, outcome in index.outcomes:
        if outcome.status != 404 or outcome.stamped or not index.is_over:
            continue
        sent_at, sent = index.sent[outcome.request]
        applied_before = sent_at - const.CONFIG_APPLY_SECONDS
        applied = [
            (put.version, since)
            for since, put in index.accepted
            if since < applied_before
        ]
        if not applied:
            continue
        version, since = max(applied)
        possible = [p for _, p in index.puts if p.version >= version and p.sent_at < at]
        route_text = f'"name": "{sent.route}"'
        if all(route_text in put.content for put in possible):
            subjects = (outcome.request, outcome.node)
            if index.was_undisturbed(outcome.node, since, at):
                yield Violation("CONFIG", at, f"404 on {sent.route}", subjects)


CHECKS: Final = (
    check_owner, check_runs, check_responses, check_lost_requests, check_process_ends,
    check_drain, check_leaving, check_evacuations, check_limits, check_pauses,
    check_memory, check_ready,
    check_recovery, check_isolation, check_config_reads, check_config_changes,
    check_unknown_routes,
)  # fmt: skip


def check_history(index: HistoryIndex) -> list[Violation]:
    """Return the violations of all checks in the order of their times."""
    violations = [violation for check in CHECKS for violation in check(index)]
    return sorted(violations, key=lambda violation: violation.at)
