"""Checks of what nodes do after a server said that it leaves, or wants a pause."""

from __future__ import annotations

from collections.abc import Iterator

from . import const
from .history_index import HistoryIndex
from .models import Began, Told, Violation

__all__ = ["check_leaving", "check_pauses"]


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


def _is_excused(index: HistoryIndex, node: str, start: float, end: float) -> bool:
    """Return whether a restart, freeze or cut of a node excuses what it sends."""
    return index.was_disrupted(node, start, end) or index.was_restarted_or_frozen(
        node, start, end
    )
