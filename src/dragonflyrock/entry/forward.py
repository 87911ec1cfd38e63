"""Forwarding one request to a backend server and reading its whole answer."""

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
from typing import Final, NamedTuple

from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.response import BaseHTTPResponse
from urllib3.util.connection import is_connection_dropped

from ..errors import Outcome, Reason, Refusal, Step
from .gate import InFlightRequest

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
READ_BYTES: Final = 64 * 1024
MAX_IDLE_PER_SERVER: Final = 32
CANCEL_TIMEOUT_SECONDS: Final = 0.5
SHED_RETRY_MS: Final = 200


class ServerRequest(NamedTuple):
    """A request as it goes to a backend server."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    request_id: str


class ServerResponse(NamedTuple):
    """A whole answer of a backend server."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class _BadAnswerError(Exception):
    """An answer that is not whole or not to this request."""

    detail: str


class Forwarder:
    """Connections to backend servers. One with an unread answer is never reused."""

    def __init__(self, clock: Callable[[], float], max_answer_bytes: int) -> None:
        """Start without connections."""
        self._clock = clock
        self._max_answer_bytes = max_answer_bytes
        self._idle: defaultdict[str, list[HTTPConnection]] = defaultdict(list)
        self._lock = threading.Lock()

    def forward(
        self, in_flight: InFlightRequest, request: ServerRequest
    ) -> ServerResponse | Refusal:
        """Send a request to the flight's server and return its whole answer.

        A refusal tells whether the request may have run.
        """
        peer = in_flight.server.holder
        left = in_flight.deadline - self._clock()
        if left <= 0:
            return Refusal(Reason.DEADLINE, Step.DISPATCH, peer)
        connection = self._take(in_flight.server.address)
        try:
            connection.timeout = left
            if connection.sock is None:
                connection.connect()
            connection.sock.settimeout(left)
        except (OSError, HTTPError) as error:
            connection.close()
            return Refusal(Reason.CONNECTION_FAILED, Step.DISPATCH, peer, str(error))
        in_flight.close = partial(_interrupt, connection.sock)
        if in_flight.cancelled:
            connection.close()
            return Refusal(Reason.OWNER_LOST, Step.DISPATCH, peer)
        return self._exchange(connection, in_flight, request)

    def _exchange(
        self,
        connection: HTTPConnection,
        in_flight: InFlightRequest,
        request: ServerRequest,
    ) -> ServerResponse | Refusal:
        """Write the request and read the answer on a connected socket."""
        peer = in_flight.server.holder
        try:
            self._write(connection, in_flight, request)
            response = connection.getresponse()
            answer = self._read(connection, response, in_flight, request)
        except _BadAnswerError as error:
            connection.close()
            return _unknown(Reason.BAD_ANSWER, Step.ANSWER, peer, error.detail)
        except (OSError, HTTPError, HTTPException, ValueError) as error:
            connection.close()
            return self._explain(in_flight, error)
        self._give_back(in_flight.server.address, connection, response)
        return _check_refused(answer, peer)

    def _write(
        self,
        connection: HTTPConnection,
        in_flight: InFlightRequest,
        request: ServerRequest,
    ) -> None:
        """Write a request with its epoch, its id and the time it has left."""
        left_ms = max(1, int((in_flight.deadline - self._clock()) * 1000))
        headers = dict(request.headers)
        headers["X-Grant-Epoch"] = str(in_flight.epoch)
        headers[REQUEST_ID_HEADER] = request.request_id
        headers["X-Request-Timeout-Ms"] = str(left_ms)
        # A server that was frozen cannot tell from a time span how late it is.
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

    def _read(
        self,
        connection: HTTPConnection,
        response: BaseHTTPResponse,
        in_flight: InFlightRequest,
        request: ServerRequest,
    ) -> ServerResponse:
        """Read an answer to its end, and check whose it is."""
        echoed = response.headers.get(REQUEST_ID_HEADER)
        if echoed is not None and echoed != request.request_id:
            raise _BadAnswerError(f"the answer is to request {echoed}")
        has_length = "Content-Length" in response.headers
        chunked = response.headers.get("Transfer-Encoding", "").lower() == "chunked"
        bodiless = request.method == "HEAD" or response.status in (204, 304)
        if not (has_length or chunked or bodiless):
            raise _BadAnswerError("the answer's length is not told")
        chunks: list[bytes] = []
        size = 0
        for chunk in response.stream(READ_BYTES, decode_content=False):
            size += len(chunk)
            if size > self._max_answer_bytes:
                raise _BadAnswerError(f"more than {self._max_answer_bytes} bytes")
            chunks.append(chunk)
            left = in_flight.deadline - self._clock()
            if connection.sock is not None:
                connection.sock.settimeout(max(left, 0.001))
        headers = _end_to_end(response.headers.items())
        return ServerResponse(response.status, headers, b"".join(chunks))

    def _explain(self, in_flight: InFlightRequest, error: Exception) -> Refusal:
        """Return why an answer did not come; the request may have run."""
        peer = in_flight.server.holder
        if in_flight.cancelled:
            return _unknown(Reason.OWNER_LOST, Step.ANSWER, peer, "")
        if self._clock() >= in_flight.deadline or isinstance(error, TimeoutError):
            return _unknown(Reason.DEADLINE, Step.ANSWER, peer, "")
        detail = f"{type(error).__name__}: {error}"
        return _unknown(Reason.CONNECTION_LOST, Step.ANSWER, peer, detail)

    def cancel(self, in_flight: InFlightRequest, request_id: str) -> None:
        """Tell a server to stop a request; its answer is not waited for long."""
        host, _, port = in_flight.server.address.rpartition(":")
        connection = HTTPConnection(host, int(port), timeout=CANCEL_TIMEOUT_SECONDS)
        try:
            connection.request("POST", f"/cancel/{request_id}")
            connection.getresponse()
        except (OSError, HTTPError, HTTPException):
            # The deadline that went with the request bounds it all the same.
            pass
        finally:
            connection.close()

    def _take(self, address: str) -> HTTPConnection:
        """Return an idle connection that is still open, or a new one."""
        while True:
            with self._lock:
                idle = self._idle.get(address)
                connection = idle.pop() if idle else None
            if connection is None:
                host, _, port = address.rpartition(":")
                return HTTPConnection(host, int(port))
            if not is_connection_dropped(connection):
                return connection
            connection.close()

    def _give_back(
        self, address: str, connection: HTTPConnection, response: BaseHTTPResponse
    ) -> None:
        """Keep a connection whose answer was read to the end."""
        if connection.sock is None or response.headers.get("Connection") == "close":
            connection.close()
            return
        with self._lock:
            idle = self._idle[address]
            if len(idle) < MAX_IDLE_PER_SERVER:
                idle.append(connection)
                return
        connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            idle, self._idle = self._idle, defaultdict(list)
        for connections in idle.values():
            for connection in connections:
                connection.close()


def _interrupt(sock: socket.socket) -> None:
    """Wake the thread that waits on a socket; closing alone would not."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)


def _end_to_end(headers: Iterable[tuple[str, str]]) -> tuple[tuple[str, str], ...]:
    """Return the headers that concern the caller."""
    return tuple(item for item in headers if item[0].lower() not in HOP_BY_HOP_HEADERS)


def _unknown(reason: Reason, step: Step, peer: str, detail: str) -> Refusal:
    """Return a failure after which the request may have run."""
    return Refusal(reason, step, peer, detail, Outcome.UNKNOWN)


def _check_refused(answer: ServerResponse, peer: str) -> ServerResponse | Refusal:
    """Return a refusal where the server says in so many words that it did not run."""
    headers = {name.lower(): value for name, value in answer.headers}
    if headers.get(OUTCOME_HEADER.lower()) != Outcome.NOT_RUN:
        return answer
    detail = headers.get(REASON_HEADER.lower(), "")
    return Refusal(
        Reason.REFUSED_BY_SERVER,
        Step.DISPATCH,
        peer,
        detail,
        retry_after_ms=SHED_RETRY_MS,
    )
