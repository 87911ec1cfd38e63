"""Calls to the operators' port of a daemon."""

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

__all__ = ["CommandError", "OperatorClient", "make_change", "quote_part"]

ADDRESS_VARIABLE: Final = "DRAGONFLYROCK_OPERATORS"
TOKEN_VARIABLE: Final = "DRAGONFLYROCK_TOKEN"
TOKEN_FILE_VARIABLE: Final = "DRAGONFLYROCK_TOKEN_FILE"
TIMEOUT_SECONDS: Final = 8.0


class CommandError(DragonflyrockError):
    """A call that was refused or could not be made; the text says why."""


def quote_part(text: str) -> str:
    """Return a text as one part of a path."""
    return quote(text, safe="")


def _read_token() -> str:
    """Return the operator's token from the environment."""
    path = os.environ.get(TOKEN_FILE_VARIABLE)
    if path:
        try:
            return Path(path).read_text().strip()
        except OSError as error:
            raise CommandError(f"{TOKEN_FILE_VARIABLE}: {path}: {error}") from error
    token = os.environ.get(TOKEN_VARIABLE, "")
    if not token:
        detail = f"set {TOKEN_FILE_VARIABLE} to a file with an operator's token"
        raise CommandError(detail, step="authenticate")
    return token


class OperatorClient:
    """A client that tries each of its addresses in turn."""

    def __init__(self, at: str) -> None:
        """Use the addresses ``ip:port``, by commas, or those of the environment."""
        text = at or os.environ.get(ADDRESS_VARIABLE, "")
        self.addresses = [part.strip() for part in text.split(",") if part.strip()]
        if not self.addresses:
            detail = f"give --at IP:PORT or set {ADDRESS_VARIABLE}"
            raise CommandError(detail, step="connect")
        self._pool = urllib3.PoolManager(retries=False, timeout=TIMEOUT_SECONDS)
        self._token = _read_token()

    def call(self, method: str, path: str, body: object = None) -> Any:
        """Return the decoded answer of the first address that gives one.

        A change that no address answered may have been accepted; it is safe to
        send it again with the same change id.
        """
        failures = []
        for address in self.addresses:
            try:
                return self.call_at(address, method, path, body)
            except urllib3.exceptions.HTTPError as error:
                failures.append(f"{address}: {error}")
        raise CommandError("; ".join(failures), step="connect")

    def call_at(self, address: str, method: str, path: str, body: object = None) -> Any:
        """Return the decoded answer of one address."""
        answer = self._pool.request(
            method,
            f"http://{address}{path}",
            body=json.dumps(body) if body is not None else None,
            headers={"Authorization": f"Bearer {self._token}"},
        )
        try:
            fields = json.loads(answer.data)
        except ValueError as error:
            detail = f"status {answer.status}: not JSON"
            raise CommandError(detail, step="answer", peer=address) from error
        if answer.status != 200:
            detail = (
                f"{fields.get('reason', answer.status)}: {fields.get('detail', '')}"
            )
            raise CommandError(detail, fields.get("step", ""), address)
        return fields


def make_change(change_id: str, operator: str) -> dict[str, Any]:
    """Return what every change carries."""
    return {
        "change_id": change_id or uuid.uuid4().hex,
        "operator": operator or getpass.getuser(),
    }
