"""Check whether a server has ended while it ran a request, and report the request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from ..http import ConnectionPool, ExchangeFault, FaultKind, ServerConnection
from ..observe.lines import LineLog
from .models import CrashReporter
from .reach import ServerReach
from .server_stats import ServerStat, record_unreachable

__all__ = ["CrashChecks", "LostRequest"]

# A process that ends loses all its connections, but not at the same instant.
SETTLE_SECONDS: Final = 0.02
# A server that is full, or whose process is just ending, accepts a new connection and
# resets it. One that is still there after this is full.
LOOK_AGAIN_SECONDS: Final = 0.05
MAX_LOOKS: Final = 3
# Time in which an answer to the same request shows that it ends no server; longer if it
# was answered before, which one that ends each server never is.
DOUBT_SECONDS: Final = 1.0
LONG_DOUBT_SECONDS: Final = 5.0
# A suspect runs beside no other one, so it is the likeliest cause. It is reported
# before the requests that ran beside it, which its quarantine then explains.
SUSPECT_DOUBT_SECONDS: Final = 0.5
# Requests whose answers are remembered, and for how long.
MAX_ANSWERED_REQUESTS: Final = 4096
ANSWERED_SECONDS: Final = 60.0


class LostRequest(NamedTuple):
    """A request whose connection was lost; ``key`` is the same for equal requests.

    ``was_early`` is set if it was lost so soon that its server may only be full, and
    ``was_suspect`` if it was suspected of ending servers before.
    """

    request_id: str
    key: int
    fingerprint: str
    method: str
    target: str
    was_early: bool
    was_suspect: bool = False


@dataclass(slots=True)
class _ServerCheck:
    """A check of one server, and the keys of the requests that were lost there.

    The task returns how the server could not be reached; empty if it runs.
    """

    task: asyncio.Task[str]
    keys: set[int] = field(default_factory=set)


class CrashChecks:
    """Report requests that were running on servers that have ended.

    A request that was not alone there, or that this host has seen answered lately, is
    reported only if it is not answered again for some time: a request that ends each
    server which runs it is never answered. No request is reported for the end of a
    server that a quarantined one explains.
    """

    def __init__(
        self,
        connections: ConnectionPool,
        reach: ServerReach,
        reporter: CrashReporter,
        lines: LineLog,
        clock: Callable[[], float],
        release: Callable[[ServerStat, ServerConnection], None],
        is_explained: Callable[[str], bool] = lambda life: False,
    ) -> None:
        """Start without checks; ``release`` keeps a connection that was opened.

        ``is_explained`` returns whether a quarantined request has ended a life.
        """
        self._connections = connections
        self._reach = reach
        self._reporter = reporter
        self._lines = lines
        self._clock = clock
        self._release = release
        self._is_explained = is_explained
        self._server_checks: dict[str, _ServerCheck] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._answered_at: dict[int, float] = {}

    def begin(self, lost: LostRequest, stat: ServerStat) -> None:
        """Check the server of a lost request, and report the request if it ended.

        The request does not wait for this: a server without power never responds.
        """
        task = asyncio.create_task(self._check(lost, stat))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def record_answer(self, key: int) -> None:
        """Record that a server has run a request and answered it."""
        now = self._clock()
        self._answered_at.pop(key, None)
        self._answered_at[key] = now
        if len(self._answered_at) > MAX_ANSWERED_REQUESTS:
            del self._answered_at[next(iter(self._answered_at))]

    async def _check(self, lost: LostRequest, stat: ServerStat) -> None:
        """Check a server, and report the request unless it is innocent."""
        began_at = self._clock()
        was_answered = self._was_answered_since(lost.key, began_at - ANSWERED_SECONDS)
        check = self._share_check(lost, stat)
        check.keys.add(lost.key)
        detail = await asyncio.shield(check.task)
        if not detail:
            return
        # It may be this host's links that were lost, and not the server.
        is_reported = await self._reach.check(stat.row.address)
        was_alone = len(check.keys) == 1
        life = stat.row.life
        self._lines.add(
            "server-lost",
            id=lost.request_id,
            server=life,
            fingerprint=lost.fingerprint[:16],
            detail=detail,
            reported=is_reported,
            alone=was_alone,
            answered=was_answered,
            suspect=lost.was_suspect,
        )
        if not is_reported:
            return
        doubt = 0.0 if was_alone else DOUBT_SECONDS
        if lost.was_suspect:
            doubt = SUSPECT_DOUBT_SECONDS
        if was_answered:
            doubt = LONG_DOUBT_SECONDS
        if doubt and await self._is_answered(lost, began_at, doubt):
            return
        if self._is_explained(life):
            self._lines.add(
                "crash-explained",
                id=lost.request_id,
                server=life,
                fingerprint=lost.fingerprint[:16],
            )
            return
        self._reporter.report_crash(lost.fingerprint, lost.method, lost.target, life)

    def _was_answered_since(self, key: int, since: float) -> bool:
        """Return whether an equal request was answered after a time."""
        return self._answered_at.get(key, float("-inf")) > since

    async def _is_answered(
        self, lost: LostRequest, since: float, seconds: float
    ) -> bool:
        """Return whether an equal request is answered within some seconds."""
        await asyncio.sleep(max(0.0, since + seconds - self._clock()))
        if not self._was_answered_since(lost.key, since):
            return False
        self._lines.add(
            "crash-doubted", id=lost.request_id, fingerprint=lost.fingerprint[:16]
        )
        return True

    def _share_check(self, lost: LostRequest, stat: ServerStat) -> _ServerCheck:
        """Return the check of a server in progress, or begin one."""
        life = stat.row.life
        check = self._server_checks.get(life)
        if check is None:
            task = asyncio.create_task(self._look(stat, is_early=lost.was_early))
            check = self._server_checks[life] = _ServerCheck(task)
            task.add_done_callback(lambda _: self._server_checks.pop(life, None))
        return check

    async def _look(self, stat: ServerStat, *, is_early: bool) -> str:
        """Return how a server cannot be reached any more; empty if it runs.

        One that ends loses all its connections, so after an early loss another one
        that is open shows that it runs, without a new connection for each rejection of
        a full server.
        """
        address = stat.row.address
        await asyncio.sleep(SETTLE_SECONDS)
        if is_early and self._connections.has_open(address):
            return ""
        for look in range(MAX_LOOKS):
            if look:
                await asyncio.sleep(LOOK_AGAIN_SECONDS)
            opened = await self._connections.connect_accepted(
                address, self._reach.connect_timeout
            )
            if not isinstance(opened, ExchangeFault):
                self._release(stat, opened)
                return ""
            if opened.kind == FaultKind.CONNECT_TIMEOUT and self._reach.is_link_busy:
                return ""
            if opened.kind != FaultKind.TURNED_AWAY:
                record_unreachable(stat, self._clock())
                self._connections.close_idle(address)
                self._reach.record_failure(address)
                return opened.detail
        return ""
