"""Route a request: choose its route and server, send it, and answer the caller."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from random import Random
from typing import Final, NamedTuple

import msgspec

from ..drain import Drain
from ..http import (
    CANCELLED_BY_HOST,
    ConnectionPool,
    ExchangeFault,
    FaultKind,
    Headers,
    Request,
    Response,
    ServerConnection,
    find_header,
    make_response,
)
from ..observe.lines import LineLog
from ..observe.metrics import Metrics
from ..routes import Route, WeightedSplitter
from ..systems.server_rates import TokenState
from .admission import compute_wait_limit
from .choice import hash_fraction
from .crash_checks import CrashChecks
from .decision import OWNER_CAUSES, OWNER_WAIT_SECONDS, choose_server
from .headers import (
    drop_hop_by_hop_headers,
    estimate_wire_bytes,
    find_response_error,
    make_server_request,
    parse_key,
    parse_load_report,
    parse_number,
)
from .link_room import LinkRoom, NoLinkRoom
from .models import (
    CrashReporter,
    Rejection,
    RejectionCause,
    RelayNotice,
    RequestContext,
    RouterConfig,
)
from .notices import record_cold, record_notices
from .obstacles import Obstacle, find_obstacle
from .reach import ProbeTarget, ServerReach
from .relay import (
    OUTDATED_REASON,
    RESPONSE_SLACK_SECONDS,
    Relayer,
    add_document_version,
    make_relay_refusal,
    read_document_version,
    read_notice,
    strip_request_headers,
    strip_response_headers,
)
from .server_stats import (
    LoadReport,
    ServerStat,
    estimate_backlog,
    estimate_processing_time,
    estimate_wait,
    measure_processing_time,
    record_full,
    record_load_report,
    record_outcome,
    record_rejection,
    record_response,
    record_sent,
    record_unreachable,
)
from .state import RouterState
from .suspects import Suspects

__all__ = ["Router"]

# Time for a limiter and its standby to answer.
TOKEN_WAIT_SECONDS: Final = 0.6
# Step in which a request waits for newer rows that may name an owner of its key.
OWNER_POLL_SECONDS: Final = 0.06
# A server that resets a connection so soon after a request may be full.
OVERLOAD_RESET_SECONDS: Final = 0.012
# Callers that were told to come back when a server takes requests do so over this time.
PAUSE_SPREAD_SECONDS: Final = 0.5
# A suspect waits this long while another one runs on its server, in steps.
SUSPECT_WAIT_SECONDS: Final = 0.3
SUSPECT_POLL_SECONDS: Final = 0.02
MAX_SERVER_REJECTION_COUNT: Final = 2
MAX_CONNECT_FAILURE_COUNT: Final = 4
MAX_OUTDATED_CHOICE_COUNT: Final = 4
# A caller takes these as the word that its request has not run.
NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))
# Requests of other hosts that a host answers at a time; it refuses more.
MAX_RELAYED_REQUESTS: Final = 128
# A request waits for the first rows of a new host for this share of its time left.
DOCUMENT_WAIT_SHARE: Final = 0.25
# Retry-After of a host that still has no rows; the retry may go to any host.
DOCUMENT_RETRY_AFTER_SECONDS: Final = 1.0
MIN_RETRY_AFTER_SECONDS: Final = 0.05
# Retry-After of a host whose link is busy.
BUSY_RETRY_AFTER_SECONDS: Final = 0.5
MAX_RETRY_AFTER_SHARE: Final = 0.3
DEFAULT_DEADLINE_SECONDS: Final = 30.0
MAX_DEADLINE_MS: Final = 3_600_000
# A deadline of more timeouts of its route than this is no sign of when other callers
# sent their first attempts.
MAX_DEADLINE_SHARE: Final = 10
# Older rows do not show that there is no route: a newer document may have it.
MAX_ROWS_AGE_SECONDS: Final = 1.0


class ReadyConnection(NamedTuple):
    """A connection to which a request may be written now; ``reused`` if it was idle."""

    connection: ServerConnection
    reused: bool


class Router:
    """Answer callers' requests by the rows and statistics of this host.

    ``drain`` is set while the host is stopping.
    """

    def __init__(
        self,
        config: RouterConfig,
        state: RouterState,
        connections: ConnectionPool,
        lines: LineLog,
        metrics: Metrics,
        clock: Callable[[], float],
        random: Random,
        crash_reporter: CrashReporter,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Create a router that routes by ``state`` over ``connections``.

        ``clock`` returns seconds, ``wall_clock`` seconds of Unix time. The
        ``crash_reporter`` receives the requests that were running on a server when it
        ended.
        """
        self._wall_clock = wall_clock
        self._config = config
        self._state = state
        self._connections = connections
        self._lines = lines
        self._metrics = metrics
        self._clock = clock
        self._random = random
        self._suspects = Suspects(state, crash_reporter, lines, clock)
        self.drain: Drain | None = None
        self._splitter = WeightedSplitter()
        self._split_offset = hash_fraction(config.host, "split")
        self.reach = ServerReach(
            self._list_probe_targets,
            connections,
            lines,
            clock,
            random,
        )
        self.reach.on_health = self._record_health
        self.crash_checks = CrashChecks(
            connections,
            self.reach,
            crash_reporter,
            lines,
            clock,
            self._release,
            self._suspects.is_end_explained,
        )
        self.relayer = Relayer(
            config,
            lambda: state.tables.hosts,
            clock,
            random,
            connections.bodies,
            connections.pacer,
            connections.link,
        )
        self._relayed_count = 0
        self.link_room = LinkRoom(connections.link.bytes_per_second)

    def _list_probe_targets(self) -> list[ProbeTarget]:
        """Return every server with the path at which it reports its health."""
        services = self._state.tables.routed_services
        return [
            ProbeTarget(stat.row.address, services[stat.row.service].health_path)
            for stat in self._state.stats.values()
            if stat.row.service in services
        ]

    def _record_health(self, response: Response) -> None:
        """Record what a server says in its response to a health check."""
        name = find_header(response.headers, self._config.header_names.server_name)
        stat = self._state.stats.get((name or b"").decode("latin-1"))
        if stat is not None:
            record_cold(self._state, stat, response, self._config)

    async def handle(self, request: Request) -> Response:
        """Answer one request of a caller."""
        return await self._handle(request, None)

    def may_overlap(self, request: Request) -> bool:
        """Return whether a request may run beside others of its connection.

        A caller sends one again that is behind a response which closes its connection,
        so it may have to run twice.
        """
        host = (find_header(request.headers, b"host") or b"").decode("latin-1")
        target = request.target.decode("latin-1")
        route = self._state.tables.routes.find(host.partition(":")[0], target)
        return route is not None and route.is_idempotent

    async def handle_relayed(self, request: Request) -> Response:
        """Answer a request that another host could not send to any server.

        The answer names the request, so that a copy of it is told from another one.
        """
        response = await self._answer_relayed(request)
        name, request_id = self._config.header_names.request_id, self._read_id(request)
        if not request_id or find_header(response.headers, name) is not None:
            return response
        return response._replace(headers=(*response.headers, (name, request_id)))

    async def _answer_relayed(self, request: Request) -> Response:
        """Answer a request of another host, or refuse to take it.

        It is refused if this host is stopping, reaches no server itself, answers too
        many of these requests already, or has an older document than the other host.
        """
        if self.drain is not None:
            return make_relay_refusal(b"the host is stopping")
        if self.reach.is_cut_off:
            return make_relay_refusal(b"the host reaches no server")
        if self._relayed_count >= MAX_RELAYED_REQUESTS:
            return make_relay_refusal(b"the host answers too many relayed requests")
        notice = read_notice(request)
        version = self._state.tables.document_version
        if version < max(notice.document_version or 0, self._state.required_version):
            self._lines.add(
                "relay-refused",
                id=self._read_id(request).decode("latin-1"),
                version=version,
                sender_version=notice.document_version,
                required_version=self._state.required_version,
            )
            detail = b"the host has an older route document"
            return make_relay_refusal(detail, OUTDATED_REASON)
        self._relayed_count += 1
        try:
            response = await self._handle(strip_request_headers(request), notice)
        finally:
            self._relayed_count -= 1
        if notice.document_version is None:
            return response
        return add_document_version(response, version)

    def _read_id(self, request: Request) -> bytes:
        """Return the id that the caller gave a request; empty without one."""
        return find_header(request.headers, self._config.header_names.request_id) or b""

    async def _handle(self, request: Request, notice: RelayNotice | None) -> Response:
        """Answer one request; ``notice`` is set if another host relayed it."""
        # The deadline counts from when the request was read.
        now = self._clock() - request.waited_seconds
        request_id = self._read_id(request)
        if not self._state.tables.document_version and self.drain is None:
            await self._wait_for_document(request, now)
        if not self._state.tables.document_version:
            detail = "no route document yet"
            return self._answer_unrouted(request_id, 503, detail, notice)
        host = (find_header(request.headers, b"host") or b"").decode("latin-1")
        target = request.target.decode("latin-1")
        route = self._state.tables.routes.find(host.partition(":")[0], target)
        if route is None:
            return self._answer_without_route(request_id, host + target, notice)
        if self._has_invalid_key(request, route):
            detail = "the key is not a number of the key space"
            return self._answer_unrouted(request_id, 400, detail, notice)
        context = self._start_request(request, request_id, route, now, notice)
        try:
            response = await self._send_with_link_room(context)
        except asyncio.CancelledError as error:
            if CANCELLED_BY_HOST not in error.args and not self._is_past_end():
                self._log_request(context, 0, "caller disconnected")
                raise
            response = self._answer_cut_request(context)
        self._log_request(context, response.status, context.detail)
        return response

    def _answer_without_route(
        self, request_id: bytes, url: str, notice: RelayNotice | None
    ) -> Response:
        """Answer 404 if the rows show that there is no route, else refuse."""
        doubt = self._find_doubt(notice)
        if not doubt:
            return self._answer_unrouted(request_id, 404, f"no route for {url}", notice)
        response = self._answer_unrouted(request_id, 503, doubt, notice)
        if notice is None:
            return response
        # A host whose rows are newer may know the route.
        return make_relay_refusal(doubt.encode(), OUTDATED_REASON)

    def _find_doubt(self, notice: RelayNotice | None) -> str:
        """Return why a route that is absent here may be in force; empty if none."""
        if self._state.is_document_outdated:
            return "the route document here is outdated"
        if self._state.rows_age > MAX_ROWS_AGE_SECONDS:
            return "no control node has confirmed the route document lately"
        if notice is not None and notice.document_version is None:
            return "the other host does not name the version of its document"
        return ""

    def _has_invalid_key(self, request: Request, route: Route) -> bool:
        """Return whether a service of the route needs a key and this one is invalid."""
        if parse_key(request, self._config.header_names) is not None:
            return False
        services = self._state.tables.routed_services
        routed = [services.get(share.service) for share in route.shares]
        return any(service is not None and service.keyed for service in routed)

    def _is_past_end(self) -> bool:
        """Return whether the host's drain is over.

        This identifies a cancellation by the host that has lost its message, as
        happens if a timeout expires at the same time.
        """
        return self.drain is not None and self._clock() >= self.drain.end

    async def _wait_for_document(self, request: Request, now: float) -> None:
        """Wait for the first rows after a start, for a share of the time left."""
        seconds_left = self._read_seconds_left(request)
        if seconds_left is None:
            seconds_left = 1.0
        until = now + seconds_left * DOCUMENT_WAIT_SHARE
        while not self._state.tables.document_version:
            seconds_left = until - self._clock()
            if seconds_left <= 0 or self.drain is not None:
                return
            await _wait_for_change(
                self._state.changed, min(seconds_left, OWNER_WAIT_SECONDS)
            )

    def _read_seconds_left(self, request: Request) -> float | None:
        """Return the time that a caller will wait; None if it does not say."""
        value = find_header(request.headers, self._config.header_names.time_left_ms)
        milliseconds = parse_number(value, MAX_DEADLINE_MS)
        return None if milliseconds is None else milliseconds / 1000

    def _answer_unrouted(
        self,
        request_id: bytes,
        status: int,
        detail: str,
        notice: RelayNotice | None,
    ) -> Response:
        """Log and answer a request that has no route on this host."""
        headers: Headers = ()
        if status == 503:
            headers = ((b"Retry-After", b"%.3f" % DOCUMENT_RETRY_AFTER_SECONDS),)
        self._lines.add(
            "request",
            id=request_id.decode("latin-1"),
            status=status,
            detail=detail,
            version=self._state.tables.document_version,
            rows_age=self._format_rows_age(),
            relayed=notice is not None or "",
            sender_version=notice.document_version if notice else "",
        )
        return self._make_local_response(status, detail, request_id, headers)

    def _format_rows_age(self) -> float | str:
        """Return the age of the rows in seconds for a line; empty without rows."""
        age = self._state.rows_age
        return round(age, 2) if age < float("inf") else ""

    def _make_local_response(
        self, status: int, detail: str, request_id: bytes, headers: Headers = ()
    ) -> Response:
        """Return a response that this host makes itself, with a JSON error body."""
        name = self._config.header_names.request_id
        if request_id and name:
            headers = ((name, request_id), *headers)
        body = msgspec.json.encode({"error": detail})
        return make_response(status, body, headers)

    def _start_request(
        self,
        request: Request,
        request_id: bytes,
        route: Route,
        now: float,
        notice: RelayNotice | None,
    ) -> RequestContext:
        """Create the context of a request, and count it unless it was relayed."""
        names = self._config.header_names
        named_seconds = self._read_seconds_left(request)
        seconds_left = DEFAULT_DEADLINE_SECONDS
        if named_seconds is not None:
            seconds_left = named_seconds
        # Callers send the same time left with each first attempt; less means a retry.
        # The difference is the time that has passed since the first attempt.
        deadlines = self._state.longest_deadlines
        longest = max(deadlines.get(route.name, 0.0), seconds_left)
        timeout = route.timeout_ms / 1000
        if named_seconds is not None and named_seconds <= timeout * MAX_DEADLINE_SHARE:
            deadlines[route.name] = longest
        since_first_attempt = (
            min(longest - seconds_left, longest) if named_seconds is not None else 0.0
        )
        service = self._splitter.pick(route, self._split_offset)
        self._state.add_service_stat(service, route.target_ms / 1000)
        routed = self._state.tables.routed_services.get(service)
        key_hash: int | None = None
        if routed is not None and routed.keyed:
            key_hash = parse_key(request, names) or 0
            # Refused requests count too: keys are moved by the demand for them.
            if notice is None:
                self._state.count_key_request(service, key_hash)
        if notice is None:
            self._state.get_budget(service).count_request(now)
        return RequestContext(
            request,
            request_id,
            route,
            service,
            key_hash,
            now,
            now + min(seconds_left, route.timeout_ms / 1000),
            now + route.target_ms / 1000 - since_first_attempt,
            notice=notice,
        )

    async def _send_with_link_room(self, context: RequestContext) -> Response:
        """Send a request once this host's link has room for its response."""
        began = self._clock()
        route = context.route
        limit = compute_wait_limit(
            context.target_at - began, context.deadline - began, 0.0
        )
        link = self._connections.link
        for part, size in (
            ("body", len(context.request.body)),
            ("response", int(self.link_room.get_mean_size(route.name))),
        ):
            late = link.estimate_seconds(size) - limit
            if late > 0:
                return self._refuse_without_room(context, part, late)
        room = await self.link_room.enter(route.name, route.priority, limit)
        context.link_wait = self._clock() - began
        if isinstance(room, NoLinkRoom):
            return self._refuse_without_room(context, "response", room.retry_after)
        try:
            response = await self._send_until_answered(context)
        finally:
            self.link_room.leave(room)
        if 200 <= response.status < 300:
            self.link_room.record_size(route.name, len(response.body))
        return response

    def _refuse_without_room(
        self, context: RequestContext, part: str, retry_after: float
    ) -> Response:
        """Answer that a request has not run, as its link would make it late.

        The host that relayed it may find one whose link has room.
        """
        detail = f"this host's link has no room for a large {part}"
        rejection = Rejection(detail, retry_after, RejectionCause.LINK)
        self._count_turned_away(context, rejection)
        if context.is_relayed:
            return make_relay_refusal(detail.encode())
        return self._refuse(context, rejection)

    async def _send_until_answered(self, context: RequestContext) -> Response:
        """Send a request until it is answered or refused, or its deadline expires."""
        while True:
            # A retry may have waited, so the quarantine is read at each send.
            if self._suspects.is_quarantined(context):
                return self._refuse_quarantined(context)
            now = self._clock()
            if now >= context.deadline:
                return self._answer_failure(context)
            if self._may_outlast_host(context):
                return self._refuse_stopping(context)
            if self._should_relay(context):
                response = await self._relay(context)
                if response is not None:
                    return response
                continue
            if context.relay_refused and self._needs_relay():
                detail = "no server can be reached, nor a host that reaches one"
                if self._state.is_document_outdated:
                    detail = "the route document here is outdated, and no host answers"
                return self._refuse(context, Rejection(detail, OWNER_WAIT_SECONDS))
            chosen = self._choose_server(context, now)
            if isinstance(chosen, Rejection):
                if await self._wait_for_owner(context, chosen):
                    continue
                return self._refuse(context, chosen)
            changed = self._state.changed
            response = await self._send_once(context, chosen)
            if response is not None:
                return response
            if context.wrong_owner:
                context.wrong_owner = False
                await _wait_for_change(changed, OWNER_POLL_SECONDS)

    def _may_outlast_host(self, context: RequestContext) -> bool:
        """Return whether this host may end before a request that is sent now."""
        return self.drain is not None and not self.drain.accepts(context.deadline)

    def _refuse_stopping(self, context: RequestContext) -> Response:
        """Answer that a request is not sent, or not again, as this host stops."""
        detail = "the host is stopping"
        if context.is_relayed and not context.may_have_run:
            return make_relay_refusal(detail.encode())
        return self._refuse(context, Rejection(detail, 0.0))

    def _should_relay(self, context: RequestContext) -> bool:
        """Return whether another host is to answer a request.

        A relayed request is not relayed again, and one that may have run only if it is
        idempotent.
        """
        if not self._config.relay_port or context.is_relayed or context.relay_refused:
            return False
        if context.may_have_run and not context.route.is_idempotent:
            return False
        if self._needs_relay():
            return True
        return context.connect_failures > 0 and self.reach.is_doubtful

    def _needs_relay(self) -> bool:
        """Return whether this host can send no request to a server itself."""
        return self.reach.is_cut_off or self._state.is_document_outdated

    async def _relay(self, context: RequestContext) -> Response | None:
        """Have another host answer a request; return None to go on with it here."""
        self._metrics.relayed.labels(context.service).inc()
        try:
            version = self._state.required_version
            result = await self.relayer.relay(context, version)
        except asyncio.CancelledError:
            context.may_have_run = True
            raise
        if isinstance(result, Response):
            context.relay_version = read_document_version(result.headers)
            self._state.record_answered_version(context.relay_version or 0)
            result = strip_response_headers(result)
            if context.may_have_run and result.status in NOT_RUN_STATUSES:
                context.detail = f"relay: status {result.status}"
                return self._answer_failure(context)
            # A host of a former build passes on what a server answered.
            signature = self._config.header_names.signature
            from_server = signature and find_header(result.headers, signature)
            if from_server and self._is_false_promise(context, result):
                detail = f"relay: server answered {result.status}"
                return self._answer_unclear(context, detail)
            return result
        context.detail = f"relay: {result.detail}"
        if not result.may_have_run:
            context.relay_refused = True
            return None
        context.may_have_run = True
        context.sends += 1
        if context.route.is_idempotent and self._claim_retry(context):
            return None
        return self._answer_failure(context)

    def _refuse_quarantined(self, context: RequestContext) -> Response:
        """Answer a request that ended the servers that ran it."""
        if context.may_have_run:
            return self._answer_failure(context)
        row = self._state.tables.quarantines[context.fingerprint]
        seconds = max(MIN_RETRY_AFTER_SECONDS, row.until_ms / 1000 - self._wall_clock())
        headers = ((b"Retry-After", b"%.3f" % seconds),)
        return self._make_local_response(
            503, "the request is quarantined", context.request_id, headers
        )

    async def _wait_for_suspect(
        self, context: RequestContext, stat: ServerStat
    ) -> Response | None:
        """Wait while another suspect may run on a server; return None to choose again.

        A server that runs no other suspect is chosen first.
        """
        context.avoid.add(stat.row.life)
        if self._clock() - context.started > SUSPECT_WAIT_SECONDS:
            detail = "the server may be running another suspect request"
            return self._refuse(context, Rejection(detail, OWNER_WAIT_SECONDS))
        await asyncio.sleep(SUSPECT_POLL_SECONDS)
        return None

    def _check_crash(
        self, context: RequestContext, stat: ServerStat, *, was_early: bool
    ) -> None:
        """Begin to check whether a server ended while it ran a request."""
        lost = self._suspects.describe(context, was_early=was_early)
        self.crash_checks.begin(lost, stat)

    def _choose_server(
        self, context: RequestContext, now: float
    ) -> ServerStat | Rejection:
        """Return the server to send to, or why the request is rejected."""
        chosen = choose_server(self._state, self._config, context, now)
        context.chosen_at = now
        if isinstance(chosen, Rejection):
            self._count_turned_away(context, chosen)
        return chosen

    def _count_turned_away(self, context: RequestContext, rejection: Rejection) -> None:
        """Count a request that is turned away for another reason than load."""
        if rejection.cause != RejectionCause.LOAD:
            self._metrics.turned_away.labels(context.service, rejection.cause).inc()

    async def _wait_for_owner(
        self, context: RequestContext, rejection: Rejection
    ) -> bool:
        """Wait for newer rows if they may name an owner; return whether to retry."""
        if rejection.cause not in OWNER_CAUSES:
            return False
        until = min(context.started + OWNER_WAIT_SECONDS, context.deadline)
        seconds_left = until - self._clock()
        if seconds_left <= 0:
            return False
        await _wait_for_change(
            self._state.changed, min(seconds_left, OWNER_POLL_SECONDS * 2)
        )
        return True

    async def _send_once(
        self, context: RequestContext, stat: ServerStat
    ) -> Response | None:
        """Send a request once; return the response, or None to send it again."""
        context.server = stat.row.life
        stat.connecting += 1
        try:
            ready = await self._prepare_send(context, stat)
        finally:
            stat.connecting -= 1
        if not isinstance(ready, ReadyConnection):
            return ready
        return await self._exchange(context, stat, ready)

    async def _prepare_send(
        self, context: RequestContext, stat: ServerStat
    ) -> ReadyConnection | Response | None:
        """Wait for a connection and a token, and read the decision again.

        Return a response if the request cannot be sent in time, and None to choose a
        server again.
        """
        connection = self._connections.acquire_idle(
            stat.row.address, context.request_id
        )
        reused = connection is not None
        if connection is None:
            opened = await self._connect(context, stat)
            if isinstance(opened, ExchangeFault):
                return self._handle_failed_connect(context, stat, opened)
            connection = opened
        if not await self._suspects.begin_run(context, stat):
            self._release(stat, connection)
            return await self._wait_for_suspect(context, stat)
        has_token = await self._take_token(context, stat)
        if has_token and self._may_send(context, stat):
            return ReadyConnection(connection, reused)
        self._release(stat, connection)
        return self._answer_unsendable(context)

    def _may_send(self, context: RequestContext, stat: ServerStat) -> bool:
        """Return whether a request may still be sent to its server, after a wait."""
        now = self._clock()
        if now >= context.deadline or self._may_outlast_host(context):
            return False
        return not self._is_outdated(context, stat, now)

    def _answer_unsendable(self, context: RequestContext) -> Response | None:
        """Answer a request that may not be sent now; return None to choose again."""
        if self._clock() >= context.deadline:
            return self._answer_failure(context)
        if self._may_outlast_host(context):
            return self._refuse_stopping(context)
        if context.outdated_choices > MAX_OUTDATED_CHOICE_COUNT:
            detail = "the servers of the service change too often"
            return self._refuse(context, Rejection(detail, OWNER_WAIT_SECONDS))
        return None

    def _release(self, stat: ServerStat, connection: ServerConnection) -> None:
        """Keep a connection for later requests, within this host's share."""
        limit = self._state.get_idle_limit(stat.row.service)
        if limit is None:
            self._connections.release(connection)
        else:
            self._connections.release(connection, limit)

    async def _exchange(
        self, context: RequestContext, stat: ServerStat, ready: ReadyConnection
    ) -> Response | None:
        """Send a request now; return the response, or None to send it again."""
        names = self._config.header_names
        address = stat.row.address
        connection, reused = ready
        now = self._clock()
        seconds_left = context.deadline - now
        service = self._state.get_service_stat(context.service)
        backlog = estimate_backlog(stat, service, now)
        record_sent(stat, now)
        self._share_load(context, stat)
        if self._state.rates.find_limit(stat.row) is not None:
            self._metrics.limited_sends.labels(context.service).inc()
        context.sends += 1
        outgoing = make_server_request(
            context.request, names, stat.row.name, seconds_left
        )
        sent_at = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(seconds_left + RESPONSE_SLACK_SECONDS):
                result = await connection.exchange(
                    outgoing,
                    names.request_id,
                    context.request_id,
                    may_begin=lambda: self._may_send(context, stat),
                )
        except asyncio.CancelledError:
            if not connection.has_sent:
                context.sends -= 1
            raise
        except TimeoutError:
            return self._handle_timeout(context, stat, ready, sent_at)
        finally:
            stat.in_flight -= 1
        ended = self._clock()
        stat.unanswered_since = ended
        self._release(stat, connection)
        if isinstance(result, ExchangeFault) and result.kind == FaultKind.NOT_BEGUN:
            context.sends -= 1
            return self._answer_unsendable(context)
        self._count_server_bytes(context.service, stat, outgoing, result)
        if isinstance(result, ExchangeFault):
            lost = result.kind == FaultKind.CONNECTION_LOST
            if lost and not reused:
                self.reach.record_failure(address)
            lost_at_once = lost and ended - now < OVERLOAD_RESET_SECONDS
            if lost:
                self._check_crash(context, stat, was_early=lost_at_once)
            if lost_at_once and reused and backlog < stat.slots:
                # The server is not full. It has closed its idle connections, so the
                # other idle ones to it are closed too.
                self._connections.close_idle(address)
                return self._handle_dropped_connection(context, stat, result)
            return self._handle_fault(context, stat, result, ended - now)
        self.reach.record_answer()
        response = self._handle_response(context, stat, result, backlog, ended - now)
        self._share_load(context, stat)
        return response

    def _handle_timeout(
        self,
        context: RequestContext,
        stat: ServerStat,
        ready: ReadyConnection,
        sent_at: float,
    ) -> Response:
        """Answer a request without a response at its deadline."""
        if not ready.connection.has_sent:
            context.sends -= 1
            context.detail = "the request waited for this host's link too long"
            return self._answer_failure(context)
        address, now = stat.row.address, self._clock()
        if not self.reach.is_link_busy:
            # A server that is alive answers at the deadline, at least with an error.
            record_unreachable(stat, now)
            record_outcome(stat, now, failed=True)
            self.reach.record_failure(address)
        if ready.reused:
            # All connections that were open may be silent for good.
            self._connections.close_idle(address, answered_since=sent_at)
        context.may_have_run = True
        context.detail = "no response before the deadline"
        return self._answer_failure(context)

    def _share_load(self, context: RequestContext, stat: ServerStat) -> None:
        """Tell other hosts the backlog of a server that they may choose too."""
        if context.key_hash is None:
            self._state.shared_loads.record(stat, self._clock())

    def _is_outdated(
        self, context: RequestContext, stat: ServerStat, now: float
    ) -> bool:
        """Return whether the server would not be chosen any more, after a wait."""
        obstacle = find_obstacle(self._state, context, stat, now)
        if self._suspects.is_quarantined(context):
            obstacle = Obstacle.QUARANTINED
        if obstacle == Obstacle.NONE:
            return False
        context.outdated_choices += 1
        self._lines.add(
            "choice-outdated",
            id=context.request_id.decode("latin-1"),
            server=stat.row.holder,
            reason=obstacle,
            waited=round(now - context.chosen_at, 4),
        )
        return True

    async def _connect(
        self, context: RequestContext, stat: ServerStat
    ) -> ServerConnection | ExchangeFault:
        """Open a connection to a server, or return why there is none."""
        address = stat.row.address
        seconds_left = min(self.reach.connect_timeout, context.deadline - self._clock())
        opened = await self._connections.connect_accepted(address, seconds_left)
        if not isinstance(opened, ExchangeFault):
            return opened
        context.detail = f"connect: {opened.detail}"
        if self._is_late(opened):
            return opened
        self.reach.record_failure(address)
        if opened.kind == FaultKind.TURNED_AWAY:
            # The server has too many connections, or fewer places as its queue is long.
            record_full(stat, self._clock())
        else:
            record_unreachable(stat, self._clock())
            self._connections.close_idle(address)
        return opened

    def _is_late(self, fault: ExchangeFault) -> bool:
        """Return whether a connection may have timed out on this host's busy link."""
        return fault.kind == FaultKind.CONNECT_TIMEOUT and self.reach.is_link_busy

    async def _take_token(self, context: RequestContext, stat: ServerStat) -> bool:
        """Take a token if the server named a limit; return whether it may be sent to.

        There is no wait between a token and the send.
        """
        until = min(self._clock() + TOKEN_WAIT_SECONDS, context.deadline)
        while True:
            changed = self._state.tokens_changed
            claim = self._state.rates.claim(stat.row)
            if claim.state != TokenState.WAITING:
                return claim.state == TokenState.GRANTED
            seconds_left = until - self._clock()
            if seconds_left <= 0:
                return False
            await _wait_for_change(changed, seconds_left)

    def _count_server_bytes(
        self,
        service: str,
        stat: ServerStat,
        outgoing: Request,
        result: Response | ExchangeFault,
    ) -> None:
        """Count the bytes of an exchange by whether the server is in this zone."""
        size = estimate_wire_bytes(outgoing)
        if isinstance(result, Response):
            size += estimate_wire_bytes(result)
        zone = "own" if stat.row.zone == self._config.zone else "other"
        self._metrics.server_bytes.labels(service, zone).inc(size)

    def _handle_fault(
        self,
        context: RequestContext,
        stat: ServerStat,
        fault: ExchangeFault,
        elapsed: float,
    ) -> Response | None:
        """Handle an exchange without a response; return None to send again."""
        context.detail = f"{fault.kind}: {fault.detail}"
        record_load_report(
            stat, self._state.get_service_stat(context.service), None, self._clock()
        )
        if fault.kind == FaultKind.NOT_CONNECTED:
            return self._handle_failed_connect(context, stat, fault)
        context.may_have_run = True
        context.avoid.add(stat.row.life)
        now = self._clock()
        record_outcome(stat, now, failed=True)
        if fault.kind == FaultKind.CONNECTION_LOST and elapsed < OVERLOAD_RESET_SECONDS:
            # A full server may reset the connection instead of answering.
            record_full(stat, now)
        if context.route.is_idempotent and self._claim_retry(context):
            return None
        return self._answer_failure(context)

    def _handle_failed_connect(
        self, context: RequestContext, stat: ServerStat, fault: ExchangeFault
    ) -> Response | None:
        """Handle a server that got nothing of a request; return None to send again.

        This needs no retry budget, since no server has more work, but has a bound: a
        refused connection takes no time. An owner that is full is not tried again, nor
        one that this host's busy link has kept from accepting in time.
        """
        context.avoid.add(stat.row.life)
        context.connect_failures += 1
        now = self._clock()
        if context.key_hash is not None and self._is_late(fault):
            detail = "the owner cannot be reached in time, as this host's link is busy"
            return self._refuse(context, Rejection(detail, BUSY_RETRY_AFTER_SECONDS))
        if fault.kind == FaultKind.TURNED_AWAY and context.key_hash is not None:
            service = self._state.get_service_stat(context.service)
            return self._refuse(
                context, Rejection(context.detail, estimate_wait(stat, service, now))
            )
        if context.connect_failures < MAX_CONNECT_FAILURE_COUNT:
            return None
        return self._refuse(
            context, Rejection("no server can be reached", stat.down_until - now)
        )

    def _handle_dropped_connection(
        self, context: RequestContext, stat: ServerStat, fault: ExchangeFault
    ) -> Response | None:
        """Handle the loss of a reused connection; return None to send again.

        It does not indicate load or failure, so the same server may be chosen again.
        """
        context.detail = f"reused connection: {fault.detail}"
        record_load_report(
            stat, self._state.get_service_stat(context.service), None, self._clock()
        )
        context.may_have_run = True
        if context.route.is_idempotent and self._claim_retry(context):
            return None
        return self._answer_failure(context)

    def _handle_response(
        self,
        context: RequestContext,
        stat: ServerStat,
        response: Response,
        backlog: float,
        elapsed: float,
    ) -> Response | None:
        """Return the response to the caller, or None to send the request again."""
        names = self._config.header_names
        now = self._clock()
        service = self._state.get_service_stat(context.service)
        record_notices(
            self._state, stat, response, self._config, self._lines, now - elapsed, now
        )
        report = parse_load_report(response, names)
        not_run = find_header(response.headers, names.not_run) is not None
        if not_run or response.status == 421:
            context.detail = f"server answered {response.status}, request not run"
            return self._handle_not_run(context, stat, response, report)
        failed = response.status >= 500
        record_outcome(stat, now, failed=failed)
        if failed and elapsed < estimate_processing_time(stat, service, now):
            # An early failure does not show how long the processing takes.
            record_load_report(stat, service, report, now)
        else:
            record_response(stat, service, elapsed, backlog, report, now)
        work = measure_processing_time(elapsed, backlog, report)
        if context.key_hash is not None and work is not None and not failed:
            self._state.record_processing_time(stat.row.name, work)
        error = find_response_error(response, names, context.request_id)
        if error:
            context.detail = error
            context.may_have_run = True
            context.avoid.add(stat.row.life)
            if context.route.is_idempotent and self._claim_retry(context):
                return None
            return self._answer_failure(context)
        self.crash_checks.record_answer(self._suspects.make_key(context))
        self._suspects.record_answer(context)
        if self._is_false_promise(context, response):
            return self._answer_unclear(context, f"server answered {response.status}")
        headers = drop_hop_by_hop_headers(response.headers)
        response = response._replace(headers=headers)
        return strip_response_headers(response) if context.is_relayed else response

    def _is_false_promise(self, context: RequestContext, response: Response) -> bool:
        """Return whether a server's status says wrongly that a request has not run.

        A caller sends a request that may run once again only after such a status, so a
        server that does not say it otherwise is not believed. It may answer so for its
        own reasons, after it has run the request.
        """
        return (
            response.status in NOT_RUN_STATUSES
            and not context.route.is_idempotent
            and find_header(response.headers, self._config.header_names.not_run) is None
        )

    def _answer_unclear(self, context: RequestContext, detail: str) -> Response:
        """Answer a request that may have run, in place of a server's refusal."""
        context.detail = f"{detail} and does not say that the request has not run"
        context.may_have_run = True
        return self._answer_failure(context)

    def _handle_not_run(
        self,
        context: RequestContext,
        stat: ServerStat,
        response: Response,
        report: LoadReport | None,
    ) -> Response | None:
        """Handle a response that the request was not run; return None to send again."""
        now = self._clock()
        service = self._state.get_service_stat(context.service)
        is_full = False
        if response.status == 421:
            record_load_report(stat, service, report, now)
            context.wrong_owner = True
            other = find_header(response.headers, self._config.header_names.server_name)
            if other is not None and other != stat.row.name.encode():
                self._state.mark_ended(stat)
        else:
            is_full = record_rejection(stat, service, report, now)
        context.avoid.add(stat.row.life)
        context.server_rejections += 1
        pause = self._state.pauses.get_seconds_left(stat.row, now)
        # Only the owner can run the request, and it is still full for a second send.
        owner_full = context.key_hash is not None and (is_full or pause > 0)
        if (
            owner_full
            or context.server_rejections > MAX_SERVER_REJECTION_COUNT
            or not self._claim_retry(context)
        ):
            # A server that is not full may take the request at any time.
            wait = MIN_RETRY_AFTER_SECONDS
            if is_full or response.status == 421:
                wait = estimate_wait(stat, service, now)
            rejection = Rejection(context.detail, wait)
            if owner_full and pause:
                rejection = Rejection(context.detail, pause, RejectionCause.PAUSED)
                self._count_turned_away(context, rejection)
            return self._refuse(context, rejection)
        return None

    def _claim_retry(self, context: RequestContext) -> bool:
        """Return whether another send is allowed; if so, count it as a retry."""
        if context.all_sends >= max(context.route.max_attempts, 1) and not (
            context.server_rejections and not context.may_have_run
        ):
            return False
        if self._clock() >= context.deadline:
            return False
        budget = self._state.get_budget(context.service)
        if budget.claim_retry(self._clock(), self._state.host_count):
            self._metrics.retries.labels(context.service).inc()
            return True
        context.detail += "; no retry budget left"
        return False

    def _refuse(self, context: RequestContext, rejection: Rejection) -> Response:
        """Answer that a request has not run, with a randomized Retry-After."""
        if context.may_have_run:
            return self._answer_failure(context)
        if context.is_relayed and context.connect_failures:
            # The host that relayed it may find one that reaches the server.
            return make_relay_refusal(b"the server cannot be reached")
        context.detail = context.detail or rejection.detail
        seconds_left = context.deadline - self._clock()
        wait = max(MIN_RETRY_AFTER_SECONDS, rejection.retry_after)
        if rejection.cause in (RejectionCause.PAUSED, RejectionCause.LIMITED):
            wait += self._random.random() * PAUSE_SPREAD_SECONDS
        else:
            wait *= 1 + self._random.random()
            wait = min(wait, max(seconds_left, 0.0) * MAX_RETRY_AFTER_SHARE)
        headers = ((b"Retry-After", b"%.3f" % wait),)
        return self._make_local_response(
            503, rejection.detail, context.request_id, headers
        )

    def _answer_cut_request(self, context: RequestContext) -> Response:
        """Answer a request that is still in progress when the host ends."""
        context.detail = CANCELLED_BY_HOST
        if context.sends > context.server_rejections:
            context.may_have_run = True
        return self._answer_failure(context)

    def _answer_failure(self, context: RequestContext) -> Response:
        """Answer a request whose deadline expired or that cannot be sent again."""
        if not context.may_have_run:
            context.detail = context.detail or "deadline expired before the send"
            headers = ((b"Retry-After", b"%.3f" % MIN_RETRY_AFTER_SECONDS),)
            return self._make_local_response(
                503, context.detail, context.request_id, headers
            )
        status = 504 if self._clock() >= context.deadline else 502
        return self._make_local_response(status, context.detail, context.request_id)

    def _log_request(self, context: RequestContext, status: int, detail: str) -> None:
        """Log the end of a request, and count it in the metrics."""
        elapsed = self._clock() - context.started
        outcome = "answered" if context.sends else "refused"
        self._metrics.requests.labels(context.service, outcome, str(status)).inc()
        self._metrics.request_seconds.labels(context.service).observe(elapsed)
        self._lines.add(
            "request",
            id=context.request_id.decode("latin-1"),
            route=context.route.name,
            version=self._state.tables.document_version,
            revision=self._state.tables.revision,
            rows_age=self._format_rows_age(),
            service=context.service,
            server=context.server,
            sends=context.sends,
            relay=context.relay,
            relay_version=""
            if context.relay_version is None
            else context.relay_version,
            relayed=context.is_relayed or "",
            sender_version=context.notice.document_version if context.notice else "",
            status=status,
            ms=round(elapsed * 1000, 1),
            link_wait_ms=round(context.link_wait * 1000) or "",
            detail=detail,
        )


async def _wait_for_change(changed: asyncio.Event, seconds: float) -> None:
    """Wait until rows have changed, for at most ``seconds``."""
    try:
        async with asyncio.timeout(seconds):
            await changed.wait()
    except TimeoutError:
        return
