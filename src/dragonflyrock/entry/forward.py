"""HTTP client that forwards requests to backend servers and reads the responses."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from http.client import HTTPException
from io import BytesIO
from typing import Final, NamedTuple

from urllib3.exceptions import HTTPError
from urllib3.response import BaseHTTPResponse
from urllib3.util.connection import is_connection_dropped

from ..errors import Outcome, Reason, Refusal, Step
from ..http import BufferedBodies, PartPacer
from ..http.part_pacer import FREE_PARTS, SMALL_PART_BYTES
from ..models import ServerRow
from .gate import InFlightRequest
from .server_connection import ServerConnection

__all__ = ["Forwarder", "ServerRequest", "ServerResponse"]

HOP_BY_HOP_HEADERS: Final = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
    )
)
OUTCOME_HEADER: Final = "X-Outcome"
REASON_HEADER: Final = "X-Reason"
REQUEST_ID_HEADER: Final = "X-Request-Id"
READ_CHUNK_BYTES: Final = 64 * 1024
MAX_IDLE_CONNECTIONS_PER_SERVER: Final = 32
CANCEL_TIMEOUT_SECONDS: Final = 0.5
REFUSED_RETRY_MS: Final = 200
MAX_ALL_ANSWER_BYTES: Final = 256 * 1024 * 1024
# A part takes several times as long here as in the asynchronous client.
PART_COST: Final = 10


class ServerRequest(NamedTuple):
    """A request to send to a backend server."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    request_id: str


