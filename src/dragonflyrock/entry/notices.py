"""What servers say in their responses: that they leave, want a pause, or a limit."""

from __future__ import annotations

from typing import Final

from ..http.retry_after import RequestedPause, read_requested_pause
from ..http.server_leaving import LeavingNotice, read_leaving
from ..http.server_limit import NamedLimit, read_named_limit
from ..models import ServerRow
from ..observe import EventRing
from .forward import ServerResponse
from .gate import Gate

__all__ = ["LEAVING_HEADER", "LIMIT_HEADER", "ServerNotices"]

LEAVING_HEADER: Final = "X-Server-Leaving"
LIMIT_HEADER: Final = "X-Server-Limit"


class ServerNotices:
    """Pass what servers say on to the gate, and record it as events."""

    def __init__(self, gate: Gate, events: EventRing) -> None:
        """Initialize for a gate."""
        self._gate = gate
        self._events = events

    def receive(
        self, server: ServerRow, response: ServerResponse, sent_at: float
    ) -> None:
        """Read the headers of a server's response.

        ``sent_at`` is when the request was sent, in seconds of the host's clock.
        """
        leaving = read_leaving(
            value
            for name, value in response.headers
            if name.lower() == LEAVING_HEADER.lower()
        )
        leaves = leaving == LeavingNotice.LEAVES
        if leaving == LeavingNotice.UNREADABLE:
            self._events.add("leaving-unreadable", server=server.holder)
        pause = _find_requested_pause(response)
        if leaves or pause is not None:
            self._gate.record_notices(server, leaves=leaves, pause=pause)
        if pause is not None:
            detail = f"{pause.seconds:.3f} s"
            if pause.problem:
                detail += f"; Retry-After: {pause.problem}"
            self._events.add("server-paused", server=server.holder, detail=detail)
        self._receive_limit(server, response, sent_at)

    def _receive_limit(
        self, server: ServerRow, response: ServerResponse, sent_at: float
    ) -> None:
        """Record the limit that a response names, or that it names none any more."""
        limit = _find_named_limit(response)
        if limit is None:
            # A failure may come from a part of the server that does not name its limit.
            succeeded = 200 <= response.status < 300
            if succeeded and self._gate.rates.lift_limit(server, sent_at):
                self._events.add("server-limit-ended", server=server.holder)
            return
        changed = limit.per_second is not None and self._gate.rates.record_limit(
            server, limit.per_second
        )
        if changed or limit.per_second is None:
            detail = f"{limit.per_second} requests/s"
            if limit.problem:
                detail += f"; {LIMIT_HEADER}: {limit.problem}"
            self._events.add("server-limited", server=server.holder, detail=detail)


def _find_requested_pause(response: ServerResponse) -> RequestedPause | None:
    """Return the pause that a server asks for when it turns a request away."""
    if response.status != 503:
        return None
    return read_requested_pause(
        value for name, value in response.headers if name.lower() == "retry-after"
    )


def _find_named_limit(response: ServerResponse) -> NamedLimit | None:
    """Return the limit that a server names in a response, or None."""
    return read_named_limit(
        value
        for name, value in response.headers
        if name.lower() == LIMIT_HEADER.lower()
    )
