"""Client of the operators' ports of daemons."""

from __future__ import annotations

import getpass
import json
import os
import uuid
from pathlib import Path
from typing import Any, Final
from urllib.parse import quote

import urllib3

from ..errors import DragonflyrockError

__all__ = ["CommandError", "OperatorClient", "make_change_fields", "quote_path_segment"]

ADDRESS_VARIABLE: Final = "DRAGONFLYROCK_OPERATORS"
TOKEN_VARIABLE: Final = "DRAGONFLYROCK_TOKEN"
TOKEN_FILE_VARIABLE: Final = "DRAGONFLYROCK_TOKEN_FILE"
CALL_TIMEOUT_SECONDS: Final = 8.0


class CommandError(DragonflyrockError):
    """A command that was refused or failed; the message says why."""


def quote_path_segment(text: str) -> str:
    """Return a string quoted as one segment of a URL path."""
    return quote(text, safe="")


def _read_token() -> str:
    """Return the operator's token from the environment.

    Raise ``CommandError`` if there is none or its file cannot be read.
    """
    path = os.environ.get(TOKEN_FILE_VARIABLE)
    if path:
        try:
            return Path(path).read_text().strip()
        except OSError as error:
            raise CommandError(f"{TOKEN_FILE_VARIABLE}: {path}: {error}") from error
    token = os.environ.get(TOKEN_VARIABLE, "")
    if not token:
        detail = (
            f"no token: set {TOKEN_FILE_VARIABLE} to a file with an operator's token"
        )
        raise CommandError(detail, step="authenticate")
    return token


class OperatorClient:
    """Client that tries its addresses in turn until one responds."""

    def __init__(self, addresses: str) -> None:
        """Use a comma-separated list of ``ip:port``.

        If it is empty, take the list from ``DRAGONFLYROCK_OPERATORS``. Raise
        ``CommandError`` without any address or without a token.
        """
        text = addresses or os.environ.get(ADDRESS_VARIABLE, "")
        self.addresses = [part.strip() for part in text.split(",") if part.strip()]
        if not self.addresses:
            detail = f"no address: pass --at IP:PORT or set {ADDRESS_VARIABLE}"
            raise CommandError(detail, step="connect")
        self._pool = urllib3.PoolManager(retries=False, timeout=CALL_TIMEOUT_SECONDS)
        self._token = _read_token()

    def call(self, method: str, path: str, body: object = None) -> Any:
        """Return the decoded response of the first address that responds.

        Raise ``CommandError`` if a daemon refuses the call or no address responds.
        In the latter case a change may still have been accepted; it is safe to
        retry it with the same change id.
        """
        failures = []
        for address in self.addresses:
            try:
                return self.call_address(address, method, path, body)
            except urllib3.exceptions.HTTPError as error:
                failures.append(f"{address}: {error}")
        raise CommandError("; ".join(failures), step="connect")

    def call_address(
        self, address: str, method: str, path: str, body: object = None
    ) -> Any:
        """Return the decoded response of one address.

        Raise ``CommandError`` if the call is refused or the response is not JSON,
        and ``urllib3.exceptions.HTTPError`` if the connection fails.
        """
        response = self._pool.request(
            method,
            f"http://{address}{path}",
            body=json.dumps(body) if body is not None else None,
            headers={"Authorization": f"Bearer {self._token}"},
        )
        try:
            fields = json.loads(response.data)
        except ValueError as error:
            detail = f"response with status {response.status} is not JSON"
            raise CommandError(detail, step="answer", peer=address) from error
        if response.status != 200:
            detail = (
                f"{fields.get('reason', response.status)}: {fields.get('detail', '')}"
            )
            raise CommandError(detail, fields.get("step", ""), address)
        return fields


def make_change_fields(change_id: str, operator: str) -> dict[str, Any]:
    """Return the fields of every change.

    An empty id is replaced by a new one, an empty operator by the login name.
    """
    return {
        "change_id": change_id or uuid.uuid4().hex,
        "operator": operator or getpass.getuser(),
    }