class ServerResponse(NamedTuple):
    """A complete response of a backend server."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class _BadAnswerError(Exception):
    """A response that is invalid, too large or to another request."""

    detail: str


class _Reading:
    """A response that is being read; ``given_up`` is why it is not read on."""

    def __init__(self, in_flight: InFlightRequest) -> None:
        """Start to read the response to a request."""
        self.given_up = ""
        self.body = BytesIO()
        self.charged_parts = 0
        self._in_flight = in_flight

    def give_up_body(self, detail: str) -> None:
        """End the exchange, whose thread may be waiting for more of the body."""
        self.given_up = detail
        if self._in_flight.close is not None:
            self._in_flight.close()


class _CancelConnection(ServerConnection):
    """A connection for a call whose answer is not waited for longer."""

    answer_timeout = CANCEL_TIMEOUT_SECONDS


def _ignore_response(
    server: ServerRow, response: ServerResponse, sent_at: float
) -> None:
    """Ignore what a response says about its server."""


def _accept_dispatch(in_flight: InFlightRequest) -> Refusal | None:
    """Keep back no request."""
    return None


class Forwarder:
    """Send requests to backend servers over pooled connections.

    A connection returns to the pool only after its response was read completely, and
    if a second copy of it would be told from the response to a later request.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        max_answer_bytes: int,
        on_response: Callable[
            [ServerRow, ServerResponse, float], None
        ] = _ignore_response,
        recheck: Callable[[InFlightRequest], Refusal | None] = _accept_dispatch,
        max_all_answer_bytes: int = MAX_ALL_ANSWER_BYTES,
    ) -> None:
        """Start without connections.

        Responses with a body of more than ``max_answer_bytes`` are refused, and the
        largest one if all that are being read exceed ``max_all_answer_bytes``.
        ``on_response`` receives the server, each complete response, and the time before
        which its request was not sent. ``recheck`` returns why a request must not be
        sent any more once its connection is open.
        """
        self._on_response = on_response
        self._recheck = recheck
        self._clock = clock
        self._max_answer_bytes = max_answer_bytes
        self._idle_connections: defaultdict[str, list[ServerConnection]] = defaultdict(
            list
        )
        self._lock = threading.Lock()
        self._bodies = BufferedBodies(max_all_answer_bytes)
        self._pacer = PartPacer()
        self._bodies_lock = threading.Lock()

    def forward(
        self, in_flight: InFlightRequest, request: ServerRequest
    ) -> ServerResponse | Refusal:
        """Send a request to the owner and return the complete response.

        The outcome of a refusal says whether the request may have run.
        """
        peer = in_flight.server.holder
        seconds_left = in_flight.deadline - self._clock()
        if seconds_left <= 0:
            return Refusal(Reason.DEADLINE, Step.DISPATCH, peer)
        connection = self._acquire_connection(in_flight.server.address)
        try:
            connection.timeout = seconds_left
            if connection.sock is None:
                connection.connect()
            connection.sock.settimeout(seconds_left)
        except (OSError, HTTPError) as error:
            connection.close()
            return Refusal(Reason.CONNECTION_FAILED, Step.DISPATCH, peer, str(error))
        in_flight.close = partial(_shut_down_socket, connection.sock)
        if in_flight.cancelled:
            connection.close()
            return Refusal(Reason.OWNER_LOST, Step.DISPATCH, peer)
        refusal = self._recheck(in_flight)
        if refusal is not None:
            self._keep_connection(in_flight.server.address, connection)
            return refusal
        return self._exchange(connection, in_flight, request)

    def _exchange(
        self,
        connection: ServerConnection,
        in_flight: InFlightRequest,
        request: ServerRequest,
    ) -> ServerResponse | Refusal:
        """Send the request and read the response on a connected socket."""
        peer = in_flight.server.holder
        try:
            self._send_request(connection, in_flight, request)
            response = connection.getresponse()
            _check_request_id(connection, response, request)
            server_response = self._read_response(
                connection, response, in_flight, request
            )
        except _BadAnswerError as error:
            connection.close()
            if self._clock() >= in_flight.deadline:
                # The answer was cut at the deadline.
                return _refuse_unknown(Reason.DEADLINE, Step.ANSWER, peer, error.detail)
            return _refuse_unknown(Reason.BAD_ANSWER, Step.ANSWER, peer, error.detail)
        except (OSError, HTTPError, HTTPException, ValueError) as error:
            connection.close()
            return self._convert_error(in_flight, error)
        result = _convert_refusal(server_response, peer)
        # A refused request may be sent again with the same id.
        if REQUEST_ID_HEADER in response.headers and result is server_response:
            self._release_connection(in_flight.server.address, connection, response)
        else:
            connection.close()
        self._on_response(in_flight.server, server_response, in_flight.started_at)
        return result

    def _send_request(
        self,
        connection: ServerConnection,
        in_flight: InFlightRequest,
        request: ServerRequest,
    ) -> None:
        """Send a request with its grant epoch, id and remaining time."""
        left_ms = max(1, int((in_flight.deadline - self._clock()) * 1000))
        headers = dict(request.headers)
        headers["X-Grant-Epoch"] = str(in_flight.epoch)
        headers[REQUEST_ID_HEADER] = request.request_id
        headers["X-Request-Timeout-Ms"] = str(left_ms)
        # A server that was suspended cannot see from the remaining time alone
        # that the deadline has passed meanwhile.
        headers["X-Request-Deadline-Ms"] = str(int(time.time() * 1000) + left_ms)
        connection.request(
            request.method,
            request.target,
            body=request.body or None,
            headers=headers,
            preload_content=False,
            decode_content=False,
            enforce_content_length=True,
        )

    def _read_response(
        self,
        connection: ServerConnection,
        response: BaseHTTPResponse,
        in_flight: InFlightRequest,
        request: ServerRequest,
    ) -> ServerResponse:
        """Read a complete response."""
        has_length = "Content-Length" in response.headers
        chunked = response.headers.get("Transfer-Encoding", "").lower() == "chunked"
        bodiless = request.method == "HEAD" or response.status in (204, 304)
        if not (has_length or chunked or bodiless):
            raise _BadAnswerError(
                "the response has neither Content-Length nor chunked encoding"
            )
        reading = _Reading(in_flight)
        try:
            self._read_body(connection, response, in_flight, reading)
        except (OSError, HTTPError, HTTPException) as error:
            if reading.given_up:
                raise _BadAnswerError(reading.given_up) from error
            raise
        finally:
            with self._bodies_lock:
                self._bodies.remove(reading)
        headers = _remove_hop_by_hop(response.headers.items())
        return ServerResponse(response.status, headers, reading.body.getvalue())

    def _read_body(
        self,
        connection: ServerConnection,
        response: BaseHTTPResponse,
        in_flight: InFlightRequest,
        reading: _Reading,
    ) -> None:
        """Read the body of a response within its bounds."""
        # The parts of a few bytes that a server may send are not kept one by one.
        parts = response.stream(READ_CHUNK_BYTES, decode_content=False)
        for count, part in enumerate(parts, 1):
            size = reading.body.tell() + len(part)
            if size > self._max_answer_bytes:
                raise _BadAnswerError(
                    f"the response body exceeds {self._max_answer_bytes} bytes"
                )
            reading.body.write(part)
            with self._bodies_lock:
                self._bodies.add(reading, len(part))
            if reading.given_up:
                raise _BadAnswerError(reading.given_up)
            seconds_left = in_flight.deadline - self._clock()
            self._pace(reading, count, seconds_left)
            if connection.sock is not None:
                connection.sock.settimeout(max(seconds_left, 0.001))

    def _pace(self, reading: _Reading, count: int, seconds_left: float) -> None:
        """Pause a response that comes in very small parts, so that others go on."""
        free = FREE_PARTS + reading.body.tell() // SMALL_PART_BYTES
        charged = count - free - reading.charged_parts
        if charged <= 0:
            return
        reading.charged_parts += charged
        with self._bodies_lock:
            wait = self._pacer.charge(charged * PART_COST, time.monotonic())
        if wait > 0:
            time.sleep(min(wait, max(seconds_left, 0.0)))

    def _convert_error(self, in_flight: InFlightRequest, error: Exception) -> Refusal:
        """Return the refusal for a failed exchange; the request may have run."""
        peer = in_flight.server.holder
        if in_flight.cancelled:
            return _refuse_unknown(Reason.OWNER_LOST, Step.ANSWER, peer, "")
        if self._clock() >= in_flight.deadline or isinstance(error, TimeoutError):
            return _refuse_unknown(Reason.DEADLINE, Step.ANSWER, peer, "")
        detail = f"{type(error).__name__}: {error}"
        return _refuse_unknown(Reason.CONNECTION_LOST, Step.ANSWER, peer, detail)

    def cancel(self, in_flight: InFlightRequest, request_id: str) -> None:
        """Ask a server to cancel a request; failures are ignored."""
        host, _, port = in_flight.server.address.rpartition(":")
        connection = _CancelConnection(host, int(port), timeout=CANCEL_TIMEOUT_SECONDS)
        try:
            connection.request("POST", f"/cancel/{request_id}")
            connection.getresponse()
        except (OSError, HTTPError, HTTPException):
            # The server also got the deadline with the request and stops it then.
            pass
        finally:
            connection.close()

    def _acquire_connection(self, address: str) -> ServerConnection:
        """Return an idle connection that is still open, or a new one to connect."""
        while True:
            with self._lock:
                idle = self._idle_connections.get(address)
                connection = idle.pop() if idle else None
            if connection is None:
                host, _, port = address.rpartition(":")
                return ServerConnection(host, int(port))
            if not is_connection_dropped(connection):
                return connection
            connection.close()

    def _release_connection(
        self, address: str, connection: ServerConnection, response: BaseHTTPResponse
    ) -> None:
        """Return a connection to the pool after its response was read completely."""
        connection.has_answered = True
        if connection.sock is None or response.headers.get("Connection") == "close":
            connection.close()
            return
        self._keep_connection(address, connection)

    def _keep_connection(self, address: str, connection: ServerConnection) -> None:
        """Put an open connection into the pool, or close it if the pool is full."""
        with self._lock:
            idle = self._idle_connections[address]
            if len(idle) < MAX_IDLE_CONNECTIONS_PER_SERVER:
                idle.append(connection)
                return
        connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            idle, self._idle_connections = self._idle_connections, defaultdict(list)
        for connections in idle.values():
            for connection in connections:
                connection.close()


