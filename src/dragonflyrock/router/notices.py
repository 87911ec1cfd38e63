"""What servers say in their responses: that they leave, or want a pause."""

from __future__ import annotations

from ..http import Response
from ..http.retry_after import PauseProblem, RequestedPause, read_requested_pause
from ..observe.lines import LineLog
from .choice import hash_fraction
from .header_names import HeaderNames
from .models import RouterConfig
from .server_stats import ServerStat
from .state import RouterState

__all__ = ["find_requested_pause", "is_leaving_response", "record_notices"]


def is_leaving_response(response: Response, names: HeaderNames) -> bool:
    """Return whether the server says that it leaves."""
    return any(
        name.lower() == names.leaving and value.strip() == b"1"
        for name, value in response.headers
    )


def find_requested_pause(response: Response) -> RequestedPause | None:
    """Return the pause that a server asks for when it turns a request away."""
    if response.status != 503:
        return None
    return read_requested_pause(
        value.decode("latin-1")
        for name, value in response.headers
        if name.lower() == b"retry-after"
    )


def record_notices(
    state: RouterState,
    stat: ServerStat,
    response: Response,
    config: RouterConfig,
    lines: LineLog,
    now: float,
) -> None:
    """Record what a response says about its server, and log what is new."""
    if is_leaving_response(response, config.header_names):
        state.mark_leaving(stat)
    pause = find_requested_pause(response)
    if pause is None:
        return
    was_paused = state.pauses.get_seconds_left(stat.row, now) > 0
    fraction = hash_fraction(config.host, stat.row.name)
    row = state.pauses.record(stat.row, pause.seconds, now, fraction)
    if not was_paused or pause.problem:
        _log_pause(lines, row.holder, pause)


def _log_pause(lines: LineLog, holder: str, pause: RequestedPause) -> None:
    """Log a pause, and what is wrong with its value."""
    detail = ""
    if pause.problem != PauseProblem.NONE:
        detail = f"Retry-After: {pause.problem}"
    lines.add("server-paused", server=holder, seconds=pause.seconds, detail=detail)
