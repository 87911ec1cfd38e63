"""Headers on the way to a backend server and back."""

from __future__ import annotations

from typing import Final

from ..http import Headers, Request, Response, find_header
from .header_names import HeaderNames
from .servers import LoadReport

__all__ = [
    "count_bytes",
    "end_to_end",
    "find_answer_fault",
    "make_outgoing",
    "read_load",
]

HOP_HEADERS: Final = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


def end_to_end(headers: Headers) -> Headers:
    """Return the headers that concern more than one connection."""
    return tuple(item for item in headers if item[0].lower() not in HOP_HEADERS)


def count_bytes(message: Request | Response) -> int:
    """Return about how many bytes a message has on the wire."""
    lines = sum(len(name) + len(value) + 4 for name, value in message.headers)
    return lines + len(message.body)


def make_outgoing(
    request: Request, dialect: HeaderNames, server: str, left: float
) -> Request:
    """Return a request as it goes to a server that has ``left`` seconds for it."""
    skipped = {dialect.time_left_ms, dialect.expected_server}
    named = find_header(request.headers, b"connection")
    if named:
        skipped.update(part.strip().lower() for part in named.split(b","))
    headers = [
        (name, value)
        for name, value in end_to_end(request.headers)
        if name.lower() not in skipped
    ]
    headers.append((dialect.time_left_ms, b"%d" % max(1, int(left * 1000))))
    headers.append((dialect.expected_server, server.encode()))
    return request._replace(headers=tuple(headers))


def find_answer_fault(
    response: Response, dialect: HeaderNames, request_id: bytes
) -> str:
    """Return why a success cannot be a whole answer to a request; empty if it can."""
    if not 200 <= response.status < 300:
        return ""
    if find_header(response.headers, dialect.request_id) != request_id:
        return "the answer does not bear the request's id"
    signature = dialect.signature
    if signature and find_header(response.headers, signature) is None:
        return "the answer bears no signature"
    if find_header(response.headers, b"content-encoding") is not None:
        return "the answer is encoded"
    return ""


def read_load(response: Response, dialect: HeaderNames) -> LoadReport | None:
    """Return what a server tells of its load."""
    told = find_header(response.headers, dialect.load)
    if told is None:
        return None
    parts = told.split(b",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    return LoadReport(*(int(part) for part in parts))