def _check_request_id(
    connection: ServerConnection, response: BaseHTTPResponse, request: ServerRequest
) -> None:
    """Check that a response belongs to the request, or raise ``_BadAnswerError``.

    Without an id it may be a copy of an earlier response on the connection.
    """
    echoed = response.headers.get(REQUEST_ID_HEADER)
    if echoed is None and connection.has_answered:
        raise _BadAnswerError("the response names no request, and may be a copy")
    if echoed is not None and echoed != request.request_id:
        raise _BadAnswerError(f"the response belongs to request {echoed}")


def _shut_down_socket(sock: socket.socket) -> None:
    """Shut a socket down, which wakes a thread that reads from it.

    Closing the socket would not wake the thread.
    """
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)


def _remove_hop_by_hop(
    headers: Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Return the end-to-end headers, which are passed on to the caller."""
    return tuple(item for item in headers if item[0].lower() not in HOP_BY_HOP_HEADERS)


def _refuse_unknown(reason: Reason, step: Step, peer: str, detail: str) -> Refusal:
    """Return a refusal of a request that may have run."""
    return Refusal(reason, step, peer, detail, Outcome.UNKNOWN)


def _convert_refusal(response: ServerResponse, peer: str) -> ServerResponse | Refusal:
    """Return a refusal if the server reports that the request did not run."""
    headers = {name.lower(): value for name, value in response.headers}
    if headers.get(OUTCOME_HEADER.lower()) != Outcome.NOT_RUN:
        return response
    detail = headers.get(REASON_HEADER.lower(), "")
    return Refusal(
        Reason.REFUSED_BY_SERVER,
        Step.DISPATCH,
        peer,
        detail,
        retry_after_ms=REFUSED_RETRY_MS,
    )
