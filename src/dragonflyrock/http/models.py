"""HTTP requests, responses, limits and faults."""

from __future__ import annotations

from enum import StrEnum
from http import HTTPStatus
from typing import NamedTuple

__all__ = [
    "ExchangeFault",
    "FaultKind",
    "Headers",
    "Request",
    "Response",
    "WireLimits",
    "encode_head",
    "find_header",
    "make_response",
]

Headers = tuple[tuple[bytes, bytes], ...]


class Request(NamedTuple):
    """A complete request; its parts are the bytes that were received or are sent.

    ``waited_seconds`` is how long it had waited for others of its connection when its
    handling began.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    waited_seconds: float = 0.0


class Response(NamedTuple):
    """A complete response; header names keep their case."""

    status: int
    reason: bytes
    headers: Headers
    body: bytes


class WireLimits(NamedTuple):
    """Limits of a client: sizes of the head and body, and timeouts in seconds."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


class FaultKind(StrEnum):
    """The kind of failure of an exchange with a backend server.

    ``NOT_BEGUN`` is a request that was not to be sent any more when the link had room.
    ``CONNECT_TIMEOUT`` is a connection that was not opened in time, and ``TURNED_AWAY``
    a new one that the server reset before anything was sent.
    """

    NOT_BEGUN = "not-begun"
    NOT_CONNECTED = "not-connected"
    CONNECT_TIMEOUT = "connect-timeout"
    TURNED_AWAY = "turned-away"
    CONNECTION_LOST = "connection-lost"
    BAD_ANSWER = "bad-answer"


class ExchangeFault(NamedTuple):
    """The failure of an exchange with a backend server.

    Only after ``NOT_BEGUN``, ``NOT_CONNECTED``, ``CONNECT_TIMEOUT`` and ``TURNED_AWAY``
    is it certain that the server did not run the request.
    """

    kind: FaultKind
    detail: str


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, or None; ``name`` is in lower case.

    >>> find_header(((b"Host", b"a"),), b"host")
    b'a'
    """
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def make_response(
    status: int,
    body: bytes = b"",
    headers: Headers = (),
    content_type: bytes = b"application/json",
) -> Response:
    """Return a response with the standard reason phrase of its status."""
    reason = HTTPStatus(status).phrase.encode()
    if body:
        headers = ((b"Content-Type", content_type), *headers)
    return Response(status, reason, headers, body)


def encode_head(start_line: bytes, headers: Headers) -> bytes:
    """Return the encoded start line and headers of a request or response."""
    parts = [start_line]
    parts += [key + b": " + value for key, value in headers]
    return b"\r\n".join(parts) + b"\r\n\r\n"
