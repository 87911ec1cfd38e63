"""A caller of the router, for trials: one connection, timed calls."""

from __future__ import annotations

import http.client
import json
import time
from typing import Any, NamedTuple

__all__ = ["CallResult", "Caller"]


class CallResult(NamedTuple):
    """What a caller saw; times are monotonic, in seconds. Status 0: no answer."""

    status: int
    outcome: str
    reason: str
    body: bytes
    sent_at: float
    ended_at: float
    retry_after: str = ""

    @property
    def seconds(self) -> float:
        """Return how long the call took."""
        return self.ended_at - self.sent_at

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body)


class Caller:
    """Calls with a customer's token to one entry host at a time."""

    def __init__(self, address: str, token: str, timeout: float = 40.0) -> None:
        """Connect when first called."""
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
        """Send a request and return the whole answer."""
        sent_at = time.monotonic()
        fields = {"Authorization": f"Bearer {self._token}"} | (headers or {})
        try:
            connection = self._connect()
            connection.request(method, path, body or None, fields)
            answer = connection.getresponse()
            data = answer.read()
        except (OSError, http.client.HTTPException) as error:
            self.close()
            ended_at = time.monotonic()
            return CallResult(0, "", repr(error), b"", sent_at, ended_at)
        reason = ""
        if answer.headers.get("Content-Type") == "application/problem+json":
            reason = json.loads(data)["reason"]
        return CallResult(
            answer.status,
            answer.headers.get("X-Outcome", ""),
            reason,
            data,
            sent_at,
            time.monotonic(),
            answer.headers.get("Retry-After", ""),
        )

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _connect(self) -> http.client.HTTPConnection:
        """Return the connection."""
        if self._connection is None:
            host, _, port = self._address.rpartition(":")
            self._connection = http.client.HTTPConnection(
                host, int(port), timeout=self._timeout
            )
        return self._connection
