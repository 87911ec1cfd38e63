"""Pushing grants to backend servers over HTTP."""

from __future__ import annotations

import json
import logging
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from io import BytesIO
from typing import Final

import msgspec
import urllib3

from ..entry.server_connection import ServerConnection
from ..models import ServerRow
from .calls import GrantSet

__all__ = ["GrantPusher", "encode_grants"]

_LOGGER = logging.getLogger(__name__)

PUSH_TIMEOUT_SECONDS: Final = 0.5
PUSH_THREAD_COUNT: Final = 16
# An answer names the revision of the grants that the server holds.
MAX_ANSWER_BYTES: Final = 64 * 1024

Acknowledge = Callable[[str, int], None]


def encode_grants(grants: GrantSet) -> bytes:
    """Return the JSON object that is sent to a backend server.

    Its fields are those of ``GrantSet``; ``ranges`` is an array of objects.
    """
    fields = grants._asdict()
    fields["ranges"] = [item._asdict() for item in grants.ranges]
    return msgspec.json.encode(fields)


class _PushConnection(ServerConnection):
    """A connection whose answers must be whole within the timeout of a push."""

    answer_timeout = PUSH_TIMEOUT_SECONDS


class _ServerPool(urllib3.HTTPConnectionPool):
    """Connections to one server."""

    ConnectionCls = _PushConnection


class GrantPusher:
    """Send grants in threads; ``acknowledge`` gets the holder and its revision.

    ``may_send`` is called right before each push, so that a leader whose lease has
    ended sends no grants that it queued before.
    """

    def __init__(self, acknowledge: Acknowledge, may_send: Callable[[], bool]) -> None:
        """Start the threads."""
        self._acknowledge = acknowledge
        self._may_send = may_send
        self._threads = ThreadPoolExecutor(PUSH_THREAD_COUNT, "grant-push")
        self._pool = urllib3.PoolManager(
            num_pools=PUSH_THREAD_COUNT * 16, maxsize=1, retries=False
        )
        self._pool.pool_classes_by_scheme = {"http": _ServerPool}

    def push(self, server: ServerRow, grants: GrantSet) -> None:
        """Queue the grants of a server."""
        self._threads.submit(self._send_grants, server, grants)

    def close(self) -> None:
        """Stop the threads and close the connections."""
        self._threads.shutdown(wait=False, cancel_futures=True)
        self._pool.clear()

    def _send_grants(self, server: ServerRow, grants: GrantSet) -> None:
        """Send the grants, and report the revision that the server holds then."""
        if not self._may_send():
            return
        try:
            response = self._pool.request(
                "PUT",
                f"http://{server.address}/grants",
                body=encode_grants(grants),
                headers={"Content-Type": "application/json"},
                timeout=PUSH_TIMEOUT_SECONDS,
                redirect=False,
                preload_content=False,
            )
            held_revision = json.loads(_read_answer(response)).get("revision", 0)
        except (urllib3.exceptions.HTTPError, ValueError, AttributeError) as error:
            # The next announcement carries the grants again.
            _LOGGER.debug("step=grant peer=%s: %s", server.holder, error)
            return
        if response.status == 200 and isinstance(held_revision, int):
            self._acknowledge(server.holder, held_revision)


def _read_answer(response: urllib3.BaseHTTPResponse) -> bytes:
    """Return the body of an answer, or raise ``ValueError`` if it is too large."""
    body = BytesIO()
    for part in response.stream(MAX_ANSWER_BYTES, decode_content=False):
        body.write(part)
        if body.tell() > MAX_ANSWER_BYTES:
            response.close()
            raise ValueError(f"the answer exceeds {MAX_ANSWER_BYTES} bytes")
    response.release_conn()
    return body.getvalue()
