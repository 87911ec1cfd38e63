"""Headers of requests to backend servers and of their responses."""

from __future__ import annotations

from typing import Final

from ..hashing import KEY_SPACE
from ..http import Headers, Request, Response, find_header
from .header_names import HeaderNames
from .server_stats import MAX_WORK_PERCENT, MIN_WORK_PERCENT, LoadReport

__all__ = [
    "estimate_wire_bytes",
    "drop_hop_by_hop_headers",
    "find_response_error",
    "make_forwarded_request",
    "make_server_request",
    "parse_cold_seconds",
    "parse_key",
    "parse_load_report",
    "parse_number",
]

# Any larger number is outside of the key space.
MAX_KEY_DIGITS: Final = 20
# Servers report three figures of their load, and some a fourth.
MIN_LOAD_FIGURES: Final = 3
MAX_LOAD_FIGURES: Final = 4
MAX_FIGURE_DIGITS: Final = 9
# A number in a header is clamped from here on, as its digits alone can take long.
MAX_NUMBER_DIGITS: Final = 18
HOP_BY_HOP_HEADERS: Final = frozenset(
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


def drop_hop_by_hop_headers(headers: Headers) -> Headers:
    """Return the headers without those that concern a single connection."""
    return tuple(
        header for header in headers if header[0].lower() not in HOP_BY_HOP_HEADERS
    )


def estimate_wire_bytes(message: Request | Response) -> int:
    """Return the approximate number of bytes of a message on the wire."""
    lines = sum(len(name) + len(value) + 4 for name, value in message.headers)
    return lines + len(message.body)


def make_server_request(
    request: Request, names: HeaderNames, server: str, seconds_left: float
) -> Request:
    """Return the request to send to a server, with ``seconds_left`` until its deadline.

    The headers named in the caller's Connection header are dropped.
    """
    added = (names.expected_server, server.encode())
    return make_forwarded_request(request, names, seconds_left, (added,))


def make_forwarded_request(
    request: Request,
    names: HeaderNames,
    seconds_left: float,
    added: Headers,
) -> Request:
    """Return the request to send on, with the time left and further headers.

    The headers that concern the caller's connection are dropped.
    """
    skipped = {names.time_left_ms, *(name.lower() for name, _ in added)}
    named = find_header(request.headers, b"connection")
    if named:
        skipped.update(part.strip().lower() for part in named.split(b","))
    headers = [
        (name, value)
        for name, value in drop_hop_by_hop_headers(request.headers)
        if name.lower() not in skipped
    ]
    headers.append((names.time_left_ms, b"%d" % max(1, int(seconds_left * 1000))))
    return request._replace(headers=(*headers, *added))


def find_response_error(
    response: Response, names: HeaderNames, request_id: bytes
) -> str:
    """Return why a successful response is invalid; empty if it is valid."""
    if not 200 <= response.status < 300:
        return ""
    echoed = find_header(response.headers, names.request_id) or b""
    if echoed != request_id:
        return "the response has no matching request id"
    signature = names.signature
    if signature and find_header(response.headers, signature) is None:
        return "the response has no signature"
    if find_header(response.headers, b"content-encoding") is not None:
        return "the response has a Content-Encoding"
    return ""


def parse_number(value: bytes | None, maximum: int) -> int | None:
    """Return the number in a header, ``maximum`` for a larger one; None without one.

    >>> parse_number(b"800", 1000), parse_number(b"9" * 5000, 1000)
    (800, 1000)
    >>> parse_number(b"-1", 1000), parse_number(None, 1000)
    (None, None)
    """
    if value is None or not value.isdigit():
        return None
    if len(value.lstrip(b"0")) > MAX_NUMBER_DIGITS:
        return maximum
    return min(int(value.lstrip(b"0") or b"0"), maximum)


def parse_key(request: Request, names: HeaderNames) -> int | None:
    """Return the hash of a request's key, 0 without one; None for an invalid key."""
    value = find_header(request.headers, names.key)
    if value is None:
        return 0
    if not value.isdigit() or len(value) > MAX_KEY_DIGITS:
        return None
    key_hash = int(value) << names.key_shift
    return key_hash if key_hash < KEY_SPACE else None


def parse_load_report(response: Response, names: HeaderNames) -> LoadReport | None:
    """Return the load report of a response; None if it is missing or malformed."""
    value = find_header(response.headers, names.load)
    if value is None:
        return None
    parts = [part.strip() for part in value.split(b",")][:MAX_LOAD_FIGURES]
    if len(parts) < MIN_LOAD_FIGURES or not all(_is_figure(part) for part in parts):
        return None
    report = LoadReport(*(int(part) for part in parts))
    percent = min(max(report.work_percent, MIN_WORK_PERCENT), MAX_WORK_PERCENT)
    return report._replace(work_percent=percent)


def _is_figure(text: bytes) -> bool:
    """Return whether a text is a number that a server can have reported."""
    return text.isdigit() and len(text) <= MAX_FIGURE_DIGITS


def parse_cold_seconds(response: Response, names: HeaderNames) -> float | None:
    """Return how long a server says that it stays cold; None if it does not say."""
    value = find_header(response.headers, names.cold_ms)
    if value is None or not _is_figure(value.strip()):
        return None
    return int(value) / 1000
