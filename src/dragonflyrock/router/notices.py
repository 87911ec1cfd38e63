"""What servers say in their responses: that they leave, want a pause, or a limit."""

from __future__ import annotations

from ..http import Response, find_header
from ..http.retry_after import PauseProblem, RequestedPause, read_requested_pause
from ..http.server_leaving import LeavingNotice, read_leaving
from ..http.server_limit import NamedLimit, read_named_limit
from ..observe.lines import LineLog
from ..tables import ColdNotice
from .choice import hash_fraction
from .header_names import HeaderNames
from .headers import parse_cold_seconds
from .models import RouterConfig
from .server_stats import ServerStat
from .state import RouterState

__all__ = [
    "find_leaving",
    "find_named_limit",
    "find_requested_pause",
    "record_cold",
    "record_notices",
]


def find_leaving(response: Response, names: HeaderNames) -> LeavingNotice:
    """Return whether the server says that it leaves."""
    return read_leaving(
        value.decode("latin-1")
        for name, value in response.headers
        if name.lower() in names.leaving
    )


def find_requested_pause(
    response: Response, names: HeaderNames
) -> RequestedPause | None:
    """Return the pause that a server asks for when it turns a request away."""
    if response.status != 503:
        return None
    return read_requested_pause(
        value.decode("latin-1")
        for name, value in response.headers
        if name.lower() in names.pause
    )


def find_named_limit(response: Response, names: HeaderNames) -> NamedLimit | None:
    """Return the limit that a server names in a response, or None."""
    return read_named_limit(
        value.decode("latin-1")
        for name, value in response.headers
        if name.lower() in names.limit
    )


def record_notices(
    state: RouterState,
    stat: ServerStat,
    response: Response,
    config: RouterConfig,
    lines: LineLog,
    sent_at: float,
    now: float,
) -> None:
    """Record what a response says about its server, and log what is new.

    ``sent_at`` is when the request was sent. What another server at the address says
    does not count.
    """
    name = find_header(response.headers, config.header_names.server_name)
    if name is not None and name != stat.row.name.encode():
        return
    leaving = find_leaving(response, config.header_names)
    if leaving == LeavingNotice.LEAVES:
        state.mark_leaving(stat)
    elif leaving == LeavingNotice.UNREADABLE:
        lines.add("leaving-unreadable", server=stat.row.holder)
    record_cold(state, stat, response, config)
    _record_limit(state, stat, response, config, lines, sent_at)
    pause = find_requested_pause(response, config.header_names)
    if pause is None:
        return
    was_paused = state.pauses.get_seconds_left(stat.row, now) > 0
    fraction = hash_fraction(config.host, stat.row.name)
    row = state.pauses.record(stat.row, pause.seconds, now, fraction)
    if not was_paused:
        state.report_pause(row, pause.seconds)
    if not was_paused or pause.problem:
        _log_pause(lines, row.holder, pause)


def _record_limit(
    state: RouterState,
    stat: ServerStat,
    response: Response,
    config: RouterConfig,
    lines: LineLog,
    sent_at: float,
) -> None:
    """Record the limit that a response names, or that it names none any more."""
    limit = find_named_limit(response, config.header_names)
    holder = stat.row.holder
    if limit is None:
        # A failure may come from a part of the server that does not name its limit.
        succeeded = 200 <= response.status < 300
        if succeeded and state.rates.lift_limit(stat.row, sent_at):
            lines.add("server-limit-ended", server=holder)
        return
    changed = limit.per_second is not None and state.rates.record_limit(
        stat.row, limit.per_second
    )
    if changed or limit.per_second is None:
        lines.add(
            "server-limited",
            server=holder,
            per_second="" if limit.per_second is None else limit.per_second,
            detail=f"Server-Limit: {limit.problem}" if limit.problem else "",
        )


def record_cold(
    state: RouterState,
    stat: ServerStat,
    response: Response,
    config: RouterConfig,
) -> None:
    """Record that a server says in a response how long it stays cold.

    Its heartbeats say when it is warm again: a response may have been delayed.
    """
    seconds = parse_cold_seconds(response, config.header_names)
    if not seconds:
        return
    sequence = state.cold.get_sequence(stat.row.name)
    state.record_cold((ColdNotice(stat.row.name, sequence, seconds),))


def _log_pause(lines: LineLog, holder: str, pause: RequestedPause) -> None:
    """Log a pause, and what is wrong with its value."""
    detail = ""
    if pause.problem != PauseProblem.NONE:
        detail = f"Retry-After: {pause.problem}"
    lines.add("server-paused", server=holder, seconds=pause.seconds, detail=detail)
