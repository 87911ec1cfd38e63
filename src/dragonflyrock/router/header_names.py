"""The names of the headers that routers, servers and callers exchange."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["HeaderNames"]


class HeaderNames(NamedTuple):
    """Header names in lower case; an empty name is neither sent nor read.

    A server may use any of the names in ``leaving``, ``pause`` and ``limit``.

    ``key_shift`` is the number of bits by which a key in a header is shifted left to
    give its hash.
    """

    request_id: bytes = b"x-request-id"
    time_left_ms: bytes = b"x-request-timeout-ms"
    expected_server: bytes = b"x-expected-server"
    server_name: bytes = b"x-server-name"
    signature: bytes = b""
    not_run: bytes = b"x-not-run"
    load: bytes = b"x-server-load"
    cold_ms: bytes = b"x-server-cold-ms"
    leaving: tuple[bytes, ...] = (b"x-server-leaving",)
    pause: tuple[bytes, ...] = (b"retry-after",)
    limit: tuple[bytes, ...] = (b"x-server-limit",)
    key: bytes = b"x-key"
    key_shift: int = 48
