"""Requests and responses as they are on the wire, and why an exchange failed."""

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
    """A request that was read whole; nothing in it is decoded or changed."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes


class Response(NamedTuple):
    """A whole response; header names keep their case."""

    status: int
    reason: bytes
    headers: Headers
    body: bytes


class WireLimits(NamedTuple):
    """What a client may send, and for how long it may send or be idle (seconds)."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


class FaultKind(StrEnum):
    """How an exchange with a backend server failed."""

    NOT_CONNECTED = "not-connected"
    CONNECTION_LOST = "connection-lost"
    BAD_ANSWER = "bad-answer"


class ExchangeFault(NamedTuple):
    """An exchange without an answer; only one not connected has surely not run."""

    kind: FaultKind
    detail: str


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header; ``name`` is in lower case.

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
    """Return a response of this process's own."""
    reason = HTTPStatus(status).phrase.encode()
    if body:
        headers = ((b"Content-Type", content_type), *headers)
    return Response(status, reason, headers, body)


def encode_head(first: bytes, headers: Headers) -> bytes:
    """Return a first line and headers as they go on the wire."""
    parts = [first]
    parts += [key + b": " + value for key, value in headers]
    return b"\r\n".join(parts) + b"\r\n\r\n"
