"""Checks of what nodes do after a server said that it leaves, or how much it takes."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from typing import NamedTuple

from . import const
from .history_index import HistoryIndex
from .models import (
    Began,
    Evacuated,
    Limited,
    Outcome,
    Returned,
    Told,
    Violation,
)

__all__ = ["check_evacuations", "check_leaving", "check_limits", "check_pauses"]


def check_leaving(index: HistoryIndex) -> Iterator[Violation]:
    """Find requests to a server long after it told the same node that it leaves.

    Only a restart or a freeze of the node excuses them.
    """
    told: dict[tuple[str, str], float] = {}
    answered = {o.request: at for at, o in index.outcomes if o.how == "answered"}
    for at, record in index.events:
        match record:
            case Told(request, server, "leaving") if request in answered:
                node = index.sent[request][1].node
                told.setdefault((node, server), max(at, answered[request]))
            case Began(request, server) if request in index.sent:
                sent_at, sent = index.sent[request]
                since = told.get((sent.node, server), sent_at)
                late = sent_at - since
                if late <= const.DRAIN_SECONDS or index.was_restarted_or_frozen(
                    sent.node, since, at
                ):
                    continue
                detail = f"sent {late:.3f} s after its node was told"
                yield Violation("DRAIN", at, detail, (request, server, sent.node))


def check_pauses(index: HistoryIndex) -> Iterator[Violation]:
    """Find nodes that send more than two requests to a server in its pause."""
    pauses: dict[tuple[str, str], tuple[float, float]] = {}
    counts: dict[tuple[str, str], int] = {}
    for at, record in index.events:
        if not isinstance(record, Told | Began) or record.request not in index.sent:
            continue
        if isinstance(record, Told) and record.what != "pause":
            continue
        node = index.sent[record.request][1].node
        key = (node, record.server)
        since, until = pauses.get(key, (at, at))
        if since + const.PAUSE_NOTICE_SECONDS < at < until:
            counts[key] = counts.get(key, 0) + 1
            if counts[key] > const.MAX_PAUSED_ARRIVAL_COUNT and not _is_excused(
                index, node, since, at
            ):
                detail = f"request {counts[key]} in a pause, {at - since:.3f} s after"
                yield Violation("BUDGET", at, detail, (record.request, *key))
        if isinstance(record, Told) and at >= until:
            pauses[key] = (at, at + record.seconds)
            counts[key] = 0


def check_evacuations(index: HistoryIndex) -> Iterator[Violation]:
    """Find requests that reach a server of an evacuated zone after the bound.

    A restart, freeze or cut of the node excuses them, and any fault of control nodes.
    """
    evacuated: dict[str, float] = {}
    for at, record in index.events:
        match record:
            case Evacuated(zone):
                evacuated[zone] = at
            case Returned(zone):
                evacuated.pop(zone, None)
            case Began(request, server) if request in index.sent:
                since = evacuated.get(find_zone(server), at)
                late = record.arrived - since
                node = index.sent[request][1].node
                if late <= const.EVACUATION_SECONDS or (
                    index.was_restarted_or_frozen(node, since, at)
                    or index.was_cut(node, since, at)
                    or index.has_fault_near("control", since, at)
                ):
                    continue
                detail = f"arrived {late:.3f} s after the zone was evacuated"
                yield Violation("EVAC", at, detail, (request, server, node))


def find_zone(server: str) -> str:
    """Return the availability zone of a server's instance.

    >>> find_zone("server-3.12")
    'zone-a'
    """
    number = int(server.partition(".")[0].rpartition("-")[2])
    return const.ZONES[number % len(const.ZONES)]


class _LimitedArrival(NamedTuple):
    """A request at a server that named a limit, from a node that it had told."""

    at: float
    request: str
    node: str
    per_second: float


def check_limits(index: HistoryIndex) -> Iterator[Violation]:
    """Find servers that get more than their limit allows from nodes that they told.

    Only a restart, freeze or cut of a node excuses what it sends.
    """
    told: dict[tuple[str, str], float] = {}
    named: dict[str, float] = {}
    servers: dict[str, str] = {}
    arrivals: defaultdict[str, list[_LimitedArrival]] = defaultdict(list)
    for at, record in index.events:
        match record:
            case Outcome(request, node, "answered") if request in servers:
                named.setdefault(servers[request], at)
                told.setdefault((node, servers[request]), at)
            case Limited(request, server, per_second) if request in index.sent:
                servers[request] = server
                node = index.sent[request][1].node
                since = told.get((node, server), at)
                if (
                    at < named.get(server, at) + const.LIMIT_NOTICE_SECONDS
                    or at < since + const.LIMIT_TOLD_SECONDS
                    or index.was_restarted_or_frozen(node, since, at)
                    or index.was_cut(node, since, at)
                ):
                    continue
                arrivals[server].append(_LimitedArrival(at, request, node, per_second))
                yield from _check_window(server, arrivals[server])


def _check_window(server: str, arrivals: list[_LimitedArrival]) -> Iterator[Violation]:
    """Find a window that ends with the last arrival and has too many."""
    last = arrivals[-1]
    since = last.at - const.LIMIT_WINDOW_SECONDS
    window = [arrival for arrival in arrivals if arrival.at > since]
    per_second = max(arrival.per_second for arrival in window)
    allowed = const.LIMIT_FACTOR * const.LIMIT_WINDOW_SECONDS * per_second
    allowed += const.LIMIT_EXTRA_COUNT
    if len(window) > allowed:
        detail = f"{len(window)} requests at {per_second:.2f} requests/s"
        yield Violation("LIMIT", last.at, detail, (last.request, server, last.node))


def _is_excused(index: HistoryIndex, node: str, start: float, end: float) -> bool:
    """Return whether a restart, freeze or cut of a node excuses what it sends."""
    return index.was_disrupted(node, start, end) or index.was_restarted_or_frozen(
        node, start, end
    )
