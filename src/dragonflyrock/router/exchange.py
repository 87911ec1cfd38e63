"""One request: its route, its server, its sends, and its one final answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final, NamedTuple

from ..drain import Drain
from ..entry.request import make_fingerprint
from ..http import (
    CUT_BY_HOST,
    Connections,
    ExchangeFault,
    FaultKind,
    Headers,
    Request,
    Response,
    find_header,
    make_response,
)
from ..observe.lines import LineLog
from ..observe.metrics import Metrics
from ..routes import Route, SplitCounter
from .admission import find_limit
from .choice import choose_server, rank_home
from .header_names import HeaderNames
from .headers import (
    count_bytes,
    end_to_end,
    find_answer_fault,
    make_outgoing,
    read_load,
)
from .models import CrashReporter, Passage, Refused
from .servers import (
    LoadReport,
    ServerStat,
    estimate_backlog,
    estimate_unit,
    estimate_wait,
    is_silent,
    measure_work,
    note_answer,
    note_end,
    note_failure,
    note_full,
    note_report,
    note_sent,
)
from .state import RouterState

__all__ = ["Router", "RouterConfig"]

# A server answers at its own deadline; its answer needs this long to arrive.
ANSWER_SLACK_SECONDS: Final = 0.02
CONNECT_SECONDS: Final = 0.3
# A request that finds no owner, or one that is not the owner yet, asks again.
OWNER_WAIT_SECONDS: Final = 0.3
OWNER_POLL_SECONDS: Final = 0.06
# A connection that is lost so soon after a request was most likely refused.
FULL_RESET_SECONDS: Final = 0.012
# A server that leaves may get no request two seconds after it was told that this
# is known. A host learns of it within a renewal, and stops this long after.
LEAVING_SECONDS: Final = 0.9
MAX_BOUNCES: Final = 2
# Share of the time told that a request waits for the first rows of a new host.
FIRST_ROWS_SHARE: Final = 0.25
# A host without rows has waited for them; when to come back, to whichever host.
FIRST_ROWS_SECONDS: Final = 1.0
SHORTEST_RETRY_SECONDS: Final = 0.05
LONGEST_RETRY_SHARE: Final = 0.3
DEFAULT_DEADLINE_SECONDS: Final = 30.0


class RouterConfig(NamedTuple):
    """Who this host is, and the header names it uses."""

    host: str
    zone: str
    dialect: HeaderNames


class Router:
    """Answer callers' requests by the rows and statistics of this host.

    ``drain`` is set where the host was told to stop.
    """

    def __init__(
        self,
        config: RouterConfig,
        state: RouterState,
        connections: Connections,
        lines: LineLog,
        metrics: Metrics,
        clock: Callable[[], float],
        random: Random,
        crashes: CrashReporter,
    ) -> None:
        """Route by ``state`` over ``connections``."""
        self._config = config
        self._state = state
        self._connections = connections
        self._lines = lines
        self._metrics = metrics
        self._clock = clock
        self._random = random
        self._crashes = crashes
        self.drain: Drain | None = None
        self._splits = SplitCounter()
        self._split_start = rank_home(config.host, "split")
        self._longest: dict[str, float] = {}
        self._checks: set[asyncio.Task[None]] = set()

    async def handle(self, request: Request) -> Response:
        """Answer one request."""
        now = self._clock()
        dialect = self._config.dialect
        request_id = find_header(request.headers, dialect.request_id) or b""
        if not self._state.tables.document_version and self.drain is None:
            await self._wait_for_document(request, now)
        if not self._state.tables.document_version:
            return self._reject_unrouted(request_id, 503, "no route document yet")
        host = (find_header(request.headers, b"host") or b"").decode("latin-1")
        target = request.target.decode("latin-1")
        route = self._state.tables.routes.find(host.partition(":")[0], target)
        if route is None:
            return self._reject_unrouted(request_id, 404, f"no route: {host}{target}")
        passage = self._open(request, request_id, route, now)
        if self.drain is not None and not self.drain.takes(now, passage.deadline):
            response = self._refuse(passage, Refused("the host is stopping", 0.0))
            self._tell(passage, response.status, passage.detail)
            return response
        try:
            response = await self._run(passage)
        except asyncio.CancelledError as error:
            if CUT_BY_HOST not in error.args and not self._has_ended():
                self._tell(passage, 0, "client left")
                raise
            response = self._cut(passage)
        self._tell(passage, response.status, passage.detail)
        return response

    def _has_ended(self) -> bool:
        """Return whether the host's time is over.

        A cancellation loses its message where a time-out has expired beside it.
        """
        return self.drain is not None and self._clock() >= self.drain.end

    async def _wait_for_document(self, request: Request, now: float) -> None:
        """Wait for the first rows after a start, for a part of the time told."""
        told = find_header(request.headers, self._config.dialect.time_left_ms)
        left = int(told) / 1000 if told is not None and told.isdigit() else 1.0
        until = now + left * FIRST_ROWS_SHARE
        while not self._state.tables.document_version:
            left = until - self._clock()
            if left <= 0 or self.drain is not None:
                return
            await _wait_briefly(self._state.changed, min(left, OWNER_WAIT_SECONDS))

    def _reject_unrouted(self, request_id: bytes, status: int, detail: str) -> Response:
        """Answer a request that has no route here."""
        headers: Headers = ()
        if status == 503:
            headers = ((b"Retry-After", b"%.3f" % FIRST_ROWS_SECONDS),)
        self._lines.add(
            "request",
            id=request_id.decode("latin-1"),
            status=status,
            detail=detail,
            version=self._state.tables.document_version,
        )
        return self._own(status, detail, request_id, headers)

    def _own(
        self, status: int, detail: str, request_id: bytes, headers: Headers = ()
    ) -> Response:
        """Return an answer of this host's own."""
        name = self._config.dialect.request_id
        if request_id and name:
            headers = ((name, request_id), *headers)
        body = b'{"error": "%s"}' % detail.replace('"', "'").encode()
        return make_response(status, body, headers)

    def _open(
        self, request: Request, request_id: bytes, route: Route, now: float
    ) -> Passage:
        """Begin a request's passage."""
        dialect = self._config.dialect
        told = find_header(request.headers, dialect.time_left_ms)
        left = DEFAULT_DEADLINE_SECONDS
        if told is not None and told.isdigit():
            left = int(told) / 1000
        # Clients tell the same time on their first attempts; less means a retry.
        longest = max(self._longest.get(route.name, 0.0), left)
        if told is not None:
            self._longest[route.name] = longest
        passed = min(longest - left, longest) if told is not None else 0.0
        service = self._splits.pick(route, self._split_start)
        self._state.expect_work(service, route.target_ms / 1000)
        routed = self._state.tables.routed_services.get(service)
        key_hash: int | None = None
        if routed is not None and routed.keyed:
            key = find_header(request.headers, dialect.key) or b"0"
            key_hash = int(key) << dialect.key_shift if key.isdigit() else 0
            # What is refused counts too: a key is moved by what it is asked for.
            self._state.note_key(service, key_hash)
        self._state.budget(service).note_first(now)
        return Passage(
            request,
            request_id,
            route,
            service,
            key_hash,
            now,
            now + min(left, route.timeout_ms / 1000),
            now + route.target_ms / 1000 - passed,
        )

    # Sends

    async def _run(self, passage: Passage) -> Response:
        """Send a request until it is answered, refused, or out of time."""
        if self._is_quarantined(passage):
            return self._own(503, "the request is in quarantine", passage.request_id)
        while True:
            now = self._clock()
            if now >= passage.deadline:
                return self._give_up(passage)
            chosen = self._choose(passage, now)
            if isinstance(chosen, Refused):
                if await self._wait_for_owner(passage, chosen):
                    continue
                return self._refuse(passage, chosen)
            changed = self._state.changed
            response = await self._send(passage, chosen)
            if response is not None:
                return response
            if passage.misplaced:
                passage.misplaced = False
                await _wait_briefly(changed, OWNER_POLL_SECONDS)

    # Requests that end servers

    def _find_fingerprint(self, passage: Passage) -> str:
        """Return what a request has in common with the same one sent again."""
        if not passage.fingerprint:
            request = passage.request
            host = passage.route.host.encode("latin-1")
            passage.fingerprint = self.find_fingerprint(
                request.method, host, request.target, request.body
            )
        return passage.fingerprint

    @staticmethod
    def find_fingerprint(method: bytes, host: bytes, target: bytes, body: bytes) -> str:
        """Return the name of a request that ends servers, whoever sends it."""
        return make_fingerprint(
            host.decode("latin-1"),
            method.decode("latin-1"),
            target.decode("latin-1"),
            body,
        )

    def _is_quarantined(self, passage: Passage) -> bool:
        """Return whether a request is known to end the servers that run it."""
        quarantines = self._state.tables.quarantines
        if not quarantines:
            return False
        row = quarantines.get(self._find_fingerprint(passage))
        if row is None or not row.refused:
            return False
        passage.detail = "quarantined"
        return True

    async def _check_crash(self, passage: Passage, stat: ServerStat) -> None:
        """Find out whether a server ended while it ran a request, and tell of it."""
        opened = await self._connections.connect(stat.row.address, CONNECT_SECONDS)
        if not isinstance(opened, ExchangeFault):
            self._connections.give_back(opened)
            return
        note_failure(stat, self._clock())
        self._connections.drop(stat.row.address)
        fingerprint = self._find_fingerprint(passage)
        self._lines.add(
            "server-lost",
            id=passage.request_id.decode("latin-1"),
            server=stat.row.name,
            fingerprint=fingerprint[:16],
            detail=opened.detail,
        )
        request = passage.request
        self._crashes.report_crash(
            fingerprint,
            request.method.decode("latin-1"),
            request.target.decode("latin-1"),
            stat.row.name,
        )

    def _choose(self, passage: Passage, now: float) -> ServerStat | Refused:
        """Return the server to send to, or why there is none."""
        service = self._state.service(passage.service)
        if passage.key_hash is not None:
            owner = self._state.find_owner(passage.service, passage.key_hash)
            if owner is None:
                return Refused("the key has no owner", OWNER_WAIT_SECONDS, True)
            stat = self._state.stats[owner.name]
            if stat.ended:
                return Refused("the owner has ended", OWNER_WAIT_SECONDS, True)
            leaving = stat.row.stopping and now - stat.stopping_since
            if leaving > LEAVING_SECONDS:
                return Refused("the owner is leaving", OWNER_WAIT_SECONDS, True)
            if now < stat.down_until:
                return Refused("the owner cannot be reached", stat.down_until - now)
            if is_silent(stat, service, now):
                return Refused("the owner answers nothing", OWNER_WAIT_SECONDS)
            expected = estimate_wait(stat, service, now)
            passage.server = stat.row.name
        else:
            target = passage.route.target_ms / 1000
            found = choose_server(
                self._state.by_service.get(passage.service, ()),
                service,
                self._config.host,
                self._config.zone,
                target,
                frozenset(passage.avoid),
                now,
            )
            if found is None:
                return Refused("the service has no server", OWNER_WAIT_SECONDS)
            stat, expected = found
        if passage.sends and passage.key_hash is None:
            return stat
        unit = estimate_unit(stat, service, now)
        limit = find_limit(passage.target_at - now, passage.deadline - now, unit)
        if expected > limit:
            age = min(now - stat.reported_at, 99.0)
            detail = (
                f"expected after {expected:.3f} s, limit {limit:.3f} s,"
                f" unit {unit:.3f} s, reported {stat.reported:.1f} {age:.2f} s ago"
            )
            return Refused(detail, expected - limit)
        return stat

    async def _wait_for_owner(self, passage: Passage, why: Refused) -> bool:
        """Wait for newer rows where they may help; return whether to go on."""
        if not why.rows_help:
            return False
        until = min(passage.started + OWNER_WAIT_SECONDS, passage.deadline)
        left = until - self._clock()
        if left <= 0:
            return False
        await _wait_briefly(self._state.changed, min(left, OWNER_POLL_SECONDS * 2))
        return True

    async def _send(self, passage: Passage, stat: ServerStat) -> Response | None:
        """Send a request once; return its final answer, or None to go on."""
        dialect = self._config.dialect
        address = stat.row.address
        passage.server = stat.row.name
        now = self._clock()
        connection = self._connections.take_idle(address)
        kept = connection is not None
        if connection is None:
            left = min(CONNECT_SECONDS, passage.deadline - now)
            opened = await self._connections.connect(address, left)
            if isinstance(opened, ExchangeFault):
                note_failure(stat, self._clock())
                self._connections.drop(address)
                passage.avoid.add(stat.row.name)
                passage.detail = f"connect: {opened.detail}"
                return None
            connection = opened
        now = self._clock()
        left = passage.deadline - now
        if left <= 0:
            self._connections.give_back(connection)
            return self._give_up(passage)
        service = self._state.service(passage.service)
        backlog = estimate_backlog(stat, service, now)
        note_sent(stat, now)
        passage.sends += 1
        outgoing = make_outgoing(passage.request, dialect, stat.row.name, left)
        try:
            async with asyncio.timeout(left + ANSWER_SLACK_SECONDS):
                result = await connection.exchange(
                    outgoing, dialect.request_id, passage.request_id
                )
        except TimeoutError:
            # A server that runs answers at its deadline, if only with a failure.
            note_failure(stat, self._clock())
            note_end(stat, self._clock(), failed=True)
            passage.may_have_run = True
            passage.detail = "no answer in time"
            return self._give_up(passage)
        finally:
            stat.in_flight -= 1
        ended = self._clock()
        stat.heard_at = ended
        self._connections.give_back(connection)
        self._count_bytes(passage.service, stat, outgoing, result)
        if isinstance(result, ExchangeFault):
            lost = result.kind == FaultKind.LOST
            if lost and ended - now >= FULL_RESET_SECONDS:
                # The request does not wait for it: a dark server answers nothing.
                check = asyncio.create_task(self._check_crash(passage, stat))
                self._checks.add(check)
                check.add_done_callback(self._checks.discard)
            at_once = lost and ended - now < FULL_RESET_SECONDS
            if at_once and kept and backlog < stat.slots:
                # It is not full: it had dropped what was idle, and more than this.
                self._connections.drop(address)
                return self._take_dropped(passage, stat, result)
            return self._take_fault(passage, stat, result, ended - now)
        return self._take_answer(passage, stat, result, backlog, ended - now)

    def _count_bytes(
        self,
        service: str,
        stat: ServerStat,
        outgoing: Request,
        result: Response | ExchangeFault,
    ) -> None:
        """Count the bytes of an exchange by where the server is."""
        size = count_bytes(outgoing)
        if isinstance(result, Response):
            size += count_bytes(result)
        where = "own" if stat.row.zone == self._config.zone else "other"
        self._metrics.server_bytes.labels(service, where).inc(size)

    # Answers

    def _take_fault(
        self,
        passage: Passage,
        stat: ServerStat,
        fault: ExchangeFault,
        elapsed: float,
    ) -> Response | None:
        """Go on after an exchange without an answer, if that is allowed."""
        passage.detail = f"{fault.kind}: {fault.detail}"
        note_report(stat, self._state.service(passage.service), None, self._clock())
        if fault.kind == FaultKind.NOT_CONNECTED:
            return None
        passage.may_have_run = True
        passage.avoid.add(stat.row.name)
        now = self._clock()
        note_end(stat, now, failed=True)
        if fault.kind == FaultKind.LOST and elapsed < FULL_RESET_SECONDS:
            # A full server may reset instead of answering.
            note_full(stat, now)
        if passage.route.is_idempotent and self._may_repeat(passage):
            return None
        return self._give_up(passage)

    def _take_dropped(
        self, passage: Passage, stat: ServerStat, fault: ExchangeFault
    ) -> Response | None:
        """Go on after a kept connection turned out to be dropped by its server.

        It says nothing of the server's load or health, so the same one may be next.
        """
        passage.detail = f"kept connection: {fault.detail}"
        note_report(stat, self._state.service(passage.service), None, self._clock())
        passage.may_have_run = True
        if passage.route.is_idempotent and self._may_repeat(passage):
            return None
        return self._give_up(passage)

    def _take_answer(
        self,
        passage: Passage,
        stat: ServerStat,
        response: Response,
        backlog: float,
        elapsed: float,
    ) -> Response | None:
        """Return a server's answer, or None where the request is to be sent again."""
        dialect = self._config.dialect
        now = self._clock()
        service = self._state.service(passage.service)
        report = read_load(response, dialect)
        told_not_run = find_header(response.headers, dialect.not_run) is not None
        if told_not_run or response.status == 421:
            passage.detail = f"server answered {response.status}, not run"
            return self._take_not_run(passage, stat, response, report)
        failed = response.status >= 500
        note_end(stat, now, failed=failed)
        if failed and elapsed < estimate_unit(stat, service, now):
            # A failure that came early says nothing of how long work takes.
            note_report(stat, service, report, now)
        else:
            note_answer(stat, service, elapsed, backlog, report, now)
        work = measure_work(elapsed, backlog, report)
        if passage.key_hash is not None and work is not None and not failed:
            self._state.note_speed(stat.row.name, work)
        fault = find_answer_fault(response, dialect, passage.request_id)
        if fault:
            passage.detail = fault
            passage.may_have_run = True
            passage.avoid.add(stat.row.name)
            if passage.route.is_idempotent and self._may_repeat(passage):
                return None
            return self._give_up(passage)
        quarantines = self._state.tables.quarantines
        if quarantines and self._find_fingerprint(passage) in quarantines:
            self._crashes.clear_suspect(passage.fingerprint)
        return response._replace(headers=end_to_end(response.headers))

    def _take_not_run(
        self,
        passage: Passage,
        stat: ServerStat,
        response: Response,
        report: LoadReport | None,
    ) -> Response | None:
        """Go on after a server's word that it did not run the request."""
        now = self._clock()
        note_report(stat, self._state.service(passage.service), report, now)
        if response.status == 421:
            passage.misplaced = True
            other = find_header(response.headers, self._config.dialect.server_name)
            if other is not None and other != stat.row.name.encode():
                self._state.note_ended(stat)
        else:
            note_full(stat, now)
        passage.avoid.add(stat.row.name)
        passage.bounces += 1
        # The full owner of a key would be as full for a second send.
        only = passage.key_hash is not None and response.status != 421
        if only or passage.bounces > MAX_BOUNCES or not self._may_repeat(passage):
            wait = estimate_wait(stat, self._state.service(passage.service), now)
            return self._refuse(passage, Refused(passage.detail, wait))
        return None

    def _may_repeat(self, passage: Passage) -> bool:
        """Return whether another send is allowed, and count it."""
        if passage.sends >= max(passage.route.max_attempts, 1) and not (
            passage.bounces and not passage.may_have_run
        ):
            return False
        if self._clock() >= passage.deadline:
            return False
        budget = self._state.budget(passage.service)
        if budget.take(self._clock(), self._state.host_count):
            self._metrics.retries.labels(passage.service).inc()
            return True
        passage.detail += "; no retry budget left"
        return False

    # Ends

    def _refuse(self, passage: Passage, why: Refused) -> Response:
        """Answer that a request has not run, and when to come back."""
        if passage.may_have_run:
            return self._give_up(passage)
        passage.detail = passage.detail or why.detail
        left = passage.deadline - self._clock()
        wait = max(SHORTEST_RETRY_SECONDS, why.retry_after)
        wait *= 1 + self._random.random()
        wait = min(wait, max(left, 0.0) * LONGEST_RETRY_SHARE)
        headers = ((b"Retry-After", b"%.3f" % wait),)
        return self._own(503, why.detail, passage.request_id, headers)

    def _cut(self, passage: Passage) -> Response:
        """Answer a request that is still under way when the host ends."""
        passage.detail = CUT_BY_HOST
        if passage.sends > passage.bounces:
            passage.may_have_run = True
        return self._give_up(passage)

    def _give_up(self, passage: Passage) -> Response:
        """Answer a request that is out of time or cannot be sent again."""
        if not passage.may_have_run:
            passage.detail = passage.detail or "out of time before it was sent"
            headers = ((b"Retry-After", b"%.3f" % SHORTEST_RETRY_SECONDS),)
            return self._own(503, passage.detail, passage.request_id, headers)
        status = 504 if self._clock() >= passage.deadline else 502
        return self._own(status, passage.detail, passage.request_id)

    def _tell(self, passage: Passage, status: int, detail: str) -> None:
        """Write the line of a request, and count it."""
        elapsed = self._clock() - passage.started
        outcome = "answered" if passage.sends else "refused"
        self._metrics.requests.labels(passage.service, outcome, str(status)).inc()
        self._metrics.request_seconds.labels(passage.service).observe(elapsed)
        self._lines.add(
            "request",
            id=passage.request_id.decode("latin-1"),
            route=passage.route.name,
            version=self._state.tables.document_version,
            revision=self._state.tables.revision,
            service=passage.service,
            server=passage.server,
            sends=passage.sends,
            status=status,
            ms=round(elapsed * 1000, 1),
            detail=detail,
        )


async def _wait_briefly(changed: asyncio.Event, seconds: float) -> None:
    """Wait until rows have changed, but not for longer than some time."""
    try:
        async with asyncio.timeout(seconds):
            await changed.wait()
    except TimeoutError:
        return
