"""Caller of the router for trials, which times its calls."""

from __future__ import annotations

import http.client
import json
import time
from typing import Any, NamedTuple

__all__ = ["CallResult", "Caller"]


class CallResult(NamedTuple):
    """The result of a call; times are monotonic, in seconds.

    Status 0: there was no response; ``reason`` is then the error.
    """

    status: int
    outcome: str
    reason: str
    body: bytes
    sent_at: float
    ended_at: float
    retry_after: str = ""

    @property
    def seconds(self) -> float:
        """Return the duration of the call."""
        return self.ended_at - self.sent_at

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body)


class Caller:
    """Client that calls one entry host with a customer's token, over one connection."""

    def __init__(self, address: str, token: str, timeout: float = 40.0) -> None:
        """Create a caller; it connects at its first call, with a timeout in seconds."""
        self._address = address
        self._token = token
        self._timeout = timeout
        self._connection: http.client.HTTPConnection | None = None

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> CallResult:
        """Send a request and return its result; connection errors are not raised."""
        sent_at = time.monotonic()
        fields = {"Authorization": f"Bearer {self._token}"} | (headers or {})
        try:
            connection = self._connect()
            connection.request(method, path, body or None, fields)
            response = connection.getresponse()
            data = response.read()
        except (OSError, http.client.HTTPException) as error:
            self.close()
            ended_at = time.monotonic()
            return CallResult(0, "", repr(error), b"", sent_at, ended_at)
        reason = ""
        if response.headers.get("Content-Type") == "application/problem+json":
            reason = json.loads(data)["reason"]
        return CallResult(
            response.status,
            response.headers.get("X-Outcome", ""),
            reason,
            data,
            sent_at,
            time.monotonic(),
            response.headers.get("Retry-After", ""),
        )

    def close(self) -> None:
        """Close the connection; the next call opens another one."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _connect(self) -> http.client.HTTPConnection:
        """Return the open connection or a new one."""
        if self._connection is None:
            host, _, port = self._address.rpartition(":")
            self._connection = http.client.HTTPConnection(
                host, int(port), timeout=self._timeout
            )
        return self._connection
