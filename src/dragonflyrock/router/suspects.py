"""Requests that may end servers which run them: whether they run, and beside what."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from ..entry.request import make_fingerprint
from ..observe.lines import LineLog
from .crash_checks import LostRequest
from .models import CrashReporter, RequestContext
from .server_stats import ServerStat
from .state import RouterState

__all__ = ["Suspects", "compute_fingerprint"]

# Part of a target that is reported; the fingerprint is of all of it.
MAX_REPORTED_TARGET_BYTES: Final = 256
# Part of a body by which equal requests are recognized.
MAX_KEY_BODY_BYTES: Final = 16 * 1024


def compute_fingerprint(method: bytes, host: bytes, target: bytes, body: bytes) -> str:
    """Return the fingerprint of a request, which is the same for every sender."""
    return make_fingerprint(
        host.decode("latin-1"),
        method.decode("latin-1"),
        target.decode("latin-1"),
        body,
    )


class Suspects:
    """Look requests up in the quarantine, and have suspects run one at a time."""

    def __init__(
        self,
        state: RouterState,
        reporter: CrashReporter,
        lines: LineLog,
        clock: Callable[[], float],
    ) -> None:
        """Read the quarantine of ``state``; ``clock`` returns seconds."""
        self._state = state
        self._reporter = reporter
        self._lines = lines
        self._clock = clock

    @staticmethod
    def get_fingerprint(context: RequestContext) -> str:
        """Return the fingerprint of a request; compute it on first use."""
        if not context.fingerprint:
            request = context.request
            host = context.route.host.encode("latin-1")
            context.fingerprint = compute_fingerprint(
                request.method, host, request.target, request.body
            )
        return context.fingerprint

    def is_quarantined(self, context: RequestContext) -> bool:
        """Return whether a request is refused because it ends servers that run it."""
        quarantines = self._state.tables.quarantines
        if not quarantines:
            return False
        row = quarantines.get(self.get_fingerprint(context))
        if row is None or not row.refused:
            return False
        context.detail = "quarantined"
        return True

    def is_suspect(self, context: RequestContext) -> bool:
        """Return whether a request may have ended a server lately."""
        quarantines = self._state.tables.quarantines
        return bool(quarantines) and self.get_fingerprint(context) in quarantines

    def is_end_explained(self, life: str) -> bool:
        """Return whether a quarantined request has ended a life of a server."""
        quarantines = self._state.tables.quarantines.values()
        return any(row.refused and life in row.holders for row in quarantines)

    async def begin_run(self, context: RequestContext, stat: ServerStat) -> bool:
        """Return whether a request may run on a server beside those that run there.

        If a server ends while two suspects run on it, either may be the cause, so a
        suspect does not run beside another one.
        """
        if not self.is_suspect(context):
            return True
        seconds_left = context.deadline - self._clock()
        allowed = await self._reporter.begin_suspect_run(
            self.get_fingerprint(context), stat.row.life, seconds_left
        )
        if not allowed and not context.suspect_waits:
            context.suspect_waits = True
            self._lines.add(
                "suspect-waits",
                id=context.request_id.decode("latin-1"),
                server=stat.row.life,
                fingerprint=context.fingerprint[:16],
            )
        return allowed

    def record_answer(self, context: RequestContext) -> None:
        """Report that a server has run a request and still answers."""
        if self.is_suspect(context):
            self._reporter.clear_suspect(context.fingerprint)

    def describe(self, context: RequestContext, *, was_early: bool) -> LostRequest:
        """Return what is known of a request whose connection was lost."""
        request = context.request
        return LostRequest(
            context.request_id.decode("latin-1"),
            self.make_key(context),
            self.get_fingerprint(context),
            request.method.decode("latin-1"),
            request.target[:MAX_REPORTED_TARGET_BYTES].decode("latin-1"),
            was_early,
            self.is_suspect(context),
        )

    @staticmethod
    def make_key(context: RequestContext) -> int:
        """Return a key that is the same for equal requests within this process."""
        request = context.request
        body = request.body
        start = body[:MAX_KEY_BODY_BYTES]
        host = context.route.host
        return hash((request.method, host, request.target, len(body), start))
