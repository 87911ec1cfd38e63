"""What servers say in their responses: that they leave, or want a pause."""

from __future__ import annotations

from typing import Final

from ..http.retry_after import RequestedPause, read_requested_pause
from ..models import ServerRow
from ..observe import EventRing
from .forward import ServerResponse
from .gate import Gate

__all__ = ["LEAVING_HEADER", "ServerNotices"]

LEAVING_HEADER: Final = "X-Server-Leaving"


class ServerNotices:
    """Pass what servers say on to the gate, and record it as events."""

    def __init__(self, gate: Gate, events: EventRing) -> None:
        """Initialize for a gate."""
        self._gate = gate
        self._events = events

    def receive(self, server: ServerRow, response: ServerResponse) -> None:
        """Read the headers of a server's response."""
        leaves = any(
            name.lower() == LEAVING_HEADER.lower() and value.strip() == "1"
            for name, value in response.headers
        )
        pause = _find_requested_pause(response)
        if not leaves and pause is None:
            return
        self._gate.record_notices(server, leaves=leaves, pause=pause)
        if pause is not None:
            detail = f"{pause.seconds:.3f} s"
            if pause.problem:
                detail += f"; Retry-After: {pause.problem}"
            self._events.add("server-paused", server=server.holder, detail=detail)


def _find_requested_pause(response: ServerResponse) -> RequestedPause | None:
    """Return the pause that a server asks for when it turns a request away."""
    if response.status != 503:
        return None
    return read_requested_pause(
        value for name, value in response.headers if name.lower() == "retry-after"
    )
