"""Relay of requests to other hosts while this one reaches no backend server."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final, NamedTuple

from ..http import (
    BufferedBodies,
    ConnectionPool,
    ExchangeFault,
    FaultKind,
    Headers,
    LinkQueue,
    PartPacer,
    Request,
    Response,
    ServerConnection,
    find_header,
    make_response,
)
from .headers import drop_hop_by_hop_headers, make_forwarded_request, parse_number
from .models import RelayNotice, RequestContext, RouterConfig
from .reach import CONNECT_TIMEOUT_SECONDS

__all__ = [
    "EARLIER_SENDS",
    "OUTDATED_REASON",
    "RESPONSE_SLACK_SECONDS",
    "RelayFault",
    "Relayer",
    "add_document_version",
    "make_relay_refusal",
    "read_document_version",
    "read_notice",
    "strip_response_headers",
    "strip_request_headers",
]

# Headers between hosts: how often a request was sent to servers before, the version
# of the sender's route document, and that a host did not take a request.
EARLIER_SENDS: Final = b"relay-earlier-sends"
DOCUMENT_VERSION: Final = b"relay-document-version"
REFUSED: Final = b"relay-refused"
OUTDATED_REASON: Final = b"outdated"
REQUEST_HEADERS: Final = frozenset((EARLIER_SENDS, DOCUMENT_VERSION))
RESPONSE_HEADERS: Final = frozenset((REFUSED, DOCUMENT_VERSION))
MAX_EARLIER_SENDS: Final = 99
MAX_VERSION_DIGITS: Final = 18
# A server responds at the deadline at the latest; the response takes this long.
RESPONSE_SLACK_SECONDS: Final = 0.02
# A host that refused a request, or could not be reached, is left out for this long.
UNFIT_SECONDS: Final = 1.0
# So is one whose document is older: a change reaches all hosts within a few of these.
OUTDATED_SECONDS: Final = 0.2
MAX_TRIED_HOSTS: Final = 3


class RelayFault(NamedTuple):
    """Why no host answered; ``may_have_run`` unless every host refused."""

    detail: str
    may_have_run: bool


class Relayer:
    """Send requests to other hosts, those with the fewest requests of this host first.

    A host answers a relayed request itself and does not relay it on.
    """

    def __init__(
        self,
        config: RouterConfig,
        list_hosts: Callable[[], tuple[str, ...]],
        clock: Callable[[], float],
        random: Random,
        bodies: BufferedBodies | None = None,
        pacer: PartPacer | None = None,
        link: LinkQueue | None = None,
    ) -> None:
        """Relay to the hosts of ``list_hosts``, at ``config.relay_port`` of each.

        ``bodies`` bounds the responses being read, and ``pacer`` the time for them.
        ``link`` paces the bodies that are written.
        """
        self._config = config
        self._list_hosts = list_hosts
        self._clock = clock
        self._random = random
        self._connections = ConnectionPool(bodies, pacer, link=link)
        self._in_flight: dict[str, int] = {}
        self._unfit_until: dict[str, float] = {}

    async def relay(
        self, context: RequestContext, document_version: int
    ) -> Response | RelayFault:
        """Have another host answer a request, within its deadline.

        A host whose document is older than ``document_version`` does not answer it.
        """
        tried: list[str] = []
        detail = "no other host"
        while len(tried) < MAX_TRIED_HOSTS and self._clock() < context.deadline:
            host = self._choose_host(tried)
            if host is None:
                break
            tried.append(host)
            context.relay = host
            result = await self._send(context, host, document_version)
            unfit_seconds = UNFIT_SECONDS
            if isinstance(result, Response):
                reason = find_header(result.headers, REFUSED)
                if reason is None:
                    return _check_answer(result, host)
                if reason == OUTDATED_REASON:
                    unfit_seconds = OUTDATED_SECONDS
                detail = f"host {host} refused it"
            else:
                detail = f"host {host}: {result.detail}"
            self._unfit_until[host] = self._clock() + unfit_seconds
            if not isinstance(result, Response) and _may_have_arrived(result):
                return RelayFault(detail, may_have_run=True)
        return RelayFault(detail, may_have_run=False)

    def close_expired(self, now: float) -> None:
        """Close connections to hosts that are no longer reusable, and forget hosts."""
        self._connections.close_expired(now)
        self._unfit_until = {h: at for h, at in self._unfit_until.items() if at > now}

    def close(self) -> None:
        """Close all idle connections."""
        self._connections.close()

    def _choose_host(self, tried: list[str]) -> str | None:
        """Return the fitter of two random hosts, or None."""
        now = self._clock()
        hosts = [
            host
            for host in self._list_hosts()
            if host != self._config.host
            and host not in tried
            and self._unfit_until.get(host, 0.0) <= now
        ]
        if not hosts:
            return None
        some = self._random.sample(hosts, min(2, len(hosts)))
        return min(some, key=lambda host: self._in_flight.get(host, 0))

    async def _send(
        self, context: RequestContext, host: str, document_version: int
    ) -> Response | ExchangeFault:
        """Send a request to a host and return its response."""
        connection = await self._connect(context, host)
        if isinstance(connection, ExchangeFault):
            return connection
        self._in_flight[host] = self._in_flight.get(host, 0) + 1
        names = self._config.header_names
        seconds_left = context.deadline - self._clock()
        sent_at = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(seconds_left + RESPONSE_SLACK_SECONDS):
                result = await connection.exchange(
                    self._make_request(context, seconds_left, document_version),
                    names.request_id,
                    context.request_id,
                )
        except TimeoutError:
            if not connection.has_sent:
                detail = "the request waited for this host's link too long"
                return ExchangeFault(FaultKind.NOT_CONNECTED, detail)
            # All connections that were open may be silent for good.
            self._connections.close_idle(connection.address, answered_since=sent_at)
            return ExchangeFault(FaultKind.CONNECTION_LOST, "no response in time")
        finally:
            self._in_flight[host] -= 1
            if not self._in_flight[host]:
                del self._in_flight[host]
        self._connections.release(connection)
        return result

    async def _connect(
        self, context: RequestContext, host: str
    ) -> ServerConnection | ExchangeFault:
        """Return an idle connection to a host, or a new one.

        A request that may not be repeated gets a new one: a host of a build that names
        no request in its refusals could not be believed on an idle one.
        """
        address = f"{host}:{self._config.relay_port}"
        if context.route.is_idempotent:
            idle = self._connections.acquire_idle(address, context.request_id)
            if idle is not None:
                return idle
        seconds_left = max(context.deadline - self._clock(), 0.0)
        timeout = min(CONNECT_TIMEOUT_SECONDS, seconds_left)
        return await self._connections.connect(address, timeout)

    def _make_request(
        self, context: RequestContext, seconds_left: float, document_version: int
    ) -> Request:
        """Return the request with the time left, and what this host says with it.

        A host of a build that does not know the version drops it, since it is named as
        a header of the connection.
        """
        return make_forwarded_request(
            context.request,
            self._config.header_names,
            seconds_left,
            (
                (EARLIER_SENDS, b"%d" % context.sends),
                (DOCUMENT_VERSION, b"%d" % document_version),
                (b"Connection", DOCUMENT_VERSION),
            ),
        )


def _check_answer(response: Response, host: str) -> Response | RelayFault:
    """Return the answer of another host for the caller.

    A host of a build that does not name its version may have an older document, so
    its 404 does not show that there is no route.
    """
    if response.status == 404 and read_document_version(response.headers) is None:
        detail = f"host {host} answered 404 by a document of unknown version"
        return RelayFault(detail, may_have_run=True)
    return response._replace(headers=drop_hop_by_hop_headers(response.headers))


def _may_have_arrived(fault: ExchangeFault) -> bool:
    """Return whether the other host may have got the request."""
    return fault.kind not in (FaultKind.NOT_CONNECTED, FaultKind.CONNECT_TIMEOUT)


def strip_request_headers(request: Request) -> Request:
    """Return a request without the headers that only hosts send each other."""
    headers: Headers = tuple(
        header for header in request.headers if header[0].lower() not in REQUEST_HEADERS
    )
    return request._replace(headers=headers)


def read_notice(request: Request) -> RelayNotice:
    """Return what the other host says with a relayed request."""
    value = find_header(request.headers, EARLIER_SENDS)
    earlier_sends = parse_number(value, MAX_EARLIER_SENDS) or 0
    return RelayNotice(earlier_sends, read_document_version(request.headers))


def read_document_version(headers: Headers) -> int | None:
    """Return the version of the other host's route document; None without one."""
    value = find_header(headers, DOCUMENT_VERSION) or b""
    if not value.isdigit() or len(value) > MAX_VERSION_DIGITS:
        return None
    return int(value)


def strip_response_headers(response: Response) -> Response:
    """Return a response without the headers that only a host may set."""
    headers: Headers = tuple(
        header
        for header in response.headers
        if header[0].lower() not in RESPONSE_HEADERS
    )
    return response._replace(headers=headers)


def add_document_version(response: Response, version: int) -> Response:
    """Return an answer to a relayed request with the version that it was judged by."""
    added = (DOCUMENT_VERSION, b"%d" % version)
    return response._replace(headers=(*response.headers, added))


def make_relay_refusal(detail: bytes, reason: bytes = b"1") -> Response:
    """Return the answer that this host does not take a relayed request."""
    return make_response(503, detail + b"\n", ((REFUSED, reason),))
